/**
 * @file request.h
 * A caller's request, from its first byte to its response.
 */
#ifndef CELERYGLADE_INTERNAL_REQUEST_H
#define CELERYGLADE_INTERNAL_REQUEST_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

#include "celeryglade/buffer.h"
#include "celeryglade/config.h"
#include "celeryglade/fair_queue.h"
#include "celeryglade/memory_budget.h"
#include "celeryglade/outcome.h"
#include "celeryglade/retry.h"
#include "internal/rates.h"
#include "internal/timers.h"

#define CG_REQUEST_ID_MAX 64

/** One HTTP header. */
struct cg_header {
	char *name;
	char *value;
};

/** Phase of a request. Each transition is made under the request's lock. */
enum cg_request_phase {
	CG_PHASE_READING, /**< Only the HTTP listener uses it. */
	CG_PHASE_FILTERING,
	CG_PHASE_QUEUED,
	CG_PHASE_RUNNING, /**< An attempt is in progress. */
	/** An attempt ended; the next step is not decided. */
	CG_PHASE_DECIDING,
	CG_PHASE_SETTLED, /**< The response is final. */
};

/** Response to the caller. */
struct cg_response {
	int status;
	GArray *headers; /**< struct cg_header; may be NULL. */
	GBytes *body; /**< May be NULL. */
	struct cg_response_memory *memory; /**< Of the body; may be NULL. */
};

struct cg_proxy;
struct cg_claim;
struct cg_response_memory;

struct cg_request {
	_Atomic int refs;
	struct cg_proxy *proxy;
	void *connection; /**< Connection of the HTTP listener. */
	bool suspended; /**< The listener waits until the request is settled. */

	char id[CG_REQUEST_ID_MAX + 1];
	enum cg_method method;
	char *method_text;
	char *target; /**< Path and query as received. */
	char *path; /**< Target without the query. */
	GArray *headers; /**< struct cg_header; forwarded to the server. */
	/** From "Authorization: Bearer"; wiped before it is freed. */
	char *api_key;
	char *idempotency_key;
	size_t head_bytes; /**< Memory that a copy of the head takes. */
	bool has_body;
	bool crowded; /**< The connection closes after the response. */
	size_t body_length; /**< As declared; 0: unknown. */
	bool answered_early; /**< Refused before its body was read. */
	uint64_t body_received; /**< Bytes of the body, kept or not. */
	/** While the request is read, body, memory and no_room are protected by
	 * the lock of the memory budget. */
	struct cg_buffer body;
	struct cg_memory_item memory; /**< Of head and body. */
	bool no_room; /**< The body was not kept for lack of memory. */
	enum cg_reason input_fault; /**< Error found while reading, or CG_OK. */

	struct cg_config *config;
	const struct cg_route *route;
	/** NULL on routes without authentication. */
	const struct cg_account *account;
	cg_ms arrived;
	cg_ms deadline;
	size_t next_filter; /**< Index into the filter chain. */
	struct cg_rate_waiter rate_waiter;
	struct cg_claim *claim;
	struct cg_fair_item queue_item;
	struct cg_timer deadline_timer;

	pthread_mutex_t lock; /**< Protects the fields below. */
	enum cg_request_phase phase;
	unsigned int attempts;
	/** An attempt was started and its outcome is not recorded yet. */
	bool attempt_pending;
	bool may_have_run; /**< Some attempt may have run the request. */
	const struct cg_server *tried_servers[CG_MAX_ATTEMPTS];
	struct cg_response response;
	enum cg_reason reason; /**< Reason of a refusal. */
	bool not_run;
};

/** Creates a request in CG_PHASE_READING with one reference. */
struct cg_request *cg_request_new(struct cg_proxy *p, const char *target);
struct cg_request *cg_request_ref(struct cg_request *r);
void cg_request_unref(struct cg_request *r);

/** Frees what a response owns. */
void cg_response_clear(struct cg_response *r);

/** Adds a header; both strings are copied. */
void cg_headers_add(GArray *headers, const char *name, const char *value);

/** Creates an empty array of struct cg_header that frees its elements. */
GArray *cg_headers_new(void);

/** Changes the phase to @p to if it is @p from. Returns whether it did. */
bool cg_request_transition(struct cg_request *r, enum cg_request_phase from,
			   enum cg_request_phase to);

/**
 * Settles the request with a response; takes ownership of its contents in every
 * case. Returns false if the request was already settled.
 */
bool cg_request_respond(struct cg_request *r, struct cg_response *response);

/**
 * Settles the request with a refusal. It reports "not run" if the reason proves
 * it and no attempt may have run the request. Returns false if the request was
 * already settled.
 */
bool cg_request_refuse(struct cg_request *r, enum cg_reason reason);

/** Refuses a request whose deadline has passed. Returns false if it was already
 * settled. */
bool cg_request_expire(struct cg_request *r);

#endif
