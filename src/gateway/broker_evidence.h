/**
 * @file broker_evidence.h
 * What the results of requests say about the server that gave them: how often
 * each kind of result comes from servers that work and from servers in a
 * failure episode, and how long episodes last. Both are learnt per service.
 */
#ifndef CELERYGLADE_GATEWAY_BROKER_EVIDENCE_H
#define CELERYGLADE_GATEWAY_BROKER_EVIDENCE_H

#include "celeryglade/clock.h"

enum cgw_evidence {
	CGW_EVIDENCE_SERVED,
	CGW_EVIDENCE_ERROR,
	CGW_EVIDENCE_LOST,
	CGW_EVIDENCE_OVERDUE,
	CGW_EVIDENCE_COUNT,
};

/** Results by kind. Not integral, since old counts fade. */
struct cgw_evidence_counts {
	double n[CGW_EVIDENCE_COUNT];
};

/** What has been learnt about one service, or about all of them together.
 * All zero: nothing yet. */
struct cgw_failure_model {
	struct cgw_evidence_counts working, failing;
	double episodes; /**< Number observed. */
	double episode_total_ms;
};

/**
 * Returns the log likelihood ratio of a result: positive if it is more frequent
 * at a failing server than at a working one.
 *
 * @param all What the services together have shown. It stands in for a service
 *            with few observations, and the initial rates stand in for it.
 */
double cgw_failure_model_step(const struct cgw_failure_model *service,
			      const struct cgw_failure_model *all,
			      enum cgw_evidence kind);
/** Returns the expected length of a failure episode. */
cg_ms cgw_failure_model_episode_ms(const struct cgw_failure_model *service,
				   const struct cgw_failure_model *all);
/** Adds the results of a server that worked. */
void cgw_failure_model_learn_working(struct cgw_failure_model *m,
				     const struct cgw_evidence_counts *results);
/** Adds the results of a server that failed. */
void cgw_failure_model_learn_failing(struct cgw_failure_model *m,
				     const struct cgw_evidence_counts *results);
/** Adds an episode that has ended. */
void cgw_failure_model_learn_episode(struct cgw_failure_model *m, cg_ms length);

#endif
