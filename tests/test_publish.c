/* Guards against a configuration that overwrites another operator's, a write
 * reported as failed although it took effect (or the reverse), a root whose
 * parts are missing, and an old read that is taken for the truth.
 *
 * The store here is a fake in memory: this file defines cg_store_*, so the
 * linker does not take the library's client. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <glib.h>
#include <string.h>

#include "internal/publish.h"
#include "support/objects.h"

#define MAX_SCRIPT 16

/* What the next write of the root does. */
enum behaviour {
	NORMAL,
	LOSE_ANSWER, /* Takes effect, but the caller hears UNKNOWN. */
	LOSE_CALL, /* Has no effect, and the caller hears UNKNOWN. */
	BUSY, /* Has no effect: UNAVAILABLE. */
	CONFLICT, /* Says CONFLICT whatever is stored. */
};

struct object {
	GBytes *body;
	uint64_t version;
};

struct cg_store {
	GHashTable *objects;
	uint64_t last_version;
	enum behaviour root_writes[MAX_SCRIPT];
	int root_write;
	int part_failures; /* The next creations of parts fail. */
	enum cg_store_result part_failure;
	int read_failures; /* The next reads fail. */
	int stale_reads; /* The next reads of the root show "older". */
	struct object older;
	void (*before_root_write)(struct cg_store *s);
	void (*after_root_write)(struct cg_store *s);
	int part_writes;
};

static void free_object(void *p)
{
	struct object *o = p;

	g_bytes_unref(o->body);
	g_free(o);
}

static uint64_t put(struct cg_store *s, const char *name, const void *data,
		    size_t len)
{
	struct object *o = g_new0(struct object, 1);

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
	const struct object *o = g_hash_table_lookup(s->objects, name);

	if (s->read_failures > 0) {
		s->read_failures--;
		return CG_STORE_UNAVAILABLE;
	}
	if (is_root(name) && s->stale_reads > 0) {
		s->stale_reads--;
		o = s->older.body ? &s->older : NULL;
	}
	if (!o)
		return CG_STORE_NOT_FOUND;
	*body = g_bytes_ref(o->body);
	*version = o->version;
	return CG_STORE_OK;
}

/* @p expected 0: the object must not exist. */
static enum cg_store_result write_root(struct cg_store *s, uint64_t expected,
				       const void *data, size_t len)
{
	enum behaviour b = s->root_writes[s->root_write++ % MAX_SCRIPT];
	const struct object *o;
	bool fits;

	if (s->before_root_write)
		s->before_root_write(s);
	o = g_hash_table_lookup(s->objects, CG_ROOT_OBJECT);
	fits = expected == (o ? o->version : 0);
	if (b == BUSY)
		return CG_STORE_UNAVAILABLE;
	if (b == LOSE_CALL)
		return CG_STORE_UNKNOWN;
	if (b == CONFLICT || (!fits && b == NORMAL))
		return CG_STORE_CONFLICT;
	if (fits)
		put(s, CG_ROOT_OBJECT, data, len);
	if (s->after_root_write)
		s->after_root_write(s);
	return b == LOSE_ANSWER ? CG_STORE_UNKNOWN : CG_STORE_OK;
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
			put(s, name, data, len);
		return s->part_failure;
	}
	if (g_hash_table_contains(s->objects, name))
		return CG_STORE_CONFLICT;
	put(s, name, data, len);
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
	if (s->older.body)
		g_bytes_unref(s->older.body);
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

/* Checks that the stored configuration is whole. */
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

static void keep_older(struct cg_store *s)
{
	const struct object *o =
		g_hash_table_lookup(s->objects, CG_ROOT_OBJECT);

	s->older.body = g_bytes_ref(o->body);
	s->older.version = o->version;
}

/* Another operator's write between this one's read and write. */
static void race(struct cg_store *s)
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
	/* The part of the first version exists already. */
	assert_int_equal(publish(s, 2, &p), CG_PUBLISH_WRITTEN);
	assert_in_force(s, 3, 2);
}

static void equal_folder_writes_nothing(void **state)
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
	s->before_root_write = race;
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_LOST_RACE);
	assert_int_equal(p.in_force, 2);
	assert_in_force(s, 2, 50);
}

static void race_for_the_first_write_is_lost_too(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	s->before_root_write = race;
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_LOST_RACE);
	assert_in_force(s, 1, 50);
}

static void lost_answer_is_recognised_by_the_write_id(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	s->root_writes[0] = LOSE_ANSWER;
	s->root_writes[1] = LOSE_ANSWER;
	assert_int_equal(publish(s, 2, &p), CG_PUBLISH_WRITTEN);
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_WRITTEN);
	assert_int_equal(s->root_write, 2);
	assert_in_force(s, 2, 3);
}

static void lost_answer_is_recognised_after_another_write(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	s->root_writes[1] = LOSE_ANSWER;
	s->after_root_write = race;
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_WRITTEN);
	assert_int_equal(p.version, 2);
	assert_int_equal(p.in_force, 3);
	assert_in_force(s, 3, 50);
}

static void lost_call_is_repeated(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	s->root_writes[1] = LOSE_CALL;
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_WRITTEN);
	assert_int_equal(p.version, 2);
	assert_in_force(s, 2, 3);
}

static void lost_call_and_lost_race_are_a_lost_race(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	s->root_writes[1] = LOSE_CALL;
	s->before_root_write = race;
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_LOST_RACE);
	assert_in_force(s, 2, 50);
}

static void conflict_of_an_own_repeated_write_is_success(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	/* The answer is lost, the reads are stale, so the call is repeated and
	 * meets its own effect. */
	keep_older(s);
	s->root_writes[1] = LOSE_ANSWER;
	s->stale_reads = 2;
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_WRITTEN);
	assert_in_force(s, 2, 3);
}

static void outage_before_the_root_is_unavailable(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	for (int i = 1; i < MAX_SCRIPT; i++)
		s->root_writes[i] = BUSY;
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

static void outage_after_a_lost_answer_is_unknown(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	s->root_writes[1] = LOSE_ANSWER;
	for (int i = 2; i < MAX_SCRIPT; i++)
		s->root_writes[i] = BUSY;
	keep_older(s);
	s->stale_reads = 1000;
	assert_int_equal(publish(s, 3, &p), CG_PUBLISH_UNKNOWN);
	s->stale_reads = 0;
	assert_in_force(s, 2, 3);
}

static void parts_with_lost_answers_are_written_once_more(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	s->part_failures = 3;
	s->part_failure = CG_STORE_UNKNOWN;
	assert_int_equal(publish(s, 2, &p), CG_PUBLISH_WRITTEN);
	assert_in_force(s, 1, 2);
}

static void short_outage_is_survived(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	s->read_failures = 2;
	s->part_failures = 2;
	s->part_failure = CG_STORE_REJECTED;
	s->root_writes[0] = BUSY;
	assert_int_equal(publish(s, 2, &p), CG_PUBLISH_WRITTEN);
	assert_in_force(s, 1, 2);
}

/* An old read that equals the folder must not hide that another configuration
 * is in force. */
static void single_old_read_does_not_count_as_unchanged(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	keep_older(s);
	publish(s, 3, &p);
	s->stale_reads = 1;
	assert_int_equal(publish(s, 2, &p), CG_PUBLISH_WRITTEN);
	assert_int_equal(p.version, 3);
	assert_in_force(s, 3, 2);
}

static void old_first_read_cannot_lower_the_version(void **state)
{
	struct cg_store *s = *state;
	struct cg_publication p;

	publish(s, 2, &p);
	keep_older(s);
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
	for (int i = 1; i < MAX_SCRIPT; i++)
		s->root_writes[i] = CONFLICT;
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

	put(s, CG_ROOT_OBJECT, "{}", 2);
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
		STORE_TEST(equal_folder_writes_nothing),
		STORE_TEST(lost_race_never_overwrites),
		STORE_TEST(race_for_the_first_write_is_lost_too),
		STORE_TEST(lost_answer_is_recognised_by_the_write_id),
		STORE_TEST(lost_answer_is_recognised_after_another_write),
		STORE_TEST(lost_call_is_repeated),
		STORE_TEST(lost_call_and_lost_race_are_a_lost_race),
		STORE_TEST(conflict_of_an_own_repeated_write_is_success),
		STORE_TEST(outage_before_the_root_is_unavailable),
		STORE_TEST(outage_after_a_lost_answer_is_unknown),
		STORE_TEST(parts_with_lost_answers_are_written_once_more),
		STORE_TEST(short_outage_is_survived),
		STORE_TEST(single_old_read_does_not_count_as_unchanged),
		STORE_TEST(old_first_read_cannot_lower_the_version),
		STORE_TEST(conflict_with_stale_reads_is_a_lost_race),
		STORE_TEST(invalid_root_in_the_store_is_not_replaced),
		STORE_TEST(missing_part_is_unavailable_for_readers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
