/**
 * @file balance.h
 * Choice of the backend server for an attempt.
 */
#ifndef CELERYGLADE_INTERNAL_BALANCE_H
#define CELERYGLADE_INTERNAL_BALANCE_H

#include "internal/health.h"

struct cg_balance;

struct cg_balance *cg_balance_new(const struct cg_settings *s,
				  struct cg_members *members);
void cg_balance_free(struct cg_balance *b);

/** Picks a server that is not in @p exclude and reserves a running place.
 * Returns 0, 1 if all usable servers are at their limits, -1 if none is
 * usable. */
int cg_balance_pick(struct cg_balance *b, const struct cg_service *svc,
		    struct cg_health *h, const struct cg_server *const *exclude,
		    size_t n_exclude, bool idempotent, cg_ms now,
		    const struct cg_server **out);

/** Frees the place of an attempt that ended. */
void cg_balance_done(struct cg_balance *b, const struct cg_server *srv,
		     enum cg_observation o, cg_ms latency, cg_ms now);

/** Frees the place of an attempt that was not made. */
void cg_balance_cancel(struct cg_balance *b, const struct cg_server *srv);

#endif
