/* Rebuilds a ledger after a change of coordinator: from a survey of all holders
 * or from the previous coordinator's ledger. */
#include "celeryglade/rate_ledger.h"

#include <string.h>

static char *process_key(const char *name, uint64_t incarnation)
{
	return g_strdup_printf("%s %" G_GUINT64_FORMAT, name, incarnation);
}

static void activate(struct cg_rate_ledger *l, cg_ms now)
{
	l->state = CG_RATE_LEDGER_ACTIVE;
	g_hash_table_remove_all(l->survey_answers);
}

static struct cg_rate_ledger_account *
prepare_account(struct cg_rate_ledger *l, const struct cg_rate_limits *limits)
{
	struct cg_rate_ledger_account *a = cg_rate_ledger_find(l, limits->name);

	if (a)
		return a;
	a = g_new0(struct cg_rate_ledger_account, 1);
	g_strlcpy(a->name, limits->name, sizeof(a->name));
	a->rate = limits->rate;
	a->burst = limits->burst;
	CDS_INIT_LIST_HEAD(&a->records);
	g_hash_table_insert(l->accounts, a->name, a);
	return a;
}

static bool has_record(const struct cg_rate_ledger_account *a,
		       const struct cg_rate_process *process)
{
	struct cg_rate_record *r;

	cds_list_for_each_entry(r, &a->records, node)
		if (!strcmp(r->holder.name, process->name) &&
		    r->holder.incarnation == process->incarnation)
			return true;
	return false;
}

static void add_record(struct cg_rate_ledger_account *a,
		       const struct cg_rate_record *from)
{
	struct cg_rate_record *r = g_memdup2(from, sizeof(*from));

	cds_list_add_tail(&r->node, &a->records);
	a->record_count++;
	a->held_right += cg_rate_record_refill_right(r);
	a->held_capacity += cg_rate_record_capacity(r) + r->withheld;
}

void cg_rate_ledger_survey_add(struct cg_rate_ledger *l, cg_ms now,
			       const struct cg_rate_limits *limits,
			       const struct cg_rate_process *process,
			       const struct cg_rate_share *granted,
			       const struct cg_rate_share *released)
{
	struct cg_rate_record r = {
		.holder = *process,
		.session = cg_rate_survey_session(l->epoch),
		.granted = *granted,
		.released = *released,
		.lease_until = CG_MS_NEVER,
		.last_seen_at = now,
		.demand = granted->refill_right - released->refill_right,
	};
	struct cg_rate_ledger_account *a;

	if (l->state != CG_RATE_LEDGER_SURVEY ||
	    cg_rate_ledger_survey_answered(l, process->name,
					   process->incarnation))
		return;
	a = prepare_account(l, limits);
	if (!has_record(a, process))
		add_record(a, &r);
}

void cg_rate_ledger_survey_done(struct cg_rate_ledger *l,
				const struct cg_rate_process *process)
{
	if (l->state == CG_RATE_LEDGER_SURVEY)
		g_hash_table_add(
			l->survey_answers,
			process_key(process->name, process->incarnation));
}

bool cg_rate_ledger_survey_answered(const struct cg_rate_ledger *l,
				    const char *name, uint64_t incarnation)
{
	char *key = process_key(name, incarnation);
	bool found = g_hash_table_contains(l->survey_answers, key);

	g_free(key);
	return found;
}

/* Gives every pool the refill right and capacity that no record has. Pools
 * start without tokens, since the previous coordinator may have granted all of
 * its tokens. */
static void start_pools(struct cg_rate_ledger *l, cg_ms now)
{
	struct cg_rate_ledger_account *a;
	GHashTableIter it;

	g_hash_table_iter_init(&it, l->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&a)) {
		int64_t right = a->rate - a->held_right;
		int64_t cap = a->burst - a->held_capacity;

		cg_rate_bucket_init(&a->pool, now);
		cg_rate_bucket_resize(&a->pool, now, right > 0 ? right : 0,
				      cap > 0 ? cap : 0);
	}
}

void cg_rate_ledger_survey_check(struct cg_rate_ledger *l, cg_ms now,
				 bool all_answered)
{
	cg_ms wait = l->unlisted_lease_ms + l->unlisted_lease_ms / 64 + 1;

	if (l->state != CG_RATE_LEDGER_SURVEY || !all_answered)
		return;
	/* The previous coordinator no longer grants anything: it is one of the
	 * members that have answered or are gone. The leases that it granted
	 * expire within the wait, which includes a margin for clocks that run
	 * at different speeds. */
	if (l->complete_at == CG_MS_NEVER)
		l->complete_at = now;
	if (now - l->complete_at < wait)
		return;
	l->active_at = now;
	l->pools_start_full = false;
	start_pools(l, now);
	activate(l, now);
}

void cg_rate_ledger_import(struct cg_rate_ledger *l, cg_ms now,
			   const struct cg_rate_limits *limits,
			   const struct cg_rate_record *r)
{
	struct cg_rate_ledger_account *a;

	if (l->state != CG_RATE_LEDGER_SURVEY)
		return;
	a = prepare_account(l, limits);
	if (!has_record(a, &r->holder))
		add_record(a, r);
}

void cg_rate_ledger_import_pool(struct cg_rate_ledger *l, cg_ms now,
				const struct cg_rate_limits *limits,
				int64_t tokens)
{
	struct cg_rate_ledger_account *a;

	if (l->state != CG_RATE_LEDGER_SURVEY)
		return;
	a = prepare_account(l, limits);
	cg_rate_bucket_init(&a->pool, now);
	a->pool.share.capacity = a->burst;
	a->pool.share.tokens = tokens;
}

void cg_rate_ledger_import_done(struct cg_rate_ledger *l, cg_ms now)
{
	struct cg_rate_ledger_account *a;
	GHashTableIter it;

	if (l->state != CG_RATE_LEDGER_SURVEY)
		return;
	g_hash_table_iter_init(&it, l->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&a)) {
		int64_t right = a->rate - a->held_right;
		int64_t cap = a->burst - a->held_capacity;

		cg_rate_bucket_resize(&a->pool, now, right > 0 ? right : 0,
				      cap > 0 ? cap : 0);
	}
	activate(l, now);
}
