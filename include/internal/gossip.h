/**
 * @file gossip.h
 * Gossip protocol: exchanges document versions, heartbeat ages, freshness of
 * the configuration and notices with random members. Ages are accepted from
 * replies only and count from the time at which the call was sent. A request
 * may have waited a long time in the socket buffer of a paused process, while a
 * reply cannot be older than its call.
 */
#ifndef CELERYGLADE_INTERNAL_GOSSIP_H
#define CELERYGLADE_INTERNAL_GOSSIP_H

#include "internal/docs.h"
#include "internal/members.h"
#include "internal/notices.h"

/** Largest body of a gossip message, in bytes. */
#define CG_GOSSIP_MAX_BODY 1200

struct cg_gossip;

/** Creates the gossip controller. The arguments are borrowed and must outlive
 * it. */
struct cg_gossip *cg_gossip_new(const struct cg_settings *s,
				struct cg_clock *clk, struct cg_peer *peer,
				struct cg_members *members,
				struct cg_docs *docs,
				struct cg_notices *notices);
int cg_gossip_start(struct cg_gossip *g);
void cg_gossip_stop(struct cg_gossip *g);
void cg_gossip_free(struct cg_gossip *g);

/** Announces to all members that this process is shutting down. */
void cg_gossip_leave(struct cg_gossip *g);

/** Handles CG_MSG_GOSSIP. Returns 0, or -1 to refuse the message. */
int cg_gossip_handle(struct cg_gossip *g, const struct cg_peer_msg *msg,
		     GByteArray *reply);

/** Listener for cg_docs_add_listener that sends the new version to 4 random
 * members at once; @p arg is the struct cg_gossip. */
void cg_gossip_on_doc(void *arg, enum cg_doc doc, uint64_t version,
		      GBytes *content);

#endif
