/**
 * @file gateway_broker_fixture.h
 * Fixture of the broker's tests: a broker with a simulated clock, its servers,
 * and its last slot decisions.
 */
#ifndef CELERYGLADE_TESTS_GATEWAY_BROKER_FIXTURE_H
#define CELERYGLADE_TESTS_GATEWAY_BROKER_FIXTURE_H

#include "gateway/broker.h"

/** Decisions kept; older ones are overwritten. */
#define BROKER_FIXTURE_DECISIONS 4096

struct broker_fixture {
	struct cgw_broker *broker;
	struct cgw_slot_decision decisions[BROKER_FIXTURE_DECISIONS];
	size_t decision_count;
	GArray *servers; /**< struct cgw_server_facts */
	uint64_t next_id;
	cg_ms now;
	cg_ms heard_until; /**< When the daemons fall silent. */
};

/** Creates a broker of domain "a" without servers; @p domains is the number of
 * failure domains. */
void broker_fixture_init(struct broker_fixture *w, unsigned int domains);
void broker_fixture_clear(struct broker_fixture *w);
/** Adds a server of domain "a" and passes the list to the broker. */
void broker_fixture_add_server(struct broker_fixture *w, const char *id,
			       const char *service, int64_t slots);
/** Adds servers "s1" to "s@p n" of domain "a". */
void broker_fixture_add_servers(struct broker_fixture *w, const char *service,
				unsigned int n, int64_t slots);
/** Adds @p n servers of another domain. Their names are "s", the domain and a
 * number from 1. */
void broker_fixture_add_remote_servers(struct broker_fixture *w,
				       const char *service, const char *domain,
				       unsigned int n);
/** Passes the state of a service, as reported by another domain's broker. */
void broker_fixture_receive_state(struct broker_fixture *w, const char *domain,
				  const char *service, int64_t free_slots,
				  int64_t ejected);
/** Returns how many of the servers "s1" to "s@p n" are ejected. */
unsigned int broker_fixture_count_ejected(struct broker_fixture *w,
					  unsigned int n);
/** Passes the current list of servers to the broker. */
void broker_fixture_update_servers(struct broker_fixture *w);
/** Returns a slot request with a latency objective of 1000 ms and a deadline in
 * 5000 ms. */
struct cgw_slot_request broker_fixture_new_request(struct broker_fixture *w,
						   const char *service,
						   bool idempotent);
/** Submits a slot request. Returns its decision, or NULL if it waits. */
const struct cgw_slot_decision *
broker_fixture_submit(struct broker_fixture *w,
		      const struct cgw_slot_request *a);
/** Returns the last decision on a slot request, or NULL. */
const struct cgw_slot_decision *
broker_fixture_decision(struct broker_fixture *w, uint64_t id);
/** Advances the clock, with a tick of the broker every 50 ms. */
void broker_fixture_advance(struct broker_fixture *w, cg_ms ms);
void broker_fixture_release(struct broker_fixture *w, uint64_t id,
			    enum cgw_result r, cg_ms elapsed);
/** Configures one account "acc" with this rate and burst, in thousandths. */
void broker_fixture_set_account(struct broker_fixture *w, int64_t rate_milli,
				int64_t burst_milli);

#endif
