#define CG_PART "broker"
#include "broker_internal.h"

#include <math.h>
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
/* Time that the requests in flight at a server add to that of another one there,
 * as a multiple of what remains of them per slot. 1 if a server has a processor
 * for each slot and 2 if it has one for two slots; placement does not know
 * which. */
#define CONTENTION 1.4
/* Probability of a failure episode at a server without suspicion, and share of
 * the requests that it hangs then. */
#define PRIOR_HANGING 0.05
#define HANG_SHARE    0.75
/* Cost of a request that hangs, in mean times of its route. It loses two to
 * three of them, but with 3 servers with old requests stayed idle: the median of
 * short requests beside long ones rose by 5 %. */
#define HANG_COST 1.0
/* Scores that differ by less than this share of the request's work are equal:
 * work varies more than that from one request to the next. */
#define NEAR_EQUAL_SHARE 0.1

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

/* Returns @load plus what is added for the trust in a server, and for a cold one
 * whose requests are limited. A readmitted server is preferred for requests that
 * can be retried on another server; its penalty for all other requests falls over
 * the ramp. */
static double add_trust_load(double load, struct cgw_server *s,
			     const struct cgw_slot_request *request, cg_ms now)
{
	double ramp = (double)(now - s->readmitted_at) / READMISSION_RAMP_MS;
	bool may_retry = request->idempotent && !request->retry;

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

/* Returns the load by which servers are ranked if placement is by requests in
 * flight; the lowest is chosen first. */
static double rank_load(struct cgw_server *s,
			const struct cgw_slot_request *request, cg_ms now)
{
	double load = (double)s->inflight / (double)s->facts.slots;

	load += age_load(s, now);
	if (s->warmup_until > now)
		load = 2 * load + 0.5;
	return add_trust_load(load, s, request, now);
}

/* What placement knows of the request itself. */
struct work {
	struct cgw_work_class class;
	double expected; /* ms */
	double route; /* ms, of its route: the unit of the other loads */
};

/* What the requests in flight at a server mean for another one. */
struct inflight {
	/* What remains of them, in ms of work. */
	double outstanding;
	/* The same, but of each no more than the work of the other request: both
	 * run side by side, so one that outlives the other delays it by no more
	 * than the other's own work. */
	double delaying;
	/* Probability, beyond that of any server, that their ages show a failure
	 * episode: a server in one hangs most of its requests, any other one
	 * answers them in the usual time. */
	double hanging;
};

/* Requests from before the placement changed have no estimate; @work.route
 * replaces it. */
static struct inflight sum_inflight(const struct cgw_broker *b,
				    const struct cgw_server *s, double slowness,
				    const struct work *work, cg_ms now)
{
	double odds = PRIOR_HANGING / (1 - PRIOR_HANGING);
	struct inflight sum = { 0 };
	const struct cgw_grant *g;

	cds_list_for_each_entry(g, &s->grants, node) {
		double age = fmax(0, (double)(now - g->started_at) / slowness);
		double remaining, usual;

		cgw_work_progress(b->work, &g->class,
				  g->work_ms > 0 ? g->work_ms : work->route,
				  age, &remaining, &usual);
		sum.outstanding += remaining;
		sum.delaying += fmin(remaining, work->expected);
		odds *= (HANG_SHARE + (1 - HANG_SHARE) * usual) / usual;
	}
	sum.hanging = odds / (1 + odds) - PRIOR_HANGING;
	return sum;
}

static void estimate_work(const struct cgw_broker *b,
			  const struct cgw_slot_request *request,
			  struct work *w, cg_ms now)
{
	struct cgw_work_traits t = {
		.route = request->route,
		.account = request->account,
		.method = request->method,
		.size_class = request->size_class,
		.shape = request->shape,
	};

	cgw_work_classify(&t, &w->class);
	w->expected = cgw_work_estimate(b->work, &w->class,
					request->objective_ms, now);
	w->route = cgw_work_route_estimate(b->work, &w->class,
					   request->objective_ms, now);
}

/* Fills in the times of a candidate, and the score by which candidates are
 * ranked. Loads that are no work count as if each were one request of the
 * route. */
static void score_by_finish(const struct cgw_broker *b, struct cgw_server *s,
			    const struct cgw_slot_request *request,
			    const struct work *w,
			    struct cgw_placement_candidate *c, cg_ms now)
{
	struct inflight inflight;
	double load, per_slot;

	c->slowness = cgw_work_slowness(&s->speed, &s->service->speed, now);
	inflight = sum_inflight(b, s, c->slowness, w, now);
	per_slot = c->slowness / (double)s->facts.slots;
	load = HANG_COST * inflight.hanging;
	c->outstanding_ms = inflight.outstanding * per_slot;
	c->finish_ms = w->expected * c->slowness +
		       CONTENTION * inflight.delaying * per_slot;
	if (s->warmup_until > now) {
		c->finish_ms *= 2;
		load = 2 * load + 0.5;
	}
	c->score =
		c->finish_ms + w->route * add_trust_load(load, s, request, now);
}

/* Returns why a server must not get the request, whatever its trust. */
static enum cgw_ineligible ineligible(struct cgw_server *s,
				      const struct cgw_slot_request *request,
				      enum cgw_trust trust, cg_ms now)
{
	if (trust == CGW_TRUST_EJECTED)
		return CGW_INELIGIBLE_EJECTED;
	if (!cgw_server_has_room(s, now))
		return s->facts.leaving	     ? CGW_INELIGIBLE_LEAVING
		       : s->rest_until > now ? CGW_INELIGIBLE_RESTS
		       : s->full_until > now ? CGW_INELIGIBLE_SHED
					     : CGW_INELIGIBLE_NO_SLOT;
	return excludes(request, s->facts.id) ? CGW_INELIGIBLE_EXCLUDED
					      : CGW_ELIGIBLE;
}

static void evaluate(const struct cgw_broker *b, struct cgw_server *s,
		     const struct cgw_slot_request *request,
		     const struct work *w, struct cgw_placement_candidate *c,
		     cg_ms now)
{
	c->trust = cgw_server_trust(s, now);
	c->rank_trust = c->trust;
	/* Probation counts as healthy here: one request at a time shows whether
	 * the failure episode is over. */
	if (c->trust == CGW_TRUST_PROBATION ||
	    (c->trust == CGW_TRUST_SUSPECT &&
	     cgw_server_is_due(s, request->idempotent && !request->retry, now)))
		c->rank_trust = CGW_TRUST_HEALTHY;
	c->reason = ineligible(s, request, c->trust, now);
	if (c->reason != CGW_ELIGIBLE && !*c->server)
		return;
	if (b->placement == CGW_PLACEMENT_EXPECTED_FINISH)
		score_by_finish(b, s, request, w, c, now);
	else
		c->score = rank_load(s, request, now);
}

/* Returns the best server with a free slot among the most trusted ones, or NULL.
 * Servers less trusted than @p min_trust are not used. Among those whose scores
 * differ by no more than the estimates are good for, the one that was granted
 * least recently is chosen. */
static struct cgw_server *pick_server(const struct cgw_broker *b,
				      const struct cgw_service *s,
				      const struct cgw_slot_request *request,
				      enum cgw_trust min_trust, cg_ms now)
{
	bool by_finish = b->placement == CGW_PLACEMENT_EXPECTED_FINISH;
	double *scores = g_newa(double, s->servers->len + 1);
	int *trusts = g_newa(int, s->servers->len + 1);
	int best_trust = CGW_TRUST_EJECTED;
	double best_score = 0, tolerance = 0;
	struct cgw_server *best = NULL;
	struct work w = { 0 };

	if (by_finish) {
		estimate_work(b, request, &w, now);
		tolerance = NEAR_EQUAL_SHARE * w.expected;
	}
	for (guint i = 0; i < s->servers->len; i++) {
		struct cgw_placement_candidate c = { 0 };

		evaluate(b, g_ptr_array_index(s->servers, i), request, &w, &c,
			 now);
		trusts[i] = CGW_TRUST_EJECTED;
		if (c.reason != CGW_ELIGIBLE || c.rank_trust > min_trust)
			continue;
		trusts[i] = (int)c.rank_trust;
		scores[i] = c.score;
		if (trusts[i] < best_trust ||
		    (trusts[i] == best_trust && c.score < best_score)) {
			best_trust = trusts[i];
			best_score = c.score;
		}
	}
	for (guint i = 0; i < s->servers->len; i++) {
		struct cgw_server *o = g_ptr_array_index(s->servers, i);

		if (best_trust == CGW_TRUST_EJECTED ||
		    trusts[i] != best_trust ||
		    scores[i] > best_score + tolerance ||
		    (best && o->last_granted_at >= best->last_granted_at))
			continue;
		best = o;
	}
	return best;
}

size_t cgw_broker_explain(struct cgw_broker *b,
			  const struct cgw_slot_request *request,
			  struct cgw_placement_candidate *out, size_t max,
			  cg_ms now)
{
	struct cgw_service *s =
		g_hash_table_lookup(b->services, request->service);
	struct cgw_server *chosen;
	struct work w = { 0 };
	size_t n = 0;

	if (!s)
		return 0;
	chosen = pick_server(b, s, request, CGW_TRUST_HEALTHY, now);
	if (!chosen)
		chosen = pick_server(b, s, request, CGW_TRUST_SUSPECT, now);
	estimate_work(b, request, &w, now);
	for (guint i = 0; i < s->servers->len && n < max; i++) {
		struct cgw_server *o = g_ptr_array_index(s->servers, i);
		struct cgw_placement_candidate *c = &out[n++];

		memset(c, 0, sizeof(*c));
		g_strlcpy(c->server, o->facts.id, sizeof(c->server));
		c->failing_share = cgw_server_failing_share(o, now);
		evaluate(b, o, request, &w, c, now);
		c->chosen = o == chosen;
	}
	return n;
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

void cgw_grant_estimate_work(struct cgw_broker *b, struct cgw_grant *g,
			     const struct cgw_slot_request *request, cg_ms now)
{
	struct work w;

	if (b->placement != CGW_PLACEMENT_EXPECTED_FINISH)
		return;
	estimate_work(b, request, &w, now);
	g->class = w.class;
	g->work_ms = w.expected;
	g->slowness = cgw_work_slowness(&g->server->speed,
					&g->server->service->speed, now);
}

void cgw_grant_record_work(struct cgw_broker *b, struct cgw_grant *g,
			   cg_ms elapsed, cg_ms now)
{
	if (g->work_ms <= 0)
		return;
	cgw_work_record(b->work, &g->class, g->work_ms,
			(double)elapsed / g->slowness, now);
	/* A request that was overdue says more of a failure than of speed. */
	if (!g->age_stage)
		cgw_work_speed_record(&g->server->speed,
				      &g->server->service->speed, g->work_ms,
				      (double)elapsed, now);
}

static void grant_slot(struct cgw_broker *b,
		       const struct cgw_slot_request *request,
		       struct cgw_server *s, cg_ms now)
{
	struct cgw_slot_decision copy;
	struct cgw_grant *g;
	cg_ms typical, overdue;

	cgw_request_latency_estimate(b, request, now, &typical, &overdue);
	if (s->warmup_until > now)
		overdue *= 2;
	g = cgw_grant_new(request->daemon, request->id, request->route, s,
			  typical, overdue);
	g->started_at = now;
	g->deadline = request->deadline;
	g->may_retry = request->idempotent && !request->retry;
	g->overdue_at = now + overdue;
	cgw_grant_estimate_work(b, g, request, now);
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
		closed ? NULL
		       : pick_server(b, s, request, CGW_TRUST_HEALTHY, now);

	if (!o && !closed)
		cgw_service_count_withheld(s, now);
	if (!o && !request->cross_domain &&
	    cgw_broker_redirect(b, s, request, now))
		return true;
	if (!o && !closed && !request->cross_domain)
		o = pick_server(b, s, request, CGW_TRUST_SUSPECT, now);
	if (!o)
		return false;
	grant_slot(b, request, o, now);
	return true;
}
