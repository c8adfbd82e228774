/**
 * @file evidence.h
 * Observations of one server: counts of failed requests, counts of answered
 * requests by latency, and the daemons that saw failures.
 */
#ifndef CELERYGLADE_EVIDENCE_H
#define CELERYGLADE_EVIDENCE_H

#include <stddef.h>
#include <stdint.h>

#include "celeryglade/clock.h"

/** Number of latency buckets: four per power of two, up to 65 s. */
#define CG_LATENCY_BUCKETS 64

/** Returns the latency bucket of @p latency (ms). */
unsigned int cg_latency_bucket(cg_ms latency);

/** Returns the lowest latency of a bucket (ms). */
cg_ms cg_latency_bucket_lower_bound(unsigned int bucket);

/**
 * Counts of one server over some time. Load-shed responses are counted
 * separately: they prove that the server did not run the request and are not
 * evidence of a fault.
 */
struct cg_sample {
	uint32_t failed;
	uint32_t shed;
	uint32_t answered[CG_LATENCY_BUCKETS];
};

/** Adds @p b to @p a. */
void cg_sample_add(struct cg_sample *a, const struct cg_sample *b);

/** Returns the number of answered requests. */
uint32_t cg_sample_count_answered(const struct cg_sample *s);

/**
 * Returns the number of responses at or above @p limit (ms). Responses in the
 * bucket that contains the limit are counted in proportion to the part of the
 * bucket above it.
 */
double cg_sample_count_slow(const struct cg_sample *s, cg_ms limit);

/**
 * Packs the sample as pairs of bytes (code, count). Codes below
 * CG_LATENCY_BUCKETS are latency buckets; the next two are failed and shed. A
 * count above 255 takes several pairs. Failures are packed first; counts that
 * do not fit are omitted.
 * @return the number of bytes written, at most @p max.
 */
size_t cg_sample_pack(const struct cg_sample *s, uint8_t *out, size_t max);

/** Reverses cg_sample_pack(). Returns 0, or -1 if the input is malformed. */
int cg_sample_unpack(struct cg_sample *s, const uint8_t *in, size_t len);

/** Maximum number of bytes that cg_counts_encode() writes. */
#define CG_COUNTS_ENTRY_MAX (4 + 1 + 2 * 255)

/**
 * Writes one server's entry: its ID from cg_server_id() (4 bytes, big endian),
 * the number of pairs (1 byte) and the pairs of cg_sample_pack().
 * @return the number of bytes written, 0 for an empty sample.
 */
size_t cg_counts_encode(uint32_t server, const struct cg_sample *s,
			uint8_t out[CG_COUNTS_ENTRY_MAX]);

/**
 * Reads the entry at offset @p *at and advances the offset past it.
 * @return 0, 1 at the end of the input, or -1 if the input is malformed.
 */
int cg_counts_decode(const uint8_t *in, size_t len, size_t *at,
		     uint32_t *server, struct cg_sample *s);

/** Latency distribution whose counts decay with time. */
struct cg_histogram {
	float n[CG_LATENCY_BUCKETS];
	float total;
};

void cg_histogram_add(struct cg_histogram *h, const struct cg_sample *s);
void cg_histogram_decay(struct cg_histogram *h, double factor);
/** Adds @p b, multiplied by @p sign (1 or -1), to @p a. */
void cg_histogram_merge(struct cg_histogram *a, const struct cg_histogram *b,
			float sign);
/**
 * Returns the quantile @p q in ms, interpolated within its bucket, or 0 if the
 * distribution is empty.
 */
cg_ms cg_histogram_quantile(const struct cg_histogram *h, double q);

#define CG_OBSERVERS_MAX 8

/** Observations of a suspect server by one daemon. */
struct cg_observer {
	uint32_t daemon;
	uint32_t domain;
	float bad;
	float good;
	cg_ms at;
};

/** The daemons that saw the most failures since the suspicion began. */
struct cg_observers {
	struct cg_observer list[CG_OBSERVERS_MAX];
	size_t n;
};

/**
 * Adds observations of one daemon. A daemon without failures is not added: its
 * successes lower the server's sum, but it does not support an ejection.
 */
void cg_observers_add(struct cg_observers *o, uint32_t daemon, uint32_t domain,
		      double bad, double good, cg_ms now);

/** Removes daemons that saw no failure since @p since. */
void cg_observers_expire(struct cg_observers *o, cg_ms since);

/**
 * Counts the daemons for which at least the ratio @p ratio of requests failed,
 * and their failure domains. A daemon with a few background failures among many
 * successes does not support an ejection.
 */
void cg_observers_count(const struct cg_observers *o, double ratio,
			unsigned int *daemons, unsigned int *domains);

#endif
