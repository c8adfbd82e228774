#define CG_PART "broker"
#include "broker_internal.h"

#include "celeryglade/counters.h"

/* Share of the retry budget that the domains use themselves; the rest is for
 * requests that cross domains. */
#define BUDGET_SHARE 0.85
/* Used part of the budget from which on only requests get a part that can
 * probably meet their deadline. */
#define BUDGET_LOW 0.5

static void remove_older(GArray *times, cg_ms oldest)
{
	guint n = 0;

	while (n < times->len && g_array_index(times, cg_ms, n) < oldest)
		n++;
	if (n)
		g_array_remove_range(times, 0, n);
}

/* Returns the retries that are allowed in the window. The budget of the whole
 * fleet is retry_ratio times the first attempts of the last retry_window_ms, plus
 * retry_slack. Each domain counts its own first attempts and retries, has an
 * equal share of the slack, and uses BUDGET_SHARE of the result. */
static double allowed_retries(struct cgw_broker *b, struct cgw_service *s,
			      cg_ms now)
{
	double allowed;

	remove_older(s->retries, now - b->settings.retry_window_ms);
	remove_older(s->first_attempts, now - b->settings.retry_window_ms);
	allowed = BUDGET_SHARE *
		  (b->settings.retry_ratio * s->first_attempts->len +
		   (double)b->settings.retry_slack / b->settings.domains);
	/* Another broker of this domain uses the rest. */
	return allowed * b->share;
}

bool cgw_service_take_retry(struct cgw_broker *b, struct cgw_service *s,
			    double reserve, cg_ms now)
{
	double allowed = allowed_retries(b, s, now) * (1 - reserve);

	if (s->retries->len + 1 > allowed)
		return false;
	g_array_append_val(s->retries, now);
	return true;
}

void cgw_service_refund_retry(struct cgw_service *s, cg_ms at)
{
	/* Exactly this entry: if a later one were removed, an earlier one would
	 * expire in its place, and more than the budget would be sent. */
	for (guint i = s->retries->len; i > 0; i--) {
		if (g_array_index(s->retries, cg_ms, i - 1) != at)
			continue;
		g_array_remove_index(s->retries, i - 1);
		return;
	}
}

/* Returns the part of the budget that is reserved for more urgent kinds. */
static double reserve_for_others(const struct cgw_broker *b,
				 struct cgw_service *s,
				 const struct cgw_slot_request *request)
{
	struct cgw_admission_share own = { .priority = request->priority };
	guint n = g_hash_table_size(s->kind_shares);
	const struct cgw_admission_share **kinds =
		g_new(const struct cgw_admission_share *, n + 1);
	GHashTableIter it;
	gpointer value;
	double reserve;
	guint i = 0;

	g_hash_table_iter_init(&it, s->kind_shares);
	while (g_hash_table_iter_next(&it, NULL, &value))
		kinds[i++] = value;
	reserve = cgw_admission_budget_reserve(&own, kinds, n,
					       b->settings.retry_ratio);
	g_free(kinds);
	return reserve;
}

static bool take_for(struct cgw_broker *b, struct cgw_service *s,
		     const struct cgw_slot_request *request, cg_ms now)
{
	return cgw_service_take_retry(b, s, reserve_for_others(b, s, request),
				      now);
}

static cg_ms expected_work(struct cgw_broker *b,
			   const struct cgw_slot_request *request)
{
	cg_ms typical, overdue;

	cgw_route_latency_estimate(b, request->route, request->objective_ms,
				   &typical, &overdue);
	return typical;
}

static void refuse(struct cgw_broker *b, struct cgw_service *s,
		   const struct cgw_slot_request *request, cg_ms room,
		   cg_ms now)
{
	cg_count(CG_COUNTER_BUDGET_REFUSED);
	cgw_broker_refuse(b, request, CG_REASON_SERVER_SHED,
			  cgw_admission_retry_after((double)room,
						    request->deadline - now,
						    g_random_double()),
			  now);
}

/* Returns the time until the budget allows a request that @p before others
 * precede, if no further first attempts arrive: enough retries have left the
 * window by then. */
static cg_ms refill_time(struct cgw_broker *b, struct cgw_service *s,
			 const struct cgw_slot_request *request,
			 unsigned int before, cg_ms now)
{
	double allowed = allowed_retries(b, s, now) *
			 (1 - reserve_for_others(b, s, request));
	double excess = s->retries->len + before + 1 - allowed;
	guint i = excess > 0 ? (guint)excess : 0;

	if (excess <= 0)
		return 0;
	if (i < excess)
		i++;
	if (i > s->retries->len)
		return b->settings.retry_window_ms;
	return g_array_index(s->retries, cg_ms, i - 1) +
	       b->settings.retry_window_ms - now + 1;
}

static struct cgw_waiter *find_deferred(struct cgw_service *s, bool most_urgent,
					cg_ms now)
{
	struct cgw_waiter *found = NULL, *w;

	cds_list_for_each_entry(w, &s->deferred, node)
		if (!found ||
		    cgw_admission_precedes(&w->urgency, &found->urgency, now) ==
			    most_urgent)
			found = w;
	return found;
}

static void defer(struct cgw_broker *b, struct cgw_service *s,
		  const struct cgw_slot_request *request, cg_ms now)
{
	struct cgw_waiter *w = g_new0(struct cgw_waiter, 1), *o, *last;
	unsigned int before = 0;
	cg_ms wait;

	w->key = cgw_grant_key(request->daemon, request->id);
	w->request = *request;
	w->since = now;
	w->service = s;
	w->deferred = true;
	cgw_waiter_set_urgency(b, w, now);
	cds_list_for_each_entry(o, &s->deferred, node)
		before += cgw_admission_precedes(&o->urgency, &w->urgency, now);
	wait = refill_time(b, s, request, before, now);
	last = find_deferred(s, false, now);
	if (!cgw_admission_meets_deadline(&w->urgency, wait, now) ||
	    (s->deferred_count >= cgw_broker_queue_limit(
					  cgw_service_healthy_slots(s, now)) &&
	     !cgw_admission_precedes(&w->urgency, &last->urgency, now))) {
		g_free(w->key);
		g_free(w);
		refuse(b, s, request, wait, now);
		return;
	}
	if (s->deferred_count >=
	    cgw_broker_queue_limit(cgw_service_healthy_slots(s, now))) {
		struct cgw_slot_request evicted = last->request;

		cgw_waiter_end(b, last);
		refuse(b, s, &evicted, wait, now);
	}
	cg_count(CG_COUNTER_BUDGET_DEFERRED);
	cgw_waiter_join_shares(w);
	cds_list_add_tail(&w->node, &s->deferred);
	s->deferred_count++;
	g_hash_table_insert(b->waiters, w->key, w);
}

bool cgw_broker_take_or_defer(struct cgw_broker *b, struct cgw_service *s,
			      const struct cgw_slot_request *request, cg_ms now)
{
	double used = s->retries->len / MAX(1.0, allowed_retries(b, s, now));

	if (used >= BUDGET_LOW &&
	    now + expected_work(b, request) > request->deadline) {
		refuse(b, s, request, 0, now);
		return false;
	}
	if (!s->deferred_count && take_for(b, s, request, now))
		return true;
	defer(b, s, request, now);
	/* It may precede those that wait. */
	cgw_broker_retry_deferred(b, s, now);
	return false;
}

void cgw_broker_retry_deferred(struct cgw_broker *b, struct cgw_service *s,
			       cg_ms now)
{
	struct cgw_waiter *w, *next;

	cds_list_for_each_entry_safe(w, next, &s->deferred, node) {
		struct cgw_slot_request request = w->request;

		if (cgw_admission_meets_deadline(&w->urgency, 0, now))
			continue;
		cgw_waiter_end(b, w);
		refuse(b, s, &request, 0, now);
	}
	while ((w = find_deferred(s, true, now)) &&
	       take_for(b, s, &w->request, now)) {
		struct cgw_slot_request request = w->request;

		cgw_waiter_end(b, w);
		request.charged = true;
		cgw_broker_place(b, s, &request, now, now);
	}
}
