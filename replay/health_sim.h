/**
 * @file health_sim.h
 * Requests of a fleet of daemons to one service on a simulated clock, with the
 * decision modules of the coordinator and of every daemon. The same seed gives
 * the same requests. Used by the trace replay and the benchmark.
 */
#ifndef REPLAY_HEALTH_SIM_H
#define REPLAY_HEALTH_SIM_H

#include "celeryglade/ejection.h"

#define SIM_SERVERS_MAX 64
#define SIM_DAEMONS_MAX 512

struct sim_server {
	char name[16];
	double fail; /**< Share of requests that fail. */
	double slow; /**< Factor on the latency. */
	double shed;
	double flap_on_ms, flap_off_ms; /**< Fails only in the on periods. */
	cg_ms draining_until;
	cg_ms warmup_until;
	cg_ms fault_from; /**< Start of a fault of this server ... */
	cg_ms fault_until; /**< ... and when its evidence has gone. */
	cg_ms short_fault_until; /**< A fault too short to act on. */
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
	uint64_t epoch, version; /**< Verdicts held. */
	cg_ms held_until;
	struct cg_verdict verdicts[SIM_SERVERS_MAX];
	size_t verdict_n;
	bool fetch;
	bool hint_received; /**< Told of an ejection. */
	bool cannot_reach_coordinator; /**< Cannot reach the coordinator. */
	uint32_t weight[SIM_SERVERS_MAX];
	bool partition[SIM_SERVERS_MAX];
	uint8_t failures_in_row
		[SIM_SERVERS_MAX]; /**< Baseline: failures in a row. */
	cg_ms base_until[SIM_SERVERS_MAX];
	cg_ms out_since_fault_at
		[SIM_SERVERS_MAX]; /**< First time out, since the fault. */
	cg_ms base_out_since_fault_at[SIM_SERVERS_MAX];
};

struct sim {
	/* Set by the caller before sim_start. */
	uint64_t seed;
	size_t servers, daemons, domains;
	uint32_t slots, floor_percent;
	double rate; /**< Requests/s per server over the fleet. */
	double fail; /**< Background failure ratio. */
	double latency_ms, sigma; /**< Log-normal. */
	cg_ms digest_ms; /**< Greatest age of a digest, 1 s by default. */
	bool open_loop; /**< Traffic ignores decisions. */
	/* Mechanisms switched off, to show what breaks without them. */
	bool no_floor, no_domains, no_survey, no_local, no_pooling;
	bool no_shed, no_cold, no_drain, no_doubling, no_ttl;
	bool ownership_needs_store; /**< A store outage ends the coordinator's role. */
	bool no_idempotent_requests; /**< No request is idempotent. */
	/* State. */
	uint64_t rng;
	cg_ms now;
	struct sim_server server[SIM_SERVERS_MAX];
	struct sim_daemon *daemon;
	struct cg_ejection *coordinator;
	uint64_t epoch;
	bool coordinator_unreachable; /**< The coordinator is unreachable. */
	double service_fail, service_slow;
	cg_ms service_fault_until; /**< End of a fault of the whole service. */
	/* Results. */
	uint64_t requests, failed_requests, faulty_server_requests;
	uint64_t fleet_false, fleet_false_pairs, local_false, base_false;
	uint64_t bad_floor_ticks; /**< Union of all daemons' ejections. */
	uint64_t bad_local_floor_ticks;
	uint64_t ejections;
	uint32_t lowest_available;
	uint64_t digest_bytes, digests;
};

void sim_start(struct sim *s);
void sim_free(struct sim *s);
/** Advances by 100 ms. */
void sim_step(struct sim *s);
/** Replaces the coordinator by one that knows nothing. */
void sim_replace_coordinator(struct sim *s);
double sim_random(struct sim *s);
/** Whether the fleet's verdict keeps the server out now. */
bool sim_ejected(struct sim *s, size_t server);
/** How many daemons give the server no load. */
size_t sim_daemons_avoiding(struct sim *s, size_t server);

#endif
