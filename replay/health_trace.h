/**
 * @file health_trace.h
 * Replays a trace in tests/traces/health/NAME.txt on a simulated clock.
 *
 * Lines are "set KEY VALUE", "at SECOND ACTION ARGS", "end SECOND", "expect
 * CHECK ARGS" and "without MECHANISM CHECK ARGS". The trace runs once unchanged
 * for the "expect" lines, and once more for each "without" line with that
 * mechanism disabled. The check of a "without" line describes the resulting
 * failure and must hold as well.
 */
#ifndef REPLAY_HEALTH_TRACE_H
#define REPLAY_HEALTH_TRACE_H

#include <stddef.h>

/**
 * Runs a trace and prints each check that failed. Each run is repeated and must
 * give the same result. Returns 0 if all checks passed, otherwise -1.
 */
int health_trace_run(const char *path);

#endif
