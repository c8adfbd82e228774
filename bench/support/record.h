/**
 * @file record.h
 * What the load tool knows of each request, its summary, and the comparison
 * with the executions that backend servers counted.
 */
#ifndef BENCH_RECORD_H
#define BENCH_RECORD_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

/** One request of a caller, repeats included. */
struct record {
	char id[32];
	char reason[40]; /**< Of a refusal, or "caller_..." for a failure. */
	const char *account; /**< Belongs to the options. */
	int64_t intended_us; /**< Monotonic clock. */
	int64_t done_us;
	int target;
	int status; /**< 0: no whole response. */
	int tries;
	bool post;
	bool keyed; /**< Sent with Idempotency-Key. */
	bool not_run; /**< The response says so, and so did earlier ones. */
	bool maybe_run; /**< A response did not say "not run". */
	bool whole;
	bool own; /**< The body names this request. */
};

/** Result of joining records with executions; all but the last two must be
 * zero. */
struct check {
	uint64_t repeated; /**< Extra executions of POSTs. */
	uint64_t false_not_run; /**< Executed, but refused as not run. */
	uint64_t foreign; /**< Status 200 with another's body. */
	uint64_t truncated; /**< Status 200 with a part of a body. */
	uint64_t wrong_account; /**< Executed for another account. */
	uint64_t forbidden; /**< Executions that saw a key. */
	uint64_t unexecuted; /**< Status 200 without an execution. */
	uint64_t executions; /**< Of these requests. */
	uint64_t executed_unknown; /**< Executed without a 200; allowed. */
};

/** Whether the response is a whole one of the request's own with 200. */
bool record_answered(const struct record *r);

/** Joins records (GPtrArray of struct record) with execution lines. */
void record_check(GPtrArray *all, const char *lines, struct check *out);

/** Sum of the members that must be zero. */
uint64_t check_violations(const struct check *c);

/** Summarises as JSON; the caller owns the result. @p c may be NULL. */
struct json_object *record_summary(GPtrArray *all, double seconds,
				   const struct check *c);

/** Prints a summary as text to standard output. */
void record_print(struct json_object *summary);

/** Writes one line per request. Returns 0 or -1. */
int record_log(GPtrArray *all, const char *path);

#endif
