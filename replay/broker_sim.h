/**
 * @file broker_sim.h
 * A fleet of daemons, brokers and backend servers in one thread and on a given
 * clock: generated load drives the broker core or a simpler policy. The same
 * options give the same result.
 */
#ifndef CELERYGLADE_REPLAY_BROKER_SIM_H
#define CELERYGLADE_REPLAY_BROKER_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include "celeryglade/clock.h"

/** Who decides. The others than the first are baselines. */
enum sim_policy {
	SIM_BROKER, /**< One broker a failure domain. */
	SIM_OWN, /**< Each daemon by its own counts of requests in flight. */
	SIM_FIVE, /**< The same; a server that failed five times in a row at a
		   * daemon gets nothing from it for 5 s. */
	SIM_SPLIT, /**< Each daemon has a fixed part of the servers. */
	SIM_POLICY_COUNT,
};

/** What happens, from 5 s after the start. */
enum sim_pattern {
	SIM_STEADY,
	SIM_BURST, /**< Three times the load for 1 s in 5. */
	SIM_HOT_ACCOUNT, /**< One account asks for seven times its share. */
	SIM_HANGING, /**< Three servers in ten hang in spells of 6 s. */
	SIM_SLOW, /**< Three servers in ten take five times as long. */
	SIM_FLAPPING, /**< Three in ten hang each other second. */
	SIM_SHEDDING, /**< One service turns all requests away. */
	SIM_SHORTAGE, /**< One domain has a third of its servers. */
	SIM_CUT, /**< One domain's daemons reach no other domain. */
	SIM_PATTERN_COUNT,
};

struct sim_options {
	enum sim_policy policy;
	enum sim_pattern pattern;
	unsigned int daemons, domains, services;
	unsigned int servers; /**< Of all services. */
	unsigned int accounts;
	int64_t slots; /**< Of each server. */
	double load; /**< Part of all slots that requests fill. */
	double safe_part; /**< Requests that may run again. */
	cg_ms work_ms, objective_ms, timeout_ms;
	cg_ms length_ms; /**< After the first 5 s, which are not counted. */
	uint64_t seed;
};

struct sim_result {
	uint64_t requests, served, in_time, refused, lost, expired;
	uint64_t wrongful; /**< Refused while a sound server had a free slot. */
	uint64_t repeats;
	double worst_account; /**< Served part of the worst-served account. */
	double small_p99_ms; /**< Of all accounts but the first. */
	unsigned int spells; /**< Times at which a server began to hang. */
	unsigned int found; /**< Of these, left by half the daemons. */
	double detect_ms; /**< Mean; an undetected spell counts in full. */
	double false_out; /**< Part of the time in which a daemon leaves out a
			   * sound server. */
	double messages_per_s; /**< Between daemons, per daemon. */
};

void sim_defaults(struct sim_options *o);
const char *sim_policy_name(enum sim_policy p);
const char *sim_pattern_name(enum sim_pattern p);
/** Runs a simulation; 0, or -1 if the options contradict each other. */
int sim_run(const struct sim_options *o, struct sim_result *out);

#endif
