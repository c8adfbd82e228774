#include "celeryglade/rate_policy.h"

int64_t cg_rate_policy_level(const int64_t *demand, size_t n, int64_t available)
{
	int64_t level = 0;
	size_t above = n;

	if (available < 0)
		available = 0;
	/* Each pass settles the demands below the level, so that the level
	 * rises until no further demand falls below it. */
	for (;;) {
		int64_t settled = 0;
		size_t left = 0;

		for (size_t i = 0; i < n; i++) {
			if (demand[i] <= level)
				settled += demand[i];
			else
				left++;
		}
		if (!left)
			return INT64_MAX;
		if (left == above && level > 0)
			return level;
		above = left;
		level = (available - settled) / (int64_t)left;
		if (level <= 0)
			return 0;
	}
}

void cg_rate_policy_target(const struct cg_rate_demands *d, int64_t mine,
			   bool holding, struct cg_rate_share *out)
{
	int64_t threshold =
		holding ? CG_RATE_HOLDING_DEMAND / 2 : CG_RATE_HOLDING_DEMAND;
	int64_t rights =
		d->rate - d->rate / CG_RATE_RESERVE_PART - d->fixed_right;
	int64_t caps =
		d->burst - d->burst / CG_RATE_RESERVE_PART - d->fixed_cap;
	int64_t sum = 0;

	*out = (struct cg_rate_share){ 0 };
	if (mine < threshold || rights <= 0 || caps < CG_RATE_ONE)
		return;
	for (size_t i = 0; i < d->n; i++)
		sum += d->of[i];
	if (sum <= rights) {
		out->right = cg_rate_part(rights, mine, sum);
	} else {
		int64_t level = cg_rate_policy_level(d->of, d->n, rights);

		out->right = mine < level ? mine : level;
	}
	out->cap = cg_rate_part(caps, out->right, rights);
	/* A bucket that cannot keep one whole request never admits any. */
	if (out->cap < CG_RATE_ONE || out->right <= 0)
		*out = (struct cg_rate_share){ 0 };
}

bool cg_rate_policy_raise(int64_t have, int64_t want)
{
	return want - have > have / 8;
}

bool cg_rate_policy_lower(int64_t have, int64_t want)
{
	return have - want > have / 4;
}
