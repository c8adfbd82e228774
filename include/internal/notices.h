/**
 * @file notices.h
 * Notices distributed by gossip: a backend server is draining, or a key was
 * revoked. They work while the store is unavailable.
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

/** Creates an empty set. The arguments are borrowed. With a NULL @p peer no
 * notices are sent. */
struct cg_notices *cg_notices_new(struct cg_clock *clk, struct cg_peer *peer,
				  struct cg_members *members,
				  struct cg_docs *docs);
void cg_notices_free(struct cg_notices *n);

/** Listener for cg_docs_add_listener; @p arg is the struct cg_notices. */
void cg_notices_on_doc(void *arg, enum cg_doc doc, uint64_t version,
		       GBytes *content);

/** Applies the states of the backend servers in the platform's list. */
void cg_notices_apply_list(struct cg_notices *n,
			   const struct cg_instance_list *l);

/** Ends the revocations of keys that the newly adopted configuration no longer
 * contains. */
void cg_notices_apply_config(struct cg_notices *n, const struct cg_config *c);

/** Handles CG_MSG_NOTICE: merges the notice and forwards it to random members
 * if it is new. Returns 0, or -1 to refuse the message. */
int cg_notices_handle(struct cg_notices *n, const struct cg_peer_msg *msg,
		      GByteArray *reply);

/** Copies up to @p max notices for a gossip message, half of them the newest
 * ones and the rest a random choice of the others. Returns the number copied;
 * the caller frees each with xdr_free. */
size_t cg_notices_collect(struct cg_notices *n, struct cg_x_notice *out,
			  size_t max);

/** Merges a received notice. Returns true if it was new and is now in force. */
bool cg_notices_merge(struct cg_notices *n, const struct cg_x_notice *x);

/** Returns the notices as JSON for celerygladectl. The caller owns the
 * result. */
struct json_object *cg_notices_status(struct cg_notices *n);

/** Announces that the backend server @p name is draining, unless that is
 * already known. */
void cg_notices_announce_drain(struct cg_notices *n, const char *name);

/** Whether the server is draining: a notice is in force, or the platform lists
 * it as leaving. */
bool cg_notices_is_draining(struct cg_notices *n, const char *name);

/** Announces that the key with this digest is revoked. */
void cg_notices_announce_revocation(struct cg_notices *n,
				    const uint8_t digest[CG_DIGEST_SIZE]);

/** Whether the key is revoked by a notice. Takes no lock while there are no
 * revocations. */
bool cg_notices_is_revoked(struct cg_notices *n,
			   const uint8_t digest[CG_DIGEST_SIZE]);

#endif
