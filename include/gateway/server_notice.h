/**
 * @file server_notice.h
 * What a backend server says of itself with its responses: that it leaves, or
 * that it wants no requests for a while. A daemon records it and sends that
 * server nothing new, whatever its broker has heard.
 */
#ifndef CELERYGLADE_GATEWAY_SERVER_NOTICE_H
#define CELERYGLADE_GATEWAY_SERVER_NOTICE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "celeryglade/clock.h"

/** One response's statement. All 0: none. */
struct cgw_server_notice {
	bool leaving; /**< The server's process gets no new requests. */
	cg_ms rest_ms; /**< Time for which it wants none. */
};

/** Reads the value of a Retry-After header: seconds, also fractions. A value
 * that is too large is bounded. Returns 0, or -1 if it is not a number of
 * seconds or negative. */
int cgw_retry_after_parse(const char *text, cg_ms *out);

/** The statements that are in force; owned by one daemon. */
struct cgw_server_notices;

struct cgw_server_notices *cgw_server_notices_new(void);
void cgw_server_notices_free(struct cgw_server_notices *n);
/** Records a statement of the process of @p server that started at
 * @p started_wall_ms. A server that starts again under its id is a new one. */
void cgw_server_notices_record(struct cgw_server_notices *n, const char *server,
			       int64_t started_wall_ms,
			       const struct cgw_server_notice *said, cg_ms now);
/** Returns whether a statement is in force, with what is left of it in
 * @p out. */
bool cgw_server_notices_find(struct cgw_server_notices *n, const char *server,
			     int64_t started_wall_ms, cg_ms now,
			     struct cgw_server_notice *out);
/** Returns the number of servers with a statement, in force or not. */
unsigned int cgw_server_notices_count(const struct cgw_server_notices *n);

#endif
