/**
 * @file trust.h
 * Whether this daemon may accept keys (docs/design.md 5). The decision performs
 * no I/O.
 */
#ifndef CELERYGLADE_INTERNAL_TRUST_H
#define CELERYGLADE_INTERNAL_TRUST_H

#include "internal/docs.h"
#include "internal/members.h"

enum cg_trust_state {
	CG_TRUST_FRESH, /**< The store was read recently by some daemon. */
	CG_TRUST_MAJORITY, /**< More than half of the members are heard. */
	CG_TRUST_STALE, /**< Neither for key_isolation_ms: refuse keys. */
};

/**
 * Decides at @p now. @p fresh_at is the time of the youngest evidence that the
 * root was read from the store, @p majority_at the time by which more than half
 * of the members had been heard; -CG_MS_NEVER stands for never. Each kind of
 * evidence lasts for @p isolation_ms.
 */
enum cg_trust_state cg_trust_decide(cg_ms fresh_at, cg_ms majority_at,
				    cg_ms isolation_ms, cg_ms now);

/** Returns the fixed name; the string is static. */
const char *cg_trust_state_name(enum cg_trust_state s);

/** Decides for this daemon. Safe for any thread. */
enum cg_trust_state cg_trust_state(const struct cg_settings *s,
				   struct cg_clock *clk, struct cg_docs *docs,
				   struct cg_members *members);

/** Whether keys are accepted. Safe for any thread. */
bool cg_trust_accepts_keys(const struct cg_settings *s, struct cg_clock *clk,
			   struct cg_docs *docs, struct cg_members *members);

/** Describes the decision for the operator's tool. The caller owns it. */
struct json_object *cg_trust_status(const struct cg_settings *s,
				    struct cg_clock *clk, struct cg_docs *docs,
				    struct cg_members *members);

#endif
