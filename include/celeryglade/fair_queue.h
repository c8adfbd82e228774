/**
 * @file fair_queue.h
 * Queue of the waiting requests of one service. Deficit round robin over client
 * accounts, in milliseconds of server time, keeps an account with many or slow
 * requests from starving the others. Not thread-safe; the owner locks.
 */
#ifndef CELERYGLADE_FAIR_QUEUE_H
#define CELERYGLADE_FAIR_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

#include "celeryglade/config.h"

/** A queue item; embedded in its owner. */
struct cg_fair_item {
	struct cds_list_head node;
	struct cg_fair_flow *flow; /**< NULL while the item is not queued. */
};

/** The requests of one client account. */
struct cg_fair_flow {
	/** Linked into the queue while items wait. */
	struct cds_list_head node;
	struct cds_list_head items;
	char account[CG_NAME_MAX + 1];
	uint32_t waiting;
	uint32_t running; /**< Popped and not yet charged. */
	int64_t deficit_ms; /**< Server time left to use; may be negative. */
	int64_t average_service_ms; /**< Moving average per request. */
};

struct cg_fair_queue;

/** Creates a queue that holds at most @p limit items, and at most
 * @p limit_per_account of one account. The caller owns the result. */
struct cg_fair_queue *cg_fair_queue_new(uint32_t limit,
					uint32_t limit_per_account);
/** Frees an empty queue. */
void cg_fair_queue_free(struct cg_fair_queue *q);

/** Changes the limits; items that already wait stay queued. */
void cg_fair_queue_set_limits(struct cg_fair_queue *q, uint32_t limit,
			      uint32_t limit_per_account);

/** Appends to the account's flow ("" for routes without authentication).
 * Returns 0, or -1 if a limit is reached. */
int cg_fair_queue_push(struct cg_fair_queue *q, const char *account,
		       struct cg_fair_item *item);

/** Puts a popped item back at the head of its account's flow without charging
 * for it. The limits do not apply. */
void cg_fair_queue_put_back(struct cg_fair_queue *q, const char *account,
			    struct cg_fair_item *item);

/** Queues a retried request at the head of its account's flow. The limits do
 * not apply. */
void cg_fair_queue_push_front(struct cg_fair_queue *q, const char *account,
			      struct cg_fair_item *item);

/** Removes and returns the next item, or NULL if none waits. */
struct cg_fair_item *cg_fair_queue_pop(struct cg_fair_queue *q);

/** Removes a waiting item. Returns whether it was waiting. */
bool cg_fair_queue_remove(struct cg_fair_queue *q, struct cg_fair_item *item);

/** Charges the account for a popped request that used @p ms of server time. */
void cg_fair_queue_charge(struct cg_fair_queue *q, const char *account,
			  int64_t ms);

/** Returns how many items wait. */
uint32_t cg_fair_queue_length(const struct cg_fair_queue *q);

#endif
