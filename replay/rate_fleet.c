/**
 * @file rate_fleet.c
 * Daemons of the rate replay: admission of requests, and token requests to
 * coordinators.
 */
#include "rate_fleet.h"

#include <string.h>

#include "celeryglade/rate_policy.h"

/* After this many unanswered token requests, a daemon sends the coordinator
 * none for SKIP_MS. */
#define MAX_FAILURES	       3
#define SKIP_MS		       200
#define REQUEST_OVERHEAD_BYTES 112 /* Envelope and fields before the items. */
#define ANSWER_OVERHEAD_BYTES  68

static struct rr_daemon *daemon_of(struct rr_fleet *f, int d)
{
	return &f->daemons[d];
}

struct rr_entry *rr_entry(struct rr_fleet *f, int d, int account)
{
	struct rr_daemon *m = daemon_of(f, d);
	struct rr_entry *e =
		g_hash_table_lookup(m->entries, GINT_TO_POINTER(account + 1));
	const struct cg_rate_limits *t = &f->limits[account];

	if (e)
		return e;
	e = g_new0(struct rr_entry, 1);
	cg_rate_holding_init(&e->holding, f->now,
			     m->refused_up_to[rr_shard(account)], t->rate,
			     t->burst);
	if (f->omitted == RR_EQUAL_SPLIT || f->omitted == RR_FULL_LOCAL) {
		int64_t divisor = f->omitted == RR_EQUAL_SPLIT ? f->n : 1;

		e->holding.bucket.share =
			(struct cg_rate_share){ t->rate / divisor,
						t->burst / divisor,
						t->burst / divisor };
	}
	g_hash_table_insert(m->entries, GINT_TO_POINTER(account + 1), e);
	return e;
}

/* Records a decision: 0: admitted; 1: refused because of the rate; 2:
 * unavailable, because no coordinator decided. */
static void record_decision(struct rr_fleet *f, int d, int account,
			    int decision)
{
	struct rr_result *o = f->out;

	o->hash =
		(o->hash ^ (uint64_t)(f->now * 8 + decision)) * 1099511628211U;
	o->hash = (o->hash ^ (uint64_t)(account * 1000 + d)) * 1099511628211U;
	if (decision == 0) {
		o->admitted++;
		o->accounts[account].admitted++;
		g_array_append_val(f->admitted[account], f->now);
	} else if (decision == 1) {
		o->refused++;
	} else {
		o->unavailable++;
	}
}

static size_t token_request_size(const struct rr_fleet *f,
				 const struct rr_msg *m)
{
	size_t name = (strlen(f->limits[m->account].name) + 7) / 4 * 4;

	return (m->header ? REQUEST_OVERHEAD_BYTES : 0) + name + 16 +
	       (m->request.session ? 36 : 8);
}

static size_t answer_size(const struct rr_msg *m)
{
	return (m->header ? ANSWER_OVERHEAD_BYTES : 0) + 8 +
	       (m->answer.status == CG_RATE_STATUS_OK	    ? 44
		: m->answer.status == CG_RATE_STATUS_CLOSED ? 8
							    : 0) +
	       (m->answer.target_right >= 0 ? 16 : 0);
}

/* Sends a token request to the coordinator in this daemon's map. If that is
 * this daemon, the request is handled at once. Returns whether it was sent. */
static bool send_token_request(struct rr_fleet *f, int d, int account,
			       bool batched)
{
	struct rr_daemon *m = daemon_of(f, d);
	struct rr_entry *e = rr_entry(f, d, account);
	int to = m->owner[rr_shard(account)].daemon;
	struct rr_msg *q;
	int64_t need = (int64_t)e->waiter_count * CG_RATE_REQUEST_COST;

	if (to < 0 || (to != d && f->now < m->skip_until[to] && !batched))
		return false;
	need -= e->waiter_count ? e->holding.bucket.share.tokens : 0;
	q = g_new0(struct rr_msg, 1);
	q->type = RR_TOKEN_REQUEST;
	q->from = d;
	q->to = to;
	q->account = account;
	q->sent = f->now;
	q->header = !batched || m->batched_at[to] != f->now;
	if (batched)
		m->batched_at[to] = f->now;
	cg_rate_holding_fill_request(&e->holding, f->now, need > 0 ? need : 0,
				     &q->request);
	if (f->omitted == RR_SMALL_HOLDINGS &&
	    q->request.demand < CG_RATE_HOLDING_MIN_DEMAND)
		q->request.demand = CG_RATE_HOLDING_MIN_DEMAND;
	e->in_flight = !batched;
	e->request_sent_at = f->now;
	rr_mark_changed(f, account);
	if (to == d) {
		q->from_incarnation = m->incarnation;
		q->to_incarnation = m->incarnation;
		rr_handle_token_request(f, q);
		g_free(q);
	} else {
		rr_send(f, q, token_request_size(f, q));
	}
	return true;
}

/* A holder that has capacity refuses because of the rate; any other daemon
 * cannot decide. */
static int decision_without_answer(const struct rr_entry *e)
{
	return e->holding.session && e->holding.bucket.share.capacity > 0 ? 1
									  : 2;
}

static void push_timeout(struct rr_fleet *f, int d, int account, cg_ms after)
{
	struct rr_msg *t = g_new0(struct rr_msg, 1);

	t->type = RR_TIMEOUT;
	t->at = f->now + after;
	t->to = d;
	t->to_incarnation = daemon_of(f, d)->incarnation;
	t->account = account;
	rr_push(f, t);
}

void rr_handle_arrival(struct rr_fleet *f, int d, int account)
{
	struct rr_daemon *m = daemon_of(f, d);
	struct rr_entry *e;

	/* Requests to a dead daemon fail before they reach celeryglade. */
	if (!m->alive)
		return;
	f->out->arrived++;
	f->out->accounts[account].arrived++;
	if (cg_rate_bucket_take(&f->ideal[account], f->now,
				CG_RATE_REQUEST_COST))
		f->out->accounts[account].ideal++;
	e = rr_entry(f, d, account);
	rr_mark_changed(f, account);
	switch (cg_rate_holding_admit(&e->holding, f->now)) {
	case CG_RATE_HOLDING_ADMIT:
		record_decision(f, d, account, 0);
		return;
	case CG_RATE_HOLDING_REFUSE:
		record_decision(f, d, account, 1);
		return;
	case CG_RATE_HOLDING_REQUEST:
		break;
	}
	if (f->omitted == RR_EQUAL_SPLIT || f->omitted == RR_FULL_LOCAL) {
		record_decision(f, d, account, 1);
		return;
	}
	if (!e->waiter_count++)
		e->wait_until = f->now + f->trace->wait;
	if (!e->in_flight && !send_token_request(f, d, account, false)) {
		e->waiter_count--;
		record_decision(f, d, account, decision_without_answer(e));
		return;
	}
	if (!e->waiter_count)
		return;
	push_timeout(f, d, account, f->trace->wait / 2);
	push_timeout(f, d, account, f->trace->wait);
}

void rr_handle_timeout(struct rr_fleet *f, int d, int account)
{
	struct rr_entry *e = rr_entry(f, d, account);
	int to = daemon_of(f, d)->owner[rr_shard(account)].daemon;

	rr_mark_changed(f, account);
	if (e->in_flight && f->now - e->request_sent_at >= f->trace->wait / 2) {
		e->in_flight = false;
		/* The request or its answer may be lost: retry. */
		if (e->waiter_count && f->now < e->wait_until &&
		    send_token_request(f, d, account, false))
			return;
		if (to >= 0 && ++daemon_of(f, d)->failures[to] >= MAX_FAILURES)
			daemon_of(f, d)->skip_until[to] = f->now + SKIP_MS;
	}
	if (!e->waiter_count || f->now < e->wait_until)
		return;
	for (; e->waiter_count; e->waiter_count--)
		record_decision(f, d, account, decision_without_answer(e));
}

/* Applies the decrease that the answer requests to the ledger as if the holder
 * had confirmed it. */
static void apply_unconfirmed_decrease(struct rr_fleet *f,
				       struct cg_rate_ledger *l,
				       const struct rr_msg *m,
				       const struct cg_rate_process *process,
				       const struct cg_rate_answer *a)
{
	struct cg_rate_ledger_account *acc =
		cg_rate_ledger_find(l, f->limits[m->account].name);
	struct cg_rate_token_request confirmation = m->request;
	struct cg_rate_answer ignored;
	struct cg_rate_record *r;

	cds_list_for_each_entry(r, &acc->records, node) {
		if (r->session != a->session)
			continue;
		confirmation.number = r->number;
		confirmation.released.refill_right =
			r->granted.refill_right - a->target_right;
		confirmation.released.capacity =
			r->granted.capacity - a->target_capacity;
		break;
	}
	cg_rate_ledger_handle_request(l, f->now, &f->limits[m->account],
				      process, true, &confirmation, &ignored);
}

static void answer_request(struct rr_fleet *f, struct rr_msg *m,
			   struct cg_rate_ledger *l, struct rr_msg *r)
{
	struct rr_daemon *self = daemon_of(f, m->to);
	struct cg_rate_ledger_account *a;
	struct cg_rate_record *rec;
	struct cg_rate_share granted_before = { 0 };
	struct cg_rate_process process;
	bool listed = m->from == m->to || self->view[m->from] == RR_VIEW_LIVE ||
		      f->omitted == RR_NO_LEASE;

	rr_process(f, m->from, &process);
	process.incarnation = m->from_incarnation;
	a = cg_rate_ledger_find(l, f->limits[m->account].name);
	if (a)
		cds_list_for_each_entry(rec, &a->records, node)
			if (!strcmp(rec->holder.name, process.name) &&
			    rec->holder.incarnation == process.incarnation) {
				granted_before = rec->granted;
				if (f->omitted == RR_NO_RETRY)
					m->request.number = rec->number;
			}
	cg_rate_ledger_handle_request(l, f->now, &f->limits[m->account],
				      &process, listed, &m->request,
				      &r->answer);
	r->delta.refill_right =
		r->answer.granted.refill_right - granted_before.refill_right;
	r->delta.capacity =
		r->answer.granted.capacity - granted_before.capacity;
	r->delta.tokens = r->answer.granted.tokens - granted_before.tokens;
	if (f->omitted == RR_NO_CONFIRM && r->answer.target_right >= 0)
		apply_unconfirmed_decrease(f, l, m, &process, &r->answer);
}

void rr_handle_token_request(struct rr_fleet *f, struct rr_msg *m)
{
	struct rr_daemon *self = daemon_of(f, m->to);
	struct cg_rate_ledger *l = self->ledgers[rr_shard(m->account)];
	struct rr_msg *r = g_new0(struct rr_msg, 1);

	self->last_seen_at[m->from] = f->now;
	rr_mark_changed(f, m->account);
	r->type = RR_ANSWER;
	r->from = m->to;
	r->to = m->from;
	r->to_incarnation = m->from_incarnation;
	r->account = m->account;
	r->sent = m->sent;
	r->header = m->header;
	r->answer.target_right = -1;
	r->answer.session = m->request.session;
	if (l)
		answer_request(f, m, l, r);
	else
		r->answer.status = CG_RATE_STATUS_NOT_OWNER;
	if (m->from == m->to) {
		rr_handle_answer(f, r);
		g_free(r);
	} else {
		rr_send(f, r, answer_size(r));
	}
}

static void serve_waiters(struct rr_fleet *f, int d, int account,
			  struct rr_entry *e)
{
	while (e->waiter_count &&
	       cg_rate_holding_admit_waiting(&e->holding, f->now)) {
		e->waiter_count--;
		record_decision(f, d, account, 0);
	}
}

static void refuse_waiters(struct rr_fleet *f, int d, int account,
			   struct rr_entry *e, enum cg_rate_status status)
{
	for (; e->waiter_count; e->waiter_count--)
		record_decision(f, d, account,
				status == CG_RATE_STATUS_OK ||
						status == CG_RATE_STATUS_CLOSED
					? 1
					: decision_without_answer(e));
}

void rr_handle_answer(struct rr_fleet *f, const struct rr_msg *m)
{
	struct rr_entry *e = rr_entry(f, m->to, m->account);

	daemon_of(f, m->to)->skip_until[m->from] = 0;
	daemon_of(f, m->to)->failures[m->from] = 0;
	rr_mark_changed(f, m->account);
	/* Without numbers the holder cannot recognize a duplicate grant. */
	if (f->omitted == RR_NO_NUMBERS &&
	    m->answer.session == e->holding.session &&
	    m->answer.number == e->holding.number && m->answer.number)
		cg_rate_bucket_join(&e->holding.bucket, f->now, &m->delta);
	cg_rate_holding_apply_answer(&e->holding, f->now, m->sent, &m->answer);
	if (m->sent == e->request_sent_at)
		e->in_flight = false;
	serve_waiters(f, m->to, m->account, e);
	/* The need does not include requests that arrived after the token
	 * request was sent. */
	if (e->waiter_count && !e->in_flight && !m->answer.retry_ms &&
	    m->answer.status != CG_RATE_STATUS_NOT_READY &&
	    m->answer.status != CG_RATE_STATUS_NOT_OWNER &&
	    send_token_request(f, m->to, m->account, false))
		return;
	refuse_waiters(f, m->to, m->account, e, m->answer.status);
}

static void tick_entries(struct rr_fleet *f, int d)
{
	struct rr_daemon *m = daemon_of(f, d);
	GHashTableIter it;
	gpointer key;
	struct rr_entry *e;

	g_hash_table_iter_init(&it, m->entries);
	while (g_hash_table_iter_next(&it, &key, (void **)&e)) {
		int account = GPOINTER_TO_INT(key) - 1;
		uint64_t *refused_up_to = &m->refused_up_to[rr_shard(account)];

		if (cg_rate_holding_report_due(&e->holding, f->now)) {
			send_token_request(f, d, account, true);
		} else if (!e->waiter_count && !e->in_flight &&
			   cg_rate_holding_unused(&e->holding, f->now)) {
			if (e->holding.refused_up_to > *refused_up_to)
				*refused_up_to = e->holding.refused_up_to;
			g_hash_table_iter_remove(&it);
		}
	}
}

static void tick_ledger(struct rr_fleet *f, int d, int shard)
{
	struct rr_daemon *m = daemon_of(f, d);
	struct cg_rate_ledger *l = m->ledgers[shard];

	if (!l)
		return;
	for (int s = 0; s < f->n; s++) {
		const char *name = f->daemons[s].name;
		bool silent = f->omitted == RR_NO_PROOF && s != d &&
			      f->now - m->last_seen_at[s] > 3000;
		struct cg_rate_process process;

		if (m->view[s] == RR_VIEW_GONE || silent)
			cg_rate_ledger_reclaim(l, f->now, name, 0);
		if (m->known_incarnation[s] < f->daemons[s].incarnation) {
			rr_process(f, s, &process);
			cg_rate_ledger_reclaim_earlier(l, f->now, &process);
		}
	}
	if (l->state == CG_RATE_LEDGER_SURVEY)
		rr_run_survey(f, d, shard);
	cg_rate_ledger_tick(l, f->now);
}

void rr_handle_tick(struct rr_fleet *f, int d)
{
	struct rr_daemon *m = daemon_of(f, d);

	if (f->omitted != RR_EQUAL_SPLIT && f->omitted != RR_FULL_LOCAL) {
		tick_entries(f, d);
		for (int s = 0; s < RR_SHARDS; s++)
			tick_ledger(f, d, s);
	}
	for (int s = 0; s < f->n; s++)
		m->known_incarnation[s] = f->daemons[s].incarnation;
}
