#define CG_PART "broker"
#include "broker_internal.h"

#include "celeryglade/counters.h"

static void update_limit(const struct cgw_broker *b, struct cgw_service *s)
{
	s->warmup = cgw_warmup_limit((double)s->warmup_milli / 1000,
				     b->settings.warmup_burst,
				     b->settings.warmup_slack, b->share);
}

static void start_servers(const struct cgw_service *s, cg_ms now)
{
	for (guint i = 0; i < s->servers->len; i++) {
		struct cgw_server *o = g_ptr_array_index(s->servers, i);

		cgw_warmup_start(&o->warmup, now);
	}
}

void cgw_broker_set_warmup_rate(struct cgw_broker *b, const char *service,
				int64_t milli, cg_ms now)
{
	struct cgw_service *s = cgw_broker_get_service(b, service);

	/* Grants have not been counted so far. */
	if (!s->warmup_milli)
		start_servers(s, now);
	s->warmup_milli = milli;
	update_limit(b, s);
}

void cgw_broker_set_share(struct cgw_broker *b, double share)
{
	GHashTableIter it;
	gpointer value;

	cgw_quota_set_broker_share(b->quota, share);
	if (share == b->share)
		return;
	b->share = share;
	g_hash_table_iter_init(&it, b->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		update_limit(b, value);
}

void cgw_broker_begin_to_lead(struct cgw_broker *b, cg_ms now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, b->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		start_servers(value, now);
}

bool cgw_server_is_limited(const struct cgw_server *s, cg_ms now)
{
	return s->service->warmup.per_s > 0 &&
	       (s->warmup_until > now || s->assumed_cold_until > now);
}

int64_t cgw_server_warmup_room(const struct cgw_server *s, cg_ms now)
{
	return cgw_server_is_limited(s, now)
		       ? cgw_warmup_available(&s->service->warmup, &s->warmup,
					      now)
		       : INT64_MAX;
}

void cgw_service_count_withheld(const struct cgw_service *s, cg_ms now)
{
	for (guint i = 0; i < s->servers->len; i++) {
		const struct cgw_server *o = g_ptr_array_index(s->servers, i);

		if (o->inflight >= o->facts.slots ||
		    cgw_server_warmup_room(o, now) > 0)
			continue;
		cg_count(CG_COUNTER_WARMUP_WITHHELD);
		return;
	}
}
