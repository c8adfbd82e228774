/**
 * @file broker_internal.h
 * Types that the parts of the broker share: servers and their trust, grants,
 * waiting asks, and the usual time of each route.
 */
#ifndef CELERYGLADE_GATEWAY_BROKER_INTERNAL_H
#define CELERYGLADE_GATEWAY_BROKER_INTERNAL_H

#include <urcu/list.h>

#include "gateway/broker.h"

/** Usual time of the requests of a route, from those that were served. */
struct cgw_usual {
	double mean_ms;
	double deviation_ms; /**< Mean absolute deviation. */
	unsigned int samples;
};

struct cgw_service {
	char *name;
	GPtrArray *servers; /**< struct cgw_server of this domain, not owned. */
	struct cds_list_head waiting; /**< struct cgw_waiter */
	unsigned int waiting_count;
	GArray *firsts; /**< cg_ms of first asks in the retry window. */
	GArray *repeats; /**< cg_ms of repeats in it. */
	GHashTable *elsewhere; /**< domain to struct cgw_note */
	int64_t fleet_servers; /**< Of all domains, less those that leave. */
};

/** What another domain told of a service. */
struct cgw_note {
	int64_t free_slots;
	int64_t ejected;
	cg_ms at;
};

/** What another domain told is used for this long: two of its messages, one
 * each 400 ms, may be lost. */
#define CGW_NOTE_MS 1000

struct cgw_server {
	struct cgw_server_facts facts;
	struct cgw_service *service;
	struct cds_list_head grants; /**< struct cgw_grant */
	int64_t inflight;
	int64_t overdue; /**< Grants in flight that are overdue. */
	double suspicion; /**< Sum of log likelihood ratios, at least 0. */
	cg_ms suspicion_at; /**< Time up to which it has faded. */
	bool probation;
	cg_ms ejected_until; /**< 0 if it is not ejected. */
	cg_ms returned_at; /**< End of the last ejection. */
	cg_ms full_until; /**< It turned a request away a moment ago. */
	cg_ms cold_until;
	cg_ms granted_at;
	bool listed; /**< Found in the list being taken over. */
};

struct cgw_grant {
	struct cds_list_head node;
	char *key;
	char *daemon;
	char *route;
	uint64_t id;
	struct cgw_server *server;
	cg_ms started;
	cg_ms overdue_at;
	cg_ms due;
	double added; /**< Suspicion that this one has raised. */
	int stage; /**< Thresholds passed: 0, 1 overdue, 2 hung. */
	struct cgw_slot_decision
		verdict; /**< Repeated if the ask comes again. */
};

struct cgw_waiter {
	struct cds_list_head node;
	char *key;
	struct cgw_slot_request ask;
	cg_ms since;
	struct cgw_service *service;
};

struct cgw_broker {
	struct cgw_broker_settings settings;
	cgw_slot_decision_fn decide;
	void *arg;
	struct cgw_quota *quota;
	GHashTable *services; /**< name to struct cgw_service */
	GHashTable *servers; /**< id to struct cgw_server */
	GHashTable *usual; /**< route to struct cgw_usual */
	GHashTable *grants; /**< key to struct cgw_grant */
	GHashTable *waiters; /**< key to struct cgw_waiter */
	GHashTable *used; /**< account to its recent server time */
	cg_ms used_at;
	GArray *warming; /**< struct cgw_slot_request that wait for a token. */
	uint64_t ejections;
	double part; /**< Of the domain's retry budget. */
};

/** Trust of a server; see broker_trust.c. */
enum cgw_trust cgw_server_trust(struct cgw_server *s, cg_ms now);
/** Servers of the service that are ejected in this domain. */
int64_t cgw_service_ejected(const struct cgw_service *s, cg_ms now);
/** Ends the oldest ejection if the domains together have gone below the floor
 * before they heard of each other. */
void cgw_service_keep_floor(struct cgw_broker *b, struct cgw_service *s,
			    cg_ms now);
/** Whether a server may be sent one more request at this trust. */
bool cgw_server_has_room(struct cgw_server *s, cg_ms now);
/** Notes that a request in flight passed the thresholds of its age. */
void cgw_server_age(struct cgw_broker *b, struct cgw_grant *g, cg_ms now);
/** Notes how a request ended. */
void cgw_server_note(struct cgw_broker *b, struct cgw_grant *g,
		     enum cgw_result result, cg_ms elapsed, cg_ms now);

/** Usual time of a route; a guess from its objective before any sample. */
void cgw_usual_times(struct cgw_broker *b, const char *route,
		     cg_ms objective_ms, cg_ms *usual_ms, cg_ms *overdue_ms);
void cgw_usual_note(struct cgw_broker *b, const char *route, cg_ms elapsed);

#endif
