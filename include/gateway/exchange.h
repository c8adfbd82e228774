/**
 * @file exchange.h
 * One request from a caller and its response. The request passes the filters
 * (syntax, route, key, slot) and leads to one or more attempts at backend
 * servers.
 */
#ifndef CELERYGLADE_GATEWAY_EXCHANGE_H
#define CELERYGLADE_GATEWAY_EXCHANGE_H

#include "gateway/fleet.h"
#include "gateway/upstream.h"

/** Limit on attempts of one request, independent of its route. Attempts that a
 * server rejected without running the request count as well. */
#define CGW_ATTEMPTS_MAX 5

struct cgw_gateway;
struct cgw_exchange;

/** One attempt: a slot request and, once granted, a call to a server. */
struct cgw_attempt {
	struct cgw_exchange *exchange;
	struct cgw_slot slot;
	struct cgw_call call;
	GByteArray *request_bytes; /**< Head and body as sent; owned. */
	bool active; /**< Waiting for a slot or sent to a server. */
	/** Too slow: counts as hung if it is cancelled before a response. */
	bool abandoned;
	cg_ms requested_at; /**< When the slot was requested. */
	cg_ms overdue_ms; /**< Age from which it is overdue. */
	cg_ms typical_latency_ms;
};

struct cgw_exchange {
	struct cgw_gateway *gateway;
	/** The request as received from the caller; owned. */
	char *method;
	char *target;
	char *host;
	char *id;
	char *bearer;
	GPtrArray *headers; /**< Headers to forward: name, value, ... */
	size_t head_bytes; /**< Memory that a copy of the head takes. */
	bool has_body;
	int64_t content_length; /**< 0: none, or not known before its end. */
	struct cgw_body body;
	int64_t received; /**< Bytes of the body, kept or not. */
	struct cg_memory_item memory; /**< Of head and body. */
	cg_ms caller_timeout_ms; /**< How long the caller waits; 0: unknown. */
	bool malformed;
	bool too_large; /**< The body. */
	bool head_too_large;
	bool too_late; /**< The daemon stops and takes no more requests. */
	bool no_room; /**< The body was not kept for lack of memory. */

	/** Called once, when the response is complete. Called from within
	 * cgw_exchange_start() if the request did not have to wait. */
	void (*completed)(struct cgw_exchange *x);
	void *owner;

	int status;
	GPtrArray *response_headers; /**< Name, value, ...; owned. */
	GByteArray *response_body; /**< Owned. */
	/** Of the response's body; NULL: not counted. */
	struct cg_memory_item *response_memory;
	enum cg_reason reason; /**< CG_OK if a server responded. */
	bool done;

	struct cgw_table *table;
	const struct cgw_route *route;
	const struct cgw_account *account;
	const char *service;
	cg_ms arrived_at;
	cg_ms deadline; /**< Earlier of the caller's and the route's. */
	cg_ms proof_age_ms; /**< Age of the configuration proof. */
	cg_ms waited_ms; /**< Total wait for slots, all attempts. */
	struct cgw_timer deadline_timer;
	struct cgw_timer hedge_timer;
	struct cgw_attempt attempts[CGW_ATTEMPTS_MAX];
	unsigned int attempt_count;
	unsigned int possible_runs; /**< Attempts that may have run. */
	unsigned int sent_attempts; /**< Attempts that reached a server. */
	bool may_have_run; /**< An attempt may have run without a response. */
};

/** Creates a request for @p target, which is copied. The caller fills in the
 * other fields of the request and frees it with cgw_exchange_free(). */
struct cgw_exchange *cgw_exchange_new(struct cgw_gateway *g,
				      const char *target);
/** Frees an exchange; cancels its running attempts. */
void cgw_exchange_free(struct cgw_exchange *x);
/** Decides what the head of a request with a body determines. Returns false if
 * the request has been refused: the response is complete. */
bool cgw_exchange_check_head(struct cgw_exchange *x, cg_ms arrived_at);
/** Reserves memory for head and body if that has not happened. Returns false if
 * there is none, or the body has been evicted. */
bool cgw_exchange_reserve(struct cgw_exchange *x);
/** Adds to the body, of at most @p max bytes. A body that is too long or finds
 * no room is dropped, and the request refused when it is started. */
void cgw_exchange_append_body(struct cgw_exchange *x, const char *data,
			      size_t len, int64_t max);
/** Frees the body of the request. */
void cgw_exchange_drop_body(struct cgw_exchange *x);
/** Starts a request that has been read completely. Its timeouts count from
 * @p arrived_at. */
void cgw_exchange_start(struct cgw_exchange *x, cg_ms arrived_at);
/** Ends a request as at its deadline: the response says whether it may have
 * run. */
void cgw_exchange_expire(struct cgw_exchange *x);
/** Cancels all attempts at once because the caller has disconnected. */
void cgw_exchange_abort(struct cgw_exchange *x);

#endif
