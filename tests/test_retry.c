/* Guards against a second run of a non-idempotent request, a wrong "not run",
 * and retries that multiply the load of a failing service. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "celeryglade/retry.h"

#define ENDS 8

static struct cg_retry_decision decide(enum cg_attempt_outcome end,
				       bool idempotent, bool earlier,
				       unsigned int attempts, cg_ms left)
{
	struct cg_retry_budget b;
	struct cg_retry_input f = {
		.end = end,
		.status = 503,
		.idempotent = idempotent,
		.maybe_ran = earlier || cg_attempt_may_have_run(end),
		.attempts = attempts,
		.time_left = left,
	};
	struct cg_retry_decision n;

	cg_retry_budget_init(&b, 0);
	n = cg_retry_decide(&f, &b, 0);
	cg_retry_budget_destroy(&b);
	return n;
}

static void
unsafe_requests_are_never_resent_after_they_may_have_run(void **state)
{
	for (int end = 0; end < ENDS; end++) {
		for (int earlier = 0; earlier < 2; earlier++) {
			struct cg_retry_decision n =
				decide((enum cg_attempt_outcome)end, false,
				       earlier, 1, 1000);

			if (earlier || cg_attempt_may_have_run(
					       (enum cg_attempt_outcome)end))
				assert_int_not_equal(n.kind, CG_DECISION_RETRY);
		}
	}
}

static void not_run_is_only_said_with_proof(void **state)
{
	for (int end = 0; end < ENDS; end++) {
		for (int earlier = 0; earlier < 2; earlier++) {
			/* No time is left, so that nothing is sent again. */
			struct cg_retry_decision n =
				decide((enum cg_attempt_outcome)end, false,
				       earlier, 1, 0);
			bool proof = !earlier && (end == CG_ATTEMPT_NOT_SENT ||
						  end == CG_ATTEMPT_SHED);

			if (n.kind == CG_DECISION_REFUSE)
				assert_int_equal(n.u.refusal.not_run, proof);
		}
	}
}

static void proof_of_not_running_allows_a_retry_of_anything(void **state)
{
	assert_int_equal(decide(CG_ATTEMPT_NOT_SENT, false, false, 1, 99).kind,
			 CG_DECISION_RETRY);
	assert_int_equal(decide(CG_ATTEMPT_SHED, false, false, 1, 99).kind,
			 CG_DECISION_RETRY);
}

static void response_of_an_unsafe_request_is_passed_on(void **state)
{
	assert_int_equal(decide(CG_ATTEMPT_RESPONDED, false, false, 1, 99).kind,
			 CG_DECISION_RESPOND);
}

static void attempts_and_deadline_bound_retries(void **state)
{
	struct cg_retry_decision n;

	n = decide(CG_ATTEMPT_CONNECTION_LOST, true, false, CG_MAX_ATTEMPTS,
		   1000);
	assert_int_equal(n.kind, CG_DECISION_REFUSE);
	assert_int_equal(n.denied, CG_RETRY_DENIED_DEADLINE);
	n = decide(CG_ATTEMPT_CONNECTION_LOST, true, false, 1, 1);
	assert_int_equal(n.kind, CG_DECISION_REFUSE);
}

/* A service that fails altogether must not see more than 10 % retries plus the
 * lowest rate. */
static void budget_bounds_a_retry_storm(void **state)
{
	struct cg_retry_budget b;
	int retries = 0;

	cg_retry_budget_init(&b, 0);
	for (int i = 0; i < 10000; i++) {
		cg_retry_budget_credit(&b);
		if (cg_retry_budget_spend(&b, i))
			retries++;
	}
	assert_in_range(retries, 1000, 1000 + 10 * 3 + 3);
	cg_retry_budget_destroy(&b);
}

static void budget_survives_a_long_pause(void **state)
{
	struct cg_retry_budget b;
	int retries = 0;

	cg_retry_budget_init(&b, 0);
	while (cg_retry_budget_spend(&b, INT64_MAX / 2))
		retries++;
	assert_in_range(retries, 3, 20);
	assert_false(cg_retry_budget_spend(&b, 0));
	cg_retry_budget_destroy(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			unsafe_requests_are_never_resent_after_they_may_have_run),
		cmocka_unit_test(not_run_is_only_said_with_proof),
		cmocka_unit_test(
			proof_of_not_running_allows_a_retry_of_anything),
		cmocka_unit_test(response_of_an_unsafe_request_is_passed_on),
		cmocka_unit_test(attempts_and_deadline_bound_retries),
		cmocka_unit_test(budget_bounds_a_retry_storm),
		cmocka_unit_test(budget_survives_a_long_pause),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
