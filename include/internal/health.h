/**
 * @file health.h
 * Health controller: observations of backend servers, their ejection and
 * draining.
 */
#ifndef CELERYGLADE_INTERNAL_HEALTH_H
#define CELERYGLADE_INTERNAL_HEALTH_H

#include <json-c/json.h>

#include "internal/docs.h"
#include "internal/notices.h"
#include "internal/shards.h"

/** Outcome of one attempt as evidence about its server. */
enum cg_observation {
	CG_OBSERVED_OK,
	/** 5xx response, reset connection, truncated or mismatched response. */
	CG_OBSERVED_FAILED,
	CG_OBSERVED_TIMEOUT,
	CG_OBSERVED_CONNECT_FAILED,
	/** The request was not run; not evidence of a fault. */
	CG_OBSERVED_SHED,
};

struct cg_health;

/**
 * Creates the controller. The arguments stay owned by the caller and must
 * outlive the result.
 */
struct cg_health *cg_health_new(const struct cg_settings *s,
				struct cg_clock *clk, struct cg_peer *peer,
				struct cg_members *members,
				struct cg_shards *shards, struct cg_docs *docs,
				struct cg_notices *notices);
int cg_health_start(struct cg_health *h);
/**
 * Stops the thread and waits for calls in progress. The peer transport must
 * still be running or have been freed, so that these calls complete.
 */
void cg_health_stop(struct cg_health *h);
void cg_health_free(struct cg_health *h);

/**
 * Runs one tick, which is due every second. For tests, instead of
 * cg_health_start().
 */
void cg_health_tick(struct cg_health *h);

/** Returns whether no call to another daemon is in progress. For tests. */
bool cg_health_idle(struct cg_health *h);

/**
 * Handles HEALTH_DIGEST and GET_VERDICTS messages. Returns 0, or -1 if the
 * message is malformed or refused.
 */
int cg_health_handle(struct cg_health *h, const struct cg_peer_msg *msg,
		     GByteArray *reply);

/** Records the outcome of an attempt that took @p latency ms. */
void cg_health_observe(struct cg_health *h, const struct cg_server *srv,
		       enum cg_observation o, cg_ms latency);

/** Records that a server announced in a response that it is draining. */
void cg_health_mark_draining(struct cg_health *h, const struct cg_server *srv);

/**
 * Returns the share of its normal load that a server gets now, in thousandths:
 * 1000 for a healthy server, 0 if it is ejected, draining or avoided. Pass
 * whether the request is @p idempotent: only such requests are used to test a
 * recovering server, unless its fleet verdict allows all methods.
 */
unsigned int cg_health_weight(struct cg_health *h, const struct cg_server *srv,
			      bool idempotent);

/** State of a server for load balancing. */
struct cg_health_server_state {
	unsigned int weight; /**< See cg_health_weight(). */
	bool draining; /**< Must get no new requests. */
	/**
	 * Order of use of servers without weight if no other server is left;
	 * lowest first.
	 */
	unsigned int fallback_rank;
};

void cg_health_server_state(struct cg_health *h, const struct cg_server *srv,
			    bool idempotent,
			    struct cg_health_server_state *out);

/**
 * Returns the state of one service as JSON, or of all services if @p service is
 * NULL. The caller owns the result; NULL if the service is unknown.
 */
struct json_object *cg_health_status(struct cg_health *h, const char *service);

/**
 * Returns the state of a server and the evidence behind it as JSON. The caller
 * owns the result; NULL if the server is unknown.
 */
struct json_object *cg_health_explain(struct cg_health *h, const char *server);

/** Returns the memory used in bytes. */
size_t cg_health_memory(struct cg_health *h);

#endif
