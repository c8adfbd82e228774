/**
 * @file exchange.h
 * One request of a caller: from its head to its response, over the filters
 * route, proof, key and slot to one or more attempts at backend servers.
 */
#ifndef CELERYGLADE_GATEWAY_EXCHANGE_H
#define CELERYGLADE_GATEWAY_EXCHANGE_H

#include "gateway/fleet.h"
#include "gateway/upstream.h"

/** Servers that one request may be sent to, whatever its route allows:
 * those that turned it away count as well. */
#define CGW_ATTEMPTS_MAX 5

struct cgw_gateway;
struct cgw_exchange;

struct cgw_attempt {
	struct cgw_exchange *exchange;
	struct cgw_slot slot;
	struct cgw_call call;
	GByteArray *request_bytes; /**< Request as sent; owned. */
	bool active; /**< Asks for a slot, or is under way. */
	bool abandoned; /**< Given up; its end is not the request's. */
	cg_ms requested_at;
	cg_ms overdue_ms;
	cg_ms typical_latency_ms;
};

struct cgw_exchange {
	struct cgw_gateway *gateway;
	/** What the caller sent; owned. */
	char *method;
	char *target;
	char *host;
	char *id;
	char *bearer;
	GPtrArray *headers; /**< Names and values to pass on, by turns. */
	GByteArray *body;
	cg_ms caller_timeout_ms; /**< Time that the caller waits; 0 if not said. */
	bool malformed;
	bool too_large;

	/** Runs once, when status, out_headers and out_body are fixed. Runs
	 * within cgw_exchange_start() if no wait was needed. */
	void (*completed)(struct cgw_exchange *x);
	void *owner;

	int status;
	GPtrArray *response_headers; /**< Names and values by turns; owned. */
	GByteArray *response_body; /**< Owned. */
	enum cg_reason reason; /**< CG_OK for a server's response. */
	bool done;

	struct cgw_table *table;
	const struct cgw_route *route;
	const struct cgw_account *account;
	const char *service;
	cg_ms arrived_at;
	cg_ms deadline; /**< End of the caller's or of the route's time. */
	cg_ms proof_age_ms;
	cg_ms waited_ms; /**< For slots, over all attempts. */
	struct cgw_timer deadline_timer;
	struct cgw_timer hedge_timer;
	struct cgw_attempt attempts[CGW_ATTEMPTS_MAX];
	unsigned int attempt_count;
	unsigned int possible_runs; /**< Attempts that may have run. */
	unsigned int sent_attempts; /**< Attempts that reached a server. */
	bool may_have_run; /**< An attempt may have run without a response. */
};

struct cgw_exchange *cgw_exchange_new(struct cgw_gateway *g,
				      const char *target);
/** Frees an exchange; ends what is under way. */
void cgw_exchange_free(struct cgw_exchange *x);
/** Starts a request that has been read whole; its time runs from @p came. */
void cgw_exchange_start(struct cgw_exchange *x, cg_ms arrived_at);
/** The caller has left: ends the attempts at once. */
void cgw_exchange_abort(struct cgw_exchange *x);

#endif
