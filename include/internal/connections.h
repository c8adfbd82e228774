/**
 * @file connections.h
 * Kept connections to backend servers, and one attempt over one of them.
 */
#ifndef CELERYGLADE_INTERNAL_CONNECTIONS_H
#define CELERYGLADE_INTERNAL_CONNECTIONS_H

#include "celeryglade/retry.h"
#include "internal/request.h"

struct cg_connections;
struct cg_connection;

struct cg_connections *cg_connections_new(struct cg_clock *clk);
void cg_connections_free(struct cg_connections *c);

/** Takes a kept connection to the server, or, if there is none or @p fresh is
 * set, a new one that will connect with its first request. The caller owns it
 * until put or drop. */
struct cg_connection *cg_connections_acquire(struct cg_connections *c,
					     const struct cg_server *srv,
					     bool force_new);

/** Gives a connection back for further use, unless it was condemned. */
void cg_connections_release(struct cg_connections *c,
			    struct cg_connection *conn);

/** Closes a connection. */
void cg_connections_close(struct cg_connections *c, struct cg_connection *conn);

/** Whether the connection carried an earlier request. */
bool cg_connection_reused(const struct cg_connection *conn);

/** Time at which the connection was opened. */
cg_ms cg_connection_opened_at(const struct cg_connection *conn);

/**
 * Condemns all connections to the server that were opened at or before
 * @p opened_at: one of them went silent, so what lies between the two ends may
 * have lost track of the others as well.
 */
void cg_connections_condemn(struct cg_connections *c, const char *server,
			    cg_ms opened_at);

/** What came back. */
struct cg_attempt_result {
	enum cg_attempt_outcome outcome;
	struct cg_response response; /**< With CG_ATTEMPT_RESPONDED. */
	bool draining; /**< The server said that it is about to leave. */
	bool reusable; /**< The connection may be used again. */
	char detail[120]; /**< For the log. */
};

/**
 * Sends the request over @p conn and reads the response; blocks up to
 * @p timeout per read, rounded up to whole seconds. The caller owns the
 * response.
 */
void cg_forward(struct cg_connection *conn, const struct cg_request *r,
		const char *attempt_id, cg_ms timeout, cg_ms time_remaining,
		struct cg_attempt_result *out);

#endif
