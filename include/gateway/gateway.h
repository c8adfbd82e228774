/**
 * @file gateway.h
 * One gateway process: callers' side, fleet, feed and client on one loop.
 */
#ifndef CELERYGLADE_GATEWAY_GATEWAY_H
#define CELERYGLADE_GATEWAY_GATEWAY_H

#include "gateway/exchange.h"
#include "gateway/feed.h"
#include "gateway/fleet.h"

struct cgw_ingress;

struct cgw_gateway {
	struct cgw_settings settings;
	const struct cgw_store_format *format;
	struct cg_clock clk;
	struct cgw_loop *loop;
	struct cgw_upstream *client;
	struct cgw_feed *feed;
	struct cgw_fleet *fleet;
	struct cgw_ingress *ingress;
	bool stopping;
	cg_ms stop_began_at;
	unsigned int
		running_requests; /**< Requests that have begun and not ended. */
};

/** Runs a gateway until it is told to stop. @p settings_path names its
 * settings. Returns the exit status. */
int cgw_gateway_main(const char *settings_path,
		     const struct cgw_store_format *format);

/** Until when a request that ends at @p due may wait for a slot: a daemon that
 * stops refuses in time what it could not answer any more. */
cg_ms cgw_gateway_slot_deadline(const struct cgw_gateway *g, cg_ms deadline);

/** Why this daemon is not ready, or NULL. The string is static. */
const char *cgw_gateway_unready_reason(struct cgw_gateway *g);

#endif
