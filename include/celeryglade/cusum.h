/**
 * @file cusum.h
 * Sequential likelihood test of one server against its service's other
 * servers: a cumulative sum (CUSUM) of the log-likelihood ratio of "unhealthy"
 * over "as the others".
 */
#ifndef CELERYGLADE_CUSUM_H
#define CELERYGLADE_CUSUM_H

#include <stdbool.h>

#include "celeryglade/clock.h"

/** Lowest failure ratio that is assumed of the other servers. A lower one
 * would let a handful of failures in an otherwise perfect service count as
 * proof. */
#define CG_CUSUM_P0_MIN 0.02
/** Above this ratio the whole service fails and no server is tested. */
#define CG_CUSUM_P0_MAX 0.45
/** Lowest failure ratio of an unhealthy server. */
#define CG_CUSUM_P1_MIN 0.30

/** The running sum of one server. */
struct cg_cusum {
	double sum;
};

/** What one observation adds. */
struct cg_cusum_test {
	double bad_weight; /**< Above zero. */
	double good_weight; /**< Below zero. */
};

/**
 * Prepares the test against the failure ratio @p p0 of the other servers.
 * Returns false if so many of them fail that no server can be singled out.
 */
bool cg_cusum_test_init(struct cg_cusum_test *t, double p0);

/**
 * Adds the observations of one tick. The sum rises by at most @p step, so that
 * a burst within one tick is no proof by itself, and stays in 0 to @p top.
 */
void cg_cusum_add(struct cg_cusum *c, const struct cg_cusum_test *t, double bad,
		  double good, double max_increase, double max_sum);

/** Halves the sum for every @p half_life in @p elapsed. */
void cg_cusum_decay(struct cg_cusum *c, cg_ms elapsed, cg_ms half_life);

#endif
