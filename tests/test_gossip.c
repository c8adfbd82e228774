/* Guards against evidence of freshness that appears newer than it is, messages
 * that exceed the datagram, forged senders that become members, and changes
 * that do not reach all daemons, also during a store outage. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "../bench/fleet/ports.h"
#include "control_node.h"
#include "gossip_wire.h"
#include "support/fake_store.h"

#define NODE_COUNT 6

struct fixture {
	struct fake_store *fake;
	struct control_node n[NODE_COUNT];
	uint16_t ports; /* Of the nodes; the last one is the store's. */
};

static void format_name(size_t i, char *out, size_t size)
{
	g_snprintf(out, size, "entry-%zu", i);
}

static void put_list(struct fixture *f, uint64_t version, size_t count)
{
	GString *s = g_string_new(NULL);

	g_string_printf(s, "{\"version\":%llu,\"instances\":[",
			(unsigned long long)version);
	for (size_t i = 0; i < count; i++)
		g_string_append_printf(
			s,
			"%s{\"name\":\"entry-%zu\",\"role\":\"entry\","
			"\"address\":\"127.0.0.1:%zu\",\"failure_domain\":"
			"\"d%zu\",\"region\":\"r1\",\"state\":\"live\","
			"\"started\":1}",
			i ? "," : "", i, f->ports + i, i % 3);
	g_string_append(s, "]}");
	fake_store_set_list(f->fake, version, s->str);
	g_string_free(s, TRUE);
}

static void put_root(struct fixture *f, uint64_t version)
{
	GBytes *root = fake_root(version, NULL, 0);
	gsize len;
	const void *data = g_bytes_get_data(root, &len);

	fake_store_put(f->fake, CG_ROOT_OBJECT, data, len);
	g_bytes_unref(root);
}

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	*state = f;
	f->ports = claim_test_ports(NODE_COUNT + 1);
	f->fake = fake_store_start(f->ports + NODE_COUNT);
	if (!f->fake)
		return -1;
	for (size_t i = 0; i < NODE_COUNT; i++) {
		struct control_node *n = &f->n[i];
		char name[32];
		char domain[8];

		format_name(i, name, sizeof(name));
		g_snprintf(domain, sizeof(domain), "d%zu", i % 3);
		node_settings(&n->set, name, domain, (uint16_t)(f->ports + i),
			      f->ports + NODE_COUNT);
		n->incarnation = 10 + i;
		n->set.gossip_ms = 100;
		n->set.key_isolation_ms = 1500;
		n->set.poll_ms = 60000;
		if (node_init(n))
			return -1;
	}
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	for (size_t i = 0; i < NODE_COUNT; i++)
		node_stop(&f->n[i]);
	fake_store_stop(f->fake);
	g_free(f);
	return 0;
}

static void start_all(struct fixture *f)
{
	put_root(f, 1);
	put_list(f, 1, NODE_COUNT);
	for (size_t i = 0; i < NODE_COUNT; i++)
		assert_int_equal(node_start(&f->n[i], false), 0);
}

static bool all_have_version(struct fixture *f, enum cg_doc doc,
			     uint64_t version)
{
	for (size_t i = 0; i < NODE_COUNT; i++)
		if (cg_docs_version(f->n[i].docs, doc) != version)
			return false;
	return true;
}

static bool accepts_keys(struct control_node *n)
{
	return cg_trust_accepts_keys(&n->set, &n->clk, n->docs, n->members);
}

static bool all_accept_keys(struct fixture *f)
{
	for (size_t i = 0; i < NODE_COUNT; i++)
		if (!accepts_keys(&f->n[i]))
			return false;
	return true;
}

static bool all_see_majority(struct fixture *f)
{
	for (size_t i = 0; i < NODE_COUNT; i++)
		if (!cg_members_has_majority(f->n[i].members, 1000))
			return false;
	return true;
}

static void fill_message(cg_x_gossip *x, char *name, uint64_t incarnation)
{
	static char domain[] = "d0";

	memset(x, 0, sizeof(*x));
	x->instance = name;
	x->incarnation = incarnation;
	x->ip = INADDR_LOOPBACK;
	x->port = 9; /* No listener on this port. */
	x->failure_domain = domain;
	x->region = domain;
	x->fresh_age_ms = UINT32_MAX;
}

static int deliver(struct control_node *n, const cg_x_gossip *x,
		   const char *sender, uint64_t incarnation, GByteArray *reply)
{
	GByteArray *body = g_byte_array_new();
	struct cg_peer_msg m = { .kind = CG_MSG_GOSSIP,
				 .sender = sender,
				 .incarnation = incarnation };
	int rc;

	assert_int_equal(cg_xdr_encode((xdrproc_t)xdr_cg_x_gossip, x, body), 0);
	m.body = body->data;
	m.len = body->len;
	rc = cg_gossip_handle(n->gossip, &m, reply);
	g_byte_array_unref(body);
	return rc;
}

/* A request may have waited in a socket buffer, so that the ages in it may be
 * too low. */
static void ages_in_requests_are_ignored(void **state)
{
	struct fixture *f = *state;
	struct control_node *n = &f->n[0];
	GByteArray *reply = g_byte_array_new();
	GBytes *root = fake_root(1, NULL, 0);
	char name[] = "entry-1";
	struct cg_member m;
	cg_x_gossip x;

	cg_docs_adopt_written(n->docs, CG_DOC_ROOT, root, 1);
	fill_message(&x, name, 11);
	x.versions[0] = 1;
	x.fresh_version = 1;
	x.fresh_age_ms = 0;
	assert_int_equal(deliver(n, &x, name, 11, reply), 0);
	assert_true(cg_docs_fresh_at(n->docs) == -CG_MS_NEVER);
	assert_int_equal(cg_members_find(n->members, name, &m), 0);
	assert_true(m.last_seen_at == CG_NEVER_SEEN);
	assert_int_equal(m.incarnation, 11);
	g_bytes_unref(root);
	g_byte_array_unref(reply);
}

static void forged_sender_is_refused(void **state)
{
	struct fixture *f = *state;
	struct control_node *n = &f->n[0];
	GByteArray *reply = g_byte_array_new();
	char name[] = "entry-1";
	char self[] = "entry-0";
	struct cg_member m;
	cg_x_gossip x;

	fill_message(&x, name, 11);
	assert_int_equal(deliver(n, &x, "entry-2", 11, reply), -1);
	assert_int_equal(deliver(n, &x, name, 12, reply), -1);
	assert_int_equal(cg_members_find(n->members, name, &m), -1);
	fill_message(&x, self, 10);
	assert_int_equal(deliver(n, &x, self, 10, reply), -1);
	assert_int_equal(reply->len, 0);
	g_byte_array_unref(reply);
}

/* Replies must stay within the size limit for a very large fleet and many
 * notices with the longest names, and successive replies must cover all
 * members. */
static void replies_fit_and_cover_all_members(void **state)
{
	struct fixture *f = *state;
	struct control_node *n = &f->n[0];
	size_t count = 5000;
	struct cg_instance_entry *items =
		g_new0(struct cg_instance_entry, count);
	struct cg_instance_list l = { .version = 1,
				      .items = items,
				      .n = count };
	bool *seen = g_new0(bool, count);
	size_t covered = 0;
	char name[] = "entry-1";
	cg_x_gossip x;

	for (size_t i = 0; i < count; i++) {
		format_name(i, items[i].name, sizeof(items[i].name));
		items[i].addr = n->set.peer;
	}
	cg_members_apply_list(n->members, &l);
	for (int i = 0; i < 50; i++) {
		char server[64];

		memset(server, 'x', sizeof(server));
		g_snprintf(server, 8, "s%06d", i);
		server[7] = 'x';
		server[63] = '\0';
		cg_notices_announce_drain(n->notices, server);
	}
	for (int i = 0; i < 100; i++) {
		GByteArray *reply = g_byte_array_new();
		cg_x_gossip y;

		fill_message(&x, name, 11);
		assert_int_equal(deliver(n, &x, name, 11, reply), 0);
		assert_true(reply->len <= CG_GOSSIP_MAX_BODY);
		assert_int_equal(cg_xdr_decode((xdrproc_t)xdr_cg_x_gossip,
					       reply->data, reply->len, &y,
					       sizeof(y)),
				 0);
		for (u_int k = 0; k < y.ages.count; k++)
			seen[y.ages.first + k] = true;
		xdr_free((xdrproc_t)xdr_cg_x_gossip, (char *)&y);
		g_byte_array_unref(reply);
	}
	for (size_t i = 0; i < count; i++)
		covered += seen[i];
	assert_int_equal(covered, count);
	g_free(seen);
	g_free(items);
}

static void random_bytes_are_refused(void **state)
{
	struct fixture *f = *state;
	uint8_t junk[256];
	GByteArray *reply = g_byte_array_new();
	uint32_t seed = 5;

	for (int i = 0; i < 5000; i++) {
		struct cg_peer_msg m = { .kind = CG_MSG_GOSSIP,
					 .sender = "entry-1",
					 .incarnation = 1,
					 .body = junk,
					 .len = (size_t)i % sizeof(junk) };

		for (size_t k = 0; k < sizeof(junk); k++) {
			seed = seed * 1103515245 + 12345;
			junk[k] = (uint8_t)(seed >> 16);
		}
		assert_int_equal(cg_gossip_handle(f->n[0].gossip, &m, reply),
				 -1);
	}
	g_byte_array_unref(reply);
}

/* A count of ages above the number of codes must not cause an overread. */
static void truncated_ages_are_ignored(void **state)
{
	struct fixture *f = *state;
	char name[] = "entry-1";
	GByteArray *reply = g_byte_array_new();
	cg_x_gossip x;

	fill_message(&x, name, 11);
	x.ages.count = 4000000;
	x.ages.first = 4000000000u;
	assert_int_equal(deliver(&f->n[0], &x, name, 11, reply), 0);
	g_byte_array_unref(reply);
}

static void changes_spread_to_all(void **state)
{
	struct fixture *f = *state;

	start_all(f);
	assert_true(node_wait(all_have_version(f, CG_DOC_ROOT, 1), 10000));
	assert_true(
		node_wait(all_have_version(f, CG_DOC_INSTANCE_LIST, 1), 10000));
	assert_true(node_wait(all_see_majority(f), 10000));
	put_root(f, 2);
	assert_true(node_wait(all_have_version(f, CG_DOC_ROOT, 2), 3000));
	put_list(f, 2, NODE_COUNT);
	assert_true(
		node_wait(all_have_version(f, CG_DOC_INSTANCE_LIST, 2), 3000));
	/* An older list, as a lagging replica returns it, is ignored. */
	put_list(f, 1, 2);
	cg_sleep(1500);
	assert_true(all_have_version(f, CG_DOC_INSTANCE_LIST, 2));
}

static bool all_revoked(struct fixture *f, const uint8_t *k)
{
	for (size_t i = 0; i < NODE_COUNT; i++)
		if (!cg_notices_is_revoked(f->n[i].notices, k))
			return false;
	return true;
}

static bool all_draining(struct fixture *f, const char *name)
{
	for (size_t i = 0; i < NODE_COUNT; i++)
		if (!cg_notices_is_draining(f->n[i].notices, name))
			return false;
	return true;
}

/* During a store outage a connected fleet continues to accept keys, and
 * revocations and drains still reach every daemon. */
static void store_outage_keeps_keys_and_spreads_notices(void **state)
{
	struct fixture *f = *state;
	uint8_t k[CG_DIGEST_SIZE] = { 42 };

	start_all(f);
	assert_true(
		node_wait(all_have_version(f, CG_DOC_INSTANCE_LIST, 1), 10000));
	assert_true(node_wait(all_accept_keys(f), 10000));
	f->fake->down = true;
	for (int i = 0; i < 15; i++) {
		cg_sleep(200);
		assert_true(all_accept_keys(f));
	}
	assert_int_equal(cg_trust_state(&f->n[1].set, &f->n[1].clk,
					f->n[1].docs, f->n[1].members),
			 CG_TRUST_MAJORITY);
	cg_notices_announce_revocation(f->n[3].notices, k);
	assert_true(node_wait(all_revoked(f, k), 2000));
	cg_notices_announce_drain(f->n[2].notices, "s1");
	assert_true(node_wait(all_draining(f, "s1"), 2000));
}

/* A daemon without contact to the other members and to the store refuses keys
 * after key_isolation_ms, while the others accept them. It accepts keys again
 * once it is reconnected. */
static void isolated_daemon_stops_accepting_keys(void **state)
{
	struct fixture *f = *state;

	start_all(f);
	assert_true(
		node_wait(all_have_version(f, CG_DOC_INSTANCE_LIST, 1), 10000));
	assert_true(node_wait(all_see_majority(f), 10000));
	f->fake->down = true;
	f->n[0].refuse_all = true;
	for (size_t i = 1; i < NODE_COUNT; i++)
		f->n[i].refused_sender = "entry-0";
	assert_true(node_wait(!accepts_keys(&f->n[0]), 6000));
	for (int i = 0; i < 20; i++) {
		for (size_t k = 1; k < NODE_COUNT; k++)
			assert_true(accepts_keys(&f->n[k]));
		assert_false(accepts_keys(&f->n[0]));
		cg_sleep(100);
	}
	f->n[0].refuse_all = false;
	for (size_t i = 1; i < NODE_COUNT; i++)
		f->n[i].refused_sender = NULL;
	assert_true(node_wait(all_accept_keys(f), 6000));
}

static void restarted_daemon_gets_its_new_incarnation(void **state)
{
	struct fixture *f = *state;
	struct cg_member m;

	start_all(f);
	assert_true(node_wait(all_see_majority(f), 10000));
	node_stop(&f->n[5]);
	node_settings(&f->n[5].set, "entry-5", "d2", (uint16_t)(f->ports + 5),
		      f->ports + NODE_COUNT);
	f->n[5].set.gossip_ms = 100;
	f->n[5].set.poll_ms = 60000;
	f->n[5].set.key_isolation_ms = 1500;
	f->n[5].incarnation = 99;
	assert_int_equal(node_init(&f->n[5]), 0);
	assert_int_equal(node_start(&f->n[5], false), 0);
	assert_true(
		node_wait(!cg_members_find(f->n[0].members, "entry-5", &m) &&
				  m.incarnation == 99,
			  5000));
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(ages_in_requests_are_ignored),
		T(forged_sender_is_refused),
		T(replies_fit_and_cover_all_members),
		T(random_bytes_are_refused),
		T(truncated_ages_are_ignored),
		T(changes_spread_to_all),
		T(store_outage_keeps_keys_and_spreads_notices),
		T(isolated_daemon_stops_accepting_keys),
		T(restarted_daemon_gets_its_new_incarnation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
