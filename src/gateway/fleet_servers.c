#include "fleet_internal.h"

/* The list of servers that the own broker grants by. It is in use if it shows which
 * servers have left: it has been read since this daemon leads, another daemon has
 * read it shortly before, or no daemon can read a later one. */

/* A leader that cannot read the store tells the others. By then those that can
 * have read it, and one of them leads. */
#define TAKEOVER_DONE_MS 1000

static bool has_live_peer(struct cgw_fleet *f)
{
	GPtrArray *a = cgw_fleet_ranking(f);

	for (guint i = 0; i < a->len; i++)
		if (cgw_fleet_is_alive(f, g_ptr_array_index(a, i)))
			return true;
	return false;
}

/* Returns whether no other daemon of the domain can read the store either. */
static bool domain_cannot_read_store(struct cgw_fleet *f)
{
	return !has_live_peer(f) ||
	       (f->degraded_since &&
		cgw_loop_now(f->loop) - f->degraded_since >= TAKEOVER_DONE_MS);
}

static bool is_list_recent(struct cgw_fleet *f)
{
	cg_ms read_at = cgw_feed_servers_read_at(*f->feed);

	return read_at >= 0 &&
	       cgw_loop_now(f->loop) - read_at < SERVERS_MAX_AGE_MS;
}

static bool was_read_while_leading(struct cgw_fleet *f)
{
	cg_ms read_at = cgw_feed_servers_read_at(*f->feed);

	return read_at >= 0 && read_at >= f->leading_since;
}

static bool may_use_list(struct cgw_fleet *f)
{
	if (was_read_while_leading(f))
		return true;
	return cgw_feed_is_unreachable(*f->feed) &&
	       (is_list_recent(f) || domain_cannot_read_store(f));
}

bool cgw_fleet_servers_are_recent(struct cgw_fleet *f)
{
	return f->servers_usable && is_list_recent(f);
}

void cgw_fleet_update_servers_usable(struct cgw_fleet *f)
{
	bool usable = f->leading && may_use_list(f);

	if (usable != f->servers_usable) {
		f->servers_usable = usable;
		cgw_broker_set_servers_outdated(f->broker, !usable);
	}
	if (usable)
		cgw_fleet_submit_pending(f);
}

/* Fetches the list of servers from the broker of another domain, chosen at random
 * since the first may have failed. */
static void fetch_from_other_domain(struct cgw_fleet *f)
{
	const struct other_broker *chosen = NULL;
	guint seen = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->other_brokers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (g_random_int() % ++seen == 0)
			chosen = value;
	if (chosen)
		cgw_handoff_fetch_servers(f->handoff, chosen->ip);
}

void cgw_fleet_check_servers(struct cgw_fleet *f)
{
	cg_ms now = cgw_loop_now(f->loop);
	struct cgw_member *leader = cgw_fleet_member(f, f->leader);
	cg_ms read_at = cgw_feed_servers_read_at(*f->feed);

	if (now - f->servers_fetched_at < SERVERS_ASK_INTERVAL_MS)
		return;
	if (leader && !f->leading) {
		if ((read_at >= 0 &&
		     now - read_at < SERVERS_COPY_INTERVAL_MS) ||
		    !cgw_fleet_is_alive(f, leader) || !cgw_fleet_leads_next(f))
			return;
		f->servers_fetched_at = now;
		cgw_handoff_fetch_servers(f->handoff, leader->ip);
		return;
	}
	if (!f->leading || was_read_while_leading(f) ||
	    cgw_feed_is_healthy(*f->feed))
		return;
	f->servers_fetched_at = now;
	fetch_from_other_domain(f);
}
