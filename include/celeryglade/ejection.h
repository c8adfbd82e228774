/**
 * @file ejection.h
 * Decides which servers of one service are ejected and how they return to
 * service. Performs no I/O; the current time is an argument. The health
 * coordinator runs one instance for the whole fleet. Each daemon runs another
 * one on its own observations, to avoid servers that only this daemon sees
 * failing.
 *
 * Not thread-safe.
 */
#ifndef CELERYGLADE_EJECTION_H
#define CELERYGLADE_EJECTION_H

#include <stdbool.h>

#include "celeryglade/config.h"
#include "celeryglade/evidence.h"

/** Number of steps in which a recovering server's share of load rises. */
#define CG_TRIAL_STEPS 3

enum cg_server_phase {
	CG_SERVER_IN_SERVICE, /**< Gets its full share of requests. */
	CG_SERVER_EJECTED,
	CG_SERVER_TRIAL, /**< Gets a rising share of the idempotent requests. */
};

/** Why an ejection was denied. */
enum cg_denial {
	CG_DENIAL_NONE,
	/** Too few daemons or failure domains saw failures. */
	CG_DENIAL_EVIDENCE,
	/** Fewer slots than the floor would stay available. */
	CG_DENIAL_FLOOR,
	/** The previous coordinator's verdicts are still being collected. */
	CG_DENIAL_SURVEY,
};

const char *cg_server_phase_name(enum cg_server_phase p);
const char *cg_denial_name(enum cg_denial d);

struct cg_ejection_rules {
	double threshold; /**< Sum at which a server in service is ejected. */
	/** Sum at which a server in trial is ejected. */
	double trial_threshold;
	unsigned int min_daemons;
	unsigned int min_domains;
	cg_ms verdict_ttl_ms;
	cg_ms eject_ms;
	cg_ms eject_max_ms;
	/** Responses needed to complete a trial step. */
	unsigned int step_responses;
	/** Upper bound of the first trial share, in thousandths. */
	unsigned int first_share_max;
	/**
	 * Decides for one daemon only. When the floor denies an ejection, a
	 * server with a higher sum replaces an ejected one with a lower sum,
	 * and a reinstated server counts as available at once.
	 */
	bool local;
};

/**
 * Initializes the rules of the coordinator (fleet) or of one daemon's own
 * decisions (local).
 */
void cg_ejection_rules_fleet(struct cg_ejection_rules *r, cg_ms verdict_ttl_ms,
			     cg_ms eject_ms);
void cg_ejection_rules_local(struct cg_ejection_rules *r, cg_ms eject_ms);

/**
 * A server as described by the configuration, the drain notices and the
 * warm-up.
 */
struct cg_ejection_server {
	char name[CG_NAME_MAX + 1];
	uint32_t slots;
	bool warming_up; /**< Provides neither evidence nor capacity. */
	bool draining; /**< Provides neither evidence nor capacity. */
	/** Local decisions only: a fleet verdict limits the server. */
	bool has_fleet_verdict;
};

/** Returns the number that identifies a server in digests. */
uint32_t cg_server_id(const char *name);

/** Verdict on a server that is ejected or in trial. */
struct cg_verdict {
	uint32_t server;
	enum cg_server_phase phase;
	uint32_t share; /**< Share of its normal load, in thousandths. */
	bool any_method; /**< Non-idempotent requests take part in the trial. */
	/** Sets the length of the next eject time. */
	uint32_t consecutive_ejections;
	cg_ms remaining_ms; /**< Remaining eject time. */
};

struct cg_ejection;

/**
 * Creates the state of one service. With @p surveying, nothing is ejected until
 * cg_ejection_end_survey() is called or verdict_ttl_ms have passed, since
 * verdicts of an earlier coordinator may still be in force. The caller owns the
 * result and releases it with cg_ejection_free().
 */
struct cg_ejection *cg_ejection_new(const struct cg_ejection_rules *r,
				    uint64_t epoch, bool surveying, cg_ms now);
void cg_ejection_free(struct cg_ejection *e);

/**
 * Sets the servers and the floor, the percentage of slots that must stay
 * available. The state of servers that are already known is kept; servers that
 * are not in the list are removed. With local rules, avoided servers are
 * reinstated at once if the new list leaves less capacity than the floor.
 */
void cg_ejection_set_servers(struct cg_ejection *e,
			     const struct cg_ejection_server *list, size_t n,
			     uint32_t floor_percent, cg_ms now);

/**
 * Registers a digest of a daemon and stores the daemon's number for
 * cg_ejection_observe() in @p reporter.
 * @return 0, or -1 if this sequence number was counted before or is so old that
 * this is not known.
 */
int cg_ejection_begin_digest(struct cg_ejection *e, const char *daemon,
			     uint64_t incarnation, const char *domain,
			     uint64_t sequence, cg_ms now, uint32_t *reporter);

/** Adds a daemon's observations of one server. Unknown servers are ignored. */
void cg_ejection_observe(struct cg_ejection *e, uint32_t reporter,
			 uint32_t server, const struct cg_sample *s, cg_ms now);

/** Evaluates the evidence and updates the verdicts. Called once a second. */
void cg_ejection_tick(struct cg_ejection *e, cg_ms now);

/**
 * Records that a daemon holds the verdicts of @p version from now on, for at
 * most verdict_ttl_ms.
 */
void cg_ejection_record_held(struct cg_ejection *e, uint32_t reporter,
			     uint64_t version, cg_ms now);

/**
 * Adopts a verdict of an earlier coordinator that a member still holds: the
 * server is ejected for the rest of its eject time. A trial starts again at its
 * first step. While no servers are set, the verdict is kept until they are.
 */
void cg_ejection_adopt_verdict(struct cg_ejection *e,
			       const struct cg_verdict *v, cg_ms now);
void cg_ejection_end_survey(struct cg_ejection *e);
bool cg_ejection_is_surveying(const struct cg_ejection *e, cg_ms now);

/**
 * Copies at most @p max of the verdicts in force to @p out. Returns their
 * number.
 */
size_t cg_ejection_verdicts(const struct cg_ejection *e, cg_ms now,
			    struct cg_verdict *out, size_t max);
uint64_t cg_ejection_epoch(const struct cg_ejection *e);
/** Returns the version of the verdicts, which rises with each change. */
uint64_t cg_ejection_version(const struct cg_ejection *e);

/** Returns whether the daemon had traffic in the last minute. */
bool cg_ejection_is_reporter(const struct cg_ejection *e, const char *daemon);

/**
 * Returns whether some server is suspect and its ejection was not denied, so
 * that digests are needed every second.
 */
bool cg_ejection_needs_digests(const struct cg_ejection *e);

/** Returns the failure ratio of the whole service, at least CG_CUSUM_P0_MIN. */
double cg_ejection_reference_ratio(const struct cg_ejection *e);

/**
 * Sets the fleet's failure ratio as the lower bound of the reference ratio of
 * local decisions.
 */
void cg_ejection_set_reference_ratio(struct cg_ejection *e, double p0);

/** State of a server and the evidence behind it. */
struct cg_ejection_explanation {
	enum cg_server_phase phase;
	unsigned int step;
	uint32_t share;
	uint32_t consecutive_ejections;
	cg_ms since; /**< Start of the phase. */
	cg_ms until; /**< End of the eject time. */
	/** Reinstated, but some daemon may still apply the ejection. */
	bool counts_as_out;
	double sum; /**< Current test statistic. */
	double sum_at_ejection; /**< Test statistic at the last ejection. */
	double threshold;
	double reference; /**< Failure ratio of the other servers. */
	/**
	 * Responses at or above this latency count as slow; 0 if there is no
	 * limit.
	 */
	cg_ms slow_limit;
	enum cg_denial denial;
	/** Daemons whose observations support an ejection. */
	unsigned int daemons;
	unsigned int domains;
	unsigned int daemons_needed;
	unsigned int domains_needed;
	struct {
		char daemon[CG_NAME_MAX + 1];
		char domain[CG_NAME_MAX + 1];
		double bad;
		double good;
		/** Current ones, or those of the last ejection. */
	} observers[CG_OBSERVERS_MAX];
	size_t observer_count;
};

/** Returns 0, or -1 if the server is unknown. */
int cg_ejection_explain(const struct cg_ejection *e, uint32_t server, cg_ms now,
			struct cg_ejection_explanation *out);

/** Capacity of a service in slots, and counters of its decisions. */
struct cg_ejection_capacity {
	uint32_t total;
	/**
	 * Slots of servers that are in service and neither draining, warming up
	 * nor counted as out.
	 */
	uint32_t available;
	uint32_t floor;
	size_t reporters; /**< Daemons with traffic in the last minute. */
	uint64_t denied_floor;
	uint64_t denied_evidence;
	uint64_t ejections;
	uint64_t reinstatements;
};

void cg_ejection_capacity(const struct cg_ejection *e, cg_ms now,
			  struct cg_ejection_capacity *out);

/** Returns the memory used in bytes. */
size_t cg_ejection_memory(const struct cg_ejection *e);

#endif
