/**
 * @file rate_trace.h
 * The parsed form of a rate trace; see rate_replay.h.
 */
#ifndef REPLAY_RATE_TRACE_H
#define REPLAY_RATE_TRACE_H

#include "rate_replay.h"

#define RR_MAX_DAEMONS 512
#define RR_SHARDS      256

struct rr_traffic {
	cg_ms from;
	cg_ms to;
	int account;
	int last_account; /**< Accounts up to this one, chosen evenly. */
	double per_second;
	int first; /**< Daemons from this one ... */
	int last; /**< ... to this one receive the requests. */
	double zipf; /**< Zipf exponent of the daemons' weights; 0: even. */
	cg_ms move_ms; /**< Interval of moving the load; 0: never. */
};

struct rr_event {
	cg_ms at;
	char verb[24];
	int64_t a, b, c; /**< Arguments; meaning depends on the verb. */
};

struct rr_expectation {
	char which[8];
	char field[24];
	char op[3];
	double value;
};

struct rr_trace {
	char name[128];
	int daemons;
	uint64_t seed;
	cg_ms delay_min;
	cg_ms delay_max;
	int loss; /**< Per thousand. */
	int dup; /**< Per thousand. */
	cg_ms unlisted_lease;
	cg_ms wait;
	cg_ms end;
	enum rr_omission omitted;
	GArray *accounts; /**< struct cg_rate_limits; names are owned. */
	GArray *traffic;
	GArray *events;
	GArray *expectations;
};

#endif
