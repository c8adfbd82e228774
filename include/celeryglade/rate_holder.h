/**
 * @file rate_holder.h
 * One account's holding in one daemon: the share of the account's rate and
 * burst that the daemon may use without a message. No I/O; the time is an
 * argument.
 *
 * Coordinator and holder exchange totals since the start of the session: the
 * coordinator what it granted, the holder what it released. The holding is
 * granted minus released. Both totals only rise, so messages may be lost,
 * duplicated and reordered, and a release may cross a grant.
 *
 * A session starts with the coordinator's first grant. Session numbers contain
 * the shard's epoch and only rise. A holder accepts a session only if its
 * number is above those of all its earlier sessions, so a late grant of a
 * closed session or of an earlier coordinator has no effect.
 */
#ifndef CELERYGLADE_RATE_HOLDER_H
#define CELERYGLADE_RATE_HOLDER_H

#include "celeryglade/rate_bucket.h"

/** Returns the lowest session number of an epoch, which is used for the
 * holdings reported in the survey of that epoch. */
static inline uint64_t cg_rate_survey_session(uint64_t epoch)
{
	return epoch << 32;
}

/** Token request: holder to coordinator. */
struct cg_rate_token_request {
	uint64_t session; /**< 0: none. */
	/** Without a session: the holder refuses sessions up to this number,
	 * which proves that it has no share granted in them. */
	uint64_t refused_up_to;
	uint32_t number; /**< Number of the last grant applied. */
	struct cg_rate_share released; /**< Total of the session. */
	int64_t demand; /**< Thousandths of a request per second. */
	int64_t need; /**< Tokens missing for the waiting requests. */
	bool final; /**< The holder is idle or stops: no grant is needed. */
};

enum cg_rate_status {
	CG_RATE_STATUS_OK,
	CG_RATE_STATUS_NOT_READY, /**< Survey running, or unknown account. */
	CG_RATE_STATUS_NOT_OWNER,
	CG_RATE_STATUS_CLOSED, /**< The request's session does not exist. */
};

/** Answer to a token request: coordinator to holder. */
struct cg_rate_answer {
	enum cg_rate_status status;
	uint64_t session;
	uint32_t number;
	struct cg_rate_share granted; /**< Total of the session. */
	cg_ms lease_ms; /**< From sending of the request; 0: no limit. */
	/** Values the holder should release down to; negative: none. */
	int64_t target_right;
	int64_t target_capacity;
	cg_ms retry_ms; /**< Empty pool: delay before the next request. */
};

enum cg_rate_holding_result {
	CG_RATE_HOLDING_ADMIT,
	CG_RATE_HOLDING_REFUSE, /**< No tokens, and none in the pool. */
	CG_RATE_HOLDING_REQUEST, /**< No tokens; send a token request. */
};

struct cg_rate_holding {
	struct cg_rate_bucket bucket;
	uint64_t session; /**< 0: none. */
	uint64_t refused_up_to; /**< Highest session number to refuse. */
	uint32_t number; /**< Number of the last grant applied. */
	struct cg_rate_share granted;
	struct cg_rate_share released;
	cg_ms lease_until; /**< CG_MS_NEVER: no time limit. */
	cg_ms lease_ms;
	/** Configured values that the holding was last adapted to. */
	int64_t rate;
	int64_t burst;

	int64_t demand; /**< Smoothed arrival rate, thousandths per second. */
	int64_t arrivals; /**< In the current interval. */
	cg_ms interval_started_at;
	cg_ms last_arrival_at;

	cg_ms requested_at; /**< Last token request sent. */
	cg_ms reported_at; /**< Last one sent while no request was waiting. */
	cg_ms answered_at;
	cg_ms keepalive_ms; /**< Maximum time between two reports. */
	int64_t reported_demand;
	uint32_t unanswered; /**< Requests sent since the last answer. */
	bool report_pending; /**< A release has not been reported yet. */
	bool closing; /**< All is released; waiting for CLOSED. */
	cg_ms refuse_until; /**< The pool was empty: refuse until then. */
	uint64_t refused;
};

void cg_rate_holding_init(struct cg_rate_holding *h, cg_ms now,
			  uint64_t refused_up_to, int64_t rate, int64_t burst);

/** Counts an arriving request and removes its tokens if there are enough. */
enum cg_rate_holding_result cg_rate_holding_admit(struct cg_rate_holding *h,
						  cg_ms now);

/** Removes the tokens of a waiting request, whose arrival is counted already.
 * Returns false if there are too few. */
bool cg_rate_holding_admit_waiting(struct cg_rate_holding *h, cg_ms now);

/** Ends the holding if its lease has expired. If the coordinator may have
 * removed the time limit in an answer that was lost, releases it instead, so
 * that the release is reported. The other functions call this themselves. */
void cg_rate_holding_expire(struct cg_rate_holding *h, cg_ms now);

/** Returns whether a report (a token request without need) should be sent now.
 * Releases an idle holding. */
bool cg_rate_holding_report_due(struct cg_rate_holding *h, cg_ms now);

/** Fills a token request and records that it is sent at @p now. @p need: tokens
 * missing for the waiting requests. */
void cg_rate_holding_fill_request(struct cg_rate_holding *h, cg_ms now,
				  int64_t need,
				  struct cg_rate_token_request *out);

/**
 * Applies the answer to the request sent at @p sent. Returns 0, or -1 if the
 * answer belongs to another session or its lease has expired.
 */
int cg_rate_holding_apply_answer(struct cg_rate_holding *h, cg_ms now,
				 cg_ms sent, const struct cg_rate_answer *a);

/** Releases the whole holding, when the account is idle or the daemon stops. */
void cg_rate_holding_release_all(struct cg_rate_holding *h, cg_ms now);

/**
 * Adapts the holding to a new rate and burst. A lower value scales it by
 * new/old at once. A higher one changes nothing: the coordinator grants the
 * difference, since its pool may contain it already.
 */
void cg_rate_holding_set_limits(struct cg_rate_holding *h, cg_ms now,
				int64_t rate, int64_t burst);

/**
 * Moves the holding to the survey session of @p epoch, so that grants of
 * earlier epochs are refused from now on. Leased holdings end, since the
 * surveying coordinator waits for the longest lease anyway. Returns whether
 * there is a holding to report; granted and released are then its values.
 */
bool cg_rate_holding_move_to_epoch(struct cg_rate_holding *h, cg_ms now,
				   uint64_t epoch);

/** Returns whether the holding can be freed. The caller must keep
 * refused_up_to. */
bool cg_rate_holding_unused(const struct cg_rate_holding *h, cg_ms now);

#endif
