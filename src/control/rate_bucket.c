#include "celeryglade/rate_bucket.h"

#include <string.h>

static int64_t lower(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

int64_t cg_rate_part(int64_t a, int64_t num, int64_t den)
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
	b->at = now;
}

static void clip(struct cg_rate_bucket *b)
{
	if (b->have.tokens >= b->have.cap) {
		b->have.tokens = b->have.cap;
		b->micro = 0;
	}
}

void cg_rate_bucket_refill(struct cg_rate_bucket *b, cg_ms now)
{
	__int128 add;

	/* After a step backwards the bucket waits until the clock passes the
	 * old time again; refilling from the earlier time would count the
	 * same interval twice. */
	if (now <= b->at)
		return;
	add = (__int128)b->have.right * (now - b->at) + b->micro;
	b->at = now;
	if (add / 1000 >= b->have.cap - b->have.tokens) {
		b->have.tokens = b->have.cap;
		b->micro = 0;
		return;
	}
	b->have.tokens += (int64_t)(add / 1000);
	b->micro = (int64_t)(add % 1000);
}

bool cg_rate_bucket_take(struct cg_rate_bucket *b, cg_ms now, int64_t amount)
{
	cg_rate_bucket_refill(b, now);
	if (b->have.tokens < amount)
		return false;
	b->have.tokens -= amount;
	return true;
}

void cg_rate_bucket_split(struct cg_rate_bucket *b, cg_ms now,
			  const struct cg_rate_share *want,
			  struct cg_rate_share *out)
{
	int64_t over;

	cg_rate_bucket_refill(b, now);
	out->right = lower(want->right, b->have.right);
	out->cap = lower(want->cap, b->have.cap);
	out->tokens = lower(want->tokens, b->have.tokens);
	b->have.right -= out->right;
	b->have.cap -= out->cap;
	b->have.tokens -= out->tokens;
	over = b->have.tokens - b->have.cap;
	if (over > 0 && out->tokens < out->cap)
		out->tokens += lower(over, out->cap - out->tokens);
	clip(b);
}

void cg_rate_bucket_join(struct cg_rate_bucket *b, cg_ms now,
			 const struct cg_rate_share *in)
{
	cg_rate_bucket_refill(b, now);
	b->have.right += in->right;
	b->have.cap += in->cap;
	b->have.tokens += in->tokens;
	clip(b);
}

void cg_rate_bucket_resize(struct cg_rate_bucket *b, cg_ms now, int64_t right,
			   int64_t cap)
{
	cg_rate_bucket_refill(b, now);
	b->have.right = right;
	b->have.cap = cap;
	clip(b);
}
