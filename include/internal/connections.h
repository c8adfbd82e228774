/**
 * @file connections.h
 * Pool of persistent connections to backend servers, and a single attempt over
 * one of them.
 */
#ifndef CELERYGLADE_INTERNAL_CONNECTIONS_H
#define CELERYGLADE_INTERNAL_CONNECTIONS_H

#include "celeryglade/retry.h"
#include "internal/request.h"

struct cg_connections;
struct cg_connection;

struct cg_connections *cg_connections_new(struct cg_clock *clk);
void cg_connections_free(struct cg_connections *c);

/** Returns an idle connection to the server, or, if there is none or
 * @p force_new is set, a new one that connects with its first request. The
 * caller owns it until it calls cg_connections_release or
 * cg_connections_close. */
struct cg_connection *cg_connections_acquire(struct cg_connections *c,
					     const struct cg_server *srv,
					     bool force_new);

/** Returns a connection to the pool; closes it if it was condemned, or the
 * least recently used one if the pool is full. */
void cg_connections_release(struct cg_connections *c,
			    struct cg_connection *conn);

/** Closes a connection. */
void cg_connections_close(struct cg_connections *c, struct cg_connection *conn);

/** Returns whether the connection carried an earlier request. */
bool cg_connection_reused(const struct cg_connection *conn);

/** Returns the time at which the connection was opened. */
cg_ms cg_connection_opened_at(const struct cg_connection *conn);

/**
 * Excludes all connections to the server that were opened at or before
 * @p opened_at from further use. One of them stopped responding, so a device
 * between daemon and server may have lost the state of the others as well.
 */
void cg_connections_condemn(struct cg_connections *c, const char *server,
			    cg_ms opened_at);

/** Result of an attempt. */
struct cg_attempt_result {
	enum cg_attempt_outcome outcome;
	struct cg_response response; /**< With CG_ATTEMPT_RESPONDED. */
	bool draining; /**< The server announced that it is shutting down. */
	bool reusable; /**< The connection can be reused. */
	char detail[120]; /**< For the log. */
};

/**
 * Sends the request over @p conn and reads the response. Blocks up to
 * @p timeout for the connection and for each read, rounded up to whole seconds.
 * @p time_remaining until the caller's deadline is sent to the server. The
 * caller owns the response in @p out.
 */
void cg_forward(struct cg_connection *conn, const struct cg_request *r,
		const char *attempt_id, cg_ms timeout, cg_ms time_remaining,
		struct cg_attempt_result *out);

#endif
