/**
 * @file server_memory.h
 * What is remembered of servers that leave or have left, so that a store that
 * returns from an older copy does not bring them back into use. Uses neither
 * network nor clock.
 */
#ifndef CELERYGLADE_GATEWAY_SERVER_MEMORY_H
#define CELERYGLADE_GATEWAY_SERVER_MEMORY_H

#include <glib.h>

#include "gateway/broker.h"

/** Most servers remembered; the one recorded first is forgotten first. */
#define CGW_SERVER_MEMORY_MAX 4096

/** The last state known of a server that leaves or has left. */
struct cgw_departure {
	char id[CGW_NAME_MAX + 1];
	int64_t started_wall_ms;
	int64_t seq; /**< Of its last entry. */
	uint64_t era; /**< Of the store that showed the entry. */
	bool gone; /**< Its entry was removed; otherwise it drains. */
};

/** What an entry of the store says of its server. */
enum cgw_entry_state {
	CGW_ENTRY_CURRENT, /**< Use the entry as it is. */
	CGW_ENTRY_DRAINING, /**< Older than the server's "draining". */
	CGW_ENTRY_GONE /**< Older than the removal of the server's entry. */
};

struct cgw_server_memory;

struct cgw_server_memory *cgw_server_memory_new(void);
void cgw_server_memory_free(struct cgw_server_memory *m);
/** Records a departure, unless a newer one of the same server is known. */
void cgw_server_memory_record(struct cgw_server_memory *m,
			      const struct cgw_departure *d, cg_ms now);
/** Returns what an entry that the store lists in @p era says. Only an entry from
 * a later era than the departure can be older than that; one with a higher seq or
 * of a later process makes the departure forgotten. Departures are kept for
 * ten minutes, and as long as the store lists an older entry. */
enum cgw_entry_state cgw_server_memory_check(struct cgw_server_memory *m,
					     const struct cgw_server_facts *s,
					     uint64_t era, cg_ms now);
/** Appends all departures (struct cgw_departure) to @p out. */
void cgw_server_memory_export(struct cgw_server_memory *m, GArray *out);
/** Returns the number of departures. */
unsigned int cgw_server_memory_count(const struct cgw_server_memory *m);

#endif
