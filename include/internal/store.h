/**
 * @file store.h
 * Client of the platform's object store API, based on neon. Calls block, with a
 * timeout in whole seconds. Thread-safe.
 */
#ifndef CELERYGLADE_INTERNAL_STORE_H
#define CELERYGLADE_INTERNAL_STORE_H

#include <glib.h>

#include "celeryglade/clock.h"

enum cg_store_result {
	CG_STORE_OK,
	CG_STORE_NOT_FOUND,
	CG_STORE_UNCHANGED, /**< A watch ended without a change. */
	CG_STORE_CONFLICT, /**< The condition was false; nothing changed. */
	CG_STORE_REJECTED, /**< The store refused the call; nothing changed. */
	CG_STORE_UNAVAILABLE, /**< The call did not take effect. */
	CG_STORE_UNKNOWN, /**< A write may have taken effect. */
};

const char *cg_store_result_name(enum cg_store_result r);

struct cg_store;

/** Creates a client for the URL "http://IP:PORT", or returns NULL if it is
 * malformed. Performs no I/O. The caller owns the result. */
struct cg_store *cg_store_new(const char *url, int timeout_s);
void cg_store_free(struct cg_store *s);

/** Reads an object. On CG_STORE_OK the caller owns @p body, and @p version is
 * set. */
enum cg_store_result cg_store_get(struct cg_store *s, const char *name,
				  GBytes **body, uint64_t *version);

/** Waits at most @p wait_ms until the version of the object differs from
 * @p known. Results are as for cg_store_get, or CG_STORE_UNCHANGED. */
enum cg_store_result cg_store_watch(struct cg_store *s, const char *name,
				    uint64_t known, cg_ms wait_ms,
				    GBytes **body, uint64_t *version);

/** Creates the object; CG_STORE_CONFLICT if it exists. @p version may be
 * NULL. */
enum cg_store_result cg_store_create(struct cg_store *s, const char *name,
				     const void *data, size_t len,
				     uint64_t *version);

/** Replaces the object if its version is @p expected, else
 * CG_STORE_CONFLICT. */
enum cg_store_result cg_store_update(struct cg_store *s, const char *name,
				     uint64_t expected, const void *data,
				     size_t len, uint64_t *version);

/** Deletes the object if its version is @p expected, else CG_STORE_CONFLICT. */
enum cg_store_result cg_store_delete(struct cg_store *s, const char *name,
				     uint64_t expected);

/** Reads the platform's list of instances (JSON). The caller owns @p body. */
enum cg_store_result cg_store_instances(struct cg_store *s, GBytes **body);

/** Waits at most @p wait_ms until the version of the list differs from
 * @p known. On CG_STORE_OK the caller owns @p body; CG_STORE_UNCHANGED if the
 * time passed without a change. */
enum cg_store_result cg_store_watch_instances(struct cg_store *s,
					      uint64_t known, cg_ms wait_ms,
					      GBytes **body);

#endif
