/**
 * @file rate_ledger.h
 * The ledger of one shard's rate coordinator. No I/O; the time is an argument.
 *
 * For each account: right and capacity of the pool are always the account's
 * values minus what holders may have, so that the sum over all parties cannot
 * exceed them. A holder's part shrinks only when the holder reported the
 * release, its lease ended by this clock, or it is proved gone.
 */
#ifndef CELERYGLADE_RATE_LEDGER_H
#define CELERYGLADE_RATE_LEDGER_H

#include <glib.h>
#include <netinet/in.h>
#include <urcu/list.h>

#include "celeryglade/config.h"
#include "celeryglade/rate_holder.h"

/** Lease of a new session with a refill right; the next ask ends the limit. */
#define CG_RATE_FIRST_LEASE_MS 3000
/** Lease of tokens for single requests. */
#define CG_RATE_TOKEN_LEASE_MS 250

/** A holder's process. */
struct cg_rate_process {
	char name[CG_NAME_MAX + 1];
	uint64_t incarnation;
	struct sockaddr_in addr;
};

/** What one process may have of one account. */
struct cg_rate_record {
	struct cds_list_head node;
	struct cg_rate_process holder;
	uint64_t session;
	uint32_t number;
	struct cg_rate_share granted;
	struct cg_rate_share released;
	/** Capacity withheld from the pool for tokens of the last grant that
	 * the granted capacity does not cover, until it is confirmed. */
	int64_t withheld;
	cg_ms lease_until; /**< CG_MS_NEVER: no time limit. */
	cg_ms lease_ms;
	int64_t demand;
	cg_ms last_seen_at;
};

struct cg_rate_ledger_account {
	char name[CG_NAME_MAX + 1];
	int64_t rate;
	int64_t burst;
	struct cg_rate_bucket pool;
	int64_t held_right; /**< Sum over the records. */
	int64_t held_capacity; /**< Likewise, with what is withheld. */
	struct cds_list_head records;
	size_t record_count;
	uint64_t requests;
	uint64_t denied;
	cg_ms requested_at;
};

enum cg_rate_ledger_state {
	CG_RATE_LEDGER_SURVEY, /**< Grants nothing. */
	CG_RATE_LEDGER_ACTIVE,
	CG_RATE_LEDGER_CLOSED, /**< Handed over; grants nothing. */
};

struct cg_rate_ledger {
	enum cg_rate_ledger_state state;
	uint32_t shard;
	uint64_t epoch;
	uint32_t sessions; /**< Opened in this epoch. */
	GHashTable *accounts; /**< Name to struct cg_rate_ledger_account. */
	cg_ms active_at; /**< Pools refill from then. */
	bool pools_start_full; /**< No earlier coordinator: pools start full. */
	GHashTable *survey_answers; /**< Holder's name and incarnation. */
	cg_ms complete_at; /**< All answered; CG_MS_NEVER before. */
	cg_ms unlisted_lease_ms;
	uint64_t reclaims;
};

/** An account's values in the configuration. */
struct cg_rate_limits {
	const char *name;
	int64_t rate;
	int64_t burst;
};

/** Creates a ledger that starts with a survey, or, with @p first (no earlier
 * coordinator existed), active with full pools. */
struct cg_rate_ledger *cg_rate_ledger_new(uint32_t shard, uint64_t epoch,
					  bool first, cg_ms unlisted_lease_ms,
					  cg_ms now);
void cg_rate_ledger_free(struct cg_rate_ledger *l);

/** Answers an ask. @p listed: the platform's list shows the holder. */
void cg_rate_ledger_handle_request(struct cg_rate_ledger *l, cg_ms now,
				   const struct cg_rate_limits *t,
				   const struct cg_rate_process *process,
				   bool listed,
				   const struct cg_rate_token_request *request,
				   struct cg_rate_answer *out);

/** Reclaims what the process had. Incarnation 0: all processes of the name. */
void cg_rate_ledger_reclaim(struct cg_rate_ledger *l, cg_ms now,
			    const char *name, uint64_t incarnation);

/** Reclaims what earlier incarnations of @p by at the same address had. */
void cg_rate_ledger_reclaim_earlier(struct cg_rate_ledger *l, cg_ms now,
				    const struct cg_rate_process *by);

/** Ends leases that are over and forgets unused accounts. */
void cg_rate_ledger_tick(struct cg_rate_ledger *l, cg_ms now);

/** Adopts an account's new rate and burst. */
void cg_rate_ledger_set_limits(struct cg_rate_ledger *l, cg_ms now,
			       const struct cg_rate_limits *t);

/** Adds a holding reported in the survey; ignored once active or if the
 * process has answered already. */
void cg_rate_ledger_survey_add(struct cg_rate_ledger *l, cg_ms now,
			       const struct cg_rate_limits *t,
			       const struct cg_rate_process *process,
			       const struct cg_rate_share *granted,
			       const struct cg_rate_share *released);

/** Notes that the process has reported all its holdings. */
void cg_rate_ledger_survey_done(struct cg_rate_ledger *l,
				const struct cg_rate_process *process);

bool cg_rate_ledger_survey_answered(const struct cg_rate_ledger *l,
				    const char *name, uint64_t incarnation);

/** Tells whether every required member has answered or is gone. Becomes
 * active once that has been so for the longest lease that an earlier
 * coordinator may have given. */
void cg_rate_ledger_survey_check(struct cg_rate_ledger *l, cg_ms now,
				 bool all_answered);

/** Adds a record of the previous coordinator's ledger, for a hand-over. */
void cg_rate_ledger_import(struct cg_rate_ledger *l, cg_ms now,
			   const struct cg_rate_limits *t,
			   const struct cg_rate_record *r);

/** Sets the pool's tokens from a hand-over, at most its capacity. */
void cg_rate_ledger_import_pool(struct cg_rate_ledger *l, cg_ms now,
				const struct cg_rate_limits *t, int64_t tokens);

/** Ends a hand-over's import; the ledger becomes active. */
void cg_rate_ledger_import_done(struct cg_rate_ledger *l, cg_ms now);

struct cg_rate_ledger_account *
cg_rate_ledger_find(const struct cg_rate_ledger *l, const char *name);

/** Returns what the record's holder may have. */
static inline int64_t
cg_rate_record_refill_right(const struct cg_rate_record *r)
{
	return r->granted.refill_right - r->released.refill_right;
}

static inline int64_t cg_rate_record_capacity(const struct cg_rate_record *r)
{
	return r->granted.capacity - r->released.capacity;
}

#endif
