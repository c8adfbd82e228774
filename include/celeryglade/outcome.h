/**
 * @file outcome.h
 * Reasons of refusals and of retries. Each has a fixed name that appears in
 * responses, logs and metrics.
 */
#ifndef CELERYGLADE_OUTCOME_H
#define CELERYGLADE_OUTCOME_H

#include <stdbool.h>

/**
 * Refusals: symbol, name, HTTP status, and whether the reason proves that the
 * backend server did not run the request. A request that had an earlier attempt
 * with an unknown outcome is never reported as not run, whatever its last
 * reason.
 */
#define CG_REASONS(X)                                                          \
	X(ROUTE_UNKNOWN, "route_unknown", 404, true)                           \
	X(METHOD_NOT_ALLOWED, "method_not_allowed", 405, true)                 \
	X(BAD_REQUEST, "bad_request", 400, true)                               \
	X(BODY_TOO_LARGE, "body_too_large", 413, true)                         \
	X(HEAD_TOO_LARGE, "head_too_large", 431, true)                         \
	X(KEY_MISSING, "key_missing", 401, true)                               \
	X(KEY_UNKNOWN, "key_unknown", 401, true)                               \
	X(KEYS_STALE, "keys_stale", 503, true)                                 \
	X(ACCOUNT_FORBIDDEN, "account_forbidden", 403, true)                   \
	X(RATE_EXCEEDED, "rate_exceeded", 429, true)                           \
	X(RATE_UNAVAILABLE, "rate_unavailable", 503, true)                     \
	X(QUEUE_FULL, "queue_full", 503, true)                                 \
	X(QUEUE_TIMEOUT, "queue_timeout", 504, true)                           \
	X(NO_SERVER, "no_server", 503, true)                                   \
	X(CONNECT_FAILED, "connect_failed", 502, true)                         \
	X(SERVER_SHED, "server_shed", 503, true)                               \
	X(SERVER_RESTS, "server_rests", 503, true)                             \
	X(DEADLINE_EXCEEDED, "deadline_exceeded", 504, false)                  \
	X(CONNECTION_LOST, "connection_lost", 502, false)                      \
	X(RESPONSE_TRUNCATED, "response_truncated", 502, false)                \
	X(RESPONSE_MISMATCHED, "response_mismatched", 502, false)              \
	X(RESPONSE_TOO_LARGE, "response_too_large", 502, false)                \
	X(RESPONSE_UNPROVEN, "response_unproven", 502, false)                  \
	X(CLAIM_UNAVAILABLE, "claim_unavailable", 503, true)                   \
	X(CLAIM_UNKNOWN, "claim_unknown", 409, false)                          \
	X(CLAIM_MISMATCH, "claim_mismatch", 422, true)                         \
	X(NO_CONFIG, "no_config", 503, true)                                   \
	X(MEMORY_FULL, "memory_full", 503, true)                               \
	X(STOPPING, "stopping", 503, true)                                     \
	X(CONFIG_BEHIND, "config_behind", 503, true)

/** Reason of a refusal; CG_OK if there was none. */
enum cg_reason {
	CG_OK,
#define X(sym, name, status, not_run) CG_REASON_##sym,
	CG_REASONS(X)
#undef X
	CG_REASON_COUNT,
};

/** Why another attempt was made, or was denied: symbol and name.
 * DENIED_DEADLINE also counts requests that had CG_MAX_ATTEMPTS attempts. */
#define CG_RETRIES(X)                                                          \
	X(CONNECT_FAILED, "retry_connect_failed")                              \
	X(SHED, "retry_shed")                                                  \
	X(CONNECTION_LOST, "retry_connection_lost")                            \
	X(TRUNCATED, "retry_truncated")                                        \
	X(MISMATCHED, "retry_mismatched")                                      \
	X(TIMEOUT, "retry_timeout")                                            \
	X(STATUS, "retry_status")                                              \
	X(DENIED_UNSAFE, "retry_denied_unsafe")                                \
	X(DENIED_BUDGET, "retry_denied_budget")                                \
	X(DENIED_DEADLINE, "retry_denied_deadline")                            \
	X(DENIED_NO_SERVER, "retry_denied_no_server")

enum cg_retry {
#define X(sym, name) CG_RETRY_##sym,
	CG_RETRIES(X)
#undef X
	CG_RETRY_COUNT,
};

/** Returns the name of a reason; the string is static. */
const char *cg_reason_name(enum cg_reason r);

/** Returns the HTTP status of a refusal. */
int cg_reason_status(enum cg_reason r);

/** Returns whether the reason proves that the attempt it ended did not run. */
bool cg_reason_proves_not_run(enum cg_reason r);

/** Returns the name of a retry reason; the string is static. */
const char *cg_retry_name(enum cg_retry r);

#endif
