/**
 * @file shard_map.h
 * The shard map document and the rules by which it changes. Performs no I/O.
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
	uint64_t epoch; /**< Rises with each change of owner. */
};

struct cg_shard_map {
	uint64_t version;
	char write_id[CG_MAP_WRITE_ID_SIZE]; /**< Names the write. */
	struct cg_map_entry shards[CG_SHARDS];
};

/** Decodes a map. Returns 0, or -1 with the faults added. */
int cg_shard_map_parse(GBytes *text, struct cg_shard_map *out,
		       struct cg_faults *f);

/** Encodes a map; the caller owns the result. */
GBytes *cg_shard_map_encode(const struct cg_shard_map *m);

/** What the rules see of one member. */
struct cg_map_member {
	char name[CG_NAME_MAX + 1];
	uint64_t incarnation;
	struct sockaddr_in addr;
	bool eligible; /**< Listed as live and heard recently. */
	bool gone; /**< Proved gone; others may claim its shards. */
	bool self;
	bool moved; /**< Self, confirmed by the list at its present address. */
};

/**
 * Fills a first map: the owner of each shard is the first eligible member by
 * rendezvous hash that owns fewer than its share. Returns 0, or -1 if there is
 * no eligible member.
 */
int cg_shard_map_create(const struct cg_map_member *members, size_t n,
			struct cg_shard_map *out);

/**
 * Moves to self the shards that it may claim: its own ones of an earlier
 * incarnation at the same address, or at another one if it has moved, and those of owners that are gone, shared
 * among the eligible members. With @p all, self takes every shard whose owner is
 * gone. Returns the number of shards changed.
 */
size_t cg_shard_map_claim(struct cg_shard_map *m,
			  const struct cg_map_member *members, size_t n,
			  bool all);

/** Number of shards whose owner is gone. */
size_t cg_shard_map_count_orphans(const struct cg_shard_map *m,
				  const struct cg_map_member *members,
				  size_t n);

/**
 * Moves one shard from self to the eligible member with the fewest if self owns
 * at least two more than it. Returns the shard, or -1.
 */
int cg_shard_map_rebalance(struct cg_shard_map *m,
			   const struct cg_map_member *members, size_t n);

/**
 * Moves all shards of self to the other eligible members. Returns the number
 * moved; 0 if there is no eligible member.
 */
size_t cg_shard_map_hand_over_all(struct cg_shard_map *m,
				  const struct cg_map_member *members,
				  size_t n);

#endif
