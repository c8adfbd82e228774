/**
 * @file claims.h
 * Idempotency keys. A claim in the platform's store lets a request run only
 * once in the whole fleet, and its recorded response is replayed to retries.
 */
#ifndef CELERYGLADE_INTERNAL_CLAIMS_H
#define CELERYGLADE_INTERNAL_CLAIMS_H

#include "internal/request.h"
#include "internal/store.h"

struct cg_claims;

/** Creates the controller and its threads; NULL if no thread starts. The caller
 * owns the result. */
struct cg_claims *cg_claims_new(struct cg_store *store);

/** Completes the queued jobs, then frees the controller. */
void cg_claims_free(struct cg_claims *c);

/**
 * Claims the request's idempotency key on one of the controller's threads, then
 * continues its filter chain or settles it. Returns 0, or -1 if too many claims
 * are queued.
 */
int cg_claim_start(struct cg_claims *c, struct cg_request *r);

/** Records the response of a settled request, or deletes the claim if the
 * request did not run. In all other cases the claim is left unchanged, also if
 * the body is larger than 16 KB: retries are then refused with
 * "claim_unknown". */
void cg_claim_finish(struct cg_claims *c, struct cg_request *r);

/** Frees the memory of a claim; accepts NULL. */
void cg_claim_free(struct cg_claim *claim);

#endif
