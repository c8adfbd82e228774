/* Guards against a service that drops below its floor because too many servers
 * are ejected, against healthy servers that are ejected, and against failing
 * servers that are not. Traces are replayed on a simulated clock, each also
 * with the mechanism that it tests disabled. Decisions that a trace cannot
 * isolate have tests of their own. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../replay/health_trace.h"
#include "celeryglade/ejection.h"

#define TRACE_DIR "tests/traces/health"
#define TTL_MS	  30000

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static void traces_meet_their_expectations(void **state)
{
	GDir *dir = g_dir_open(TRACE_DIR, 0, NULL);
	char *names[64];
	size_t n = 0;
	const char *name;
	int rc = 0;

	assert_non_null(dir);
	while ((name = g_dir_read_name(dir)) && n < G_N_ELEMENTS(names))
		if (g_str_has_suffix(name, ".txt"))
			names[n++] = g_build_filename(TRACE_DIR, name, NULL);
	g_dir_close(dir);
	qsort(names, n, sizeof(*names), compare_names);
	for (size_t i = 0; i < n; i++) {
		if (health_trace_run(names[i]))
			rc = -1;
		g_free(names[i]);
	}
	assert_true(n >= 10);
	assert_int_equal(rc, 0);
}

struct fixture {
	struct cg_ejection *e;
	struct cg_ejection_server list[5];
	cg_ms now;
	uint64_t sequence;
};

static void set_up(struct fixture *f, uint32_t floor, bool surveying)
{
	struct cg_ejection_rules r;

	memset(f, 0, sizeof(*f));
	f->now = 1000;
	cg_ejection_rules_fleet(&r, TTL_MS, 10000);
	f->e = cg_ejection_new(&r, 1, surveying, f->now);
	for (int i = 0; i < 5; i++) {
		g_snprintf(f->list[i].name, 8, "s%d", i);
		f->list[i].slots = 4;
	}
	cg_ejection_set_servers(f->e, f->list, 5, floor, f->now);
}

/* Runs one second in which four daemons send 5 requests to each server, all of
 * which fail at the servers below @p failing. */
static void run_second(struct fixture *f, int failing)
{
	static const char *const daemons[] = { "a1", "a2", "b1", "b2" };

	f->now += 1000;
	f->sequence++;
	for (int d = 0; d < 4; d++) {
		uint32_t id;

		assert_int_equal(cg_ejection_begin_digest(
					 f->e, daemons[d], 1, d < 2 ? "a" : "b",
					 f->sequence, f->now, &id),
				 0);
		for (int i = 0; i < 5; i++) {
			struct cg_sample s = { 0 };

			if (i < failing)
				s.failed = 5;
			else
				s.answered[20] = 5;
			cg_ejection_observe(f->e, id,
					    cg_server_id(f->list[i].name), &s,
					    f->now);
		}
	}
	cg_ejection_tick(f->e, f->now);
}

static enum cg_server_phase phase(struct fixture *f, int i)
{
	struct cg_ejection_explanation x;

	assert_int_equal(cg_ejection_explain(f->e,
					     cg_server_id(f->list[i].name),
					     f->now, &x),
			 0);
	return x.phase;
}

/* The transport sends a digest again if its reply is lost. */
static void duplicate_digest_counts_once(void **state)
{
	struct fixture f;
	uint32_t id;

	set_up(&f, 50, false);
	assert_int_equal(cg_ejection_begin_digest(f.e, "a", 1, "z", 5, 0, &id),
			 0);
	assert_int_equal(cg_ejection_begin_digest(f.e, "a", 1, "z", 5, 0, &id),
			 -1);
	assert_int_equal(cg_ejection_begin_digest(f.e, "a", 1, "z", 3, 0, &id),
			 0);
	assert_int_equal(cg_ejection_begin_digest(f.e, "a", 1, "z", 3, 0, &id),
			 -1);
	assert_int_equal(cg_ejection_begin_digest(f.e, "a", 1, "z", 90, 0, &id),
			 0);
	assert_int_equal(cg_ejection_begin_digest(f.e, "a", 1, "z", 4, 0, &id),
			 -1);
	/* A restarted daemon starts its sequence again at 1. */
	assert_int_equal(cg_ejection_begin_digest(f.e, "a", 2, "z", 1, 0, &id),
			 0);
	cg_ejection_free(f.e);
}

/* Restarting a process takes about a second, whose failures arrive in up to
 * three ticks. The server is back before an ejection would take effect. */
static void one_second_of_failures_ejects_nothing(void **state)
{
	struct fixture f;

	set_up(&f, 50, false);
	for (int i = 0; i < 20; i++)
		run_second(&f, 0);
	for (int i = 0; i < 3; i++)
		run_second(&f, 1);
	assert_int_equal(phase(&f, 0), CG_SERVER_IN_SERVICE);
	run_second(&f, 0);
	assert_int_equal(phase(&f, 0), CG_SERVER_IN_SERVICE);
	for (int i = 0; i < 20; i++)
		run_second(&f, 0);
	for (int i = 0; i < 4; i++)
		run_second(&f, 1);
	assert_int_equal(phase(&f, 0), CG_SERVER_EJECTED);
	cg_ejection_free(f.e);
}

/* The floor is a share of all slots; the slots of a server that is warming up
 * or draining are not available. */
static void floor_ignores_warming_up_and_draining_servers(void **state)
{
	struct fixture f;
	struct cg_ejection_capacity c;

	set_up(&f, 60, false);
	f.list[4].warming_up = true;
	f.list[3].draining = true;
	cg_ejection_set_servers(f.e, f.list, 5, 60, f.now);
	for (int i = 0; i < 30; i++)
		run_second(&f, 1);
	assert_int_equal(phase(&f, 0), CG_SERVER_IN_SERVICE);
	cg_ejection_capacity(f.e, f.now, &c);
	assert_int_equal(c.available, 12);
	assert_int_equal(c.floor, 12);
	assert_int_equal(c.denied_floor, 1);
	cg_ejection_free(f.e);
}

/* Guards against a second ejection that exceeds the floor while some daemon
 * still applies the first verdict. */
static void reinstated_server_counts_as_out_until_confirmed(void **state)
{
	struct fixture f;
	struct cg_ejection_capacity c;
	uint32_t holder;
	uint64_t held;

	set_up(&f, 80, false);
	for (int i = 0; i < 40; i++)
		run_second(&f, 0);
	while (phase(&f, 0) == CG_SERVER_IN_SERVICE)
		run_second(&f, 1);
	cg_ejection_begin_digest(f.e, "idle", 1, "a", 1, f.now, &holder);
	do {
		held = cg_ejection_version(f.e);
		run_second(&f, 0);
		if (phase(&f, 0) != CG_SERVER_IN_SERVICE)
			cg_ejection_record_held(
				f.e, holder, cg_ejection_version(f.e), f.now);
	} while (phase(&f, 0) != CG_SERVER_IN_SERVICE);
	assert_true(cg_ejection_version(f.e) > held);
	for (int i = 0; i < 20; i++) {
		run_second(&f, 0);
		cg_ejection_capacity(f.e, f.now, &c);
		assert_int_equal(c.available, 16);
	}
	cg_ejection_record_held(f.e, holder, cg_ejection_version(f.e), f.now);
	run_second(&f, 0);
	cg_ejection_capacity(f.e, f.now, &c);
	assert_int_equal(c.available, 20);
	cg_ejection_free(f.e);
}

static void repeated_ejection_doubles_the_eject_time(void **state)
{
	struct fixture f;
	struct cg_ejection_explanation x;
	cg_ms last = 0;

	set_up(&f, 50, false);
	for (int i = 0; i < 20; i++)
		run_second(&f, 0);
	for (int round = 0; round < 7; round++) {
		while (phase(&f, 0) != CG_SERVER_EJECTED)
			run_second(&f, 1);
		cg_ejection_explain(f.e, cg_server_id("s0"), f.now, &x);
		assert_int_equal(x.until - x.since,
				 last ? MIN(2 * last, 300000) : 10000);
		last = x.until - x.since;
		while (phase(&f, 0) == CG_SERVER_EJECTED)
			run_second(&f, 1);
	}
	assert_int_equal(last, 300000);
	cg_ejection_free(f.e);
}

/* A new coordinator must not eject servers before it knows the verdicts in
 * force. */
static void surveying_coordinator_ejects_nothing(void **state)
{
	struct fixture f;
	struct cg_verdict v = { .server = cg_server_id("s4"),
				.phase = CG_SERVER_EJECTED,
				.consecutive_ejections = 2,
				.remaining_ms = 100000 };

	set_up(&f, 80, true);
	for (int i = 0; i < 20; i++)
		run_second(&f, 1);
	assert_int_equal(phase(&f, 0), CG_SERVER_IN_SERVICE);
	cg_ejection_adopt_verdict(f.e, &v, f.now);
	cg_ejection_end_survey(f.e);
	run_second(&f, 1);
	/* The adopted verdict leaves no capacity above the floor of 80 %. */
	assert_int_equal(phase(&f, 4), CG_SERVER_EJECTED);
	assert_int_equal(phase(&f, 0), CG_SERVER_IN_SERVICE);
	cg_ejection_free(f.e);
	/* Verdicts that were not adopted expire with their time to live. */
	set_up(&f, 80, true);
	for (int i = 0; i < 29; i++)
		run_second(&f, 1);
	assert_int_equal(phase(&f, 0), CG_SERVER_IN_SERVICE);
	run_second(&f, 1);
	run_second(&f, 1);
	assert_int_equal(phase(&f, 0), CG_SERVER_EJECTED);
	cg_ejection_free(f.e);
}

/* A coordinator that has just started has received digests from few daemons.
 * A single daemon that cannot reach a server must not be taken for the only
 * one. */
static void first_reporter_alone_cannot_eject_at_once(void **state)
{
	struct fixture f;
	int out = 0;

	set_up(&f, 50, false);
	for (int t = 1; t <= 30 && !out; t++) {
		uint32_t id;

		f.now += 1000;
		cg_ejection_begin_digest(f.e, "a1", 1, "a", ++f.sequence, f.now,
					 &id);
		for (int i = 0; i < 5; i++) {
			struct cg_sample s = { 0 };

			if (i == 0)
				s.failed = 5;
			else
				s.answered[20] = 5;
			cg_ejection_observe(f.e, id,
					    cg_server_id(f.list[i].name), &s,
					    f.now);
		}
		cg_ejection_tick(f.e, f.now);
		if (phase(&f, 0) == CG_SERVER_EJECTED)
			out = t;
	}
	/* After 25 s without digests from other daemons, its evidence is
	 * sufficient. */
	assert_in_range(out, 25, 27);
	cg_ejection_free(f.e);
}

static void configuration_change_keeps_state(void **state)
{
	struct fixture f;
	struct cg_ejection_explanation x;

	set_up(&f, 50, false);
	for (int i = 0; i < 20; i++)
		run_second(&f, 0);
	while (phase(&f, 0) == CG_SERVER_IN_SERVICE)
		run_second(&f, 1);
	cg_ejection_set_servers(f.e, f.list, 4, 50, f.now);
	assert_int_equal(phase(&f, 0), CG_SERVER_EJECTED);
	assert_int_equal(
		cg_ejection_explain(f.e, cg_server_id("s4"), f.now, &x), -1);
	cg_ejection_free(f.e);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(traces_meet_their_expectations),
		cmocka_unit_test(duplicate_digest_counts_once),
		cmocka_unit_test(one_second_of_failures_ejects_nothing),
		cmocka_unit_test(floor_ignores_warming_up_and_draining_servers),
		cmocka_unit_test(
			reinstated_server_counts_as_out_until_confirmed),
		cmocka_unit_test(repeated_ejection_doubles_the_eject_time),
		cmocka_unit_test(surveying_coordinator_ejects_nothing),
		cmocka_unit_test(first_reporter_alone_cannot_eject_at_once),
		cmocka_unit_test(configuration_change_keeps_state),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
