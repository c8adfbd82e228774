/**
 * @file timers.h
 * Timers of requests and attempts: a hashed timer wheel with a tick of 5 ms.
 */
#ifndef CELERYGLADE_INTERNAL_TIMERS_H
#define CELERYGLADE_INTERNAL_TIMERS_H

#include <stdbool.h>
#include <urcu/list.h>

#include "celeryglade/clock.h"

/** A timer, embedded in its owner, which must outlive it. */
struct cg_timer {
	struct cds_list_head node;
	cg_ms deadline;
	bool armed;
	void (*fire)(struct cg_timer *t);
};

struct cg_timers;

/** Creates the timer wheel and starts its thread; NULL if the thread does not
 * start. The caller owns the result. */
struct cg_timers *cg_timers_new(struct cg_clock *clk);
void cg_timers_free(struct cg_timers *w);

/** Arms a timer that is not armed. @p t->fire is called on the wheel's thread
 * without locks held, at @p deadline or up to two ticks later. */
void cg_timers_arm(struct cg_timers *w, struct cg_timer *t, cg_ms deadline);

/** Disarms a timer. Returns whether it was armed; if not, its function has
 * already been called or is running. */
bool cg_timers_cancel(struct cg_timers *w, struct cg_timer *t);

#endif
