/**
 * @file rates.h
 * Admission by rate and burst over the whole fleet (docs/design.md 7).
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
	CG_RATE_REFUSED, /**< Over the account's rate. */
	CG_RATE_UNAVAILABLE, /**< No holding, and the coordinator is away. */
	CG_RATE_WAIT, /**< The waiter's function will be called. */
};

/** A request that waits for a grant; embedded in the request. */
struct cg_rate_waiter {
	struct cds_list_head node;
	/** Runs exactly once, on any thread, with a result but WAIT. */
	void (*done)(struct cg_rate_waiter *w, enum cg_rate_result result);
	cg_ms until; /**< Set by cg_rates_admit. */
};

struct cg_rates *cg_rates_new(const struct cg_settings *s, struct cg_clock *clk,
			      struct cg_peer *peer, struct cg_members *members,
			      struct cg_shards *shards, struct cg_docs *docs);
int cg_rates_start(struct cg_rates *r);
/**
 * Returns holdings to the coordinators, hands the ledgers of shards over that
 * the shard map in use gives to another instance, then stops. To leave without
 * a survey by the next owner, change the map first.
 */
void cg_rates_stop(struct cg_rates *r);
void cg_rates_free(struct cg_rates *r);

/** Handles RATE_ASK, RATE_RETURN, RATE_SURVEY and SHARD_HANDOVER. */
int cg_rates_handle(struct cg_rates *r, const struct cg_peer_msg *msg,
		    GByteArray *reply);

/**
 * Takes one request's worth from @p a, which stays valid until the result is
 * known (the caller holds its configuration). With WAIT, @p w belongs to the
 * rates until its function has been called.
 */
enum cg_rate_result cg_rates_admit(struct cg_rates *r,
				   const struct cg_account *a,
				   struct cg_rate_waiter *w);

/**
 * Explains an account for an operator: rate, this daemon's holding, the
 * coordinator, the last answer, refusals, and the ledger if this daemon is the
 * coordinator. The caller owns the result (json_object_put).
 */
struct json_object *cg_rates_status(struct cg_rates *r, const char *account);

#endif
