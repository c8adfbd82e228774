/**
 * @file balance.h
 * Choice of a server for one attempt (docs/design.md 9): the better of two
 * random servers of this daemon's subset. Thread safe; state is kept by the
 * names of service and server, so that it survives configuration changes.
 */
#ifndef CELERYGLADE_INTERNAL_BALANCE_H
#define CELERYGLADE_INTERNAL_BALANCE_H

#include "internal/health.h"

struct cg_balance;

/** Creates the state for @p instance; equal seeds give equal choices. */
struct cg_balance *cg_balance_new(const char *instance, uint64_t seed);
void cg_balance_free(struct cg_balance *b);

/** Sets the number of daemons, which sizes the subsets. */
void cg_balance_set_daemons(struct cg_balance *b, size_t daemons);

/** Drops the state of services that are not in @p c. */
void cg_balance_prune(struct cg_balance *b, const struct cg_config *c);

/**
 * Chooses a server of @p svc and reserves a running place at it, which the
 * caller gives back with cg_balance_complete. Servers in @p exclude are not chosen.
 * Returns 0; 1 if every usable server is at its limit, so that the request
 * stays queued; -1 if no server may be used. If all servers that do not drain
 * are ejected or avoided, the least bad one is chosen.
 */
int cg_balance_pick(struct cg_balance *b, const struct cg_service *svc,
		    struct cg_health *h, const struct cg_server *const *exclude,
		    size_t n_exclude, bool idempotent, cg_ms now,
		    const struct cg_server **out);

/** Gives the place back after an attempt that took @p latency. @p srv may be
 * from an older configuration. */
void cg_balance_complete(struct cg_balance *b, const struct cg_server *srv,
			 enum cg_observation outcome, cg_ms latency, cg_ms now);

/** Gives the place back of an attempt that was not made. */
void cg_balance_cancel(struct cg_balance *b, const struct cg_server *srv);

/** State of one server, for status and tests. */
struct cg_balance_server_state {
	uint32_t running;
	uint32_t limit;
	double latency_ms;
	bool in_subset;
};

/** Returns 0, or -1 if nothing is known about the server. */
int cg_balance_read_server(struct cg_balance *b, const struct cg_server *srv,
			   struct cg_balance_server_state *out);

/** Bytes of memory held. */
size_t cg_balance_memory(struct cg_balance *b);

#endif
