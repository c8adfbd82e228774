/* Guards P6 and the promises of docs/design.md 8: traces replayed on a
 * simulated clock, each also without the mechanism that keeps the promise, and
 * the decisions that a trace cannot single out. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../replay/health_trace.h"
#include "celeryglade/ejection.h"

#define FOLDER "tests/traces/health"
#define TTL    30000

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static void traces_keep_their_promises(void **state)
{
	GDir *dir = g_dir_open(FOLDER, 0, NULL);
	char *names[64];
	size_t n = 0;
	const char *name;
	int rc = 0;

	assert_non_null(dir);
	while ((name = g_dir_read_name(dir)) && n < G_N_ELEMENTS(names))
		if (g_str_has_suffix(name, ".txt"))
			names[n++] = g_build_filename(FOLDER, name, NULL);
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
	cg_ejection_rules_fleet(&r, TTL, 10000);
	f->e = cg_ejection_new(&r, 1, surveying, f->now);
	for (int i = 0; i < 5; i++) {
		g_snprintf(f->list[i].name, 8, "s%d", i);
		f->list[i].slots = 4;
	}
	cg_ejection_set_servers(f->e, f->list, 5, floor, f->now);
}

/* One second in which four daemons see 5 requests at each server, of which all
 * fail at servers below @p failing. */
static void second(struct fixture *f, int failing)
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

/* A lost reply makes a daemon send the same digest again. */
static void a_repeated_digest_counts_once(void **state)
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
	/* A restarted daemon counts from one again. */
	assert_int_equal(cg_ejection_begin_digest(f.e, "a", 2, "z", 1, 0, &id),
			 0);
	cg_ejection_free(f.e);
}

/* Restarting a process takes about a second, whose failures arrive in up to
 * three ticks; the server is back before a verdict would reach anybody. */
static void one_second_of_failures_ejects_nothing(void **state)
{
	struct fixture f;

	set_up(&f, 50, false);
	for (int i = 0; i < 20; i++)
		second(&f, 0);
	for (int i = 0; i < 3; i++)
		second(&f, 1);
	assert_int_equal(phase(&f, 0), CG_SERVER_IN_SERVICE);
	second(&f, 0);
	assert_int_equal(phase(&f, 0), CG_SERVER_IN_SERVICE);
	for (int i = 0; i < 20; i++)
		second(&f, 0);
	for (int i = 0; i < 4; i++)
		second(&f, 1);
	assert_int_equal(phase(&f, 0), CG_SERVER_EJECTED);
	cg_ejection_free(f.e);
}

/* Floor in slots: a cold or leaving server is no capacity. */
static void floor_counts_only_usable_servers(void **state)
{
	struct fixture f;
	struct cg_ejection_capacity c;

	set_up(&f, 60, false);
	f.list[4].warming_up = true;
	f.list[3].draining = true;
	cg_ejection_set_servers(f.e, f.list, 5, 60, f.now);
	for (int i = 0; i < 30; i++)
		second(&f, 1);
	assert_int_equal(phase(&f, 0), CG_SERVER_IN_SERVICE);
	cg_ejection_capacity(f.e, f.now, &c);
	assert_int_equal(c.available, 12);
	assert_int_equal(c.floor, 12);
	assert_int_equal(c.denied_floor, 1);
	cg_ejection_free(f.e);
}

/* Without this a second ejection could take place while some daemon still
 * applies the first verdict. */
static void reinstated_server_counts_as_out_until_confirmed(void **state)
{
	struct fixture f;
	struct cg_ejection_capacity c;
	uint32_t holder;
	uint64_t held;

	set_up(&f, 80, false);
	for (int i = 0; i < 40; i++)
		second(&f, 0);
	while (phase(&f, 0) == CG_SERVER_IN_SERVICE)
		second(&f, 1);
	cg_ejection_begin_digest(f.e, "idle", 1, "a", 1, f.now, &holder);
	do {
		held = cg_ejection_version(f.e);
		second(&f, 0);
		if (phase(&f, 0) != CG_SERVER_IN_SERVICE)
			cg_ejection_record_held(
				f.e, holder, cg_ejection_version(f.e), f.now);
	} while (phase(&f, 0) != CG_SERVER_IN_SERVICE);
	assert_true(cg_ejection_version(f.e) > held);
	for (int i = 0; i < 20; i++) {
		second(&f, 0);
		cg_ejection_capacity(f.e, f.now, &c);
		assert_int_equal(c.available, 16);
	}
	cg_ejection_record_held(f.e, holder, cg_ejection_version(f.e), f.now);
	second(&f, 0);
	cg_ejection_capacity(f.e, f.now, &c);
	assert_int_equal(c.available, 20);
	cg_ejection_free(f.e);
}

static void relapse_doubles_the_eject_time(void **state)
{
	struct fixture f;
	struct cg_ejection_explanation x;
	cg_ms last = 0;

	set_up(&f, 50, false);
	for (int i = 0; i < 20; i++)
		second(&f, 0);
	for (int round = 0; round < 7; round++) {
		while (phase(&f, 0) != CG_SERVER_EJECTED)
			second(&f, 1);
		cg_ejection_explain(f.e, cg_server_id("s0"), f.now, &x);
		assert_int_equal(x.until - x.since,
				 last ? MIN(2 * last, 300000) : 10000);
		last = x.until - x.since;
		while (phase(&f, 0) == CG_SERVER_EJECTED)
			second(&f, 1);
	}
	assert_int_equal(last, 300000);
	cg_ejection_free(f.e);
}

/* A new coordinator must not eject before it knows the verdicts in force. */
static void surveying_coordinator_ejects_nothing(void **state)
{
	struct fixture f;
	struct cg_verdict v = { .server = cg_server_id("s4"),
				.phase = CG_SERVER_EJECTED,
				.consecutive_ejections = 2,
				.remaining_ms = 100000 };

	set_up(&f, 80, true);
	for (int i = 0; i < 20; i++)
		second(&f, 1);
	assert_int_equal(phase(&f, 0), CG_SERVER_IN_SERVICE);
	cg_ejection_adopt_verdict(f.e, &v, f.now);
	cg_ejection_end_survey(f.e);
	second(&f, 1);
	/* The floor of 80 % is used up by the verdict learnt. */
	assert_int_equal(phase(&f, 4), CG_SERVER_EJECTED);
	assert_int_equal(phase(&f, 0), CG_SERVER_IN_SERVICE);
	cg_ejection_free(f.e);
	/* Verdicts that were never learnt lapse with their time to live. */
	set_up(&f, 80, true);
	for (int i = 0; i < 29; i++)
		second(&f, 1);
	assert_int_equal(phase(&f, 0), CG_SERVER_IN_SERVICE);
	second(&f, 1);
	second(&f, 1);
	assert_int_equal(phase(&f, 0), CG_SERVER_EJECTED);
	cg_ejection_free(f.e);
}

/* A coordinator that has just started has heard of few daemons yet; a single
 * one that cannot reach a server must not be taken for all there are. */
static void first_reporter_alone_ejects_nothing(void **state)
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
	/* It is alone, as the first minute of traffic shows. */
	assert_in_range(out, 25, 27);
	cg_ejection_free(f.e);
}

static void state_survives_a_new_configuration(void **state)
{
	struct fixture f;
	struct cg_ejection_explanation x;

	set_up(&f, 50, false);
	for (int i = 0; i < 20; i++)
		second(&f, 0);
	while (phase(&f, 0) == CG_SERVER_IN_SERVICE)
		second(&f, 1);
	cg_ejection_set_servers(f.e, f.list, 4, 50, f.now);
	assert_int_equal(phase(&f, 0), CG_SERVER_EJECTED);
	assert_int_equal(
		cg_ejection_explain(f.e, cg_server_id("s4"), f.now, &x), -1);
	cg_ejection_free(f.e);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(traces_keep_their_promises),
		cmocka_unit_test(a_repeated_digest_counts_once),
		cmocka_unit_test(one_second_of_failures_ejects_nothing),
		cmocka_unit_test(floor_counts_only_usable_servers),
		cmocka_unit_test(
			reinstated_server_counts_as_out_until_confirmed),
		cmocka_unit_test(relapse_doubles_the_eject_time),
		cmocka_unit_test(surveying_coordinator_ejects_nothing),
		cmocka_unit_test(first_reporter_alone_ejects_nothing),
		cmocka_unit_test(state_survives_a_new_configuration),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
