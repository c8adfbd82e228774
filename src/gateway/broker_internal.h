/**
 * @file broker_internal.h
 * Types shared by the source files of the broker: servers and their trust,
 * grants, waiting slot requests, and the typical latency of each route.
 */
#ifndef CELERYGLADE_GATEWAY_BROKER_INTERNAL_H
#define CELERYGLADE_GATEWAY_BROKER_INTERNAL_H

#include <urcu/list.h>

#include "admission.h"
#include "broker_evidence.h"
#include "broker_floor.h"
#include "gateway/broker.h"
#include "gateway/work_model.h"
#include "warmup.h"

/** Latency of the served requests of a route. */
struct cgw_route_latency {
	double mean_ms;
	double deviation_ms; /**< Mean absolute deviation. */
	unsigned int samples;
};

struct cgw_service {
	char *name;
	GPtrArray *servers; /**< struct cgw_server of this domain, not owned. */
	struct cds_list_head waiting; /**< struct cgw_waiter */
	unsigned int waiting_count;
	/** struct cgw_waiter: retries that wait for the retry budget. */
	struct cds_list_head deferred;
	unsigned int deferred_count;
	GArray *first_attempts; /**< cg_ms of each in the retry window. */
	GArray *retries; /**< cg_ms of each in the retry window. */
	GHashTable *domain_reports; /**< domain to struct cgw_domain_report */
	int64_t fleet_servers; /**< Of all domains, without leaving ones. */
	GHashTable *domain_servers; /**< The same by domain, as integers. */
	int64_t warmup_milli; /**< Requests of a cold server; 0: no limit. */
	struct cgw_warmup_limit warmup; /**< From this and the settings. */
	struct cgw_failure_model failures;
	struct cgw_work_speed speed;
	struct cgw_outcome_window outcomes; /**< Of this domain's requests. */
	/** Recent decisions, with admission by urgency: by route, by account,
	 * and on all requests. */
	GHashTable *kind_shares, *account_shares;
	struct cgw_admission_share all_shares;
	cg_ms shares_at; /**< Time up to which they are decayed. */
	/** Runs short: too many of its requests are not served. */
	bool is_short;
	/** Runs short, and few of its servers in this domain get requests. */
	bool is_narrow;
};

/** State of a service that another domain reported. */
struct cgw_domain_report {
	int64_t free_slots;
	int64_t ejected;
	cg_ms received_at; /**< Of the fields above. */
	unsigned int requests, unserved; /**< In the last two seconds. */
	cg_ms outcomes_at; /**< Of the outcomes. */
};

/** Reports of other domains are valid for this long. They are sent each 400 ms,
 * so that two in a row may be lost. */
#define CGW_DOMAIN_REPORT_VALID_MS 1000

struct cgw_server {
	struct cgw_server_facts facts;
	struct cgw_service *service;
	struct cds_list_head grants; /**< struct cgw_grant, oldest first */
	int64_t inflight;
	int64_t overdue; /**< Grants in flight that are overdue. */
	double suspicion; /**< Sum of log likelihood ratios, at least 0. */
	cg_ms suspicion_at; /**< Time up to which suspicion is decayed. */
	/** Results since the suspicion was last 0. They belong to a failure
	 * episode if the server is ejected, and to normal work otherwise. */
	struct cgw_evidence_counts run;
	cg_ms run_since; /**< First result of the run; 0 if it is empty. */
	cg_ms episode_since; /**< Start of the run that led to ejection. */
	cg_ms last_failed_at;
	bool probation;
	cg_ms ejected_at;
	cg_ms ejected_until; /**< 0 if it is not ejected. */
	cg_ms readmitted_at; /**< End of the last ejection. */
	cg_ms full_until; /**< No new requests until then: it shed one. */
	bool said_leaving; /**< By itself; its entry may not show it. */
	cg_ms rest_until; /**< It wants no requests until then. */
	cg_ms warmup_until;
	struct cgw_work_speed speed;
	cg_ms assumed_cold_until; /**< After an evacuation. */
	struct cgw_warmup warmup;
	cg_ms last_granted_at;
	bool listed; /**< Found in the list that is being applied. */
};

struct cgw_grant {
	struct cds_list_head node;
	char *key;
	char *daemon;
	char *route;
	uint64_t id;
	struct cgw_server *server;
	cg_ms started_at;
	cg_ms overdue_at;
	cg_ms deadline;
	struct cgw_work_class class;
	double work_ms; /**< Expected; 0 if no estimates are made. */
	double slowness; /**< Of the server when it was granted. */
	bool may_retry; /**< Another attempt may follow a failure. */
	double added_suspicion; /**< By the age of this request. */
	int age_stage; /**< Thresholds passed: 0, 1 overdue, 2 hung. */
	struct cgw_slot_decision decision; /**< Sent again on a duplicate. */
};

struct cgw_waiter {
	struct cds_list_head node;
	char *key;
	struct cgw_slot_request request;
	cg_ms since;
	struct cgw_service *service;
	bool deferred; /**< Waits for the retry budget. */
	/** When it took a retry from the budget of this broker; 0: it did not. */
	cg_ms budget_at;
	/** With admission by urgency. */
	struct cgw_admission_request urgency;
	struct cgw_admission_share *kind, *account; /**< NULL if not counted. */
};

struct cgw_broker {
	struct cgw_broker_settings settings;
	enum cgw_placement placement; /**< In force; never AUTO. */
	struct cgw_work_model *work;
	/** Speeds of servers by id that are not listed yet, from the former
	 * broker. */
	GHashTable *former_speeds;
	bool work_read; /**< Estimates of another broker have been read. */
	cgw_slot_decision_fn decide;
	void *arg;
	struct cgw_quota *quota;
	GHashTable *services; /**< name to struct cgw_service */
	GHashTable *servers; /**< id to struct cgw_server */
	struct cgw_failure_model failures; /**< Of all services together. */
	GHashTable *latencies; /**< route to struct cgw_route_latency */
	GHashTable *grants; /**< key to struct cgw_grant */
	GHashTable *waiters; /**< key to struct cgw_waiter */
	GHashTable *usage; /**< account to its recent server time in ms */
	cg_ms usage_at; /**< Time up to which usage is decayed. */
	double usage_mean; /**< Of the accounts, at that time. */
	bool by_urgency; /**< Admission by urgency; otherwise by arrival. */
	unsigned int evictions_unlogged;
	cg_ms evictions_logged_at;
	GArray *token_waiters; /**< struct cgw_slot_request */
	uint64_t ejections;
	/** Of the domain's rates and retry budget. */
	double share;
	bool evacuated; /**< This domain. */
	/** Until then the state above may be relied on. */
	cg_ms evacuation_known_until;
	bool servers_outdated; /**< The list may name some that have left. */
	/** Other domains that report an evacuation, to the time of the last
	 * report (cg_ms). */
	GHashTable *evacuated_domains;
};

/* broker.c */
/** Returns a service; adds it if it is new. */
struct cgw_service *cgw_broker_get_service(struct cgw_broker *b,
					   const char *name);
/** Returns the key of a grant or a waiter; the caller frees it. */
char *cgw_grant_key(const char *daemon, uint64_t id);
/** Removes and frees a grant; its server has one request less in flight. */
void cgw_grant_end(struct cgw_broker *b, struct cgw_grant *g);
/** Removes and frees a waiter. */
void cgw_waiter_end(struct cgw_broker *b, struct cgw_waiter *w);

/* broker_placement.c: which server or failure domain gets a request */
/** Creates a grant that is not in the tables of the broker yet. */
struct cgw_grant *cgw_grant_new(const char *daemon, uint64_t id,
				const char *route, struct cgw_server *s,
				cg_ms typical, cg_ms overdue);
/** Sets the estimates of a grant, if the placement in force uses them. */
void cgw_grant_estimate_work(struct cgw_broker *b, struct cgw_grant *g,
			     const struct cgw_slot_request *request, cg_ms now);
/** Records the work of a request that was served. */
void cgw_grant_record_work(struct cgw_broker *b, struct cgw_grant *g,
			   cg_ms elapsed, cg_ms now);
/** Counts the slots of healthy servers, free or not. */
int64_t cgw_service_healthy_slots(struct cgw_service *s, cg_ms now);
/** Redirects a request to the domain with the most free slots. Returns whether
 * it did. */
bool cgw_broker_redirect(struct cgw_broker *b, struct cgw_service *s,
			 const struct cgw_slot_request *request, cg_ms now);
/** Grants a slot or redirects the request. Returns whether it did either. */
bool cgw_broker_grant_or_redirect(struct cgw_broker *b, struct cgw_service *s,
				  const struct cgw_slot_request *request,
				  cg_ms now);

/* broker_admission.c: which requests wait and which are refused */
/** Returns the account's recent server time in ms. */
double *cgw_broker_usage(struct cgw_broker *b, const char *account, cg_ms now);
void cgw_broker_refuse(struct cgw_broker *b,
		       const struct cgw_slot_request *request,
		       enum cg_reason reason, cg_ms retry_after, cg_ms now);
/** Returns how many requests may wait for a service with this many slots. */
unsigned int cgw_broker_queue_limit(int64_t slots);
/** Adds a request to the end of the queue of a service. */
struct cgw_waiter *cgw_broker_add_waiter(struct cgw_broker *b,
					 struct cgw_service *s,
					 const struct cgw_slot_request *request,
					 cg_ms now);
/** Grants a slot, redirects the request, or queues or refuses it. @p budget_at is
 * the time at which it took a retry from the budget, or 0. */
void cgw_broker_place(struct cgw_broker *b, struct cgw_service *s,
		      const struct cgw_slot_request *request, cg_ms budget_at,
		      cg_ms now);
/** Withdraws a request that waits for a rate token. */
void cgw_broker_remove_token_waiter(struct cgw_broker *b, const char *daemon,
				    uint64_t id);
void cgw_broker_retry_token_waiters(struct cgw_broker *b, cg_ms now);
/** Grants free slots to waiting requests. */
void cgw_broker_grant_waiting(struct cgw_broker *b, struct cgw_service *s,
			      cg_ms now);
/** Refuses the requests that wait for a service whose servers all want a
 * rest. */
void cgw_broker_refuse_waiting_during_rest(struct cgw_broker *b,
					   struct cgw_service *s, cg_ms now);
/** Refuses the waiting requests that cannot meet their deadline any more. */
void cgw_broker_refuse_expired(struct cgw_broker *b, struct cgw_service *s,
			       cg_ms now);

/* broker_urgency.c: admission by urgency */
/** Sets the fields that admission by urgency uses. */
void cgw_waiter_set_urgency(struct cgw_broker *b, struct cgw_waiter *w,
			    cg_ms now);
/** Counts a request in the shares of its kind and account until its wait ends. */
void cgw_waiter_join_shares(struct cgw_waiter *w);
void cgw_waiter_leave_shares(struct cgw_waiter *w);
/** Queues the request, refuses it, or refuses a waiting one in its place.
 * @p budget_at is the time at which it took a retry from the budget, or 0. */
void cgw_broker_queue_by_urgency(struct cgw_broker *b, struct cgw_service *s,
				 const struct cgw_slot_request *request,
				 cg_ms budget_at, cg_ms now);
/** Returns the waiting request that gets the next slot, or NULL. */
struct cgw_waiter *cgw_service_most_urgent(struct cgw_service *s, cg_ms now);
/** Ends the wait of a request that got a slot. */
void cgw_broker_end_granted_wait(struct cgw_broker *b, struct cgw_waiter *w,
				 cg_ms now);
/** Records the arrival of a request that has not been sent to a server. */
void cgw_service_record_arrival(struct cgw_service *s,
				const struct cgw_slot_request *request,
				cg_ms now);
/** Records that a request got a slot or was redirected. */
void cgw_broker_record_admitted(struct cgw_broker *b,
				const struct cgw_slot_request *request);
/** Records a refusal. */
void cgw_broker_record_refused(struct cgw_broker *b,
			       const struct cgw_slot_request *request);
/** Refuses the waiting requests that cannot meet their deadline behind those
 * that precede them. */
void cgw_broker_refuse_hopeless(struct cgw_broker *b, struct cgw_service *s,
				cg_ms now);

/* broker_budget.c: the retry budget of a service */
/** Counts a retry if the budget allows one more, less the @p reserve (from 0 to
 * 1), and returns whether it does. */
bool cgw_service_take_retry(struct cgw_broker *b, struct cgw_service *s,
			    double reserve, cg_ms now);
/** Returns whether a retry got a part of the budget. If not, it waits for one or
 * has been refused. */
bool cgw_broker_take_or_defer(struct cgw_broker *b, struct cgw_service *s,
			      const struct cgw_slot_request *request,
			      cg_ms now);
/** Takes a retry that was counted at @p at off the budget. */
void cgw_service_refund_retry(struct cgw_service *s, cg_ms at);
/** Gives the budget to the deferred retries and refuses those that cannot meet
 * their deadline. */
void cgw_broker_retry_deferred(struct cgw_broker *b, struct cgw_service *s,
			       cg_ms now);
/* broker_evacuation.c */
/** Returns whether another domain's broker has recently reported that its domain
 * is evacuated. */
bool cgw_broker_other_is_evacuated(const struct cgw_broker *b,
				   const char *domain, cg_ms now);
/** Returns the number of the service's servers in all domains that are not
 * evacuated. */
int64_t cgw_service_floor_servers(const struct cgw_broker *b,
				  const struct cgw_service *s, cg_ms now);
/** In an evacuated domain, redirects waiting requests that other domains have
 * refused before. */
void cgw_broker_redirect_waiting(struct cgw_broker *b, struct cgw_service *s,
				 cg_ms now);

/* broker_warmup.c */
/** Returns whether a server is cold and the number of its requests limited. */
bool cgw_server_is_limited(const struct cgw_server *s, cg_ms now);
/** Returns how many requests the server may get by its warm-up. */
int64_t cgw_server_warmup_room(const struct cgw_server *s, cg_ms now);
/** Counts if the service has a cold server with a free slot that must not get
 * the request now. */
void cgw_service_count_withheld(const struct cgw_service *s, cg_ms now);

/* broker_trust.c */
/** Returns the present trust of a server. Ends an ejection that is over. */
enum cgw_trust cgw_server_trust(struct cgw_server *s, cg_ms now);
/** Returns the probability that the server is in a failure episode. */
double cgw_server_failing_share(struct cgw_server *s, cg_ms now);
/** Returns whether the server must get a request soon although it is doubted:
 * its service runs short, few of the others get requests, and it has had none
 * for most of the time within which a working server must get one. Requests that
 * @p may_retry come first. */
bool cgw_server_is_due(const struct cgw_server *s, bool may_retry, cg_ms now);
/** Records whether a request of the service was served. */
void cgw_service_record_outcome(struct cgw_service *s, bool served, cg_ms now);
/** Updates whether the service runs short, from the outcomes in all domains,
 * and readmits servers early if it does. */
void cgw_service_check_shortage(const struct cgw_broker *b,
				struct cgw_service *s, cg_ms now);
/** Returns the number of the service's ejected servers in this domain. */
int64_t cgw_service_ejected(const struct cgw_service *s, cg_ms now);
/** Ends the ejection of this domain that would end first, if the domains
 * together have ejected more servers than the floor (the share of servers that
 * must stay in use) allows, and this domain more than a floor of its own
 * servers would allow. That happens if domains eject servers before they
 * receive each other's reports. */
void cgw_service_enforce_floor(struct cgw_broker *b, struct cgw_service *s,
			       cg_ms now);
/** Returns whether one more request may be sent to a server at its trust. */
bool cgw_server_has_room(struct cgw_server *s, cg_ms now);
/** Adds suspicion to the server of a request in flight, once when the request
 * becomes overdue and once more when it counts as hung. This detects a server
 * that accepts requests and never responds. */
void cgw_server_check_age(struct cgw_broker *b, struct cgw_grant *g, cg_ms now);
/** Updates the server of a grant by the result of its request: its suspicion
 * (which may eject or readmit it), its probation, and the time for which it
 * gets no requests after it shed one. @p elapsed is not used at present. */
void cgw_server_record_result(struct cgw_broker *b, struct cgw_grant *g,
			      enum cgw_result result, cg_ms elapsed, cg_ms now);

/** Estimates the typical latency of a route and the age from which a request
 * is overdue; from the objective until there are enough samples. */
void cgw_route_latency_estimate(struct cgw_broker *b, const char *route,
				cg_ms objective_ms, cg_ms *typical_ms,
				cg_ms *overdue_ms);
/** As above for one request, whose work may be more or less than that of others
 * of its route. It counts as overdue no earlier than its route's requests. */
void cgw_request_latency_estimate(struct cgw_broker *b,
				  const struct cgw_slot_request *request,
				  cg_ms now, cg_ms *typical_ms,
				  cg_ms *overdue_ms);
/** Records the latency of a served request. */
void cgw_route_latency_record(struct cgw_broker *b, const char *route,
			      cg_ms elapsed);

#endif
