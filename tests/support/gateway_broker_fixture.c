#include "gateway_broker_fixture.h"

#include <string.h>

static void record_decision(void *arg, const struct cgw_slot_decision *d)
{
	struct broker_fixture *w = arg;

	w->decisions[w->decision_count++ % BROKER_FIXTURE_DECISIONS] = *d;
}

static bool heard_since(void *arg, const char *daemon, cg_ms since)
{
	const struct broker_fixture *w = arg;

	(void)daemon;
	return w->heard_until >= since;
}

void broker_fixture_init(struct broker_fixture *w, unsigned int domains)
{
	struct cgw_broker_settings s = {
		.domain = "a",
		.domains = domains,
		.retry_ratio = 0.2,
		.retry_slack = 20,
		.retry_window_ms = 10000,
		.min_share = 0.7,
		.warmup_burst = 1.5,
		.warmup_slack = 8,
		.heard_since = heard_since,
	};

	memset(w, 0, sizeof(*w));
	w->now = 1000;
	w->heard_until = CG_MS_NEVER;
	w->next_id = 1;
	w->servers = g_array_new(FALSE, TRUE, sizeof(struct cgw_server_facts));
	w->broker = cgw_broker_new(&s, record_decision, w);
}

void broker_fixture_clear(struct broker_fixture *w)
{
	cgw_broker_free(w->broker);
	g_array_unref(w->servers);
}

void broker_fixture_update_servers(struct broker_fixture *w)
{
	cgw_broker_set_servers(w->broker, (const void *)w->servers->data,
			       w->servers->len, w->now);
}

static void add_server(struct broker_fixture *w, const char *id,
		       const char *service, const char *domain, int64_t slots)
{
	struct cgw_server_facts f = { .slots = slots };

	g_strlcpy(f.id, id, sizeof(f.id));
	g_strlcpy(f.service, service, sizeof(f.service));
	g_strlcpy(f.domain, domain, sizeof(f.domain));
	g_snprintf(f.address, sizeof(f.address), "10.0.0.%u:80",
		   w->servers->len + 1);
	g_array_append_val(w->servers, f);
	broker_fixture_update_servers(w);
}

void broker_fixture_add_server(struct broker_fixture *w, const char *id,
			       const char *service, int64_t slots)
{
	add_server(w, id, service, "a", slots);
}

void broker_fixture_add_servers(struct broker_fixture *w, const char *service,
				unsigned int n, int64_t slots)
{
	char id[CGW_NAME_MAX];

	for (unsigned int i = 1; i <= n; i++) {
		g_snprintf(id, sizeof(id), "s%u", i);
		add_server(w, id, service, "a", slots);
	}
}

void broker_fixture_add_remote_servers(struct broker_fixture *w,
				       const char *service, const char *domain,
				       unsigned int n)
{
	char id[CGW_NAME_MAX];

	for (unsigned int i = 1; i <= n; i++) {
		g_snprintf(id, sizeof(id), "s%s%u", domain, i);
		add_server(w, id, service, domain, 1);
	}
}

void broker_fixture_receive_state(struct broker_fixture *w, const char *domain,
				  const char *service, int64_t free_slots,
				  int64_t ejected)
{
	struct cgw_service_state state = {
		.service = service,
		.free_slots = free_slots,
		.ejected = ejected,
	};

	cgw_broker_record_domain_state(w->broker, domain, &state, w->now);
}

unsigned int broker_fixture_count_ejected(struct broker_fixture *w,
					  unsigned int n)
{
	unsigned int ejected = 0;
	char id[CGW_NAME_MAX];

	for (unsigned int i = 1; i <= n; i++) {
		g_snprintf(id, sizeof(id), "s%u", i);
		ejected += cgw_broker_trust(w->broker, id, w->now) ==
			   CGW_TRUST_EJECTED;
	}
	return ejected;
}

struct cgw_slot_request broker_fixture_new_request(struct broker_fixture *w,
						   const char *service,
						   bool idempotent)
{
	struct cgw_slot_request a = { .id = w->next_id++,
				      .idempotent = idempotent,
				      .objective_ms = 1000,
				      .deadline = w->now + 5000 };

	g_strlcpy(a.daemon, "d1", sizeof(a.daemon));
	g_strlcpy(a.service, service, sizeof(a.service));
	g_strlcpy(a.route, "r1", sizeof(a.route));
	return a;
}

const struct cgw_slot_decision *
broker_fixture_decision(struct broker_fixture *w, uint64_t id)
{
	size_t n = MIN(w->decision_count, BROKER_FIXTURE_DECISIONS);

	for (size_t i = 1; i <= n; i++) {
		const struct cgw_slot_decision *d =
			&w->decisions[(w->decision_count - i) %
				      BROKER_FIXTURE_DECISIONS];

		if (d->id == id)
			return d;
	}
	return NULL;
}

const struct cgw_slot_decision *
broker_fixture_submit(struct broker_fixture *w,
		      const struct cgw_slot_request *a)
{
	cgw_broker_request_slot(w->broker, a, w->now);
	return broker_fixture_decision(w, a->id);
}

void broker_fixture_advance(struct broker_fixture *w, cg_ms ms)
{
	for (cg_ms end = w->now + ms; w->now < end;) {
		w->now = MIN(w->now + 50, end);
		cgw_broker_tick(w->broker, w->now);
	}
}

void broker_fixture_release(struct broker_fixture *w, uint64_t id,
			    enum cgw_result r, cg_ms elapsed)
{
	cgw_broker_release(w->broker, "d1", id, r, elapsed, w->now);
}

void broker_fixture_set_account(struct broker_fixture *w, int64_t rate_milli,
				int64_t burst_milli)
{
	struct cgw_table *t = cgw_table_new(1);
	struct cgw_account *a = cgw_table_add_account(t, "acc");

	a->rate_milli = rate_milli;
	a->burst_milli = burst_milli;
	cgw_quota_configure(cgw_broker_quota(w->broker), t, w->now);
	cgw_table_unref(t);
}
