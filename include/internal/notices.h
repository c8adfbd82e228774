/**
 * @file notices.h
 * Notices that spread by gossip: a server drains, a key is revoked.
 */
#ifndef CELERYGLADE_INTERNAL_NOTICES_H
#define CELERYGLADE_INTERNAL_NOTICES_H

#include "internal/docs.h"

enum cg_notice_kind {
	CG_NOTICE_DRAIN,
	CG_NOTICE_REVOKE,
};

struct cg_x_notice;
struct cg_instance_list;
struct cg_notices;

/** Creates an empty set. @p peer may be NULL, then nothing is pushed. */
struct cg_notices *cg_notices_new(struct cg_clock *clk, struct cg_peer *peer,
				  struct cg_members *members,
				  struct cg_docs *docs);
void cg_notices_free(struct cg_notices *n);

/** Listener for cg_docs_add_listener; @p arg is the struct cg_notices. */
void cg_notices_on_doc(void *arg, enum cg_doc doc, uint64_t version,
		       GBytes *content);

/** Applies the states of the servers in the platform's list. */
void cg_notices_apply_list(struct cg_notices *n,
			   const struct cg_instance_list *l);

/** Ends the revocations of keys that a newly adopted configuration lacks. */
void cg_notices_apply_config(struct cg_notices *n, const struct cg_config *c);

/** Handles NOTICE: takes the notice over and pushes it on if it is new. */
int cg_notices_handle(struct cg_notices *n, const struct cg_peer_msg *msg,
		      GByteArray *reply);

/** Copies up to @p max notices for gossip: the youngest ones and a random
 * choice of the others. The caller frees each with xdr_free. */
size_t cg_notices_collect(struct cg_notices *n, struct cg_x_notice *out,
			  size_t max);

/** Takes a notice over. Returns true if it was new and is in force. */
bool cg_notices_merge(struct cg_notices *n, const struct cg_x_notice *x);

/** Describes the notices for the operator's tool. The caller owns it. */
struct json_object *cg_notices_status(struct cg_notices *n);

/** Starts spreading that the server @p name drains, unless known. */
void cg_notices_announce_drain(struct cg_notices *n, const char *name);

/** Whether a drain notice for the server is in force. */
bool cg_notices_is_draining(struct cg_notices *n, const char *name);

/** Starts spreading that a key is revoked. */
void cg_notices_announce_revocation(struct cg_notices *n,
				    const uint8_t digest[CG_DIGEST_SIZE]);

/** Whether the key is revoked by a notice; cheap when there are none. */
bool cg_notices_is_revoked(struct cg_notices *n,
			   const uint8_t digest[CG_DIGEST_SIZE]);

#endif
