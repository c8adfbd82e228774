/* Read access to the ejection state: verdicts, explanations and capacity. */
#include "ejection_internal.h"

#include <math.h>
#include <string.h>

size_t cg_ejection_verdicts(const struct cg_ejection *e, cg_ms now,
			    struct cg_verdict *out, size_t max)
{
	size_t n = 0;

	for (size_t i = 0; i < e->n && n < max; i++) {
		const struct server_entry *s = &e->list[i];

		if (s->phase == CG_SERVER_IN_SERVICE)
			continue;
		out[n++] = (struct cg_verdict){
			.server = s->id,
			.phase = s->phase,
			.share = s->share,
			.any_method = s->any_method,
			.consecutive_ejections = s->consecutive_ejections,
			.remaining_ms = s->phase == CG_SERVER_EJECTED
						? MAX(s->until - now, 0)
						: 0,
		};
	}
	return n;
}

uint64_t cg_ejection_epoch(const struct cg_ejection *e)
{
	return e->epoch;
}

uint64_t cg_ejection_version(const struct cg_ejection *e)
{
	return e->version;
}

bool cg_ejection_needs_digests(const struct cg_ejection *e)
{
	for (size_t i = 0; i < e->n; i++) {
		const struct server_entry *s = &e->list[i];

		/* A denied ejection can last for hours. At the target size,
		 * digests every second for each of them would exceed a daemon's
		 * share of the network. */
		if (s->phase == CG_SERVER_IN_SERVICE &&
		    s->denial == CG_DENIAL_NONE &&
		    s->cusum.sum >= e->rules.threshold / 4)
			return true;
	}
	return false;
}

double cg_ejection_reference_ratio(const struct cg_ejection *e)
{
	return fmax(e->reference, CG_CUSUM_P0_MIN);
}

void cg_ejection_set_reference_ratio(struct cg_ejection *e, double p0)
{
	e->fleet_reference = p0;
}

static void explain_observers(const struct cg_ejection *e,
			      const struct cg_observers *observers,
			      struct cg_ejection_explanation *out)
{
	for (size_t i = 0; i < observers->n; i++) {
		const struct cg_observer *s = &observers->list[i];
		const struct reporter *r = g_hash_table_lookup(
			e->reporters, GUINT_TO_POINTER(s->daemon));

		g_strlcpy(out->observers[i].daemon, r ? r->name : "?",
			  sizeof(out->observers[i].daemon));
		g_strlcpy(out->observers[i].domain, r ? r->domain : "?",
			  sizeof(out->observers[i].domain));
		out->observers[i].bad = s->bad;
		out->observers[i].good = s->good;
	}
	out->observer_count = observers->n;
	cg_observers_count(observers, CG_CUSUM_P1_MIN / 2, &out->daemons,
			   &out->domains);
}

int cg_ejection_explain(const struct cg_ejection *e, uint32_t server, cg_ms now,
			struct cg_ejection_explanation *out)
{
	const struct server_entry *s = cg_ejection_find(e, server);

	if (!s)
		return -1;
	memset(out, 0, sizeof(*out));
	out->phase = s->phase;
	out->step = s->step;
	out->share = s->phase == CG_SERVER_IN_SERVICE ? 1000 : s->share;
	out->consecutive_ejections = s->consecutive_ejections;
	out->since = s->since;
	out->until = s->until;
	out->counts_as_out = s->unconfirmed;
	out->sum = s->cusum.sum;
	out->sum_at_ejection = s->sum_at_ejection;
	out->threshold = s->phase == CG_SERVER_TRIAL ? e->rules.trial_threshold
						     : e->rules.threshold;
	out->reference = s->p0;
	out->slow_limit = s->slow_limit;
	out->denial = s->denial;
	cg_ejection_required_support(e, &out->daemons_needed,
				     &out->domains_needed);
	explain_observers(e,
			  s->phase == CG_SERVER_IN_SERVICE
				  ? &s->observers
				  : &s->ejection_observers,
			  out);
	return 0;
}

void cg_ejection_capacity(const struct cg_ejection *e, cg_ms now,
			  struct cg_ejection_capacity *out)
{
	memset(out, 0, sizeof(*out));
	for (size_t i = 0; i < e->n; i++) {
		out->total += e->list[i].cfg.slots;
		if (server_available(&e->list[i]))
			out->available += e->list[i].cfg.slots;
	}
	out->floor = (uint32_t)(((uint64_t)out->total * e->floor_percent + 99) /
				100);
	out->reporters = e->active_daemons;
	out->denied_floor = e->denied_floor;
	out->denied_evidence = e->denied_evidence;
	out->ejections = e->ejections;
	out->reinstatements = e->reinstatements;
}

size_t cg_ejection_memory(const struct cg_ejection *e)
{
	return sizeof(*e) + e->n * sizeof(struct server_entry) +
	       g_hash_table_size(e->reporters) *
		       (sizeof(struct reporter) + 4 * sizeof(void *));
}
