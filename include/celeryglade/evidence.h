/**
 * @file evidence.h
 * What requests showed about one server: counts of failed and answered
 * requests, the latter by latency, and which daemons saw failures.
 */
#ifndef CELERYGLADE_EVIDENCE_H
#define CELERYGLADE_EVIDENCE_H

#include <stddef.h>
#include <stdint.h>

#include "celeryglade/clock.h"

/** Latency classes, four to a power of two, up to 65 s. */
#define CG_LATENCY_BUCKETS 64

/** Returns the latency class of @p latency. */
unsigned int cg_latency_bucket(cg_ms latency);

/** Returns the lowest latency of a class. */
cg_ms cg_latency_bucket_lower_bound(unsigned int bucket);

/** Counts of one server over some time. Load-shed responses are kept apart:
 * they prove that the server did not run the request and are no evidence. */
struct cg_sample {
	uint32_t failed;
	uint32_t shed;
	uint32_t answered[CG_LATENCY_BUCKETS];
};

/** Adds @p b to @p a. */
void cg_sample_add(struct cg_sample *a, const struct cg_sample *b);

/** Returns the number of answered requests. */
uint32_t cg_sample_count_answered(const struct cg_sample *s);

/** Returns the number of answers at or above @p limit; of the class that holds
 * the limit, the share above it. */
double cg_sample_count_slow(const struct cg_sample *s, cg_ms limit);

/**
 * Packs the sample as pairs (code, count); codes below CG_LATENCY_BUCKETS are
 * latency classes, then failed, then shed. Counts above 255 take several pairs.
 * Returns the bytes written, at most @p max; what does not fit is left out.
 */
size_t cg_sample_pack(const struct cg_sample *s, uint8_t *out, size_t max);

/** Reverses cg_sample_pack. Returns 0, or -1 if malformed. */
int cg_sample_unpack(struct cg_sample *s, const uint8_t *in, size_t len);

/** Most bytes that cg_counts_encode writes. */
#define CG_COUNTS_ENTRY_MAX (4 + 1 + 2 * 255)

/** Writes one server's number and sample: four bytes of number, one of the
 * pairs' number, the pairs. Returns the bytes written, 0 for an empty sample. */
size_t cg_counts_encode(uint32_t server, const struct cg_sample *s,
			uint8_t out[CG_COUNTS_ENTRY_MAX]);

/** Reads the entry at @p *at and moves @p at behind it. Returns 0, 1 at the
 * end, or -1 if malformed. */
int cg_counts_decode(const uint8_t *in, size_t len, size_t *at,
		     uint32_t *server, struct cg_sample *s);

/** Latency distribution that fades with time. */
struct cg_histogram {
	float n[CG_LATENCY_BUCKETS];
	float total;
};

void cg_histogram_add(struct cg_histogram *h, const struct cg_sample *s);
void cg_histogram_decay(struct cg_histogram *h, double factor);
/** Adds @p b, multiplied by @p sign, to @p a. */
void cg_histogram_merge(struct cg_histogram *a, const struct cg_histogram *b,
			float sign);
/** Returns the quantile @p q, interpolated within its class, or 0 if the
 * distribution is empty. */
cg_ms cg_histogram_quantile(const struct cg_histogram *h, double q);

#define CG_OBSERVERS_MAX 8

/** One daemon's view of a suspect server. */
struct cg_observer {
	uint32_t daemon;
	uint32_t domain;
	float bad;
	float good;
	cg_ms at;
};

/** The daemons with the most failures since the suspicion began. */
struct cg_observers {
	struct cg_observer list[CG_OBSERVERS_MAX];
	size_t n;
};

/** Adds observations of one daemon. A daemon without failures is not listed:
 * its answers lower the server's sum but name no witness. */
void cg_observers_add(struct cg_observers *w, uint32_t daemon, uint32_t domain,
		      double bad, double good, cg_ms now);

/** Drops daemons that saw no failure since @p since. */
void cg_observers_expire(struct cg_observers *w, cg_ms since);

/**
 * Counts the daemons, and their failure domains, for which at least the share
 * @p ratio of requests failed. A daemon with a few background failures among
 * many answers does not support an ejection.
 */
void cg_observers_count(const struct cg_observers *w, double ratio,
			unsigned int *daemons, unsigned int *domains);

#endif
