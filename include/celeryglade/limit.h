/**
 * @file limit.h
 * Adaptive limit on the requests that one daemon runs concurrently at one
 * server. All daemons share a server's slots without reservations; each daemon
 * learns its share from the server's load-shed responses.
 */
#ifndef CELERYGLADE_LIMIT_H
#define CELERYGLADE_LIMIT_H

#include <stdint.h>

#include "celeryglade/clock.h"

struct cg_concurrency_limit {
	double value;
	cg_ms halved_at;
};

/** Initializes the limit to the server's number of slots. */
void cg_concurrency_limit_init(struct cg_concurrency_limit *l, uint32_t slots);

/** Raises the limit by 1 / limit, so by about one after as many responses as
 * the limit, but not above @p slots. */
void cg_concurrency_limit_record_response(struct cg_concurrency_limit *l,
					  uint32_t slots);

/** Halves the limit, once for all requests that were running at that time:
 * @p started is when the shed request was sent. */
void cg_concurrency_limit_record_shed(struct cg_concurrency_limit *l,
				      cg_ms started, cg_ms now);

/** Returns the limit, between 1 and @p slots. */
uint32_t cg_concurrency_limit_get(const struct cg_concurrency_limit *l,
				  uint32_t slots);

#endif
