/**
 * @file rate_policy.h
 * How a coordinator divides an account's rate and burst between holders:
 * max-min by demand, spare refill rights in proportion to demand, one eighth
 * reserved for new holders.
 */
#ifndef CELERYGLADE_RATE_POLICY_H
#define CELERYGLADE_RATE_POLICY_H

#include <stddef.h>

#include "celeryglade/rate_bucket.h"

/** Part of rate and burst that existing holders leave in the pool. */
#define CG_RATE_RESERVE_DIVISOR 8

/**
 * A demand below one request per second is served request by request from the
 * pool. A holding for it would keep capacity from the other holders for longer
 * than it saves messages.
 */
#define CG_RATE_HOLDING_MIN_DEMAND 1000

/**
 * Most right that a holder gets, as a multiple of its demand. What is spare
 * beyond that stays in the pool, which serves new holders at once; a holder
 * has to be asked before it returns anything.
 */
#define CG_RATE_MAX_RIGHT_FACTOR 2

/** Capacity below which a bucket gets less than its demand as right. */
#define CG_RATE_SMALL_CAPACITY (8 * CG_RATE_REQUEST_COST)

/** Demands of an account's holders, as sums a target is computed from. */
struct cg_rate_demands {
	int64_t rate;
	int64_t burst;
	int64_t fixed_right; /**< Held by holders that are silent. */
	int64_t fixed_cap;
	const int64_t *of; /**< Demand of each holder that is heard. */
	size_t n;
};

/** Returns the level at which demands cut to it sum up to at most
 * @p available; INT64_MAX if all fit. */
int64_t cg_rate_policy_max_min_level(const int64_t *demand, size_t n,
				     int64_t available);

/**
 * Computes what a holder with demand @p mine (which is one of @p d) should
 * have. Zero right and capacity mean that it is served from the pool.
 * @p holding tells that it has a holding now, which lowers the threshold.
 */
void cg_rate_policy_target(const struct cg_rate_demands *d, int64_t mine,
			   bool holding, struct cg_rate_share *out);

/** Whether @p have is so far below @p want that a grant is worth it. */
bool cg_rate_policy_should_raise(int64_t have, int64_t want);

/** Whether @p have is so far above @p want that a release is worth it.
 * @p wanted tells that other holders lack it. */
bool cg_rate_policy_should_lower(int64_t have, int64_t want, bool wanted);

#endif
