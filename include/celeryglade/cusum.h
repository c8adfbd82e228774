/**
 * @file cusum.h
 * Sequential likelihood test of one server against the other servers of its
 * service: a cumulative sum (CUSUM) of the log-likelihood ratio of "unhealthy"
 * over "like the others".
 */
#ifndef CELERYGLADE_CUSUM_H
#define CELERYGLADE_CUSUM_H

#include <stdbool.h>

#include "celeryglade/clock.h"

/**
 * Lowest failure ratio (p0) assumed for the other servers. With a lower one, a
 * handful of failures in an otherwise perfect service would be sufficient
 * evidence.
 */
#define CG_CUSUM_P0_MIN 0.02
/**
 * Above this ratio the whole service is considered failing and no server is
 * tested.
 */
#define CG_CUSUM_P0_MAX 0.45
/** Lowest failure ratio (p1) assumed for an unhealthy server. */
#define CG_CUSUM_P1_MIN 0.30

/** The running sum of one server. */
struct cg_cusum {
	double sum;
};

/** Log-likelihood ratios that one observation adds to the sum. */
struct cg_cusum_test {
	double bad_weight; /**< Of a failed or slow response; positive. */
	double good_weight; /**< Of any other response; negative. */
};

/**
 * Initializes the test against the failure ratio @p p0 of the other servers.
 * @return false if so many of them fail that no server can be singled out.
 */
bool cg_cusum_test_init(struct cg_cusum_test *t, double p0);

/**
 * Adds the observations of one tick: @p bad failed or slow responses and @p
 * good others. The sum rises by at most @p max_increase, so that a burst within
 * one tick is not sufficient evidence by itself, and stays between 0 and @p
 * max_sum.
 */
void cg_cusum_add(struct cg_cusum *c, const struct cg_cusum_test *t, double bad,
		  double good, double max_increase, double max_sum);

/** Halves the sum once per @p half_life in @p elapsed (both in ms). */
void cg_cusum_decay(struct cg_cusum *c, cg_ms elapsed, cg_ms half_life);

#endif
