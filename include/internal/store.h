/**
 * @file store.h
 * Client of the platform's object API (docs/platform-api.md), through neon.
 * Calls block; each has a timeout in whole seconds. Safe for several threads.
 */
#ifndef CELERYGLADE_INTERNAL_STORE_H
#define CELERYGLADE_INTERNAL_STORE_H

#include <glib.h>

#include "celeryglade/clock.h"

enum cg_store_result {
	CG_STORE_OK,
	CG_STORE_NOT_FOUND,
	CG_STORE_UNCHANGED, /**< A watch ended without a change. */
	CG_STORE_CONFLICT, /**< The condition did not hold; nothing changed. */
	CG_STORE_REJECTED, /**< The store refused the call; nothing changed. */
	CG_STORE_UNAVAILABLE, /**< The call did not take effect. */
	CG_STORE_UNKNOWN, /**< A write may have taken effect. */
};

const char *cg_store_result_name(enum cg_store_result r);

struct cg_store;

/** Creates a client for "http://IP:PORT", or returns NULL if the URL is
 * malformed. The caller owns the result. */
struct cg_store *cg_store_new(const char *url, int timeout_s);
void cg_store_free(struct cg_store *s);

/** Reads an object. On OK the caller owns @p body and @p version is set. */
enum cg_store_result cg_store_get(struct cg_store *s, const char *name,
				  GBytes **body, uint64_t *version);

/** Waits until the object's version differs from @p known, at most
 * @p wait_ms. Results as for cg_store_get, or UNCHANGED. */
enum cg_store_result cg_store_watch(struct cg_store *s, const char *name,
				    uint64_t known, cg_ms wait_ms,
				    GBytes **body, uint64_t *version);

/** Creates the object; CONFLICT if it exists. @p version may be NULL. */
enum cg_store_result cg_store_create(struct cg_store *s, const char *name,
				     const void *data, size_t len,
				     uint64_t *version);

/** Replaces the object if its version is @p expected. */
enum cg_store_result cg_store_update(struct cg_store *s, const char *name,
				     uint64_t expected, const void *data,
				     size_t len, uint64_t *version);

/** Deletes the object if its version is @p expected. */
enum cg_store_result cg_store_delete(struct cg_store *s, const char *name,
				     uint64_t expected);

/** Reads the platform's list of instances (JSON). The caller owns @p body. */
enum cg_store_result cg_store_instances(struct cg_store *s, GBytes **body);

/** Waits until the list's version differs from @p known, at most @p wait_ms;
 * OK or UNCHANGED. */
enum cg_store_result cg_store_watch_instances(struct cg_store *s,
					      uint64_t known, cg_ms wait_ms,
					      GBytes **body);

#endif
