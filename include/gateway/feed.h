/**
 * @file feed.h
 * What the gateway reads from the object store: the configuration with the age
 * of its proof of freshness, the backend servers, and the other daemons.
 */
#ifndef CELERYGLADE_GATEWAY_FEED_H
#define CELERYGLADE_GATEWAY_FEED_H

#include "gateway/gateway_settings.h"
#include "gateway/loop.h"
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

/** Reads the configuration, the servers and the fleet once, and registers this
 * daemon in the store. */
void cgw_feed_start(struct cgw_feed *f);
/** Starts or stops periodic reads of the configuration and the servers. */
void cgw_feed_set_polling(struct cgw_feed *f, bool polling);
/** Reads the configuration as soon as possible, because another daemon has a
 * later version or the proof of freshness is too old. */
void cgw_feed_refresh(struct cgw_feed *f);

/** Returns the table in force, or NULL; owned by the feed. */
struct cgw_table *cgw_feed_table(struct cgw_feed *f);
/** Records a proof of freshness from another daemon: at @p proved_at, on this
 * daemon's clock, @p version was the latest version. */
void cgw_feed_record_proof(struct cgw_feed *f, uint64_t version,
			   cg_ms proved_at);
/** Returns the time at which the table was last proved to be the latest, or
 * -1. */
cg_ms cgw_feed_proved_at(const struct cgw_feed *f);
/** Returns whether the store answers, and has answered for long enough that
 * entries which expired during an outage have been written again. */
bool cgw_feed_is_healthy(const struct cgw_feed *f);
/** Returns when the read of the present list of servers started. */
cg_ms cgw_feed_servers_read_at(const struct cgw_feed *f);
/** Returns the number of requests sent to the store. */
uint64_t cgw_feed_call_count(const struct cgw_feed *f);

#endif
