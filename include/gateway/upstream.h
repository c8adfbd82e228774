/**
 * @file upstream.h
 * HTTP/1.1 client of the gateway for backend servers and the store. It sends
 * one call at a time on a connection, never retries by itself, and cancels a
 * call at once by closing its connection.
 */
#ifndef CELERYGLADE_GATEWAY_UPSTREAM_H
#define CELERYGLADE_GATEWAY_UPSTREAM_H

#include <glib.h>
#include <urcu/list.h>

#include "celeryglade/memory_budget.h"
#include "gateway/body.h"
#include "gateway/loop.h"

enum cgw_call_outcome {
	CGW_CALL_RESPONDED, /**< Complete response to this call. */
	CGW_CALL_NOT_SENT, /**< No byte of the request was sent. */
	CGW_CALL_LOST, /**< Connection failed before a response. */
	CGW_CALL_TRUNCATED, /**< Connection ended within the response. */
	/** Not a valid HTTP response, too long, or after too many others. */
	CGW_CALL_MALFORMED,
	CGW_CALL_TIMED_OUT, /**< No complete response by the deadline. */
	CGW_CALL_NO_ROOM, /**< The budget has no room for the response. */
};

struct cgw_conn;

/** One call, embedded in its owner. The owner sets the fields up to @p done and
 * the client the others. */
struct cgw_call {
	char address[64]; /**< IP:port. */
	GByteArray *request; /**< Head, or head and body; not owned. */
	const struct cgw_body *request_body; /**< Sent after it, or NULL. */
	/** Budget for the body of the response; NULL: not counted. */
	struct cg_memory_budget *budget;
	/** Name of a response header whose value must equal @p id; responses
	 * with another value are discarded. NULL: accept any response. */
	const char *id_header;
	const char *id;
	/** The request's method is HEAD: its response has no body. */
	bool head;
	cg_ms connect_ms; /**< Timeout for a new connection. */
	cg_ms reuse_ms; /**< Reuse connections idle for less; 0: none. */
	cg_ms deadline; /**< Time at which the call times out. */
	/** After an error without an id on a reused connection: how long to
	 * wait for the own response. The call then ends as lost. */
	cg_ms unidentified_wait_ms;
	/** Called once, never from within cgw_call_start(). */
	void (*done)(struct cgw_call *c);

	enum cgw_call_outcome outcome;
	int status;
	GPtrArray *headers; /**< Name, value, ...; owned. */
	GByteArray *body; /**< Owned. */
	struct cg_memory_item memory; /**< Of the body, until it is cleared. */
	bool sent; /**< At least one byte was sent. */
	unsigned int interim; /**< Responses skipped so far. */
	bool reused; /**< Sent on a reused connection. */

	struct cgw_conn *conn;
	struct cgw_timer timer;
	struct cgw_upstream *client;
};

struct cgw_upstream;

/** Creates a client that runs on @p l. */
struct cgw_upstream *cgw_upstream_new(struct cgw_loop *l);
/** Sets how long the body of a response may be, and all that are being read
 * together, in bytes. A server that sends more is cut off, so that one in trouble
 * cannot use up the memory of the daemon. */
void cgw_upstream_set_limits(struct cgw_upstream *u, int64_t response_bytes,
			     int64_t total_bytes);
/** Frees a client and closes its idle connections; no call may be running. */
void cgw_upstream_free(struct cgw_upstream *u);

/** Starts a call. @p c must stay valid until @p done was called or the call was
 * cancelled. */
void cgw_call_start(struct cgw_upstream *u, struct cgw_call *c);
/** Cancels a call by closing its connection; @p done is not called. */
void cgw_call_cancel(struct cgw_call *c);
/** Returns whether a call was started and has not ended. */
bool cgw_call_running(const struct cgw_call *c);
/** Frees headers and body of the response and releases @c memory. */
void cgw_call_clear(struct cgw_call *c);
/** Returns the value of a response header (case-insensitive name), or NULL. */
const char *cgw_call_header(const struct cgw_call *c, const char *name);

/** Closes the idle connections to an address. */
void cgw_upstream_close_idle(struct cgw_upstream *u, const char *address);
/** Returns the number of connections opened so far. */
uint64_t cgw_upstream_connections_opened(const struct cgw_upstream *u);

#endif
