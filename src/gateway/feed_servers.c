#define CG_PART "feed"
#include "feed_internal.h"

#include "internal/logging.h"

/* Keeps entries that expired during an outage of the store until their servers
 * have had the time to write them again. */
static void retain_expired_entries(struct cgw_feed *f, GArray *fresh)
{
	f->retains_servers = false;
	/* Only a daemon that has polled through the outage knows which entries
	 * were there before it. The list of any other one may be old and name
	 * servers that have left. */
	if (!f->polling || f->outage_ended_at < f->polling_since ||
	    cgw_loop_now(f->loop) - f->outage_ended_at >=
		    EXPIRED_ENTRY_GRACE_MS)
		return;
	for (guint i = 0; i < f->servers->len; i++) {
		struct cgw_server_facts *s =
			&g_array_index(f->servers, struct cgw_server_facts, i);

		if (g_hash_table_contains(f->listed_servers, s->id))
			continue;
		f->retains_servers = true;
		g_array_append_val(fresh, *s);
	}
}

/* Puts the listed servers into force. @read_at is a time at which the list was
 * the latest. */
void cgw_feed_apply_servers(struct reader *r, cg_ms read_at)
{
	struct cgw_feed *f = r->feed;
	GArray *fresh =
		g_array_new(FALSE, TRUE, sizeof(struct cgw_server_facts));
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->listed_servers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_array_append_vals(fresh, value, 1);
	retain_expired_entries(f, fresh);
	g_array_unref(f->servers);
	f->servers = fresh;
	f->servers_read_at = read_at;
	r->succeeded = true;
	f->events.servers(f->events.arg,
			  (const struct cgw_server_facts *)(void *)fresh->data,
			  fresh->len);
}

void cgw_feed_on_grace_end(struct cgw_timer *t)
{
	struct cgw_feed *f = caa_container_of(t, struct cgw_feed, grace_timer);

	if (f->retains_servers)
		cgw_feed_apply_servers(&f->readers[READER_SERVERS],
				       f->servers_read_at);
}

void cgw_feed_list_server(struct cgw_feed *f, const struct cgw_server_facts *s)
{
	struct cgw_server_facts *copy = g_memdup2(s, sizeof(*s));

	g_hash_table_replace(f->listed_servers, copy->id, copy);
}

static void record_departure(struct cgw_feed *f,
			     const struct cgw_server_facts *s, bool gone,
			     uint64_t era)
{
	struct cgw_departure d = {
		.started_wall_ms = s->started_wall_ms,
		.seq = s->seq,
		.era = era,
		.gone = gone,
	};

	g_strlcpy(d.id, s->id, sizeof(d.id));
	cgw_server_memory_record(f->departed, &d, cgw_loop_now(f->loop));
}

/* Lists a server unless its entry is older than what is known of it: such an
 * entry comes from the copy that the store has returned from. */
static void list_current_server(struct cgw_feed *f,
				const struct cgw_server_facts *s, uint64_t era)
{
	const struct cgw_server_facts *known =
		g_hash_table_lookup(f->listed_servers, s->id);
	struct cgw_server_facts facts = *s;

	if (known && f->servers_era < era &&
	    s->started_wall_ms < known->started_wall_ms)
		return;
	switch (cgw_server_memory_check(f->departed, s, era,
					cgw_loop_now(f->loop))) {
	case CGW_ENTRY_GONE:
		g_hash_table_remove(f->listed_servers, s->id);
		return;
	case CGW_ENTRY_DRAINING:
		facts.leaving = true;
		break;
	case CGW_ENTRY_CURRENT:
		if (facts.leaving)
			record_departure(f, &facts, false, era);
		break;
	}
	cgw_feed_list_server(f, &facts);
}

/* Removes the servers that the list that was just read lacks. In the same era
 * they have left. */
static void remove_unlisted(struct reader *r)
{
	struct cgw_feed *f = r->feed;
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	gpointer value;

	for (guint i = 0; i < r->items->len; i++)
		g_hash_table_add(
			ids,
			g_array_index(r->items, struct cgw_server_facts, i).id);
	g_hash_table_iter_init(&it, f->listed_servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct cgw_server_facts *s = value;

		if (g_hash_table_contains(ids, s->id))
			continue;
		if (f->servers_era == r->era)
			record_departure(f, s, true, r->era);
		g_hash_table_iter_remove(&it);
	}
	g_hash_table_unref(ids);
}

void cgw_feed_apply_server_list(struct reader *r)
{
	struct cgw_feed *f = r->feed;

	remove_unlisted(r);
	for (guint i = 0; i < r->items->len; i++)
		list_current_server(
			f, &g_array_index(r->items, struct cgw_server_facts, i),
			r->era);
	g_array_set_size(r->items, 0);
	f->servers_era = r->era;
	r->revision = r->first_page_revision;
	cgw_feed_apply_servers(r, r->listed_at);
}

static void remove_server(struct cgw_feed *f, const char *id, uint64_t era)
{
	const struct cgw_server_facts *s =
		g_hash_table_lookup(f->listed_servers, id);

	if (!s)
		return;
	record_departure(f, s, true, era);
	g_hash_table_remove(f->listed_servers, id);
}

/* Applies the response to a watch. Returns the delay until the next call, or -1
 * if the response is invalid. */
cg_ms cgw_feed_apply_server_events(struct reader *r)
{
	struct cgw_feed *f = r->feed;
	cg_ms now = cgw_loop_now(f->loop);
	GArray *events =
		g_array_new(FALSE, TRUE, sizeof(struct cgw_server_event));
	char *reason = NULL;
	uint64_t revision;

	if (f->format->read_server_events((const char *)r->call.body->data,
					  r->call.body->len, events, &revision,
					  &reason)) {
		cg_warning("cannot parse the changes of the servers: %s",
			   reason);
		g_free(reason);
		g_array_unref(events);
		return -1;
	}
	r->revision = revision;
	for (guint i = 0; i < events->len; i++) {
		const struct cgw_server_event *e =
			&g_array_index(events, struct cgw_server_event, i);

		if (e->gone)
			remove_server(f, e->facts.id, r->era);
		else
			list_current_server(f, &e->facts, r->era);
	}
	if (events->len || f->retains_servers)
		cgw_feed_apply_servers(r, r->sent_at);
	else
		/* The store answered after the whole wait. */
		f->servers_read_at =
			now - r->sent_at >= WATCH_WAIT_MS
				? r->sent_at + WATCH_WAIT_MS
				: MAX(f->servers_read_at, r->sent_at);
	g_array_unref(events);
	return MAX(0, r->sent_at + WATCH_INTERVAL_MS - now);
}

void cgw_feed_take_servers(struct cgw_feed *f,
			   const struct cgw_server_facts *servers, size_t n,
			   uint64_t era, cg_ms read_at)
{
	if ((f->polling && f->servers_read_at >= 0 &&
	     !cgw_feed_is_unreachable(f)) ||
	    read_at <= f->servers_read_at)
		return;
	/* The changes since the former list would be applied to this one. */
	f->readers[READER_SERVERS].revision = 0;
	g_hash_table_remove_all(f->listed_servers);
	for (size_t i = 0; i < n; i++)
		cgw_feed_list_server(f, &servers[i]);
	f->servers_era = era;
	cgw_feed_apply_servers(&f->readers[READER_SERVERS], read_at);
}

void cgw_feed_take_departures(struct cgw_feed *f, const struct cgw_departure *d,
			      size_t n)
{
	cg_ms now = cgw_loop_now(f->loop);
	bool changed = false;

	for (size_t i = 0; i < n; i++) {
		struct cgw_server_facts *s =
			g_hash_table_lookup(f->listed_servers, d[i].id);
		enum cgw_entry_state state;

		cgw_server_memory_record(f->departed, &d[i], now);
		if (!s || s->leaving)
			continue;
		state = cgw_server_memory_check(f->departed, s, f->servers_era,
						now);
		if (state == CGW_ENTRY_CURRENT)
			continue;
		changed = true;
		if (state == CGW_ENTRY_GONE)
			g_hash_table_remove(f->listed_servers, d[i].id);
		else
			s->leaving = true;
	}
	if (changed)
		cgw_feed_apply_servers(&f->readers[READER_SERVERS],
				       f->servers_read_at);
}

GArray *cgw_feed_departures(struct cgw_feed *f)
{
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct cgw_departure));

	cgw_server_memory_export(f->departed, out);
	return out;
}

uint64_t cgw_feed_servers_era(const struct cgw_feed *f)
{
	return f->servers_era;
}
