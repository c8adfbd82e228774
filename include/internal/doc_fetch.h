/**
 * @file doc_fetch.h
 * Fetches documents and configuration parts from a peer in chunks and verifies
 * their SHA-256 digests. All calls block; timeouts apply to each RPC call.
 */
#ifndef CELERYGLADE_INTERNAL_DOC_FETCH_H
#define CELERYGLADE_INTERNAL_DOC_FETCH_H

#include "internal/docs.h"
#include "internal/parts.h"

enum cg_fetch_result {
	CG_FETCH_OK,
	CG_FETCH_ABSENT, /**< The peer replied that it has no copy. */
	CG_FETCH_FAILED, /**< No reply, or an invalid one. */
};

/** Computes the SHA-256 of @p content. */
void cg_content_digest(GBytes *content, uint8_t out[CG_DIGEST_SIZE]);

/**
 * Sets @p chunk and @p len to at most @p max bytes of @p content starting at
 * @p offset, or to NULL and 0 past the end. The bytes belong to @p content.
 * Returns the size of the whole content.
 */
uint32_t cg_content_chunk(GBytes *content, uint32_t offset, uint32_t max,
			  char **chunk, u_int *len);

/** Gets the version of the peer's copy, 0 if it has none. Returns 0 or -1. */
int cg_fetch_version(struct cg_peer *p, const struct sockaddr_in *from,
		     enum cg_doc doc, cg_ms timeout, uint64_t *version);

/** Fetches the peer's copy. Returns 0, and the caller owns @p content, or
 * -1. */
int cg_fetch_doc(struct cg_peer *p, const struct sockaddr_in *from,
		 enum cg_doc doc, cg_ms timeout, GBytes **content,
		 uint64_t *store_version);

/** Fetches a configuration part. On CG_FETCH_OK the caller owns @p part. */
enum cg_fetch_result cg_fetch_part(struct cg_peer *p,
				   const struct sockaddr_in *from,
				   const struct cg_part_ref *ref, cg_ms timeout,
				   GBytes **part);

#endif
