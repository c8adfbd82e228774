/**
 * @file snapshot.h
 * Content of struct cg_config, for the modules that build and encode it.
 * Everything is in a few arrays sorted by name; lookups go through tables of
 * 32-bit indices, so that 46,000 accounts cost a few megabytes.
 */
#ifndef CELERYGLADE_INTERNAL_SNAPSHOT_H
#define CELERYGLADE_INTERNAL_SNAPSHOT_H

#include <stdatomic.h>

#include "celeryglade/config.h"

/** Open-addressed table of indices; at most half full. */
struct cg_index {
	uint32_t *cells; /**< Index + 1, or 0 for an empty cell. */
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
	uint32_t *key_start; /**< First key per account, and the end. */
	struct cg_route *routes;
	size_t route_count;
	uint32_t *by_path; /**< Routes in order of their paths. */
	size_t longest_path;
	struct cg_index service_index;
	struct cg_index server_index;
	struct cg_index account_index;
	struct cg_index key_index;
	struct cg_index path_index; /**< To the first of equal paths. */
};

/** Longest path of a route, which also bounds the work of a lookup. */
#define CG_ROUTE_PATH_MAX 255

/** Finds the first route of a path, as an index into by_path, or -1. */
int64_t cg_config_find_path(const struct cg_config *c, const char *path,
			    size_t len);

/** Fills the five tables. Calls @p doubled for each object whose name, digest
 * or path is already in its table. */
void cg_config_build_indexes(struct cg_config *c,
			     void (*doubled)(void *arg, const char *kind,
					     size_t i),
			     void *arg);

/** Whether a path has a "." or ".." segment, plain or percent-encoded. A
 * backslash and a semicolon end a segment too, and so do their encoded forms
 * and an encoded slash, because backend servers may take them so. */
bool cg_path_has_dot_segment(const char *path);

#endif
