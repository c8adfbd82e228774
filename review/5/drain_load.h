/* Clients of the cases on servers that leave. */
#ifndef REVIEW_DRAIN_LOAD_H
#define REVIEW_DRAIN_LOAD_H

#include "rig.h"

#define DRAIN_MS 2000 /* the pages' drain_ms */

/* Starts clients that send requests which must not be repeated through the
 * gateways from @first on, each @pause_ms. */
void load_start(int first, int per_gateway, int pause_ms);
/* Ends them. */
void load_stop(void);
/* Returns how many runs at @server began later than drain_ms after @acked, notes
 * them, and sets @latest to the last one's delay. */
int runs_too_late(const char *server, long long acked, long long *latest);

#endif
