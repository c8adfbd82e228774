/**
 * @file limit.h
 * Adaptive limit on the requests that one daemon runs at once at one server
 * (docs/design.md 9). A server's slots are shared by all daemons without any
 * reservation; each learns its share from the load-shed responses.
 */
#ifndef CELERYGLADE_LIMIT_H
#define CELERYGLADE_LIMIT_H

#include <stdint.h>

#include "celeryglade/clock.h"

struct cg_concurrency_limit {
	double value;
	cg_ms halved_at;
};

/** Starts at the server's slots. */
void cg_concurrency_limit_init(struct cg_concurrency_limit *l, uint32_t slots);

/** Additive increase, by one for each full limit of answers. */
void cg_concurrency_limit_record_response(struct cg_concurrency_limit *l,
					  uint32_t slots);

/** Halves the limit, once for all requests that were running at that time:
 * @p started is when the refused request was sent. */
void cg_concurrency_limit_record_shed(struct cg_concurrency_limit *l,
				      cg_ms started, cg_ms now);

/** Returns the limit, from 1 to @p slots. */
uint32_t cg_concurrency_limit_get(const struct cg_concurrency_limit *l,
				  uint32_t slots);

#endif
