/**
 * @file gossip.h
 * Exchanges versions, heartbeat ages, freshness and notices with random members
 * (docs/design.md 6). Ages are taken from replies only and counted from the
 * sending of the call: a request may have waited for long in the buffer of a
 * process that was paused, while a reply cannot be older than its call.
 */
#ifndef CELERYGLADE_INTERNAL_GOSSIP_H
#define CELERYGLADE_INTERNAL_GOSSIP_H

#include "internal/docs.h"
#include "internal/members.h"
#include "internal/notices.h"

/** Largest body of a gossip message. */
#define CG_GOSSIP_MAX_BODY 1200

struct cg_gossip;

/** Creates the controller. References stay with the caller. */
struct cg_gossip *cg_gossip_new(const struct cg_settings *s,
				struct cg_clock *clk, struct cg_peer *peer,
				struct cg_members *members,
				struct cg_docs *docs,
				struct cg_notices *notices);
int cg_gossip_start(struct cg_gossip *g);
void cg_gossip_stop(struct cg_gossip *g);
void cg_gossip_free(struct cg_gossip *g);

/** Tells all members that this process shuts down. */
void cg_gossip_leave(struct cg_gossip *g);

/** Handles GOSSIP. */
int cg_gossip_handle(struct cg_gossip *g, const struct cg_peer_msg *msg,
		     GByteArray *reply);

/** Listener for cg_docs_add_listener that pushes an adopted version to 4
 * random members; @p arg is the struct cg_gossip. */
void cg_gossip_on_doc(void *arg, enum cg_doc doc, uint64_t version,
		      GBytes *content);

#endif
