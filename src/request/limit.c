#include "celeryglade/limit.h"

#include <math.h>

static double max_limit(uint32_t slots)
{
	return slots > 1 ? slots : 1;
}

void cg_concurrency_limit_init(struct cg_concurrency_limit *l, uint32_t slots)
{
	l->value = max_limit(slots);
	l->halved_at = -CG_MS_NEVER;
}

void cg_concurrency_limit_record_response(struct cg_concurrency_limit *l,
					  uint32_t slots)
{
	l->value = fmin(l->value + 1 / l->value, max_limit(slots));
}

void cg_concurrency_limit_record_shed(struct cg_concurrency_limit *l,
				      cg_ms started, cg_ms now)
{
	if (started < l->halved_at)
		return;
	l->value = fmax(l->value / 2, 1);
	l->halved_at = now;
}

uint32_t cg_concurrency_limit_get(const struct cg_concurrency_limit *l,
				  uint32_t slots)
{
	return (uint32_t)fmin(l->value, max_limit(slots));
}
