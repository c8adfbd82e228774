/**
 * @file feed.h
 * What the gateway knows from the store: the configuration with the age of its
 * proof, the backend servers, and the other daemons.
 */
#ifndef CELERYGLADE_GATEWAY_FEED_H
#define CELERYGLADE_GATEWAY_FEED_H

#include "gateway/gateway_settings.h"
#include "gateway/loop.h"
#include "gateway/store_format.h"
#include "gateway/upstream.h"

struct cgw_feed;

/** Called on changes; each may be NULL. */
struct cgw_feed_events {
	void *arg;
	void (*table)(void *arg, struct cgw_table *t);
	void (*servers)(void *arg, const struct cgw_server_facts *s, size_t n);
	void (*fleet)(void *arg, const struct cgw_fleet_entry *e, size_t n);
};

struct cgw_feed *cgw_feed_new(struct cgw_loop *l, struct cgw_upstream *u,
			      const struct cgw_settings *s,
			      const struct cgw_store_format *form,
			      const struct cgw_feed_events *events);
void cgw_feed_free(struct cgw_feed *f);

/** Reads everything once and enters this daemon into the store. */
void cgw_feed_start(struct cgw_feed *f);
/** An active feed reads configuration and servers again and again. */
void cgw_feed_set_active(struct cgw_feed *f, bool active);
/** Reads the configuration soon: another daemon has a later version, or the
 * proof is old. */
void cgw_feed_refresh(struct cgw_feed *f);

/** The table in force, or NULL; owned by the feed. */
struct cgw_table *cgw_feed_table(struct cgw_feed *f);
/** Notes a proof from another daemon: at @p proved_at, of the own clock, the
 * latest version was @p version. */
void cgw_feed_note_proof(struct cgw_feed *f, uint64_t version, cg_ms proved_at);
/** Time up to which the table is proved the latest, or -1. */
cg_ms cgw_feed_proved_at(const struct cgw_feed *f);
/** Whether the store answers, and has for so long that entries which lapsed
 * during an outage are back. */
bool cgw_feed_sound(const struct cgw_feed *f);
/** When the read of the servers in use began. */
cg_ms cgw_feed_servers_at(const struct cgw_feed *f);
uint64_t cgw_feed_calls(const struct cgw_feed *f);

#endif
