/**
 * @file node.h
 * All parts of one daemon.
 */
#ifndef CELERYGLADE_INTERNAL_NODE_H
#define CELERYGLADE_INTERNAL_NODE_H

#include "internal/front.h"
#include "internal/gossip.h"
#include "internal/proxy.h"
#include "internal/shards.h"

/** Owns every part; parts are NULL until they are created. */
struct cg_node {
	struct cg_settings settings;
	struct cg_clock clk;
	uint64_t incarnation;
	struct cg_peer *peer;
	struct cg_members *members;
	struct cg_gossip *gossip;
	struct cg_shards *shards;
	struct cg_proxy proxy; /**< Holds the other parts. */
	struct cg_admin *admin;
	struct cg_timer housekeeping;
	_Atomic cg_ms shard_map_known_at; /**< 0 before the first shard map. */
};

/** Creates and starts all parts with the settings in place. Returns 0, or -1
 * after logging why; the caller calls cg_node_stop in both cases. */
int cg_node_start(struct cg_node *n);

/**
 * Shuts down gracefully: readiness fails, running requests finish, rights and
 * shards are handed over.
 */
void cg_node_drain(struct cg_node *n);

/** Stops and frees all parts. */
void cg_node_stop(struct cg_node *n);

/** Why callers should not be sent here, or NULL if they should; the string is
 * static. */
const char *cg_node_unready_reason(struct cg_node *n);

/** Hands a message to the part that serves its kind; a cg_peer_handler with
 * the node as its argument. */
int cg_node_handle(void *arg, const struct cg_peer_msg *msg, GByteArray *reply);

/** Serves CG_MSG_STATUS. */
int cg_status_handle(struct cg_node *n, const struct cg_peer_msg *msg,
		     GByteArray *reply);

#endif
