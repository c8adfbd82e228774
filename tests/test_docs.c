/* Guards against a configuration that reverts to an older version, for example
 * after a stale read, against invalid or incomplete versions that take effect,
 * and against replicas that no longer receive new versions after a failure. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <pthread.h>

#include "../bench/fleet/ports.h"
#include "celeryglade/counters.h"
#include "control_node.h"
#include "support/fake_store.h"

struct fixture {
	struct fake_store *fake;
	struct control_node a;
	struct control_node b;
	uint16_t ports; /* Of the store, a and b. */
};

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	*state = f;
	f->ports = claim_test_ports(3);
	f->fake = fake_store_start(f->ports);
	if (!f->fake)
		return -1;
	node_settings(&f->a.set, "a", "x", (uint16_t)(f->ports + 1), f->ports);
	node_settings(&f->b.set, "b", "x", (uint16_t)(f->ports + 2), f->ports);
	f->a.incarnation = 1;
	f->b.incarnation = 2;
	f->a.set.poll_ms = 300;
	f->b.set.poll_ms = 300;
	return node_init(&f->a) || node_init(&f->b) ? -1 : 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	node_stop(&f->a);
	node_stop(&f->b);
	fake_store_stop(f->fake);
	g_free(f);
	return 0;
}

static GBytes *part_from_text(const char *text)
{
	return g_bytes_new(text, strlen(text));
}

/* Writes a root with one part to the store, without the part if @p omit. */
static void publish_config(struct fixture *f, uint64_t version,
			   const char *text, bool omit)
{
	GBytes *part = part_from_text(text);
	GBytes *root = fake_root(version, &part, 1);
	uint8_t digest[CG_DIGEST_SIZE];
	char name[CG_PART_NAME_SIZE];
	gsize len;
	const void *data;

	cg_part_digest(part, digest);
	cg_part_name(digest, name);
	data = g_bytes_get_data(part, &len);
	if (!omit)
		fake_store_put(f->fake, name, data, len);
	data = g_bytes_get_data(root, &len);
	fake_store_put(f->fake, CG_ROOT_OBJECT, data, len);
	g_bytes_unref(part);
	g_bytes_unref(root);
}

/* Sets a list of instances with "a" as its only member. */
static void publish_list_of_a(struct fixture *f, uint64_t version)
{
	char *text = g_strdup_printf(
		"{\"version\":%d,\"instances\":[{\"name\":\"a\","
		"\"role\":\"entry\",\"address\":\"127.0.0.1:%d\","
		"\"failure_domain\":\"x\",\"region\":\"r1\","
		"\"state\":\"live\",\"started\":1}]}",
		(int)version, f->ports + 1);

	fake_store_set_list(f->fake, version, text);
	g_free(text);
}

static uint64_t root_version(struct control_node *n)
{
	return cg_docs_version(n->docs, CG_DOC_ROOT);
}

static uint64_t config_version(struct control_node *n)
{
	struct cg_config *c = cg_docs_config(n->docs);
	uint64_t v = c ? cg_config_version(c) : 0;

	if (c)
		cg_config_unref(c);
	return v;
}

static void new_versions_are_adopted_from_store(void **state)
{
	struct fixture *f = *state;

	assert_null(cg_docs_config(f->a.docs));
	publish_config(f, 3, "three\n", false);
	assert_int_equal(cg_docs_start(f->a.docs), 0);
	assert_true(node_wait(config_version(&f->a) == 3, 3000));
	publish_config(f, 4, "four\n", false);
	assert_true(node_wait(config_version(&f->a) == 4, 3000));
	assert_true(cg_docs_fresh_at(f->a.docs) > 0);
}

static void lower_version_never_replaces_copy(void **state)
{
	struct fixture *f = *state;
	uint64_t before;

	publish_config(f, 5, "five\n", false);
	assert_int_equal(cg_docs_start(f->a.docs), 0);
	assert_true(node_wait(config_version(&f->a) == 5, 3000));
	before = cg_counter_read(CG_COUNTER_CONFIG_LOWER_IGNORED);
	publish_config(f, 4, "four\n", false);
	assert_true(node_wait(cg_counter_read(CG_COUNTER_CONFIG_LOWER_IGNORED) >
				      before,
			      3000));
	assert_int_equal(config_version(&f->a), 5);
}

/* A stale read returns an older version. It must neither revert the copy nor
 * count as evidence that the copy is up to date. */
static void stale_read_does_not_prove_freshness(void **state)
{
	struct fixture *f = *state;
	uint64_t before;
	cg_ms at;

	publish_config(f, 1, "one\n", false);
	publish_config(f, 2, "two\n", false);
	assert_int_equal(cg_docs_start(f->a.docs), 0);
	assert_true(node_wait(config_version(&f->a) == 2, 3000));
	f->fake->stale = true;
	before = cg_counter_read(CG_COUNTER_CONFIG_LOWER_IGNORED);
	assert_true(node_wait(cg_counter_read(CG_COUNTER_CONFIG_LOWER_IGNORED) >
				      before,
			      3000));
	at = cg_docs_fresh_at(f->a.docs);
	cg_sleep(1000);
	assert_true(cg_docs_fresh_at(f->a.docs) == at);
	assert_int_equal(config_version(&f->a), 2);
}

static void invalid_version_is_rejected_once(void **state)
{
	struct fixture *f = *state;
	uint64_t before = cg_counter_read(CG_COUNTER_CONFIG_REJECTED);

	publish_config(f, 1, "one\n", false);
	assert_int_equal(cg_docs_start(f->a.docs), 0);
	assert_true(node_wait(config_version(&f->a) == 1, 3000));
	publish_config(f, 2, "invalid\n", false);
	assert_true(node_wait(
		cg_counter_read(CG_COUNTER_CONFIG_REJECTED) > before, 3000));
	cg_sleep(1500);
	assert_int_equal(cg_counter_read(CG_COUNTER_CONFIG_REJECTED),
			 before + 1);
	assert_int_equal(config_version(&f->a), 1);
	publish_config(f, 3, "three\n", false);
	assert_true(node_wait(config_version(&f->a) == 3, 8000));
}

static void malformed_root_is_rejected(void **state)
{
	struct fixture *f = *state;
	uint64_t before = cg_counter_read(CG_COUNTER_CONFIG_REJECTED);

	publish_config(f, 1, "one\n", false);
	assert_int_equal(cg_docs_start(f->a.docs), 0);
	assert_true(node_wait(config_version(&f->a) == 1, 3000));
	fake_store_put(f->fake, CG_ROOT_OBJECT, "{\"ver", 5);
	assert_true(node_wait(
		cg_counter_read(CG_COUNTER_CONFIG_REJECTED) > before, 3000));
	assert_int_equal(config_version(&f->a), 1);
}

static void missing_part_delays_adoption(void **state)
{
	struct fixture *f = *state;

	publish_config(f, 1, "one\n", false);
	assert_int_equal(cg_docs_start(f->a.docs), 0);
	assert_true(node_wait(config_version(&f->a) == 1, 3000));
	publish_config(f, 2, "two\n", true);
	cg_sleep(1000);
	assert_int_equal(config_version(&f->a), 1);
	publish_config(f, 2, "two\n", false);
	assert_true(node_wait(config_version(&f->a) == 2, 8000));
}

/* A part in the store whose content is corrupted must not take effect. */
static void part_with_wrong_digest_is_refused(void **state)
{
	struct fixture *f = *state;
	GBytes *part = part_from_text("good\n");
	uint8_t digest[CG_DIGEST_SIZE];
	char name[CG_PART_NAME_SIZE];

	publish_config(f, 1, "good\n", true);
	cg_part_digest(part, digest);
	cg_part_name(digest, name);
	fake_store_put(f->fake, name, "evil\n", 5);
	assert_int_equal(cg_docs_start(f->a.docs), 0);
	cg_sleep(1000);
	assert_int_equal(config_version(&f->a), 0);
	fake_store_put(f->fake, name, "good\n", 5);
	assert_true(node_wait(config_version(&f->a) == 1, 8000));
	g_bytes_unref(part);
}

static char *big_text(char c)
{
	char *text = g_malloc(100001);

	memset(text, c, 100000);
	text[99999] = '\n';
	text[100000] = '\0';
	return text;
}

/* While the store is down, the root and all chunks of its part come from the
 * peer. */
static void offered_version_is_fetched_from_peer(void **state)
{
	struct fixture *f = *state;
	char *text = big_text('k');
	uint64_t from_peer;
	uint64_t from_store;

	publish_config(f, 7, text, false);
	assert_int_equal(cg_peer_start(f->a.peer), 0);
	assert_int_equal(cg_docs_start(f->a.docs), 0);
	assert_true(node_wait(config_version(&f->a) == 7, 3000));
	f->fake->down = true;
	from_peer = cg_counter_read(CG_COUNTER_CONFIG_FROM_PEER);
	from_store = cg_counter_read(CG_COUNTER_CONFIG_FROM_STORE);
	assert_int_equal(cg_docs_start(f->b.docs), 0);
	cg_docs_record_offer(f->b.docs, CG_DOC_ROOT, 7, &f->a.set.peer);
	assert_true(node_wait(config_version(&f->b) == 7, 3000));
	assert_int_equal(cg_counter_read(CG_COUNTER_CONFIG_FROM_PEER),
			 from_peer + 1);
	assert_int_equal(cg_counter_read(CG_COUNTER_CONFIG_FROM_STORE),
			 from_store);
	g_free(text);
}

/* A failed transfer is retried even if no peer repeats the offer. */
static void failed_offer_is_retried(void **state)
{
	struct fixture *f = *state;

	publish_config(f, 7, "seven\n", false);
	assert_int_equal(cg_docs_start(f->a.docs), 0);
	assert_true(node_wait(config_version(&f->a) == 7, 3000));
	f->fake->down = true;
	assert_int_equal(cg_docs_start(f->b.docs), 0);
	cg_docs_record_offer(f->b.docs, CG_DOC_ROOT, 7, &f->a.set.peer);
	/* Longer than one fetch with all its attempts. */
	cg_sleep(2500);
	assert_int_equal(cg_peer_start(f->a.peer), 0);
	assert_true(node_wait(config_version(&f->b) == 7, 6000));
}

static void seed_is_queried_during_store_outage(void **state)
{
	struct fixture *f = *state;

	publish_config(f, 9, "nine\n", false);
	publish_list_of_a(f, 2);
	assert_int_equal(cg_peer_start(f->a.peer), 0);
	assert_int_equal(cg_docs_start(f->a.docs), 0);
	assert_true(node_wait(config_version(&f->a) == 9, 3000));
	assert_true(node_wait(
		cg_docs_version(f->a.docs, CG_DOC_INSTANCE_LIST) == 2, 3000));
	f->fake->down = true;
	f->b.set.seeds[0] = f->a.set.peer;
	f->b.set.seed_count = 1;
	assert_int_equal(cg_docs_start(f->b.docs), 0);
	assert_true(node_wait(config_version(&f->b) == 9, 4000));
	assert_true(node_wait(
		cg_docs_version(f->b.docs, CG_DOC_INSTANCE_LIST) == 2, 4000));
	assert_int_equal(cg_members_listed_count(f->b.members), 1);
}

/* A silent peer must not keep the daemon from reading the store. */
static void failed_offer_falls_back_to_store(void **state)
{
	struct fixture *f = *state;
	struct sockaddr_in no_listener = f->b.set.peer;

	f->a.set.poll_ms = 60000;
	publish_config(f, 1, "one\n", false);
	assert_int_equal(cg_docs_start(f->a.docs), 0);
	assert_true(node_wait(config_version(&f->a) == 1, 3000));
	publish_config(f, 2, "two\n", false);
	cg_docs_record_offer(f->a.docs, CG_DOC_ROOT, 2, &no_listener);
	assert_true(node_wait(config_version(&f->a) == 2, 5000));
}

static void store_outage_keeps_copy_without_freshness(void **state)
{
	struct fixture *f = *state;
	cg_ms at;

	publish_config(f, 1, "one\n", false);
	assert_int_equal(cg_docs_start(f->a.docs), 0);
	assert_true(node_wait(config_version(&f->a) == 1, 3000));
	f->fake->down = true;
	cg_sleep(700);
	at = cg_docs_fresh_at(f->a.docs);
	cg_sleep(700);
	assert_true(cg_docs_fresh_at(f->a.docs) == at);
	assert_int_equal(config_version(&f->a), 1);
	f->fake->down = false;
	assert_true(node_wait(cg_docs_fresh_at(f->a.docs) > at, 8000));
}

static void freshness_of_newer_version_counts_after_adoption(void **state)
{
	struct fixture *f = *state;
	cg_ms now = cg_clock_now(&f->a.clk);
	GBytes *root;
	uint64_t v;
	cg_ms at;

	cg_docs_record_freshness(f->a.docs, 4, now - 100);
	assert_int_equal(cg_docs_freshness_evidence(f->a.docs, &v, &at), -1);
	root = fake_root(4, NULL, 0);
	assert_int_equal(cg_docs_adopt_written(f->a.docs, CG_DOC_ROOT, root, 1),
			 0);
	assert_int_equal(cg_docs_freshness_evidence(f->a.docs, &v, &at), 0);
	assert_int_equal(v, 4);
	assert_true(at == now - 100);
	/* Times in the future of this clock are limited to the present. */
	cg_docs_record_freshness(f->a.docs, 4, now + 100000);
	assert_true(cg_docs_fresh_at(f->a.docs) <= cg_clock_now(&f->a.clk));
	g_bytes_unref(root);
}

static void watcher_adopts_change_without_poll(void **state)
{
	struct fixture *f = *state;
	int reads;

	f->a.set.poll_ms = 60000;
	publish_list_of_a(f, 1);
	publish_config(f, 1, "one\n", false);
	assert_int_equal(cg_docs_start(f->a.docs), 0);
	assert_true(node_wait(f->fake->watches >= 4, 5000));
	reads = f->fake->reads;
	publish_config(f, 2, "two\n", false);
	assert_true(node_wait(config_version(&f->a) == 2, 700));
	/* The part, and possibly polls of the missing shard map. */
	assert_true(f->fake->reads <= reads + 4);
}

static void random_requests_are_handled_safely(void **state)
{
	struct fixture *f = *state;
	uint8_t junk[64];
	GByteArray *reply = g_byte_array_new();
	uint32_t seed = 7;

	for (int i = 0; i < 2000; i++) {
		struct cg_peer_msg m = {
			.kind = i % 2 ? CG_MSG_GET_DOC : CG_MSG_GET_PART,
			.body = junk,
			.len = (size_t)i % sizeof(junk),
		};

		for (size_t k = 0; k < sizeof(junk); k++) {
			seed = seed * 1103515245 + 12345;
			junk[k] = (uint8_t)(seed >> 16);
		}
		cg_docs_handle(f->a.docs, &m, reply);
		g_byte_array_set_size(reply, 0);
	}
	g_byte_array_unref(reply);
	assert_int_equal(root_version(&f->a), 0);
}

struct reader {
	struct cg_docs *d;
	_Atomic bool stop;
	_Atomic bool reverted;
};

static void *read_configs(void *arg)
{
	struct reader *r = arg;
	uint64_t last = 0;

	while (!r->stop) {
		struct cg_config *c = cg_docs_config(r->d);

		if (!c)
			continue;
		if (cg_config_version(c) < last)
			r->reverted = true;
		last = cg_config_version(c);
		cg_config_unref(c);
	}
	return NULL;
}

/* Readers without a lock must never see a freed or an older configuration. */
static void readers_see_no_older_config_during_swaps(void **state)
{
	struct fixture *f = *state;
	struct reader r = { .d = f->a.docs };
	pthread_t t[3];

	for (int i = 0; i < 3; i++)
		pthread_create(&t[i], NULL, read_configs, &r);
	for (uint64_t v = 1; v <= 200; v++) {
		GBytes *root = fake_root(v, NULL, 0);

		assert_int_equal(
			cg_docs_adopt_written(f->a.docs, CG_DOC_ROOT, root, v),
			0);
		g_bytes_unref(root);
	}
	r.stop = true;
	for (int i = 0; i < 3; i++)
		pthread_join(t[i], NULL);
	assert_false(r.reverted);
	assert_int_equal(config_version(&f->a), 200);
}

static void status_shows_version_and_source(void **state)
{
	struct fixture *f = *state;
	GBytes *root = fake_root(6, NULL, 0);
	struct json_object *o;
	struct json_object *r;

	cg_docs_adopt_written(f->a.docs, CG_DOC_ROOT, root, 1);
	o = cg_docs_status(f->a.docs);
	r = json_object_object_get(o, "root");
	assert_int_equal(
		json_object_get_int(json_object_object_get(r, "version")), 6);
	assert_string_equal(
		json_object_get_string(json_object_object_get(r, "source")),
		"store");
	json_object_put(o);
	g_bytes_unref(root);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(new_versions_are_adopted_from_store),
		T(lower_version_never_replaces_copy),
		T(stale_read_does_not_prove_freshness),
		T(invalid_version_is_rejected_once),
		T(malformed_root_is_rejected),
		T(missing_part_delays_adoption),
		T(part_with_wrong_digest_is_refused),
		T(offered_version_is_fetched_from_peer),
		T(failed_offer_is_retried),
		T(seed_is_queried_during_store_outage),
		T(failed_offer_falls_back_to_store),
		T(store_outage_keeps_copy_without_freshness),
		T(freshness_of_newer_version_counts_after_adoption),
		T(watcher_adopts_change_without_poll),
		T(random_requests_are_handled_safely),
		T(readers_see_no_older_config_during_swaps),
		T(status_shows_version_and_source),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
