/**
 * @file rate_policy.h
 * How a coordinator divides an account's rate and burst between holders:
 * max-min fairness by demand, spare refill rights in proportion to demand, one
 * eighth reserved for new holders.
 */
#ifndef CELERYGLADE_RATE_POLICY_H
#define CELERYGLADE_RATE_POLICY_H

#include <stddef.h>

#include "celeryglade/rate_bucket.h"

/** Existing holders leave rate and burst divided by this in the pool. */
#define CG_RATE_RESERVE_DIVISOR 8

/**
 * Lowest demand that gets a holding: one request per second. Requests of a
 * lower demand get tokens one by one from the pool; the few messages that a
 * holding would save do not make up for the capacity that it withholds from
 * other holders.
 */
#define CG_RATE_HOLDING_MIN_DEMAND 1000

/**
 * Maximum refill right of a holder, as a multiple of its demand. The rest stays
 * in the pool, from which new holders get a grant at once; a share that a
 * holder has must be released and reported first.
 */
#define CG_RATE_MAX_RIGHT_FACTOR 2

/** A bucket with less capacity gets a refill right below its demand. */
#define CG_RATE_SMALL_CAPACITY (8 * CG_RATE_REQUEST_COST)

/** Input for a target: an account's limits and its holders' demands. */
struct cg_rate_demands {
	int64_t rate;
	int64_t burst;
	/** Sums of what holders have that send no reports. */
	int64_t fixed_right;
	int64_t fixed_capacity;
	const int64_t *demand; /**< Demand of each holder that reports. */
	size_t n;
};

/** Returns the max-min level: the sum of min(demand, level) is at most
 * @p available. Returns INT64_MAX if all demands fit. */
int64_t cg_rate_policy_max_min_level(const int64_t *demand, size_t n,
				     int64_t available);

/**
 * Computes the share that a holder with demand @p mine (which is one of @p d)
 * should have. If the demands exceed the available rate, its refill right is
 * limited to the max-min level; otherwise it also gets a part of the spare
 * rate. A refill right and capacity of zero mean that it gets tokens from the
 * pool per request, for example because its demand is below the minimum.
 * @p holding: it has a holding now, which halves the minimum demand.
 */
void cg_rate_policy_target(const struct cg_rate_demands *d, int64_t mine,
			   bool holding, struct cg_rate_share *out);

/** Returns whether a refill right or capacity of @p current is far enough below
 * @p target to justify a grant. */
bool cg_rate_policy_should_raise(int64_t current, int64_t target);

/** Returns whether a refill right or capacity of @p current is far enough above
 * @p target to justify a release. @p scarce: the pool has little, so the
 * threshold is lower. */
bool cg_rate_policy_should_lower(int64_t current, int64_t target, bool scarce);

#endif
