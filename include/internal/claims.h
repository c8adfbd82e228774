/**
 * @file claims.h
 * Idempotency keys: a claim in the platform's store admits one run of a
 * request over the whole fleet, and replays its response to repeats.
 */
#ifndef CELERYGLADE_INTERNAL_CLAIMS_H
#define CELERYGLADE_INTERNAL_CLAIMS_H

#include "internal/request.h"
#include "internal/store.h"

struct cg_claims;

/** Creates the controller and its threads. The caller owns the result. */
struct cg_claims *cg_claims_new(struct cg_store *store);

/** Finishes what is queued, then frees. */
void cg_claims_free(struct cg_claims *c);

/**
 * Claims the request's idempotency key on one of the controller's threads,
 * then continues its filters or settles it. Returns 0, or -1 if too many
 * claims wait.
 */
int cg_claim_start(struct cg_claims *c, struct cg_request *r);

/** Records the response of a settled request, or releases the claim if the
 * request did not run; otherwise the claim stays as it is. */
void cg_claim_finish(struct cg_claims *c, struct cg_request *r);

/** Frees a claim's memory; accepts NULL. */
void cg_claim_free(struct cg_claim *claim);

#endif
