/* Replays the recorded traces. Each is run first without the mechanism that it
 * is about, which must show the failure, then with all of them. Guards against
 * grants above an account's rate and burst, and against wrongful refusals. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "support/rate_replay.h"

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
	       r->over, r->violations, r->unavailable);
}

static void replay(const char *name)
{
	struct rr_trace *t = read_trace(name);
	struct rr_result without, with, again;
	int failed;

	rr_run(t, rr_trace_break(t), true, &without);
	rr_run(t, RR_COMPLETE, true, &with);
	rr_run(t, RR_COMPLETE, false, &again);
	print(name, "without", &without);
	print(name, "with", &with);
	assert_true(with.hash == again.hash);
	failed =
		rr_expect(t, "without", &without) + rr_expect(t, "with", &with);
	/* Hold for every trace. */
	if (with.over > 0 || with.violations)
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
