#include "celeryglade/retry.h"

#include <stdlib.h>

/* Each request earns a tenth of a retry, so retries raise the load of a service
 * that fails completely by at most 10 %. */
#define EARNED_PER_REQUEST_MILLI 100
#define MIN_RETRIES_PER_SECOND	 3
#define BUDGET_MAX_MILLI	 20000
/* With less time an attempt at a loaded server cannot succeed. */
#define MIN_TIME_REMAINING_MS 5

bool cg_attempt_may_have_run(enum cg_attempt_outcome outcome)
{
	switch (outcome) {
	case CG_ATTEMPT_RESPONDED:
	case CG_ATTEMPT_NOT_SENT:
	case CG_ATTEMPT_SHED:
		return false;
	case CG_ATTEMPT_CONNECTION_LOST:
	case CG_ATTEMPT_TRUNCATED:
	case CG_ATTEMPT_MISMATCHED:
	case CG_ATTEMPT_TOO_LARGE:
	case CG_ATTEMPT_TIMED_OUT:
		return true;
	}
	abort();
}

void cg_retry_budget_init(struct cg_retry_budget *b, cg_ms now)
{
	pthread_mutex_init(&b->lock, NULL);
	b->milli_retries = MIN_RETRIES_PER_SECOND * 1000;
	b->refilled_at = now;
}

void cg_retry_budget_destroy(struct cg_retry_budget *b)
{
	pthread_mutex_destroy(&b->lock);
}

static void credit_budget(struct cg_retry_budget *b, int64_t milli_retries)
{
	b->milli_retries += milli_retries;
	if (b->milli_retries > BUDGET_MAX_MILLI)
		b->milli_retries = BUDGET_MAX_MILLI;
}

void cg_retry_budget_credit(struct cg_retry_budget *b)
{
	pthread_mutex_lock(&b->lock);
	credit_budget(b, EARNED_PER_REQUEST_MILLI);
	pthread_mutex_unlock(&b->lock);
}

bool cg_retry_budget_spend(struct cg_retry_budget *b, cg_ms now)
{
	bool allowed;

	pthread_mutex_lock(&b->lock);
	if (now > b->refilled_at) {
		cg_ms elapsed = now - b->refilled_at;

		/* Limited first, so that the product cannot overflow after a
		 * long pause. */
		if (elapsed > BUDGET_MAX_MILLI)
			elapsed = BUDGET_MAX_MILLI;
		credit_budget(b, elapsed * MIN_RETRIES_PER_SECOND);
		b->refilled_at = now;
	}
	allowed = b->milli_retries >= 1000;
	if (allowed)
		b->milli_retries -= 1000;
	pthread_mutex_unlock(&b->lock);
	return allowed;
}

static enum cg_retry retry_reason(enum cg_attempt_outcome outcome)
{
	switch (outcome) {
	case CG_ATTEMPT_RESPONDED:
		return CG_RETRY_STATUS;
	case CG_ATTEMPT_NOT_SENT:
		return CG_RETRY_CONNECT_FAILED;
	case CG_ATTEMPT_SHED:
		return CG_RETRY_SHED;
	case CG_ATTEMPT_CONNECTION_LOST:
		return CG_RETRY_CONNECTION_LOST;
	case CG_ATTEMPT_TRUNCATED:
	case CG_ATTEMPT_TOO_LARGE:
		return CG_RETRY_TRUNCATED;
	case CG_ATTEMPT_MISMATCHED:
		return CG_RETRY_MISMATCHED;
	case CG_ATTEMPT_TIMED_OUT:
		return CG_RETRY_TIMEOUT;
	}
	abort();
}

static enum cg_reason refusal_reason(enum cg_attempt_outcome outcome)
{
	switch (outcome) {
	case CG_ATTEMPT_NOT_SENT:
		return CG_REASON_CONNECT_FAILED;
	case CG_ATTEMPT_SHED:
		return CG_REASON_SERVER_SHED;
	case CG_ATTEMPT_CONNECTION_LOST:
		return CG_REASON_CONNECTION_LOST;
	case CG_ATTEMPT_TRUNCATED:
		return CG_REASON_RESPONSE_TRUNCATED;
	case CG_ATTEMPT_MISMATCHED:
		return CG_REASON_RESPONSE_MISMATCHED;
	case CG_ATTEMPT_TOO_LARGE:
		return CG_REASON_RESPONSE_TOO_LARGE;
	case CG_ATTEMPT_TIMED_OUT:
		return CG_REASON_DEADLINE_EXCEEDED;
	case CG_ATTEMPT_RESPONDED:
		break;
	}
	abort();
}

/* Returns whether the status reports a gateway failure of this server, so that
 * another one may succeed. 500 is not included because it is often caused by
 * the request itself. */
static bool status_is_retried(int status)
{
	return status == 502 || status == 503 || status == 504;
}

static bool is_retryable(const struct cg_retry_input *in)
{
	switch (in->outcome) {
	case CG_ATTEMPT_RESPONDED:
		return in->idempotent && status_is_retried(in->status);
	case CG_ATTEMPT_TOO_LARGE:
		return false;
	default:
		return true;
	}
}

/* Returns why a retry is denied, or CG_RETRY_COUNT if it is allowed. */
static enum cg_retry denial_reason(const struct cg_retry_input *in,
				   struct cg_retry_budget *budget, cg_ms now)
{
	if (in->may_have_run && !in->idempotent)
		return CG_RETRY_DENIED_UNSAFE;
	if (in->attempts >= CG_MAX_ATTEMPTS ||
	    in->time_remaining < MIN_TIME_REMAINING_MS)
		return CG_RETRY_DENIED_DEADLINE;
	if (!cg_retry_budget_spend(budget, now))
		return CG_RETRY_DENIED_BUDGET;
	return CG_RETRY_COUNT;
}

struct cg_retry_decision cg_retry_decide(const struct cg_retry_input *in,
					 struct cg_retry_budget *budget,
					 cg_ms now)
{
	struct cg_retry_decision decision = { .denied = CG_RETRY_COUNT };

	if (is_retryable(in)) {
		decision.denied = denial_reason(in, budget, now);
		if (decision.denied == CG_RETRY_COUNT) {
			decision.kind = CG_DECISION_RETRY;
			decision.u.retry = retry_reason(in->outcome);
			return decision;
		}
	}
	if (in->outcome == CG_ATTEMPT_RESPONDED) {
		decision.kind = CG_DECISION_RESPOND;
		return decision;
	}
	decision.kind = CG_DECISION_REFUSE;
	decision.u.refusal.reason = refusal_reason(in->outcome);
	decision.u.refusal.not_run =
		!in->may_have_run &&
		cg_reason_proves_not_run(decision.u.refusal.reason);
	return decision;
}
