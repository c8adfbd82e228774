#define CG_PART "fleet"
#include "fleet_internal.h"

#include <arpa/inet.h>
#include <string.h>

#include "internal/logging.h"

/* While it is not clear what the store has lost, each broker pings those of the
 * other domains at this interval: their pongs name their configuration. */
#define PING_SETTLING_MS 250
/* A fetch of the configuration from another domain that failed is repeated after
 * this. */
#define CONFIG_ASK_INTERVAL_MS 500
/* A member counts as reachable for this time after its last message. */
#define REACHABLE_MS 3000
/* Followers are told of their missing entries for this time after a list. Later
 * lists follow 3 s and 10 s after the first. */
#define REPORT_UNLISTED_MS 8000

void cgw_fleet_record_listed(struct cgw_fleet *f, const char *name,
			     struct in_addr ip)
{
	struct cgw_member *m = cgw_fleet_member(f, name);

	if (m && m->ip.s_addr == ip.s_addr)
		m->listed_at = cgw_loop_now(f->loop);
}

bool cgw_fleet_is_unlisted(struct cgw_fleet *f, const struct cgw_member *m)
{
	return f->leading && f->relisted_at && cgw_fleet_own_domain(f, m) &&
	       m->added_at < f->relisted_at && m->listed_at < f->relisted_at &&
	       cgw_loop_now(f->loop) - f->relisted_at < REPORT_UNLISTED_MS;
}

void cgw_fleet_record_store(struct cgw_fleet *f, const struct cgw_member *m,
			    const fleet_pong *p)
{
	cgw_feed_record_era(*f->feed, p->store_era);
	cgw_feed_record_known_version(*f->feed, p->config_version);
	if (p->unlisted && !strcmp(m->name, f->leader))
		cgw_feed_register_again(*f->feed);
}

/* Fetches the configuration from a random daemon that has the newest. */
static void fetch_newest(struct cgw_fleet *f)
{
	cg_ms now = cgw_loop_now(f->loop);
	const struct cgw_member *chosen = NULL;
	GHashTableIter it;
	gpointer value;
	guint seen = 0;

	if (now - f->config_fetched_at < CONFIG_ASK_INTERVAL_MS)
		return;
	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct cgw_member *m = value;

		if (m->config_version >= cgw_feed_known_version(*f->feed) &&
		    now - m->last_message_at < REACHABLE_MS &&
		    g_random_int() % ++seen == 0)
			chosen = m;
	}
	if (!chosen)
		return;
	f->config_fetched_at = now;
	cg_info("the store has an older configuration than version "
		"%" G_GUINT64_FORMAT " of %s; fetching that",
		chosen->config_version, chosen->name);
	cgw_handoff_fetch_config(f->handoff, chosen->ip, chosen->config_version,
				 -1);
}

/* Fetches the servers that drain or have left from the broker of another
 * domain. */
static void fetch_departures(struct cgw_fleet *f)
{
	cg_ms now = cgw_loop_now(f->loop);
	const struct other_broker *chosen = NULL;
	GHashTableIter it;
	gpointer value;
	guint seen = 0;

	if (now - f->servers_fetched_at < SERVERS_ASK_INTERVAL_MS)
		return;
	g_hash_table_iter_init(&it, f->other_brokers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (g_random_int() % ++seen == 0)
			chosen = value;
	if (!chosen)
		return;
	f->servers_fetched_at = now;
	cgw_handoff_fetch_servers(f->handoff, chosen->ip);
}

void cgw_fleet_check_era(struct cgw_fleet *f)
{
	cg_ms now = cgw_loop_now(f->loop);
	GHashTableIter it;
	gpointer value;

	if (!f->leading)
		return;
	if (cgw_feed_is_behind(*f->feed))
		fetch_newest(f);
	if (!cgw_feed_needs_reports(*f->feed))
		return;
	g_hash_table_iter_init(&it, f->other_brokers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct other_broker *o = value;
		struct cgw_member *m = cgw_fleet_member(f, o->name);

		if (m && now - m->last_ping_at >= PING_SETTLING_MS)
			cgw_fleet_send_ping(f, m);
	}
	if (cgw_feed_is_settling(*f->feed))
		fetch_departures(f);
}
