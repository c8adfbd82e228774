/**
 * @file objects.h
 * Builds a snapshot from single objects in JSON. The stored parts and an
 * operator's folder use the same format of objects, so both are decoded here.
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

/** Returns the file that set the member at @p path ("accounts/a/rate"), or NULL
 * if it is not known. */
typedef const char *(*cg_source_file_fn)(void *arg, const char *path);

/** Collects decoded objects until cg_builder_finish. */
struct cg_builder;

/** Creates a builder that adds faults to @p f. If @p file_of is NULL, faults
 * name only the path in the configuration. Free it with cg_builder_free. */
struct cg_builder *cg_builder_new(cg_source_file_fn file_of, void *arg,
				  struct cg_faults *f);
void cg_builder_free(struct cg_builder *b);

/** Decodes and validates one object; the caller keeps ownership of @p o. */
void cg_builder_add(struct cg_builder *b, enum cg_object_kind kind,
		    const char *name, struct json_object *o);

/**
 * Resolves references and runs the checks that involve several objects. Returns
 * 0, and the caller owns one reference to @p out; or -1 if any fault was added
 * since cg_builder_new. Must be called only once.
 */
int cg_builder_finish(struct cg_builder *b, uint64_t version,
		      struct cg_config **out);

#endif
