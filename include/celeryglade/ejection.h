/**
 * @file ejection.h
 * Decides which servers of one service are ejected, and how they return
 * (docs/design.md 8). No I/O; the time is an argument. The health coordinator
 * runs one instance for the fleet; each daemon runs another on its own
 * evidence to avoid servers that only it sees failing. Not thread safe.
 */
#ifndef CELERYGLADE_EJECTION_H
#define CELERYGLADE_EJECTION_H

#include <stdbool.h>

#include "celeryglade/config.h"
#include "celeryglade/evidence.h"

/** Trial shares of a recovering server, in thousandths. */
#define CG_TRIAL_STEPS 3

enum cg_server_phase {
	CG_SERVER_IN_SERVICE, /**< Gets its full share. */
	CG_SERVER_EJECTED,
	CG_SERVER_TRIAL, /**< Gets a rising share of idempotent requests. */
};

/** What held an ejection back. */
enum cg_denial {
	CG_DENIAL_NONE,
	CG_DENIAL_EVIDENCE, /**< Too few daemons or failure domains. */
	CG_DENIAL_FLOOR,
	CG_DENIAL_SURVEY, /**< Verdicts of the last coordinator are unknown. */
};

const char *cg_server_phase_name(enum cg_server_phase p);
const char *cg_denial_name(enum cg_denial d);

struct cg_ejection_rules {
	double threshold; /**< Sum at which a server is ejected. */
	double trial_threshold; /**< The same for a server in trial. */
	unsigned int min_daemons;
	unsigned int min_domains;
	cg_ms verdict_ttl_ms;
	cg_ms eject_ms;
	cg_ms eject_max_ms;
	unsigned int step_responses; /**< Responses that end a trial step. */
	unsigned int first_share_max; /**< Bound of the first trial share. */
	/** Decides for one daemon only: a server with a higher sum replaces
	 * one with a lower sum under the floor, and reinstatement is
	 * immediate. */
	bool local;
};

/** Fills in the rules of the coordinator or of a daemon's own view. */
void cg_ejection_rules_fleet(struct cg_ejection_rules *r, cg_ms verdict_ttl_ms,
			     cg_ms eject_ms);
void cg_ejection_rules_local(struct cg_ejection_rules *r, cg_ms eject_ms);

/** A server as the configuration and the notices describe it. */
struct cg_ejection_server {
	char name[CG_NAME_MAX + 1];
	uint32_t slots;
	bool warming_up; /**< Warming up: no evidence, no capacity. */
	bool draining; /**< Draining: no evidence, no capacity. */
	/** In the local view: out by a fleet verdict. */
	bool has_fleet_verdict;
};

/** Returns the number by which digests name a server. */
uint32_t cg_server_id(const char *name);

/** A verdict on one server that is not fully in. */
struct cg_verdict {
	uint32_t server;
	enum cg_server_phase phase;
	uint32_t share; /**< Thousandths of its load. */
	bool any_method; /**< Trial also with non-idempotent requests. */
	uint32_t consecutive_ejections; /**< Ejections in a row. */
	cg_ms remaining_ms; /**< Remaining eject time. */
};

struct cg_ejection;

/**
 * Creates the state of one service. With @p surveying, nothing is ejected
 * until cg_ejection_end_survey or until verdict_ttl_ms have passed, since
 * verdicts of an earlier coordinator may be in force. The caller owns it.
 */
struct cg_ejection *cg_ejection_new(const struct cg_ejection_rules *r,
				    uint64_t epoch, bool surveying, cg_ms now);
void cg_ejection_free(struct cg_ejection *e);

/** Sets the servers and the floor. State of known names is kept; servers that
 * are not in the list are dropped. A local view takes servers back at once if
 * the new list leaves it below its floor. */
void cg_ejection_set_servers(struct cg_ejection *e,
			     const struct cg_ejection_server *list, size_t n,
			     uint32_t floor_percent, cg_ms now);

/**
 * Opens the digest of a daemon. Returns 0 with its number for
 * cg_ejection_observe, or -1 if this sequence was counted before.
 */
int cg_ejection_begin_digest(struct cg_ejection *e, const char *daemon,
			     uint64_t incarnation, const char *domain,
			     uint64_t sequence, cg_ms now, uint32_t *reporter);

/** Adds a daemon's observations of one server; unknown ones are ignored. */
void cg_ejection_observe(struct cg_ejection *e, uint32_t reporter,
			 uint32_t server, const struct cg_sample *s, cg_ms now);

/** Evaluates the evidence and takes decisions; once a second. */
void cg_ejection_tick(struct cg_ejection *e, cg_ms now);

/** Records that a daemon holds the verdicts of @p version from now on, at most
 * for verdict_ttl_ms. */
void cg_ejection_record_held(struct cg_ejection *e, uint32_t reporter,
			     uint64_t version, cg_ms now);

/** Adopts a verdict that a member holds from an earlier coordinator. */
void cg_ejection_adopt_verdict(struct cg_ejection *e,
			       const struct cg_verdict *v, cg_ms now);
void cg_ejection_end_survey(struct cg_ejection *e);
bool cg_ejection_is_surveying(const struct cg_ejection *e, cg_ms now);

/** Copies the verdicts in force, at most @p max; returns how many. */
size_t cg_ejection_verdicts(const struct cg_ejection *e, cg_ms now,
			    struct cg_verdict *out, size_t max);
uint64_t cg_ejection_epoch(const struct cg_ejection *e);
/** Rises with each change of the verdicts. */
uint64_t cg_ejection_version(const struct cg_ejection *e);

/** Whether the daemon had traffic in the last minute. */
bool cg_ejection_is_reporter(const struct cg_ejection *e, const char *daemon);

/** Whether some server is suspect and may yet be ejected, so that digests are
 * wanted every second. */
bool cg_ejection_needs_digests(const struct cg_ejection *e);

/** Failure ratio of the whole service, at least CG_CUSUM_P0_MIN. */
double cg_ejection_reference_ratio(const struct cg_ejection *e);

/** Raises the reference of a local view to the fleet's. */
void cg_ejection_set_reference_ratio(struct cg_ejection *e, double p0);

/** Why a server is where it is. */
struct cg_ejection_explanation {
	enum cg_server_phase phase;
	unsigned int step;
	uint32_t share;
	uint32_t consecutive_ejections;
	cg_ms since; /**< Of the phase. */
	cg_ms until; /**< End of the eject time. */
	bool counts_as_out; /**< Reinstated, but not confirmed everywhere. */
	double sum; /**< Statistic now. */
	double sum_at_ejection; /**< Statistic at the last ejection. */
	double threshold;
	double reference; /**< Failure ratio of the other servers. */
	cg_ms slow_limit; /**< Answers from here on count as slow; 0: none. */
	enum cg_denial denial;
	unsigned int daemons; /**< That support the suspicion. */
	unsigned int domains;
	unsigned int daemons_needed;
	unsigned int domains_needed;
	struct {
		char daemon[CG_NAME_MAX + 1];
		char domain[CG_NAME_MAX + 1];
		double bad;
		double good;
	} observers[CG_OBSERVERS_MAX]; /**< Now, or at the last ejection. */
	size_t observer_count;
};

/** Returns 0, or -1 if the server is unknown. */
int cg_ejection_explain(const struct cg_ejection *e, uint32_t server, cg_ms now,
			struct cg_ejection_explanation *out);

/** Capacity of a service in slots. */
struct cg_ejection_capacity {
	uint32_t total;
	uint32_t available; /**< Neither ejected, leaving, cold nor counted as
				 out. */
	uint32_t floor;
	size_t reporters; /**< Daemons with traffic in the last minute. */
	uint64_t denied_floor;
	uint64_t denied_evidence;
	uint64_t ejections;
	uint64_t reinstatements;
};

void cg_ejection_capacity(const struct cg_ejection *e, cg_ms now,
			  struct cg_ejection_capacity *out);

/** Bytes of memory held. */
size_t cg_ejection_memory(const struct cg_ejection *e);

#endif
