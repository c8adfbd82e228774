/**
 * @file gateway_broker_fixture.h
 * Servers and asks for tests of the broker, and its last decisions.
 */
#ifndef CELERYGLADE_TESTS_GATEWAY_BROKER_FIXTURE_H
#define CELERYGLADE_TESTS_GATEWAY_BROKER_FIXTURE_H

#include "gateway/broker.h"

#define BROKER_FIXTURE_DECISIONS 4096

struct broker_fixture {
	struct cgw_broker *broker;
	struct cgw_verdict decisions[BROKER_FIXTURE_DECISIONS];
	size_t decision_count;
	GArray *servers; /**< struct cgw_server_facts */
	uint64_t next_id;
	cg_ms now;
};

/** A broker of domain "a" out of @p domains, without servers. */
void broker_fixture_init(struct broker_fixture *w, unsigned int domains);
void broker_fixture_clear(struct broker_fixture *w);
/** Adds a server of domain "a" and hands the list to the broker. */
void broker_fixture_add_server(struct broker_fixture *w, const char *id,
			       const char *service, int64_t slots);
/** Adds servers "s1" to "s@p n" of domain "a". */
void broker_fixture_add_servers(struct broker_fixture *w, const char *service,
				unsigned int n, int64_t slots);
/** Adds @p n servers of another domain, "s" with the domain and a number. */
void broker_fixture_add_remote_servers(struct broker_fixture *w,
				       const char *service, const char *domain,
				       unsigned int n);
/** What another domain's broker tells of a service. */
void broker_fixture_receive_state(struct broker_fixture *w, const char *domain,
				  const char *service, int64_t free_slots,
				  int64_t ejected);
/** How many of "s1" to "s@p n" are ejected. */
unsigned int broker_fixture_count_ejected(struct broker_fixture *w,
					  unsigned int n);
/** Hands the present list to the broker. */
void broker_fixture_update_servers(struct broker_fixture *w);
/** An ask with an objective of 1000 ms and 5000 ms to go. */
struct cgw_ask broker_fixture_new_request(struct broker_fixture *w,
					  const char *service, bool safe);
/** Puts an ask; returns its verdict, or NULL if it waits. */
const struct cgw_verdict *broker_fixture_submit(struct broker_fixture *w,
						const struct cgw_ask *a);
/** The last verdict on an ask, or NULL. */
const struct cgw_verdict *broker_fixture_decision(struct broker_fixture *w,
						  uint64_t id);
/** Moves the time on, with a tick each 50 ms. */
void broker_fixture_advance(struct broker_fixture *w, cg_ms ms);
void broker_fixture_release(struct broker_fixture *w, uint64_t id,
			    enum cgw_result r, cg_ms elapsed);
/** A table with one account "acc" of this rate and burst. */
void broker_fixture_set_account(struct broker_fixture *w, int64_t rate_milli,
				int64_t burst_milli);

#endif
