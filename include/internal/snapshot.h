/**
 * @file snapshot.h
 * Definition of struct cg_config, for the modules that build and encode it.
 * Objects are stored in a few arrays sorted by name. Lookups use hash tables of
 * 32-bit array indexes, so that 46,000 accounts need only a few megabytes.
 */
#ifndef CELERYGLADE_INTERNAL_SNAPSHOT_H
#define CELERYGLADE_INTERNAL_SNAPSHOT_H

#include <stdatomic.h>

#include "celeryglade/config.h"

/** Hash table with open addressing, at most half full. */
struct cg_index {
	uint32_t *cells; /**< Array index + 1, or 0 if the cell is empty. */
	uint32_t mask;
};

struct cg_config {
	_Atomic uint32_t refs;
	uint64_t version;
	struct cg_service *services;
	size_t service_count;
	struct cg_server *servers; /**< Grouped by service. */
	size_t server_count;
	struct cg_account *accounts;
	size_t account_count;
	struct cg_key *keys; /**< Grouped by account. */
	size_t key_count;
	uint32_t *key_start; /**< First key of each account, then key_count. */
	struct cg_route *routes;
	size_t route_count;
	uint32_t *by_path; /**< Indexes of routes in order of path and name. */
	size_t longest_path_len; /**< In bytes, over all routes. */
	struct cg_index service_index;
	struct cg_index server_index;
	struct cg_index account_index;
	struct cg_index key_index;
	struct cg_index path_index; /**< Into by_path, first of equal paths. */
};

/** Longest path of a route in bytes. It also bounds the work of a lookup. */
#define CG_ROUTE_PATH_MAX 255

/** Returns the index in by_path of the first route with the path of @p len
 * bytes at @p path, or -1. */
int64_t cg_config_find_path(const struct cg_config *c, const char *path,
			    size_t len);

/** Builds the five hash tables. Calls @p on_duplicate for each service, server
 * or account whose name, and each key whose digest, is already in its table. */
void cg_config_build_indexes(struct cg_config *c,
			     void (*on_duplicate)(void *arg, const char *kind,
						  size_t i),
			     void *arg);

/** Returns whether a path has a "." or ".." segment, plain or percent-encoded.
 * A backslash, a semicolon, their encoded forms and an encoded slash end a
 * segment too, because some backend servers treat them as separators. */
bool cg_path_has_dot_segment(const char *path);

#endif
