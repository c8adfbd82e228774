/**
 * @file rate_holder.h
 * One account's holding in one daemon. No I/O; the time is an argument.
 *
 * Coordinator and holder each count what they gave since the session began:
 * the coordinator what it granted, the holder what it released. The holding is
 * granted minus released. Both counts only rise, so messages may be lost,
 * doubled and reordered, and a release may cross a grant.
 *
 * A session begins with the coordinator's first grant. Its number contains the
 * shard's epoch and rises; a holder never accepts a session that is not above
 * all that it had, so a late grant of a closed session or of an earlier
 * coordinator has no effect.
 */
#ifndef CELERYGLADE_RATE_HOLDER_H
#define CELERYGLADE_RATE_HOLDER_H

#include "celeryglade/rate_bucket.h"

/** Returns the lowest session number of an epoch: the one of holdings that
 * were reported in the survey of that epoch. */
static inline uint64_t cg_rate_survey_session(uint64_t epoch)
{
	return epoch << 32;
}

/** Holder to coordinator. */
struct cg_rate_token_request {
	uint64_t session; /**< 0: none. */
	/** Without a session: the holder refuses sessions up to this one, which
	 * proves that it holds nothing of them. */
	uint64_t refused_up_to;
	uint32_t number; /**< Of the last grant applied in the session. */
	struct cg_rate_share released; /**< Total of the session. */
	int64_t demand; /**< Arrivals per second, in thousandths. */
	int64_t need; /**< Tokens that waiting requests lack. */
	bool final; /**< The holder wants nothing: it is idle or stops. */
};

enum cg_rate_status {
	CG_RATE_STATUS_OK,
	CG_RATE_STATUS_NOT_READY, /**< Survey runs, or account unknown. */
	CG_RATE_STATUS_NOT_OWNER,
	CG_RATE_STATUS_CLOSED, /**< The asked session does not exist. */
};

/** Coordinator to holder. */
struct cg_rate_answer {
	enum cg_rate_status status;
	uint64_t session;
	uint32_t number;
	struct cg_rate_share granted; /**< Total of the session. */
	cg_ms lease_ms; /**< 0: no time limit. Counted from the ask. */
	/** What the holder should go down to; negative: keep all. */
	int64_t target_right;
	int64_t target_capacity;
	cg_ms retry_ms; /**< Empty pool: when to ask for tokens again. */
};

enum cg_rate_holding_result {
	CG_RATE_HOLDING_ADMIT,
	CG_RATE_HOLDING_REFUSE, /**< Empty, and the coordinator has none either. */
	CG_RATE_HOLDING_REQUEST, /**< Empty; the coordinator may have some. */
};

struct cg_rate_holding {
	struct cg_rate_bucket bucket;
	uint64_t session; /**< 0: none. */
	uint64_t refused_up_to; /**< Sessions up to this are refused. */
	uint32_t number;
	struct cg_rate_share granted;
	struct cg_rate_share released;
	cg_ms lease_until; /**< CG_MS_NEVER: no time limit. */
	cg_ms lease_ms;
	int64_t rate; /**< Of the configuration that the holding fits. */
	int64_t burst;

	int64_t demand; /**< Smoothed arrivals per second. */
	int64_t arrivals; /**< In the running interval. */
	cg_ms interval_started_at;
	cg_ms last_arrival_at;

	cg_ms requested_at; /**< Last ask sent. */
	cg_ms reported_at; /**< Last ask sent while no request waited. */
	cg_ms answered_at;
	cg_ms keepalive_ms; /**< Longest time between two reports. */
	int64_t reported_demand;
	uint32_t unanswered; /**< Asks sent since the last answer. */
	bool report_pending; /**< A release was not reported yet. */
	bool closing; /**< All is released; wait for CLOSED. */
	cg_ms refuse_until; /**< The pool was empty; refuse until then. */
	uint64_t refused;
};

void cg_rate_holding_init(struct cg_rate_holding *h, cg_ms now,
			  uint64_t refused_up_to, int64_t rate, int64_t burst);

/** Counts an arrival and takes one request's worth. */
enum cg_rate_holding_result cg_rate_holding_admit(struct cg_rate_holding *h,
						  cg_ms now);

/** Takes for a request that was counted before; for waiters. */
bool cg_rate_holding_admit_waiting(struct cg_rate_holding *h, cg_ms now);

/** Ends a leased holding whose time is over. Runs inside every other call. */
void cg_rate_holding_expire(struct cg_rate_holding *h, cg_ms now);

/** Whether an ask should be sent although no request waits. Releases idle
 * holdings. */
bool cg_rate_holding_report_due(struct cg_rate_holding *h, cg_ms now);

/** Fills an ask and notes that it is sent now. */
void cg_rate_holding_fill_request(struct cg_rate_holding *h, cg_ms now,
				  int64_t need,
				  struct cg_rate_token_request *out);

/**
 * Applies the answer to the ask sent at @p sent. Returns 0, or -1 if the
 * answer belongs to another session or its lease is over.
 */
int cg_rate_holding_apply_answer(struct cg_rate_holding *h, cg_ms now,
				 cg_ms sent, const struct cg_rate_answer *a);

/** Releases everything, for an idle account or a daemon that stops. */
void cg_rate_holding_release_all(struct cg_rate_holding *h, cg_ms now);

/**
 * Adapts the holding to a new rate and burst. A lower value scales it by
 * new/old at once. A higher one changes nothing here: the coordinator grants
 * the difference, since it may have counted it into its pool already.
 */
void cg_rate_holding_set_limits(struct cg_rate_holding *h, cg_ms now,
				int64_t rate, int64_t burst);

/**
 * Answers a survey for @p epoch: moves the holding to the epoch's base session
 * so that grants of earlier epochs are refused from now on. Leased holdings
 * end, since the surveyor waits for their longest lease. Returns whether there
 * is a holding to report; granted and released are then the report.
 */
bool cg_rate_holding_move_to_epoch(struct cg_rate_holding *h, cg_ms now,
				   uint64_t epoch);

/** Whether the entry can be forgotten; past_session must be kept. */
bool cg_rate_holding_unused(const struct cg_rate_holding *h, cg_ms now);

#endif
