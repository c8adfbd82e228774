#include "celeryglade/cusum.h"

#include <math.h>

bool cg_cusum_test_init(struct cg_cusum_test *t, double p0)
{
	double p1;

	if (p0 > CG_CUSUM_P0_MAX)
		return false;
	p0 = fmax(p0, CG_CUSUM_P0_MIN);
	/* While many requests of the whole service fail, an unhealthy server
	 * must fail far more often than the others. */
	p1 = fmin(fmax(CG_CUSUM_P1_MIN, 2.5 * p0), 0.95);
	t->bad_weight = log(p1 / p0);
	t->good_weight = log((1 - p1) / (1 - p0));
	return true;
}

void cg_cusum_add(struct cg_cusum *c, const struct cg_cusum_test *t, double bad,
		  double good, double max_increase, double max_sum)
{
	double add =
		fmin(bad * t->bad_weight + good * t->good_weight, max_increase);

	c->sum = fmin(fmax(c->sum + add, 0), max_sum);
}

void cg_cusum_decay(struct cg_cusum *c, cg_ms elapsed, cg_ms half_life)
{
	if (c->sum > 0)
		c->sum *= exp2(-(double)elapsed / (double)half_life);
}
