/**
 * @file node.h
 * Components of one daemon, their start and their shutdown.
 */
#ifndef CELERYGLADE_INTERNAL_NODE_H
#define CELERYGLADE_INTERNAL_NODE_H

#include "internal/front.h"
#include "internal/gossip.h"
#include "internal/proxy.h"
#include "internal/shards.h"

/** Owns all components; each is NULL until it is created. */
struct cg_node {
	struct cg_settings settings;
	struct cg_clock clk;
	uint64_t incarnation;
	struct cg_peer *peer;
	struct cg_members *members;
	struct cg_gossip *gossip;
	struct cg_shards *shards;
	struct cg_proxy proxy; /**< Holds the remaining components. */
	struct cg_admin *admin;
	struct cg_timer housekeeping;
	/** When the first shard map was seen; 0 before. */
	_Atomic cg_ms shard_map_known_at;
};

/** Creates and starts all components; n->settings must be loaded. Returns 0, or
 * -1 after logging the reason. The caller calls cg_node_stop in both cases. */
int cg_node_start(struct cg_node *n);

/**
 * Shuts down gracefully: readiness fails, running requests complete, and refill
 * rights and shards are handed over to other daemons.
 */
void cg_node_drain(struct cg_node *n);

/** Stops and frees all components. */
void cg_node_stop(struct cg_node *n);

/** Returns why load balancers should send no callers to this daemon, or NULL if
 * it is ready. The string is static. */
const char *cg_node_unready_reason(struct cg_node *n);

/** Passes a message to the component that handles its kind; a cg_peer_handler
 * whose argument is the node. */
int cg_node_handle(void *arg, const struct cg_peer_msg *msg, GByteArray *reply);

/** Handles CG_MSG_STATUS. */
int cg_status_handle(struct cg_node *n, const struct cg_peer_msg *msg,
		     GByteArray *reply);

#endif
