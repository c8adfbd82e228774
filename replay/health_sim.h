/**
 * @file health_sim.h
 * Simulates the requests of a fleet of daemons to one service on a simulated
 * clock, with the decision modules of the coordinator and of every daemon. The
 * same seed gives the same requests. Used by the trace replay and the
 * benchmark.
 */
#ifndef REPLAY_HEALTH_SIM_H
#define REPLAY_HEALTH_SIM_H

#include "celeryglade/ejection.h"

#define SIM_SERVERS_MAX 64
#define SIM_DAEMONS_MAX 512

struct sim_server {
	char name[16];
	double fail; /**< Ratio of requests that fail. */
	double slow; /**< Factor of the latency. */
	double shed; /**< Ratio of requests that are shed. */
	/** Fails only during the on periods, if set. */
	double flap_on_ms, flap_off_ms;
	cg_ms draining_until;
	cg_ms warmup_until;
	cg_ms fault_from; /**< Start of a fault of this server. */
	cg_ms fault_until; /**< Time by which its evidence has decayed. */
	/** End of a fault that is too short for an ejection. */
	cg_ms short_fault_until;
};

struct sim_daemon {
	char name[16];
	char domain[4];
	struct cg_ejection *local;
	struct cg_sample new_counts[SIM_SERVERS_MAX]; /**< Of this tick. */
	struct cg_sample unsent[SIM_SERVERS_MAX];
	uint32_t new_count_n, unsent_n;
	cg_ms digest_sent_at;
	uint64_t sequence, local_sequence;
	struct cg_ejection_server local_servers[SIM_SERVERS_MAX];
	uint64_t epoch, version; /**< Of the verdicts held. */
	cg_ms held_until; /**< Expiry of the verdicts. */
	struct cg_verdict verdicts[SIM_SERVERS_MAX];
	size_t verdict_n;
	bool fetch; /**< Send a digest at the next tick. */
	bool hint_received; /**< The coordinator announced an ejection. */
	bool cannot_reach_coordinator;
	uint32_t weight[SIM_SERVERS_MAX];
	/** Cannot reach the server. */
	bool partition[SIM_SERVERS_MAX];
	/** Consecutive failures, counted by the baseline. */
	uint8_t failures_in_row[SIM_SERVERS_MAX];
	/** End of the ejection by the baseline. */
	cg_ms baseline_until[SIM_SERVERS_MAX];
	/** First time without load since the start of the fault. */
	cg_ms first_out_at[SIM_SERVERS_MAX];
	/** The same for the baseline. */
	cg_ms baseline_first_out_at[SIM_SERVERS_MAX];
};

struct sim {
	/* Set by the caller before sim_start. */
	uint64_t seed;
	size_t servers, daemons, domains;
	uint32_t slots, floor_percent;
	double rate; /**< Requests/s per server over the fleet. */
	double fail; /**< Background failure ratio. */
	/** Of the log-normal latency distribution. */
	double latency_ms, sigma;
	cg_ms digest_ms; /**< Interval of digests, 1 s by default. */
	/** Requests go to all servers regardless of their weights. */
	bool open_loop;
	/* Disabled mechanisms, to show what fails without them. */
	bool no_floor, no_domains, no_survey, no_local, no_pooling;
	bool no_shed, no_warmup, no_drain, no_doubling, no_ttl;
	/** Ownership is a lease in the store: a store outage ends it, and the
	 * daemons have no coordinator. */
	bool ownership_needs_store;
	bool no_idempotent_requests;
	/* State. */
	uint64_t rng;
	cg_ms now;
	struct sim_server server[SIM_SERVERS_MAX];
	struct sim_daemon *daemon;
	struct cg_ejection *coordinator;
	uint64_t epoch;
	bool coordinator_unreachable;
	double service_fail, service_slow;
	cg_ms service_fault_until; /**< End of a fault of all servers. */
	/* Results. */
	uint64_t requests, failed_requests, faulty_server_requests;
	/** A false ejection is one of a server without a fault. A pair is such
	 * a server and a daemon that avoids it by a fleet verdict. */
	uint64_t fleet_false_ejections, fleet_false_pairs,
		local_false_ejections, baseline_false_ejections;
	/** Ticks below the floor by the verdicts held by any daemon. */
	uint64_t ticks_below_floor;
	uint64_t local_ticks_below_floor;
	uint64_t ejections;
	/** Minimum, over the checks of the floor, of the slots in service. */
	uint32_t lowest_available;
	uint64_t digest_bytes, digests;
};

/** Starts a simulation with the settings in @p s; free with sim_free(). */
void sim_start(struct sim *s);
/** Frees what sim_start() has allocated, but not @p s. */
void sim_free(struct sim *s);
/** Advances the simulation by 100 ms. */
void sim_step(struct sim *s);
/**
 * Replaces the coordinator by a new one without state, which surveys the
 * daemons unless that is disabled.
 */
void sim_replace_coordinator(struct sim *s);
/** Returns a random number in [0, 1). */
double sim_random(struct sim *s);
/** Returns whether the coordinator's verdict is that the server is ejected. */
bool sim_ejected(struct sim *s, size_t server);
/** Returns the number of daemons that send no requests to the server. */
size_t sim_daemons_avoiding(struct sim *s, size_t server);

#endif
