/**
 * @file parts.h
 * How the configuration is stored: immutable parts named by their SHA-256 and
 * one root that lists them (docs/design.md 4).
 */
#ifndef CELERYGLADE_INTERNAL_PARTS_H
#define CELERYGLADE_INTERNAL_PARTS_H

#include <glib.h>

#include "celeryglade/config.h"
#include "internal/jsonc.h"
#include "internal/objects.h"

#define CG_ROOT_OBJECT	  "config/root"
#define CG_PART_NAME_SIZE 80
#define CG_WRITE_ID_SIZE  33
/** Write ids of earlier versions that a root keeps. */
#define CG_ROOT_EARLIER_IDS 8
/** Largest part; parts above it are refused by readers and writers. */
#define CG_PART_MAX_BYTES (256 * 1024)

/** Names one part by its content. */
struct cg_part_ref {
	uint8_t digest[CG_DIGEST_SIZE];
	uint32_t size;
};

/** The decoded root object. */
struct cg_root {
	uint64_t version;
	char write_id[CG_WRITE_ID_SIZE]; /**< 128 random bits in hex. */
	/** Ids of the versions before, the youngest first, then empty ones. A
	 * writer whose response was lost finds its own id here if others wrote
	 * since. */
	char earlier[CG_ROOT_EARLIER_IDS][CG_WRITE_ID_SIZE];
	struct cg_part_ref *parts;
	size_t part_count;
};

/** Decodes a root. Returns 0 and the caller calls cg_root_clear, or -1. */
int cg_root_parse(GBytes *text, struct cg_root *out, struct cg_faults *f);
void cg_root_clear(struct cg_root *r);

/** Encodes a root. The caller owns the result. */
GBytes *cg_root_encode(const struct cg_root *r);

/** Writes the store name of a part. */
void cg_part_name(const uint8_t digest[CG_DIGEST_SIZE],
		  char out[CG_PART_NAME_SIZE]);

/** Computes the digest of a part's content. */
void cg_part_digest(GBytes *content, uint8_t out[CG_DIGEST_SIZE]);

/**
 * Builds a snapshot from the root and the contents of its parts, in the root's
 * order. Every fault is added to @p f. Returns 0, and the caller owns one
 * reference to @p out, or -1.
 */
int cg_config_build(const struct cg_root *root, GBytes *const *parts,
		    struct cg_config **out, struct cg_faults *f);

/**
 * Encodes a snapshot. Returns 0 with the list of parts in @p root, whose
 * version and write ids stay empty (the caller calls cg_root_clear), and the
 * contents as GBytes in @p out (the caller drops the array), or -1 with a fault
 * if a part would be too large. Equal objects give equal bytes.
 */
int cg_parts_encode(const struct cg_config *c, struct cg_root *root,
		    GPtrArray **out, struct cg_faults *f);

/** Objects of one kind in order of names, and their text in a part. */
size_t cg_object_count(const struct cg_config *c, enum cg_object_kind kind);
const char *cg_object_name(const struct cg_config *c, enum cg_object_kind kind,
			   size_t i);
void cg_object_encode(const struct cg_config *c, enum cg_object_kind kind,
		      size_t i, GString *out);

#endif
