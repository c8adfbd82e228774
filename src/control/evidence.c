#include "celeryglade/evidence.h"

#include <math.h>
#include <string.h>

enum {
	CODE_FAILED = CG_LATENCY_BUCKETS,
	CODE_SHED,
	CODE_END,
};

unsigned int cg_latency_bucket(cg_ms latency)
{
	uint64_t v = latency < 1 ? 1 : (uint64_t)latency;
	unsigned int msb = 63 - (unsigned int)__builtin_clzll(v);
	/* The two bits below the highest one select the bucket within its power
	 * of two. */
	unsigned int sub =
		msb >= 2 ? (v >> (msb - 2)) & 3 : (v << (2 - msb)) & 3;
	unsigned int b = msb * 4 + sub;

	return b < CG_LATENCY_BUCKETS ? b : CG_LATENCY_BUCKETS - 1;
}

cg_ms cg_latency_bucket_lower_bound(unsigned int bucket)
{
	unsigned int msb = bucket / 4;
	uint64_t v = 4 + bucket % 4;

	return (cg_ms)(msb >= 2 ? v << (msb - 2) : v >> (2 - msb));
}

void cg_sample_add(struct cg_sample *a, const struct cg_sample *b)
{
	a->failed += b->failed;
	a->shed += b->shed;
	for (int i = 0; i < CG_LATENCY_BUCKETS; i++)
		a->answered[i] += b->answered[i];
}

uint32_t cg_sample_count_answered(const struct cg_sample *s)
{
	uint32_t n = 0;

	for (int i = 0; i < CG_LATENCY_BUCKETS; i++)
		n += s->answered[i];
	return n;
}

double cg_sample_count_slow(const struct cg_sample *s, cg_ms limit)
{
	unsigned int at = cg_latency_bucket(limit);
	cg_ms low = cg_latency_bucket_lower_bound(at);
	cg_ms high = cg_latency_bucket_lower_bound(at + 1);
	double n = 0;

	for (unsigned int i = at + 1; i < CG_LATENCY_BUCKETS; i++)
		n += s->answered[i];
	if (high > limit)
		n += s->answered[at] * (double)(high - limit) /
		     (double)(high - low);
	return n;
}

static size_t pack_count(uint8_t code, uint32_t count, uint8_t *out, size_t at,
			 size_t max)
{
	while (count && at + 2 <= max) {
		uint8_t n = count > 255 ? 255 : (uint8_t)count;

		out[at++] = code;
		out[at++] = n;
		count -= n;
	}
	return at;
}

size_t cg_sample_pack(const struct cg_sample *s, uint8_t *out, size_t max)
{
	size_t at = pack_count(CODE_FAILED, s->failed, out, 0, max);

	for (uint8_t i = 0; i < CG_LATENCY_BUCKETS; i++)
		at = pack_count(i, s->answered[i], out, at, max);
	return pack_count(CODE_SHED, s->shed, out, at, max);
}

int cg_sample_unpack(struct cg_sample *s, const uint8_t *in, size_t len)
{
	memset(s, 0, sizeof(*s));
	if (len % 2)
		return -1;
	for (size_t i = 0; i < len; i += 2) {
		if (in[i] < CG_LATENCY_BUCKETS)
			s->answered[in[i]] += in[i + 1];
		else if (in[i] == CODE_FAILED)
			s->failed += in[i + 1];
		else if (in[i] == CODE_SHED)
			s->shed += in[i + 1];
		else
			return -1;
	}
	return 0;
}

size_t cg_counts_encode(uint32_t server, const struct cg_sample *s,
			uint8_t out[CG_COUNTS_ENTRY_MAX])
{
	size_t n = cg_sample_pack(s, out + 5, CG_COUNTS_ENTRY_MAX - 5);

	if (!n)
		return 0;
	for (int i = 0; i < 4; i++)
		out[i] = (uint8_t)(server >> (24 - 8 * i));
	out[4] = (uint8_t)(n / 2);
	return 5 + n;
}

int cg_counts_decode(const uint8_t *in, size_t len, size_t *at,
		     uint32_t *server, struct cg_sample *s)
{
	const uint8_t *p = in + *at;
	size_t remaining = len - *at;

	if (!remaining)
		return 1;
	if (remaining < 5 || remaining < 5 + 2 * (size_t)p[4])
		return -1;
	*server = (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 |
		  (uint32_t)p[2] << 8 | p[3];
	*at += 5 + 2 * (size_t)p[4];
	return cg_sample_unpack(s, p + 5, 2 * (size_t)p[4]);
}

void cg_histogram_add(struct cg_histogram *h, const struct cg_sample *s)
{
	for (int i = 0; i < CG_LATENCY_BUCKETS; i++) {
		h->n[i] += (float)s->answered[i];
		h->total += (float)s->answered[i];
	}
}

void cg_histogram_decay(struct cg_histogram *h, double factor)
{
	for (int i = 0; i < CG_LATENCY_BUCKETS; i++)
		h->n[i] *= (float)factor;
	h->total *= (float)factor;
}

void cg_histogram_merge(struct cg_histogram *a, const struct cg_histogram *b,
			float sign)
{
	for (int i = 0; i < CG_LATENCY_BUCKETS; i++)
		a->n[i] += sign * b->n[i];
	a->total += sign * b->total;
}

cg_ms cg_histogram_quantile(const struct cg_histogram *h, double q)
{
	double remaining = h->total * q;

	if (h->total <= 0)
		return 0;
	for (unsigned int i = 0; i < CG_LATENCY_BUCKETS; i++) {
		cg_ms low = cg_latency_bucket_lower_bound(i);
		cg_ms high = cg_latency_bucket_lower_bound(i + 1);

		if (remaining <= h->n[i] && h->n[i] > 0)
			return low + (cg_ms)((double)(high - low) * remaining /
					     h->n[i]);
		remaining -= h->n[i];
	}
	return cg_latency_bucket_lower_bound(CG_LATENCY_BUCKETS);
}

static struct cg_observer *allocate_observer(struct cg_observers *o,
					     uint32_t daemon)
{
	struct cg_observer *least = &o->list[0];

	for (size_t i = 0; i < o->n; i++) {
		if (o->list[i].daemon == daemon)
			return &o->list[i];
		if (o->list[i].bad < least->bad)
			least = &o->list[i];
	}
	if (o->n < CG_OBSERVERS_MAX)
		least = &o->list[o->n++];
	memset(least, 0, sizeof(*least));
	return least;
}

void cg_observers_add(struct cg_observers *o, uint32_t daemon, uint32_t domain,
		      double bad, double good, cg_ms now)
{
	struct cg_observer *s = NULL;

	for (size_t i = 0; i < o->n && !s; i++)
		if (o->list[i].daemon == daemon)
			s = &o->list[i];
	if (!s && bad <= 0)
		return;
	if (!s)
		s = allocate_observer(o, daemon);
	s->daemon = daemon;
	s->domain = domain;
	s->bad += (float)bad;
	s->good += (float)good;
	if (bad > 0)
		s->at = now;
}

void cg_observers_expire(struct cg_observers *o, cg_ms since)
{
	size_t kept = 0;

	for (size_t i = 0; i < o->n; i++)
		if (o->list[i].at >= since)
			o->list[kept++] = o->list[i];
	o->n = kept;
}

void cg_observers_count(const struct cg_observers *o, double ratio,
			unsigned int *daemons, unsigned int *domains)
{
	uint32_t seen[CG_OBSERVERS_MAX];

	*daemons = 0;
	*domains = 0;
	for (size_t i = 0; i < o->n; i++) {
		const struct cg_observer *s = &o->list[i];
		unsigned int d = 0;

		if (s->bad < ratio * (s->bad + s->good))
			continue;
		++*daemons;
		while (d < *domains && seen[d] != s->domain)
			d++;
		if (d == *domains)
			seen[(*domains)++] = s->domain;
	}
}
