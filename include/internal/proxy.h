/**
 * @file proxy.h
 * What the request path of one daemon shares: settings, controllers, timers,
 * and the chain of filters.
 */
#ifndef CELERYGLADE_INTERNAL_PROXY_H
#define CELERYGLADE_INTERNAL_PROXY_H

#include "internal/balance.h"
#include "internal/health.h"
#include "internal/notices.h"
#include "internal/request.h"
#include "internal/settings.h"
#include "internal/trust.h"

struct cg_front;
struct cg_dispatcher;
struct cg_claims;
struct cg_connections;

/** Owned by the daemon; the parts outlive every request. */
struct cg_proxy {
	const struct cg_settings *settings;
	struct cg_clock *clk;
	struct cg_store *store;
	struct cg_docs *docs;
	struct cg_members *members;
	struct cg_notices *notices;
	struct cg_rates *rates;
	struct cg_health *health;
	struct cg_balance *balance;
	struct cg_timers *timers;
	struct cg_connections *connections;
	struct cg_dispatcher *dispatcher;
	struct cg_claims *claims;
	struct cg_front *front;
	_Atomic bool stopping; /**< Responses close their connections. */
	_Atomic int running; /**< Requests that are not settled. */
};

/** Starts the chain for a request that was read whole; the front has suspended
 * its connection. */
void cg_filters_start(struct cg_request *r);

/** Continues after a filter that had to wait. */
void cg_filters_continue(struct cg_request *r);

/** Wakes the front for a settled request. */
void cg_front_resume(struct cg_request *r);

#endif
