/**
 * @file publish.h
 * Writes a configuration to the store and reads the one in force
 * (docs/design.md 4). Used by the tool; calls block.
 */
#ifndef CELERYGLADE_INTERNAL_PUBLISH_H
#define CELERYGLADE_INTERNAL_PUBLISH_H

#include "internal/parts.h"
#include "internal/store.h"

enum cg_publish_result {
	CG_PUBLISH_WRITTEN,
	CG_PUBLISH_UNCHANGED, /**< Equal to what is in force. */
	CG_PUBLISH_LOST_RACE, /**< Another writer was faster. */
	CG_PUBLISH_UNAVAILABLE, /**< The root was not written. */
	CG_PUBLISH_UNKNOWN, /**< The root may have been written. */
	CG_PUBLISH_INVALID, /**< See the faults; nothing was written. */
};

/** What a call of cg_publish did. */
struct cg_publication {
	uint64_t version; /**< Of the root written or in force. */
	char write_id[CG_WRITE_ID_SIZE];
	uint64_t in_force; /**< Version at the end, 0 if not known. */
	size_t parts; /**< In the new root. */
	size_t parts_written; /**< Of them, not in the root before. */
};

/**
 * Writes the parts of @p c that the root in force lacks, then the root, on the
 * condition that it is unchanged. Repeats failed calls with a growing delay
 * that starts at @p retry_ms. A conflict never overwrites.
 */
enum cg_publish_result cg_publish(struct cg_store *store,
				  const struct cg_config *c, cg_ms retry_ms,
				  struct cg_publication *out,
				  struct cg_faults *f);

/**
 * Reads the configuration in force. On OK the caller owns one reference to
 * @p out. NOT_FOUND means that none was ever written, REJECTED that what is
 * stored is not valid (see the faults).
 */
enum cg_store_result cg_published_config_load(struct cg_store *store,
					      cg_ms retry_ms,
					      struct cg_config **out,
					      struct cg_faults *f);

#endif
