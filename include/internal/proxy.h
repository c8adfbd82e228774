/**
 * @file proxy.h
 * State shared by the request path of one daemon: settings, controllers,
 * timers, and the entry points of the filter chain.
 */
#ifndef CELERYGLADE_INTERNAL_PROXY_H
#define CELERYGLADE_INTERNAL_PROXY_H

#include "internal/balance.h"
#include "internal/health.h"
#include "internal/notices.h"
#include "internal/request.h"
#include "internal/request_memory.h"
#include "internal/settings.h"
#include "internal/trust.h"

struct cg_front;
struct cg_dispatcher;
struct cg_claims;
struct cg_connections;

/** Owned by the daemon; its components outlive every request. */
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
	struct cg_request_memory memory; /**< For what callers send. */
	/** Set on shutdown; responses then close their connections. */
	_Atomic bool stopping;
	_Atomic int running; /**< Number of requests in memory. */
};

/** Starts the filter chain of a request. The HTTP listener calls it after it
 * has read the whole request and suspended the connection or, if the headers
 * are invalid, right after them; the request is then refused at once. */
void cg_filters_start(struct cg_request *r);

/** Decides what the head of a request determines, without a change of any state.
 * Returns the reason of a refusal or CG_OK; the filters decide again. */
enum cg_reason cg_filters_check_head(const struct cg_request *r);

/** Continues the chain after a filter that waited for a callback. */
void cg_filters_continue(struct cg_request *r);

/** Resumes the HTTP connection of a settled request. */
void cg_front_resume(struct cg_request *r);

#endif
