/**
 * @file link_budget.h
 * Estimates how much of what a daemon has promised to send its link has yet to
 * carry, so that it promises no more than arrives in time. What else uses the
 * link is not seen; a share of the bandwidth is left to it.
 */
#ifndef CELERYGLADE_GATEWAY_LINK_BUDGET_H
#define CELERYGLADE_GATEWAY_LINK_BUDGET_H

#include <stdbool.h>
#include <stddef.h>

#include "celeryglade/clock.h"

struct cgw_link_budget {
	double bytes_per_ms; /**< Bandwidth in use; 0: unlimited. */
	double free_at; /**< When all that was promised is sent, in ms. */
};

/** Sets up a budget that uses @p share (0 to 1) of a link of @p mbps megabits per
 * second; 0 if its bandwidth is unknown. */
void cgw_link_budget_init(struct cgw_link_budget *b, double mbps, double share);
/** Returns whether @p bytes may be sent now, and counts them if so: nothing else is
 * being sent, or all of it is sent within @p within ms. */
bool cgw_link_budget_take(struct cgw_link_budget *b, size_t bytes, cg_ms within,
			  cg_ms now);

#endif
