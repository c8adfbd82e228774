#define CG_PART "feed"
#include "feed_internal.h"

#include <string.h>
#include <xxhash.h>

#include "gateway/compression.h"
#include "internal/logging.h"

/* One call may fail without a failure of the store: watches are cut now and
 * then. The store counts as failing when this long after the first failure no
 * call has succeeded. */
#define FAILING_AFTER_MS 400
/* An entry expires after this many intervals without a message from its server.
 * The last message may be one interval old when an outage begins. */
#define EXPIRY_INTERVALS 3
/* A daemon that begins to poll lists the fleet if its last list is older. */
#define FLEET_LIST_MAX_AGE_MS 3000

const char *const cgw_feed_reader_names[READER_COUNT] = { "configuration",
							  "servers", "fleet" };

static bool is_failing(const struct cgw_feed *f)
{
	return f->readers[READER_CONFIG].failing ||
	       f->readers[READER_SERVERS].failing;
}

/* Returns for how long calls must fail before the entry of a live server can
 * have expired. The first call that fails may have waited since the beginning of
 * the outage. A shorter failure, such as one watch that was cut, explains no
 * missing entry: its server has left. */
static cg_ms least_outage_ms(const struct cgw_feed *f)
{
	return MAX(0,
		   (EXPIRY_INTERVALS - 1) * f->settings->server_heartbeat_ms -
			   CALL_TIMEOUT_MS - WATCH_WAIT_MS);
}

/* Records whether the store answers any call at all. */
static void record_store_answer(struct cgw_feed *f, bool ok)
{
	cg_ms now = cgw_loop_now(f->loop);
	bool was_outage = f->unanswered &&
			  now - f->unanswered_since >= least_outage_ms(f);

	if (!ok && !f->unanswered)
		f->unanswered_since = now;
	f->unanswered = !ok;
	if (!ok || !was_outage)
		return;
	cg_info("the store answers again after %d ms; entries may have expired",
		(int)(now - f->unanswered_since));
	f->outage_ended_at = now;
	cgw_timer_arm(f->loop, &f->grace_timer, now + EXPIRED_ENTRY_GRACE_MS);
}

/* Returns since when the store has not answered the present call, which has just
 * failed: one that timed out has shown that for a while. */
static cg_ms failure_start(const struct reader *r)
{
	cg_ms now = cgw_loop_now(r->feed->loop);

	if (r->call.outcome != CGW_CALL_TIMED_OUT)
		return now;
	return MIN(now, r->sent_at + (r->watching ? WATCH_WAIT_MS : 0));
}

/* Whether the present call of the list of servers is left from a time before this
 * daemon polls, or from before it has stopped. What it shows of the store is not
 * followed by another call. */
static bool is_left_over(const struct reader *r)
{
	const struct cgw_feed *f = r->feed;

	return r->kind == READER_SERVERS &&
	       (!f->polling || r->sent_at < f->polling_since);
}

void cgw_feed_record_outcome(struct reader *r, bool ok, const char *reason)
{
	struct cgw_feed *f = r->feed;
	bool failed = is_failing(f);

	if (!ok && is_left_over(r))
		return;
	if (r->kind != READER_FLEET)
		record_store_answer(f, ok);
	if (!ok) {
		r->failed_at = cgw_loop_now(f->loop);
		if (!r->failing)
			r->failing_since = failure_start(r);
	}
	r->failing = !ok;
	r->retry_delay = ok ? 0
			    : CLAMP(r->retry_delay * 2, RETRY_DELAY_MIN_MS,
				    RETRY_DELAY_MAX_MS);
	if (failed && !is_failing(f))
		cg_info("the store answers again");
	else if (!failed && is_failing(f))
		cg_warning("cannot read the %s from the store: %s",
			   cgw_feed_reader_names[r->kind], reason);
}

/* Logs a version that has just been put into force. @sent_at is the start of the
 * call that brought it, @received_at its end. */
static void log_in_force(struct cgw_feed *f, size_t len, const char *source,
			 cg_ms sent_at, cg_ms received_at)
{
	cg_ms now = cgw_loop_read_clock(f->loop);

	cg_info("configuration version %" G_GUINT64_FORMAT " from %s is in "
		"force: %u routes, %u bytes, received in %d ms, parsed in %d "
		"ms, %d ms after a newer version than the former was known",
		cgw_table_version(f->table), source,
		(unsigned int)cgw_table_route_count(f->table),
		(unsigned int)len, (int)(received_at - sent_at),
		(int)(now - received_at),
		f->behind_since ? (int)(now - f->behind_since) : 0);
}

/* Returns whether a text is that of the configuration in force. */
static bool is_in_force(const struct cgw_feed *f, const void *text, size_t len)
{
	return f->table && len == f->config_len &&
	       XXH64(text, len, 0) == f->config_hash;
}

/* Parses a configuration and puts it into force if its version is newer than
 * the one in force. Otherwise, or if it is invalid, the table in force is kept.
 * Returns the version, or 0 if it is invalid. */
static uint64_t put_into_force(struct cgw_feed *f, const void *text, size_t len,
			       GBytes *compressed, const char *source,
			       cg_ms sent_at)
{
	cg_ms received_at = cgw_loop_read_clock(f->loop);
	uint64_t current = cgw_feed_version(f);
	char *reason = NULL;
	struct cgw_table *old = f->table;
	struct cgw_table *t;
	uint64_t version;

	/* A large one takes a small machine a tenth of a second to parse. */
	if (is_in_force(f, text, len))
		return current;
	t = f->format->read_config(text, len, &reason);
	if (!t) {
		cg_warning("cannot parse the configuration from %s; version "
			   "%" G_GUINT64_FORMAT " stays in force: %s",
			   source, current, reason);
		g_free(reason);
		return 0;
	}
	version = cgw_table_version(t);
	if (f->table && version <= current) {
		if (version < current)
			cg_warning("ignored configuration version "
				   "%" G_GUINT64_FORMAT " from %s, older than "
				   "version %" G_GUINT64_FORMAT " in force",
				   version, source, current);
		cgw_table_unref(t);
		return version;
	}
	f->table = t;
	f->config_len = len;
	f->config_hash = XXH64(text, len, 0);
	if (f->compressed_config)
		g_bytes_unref(f->compressed_config);
	f->compressed_config =
		compressed ? g_bytes_ref(compressed) : cgw_compress(text, len);
	cgw_table_unref(old);
	log_in_force(f, len, source, sent_at, received_at);
	if (version >= f->known_version)
		f->behind_since = 0;
	f->events.table(f->events.arg, f->table);
	return version;
}

/* Reading the version in force again proves that it was still the latest when
 * the request was sent. */
void cgw_feed_apply_config(struct reader *r)
{
	struct cgw_feed *f = r->feed;
	uint64_t version =
		put_into_force(f, r->call.body->data, r->call.body->len, NULL,
			       "the store", r->sent_at);

	if (version && version == cgw_table_version(f->table) &&
	    cgw_feed_may_prove(f, version, r->sent_at))
		f->proved_at = MAX(f->proved_at, r->sent_at);
	if (version && version < cgw_feed_known_version(f))
		f->older_read_at = r->sent_at;
	r->succeeded |= version != 0;
	r->last_read_at = r->sent_at;
}

uint64_t cgw_feed_take_config(struct cgw_feed *f, const void *text, size_t len,
			      GBytes *compressed, const char *source,
			      cg_ms sent_at)
{
	return put_into_force(f, text, len, compressed, source, sent_at);
}

uint64_t cgw_feed_version(const struct cgw_feed *f)
{
	return f->table ? cgw_table_version(f->table) : 0;
}

GBytes *cgw_feed_compressed_config(struct cgw_feed *f)
{
	return f->compressed_config;
}

struct cgw_feed *cgw_feed_new(struct cgw_loop *l, struct cgw_upstream *u,
			      const struct cgw_settings *s,
			      const struct cgw_store_format *format,
			      const struct cgw_feed_events *events)
{
	struct cgw_feed *f = g_new0(struct cgw_feed, 1);

	f->loop = l;
	f->client = u;
	f->settings = s;
	f->format = format;
	f->events = *events;
	f->proved_at = -1;
	f->servers_read_at = -1;
	f->outage_ended_at = -EXPIRED_ENTRY_GRACE_MS;
	f->grace_timer.fire = cgw_feed_on_grace_end;
	f->servers = g_array_new(FALSE, TRUE, sizeof(struct cgw_server_facts));
	f->listed_servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	f->heard_era_at = G_MININT32;
	f->known_at = G_MININT32;
	f->departed = cgw_server_memory_new();
	for (int i = 0; i < READER_COUNT; i++) {
		struct reader *r = &f->readers[i];

		r->feed = f;
		r->kind = (enum reader_kind)i;
		r->request = g_byte_array_new();
		r->timer.fire = cgw_feed_on_timer;
	}
	f->readers[READER_SERVERS].items =
		g_array_new(FALSE, TRUE, sizeof(struct cgw_server_facts));
	f->readers[READER_FLEET].items =
		g_array_new(FALSE, TRUE, sizeof(struct cgw_fleet_entry));
	return f;
}

void cgw_feed_free(struct cgw_feed *f)
{
	if (!f)
		return;
	cgw_timer_cancel(f->loop, &f->grace_timer);
	for (int i = 0; i < READER_COUNT; i++) {
		struct reader *r = &f->readers[i];

		cgw_call_cancel(&r->call);
		cgw_call_clear(&r->call);
		cgw_timer_cancel(f->loop, &r->timer);
		g_byte_array_unref(r->request);
		g_free(r->cursor);
		if (r->items)
			g_array_unref(r->items);
	}
	g_array_unref(f->servers);
	g_hash_table_unref(f->listed_servers);
	cgw_server_memory_free(f->departed);
	cgw_table_unref(f->table);
	if (f->compressed_config)
		g_bytes_unref(f->compressed_config);
	g_free(f);
}

void cgw_feed_start(struct cgw_feed *f)
{
	cgw_feed_request_read(&f->readers[READER_FLEET]);
}

void cgw_feed_set_polling(struct cgw_feed *f, bool polling)
{
	if (f->polling == polling)
		return;
	f->polling = polling;
	cg_info(polling ? "reads the store for its failure domain"
			: "stops polling the store; another daemon reads it");
	/* What was seen of the store before says nothing about now. */
	f->readers[READER_SERVERS].failing = false;
	f->unanswered = false;
	if (!polling)
		return;
	f->polling_since = cgw_loop_now(f->loop);
	f->readers[READER_SERVERS].revision = 0;
	/* A watch of an earlier time would delay the list. */
	if (cgw_call_running(&f->readers[READER_SERVERS].call) &&
	    f->readers[READER_SERVERS].watching) {
		cgw_call_cancel(&f->readers[READER_SERVERS].call);
		cgw_call_clear(&f->readers[READER_SERVERS].call);
	}
	cgw_feed_request_read(&f->readers[READER_CONFIG]);
	cgw_feed_request_read(&f->readers[READER_SERVERS]);
	/* It may have lost contact because the secret has been replaced, or may
	 * not have listed the fleet since the era changed. */
	if (f->era && f->fleet_listed_at &&
	    f->polling_since - f->fleet_listed_at >= FLEET_LIST_MAX_AGE_MS)
		cgw_feed_list_fleet_again(f, 0);
}

void cgw_feed_refresh(struct cgw_feed *f)
{
	cgw_feed_request_read(&f->readers[READER_CONFIG]);
}

struct cgw_table *cgw_feed_table(struct cgw_feed *f)
{
	return f->table;
}

void cgw_feed_record_proof(struct cgw_feed *f, uint64_t version,
			   cg_ms proved_at)
{
	if (f->table && cgw_table_version(f->table) == version &&
	    version >= cgw_feed_known_version(f))
		f->proved_at = MAX(f->proved_at, proved_at);
}

cg_ms cgw_feed_proved_at(const struct cgw_feed *f)
{
	return f->proved_at;
}

GArray *cgw_feed_servers(struct cgw_feed *f)
{
	return f->servers;
}

cg_ms cgw_feed_last_config_read(const struct cgw_feed *f)
{
	return f->readers[READER_CONFIG].last_read_at;
}

bool cgw_feed_is_healthy(const struct cgw_feed *f)
{
	cg_ms now = cgw_loop_now(f->loop);

	for (int i = 0; i < READER_FLEET; i++)
		if (f->readers[i].failing &&
		    now - f->readers[i].failing_since > FAILING_AFTER_MS)
			return false;
	return true;
}

bool cgw_feed_is_unreachable(const struct cgw_feed *f)
{
	const struct reader *r = &f->readers[READER_SERVERS];

	return f->polling && r->failing && r->failed_at >= f->polling_since;
}

cg_ms cgw_feed_servers_read_at(const struct cgw_feed *f)
{
	return f->servers_read_at;
}

uint64_t cgw_feed_call_count(const struct cgw_feed *f)
{
	return f->call_count;
}
