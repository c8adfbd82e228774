/* Guards against a publication that overwrites a concurrent one, a write that
 * is reported as failed although it took effect (or the reverse), a root that
 * lists parts which are not stored, and a stale read that is taken for the
 * current root. The failures come from lost requests and responses, outages and
 * stale reads of the store.
 *
 * The store is a fake in memory: this file defines the functions cg_store_*, so
 * that the linker does not use the client in the library. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <glib.h>
#include <string.h>

#include "internal/publish.h"
#include "support/objects.h"

#define MAX_ROOT_WRITES 16

/* Scripted result of one write of the root. */
enum write_behaviour {
	WRITE_NORMAL,
	WRITE_LOSE_RESPONSE, /* Takes effect; returns UNKNOWN. */
	WRITE_LOSE_REQUEST, /* Has no effect; returns UNKNOWN. */
	WRITE_UNAVAILABLE, /* Has no effect; returns UNAVAILABLE. */
	WRITE_CONFLICT, /* Has no effect; returns CONFLICT. */
};

struct stored_object {
	GBytes *body;
	uint64_t version;
};

struct cg_store {
	GHashTable *objects;
	uint64_t last_version;
	enum write_behaviour root_writes[MAX_ROOT_WRITES];
	int root_write;
	int part_failures; /* How many of the next part writes fail. */
	enum cg_store_result part_failure;
	int read_failures; /* How many of the next reads fail. */
	int stale_reads; /* How many of the next root reads are stale. */
	struct stored_object stale_root;
	void (*before_root_write)(struct cg_store *s);
	void (*after_root_write)(struct cg_store *s);
	int part_writes;
};

static void free_object(void *p)
{
	struct stored_object *o = p;

	g_bytes_unref(o->body);
	g_free(o);
}

static uint64_t store_put(struct cg_store *s, const char *name,
			  const void *data, size_t len)
{
	struct stored_object *o = g_new0(struct stored_object, 1);

	o->body = g_bytes_new(data, len);
	o->version = ++s->last_version;
	g_hash_table_replace(s->objects, g_strdup(name), o);
	return o->version;
}

static bool is_root(const char *name)
{
	return !strcmp(name, CG_ROOT_OBJECT);
}

enum cg_store_result cg_store_get(struct cg_store *s, const char *name,
				  GBytes **body, uint64_t *version)
{
	const struct stored_object *o = g_hash_table_lookup(s->objects, name);

	if (s->read_failures > 0) {
		s->read_failures--;
		return CG_STORE_UNAVAILABLE;
	}
	if (is_root(name) && s->stale_reads > 0) {
		s->stale_reads--;
		o = s->stale_root.body ? &s->stale_root : NULL;
	}
	if (!o)
		return CG_STORE_NOT_FOUND;
	*body = g_bytes_ref(o->body);
	*version = o->version;
	return CG_STORE_OK;
}

/* Writes the root if it has version @p expected; 0: if it does not exist. */
static enum cg_store_result write_root(struct cg_store *s, uint64_t expected,
				       const void *data, size_t len)
{
	enum write_behaviour b =
		s->root_writes[s->root_write++ % MAX_ROOT_WRITES];
	const struct stored_object *o;
	bool version_matches;

	if (s->before_root_write)
		s->before_root_write(s);
	o = g_hash_table_lookup(s->objects, CG_ROOT_OBJECT);
	version_matches = expected == (o ? o->version : 0);
	if (b == WRITE_UNAVAILABLE)
		return CG_STORE_UNAVAILABLE;
	if (b == WRITE_LOSE_REQUEST)
		return CG_STORE_UNKNOWN;
	if (b == WRITE_CONFLICT || (!version_matches && b == WRITE_NORMAL))
		return CG_STORE_CONFLICT;
	if (version_matches)
		store_put(s, CG_ROOT_OBJECT, data, len);
	if (s->after_root_write)
		s->after_root_write(s);
	return b == WRITE_LOSE_RESPONSE ? CG_STORE_UNKNOWN : CG_STORE_OK;
}

enum cg_store_result cg_store_create(struct cg_store *s, const char *name,
				     const void *data, size_t len,
				     uint64_t *version)
{
	if (is_root(name))
		return write_root(s, 0, data, len);
	s->part_writes++;
	if (s->part_failures > 0) {
		s->part_failures--;
		if (s->part_failure == CG_STORE_UNKNOWN)
			store_put(s, name, data, len);
		return s->part_failure;
	}
	if (g_hash_table_contains(s->objects, name))
		return CG_STORE_CONFLICT;
	store_put(s, name, data, len);
	return CG_STORE_OK;
}

enum cg_store_result cg_store_update(struct cg_store *s, const char *name,
				     uint64_t expected, const void *data,
				     size_t len, uint64_t *version)
{
	assert_true(is_root(name));
	return write_root(s, expected, data, len);
}

static int setup(void **state)
{
	struct cg_store *s = g_new0(struct cg_store, 1);

	s->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_object);
	*state = s;
	return 0;
}

static int teardown(void **state)
{
	struct cg_store *s = *state;

	g_hash_table_unref(s->objects);
	if (s->stale_root.body)
		g_bytes_unref(s->stale_root.body);
	g_free(s);
	return 0;
}

static struct cg_config *make_config(int rate)
{
	struct cg_faults f = { 0 };
	GString *s = g_string_new("{\"accounts\":{");
	struct cg_config *c;

	for (int i = 0; i < 2000; i++)
		g_string_append_printf(s, "%s\"account-%d\":{\"rate\":%d}",
				       i ? "," : "", i, i == 5 ? rate : 1);
	g_string_append(s, "}}");
	c = config_from_text(s->str, 1, &f);
	assert_no_faults(&f);
	g_string_free(s, TRUE);
	return c;
}

static enum cg_publish_result publish(struct cg_store *s, int rate,
				      struct cg_publication *p)
{
	struct cg_config *c = make_config(rate);
	struct cg_faults f = { 0 };
	enum cg_publish_result rc = cg_publish(s, c, 1, p, &f);

	assert_no_faults(&f);
	cg_config_unref(c);
	return rc;
}

/* Checks the version and content of the stored configuration, and that all its
 * parts exist. */
static void assert_in_force(struct cg_store *s, uint64_t version, int rate)
{
	struct cg_faults f = { 0 };
	struct cg_config *c;

	assert_int_equal(cg_published_config_load(s, 1, &c, &f), CG_STORE_OK);
	assert_no_faults(&f);
	assert_int_equal(cg_config_version(c), version);
	assert_int_equal(cg_config_find_account(c, "account-5")->rate_milli,
			 rate * 1000);
	cg_config_unref(c);
}

static void save_stale_root(struct cg_store *s)
{
	const struct stored_object *o =
		g_hash_table_lookup(s->objects, CG_ROOT_OBJECT);

	s->stale_root.body = g_bytes_ref(o->body);
	s->stale_root.version = o->version;
}

/* Publishes as another operator would between two calls to the store. */
static void publish_concurrently(struct cg_store *s)
{
	struct cg_publication p;

	s->before_root_write = NULL;
	s->after_root_write = NULL;
	assert_int_equal(publish(s, 50, &p), CG_PUBLISH_WRITTEN);
}

static void first_write_has_version_one(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;
	struct cg_config *c;
	struct cg_faults f = { 0 };

	assert_int_equal(cg_published_config_load(s, 1, &c, &f),
			 CG_STORE_NOT_FOUND);
	assert_int_equal(publish(s, 2, &p), CG_PUBLISH_WRITTEN);
	assert_int_equal(p.version, 1);
	assert_int_equal(strlen(p.write_id), 32);
	assert_int_equal(p.parts_written, p.parts);
	assert_in_force(s, 1, 2);
}

static void change_writes_one_part_and_the_root(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	assert_true(p.parts > 1);
	s->part_writes = 0;
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_WRITTEN);
	assert_int_equal(p.version, 2);
	assert_int_equal(p.parts_written, 1);
	assert_int_equal(s->part_writes, 1);
	assert_in_force(s, 2, 3);
	/* Returning to the first content, whose part is already stored. */
	assert_int_equal(publish(s, 2, &p), CG_PUBLISH_WRITTEN);
	assert_in_force(s, 3, 2);
}

static void unchanged_configuration_writes_nothing(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;
	uint64_t before;

	publish(s, 2, &p);
	before = s->last_version;
	s->part_writes = 0;
	assert_int_equal(publish(s, 2, &p), CG_PUBLISH_UNCHANGED);
	assert_int_equal(p.version, 1);
	assert_int_equal(s->last_version, before);
	assert_int_equal(s->part_writes, 0);
}

static void lost_race_never_overwrites(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	s->before_root_write = publish_concurrently;
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_LOST_RACE);
	assert_int_equal(p.in_force, 2);
	assert_in_force(s, 2, 50);
}

static void concurrent_first_write_is_a_lost_race(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	s->before_root_write = publish_concurrently;
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_LOST_RACE);
	assert_in_force(s, 1, 50);
}

static void lost_response_is_detected_by_the_write_id(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	s->root_writes[0] = WRITE_LOSE_RESPONSE;
	s->root_writes[1] = WRITE_LOSE_RESPONSE;
	assert_int_equal(publish(s, 2, &p), CG_PUBLISH_WRITTEN);
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_WRITTEN);
	assert_int_equal(s->root_write, 2);
	assert_in_force(s, 2, 3);
}

static void lost_response_is_detected_after_another_write(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	s->root_writes[1] = WRITE_LOSE_RESPONSE;
	s->after_root_write = publish_concurrently;
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_WRITTEN);
	assert_int_equal(p.version, 2);
	assert_int_equal(p.in_force, 3);
	assert_in_force(s, 3, 50);
}

static void lost_request_is_retried(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	s->root_writes[1] = WRITE_LOSE_REQUEST;
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_WRITTEN);
	assert_int_equal(p.version, 2);
	assert_in_force(s, 2, 3);
}

static void lost_request_then_conflict_is_a_lost_race(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	s->root_writes[1] = WRITE_LOSE_REQUEST;
	s->before_root_write = publish_concurrently;
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_LOST_RACE);
	assert_in_force(s, 2, 50);
}

static void conflict_with_own_earlier_write_is_success(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	/* The response is lost and the following reads are stale, so the write
	 * is retried and conflicts with its own effect. */
	save_stale_root(s);
	s->root_writes[1] = WRITE_LOSE_RESPONSE;
	s->stale_reads = 2;
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_WRITTEN);
	assert_in_force(s, 2, 3);
}

static void outage_before_the_root_write_is_unavailable(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	for (int i = 1; i < MAX_ROOT_WRITES; i++)
		s->root_writes[i] = WRITE_UNAVAILABLE;
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_UNAVAILABLE);
	assert_in_force(s, 1, 2);
	s->read_failures = 1000;
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_UNAVAILABLE);
	s->read_failures = 0;
	s->part_failures = 1000;
	s->part_failure = CG_STORE_UNAVAILABLE;
	assert_int_equal(publish(s, 4, &p), CG_PUBLISH_UNAVAILABLE);
	assert_in_force(s, 1, 2);
}

static void outage_after_a_lost_response_is_unknown(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	s->root_writes[1] = WRITE_LOSE_RESPONSE;
	for (int i = 2; i < MAX_ROOT_WRITES; i++)
		s->root_writes[i] = WRITE_UNAVAILABLE;
	save_stale_root(s);
	s->stale_reads = 1000;
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_UNKNOWN);
	s->stale_reads = 0;
	assert_in_force(s, 2, 3);
}

static void part_writes_with_lost_responses_are_retried(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	s->part_failures = 3;
	s->part_failure = CG_STORE_UNKNOWN;
	assert_int_equal(publish(s, 2, &p), CG_PUBLISH_WRITTEN);
	assert_in_force(s, 1, 2);
}

static void short_outage_does_not_fail_the_publication(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	s->read_failures = 2;
	s->part_failures = 2;
	s->part_failure = CG_STORE_REJECTED;
	s->root_writes[0] = WRITE_UNAVAILABLE;
	assert_int_equal(publish(s, 2, &p), CG_PUBLISH_WRITTEN);
	assert_in_force(s, 1, 2);
}

/* A stale read that equals the new configuration must not hide that another one
 * is in force. */
static void one_stale_read_does_not_count_as_unchanged(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	save_stale_root(s);
	publish(s, 3, &p);
	s->stale_reads = 1;
	assert_int_equal(publish(s, 2, &p), CG_PUBLISH_WRITTEN);
	assert_int_equal(p.version, 3);
	assert_in_force(s, 3, 2);
}

static void stale_first_read_cannot_lower_the_version(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	save_stale_root(s);
	publish(s, 3, &p);
	s->stale_reads = 1;
	assert_int_equal(publish(s, 4, &p), CG_PUBLISH_LOST_RACE);
	assert_in_force(s, 2, 3);
}

static void conflict_with_stale_reads_is_a_lost_race(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	for (int i = 1; i < MAX_ROOT_WRITES; i++)
		s->root_writes[i] = WRITE_CONFLICT;
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_LOST_RACE);
	assert_int_equal(p.in_force, 0);
	assert_in_force(s, 1, 2);
}

static void invalid_root_in_the_store_is_not_replaced(void **state)
{
	struct cg_store *s = *state;
	struct cg_config *c = make_config(2);
	struct cg_faults f = { 0 };
	struct cg_publication p;

	store_put(s, CG_ROOT_OBJECT, "{}", 2);
	assert_int_equal(cg_publish(s, c, 1, &p, &f), CG_PUBLISH_INVALID);
	assert_true(f.n > 0);
	assert_int_equal(s->last_version, 1);
	cg_faults_clear(&f);
	cg_config_unref(c);
}

static void missing_part_is_unavailable_for_readers(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;
	struct cg_faults f = { 0 };
	struct cg_config *c;
	GHashTableIter it;
	gpointer name;

	publish(s, 2, &p);
	g_hash_table_iter_init(&it, s->objects);
	while (g_hash_table_iter_next(&it, &name, NULL))
		if (!is_root(name)) {
			g_hash_table_iter_remove(&it);
			break;
		}
	assert_int_equal(cg_published_config_load(s, 1, &c, &f),
			 CG_STORE_UNAVAILABLE);
}

#define STORE_TEST(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		STORE_TEST(first_write_has_version_one),
		STORE_TEST(change_writes_one_part_and_the_root),
		STORE_TEST(unchanged_configuration_writes_nothing),
		STORE_TEST(lost_race_never_overwrites),
		STORE_TEST(concurrent_first_write_is_a_lost_race),
		STORE_TEST(lost_response_is_detected_by_the_write_id),
		STORE_TEST(lost_response_is_detected_after_another_write),
		STORE_TEST(lost_request_is_retried),
		STORE_TEST(lost_request_then_conflict_is_a_lost_race),
		STORE_TEST(conflict_with_own_earlier_write_is_success),
		STORE_TEST(outage_before_the_root_write_is_unavailable),
		STORE_TEST(outage_after_a_lost_response_is_unknown),
		STORE_TEST(part_writes_with_lost_responses_are_retried),
		STORE_TEST(short_outage_does_not_fail_the_publication),
		STORE_TEST(one_stale_read_does_not_count_as_unchanged),
		STORE_TEST(stale_first_read_cannot_lower_the_version),
		STORE_TEST(conflict_with_stale_reads_is_a_lost_race),
		STORE_TEST(invalid_root_in_the_store_is_not_replaced),
		STORE_TEST(missing_part_is_unavailable_for_readers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
