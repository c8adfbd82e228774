/**
 * @file retry.h
 * Decides what follows an attempt: respond, retry or refuse. The rules give two
 * guarantees: a non-idempotent request runs at most once, and a refusal reports
 * "not run" only if that is proven.
 */
#ifndef CELERYGLADE_RETRY_H
#define CELERYGLADE_RETRY_H

#include <pthread.h>

#include "celeryglade/clock.h"
#include "celeryglade/outcome.h"

/** How an attempt ended. */
enum cg_attempt_outcome {
	CG_ATTEMPT_RESPONDED, /**< A complete response to this attempt. */
	CG_ATTEMPT_NOT_SENT, /**< No byte of the request was sent. */
	CG_ATTEMPT_SHED, /**< Load-shed response that proves it did not run. */
	CG_ATTEMPT_CONNECTION_LOST, /**< After the first byte was sent. */
	CG_ATTEMPT_TRUNCATED,
	CG_ATTEMPT_MISMATCHED,
	CG_ATTEMPT_TOO_LARGE,
	CG_ATTEMPT_TIMED_OUT,
};

/** Returns whether the server may have run the request although there is no
 * usable response. */
bool cg_attempt_may_have_run(enum cg_attempt_outcome outcome);

/** Retry budget of one service in one daemon: a fraction of its requests, plus
 * a minimum rate so that a service with little traffic can retry. */
struct cg_retry_budget {
	pthread_mutex_t lock;
	/** Available budget, in thousandths of a retry. */
	int64_t milli_retries;
	cg_ms refilled_at;
};

void cg_retry_budget_init(struct cg_retry_budget *b, cg_ms now);
void cg_retry_budget_destroy(struct cg_retry_budget *b);
/** Adds the budget that one new request earns. */
void cg_retry_budget_credit(struct cg_retry_budget *b);
/** Spends the budget of one retry. Returns whether there was enough. */
bool cg_retry_budget_spend(struct cg_retry_budget *b, cg_ms now);

/** State of a request after an attempt. */
struct cg_retry_input {
	enum cg_attempt_outcome outcome;
	int status; /**< With CG_ATTEMPT_RESPONDED. */
	bool idempotent;
	bool may_have_run; /**< Any attempt so far may have run it. */
	unsigned int attempts; /**< Number of attempts so far. */
	cg_ms time_remaining; /**< Until the caller's deadline. */
};

enum cg_retry_decision_kind {
	CG_DECISION_RESPOND,
	CG_DECISION_RETRY,
	CG_DECISION_REFUSE,
};

/** Decision on the next step of a request. */
struct cg_retry_decision {
	enum cg_retry_decision_kind kind;
	union {
		enum cg_retry retry; /**< Reason, with CG_DECISION_RETRY. */
		struct {
			enum cg_reason reason;
			bool not_run;
		} refusal;
	} u;
	/** Why a retry was denied; CG_RETRY_COUNT if none was. */
	enum cg_retry denied;
};

/** Maximum number of attempts per request, including the first. */
#define CG_MAX_ATTEMPTS 4

/** Decides on the next step; spends @p budget only on a retry. */
struct cg_retry_decision cg_retry_decide(const struct cg_retry_input *in,
					 struct cg_retry_budget *budget,
					 cg_ms now);

#endif
