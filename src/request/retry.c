#include "celeryglade/retry.h"

#include <stdlib.h>

/* A tenth of the requests: retries then raise the load of a service that
 * fails altogether by at most 10 %. */
#define EARNED_MILLI	  100
#define LOWEST_PER_SECOND 3
#define BUDGET_MAX_MILLI  20000
/* Shorter than any useful attempt on a loaded server. */
#define LEAST_TIME_LEFT_MS 5

bool cg_attempt_maybe_ran(enum cg_attempt_end end)
{
	switch (end) {
	case CG_ATTEMPT_RESPONDED:
	case CG_ATTEMPT_NOT_SENT:
	case CG_ATTEMPT_SHED:
		return false;
	case CG_ATTEMPT_LOST:
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
	b->milli = LOWEST_PER_SECOND * 1000;
	b->refilled_at = now;
}

void cg_retry_budget_destroy(struct cg_retry_budget *b)
{
	pthread_mutex_destroy(&b->lock);
}

static void add_budget(struct cg_retry_budget *b, int64_t milli)
{
	b->milli += milli;
	if (b->milli > BUDGET_MAX_MILLI)
		b->milli = BUDGET_MAX_MILLI;
}

void cg_retry_budget_earn(struct cg_retry_budget *b)
{
	pthread_mutex_lock(&b->lock);
	add_budget(b, EARNED_MILLI);
	pthread_mutex_unlock(&b->lock);
}

bool cg_retry_budget_take(struct cg_retry_budget *b, cg_ms now)
{
	bool allowed;

	pthread_mutex_lock(&b->lock);
	if (now > b->refilled_at) {
		cg_ms passed = now - b->refilled_at;

		/* Bounded first, so that a long pause cannot overflow. */
		if (passed > BUDGET_MAX_MILLI)
			passed = BUDGET_MAX_MILLI;
		add_budget(b, passed * LOWEST_PER_SECOND);
		b->refilled_at = now;
	}
	allowed = b->milli >= 1000;
	if (allowed)
		b->milli -= 1000;
	pthread_mutex_unlock(&b->lock);
	return allowed;
}

static enum cg_retry retry_reason(enum cg_attempt_end end)
{
	switch (end) {
	case CG_ATTEMPT_RESPONDED:
		return CG_RETRY_STATUS;
	case CG_ATTEMPT_NOT_SENT:
		return CG_RETRY_CONNECT_FAILED;
	case CG_ATTEMPT_SHED:
		return CG_RETRY_SHED;
	case CG_ATTEMPT_LOST:
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

static enum cg_reason refusal_reason(enum cg_attempt_end end)
{
	switch (end) {
	case CG_ATTEMPT_NOT_SENT:
		return CG_REASON_CONNECT_FAILED;
	case CG_ATTEMPT_SHED:
		return CG_REASON_SERVER_SHED;
	case CG_ATTEMPT_LOST:
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

/* A gateway status of the server itself: another server may do better. 500
 * is not among them, as it is often the request's own fault. */
static bool status_is_retried(int status)
{
	return status == 502 || status == 503 || status == 504;
}

static bool wants_retry(const struct cg_retry_facts *f)
{
	switch (f->end) {
	case CG_ATTEMPT_RESPONDED:
		return f->idempotent && status_is_retried(f->status);
	case CG_ATTEMPT_TOO_LARGE:
		return false;
	default:
		return true;
	}
}

/* Returns the reason against a retry, or CG_RETRY_COUNT if there is none. */
static enum cg_retry retry_denied(const struct cg_retry_facts *f,
				  struct cg_retry_budget *budget, cg_ms now)
{
	if (f->maybe_ran && !f->idempotent)
		return CG_RETRY_DENIED_UNSAFE;
	if (f->attempts >= CG_MAX_ATTEMPTS || f->time_left < LEAST_TIME_LEFT_MS)
		return CG_RETRY_DENIED_DEADLINE;
	if (!cg_retry_budget_take(budget, now))
		return CG_RETRY_DENIED_BUDGET;
	return CG_RETRY_COUNT;
}

struct cg_next cg_retry_decide(const struct cg_retry_facts *f,
			       struct cg_retry_budget *budget, cg_ms now)
{
	struct cg_next n = { .denied = CG_RETRY_COUNT };

	if (wants_retry(f)) {
		n.denied = retry_denied(f, budget, now);
		if (n.denied == CG_RETRY_COUNT) {
			n.kind = CG_NEXT_RETRY;
			n.u.retry = retry_reason(f->end);
			return n;
		}
	}
	if (f->end == CG_ATTEMPT_RESPONDED) {
		n.kind = CG_NEXT_RESPOND;
		return n;
	}
	n.kind = CG_NEXT_REFUSE;
	n.u.refusal.reason = refusal_reason(f->end);
	n.u.refusal.not_run =
		!f->maybe_ran && cg_reason_proves_not_run(n.u.refusal.reason);
	return n;
}
