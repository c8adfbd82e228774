#include "celeryglade/rate_policy.h"

#include <math.h>

int64_t cg_rate_policy_max_min_level(const int64_t *demand, size_t n,
				     int64_t available)
{
	int64_t level = 0;
	size_t last_remaining = n;

	if (available < 0)
		available = 0;
	/* Each pass satisfies the demands up to the level in full and divides
	 * the rest among the others; the level rises until no further demand
	 * is below it. */
	for (;;) {
		int64_t satisfied = 0;
		size_t remaining = 0;

		for (size_t i = 0; i < n; i++) {
			if (demand[i] <= level)
				satisfied += demand[i];
			else
				remaining++;
		}
		if (!remaining)
			return INT64_MAX;
		if (remaining == last_remaining && level > 0)
			return level;
		last_remaining = remaining;
		level = (available - satisfied) / (int64_t)remaining;
		if (level <= 0)
			return 0;
	}
}

/* Standard deviation of the arrivals in one second: the square root of their
 * number, as for independent arrivals. */
static int64_t standard_deviation(int64_t demand)
{
	return demand > 0 ? (int64_t)sqrt((double)demand * CG_RATE_REQUEST_COST)
			  : 0;
}

/* Returns the refill right if all demands fit into @p rights. The pool keeps
 * one standard deviation of each demand, since refill that one of many small
 * buckets does not use is lost. */
static int64_t right_with_spare(const struct cg_rate_demands *d, int64_t mine,
				int64_t sum, int64_t rights)
{
	int64_t max_right = CG_RATE_MAX_RIGHT_FACTOR * mine;
	int64_t noise = 0, right;

	for (size_t i = 0; i < d->n; i++)
		noise += standard_deviation(d->demand[i]);
	right = cg_rate_fraction(rights - noise, mine, sum);
	return right < max_right ? right : max_right;
}

/* Returns a capacity in proportion to the refill right, but no more than is
 * needed until the next message; the rest is more useful in the pool. */
static int64_t capacity_for(int64_t mine, int64_t right, int64_t rights,
			    int64_t caps)
{
	int64_t share = cg_rate_fraction(caps, right, rights);
	int64_t max_capacity = right / 8 + 2 * standard_deviation(mine);

	return share < max_capacity ? share : max_capacity;
}

void cg_rate_policy_target(const struct cg_rate_demands *d, int64_t mine,
			   bool holding, struct cg_rate_share *out)
{
	int64_t threshold = holding ? CG_RATE_HOLDING_MIN_DEMAND / 2
				    : CG_RATE_HOLDING_MIN_DEMAND;
	int64_t rights =
		d->rate - d->rate / CG_RATE_RESERVE_DIVISOR - d->fixed_right;
	int64_t caps = d->burst - d->burst / CG_RATE_RESERVE_DIVISOR -
		       d->fixed_capacity;

	int64_t sum = 0;

	*out = (struct cg_rate_share){ 0 };
	if (mine < threshold || rights <= 0 || caps < CG_RATE_REQUEST_COST)
		return;
	for (size_t i = 0; i < d->n; i++)
		sum += d->demand[i];
	if (sum > rights) {
		int64_t level =
			cg_rate_policy_max_min_level(d->demand, d->n, rights);

		out->refill_right = mine < level ? mine : level;
	} else {
		out->refill_right = right_with_spare(d, mine, sum, rights);
	}
	out->capacity = capacity_for(mine, out->refill_right, rights, caps);
	/* A small bucket often overflows unless its refill is below its demand.
	 * The pool makes up for the difference, but only if all demands fit. */
	if (sum <= rights && out->capacity < CG_RATE_SMALL_CAPACITY &&
	    out->refill_right > mine - standard_deviation(mine))
		out->refill_right = mine - standard_deviation(mine);
	/* A bucket below the cost of one request never admits any. */
	if (out->capacity < CG_RATE_REQUEST_COST || out->refill_right <= 0)
		*out = (struct cg_rate_share){ 0 };
}

bool cg_rate_policy_should_raise(int64_t current, int64_t target)
{
	return target - current > current / 8;
}

bool cg_rate_policy_should_lower(int64_t current, int64_t target, bool scarce)
{
	return current - target > current / (scarce ? 32 : 4);
}
