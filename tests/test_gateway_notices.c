/* Tests what the broker does with servers that leave or want a rest by their own
 * statement: one alone, all of a service, and all but a few. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <string.h>

#include "support/gateway_broker_fixture.h"

#define SERVERS	   4
#define SLOTS	   3
#define REST_MS	   2000
#define REQUESTS   40
#define LATENCY_MS 100
#define STARTED	   0 /* of the fixture's servers */

static const struct cgw_server_notice leaves = { .leaving = true };
static const struct cgw_server_notice rests = { .rest_ms = REST_MS };

static void setup(struct broker_fixture *w)
{
	broker_fixture_init(w, 1);
	broker_fixture_add_servers(w, "svc", SERVERS, SLOTS);
}

/* Serves one request after the other. Returns how many went to @p server. */
static unsigned int serve(struct broker_fixture *w, const char *server)
{
	unsigned int n = 0;

	for (int i = 0; i < REQUESTS; i++) {
		struct cgw_slot_request r =
			broker_fixture_new_request(w, "svc", true);
		const struct cgw_slot_decision *d =
			broker_fixture_submit(w, &r);

		assert_non_null(d);
		assert_int_equal(d->kind, CGW_DECISION_GRANTED);
		n += !strcmp(d->u.grant.server, server);
		broker_fixture_advance(w, LATENCY_MS / 10);
		broker_fixture_release(w, r.id, CGW_RESULT_SERVED, LATENCY_MS);
	}
	return n;
}

static void leaving_server_gets_no_grants_until_it_starts_anew(void **state)
{
	struct broker_fixture w;

	(void)state;
	setup(&w);
	assert_true(serve(&w, "s1") > 0);
	cgw_broker_record_notice(w.broker, "s1", STARTED, &leaves, w.now);
	assert_int_equal(serve(&w, "s1"), 0);
	/* Its entry still says that it is ready. */
	broker_fixture_update_servers(&w);
	assert_int_equal(serve(&w, "s1"), 0);
	g_array_index(w.servers, struct cgw_server_facts, 0).started_wall_ms =
		STARTED + 1;
	broker_fixture_update_servers(&w);
	assert_true(serve(&w, "s1") > 0);
	/* The statement of the former process arrives late. */
	cgw_broker_record_notice(w.broker, "s1", STARTED, &leaves, w.now);
	assert_true(serve(&w, "s1") > 0);
	broker_fixture_clear(&w);
}

static void resting_server_gets_no_grants_until_its_time(void **state)
{
	struct broker_fixture w;

	(void)state;
	setup(&w);
	cgw_broker_record_notice(w.broker, "s1", STARTED, &rests, w.now);
	assert_int_equal(serve(&w, "s1"), 0);
	broker_fixture_advance(&w, REST_MS);
	assert_true(serve(&w, "s1") > 0);
	broker_fixture_clear(&w);
}

/* Callers learn at once when to come back, those that wait already too. */
static void callers_are_refused_while_all_servers_rest(void **state)
{
	struct broker_fixture w;
	struct cgw_slot_request r, waiting;
	const struct cgw_slot_decision *d;

	(void)state;
	setup(&w);
	for (int i = 0; i < SERVERS * SLOTS; i++) {
		r = broker_fixture_new_request(&w, "svc", true);
		assert_non_null(broker_fixture_submit(&w, &r));
	}
	waiting = broker_fixture_new_request(&w, "svc", true);
	assert_null(broker_fixture_submit(&w, &waiting));
	for (int i = 1; i <= SERVERS; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "s%d", i);
		cgw_broker_record_notice(w.broker, name, STARTED, &rests,
					 w.now);
	}
	d = broker_fixture_decision(&w, waiting.id);
	assert_non_null(d);
	assert_int_equal(d->kind, CGW_DECISION_REFUSED);
	broker_fixture_advance(&w, REST_MS / 2);
	r = broker_fixture_new_request(&w, "svc", true);
	d = broker_fixture_submit(&w, &r);
	assert_non_null(d);
	assert_int_equal(d->kind, CGW_DECISION_REFUSED);
	assert_int_equal(d->u.refusal.reason, CG_REASON_SERVER_RESTS);
	assert_in_range(d->u.refusal.retry_after_ms, REST_MS / 2,
			REST_MS / 2 + 300);
	broker_fixture_clear(&w);
}

/* The servers that do not rest carry the load, and those that rest are not met
 * by everybody when their time ends. */
static void rested_servers_start_with_one_request(void **state)
{
	struct broker_fixture w;
	unsigned int to_rested = 0;

	(void)state;
	setup(&w);
	for (int i = 2; i <= SERVERS; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "s%d", i);
		cgw_broker_record_notice(w.broker, name, STARTED, &rests,
					 w.now);
	}
	for (int i = 0; i < SLOTS + 5; i++) {
		struct cgw_slot_request r =
			broker_fixture_new_request(&w, "svc", true);
		const struct cgw_slot_decision *d =
			broker_fixture_submit(&w, &r);

		assert_true(!d || !strcmp(d->u.grant.server, "s1"));
		assert_true(!d == (i >= SLOTS));
	}
	broker_fixture_advance(&w, REST_MS);
	for (size_t i = 0; i < w.decision_count; i++)
		to_rested += w.decisions[i].kind == CGW_DECISION_GRANTED &&
			     strcmp(w.decisions[i].u.grant.server, "s1") != 0;
	assert_int_equal(to_rested, SERVERS - 1);
	broker_fixture_clear(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			leaving_server_gets_no_grants_until_it_starts_anew),
		cmocka_unit_test(resting_server_gets_no_grants_until_its_time),
		cmocka_unit_test(callers_are_refused_while_all_servers_rest),
		cmocka_unit_test(rested_servers_start_with_one_request),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
