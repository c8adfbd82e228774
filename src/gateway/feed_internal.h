/**
 * @file feed_internal.h
 * Declarations shared by the files of the feed: feed_calls.c (calls to the
 * store), feed_era.c (return of the store from an older copy), feed_servers.c
 * (list of servers and its watch), feed_fleet.c (list of the fleet and
 * registration) and feed.c (configuration, health).
 */
#ifndef CELERYGLADE_GATEWAY_FEED_INTERNAL_H
#define CELERYGLADE_GATEWAY_FEED_INTERNAL_H

#include "gateway/feed.h"

/* The list of servers is read once, then its changes are watched. A watch
 * without changes ends after this time. The list counts as proved until then. */
#define WATCH_WAIT_MS 700
/* Least time between two watches while there are many changes. */
#define WATCH_INTERVAL_MS 300
/* A call that takes longer is abandoned. The store answers in 4 ms, or in
 * 240 ms when it is slow. */
#define CALL_TIMEOUT_MS 700
/* The entry of a live server that expired during an outage of the store is
 * written again within two seconds after the outage. */
#define EXPIRED_ENTRY_GRACE_MS 2200
/* The delay after a failed read doubles from the minimum to the maximum. */
#define RETRY_DELAY_MIN_MS 250
#define RETRY_DELAY_MAX_MS 1000

enum reader_kind {
	READER_CONFIG,
	READER_SERVERS,
	READER_FLEET,
	READER_COUNT
};

extern const char *const cgw_feed_reader_names[READER_COUNT];

/* A daemon lists the fleet. If the list lacks the secret that signs the fleet's
 * datagrams, the daemon creates one; if several daemons do so, the store keeps
 * the first. If the list lacks the daemon itself, or has an outdated entry of
 * it, the daemon registers first, since by then another one may have created the
 * secret. A daemon that restarts finds both and writes nothing. */
enum fleet_step {
	STEP_LIST,
	STEP_CREATE_SECRET,
	STEP_REGISTER, /* creates the entry of this daemon */
	STEP_UPDATE, /* replaces it */
	STEP_RESTORE_SECRET /* replaces the secret by the one in use */
};

/* Reads one resource of the store, in one or more calls. */
struct reader {
	struct cgw_feed *feed;
	enum reader_kind kind;
	struct cgw_call call;
	GByteArray *request;
	struct cgw_timer timer;
	cg_ms sent_at;
	cg_ms last_read_at; /* start of the last read that succeeded or found
			     * nothing; 0: none */
	cg_ms retry_delay; /* 0 unless the last call failed */
	char *cursor; /* of the next page of a listing, or NULL */
	GArray *items; /* entries read so far */
	unsigned int invalid_entries;
	uint64_t era; /* of the items and the revision; 0 if unknown */
	bool read_again; /* start a read when the present call ends */
	enum fleet_step step; /* of the fleet's reader */
	bool wrote; /* this process has written to the fleet */
	enum fleet_step last_write; /* if it has */
	/* Of the servers' reader: the revision of the store that the list
	 * shows, 0 to read the list as a whole. */
	uint64_t revision;
	uint64_t first_page_revision;
	cg_ms listed_at; /* start of the last read of the whole list */
	bool watching; /* the present call watches */
	bool succeeded; /* at least once */
	bool failing; /* the last call failed */
	cg_ms failed_at; /* end of the last call that failed */
	cg_ms failing_since; /* end of the first one in a row */
};

struct cgw_feed {
	struct cgw_loop *loop;
	struct cgw_upstream *client;
	const struct cgw_settings *settings;
	const struct cgw_store_format *format;
	struct cgw_feed_events events;
	struct reader readers[READER_COUNT];
	struct cgw_table *table;
	/* The text from which the table was read: */
	GBytes *compressed_config;
	size_t config_len;
	uint64_t config_hash;
	cg_ms proved_at; /* when the table was last proved to be the latest */
	/* id to struct cgw_server_facts, as the store lists them */
	GHashTable *listed_servers;
	GArray *servers; /* struct cgw_server_facts in force: these, and for a
			  * short time those that expired in an outage */
	bool retains_servers; /* some in force are not listed */
	bool polling;
	cg_ms polling_since;
	bool unanswered; /* no call has succeeded since one failed */
	cg_ms unanswered_since;
	cg_ms outage_ended_at; /* of the last outage of the store in which
				* entries can have expired */
	struct cgw_timer grace_timer; /* fires EXPIRED_ENTRY_GRACE_MS later */
	cg_ms servers_read_at; /* start of that read */
	uint64_t servers_era; /* of listed_servers; 0 if unknown */
	struct cgw_server_memory *departed;
	uint64_t era; /* highest that the store has shown; 0: none */
	uint64_t heard_era; /* higher one that another daemon has seen */
	cg_ms heard_era_at; /* when one has last said so */
	uint64_t era_changes; /* since the start of this process */
	cg_ms settled_at; /* reads that start earlier prove nothing */
	uint64_t known_version; /* highest that another daemon has or had */
	cg_ms known_since;
	cg_ms known_at; /* when one has last said so */
	cg_ms behind_since; /* a newer version than that in force is known; 0 if
			     * none is */
	cg_ms older_read_at; /* start of the last read that found an older
			      * version than that */
	char secret[65]; /* of the fleet, as in use; "" until known */
	uint64_t secret_era; /* in which it was read */
	uint64_t secret_restored_era; /* in which it replaced another one */
	cg_ms secret_wait_since; /* 0 unless it waits for a secret */
	/* Lists since the last change of era, or since this daemon created the
	 * secret. */
	unsigned int fleet_lists;
	cg_ms fleet_listed_at; /* end of the last one */
	bool created_secret; /* that the store then had */
	cg_ms registered_at; /* last write of the own entry */
	uint64_t call_count;
};

void cgw_feed_schedule(struct reader *r, cg_ms delay);
/* Starts a read now, after the present call, or after the retry delay. */
void cgw_feed_request_read(struct reader *r);
void cgw_feed_on_timer(struct cgw_timer *t);

void cgw_feed_record_outcome(struct reader *r, bool ok, const char *reason);
void cgw_feed_apply_config(struct reader *r);

void cgw_feed_list_server(struct cgw_feed *f, const struct cgw_server_facts *s);
/* Puts the listed servers into force. @read_at is a time at which the list was
 * the latest. */
void cgw_feed_apply_servers(struct reader *r, cg_ms read_at);
void cgw_feed_apply_server_list(struct reader *r);
/* Applies the response to a watch. Returns the delay until the next call, or -1
 * if the response is invalid. */
cg_ms cgw_feed_apply_server_events(struct reader *r);
void cgw_feed_on_grace_end(struct cgw_timer *t);

enum era_check {
	ERA_USABLE,
	ERA_LATE, /* the response is of an earlier era: it shows nothing */
	ERA_INTERRUPTED /* it continues a read of another era */
};

/* Checks the era of the response to the present call, and records a new one. */
enum era_check cgw_feed_check_era(struct reader *r);
/* Returns whether a read of a version proves that it is the latest. */
bool cgw_feed_may_prove(const struct cgw_feed *f, uint64_t version,
			cg_ms read_at);
void cgw_feed_list_fleet_again(struct cgw_feed *f, cg_ms delay);

bool cgw_feed_is_write(const struct reader *r);
/* Returns the delay until the next call, or -1 for none. */
cg_ms cgw_feed_apply_fleet(struct reader *r);
/* Returns the body of a write; the caller frees it. */
char *cgw_feed_build_fleet_entry(const struct reader *r);

#endif
