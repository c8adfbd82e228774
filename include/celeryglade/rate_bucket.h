/**
 * @file rate_bucket.h
 * A token bucket whose refill right, capacity and tokens can be moved between
 * the coordinator's pool and the holders. Units are thousandths of a request
 * (per second for the refill right). No operation rounds up, so moving a share
 * never raises the sum over all buckets.
 */
#ifndef CELERYGLADE_RATE_BUCKET_H
#define CELERYGLADE_RATE_BUCKET_H

#include <stdbool.h>

#include "celeryglade/clock.h"

/** Tokens that one request costs. */
#define CG_RATE_REQUEST_COST 1000

/** Share of an account's rate and burst that a bucket has, or an amount that is
 * moved between buckets. */
struct cg_rate_share {
	int64_t refill_right; /**< Tokens added per second. */
	int64_t capacity; /**< Maximum number of tokens. */
	int64_t tokens;
};

/** A token bucket: a share and the state of its refill. */
struct cg_rate_bucket {
	struct cg_rate_share share;
	int64_t remainder; /**< Refill below one unit, in thousandths of it. */
	cg_ms refilled_at; /**< Time up to which refill has been added. */
};

void cg_rate_bucket_init(struct cg_rate_bucket *b, cg_ms now);

/** Adds the refill up to @p now, at most up to the capacity. Does nothing if
 * @p now is before the last refill. */
void cg_rate_bucket_refill(struct cg_rate_bucket *b, cg_ms now);

/** Removes @p amount tokens. Returns false, and removes nothing, if the bucket
 * has fewer. */
bool cg_rate_bucket_take(struct cg_rate_bucket *b, cg_ms now, int64_t amount);

/** Moves up to @p amount out of the bucket into @p out. Tokens above the
 * remaining capacity move to @p out as far as its capacity allows; the rest is
 * lost. */
void cg_rate_bucket_split(struct cg_rate_bucket *b, cg_ms now,
			  const struct cg_rate_share *amount,
			  struct cg_rate_share *out);

/** Adds @p in to the bucket; tokens above the new capacity are lost. */
void cg_rate_bucket_join(struct cg_rate_bucket *b, cg_ms now,
			 const struct cg_rate_share *in);

/** Sets the refill right (per second) and the capacity; tokens above the new
 * capacity are lost. */
void cg_rate_bucket_resize(struct cg_rate_bucket *b, cg_ms now,
			   int64_t refill_right, int64_t capacity);

/** Returns a * num / den rounded down, without overflow. Returns 0 if an
 * argument is not positive, and @p a if num >= den. */
int64_t cg_rate_fraction(int64_t a, int64_t num, int64_t den);

#endif
