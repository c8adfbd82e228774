#include "gateway/server_memory.h"

#include <string.h>
#include <urcu/list.h>

/* The copy that the store returns from is some seconds old. An entry that was
 * removed before it was made cannot come back. */
#define KEEP_MS 600000

struct record {
	struct cgw_departure departure;
	cg_ms used_at; /* recorded, or last compared with an older entry */
	struct cds_list_head node; /* in order of used_at */
};

struct cgw_server_memory {
	GHashTable *records; /* id to struct record */
	struct cds_list_head oldest_first;
};

struct cgw_server_memory *cgw_server_memory_new(void)
{
	struct cgw_server_memory *m = g_new0(struct cgw_server_memory, 1);

	m->records = g_hash_table_new(g_str_hash, g_str_equal);
	CDS_INIT_LIST_HEAD(&m->oldest_first);
	return m;
}

static void forget(struct cgw_server_memory *m, struct record *r)
{
	g_hash_table_remove(m->records, r->departure.id);
	cds_list_del(&r->node);
	g_free(r);
}

void cgw_server_memory_free(struct cgw_server_memory *m)
{
	struct record *r, *next;

	if (!m)
		return;
	cds_list_for_each_entry_safe(r, next, &m->oldest_first, node)
		forget(m, r);
	g_hash_table_unref(m->records);
	g_free(m);
}

static void forget_oldest(struct cgw_server_memory *m, cg_ms now)
{
	struct record *r, *next;

	cds_list_for_each_entry_safe(r, next, &m->oldest_first, node) {
		if (now - r->used_at < KEEP_MS &&
		    g_hash_table_size(m->records) <= CGW_SERVER_MEMORY_MAX)
			return;
		forget(m, r);
	}
}

static void mark_used(struct cgw_server_memory *m, struct record *r, cg_ms now)
{
	r->used_at = now;
	cds_list_del(&r->node);
	cds_list_add_tail(&r->node, &m->oldest_first);
}

/* Whether an entry is older than, or the same as, the one with these values. */
static bool is_older(int64_t started, int64_t seq,
		     const struct cgw_departure *than)
{
	return started < than->started_wall_ms ||
	       (started == than->started_wall_ms && seq <= than->seq);
}

void cgw_server_memory_record(struct cgw_server_memory *m,
			      const struct cgw_departure *d, cg_ms now)
{
	struct record *r = g_hash_table_lookup(m->records, d->id);

	/* An entry without a seq cannot be told from an older one. */
	if (d->seq <= 0)
		return;
	if (r && d->era <= r->departure.era &&
	    is_older(d->started_wall_ms, d->seq, &r->departure) &&
	    !(d->gone && d->seq == r->departure.seq))
		return;
	if (!r) {
		r = g_new0(struct record, 1);
		r->departure = *d;
		CDS_INIT_LIST_HEAD(&r->node);
		g_hash_table_insert(m->records, r->departure.id, r);
	}
	r->departure = *d;
	mark_used(m, r, now);
	forget_oldest(m, now);
}

enum cgw_entry_state cgw_server_memory_check(struct cgw_server_memory *m,
					     const struct cgw_server_facts *s,
					     uint64_t era, cg_ms now)
{
	struct record *r = g_hash_table_lookup(m->records, s->id);

	if (!r)
		return CGW_ENTRY_CURRENT;
	if (era <= r->departure.era ||
	    !is_older(s->started_wall_ms, s->seq, &r->departure)) {
		forget(m, r);
		return CGW_ENTRY_CURRENT;
	}
	mark_used(m, r, now);
	return r->departure.gone ? CGW_ENTRY_GONE : CGW_ENTRY_DRAINING;
}

void cgw_server_memory_export(struct cgw_server_memory *m, GArray *out)
{
	struct record *r;

	cds_list_for_each_entry(r, &m->oldest_first, node)
		g_array_append_val(out, r->departure);
}

unsigned int cgw_server_memory_count(const struct cgw_server_memory *m)
{
	return g_hash_table_size(m->records);
}
