/* Tests the decisions about evacuated failure domains without network. Guards
 * against an operator who evacuates a failure domain, for example before its
 * power is cut, while requests are still sent to its servers: because the state
 * is read too seldom, a new or resumed leader does not know it, requests wait
 * for the evacuated servers instead of using others, or a broken store keeps a
 * new leader from serving. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <string.h>

#include "gateway/evacuations.h"
#include "support/gateway_broker_fixture.h"

#define BOUND_MS   5000
#define TIMEOUT_MS 700 /* of a call */
/* From a grant to the request at the server. */
#define ON_THE_WAY_MS 500

static bool is_known(const struct cgw_evacuation_state *s, cg_ms now)
{
	return cgw_evacuation_known_until(s, now) >= now;
}

/* The object is written just after a read; the next read times out. */
static void one_failed_read_keeps_the_bound(void **state)
{
	struct cgw_evacuation_state s;
	cg_ms sent = 10000, done;

	(void)state;
	cgw_evacuation_init(&s, BOUND_MS);
	cgw_evacuation_begin(&s, sent);
	cgw_evacuation_record(&s, false, sent);
	/* That read was slow. */
	sent = cgw_evacuation_schedule(&s, true, sent, sent + TIMEOUT_MS);
	sent = cgw_evacuation_schedule(&s, false, sent, sent + TIMEOUT_MS);
	done = sent + TIMEOUT_MS;
	assert_true(cgw_evacuation_record(&s, true, sent));
	assert_true(done + ON_THE_WAY_MS <= 10000 + BOUND_MS);
}

static void the_store_is_read_about_twice_per_bound(void **state)
{
	struct cgw_evacuation_state s;
	cg_ms now = 1000;
	unsigned int reads = 0;

	(void)state;
	cgw_evacuation_init(&s, BOUND_MS);
	cgw_evacuation_begin(&s, now);
	for (; now < 1000 + 10 * BOUND_MS; reads++)
		now = cgw_evacuation_schedule(&s, true, now, now + 4);
	assert_in_range(reads, 15, 21);
}

/* The store returns from a copy that lacks the evacuation. The servers must not be
 * used until the operators have written it again. */
static void older_copy_does_not_end_an_evacuation(void **state)
{
	struct cgw_evacuation_state s;

	(void)state;
	cgw_evacuation_init(&s, BOUND_MS);
	cgw_evacuation_begin(&s, 1000);
	assert_true(cgw_evacuation_record_era(&s, 7, 1000));
	assert_true(cgw_evacuation_record(&s, true, 1000));
	assert_true(cgw_evacuation_record_era(&s, 7, 2000));
	assert_false(cgw_evacuation_record_era(&s, 8, 4000));
	assert_false(cgw_evacuation_record_era(&s, 8, 6500));
	/* A late response of the former era. */
	assert_false(cgw_evacuation_record_era(&s, 7, 8000));
	assert_true(cgw_evacuation_record_era(&s, 8, 8000));
}

static void unset_bound_means_never_evacuated(void **state)
{
	struct cgw_evacuation_state s;

	(void)state;
	cgw_evacuation_init(&s, 0);
	assert_true(is_known(&s, 1));
	assert_false(s.evacuated);
}

static void new_leader_waits_for_the_state(void **state)
{
	struct cgw_evacuation_state s;

	(void)state;
	cgw_evacuation_init(&s, BOUND_MS);
	cgw_evacuation_begin(&s, 1000);
	assert_false(is_known(&s, 1000));
	assert_false(is_known(&s, 1690));
	cgw_evacuation_record(&s, true, 1000);
	assert_true(is_known(&s, 1700));
	assert_true(s.evacuated);
}

/* The former leader has read it, and the store is away since. */
static void new_leader_uses_what_its_domain_has_read(void **state)
{
	struct cgw_evacuation_state s;

	(void)state;
	cgw_evacuation_init(&s, BOUND_MS);
	assert_true(cgw_evacuation_record(&s, true, 500));
	cgw_evacuation_begin(&s, 90000);
	assert_false(is_known(&s, 90000));
	cgw_evacuation_schedule(&s, false, 90000, 90010);
	assert_true(is_known(&s, 90010));
	assert_true(s.evacuated);
	/* An older report changes nothing. */
	assert_false(cgw_evacuation_record(&s, false, 400));
	assert_true(s.evacuated);
}

static void new_leader_serves_if_nobody_can_tell(void **state)
{
	struct cgw_evacuation_state s;

	(void)state;
	cgw_evacuation_init(&s, BOUND_MS);
	cgw_evacuation_begin(&s, 1000);
	cgw_evacuation_schedule(&s, false, 1000, 1010);
	assert_false(is_known(&s, 1010));
	assert_true(is_known(&s, 2000));
	assert_false(s.evacuated);
}

/* A process that was suspended knows nothing of the time since. */
static void old_state_is_not_relied_on(void **state)
{
	struct cgw_evacuation_state s;

	(void)state;
	cgw_evacuation_init(&s, BOUND_MS);
	cgw_evacuation_begin(&s, 1000);
	cgw_evacuation_record(&s, false, 1000);
	cgw_evacuation_schedule(&s, true, 1000, 1004);
	assert_true(is_known(&s, 1000 + BOUND_MS));
	assert_false(is_known(&s, 1000 + BOUND_MS + 1));
}

static void setup(struct broker_fixture *w)
{
	broker_fixture_init(w, 2);
	broker_fixture_add_servers(w, "svc", 4, 2);
	broker_fixture_add_remote_servers(w, "svc", "b", 4);
	broker_fixture_receive_state(w, "b", "svc", 3, 0);
}

static void evacuate(struct broker_fixture *w, bool evacuated)
{
	cgw_broker_set_evacuation(w->broker, evacuated, CG_MS_NEVER, w->now);
}

/* Submits a request; returns its id and sets the kind of decision, or -1. */
static uint64_t submit(struct broker_fixture *w, bool cross_domain, int *kind)
{
	struct cgw_slot_request r = broker_fixture_new_request(w, "svc", true);
	const struct cgw_slot_decision *d;

	r.cross_domain = cross_domain;
	d = broker_fixture_submit(w, &r);
	*kind = d ? (int)d->kind : -1;
	return r.id;
}

static void evacuated_servers_get_nothing(void **state)
{
	struct broker_fixture w;
	uint64_t held;
	int kind;

	(void)state;
	setup(&w);
	held = submit(&w, false, &kind);
	assert_int_equal(kind, CGW_DECISION_GRANTED);
	evacuate(&w, true);
	assert_int_equal(cgw_broker_free_slots(w.broker, "svc", w.now), 0);
	submit(&w, true, &kind);
	assert_int_equal(kind, CGW_DECISION_REFUSED);
	/* All three slots of the other domain, none of them reserved. */
	for (int i = 0; i < 3; i++) {
		submit(&w, false, &kind);
		assert_int_equal(kind, CGW_DECISION_REDIRECTED);
	}
	/* The request in flight goes on and ends as usual. */
	assert_true(cgw_broker_busy(w.broker));
	broker_fixture_release(&w, held, CGW_RESULT_SERVED, 100);
	assert_false(cgw_broker_busy(w.broker));
	evacuate(&w, false);
	submit(&w, false, &kind);
	assert_int_equal(kind, CGW_DECISION_GRANTED);
	broker_fixture_clear(&w);
}

static void unknown_state_grants_nothing(void **state)
{
	struct broker_fixture w;
	int kind;

	(void)state;
	setup(&w);
	cgw_broker_set_evacuation(w.broker, false, w.now + 100, w.now);
	submit(&w, false, &kind);
	assert_int_equal(kind, CGW_DECISION_GRANTED);
	w.now += 101;
	submit(&w, true, &kind);
	assert_int_equal(kind, CGW_DECISION_REFUSED);
	broker_fixture_clear(&w);
}

/* The other domain had no free slot when the request arrived; slots that become
 * free later must be used. */
static void waiting_requests_are_redirected_again(void **state)
{
	struct broker_fixture w;
	struct cgw_slot_request r;
	const struct cgw_slot_decision *d;

	(void)state;
	setup(&w);
	evacuate(&w, true);
	r = broker_fixture_new_request(&w, "svc", true);
	r.no_redirect = true;
	assert_null(broker_fixture_submit(&w, &r));
	broker_fixture_advance(&w, 200);
	broker_fixture_receive_state(&w, "b", "svc", 1, 0);
	broker_fixture_advance(&w, 100);
	d = broker_fixture_decision(&w, r.id);
	assert_non_null(d);
	assert_int_equal(d->kind, CGW_DECISION_REDIRECTED);
	broker_fixture_clear(&w);
}

/* No other domain reports the service, for example because none can read the
 * store: the request must not wait until its deadline. */
static void requests_that_no_domain_can_serve_are_refused(void **state)
{
	struct broker_fixture w;
	struct cgw_slot_request r;
	const struct cgw_slot_decision *d;

	(void)state;
	setup(&w);
	w.now += 1500;
	evacuate(&w, true);
	r = broker_fixture_new_request(&w, "svc", true);
	assert_null(broker_fixture_submit(&w, &r));
	broker_fixture_advance(&w, 1100);
	d = broker_fixture_decision(&w, r.id);
	assert_non_null(d);
	assert_int_equal(d->kind, CGW_DECISION_REFUSED);
	assert_int_equal(d->u.refusal.reason, CG_REASON_NO_SERVER);
	assert_in_range(d->u.refusal.retry_after_ms, 1000, 2000);
	broker_fixture_clear(&w);
}

/* A request that waits in the evacuated domain is served there afterwards. */
static void waiting_requests_use_the_servers_after_the_end(void **state)
{
	struct broker_fixture w;
	struct cgw_slot_request r;
	const struct cgw_slot_decision *d;

	(void)state;
	setup(&w);
	evacuate(&w, true);
	r = broker_fixture_new_request(&w, "svc", true);
	r.no_redirect = true;
	assert_null(broker_fixture_submit(&w, &r));
	evacuate(&w, false);
	d = broker_fixture_decision(&w, r.id);
	assert_non_null(d);
	assert_int_equal(d->kind, CGW_DECISION_GRANTED);
	broker_fixture_clear(&w);
}

static void nothing_is_redirected_to_an_evacuated_domain(void **state)
{
	struct broker_fixture w;
	int kind;

	(void)state;
	setup(&w);
	cgw_broker_record_domain_evacuation(w.broker, "b", true, w.now);
	for (int i = 0; i < 8; i++)
		submit(&w, false, &kind);
	submit(&w, false, &kind);
	assert_int_equal(kind, -1);
	cgw_broker_record_domain_evacuation(w.broker, "b", false, w.now);
	broker_fixture_receive_state(&w, "b", "svc", 3, 0);
	submit(&w, false, &kind);
	assert_int_equal(kind, CGW_DECISION_REDIRECTED);
	broker_fixture_clear(&w);
}

/* All responses are lost for 20 s. Returns the largest number of servers that
 * were ejected at the same time. */
static unsigned int most_ejected(bool other_evacuated)
{
	struct broker_fixture w;
	unsigned int most = 0;

	setup(&w);
	for (int i = 0; i < 2000; i++) {
		struct cgw_slot_request r =
			broker_fixture_new_request(&w, "svc", true);
		const struct cgw_slot_decision *d =
			broker_fixture_submit(&w, &r);

		if (d && d->kind == CGW_DECISION_GRANTED)
			broker_fixture_release(&w, r.id, CGW_RESULT_LOST, 10);
		if (i % 25 == 0) {
			cgw_broker_record_domain_evacuation(
				w.broker, "b", other_evacuated, w.now);
			broker_fixture_receive_state(&w, "b", "svc", 0, 0);
		}
		broker_fixture_advance(&w, 10);
		most = MAX(most, broker_fixture_count_ejected(&w, 4));
	}
	broker_fixture_clear(&w);
	return most;
}

/* Three tenths of the servers may be ejected: two of eight, one of the four
 * that are not evacuated. */
static void evacuated_servers_do_not_count_for_the_floor(void **state)
{
	(void)state;
	assert_int_equal(most_ejected(false), 2);
	assert_int_equal(most_ejected(true), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(one_failed_read_keeps_the_bound),
		cmocka_unit_test(the_store_is_read_about_twice_per_bound),
		cmocka_unit_test(older_copy_does_not_end_an_evacuation),
		cmocka_unit_test(unset_bound_means_never_evacuated),
		cmocka_unit_test(new_leader_waits_for_the_state),
		cmocka_unit_test(new_leader_uses_what_its_domain_has_read),
		cmocka_unit_test(new_leader_serves_if_nobody_can_tell),
		cmocka_unit_test(old_state_is_not_relied_on),
		cmocka_unit_test(evacuated_servers_get_nothing),
		cmocka_unit_test(unknown_state_grants_nothing),
		cmocka_unit_test(waiting_requests_are_redirected_again),
		cmocka_unit_test(
			waiting_requests_use_the_servers_after_the_end),
		cmocka_unit_test(requests_that_no_domain_can_serve_are_refused),
		cmocka_unit_test(nothing_is_redirected_to_an_evacuated_domain),
		cmocka_unit_test(evacuated_servers_do_not_count_for_the_floor),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
