/**
 * @file request.h
 * One request of a caller, from its first byte to its response.
 */
#ifndef CELERYGLADE_INTERNAL_REQUEST_H
#define CELERYGLADE_INTERNAL_REQUEST_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

#include "celeryglade/config.h"
#include "celeryglade/fair_queue.h"
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

/** Where a request is. Each transition is made under the request's lock. */
enum cg_request_phase {
	CG_PHASE_READING, /**< Owned by the HTTP front alone. */
	CG_PHASE_FILTERING,
	CG_PHASE_QUEUED,
	CG_PHASE_RUNNING, /**< An attempt is under way. */
	CG_PHASE_DECIDING, /**< An attempt has ended, the next step is open. */
	CG_PHASE_SETTLED, /**< The response is fixed. */
};

/** What the caller gets. */
struct cg_response {
	int status;
	GArray *headers; /**< struct cg_header; may be NULL. */
	GBytes *body; /**< May be NULL. */
};

struct cg_proxy;
struct cg_claim;

struct cg_request {
	_Atomic int refs;
	struct cg_proxy *proxy;
	void *connection; /**< The HTTP front's connection. */
	bool suspended; /**< The front waits for the settlement. */

	char id[CG_REQUEST_ID_MAX + 1];
	enum cg_method method;
	char *method_text;
	char *target; /**< As sent: path and query. */
	char *path; /**< Target without the query. */
	GArray *headers; /**< struct cg_header to pass on. */
	char *api_key; /**< The caller's key; wiped once it is looked up. */
	char *idempotency_key;
	GByteArray *body;
	enum cg_reason input_fault; /**< Found while reading, or CG_OK. */

	struct cg_config *config;
	const struct cg_route *route;
	const struct cg_account *account; /**< NULL on open routes. */
	cg_ms arrived;
	cg_ms deadline;
	size_t next_filter; /**< Position in the chain of filters. */
	struct cg_rate_waiter rate_waiter;
	struct cg_claim *claim;
	struct cg_fair_item queue_item;
	struct cg_timer deadline_timer;

	pthread_mutex_t lock; /**< Guards what follows. */
	enum cg_request_phase phase;
	unsigned int attempts;
	bool attempt_pending; /**< An attempt's outcome is not accounted yet. */
	bool may_have_run; /**< Some earlier attempt may have run it. */
	const struct cg_server *tried_servers[CG_MAX_ATTEMPTS];
	struct cg_response response;
	enum cg_reason reason; /**< Of a refusal. */
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

/** Creates an empty list of headers that frees its contents. */
GArray *cg_headers_new(void);

/** Moves the request to @p to if it is in @p from. Returns whether it was. */
bool cg_request_transition(struct cg_request *r, enum cg_request_phase from,
			   enum cg_request_phase to);

/**
 * Fixes the response; takes over its contents in every case. Returns false if
 * the request was settled before.
 */
bool cg_request_respond(struct cg_request *r, struct cg_response *response);

/**
 * Fixes a refusal. "Not run" is reported if the reason proves it and no
 * attempt may have run the request. Returns false if it was settled before.
 */
bool cg_request_refuse(struct cg_request *r, enum cg_reason reason);

/** Refuses a request whose deadline has passed. */
bool cg_request_expire(struct cg_request *r);

#endif
