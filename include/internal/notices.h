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

struct cg_notices;

/** Starts spreading that the server @p name drains, unless known. */
void cg_notices_drain(struct cg_notices *n, const char *name);

/** Whether a drain notice for the server is in force. */
bool cg_notices_is_draining(struct cg_notices *n, const char *name);

/** Starts spreading that a key is revoked. */
void cg_notices_revoke(struct cg_notices *n,
		       const uint8_t digest[CG_DIGEST_SIZE]);

/** Whether the key is revoked by a notice; cheap when there are none. */
bool cg_notices_is_revoked(struct cg_notices *n,
			   const uint8_t digest[CG_DIGEST_SIZE]);

#endif
