#define CG_PART "feed"
#include "feed_internal.h"

#include "celeryglade/counters.h"
#include "internal/logging.h"

/* A store that has been away may return from a copy that is some seconds old. It
 * raises its era then, which all its responses name. What this process has seen in
 * an earlier era is newer than the copy; what the store shows in a new era is the
 * latest only after the other daemons have had the time to say that they know
 * better. See docs/design/store-era.md. */

/* Reads that start earlier after a change of era prove nothing. The brokers ping
 * each other four times in it, and their followers them three times. With
 * 1,500 ms, 600 ms without the store and a change of broker, the last proof could
 * be too old (key_proof_ms 3,000) before the next one. */
#define SETTLE_MS 1000
/* The same after the era becomes known: by then a daemon that has just started
 * leads (400 ms) and has pinged the other domains. */
#define SETTLE_START_MS 800
/* The leaders list the fleet again within this time after a change of era, each
 * at a random moment. */
#define FLEET_LIST_SPREAD_MS 400
/* What another daemon has said of its era or version counts for this time. The
 * brokers go on asking each other while it matters. Without an end, one faulty
 * message would keep a daemon from ever proving anything. */
#define HEARD_MS 2000

static uint64_t era_of_response(const struct reader *r)
{
	const char *name = r->feed->format->era_header;
	const char *text = name ? cgw_call_header(&r->call, name) : NULL;
	guint64 era;

	return text && g_ascii_string_to_unsigned(text, 10, 1, G_MAXUINT64,
						  &era, NULL)
		       ? era
		       : 0;
}

/* A watch that waits for changes of the former era shows nothing any more. */
static void restart_servers(struct cgw_feed *f)
{
	struct reader *r = &f->readers[READER_SERVERS];

	r->revision = 0;
	if (!f->polling || !cgw_call_running(&r->call) || !r->watching)
		return;
	cgw_call_cancel(&r->call);
	cgw_call_clear(&r->call);
	cgw_feed_schedule(r, 0);
}

static void settle(struct cgw_feed *f, cg_ms ms)
{
	f->settled_at = MAX(f->settled_at, cgw_loop_now(f->loop) + ms);
}

/* Records the era of a response, higher than any before. */
static void begin_era(struct cgw_feed *f, uint64_t era)
{
	cg_ms now = cgw_loop_now(f->loop);
	bool changed = f->era != 0;

	settle(f, changed ? SETTLE_MS : SETTLE_START_MS);
	if (changed) {
		f->era_changes++;
		cg_count(CG_COUNTER_STORE_RETURNS);
		cg_warning("the store has returned from an older copy: era "
			   "%" G_GUINT64_FORMAT " after %" G_GUINT64_FORMAT,
			   era, f->era);
	}
	f->era = era;
	if (!changed)
		return;
	/* Entries that were written after the copy are missing until their
	 * servers write them again, as after an outage. */
	f->outage_ended_at = now;
	cgw_timer_arm(f->loop, &f->grace_timer, now + EXPIRED_ENTRY_GRACE_MS);
	restart_servers(f);
	if (f->polling)
		cgw_feed_list_fleet_again(
			f, g_random_int_range(0, FLEET_LIST_SPREAD_MS));
}

static uint64_t heard_era(const struct cgw_feed *f)
{
	return cgw_loop_now(f->loop) - f->heard_era_at < HEARD_MS ? f->heard_era
								  : 0;
}

void cgw_feed_record_era(struct cgw_feed *f, uint64_t era)
{
	uint64_t heard = heard_era(f);

	if (era <= f->era || era < heard)
		return;
	if (era > heard && f->era)
		settle(f, SETTLE_MS);
	f->heard_era = era;
	f->heard_era_at = cgw_loop_now(f->loop);
}

enum era_check cgw_feed_check_era(struct reader *r)
{
	struct cgw_feed *f = r->feed;
	uint64_t era = era_of_response(r);
	bool continues = r->watching || r->cursor;

	if (!era)
		return ERA_USABLE;
	if (era < f->era || era < heard_era(f))
		return ERA_LATE;
	if (era > f->era)
		begin_era(f, era);
	if (continues && r->era != era) {
		r->era = era;
		return ERA_INTERRUPTED;
	}
	r->era = era;
	return ERA_USABLE;
}

bool cgw_feed_may_prove(const struct cgw_feed *f, uint64_t version,
			cg_ms read_at)
{
	return version >= cgw_feed_known_version(f) && read_at >= f->settled_at;
}

void cgw_feed_record_known_version(struct cgw_feed *f, uint64_t version)
{
	uint64_t known = cgw_feed_known_version(f);
	cg_ms now = cgw_loop_now(f->loop);

	if (!version || version < known)
		return;
	if (version > cgw_feed_version(f) && !f->behind_since)
		f->behind_since = now;
	if (version > known)
		f->known_since = now;
	f->known_version = version;
	f->known_at = now;
}

uint64_t cgw_feed_known_version(const struct cgw_feed *f)
{
	return cgw_loop_now(f->loop) - f->known_at < HEARD_MS ? f->known_version
							      : 0;
}

bool cgw_feed_newer_is_known(const struct cgw_feed *f)
{
	return cgw_feed_version(f) < cgw_feed_known_version(f);
}

bool cgw_feed_is_behind(const struct cgw_feed *f)
{
	return cgw_feed_newer_is_known(f) && f->older_read_at > f->known_since;
}

uint64_t cgw_feed_era(const struct cgw_feed *f)
{
	return f->era;
}

uint64_t cgw_feed_era_changes(const struct cgw_feed *f)
{
	return f->era_changes;
}

bool cgw_feed_is_settling(const struct cgw_feed *f)
{
	return f->era && cgw_loop_now(f->loop) < f->settled_at;
}

bool cgw_feed_needs_reports(const struct cgw_feed *f)
{
	return cgw_feed_is_settling(f) ||
	       (f->era &&
		(cgw_feed_newer_is_known(f) || f->era < heard_era(f)));
}
