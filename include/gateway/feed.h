/**
 * @file feed.h
 * What the gateway reads from the object store: the configuration with the age
 * of its proof of freshness, the backend servers, and the other daemons.
 */
#ifndef CELERYGLADE_GATEWAY_FEED_H
#define CELERYGLADE_GATEWAY_FEED_H

#include "gateway/gateway_settings.h"
#include "gateway/loop.h"
#include "gateway/server_memory.h"
#include "gateway/store_format.h"
#include "gateway/upstream.h"

struct cgw_feed;

/** Callbacks for new data; none may be NULL. The arrays are valid only during
 * the call. */
struct cgw_feed_events {
	void *arg;
	void (*table)(void *arg, struct cgw_table *t);
	void (*servers)(void *arg, const struct cgw_server_facts *s, size_t n);
	void (*fleet)(void *arg, const struct cgw_fleet_entry *e, size_t n);
};

/** Creates a feed that does nothing until cgw_feed_start(). @p events is
 * copied; the other arguments must outlive the feed. */
struct cgw_feed *cgw_feed_new(struct cgw_loop *l, struct cgw_upstream *u,
			      const struct cgw_settings *s,
			      const struct cgw_store_format *format,
			      const struct cgw_feed_events *events);
void cgw_feed_free(struct cgw_feed *f);

/** Reads the fleet once and registers this daemon in the store if the list lacks
 * it. Nothing else is read before cgw_feed_set_polling() or
 * cgw_feed_refresh(). */
void cgw_feed_start(struct cgw_feed *f);
/** Lists the fleet again after a random delay and writes what it lacks: the leader
 * has found that the entry of this daemon is missing. */
void cgw_feed_register_again(struct cgw_feed *f);
/** Starts or stops periodic reads of the configuration and the servers. */
void cgw_feed_set_polling(struct cgw_feed *f, bool polling);
/** Reads the configuration from the store as soon as possible. */
void cgw_feed_refresh(struct cgw_feed *f);

/** Returns the table in force, or NULL; owned by the feed. */
struct cgw_table *cgw_feed_table(struct cgw_feed *f);
/** Returns the version of the configuration in force; 0 for none. */
uint64_t cgw_feed_version(const struct cgw_feed *f);
/** Returns the configuration in force, compressed by cgw_compress(), or NULL; owned
 * by the feed. */
GBytes *cgw_feed_compressed_config(struct cgw_feed *f);
/** Puts a configuration that @p source, another daemon, has handed on into force
 * if it is newer. @p compressed is the same text as that daemon has compressed it,
 * or NULL. @p sent_at is the time of the request for it. Returns its version, or 0
 * if it is invalid. */
uint64_t cgw_feed_take_config(struct cgw_feed *f, const void *text, size_t len,
			      GBytes *compressed, const char *source,
			      cg_ms sent_at);
/** Returns when the last read of the configuration that the store answered, be it
 * by "none yet", started; 0 for never. */
cg_ms cgw_feed_last_config_read(const struct cgw_feed *f);
/** Returns the servers in force (struct cgw_server_facts); owned by the
 * feed. */
GArray *cgw_feed_servers(struct cgw_feed *f);
/** Takes a list of servers that another daemon has read at @p read_at, on this
 * daemon's clock. Ignored if this daemon has a later one, or has any and can read
 * the store itself. */
void cgw_feed_take_servers(struct cgw_feed *f,
			   const struct cgw_server_facts *servers, size_t n,
			   uint64_t era, cg_ms read_at);
/** Takes servers that drain or have left, as another daemon remembers them. Older
 * entries of them are no longer used. */
void cgw_feed_take_departures(struct cgw_feed *f, const struct cgw_departure *d,
			      size_t n);
/** Returns the remembered ones (struct cgw_departure), which the caller frees. */
GArray *cgw_feed_departures(struct cgw_feed *f);
/** Returns the era of the store that the list of servers shows; 0 if unknown. */
uint64_t cgw_feed_servers_era(const struct cgw_feed *f);
/** Records a proof of freshness from another daemon: at @p proved_at, on this
 * daemon's clock, @p version was the latest version. */
void cgw_feed_record_proof(struct cgw_feed *f, uint64_t version,
			   cg_ms proved_at);
/** Returns the time at which the table was last proved to be the latest, or
 * -1. */
cg_ms cgw_feed_proved_at(const struct cgw_feed *f);
/** Records that another daemon has a configuration of this version. A read of an
 * older one proves nothing in the next two seconds. */
void cgw_feed_record_known_version(struct cgw_feed *f, uint64_t version);
/** Returns the highest version that another daemon has reported in the last two
 * seconds; 0 for none. */
uint64_t cgw_feed_known_version(const struct cgw_feed *f);
/** Returns whether another daemon has a newer configuration than this one. */
bool cgw_feed_newer_is_known(const struct cgw_feed *f);
/** Returns whether another daemon has a newer configuration than this one, which
 * the store, read since, does not have. */
bool cgw_feed_is_behind(const struct cgw_feed *f);
/** Records the era of the store that another daemon has seen. Responses of an
 * earlier one show nothing in the next two seconds. */
void cgw_feed_record_era(struct cgw_feed *f, uint64_t era);
/** Returns the highest era that the store has shown to this process; 0 for
 * none. */
uint64_t cgw_feed_era(const struct cgw_feed *f);
/** Returns how often the store has returned from an older copy since this process
 * started. */
uint64_t cgw_feed_era_changes(const struct cgw_feed *f);
/** Returns whether the era has changed, or become known, so recently that other
 * daemons may not have reported yet what the store has lost. */
bool cgw_feed_is_settling(const struct cgw_feed *f);
/** Returns whether the reports of other daemons matter: in that time, and while one
 * of them has a newer configuration or has seen a later era. */
bool cgw_feed_needs_reports(const struct cgw_feed *f);
/** Returns whether the store can be read, as far as this daemon has tried. One
 * failed call does not count. */
bool cgw_feed_is_healthy(const struct cgw_feed *f);
/** Returns whether this daemon polls the store and has failed to read the
 * servers since it began. */
bool cgw_feed_is_unreachable(const struct cgw_feed *f);
/** Returns when the read of the present list of servers started. */
cg_ms cgw_feed_servers_read_at(const struct cgw_feed *f);
/** Returns the number of requests sent to the store. */
uint64_t cgw_feed_call_count(const struct cgw_feed *f);

#endif
