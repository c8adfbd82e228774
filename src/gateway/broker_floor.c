#include "broker_floor.h"

#include <string.h>

/* The operators accept a tenth of the requests unserved. The share is lower
 * since the counts come up to one report (400 ms) late. */
#define SHORT_SHARE 0.07
/* Fewer unserved requests than this say nothing about the service. */
#define UNSERVED_MIN 2

void cgw_outcome_window_add(struct cgw_outcome_window *w, bool served,
			    cg_ms now)
{
	cg_ms began_at = now - now % CGW_OUTCOME_BUCKET_MS;
	unsigned int i = (unsigned int)(now / CGW_OUTCOME_BUCKET_MS %
					CGW_OUTCOME_BUCKETS);

	if (w->buckets[i].began_at != began_at) {
		memset(&w->buckets[i], 0, sizeof(w->buckets[i]));
		w->buckets[i].began_at = began_at;
	}
	w->buckets[i].requests++;
	w->buckets[i].unserved += !served;
}

void cgw_outcome_window_sum(const struct cgw_outcome_window *w, cg_ms now,
			    unsigned int *requests, unsigned int *unserved)
{
	*requests = 0;
	*unserved = 0;
	for (unsigned int i = 0; i < CGW_OUTCOME_BUCKETS; i++) {
		if (now - w->buckets[i].began_at >=
		    CGW_OUTCOME_BUCKETS * CGW_OUTCOME_BUCKET_MS)
			continue;
		*requests += w->buckets[i].requests;
		*unserved += w->buckets[i].unserved;
	}
}

bool cgw_outcome_is_short(unsigned int requests, unsigned int unserved)
{
	return unserved >= UNSERVED_MIN && unserved > SHORT_SHARE * requests;
}
