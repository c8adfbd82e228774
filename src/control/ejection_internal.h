/* Internal declarations of the ejection*.c files. */
#ifndef CG_EJECTION_INTERNAL_H
#define CG_EJECTION_INTERNAL_H

#include <glib.h>

#include "celeryglade/cusum.h"
#include "celeryglade/ejection.h"

/** A daemon that sent digests or fetched verdicts. */
struct reporter {
	uint32_t id;
	uint32_t domain_id;
	char name[CG_NAME_MAX + 1];
	char domain[CG_NAME_MAX + 1];
	uint64_t incarnation;
	uint64_t sequence; /**< Highest one received. */
	uint64_t sequence_bits; /**< Bit n: sequence - n was received. */
	cg_ms traffic_at; /**< Last observation; negative if none. */
	uint64_t held_version; /**< Verdicts that it may apply. */
	cg_ms held_until; /**< End of their validity. */
};

struct server_entry {
	struct cg_ejection_server cfg;
	uint32_t id;
	enum cg_server_phase phase;
	unsigned int step;
	uint32_t share;
	bool any_method;
	uint32_t consecutive_ejections;
	cg_ms since;
	cg_ms until;
	cg_ms reinstated_at; /**< -CG_MS_NEVER if never. */
	uint64_t reinstated_version;
	bool unconfirmed; /**< Reinstated, but still counted as out. */
	struct cg_cusum cusum;
	double tick_bad;
	double tick_good;
	double recent_bad; /**< Counts that decay within seconds. */
	double recent_good;
	double window_bad; /**< Counts that decay within half a minute. */
	double window_good;
	double p0;
	double trial_responses;
	cg_ms trial_response_at;
	struct cg_histogram latency;
	cg_ms p95;
	cg_ms slow_limit;
	struct cg_observers observers;
	struct cg_observers ejection_observers;
	double sum_at_ejection;
	enum cg_denial denial;
};

struct cg_ejection {
	struct cg_ejection_rules rules;
	uint64_t epoch;
	uint64_t version;
	bool surveying;
	cg_ms created_at;
	cg_ms last_tick_at;
	uint32_t floor_percent;
	struct server_entry *list; /**< In order of configuration. */
	size_t n;
	GHashTable *reporters; /**< id -> struct reporter. */
	/** Verdicts on servers that are not configured yet. */
	GArray *pending_verdicts;
	double fleet_reference;
	double reference; /**< Failure ratio of the service at the last tick. */
	unsigned int active_daemons; /**< With traffic in the last minute. */
	unsigned int active_domains;
	uint64_t denied_floor;
	uint64_t denied_evidence;
	uint64_t ejections;
	uint64_t reinstatements;
};

struct server_entry *cg_ejection_find(const struct cg_ejection *e, uint32_t id);

/** Returns whether the server's observations count as evidence now. */
static inline bool server_testable(const struct server_entry *s)
{
	return !s->cfg.warming_up && !s->cfg.draining &&
	       !s->cfg.has_fleet_verdict;
}

/** Returns whether the server's slots count as available. */
static inline bool server_available(const struct server_entry *s)
{
	return server_testable(s) && s->phase == CG_SERVER_IN_SERVICE &&
	       !s->unconfirmed;
}

/* Defined in ejection_evidence.c. Adds the tick's observations to the servers'
 * CUSUM sums and sets their limits for slow responses. Each server is compared
 * with the other servers of the service, so that a failure of the whole service
 * does not count against each of them. */
void cg_ejection_update_sums(struct cg_ejection *e, cg_ms now, cg_ms elapsed);
bool cg_ejection_has_support(const struct cg_ejection *e,
			     const struct server_entry *s);
/* Returns the numbers of daemons and failure domains that must support an
 * ejection now. */
void cg_ejection_required_support(const struct cg_ejection *e,
				  unsigned int *daemons, unsigned int *domains);
void cg_ejection_clear_evidence(struct server_entry *s);

#endif
