#define CG_PART "broker"
#include "broker_internal.h"

#include <string.h>

#include "internal/logging.h"

/* A request that was granted this long ago may still be counted by its server in
 * the present second. */
#define HELD_COUNTS_MS 1500

void cgw_broker_record_notice(struct cgw_broker *b, const char *server,
			      int64_t started_wall_ms,
			      const struct cgw_server_notice *said, cg_ms now)
{
	struct cgw_server *s = g_hash_table_lookup(b->servers, server);

	if (!s || s->facts.started_wall_ms != started_wall_ms)
		return;
	if (said->leaving && !s->said_leaving) {
		s->said_leaving = true;
		s->facts.leaving = true;
		cg_info("server %s of service %s says that it leaves: it gets "
			"no new requests, %d in flight",
			server, s->service->name, (int)s->inflight);
	}
	if (said->rest_ms <= 0)
		return;
	if (s->rest_until <= now)
		cg_info("server %s of service %s wants no requests for %d ms",
			server, s->service->name, (int)said->rest_ms);
	s->rest_until = MAX(s->rest_until, now + said->rest_ms);
	s->probation = true;
	cgw_broker_refuse_waiting_during_rest(b, s->service, now);
}

static void add_held_slot(struct cgw_broker *b, const char *daemon,
			  const struct cgw_held_slot *h, cg_ms now)
{
	struct cgw_server *s = g_hash_table_lookup(b->servers, h->server);
	/* What else daemons know of the request is not reported. */
	struct cgw_slot_request request = { .objective_ms = h->remaining };
	struct cgw_grant *g;
	cg_ms typical, overdue;

	if (!s)
		return;
	/* Daemons do not report the route's objective; the remaining time
	 * replaces it. */
	cgw_route_latency_estimate(b, h->route, h->remaining, &typical,
				   &overdue);
	g = cgw_grant_new(daemon, h->id, h->route, s, typical, overdue);
	g->started_at = now - h->age;
	g->deadline = now + h->remaining;
	g->overdue_at = MAX(g->started_at + overdue, now + typical);
	g_strlcpy(request.route, h->route, sizeof(request.route));
	cgw_grant_estimate_work(b, g, &request, now);
	s->inflight++;
	if (h->age < HELD_COUNTS_MS)
		cgw_warmup_take(&s->service->warmup, &s->warmup, now);
	cds_list_add_tail(&g->node, &s->grants);
	g_hash_table_insert(b->grants, g->key, g);
}

void cgw_broker_reconcile(struct cgw_broker *b, const char *daemon,
			  const struct cgw_held_slot *slots, size_t n,
			  cg_ms grace_ms, cg_ms now)
{
	GHashTableIter it;
	gpointer value;
	GPtrArray *ended = g_ptr_array_new();

	g_hash_table_iter_init(&it, b->grants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_grant *g = value;
		bool held = false;

		if (strcmp(g->daemon, daemon) != 0 ||
		    now - g->started_at < grace_ms)
			continue;
		for (size_t i = 0; i < n && !held; i++)
			held = slots[i].id == g->id;
		if (!held)
			g_ptr_array_add(ended, g);
	}
	for (guint i = 0; i < ended->len; i++) {
		struct cgw_grant *g = g_ptr_array_index(ended, i);

		cgw_broker_release(b, daemon, g->id, CGW_RESULT_UNUSED, 0, now);
	}
	g_ptr_array_unref(ended);
	for (size_t i = 0; i < n; i++) {
		char *key = cgw_grant_key(daemon, slots[i].id);
		struct cgw_waiter *w = g_hash_table_lookup(b->waiters, key);

		/* Another broker has granted the request that waits here. */
		if (w)
			cgw_waiter_end(b, w);
		if (!g_hash_table_contains(b->grants, key))
			add_held_slot(b, daemon, &slots[i], now);
		g_free(key);
	}
}

void cgw_broker_remove_daemon(struct cgw_broker *b, const char *daemon,
			      cg_ms now)
{
	GHashTableIter it;
	gpointer value;
	GPtrArray *withdrawn = g_ptr_array_new();

	g_hash_table_iter_init(&it, b->waiters);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_waiter *w = value;

		if (!strcmp(w->request.daemon, daemon))
			g_ptr_array_add(withdrawn, w);
	}
	for (guint i = 0; i < withdrawn->len; i++)
		cgw_waiter_end(b, g_ptr_array_index(withdrawn, i));
	g_ptr_array_unref(withdrawn);
	for (guint i = b->token_waiters->len; i > 0; i--)
		if (!strcmp(g_array_index(b->token_waiters,
					  struct cgw_slot_request, i - 1)
				    .daemon,
			    daemon))
			g_array_remove_index(b->token_waiters, i - 1);
	cgw_broker_reconcile(b, daemon, NULL, 0, 0, now);
}

/* Resets a server that left or restarted. Its grants end, since its requests in
 * flight are lost. */
static void reset_server(struct cgw_broker *b, struct cgw_server *s, cg_ms now)
{
	struct cgw_grant *g, *next;

	cds_list_for_each_entry_safe(g, next, &s->grants, node)
		cgw_grant_end(b, g);
	s->inflight = 0;
	s->overdue = 0;
	s->suspicion = 0;
	memset(&s->run, 0, sizeof(s->run));
	s->run_since = 0;
	s->episode_since = 0;
	s->probation = false;
	s->ejected_until = 0;
	s->full_until = 0;
	s->rest_until = 0;
	s->said_leaving = false;
	memset(&s->speed, 0, sizeof(s->speed));
	s->assumed_cold_until = 0;
	cgw_warmup_start(&s->warmup, now);
}

/* Sets the speed that the former broker has learnt. */
static void set_former_speed(struct cgw_broker *b, struct cgw_server *s)
{
	const struct cgw_work_speed *speed =
		g_hash_table_lookup(b->former_speeds, s->facts.id);

	if (!speed)
		return;
	s->speed = *speed;
	g_hash_table_remove(b->former_speeds, s->facts.id);
}

static void update_server(struct cgw_broker *b,
			  const struct cgw_server_facts *f, cg_ms now)
{
	struct cgw_server *s = g_hash_table_lookup(b->servers, f->id);
	struct cgw_service *service = cgw_broker_get_service(b, f->service);

	if (!s) {
		s = g_new0(struct cgw_server, 1);
		CDS_INIT_LIST_HEAD(&s->grants);
		s->facts = *f;
		s->service = service;
		cgw_warmup_start(&s->warmup, now);
		g_hash_table_insert(b->servers, s->facts.id, s);
		g_ptr_array_add(service->servers, s);
		set_former_speed(b, s);
	} else if (s->service != service) {
		g_ptr_array_remove(s->service->servers, s);
		g_ptr_array_add(service->servers, s);
		s->service = service;
		reset_server(b, s, now);
	} else if (s->facts.started_wall_ms != f->started_wall_ms ||
		   strcmp(s->facts.address, f->address) != 0) {
		reset_server(b, s, now);
	}
	if (f->leaving && !s->facts.leaving)
		cg_info("server %s of service %s leaves: it gets no new "
			"requests, %d in flight",
			f->id, f->service, (int)s->inflight);
	s->facts = *f;
	s->facts.slots = MAX(1, f->slots);
	s->facts.leaving |= s->said_leaving;
	s->warmup_until =
		f->warmup_remaining_ms > 0 ? now + f->warmup_remaining_ms : 0;
	s->listed = true;
}

static void clear_counts(struct cgw_service *s)
{
	s->fleet_servers = 0;
	g_hash_table_remove_all(s->domain_servers);
}

static void count_server(struct cgw_broker *b, const struct cgw_server_facts *f)
{
	struct cgw_service *s = cgw_broker_get_service(b, f->service);
	int n = GPOINTER_TO_INT(
		g_hash_table_lookup(s->domain_servers, f->domain));

	if (f->leaving)
		return;
	s->fleet_servers++;
	g_hash_table_replace(s->domain_servers, g_strdup(f->domain),
			     GINT_TO_POINTER(n + 1));
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
		clear_counts(value);
	for (size_t i = 0; i < n; i++) {
		count_server(b, &servers[i]);
		if (!strcmp(servers[i].domain, b->settings.domain))
			update_server(b, &servers[i], now);
	}
	g_hash_table_iter_init(&it, b->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_server *s = value;

		if (s->listed)
			continue;
		cg_info("server %s of service %s is listed no more, %d requests "
			"in flight",
			s->facts.id, s->service->name, (int)s->inflight);
		reset_server(b, s, now);
		g_ptr_array_remove(s->service->servers, s);
		g_hash_table_iter_remove(&it);
	}
	g_hash_table_iter_init(&it, b->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		cgw_broker_grant_waiting(b, value, now);
}
