/**
 * @file broker_sim.h
 * Simulates a fleet of daemons, brokers and backend servers in one thread on a
 * simulated clock. Generated load drives the broker core or a simpler policy.
 * The same options always give the same result.
 */
#ifndef CELERYGLADE_REPLAY_BROKER_SIM_H
#define CELERYGLADE_REPLAY_BROKER_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include "celeryglade/clock.h"

/** Policy that assigns requests to servers. All but the first are baselines. */
enum sim_policy {
	SIM_BROKER, /**< One broker per failure domain. */
	SIM_LOCAL_COUNTS, /**< Each daemon by its own requests in flight. */
	SIM_FIVE_FAILURES, /**< The same; five failures in a row
			    * exclude a server for 5 s. */
	SIM_FIXED_SPLIT, /**< Each daemon uses a fixed share of the servers. */
	SIM_POLICY_COUNT,
};

/** Load or failure. All but SIM_SHORTAGE begin 5 s after the start of the
 * simulation. */
enum sim_pattern {
	SIM_STEADY,
	SIM_BURST, /**< Three times the load for 1 s in 5. */
	SIM_HOT_ACCOUNT, /**< One account sends seven times its share. */
	SIM_HANGING, /**< Three servers in ten hang for one episode in two. */
	SIM_ERRORS, /**< Three in ten fail three in four requests at once. */
	SIM_RESETS, /**< The same, by closing the connection. */
	SIM_SLOW, /**< Three servers in ten take five times as long. */
	SIM_FLAPPING, /**< Three servers in ten hang every other second. */
	SIM_SHEDDING, /**< One service sheds all requests. */
	SIM_SHORTAGE, /**< One domain always has a third of its servers. */
	SIM_CUT, /**< One domain is cut off from the others. */
	SIM_PATTERN_COUNT,
};

struct sim_options {
	enum sim_policy policy;
	enum sim_pattern pattern;
	unsigned int daemons, domains, services;
	unsigned int servers; /**< Of all services. */
	unsigned int accounts;
	int64_t slots; /**< Of each server. */
	double load; /**< Share of all slots that requests use. */
	double idempotent_share; /**< Of requests. */
	cg_ms work_ms, objective_ms, timeout_ms;
	/** After the first 5 s. Requests of these 5 s and of the last
	 * timeout_ms are not counted. */
	cg_ms duration_ms;
	cg_ms episode_ms; /**< Length of a failure episode. */
	uint64_t seed;
};

struct sim_result {
	uint64_t requests, served;
	uint64_t in_time; /**< Served within the latency objective. */
	uint64_t refused;
	uint64_t lost; /**< Not idempotent, neither served nor refused. */
	uint64_t expired; /**< Idempotent, neither served nor refused. */
	uint64_t wrongly_refused; /**< Although a healthy slot was free. */
	uint64_t retries;
	double worst_account_share; /**< Lowest served share of an account. */
	double small_p99_ms; /**< Latency; without the first account. */
	unsigned int episodes; /**< Times that a server began to hang. */
	unsigned int detected; /**< Of these: half the daemons excluded it. */
	double detect_ms; /**< Mean; an undetected episode counts in full. */
	double false_ejection_share; /**< Share of the time that a daemon
				      * excludes a healthy server. */
	double messages_per_s; /**< Between daemons, per daemon. */
};

void sim_defaults(struct sim_options *o);
const char *sim_policy_name(enum sim_policy p);
const char *sim_pattern_name(enum sim_pattern p);
/** Runs a simulation. Returns 0, or -1 if the options contradict each other. */
int sim_run(const struct sim_options *o, struct sim_result *result);

#endif
