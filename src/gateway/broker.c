#define CG_PART "broker"
#include "broker_internal.h"

#include <math.h>
#include <string.h>

#include "internal/logging.h"

/* Slots left to the other domain's own requests. */
#define FREE_RESERVE 1
/* Grants outlive the caller's deadline by this, for a lost release. */
#define GRANT_GRACE_MS 1000
/* Asks that may wait for tokens after a takeover. */
#define WARMING_MAX 256
/* Requests that may wait, per slot of the service: about three usual times. */
#define WAITING_PER_SLOT 3
#define WAITING_LEAST	 8
/* Bounds of what a refused caller is told to wait. */
#define RETRY_AFTER_MIN_MS 300
#define RETRY_AFTER_MAX_MS 2000
/* A server back from an ejection is treated as others after this long, also for
 * unsafe requests: with the ejection's 1.8 s below the 4 s by which it must get
 * one, see the floor. 2,000 and 4,000 ms scored the same within noise. */
#define RETURN_MS 1000
/* Share of its slots that a server's oldest request counts for, when it has
 * taken twice the usual time. */
#define AGE_WEIGHT 0.6
/* Time constant of an account's used server time. */
#define USED_TAU_MS 3000
/* Part of the retry budget that the domains use, for requests that cross. */
#define BUDGET_PART 0.85

static void free_service(void *p)
{
	struct cgw_service *s = p;

	g_ptr_array_unref(s->servers);
	g_array_unref(s->firsts);
	g_array_unref(s->repeats);
	g_hash_table_unref(s->elsewhere);
	g_free(s->name);
	g_free(s);
}

static void free_grant(void *p)
{
	struct cgw_grant *g = p;

	g_free(g->key);
	g_free(g->daemon);
	g_free(g->route);
	g_free(g);
}

static void free_waiter(void *p)
{
	struct cgw_waiter *w = p;

	g_free(w->key);
	g_free(w);
}

struct cgw_broker *cgw_broker_new(const struct cgw_broker_settings *s,
				  cgw_slot_decision_fn decide, void *arg)
{
	struct cgw_broker *b = g_new0(struct cgw_broker, 1);

	b->settings = *s;
	if (!b->settings.domains)
		b->settings.domains = 1;
	b->decide = decide;
	b->arg = arg;
	b->part = 1;
	b->warming = g_array_new(FALSE, FALSE, sizeof(struct cgw_slot_request));
	b->quota = cgw_quota_new(s->domains);
	b->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_service);
	b->servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	b->usual =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	b->grants = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  free_grant);
	b->waiters = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   free_waiter);
	b->used =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return b;
}

void cgw_broker_free(struct cgw_broker *b)
{
	if (!b)
		return;
	g_hash_table_unref(b->waiters);
	g_hash_table_unref(b->grants);
	g_hash_table_unref(b->servers);
	g_hash_table_unref(b->services);
	g_array_unref(b->warming);
	g_hash_table_unref(b->usual);
	g_hash_table_unref(b->used);
	cgw_quota_free(b->quota);
	g_free(b);
}

struct cgw_quota *cgw_broker_quota(struct cgw_broker *b)
{
	return b->quota;
}

void cgw_broker_set_share(struct cgw_broker *b, double part)
{
	b->part = part;
	cgw_quota_set_broker_share(b->quota, part);
}

uint64_t cgw_broker_ejections(const struct cgw_broker *b)
{
	return b->ejections;
}

static struct cgw_service *service_of(struct cgw_broker *b, const char *name)
{
	struct cgw_service *s = g_hash_table_lookup(b->services, name);

	if (s)
		return s;
	s = g_new0(struct cgw_service, 1);
	s->name = g_strdup(name);
	s->servers = g_ptr_array_new();
	CDS_INIT_LIST_HEAD(&s->waiting);
	s->firsts = g_array_new(FALSE, FALSE, sizeof(cg_ms));
	s->repeats = g_array_new(FALSE, FALSE, sizeof(cg_ms));
	s->elsewhere =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(b->services, s->name, s);
	return s;
}

static char *make_key(const char *daemon, uint64_t id)
{
	return g_strdup_printf("%s/%" G_GUINT64_FORMAT, daemon, id);
}

static double *used_of(struct cgw_broker *b, const char *account, cg_ms now)
{
	double *used;

	if (now - b->used_at > USED_TAU_MS / 10) {
		double keep = exp(-(double)(now - b->used_at) / USED_TAU_MS);
		GHashTableIter it;
		gpointer value;

		g_hash_table_iter_init(&it, b->used);
		while (g_hash_table_iter_next(&it, NULL, &value)) {
			*(double *)value *= keep;
			if (*(double *)value < 1)
				g_hash_table_iter_remove(&it);
		}
		b->used_at = now;
	}
	used = g_hash_table_lookup(b->used, account);
	if (!used) {
		used = g_new0(double, 1);
		g_hash_table_insert(b->used, g_strdup(account), used);
	}
	return used;
}

static void end_grant(struct cgw_broker *b, struct cgw_grant *g)
{
	cds_list_del(&g->node);
	g->server->inflight--;
	g_hash_table_remove(b->grants, g->key);
}

static void end_waiter(struct cgw_broker *b, struct cgw_waiter *w)
{
	cds_list_del(&w->node);
	w->service->waiting_count--;
	g_hash_table_remove(b->waiters, w->key);
}

static bool avoids(const struct cgw_slot_request *a, const char *server)
{
	for (unsigned int i = 0; i < a->avoid_count; i++)
		if (!strcmp(a->avoid[i], server))
			return true;
	return false;
}

/* Load that the age of the oldest request in flight stands for: a server that
 * has not answered for longer than usual may hang, and others are free. */
static double age_load(struct cgw_server *s, cg_ms now)
{
	const struct cgw_grant *g;
	double usual;

	if (cds_list_empty(&s->grants))
		return 0;
	g = cds_list_first_entry(&s->grants, struct cgw_grant, node);
	usual = (double)MAX(1, g->verdict.u.grant.usual_ms);
	return AGE_WEIGHT *
	       CLAMP((double)(now - g->started) / usual - 1, 0.0, 2.0);
}

/* How far a server stands behind others. A server back from an ejection gets
 * requests that may run again elsewhere first, others little by little. */
static double load_of(struct cgw_server *s, const struct cgw_slot_request *a,
		      cg_ms now)
{
	double load = (double)s->inflight / (double)s->facts.slots;
	double back = (double)(now - s->returned_at) / RETURN_MS;
	bool may_repeat = a->safe && !a->retry;

	load += age_load(s, now);
	if (s->cold_until > now)
		load = 2 * load + 0.5;
	if (s->probation && may_repeat)
		load -= 1;
	else if (s->probation && back < 1)
		load += 1 + 2 * (1 - back);
	return load;
}

/* The best server that has room and at least the trust @p least. */
static struct cgw_server *pick(struct cgw_service *s,
			       const struct cgw_slot_request *a,
			       enum cgw_trust least, cg_ms now)
{
	struct cgw_server *best = NULL;
	enum cgw_trust best_trust = CGW_TRUST_EJECTED;

	for (guint i = 0; i < s->servers->len; i++) {
		struct cgw_server *o = g_ptr_array_index(s->servers, i);
		enum cgw_trust trust = cgw_server_trust(o, now);

		/* One request at a time shows whether the spell is over. */
		if (trust == CGW_TRUST_PROBATION)
			trust = CGW_TRUST_HEALTHY;
		if (trust > least || !cgw_server_has_room(o, now) ||
		    avoids(a, o->facts.id))
			continue;
		if (best && (trust > best_trust ||
			     (trust == best_trust &&
			      (load_of(o, a, now) > load_of(best, a, now) ||
			       (load_of(o, a, now) == load_of(best, a, now) &&
				o->granted_at >= best->granted_at)))))
			continue;
		best = o;
		best_trust = trust;
	}
	return best;
}

static struct cgw_grant *grant_new(const char *daemon, uint64_t id,
				   const char *route, struct cgw_server *s,
				   cg_ms usual, cg_ms overdue)
{
	struct cgw_grant *g = g_new0(struct cgw_grant, 1);
	struct cgw_slot_decision *v = &g->verdict;

	g->key = make_key(daemon, id);
	g->daemon = g_strdup(daemon);
	g->route = g_strdup(route);
	g->id = id;
	g->server = s;
	v->kind = CGW_DECISION_GRANTED;
	v->id = id;
	g_strlcpy(v->daemon, daemon, sizeof(v->daemon));
	g_strlcpy(v->u.grant.server, s->facts.id, sizeof(v->u.grant.server));
	g_strlcpy(v->u.grant.address, s->facts.address,
		  sizeof(v->u.grant.address));
	v->u.grant.usual_ms = usual;
	v->u.grant.overdue_ms = overdue;
	return g;
}

static void grant(struct cgw_broker *b, const struct cgw_slot_request *a,
		  struct cgw_server *s, cg_ms now)
{
	struct cgw_slot_decision copy;
	struct cgw_grant *g;
	cg_ms usual, overdue;

	cgw_usual_times(b, a->route, a->objective_ms, &usual, &overdue);
	if (s->cold_until > now)
		overdue *= 2;
	g = grant_new(a->daemon, a->id, a->route, s, usual, overdue);
	g->started = now;
	g->due = a->due;
	g->overdue_at = now + overdue;
	s->inflight++;
	s->granted_at = now;
	*used_of(b, a->account, now) += (double)usual;
	cds_list_add_tail(&g->node, &s->grants);
	g_hash_table_insert(b->grants, g->key, g);
	copy = g->verdict;
	b->decide(b->arg, &copy);
}

static void refuse(struct cgw_broker *b, const struct cgw_slot_request *a,
		   enum cg_reason reason, cg_ms retry_after, cg_ms now)
{
	struct cgw_slot_decision v = { .kind = CGW_DECISION_REFUSED,
				       .id = a->id };

	g_strlcpy(v.daemon, a->daemon, sizeof(v.daemon));
	v.u.refusal.reason = reason;
	v.u.refusal.retry_after_ms = retry_after;
	/* What does not run is not counted against the account's rate. */
	if (reason != CG_REASON_RATE_EXCEEDED && a->charged &&
	    !a->cross_domain && !a->retry)
		cgw_quota_refund(b->quota, a->account, now);
	b->decide(b->arg, &v);
}

/* Slots of servers that can be granted, sound ones only. */
static int64_t usable_slots(struct cgw_service *s, cg_ms now)
{
	int64_t n = 0;

	for (guint i = 0; i < s->servers->len; i++) {
		struct cgw_server *o = g_ptr_array_index(s->servers, i);

		if (!o->facts.leaving &&
		    cgw_server_trust(o, now) == CGW_TRUST_HEALTHY)
			n += o->facts.slots;
	}
	return n;
}

/* Sends an ask to the domain that told of the most free slots. A domain with
 * no usable server of its own asks even one that told of none: slots come free
 * more often than the domains tell each other. */
static bool send_elsewhere(struct cgw_broker *b, struct cgw_service *s,
			   const struct cgw_slot_request *a, cg_ms now)
{
	struct cgw_slot_decision v = { .kind = CGW_DECISION_REDIRECTED,
				       .id = a->id };
	bool helpless = !usable_slots(s, now);
	struct cgw_note *best = NULL;
	GHashTableIter it;
	gpointer key, value;

	if (a->cross_domain || a->no_redirect)
		return false;
	g_hash_table_iter_init(&it, s->elsewhere);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct cgw_note *n = value;

		if (now - n->at > CGW_NOTE_MS ||
		    (n->free_slots <= FREE_RESERVE && !helpless) ||
		    (best && best->free_slots >= n->free_slots))
			continue;
		best = n;
		g_strlcpy(v.u.domain, key, sizeof(v.u.domain));
	}
	if (!best)
		return false;
	best->free_slots--;
	g_strlcpy(v.daemon, a->daemon, sizeof(v.daemon));
	b->decide(b->arg, &v);
	return true;
}

/* Grants a slot or sends the request elsewhere. Returns whether it could. */
static bool place(struct cgw_broker *b, struct cgw_service *s,
		  const struct cgw_slot_request *a, cg_ms now)
{
	struct cgw_server *o = pick(s, a, CGW_TRUST_HEALTHY, now);

	if (!o && !a->cross_domain && send_elsewhere(b, s, a, now))
		return true;
	if (!o && !a->cross_domain)
		o = pick(s, a, CGW_TRUST_SUSPECT, now);
	if (!o)
		return false;
	grant(b, a, o, now);
	return true;
}

static void trim(GArray *times, cg_ms oldest)
{
	guint n = 0;

	while (n < times->len && g_array_index(times, cg_ms, n) < oldest)
		n++;
	if (n)
		g_array_remove_range(times, 0, n);
}

/* The budget is judged over the whole fleet; each domain uses its part. */
static bool take_budget(struct cgw_broker *b, struct cgw_service *s, cg_ms now)
{
	double allowed;

	trim(s->repeats, now - b->settings.retry_window_ms);
	trim(s->firsts, now - b->settings.retry_window_ms);
	allowed = BUDGET_PART *
		  (b->settings.retry_ratio * s->firsts->len +
		   (double)b->settings.retry_slack / b->settings.domains);
	if (s->repeats->len + 1 > allowed)
		return false;
	g_array_append_val(s->repeats, now);
	return true;
}

static cg_ms clamp_retry_after(double ms)
{
	/* Spread, so that refused callers do not return together. */
	ms *= 0.75 + 0.5 * g_random_double();
	return (cg_ms)CLAMP(ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

static void wait_or_refuse(struct cgw_broker *b, struct cgw_service *s,
			   const struct cgw_slot_request *a, cg_ms now)
{
	int64_t slots = usable_slots(s, now);
	struct cgw_waiter *w;
	cg_ms usual, overdue;
	double expected;

	if (a->cross_domain) {
		refuse(b, a, CG_REASON_NO_SERVER, 0, now);
		return;
	}
	if (!s->servers->len) {
		refuse(b, a, CG_REASON_NO_SERVER, RETRY_AFTER_MIN_MS, now);
		return;
	}
	cgw_usual_times(b, a->route, a->objective_ms, &usual, &overdue);
	expected =
		(double)usual * (s->waiting_count + 1) / (double)MAX(slots, 1);
	if (now + (cg_ms)expected + usual > a->due ||
	    s->waiting_count >= MAX(WAITING_LEAST, WAITING_PER_SLOT * slots)) {
		refuse(b, a, CG_REASON_QUEUE_FULL, clamp_retry_after(expected),
		       now);
		return;
	}
	w = g_new0(struct cgw_waiter, 1);
	w->key = make_key(a->daemon, a->id);
	w->ask = *a;
	w->since = now;
	w->service = s;
	cds_list_add_tail(&w->node, &s->waiting);
	s->waiting_count++;
	g_hash_table_insert(b->waiters, w->key, w);
}

static void drop_warming(struct cgw_broker *b, const char *daemon, uint64_t id)
{
	for (guint i = b->warming->len; i > 0; i--) {
		struct cgw_slot_request *a = &g_array_index(
			b->warming, struct cgw_slot_request, i - 1);

		if (a->id == id && !strcmp(a->daemon, daemon))
			g_array_remove_index(b->warming, i - 1);
	}
}

/* A broker that has just taken over lets requests beyond its few tokens wait
 * for the next ones, where the one before it would have admitted them. */
static bool may_warm(struct cgw_broker *b, const struct cgw_slot_request *a,
		     cg_ms retry_after, cg_ms now)
{
	cg_ms usual, overdue;

	if (!cgw_quota_is_warming_up(b->quota, a->account, now) ||
	    b->warming->len >= WARMING_MAX)
		return false;
	cgw_usual_times(b, a->route, a->objective_ms, &usual, &overdue);
	return now + retry_after + usual < a->due;
}

static void retry_warming(struct cgw_broker *b, cg_ms now)
{
	GArray *asks = b->warming;

	if (!asks->len)
		return;
	b->warming = g_array_new(FALSE, FALSE, sizeof(struct cgw_slot_request));
	for (guint i = 0; i < asks->len; i++)
		cgw_broker_request_slot(
			b, &g_array_index(asks, struct cgw_slot_request, i),
			now);
	g_array_unref(asks);
}

void cgw_broker_request_slot(struct cgw_broker *b,
			     const struct cgw_slot_request *ask, cg_ms now)
{
	struct cgw_slot_request a = *ask;
	struct cgw_service *s = service_of(b, a.service);
	char *key = make_key(a.daemon, a.id);
	struct cgw_grant *g = g_hash_table_lookup(b->grants, key);
	bool waits = g_hash_table_contains(b->waiters, key);
	cg_ms retry_after = 0;

	g_free(key);
	if (g) {
		struct cgw_slot_decision v = g->verdict;

		b->decide(b->arg, &v);
		return;
	}
	if (waits)
		return;
	if (!a.retry && !a.charged && !a.cross_domain) {
		if (*a.account &&
		    !cgw_quota_admit(b->quota, a.account, now, &retry_after)) {
			drop_warming(b, a.daemon, a.id);
			if (may_warm(b, &a, retry_after, now)) {
				g_array_append_val(b->warming, a);
				return;
			}
			refuse(b, &a, CG_REASON_RATE_EXCEEDED, retry_after,
			       now);
			return;
		}
		a.charged = true;
		g_array_append_val(s->firsts, now);
	} else if (a.retry && !a.charged && !a.cross_domain) {
		if (!take_budget(b, s, now)) {
			refuse(b, &a, CG_REASON_SERVER_SHED,
			       clamp_retry_after(RETRY_AFTER_MAX_MS), now);
			return;
		}
		a.charged = true;
	}
	if (!place(b, s, &a, now))
		wait_or_refuse(b, s, &a, now);
}

/* Whether @p a is to be served before @p o: by priority, then the account that
 * has used less, then the one that came first. */
static bool goes_before(struct cgw_broker *b, const struct cgw_waiter *a,
			const struct cgw_waiter *o, cg_ms now)
{
	double used_a, used_o;

	if (a->ask.priority != o->ask.priority)
		return a->ask.priority < o->ask.priority;
	used_a = *used_of(b, a->ask.account, now);
	used_o = *used_of(b, o->ask.account, now);
	if (fabs(used_a - used_o) > 1)
		return used_a < used_o;
	return a->since < o->since;
}

/* Gives free slots to those who wait. */
static void serve_waiting(struct cgw_broker *b, struct cgw_service *s,
			  cg_ms now)
{
	unsigned int tries = s->waiting_count;

	while (s->waiting_count && tries--) {
		struct cgw_waiter *best = NULL, *w;
		struct cgw_slot_request a;

		cds_list_for_each_entry(w, &s->waiting, node)
			if (!best || goes_before(b, w, best, now))
				best = w;
		if (!best)
			return;
		a = best->ask;
		if (!place(b, s, &a, now))
			return;
		end_waiter(b, best);
	}
}

void cgw_broker_release(struct cgw_broker *b, const char *daemon, uint64_t id,
			enum cgw_result result, cg_ms elapsed, cg_ms now)
{
	char *key = make_key(daemon, id);
	struct cgw_grant *g = g_hash_table_lookup(b->grants, key);
	struct cgw_waiter *w = g_hash_table_lookup(b->waiters, key);
	struct cgw_service *s;

	g_free(key);
	drop_warming(b, daemon, id);
	if (w)
		end_waiter(b, w);
	if (!g)
		return;
	s = g->server->service;
	if (result == CGW_RESULT_SERVED)
		cgw_usual_note(b, g->route, elapsed);
	cgw_server_note(b, g, result, elapsed, now);
	end_grant(b, g);
	serve_waiting(b, s, now);
}

static void hold(struct cgw_broker *b, const char *daemon,
		 const struct cgw_held_slot *h, cg_ms now)
{
	struct cgw_server *s = g_hash_table_lookup(b->servers, h->server);
	struct cgw_grant *g;
	cg_ms usual, overdue;

	if (!s)
		return;
	cgw_usual_times(b, h->route, h->remaining, &usual, &overdue);
	g = grant_new(daemon, h->id, h->route, s, usual, overdue);
	g->started = now - h->age;
	g->due = now + h->remaining;
	g->overdue_at = MAX(g->started + overdue, now + usual);
	s->inflight++;
	cds_list_add_tail(&g->node, &s->grants);
	g_hash_table_insert(b->grants, g->key, g);
}

void cgw_broker_reconcile(struct cgw_broker *b, const char *daemon,
			  const struct cgw_held_slot *holds, size_t n,
			  cg_ms settle, cg_ms now)
{
	GHashTableIter it;
	gpointer value;
	GPtrArray *ended = g_ptr_array_new();

	g_hash_table_iter_init(&it, b->grants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_grant *g = value;
		bool held = false;

		if (strcmp(g->daemon, daemon) != 0 || now - g->started < settle)
			continue;
		for (size_t i = 0; i < n && !held; i++)
			held = holds[i].id == g->id;
		if (!held)
			g_ptr_array_add(ended, g);
	}
	for (guint i = 0; i < ended->len; i++) {
		struct cgw_grant *g = g_ptr_array_index(ended, i);

		cgw_broker_release(b, daemon, g->id, CGW_RESULT_UNUSED, 0, now);
	}
	g_ptr_array_unref(ended);
	for (size_t i = 0; i < n; i++) {
		char *key = make_key(daemon, holds[i].id);
		struct cgw_waiter *w = g_hash_table_lookup(b->waiters, key);

		/* Another broker has granted what waits here. */
		if (w)
			end_waiter(b, w);
		if (!g_hash_table_contains(b->grants, key))
			hold(b, daemon, &holds[i], now);
		g_free(key);
	}
}

void cgw_broker_remove_daemon(struct cgw_broker *b, const char *daemon,
			      cg_ms now)
{
	GHashTableIter it;
	gpointer value;
	GPtrArray *gone = g_ptr_array_new();

	g_hash_table_iter_init(&it, b->waiters);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_waiter *w = value;

		if (!strcmp(w->ask.daemon, daemon))
			g_ptr_array_add(gone, w);
	}
	for (guint i = 0; i < gone->len; i++)
		end_waiter(b, g_ptr_array_index(gone, i));
	g_ptr_array_unref(gone);
	for (guint i = b->warming->len; i > 0; i--)
		if (!strcmp(g_array_index(b->warming, struct cgw_slot_request,
					  i - 1)
				    .daemon,
			    daemon))
			g_array_remove_index(b->warming, i - 1);
	cgw_broker_reconcile(b, daemon, NULL, 0, 0, now);
}

/* A server that left or that began anew: what was in flight there is lost. */
static void reset_server(struct cgw_broker *b, struct cgw_server *s)
{
	struct cgw_grant *g, *next;

	cds_list_for_each_entry_safe(g, next, &s->grants, node)
		end_grant(b, g);
	s->inflight = 0;
	s->overdue = 0;
	s->suspicion = 0;
	s->probation = false;
	s->ejected_until = 0;
	s->full_until = 0;
}

static void update_server(struct cgw_broker *b,
			  const struct cgw_server_facts *f, cg_ms now)
{
	struct cgw_server *s = g_hash_table_lookup(b->servers, f->id);
	struct cgw_service *service = service_of(b, f->service);

	if (!s) {
		s = g_new0(struct cgw_server, 1);
		CDS_INIT_LIST_HEAD(&s->grants);
		s->facts = *f;
		s->service = service;
		g_hash_table_insert(b->servers, s->facts.id, s);
		g_ptr_array_add(service->servers, s);
	} else if (s->service != service) {
		g_ptr_array_remove(s->service->servers, s);
		g_ptr_array_add(service->servers, s);
		s->service = service;
		reset_server(b, s);
	} else if (s->facts.started_wall_ms != f->started_wall_ms ||
		   strcmp(s->facts.address, f->address) != 0) {
		reset_server(b, s);
	}
	s->facts = *f;
	s->facts.slots = MAX(1, f->slots);
	s->cold_until =
		f->warmup_remaining_ms > 0 ? now + f->warmup_remaining_ms : 0;
	s->listed = true;
}

void cgw_broker_set_servers(struct cgw_broker *b,
			    const struct cgw_server_facts *servers, size_t n,
			    cg_ms now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, b->servers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct cgw_server *)value)->listed = false;
	g_hash_table_iter_init(&it, b->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct cgw_service *)value)->fleet_servers = 0;
	for (size_t i = 0; i < n; i++) {
		service_of(b, servers[i].service)->fleet_servers +=
			!servers[i].leaving;
		if (!strcmp(servers[i].domain, b->settings.domain))
			update_server(b, &servers[i], now);
	}
	g_hash_table_iter_init(&it, b->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_server *s = value;

		if (s->listed)
			continue;
		reset_server(b, s);
		g_ptr_array_remove(s->service->servers, s);
		g_hash_table_iter_remove(&it);
	}
	g_hash_table_iter_init(&it, b->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		serve_waiting(b, value, now);
}

static void refuse_late(struct cgw_broker *b, struct cgw_service *s, cg_ms now)
{
	struct cgw_waiter *w, *next;

	cds_list_for_each_entry_safe(w, next, &s->waiting, node) {
		struct cgw_slot_request a = w->ask;
		cg_ms usual, overdue;

		cgw_usual_times(b, a.route, a.objective_ms, &usual, &overdue);
		if (now + usual < a.due)
			continue;
		end_waiter(b, w);
		refuse(b, &a, CG_REASON_QUEUE_FULL,
		       clamp_retry_after(RETRY_AFTER_MIN_MS), now);
	}
}

void cgw_broker_tick(struct cgw_broker *b, cg_ms now)
{
	GHashTableIter it;
	gpointer value;
	GPtrArray *late = g_ptr_array_new();

	g_hash_table_iter_init(&it, b->grants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_grant *g = value;

		cgw_server_age(b, g, now);
		if (now > g->due + GRANT_GRACE_MS)
			g_ptr_array_add(late, g);
	}
	for (guint i = 0; i < late->len; i++) {
		struct cgw_grant *g = g_ptr_array_index(late, i);

		cgw_broker_release(b, g->daemon, g->id, CGW_RESULT_HUNG, 0,
				   now);
	}
	g_ptr_array_unref(late);
	retry_warming(b, now);
	g_hash_table_iter_init(&it, b->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		cgw_service_keep_floor(b, value, now);
		serve_waiting(b, value, now);
		refuse_late(b, value, now);
	}
}

bool cgw_broker_busy(const struct cgw_broker *b)
{
	return g_hash_table_size(b->grants) || g_hash_table_size(b->waiters) ||
	       b->warming->len;
}

static int64_t free_slots(struct cgw_service *s, cg_ms now)
{
	int64_t n = 0;

	for (guint i = 0; i < s->servers->len; i++) {
		struct cgw_server *o = g_ptr_array_index(s->servers, i);

		if (cgw_server_trust(o, now) == CGW_TRUST_HEALTHY &&
		    cgw_server_has_room(o, now))
			n += o->facts.slots - o->inflight;
	}
	return n - (int64_t)s->waiting_count;
}

int64_t cgw_broker_free_slots(struct cgw_broker *b, const char *service,
			      cg_ms now)
{
	struct cgw_service *s = g_hash_table_lookup(b->services, service);

	return s ? free_slots(s, now) : 0;
}

void cgw_broker_record_domain_state(struct cgw_broker *b, const char *domain,
				    const struct cgw_service_state *state,
				    cg_ms now)
{
	struct cgw_service *s = service_of(b, state->service);
	struct cgw_note *note = g_hash_table_lookup(s->elsewhere, domain);

	if (!note) {
		note = g_new0(struct cgw_note, 1);
		g_hash_table_insert(s->elsewhere, g_strdup(domain), note);
	}
	note->free_slots = state->free_slots;
	note->ejected = state->ejected;
	note->at = now;
}

void cgw_broker_each_service(struct cgw_broker *b, cg_ms now,
			     void (*visit)(void *arg,
					   const struct cgw_service_state *),
			     void *arg)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, b->services);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct cgw_service_state state = {
			.service = key,
			.free_slots = free_slots(value, now),
			.ejected = cgw_service_ejected(value, now),
		};

		visit(arg, &state);
	}
}

int cgw_broker_trust(struct cgw_broker *b, const char *server, cg_ms now)
{
	struct cgw_server *s = g_hash_table_lookup(b->servers, server);

	return s ? (int)cgw_server_trust(s, now) : -1;
}
