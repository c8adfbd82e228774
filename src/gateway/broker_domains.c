#define CG_PART "broker"
#include "broker_internal.h"

static int64_t count_free_slots(const struct cgw_broker *b,
				struct cgw_service *s, cg_ms now)
{
	int64_t n = 0;

	for (guint i = 0; i < s->servers->len && !cgw_broker_is_closed(b, now);
	     i++) {
		struct cgw_server *o = g_ptr_array_index(s->servers, i);

		if (cgw_server_trust(o, now) == CGW_TRUST_HEALTHY &&
		    cgw_server_has_room(o, now))
			n += MIN(o->facts.slots - o->inflight,
				 cgw_server_warmup_room(o, now));
	}
	return n - (int64_t)s->waiting_count;
}

int64_t cgw_broker_free_slots(struct cgw_broker *b, const char *service,
			      cg_ms now)
{
	struct cgw_service *s = g_hash_table_lookup(b->services, service);

	return s ? count_free_slots(b, s, now) : 0;
}

static struct cgw_domain_report *get_or_add_report(struct cgw_service *s,
						   const char *domain)
{
	struct cgw_domain_report *report =
		g_hash_table_lookup(s->domain_reports, domain);

	if (!report) {
		report = g_new0(struct cgw_domain_report, 1);
		report->received_at = -CGW_DOMAIN_REPORT_VALID_MS;
		report->outcomes_at = -CGW_DOMAIN_REPORT_VALID_MS;
		g_hash_table_insert(s->domain_reports, g_strdup(domain),
				    report);
	}
	return report;
}

void cgw_broker_record_domain_state(struct cgw_broker *b, const char *domain,
				    const struct cgw_service_state *state,
				    cg_ms now)
{
	struct cgw_domain_report *report = get_or_add_report(
		cgw_broker_get_service(b, state->service), domain);

	report->free_slots = state->free_slots;
	report->ejected = state->ejected;
	report->received_at = now;
}

void cgw_broker_record_domain_outcomes(struct cgw_broker *b, const char *domain,
				       const char *service,
				       unsigned int requests,
				       unsigned int unserved, cg_ms now)
{
	struct cgw_domain_report *report =
		get_or_add_report(cgw_broker_get_service(b, service), domain);

	report->requests = requests;
	report->unserved = unserved;
	report->outcomes_at = now;
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
			.free_slots = count_free_slots(b, value, now),
			.ejected = b->evacuated
					   ? 0
					   : cgw_service_ejected(value, now),
		};

		cgw_outcome_window_sum(&((struct cgw_service *)value)->outcomes,
				       now, &state.requests, &state.unserved);
		visit(arg, &state);
	}
}
