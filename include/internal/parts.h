/**
 * @file parts.h
 * Stored format of the configuration: immutable parts that are named by the
 * SHA-256 of their content, and one root that lists them.
 */
#ifndef CELERYGLADE_INTERNAL_PARTS_H
#define CELERYGLADE_INTERNAL_PARTS_H

#include <glib.h>

#include "celeryglade/config.h"
#include "internal/jsonc.h"
#include "internal/objects.h"

/** Name of the root in the store. */
#define CG_ROOT_OBJECT "config/root"
/** Buffer sizes with the terminating zero. */
#define CG_PART_NAME_SIZE 80
#define CG_WRITE_ID_SIZE  33
/** Number of write ids of earlier versions that a root lists. */
#define CG_ROOT_EARLIER_IDS 8
/** Size limit of a part. Readers and writers refuse larger ones. */
#define CG_PART_MAX_BYTES (256 * 1024)

/** Identifies one part by its content. */
struct cg_part_ref {
	uint8_t digest[CG_DIGEST_SIZE];
	uint32_t size;
};

/** The decoded root. */
struct cg_root {
	uint64_t version;
	char write_id[CG_WRITE_ID_SIZE]; /**< 128 random bits in hex. */
	/** Write ids of the preceding versions, the latest first, then empty
	 * strings. A writer that lost the response to its write finds its own
	 * id here if others have written since. */
	char earlier[CG_ROOT_EARLIER_IDS][CG_WRITE_ID_SIZE];
	struct cg_part_ref *parts;
	size_t part_count;
};

/** Decodes a root. Returns 0, and the caller releases @p out with
 * cg_root_clear; or -1 after adding every fault to @p f. */
int cg_root_parse(GBytes *text, struct cg_root *out, struct cg_faults *f);
void cg_root_clear(struct cg_root *r);

/** Encodes a root. The caller owns the result. */
GBytes *cg_root_encode(const struct cg_root *r);

/** Writes the name of a part in the store. */
void cg_part_name(const uint8_t digest[CG_DIGEST_SIZE],
		  char out[CG_PART_NAME_SIZE]);

/** Computes the digest of a part's content. */
void cg_part_digest(GBytes *content, uint8_t out[CG_DIGEST_SIZE]);

/**
 * Builds a snapshot from the root and the contents of its parts, in the order
 * of the root; NULL stands for a missing part. Returns 0, and the caller owns
 * one reference to @p out; or -1 after adding every fault to @p f.
 */
int cg_config_build(const struct cg_root *root, GBytes *const *parts,
		    struct cg_config **out, struct cg_faults *f);

/**
 * Encodes a snapshot. Returns 0 with the list of parts in @p root, whose
 * version and write ids are left empty (release it with cg_root_clear), and the
 * contents as GBytes in @p out (release it with g_ptr_array_unref); or -1 after
 * adding a fault if a part would be too large. Equal objects give equal bytes.
 */
int cg_parts_encode(const struct cg_config *c, struct cg_root *root,
		    GPtrArray **out, struct cg_faults *f);

/** Access to the objects of one kind by index, in order of names, and their
 * encoding in a part, which cg_object_encode appends to @p out. */
size_t cg_object_count(const struct cg_config *c, enum cg_object_kind kind);
const char *cg_object_name(const struct cg_config *c, enum cg_object_kind kind,
			   size_t i);
void cg_object_encode(const struct cg_config *c, enum cg_object_kind kind,
		      size_t i, GString *out);

#endif
