/**
 * @file memory_budget.h
 * The memory that callers may make a process use: request bodies, response
 * bodies until they are sent, and connections. Decides who gets a part and whose
 * part is taken back. Not thread-safe.
 */
#ifndef CELERYGLADE_MEMORY_BUDGET_H
#define CELERYGLADE_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

#include "celeryglade/clock.h"

/** Range and default of the setting memory_max_mb. The lowest value leaves room
 * for a few small bodies. */
#define CG_MEMORY_MAX_MB_LOWEST	 64
#define CG_MEMORY_MAX_MB_HIGHEST 65536
#define CG_MEMORY_MAX_MB_DEFAULT 160

/** Items up to this size may use the part of the budget that is reserved for
 * them. */
#define CG_MEMORY_SMALL_BYTES ((int64_t)64 * 1024)
/** An item without progress for this long may be evicted for another. */
#define CG_MEMORY_STALLED_MS 1000
/** Progress that counts: a caller that sends single bytes holds its room no
 * longer than one that sends none. The end of a body counts as well. */
#define CG_MEMORY_PROGRESS_BYTES 4096

struct cg_memory_budget;

/** A body, embedded in its owner, which zeroes it before the first use. */
struct cg_memory_item {
	struct cds_list_head
		node; /**< By progress, longest without it first. */
	struct cg_memory_budget *budget; /**< NULL: holds nothing. */
	int64_t bytes;
	int64_t moved; /**< Bytes since the progress that counted last. */
	cg_ms progressed_at;
	/** Frees the body, calls cg_memory_release() and records that the body
	 * is gone. NULL while the item cannot be evicted. */
	void (*evict)(struct cg_memory_item *item);
};

/** Zeroed and initialised by cg_memory_init(). */
struct cg_memory_budget {
	int64_t total; /**< Bytes for all items and connections. */
	int64_t connections; /**< Bytes held by connections. */
	int64_t used; /**< By items. */
	uint64_t evicted; /**< Items evicted so far. */
	uint64_t refused; /**< Reservations refused so far. */
	struct cds_list_head items;
};

/** Sets up a budget for a process of @p max_mb MiB. */
void cg_memory_init(struct cg_memory_budget *b, int64_t max_mb);
/** Returns the bytes in use by items and connections. */
int64_t cg_memory_used(const struct cg_memory_budget *b);

/** Counts @p bytes more for connections, evicting items without progress if there
 * is no room. Returns false if there still is none, or connections have their
 * whole part; the bytes count nevertheless until cg_memory_disconnect(). */
bool cg_memory_connect(struct cg_memory_budget *b, int64_t bytes, cg_ms now);
void cg_memory_disconnect(struct cg_memory_budget *b, int64_t bytes);

/** Makes @p item hold @p bytes in all, evicting items without progress if there
 * is no room. Returns false, without a change, if there would still be none. */
bool cg_memory_reserve(struct cg_memory_budget *b, struct cg_memory_item *item,
		       int64_t bytes, cg_ms now);
/** Records that @p bytes of the item were received or sent. */
void cg_memory_progress(struct cg_memory_item *item, int64_t bytes, cg_ms now);
/** Gives back what @p item holds; does nothing if it holds nothing. */
void cg_memory_release(struct cg_memory_item *item);

/** Keeps large blocks out of the heap, so that freed bodies are returned to the
 * system, and limits the number of heaps. Called before threads are started. */
void cg_memory_init_allocator(void);

#endif
