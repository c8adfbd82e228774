/**
 * @file shards.h
 * Ownership of the 256 shards. At most one instance owns a shard at any time.
 * Ownership has no lease: it ends only when the shard map changes.
 */
#ifndef CELERYGLADE_INTERNAL_SHARDS_H
#define CELERYGLADE_INTERNAL_SHARDS_H

#include "internal/docs.h"
#include "internal/members.h"

/** The owner of a shard. */
struct cg_shard_owner {
	char instance[CG_NAME_MAX + 1];
	uint64_t incarnation;
	uint64_t epoch; /**< Incremented by each change of owner. */
	struct sockaddr_in addr;
	bool self; /**< This process owns it. */
};

struct cg_shards;

/**
 * Called once after a shard of this process was handed over to @p to, with no
 * lock held that cg_shards_owner needs. Already before the map is written,
 * cg_shards_owner reports that this process does not own the shard, so that its
 * ledger no longer changes.
 */
typedef void (*cg_shards_handover)(void *arg, uint32_t shard,
				   const struct cg_shard_owner *to);

/** Creates the controller. The arguments are borrowed and must outlive it. */
struct cg_shards *cg_shards_new(const struct cg_settings *s,
				uint64_t incarnation, struct cg_clock *clk,
				struct cg_store *store, struct cg_docs *docs,
				struct cg_members *members);
void cg_shards_free(struct cg_shards *s);

/** Sets the callback for handovers. Call before cg_shards_start. */
void cg_shards_set_handover(struct cg_shards *s, cg_shards_handover fn,
			    void *arg);
int cg_shards_start(struct cg_shards *s);
void cg_shards_stop(struct cg_shards *s);

/** Listener for cg_docs_add_listener; @p arg is the struct cg_shards. Must be
 * added before the listeners of modules that call cg_shards_owner. */
void cg_shards_on_doc(void *arg, enum cg_doc doc, uint64_t version,
		      GBytes *content);

/**
 * Hands all shards of this process over to other members and claims no more
 * shards. Returns 0 once the map names this process as owner of no shard, or -1
 * if that is not the case after @p timeout ms.
 */
int cg_shards_hand_over_all(struct cg_shards *s, cg_ms timeout);

/** Applies the rules once: creates the map, claims shards or hands one over.
 * Called by the controller's thread, and by tests that run without it. */
void cg_shards_step(struct cg_shards *s);

/** Returns the number of shards that this process owns. */
size_t cg_shards_owned_count(struct cg_shards *s);

/** Returns the state of the map as JSON for celerygladectl. The caller owns the
 * result. */
struct json_object *cg_shards_status(struct cg_shards *s);

/** Copies the owner of a shard. Returns 0, or -1 if there is no map yet. */
int cg_shards_owner(struct cg_shards *s, uint32_t shard,
		    struct cg_shard_owner *out);

/** Returns the version of the shard map in use, 0 if there is none. */
uint64_t cg_shards_map_version(struct cg_shards *s);

#endif
