/**
 * @file rate_fleet.h
 * State of a rate replay, shared by rate_replay.c, rate_fleet.c, rate_owner.c
 * and rate_check.c.
 */
#ifndef REPLAY_RATE_FLEET_H
#define REPLAY_RATE_FLEET_H

#include "rate_trace.h"

/** Membership state of a daemon in the view of another one. */
enum rr_view {
	RR_VIEW_UNKNOWN,
	RR_VIEW_UNLISTED,
	RR_VIEW_LIVE,
	RR_VIEW_GONE,
};

enum rr_message_type {
	RR_ARRIVAL,
	RR_TOKEN_REQUEST,
	RR_ANSWER,
	RR_SURVEY,
	RR_SURVEY_ANSWER,
	RR_HANDOVER,
	RR_MAP,
	RR_TICK,
	RR_TIMEOUT,
	RR_EVENT,
};

struct rr_survey_item {
	int account;
	struct cg_rate_share granted;
	struct cg_rate_share released;
};

struct rr_msg {
	cg_ms at;
	uint64_t order;
	enum rr_message_type type;
	int from;
	int to;
	uint64_t from_incarnation;
	uint64_t to_incarnation;
	/** Index of the account; of the traffic line or event for RR_ARRIVAL
	 * and RR_EVENT; or the shard, for messages about a shard. */
	int account;
	cg_ms sent; /**< Time of the token request; see also RR_MAP. */
	bool header; /**< Is the first item of its datagram. */
	uint64_t epoch;
	struct cg_rate_token_request request;
	struct cg_rate_answer answer;
	struct cg_rate_share delta; /**< Added by the answer's grant. */
	GArray *survey_items; /**< struct rr_survey_item. */
	struct cg_rate_ledger *ledger; /**< For RR_HANDOVER. */
};

struct rr_entry {
	struct cg_rate_holding holding;
	bool in_flight;
	cg_ms request_sent_at;
	int waiter_count;
	cg_ms wait_until; /**< Deadline of the first waiter. */
};

struct rr_owner {
	int daemon;
	uint64_t epoch;
};

struct rr_daemon {
	char name[16];
	uint64_t incarnation;
	bool alive;
	bool frozen;
	GHashTable *entries; /**< Account to struct rr_entry. */
	uint64_t refused_up_to[RR_SHARDS];
	uint64_t survey_epoch[RR_SHARDS];
	struct cg_rate_ledger *ledgers[RR_SHARDS];
	struct rr_owner owner[RR_SHARDS]; /**< This daemon's shard map. */
	uint8_t view[RR_MAX_DAEMONS];
	uint64_t known_incarnation[RR_MAX_DAEMONS];
	cg_ms skip_until[RR_MAX_DAEMONS];
	uint8_t failures[RR_MAX_DAEMONS];
	cg_ms last_seen_at[RR_MAX_DAEMONS];
	cg_ms batched_at[RR_MAX_DAEMONS];
	uint64_t bytes;
	GPtrArray *deferred; /**< Messages received while frozen. */
};

struct rr_fleet {
	const struct rr_trace *trace;
	enum rr_omission omitted;
	bool check;
	cg_ms now;
	uint64_t rng; /**< For the network. */
	uint64_t traffic_rng; /**< Separate: same arrivals in all runs. */
	uint64_t order;
	GPtrArray *queue;
	struct rr_daemon *daemons;
	int n;
	uint64_t next_epoch;
	bool *blocked; /**< Index: from * RR_MAX_DAEMONS + to. */
	struct cg_rate_limits *limits;
	struct cg_rate_limits *allowed; /**< Maxima of old and new limits. */
	cg_ms *allowed_until; /**< Holders may be confirming until then. */
	struct cg_rate_bucket *ideal; /**< Sees all arrivals, per account. */
	GArray **admitted; /**< Times of admission, per account. */
	double *next_at; /**< Next arrival (ms), per traffic line. */
	GArray *changed_accounts; /**< Changed by the current event. */
	struct rr_result *out;
};

void rr_push(struct rr_fleet *f, struct rr_msg *m);
struct rr_msg *rr_pop(struct rr_fleet *f);
uint64_t rr_random(struct rr_fleet *f, uint64_t below);
void rr_mark_changed(struct rr_fleet *f, int account);
void rr_process(const struct rr_fleet *f, int d, struct cg_rate_process *out);
int rr_shard(int account);
void rr_send(struct rr_fleet *f, struct rr_msg *m, size_t size);

/* rate_fleet.c: how a daemon handles events. */
struct rr_entry *rr_entry(struct rr_fleet *f, int d, int account);
void rr_handle_arrival(struct rr_fleet *f, int d, int account);
void rr_handle_timeout(struct rr_fleet *f, int d, int account);
void rr_handle_token_request(struct rr_fleet *f, struct rr_msg *m);
void rr_handle_answer(struct rr_fleet *f, const struct rr_msg *m);
void rr_handle_tick(struct rr_fleet *f, int d);

/* rate_owner.c: changes of coordinator. */
void rr_handle_survey(struct rr_fleet *f, const struct rr_msg *m);
void rr_handle_survey_answer(struct rr_fleet *f, const struct rr_msg *m);
void rr_handle_map(struct rr_fleet *f, const struct rr_msg *m);
void rr_handle_handover(struct rr_fleet *f, struct rr_msg *m);
void rr_run_survey(struct rr_fleet *f, int d, int shard);
void rr_start_ledger(struct rr_fleet *f, int d, int shard, bool first);
void rr_apply_event(struct rr_fleet *f, const struct rr_event *e);

/* rate_check.c */
void rr_check_changed(struct rr_fleet *f);
/** Returns the largest number of requests above the limit in any time window of
 * the sorted times; negative if all windows are below the limit. */
double rr_worst_excess(const GArray *times, int64_t rate, int64_t burst);

#endif
