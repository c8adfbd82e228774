/**
 * @file rate_bucket.h
 * A token bucket whose refill right, capacity and tokens can be moved between
 * parties. Units are thousandths of a request (per second for the right). No
 * operation rounds up, so a sum over parties never rises by moving.
 */
#ifndef CELERYGLADE_RATE_BUCKET_H
#define CELERYGLADE_RATE_BUCKET_H

#include <stdbool.h>

#include "celeryglade/clock.h"

/** Cost of one request. */
#define CG_RATE_REQUEST_COST 1000

/** What a party holds of an account, or an amount that is moved. */
struct cg_rate_share {
	int64_t refill_right; /**< Refill per second. */
	int64_t capacity; /**< Most tokens that may be kept. */
	int64_t tokens;
};

/** A share that refills. */
struct cg_rate_bucket {
	struct cg_rate_share share;
	int64_t remainder; /**< Refill below one unit, in thousandths of it. */
	cg_ms refilled_at; /**< Time up to which refill has been added. */
};

void cg_rate_bucket_init(struct cg_rate_bucket *b, cg_ms now);

/** Adds the refill up to @p now, at most up to the capacity. A time before the
 * last one adds nothing and does not set the bucket back. */
void cg_rate_bucket_refill(struct cg_rate_bucket *b, cg_ms now);

/** Takes @p amount tokens if they are there. */
bool cg_rate_bucket_take(struct cg_rate_bucket *b, cg_ms now, int64_t amount);

/** Moves up to @p want out of the bucket into @p out. Tokens above the
 * remaining capacity move as far as @p out's capacity holds them and are lost
 * otherwise. */
void cg_rate_bucket_split(struct cg_rate_bucket *b, cg_ms now,
			  const struct cg_rate_share *want,
			  struct cg_rate_share *out);

/** Moves @p in into the bucket; tokens above its capacity are lost. */
void cg_rate_bucket_join(struct cg_rate_bucket *b, cg_ms now,
			 const struct cg_rate_share *in);

/** Sets right and capacity to computed values; tokens above are lost. */
void cg_rate_bucket_resize(struct cg_rate_bucket *b, cg_ms now, int64_t right,
			   int64_t cap);

/** Returns a * num / den rounded down, for 0 <= num <= den, without
 * overflow. */
int64_t cg_rate_fraction(int64_t a, int64_t num, int64_t den);

#endif
