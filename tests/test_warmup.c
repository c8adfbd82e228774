/* Tests the allowance of cold servers without network. Guards against a cold
 * server that crashes because it gets more requests in a second than its service
 * allows: through a burst, grants that arrive late together, a change of broker,
 * retries, or a server that becomes cold while it is busy; and against one that
 * gets so few that it never warms up. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <string.h>

#include "../src/gateway/warmup.h"
#include "support/gateway_broker_fixture.h"

#define BURST 1.5
#define SLACK 8
#define LATE  500 /* latest arrival after the grant */

/* Grants as much as allowed, checked every @p step ms for @p ms. Appends the
 * times to @p grants. */
static void grant_all(const struct cgw_warmup_limit *l, struct cgw_warmup *w,
		      cg_ms *now, cg_ms ms, cg_ms step, GArray *grants)
{
	for (cg_ms end = *now + ms; *now < end; *now += step)
		while (cgw_warmup_available(l, w, *now) > 0) {
			cgw_warmup_take(l, w, *now);
			g_array_append_val(grants, *now);
		}
}

/* Returns the most grants in any window of @p ms. */
static guint most_in(const GArray *grants, cg_ms ms)
{
	guint most = 0;

	for (guint i = 0, j = 0; j < grants->len; j++) {
		while (g_array_index(grants, cg_ms, j) -
			       g_array_index(grants, cg_ms, i) >=
		       ms)
			i++;
		most = MAX(most, j - i + 1);
	}
	return most;
}

static void late_grants_stay_within_the_allowance(void **state)
{
	static const double rates[] = { 1, 4, 12.5, 40, 200 };
	static const cg_ms steps[] = { 1, 50, 700 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rates) * 3; i++) {
		double rate = rates[i / 3];
		struct cgw_warmup_limit l =
			cgw_warmup_limit(rate, BURST, SLACK, 1);
		struct cgw_warmup w;
		GArray *grants = g_array_new(FALSE, FALSE, sizeof(cg_ms));
		cg_ms now = 1000;

		cgw_warmup_start(&w, now);
		grant_all(&l, &w, &now, 10000, steps[i % 3], grants);
		/* Whatever was granted within 1.5 s can arrive in one. */
		assert_true(most_in(grants, 1000 + LATE) <=
			    rate * BURST + SLACK);
		/* Steady use is near the rate if less than a burst falls into
		 * one step. */
		if (steps[i % 3] == 1 || (steps[i % 3] == 50 && rate <= 40))
			assert_in_range(grants->len, (guint)(9.5 * rate - 1),
					(guint)(10 * rate + SLACK));
		g_array_unref(grants);
	}
}

/* The former broker has just used its burst; the new one knows nothing. */
static void change_of_broker_adds_no_burst(void **state)
{
	struct cgw_warmup_limit l = cgw_warmup_limit(20, BURST, SLACK, 1);
	struct cgw_warmup w;
	GArray *grants = g_array_new(FALSE, FALSE, sizeof(cg_ms));
	cg_ms now = 1000;

	(void)state;
	cgw_warmup_start(&w, now);
	now += 5000;
	grant_all(&l, &w, &now, 300, 10, grants);
	for (int i = 0; i < 5; i++) {
		cgw_warmup_start(&w, now);
		grant_all(&l, &w, &now, 300, 10, grants);
	}
	assert_true(most_in(grants, 1000 + LATE) <= 20 * BURST + SLACK);
	g_array_unref(grants);
}

static void unset_limits_allow_everything(void **state)
{
	struct cgw_warmup_limit none = cgw_warmup_limit(0, BURST, SLACK, 1);
	struct cgw_warmup_limit unset = cgw_warmup_limit(10, 0, 0, 1);
	struct cgw_warmup w = { 0 };

	(void)state;
	cgw_warmup_take(&none, &w, 1);
	assert_true(cgw_warmup_available(&none, &w, 1) > 1000);
	assert_true(cgw_warmup_available(&unset, &w, 1) > 1000);
}

static void set_cold(struct broker_fixture *w, unsigned int i, cg_ms ms)
{
	g_array_index(w->servers, struct cgw_server_facts, i)
		.warmup_remaining_ms = ms;
	broker_fixture_update_servers(w);
}

static void setup(struct broker_fixture *w, unsigned int servers, int64_t rate)
{
	broker_fixture_init(w, 1);
	broker_fixture_add_servers(w, "svc", servers, 100);
	cgw_broker_set_warmup_rate(w->broker, "svc", rate * 1000, w->now);
}

/* Submits a request every 5 ms and ends it 20 ms later. Returns how many were
 * granted to @p server; records the times. */
static guint load(struct broker_fixture *w, const char *server, cg_ms ms,
		  enum cgw_result result, bool retry, GArray *grants)
{
	cg_ms end = w->now + ms;
	guint n = 0;

	while (w->now < end) {
		struct cgw_slot_request r =
			broker_fixture_new_request(w, "svc", true);
		const struct cgw_slot_decision *d;

		r.retry = r.charged = retry;
		d = broker_fixture_submit(w, &r);
		if (d && d->kind == CGW_DECISION_GRANTED) {
			bool here = !strcmp(d->u.grant.server, server);

			n += here;
			if (here)
				g_array_append_val(grants, w->now);
			broker_fixture_release(w, r.id, result, 20);
		} else {
			broker_fixture_release(w, r.id, CGW_RESULT_UNUSED, 0);
		}
		w->now += 5;
	}
	return n;
}

static void cold_server_stays_within_the_allowance(void **state)
{
	struct broker_fixture w;
	GArray *grants = g_array_new(FALSE, FALSE, sizeof(cg_ms));
	guint n;

	(void)state;
	setup(&w, 1, 20);
	set_cold(&w, 0, 60000);
	n = load(&w, "s1", 10000, CGW_RESULT_SERVED, false, grants);
	assert_true(most_in(grants, 1000 + LATE) <= 20 * BURST + SLACK);
	assert_in_range(n, 190, 208);
	/* Retries count like first attempts. */
	g_array_set_size(grants, 0);
	load(&w, "s1", 3000, CGW_RESULT_SERVED, true, grants);
	assert_true(most_in(grants, 1000 + LATE) <= 20 * BURST + SLACK);
	set_cold(&w, 0, 0);
	g_array_set_size(grants, 0);
	assert_true(load(&w, "s1", 1000, CGW_RESULT_SERVED, false, grants) >
		    190);
	g_array_unref(grants);
	broker_fixture_clear(&w);
}

/* It had 200 requests a second before. */
static void busy_server_that_becomes_cold_gets_nothing_at_first(void **state)
{
	struct broker_fixture w;
	GArray *grants = g_array_new(FALSE, FALSE, sizeof(cg_ms));

	(void)state;
	setup(&w, 1, 20);
	load(&w, "s1", 2000, CGW_RESULT_SERVED, false, grants);
	set_cold(&w, 0, 60000);
	assert_int_equal(load(&w, "s1", 900, CGW_RESULT_SERVED, false, grants),
			 0);
	assert_in_range(load(&w, "s1", 2000, CGW_RESULT_SERVED, false, grants),
			30, 48);
	g_array_unref(grants);
	broker_fixture_clear(&w);
}

static void warm_servers_come_first(void **state)
{
	struct broker_fixture w;
	unsigned int cold = 0;

	(void)state;
	setup(&w, 3, 20);
	set_cold(&w, 1, 60000);
	w.now += 1000;
	/* All 200 slots of the warm servers are used before the cold one. */
	for (int i = 0; i < 202; i++) {
		struct cgw_slot_request r =
			broker_fixture_new_request(&w, "svc", true);
		const struct cgw_slot_decision *d =
			broker_fixture_submit(&w, &r);

		assert_non_null(d);
		assert_int_equal(d->kind, CGW_DECISION_GRANTED);
		cold += !strcmp(d->u.grant.server, "s2");
		assert_int_equal(cold, i < 200 ? 0 : i - 199);
	}
	broker_fixture_clear(&w);
}

/* A broker that knows the servers takes over and learns of held requests. */
static void takeover_counts_held_requests(void **state)
{
	struct broker_fixture w;
	struct cgw_held_slot held[10] = { 0 };
	GArray *grants = g_array_new(FALSE, FALSE, sizeof(cg_ms));

	(void)state;
	setup(&w, 1, 20);
	set_cold(&w, 0, 60000);
	w.now += 5000;
	cgw_broker_begin_to_lead(w.broker, w.now);
	for (unsigned int i = 0; i < 10; i++) {
		held[i].id = 1000 + i;
		held[i].remaining = 5000;
		g_strlcpy(held[i].server, "s1", sizeof(held[i].server));
	}
	cgw_broker_reconcile(w.broker, "other", held, 10, 400, w.now);
	/* Ten of the rate's first second are used up. */
	assert_in_range(load(&w, "s1", 1000, CGW_RESULT_SERVED, false, grants),
			8, 10);
	g_array_unref(grants);
	broker_fixture_clear(&w);
}

static void requests_not_sent_do_not_count(void **state)
{
	struct broker_fixture w;
	GArray *grants = g_array_new(FALSE, FALSE, sizeof(cg_ms));

	(void)state;
	setup(&w, 1, 20);
	set_cold(&w, 0, 60000);
	w.now += 1000;
	assert_int_equal(load(&w, "s1", 500, CGW_RESULT_UNUSED, false, grants),
			 100);
	g_array_unref(grants);
	broker_fixture_clear(&w);
}

/* Entries tell with a delay that servers without requests have become cold. */
static void end_of_an_evacuation_limits_all_servers_at_first(void **state)
{
	struct broker_fixture w;
	GArray *grants = g_array_new(FALSE, FALSE, sizeof(cg_ms));

	(void)state;
	setup(&w, 1, 20);
	cgw_broker_set_evacuation(w.broker, true, CG_MS_NEVER, w.now);
	w.now += 5000;
	cgw_broker_set_evacuation(w.broker, false, CG_MS_NEVER, w.now);
	broker_fixture_update_servers(&w);
	load(&w, "s1", 1400, CGW_RESULT_SERVED, false, grants);
	assert_in_range(grants->len, 20, (guint)(20 * BURST + SLACK));
	w.now += 200;
	assert_int_equal(load(&w, "s1", 500, CGW_RESULT_SERVED, false, grants),
			 100);
	g_array_unref(grants);
	broker_fixture_clear(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(late_grants_stay_within_the_allowance),
		cmocka_unit_test(change_of_broker_adds_no_burst),
		cmocka_unit_test(unset_limits_allow_everything),
		cmocka_unit_test(cold_server_stays_within_the_allowance),
		cmocka_unit_test(
			busy_server_that_becomes_cold_gets_nothing_at_first),
		cmocka_unit_test(warm_servers_come_first),
		cmocka_unit_test(takeover_counts_held_requests),
		cmocka_unit_test(requests_not_sent_do_not_count),
		cmocka_unit_test(
			end_of_an_evacuation_limits_all_servers_at_first),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
