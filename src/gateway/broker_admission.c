#define CG_PART "broker"
#include "broker_internal.h"

#include <math.h>
#include <string.h>

/* Slot requests that may wait for rate tokens after a takeover. */
#define TOKEN_WAITERS_MAX 256
/* Waiting requests per slot of the service: about three typical latencies. */
#define WAITING_PER_SLOT 3
#define WAITING_MIN	 8
/* Bounds of the Retry-After sent to refused callers. */
#define RETRY_AFTER_MIN_MS 300
#define RETRY_AFTER_MAX_MS 2000
/* Time constant of the decay of an account's server time. */
#define USAGE_TAU_MS 3000

/* Returns the account's recent server time in ms. It decays in steps of a tenth
 * of its time constant. */
double *cgw_broker_usage(struct cgw_broker *b, const char *account, cg_ms now)
{
	double *usage;

	if (now - b->usage_at > USAGE_TAU_MS / 10) {
		double factor =
			exp(-(double)(now - b->usage_at) / USAGE_TAU_MS);
		GHashTableIter it;
		gpointer value;
		double sum = 0;

		g_hash_table_iter_init(&it, b->usage);
		while (g_hash_table_iter_next(&it, NULL, &value)) {
			*(double *)value *= factor;
			sum += *(double *)value;
			if (*(double *)value < 1)
				g_hash_table_iter_remove(&it);
		}
		b->usage_at = now;
		b->usage_mean = sum / MAX(1U, g_hash_table_size(b->usage));
	}
	usage = g_hash_table_lookup(b->usage, account);
	if (!usage) {
		usage = g_new0(double, 1);
		g_hash_table_insert(b->usage, g_strdup(account), usage);
	}
	return usage;
}

void cgw_broker_refuse(struct cgw_broker *b,
		       const struct cgw_slot_request *request,
		       enum cg_reason reason, cg_ms retry_after, cg_ms now)
{
	struct cgw_slot_decision d = { .kind = CGW_DECISION_REFUSED,
				       .id = request->id };

	g_strlcpy(d.daemon, request->daemon, sizeof(d.daemon));
	d.u.refusal.reason = reason;
	d.u.refusal.retry_after_ms = retry_after;
	/* A request that does not run is not charged to the account. */
	if (reason != CG_REASON_RATE_EXCEEDED && request->charged &&
	    !request->cross_domain && !request->retry)
		cgw_quota_refund(b->quota, request->account, now);
	if (reason != CG_REASON_RATE_EXCEEDED && !request->cross_domain)
		cgw_service_record_outcome(
			cgw_broker_get_service(b, request->service), false,
			now);
	if (reason != CG_REASON_RATE_EXCEEDED)
		cgw_broker_record_refused(b, request);
	b->decide(b->arg, &d);
}

static cg_ms jitter_retry_after(double ms)
{
	/* Jitter keeps refused callers from retrying all at once. */
	ms *= 0.75 + 0.5 * g_random_double();
	return (cg_ms)CLAMP(ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

/* Returns the time until the first of the service's servers wants requests
 * again, or 0 if not all of those that stay want a rest. */
static cg_ms shortest_rest(const struct cgw_service *s, cg_ms now)
{
	cg_ms shortest = 0;

	for (guint i = 0; i < s->servers->len; i++) {
		const struct cgw_server *o = g_ptr_array_index(s->servers, i);

		if (o->facts.leaving)
			continue;
		if (o->rest_until <= now)
			return 0;
		if (!shortest || o->rest_until - now < shortest)
			shortest = o->rest_until - now;
	}
	return shortest;
}

/* Whether all servers want a rest for longer than it pays to wait. */
static bool rest_is_long(cg_ms shortest)
{
	return shortest > RETRY_AFTER_MIN_MS;
}

/* Callers come back spread over a while after the rest. */
static void refuse_during_rest(struct cgw_broker *b,
			       const struct cgw_slot_request *request,
			       cg_ms rest, cg_ms now)
{
	cgw_broker_refuse(b, request, CG_REASON_SERVER_RESTS,
			  rest + g_random_int_range(0, RETRY_AFTER_MIN_MS),
			  now);
}

unsigned int cgw_broker_queue_limit(int64_t slots)
{
	return (unsigned int)MAX(WAITING_MIN, WAITING_PER_SLOT * slots);
}

struct cgw_waiter *cgw_broker_add_waiter(struct cgw_broker *b,
					 struct cgw_service *s,
					 const struct cgw_slot_request *request,
					 cg_ms now)
{
	struct cgw_waiter *w = g_new0(struct cgw_waiter, 1);

	w->key = cgw_grant_key(request->daemon, request->id);
	w->request = *request;
	w->since = now;
	w->service = s;
	cds_list_add_tail(&w->node, &s->waiting);
	s->waiting_count++;
	g_hash_table_insert(b->waiters, w->key, w);
	return w;
}

static void queue_or_refuse(struct cgw_broker *b, struct cgw_service *s,
			    const struct cgw_slot_request *request,
			    cg_ms budget_at, cg_ms now)
{
	int64_t slots = cgw_service_healthy_slots(s, now);
	cg_ms typical, overdue, rest;
	double expected_wait;

	if (request->cross_domain) {
		cgw_broker_refuse(b, request, CG_REASON_NO_SERVER, 0, now);
		return;
	}
	if (!s->servers->len) {
		if (budget_at && b->by_urgency)
			cgw_service_refund_retry(s, budget_at);
		cgw_broker_refuse(b, request, CG_REASON_NO_SERVER,
				  RETRY_AFTER_MIN_MS, now);
		return;
	}
	rest = shortest_rest(s, now);
	if (rest_is_long(rest)) {
		if (budget_at && b->by_urgency)
			cgw_service_refund_retry(s, budget_at);
		refuse_during_rest(b, request, rest, now);
		return;
	}
	if (b->by_urgency) {
		cgw_broker_queue_by_urgency(b, s, request, budget_at, now);
		return;
	}
	cgw_route_latency_estimate(b, request->route, request->objective_ms,
				   &typical, &overdue);
	expected_wait = (double)typical * (s->waiting_count + 1) /
			(double)MAX(slots, 1);
	if (now + (cg_ms)expected_wait + typical > request->deadline ||
	    s->waiting_count >= cgw_broker_queue_limit(slots)) {
		cgw_broker_refuse(b, request, CG_REASON_QUEUE_FULL,
				  jitter_retry_after(expected_wait), now);
		return;
	}
	cgw_broker_add_waiter(b, s, request, now);
}

void cgw_broker_place(struct cgw_broker *b, struct cgw_service *s,
		      const struct cgw_slot_request *request, cg_ms budget_at,
		      cg_ms now)
{
	if (cgw_broker_grant_or_redirect(b, s, request, now))
		cgw_broker_record_admitted(b, request);
	else
		queue_or_refuse(b, s, request, budget_at, now);
}

void cgw_broker_remove_token_waiter(struct cgw_broker *b, const char *daemon,
				    uint64_t id)
{
	for (guint i = b->token_waiters->len; i > 0; i--) {
		struct cgw_slot_request *request = &g_array_index(
			b->token_waiters, struct cgw_slot_request, i - 1);

		if (request->id == id && !strcmp(request->daemon, daemon))
			g_array_remove_index(b->token_waiters, i - 1);
	}
}

/* Whether a request that found no token may wait for one. A broker that has
 * just taken over holds few tokens, so it would refuse requests that its
 * predecessor would have admitted. */
static bool may_wait_for_token(struct cgw_broker *b,
			       const struct cgw_slot_request *request,
			       cg_ms retry_after, cg_ms now)
{
	cg_ms typical, overdue;

	if (!cgw_quota_is_warming_up(b->quota, request->account, now) ||
	    b->token_waiters->len >= TOKEN_WAITERS_MAX)
		return false;
	cgw_route_latency_estimate(b, request->route, request->objective_ms,
				   &typical, &overdue);
	return now + retry_after + typical < request->deadline;
}

void cgw_broker_retry_token_waiters(struct cgw_broker *b, cg_ms now)
{
	GArray *requests = b->token_waiters;

	if (!requests->len)
		return;
	b->token_waiters =
		g_array_new(FALSE, FALSE, sizeof(struct cgw_slot_request));
	for (guint i = 0; i < requests->len; i++)
		cgw_broker_request_slot(
			b, &g_array_index(requests, struct cgw_slot_request, i),
			now);
	g_array_unref(requests);
}

void cgw_broker_request_slot(struct cgw_broker *b,
			     const struct cgw_slot_request *request, cg_ms now)
{
	struct cgw_slot_request copy = *request;
	struct cgw_service *s = cgw_broker_get_service(b, copy.service);
	char *key = cgw_grant_key(copy.daemon, copy.id);
	struct cgw_grant *g = g_hash_table_lookup(b->grants, key);
	bool waits = g_hash_table_contains(b->waiters, key);
	cg_ms retry_after = 0, budget_at = 0;

	g_free(key);
	if (g) {
		struct cgw_slot_decision d = g->decision;

		b->decide(b->arg, &d);
		return;
	}
	if (waits)
		return;
	if (!copy.retry && !copy.charged && !copy.cross_domain) {
		if (*copy.account && !cgw_quota_admit(b->quota, copy.account,
						      now, &retry_after)) {
			cgw_broker_remove_token_waiter(b, copy.daemon, copy.id);
			if (may_wait_for_token(b, &copy, retry_after, now)) {
				g_array_append_val(b->token_waiters, copy);
				return;
			}
			cgw_broker_refuse(b, &copy, CG_REASON_RATE_EXCEEDED,
					  retry_after, now);
			return;
		}
		copy.charged = true;
		g_array_append_val(s->first_attempts, now);
		if (b->by_urgency)
			cgw_service_record_arrival(s, &copy, now);
	} else if (copy.retry && !copy.charged && !copy.cross_domain) {
		if (b->by_urgency) {
			if (!cgw_broker_take_or_defer(b, s, &copy, now))
				return;
		} else if (!cgw_service_take_retry(b, s, 0, now)) {
			cgw_broker_refuse(
				b, &copy, CG_REASON_SERVER_SHED,
				jitter_retry_after(RETRY_AFTER_MAX_MS), now);
			return;
		}
		copy.charged = true;
		budget_at = now;
	}
	cgw_broker_place(b, s, &copy, budget_at, now);
}

bool cgw_broker_has_charged(const struct cgw_broker *b, const char *daemon,
			    uint64_t id)
{
	char *key = cgw_grant_key(daemon, id);
	const struct cgw_waiter *w = g_hash_table_lookup(b->waiters, key);

	g_free(key);
	return w && w->request.charged;
}

/* Whether @p a is granted before @p o: by priority, then by the lower recent
 * usage of the account, then by arrival. */
static bool precedes(struct cgw_broker *b, const struct cgw_waiter *a,
		     const struct cgw_waiter *o, cg_ms now)
{
	double usage_a, usage_o;

	if (a->request.priority != o->request.priority)
		return a->request.priority < o->request.priority;
	usage_a = *cgw_broker_usage(b, a->request.account, now);
	usage_o = *cgw_broker_usage(b, o->request.account, now);
	if (fabs(usage_a - usage_o) > 1)
		return usage_a < usage_o;
	return a->since < o->since;
}

/* Grants free slots to waiting requests. */
void cgw_broker_grant_waiting(struct cgw_broker *b, struct cgw_service *s,
			      cg_ms now)
{
	unsigned int tries = s->waiting_count;

	while (s->waiting_count && tries--) {
		struct cgw_waiter *best = NULL, *w;
		struct cgw_slot_request request;

		if (b->by_urgency)
			best = cgw_service_most_urgent(s, now);
		else
			cds_list_for_each_entry(w, &s->waiting, node)
				if (!best || precedes(b, w, best, now))
					best = w;
		if (!best)
			return;
		request = best->request;
		if (!cgw_broker_grant_or_redirect(b, s, &request, now))
			return;
		cgw_broker_record_admitted(b, &request);
		cgw_broker_end_granted_wait(b, best, now);
	}
}

/* Refuses the requests that wait for a service whose servers all want a rest. */
void cgw_broker_refuse_waiting_during_rest(struct cgw_broker *b,
					   struct cgw_service *s, cg_ms now)
{
	cg_ms rest = shortest_rest(s, now);
	struct cgw_waiter *w, *next;

	if (!rest_is_long(rest))
		return;
	cds_list_for_each_entry_safe(w, next, &s->waiting, node) {
		struct cgw_slot_request request = w->request;

		if (w->budget_at && b->by_urgency)
			cgw_service_refund_retry(s, w->budget_at);
		cgw_waiter_end(b, w);
		refuse_during_rest(b, &request, rest, now);
	}
}

void cgw_broker_refuse_expired(struct cgw_broker *b, struct cgw_service *s,
			       cg_ms now)
{
	struct cgw_waiter *w, *next;

	if (b->by_urgency) {
		cgw_broker_refuse_hopeless(b, s, now);
		return;
	}
	cds_list_for_each_entry_safe(w, next, &s->waiting, node) {
		struct cgw_slot_request request = w->request;
		cg_ms typical, overdue;

		cgw_route_latency_estimate(b, request.route,
					   request.objective_ms, &typical,
					   &overdue);
		if (now + typical < request.deadline)
			continue;
		cgw_waiter_end(b, w);
		cgw_broker_refuse(b, &request, CG_REASON_QUEUE_FULL,
				  jitter_retry_after(RETRY_AFTER_MIN_MS), now);
	}
}
