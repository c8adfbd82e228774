/**
 * @file trust.h
 * Decides whether this daemon may accept keys. A daemon that neither has fresh
 * evidence from the store nor is in contact with a majority of the fleet might
 * miss a revocation, so it refuses all keys. The decision performs no I/O.
 */
#ifndef CELERYGLADE_INTERNAL_TRUST_H
#define CELERYGLADE_INTERNAL_TRUST_H

#include "internal/docs.h"
#include "internal/members.h"

enum cg_trust_state {
	CG_TRUST_FRESH, /**< The store was read recently by some daemon. */
	CG_TRUST_MAJORITY, /**< More than half of the members were seen. */
	CG_TRUST_STALE, /**< Neither within key_isolation_ms: refuse keys. */
};

/**
 * Decides at time @p now. @p fresh_at is the time of the latest evidence that
 * the root was read from the store, @p majority_at the latest time since which
 * more than half of the members were seen; -CG_MS_NEVER means never. Each kind
 * of evidence is valid for @p isolation_ms.
 */
enum cg_trust_state cg_trust_decide(cg_ms fresh_at, cg_ms majority_at,
				    cg_ms isolation_ms, cg_ms now);

/** Returns the name of the state as a static string. */
const char *cg_trust_state_name(enum cg_trust_state s);

/** Decides for this daemon at the present time. Thread-safe. */
enum cg_trust_state cg_trust_state(const struct cg_settings *s,
				   struct cg_clock *clk, struct cg_docs *docs,
				   struct cg_members *members);

/** Whether this daemon accepts keys. Thread-safe. */
bool cg_trust_accepts_keys(const struct cg_settings *s, struct cg_clock *clk,
			   struct cg_docs *docs, struct cg_members *members);

/** Returns the decision as JSON for celerygladectl. The caller owns the
 * result. */
struct json_object *cg_trust_status(const struct cg_settings *s,
				    struct cg_clock *clk, struct cg_docs *docs,
				    struct cg_members *members);

#endif
