/* Guards against revocations that are lost or never end, drains that stay in
 * force after a restart of the server, and ended notices that come back into
 * force because other members still send old copies of them. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "fake_config.h"
#include "internal/members.h"
#include "internal/notices.h"
#include "notice_wire.h"

struct fixture {
	struct cg_settings set;
	struct cg_clock clk;
	struct cg_docs *docs;
	struct cg_members *members;
	struct cg_notices *n;
};

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	*state = f;
	g_strlcpy(f->set.instance, "a", sizeof(f->set.instance));
	cg_clock_init_manual(&f->clk, 10000000);
	f->members = cg_members_new(&f->set, 1, &f->clk);
	f->docs = cg_docs_new(&f->set, &f->clk, NULL, NULL, f->members);
	f->n = cg_notices_new(&f->clk, NULL, f->members, f->docs);
	cg_docs_add_listener(f->docs, cg_notices_on_doc, f->n);
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	cg_notices_free(f->n);
	cg_docs_free(f->docs);
	cg_members_free(f->members);
	g_free(f);
	return 0;
}

static void advance(struct fixture *f, cg_ms ms)
{
	cg_clock_set(&f->clk, cg_clock_now(&f->clk) + ms);
}

/* Applies a fake configuration with one key digest or none. Parts cannot be
 * fetched in this test, so the configuration is passed to the notices
 * directly. */
static void apply_config(struct fixture *f, uint64_t version,
			 const uint8_t *digest)
{
	struct cg_config c = { .version = version };
	char hex[CG_DIGEST_SIZE * 2 + 1] = "";

	if (digest)
		fake_hex(digest, hex);
	c.text = hex;
	cg_notices_apply_config(f->n, &c);
}

static void apply_list(struct fixture *f, uint64_t version, const char *name,
		       bool leaving, int64_t started)
{
	struct cg_instance_entry item = { .server = true,
					  .leaving = leaving,
					  .started = started };
	struct cg_instance_list l = { .version = version,
				      .items = &item,
				      .n = 1 };

	g_strlcpy(item.name, name, sizeof(item.name));
	cg_notices_apply_list(f->n, &l);
}

static bool merge_drain(struct fixture *f, const char *name, uint64_t age)
{
	char text[64];
	cg_x_notice x = { .kind = CG_NOTICE_DRAIN,
			  .name = text,
			  .age_ms = age };

	g_strlcpy(text, name, sizeof(text));
	return cg_notices_merge(f->n, &x);
}

static bool merge_revoke(struct fixture *f, const uint8_t *digest, uint64_t age)
{
	char empty[1] = "";
	cg_x_notice x = { .kind = CG_NOTICE_REVOKE,
			  .name = empty,
			  .age_ms = age };

	memcpy(x.digest, digest, sizeof(x.digest));
	return cg_notices_merge(f->n, &x);
}

static void drain_is_in_force_at_once(void **state)
{
	struct fixture *f = *state;

	assert_false(cg_notices_is_draining(f->n, "s1"));
	cg_notices_announce_drain(f->n, "s1");
	assert_true(cg_notices_is_draining(f->n, "s1"));
	assert_false(cg_notices_is_draining(f->n, "s2"));
	/* The same drain from another daemon is not a new notice. */
	assert_false(merge_drain(f, "s1", 100));
}

static void drain_ends_when_server_restarts(void **state)
{
	struct fixture *f = *state;

	apply_list(f, 1, "s1", false, 3);
	cg_notices_announce_drain(f->n, "s1");
	apply_list(f, 2, "s1", false, 3);
	assert_true(cg_notices_is_draining(f->n, "s1"));
	apply_list(f, 3, "s1", false, 4);
	assert_false(cg_notices_is_draining(f->n, "s1"));
}

static void first_list_does_not_end_drain(void **state)
{
	struct fixture *f = *state;

	cg_notices_announce_drain(f->n, "s1");
	apply_list(f, 1, "s1", false, 5);
	assert_true(cg_notices_is_draining(f->n, "s1"));
	apply_list(f, 2, "s1", false, 6);
	assert_false(cg_notices_is_draining(f->n, "s1"));
}

static void leaving_server_drains_without_notice(void **state)
{
	struct fixture *f = *state;

	apply_list(f, 1, "s1", true, 3);
	assert_true(cg_notices_is_draining(f->n, "s1"));
	apply_list(f, 2, "s1", false, 3);
	assert_false(cg_notices_is_draining(f->n, "s1"));
}

static void return_to_live_ends_drain(void **state)
{
	struct fixture *f = *state;

	apply_list(f, 1, "s1", false, 3);
	cg_notices_announce_drain(f->n, "s1");
	apply_list(f, 2, "s1", true, 3);
	apply_list(f, 3, "s1", false, 3);
	assert_false(cg_notices_is_draining(f->n, "s1"));
}

static void stale_list_is_ignored(void **state)
{
	struct fixture *f = *state;

	apply_list(f, 5, "s1", true, 3);
	apply_list(f, 4, "s1", false, 3);
	assert_true(cg_notices_is_draining(f->n, "s1"));
}

/* Members that have not seen the end yet still send the old notice. */
static void ended_drain_is_not_restored_by_old_copy(void **state)
{
	struct fixture *f = *state;

	apply_list(f, 1, "s1", false, 3);
	cg_notices_announce_drain(f->n, "s1");
	advance(f, 10000);
	apply_list(f, 2, "s1", false, 4);
	advance(f, 500);
	assert_false(merge_drain(f, "s1", 10500));
	assert_false(cg_notices_is_draining(f->n, "s1"));
	/* A drain that began after the end is a new one. */
	advance(f, 10000);
	assert_true(merge_drain(f, "s1", 100));
	assert_true(cg_notices_is_draining(f->n, "s1"));
}

static void drain_of_unlisted_server_expires(void **state)
{
	struct fixture *f = *state;
	cg_x_notice out[4];

	cg_notices_announce_drain(f->n, "s1");
	advance(f, 6 * 3600 * 1000LL + 1);
	assert_int_equal(cg_notices_collect(f->n, out, 4), 0);
	assert_false(cg_notices_is_draining(f->n, "s1"));
	assert_false(merge_drain(f, "s1", 6 * 3600 * 1000LL + 1));
}

static void revocation_ends_with_config_without_key(void **state)
{
	struct fixture *f = *state;
	uint8_t k[CG_DIGEST_SIZE] = { 1, 2, 3 };
	uint8_t other[CG_DIGEST_SIZE] = { 9 };

	apply_config(f, 1, k);
	cg_notices_announce_revocation(f->n, k);
	assert_true(cg_notices_is_revoked(f->n, k));
	assert_false(cg_notices_is_revoked(f->n, other));
	apply_config(f, 2, k);
	assert_true(cg_notices_is_revoked(f->n, k));
	apply_config(f, 3, other);
	assert_false(cg_notices_is_revoked(f->n, k));
	/* Members with the older root still send the notice. */
	advance(f, 1000);
	assert_false(merge_revoke(f, k, 2000));
	assert_false(cg_notices_is_revoked(f->n, k));
}

/* During a store outage the configuration may contain the key for hours. */
static void revocation_of_configured_key_never_expires(void **state)
{
	struct fixture *f = *state;
	uint8_t k[CG_DIGEST_SIZE] = { 4 };
	cg_x_notice out[4];
	size_t n;

	/* Without a configuration the key counts as configured. */
	cg_notices_announce_revocation(f->n, k);
	advance(f, 24 * 3600 * 1000LL);
	n = cg_notices_collect(f->n, out, 4);
	assert_int_equal(n, 1);
	assert_int_equal(out[0].age_ms, 24 * 3600 * 1000LL);
	xdr_free((xdrproc_t)xdr_cg_x_notice, (char *)&out[0]);
	assert_true(cg_notices_is_revoked(f->n, k));
}

static void revocation_of_unknown_key_expires(void **state)
{
	struct fixture *f = *state;
	uint8_t k[CG_DIGEST_SIZE] = { 5 };
	GBytes *root = fake_root(1, NULL, 0);
	cg_x_notice out[4];

	cg_docs_adopt_written(f->docs, CG_DOC_ROOT, root, 1);
	g_bytes_unref(root);
	cg_notices_announce_revocation(f->n, k);
	assert_true(cg_notices_is_revoked(f->n, k));
	advance(f, 601 * 1000);
	assert_int_equal(cg_notices_collect(f->n, out, 4), 0);
	assert_false(merge_revoke(f, k, 601 * 1000));
}

/* The listener for adopted documents ends the revocation. */
static void adopted_config_ends_revocation(void **state)
{
	struct fixture *f = *state;
	uint8_t k[CG_DIGEST_SIZE] = { 6 };
	GBytes *root = fake_root(2, NULL, 0);

	cg_notices_announce_revocation(f->n, k);
	cg_docs_adopt_written(f->docs, CG_DOC_ROOT, root, 1);
	g_bytes_unref(root);
	assert_false(cg_notices_is_revoked(f->n, k));
}

static void revocations_survive_full_table(void **state)
{
	struct fixture *f = *state;
	uint8_t k[CG_DIGEST_SIZE] = { 7 };
	size_t n = 0;
	struct json_object *o;

	cg_notices_announce_revocation(f->n, k);
	for (int i = 0; i < 3000; i++) {
		char name[32];

		g_snprintf(name, sizeof(name), "s%d", i);
		advance(f, 1);
		cg_notices_announce_drain(f->n, name);
	}
	assert_true(cg_notices_is_revoked(f->n, k));
	assert_true(cg_notices_is_draining(f->n, "s2999"));
	assert_false(cg_notices_is_draining(f->n, "s0"));
	o = cg_notices_status(f->n);
	n = json_object_array_length(json_object_object_get(o, "notices"));
	json_object_put(o);
	assert_in_range(n, 1000, 1024);
}

static void malformed_notices_are_refused(void **state)
{
	struct fixture *f = *state;
	uint8_t junk[128];
	uint32_t seed = 3;

	assert_false(merge_drain(f, "", 0));
	for (int i = 0; i < 2000; i++) {
		struct cg_peer_msg m = { .kind = CG_MSG_NOTICE,
					 .body = junk,
					 .len = (size_t)i % sizeof(junk) };

		for (size_t k = 0; k < sizeof(junk); k++) {
			seed = seed * 1103515245 + 12345;
			junk[k] = (uint8_t)(seed >> 16);
		}
		assert_int_equal(cg_notices_handle(f->n, &m, NULL), -1);
	}
}

static void received_notice_is_in_force(void **state)
{
	struct fixture *f = *state;
	char name[] = "s1";
	cg_x_notice x = { .kind = CG_NOTICE_DRAIN, .name = name };
	GByteArray *body = g_byte_array_new();
	struct cg_peer_msg m = { .kind = CG_MSG_NOTICE };

	cg_xdr_encode((xdrproc_t)xdr_cg_x_notice, &x, body);
	m.body = body->data;
	m.len = body->len;
	assert_int_equal(cg_notices_handle(f->n, &m, NULL), 0);
	assert_true(cg_notices_is_draining(f->n, "s1"));
	/* A duplicate is accepted and has no effect. */
	assert_int_equal(cg_notices_handle(f->n, &m, NULL), 0);
	g_byte_array_unref(body);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(drain_is_in_force_at_once),
		T(drain_ends_when_server_restarts),
		T(first_list_does_not_end_drain),
		T(leaving_server_drains_without_notice),
		T(return_to_live_ends_drain),
		T(stale_list_is_ignored),
		T(ended_drain_is_not_restored_by_old_copy),
		T(drain_of_unlisted_server_expires),
		T(revocation_ends_with_config_without_key),
		T(revocation_of_configured_key_never_expires),
		T(revocation_of_unknown_key_expires),
		T(adopted_config_ends_revocation),
		T(revocations_survive_full_table),
		T(malformed_notices_are_refused),
		T(received_notice_is_in_force),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
