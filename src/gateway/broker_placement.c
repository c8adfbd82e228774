#define CG_PART "broker"
#include "broker_internal.h"

#include <string.h>

/* Free slots of another domain that are reserved for its own requests. */
#define RESERVED_FREE_SLOTS 1
/* A readmitted server is treated like the others after this long, also for
 * requests that are not idempotent. Ejection (1.8 s) and ramp together stay
 * below the 4 s within which such a server must get a request: from then on its
 * absence counts against the floor. */
#define READMISSION_RAMP_MS 1000
/* Load, as a share of the server's slots, that the oldest request adds when it
 * has taken twice its typical latency. */
#define AGE_WEIGHT 0.6
/* Load that a server adds which certainly fails, for requests that must not be
 * sent again. All others may show whether it does. */
#define FAILING_WEIGHT 2.0

/* Load that a cold server adds whose requests are limited: warm ones come first.
 * Above the sum of all others. */
#define COLD_LOAD 100.0

static bool excludes(const struct cgw_slot_request *request, const char *server)
{
	for (unsigned int i = 0; i < request->avoid_count; i++)
		if (!strcmp(request->avoid[i], server))
			return true;
	return false;
}

/* Returns the load that is added for the age of the oldest request in flight. A
 * server that has not answered for longer than its typical latency may hang, so
 * others are preferred before the request is overdue. */
static double age_load(struct cgw_server *s, cg_ms now)
{
	const struct cgw_grant *g;
	double typical;

	if (cds_list_empty(&s->grants))
		return 0;
	g = cds_list_first_entry(&s->grants, struct cgw_grant, node);
	typical = (double)MAX(1, g->decision.u.grant.typical_latency_ms);
	return AGE_WEIGHT *
	       CLAMP((double)(now - g->started_at) / typical - 1, 0.0, 2.0);
}

/* Returns the load by which servers are ranked; the lowest is chosen first. A
 * readmitted server is preferred for requests that can be retried on another
 * server; its penalty for all other requests falls over the ramp. */
static double rank_load(struct cgw_server *s,
			const struct cgw_slot_request *request, cg_ms now)
{
	double load = (double)s->inflight / (double)s->facts.slots;
	double ramp = (double)(now - s->readmitted_at) / READMISSION_RAMP_MS;
	bool may_retry = request->idempotent && !request->retry;

	load += age_load(s, now);
	if (s->warmup_until > now)
		load = 2 * load + 0.5;
	if (cgw_server_is_limited(s, now))
		load += COLD_LOAD;
	if (cgw_server_is_due(s, may_retry, now))
		load -= 1;
	if (!may_retry && !s->probation)
		load += FAILING_WEIGHT * cgw_server_failing_share(s, now);
	if (s->probation && may_retry)
		load -= 1;
	else if (s->probation && ramp < 1)
		load += 1 + 2 * (1 - ramp);
	return load;
}

/* Returns the least loaded server with a free slot among the most trusted ones,
 * or NULL. Servers less trusted than @p min_trust are not used. */
static struct cgw_server *pick_server(struct cgw_service *s,
				      const struct cgw_slot_request *request,
				      enum cgw_trust min_trust, cg_ms now)
{
	struct cgw_server *best = NULL;
	enum cgw_trust best_trust = CGW_TRUST_EJECTED;

	for (guint i = 0; i < s->servers->len; i++) {
		struct cgw_server *o = g_ptr_array_index(s->servers, i);
		enum cgw_trust trust = cgw_server_trust(o, now);

		/* Probation counts as healthy here: one request at a time
		 * shows whether the failure episode is over. */
		if (trust == CGW_TRUST_PROBATION ||
		    (trust == CGW_TRUST_SUSPECT &&
		     cgw_server_is_due(
			     o, request->idempotent && !request->retry, now)))
			trust = CGW_TRUST_HEALTHY;
		if (trust > min_trust || !cgw_server_has_room(o, now) ||
		    excludes(request, o->facts.id))
			continue;
		if (best && (trust > best_trust ||
			     (trust == best_trust &&
			      (rank_load(o, request, now) >
				       rank_load(best, request, now) ||
			       (rank_load(o, request, now) ==
					rank_load(best, request, now) &&
				o->last_granted_at >= best->last_granted_at)))))
			continue;
		best = o;
		best_trust = trust;
	}
	return best;
}

struct cgw_grant *cgw_grant_new(const char *daemon, uint64_t id,
				const char *route, struct cgw_server *s,
				cg_ms typical, cg_ms overdue)
{
	struct cgw_grant *g = g_new0(struct cgw_grant, 1);
	struct cgw_slot_decision *d = &g->decision;

	g->key = cgw_grant_key(daemon, id);
	g->daemon = g_strdup(daemon);
	g->route = g_strdup(route);
	g->id = id;
	g->server = s;
	d->kind = CGW_DECISION_GRANTED;
	d->id = id;
	g_strlcpy(d->daemon, daemon, sizeof(d->daemon));
	g_strlcpy(d->u.grant.server, s->facts.id, sizeof(d->u.grant.server));
	g_strlcpy(d->u.grant.address, s->facts.address,
		  sizeof(d->u.grant.address));
	d->u.grant.typical_latency_ms = typical;
	d->u.grant.overdue_ms = overdue;
	d->u.grant.started_wall_ms = s->facts.started_wall_ms;
	return g;
}

static void grant_slot(struct cgw_broker *b,
		       const struct cgw_slot_request *request,
		       struct cgw_server *s, cg_ms now)
{
	struct cgw_slot_decision copy;
	struct cgw_grant *g;
	cg_ms typical, overdue;

	cgw_route_latency_estimate(b, request->route, request->objective_ms,
				   &typical, &overdue);
	if (s->warmup_until > now)
		overdue *= 2;
	g = cgw_grant_new(request->daemon, request->id, request->route, s,
			  typical, overdue);
	g->started_at = now;
	g->deadline = request->deadline;
	g->may_retry = request->idempotent && !request->retry;
	g->overdue_at = now + overdue;
	s->inflight++;
	s->last_granted_at = now;
	cgw_warmup_take(&s->service->warmup, &s->warmup, now);
	*cgw_broker_usage(b, request->account, now) += (double)typical;
	cds_list_add_tail(&g->node, &s->grants);
	g_hash_table_insert(b->grants, g->key, g);
	copy = g->decision;
	b->decide(b->arg, &copy);
}

/* Counts the slots of healthy servers, free or not. */
int64_t cgw_service_healthy_slots(struct cgw_service *s, cg_ms now)
{
	int64_t n = 0;

	for (guint i = 0; i < s->servers->len; i++) {
		struct cgw_server *o = g_ptr_array_index(s->servers, i);

		if (!o->facts.leaving && o->rest_until <= now &&
		    cgw_server_trust(o, now) == CGW_TRUST_HEALTHY)
			n += o->facts.slots;
	}
	return n;
}

/* Redirects a slot request to the domain that reported the most free slots, if
 * these are more than the slots reserved for its own requests. A domain without
 * a healthy server uses even a domain that reported none, since slots are
 * released more often than the domains send reports. Returns whether the
 * request was redirected; a request is redirected at most once. */
bool cgw_broker_redirect(struct cgw_broker *b, struct cgw_service *s,
			 const struct cgw_slot_request *request, cg_ms now)
{
	struct cgw_slot_decision d = { .kind = CGW_DECISION_REDIRECTED,
				       .id = request->id };
	bool no_healthy_slot =
		b->evacuated || !cgw_service_healthy_slots(s, now);
	struct cgw_domain_report *best = NULL;
	GHashTableIter it;
	gpointer key, value;

	if (request->cross_domain || request->no_redirect)
		return false;
	g_hash_table_iter_init(&it, s->domain_reports);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct cgw_domain_report *n = value;

		if (now - n->received_at > CGW_DOMAIN_REPORT_VALID_MS ||
		    cgw_broker_other_is_evacuated(b, key, now) ||
		    (n->free_slots <= RESERVED_FREE_SLOTS &&
		     !no_healthy_slot) ||
		    (best && best->free_slots >= n->free_slots))
			continue;
		best = n;
		g_strlcpy(d.u.domain, key, sizeof(d.u.domain));
	}
	if (!best)
		return false;
	best->free_slots--;
	g_strlcpy(d.daemon, request->daemon, sizeof(d.daemon));
	b->decide(b->arg, &d);
	return true;
}

/* Grants a slot or redirects the request. Returns whether it did either. */
bool cgw_broker_grant_or_redirect(struct cgw_broker *b, struct cgw_service *s,
				  const struct cgw_slot_request *request,
				  cg_ms now)
{
	bool closed = cgw_broker_is_closed(b, now);
	struct cgw_server *o =
		closed ? NULL : pick_server(s, request, CGW_TRUST_HEALTHY, now);

	if (!o && !closed)
		cgw_service_count_withheld(s, now);
	if (!o && !request->cross_domain &&
	    cgw_broker_redirect(b, s, request, now))
		return true;
	if (!o && !closed && !request->cross_domain)
		o = pick_server(s, request, CGW_TRUST_SUSPECT, now);
	if (!o)
		return false;
	grant_slot(b, request, o, now);
	return true;
}
