/**
 * @file loop.h
 * Single-threaded event loop of the gateway: file descriptors with epoll and
 * timers in a binary heap. Users embed struct cgw_io and struct cgw_timer in
 * their own structures.
 */
#ifndef CELERYGLADE_GATEWAY_LOOP_H
#define CELERYGLADE_GATEWAY_LOOP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "celeryglade/clock.h"

/** A watched file descriptor. The loop does not own @p fd. */
struct cgw_io {
	int fd;
	/** Called with the events of epoll(7). May remove any descriptor from
	 * the loop, including its own. */
	void (*ready)(struct cgw_io *io, uint32_t events);
};

/** A one-shot timer. */
struct cgw_timer {
	cg_ms expires_at; /**< On the clock of the loop. */
	size_t heap_index; /**< From 1; 0 if the timer is not armed. */
	void (*fire)(struct cgw_timer *t);
};

/** Notices that the process has stood still, or has been too busy to handle
 * events. */
struct cgw_pause_watch {
	cg_ms min_ms; /**< Shorter pauses are ignored. */
	/** Called after a pause, before any event that has arrived in it. */
	void (*paused)(struct cgw_pause_watch *w, cg_ms ms);
};

struct cgw_loop;

/** Creates a loop that reads the time from @p clk. Returns NULL if epoll cannot
 * be set up. */
struct cgw_loop *cgw_loop_new(struct cg_clock *clk);
/** Frees a loop; @p l may be NULL. Does not close the watched descriptors. */
void cgw_loop_free(struct cgw_loop *l);

/** Returns the time of the current batch of events in ms. It is updated only
 * before and after each wait. */
cg_ms cgw_loop_now(struct cgw_loop *l);
/** Reads the clock of the loop, to measure what is done within one batch. */
cg_ms cgw_loop_read_clock(const struct cgw_loop *l);

/** Adds a descriptor, or changes its events. Returns 0, or -1 with errno. */
int cgw_loop_add(struct cgw_loop *l, struct cgw_io *io, uint32_t events);
int cgw_loop_change(struct cgw_loop *l, struct cgw_io *io, uint32_t events);
/** Removes a descriptor; must be called before it is closed. */
void cgw_loop_del(struct cgw_loop *l, struct cgw_io *io);

/** Arms a timer, or changes the expiry of an armed one. */
void cgw_timer_arm(struct cgw_loop *l, struct cgw_timer *t, cg_ms expires_at);
/** Disarms a timer; does nothing if it is not armed. */
void cgw_timer_cancel(struct cgw_loop *l, struct cgw_timer *t);

/** Sets the watch of a loop, which must outlive it or be replaced; NULL: none. */
void cgw_loop_watch_pauses(struct cgw_loop *l, struct cgw_pause_watch *w);

/** Waits for at most @p max_wait ms, then handles the ready descriptors and the
 * expired timers. Returns 0, or -1 if epoll failed. */
int cgw_loop_step(struct cgw_loop *l, cg_ms max_wait);

#endif
