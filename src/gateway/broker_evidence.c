#include "broker_evidence.h"

#include <glib.h>
#include <math.h>

/* Rates of the results before anything has been learnt: the operators state
 * that a working server fails one request in 80 and that a failing one fails
 * three in four, but not in which way. */
static const double initial_working[CGW_EVIDENCE_COUNT] = {
	[CGW_EVIDENCE_SERVED] = 0.9575,
	[CGW_EVIDENCE_ERROR] = 0.0125,
	[CGW_EVIDENCE_LOST] = 0.01,
	[CGW_EVIDENCE_OVERDUE] = 0.02,
};
static const double initial_failing[CGW_EVIDENCE_COUNT] = {
	[CGW_EVIDENCE_SERVED] = 0.25,
	[CGW_EVIDENCE_ERROR] = 0.4,
	[CGW_EVIDENCE_LOST] = 0.2,
	[CGW_EVIDENCE_OVERDUE] = 0.3,
};
/* Observations that the rates of the level above count for. */
#define WORKING_WEIGHT 200
#define FAILING_WEIGHT 8
/* Beyond this many observations the old ones fade. */
#define WORKING_MAX 4000
#define FAILING_MAX 200
/* A learnt rate stays within this factor of the initial one, so that no odd
 * minute can reverse the meaning of a result. */
#define RATE_FACTOR_MAX 10.0
#define RATE_MAX	0.8
/* Whatever is learnt, a success counts for a server, and a lost or overdue
 * request against it. An error may come from the request. */
static const struct {
	double min, max;
} step_bounds[CGW_EVIDENCE_COUNT] = {
	[CGW_EVIDENCE_SERVED] = { -1.6, -0.5 },
	[CGW_EVIDENCE_ERROR] = { 0, 4.2 },
	[CGW_EVIDENCE_LOST] = { 1, 4.2 },
	[CGW_EVIDENCE_OVERDUE] = { 1, 4.2 },
};

#define INITIAL_EPISODE_MS 4000
#define EPISODE_WEIGHT	   6
#define EPISODES_MAX	   100
#define EPISODE_MIN_MS	   1800
#define EPISODE_MAX_MS	   6000

static double sum(const struct cgw_evidence_counts *c)
{
	double total = 0;

	for (int i = 0; i < CGW_EVIDENCE_COUNT; i++)
		total += c->n[i];
	return total;
}

/* Returns the rate of @kind in @c; @prior counts for @weight observations. */
static double rate(const struct cgw_evidence_counts *c, enum cgw_evidence kind,
		   double prior, double weight)
{
	return (c->n[kind] + prior * weight) / (sum(c) + weight);
}

static double bounded(double learnt, double initial)
{
	return CLAMP(learnt, initial / RATE_FACTOR_MAX,
		     fmin(initial * RATE_FACTOR_MAX, fmax(RATE_MAX, initial)));
}

double cgw_failure_model_step(const struct cgw_failure_model *service,
			      const struct cgw_failure_model *all,
			      enum cgw_evidence kind)
{
	double working = rate(&all->working, kind, initial_working[kind],
			      WORKING_WEIGHT);
	double failing = rate(&all->failing, kind, initial_failing[kind],
			      FAILING_WEIGHT);

	working = rate(&service->working, kind, working, WORKING_WEIGHT);
	failing = rate(&service->failing, kind, failing, FAILING_WEIGHT);
	return CLAMP(log(bounded(failing, initial_failing[kind]) /
			 bounded(working, initial_working[kind])),
		     step_bounds[kind].min, step_bounds[kind].max);
}

cg_ms cgw_failure_model_episode_ms(const struct cgw_failure_model *service,
				   const struct cgw_failure_model *all)
{
	double mean =
		(all->episode_total_ms + INITIAL_EPISODE_MS * EPISODE_WEIGHT) /
		(all->episodes + EPISODE_WEIGHT);

	mean = (service->episode_total_ms + mean * EPISODE_WEIGHT) /
	       (service->episodes + EPISODE_WEIGHT);
	return (cg_ms)CLAMP(mean, EPISODE_MIN_MS, EPISODE_MAX_MS);
}

static void add(struct cgw_evidence_counts *to,
		const struct cgw_evidence_counts *results, double max)
{
	double total = sum(to);

	for (int i = 0; i < CGW_EVIDENCE_COUNT; i++) {
		if (total > max)
			to->n[i] *= max / total;
		to->n[i] += results->n[i];
	}
}

void cgw_failure_model_learn_working(struct cgw_failure_model *m,
				     const struct cgw_evidence_counts *results)
{
	add(&m->working, results, WORKING_MAX);
}

void cgw_failure_model_learn_failing(struct cgw_failure_model *m,
				     const struct cgw_evidence_counts *results)
{
	add(&m->failing, results, FAILING_MAX);
}

void cgw_failure_model_learn_episode(struct cgw_failure_model *m, cg_ms length)
{
	if (m->episodes >= EPISODES_MAX) {
		m->episode_total_ms *= (EPISODES_MAX - 1) / m->episodes;
		m->episodes = EPISODES_MAX - 1;
	}
	m->episodes++;
	m->episode_total_ms += (double)length;
}
