/**
 * @file gateway_world.h
 * Servers and asks for tests of the broker, and its last verdicts.
 */
#ifndef CELERYGLADE_TESTS_GATEWAY_WORLD_H
#define CELERYGLADE_TESTS_GATEWAY_WORLD_H

#include "gateway/broker.h"

#define WORLD_VERDICTS 4096

struct world {
	struct cgw_broker *broker;
	struct cgw_slot_decision verdicts[WORLD_VERDICTS];
	size_t verdict_count;
	GArray *servers; /**< struct cgw_server_facts */
	uint64_t next_id;
	cg_ms now;
};

/** A broker of domain "a" out of @p domains, without servers. */
void world_init(struct world *w, unsigned int domains);
void world_clear(struct world *w);
/** Adds a server of domain "a" and hands the list to the broker. */
void world_add_server(struct world *w, const char *id, const char *service,
		      int64_t slots);
/** Adds servers "s1" to "s@p n" of domain "a". */
void world_add_servers(struct world *w, const char *service, unsigned int n,
		       int64_t slots);
/** Adds @p n servers of another domain, "s" with the domain and a number. */
void world_add_elsewhere(struct world *w, const char *service,
			 const char *domain, unsigned int n);
/** What another domain's broker tells of a service. */
void world_hear(struct world *w, const char *domain, const char *service,
		int64_t free_slots, int64_t ejected);
/** How many of "s1" to "s@p n" are ejected. */
unsigned int world_ejected(struct world *w, unsigned int n);
/** Hands the present list to the broker. */
void world_list(struct world *w);
/** An ask with an objective of 1000 ms and 5000 ms to go. */
struct cgw_slot_request world_ask(struct world *w, const char *service,
				  bool safe);
/** Puts an ask; returns its verdict, or NULL if it waits. */
const struct cgw_slot_decision *world_put(struct world *w,
					  const struct cgw_slot_request *a);
/** The last verdict on an ask, or NULL. */
const struct cgw_slot_decision *world_verdict(struct world *w, uint64_t id);
/** Moves the time on, with a tick each 50 ms. */
void world_pass(struct world *w, cg_ms ms);
void world_release(struct world *w, uint64_t id, enum cgw_result r,
		   cg_ms elapsed);
/** A table with one account "acc" of this rate and burst. */
void world_account(struct world *w, int64_t rate_milli, int64_t burst_milli);

#endif
