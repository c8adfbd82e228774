#include "gateway/link_budget.h"

#define BYTES_PER_MS_OF_MBPS (1000.0 / 8)

void cgw_link_budget_init(struct cgw_link_budget *b, double mbps, double share)
{
	b->bytes_per_ms = mbps * share * BYTES_PER_MS_OF_MBPS;
	b->free_at = 0;
}

bool cgw_link_budget_take(struct cgw_link_budget *b, size_t bytes, cg_ms within,
			  cg_ms now)
{
	bool idle = b->free_at <= (double)now;
	double starts_at = idle ? (double)now : b->free_at;
	double ends_at;

	if (b->bytes_per_ms <= 0)
		return true;
	ends_at = starts_at + (double)bytes / b->bytes_per_ms;
	if (!idle && ends_at > (double)(now + within))
		return false;
	b->free_at = ends_at;
	return true;
}
