/**
 * @file health_trace.h
 * Replays tests/traces/health/NAME.txt on a simulated clock.
 *
 * Lines: "set KEY VALUE", "at SECOND ACTION ARGS", "end SECOND",
 * "expect CHECK ARGS" and "without MECHANISM CHECK ARGS". The trace runs once
 * as it is, for the expectations, and once more for each "without" line with
 * that mechanism off, whose check must hold too: it states what breaks.
 */
#ifndef REPLAY_HEALTH_TRACE_H
#define REPLAY_HEALTH_TRACE_H

#include <stddef.h>

/** Returns 0, or -1 after printing each check that did not hold. Every run is
 * made twice and must give the same result. */
int health_trace_run(const char *path);

#endif
