/**
 * @file loop.h
 * The event loop of the gateway: descriptors by epoll and timers by a binary
 * heap, on one thread. Owners embed struct cgw_io and struct cgw_timer.
 */
#ifndef CELERYGLADE_GATEWAY_LOOP_H
#define CELERYGLADE_GATEWAY_LOOP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "celeryglade/clock.h"

/** A watched descriptor. The loop does not own @p fd. */
struct cgw_io {
	int fd;
	/** @p events are those of epoll(7). May delete any watched descriptor,
	 * its own included. */
	void (*ready)(struct cgw_io *io, uint32_t events);
};

/** A timer that fires once. */
struct cgw_timer {
	cg_ms expires_at;
	size_t heap_index; /**< Position in the heap, from 1; 0 if not armed. */
	void (*fire)(struct cgw_timer *t);
};

struct cgw_loop;

/** Creates a loop that reads @p clk; returns NULL without descriptors. */
struct cgw_loop *cgw_loop_new(struct cg_clock *clk);
void cgw_loop_free(struct cgw_loop *l);

/** Time at which the present batch of events began, updated by each wait. */
cg_ms cgw_loop_now(struct cgw_loop *l);

/** Watches or changes what is watched. Returns 0 or -1. */
int cgw_loop_add(struct cgw_loop *l, struct cgw_io *io, uint32_t events);
int cgw_loop_change(struct cgw_loop *l, struct cgw_io *io, uint32_t events);
/** Ends the watch; to be called before the descriptor is closed. */
void cgw_loop_del(struct cgw_loop *l, struct cgw_io *io);

/** Arms a timer, or moves one that is armed. */
void cgw_timer_arm(struct cgw_loop *l, struct cgw_timer *t, cg_ms expires_at);
void cgw_timer_cancel(struct cgw_loop *l, struct cgw_timer *t);

/** Waits for at most @p max_wait ms and runs what is due. Returns 0, or -1 if
 * epoll failed. */
int cgw_loop_step(struct cgw_loop *l, cg_ms max_wait);

#endif
