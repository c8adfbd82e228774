/**
 * @file record.h
 * The load tool's record of each request, the summary of all records, and their
 * comparison with the executions that backend servers counted.
 */
#ifndef BENCH_RECORD_H
#define BENCH_RECORD_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

/** One request of a client, including its retries. */
struct record {
	char id[32];
	/** Reason of the refusal, or "caller_..." if the transfer failed. */
	char reason[40];
	const char *account; /**< Owned by the options. */
	int64_t intended_us; /**< Intended start, monotonic clock. */
	int64_t done_us; /**< End of the last attempt. */
	int target; /**< Index of the last attempt's target. */
	int status; /**< 0 if the transfer failed, except for a 200. */
	int attempts;
	bool post;
	bool keyed; /**< Sent with Idempotency-Key. */
	bool not_run; /**< All responses stated "not run". */
	bool maybe_run; /**< An attempt ended without "not run". */
	bool complete; /**< The body of the response is complete. */
	bool own; /**< The body contains this request's id. */
};

/** Result of comparing records with executions. All counts but the last two
 * must be zero. */
struct execution_check {
	uint64_t repeated; /**< Extra executions of POSTs. */
	uint64_t false_not_run; /**< Executed, but refused as "not run". */
	uint64_t crossed; /**< Status 200, body of another request. */
	uint64_t truncated; /**< Status 200, incomplete body. */
	uint64_t wrong_account; /**< Executed for another client account. */
	uint64_t forbidden_headers; /**< Executions that got a client key. */
	uint64_t unexecuted; /**< Status 200, but never executed. */
	uint64_t executions; /**< Of these requests. */
	uint64_t executed_unknown; /**< Executed, no 200; allowed. */
};

/** Returns whether the response is complete, the request's own and a 200. */
bool record_answered(const struct record *r);

/** Compares records (GPtrArray of struct record) with executions, one JSON
 * object per line. */
void record_check(GPtrArray *all, const char *lines,
		  struct execution_check *out);

/** Returns the sum of the counts that must be zero. */
uint64_t check_violations(const struct execution_check *c);

/** Summarizes the records as JSON; the caller owns the result. @p c may be
 * NULL. */
struct json_object *record_summary(GPtrArray *all, double seconds,
				   const struct execution_check *c);

/** Prints a summary as text to standard output. */
void record_print(struct json_object *summary);

/** Writes one line per request. Returns 0 or -1. */
int record_log(GPtrArray *all, const char *path);

#endif
