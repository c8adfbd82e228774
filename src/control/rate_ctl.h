/*
 * Internal declarations of the rates controller.
 *
 * Locks: a shard's lock protects its entries and its ledger; links_lock
 * protects the links. links_lock may be acquired while a shard's lock is held,
 * never the other way round. No lock is held while a waiter's function runs or
 * a message is sent.
 */
#ifndef RATE_CTL_H
#define RATE_CTL_H

#include <pthread.h>
#include <stdatomic.h>

#include "celeryglade/rate_ledger.h"
#include "internal/rates.h"
#include "rate_wire.h"

/** This daemon's state of one account. */
struct rate_entry {
	struct cg_rate_holding holding;
	char name[CG_NAME_MAX + 1];
	struct cds_list_head waiters;
	int waiter_count;
	bool request_pending; /**< For the waiters: queued or sent. */
	cg_ms answered_at; /**< Last answer; -1: none yet. */
	cg_ms created_at;
};

/** A handover that is being received in pages. */
struct rate_import {
	uint64_t epoch;
	cg_ms active_ms; /**< Age of the ledger; -1: its pools start full. */
	uint32_t pages;
	uint32_t received_count;
	bool *page_received;
	GPtrArray *received_pages; /**< cg_x_rate_handover, decoded. */
};

struct rate_shard {
	pthread_mutex_t lock;
	GHashTable *entries; /**< Name to struct rate_entry. */
	uint64_t refused_up_to; /**< Initial value of new entries. */
	uint64_t survey_epoch; /**< Highest epoch of a survey answered. */
	struct cg_rate_ledger *ledger; /**< NULL: not the coordinator. */
	cg_ms took_over_at;
	bool survey_started;
	GHashTable *survey_answers; /**< Name to incarnation. */
	struct rate_import *import;
};

/** Token requests to one coordinator. Only one call is sent at a time; requests
 * queued meanwhile share the next datagram. */
struct rate_link {
	char instance[CG_NAME_MAX + 1];
	struct sockaddr_in addr;
	GArray *pending; /**< struct rate_link_item. */
	bool busy;
	int failures; /**< Calls failed in a row. */
	cg_ms skip_until; /**< No requests are queued before this time. */
};

/** A token request that is queued or in flight. */
struct rate_link_item {
	uint32_t shard;
	char name[CG_NAME_MAX + 1];
	cg_ms sent_at;
};

/** A call that waits for its answer. */
struct rate_call {
	struct cg_rates *r;
	struct rate_link *link;
	GArray *items;
};

struct cg_rates {
	char instance[CG_NAME_MAX + 1];
	struct sockaddr_in addr;
	cg_ms wait_ms;
	cg_ms unlisted_lease_ms;
	struct cg_clock *clk;
	struct cg_peer *peer;
	struct cg_members *members;
	struct cg_shards *map;
	struct cg_docs *docs;
	struct rate_shard shards[CG_SHARDS];
	pthread_mutex_t links_lock;
	GHashTable *links; /**< Instance to struct rate_link. */
	_Atomic int calls_in_flight;
	_Atomic int waiter_count;
	_Atomic bool stopping;
	pthread_t thread;
	bool running;
	uint64_t config_version;
	uint64_t member_generation;
	uint32_t report_offset; /**< Rotates the order of coordinators. */
	cg_ms members_checked_at;
	cg_ms ledgers_updated_at;
	cg_ms surveyed_at;
	_Atomic uint64_t refused;
	_Atomic uint64_t unavailable;
};

/* rates.c */
struct rate_shard *rate_shard_of(struct cg_rates *r, uint32_t shard);
struct rate_entry *rate_entry_get(struct cg_rates *r, struct rate_shard *sh,
				  const struct cg_account *a, cg_ms now);
void rate_own_process(const struct cg_rates *r, struct cg_rate_process *out);

/* rate_requests.c */
/** Queues a token request for the entry's waiters. The shard is locked. Returns
 * -1 if the coordinator is unknown or failed to answer recently. */
int rate_queue_request(struct cg_rates *r, uint32_t shard, struct rate_entry *e,
		       struct rate_link **link);
/** Sends the queued requests if no call to the coordinator is in flight. */
void rate_link_flush(struct cg_rates *r, struct rate_link *l);
/** Requests tokens from this process's ledger. The shard is locked. */
enum cg_rate_status
rate_request_from_own_ledger(struct cg_rates *r, struct rate_shard *sh,
			     struct rate_entry *e,
			     const struct cg_rate_limits *limits, cg_ms now);
/** Returns the result for a waiter that gets no answer. */
enum cg_rate_result rate_result_without_answer(const struct rate_entry *e);
/** Moves waiters past their deadline to @p out. The shard is locked. */
void rate_expire_waiters(struct cg_rates *r, struct rate_entry *e, cg_ms now,
			 struct cds_list_head *out);
/** Calls the functions of the waiters. No lock is held. */
void rate_complete_waiters(struct cg_rates *r, struct cds_list_head *list,
			   enum cg_rate_result result);
/** Sends all reports that are due; with @p stop also returns all holdings.
 * Returns the number of accounts for which a coordinator answered. */
guint rate_send_reports(struct cg_rates *r, bool stop);
void rate_links_free(struct cg_rates *r);

/* rate_coordinator.c */
int rate_handle_requests(struct cg_rates *r, const struct cg_peer_msg *msg,
			 GByteArray *reply);
/** Reclaims shares of members that are gone or replaced by a new process. */
void rate_reclaim_from_members(struct cg_rates *r, cg_ms now);
/** Applies the shard map and removes records with an expired lease. */
void rate_update_ledgers(struct cg_rates *r, cg_ms now);

/* rate_takeover.c */
int rate_handle_survey(struct cg_rates *r, const struct cg_peer_msg *msg,
		       GByteArray *reply);
/** Starts or hands over the shard's ledger according to the map. Locks the
 * shard. */
void rate_apply_map(struct cg_rates *r, uint32_t shard, cg_ms now);
/** Calls the members that have not answered the surveys of this daemon's
 * shards. */
void rate_run_surveys(struct cg_rates *r, cg_ms now);

/* rate_handover.c */
int rate_handle_handover(struct cg_rates *r, const struct cg_peer_msg *msg,
			 GByteArray *reply);
/** Imports the received handover once it is complete and this daemon has the
 * ledger of the same epoch, unless a survey has started. The import makes the
 * ledger active without a survey. The shard is locked. */
void rate_try_import(struct cg_rates *r, struct rate_shard *sh, cg_ms now);
/** Sends the ledger to its new owner. No lock is held. */
void rate_hand_over(struct cg_rates *r, struct cg_rate_ledger *l,
		    const struct cg_shard_owner *to);
void rate_import_free(struct rate_import *im);

#endif
