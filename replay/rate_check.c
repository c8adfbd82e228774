/**
 * @file rate_check.c
 * Invariants that the rate replay checks: the limit of every time window, and
 * that the ledger covers all holdings.
 */
#include "rate_fleet.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * Checks every time window: with f(i) = i - rate * t(i), the window from i to j
 * contains j - i + 1 requests, which exceed burst + rate * (t(j) - t(i)) by
 * f(j) - f(i) + 1 - burst. The lowest f(i) before j gives the worst window that
 * ends at j. Units are millionths of a request, which are exact.
 */
double rr_worst_excess(const GArray *times, int64_t rate, int64_t burst)
{
	int64_t lowest = INT64_MAX, worst = INT64_MIN;

	for (guint i = 0; i < times->len; i++) {
		int64_t f = (int64_t)i * 1000000 -
			    rate * g_array_index(times, cg_ms, i);
		int64_t over;

		if (f < lowest)
			lowest = f;
		over = f - lowest + 1000000 - burst * 1000;
		if (over > worst)
			worst = over;
	}
	return times->len ? (double)worst / 1e6 : -1e9;
}

struct sums {
	struct cg_rate_share s;
	bool uncovered;
};

static const struct cg_rate_record *
find_record(const struct cg_rate_ledger_account *a, const struct rr_daemon *d,
	    uint64_t session)
{
	const struct cg_rate_record *r;

	cds_list_for_each_entry(r, &a->records, node)
		if (!strcmp(r->holder.name, d->name) &&
		    r->holder.incarnation == d->incarnation &&
		    r->session == session)
			return r;
	return NULL;
}

static void add_holder(const struct rr_fleet *f, const struct rr_daemon *d,
		       int account, const struct cg_rate_ledger_account *a,
		       struct sums *sum)
{
	struct rr_entry *e =
		g_hash_table_lookup(d->entries, GINT_TO_POINTER(account + 1));
	const struct cg_rate_record *r;
	struct cg_rate_holding h;

	if (!e)
		return;
	h = e->holding;
	cg_rate_holding_expire(&h, f->now);
	cg_rate_bucket_refill(&h.bucket, f->now);
	sum->s.refill_right += h.bucket.share.refill_right;
	sum->s.capacity += h.bucket.share.capacity;
	sum->s.tokens += h.bucket.share.tokens;
	if (!a || !h.session)
		return;
	r = find_record(a, d, h.session);
	if (!r) {
		sum->uncovered |=
			h.bucket.share.refill_right || h.bucket.share.capacity;
		return;
	}
	sum->uncovered |=
		h.bucket.share.refill_right > cg_rate_record_refill_right(r) ||
		h.bucket.share.capacity > cg_rate_record_capacity(r);
	/* Tokens of a grant and of a release that are in flight. */
	if (r->number > h.number)
		sum->s.tokens += r->granted.tokens - h.granted.tokens;
	if (h.released.tokens > r->released.tokens)
		sum->s.tokens += h.released.tokens - r->released.tokens;
}

static void check_account(struct rr_fleet *f, int account)
{
	const struct cg_rate_limits *t = &f->limits[account];
	const struct cg_rate_ledger_account *active = NULL;
	struct sums sum = { 0 };
	int64_t rate = t->rate, burst = t->burst;

	for (int d = 0; d < f->n; d++) {
		struct cg_rate_ledger *l =
			f->daemons[d].ledgers[rr_shard(account)];
		struct cg_rate_ledger_account *a;
		struct cg_rate_bucket pool;

		if (!f->daemons[d].alive || !l ||
		    l->state != CG_RATE_LEDGER_ACTIVE)
			continue;
		a = cg_rate_ledger_find(l, t->name);
		if (!a)
			continue;
		active = a;
		pool = a->pool;
		cg_rate_bucket_refill(&pool, f->now);
		sum.s.refill_right += pool.share.refill_right;
		sum.s.capacity += pool.share.capacity;
		sum.s.tokens += pool.share.tokens;
	}
	for (int d = 0; d < f->n; d++)
		if (f->daemons[d].alive)
			add_holder(f, &f->daemons[d], account, active, &sum);
	if (f->now < f->allowed_until[account]) {
		rate = MAX(rate, f->allowed[account].rate);
		burst = MAX(burst, f->allowed[account].burst);
	}
	if (sum.s.refill_right > rate || sum.s.capacity > burst ||
	    sum.s.tokens > burst || sum.uncovered) {
		if (!f->out->violations++ && getenv("RATE_VERBOSE"))
			fprintf(stderr,
				"at %" PRId64 ": %s: refill right %" PRId64
				" of %" PRId64 ", capacity %" PRId64
				" of %" PRId64 ", tokens %" PRId64 "%s\n",
				f->now, t->name, sum.s.refill_right, rate,
				sum.s.capacity, burst, sum.s.tokens,
				sum.uncovered ? ", not in the ledger" : "");
	}
}

void rr_check_changed(struct rr_fleet *f)
{
	for (guint i = 0; i < f->changed_accounts->len; i++)
		check_account(f, g_array_index(f->changed_accounts, int, i));
}
