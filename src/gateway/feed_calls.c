#define CG_PART "feed"
#include "feed_internal.h"

#include <string.h>

#include "internal/logging.h"

/* The whole list is read again after this time, in case a watch has missed a
 * change. */
#define RELIST_INTERVAL_MS  15000
#define CONNECT_TIMEOUT_MS  300
#define CONNECTION_REUSE_MS 5000
/* Bounds of the delay between two reads of the configuration. */
#define POLL_INTERVAL_MIN_MS 200
#define POLL_INTERVAL_MAX_MS 800
/* Parts of config_bound_ms that may pass between two reads of the
 * configuration. The others are for the read, the next ping (300 ms) and the
 * transfer to the other daemons. */
#define POLLS_PER_BOUND 4

void cgw_feed_schedule(struct reader *r, cg_ms delay)
{
	cgw_timer_arm(r->feed->loop, &r->timer,
		      cgw_loop_now(r->feed->loop) + delay);
}

/* Parses a page of a listing. Returns 0 after the last page, 1 if there are
 * more, -1 on an error. */
static int parse_page(struct reader *r)
{
	const struct cgw_store_format *format = r->feed->format;
	const char *text = (const char *)r->call.body->data;
	size_t len = r->call.body->len;
	char *reason = NULL;
	uint64_t revision = 0;
	bool first = !r->cursor;
	int rc;

	g_clear_pointer(&r->cursor, g_free);
	rc = r->kind == READER_SERVERS
		     ? format->read_servers(text, len, r->items,
					    &r->invalid_entries, &r->cursor,
					    &revision, &reason)
		     : format->read_fleet(text, len, r->items,
					  &r->invalid_entries, &r->cursor,
					  &reason);
	if (rc) {
		cg_warning("cannot parse the list of the %s: %s",
			   cgw_feed_reader_names[r->kind], reason);
		g_free(reason);
		g_array_set_size(r->items, 0);
		return -1;
	}
	/* Later pages show later revisions; the changes in between are watched
	 * too. */
	if (first)
		r->first_page_revision = revision;
	return r->cursor ? 1 : 0;
}

static cg_ms poll_interval(const struct cgw_feed *f)
{
	return CLAMP(f->settings->config_bound_ms / POLLS_PER_BOUND,
		     POLL_INTERVAL_MIN_MS, POLL_INTERVAL_MAX_MS);
}

/* Returns the delay until the next call, or -1 for none. */
static cg_ms handle_response(struct reader *r)
{
	struct cgw_feed *f = r->feed;
	int page;

	if (cgw_feed_is_write(r)) {
		r->wrote = true;
		r->last_write = r->step;
		if (r->step == STEP_REGISTER || r->step == STEP_UPDATE)
			f->registered_at = r->sent_at;
		if (r->step == STEP_CREATE_SECRET && f->era && !*f->secret &&
		    r->call.status != 409)
			f->created_secret = true;
		if (r->step == STEP_RESTORE_SECRET)
			f->secret_restored_era = r->era;
		r->step = STEP_LIST;
		return 0;
	}
	if (r->kind == READER_CONFIG) {
		cgw_feed_apply_config(r);
		return f->polling ? poll_interval(f) : -1;
	}
	if (r->watching) {
		cg_ms delay = r->revision ? cgw_feed_apply_server_events(r) : 0;

		if (delay < 0) {
			r->revision = 0;
			delay = RETRY_DELAY_MAX_MS;
		}
		return f->polling ? delay : -1;
	}
	page = parse_page(r);
	if (page > 0)
		return 0;
	if (page < 0)
		return RETRY_DELAY_MAX_MS;
	if (r->kind == READER_SERVERS) {
		cgw_feed_apply_server_list(r);
		return f->polling ? WATCH_INTERVAL_MS : -1;
	}
	return cgw_feed_apply_fleet(r);
}

static void drop_pages(struct reader *r)
{
	g_clear_pointer(&r->cursor, g_free);
	if (r->items)
		g_array_set_size(r->items, 0);
}

static void on_call_done(struct cgw_call *call)
{
	struct reader *r = caa_container_of(call, struct reader, call);
	struct cgw_feed *f = r->feed;
	/* A conflict means that the entry exists already, as intended. */
	bool ok = call->outcome == CGW_CALL_RESPONDED &&
		  (call->status / 100 == 2 ||
		   (cgw_feed_is_write(r) && call->status == 409));
	/* The operators have not stored a configuration yet. */
	bool empty = call->outcome == CGW_CALL_RESPONDED &&
		     call->status == 404 && !cgw_feed_is_write(r);
	/* The store no longer knows the changes since the list was read. */
	bool forgotten = r->watching && call->outcome == CGW_CALL_RESPONDED &&
			 call->status == 410;
	enum era_check era = call->outcome == CGW_CALL_RESPONDED
				     ? cgw_feed_check_era(r)
				     : ERA_USABLE;
	char reason[64];
	cg_ms delay;

	if (era == ERA_LATE)
		ok = empty = forgotten = false;
	g_snprintf(reason, sizeof(reason), "call outcome %d, HTTP status %d%s",
		   (int)call->outcome, call->status,
		   era == ERA_LATE ? ", from an earlier era" : "");
	cgw_feed_record_outcome(r, ok || empty || forgotten, reason);
	if (empty)
		r->last_read_at = r->sent_at;
	if (era == ERA_INTERRUPTED && (ok || forgotten)) {
		drop_pages(r);
		r->revision = 0;
		delay = f->polling || r->kind == READER_FLEET ? 0 : -1;
	} else if (ok) {
		delay = handle_response(r);
	} else if (forgotten) {
		r->revision = 0;
		delay = f->polling ? 0 : -1;
	} else {
		/* Drops the pages read so far: only complete lists are used. */
		drop_pages(r);
		/* The entry that was to be replaced is lost. */
		if (cgw_feed_is_write(r) && call->status == 404)
			r->step = STEP_LIST;
		delay = !empty	     ? r->retry_delay
			: f->polling ? poll_interval(f)
				     : -1;
		/* A feed that does not poll needs no list of servers, and
		 * retries the others only until their first success. Later
		 * reads are started by cgw_feed_refresh(). */
		if (!f->polling && (r->succeeded || r->kind == READER_SERVERS))
			delay = -1;
	}
	cgw_call_clear(call);
	if (r->read_again) {
		r->read_again = false;
		delay = 0;
	}
	if (delay >= 0)
		cgw_feed_schedule(r, delay);
}

static char *request_target(const struct reader *r)
{
	const struct cgw_store_format *format = r->feed->format;

	switch (r->kind) {
	case READER_CONFIG:
		return format->config_target();
	case READER_SERVERS:
		return r->watching ? format->servers_watch_target(r->revision,
								  WATCH_WAIT_MS)
				   : format->servers_target(r->cursor);
	case READER_FLEET:
	case READER_COUNT:
		break;
	}
	if (r->step == STEP_UPDATE)
		return format->fleet_entry_target(r->feed->settings->instance);
	if (r->step == STEP_RESTORE_SECRET)
		return format->fleet_entry_target("secret");
	/* A list that may be old does for a daemon that starts. */
	return format->fleet_target(r->cursor, !cgw_feed_is_write(r) &&
						       !r->wrote &&
						       !r->feed->era_changes);
}

static void build_request(struct reader *r)
{
	const char *store = r->feed->settings->store;
	char *target = request_target(r);
	char *body =
		cgw_feed_is_write(r) ? cgw_feed_build_fleet_entry(r) : NULL;
	GString *text = g_string_new(NULL);

	g_string_printf(text, "%s %s HTTP/1.1\r\nHost: %s\r\n",
			!body ? "GET"
			: r->step == STEP_UPDATE ||
					r->step == STEP_RESTORE_SECRET
				? "PUT"
				: "POST",
			target, store);
	if (body)
		g_string_append_printf(text,
				       "Content-Type: application/json\r\n"
				       "Content-Length: %u\r\n",
				       (unsigned int)strlen(body));
	g_string_append_printf(text, "\r\n%s", body ? body : "");
	g_byte_array_set_size(r->request, 0);
	g_byte_array_append(r->request, (const guint8 *)text->str,
			    (guint)text->len);
	g_string_free(text, TRUE);
	g_free(target);
	g_free(body);
}

static void start_call(struct reader *r)
{
	struct cgw_feed *f = r->feed;

	r->sent_at = cgw_loop_now(f->loop);
	if (r->sent_at - r->listed_at >= RELIST_INTERVAL_MS)
		r->revision = 0;
	r->watching = r->kind == READER_SERVERS && r->revision && !r->cursor;
	if (r->kind == READER_SERVERS && !r->watching && !r->cursor)
		r->listed_at = r->sent_at;
	build_request(r);
	memset(&r->call, 0, sizeof(r->call));
	g_strlcpy(r->call.address, f->settings->store, sizeof(r->call.address));
	r->call.request = r->request;
	r->call.connect_ms = CONNECT_TIMEOUT_MS;
	r->call.reuse_ms = CONNECTION_REUSE_MS;
	r->call.deadline = r->sent_at + CALL_TIMEOUT_MS +
			   (r->watching ? WATCH_WAIT_MS : 0);
	r->call.done = on_call_done;
	f->call_count++;
	cgw_call_start(f->client, &r->call);
}

void cgw_feed_on_timer(struct cgw_timer *t)
{
	start_call(caa_container_of(t, struct reader, timer));
}

/* Starts a read now, after the present call, or after the retry delay. */
void cgw_feed_request_read(struct reader *r)
{
	if (cgw_call_running(&r->call))
		r->read_again = true;
	else if (!r->retry_delay)
		cgw_feed_schedule(r, 0);
	else if (!r->timer.heap_index)
		cgw_feed_schedule(r, r->retry_delay);
}
