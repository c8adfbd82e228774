#include "celeryglade/memory_budget.h"

#include <malloc.h>
#include <string.h>

#define MIB ((int64_t)1024 * 1024)
/* Not for callers: program, libraries, configuration, servers and messages, the
 * spare capacity of small arrays and fragments of the heap. */
#define PROCESS_BYTES (40 * MIB)
/* Part of the budget that only small items may use. */
#define SMALL_SHARE 16
/* Part of the budget that connections may use. Beside as many connections as the
 * busiest machine has, 540, a body of 64 MiB fits the smallest one. */
#define CONNECTIONS_PERCENT 60
/* Part of the budget that large items leave to connections, open or not yet, so
 * that callers with small requests can connect. */
#define CONNECTIONS_RESERVED_SHARE 4
/* glibc's default. Setting it ends the adaptation: glibc otherwise raises the
 * threshold to the size of each block that is freed, up to 32 MiB, and bodies are
 * then kept in the heap, which shrinks only at its end. */
#define MMAP_THRESHOLD_BYTES (128 * 1024)
/* Threads that allocate at the same time share heaps from this number on. */
#define HEAPS_MAX 4

void cg_memory_init(struct cg_memory_budget *b, int64_t max_mb)
{
	memset(b, 0, sizeof(*b));
	b->total = max_mb * MIB - PROCESS_BYTES;
	CDS_INIT_LIST_HEAD(&b->items);
}

int64_t cg_memory_used(const struct cg_memory_budget *b)
{
	return b->used + b->connections;
}

static bool is_stalled(const struct cg_memory_item *i, cg_ms now)
{
	return i->evict && now - i->progressed_at >= CG_MEMORY_STALLED_MS;
}

/* Returns what eviction would free, without @but. */
static int64_t stalled_bytes(const struct cg_memory_budget *b,
			     const struct cg_memory_item *but, cg_ms now)
{
	const struct cg_memory_item *i;
	int64_t n = 0;

	cds_list_for_each_entry(i, &b->items, node)
		if (i != but && is_stalled(i, now))
			n += i->bytes;
	return n;
}

static void evict_longest_stalled(struct cg_memory_budget *b,
				  const struct cg_memory_item *but, cg_ms now)
{
	struct cg_memory_item *i;

	cds_list_for_each_entry(i, &b->items, node)
		if (i != but && is_stalled(i, now)) {
			b->evicted++;
			i->evict(i);
			return;
		}
}

/* Evicts stalled items until @missing bytes are free. Returns false, without a
 * change, if that does not suffice. */
static bool make_room(struct cg_memory_budget *b,
		      const struct cg_memory_item *but, int64_t missing,
		      cg_ms now)
{
	int64_t enough = b->used - missing;

	if (missing <= 0)
		return true;
	if (stalled_bytes(b, but, now) < missing)
		return false;
	while (b->used > enough)
		evict_longest_stalled(b, but, now);
	return true;
}

bool cg_memory_connect(struct cg_memory_budget *b, int64_t bytes, cg_ms now)
{
	b->connections += bytes;
	return make_room(b, NULL, cg_memory_used(b) - b->total, now) &&
	       b->connections <= b->total / 100 * CONNECTIONS_PERCENT;
}

void cg_memory_disconnect(struct cg_memory_budget *b, int64_t bytes)
{
	b->connections -= bytes;
}

bool cg_memory_reserve(struct cg_memory_budget *b, struct cg_memory_item *item,
		       int64_t bytes, cg_ms now)
{
	int64_t more = bytes - (item->budget ? item->bytes : 0);
	int64_t room = b->total - cg_memory_used(b);

	if (bytes > CG_MEMORY_SMALL_BYTES) {
		int64_t reserved =
			b->total / CONNECTIONS_RESERVED_SHARE - b->connections;

		room -= b->total / SMALL_SHARE + (reserved > 0 ? reserved : 0);
	}
	if (more > 0 && !make_room(b, item, more - room, now)) {
		b->refused++;
		return false;
	}
	if (!item->budget) {
		item->budget = b;
		item->bytes = 0;
		item->moved = 0;
		item->progressed_at = now;
		cds_list_add_tail(&item->node, &b->items);
	}
	b->used += bytes - item->bytes;
	item->bytes = bytes;
	return true;
}

void cg_memory_progress(struct cg_memory_item *item, int64_t bytes, cg_ms now)
{
	if (!item->budget)
		return;
	item->moved += bytes;
	if (item->moved < CG_MEMORY_PROGRESS_BYTES)
		return;
	item->moved = 0;
	item->progressed_at = now;
	cds_list_del(&item->node);
	cds_list_add_tail(&item->node, &item->budget->items);
}

void cg_memory_release(struct cg_memory_item *item)
{
	if (!item->budget)
		return;
	item->budget->used -= item->bytes;
	cds_list_del(&item->node);
	item->budget = NULL;
	item->bytes = 0;
}

void cg_memory_init_allocator(void)
{
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	mallopt(M_ARENA_MAX, HEAPS_MAX);
}
