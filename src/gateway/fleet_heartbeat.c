#define CG_PART "fleet"
#include "fleet_internal.h"

#include <string.h>

#include "internal/logging.h"

static void append_account_demand(GArray *a, const char *account, int64_t milli)
{
	fleet_account_demand x = {
		.account = (char *)account,
		.demand_milli = (int)CLAMP(milli, G_MININT, G_MAXINT),
	};

	if (a->len < FLEET_LIST_MAX)
		g_array_append_val(a, x);
}

static void add_service(void *arg, const struct cgw_service_state *state)
{
	GArray *a = arg;
	fleet_service x = {
		.name = (char *)state->service,
		.free_slots = (int)CLAMP(state->free_slots, G_MININT, G_MAXINT),
		.ejected = (u_int)CLAMP(state->ejected, 0, G_MAXINT),
	};

	if (a->len < FLEET_LIST_MAX)
		g_array_append_val(a, x);
}

static void add_outcome(void *arg, const struct cgw_service_state *state)
{
	GArray *a = arg;
	fleet_outcome x = {
		.name = (char *)state->service,
		.requests = state->requests,
		.unserved = state->unserved,
	};

	if (a->len < FLEET_LIST_MAX)
		g_array_append_val(a, x);
}

static void add_demand(void *arg, const char *account, int64_t milli)
{
	append_account_demand(arg, account, milli);
}

/* Space for shares in a heartbeat. With accounts of long names all of them do not
 * fit into a datagram; a share that is not reported is not transferred. */
#define SHARES_BYTES_MAX 20000
/* Of a share without its name: a length, padding and four numbers. */
#define SHARE_BYTES 32

struct share_list {
	GArray *shares; /* fleet_account_share */
	size_t bytes;
};

static void add_share(void *arg, const struct cgw_share_report *r)
{
	struct share_list *l = arg;
	fleet_account_share x = {
		.account = (char *)r->account,
		.share = (int)r->share,
		.receiver_share = (int)r->receiver_share,
		.given = (u_quad_t)r->given,
		.received = (u_quad_t)r->received,
	};

	l->bytes += SHARE_BYTES + strlen(r->account);
	if (l->shares->len < FLEET_LIST_MAX && l->bytes <= SHARES_BYTES_MAX)
		g_array_append_val(l->shares, x);
}

/* Adds when each other domain was last heard of. */
static void add_contacts(struct cgw_fleet *f, GArray *a)
{
	for (guint i = 0; i < f->settings->domains->len; i++) {
		char *domain = g_ptr_array_index(f->settings->domains, i);
		cg_ms age =
			cgw_quota_contact_age(cgw_broker_quota(f->broker),
					      domain, cgw_loop_now(f->loop));
		fleet_contact x = { .domain = domain, .age_ms = (u_int)age };

		if (age >= 0 && a->len < FLEET_LIST_MAX)
			g_array_append_val(a, x);
	}
}

/* Sends a heartbeat with what concerns the receiver's domain. */
static void send_to_broker(struct cgw_fleet *f, const char *domain,
			   struct in_addr ip, fleet_body *b)
{
	struct cgw_quota *q = cgw_broker_quota(f->broker);
	GArray *shares = g_array_new(FALSE, FALSE, sizeof(fleet_account_share));
	fleet_heartbeat *h = &b->fleet_body_u.heartbeat;
	struct share_list list = { .shares = shares };

	cgw_quota_each_share(q, domain, cgw_loop_now(f->loop), add_share,
			     &list);
	h->shares.shares_val = (void *)shares->data;
	h->shares.shares_len = shares->len;
	h->has_totals = cgw_quota_has_totals(q, domain);
	cgw_fleet_send(f, ip, b);
	g_array_unref(shares);
}

static void ping_other_domain(struct cgw_fleet *f, const char *domain)
{
	GPtrArray *a = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (!strcmp(((struct cgw_member *)value)->domain, domain))
			g_ptr_array_add(a, value);
	for (int i = 0; i < OTHER_DOMAIN_PINGS && a->len; i++) {
		guint at = g_random_int() % a->len;

		cgw_fleet_send_ping(f, g_ptr_array_index(a, at));
		g_ptr_array_remove_index_fast(a, at);
	}
	g_ptr_array_unref(a);
}

void cgw_fleet_send_heartbeat(struct cgw_fleet *f)
{
	cg_ms now = cgw_loop_now(f->loop);
	fleet_body b = { .kind = FLEET_HEARTBEAT };
	GArray *services = g_array_new(FALSE, FALSE, sizeof(fleet_service));
	GArray *demand =
		g_array_new(FALSE, FALSE, sizeof(fleet_account_demand));
	GArray *outcomes = g_array_new(FALSE, FALSE, sizeof(fleet_outcome));
	GArray *contacts = g_array_new(FALSE, FALSE, sizeof(fleet_contact));

	f->last_heartbeat_at = now;
	/* Free slots are left out if the list of servers is too old, since
	 * servers may have left in the meantime. */
	if (cgw_fleet_servers_are_recent(f))
		cgw_broker_each_service(f->broker, now, add_service, services);
	cgw_quota_each_account(cgw_broker_quota(f->broker), now, add_demand,
			       demand);
	b.fleet_body_u.heartbeat.services.services_val = (void *)services->data;
	b.fleet_body_u.heartbeat.services.services_len = services->len;
	b.fleet_body_u.heartbeat.demand.demand_val = (void *)demand->data;
	b.fleet_body_u.heartbeat.demand.demand_len = demand->len;
	cgw_broker_each_service(f->broker, now, add_outcome, outcomes);
	b.fleet_body_u.heartbeat.outcomes.outcomes_val = (void *)outcomes->data;
	b.fleet_body_u.heartbeat.outcomes.outcomes_len = outcomes->len;
	b.fleet_body_u.heartbeat.followers = cgw_fleet_follower_count(f) + 1;
	b.fleet_body_u.heartbeat.evacuated = cgw_broker_is_evacuated(f->broker);
	add_contacts(f, contacts);
	b.fleet_body_u.heartbeat.contacts.contacts_val = (void *)contacts->data;
	b.fleet_body_u.heartbeat.contacts.contacts_len = contacts->len;
	for (guint i = 0; i < f->settings->domains->len; i++) {
		const char *domain = g_ptr_array_index(f->settings->domains, i);
		struct other_broker *o =
			g_hash_table_lookup(f->other_brokers, domain);

		if (!strcmp(domain, f->settings->domain))
			continue;
		if (o && now - o->last_seen_at < OTHER_BROKER_TIMEOUT_MS)
			send_to_broker(f, domain, o->ip, &b);
		else
			ping_other_domain(f, domain);
	}
	g_array_unref(services);
	g_array_unref(demand);
	g_array_unref(outcomes);
	g_array_unref(contacts);
}

void cgw_fleet_record_other_broker(struct cgw_fleet *f, const char *domain,
				   const char *name, struct in_addr ip)
{
	struct other_broker *o = g_hash_table_lookup(f->other_brokers, domain);

	if (!o) {
		o = g_new0(struct other_broker, 1);
		g_hash_table_insert(f->other_brokers, g_strdup(domain), o);
	}
	g_strlcpy(o->name, name, sizeof(o->name));
	o->ip = ip;
	o->last_seen_at = cgw_loop_now(f->loop);
}

bool cgw_fleet_speaks_for_domain(const struct other_broker *known,
				 const char *sender, unsigned int followers,
				 cg_ms now)
{
	/* A successor has one follower less than the broker that failed. */
	return !known || !strcmp(known->name, sender) || !known->heartbeat_at ||
	       followers >= known->followers ||
	       (followers > 1 && followers + 1 >= known->followers) ||
	       now - known->heartbeat_at >= OTHER_BROKER_TIMEOUT_MS;
}

static void record_followers(struct cgw_fleet *f, const char *domain,
			     unsigned int followers)
{
	struct other_broker *o = g_hash_table_lookup(f->other_brokers, domain);

	o->followers = followers;
	o->heartbeat_at = cgw_loop_now(f->loop);
}

static bool is_configured_domain(const struct cgw_fleet *f, const char *domain)
{
	const GPtrArray *domains = f->settings->domains;

	for (guint i = 0; i < domains->len; i++)
		if (!strcmp(g_ptr_array_index(domains, i), domain))
			return true;
	return false;
}

static void record_shares(struct cgw_fleet *f, const struct cgw_member *m,
			  const fleet_heartbeat *b)
{
	struct cgw_quota *q = cgw_broker_quota(f->broker);
	cg_ms now = cgw_loop_now(f->loop);
	GArray *reports =
		g_array_new(FALSE, FALSE, sizeof(struct cgw_share_report));

	for (u_int i = 0; i < b->shares.shares_len; i++) {
		const fleet_account_share *x = &b->shares.shares_val[i];
		struct cgw_share_report r = {
			.account = x->account,
			.share = x->share,
			.receiver_share = x->receiver_share,
			.given = (int64_t)x->given,
			.received = (int64_t)x->received,
		};

		g_array_append_val(reports, r);
	}
	cgw_quota_record_shares(q, m->domain, (const void *)reports->data,
				reports->len, b->has_totals, now);
	g_array_unref(reports);
	for (u_int i = 0; i < b->contacts.contacts_len; i++) {
		const fleet_contact *x = &b->contacts.contacts_val[i];
		bool own = !strcmp(x->domain, f->settings->domain);

		if (!is_configured_domain(f, x->domain))
			continue;
		cgw_quota_record_contact(q, m->domain, own ? NULL : x->domain,
					 x->age_ms, now);
	}
}

void cgw_fleet_handle_heartbeat(struct cgw_fleet *f, struct cgw_member *m,
				const fleet_heartbeat *b)
{
	cg_ms now = cgw_loop_now(f->loop);

	if (cgw_fleet_own_domain(f, m) || !is_configured_domain(f, m->domain))
		return;
	if (!cgw_fleet_speaks_for_domain(
		    g_hash_table_lookup(f->other_brokers, m->domain), m->name,
		    b->followers, now))
		return;
	cgw_fleet_record_other_broker(f, m->domain, m->name, m->ip);
	record_followers(f, m->domain, b->followers);
	cgw_broker_record_domain_evacuation(f->broker, m->domain, b->evacuated,
					    now);
	for (u_int i = 0; i < b->services.services_len; i++) {
		const fleet_service *x = &b->services.services_val[i];
		struct cgw_service_state state = {
			.service = x->name,
			.free_slots = x->free_slots,
			.ejected = x->ejected,
		};

		cgw_broker_record_domain_state(f->broker, m->domain, &state,
					       now);
	}
	for (u_int i = 0; i < b->outcomes.outcomes_len; i++)
		cgw_broker_record_domain_outcomes(
			f->broker, m->domain, b->outcomes.outcomes_val[i].name,
			b->outcomes.outcomes_val[i].requests,
			b->outcomes.outcomes_val[i].unserved, now);
	for (u_int i = 0; i < b->demand.demand_len; i++)
		cgw_quota_record_demand(cgw_broker_quota(f->broker), m->domain,
					b->demand.demand_val[i].account,
					b->demand.demand_val[i].demand_milli,
					now);
	record_shares(f, m, b);
	/* This daemon does not lead its domain any more, but the sender still
	 * takes it for the broker: the pong names the leader. */
	if (!f->leading)
		cgw_fleet_send_pong(f, m, 0, G_MAXUINT64);
}
