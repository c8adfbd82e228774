#define CG_PART "broker"
#include "broker_internal.h"

#include "internal/logging.h"

/* A grant whose release was lost ends this long after the caller's deadline. */
#define GRANT_GRACE_MS 1000

static void free_service(void *p)
{
	struct cgw_service *s = p;

	g_ptr_array_unref(s->servers);
	g_array_unref(s->first_attempts);
	g_array_unref(s->retries);
	g_hash_table_unref(s->domain_reports);
	g_hash_table_unref(s->kind_shares);
	g_hash_table_unref(s->account_shares);
	g_hash_table_unref(s->domain_servers);
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
	b->placement = s->placement == CGW_PLACEMENT_EXPECTED_FINISH
			       ? CGW_PLACEMENT_EXPECTED_FINISH
			       : CGW_PLACEMENT_LEAST_LOADED;
	b->work = cgw_work_model_new();
	b->former_speeds =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (!b->settings.domains)
		b->settings.domains = 1;
	b->decide = decide;
	b->arg = arg;
	b->share = 1;
	b->evacuation_known_until = CG_MS_NEVER;
	b->evacuated_domains =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	b->token_waiters =
		g_array_new(FALSE, FALSE, sizeof(struct cgw_slot_request));
	b->quota = cgw_quota_new(s->domains);
	b->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_service);
	b->servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	b->latencies =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	b->grants = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  free_grant);
	b->waiters = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   free_waiter);
	b->usage =
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
	g_array_unref(b->token_waiters);
	g_hash_table_unref(b->latencies);
	g_hash_table_unref(b->usage);
	g_hash_table_unref(b->evacuated_domains);
	cgw_quota_free(b->quota);
	cgw_work_model_free(b->work);
	g_hash_table_unref(b->former_speeds);
	g_free(b);
}

struct cgw_quota *cgw_broker_quota(struct cgw_broker *b)
{
	return b->quota;
}

void cgw_broker_configure(struct cgw_broker *b, const struct cgw_table *t,
			  cg_ms now)
{
	static const char *const names[] = {
		[CGW_PLACEMENT_AUTO] = "auto",
		[CGW_PLACEMENT_LEAST_LOADED] = "least_loaded",
		[CGW_PLACEMENT_EXPECTED_FINISH] = "expected_finish",
	};
	enum cgw_placement p = b->settings.placement;

	cgw_quota_configure(b->quota, t, now);
	if (p == CGW_PLACEMENT_AUTO)
		p = cgw_table_has_bulk_route(t) ? CGW_PLACEMENT_EXPECTED_FINISH
						: CGW_PLACEMENT_LEAST_LOADED;
	if (p == b->placement)
		return;
	cg_info("placement is %s from now on: setting %s, configuration "
		"version %" G_GUINT64_FORMAT,
		names[p], names[b->settings.placement], cgw_table_version(t));
	b->placement = p;
}

enum cgw_placement cgw_broker_placement(const struct cgw_broker *b)
{
	return b->placement;
}

uint64_t cgw_broker_ejections(const struct cgw_broker *b)
{
	return b->ejections;
}

struct cgw_service *cgw_broker_get_service(struct cgw_broker *b,
					   const char *name)
{
	struct cgw_service *s = g_hash_table_lookup(b->services, name);

	if (s)
		return s;
	s = g_new0(struct cgw_service, 1);
	s->name = g_strdup(name);
	s->servers = g_ptr_array_new();
	s->domain_servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	CDS_INIT_LIST_HEAD(&s->waiting);
	CDS_INIT_LIST_HEAD(&s->deferred);
	s->kind_shares =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->account_shares =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->first_attempts = g_array_new(FALSE, FALSE, sizeof(cg_ms));
	s->retries = g_array_new(FALSE, FALSE, sizeof(cg_ms));
	s->domain_reports =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(b->services, s->name, s);
	return s;
}

char *cgw_grant_key(const char *daemon, uint64_t id)
{
	return g_strdup_printf("%s/%" G_GUINT64_FORMAT, daemon, id);
}

void cgw_grant_end(struct cgw_broker *b, struct cgw_grant *g)
{
	cds_list_del(&g->node);
	g->server->inflight--;
	g_hash_table_remove(b->grants, g->key);
}

void cgw_waiter_end(struct cgw_broker *b, struct cgw_waiter *w)
{
	cds_list_del(&w->node);
	if (w->deferred)
		w->service->deferred_count--;
	else
		w->service->waiting_count--;
	cgw_waiter_leave_shares(w);
	g_hash_table_remove(b->waiters, w->key);
}

/* Records whether a request was served. A failed attempt at one that may be
 * sent again is not the request's outcome yet. */
static void record_outcome(const struct cgw_grant *g, enum cgw_result result,
			   cg_ms now)
{
	switch (result) {
	case CGW_RESULT_SERVED:
		cgw_service_record_outcome(g->server->service, true, now);
		return;
	case CGW_RESULT_ERROR:
	case CGW_RESULT_LOST:
	case CGW_RESULT_HUNG:
		if (!g->may_retry)
			cgw_service_record_outcome(g->server->service, false,
						   now);
		return;
	case CGW_RESULT_SHED:
	case CGW_RESULT_UNREACHED:
	case CGW_RESULT_MISPLACED:
	case CGW_RESULT_DROPPED:
	case CGW_RESULT_UNUSED:
	case CGW_RESULT_COUNT:
		return;
	}
}

void cgw_broker_release(struct cgw_broker *b, const char *daemon, uint64_t id,
			enum cgw_result result, cg_ms elapsed, cg_ms now)
{
	char *key = cgw_grant_key(daemon, id);
	struct cgw_grant *g = g_hash_table_lookup(b->grants, key);
	struct cgw_waiter *w = g_hash_table_lookup(b->waiters, key);
	struct cgw_service *s;

	g_free(key);
	cgw_broker_remove_token_waiter(b, daemon, id);
	if (w)
		cgw_waiter_end(b, w);
	if (!g)
		return;
	s = g->server->service;
	if (result == CGW_RESULT_SERVED) {
		cgw_route_latency_record(b, g->route, elapsed);
		cgw_grant_record_work(b, g, elapsed, now);
	}
	cgw_server_record_result(b, g, result, elapsed, now);
	record_outcome(g, result, now);
	/* Not sent, or rejected because the server is another process. */
	if (result == CGW_RESULT_MISPLACED || result == CGW_RESULT_UNUSED)
		cgw_warmup_return(&s->warmup, &g->server->warmup, now);
	cgw_grant_end(b, g);
	cgw_broker_grant_waiting(b, s, now);
}

void cgw_broker_tick(struct cgw_broker *b, cg_ms now)
{
	GHashTableIter it;
	gpointer value;
	GPtrArray *expired = g_ptr_array_new();

	g_hash_table_iter_init(&it, b->grants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_grant *g = value;

		cgw_server_check_age(b, g, now);
		if (now > g->deadline + GRANT_GRACE_MS)
			g_ptr_array_add(expired, g);
	}
	for (guint i = 0; i < expired->len; i++) {
		struct cgw_grant *g = g_ptr_array_index(expired, i);

		cgw_broker_release(b, g->daemon, g->id, CGW_RESULT_HUNG, 0,
				   now);
	}
	g_ptr_array_unref(expired);
	cgw_broker_retry_token_waiters(b, now);
	g_hash_table_iter_init(&it, b->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		cgw_service_check_shortage(b, value, now);
		cgw_service_enforce_floor(b, value, now);
		cgw_broker_retry_deferred(b, value, now);
		cgw_broker_grant_waiting(b, value, now);
		cgw_broker_redirect_waiting(b, value, now);
		cgw_broker_refuse_expired(b, value, now);
	}
}

bool cgw_broker_busy(const struct cgw_broker *b)
{
	return g_hash_table_size(b->grants) || g_hash_table_size(b->waiters) ||
	       b->token_waiters->len;
}

int cgw_broker_trust(struct cgw_broker *b, const char *server, cg_ms now)
{
	struct cgw_server *s = g_hash_table_lookup(b->servers, server);

	return s ? (int)cgw_server_trust(s, now) : -1;
}
