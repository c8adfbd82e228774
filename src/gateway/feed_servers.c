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

void cgw_feed_apply_server_list(struct reader *r)
{
	struct cgw_feed *f = r->feed;

	g_hash_table_remove_all(f->listed_servers);
	for (guint i = 0; i < r->items->len; i++)
		cgw_feed_list_server(
			f,
			&g_array_index(r->items, struct cgw_server_facts, i));
	g_array_set_size(r->items, 0);
	r->revision = r->first_page_revision;
	cgw_feed_apply_servers(r, r->listed_at);
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
			g_hash_table_remove(f->listed_servers, e->facts.id);
		else
			cgw_feed_list_server(f, &e->facts);
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
