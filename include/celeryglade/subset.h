/**
 * @file subset.h
 * Selects the servers that a daemon connects to: a subset by rendezvous
 * hashing, which keeps a server's connections below its limit. Adding or
 * removing a server or a daemon changes few other selections.
 */
#ifndef CELERYGLADE_SUBSET_H
#define CELERYGLADE_SUBSET_H

#include <stddef.h>
#include <stdint.h>

/** Connections from a daemon to each server of its subset. */
#define CG_SUBSET_CONNECTIONS 2

/**
 * Returns the number of servers, out of @p servers, that each of @p daemons
 * daemons connects to if each server accepts @p connections connections.
 */
size_t cg_subset_size(size_t daemons, size_t servers, uint32_t connections);

/** Returns the rank of a server for a daemon; a daemon connects to the servers
 * with the lowest ranks. */
uint64_t cg_subset_rank(const char *daemon, const char *server);

#endif
