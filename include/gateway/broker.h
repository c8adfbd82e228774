/**
 * @file broker.h
 * The broker grants the request slots of the backend servers of one failure
 * domain to daemons. It knows each request in flight there and decides which
 * requests are sent where, which wait and which are refused.
 *
 * The core does no I/O and reads no clock, so that the same recorded load
 * always gives the same decisions.
 */
#ifndef CELERYGLADE_GATEWAY_BROKER_H
#define CELERYGLADE_GATEWAY_BROKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "celeryglade/clock.h"
#include "celeryglade/outcome.h"
#include "gateway/quota.h"
#include "gateway/server_notice.h"
#include "gateway/table.h"

#define CGW_NAME_MAX 63
/** Servers that one slot request can exclude. */
#define CGW_AVOID_MAX 4

/** What a backend server reports about itself. */
struct cgw_server_facts {
	char id[CGW_NAME_MAX + 1];
	char service[CGW_NAME_MAX + 1];
	char address[CGW_NAME_MAX + 1];
	char domain[CGW_NAME_MAX + 1];
	int64_t slots; /**< Requests that it can run concurrently. */
	int64_t started_wall_ms; /**< Wall time of its start; 0 if unknown. */
	/** Raised each time its entry in the store is written; 0 if unknown. */
	int64_t seq;
	cg_ms warmup_remaining_ms; /**< Until its warm-up ends. */
	bool leaving; /**< It shuts down and gets no new requests. */
};

/** A daemon's request for a slot. */
struct cgw_slot_request {
	char daemon[CGW_NAME_MAX + 1];
	uint64_t id; /**< Unique for the daemon. */
	char service[CGW_NAME_MAX + 1];
	char route[CGW_NAME_MAX + 1];
	char account[CGW_NAME_MAX + 1]; /**< "" on open routes. */
	bool idempotent; /**< May be sent to a server again. */
	bool retry; /**< Sent to a server before: uses the retry budget. */
	/** Already charged to the account's rate, or to the retry budget. */
	bool charged;
	bool cross_domain; /**< From another domain: never queued here. */
	bool no_redirect; /**< No other domain had a free slot. */
	int64_t priority; /**< 0 is served first. */
	cg_ms objective_ms; /**< Latency objective of the route. */
	cg_ms deadline; /**< Of the caller. */
	char avoid[CGW_AVOID_MAX][CGW_NAME_MAX + 1]; /**< Excluded servers. */
	unsigned int avoid_count;
	/** For the estimate of its work; 0 if the daemon is of an older
	 * version. See struct cgw_work_traits. */
	unsigned int method, size_class;
	uint32_t shape;
};

enum cgw_slot_decision_kind {
	CGW_DECISION_GRANTED,
	CGW_DECISION_REFUSED,
	CGW_DECISION_REDIRECTED, /**< Request a slot in another domain. */
};

/** The broker's answer to a slot request. */
struct cgw_slot_decision {
	enum cgw_slot_decision_kind kind;
	char daemon[CGW_NAME_MAX + 1];
	uint64_t id; /**< Of the slot request. */
	union {
		struct {
			char server[CGW_NAME_MAX + 1];
			char address[CGW_NAME_MAX + 1];
			cg_ms typical_latency_ms; /**< Of the route. */
			cg_ms overdue_ms; /**< Overdue from this age on. */
			int64_t started_wall_ms; /**< Of the server. */
		} grant;
		struct {
			enum cg_reason reason;
			cg_ms retry_after_ms;
		} refusal;
		char domain[CGW_NAME_MAX + 1]; /**< Target of a redirect. */
	} u;
};

/** How a granted request ended. */
enum cgw_result {
	CGW_RESULT_SERVED,
	CGW_RESULT_ERROR, /**< The server ran it and failed. */
	CGW_RESULT_LOST, /**< Sent; no usable response. */
	CGW_RESULT_HUNG, /**< Given up because it took too long. */
	CGW_RESULT_SHED, /**< The server rejected it because of its load. */
	CGW_RESULT_UNREACHED, /**< The connection failed. */
	CGW_RESULT_MISPLACED, /**< Another server uses the address. */
	CGW_RESULT_DROPPED, /**< The caller disconnected. */
	CGW_RESULT_UNUSED, /**< The daemon did not use the slot. */
	CGW_RESULT_COUNT,
};

/** How a server is chosen among those that may get a request. */
enum cgw_placement {
	/** CGW_PLACEMENT_EXPECTED_FINISH while the configuration has a bulk
	 * route, else CGW_PLACEMENT_LEAST_LOADED. */
	CGW_PLACEMENT_AUTO,
	CGW_PLACEMENT_LEAST_LOADED, /**< By requests in flight per slot. */
	CGW_PLACEMENT_EXPECTED_FINISH, /**< By expected work and speed. */
};

struct cgw_broker_settings {
	const char *domain; /**< Not copied. */
	unsigned int domains;
	double retry_ratio; /**< Retries per request of a service. */
	int64_t retry_slack; /**< Retries beyond the ratio in one window. */
	cg_ms retry_window_ms;
	/** Share of a service's servers, over all domains, that is never
	 * ejected. */
	double min_share;
	enum cgw_placement placement;
	/** A cold server gets at most the rate of its service * warmup_burst
	 * + warmup_slack requests in one second; warmup_burst 0: no limit. */
	double warmup_burst;
	double warmup_slack;
	/** Returns whether a daemon has sent a message since @p since. If not,
	 * asks it for one. Called with the argument of the decisions; NULL if
	 * all daemons always are in touch. */
	bool (*heard_since)(void *arg, const char *daemon, cg_ms since);
};

struct cgw_broker;

typedef void (*cgw_slot_decision_fn)(void *arg,
				     const struct cgw_slot_decision *d);

/**
 * Creates a broker; free it with cgw_broker_free().
 *
 * @param decide Called with each decision, from within one of the functions
 *               below that have a parameter @p now.
 */
struct cgw_broker *cgw_broker_new(const struct cgw_broker_settings *s,
				  cgw_slot_decision_fn decide, void *arg);
void cgw_broker_free(struct cgw_broker *b);

/** Returns the account rates of the broker, which owns them. */
struct cgw_quota *cgw_broker_quota(struct cgw_broker *b);

/** Configures account rates and placement by a version of the configuration. */
void cgw_broker_configure(struct cgw_broker *b, const struct cgw_table *t,
			  cg_ms now);

/** Limits rates and retries to this share of the domain's; see
 * cgw_quota_broker_share(). */
void cgw_broker_set_share(struct cgw_broker *b, double share);

/** Sets whether requests are admitted by urgency (docs/design/admission.md). If
 * not, which is the default, a request that finds the queue full is refused, and
 * a retry that finds the retry budget used up. */
void cgw_broker_set_admission_by_urgency(struct cgw_broker *b, bool by_urgency,
					 cg_ms now);

/** Sets whether the broker's own domain is evacuated. While it is, or after
 * @p known_until, no slot is granted and requests are redirected to other
 * domains; requests in flight are not affected. */
void cgw_broker_set_evacuation(struct cgw_broker *b, bool evacuated,
			       cg_ms known_until, cg_ms now);
/** Sets whether the list of servers is from before this broker leads. Until it has
 * been read again no slot is granted, also to requests that wait here since this
 * broker led before: servers may have left meanwhile. */
void cgw_broker_set_servers_outdated(struct cgw_broker *b, bool outdated);
/** Returns whether no slot may be granted: the domain is evacuated, or that or its
 * servers are not known well enough. */
bool cgw_broker_is_closed(const struct cgw_broker *b, cg_ms now);
/** Returns whether the own domain is evacuated. */
bool cgw_broker_is_evacuated(const struct cgw_broker *b);
/** Records whether another domain's broker reports that its domain is
 * evacuated. */
void cgw_broker_record_domain_evacuation(struct cgw_broker *b,
					 const char *domain, bool evacuated,
					 cg_ms now);

/** Sets how many requests a cold server of a service may get, in thousandths of
 * a request per second; 0: no limit. */
void cgw_broker_set_warmup_rate(struct cgw_broker *b, const char *service,
				int64_t milli, cg_ms now);
/** Must be called when this broker begins to grant slots that another one may
 * have granted until now. */
void cgw_broker_begin_to_lead(struct cgw_broker *b, cg_ms now);

/** Replaces the list of servers of all domains. Ends the grants of servers that
 * left the list, restarted, or changed their address or service. */
void cgw_broker_set_servers(struct cgw_broker *b,
			    const struct cgw_server_facts *servers, size_t n,
			    cg_ms now);

/** Handles a slot request. A duplicate gets the same decision again while the
 * slot is held, and is ignored while the request waits for a slot. */
void cgw_broker_request_slot(struct cgw_broker *b,
			     const struct cgw_slot_request *request, cg_ms now);
/** Returns whether a request that waits for a slot has been charged to its
 * account or to the retry budget. One that waits for a rate token has not. */
bool cgw_broker_has_charged(const struct cgw_broker *b, const char *daemon,
			    uint64_t id);
/** Releases a held slot or withdraws a slot request; unknown ids are ignored.
 * @p elapsed is the time in ms that the request took. */
void cgw_broker_release(struct cgw_broker *b, const char *daemon, uint64_t id,
			enum cgw_result result, cg_ms elapsed, cg_ms now);

/** Records what a server said of itself to any daemon. It is ignored if the
 * server is unknown or has started anew since. A server that leaves gets no
 * grants until its entry shows another start; one that wants a rest gets none
 * until the rest ends, and then one request at a time until one is served. */
void cgw_broker_record_notice(struct cgw_broker *b, const char *server,
			      int64_t started_wall_ms,
			      const struct cgw_server_notice *said, cg_ms now);

/** A slot that a daemon holds, as reported to a broker that takes over. */
struct cgw_held_slot {
	uint64_t id;
	char server[CGW_NAME_MAX + 1];
	char route[CGW_NAME_MAX + 1];
	cg_ms age; /**< Since the grant. */
	cg_ms remaining; /**< Until the caller's deadline. */
};

/** Reconciles the grants of a daemon with the slots that it reports as held.
 * Grants older than @p grace_ms that are not held are released; held slots that
 * are unknown here are added. */
void cgw_broker_reconcile(struct cgw_broker *b, const char *daemon,
			  const struct cgw_held_slot *slots, size_t n,
			  cg_ms grace_ms, cg_ms now);
/** Releases all slots and withdraws all slot requests of a daemon that is
 * gone. */
void cgw_broker_remove_daemon(struct cgw_broker *b, const char *daemon,
			      cg_ms now);

/** Finds overdue requests, releases slots whose release was lost, ends an
 * ejection if the fleet is below the floor, grants free slots to waiting
 * requests and refuses those that cannot meet their deadline. Call it about
 * every 50 ms while the broker is busy. */
void cgw_broker_tick(struct cgw_broker *b, cg_ms now);
/** Returns whether any request is in flight or waits. */
bool cgw_broker_busy(const struct cgw_broker *b);

/** State of a service in one domain, as the brokers report it to each
 * other. */
struct cgw_service_state {
	const char *service; /**< Not owned. */
	int64_t free_slots; /**< Of healthy servers, less waiting requests. */
	int64_t ejected; /**< Servers that are ejected. */
	unsigned int requests, unserved; /**< In the last two seconds. */
};

/** Returns the free slots of healthy servers of a service in this domain, less
 * the waiting requests. */
int64_t cgw_broker_free_slots(struct cgw_broker *b, const char *service,
			      cg_ms now);
/** Records the state that another domain's broker reported. */
void cgw_broker_record_domain_state(struct cgw_broker *b, const char *domain,
				    const struct cgw_service_state *state,
				    cg_ms now);
/** Records what became of the requests for a service in another domain during
 * the last two seconds. */
void cgw_broker_record_domain_outcomes(struct cgw_broker *b, const char *domain,
				       const char *service,
				       unsigned int requests,
				       unsigned int unserved, cg_ms now);
/** Calls @p visit for each service with its state in this domain. */
void cgw_broker_each_service(struct cgw_broker *b, cg_ms now,
			     void (*visit)(void *arg,
					   const struct cgw_service_state *),
			     void *arg);

enum cgw_trust {
	CGW_TRUST_HEALTHY,
	CGW_TRUST_PROBATION, /**< Readmitted after an ejection; one request at
			      * a time. */
	CGW_TRUST_SUSPECT, /**< Used only if no healthy server is free. */
	CGW_TRUST_EJECTED,
};

/** Why a server is not eligible for a request. */
enum cgw_ineligible {
	CGW_ELIGIBLE,
	CGW_INELIGIBLE_LEAVING,
	CGW_INELIGIBLE_RESTS, /**< It wants no requests for some time. */
	CGW_INELIGIBLE_SHED, /**< It has just shed a request. */
	CGW_INELIGIBLE_EJECTED,
	CGW_INELIGIBLE_EXCLUDED, /**< By the request. */
	/** All slots are in use; of a doubted server, the only one. */
	CGW_INELIGIBLE_NO_SLOT,
};

/** A server as placement sees it. */
struct cgw_placement_candidate {
	char server[CGW_NAME_MAX + 1];
	enum cgw_ineligible reason;
	enum cgw_trust trust;
	/** Servers of more trust are preferred whatever their scores. A server
	 * on probation and one that is due count as healthy here. */
	enum cgw_trust rank_trust;
	double failing_share; /**< Probability of a failure episode. */
	double outstanding_ms; /**< Work in flight per slot and speed. */
	double slowness; /**< Time as a multiple of the service's mean. */
	double finish_ms; /**< Until the request would finish. */
	double score; /**< The lowest is chosen. */
	bool chosen;
};

/** Explains the placement of a request as if it came now, by the code that
 * places requests; grants nothing. Fills @p out with at most @p max servers of
 * the service in this domain and returns their number. */
size_t cgw_broker_explain(struct cgw_broker *b,
			  const struct cgw_slot_request *request,
			  struct cgw_placement_candidate *out, size_t max,
			  cg_ms now);
/** Returns the placement in force; never CGW_PLACEMENT_AUTO. */
enum cgw_placement cgw_broker_placement(const struct cgw_broker *b);

/** Encodes what this broker has learnt of the work of requests and the speed of
 * servers, for the daemons that lead next; the best known first. Returns false if there
 * is nothing. */
bool cgw_broker_export_work(struct cgw_broker *b, GByteArray *out, cg_ms now);
/** Adds what another broker has learnt, unless more is known here. Returns 0, or
 * -1 if the data is malformed. */
int cgw_broker_import_work(struct cgw_broker *b, const void *data, size_t len,
			   cg_ms now);

/** Returns the enum cgw_trust of a server, or -1 if it is unknown. */
int cgw_broker_trust(struct cgw_broker *b, const char *server, cg_ms now);
/** Returns the number of ejections since the broker was created. */
uint64_t cgw_broker_ejections(const struct cgw_broker *b);

#endif
