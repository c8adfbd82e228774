#include "celeryglade/rate_ledger.h"

#include <string.h>

#include "celeryglade/rate_policy.h"

/* A holder that sent no token request for this time keeps its share, but its
 * demand no longer counts. A holder whose share has no time limit reports at
 * least every 8 s (KEEPALIVE_MAX_MS in rate_holder.c) and retries an unanswered
 * report after 1, 2 and 4 s, so at least three reports in a row were lost. */
#define REPORT_TIMEOUT_MS 15000
/* Limits of the delay that an answer sets before the next token request. */
#define RETRY_MAX_MS 1000
#define RETRY_MIN_MS 20

/* The clocks of two machines may run at different speeds. The lease expires
 * here later than at the holder by more than that difference. */
static cg_ms with_clock_margin(cg_ms lease)
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
	l->survey_answers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	l->active_at = now;
	l->pools_start_full = first;
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
	g_hash_table_destroy(l->survey_answers);
	g_free(l);
}

struct cg_rate_ledger_account *
cg_rate_ledger_find(const struct cg_rate_ledger *l, const char *name)
{
	return g_hash_table_lookup(l->accounts, name);
}

/* The pool has what the holders do not have. After the rate is lowered the
 * difference may be negative until holders have released. */
static void resize_pool(struct cg_rate_ledger_account *a, cg_ms now)
{
	int64_t right = a->rate - a->held_right;
	int64_t cap = a->burst - a->held_capacity;

	cg_rate_bucket_resize(&a->pool, now, right > 0 ? right : 0,
			      cap > 0 ? cap : 0);
}

static struct cg_rate_ledger_account *
get_account(struct cg_rate_ledger *l, cg_ms now,
	    const struct cg_rate_limits *limits)
{
	struct cg_rate_ledger_account *a = cg_rate_ledger_find(l, limits->name);

	if (!a) {
		a = g_new0(struct cg_rate_ledger_account, 1);
		g_strlcpy(a->name, limits->name, sizeof(a->name));
		CDS_INIT_LIST_HEAD(&a->records);
		/* An account is freed only with a full pool, so refilling from
		 * the time when the ledger became active never yields more
		 * than the freed pool had. */
		cg_rate_bucket_init(&a->pool, l->active_at);
		a->pool.share.refill_right = limits->rate;
		a->pool.share.capacity = limits->burst;
		if (l->pools_start_full)
			a->pool.share.tokens = limits->burst;
		g_hash_table_insert(l->accounts, a->name, a);
	}
	if (a->rate != limits->rate || a->burst != limits->burst) {
		a->rate = limits->rate;
		a->burst = limits->burst;
		resize_pool(a, now);
	}
	return a;
}

void cg_rate_ledger_set_limits(struct cg_rate_ledger *l, cg_ms now,
			       const struct cg_rate_limits *limits)
{
	if (cg_rate_ledger_find(l, limits->name))
		get_account(l, now, limits);
}

static void update_totals(struct cg_rate_ledger_account *a,
			  const struct cg_rate_record *r, int sign)
{
	a->held_right += sign * cg_rate_record_refill_right(r);
	a->held_capacity += sign * (cg_rate_record_capacity(r) + r->withheld);
}

static void drop_record(struct cg_rate_ledger_account *a,
			struct cg_rate_record *r, cg_ms now)
{
	update_totals(a, r, -1);
	cds_list_del(&r->node);
	a->record_count--;
	g_free(r);
	resize_pool(a, now);
}

static void expire_records(struct cg_rate_ledger_account *a, cg_ms now)
{
	struct cg_rate_record *r, *next;

	cds_list_for_each_entry_safe(r, next, &a->records, node)
		if (r->lease_until != CG_MS_NEVER && now >= r->lease_until)
			drop_record(a, r, now);
}

static bool is_same_address(const struct sockaddr_in *a,
			    const struct sockaddr_in *b)
{
	return a->sin_port == b->sin_port &&
	       a->sin_addr.s_addr == b->sin_addr.s_addr;
}

/*
 * Finds the record of the process. A later incarnation at the same address
 * proves that the earlier process has ended, since the port can be bound only
 * once, so the earlier one's record is reclaimed. Sets @p outdated if the
 * requesting process is the earlier one.
 */
static struct cg_rate_record *find_record(struct cg_rate_ledger *l,
					  struct cg_rate_ledger_account *a,
					  const struct cg_rate_process *process,
					  cg_ms now, bool *outdated)
{
	struct cg_rate_record *r, *next, *found = NULL;

	cds_list_for_each_entry_safe(r, next, &a->records, node) {
		if (strcmp(r->holder.name, process->name) != 0)
			continue;
		if (r->holder.incarnation == process->incarnation) {
			found = r;
		} else if (!is_same_address(&r->holder.addr, &process->addr)) {
			continue;
		} else if (r->holder.incarnation < process->incarnation) {
			drop_record(a, r, now);
			l->reclaims++;
		} else {
			*outdated = true;
		}
	}
	return found;
}

static struct cg_rate_record *add_record(struct cg_rate_ledger_account *a,
					 const struct cg_rate_process *process,
					 uint64_t session, cg_ms now)
{
	struct cg_rate_record *r = g_new0(struct cg_rate_record, 1);

	r->holder = *process;
	r->session = session;
	r->lease_ms = CG_RATE_TOKEN_LEASE_MS;
	r->lease_until = now;
	r->last_seen_at = now;
	cds_list_add_tail(&r->node, &a->records);
	a->record_count++;
	return r;
}

/* Applies what the holder reports as released. The totals only rise, so a late
 * report never reverts a later one. */
static void apply_report(struct cg_rate_ledger_account *a,
			 struct cg_rate_record *r,
			 const struct cg_rate_token_request *request, cg_ms now)
{
	struct cg_rate_share tokens = { 0 };

	update_totals(a, r, -1);
	if (request->released.refill_right > r->released.refill_right)
		r->released.refill_right = request->released.refill_right;
	if (request->released.capacity > r->released.capacity)
		r->released.capacity = request->released.capacity;
	if (request->released.tokens > r->released.tokens) {
		tokens.tokens = request->released.tokens - r->released.tokens;
		r->released.tokens = request->released.tokens;
	}
	if (request->number >= r->number)
		r->withheld = 0;
	update_totals(a, r, 1);
	resize_pool(a, now);
	cg_rate_bucket_join(&a->pool, now, &tokens);
}

struct grant {
	struct cg_rate_share add;
	struct cg_rate_share target;
	int64_t demand_sum;
	bool denied;
};

static void compute_target(struct cg_rate_ledger_account *a,
			   const struct cg_rate_record *mine, cg_ms now,
			   struct grant *g)
{
	int64_t *demands = g_new(int64_t, a->record_count);
	struct cg_rate_demands d = { .rate = a->rate,
				     .burst = a->burst,
				     .demand = demands };
	struct cg_rate_record *r;

	cds_list_for_each_entry(r, &a->records, node) {
		if (r != mine && now - r->last_seen_at > REPORT_TIMEOUT_MS) {
			d.fixed_right += cg_rate_record_refill_right(r);
			d.fixed_capacity += cg_rate_record_capacity(r);
			continue;
		}
		g->demand_sum += r->demand;
		demands[d.n++] = r->demand;
	}
	cg_rate_policy_target(&d, mine->demand,
			      cg_rate_record_refill_right(mine) > 0,
			      &g->target);
	g_free(demands);
}

static int64_t increase_by(int64_t current, int64_t target, int64_t pool,
			   int64_t reserve)
{
	int64_t available = pool - reserve;
	int64_t add = target - current;

	if (available <= 0 || !cg_rate_policy_should_raise(current, target))
		return 0;
	return add < available ? add : available;
}

/* Computes the refill right and capacity to grant from the pool. */
static void add_target_share(struct cg_rate_ledger_account *a,
			     const struct cg_rate_record *r, struct grant *g)
{
	int64_t right = cg_rate_record_refill_right(r);
	int64_t cap = cg_rate_record_capacity(r);
	const struct cg_rate_share *p = &a->pool.share;
	int divisor = CG_RATE_RESERVE_DIVISOR;

	g->add.refill_right =
		increase_by(right, g->target.refill_right, p->refill_right,
			    right ? a->rate / divisor : 0);
	g->add.capacity = increase_by(cap, g->target.capacity, p->capacity,
				      right ? a->burst / divisor : 0);
	/* A refill right is useless without capacity for one request. */
	if (cap + g->add.capacity < CG_RATE_REQUEST_COST)
		g->add = (struct cg_rate_share){ 0 };
	g->add.tokens =
		cg_rate_fraction(p->tokens, g->add.capacity, p->capacity);
}

static int64_t min_i64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/* Buckets of holders overflow while other holders lack tokens, so less capacity
 * is granted ahead of demand when the pool has little. */
static bool has_spare_capacity(const struct cg_rate_ledger_account *a)
{
	return a->pool.share.capacity >= a->burst / 2;
}

/* Adds the tokens that the waiting requests lack, with the capacity for them. A
 * holder with continuing demand gets tokens for about a second, so that the
 * next requests need no message. */
static void add_needed_tokens(struct cg_rate_ledger_account *a,
			      const struct cg_rate_record *r, int64_t need,
			      struct grant *g)
{
	const struct cg_rate_share *p = &a->pool.share;
	int64_t cap = cg_rate_record_capacity(r) + g->add.capacity;
	int64_t minimum = need % CG_RATE_REQUEST_COST
				  ? need % CG_RATE_REQUEST_COST
				  : CG_RATE_REQUEST_COST;
	int64_t amount = need;
	int64_t extra_capacity;

	if (r->demand >= CG_RATE_HOLDING_MIN_DEMAND) {
		int64_t max_tokens =
			cap + (has_spare_capacity(a) ? p->capacity / 8 : 0);
		int64_t more =
			min_i64(r->demand, min_i64(p->tokens / 8, max_tokens));

		amount = more > amount ? more : amount;
	}
	extra_capacity = (amount + CG_RATE_REQUEST_COST - 1) /
				 CG_RATE_REQUEST_COST * CG_RATE_REQUEST_COST -
			 cap;
	if (extra_capacity > p->capacity - g->add.capacity)
		extra_capacity = (p->capacity - g->add.capacity) /
				 CG_RATE_REQUEST_COST * CG_RATE_REQUEST_COST;
	if (extra_capacity > 0)
		g->add.capacity += extra_capacity;
	amount = min_i64(amount, cg_rate_record_capacity(r) + g->add.capacity);
	amount = min_i64(amount, p->tokens);
	if (amount < minimum) {
		g->denied = true;
		return;
	}
	if (amount > g->add.tokens)
		g->add.tokens = amount;
}

static void apply_grant(struct cg_rate_ledger_account *a,
			struct cg_rate_record *r, const struct grant *g,
			cg_ms now)
{
	if (!g->add.refill_right && !g->add.capacity && !g->add.tokens)
		return;
	update_totals(a, r, -1);
	r->number++;
	r->granted.refill_right += g->add.refill_right;
	r->granted.capacity += g->add.capacity;
	r->granted.tokens += g->add.tokens;
	if (g->add.tokens > g->add.capacity)
		r->withheld = g->add.tokens - g->add.capacity;
	a->pool.share.tokens -= g->add.tokens;
	update_totals(a, r, 1);
	resize_pool(a, now);
}

/* Sets the record's lease, the time limit of what the holder was granted.
 * Without a refill right it is CG_RATE_TOKEN_LEASE_MS if the holder has some
 * capacity and its demand or the pool is low, else CG_RATE_FIRST_LEASE_MS. With
 * a refill right, a daemon in the list of daemons (@p listed) has
 * CG_RATE_FIRST_LEASE_MS until it confirms a grant, and no time limit after;
 * another daemon has unlisted_lease_ms. A running lease is never shortened, and
 * a record without a time limit stays without one. */
static void set_lease(struct cg_rate_ledger *l,
		      const struct cg_rate_ledger_account *a,
		      struct cg_rate_record *r, bool listed, bool confirmed,
		      cg_ms now)
{
	bool right = cg_rate_record_refill_right(r) > 0;
	cg_ms until;

	if (r->lease_until == CG_MS_NEVER)
		return;
	if (!right && cg_rate_record_capacity(r) > 0 &&
	    (r->demand < CG_RATE_HOLDING_MIN_DEMAND || !has_spare_capacity(a)))
		r->lease_ms = CG_RATE_TOKEN_LEASE_MS;
	else if (!right || (listed && !confirmed))
		r->lease_ms = CG_RATE_FIRST_LEASE_MS;
	else
		r->lease_ms = listed ? 0 : l->unlisted_lease_ms;
	if (!r->lease_ms) {
		r->lease_until = CG_MS_NEVER;
		return;
	}
	until = now + with_clock_margin(r->lease_ms);
	if (r->lease_until == CG_MS_NEVER || r->lease_until < until)
		r->lease_until = until;
}

/* Returns whether the pool has little more than its reserve. */
static bool is_low(int64_t pool, int64_t total)
{
	return pool < total / CG_RATE_RESERVE_DIVISOR + total / 32;
}

/* Requests that a holder without a time limit releases what exceeds its target,
 * if the difference is large enough. */
static void request_decrease(const struct cg_rate_ledger_account *a,
			     const struct cg_rate_record *r,
			     const struct grant *g, struct cg_rate_answer *out)
{
	bool right_is_low = is_low(a->pool.share.refill_right, a->rate);
	bool capacity_is_low = is_low(a->pool.share.capacity, a->burst);
	int64_t right = cg_rate_record_refill_right(r);
	int64_t cap = cg_rate_record_capacity(r);

	if (right <= 0 || r->lease_ms)
		return;
	if (!cg_rate_policy_should_lower(right, g->target.refill_right,
					 right_is_low) &&
	    !cg_rate_policy_should_lower(cap, g->target.capacity,
					 capacity_is_low))
		return;
	out->target_right =
		g->target.refill_right < right ? g->target.refill_right : right;
	out->target_capacity =
		g->target.capacity < cap ? g->target.capacity : cap;
}

/* Returns the delay before the next token request after the pool had too few
 * tokens: short if the pool refills or the holder should get more than it has,
 * long if the account's demand is above its rate and the holder has its
 * share. */
static cg_ms retry_after(const struct cg_rate_ledger_account *a,
			 const struct cg_rate_record *r, const struct grant *g)
{
	const struct cg_rate_share *p = &a->pool.share;
	int64_t right = cg_rate_record_refill_right(r);
	int64_t ms;

	if (g->demand_sum > a->rate || p->refill_right <= 0)
		return cg_rate_policy_should_raise(right,
						   g->target.refill_right)
			       ? RETRY_MAX_MS / 8
			       : RETRY_MAX_MS;
	ms = (CG_RATE_REQUEST_COST - p->tokens % CG_RATE_REQUEST_COST) * 1000 /
	     p->refill_right;
	return ms < RETRY_MIN_MS ? RETRY_MIN_MS : min_i64(ms, RETRY_MAX_MS);
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

static void answer_with_grant(struct cg_rate_ledger *l,
			      struct cg_rate_ledger_account *a,
			      struct cg_rate_record *r, bool listed,
			      bool confirmed,
			      const struct cg_rate_token_request *request,
			      cg_ms now, struct cg_rate_answer *out)
{
	struct grant g = { 0 };

	compute_target(a, r, now, &g);
	add_target_share(a, r, &g);
	if (request->need > 0)
		add_needed_tokens(a, r, request->need, &g);
	apply_grant(a, r, &g, now);
	set_lease(l, a, r, listed, confirmed, now);
	fill_answer(r, out);
	if (g.denied) {
		a->denied++;
		out->retry_ms = retry_after(a, r, &g);
	} else if (request->need <= 0) {
		request_decrease(a, r, &g, out);
	}
}

/* Answers a token request: grants what is due, repeats a grant whose answer was
 * lost, or ends the session. @p r is the holder's record or NULL. A session
 * named by the request is that of the record. */
static void answer_request(struct cg_rate_ledger *l,
			   struct cg_rate_ledger_account *a,
			   struct cg_rate_record *r,
			   const struct cg_rate_process *process, bool listed,
			   const struct cg_rate_token_request *request,
			   cg_ms now, struct cg_rate_answer *out)
{
	bool is_new;

	if (request->final && (!r || (request->number == r->number &&
				      !cg_rate_record_refill_right(r) &&
				      !cg_rate_record_capacity(r)))) {
		if (r)
			drop_record(a, r, now);
		out->status = CG_RATE_STATUS_CLOSED;
		return;
	}
	/* A holder that has no share left starts a new session: its record may
	 * have no time limit, while the new one has a lease, after which tokens
	 * for single requests return to the pool without a message. */
	if (r && request->session && request->number == r->number &&
	    !cg_rate_record_refill_right(r) && !cg_rate_record_capacity(r)) {
		drop_record(a, r, now);
		r = NULL;
	}
	is_new = !r;
	if (is_new)
		r = add_record(a, process,
			       cg_rate_survey_session(l->epoch) + ++l->sessions,
			       now);
	r->demand = request->demand;
	r->last_seen_at = now;
	if (!is_new && request->number < r->number) {
		/* The holder has not received the last grant: send the same
		 * one again. */
		set_lease(l, a, r, listed, false, now);
		fill_answer(r, out);
	} else {
		answer_with_grant(l, a, r, listed, !is_new, request, now, out);
	}
	/* A new record without a grant is not needed, unless the demand is
	 * large enough that other holders have to release something for it. */
	if (!r->number && r->demand < CG_RATE_HOLDING_MIN_DEMAND && is_new) {
		out->session = request->session;
		if (request->session)
			out->status = CG_RATE_STATUS_CLOSED;
		drop_record(a, r, now);
	}
}

void cg_rate_ledger_handle_request(struct cg_rate_ledger *l, cg_ms now,
				   const struct cg_rate_limits *limits,
				   const struct cg_rate_process *process,
				   bool listed,
				   const struct cg_rate_token_request *request,
				   struct cg_rate_answer *out)
{
	struct cg_rate_ledger_account *a;
	struct cg_rate_record *r;
	bool outdated = false;

	*out = (struct cg_rate_answer){ .session = request->session,
					.target_right = -1,
					.target_capacity = -1 };
	if (l->state != CG_RATE_LEDGER_ACTIVE) {
		out->status = l->state == CG_RATE_LEDGER_SURVEY
				      ? CG_RATE_STATUS_NOT_READY
				      : CG_RATE_STATUS_NOT_OWNER;
		return;
	}
	a = get_account(l, now, limits);
	a->requests++;
	a->requested_at = now;
	expire_records(a, now);
	r = find_record(l, a, process, now, &outdated);
	if (!request->session && r && r->session <= request->refused_up_to) {
		drop_record(a, r, now);
		r = NULL;
	}
	if (outdated ||
	    (request->session && (!r || r->session != request->session))) {
		out->status = CG_RATE_STATUS_CLOSED;
		return;
	}
	if (r && request->session)
		apply_report(a, r, request, now);
	answer_request(l, a, r, process, listed, request, now, out);
}

void cg_rate_ledger_reclaim(struct cg_rate_ledger *l, cg_ms now,
			    const char *name, uint64_t incarnation)
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

void cg_rate_ledger_reclaim_earlier(struct cg_rate_ledger *l, cg_ms now,
				    const struct cg_rate_process *by)
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
		expire_records(a, now);
		if (a->record_count)
			continue;
		cg_rate_bucket_refill(&a->pool, now);
		if (a->pool.share.tokens >= a->burst)
			g_hash_table_iter_remove(&it);
	}
}
