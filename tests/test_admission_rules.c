/* Guards against rules of admission by urgency that are wrong by themselves: the
 * order of waiting requests, which one a full queue refuses, the Retry-After, the
 * reserve of the retry budget, and requests that stay behind in the counts. The
 * loads are in test_admission.c. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <string.h>

#include "../src/gateway/admission.h"
#include "celeryglade/counters.h"
#include "support/gateway_broker_fixture.h"

static struct cgw_slot_request new_request(struct broker_fixture *w,
					   int64_t priority, cg_ms limit)
{
	struct cgw_slot_request q = broker_fixture_new_request(w, "svc", true);

	q.priority = priority;
	q.deadline = w->now + limit;
	g_snprintf(q.route, sizeof(q.route), "p%d", (int)priority);
	return q;
}

static void fill(struct broker_fixture *w, bool by_urgency)
{
	struct cgw_slot_request q;

	broker_fixture_init(w, 1);
	cgw_broker_set_admission_by_urgency(w->broker, by_urgency, w->now);
	broker_fixture_add_server(w, "s1", "svc", 1);
	for (int i = 0; i < 9; i++) {
		q = new_request(w, 2, 30000);
		broker_fixture_submit(w, &q);
	}
}

/* One request runs and eight wait, which is the limit. */
static void full_queue_refuses_the_least_urgent(void **state)
{
	struct broker_fixture w;
	struct cgw_slot_request q;
	const struct cgw_slot_decision *d;
	uint64_t evicted = cg_counter_read(CG_COUNTER_ADMISSION_EVICTED);

	(void)state;
	fill(&w, false);
	q = new_request(&w, 0, 30000);
	d = broker_fixture_submit(&w, &q);
	assert_non_null(d);
	assert_int_equal(d->kind, CGW_DECISION_REFUSED);
	broker_fixture_clear(&w);

	fill(&w, true);
	q = new_request(&w, 0, 30000);
	assert_null(broker_fixture_submit(&w, &q));
	d = &w.decisions[w.decision_count - 1];
	assert_int_equal(d->kind, CGW_DECISION_REFUSED);
	assert_int_equal(d->u.refusal.reason, CG_REASON_QUEUE_FULL);
	assert_int_equal(d->id, 9);
	assert_in_range(d->u.refusal.retry_after_ms, 300, 2000);
	assert_int_equal(cg_counter_read(CG_COUNTER_ADMISSION_EVICTED),
			 evicted + 1);
	/* One that is not more urgent does not displace any other. */
	q = new_request(&w, 3, 30000);
	d = broker_fixture_submit(&w, &q);
	assert_non_null(d);
	assert_int_equal(d->id, q.id);
	broker_fixture_clear(&w);
}

/* The eight that wait take about 4 s. */
static void urgent_request_waits_only_behind_those_before_it(void **state)
{
	struct broker_fixture w;
	struct cgw_slot_request q;

	(void)state;
	fill(&w, true);
	q = new_request(&w, 2, 1500);
	assert_non_null(broker_fixture_submit(&w, &q));
	q = new_request(&w, 0, 1500);
	assert_null(broker_fixture_submit(&w, &q));
	broker_fixture_clear(&w);
}

static struct cgw_admission_request plain_request(cg_ms now)
{
	return (struct cgw_admission_request){ .priority = 1,
					       .since = now,
					       .objective_at = now + 500,
					       .deadline = now + 2000,
					       .work = 100,
					       .idempotent = true };
}

static void assert_order(const struct cgw_admission_request *a,
			 const struct cgw_admission_request *o, cg_ms now)
{
	assert_true(cgw_admission_precedes(a, o, now));
	assert_false(cgw_admission_precedes(o, a, now));
}

static void order_is_by_urgency_then_time_then_use(void **state)
{
	struct cgw_admission_share starved = { .granted = 1, .refused = 20 };
	struct cgw_admission_share all = { .granted = 50, .refused = 20 };
	struct cgw_admission_request a = plain_request(1000), o = a;

	(void)state;
	o.priority = 2;
	o.objective_at = 1200;
	assert_order(&a, &o, 1000);
	o.kind = &starved;
	o.all = &all;
	assert_order(&o, &a, 1000);
	o = a;
	/* Late anyway. */
	o.objective_at = 1050;
	assert_order(&a, &o, 1000);
	o = a;
	o.usage_level = 1;
	o.objective_at = 1200;
	assert_order(&a, &o, 1000);
	o.usage_level = 0;
	assert_order(&o, &a, 1000);
	o = a;
	o.idempotent = false;
	o.since = 900;
	assert_order(&a, &o, 1000);
	o.idempotent = true;
	assert_order(&o, &a, 1000);
}

/* Guards against less urgent kinds that use up the whole budget, and against a
 * reserve where all kinds are equally urgent. */
static void budget_is_reserved_for_more_urgent_kinds(void **state)
{
	struct cgw_admission_share urgent = { .granted = 30,
					      .priority = 0,
					      .time_ms = 1200 };
	struct cgw_admission_share other = { .granted = 70, .priority = 1 };
	const struct cgw_admission_share *kinds[] = { &urgent, &other };
	double reserve;

	(void)state;
	reserve = cgw_admission_budget_reserve(&urgent, kinds, 2, 0.2);
	assert_true(reserve <= 0);
	reserve = cgw_admission_budget_reserve(&other, kinds, 2, 0.2);
	assert_true(reserve > 0.07 && reserve < 0.08);
	reserve = cgw_admission_budget_reserve(&other, kinds + 1, 1, 0.2);
	assert_true(reserve <= 0);
	urgent.time_ms = 8000;
	reserve = cgw_admission_budget_reserve(&other, kinds, 2, 0.2);
	assert_true(reserve <= 0);
}

/* A caller waits for a third of the time that it has left at most. */
static void retry_after_fits_the_time_left(void **state)
{
	(void)state;
	for (double spread = 0; spread <= 1; spread += 0.25) {
		assert_in_range(cgw_admission_retry_after(0, 9000, spread), 300,
				2000);
		assert_in_range(cgw_admission_retry_after(1500, 9000, spread),
				1000, 2000);
		assert_in_range(cgw_admission_retry_after(1500, 900, spread),
				150, 300);
	}
	assert_true(cgw_admission_retry_after(0, 9000, 0) <
		    cgw_admission_retry_after(0, 9000, 1));
}

/* A retry whose part of the budget could not be used gives it back. If it did
 * not, refusals of a full queue would use up the budget without any attempt. */
static void refused_retry_gives_its_budget_back(void **state)
{
	struct broker_fixture w;
	struct cgw_slot_request q;
	const struct cgw_slot_decision *d;

	(void)state;
	fill(&w, true);
	/* The budget is 0.85 * (0.2 * 9 + 20) = 18 retries. */
	for (int i = 0; i < 40; i++) {
		q = new_request(&w, 2, 30000);
		q.retry = true;
		d = broker_fixture_submit(&w, &q);
		assert_non_null(d);
		assert_int_equal(d->u.refusal.reason, CG_REASON_QUEUE_FULL);
	}
	broker_fixture_clear(&w);
}

/* Slot requests, releases, server lists and changes of the order of admission
 * in random order. Finds memory errors when built with the address sanitizer,
 * and counts that do not return to zero at the end. */
static void random_operations_leave_no_request_behind(void **state)
{
	struct broker_fixture w;
	struct cgw_slot_request q;
	GRand *rand = g_rand_new_with_seed(7);

	(void)state;
	broker_fixture_init(&w, 2);
	broker_fixture_add_servers(&w, "svc", 4, 2);
	for (int step = 0; step < 40000; step++) {
		gint32 n = g_rand_int_range(rand, 0, 1000);
		uint64_t id = w.next_id - MIN(w.next_id, (uint64_t)n % 60);

		if (n < 450) {
			q = new_request(&w, n % 3, 200 + n * 20);
			q.retry = n % 4 == 0;
			q.idempotent = n % 2;
			g_snprintf(q.account, sizeof(q.account), "a%d", n % 7);
			q.cross_domain = n % 50 == 0;
			broker_fixture_submit(&w, &q);
		} else if (n < 900) {
			broker_fixture_release(&w, id,
					       n % 3 ? CGW_RESULT_SERVED
						     : CGW_RESULT_SHED,
					       100);
		} else if (n < 990) {
			broker_fixture_advance(&w, 60);
		} else if (n < 994) {
			cgw_broker_set_admission_by_urgency(w.broker, n % 2,
							    w.now);
		} else if (n < 998) {
			g_array_index(w.servers, struct cgw_server_facts, n % 4)
				.started_wall_ms++;
			broker_fixture_update_servers(&w);
		} else {
			cgw_broker_remove_daemon(w.broker, "d1", w.now);
			assert_false(cgw_broker_busy(w.broker));
		}
	}
	cgw_broker_remove_daemon(w.broker, "d1", w.now);
	assert_false(cgw_broker_busy(w.broker));
	g_rand_free(rand);
	broker_fixture_clear(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(full_queue_refuses_the_least_urgent),
		cmocka_unit_test(
			urgent_request_waits_only_behind_those_before_it),
		cmocka_unit_test(order_is_by_urgency_then_time_then_use),
		cmocka_unit_test(budget_is_reserved_for_more_urgent_kinds),
		cmocka_unit_test(retry_after_fits_the_time_left),
		cmocka_unit_test(refused_retry_gives_its_budget_back),
		cmocka_unit_test(random_operations_leave_no_request_behind),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
