#define CG_PART "broker"
#include "broker_internal.h"

#include <string.h>

#include "celeryglade/counters.h"
#include "internal/logging.h"

#define SHARE_DECAY_STEP_MS 300
#define EVICTIONS_LOG_MS    1000

/* The expected time of a request on a server. */
static cg_ms expected_work(struct cgw_broker *b,
			   const struct cgw_slot_request *request)
{
	cg_ms typical, overdue;

	cgw_route_latency_estimate(b, request->route, request->objective_ms,
				   &typical, &overdue);
	return typical;
}

static struct cgw_admission_share *get_share(GHashTable *shares,
					     const char *name)
{
	struct cgw_admission_share *share = g_hash_table_lookup(shares, name);

	if (!share) {
		share = g_new0(struct cgw_admission_share, 1);
		g_hash_table_insert(shares, g_strdup(name), share);
	}
	return share;
}

static struct cgw_admission_share *
get_kind(struct cgw_service *s, const struct cgw_slot_request *request)
{
	struct cgw_admission_share *kind =
		get_share(s->kind_shares, request->route);

	/* The priority of an account may differ from that of the route: the
	 * last request counts. */
	kind->priority = request->priority;
	return kind;
}

static struct cgw_admission_share *
get_account(struct cgw_service *s, const struct cgw_slot_request *request)
{
	return *request->account
		       ? get_share(s->account_shares, request->account)
		       : NULL;
}

void cgw_service_record_arrival(struct cgw_service *s,
				const struct cgw_slot_request *request,
				cg_ms now)
{
	get_kind(s, request)->time_ms = request->deadline - now;
}

static void decay(GHashTable *shares, cg_ms elapsed)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, shares);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (cgw_admission_share_decay(value, elapsed))
			g_hash_table_iter_remove(&it);
}

static void decay_shares(struct cgw_service *s, cg_ms now)
{
	cg_ms elapsed = now - s->shares_at;

	if (elapsed < SHARE_DECAY_STEP_MS)
		return;
	s->shares_at = now;
	cgw_admission_share_decay(&s->all_shares, elapsed);
	decay(s->kind_shares, elapsed);
	decay(s->account_shares, elapsed);
}

void cgw_broker_record_admitted(struct cgw_broker *b,
				const struct cgw_slot_request *request)
{
	struct cgw_service *s;
	struct cgw_admission_share *account;

	if (!b->by_urgency || request->cross_domain || request->retry ||
	    request->no_redirect)
		return;
	s = cgw_broker_get_service(b, request->service);
	account = get_account(s, request);
	cgw_admission_share_record(&s->all_shares, true);
	cgw_admission_share_record(get_kind(s, request), true);
	if (account)
		cgw_admission_share_record(account, true);
}

/* A request that was admitted before does not count as granted any more. */
static void record_refused(struct cgw_admission_share *share,
			   const struct cgw_slot_request *request)
{
	if (request->retry || request->no_redirect)
		share->granted = MAX(0, share->granted - 1);
	cgw_admission_share_record(share, false);
}

void cgw_broker_record_refused(struct cgw_broker *b,
			       const struct cgw_slot_request *request)
{
	struct cgw_service *s;
	struct cgw_admission_share *account;

	if (!b->by_urgency || request->cross_domain)
		return;
	s = cgw_broker_get_service(b, request->service);
	account = get_account(s, request);
	record_refused(&s->all_shares, request);
	record_refused(get_kind(s, request), request);
	if (account)
		record_refused(account, request);
}

static void update_usage_level(struct cgw_broker *b, struct cgw_waiter *w,
			       cg_ms now)
{
	w->urgency.usage_level = cgw_admission_usage_level(
		*cgw_broker_usage(b, w->request.account, now), b->usage_mean);
}

void cgw_waiter_set_urgency(struct cgw_broker *b, struct cgw_waiter *w,
			    cg_ms now)
{
	const struct cgw_slot_request *q = &w->request;
	struct cgw_service *s = w->service;

	w->urgency = (struct cgw_admission_request){
		.priority = q->priority,
		.since = w->since,
		.objective_at = MIN(w->since + q->objective_ms, q->deadline),
		.deadline = q->deadline,
		.work = expected_work(b, q),
		.idempotent = q->idempotent,
		.kind = get_kind(s, q),
		.account = get_account(s, q),
		.all = &s->all_shares,
	};
	update_usage_level(b, w, now);
}

static void count_waiter(struct cgw_admission_share *share, bool deferred,
			 int n)
{
	share->users += (unsigned int)n;
	if (!deferred)
		share->waiting += (unsigned int)n;
}

void cgw_waiter_join_shares(struct cgw_waiter *w)
{
	struct cgw_service *s = w->service;

	w->kind = get_kind(s, &w->request);
	w->account = get_account(s, &w->request);
	count_waiter(&s->all_shares, w->deferred, 1);
	count_waiter(w->kind, w->deferred, 1);
	if (w->account)
		count_waiter(w->account, w->deferred, 1);
}

void cgw_waiter_leave_shares(struct cgw_waiter *w)
{
	if (!w->kind)
		return;
	count_waiter(&w->service->all_shares, w->deferred, -1);
	count_waiter(w->kind, w->deferred, -1);
	if (w->account)
		count_waiter(w->account, w->deferred, -1);
}

void cgw_broker_set_admission_by_urgency(struct cgw_broker *b, bool by_urgency,
					 cg_ms now)
{
	GHashTableIter it;
	gpointer value;

	if (by_urgency == b->by_urgency)
		return;
	b->by_urgency = by_urgency;
	cg_info("admission by %s", by_urgency ? "urgency" : "arrival");
	g_hash_table_iter_init(&it, b->waiters);
	while (by_urgency && g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_waiter *w = value;

		cgw_waiter_set_urgency(b, w, now);
		if (!w->kind)
			cgw_waiter_join_shares(w);
	}
}

static void log_evictions(struct cgw_broker *b, cg_ms now)
{
	if (!b->evictions_unlogged ||
	    now - b->evictions_logged_at < EVICTIONS_LOG_MS)
		return;
	cg_info("%u waiting requests refused in the place of more urgent ones",
		b->evictions_unlogged);
	b->evictions_unlogged = 0;
	b->evictions_logged_at = now;
}

/* Refuses a request. @p room is the expected time until there is room for it. */
static void refuse(struct cgw_broker *b, struct cgw_service *s,
		   const struct cgw_slot_request *request, cg_ms budget_at,
		   double room, cg_ms now)
{
	if (budget_at)
		cgw_service_refund_retry(s, budget_at);
	cgw_broker_refuse(b, request, CG_REASON_QUEUE_FULL,
			  cgw_admission_retry_after(room,
						    request->deadline - now,
						    g_random_double()),
			  now);
}

static void refuse_waiter(struct cgw_broker *b, struct cgw_waiter *w,
			  double room, cg_ms now)
{
	struct cgw_slot_request request = w->request;
	struct cgw_service *s = w->service;
	cg_ms budget_at = w->budget_at;

	cgw_waiter_end(b, w);
	refuse(b, s, &request, budget_at, room, now);
}

struct cgw_waiter *cgw_service_most_urgent(struct cgw_service *s, cg_ms now)
{
	struct cgw_waiter *best = NULL, *w;

	cds_list_for_each_entry(w, &s->waiting, node)
		if (!best ||
		    cgw_admission_precedes(&w->urgency, &best->urgency, now))
			best = w;
	return best;
}

void cgw_broker_queue_by_urgency(struct cgw_broker *b, struct cgw_service *s,
				 const struct cgw_slot_request *request,
				 cg_ms budget_at, cg_ms now)
{
	int64_t slots = MAX(1, cgw_service_healthy_slots(s, now));
	struct cgw_waiter *last, *w, *o;
	double before = 0, all = 0;

	w = cgw_broker_add_waiter(b, s, request, now);
	w->budget_at = budget_at;
	cgw_waiter_set_urgency(b, w, now);
	cgw_waiter_join_shares(w);
	/* Of equal requests the last to arrive is refused. */
	last = w;
	cds_list_for_each_entry_reverse(o, &s->waiting, node)
	{
		if (cgw_admission_precedes(&last->urgency, &o->urgency, now))
			last = o;
		all += (double)o->urgency.work / (double)slots;
		if (o == w ||
		    cgw_admission_precedes(&o->urgency, &w->urgency, now))
			before += (double)o->urgency.work / (double)slots;
	}
	if (!cgw_admission_meets_deadline(&w->urgency, (cg_ms)before, now)) {
		cg_count(CG_COUNTER_ADMISSION_TOO_LATE);
		refuse_waiter(b, w, before, now);
		return;
	}
	if (s->waiting_count <= cgw_broker_queue_limit(slots))
		return;
	if (last == w) {
		cg_count(CG_COUNTER_ADMISSION_QUEUE_FULL);
	} else {
		cg_count(CG_COUNTER_ADMISSION_EVICTED);
		b->evictions_unlogged++;
		log_evictions(b, now);
	}
	refuse_waiter(b, last, all, now);
}

void cgw_broker_end_granted_wait(struct cgw_broker *b, struct cgw_waiter *w,
				 cg_ms now)
{
	struct cgw_service *s = w->service;

	if (b->by_urgency &&
	    (cgw_admission_is_starved(w->kind, &s->all_shares) ||
	     cgw_admission_is_starved(w->account, &s->all_shares)))
		cg_count(CG_COUNTER_ADMISSION_STARVED);
	/* The request reaches the server now, not when it took its part of the
	 * budget. */
	if (b->by_urgency && w->budget_at) {
		cgw_service_refund_retry(s, w->budget_at);
		g_array_append_val(s->retries, now);
	}
	cgw_waiter_end(b, w);
}

void cgw_broker_refuse_hopeless(struct cgw_broker *b, struct cgw_service *s,
				cg_ms now)
{
	size_t n = s->waiting_count, i = 0;
	const struct cgw_admission_request **order;
	struct cgw_waiter *w;
	bool *refused;
	int64_t slots;

	decay_shares(s, now);
	log_evictions(b, now);
	if (!n)
		return;
	slots = MAX(1, cgw_service_healthy_slots(s, now));
	order = g_new(const struct cgw_admission_request *, n);
	refused = g_new0(bool, n);
	cds_list_for_each_entry(w, &s->waiting, node) {
		update_usage_level(b, w, now);
		order[i++] = &w->urgency;
	}
	cgw_admission_plan(order, refused, n, (double)slots, now);
	for (i = 0; i < n; i++) {
		if (!refused[i])
			continue;
		w = caa_container_of(order[i], struct cgw_waiter, urgency);
		cg_count(CG_COUNTER_ADMISSION_OVERTAKEN);
		refuse_waiter(b, w, 0, now);
	}
	g_free(refused);
	g_free(order);
}
