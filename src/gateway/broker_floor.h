/**
 * @file broker_floor.h
 * Decides when a service runs short: more of its requests are not served than
 * the operators accept. Only then must doubted servers be used again at once;
 * while nearly all requests are served, leaving them out costs nobody anything.
 */
#ifndef CELERYGLADE_GATEWAY_BROKER_FLOOR_H
#define CELERYGLADE_GATEWAY_BROKER_FLOOR_H

#include <stdbool.h>

#include "celeryglade/clock.h"

#define CGW_OUTCOME_BUCKETS   4
#define CGW_OUTCOME_BUCKET_MS 500

/** Outcomes of requests in a sliding window of two seconds. */
struct cgw_outcome_window {
	struct {
		cg_ms began_at;
		unsigned int requests, unserved;
	} buckets[CGW_OUTCOME_BUCKETS];
};

/** Adds the outcome of a request. */
void cgw_outcome_window_add(struct cgw_outcome_window *w, bool served,
			    cg_ms now);
/** Sets the counts of the last two seconds. */
void cgw_outcome_window_sum(const struct cgw_outcome_window *w, cg_ms now,
			    unsigned int *requests, unsigned int *unserved);
/** Returns whether a service with these counts runs short. */
bool cgw_outcome_is_short(unsigned int requests, unsigned int unserved);

#endif
