/**
 * @file upstream.h
 * The HTTP/1.1 client of the gateway, for backend servers and for the store:
 * one call at a time on a connection, never sent twice by itself, and
 * cancelled at once by closing its connection.
 */
#ifndef CELERYGLADE_GATEWAY_UPSTREAM_H
#define CELERYGLADE_GATEWAY_UPSTREAM_H

#include <glib.h>
#include <urcu/list.h>

#include "gateway/loop.h"

enum cgw_call_outcome {
	CGW_CALL_RESPONDED, /**< A whole response that is its own. */
	CGW_CALL_NOT_SENT, /**< No byte of the request went out. */
	CGW_CALL_LOST, /**< The connection failed before any response. */
	CGW_CALL_TRUNCATED, /**< The response broke off. */
	CGW_CALL_MALFORMED, /**< The bytes were no HTTP response. */
	CGW_CALL_TIMED_OUT, /**< No whole response within the time. */
};

struct cgw_conn;

/** One call; embedded in its owner, which sets the first part. */
struct cgw_call {
	char address[64]; /**< IP:port. */
	GByteArray *request; /**< Head and body as sent. Not owned. */
	/** Name of a response header whose value must be @p id; a response
	 * with another value is skipped. NULL: any response is the call's. */
	const char *id_header;
	const char *id;
	cg_ms connect_ms; /**< Longest time for a new connection. */
	cg_ms reuse_ms; /**< Use a kept connection idle for less; 0: none. */
	cg_ms deadline; /**< Point in time at which it times out. */
	/** Runs once, never within cgw_call_start(). */
	void (*done)(struct cgw_call *c);

	enum cgw_call_outcome outcome;
	int status;
	GPtrArray *headers; /**< Names and values by turns; owned. */
	GByteArray *body; /**< Owned. */
	bool sent; /**< Some byte of the request went out. */
	bool reused; /**< Sent on a kept connection. */

	struct cgw_conn *conn;
	struct cgw_timer timer;
	struct cgw_upstream *client;
};

struct cgw_upstream;

struct cgw_upstream *cgw_upstream_new(struct cgw_loop *l);
/** Closes kept connections; no call may be running. */
void cgw_upstream_free(struct cgw_upstream *u);

/** Starts a call; the owner keeps it until @p done ran or it was cancelled. */
void cgw_call_start(struct cgw_upstream *u, struct cgw_call *c);
/** Ends a running call by closing its connection; @p done does not run. */
void cgw_call_cancel(struct cgw_call *c);
bool cgw_call_running(const struct cgw_call *c);
/** Frees headers and body. */
void cgw_call_clear(struct cgw_call *c);
/** Value of a response header, any case, or NULL. */
const char *cgw_call_header(const struct cgw_call *c, const char *name);

/** Closes the kept connections to an address. */
void cgw_upstream_close_idle(struct cgw_upstream *u, const char *address);
uint64_t cgw_upstream_connections_opened(const struct cgw_upstream *u);

#endif
