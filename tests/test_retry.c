/* Guards against a second run of a non-idempotent request, a refusal that
 * wrongly reports "not run", and retries that multiply the load of a failing
 * service. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "celeryglade/retry.h"

#define OUTCOMES 8

static struct cg_retry_decision decide(enum cg_attempt_outcome outcome,
				       bool idempotent,
				       bool earlier_may_have_run,
				       unsigned int attempts, cg_ms remaining)
{
	struct cg_retry_budget b;
	struct cg_retry_input in = {
		.outcome = outcome,
		.status = 503,
		.idempotent = idempotent,
		.may_have_run = earlier_may_have_run ||
				cg_attempt_may_have_run(outcome),
		.attempts = attempts,
		.time_remaining = remaining,
	};
	struct cg_retry_decision decision;

	cg_retry_budget_init(&b, 0);
	decision = cg_retry_decide(&in, &b, 0);
	cg_retry_budget_destroy(&b);
	return decision;
}

static void non_idempotent_request_runs_at_most_once(void **state)
{
	for (int outcome = 0; outcome < OUTCOMES; outcome++) {
		for (int earlier_may_have_run = 0; earlier_may_have_run < 2;
		     earlier_may_have_run++) {
			struct cg_retry_decision decision =
				decide((enum cg_attempt_outcome)outcome, false,
				       earlier_may_have_run, 1, 1000);

			if (earlier_may_have_run ||
			    cg_attempt_may_have_run(
				    (enum cg_attempt_outcome)outcome))
				assert_int_not_equal(decision.kind,
						     CG_DECISION_RETRY);
		}
	}
}

static void not_run_requires_proof(void **state)
{
	for (int outcome = 0; outcome < OUTCOMES; outcome++) {
		for (int earlier_may_have_run = 0; earlier_may_have_run < 2;
		     earlier_may_have_run++) {
			/* With no time remaining, nothing is retried. */
			struct cg_retry_decision decision =
				decide((enum cg_attempt_outcome)outcome, false,
				       earlier_may_have_run, 1, 0);
			bool proof = !earlier_may_have_run &&
				     (outcome == CG_ATTEMPT_NOT_SENT ||
				      outcome == CG_ATTEMPT_SHED);

			if (decision.kind == CG_DECISION_REFUSE)
				assert_int_equal(decision.u.refusal.not_run,
						 proof);
		}
	}
}

static void proof_of_not_running_allows_any_retry(void **state)
{
	assert_int_equal(decide(CG_ATTEMPT_NOT_SENT, false, false, 1, 99).kind,
			 CG_DECISION_RETRY);
	assert_int_equal(decide(CG_ATTEMPT_SHED, false, false, 1, 99).kind,
			 CG_DECISION_RETRY);
}

static void response_of_non_idempotent_request_is_returned(void **state)
{
	assert_int_equal(decide(CG_ATTEMPT_RESPONDED, false, false, 1, 99).kind,
			 CG_DECISION_RESPOND);
}

static void attempt_count_and_deadline_limit_retries(void **state)
{
	struct cg_retry_decision decision;

	decision = decide(CG_ATTEMPT_CONNECTION_LOST, true, false,
			  CG_MAX_ATTEMPTS, 1000);
	assert_int_equal(decision.kind, CG_DECISION_REFUSE);
	assert_int_equal(decision.denied, CG_RETRY_DENIED_DEADLINE);
	decision = decide(CG_ATTEMPT_CONNECTION_LOST, true, false, 1, 1);
	assert_int_equal(decision.kind, CG_DECISION_REFUSE);
}

/* Retries to a service that fails completely must stay within 10 % of its
 * requests plus the minimum rate. */
static void budget_limits_the_retry_rate(void **state)
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

static void long_pause_does_not_overflow_the_budget(void **state)
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
		cmocka_unit_test(non_idempotent_request_runs_at_most_once),
		cmocka_unit_test(not_run_requires_proof),
		cmocka_unit_test(proof_of_not_running_allows_any_retry),
		cmocka_unit_test(
			response_of_non_idempotent_request_is_returned),
		cmocka_unit_test(attempt_count_and_deadline_limit_retries),
		cmocka_unit_test(budget_limits_the_retry_rate),
		cmocka_unit_test(long_pause_does_not_overflow_the_budget),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
