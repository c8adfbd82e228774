/* Tests what is remembered of servers that leave or have left. Guards against a
 * store that returns from an older copy and brings servers back into use that
 * drain or have left, against servers that are never used again after that, and
 * against memory that grows with each server that leaves. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <string.h>

#include "gateway/server_memory.h"

#define BORN	1000
#define LONG_MS 601000

static void record(struct cgw_server_memory *m, const char *id, int64_t seq,
		   uint64_t era, bool gone, cg_ms now)
{
	struct cgw_departure d = {
		.started_wall_ms = BORN, .seq = seq, .era = era, .gone = gone
	};

	g_strlcpy(d.id, id, sizeof(d.id));
	cgw_server_memory_record(m, &d, now);
}

static enum cgw_entry_state check(struct cgw_server_memory *m, const char *id,
				  int64_t born, int64_t seq, uint64_t era,
				  cg_ms now)
{
	struct cgw_server_facts s = { .started_wall_ms = born, .seq = seq };

	g_strlcpy(s.id, id, sizeof(s.id));
	return cgw_server_memory_check(m, &s, era, now);
}

static void older_entry_of_a_later_era_is_not_used(void **state)
{
	struct cgw_server_memory *m = cgw_server_memory_new();

	(void)state;
	record(m, "a", 8, 1, false, 0);
	record(m, "b", 8, 1, true, 0);
	for (int64_t seq = 5; seq <= 8; seq++) {
		assert_int_equal(check(m, "a", BORN, seq, 2, 0),
				 CGW_ENTRY_DRAINING);
		assert_int_equal(check(m, "b", BORN, seq, 2, 0),
				 CGW_ENTRY_GONE);
	}
	/* The entry of the process before. */
	assert_int_equal(check(m, "a", BORN - 1, 90, 2, 0), CGW_ENTRY_DRAINING);
	cgw_server_memory_free(m);
}

static void server_that_writes_anew_is_used(void **state)
{
	struct cgw_server_memory *m = cgw_server_memory_new();

	(void)state;
	record(m, "a", 8, 1, false, 0);
	record(m, "b", 8, 1, true, 0);
	record(m, "c", 8, 1, true, 0);
	assert_int_equal(check(m, "a", BORN, 9, 2, 0), CGW_ENTRY_CURRENT);
	assert_int_equal(check(m, "b", BORN + 1, 1, 2, 0), CGW_ENTRY_CURRENT);
	/* Within an era the store is always the latest. */
	assert_int_equal(check(m, "c", BORN, 8, 1, 0), CGW_ENTRY_CURRENT);
	assert_int_equal(cgw_server_memory_count(m), 0);
	cgw_server_memory_free(m);
}

static void older_departure_does_not_replace_a_newer_one(void **state)
{
	struct cgw_server_memory *m = cgw_server_memory_new();

	(void)state;
	record(m, "a", 8, 1, true, 0);
	record(m, "a", 5, 1, false, 0);
	assert_int_equal(check(m, "a", BORN, 8, 2, 0), CGW_ENTRY_GONE);
	/* It drains, and then its entry is removed. */
	record(m, "b", 8, 1, false, 0);
	record(m, "b", 8, 1, true, 0);
	assert_int_equal(check(m, "b", BORN, 8, 2, 0), CGW_ENTRY_GONE);
	cgw_server_memory_free(m);
}

static void memory_is_bounded(void **state)
{
	struct cgw_server_memory *m = cgw_server_memory_new();
	char id[16];

	(void)state;
	for (int i = 0; i < 3 * CGW_SERVER_MEMORY_MAX; i++) {
		g_snprintf(id, sizeof(id), "s%d", i);
		record(m, id, 8, 1, true, i);
	}
	assert_int_equal(cgw_server_memory_count(m), CGW_SERVER_MEMORY_MAX);
	assert_int_equal(check(m, id, BORN, 8, 2, 0), CGW_ENTRY_GONE);
	cgw_server_memory_free(m);
}

static void departure_is_kept_while_its_older_entry_is_listed(void **state)
{
	struct cgw_server_memory *m = cgw_server_memory_new();

	(void)state;
	record(m, "a", 8, 1, true, 0);
	record(m, "b", 8, 1, true, 0);
	assert_int_equal(check(m, "a", BORN, 8, 2, LONG_MS / 2),
			 CGW_ENTRY_GONE);
	record(m, "c", 8, 1, true, LONG_MS);
	assert_int_equal(check(m, "a", BORN, 8, 2, LONG_MS), CGW_ENTRY_GONE);
	assert_int_equal(check(m, "b", BORN, 8, 2, LONG_MS), CGW_ENTRY_CURRENT);
	cgw_server_memory_free(m);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(older_entry_of_a_later_era_is_not_used),
		cmocka_unit_test(server_that_writes_anew_is_used),
		cmocka_unit_test(older_departure_does_not_replace_a_newer_one),
		cmocka_unit_test(memory_is_bounded),
		cmocka_unit_test(
			departure_is_kept_while_its_older_entry_is_listed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
