#include "celeryglade/rate_ledger.h"

#include <string.h>

#include "celeryglade/rate_policy.h"

/* A holder that is silent for longer keeps what it has, and its demand no
 * longer counts. Three keepalives of the holder. */
#define SILENT_MS    15000
#define RETRY_MAX_MS 1000
#define RETRY_MIN_MS 20

/* Clocks of two machines may run at different speeds; a lease ends here later
 * than at the holder by more than that. */
static cg_ms with_margin(cg_ms lease)
{
	return lease + lease / 64 + 1;
}

static void free_account(void *p)
{
	struct cg_rate_ledger_account *a = p;
	struct cg_rate_record *r, *next;

	cds_list_for_each_entry_safe(r, next, &a->records, node)
		g_free(r);
	g_free(a);
}

struct cg_rate_ledger *cg_rate_ledger_new(uint32_t shard, uint64_t epoch,
					  bool first, cg_ms unlisted_lease_ms,
					  cg_ms now)
{
	struct cg_rate_ledger *l = g_new0(struct cg_rate_ledger, 1);

	l->state = first ? CG_RATE_LEDGER_ACTIVE : CG_RATE_LEDGER_SURVEY;
	l->shard = shard;
	l->epoch = epoch;
	l->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_account);
	l->surveyed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	l->active_at = now;
	l->from_full = first;
	l->complete_at = CG_MS_NEVER;
	l->unlisted_lease_ms = unlisted_lease_ms > CG_RATE_FIRST_LEASE_MS
				       ? unlisted_lease_ms
				       : CG_RATE_FIRST_LEASE_MS;
	return l;
}

void cg_rate_ledger_free(struct cg_rate_ledger *l)
{
	if (!l)
		return;
	g_hash_table_destroy(l->accounts);
	g_hash_table_destroy(l->surveyed);
	g_free(l);
}

struct cg_rate_ledger_account *
cg_rate_ledger_find(const struct cg_rate_ledger *l, const char *name)
{
	return g_hash_table_lookup(l->accounts, name);
}

/* The pool is what remains; a lower rate may leave less than nothing until
 * holders have released. */
static void fit_pool(struct cg_rate_ledger_account *a, cg_ms now)
{
	int64_t right = a->rate - a->out_right;
	int64_t cap = a->burst - a->out_cap;

	cg_rate_bucket_resize(&a->pool, now, right > 0 ? right : 0,
			      cap > 0 ? cap : 0);
}

static struct cg_rate_ledger_account *
get_account(struct cg_rate_ledger *l, cg_ms now, const struct cg_rate_terms *t)
{
	struct cg_rate_ledger_account *a = cg_rate_ledger_find(l, t->name);

	if (!a) {
		a = g_new0(struct cg_rate_ledger_account, 1);
		g_strlcpy(a->name, t->name, sizeof(a->name));
		CDS_INIT_LIST_HEAD(&a->records);
		/* An account is forgotten only with a full pool, so refilling
		 * since the ledger became active never gives more than the
		 * forgotten pool had. */
		cg_rate_bucket_init(&a->pool, l->active_at);
		a->pool.have.right = t->rate;
		a->pool.have.cap = t->burst;
		if (l->from_full)
			a->pool.have.tokens = t->burst;
		g_hash_table_insert(l->accounts, a->name, a);
	}
	if (a->rate != t->rate || a->burst != t->burst) {
		a->rate = t->rate;
		a->burst = t->burst;
		fit_pool(a, now);
	}
	return a;
}

void cg_rate_ledger_terms(struct cg_rate_ledger *l, cg_ms now,
			  const struct cg_rate_terms *t)
{
	if (cg_rate_ledger_find(l, t->name))
		get_account(l, now, t);
}

static void count_record(struct cg_rate_ledger_account *a,
			 const struct cg_rate_record *r, int sign)
{
	a->out_right += sign * cg_rate_record_right(r);
	a->out_cap += sign * (cg_rate_record_cap(r) + r->withheld);
}

static void drop_record(struct cg_rate_ledger_account *a,
			struct cg_rate_record *r, cg_ms now)
{
	count_record(a, r, -1);
	cds_list_del(&r->node);
	a->record_count--;
	g_free(r);
	fit_pool(a, now);
}

static void lapse_records(struct cg_rate_ledger_account *a, cg_ms now)
{
	struct cg_rate_record *r, *next;

	cds_list_for_each_entry_safe(r, next, &a->records, node)
		if (r->lease_until != CG_MS_NEVER && now >= r->lease_until)
			drop_record(a, r, now);
}

static bool same_address(const struct sockaddr_in *a,
			 const struct sockaddr_in *b)
{
	return a->sin_port == b->sin_port &&
	       a->sin_addr.s_addr == b->sin_addr.s_addr;
}

/*
 * Finds the record of the process. A later incarnation at the same address
 * proves that the earlier process ended, since the port can be bound only
 * once; the earlier one's record is reclaimed. Sets @p outdated if the asking
 * process is the earlier one.
 */
static struct cg_rate_record *find_record(struct cg_rate_ledger *l,
					  struct cg_rate_ledger_account *a,
					  const struct cg_rate_party *who,
					  cg_ms now, bool *outdated)
{
	struct cg_rate_record *r, *next, *found = NULL;

	cds_list_for_each_entry_safe(r, next, &a->records, node) {
		if (strcmp(r->holder.name, who->name) != 0)
			continue;
		if (r->holder.incarnation == who->incarnation) {
			found = r;
		} else if (!same_address(&r->holder.addr, &who->addr)) {
			continue;
		} else if (r->holder.incarnation < who->incarnation) {
			drop_record(a, r, now);
			l->reclaims++;
		} else {
			*outdated = true;
		}
	}
	return found;
}

static struct cg_rate_record *add_record(struct cg_rate_ledger_account *a,
					 const struct cg_rate_party *who,
					 uint64_t session, cg_ms now)
{
	struct cg_rate_record *r = g_new0(struct cg_rate_record, 1);

	r->holder = *who;
	r->session = session;
	r->lease_ms = CG_RATE_SPOT_LEASE_MS;
	r->lease_until = now;
	r->heard_at = now;
	cds_list_add_tail(&r->node, &a->records);
	a->record_count++;
	return r;
}

/* Books what the holder reports. The totals only rise, so a late report never
 * takes anything back. */
static void book(struct cg_rate_ledger_account *a, struct cg_rate_record *r,
		 const struct cg_rate_ask *ask, cg_ms now)
{
	struct cg_rate_share tokens = { 0 };

	count_record(a, r, -1);
	if (ask->released.right > r->released.right)
		r->released.right = ask->released.right;
	if (ask->released.cap > r->released.cap)
		r->released.cap = ask->released.cap;
	if (ask->released.tokens > r->released.tokens) {
		tokens.tokens = ask->released.tokens - r->released.tokens;
		r->released.tokens = ask->released.tokens;
	}
	if (ask->number >= r->number)
		r->withheld = 0;
	count_record(a, r, 1);
	fit_pool(a, now);
	cg_rate_bucket_join(&a->pool, now, &tokens);
}

struct grant {
	struct cg_rate_share add;
	struct cg_rate_share target;
	int64_t demand_sum;
	bool denied;
};

static void find_target(struct cg_rate_ledger_account *a,
			const struct cg_rate_record *mine, cg_ms now,
			struct grant *g)
{
	int64_t *of = g_new(int64_t, a->record_count);
	struct cg_rate_demands d = { .rate = a->rate,
				     .burst = a->burst,
				     .of = of };
	struct cg_rate_record *r;

	cds_list_for_each_entry(r, &a->records, node) {
		if (r != mine && now - r->heard_at > SILENT_MS) {
			d.fixed_right += cg_rate_record_right(r);
			d.fixed_cap += cg_rate_record_cap(r);
			continue;
		}
		g->demand_sum += r->demand;
		of[d.n++] = r->demand;
	}
	cg_rate_policy_target(&d, mine->demand, cg_rate_record_right(mine) > 0,
			      &g->target);
	g_free(of);
}

static int64_t raise_by(int64_t have, int64_t want, int64_t pool,
			int64_t reserve)
{
	int64_t free = pool - reserve;
	int64_t add = want - have;

	if (free <= 0 || !cg_rate_policy_raise(have, want))
		return 0;
	return add < free ? add : free;
}

/* Moves a part of the pool's right and capacity. */
static void grant_share(struct cg_rate_ledger_account *a,
			const struct cg_rate_record *r, struct grant *g)
{
	int64_t right = cg_rate_record_right(r);
	int64_t cap = cg_rate_record_cap(r);
	const struct cg_rate_share *p = &a->pool.have;
	int part = CG_RATE_RESERVE_PART;

	g->add.right = raise_by(right, g->target.right, p->right,
				right ? a->rate / part : 0);
	g->add.cap = raise_by(cap, g->target.cap, p->cap,
			      right ? a->burst / part : 0);
	/* A right is of no use without capacity for one request. */
	if (cap + g->add.cap < CG_RATE_ONE)
		g->add = (struct cg_rate_share){ 0 };
	g->add.tokens = cg_rate_part(p->tokens, g->add.cap, p->cap);
}

static int64_t lower(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/* Capacity that lies with holders overflows while others lack tokens, so less
 * is lent when the pool has little. */
static bool has_spare_cap(const struct cg_rate_ledger_account *a)
{
	return a->pool.have.cap >= a->burst / 2;
}

/* Adds the tokens that waiting requests lack, with the capacity for them. A
 * holder with a lasting demand gets those for about a second, so that the next
 * requests need no message. */
static void grant_need(struct cg_rate_ledger_account *a,
		       const struct cg_rate_record *r, int64_t need,
		       struct grant *g)
{
	const struct cg_rate_share *p = &a->pool.have;
	int64_t cap = cg_rate_record_cap(r) + g->add.cap;
	int64_t first = need % CG_RATE_ONE ? need % CG_RATE_ONE : CG_RATE_ONE;
	int64_t give = need;
	int64_t room;

	if (r->demand >= CG_RATE_HOLDING_DEMAND) {
		int64_t most = cap + (has_spare_cap(a) ? p->cap / 8 : 0);
		int64_t more = lower(r->demand, lower(p->tokens / 8, most));

		give = more > give ? more : give;
	}
	room = (give + CG_RATE_ONE - 1) / CG_RATE_ONE * CG_RATE_ONE - cap;
	if (room > p->cap - g->add.cap)
		room = (p->cap - g->add.cap) / CG_RATE_ONE * CG_RATE_ONE;
	if (room > 0)
		g->add.cap += room;
	give = lower(give, cg_rate_record_cap(r) + g->add.cap);
	give = lower(give, p->tokens);
	if (give < first) {
		g->denied = true;
		return;
	}
	if (give > g->add.tokens)
		g->add.tokens = give;
}

static void apply_grant(struct cg_rate_ledger_account *a,
			struct cg_rate_record *r, const struct grant *g,
			cg_ms now)
{
	if (!g->add.right && !g->add.cap && !g->add.tokens)
		return;
	count_record(a, r, -1);
	r->number++;
	r->granted.right += g->add.right;
	r->granted.cap += g->add.cap;
	r->granted.tokens += g->add.tokens;
	if (g->add.tokens > g->add.cap)
		r->withheld = g->add.tokens - g->add.cap;
	a->pool.have.tokens -= g->add.tokens;
	count_record(a, r, 1);
	fit_pool(a, now);
}

static void set_lease(struct cg_rate_ledger *l,
		      const struct cg_rate_ledger_account *a,
		      struct cg_rate_record *r, bool listed, bool confirmed,
		      cg_ms now)
{
	bool right = cg_rate_record_right(r) > 0;
	cg_ms until;

	if (r->lease_until == CG_MS_NEVER)
		return;
	if (!right && cg_rate_record_cap(r) > 0 &&
	    (r->demand < CG_RATE_HOLDING_DEMAND || !has_spare_cap(a)))
		r->lease_ms = CG_RATE_SPOT_LEASE_MS;
	else if (!right || (listed && !confirmed))
		r->lease_ms = CG_RATE_FIRST_LEASE_MS;
	else
		r->lease_ms = listed ? 0 : l->unlisted_lease_ms;
	if (!r->lease_ms) {
		r->lease_until = CG_MS_NEVER;
		return;
	}
	until = now + with_margin(r->lease_ms);
	if (r->lease_until == CG_MS_NEVER || r->lease_until < until)
		r->lease_until = until;
}

/* Whether the pool has little more than its reserve. */
static bool is_short(int64_t pool, int64_t all)
{
	return pool < all / CG_RATE_RESERVE_PART + all / 32;
}

static void advise(const struct cg_rate_ledger_account *a,
		   const struct cg_rate_record *r, const struct grant *g,
		   struct cg_rate_answer *out)
{
	bool right_short = is_short(a->pool.have.right, a->rate);
	bool cap_short = is_short(a->pool.have.cap, a->burst);
	int64_t right = cg_rate_record_right(r);
	int64_t cap = cg_rate_record_cap(r);

	if (right <= 0 || r->lease_ms)
		return;
	if (!cg_rate_policy_lower(right, g->target.right, right_short) &&
	    !cg_rate_policy_lower(cap, g->target.cap, cap_short))
		return;
	out->keep_right = g->target.right < right ? g->target.right : right;
	out->keep_cap = g->target.cap < cap ? g->target.cap : cap;
}

/* When to ask again after the pool had too little: soon if the pool refills or
 * the holder should get more than it has, later if the account's demand is
 * above its rate and the holder has its part. */
static cg_ms retry_after(const struct cg_rate_ledger_account *a,
			 const struct cg_rate_record *r, const struct grant *g)
{
	const struct cg_rate_share *p = &a->pool.have;
	int64_t right = cg_rate_record_right(r);
	int64_t ms;

	if (g->demand_sum > a->rate || p->right <= 0)
		return cg_rate_policy_raise(right, g->target.right)
			       ? RETRY_MAX_MS / 8
			       : RETRY_MAX_MS;
	ms = (CG_RATE_ONE - p->tokens % CG_RATE_ONE) * 1000 / p->right;
	return ms < RETRY_MIN_MS ? RETRY_MIN_MS : lower(ms, RETRY_MAX_MS);
}

static void fill_answer(const struct cg_rate_record *r,
			struct cg_rate_answer *out)
{
	out->status = CG_RATE_STATUS_OK;
	out->session = r->session;
	out->number = r->number;
	out->granted = r->granted;
	out->lease_ms = r->lease_ms;
}

static void answer_new_state(struct cg_rate_ledger *l,
			     struct cg_rate_ledger_account *a,
			     struct cg_rate_record *r, bool listed,
			     bool confirmed, const struct cg_rate_ask *ask,
			     cg_ms now, struct cg_rate_answer *out)
{
	struct grant g = { 0 };

	find_target(a, r, now, &g);
	grant_share(a, r, &g);
	if (ask->need > 0)
		grant_need(a, r, ask->need, &g);
	apply_grant(a, r, &g, now);
	set_lease(l, a, r, listed, confirmed, now);
	fill_answer(r, out);
	if (g.denied) {
		a->denied++;
		out->retry_ms = retry_after(a, r, &g);
	} else if (ask->need <= 0) {
		advise(a, r, &g, out);
	}
}

static void answer_ask(struct cg_rate_ledger *l,
		       struct cg_rate_ledger_account *a,
		       struct cg_rate_record *r,
		       const struct cg_rate_party *who, bool listed,
		       const struct cg_rate_ask *ask, cg_ms now,
		       struct cg_rate_answer *out)
{
	bool fresh;

	if (ask->final &&
	    (!r || (ask->number == r->number && !cg_rate_record_right(r) &&
		    !cg_rate_record_cap(r)))) {
		if (r)
			drop_record(a, r, now);
		out->status = CG_RATE_STATUS_CLOSED;
		return;
	}
	/* A holder that has nothing starts again with a lease, so that tokens
	 * for single requests need no message to come back. */
	if (r && ask->session && ask->number == r->number &&
	    !cg_rate_record_right(r) && !cg_rate_record_cap(r)) {
		drop_record(a, r, now);
		r = NULL;
	}
	fresh = !r;
	if (fresh)
		r = add_record(a, who,
			       cg_rate_session_base(l->epoch) + ++l->sessions,
			       now);
	r->demand = ask->demand;
	r->heard_at = now;
	if (!fresh && ask->number < r->number) {
		/* The last answer was lost: the same grant again. */
		set_lease(l, a, r, listed, false, now);
		fill_answer(r, out);
	} else {
		answer_new_state(l, a, r, listed, !fresh, ask, now, out);
	}
	/* Without a grant there is nothing to count, except a demand for
	 * which the other holders have to make room. */
	if (!r->number && r->demand < CG_RATE_HOLDING_DEMAND && fresh) {
		out->session = ask->session;
		if (ask->session)
			out->status = CG_RATE_STATUS_CLOSED;
		drop_record(a, r, now);
	}
}

void cg_rate_ledger_ask(struct cg_rate_ledger *l, cg_ms now,
			const struct cg_rate_terms *t,
			const struct cg_rate_party *who, bool listed,
			const struct cg_rate_ask *ask,
			struct cg_rate_answer *out)
{
	struct cg_rate_ledger_account *a;
	struct cg_rate_record *r;
	bool outdated = false;

	*out = (struct cg_rate_answer){ .session = ask->session,
					.keep_right = -1,
					.keep_cap = -1 };
	if (l->state != CG_RATE_LEDGER_ACTIVE) {
		out->status = l->state == CG_RATE_LEDGER_SURVEY
				      ? CG_RATE_STATUS_NOT_READY
				      : CG_RATE_STATUS_NOT_OWNER;
		return;
	}
	a = get_account(l, now, t);
	a->asks++;
	a->asked_at = now;
	lapse_records(a, now);
	r = find_record(l, a, who, now, &outdated);
	if (!ask->session && r && r->session <= ask->past_session) {
		drop_record(a, r, now);
		r = NULL;
	}
	if (outdated || (ask->session && (!r || r->session != ask->session))) {
		out->status = CG_RATE_STATUS_CLOSED;
		return;
	}
	if (r && ask->session)
		book(a, r, ask, now);
	answer_ask(l, a, r, who, listed, ask, now, out);
}

void cg_rate_ledger_gone(struct cg_rate_ledger *l, cg_ms now, const char *name,
			 uint64_t incarnation)
{
	struct cg_rate_ledger_account *a;
	struct cg_rate_record *r, *next;
	GHashTableIter it;

	g_hash_table_iter_init(&it, l->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&a)) {
		cds_list_for_each_entry_safe(r, next, &a->records, node) {
			if (strcmp(r->holder.name, name) != 0 ||
			    (incarnation &&
			     incarnation != r->holder.incarnation))
				continue;
			drop_record(a, r, now);
			l->reclaims++;
		}
	}
}

void cg_rate_ledger_superseded(struct cg_rate_ledger *l, cg_ms now,
			       const struct cg_rate_party *by)
{
	struct cg_rate_ledger_account *a;
	GHashTableIter it;
	bool outdated = false;

	g_hash_table_iter_init(&it, l->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&a))
		find_record(l, a, by, now, &outdated);
}

void cg_rate_ledger_tick(struct cg_rate_ledger *l, cg_ms now)
{
	struct cg_rate_ledger_account *a;
	GHashTableIter it;

	if (l->state != CG_RATE_LEDGER_ACTIVE)
		return;
	g_hash_table_iter_init(&it, l->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&a)) {
		lapse_records(a, now);
		if (a->record_count)
			continue;
		cg_rate_bucket_refill(&a->pool, now);
		if (a->pool.have.tokens >= a->burst)
			g_hash_table_iter_remove(&it);
	}
}
