/**
 * @file clock.h
 * Time in milliseconds. Modules that make decisions receive the time as an
 * argument, so that tests and replays control it; only the code that does I/O
 * and the threads of the daemon read a clock.
 */
#ifndef CELERYGLADE_CLOCK_H
#define CELERYGLADE_CLOCK_H

#include <stdatomic.h>
#include <stdint.h>

/** Milliseconds: a point in time of some clock, or a duration. */
typedef int64_t cg_ms;

/** A point in time that is never reached. */
#define CG_MS_NEVER INT64_MAX

enum cg_clock_kind {
	CG_CLOCK_BOOT, /**< CLOCK_BOOTTIME, which includes suspended time. */
	CG_CLOCK_MANUAL, /**< Set by cg_clock_set: tests, trace replays. */
};

/** A source of time. */
struct cg_clock {
	enum cg_clock_kind kind;
	union {
		_Atomic cg_ms manual_ms;
	} u;
};

/** Initialises @p c to the machine's boot-time clock. */
void cg_clock_init_boot(struct cg_clock *c);

/** Initialises @p c to a manual clock that shows @p now. */
void cg_clock_init_manual(struct cg_clock *c, cg_ms now);

/** Sets the time of a manual clock; aborts on a boot-time clock. */
void cg_clock_set(struct cg_clock *c, cg_ms now);

/** Returns the current time of @p c. */
cg_ms cg_clock_now(struct cg_clock *c);

/** Sleeps for @p ms of real time; continues after interrupting signals. */
void cg_sleep(cg_ms ms);

#endif
