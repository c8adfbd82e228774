/**
 * @file publish.h
 * Writes a configuration to the store and reads the one in force. Used by the
 * command-line tool; the calls block.
 */
#ifndef CELERYGLADE_INTERNAL_PUBLISH_H
#define CELERYGLADE_INTERNAL_PUBLISH_H

#include "internal/parts.h"
#include "internal/store.h"

enum cg_publish_result {
	CG_PUBLISH_WRITTEN, /**< The new root is, or was, in force. */
	CG_PUBLISH_UNCHANGED, /**< Equal to the configuration in force. */
	CG_PUBLISH_LOST_RACE, /**< Another writer replaced the root first. */
	CG_PUBLISH_UNAVAILABLE, /**< The store failed; root not written. */
	CG_PUBLISH_UNKNOWN, /**< Not known whether the root was written. */
	CG_PUBLISH_INVALID, /**< Nothing was written; see the faults. */
};

/** Report of a call of cg_publish. */
struct cg_publication {
	uint64_t version; /**< Version of the root written or in force. */
	char write_id[CG_WRITE_ID_SIZE];
	uint64_t in_force; /**< Version in force at the end; 0 if not known. */
	size_t parts; /**< Number of parts in the new root. */
	size_t parts_written; /**< Those that the previous root lacked. */
};

/**
 * Writes the parts of @p c that the root in force lacks, then replaces the root
 * on condition that it has not changed since it was read, so that another
 * writer's root is never overwritten. Failed calls are retried with a delay
 * that starts at @p retry_ms and doubles. Faults of the configuration or of the
 * stored root are added to @p f.
 */
enum cg_publish_result cg_publish(struct cg_store *store,
				  const struct cg_config *c, cg_ms retry_ms,
				  struct cg_publication *out,
				  struct cg_faults *f);

/**
 * Reads the configuration in force, with retries as cg_publish. Returns
 * CG_STORE_OK, and the caller owns one reference to @p out; CG_STORE_NOT_FOUND
 * if none was ever written; CG_STORE_REJECTED, after adding faults to @p f, if
 * the stored one is not valid; or CG_STORE_UNAVAILABLE.
 */
enum cg_store_result cg_published_config_load(struct cg_store *store,
					      cg_ms retry_ms,
					      struct cg_config **out,
					      struct cg_faults *f);

#endif
