/**
 * @file timers.h
 * Timers of requests and attempts: a hashed wheel with a tick of 5 ms.
 */
#ifndef CELERYGLADE_INTERNAL_TIMERS_H
#define CELERYGLADE_INTERNAL_TIMERS_H

#include <stdbool.h>
#include <urcu/list.h>

#include "celeryglade/clock.h"

/** One timer; embedded in its owner, which outlives it. */
struct cg_timer {
	struct cds_list_head node;
	cg_ms deadline;
	bool armed;
	void (*fire)(struct cg_timer *t);
};

struct cg_timers;

/** Creates the wheel and starts its thread. The caller owns the result. */
struct cg_timers *cg_timers_new(struct cg_clock *clk);
void cg_timers_free(struct cg_timers *w);

/** Arms a timer that is not armed; @p t->fire runs in the wheel's thread,
 * without locks held, at @p due or up to two ticks later. */
void cg_timers_arm(struct cg_timers *w, struct cg_timer *t, cg_ms deadline);

/** Disarms. Returns whether the timer was armed; if not, its function has run
 * or is running. */
bool cg_timers_cancel(struct cg_timers *w, struct cg_timer *t);

#endif
