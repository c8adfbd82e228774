/**
 * @file gateway.h
 * One gateway process: HTTP server, fleet, feed and HTTP client on one event
 * loop.
 */
#ifndef CELERYGLADE_GATEWAY_GATEWAY_H
#define CELERYGLADE_GATEWAY_GATEWAY_H

#include "gateway/exchange.h"
#include "gateway/feed.h"
#include "gateway/fleet.h"
#include "gateway/handoff.h"

struct cgw_ingress;

struct cgw_gateway {
	struct cgw_settings settings;
	const struct cgw_store_format *format;
	struct cg_clock clk;
	struct cgw_loop *loop;
	struct cg_memory_budget memory; /**< For what callers make us hold. */
	struct cgw_upstream *client;
	struct cgw_feed *feed;
	struct cgw_evacuations *evacuations;
	struct cgw_fleet *fleet;
	struct cgw_handoff *handoff;
	struct cgw_ingress *ingress;
	bool stopping;
	cg_ms stop_began_at;
	/** The stop has ended idle connections; new requests are refused. */
	bool refusing_new;
	bool expired_running; /**< The last requests have been answered. */
	unsigned int running_requests; /**< Being read or handled. */
};

/** Runs a gateway until SIGTERM or SIGINT. Reads its settings from the file
 * @p settings_path and uses @p format for the store. Returns the exit status:
 * 0, 2 if the settings are invalid, 3 if the gateway cannot start, 4 if its
 * event loop fails. */
int cgw_gateway_main(const char *settings_path,
		     const struct cgw_store_format *format);

/** Returns the time until which a request with this deadline may wait for a
 * slot. A stopping daemon shortens it, so that it can still refuse requests
 * that it could not serve before it exits. */
cg_ms cgw_gateway_slot_deadline(const struct cgw_gateway *g, cg_ms deadline);

/** Returns the time in ms until a stopping daemon breaks off the requests that
 * still run. */
cg_ms cgw_gateway_grace_left(const struct cgw_gateway *g);

/** Returns why this daemon is not ready (a static string), or NULL if it is. */
const char *cgw_gateway_unready_reason(struct cgw_gateway *g);

#endif
