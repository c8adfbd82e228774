/**
 * @file front.h
 * HTTP listeners for callers and operators, based on libmicrohttpd.
 */
#ifndef CELERYGLADE_INTERNAL_FRONT_H
#define CELERYGLADE_INTERNAL_FRONT_H

#include "internal/proxy.h"

/** Starts listening for callers. Returns NULL on failure. */
struct cg_front *cg_front_new(struct cg_proxy *p);

/** Stops accepting new connections; open ones continue to be served. */
void cg_front_quiesce(struct cg_front *f);

/** Returns the number of open connections from callers. */
unsigned int cg_front_connections(struct cg_front *f);

/** Closes all connections and frees the listener. */
void cg_front_free(struct cg_front *f);

struct cg_admin;
struct cg_node;

/** Starts the listener for operators: /-/ready, /-/live, /-/metrics. Returns
 * NULL on failure. */
struct cg_admin *cg_admin_new(const struct sockaddr_in *listen,
			      struct cg_node *node);
void cg_admin_free(struct cg_admin *a);

#endif
