/**
 * @file subset.h
 * Which servers a daemon connects to: a subset by rendezvous hash, so that a
 * server's connections stay under its limit (docs/design.md 9). Adding or
 * removing a server or daemon changes few other choices.
 */
#ifndef CELERYGLADE_SUBSET_H
#define CELERYGLADE_SUBSET_H

#include <stddef.h>
#include <stdint.h>

/** Connections that a daemon holds to a server of its subset. */
#define CG_SUBSET_CONNECTIONS 2

/**
 * Returns how many of @p servers servers each of @p daemons daemons uses, if
 * each server accepts @p connections connections.
 */
size_t cg_subset_size(size_t daemons, size_t servers, uint32_t connections);

/** Returns the rank of a server for a daemon; the lowest ranks are used. */
uint64_t cg_subset_rank(const char *daemon, const char *server);

#endif
