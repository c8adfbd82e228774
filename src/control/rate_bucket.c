#include "celeryglade/rate_bucket.h"

#include <string.h>

static int64_t min_i64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

int64_t cg_rate_fraction(int64_t a, int64_t num, int64_t den)
{
	if (den <= 0 || num <= 0 || a <= 0)
		return 0;
	if (num >= den)
		return a;
	return (int64_t)((__int128)a * num / den);
}

void cg_rate_bucket_init(struct cg_rate_bucket *b, cg_ms now)
{
	memset(b, 0, sizeof(*b));
	b->refilled_at = now;
}

static void discard_excess(struct cg_rate_bucket *b)
{
	if (b->share.tokens >= b->share.capacity) {
		b->share.tokens = b->share.capacity;
		b->remainder = 0;
	}
}

void cg_rate_bucket_refill(struct cg_rate_bucket *b, cg_ms now)
{
	__int128 add;

	/* If the clock steps back, there is no refill until it passes the old
	 * time again; refilling from the earlier time would count the same
	 * interval twice. */
	if (now <= b->refilled_at)
		return;
	add = (__int128)b->share.refill_right * (now - b->refilled_at) +
	      b->remainder;
	b->refilled_at = now;
	if (add / 1000 >= b->share.capacity - b->share.tokens) {
		b->share.tokens = b->share.capacity;
		b->remainder = 0;
		return;
	}
	b->share.tokens += (int64_t)(add / 1000);
	b->remainder = (int64_t)(add % 1000);
}

bool cg_rate_bucket_take(struct cg_rate_bucket *b, cg_ms now, int64_t amount)
{
	cg_rate_bucket_refill(b, now);
	if (b->share.tokens < amount)
		return false;
	b->share.tokens -= amount;
	return true;
}

void cg_rate_bucket_split(struct cg_rate_bucket *b, cg_ms now,
			  const struct cg_rate_share *amount,
			  struct cg_rate_share *out)
{
	int64_t over;

	cg_rate_bucket_refill(b, now);
	out->refill_right =
		min_i64(amount->refill_right, b->share.refill_right);
	out->capacity = min_i64(amount->capacity, b->share.capacity);
	out->tokens = min_i64(amount->tokens, b->share.tokens);
	b->share.refill_right -= out->refill_right;
	b->share.capacity -= out->capacity;
	b->share.tokens -= out->tokens;
	over = b->share.tokens - b->share.capacity;
	if (over > 0 && out->tokens < out->capacity)
		out->tokens += min_i64(over, out->capacity - out->tokens);
	discard_excess(b);
}

void cg_rate_bucket_join(struct cg_rate_bucket *b, cg_ms now,
			 const struct cg_rate_share *in)
{
	cg_rate_bucket_refill(b, now);
	b->share.refill_right += in->refill_right;
	b->share.capacity += in->capacity;
	b->share.tokens += in->tokens;
	discard_excess(b);
}

void cg_rate_bucket_resize(struct cg_rate_bucket *b, cg_ms now,
			   int64_t refill_right, int64_t capacity)
{
	cg_rate_bucket_refill(b, now);
	b->share.refill_right = refill_right;
	b->share.capacity = capacity;
	discard_excess(b);
}
