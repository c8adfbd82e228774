/**
 * @file rates.h
 * Admission of requests by the accounts' rate and burst over the whole fleet.
 * Each account has a coordinator, which grants shares of its rate and burst to
 * the daemons that receive its requests.
 */
#ifndef CELERYGLADE_INTERNAL_RATES_H
#define CELERYGLADE_INTERNAL_RATES_H

#include <json-c/json.h>
#include <urcu/list.h>

#include "internal/docs.h"
#include "internal/shards.h"

struct cg_rates;

enum cg_rate_result {
	CG_RATE_ADMITTED,
	CG_RATE_REFUSED, /**< The account is over its rate. */
	CG_RATE_UNAVAILABLE, /**< No holding, and no coordinator answers. */
	CG_RATE_WAIT, /**< The waiter's function will be called later. */
};

/** A request that waits for tokens; embedded in the request. */
struct cg_rate_waiter {
	struct cds_list_head node;
	/** Called exactly once, on any thread, never with WAIT. */
	void (*done)(struct cg_rate_waiter *w, enum cg_rate_result result);
	cg_ms deadline; /**< Set by cg_rates_admit. */
};

struct cg_rates *cg_rates_new(const struct cg_settings *s, struct cg_clock *clk,
			      struct cg_peer *peer, struct cg_members *members,
			      struct cg_shards *shards, struct cg_docs *docs);
/** Starts the controller's thread. Returns 0, or -1 on error. */
int cg_rates_start(struct cg_rates *r);
/**
 * Returns the holdings to the coordinators, hands over the ledgers of the
 * shards that the current shard map assigns to another instance, then stops.
 * Change the map before this call; otherwise the next owners need a survey.
 */
void cg_rates_stop(struct cg_rates *r);
void cg_rates_free(struct cg_rates *r);

/** Handles CG_MSG_RATE_TOKEN_REQUEST, CG_MSG_RATE_RETURN, CG_MSG_RATE_SURVEY
 * and CG_MSG_SHARD_HANDOVER. Returns 0 with the answer appended to @p reply, or
 * -1 if the message is not answered. */
int cg_rates_handle(struct cg_rates *r, const struct cg_peer_msg *msg,
		    GByteArray *reply);

/**
 * Admits or refuses one request of account @p a, which must stay valid until
 * the result is known (the caller holds its configuration). After WAIT, @p w
 * belongs to the controller until its function has been called.
 */
enum cg_rate_result cg_rates_admit(struct cg_rates *r,
				   const struct cg_account *a,
				   struct cg_rate_waiter *w);

/**
 * Describes an account for an operator: rate, this daemon's holding, the
 * coordinator, the last answer, refusals, and the ledger if this daemon is the
 * coordinator. The caller owns the result (json_object_put).
 */
struct json_object *cg_rates_status(struct cg_rates *r, const char *account);

#endif
