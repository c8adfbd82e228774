/**
 * @file shards.h
 * Ownership of the 256 shards. At most one instance owns a shard at any time;
 * ownership has no time limit (docs/design.md 6).
 */
#ifndef CELERYGLADE_INTERNAL_SHARDS_H
#define CELERYGLADE_INTERNAL_SHARDS_H

#include "internal/docs.h"
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

/**
 * Called once a shard that this process gave up is owned by @p to, without
 * locks held. From before the map's update on, cg_shards_owner says that this
 * process does not own it, so that the ledger no longer changes.
 */
typedef void (*cg_shards_handover)(void *arg, uint32_t shard,
				   const struct cg_shard_owner *to);

/** Creates the controller. References stay with the caller. */
struct cg_shards *cg_shards_new(const struct cg_settings *s,
				uint64_t incarnation, struct cg_clock *clk,
				struct cg_store *store, struct cg_docs *docs,
				struct cg_members *members);
void cg_shards_free(struct cg_shards *s);

/** Sets the function for handovers; call before cg_shards_start. */
void cg_shards_set_handover(struct cg_shards *s, cg_shards_handover fn,
			    void *arg);
int cg_shards_start(struct cg_shards *s);
void cg_shards_stop(struct cg_shards *s);

/** Listener for cg_docs_add_listener; @p arg is the struct cg_shards. Add it
 * before those of modules that ask for owners. */
void cg_shards_on_doc(void *arg, enum cg_doc doc, uint64_t version,
		      GBytes *content);

/**
 * Hands all shards of this process over to other members and claims none from
 * now on. Returns 0 once the map names none of them as owned by this process,
 * or -1 after @p timeout.
 */
int cg_shards_hand_over_all(struct cg_shards *s, cg_ms timeout);

/** Takes one step of the rules: creates the map, claims or hands over. Runs
 * in the controller's thread; for tests without a thread. */
void cg_shards_step(struct cg_shards *s);

/** Number of shards that this process owns. */
size_t cg_shards_owned_count(struct cg_shards *s);

/** Describes the map for the operator's tool. The caller owns it. */
struct json_object *cg_shards_status(struct cg_shards *s);

/** Copies the owner. Returns 0, or -1 if the shard has none yet. */
int cg_shards_owner(struct cg_shards *s, uint32_t shard,
		    struct cg_shard_owner *out);

/** Returns the version of the shard map in use. */
uint64_t cg_shards_map_version(struct cg_shards *s);

#endif
