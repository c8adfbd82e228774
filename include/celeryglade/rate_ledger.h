/**
 * @file rate_ledger.h
 * The ledger of one shard's rate coordinator. No I/O; the time is an argument.
 *
 * For each account, the pool's refill right and capacity are the account's rate
 * and burst minus what the holders may have, so the sum over pool and holders
 * cannot exceed them. A holder's share in the ledger shrinks only when the
 * holder has reported the release, its lease has expired by the coordinator's
 * clock, or the holder is proved gone.
 */
#ifndef CELERYGLADE_RATE_LEDGER_H
#define CELERYGLADE_RATE_LEDGER_H

#include <glib.h>
#include <netinet/in.h>
#include <urcu/list.h>

#include "celeryglade/config.h"
#include "celeryglade/rate_holder.h"

/** Lease of a listed holder's new session with a refill right. The holder's
 * next request, which confirms the grant, removes the time limit. Also the
 * lease of tokens without a refill right, unless CG_RATE_TOKEN_LEASE_MS
 * applies. */
#define CG_RATE_FIRST_LEASE_MS 3000
/** Lease of tokens granted without a refill right while the holder's demand or
 * the pool is low. */
#define CG_RATE_TOKEN_LEASE_MS 250

/** Identity of a holder's process. */
struct cg_rate_process {
	char name[CG_NAME_MAX + 1];
	uint64_t incarnation;
	struct sockaddr_in addr;
};

/** The share of one account that one process may have. */
struct cg_rate_record {
	struct cds_list_head node;
	struct cg_rate_process holder;
	uint64_t session;
	uint32_t number; /**< Number of the last grant made. */
	/** Totals of the session, as in struct cg_rate_holding. */
	struct cg_rate_share granted;
	struct cg_rate_share released;
	/** Capacity withheld from the pool until the last grant is confirmed:
	 * its tokens minus its capacity, if positive. */
	int64_t withheld;
	cg_ms lease_until; /**< CG_MS_NEVER: no time limit. */
	cg_ms lease_ms;
	int64_t demand; /**< As reported by the holder. */
	cg_ms last_seen_at;
};

struct cg_rate_ledger_account {
	char name[CG_NAME_MAX + 1];
	int64_t rate;
	int64_t burst;
	struct cg_rate_bucket pool;
	int64_t held_right; /**< Sum of the records' refill rights. */
	int64_t held_capacity; /**< Sum of capacities, including withheld. */
	struct cds_list_head records;
	size_t record_count;
	uint64_t requests;
	uint64_t denied; /**< Requests that the pool had too few tokens for. */
	cg_ms requested_at;
};

enum cg_rate_ledger_state {
	CG_RATE_LEDGER_SURVEY, /**< Holders are being surveyed; no grants. */
	CG_RATE_LEDGER_ACTIVE,
	CG_RATE_LEDGER_CLOSED, /**< Handed over; no grants. */
};

struct cg_rate_ledger {
	enum cg_rate_ledger_state state;
	uint32_t shard;
	uint64_t epoch;
	uint32_t sessions; /**< Number of sessions opened in this epoch. */
	GHashTable *accounts; /**< Name to struct cg_rate_ledger_account. */
	cg_ms active_at; /**< Pools refill from this time on. */
	bool pools_start_full; /**< There was no earlier coordinator. */
	GHashTable *survey_answers; /**< Set of names and incarnations. */
	cg_ms complete_at; /**< When all had answered, or CG_MS_NEVER. */
	/** Lease of holders that the platform's list does not contain. */
	cg_ms unlisted_lease_ms;
	uint64_t reclaims; /**< Records removed because the process is gone. */
};

/** An account's configured rate and burst, in thousandths of a request. */
struct cg_rate_limits {
	const char *name;
	int64_t rate;
	int64_t burst;
};

/** Creates a ledger that starts with a survey; with @p first (there was no
 * earlier coordinator) it is active at once and pools are full. */
struct cg_rate_ledger *cg_rate_ledger_new(uint32_t shard, uint64_t epoch,
					  bool first, cg_ms unlisted_lease_ms,
					  cg_ms now);
void cg_rate_ledger_free(struct cg_rate_ledger *l);

/** Answers a token request. @p listed: the platform's list contains the holder,
 * which may then get a grant without a time limit. */
void cg_rate_ledger_handle_request(struct cg_rate_ledger *l, cg_ms now,
				   const struct cg_rate_limits *limits,
				   const struct cg_rate_process *process,
				   bool listed,
				   const struct cg_rate_token_request *request,
				   struct cg_rate_answer *out);

/** Reclaims the shares of a process that is gone. Incarnation 0: of all
 * processes with that name. */
void cg_rate_ledger_reclaim(struct cg_rate_ledger *l, cg_ms now,
			    const char *name, uint64_t incarnation);

/** Reclaims the shares of earlier incarnations of @p by at the same address. */
void cg_rate_ledger_reclaim_earlier(struct cg_rate_ledger *l, cg_ms now,
				    const struct cg_rate_process *by);

/** Removes records with an expired lease and frees unused accounts. */
void cg_rate_ledger_tick(struct cg_rate_ledger *l, cg_ms now);

/** Applies an account's new rate and burst. */
void cg_rate_ledger_set_limits(struct cg_rate_ledger *l, cg_ms now,
			       const struct cg_rate_limits *limits);

/** Adds a holding reported in the survey. Ignored once the ledger is active or
 * if the process has already reported all its holdings. */
void cg_rate_ledger_survey_add(struct cg_rate_ledger *l, cg_ms now,
			       const struct cg_rate_limits *limits,
			       const struct cg_rate_process *process,
			       const struct cg_rate_share *granted,
			       const struct cg_rate_share *released);

/** Records that the process has reported all its holdings. */
void cg_rate_ledger_survey_done(struct cg_rate_ledger *l,
				const struct cg_rate_process *process);

bool cg_rate_ledger_survey_answered(const struct cg_rate_ledger *l,
				    const char *name, uint64_t incarnation);

/** Passes in whether every required member has answered or is gone. The ledger
 * becomes active after the longest lease that an earlier coordinator may have
 * granted, counted from the first call with @p all_answered. */
void cg_rate_ledger_survey_check(struct cg_rate_ledger *l, cg_ms now,
				 bool all_answered);

/** Adds a record from the previous coordinator's ledger, for a handover. */
void cg_rate_ledger_import(struct cg_rate_ledger *l, cg_ms now,
			   const struct cg_rate_limits *limits,
			   const struct cg_rate_record *r);

/** Sets the pool's tokens from a handover; the end of the import limits them to
 * the pool's capacity. */
void cg_rate_ledger_import_pool(struct cg_rate_ledger *l, cg_ms now,
				const struct cg_rate_limits *limits,
				int64_t tokens);

/** Ends the import of a handover; the ledger becomes active. */
void cg_rate_ledger_import_done(struct cg_rate_ledger *l, cg_ms now);

struct cg_rate_ledger_account *
cg_rate_ledger_find(const struct cg_rate_ledger *l, const char *name);

/** Returns the refill right that the record's holder may have. */
static inline int64_t
cg_rate_record_refill_right(const struct cg_rate_record *r)
{
	return r->granted.refill_right - r->released.refill_right;
}

/** Returns the capacity that the record's holder may have. */
static inline int64_t cg_rate_record_capacity(const struct cg_rate_record *r)
{
	return r->granted.capacity - r->released.capacity;
}

#endif
