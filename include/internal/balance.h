/**
 * @file balance.h
 * Load balancer: chooses the server of an attempt, the better of two random
 * servers of this daemon's subset. Thread-safe. State is stored under the names
 * of service and server and therefore survives configuration changes.
 */
#ifndef CELERYGLADE_INTERNAL_BALANCE_H
#define CELERYGLADE_INTERNAL_BALANCE_H

#include "internal/health.h"

struct cg_balance;

/** Creates the balancer of @p instance; equal seeds give equal choices. */
struct cg_balance *cg_balance_new(const char *instance, uint64_t seed);
void cg_balance_free(struct cg_balance *b);

/** Sets the number of daemons, which determines the subset sizes. */
void cg_balance_set_daemons(struct cg_balance *b, size_t daemons);

/** Removes the state of services that are not in @p c. */
void cg_balance_prune(struct cg_balance *b, const struct cg_config *c);

/**
 * Chooses a server of @p svc that is not in @p exclude and reserves a slot
 * there; the caller releases it with cg_balance_complete or cg_balance_cancel.
 * Only @p idempotent requests are used to test a recovering server, unless its
 * fleet verdict allows all methods. Returns 0; 1 if every usable server is at
 * its limit, and the request should stay queued; -1 if all servers are excluded
 * or draining. If all others are ejected or avoided, or were skipped at random
 * because of a reduced weight, the least unhealthy one is chosen.
 */
int cg_balance_pick(struct cg_balance *b, const struct cg_service *svc,
		    struct cg_health *h, const struct cg_server *const *exclude,
		    size_t n_exclude, bool idempotent, cg_ms now,
		    const struct cg_server **out);

/** Releases the slot after an attempt that took @p latency and records its
 * outcome. @p srv may belong to an older configuration. */
void cg_balance_complete(struct cg_balance *b, const struct cg_server *srv,
			 enum cg_observation outcome, cg_ms latency, cg_ms now);

/** Releases the slot of an attempt that was not made. */
void cg_balance_cancel(struct cg_balance *b, const struct cg_server *srv);

/** State of one server, for tests. */
struct cg_balance_server_state {
	uint32_t running;
	uint32_t limit;
	double latency_ms;
	bool in_subset;
};

/** Returns 0, or -1 if there is no state for the server. */
int cg_balance_read_server(struct cg_balance *b, const struct cg_server *srv,
			   struct cg_balance_server_state *out);

/** Returns the memory in use, in bytes. */
size_t cg_balance_memory(struct cg_balance *b);

#endif
