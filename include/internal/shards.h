/**
 * @file shards.h
 * Ownership of the 256 shards. At most one instance owns a shard at any time;
 * ownership has no time limit (docs/design.md 6).
 */
#ifndef CELERYGLADE_INTERNAL_SHARDS_H
#define CELERYGLADE_INTERNAL_SHARDS_H

#include "internal/members.h"

/** The owner of a shard. */
struct cg_shard_owner {
	char instance[CG_NAME_MAX + 1];
	uint64_t incarnation;
	uint64_t epoch; /**< Rises with each change of owner. */
	struct sockaddr_in addr;
	bool self; /**< This process owns it. */
};

struct cg_shards;

/** Copies the owner. Returns 0, or -1 if the shard has none yet. */
int cg_shards_owner(struct cg_shards *s, uint32_t shard,
		    struct cg_shard_owner *out);

/** Returns the version of the shard map in use. */
uint64_t cg_shards_version(struct cg_shards *s);

#endif
