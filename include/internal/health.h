/**
 * @file health.h
 * Evidence about backend servers, ejection and draining (docs/design.md 8, 11).
 */
#ifndef CELERYGLADE_INTERNAL_HEALTH_H
#define CELERYGLADE_INTERNAL_HEALTH_H

#include <json-c/json.h>

#include "internal/docs.h"
#include "internal/notices.h"
#include "internal/shards.h"

/** What one attempt showed about its server. */
enum cg_observation {
	CG_OBSERVED_OK,
	CG_OBSERVED_FAILED, /**< 5xx, reset, truncated or mismatched. */
	CG_OBSERVED_TIMEOUT,
	CG_OBSERVED_CONNECT_FAILED,
	CG_OBSERVED_SHED, /**< Proof of not running; no sign of sickness. */
};

struct cg_health;

/** References stay with the caller and must outlive the result. */
struct cg_health *cg_health_new(const struct cg_settings *s,
				struct cg_clock *clk, struct cg_peer *peer,
				struct cg_members *members,
				struct cg_shards *shards, struct cg_docs *docs,
				struct cg_notices *notices);
int cg_health_start(struct cg_health *h);
/** Stops the thread and waits for calls under way; the peer transport must
 * still run or have been freed, so that they end. */
void cg_health_stop(struct cg_health *h);
void cg_health_free(struct cg_health *h);

/** Does the work of one second; for tests, instead of cg_health_start. */
void cg_health_tick(struct cg_health *h);

/** Whether no call to another daemon is under way; for tests. */
bool cg_health_idle(struct cg_health *h);

/** Handles HEALTH_DIGEST and GET_VERDICTS. */
int cg_health_handle(struct cg_health *h, const struct cg_peer_msg *msg,
		     GByteArray *reply);

/** Records the outcome of an attempt that took @p latency. */
void cg_health_observe(struct cg_health *h, const struct cg_server *srv,
		       enum cg_observation o, cg_ms latency);

/** Records that a server said that it drains. */
void cg_health_mark_draining(struct cg_health *h, const struct cg_server *srv);

/**
 * Share of its normal load that a server gets now, in thousandths: 1000 for a
 * healthy one, 0 if it is ejected, draining or avoided. @p idempotent tells
 * whether the request may be used to test a recovering server.
 */
unsigned int cg_health_weight(struct cg_health *h, const struct cg_server *srv,
			      bool idempotent);

/** What the choice of a server needs to know. */
struct cg_health_server_state {
	unsigned int weight; /**< As cg_health_weight. */
	bool draining; /**< Must get no new work at all. */
	/** Order in which servers without weight are used if no other server
	 * is left; the lowest first. */
	unsigned int fallback_rank;
};

void cg_health_server_state(struct cg_health *h, const struct cg_server *srv,
			    bool idempotent,
			    struct cg_health_server_state *out);

/** State of one service, or of all with NULL. The caller owns the result; NULL
 * if the service is unknown. */
struct json_object *cg_health_status(struct cg_health *h, const char *service);

/** Why a server gets the load that it gets. The caller owns the result; NULL if
 * the server is unknown. */
struct json_object *cg_health_explain(struct cg_health *h, const char *server);

/** Bytes of memory held. */
size_t cg_health_memory(struct cg_health *h);

#endif
