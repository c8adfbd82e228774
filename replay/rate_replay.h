/**
 * @file rate_replay.h
 * Replays a recorded trace with the rate ledger, holder and policy on a
 * simulated clock: daemons, messages with delay, loss and duplication,
 * membership views and changes of coordinator. The same trace gives the same
 * result in each run.
 * tests/traces/rates/README.md lists the commands of a trace.
 */
#ifndef REPLAY_RATE_REPLAY_H
#define REPLAY_RATE_REPLAY_H

#include <stdio.h>

#include "celeryglade/rate_ledger.h"

/** A mechanism that a run omits. */
enum rr_omission {
	RR_NOTHING_OMITTED,
	RR_NO_NUMBERS, /**< A duplicate grant is applied again. */
	RR_NO_SURVEY, /**< A new coordinator starts with full pools. */
	RR_NO_CONFIRM, /**< A decrease counts as soon as requested. */
	RR_NO_PROOF, /**< A holder that does not report counts as gone. */
	RR_NO_LEASE, /**< Unlisted holders get no time limit. */
	RR_NO_RETRY, /**< A retried token request gets a new grant. */
	RR_NO_MAP, /**< Daemons choose the coordinator by their own view. */
	RR_EQUAL_SPLIT, /**< Each daemon has rate/N and burst/N. */
	RR_FULL_LOCAL, /**< Each daemon applies the whole rate. */
	RR_SMALL_HOLDINGS, /**< Small demands get a holding, too. */
};

struct rr_account_result {
	char name[CG_NAME_MAX + 1];
	int64_t rate;
	uint64_t arrived;
	uint64_t admitted;
	uint64_t ideal; /**< Admitted by one bucket that sees all arrivals. */
	uint64_t wrongful; /**< Ideal minus admitted, 0 if negative. */
	/** Maximum over all windows of the requests above burst + rate * t. */
	double worst_excess;
};

struct rr_result {
	uint64_t arrived;
	uint64_t admitted;
	uint64_t refused;
	uint64_t unavailable;
	uint64_t wrongful;
	double wrongful_percent; /**< Wrongful, in percent of arrived. */
	double worst_percent; /**< The same of the worst account. */
	double worst_excess; /**< Highest of all accounts. */
	uint64_t violations; /**< Checks that found a sum above its limit. */
	uint64_t messages;
	uint64_t bytes; /**< As counted by the transport. */
	uint64_t most_bytes; /**< Of the daemon that sent the most. */
	uint64_t hash; /**< Of all decisions in order. */
	struct rr_account_result *accounts;
	size_t account_count;
};

struct rr_trace;

/** Reads a trace. On error, prints it and returns NULL. */
struct rr_trace *rr_read(FILE *in, const char *name);
void rr_trace_free(struct rr_trace *t);

/** Runs the trace. With @p check the sums are checked after every event. The
 * caller clears @p out. */
void rr_run(const struct rr_trace *t, enum rr_omission omitted, bool check,
	    struct rr_result *out);
void rr_result_clear(struct rr_result *r);

/** Returns the mechanism in the trace's "break" line. */
enum rr_omission rr_trace_omission(const struct rr_trace *t);
cg_ms rr_trace_end(const struct rr_trace *t);
int rr_trace_daemons(const struct rr_trace *t);

/** Checks the result against the trace's "expect" lines for @p which ("with" or
 * "without"). Prints the failures and returns their number. */
int rr_check_expectations(const struct rr_trace *t, const char *which,
			  const struct rr_result *r);

#endif
