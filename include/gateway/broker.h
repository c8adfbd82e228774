/**
 * @file broker.h
 * Decides where requests go, who waits and who is refused. One broker grants
 * the slots of the backend servers of its failure domain; it knows each
 * request in flight there. No network and no clock inside: a recorded load
 * gives the same decisions each time.
 */
#ifndef CELERYGLADE_GATEWAY_BROKER_H
#define CELERYGLADE_GATEWAY_BROKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "celeryglade/clock.h"
#include "celeryglade/outcome.h"
#include "gateway/quota.h"

#define CGW_NAME_MAX 63
/** Servers that one request can ask not to be sent to again. */
#define CGW_AVOID_MAX 4

/** What a backend server says of itself. */
struct cgw_server_facts {
	char id[CGW_NAME_MAX + 1];
	char service[CGW_NAME_MAX + 1];
	char address[CGW_NAME_MAX + 1];
	char domain[CGW_NAME_MAX + 1];
	int64_t slots; /**< Requests that it runs at once. */
	int64_t started_wall_ms; /**< Wall time of its start; 0 if not said. */
	cg_ms warmup_remaining_ms; /**< How much longer it stays slow after its start. */
	bool leaving;
};

/** A daemon's request for a slot. */
struct cgw_slot_request {
	char daemon[CGW_NAME_MAX + 1];
	uint64_t id; /**< Unique for the daemon. */
	char service[CGW_NAME_MAX + 1];
	char route[CGW_NAME_MAX + 1];
	char account[CGW_NAME_MAX + 1]; /**< "" on open routes. */
	bool safe;
	bool retry; /**< Sent to a server before: takes from the budget. */
	bool charged; /**< The account's rate has been charged already. */
	bool cross_domain; /**< From another domain: grant at once or decline. */
	bool no_redirect; /**< No other domain had room. */
	int64_t priority;
	cg_ms objective_ms;
	cg_ms due; /**< When the caller's time ends. */
	char avoid[CGW_AVOID_MAX][CGW_NAME_MAX + 1];
	unsigned int avoid_count;
};

enum cgw_slot_decision_kind {
	CGW_DECISION_GRANTED,
	CGW_DECISION_REFUSED,
	CGW_DECISION_REDIRECTED, /**< Ask the broker of another domain. */
};

struct cgw_slot_decision {
	enum cgw_slot_decision_kind kind;
	char daemon[CGW_NAME_MAX + 1];
	uint64_t id;
	union {
		struct {
			char server[CGW_NAME_MAX + 1];
			char address[CGW_NAME_MAX + 1];
			cg_ms usual_ms; /**< Usual time of such a request. */
			cg_ms overdue_ms; /**< Unusually long beyond this. */
		} grant;
		struct {
			enum cg_reason reason;
			cg_ms retry_after_ms;
		} refusal;
		char domain[CGW_NAME_MAX + 1];
	} u;
};

/** How a granted request went. */
enum cgw_result {
	CGW_RESULT_SERVED,
	CGW_RESULT_ERROR, /**< The server ran it and failed. */
	CGW_RESULT_LOST, /**< Sent; no usable response. */
	CGW_RESULT_HUNG, /**< Given up since it took too long. */
	CGW_RESULT_SHED, /**< The server was full. */
	CGW_RESULT_UNREACHED, /**< No connection. */
	CGW_RESULT_MISPLACED, /**< Another server has the address. */
	CGW_RESULT_DROPPED, /**< The caller left. */
	CGW_RESULT_UNUSED, /**< Not sent for a reason of the daemon's own. */
	CGW_RESULT_COUNT,
};

struct cgw_broker_settings {
	const char *domain; /**< Not copied. */
	unsigned int domains;
	double retry_ratio; /**< Repeats per request of a service. */
	int64_t retry_slack; /**< Repeats beyond it, in one window. */
	cg_ms retry_window_ms;
	/** Part of a service's servers, over all domains, that is never
	 * ejected. */
	double min_share;
};

struct cgw_broker;

typedef void (*cgw_slot_decision_fn)(void *arg,
				     const struct cgw_slot_decision *v);

/** Creates a broker; @p decide receives each verdict, also within a call. */
struct cgw_broker *cgw_broker_new(const struct cgw_broker_settings *s,
				  cgw_slot_decision_fn decide, void *arg);
void cgw_broker_free(struct cgw_broker *b);

struct cgw_quota *cgw_broker_quota(struct cgw_broker *b);

/** Limits rates and retries to a part of the domain's, see cgw_quota_broker_share(). */
void cgw_broker_set_share(struct cgw_broker *b, double part);

/** Takes over the list of all servers; those not in it are gone. */
void cgw_broker_set_servers(struct cgw_broker *b,
			    const struct cgw_server_facts *servers, size_t n,
			    cg_ms now);

void cgw_broker_request_slot(struct cgw_broker *b,
			     const struct cgw_slot_request *a, cg_ms now);
/** Ends a grant or withdraws an ask; unknown ones are ignored. */
void cgw_broker_release(struct cgw_broker *b, const char *daemon, uint64_t id,
			enum cgw_result result, cg_ms elapsed, cg_ms now);

/** A request that a daemon holds, as told to a broker that takes over. */
struct cgw_held_slot {
	uint64_t id;
	char server[CGW_NAME_MAX + 1];
	char route[CGW_NAME_MAX + 1];
	cg_ms age;
	cg_ms remaining; /**< Until the caller's time ends. */
};

/** Reconciles the grants of a daemon with what it says it holds: grants that
 * are older than @p settle ms and not held end; unknown holds are added. */
void cgw_broker_reconcile(struct cgw_broker *b, const char *daemon,
			  const struct cgw_held_slot *holds, size_t n,
			  cg_ms settle, cg_ms now);
/** Ends all grants and asks of a daemon that is gone. */
void cgw_broker_remove_daemon(struct cgw_broker *b, const char *daemon,
			      cg_ms now);

/** Finds overdue requests, ends ejections, refuses what cannot be served in
 * time. To be called every 50 ms or so while requests run or wait. */
void cgw_broker_tick(struct cgw_broker *b, cg_ms now);
/** Whether any request runs or waits. */
bool cgw_broker_busy(const struct cgw_broker *b);

/** What the brokers of the domains tell each other of a service. */
struct cgw_service_state {
	const char *service; /**< Not owned. */
	int64_t free_slots; /**< Of sound servers, less the waiting requests. */
	int64_t ejected; /**< Servers that are ejected. */
};

/** Free slots of sound servers of a service in this domain. */
int64_t cgw_broker_free_slots(struct cgw_broker *b, const char *service,
			      cg_ms now);
/** Notes what another domain's broker told. */
void cgw_broker_record_domain_state(struct cgw_broker *b, const char *domain,
				    const struct cgw_service_state *state,
				    cg_ms now);
/** Calls @p visit for each service with its state in this domain. */
void cgw_broker_each_service(struct cgw_broker *b, cg_ms now,
			     void (*visit)(void *arg,
					   const struct cgw_service_state *),
			     void *arg);

enum cgw_trust {
	CGW_TRUST_HEALTHY,
	CGW_TRUST_PROBATION, /**< Back after an ejection, one request at a
			      * time. */
	CGW_TRUST_SUSPECT, /**< Used only if no sound one is free. */
	CGW_TRUST_EJECTED,
};

/** Returns how a server is trusted, or -1 if it is unknown. */
int cgw_broker_trust(struct cgw_broker *b, const char *server, cg_ms now);
uint64_t cgw_broker_ejections(const struct cgw_broker *b);

#endif
