/**
 * @file attempt.h
 * What an attempt of a request sends, and what its end means.
 */
#ifndef CELERYGLADE_GATEWAY_ATTEMPT_H
#define CELERYGLADE_GATEWAY_ATTEMPT_H

#include "gateway/exchange.h"

/** Returns the head of the request for @p server; the caller owns it. */
GByteArray *cgw_attempt_format_head(const struct cgw_exchange *x,
				    const char *server);
/** Returns the result that the broker counts for a finished call. */
enum cgw_result cgw_attempt_result(const struct cgw_exchange *x,
				   const struct cgw_call *c);
/** Counts that a request is sent again after an attempt with this result. */
void cgw_attempt_count_retry(enum cgw_result result);
/** Logs an attempt that did not serve its request: the server, the result, and
 * the typical latency known when it started. */
void cgw_attempt_log(const struct cgw_attempt *a, enum cgw_result result);
/** Reads what the server says of itself with its response. */
void cgw_attempt_read_notice(const struct cgw_attempt *a,
			     struct cgw_server_notice *out);

#endif
