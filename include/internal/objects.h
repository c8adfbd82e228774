/**
 * @file objects.h
 * Builds a snapshot from single objects in JSON. Parts of the root and an
 * operator's folder have the same form of objects, so both go through here.
 */
#ifndef CELERYGLADE_INTERNAL_OBJECTS_H
#define CELERYGLADE_INTERNAL_OBJECTS_H

#include "celeryglade/config.h"
#include "internal/jsonc.h"

enum cg_object_kind {
	CG_OBJECT_SERVICE,
	CG_OBJECT_ROUTE,
	CG_OBJECT_ACCOUNT,
	CG_OBJECT_KIND_COUNT,
};

/** Returns "services", "routes" or "accounts"; the string is static. */
const char *cg_object_kind_name(enum cg_object_kind kind);

/** Returns the file that the member at @p path ("accounts/a/rate") came from,
 * or NULL if it is not known. */
typedef const char *(*cg_source_file_fn)(void *arg, const char *path);

struct cg_builder;

/** Creates a builder that adds faults to @p f. With @p file_of NULL, faults
 * name only the path in the configuration. */
struct cg_builder *cg_builder_new(cg_source_file_fn file_of, void *arg,
				  struct cg_faults *f);
void cg_builder_free(struct cg_builder *b);

/** Decodes and checks one object; @p o stays with the caller. */
void cg_builder_add(struct cg_builder *b, enum cg_object_kind kind,
		    const char *name, struct json_object *o);

/**
 * Resolves references and checks what concerns several objects. Returns 0, and
 * the caller owns one reference to @p out, or -1 if there was any fault since
 * cg_builder_new. Call once.
 */
int cg_builder_finish(struct cg_builder *b, uint64_t version,
		      struct cg_config **out);

#endif
