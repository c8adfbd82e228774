/**
 * @file fair_queue.h
 * Waiting requests of one service: deficit round robin over client accounts,
 * measured in milliseconds of server time, so that an account with many or
 * with slow requests cannot starve another. Not thread-safe; the owner locks.
 */
#ifndef CELERYGLADE_FAIR_QUEUE_H
#define CELERYGLADE_FAIR_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

#include "celeryglade/config.h"

/** One waiting element; embedded in the request. */
struct cg_fair_item {
	struct cds_list_head node;
	struct cg_fair_flow *flow; /**< NULL while it is not waiting. */
};

/** The requests of one client account. */
struct cg_fair_flow {
	struct cds_list_head node; /**< In the queue's round while waiting. */
	struct cds_list_head items;
	char account[CG_NAME_MAX + 1];
	uint32_t waiting;
	uint32_t running; /**< Taken and not yet charged. */
	int64_t deficit_ms;
	int64_t average_service_ms; /**< Recent server time of one request. */
};

struct cg_fair_queue;

/** Creates a queue with bounds on all waiting requests and on each account's.
 * The caller owns the result. */
struct cg_fair_queue *cg_fair_queue_new(uint32_t limit,
					uint32_t limit_per_account);
/** Frees an empty queue. */
void cg_fair_queue_free(struct cg_fair_queue *q);

/** Changes the bounds; waiting requests stay. */
void cg_fair_queue_set_limits(struct cg_fair_queue *q, uint32_t limit,
			      uint32_t limit_per_account);

/** Appends to the account's flow ("" for open routes). Returns 0, or -1 if a
 * bound is reached. */
int cg_fair_queue_push(struct cg_fair_queue *q, const char *account,
		       struct cg_fair_item *item);

/** Puts a taken item back at the head of its account's flow, past the bounds,
 * without charging for it. */
void cg_fair_queue_put_back(struct cg_fair_queue *q, const char *account,
			    struct cg_fair_item *item);

/** Puts an item at the head of its account's flow, past the bounds: for a
 * request that is sent again. */
void cg_fair_queue_push_front(struct cg_fair_queue *q, const char *account,
			      struct cg_fair_item *item);

/** Takes the next item, or NULL if nothing waits. */
struct cg_fair_item *cg_fair_queue_pop(struct cg_fair_queue *q);

/** Removes a waiting item. Returns whether it was waiting. */
bool cg_fair_queue_remove(struct cg_fair_queue *q, struct cg_fair_item *item);

/** Charges an account for a taken request that used @p ms of server time. */
void cg_fair_queue_charge(struct cg_fair_queue *q, const char *account,
			  int64_t ms);

/** Returns how many items wait. */
uint32_t cg_fair_queue_length(const struct cg_fair_queue *q);

#endif
