/**
 * @file placement_sim.h
 * A queue of generated requests before the servers of one service, placed by the
 * broker core on a simulated clock. The same options always give the same
 * result.
 */
#ifndef CELERYGLADE_REPLAY_PLACEMENT_SIM_H
#define CELERYGLADE_REPLAY_PLACEMENT_SIM_H

#include "gateway/broker.h"

#define PLACEMENT_KINDS_MAX 4

/** A kind of requests: a route, or a class of requests of a route. */
struct placement_kind {
	const char *route, *target;
	double rate; /**< Requests per second. */
	double work_ms; /**< Mean. */
	double sigma; /**< Of the lognormal distribution of work. */
	/** Share of requests that take @c long_factor times as long. */
	double long_share, long_factor;
	double drift; /**< Factor of the work in the second half. */
	cg_ms objective_ms, timeout_ms;
	int64_t priority;
	bool idempotent;
};

struct placement_trace {
	const char *name;
	struct placement_kind kinds[PLACEMENT_KINDS_MAX];
	unsigned int kind_count;
	unsigned int servers;
	int64_t slots;
	/** Processors of a server, which the requests in flight there share.
	 * As many as slots: requests do not slow each other down. */
	double processors;
	double slowest, fastest; /**< Speeds; evenly spread. */
	/** Share of servers that hang three in four requests for hang_ms, from
	 * time to time. */
	double hanging_share;
	cg_ms hang_ms;
	cg_ms duration_ms;
	guint32 seed;
	/** Work differs, so that expected finish must be better. */
	bool better;
};

struct placement_figures {
	unsigned int requests, served, refused;
	unsigned int late; /**< Not served within the objective, but granted. */
	double median_ms, p99_ms; /**< Of the served requests. */
};

/** Runs a trace; @p out has one element for each kind, and one for all. */
void placement_run(const struct placement_trace *t, enum cgw_placement p,
		   struct placement_figures *out);

#endif
