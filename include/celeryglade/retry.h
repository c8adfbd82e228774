/**
 * @file retry.h
 * Decides what follows an attempt: respond, send again, or refuse. The rules
 * keep two guarantees: a non-idempotent request runs at most once, and "not
 * run" is only said with proof.
 */
#ifndef CELERYGLADE_RETRY_H
#define CELERYGLADE_RETRY_H

#include <pthread.h>

#include "celeryglade/clock.h"
#include "celeryglade/outcome.h"

/** How an attempt ended. */
enum cg_attempt_outcome {
	CG_ATTEMPT_RESPONDED, /**< A whole response that is its own. */
	CG_ATTEMPT_NOT_SENT, /**< No byte of the request went out. */
	CG_ATTEMPT_SHED, /**< The server proved that it did not run. */
	CG_ATTEMPT_CONNECTION_LOST, /**< Connection failed after the first byte. */
	CG_ATTEMPT_TRUNCATED,
	CG_ATTEMPT_MISMATCHED,
	CG_ATTEMPT_TOO_LARGE,
	CG_ATTEMPT_TIMED_OUT,
};

/** Whether the attempt may have run the request without a usable response. */
bool cg_attempt_may_have_run(enum cg_attempt_outcome outcome);

/** Retry budget of one service in one daemon: a share of its requests, and a
 * lowest rate so that a quiet service can retry at all. */
struct cg_retry_budget {
	pthread_mutex_t lock;
	int64_t milli_retries; /**< Thousandths of a retry that may be made now. */
	cg_ms refilled_at;
};

void cg_retry_budget_init(struct cg_retry_budget *b, cg_ms now);
void cg_retry_budget_destroy(struct cg_retry_budget *b);
/** Adds the share that one new request earns. */
void cg_retry_budget_credit(struct cg_retry_budget *b);
/** Takes one retry. Returns whether the budget allowed it. */
bool cg_retry_budget_spend(struct cg_retry_budget *b, cg_ms now);

/** Facts of a request after an attempt. */
struct cg_retry_input {
	enum cg_attempt_outcome outcome;
	int status; /**< With CG_ATTEMPT_RESPONDED. */
	bool idempotent;
	bool may_have_run; /**< Some attempt, this one included, may have run. */
	unsigned int attempts; /**< Made so far. */
	cg_ms time_remaining; /**< Until the caller's deadline. */
};

enum cg_retry_decision_kind {
	CG_DECISION_RESPOND,
	CG_DECISION_RETRY,
	CG_DECISION_REFUSE,
};

/** What to do next. */
struct cg_retry_decision {
	enum cg_retry_decision_kind kind;
	union {
		enum cg_retry retry; /**< Why, with CG_DECISION_RETRY. */
		struct {
			enum cg_reason reason;
			bool not_run;
		} refusal;
	} u;
	/** Why no retry was made, or CG_RETRY_COUNT if none was wanted. */
	enum cg_retry denied;
};

/** Attempts of one request, the first included. */
#define CG_MAX_ATTEMPTS 4

/** Decides; takes from @p budget only if the result is a retry. */
struct cg_retry_decision cg_retry_decide(const struct cg_retry_input *f,
					 struct cg_retry_budget *budget,
					 cg_ms now);

#endif
