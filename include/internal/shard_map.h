/**
 * @file shard_map.h
 * The shard map document and the rules for changing it. Performs no I/O.
 */
#ifndef CELERYGLADE_INTERNAL_SHARD_MAP_H
#define CELERYGLADE_INTERNAL_SHARD_MAP_H

#include <glib.h>
#include <netinet/in.h>

#include "internal/jsonc.h"
#include "internal/members.h"

#define CG_SHARDS_OBJECT     "shards/map"
#define CG_MAP_WRITE_ID_SIZE 33

/** One shard of the map. */
struct cg_map_entry {
	char owner[CG_NAME_MAX + 1];
	uint64_t incarnation;
	struct sockaddr_in addr;
	uint64_t epoch; /**< Incremented by each change of owner. */
};

struct cg_shard_map {
	uint64_t version;
	char write_id[CG_MAP_WRITE_ID_SIZE]; /**< Unique for each write. */
	struct cg_map_entry shards[CG_SHARDS];
};

/** Decodes a map. Returns 0, or -1 with the faults added to @p f. */
int cg_shard_map_parse(GBytes *text, struct cg_shard_map *out,
		       struct cg_faults *f);

/** Encodes a map; the caller owns the result. */
GBytes *cg_shard_map_encode(const struct cg_shard_map *m);

/** State of one member as the rules use it. */
struct cg_map_member {
	char name[CG_NAME_MAX + 1];
	uint64_t incarnation;
	struct sockaddr_in addr;
	bool eligible; /**< Listed as live, not leaving, seen recently. */
	bool gone; /**< Confirmed gone; others may claim its shards. */
	bool self;
	/** Self only: the list has shown its present address long enough. */
	bool address_confirmed;
};

/**
 * Creates the first map. Each shard goes to the eligible member with the
 * highest rendezvous weight that owns fewer shards than its share. Returns 0,
 * or -1 if there is no eligible member.
 */
int cg_shard_map_create(const struct cg_map_member *members, size_t n,
			struct cg_shard_map *out);

/**
 * Moves to self the shards that it may claim. These are the shards of an
 * earlier incarnation of self at the same address, or at any address if the
 * present one is confirmed, and its share of the shards of owners that are
 * gone, which are divided among the eligible members. With @p all, self claims
 * every shard whose owner is gone, provided that it is eligible; this is for
 * shards that nobody has claimed for too long. Returns the number of shards
 * changed.
 */
size_t cg_shard_map_claim(struct cg_shard_map *m,
			  const struct cg_map_member *members, size_t n,
			  bool all);

/** Returns the number of shards whose owner is gone. */
size_t cg_shard_map_count_orphans(const struct cg_shard_map *m,
				  const struct cg_map_member *members,
				  size_t n);

/**
 * Moves one shard from self to the eligible member with the fewest shards if
 * self owns at least two more than that member. Returns the shard, or -1.
 */
int cg_shard_map_rebalance(struct cg_shard_map *m,
			   const struct cg_map_member *members, size_t n);

/**
 * Moves all shards of self to the other eligible members. Returns the number of
 * shards moved, 0 if there is no other eligible member.
 */
size_t cg_shard_map_hand_over_all(struct cg_shard_map *m,
				  const struct cg_map_member *members,
				  size_t n);

#endif
