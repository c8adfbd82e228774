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

#define CG_ROOT_OBJECT	  "config/root"
#define CG_PART_NAME_SIZE 80
#define CG_WRITE_ID_SIZE  33
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
	struct cg_part_ref *parts;
	size_t part_count;
};

/** Decodes a root. Returns 0 and the caller calls cg_root_clear, or -1. */
int cg_root_parse(GBytes *text, struct cg_root *out, struct cg_faults *f);
void cg_root_clear(struct cg_root *r);

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

#endif
