/**
 * @file clock.h
 * Millisecond time. Decision modules take the time as an argument; only the
 * daemon's edges read a clock.
 */
#ifndef CELERYGLADE_CLOCK_H
#define CELERYGLADE_CLOCK_H

#include <stdatomic.h>
#include <stdint.h>

/** Milliseconds, as a point in time or as a duration. */
typedef int64_t cg_ms;

#define CG_MS_NEVER INT64_MAX

enum cg_clock_kind {
	CG_CLOCK_BOOT, /**< CLOCK_BOOTTIME: also counts suspended time. */
	CG_CLOCK_MANUAL, /**< Set by a test or a trace replay. */
};

/** A source of time. */
struct cg_clock {
	enum cg_clock_kind kind;
	union {
		_Atomic cg_ms given_ms;
	} u;
};

/** Initialises @p c to the machine's boot-time clock. */
void cg_clock_init_boot(struct cg_clock *c);

/** Initialises @p c to a settable clock that shows @p now. */
void cg_clock_init_manual(struct cg_clock *c, cg_ms now);

/** Sets a given clock; aborts on a boot-time clock. */
void cg_clock_set(struct cg_clock *c, cg_ms now);

/** Returns the current time of @p c. */
cg_ms cg_clock_now(struct cg_clock *c);

/** Sleeps for @p ms of real time. */
void cg_sleep(cg_ms ms);

#endif
