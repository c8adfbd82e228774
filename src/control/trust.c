#include "internal/trust.h"

#include <stdlib.h>

static bool is_recent(cg_ms at, cg_ms isolation_ms, cg_ms now)
{
	return at != -CG_MS_NEVER && now - at <= isolation_ms;
}

enum cg_trust_state cg_trust_decide(cg_ms fresh_at, cg_ms majority_at,
				    cg_ms isolation_ms, cg_ms now)
{
	if (is_recent(fresh_at, isolation_ms, now))
		return CG_TRUST_FRESH;
	if (is_recent(majority_at, isolation_ms, now))
		return CG_TRUST_MAJORITY;
	return CG_TRUST_STALE;
}

const char *cg_trust_state_name(enum cg_trust_state s)
{
	switch (s) {
	case CG_TRUST_FRESH:
		return "fresh";
	case CG_TRUST_MAJORITY:
		return "majority";
	case CG_TRUST_STALE:
		return "stale";
	}
	abort();
}

enum cg_trust_state cg_trust_state(const struct cg_settings *s,
				   struct cg_clock *clk, struct cg_docs *docs,
				   struct cg_members *members)
{
	cg_ms now = cg_clock_now(clk);
	cg_ms fresh_at = cg_docs_fresh_at(docs);

	/* Computing the majority sorts all members, so it is done only if the
	 * evidence from the store, which is cheap, is not recent enough. */
	if (is_recent(fresh_at, s->key_isolation_ms, now))
		return CG_TRUST_FRESH;
	return cg_trust_decide(fresh_at, cg_members_majority_seen_at(members),
			       s->key_isolation_ms, now);
}

bool cg_trust_accepts_keys(const struct cg_settings *s, struct cg_clock *clk,
			   struct cg_docs *docs, struct cg_members *members)
{
	return cg_trust_state(s, clk, docs, members) != CG_TRUST_STALE;
}

static void add_age(struct json_object *o, const char *name, cg_ms at,
		    cg_ms now)
{
	if (at != -CG_MS_NEVER)
		json_object_object_add(o, name,
				       json_object_new_int64(now - at));
}

struct json_object *cg_trust_status(const struct cg_settings *s,
				    struct cg_clock *clk, struct cg_docs *docs,
				    struct cg_members *members)
{
	struct json_object *o = json_object_new_object();
	cg_ms now = cg_clock_now(clk);
	enum cg_trust_state st = cg_trust_state(s, clk, docs, members);

	json_object_object_add(o, "state",
			       json_object_new_string(cg_trust_state_name(st)));
	add_age(o, "fresh_age_ms", cg_docs_fresh_at(docs), now);
	add_age(o, "majority_age_ms", cg_members_majority_seen_at(members),
		now);
	return o;
}
