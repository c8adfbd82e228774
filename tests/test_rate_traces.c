/* Guards against grants above an account's rate and burst and against wrongful
 * refusals. Each recorded trace is run first without the mechanism that it
 * tests, which must show the failure, then with all mechanisms. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "../replay/rate_fleet.h"

#define TRACES "tests/traces/rates"

static struct rr_trace *read_trace(const char *name)
{
	char *path = g_strdup_printf(TRACES "/%s", name);
	FILE *in = fopen(path, "r");
	struct rr_trace *t;

	assert_non_null(in);
	t = rr_read(in, name);
	fclose(in);
	g_free(path);
	assert_non_null(t);
	return t;
}

static void print(const char *name, const char *which,
		  const struct rr_result *r)
{
	printf("%-28s %-8s arrived %" G_GUINT64_FORMAT
	       ", wrongful %.3f %%, worst account %.3f %%, over %.1f, "
	       "sums exceeded %" G_GUINT64_FORMAT
	       ", unavailable %" G_GUINT64_FORMAT "\n",
	       name, which, r->arrived, r->wrongful_percent, r->worst_percent,
	       r->worst_excess, r->violations, r->unavailable);
}

static void replay(const char *name)
{
	struct rr_trace *t = read_trace(name);
	struct rr_result without, with, again;
	int failed;

	rr_run(t, rr_trace_omission(t), true, &without);
	rr_run(t, RR_NOTHING_OMITTED, true, &with);
	rr_run(t, RR_NOTHING_OMITTED, false, &again);
	print(name, "without", &without);
	print(name, "with", &with);
	assert_true(with.hash == again.hash);
	failed = rr_check_expectations(t, "without", &without) +
		 rr_check_expectations(t, "with", &with);
	/* Must be true for every trace. */
	if (with.worst_excess > 0 || with.violations)
		failed++;
	rr_result_clear(&without);
	rr_result_clear(&with);
	rr_result_clear(&again);
	rr_trace_free(t);
	assert_int_equal(failed, 0);
}

#define TRACE(name)                                                            \
	static void name(void **state)                                         \
	{                                                                      \
		replay(#name ".txt");                                          \
	}

TRACE(uneven_traffic)
TRACE(moving_traffic)
TRACE(ten_times_the_rate)
TRACE(frozen_daemon_wakes)
TRACE(frozen_daemon_leaves)
TRACE(frozen_coordinator)
TRACE(killed_holder)
TRACE(killed_coordinator)
TRACE(one_way_partition)
TRACE(store_unavailable_new_daemon)
TRACE(doubled_messages)
TRACE(unconfirmed_decrease)
TRACE(differing_membership)
TRACE(graceful_handover)
TRACE(rate_change)

/* Tests the window check itself: 11 requests at the same time exceed a burst of
 * 10 by one. */
static void window_check_finds_an_excess(void **state)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(cg_ms));

	for (cg_ms i = 0; i < 11; i++) {
		cg_ms t = 1000000;

		g_array_append_val(times, t);
	}
	assert_true(rr_worst_excess(times, 1000, 10000) == 1.0);
	assert_true(rr_worst_excess(times, 1000, 11000) == 0.0);
	for (cg_ms i = 0; i < 5; i++) {
		cg_ms t = 1001000 + i * 1000;

		g_array_append_val(times, t);
	}
	assert_true(rr_worst_excess(times, 1000, 11000) == 0.0);
	assert_true(rr_worst_excess(times, 900, 11000) > 0.4);
	g_array_free(times, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(window_check_finds_an_excess),
		cmocka_unit_test(uneven_traffic),
		cmocka_unit_test(moving_traffic),
		cmocka_unit_test(ten_times_the_rate),
		cmocka_unit_test(frozen_daemon_wakes),
		cmocka_unit_test(frozen_daemon_leaves),
		cmocka_unit_test(frozen_coordinator),
		cmocka_unit_test(killed_holder),
		cmocka_unit_test(killed_coordinator),
		cmocka_unit_test(one_way_partition),
		cmocka_unit_test(store_unavailable_new_daemon),
		cmocka_unit_test(doubled_messages),
		cmocka_unit_test(unconfirmed_decrease),
		cmocka_unit_test(differing_membership),
		cmocka_unit_test(graceful_handover),
		cmocka_unit_test(rate_change),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
