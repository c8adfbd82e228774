/**
 * @file rate_fleet.c
 * Daemons of the rate replay: admission of requests and asks to coordinators.
 */
#include "rate_fleet.h"

#include <string.h>

#include "celeryglade/rate_policy.h"

/* A coordinator that did not answer three asks is left alone for a while. */
#define FAILURES    3
#define SILENT_MS   200
#define FRAME_ASK   112 /* Envelope and the part before the items. */
#define FRAME_REPLY 68

static struct rr_daemon *daemon_of(struct rr_fleet *f, int d)
{
	return &f->daemons[d];
}

struct rr_entry *rr_entry(struct rr_fleet *f, int d, int account)
{
	struct rr_daemon *m = daemon_of(f, d);
	struct rr_entry *e =
		g_hash_table_lookup(m->entries, GINT_TO_POINTER(account + 1));
	const struct cg_rate_terms *t = &f->terms[account];

	if (e)
		return e;
	e = g_new0(struct rr_entry, 1);
	cg_rate_holding_init(&e->h, f->now, m->past[rr_shard(account)], t->rate,
			     t->burst);
	if (f->brk == RR_EQUAL_SPLIT || f->brk == RR_FULL_LOCAL) {
		int64_t part = f->brk == RR_EQUAL_SPLIT ? f->n : 1;

		e->h.bucket.have =
			(struct cg_rate_share){ t->rate / part, t->burst / part,
						t->burst / part };
	}
	g_hash_table_insert(m->entries, GINT_TO_POINTER(account + 1), e);
	return e;
}

static void decide(struct rr_fleet *f, int d, int account, int verdict)
{
	struct rr_result *o = f->out;

	o->hash = (o->hash ^ (uint64_t)(f->now * 8 + verdict)) * 1099511628211U;
	o->hash = (o->hash ^ (uint64_t)(account * 1000 + d)) * 1099511628211U;
	if (verdict == 0) {
		o->admitted++;
		o->accounts[account].admitted++;
		g_array_append_val(f->admitted[account], f->now);
	} else if (verdict == 1) {
		o->refused++;
	} else {
		o->unavailable++;
	}
}

static size_t ask_size(const struct rr_fleet *f, const struct rr_msg *m)
{
	size_t name = (strlen(f->terms[m->account].name) + 7) / 4 * 4;

	return (m->header ? FRAME_ASK : 0) + name + 16 +
	       (m->ask.session ? 36 : 8);
}

static size_t answer_size(const struct rr_msg *m)
{
	return (m->header ? FRAME_REPLY : 0) + 8 +
	       (m->answer.status == CG_RATE_STATUS_OK	    ? 44
		: m->answer.status == CG_RATE_STATUS_CLOSED ? 8
							    : 0) +
	       (m->answer.keep_right >= 0 ? 16 : 0);
}

/* Sends an ask to the coordinator in this daemon's map, at once if it is this
 * daemon. Returns whether it was sent. */
static bool send_ask(struct rr_fleet *f, int d, int account, bool batched)
{
	struct rr_daemon *m = daemon_of(f, d);
	struct rr_entry *e = rr_entry(f, d, account);
	int to = m->owner[rr_shard(account)].daemon;
	struct rr_msg *q;
	int64_t need = (int64_t)e->waiting * CG_RATE_ONE;

	if (to < 0 || (to != d && f->now < m->silent_until[to] && !batched))
		return false;
	need -= e->waiting ? e->h.bucket.have.tokens : 0;
	q = g_new0(struct rr_msg, 1);
	q->type = RR_ASK;
	q->from = d;
	q->to = to;
	q->account = account;
	q->sent = f->now;
	q->header = !batched || m->batched_at[to] != f->now;
	if (batched)
		m->batched_at[to] = f->now;
	cg_rate_holding_ask(&e->h, f->now, need > 0 ? need : 0, &q->ask);
	if (f->brk == RR_HOLD_SMALL && q->ask.demand < CG_RATE_HOLDING_DEMAND)
		q->ask.demand = CG_RATE_HOLDING_DEMAND;
	e->in_flight = !batched;
	e->flight_at = f->now;
	rr_touch(f, account);
	if (to == d) {
		q->from_incarnation = m->incarnation;
		q->to_incarnation = m->incarnation;
		rr_on_ask(f, q);
		g_free(q);
	} else {
		rr_send(f, q, ask_size(f, q));
	}
	return true;
}

static int verdict_without_answer(const struct rr_entry *e)
{
	return e->h.session && e->h.bucket.have.cap > 0 ? 1 : 2;
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

void rr_arrive(struct rr_fleet *f, int d, int account)
{
	struct rr_daemon *m = daemon_of(f, d);
	struct rr_entry *e;

	/* What reaches a dead daemon fails without celeryglade. */
	if (!m->alive)
		return;
	f->out->arrived++;
	f->out->accounts[account].arrived++;
	if (cg_rate_bucket_take(&f->ideal[account], f->now, CG_RATE_ONE))
		f->out->accounts[account].ideal++;
	e = rr_entry(f, d, account);
	rr_touch(f, account);
	switch (cg_rate_holding_take(&e->h, f->now)) {
	case CG_RATE_TAKE_ADMIT:
		decide(f, d, account, 0);
		return;
	case CG_RATE_TAKE_REFUSE:
		decide(f, d, account, 1);
		return;
	case CG_RATE_TAKE_ASK:
		break;
	}
	if (f->brk == RR_EQUAL_SPLIT || f->brk == RR_FULL_LOCAL) {
		decide(f, d, account, 1);
		return;
	}
	if (!e->waiting++)
		e->wait_until = f->now + f->trace->wait;
	if (!e->in_flight && !send_ask(f, d, account, false)) {
		e->waiting--;
		decide(f, d, account, verdict_without_answer(e));
		return;
	}
	if (!e->waiting)
		return;
	push_timeout(f, d, account, f->trace->wait / 2);
	push_timeout(f, d, account, f->trace->wait);
}

void rr_timeout(struct rr_fleet *f, int d, int account)
{
	struct rr_entry *e = rr_entry(f, d, account);
	int to = daemon_of(f, d)->owner[rr_shard(account)].daemon;

	rr_touch(f, account);
	if (e->in_flight && f->now - e->flight_at >= f->trace->wait / 2) {
		e->in_flight = false;
		/* The ask or its answer may be lost: once more. */
		if (e->waiting && f->now < e->wait_until &&
		    send_ask(f, d, account, false))
			return;
		if (to >= 0 && ++daemon_of(f, d)->failures[to] >= FAILURES)
			daemon_of(f, d)->silent_until[to] = f->now + SILENT_MS;
	}
	if (!e->waiting || f->now < e->wait_until)
		return;
	for (; e->waiting; e->waiting--)
		decide(f, d, account, verdict_without_answer(e));
}

/* Books the decrease that the answer asks for as if it had been done. */
static void book_unconfirmed(struct rr_fleet *f, struct cg_rate_ledger *l,
			     const struct rr_msg *m,
			     const struct cg_rate_party *who,
			     const struct cg_rate_answer *a)
{
	struct cg_rate_ledger_account *acc =
		cg_rate_ledger_find(l, f->terms[m->account].name);
	struct cg_rate_ask fake = m->ask;
	struct cg_rate_answer ignored;
	struct cg_rate_record *r;

	cds_list_for_each_entry(r, &acc->records, node) {
		if (r->session != a->session)
			continue;
		fake.number = r->number;
		fake.released.right = r->granted.right - a->keep_right;
		fake.released.cap = r->granted.cap - a->keep_cap;
		break;
	}
	cg_rate_ledger_ask(l, f->now, &f->terms[m->account], who, true, &fake,
			   &ignored);
}

static void coordinate(struct rr_fleet *f, struct rr_msg *m,
		       struct cg_rate_ledger *l, struct rr_msg *r)
{
	struct rr_daemon *self = daemon_of(f, m->to);
	struct cg_rate_ledger_account *a;
	struct cg_rate_record *rec;
	struct cg_rate_share before = { 0 };
	struct cg_rate_party who;
	bool listed = m->from == m->to || self->view[m->from] == RR_VIEW_LIVE ||
		      f->brk == RR_NO_LEASE;

	rr_party(f, m->from, &who);
	who.incarnation = m->from_incarnation;
	a = cg_rate_ledger_find(l, f->terms[m->account].name);
	if (a)
		cds_list_for_each_entry(rec, &a->records, node)
			if (!strcmp(rec->holder.name, who.name) &&
			    rec->holder.incarnation == who.incarnation) {
				before = rec->granted;
				if (f->brk == RR_NO_REPEAT)
					m->ask.number = rec->number;
			}
	cg_rate_ledger_ask(l, f->now, &f->terms[m->account], &who, listed,
			   &m->ask, &r->answer);
	r->delta.right = r->answer.granted.right - before.right;
	r->delta.cap = r->answer.granted.cap - before.cap;
	r->delta.tokens = r->answer.granted.tokens - before.tokens;
	if (f->brk == RR_NO_CONFIRM && r->answer.keep_right >= 0)
		book_unconfirmed(f, l, m, &who, &r->answer);
}

void rr_on_ask(struct rr_fleet *f, struct rr_msg *m)
{
	struct rr_daemon *self = daemon_of(f, m->to);
	struct cg_rate_ledger *l = self->ledgers[rr_shard(m->account)];
	struct rr_msg *r = g_new0(struct rr_msg, 1);

	self->heard_at[m->from] = f->now;
	rr_touch(f, m->account);
	r->type = RR_ANSWER;
	r->from = m->to;
	r->to = m->from;
	r->to_incarnation = m->from_incarnation;
	r->account = m->account;
	r->sent = m->sent;
	r->header = m->header;
	r->answer.keep_right = -1;
	r->answer.session = m->ask.session;
	if (l)
		coordinate(f, m, l, r);
	else
		r->answer.status = CG_RATE_STATUS_NOT_OWNER;
	if (m->from == m->to) {
		rr_on_answer(f, r);
		g_free(r);
	} else {
		rr_send(f, r, answer_size(r));
	}
}

static void serve_waiters(struct rr_fleet *f, int d, int account,
			  struct rr_entry *e)
{
	while (e->waiting && cg_rate_holding_take_waiting(&e->h, f->now)) {
		e->waiting--;
		decide(f, d, account, 0);
	}
}

static void refuse_waiters(struct rr_fleet *f, int d, int account,
			   struct rr_entry *e, enum cg_rate_status status)
{
	for (; e->waiting; e->waiting--)
		decide(f, d, account,
		       status == CG_RATE_STATUS_OK ||
				       status == CG_RATE_STATUS_CLOSED
			       ? 1
			       : verdict_without_answer(e));
}

void rr_on_answer(struct rr_fleet *f, const struct rr_msg *m)
{
	struct rr_entry *e = rr_entry(f, m->to, m->account);

	daemon_of(f, m->to)->silent_until[m->from] = 0;
	daemon_of(f, m->to)->failures[m->from] = 0;
	rr_touch(f, m->account);
	/* Without numbers the holder cannot tell a doubled grant. */
	if (f->brk == RR_NO_NUMBERS && m->answer.session == e->h.session &&
	    m->answer.number == e->h.number && m->answer.number)
		cg_rate_bucket_join(&e->h.bucket, f->now, &m->delta);
	cg_rate_holding_apply(&e->h, f->now, m->sent, &m->answer);
	if (m->sent == e->flight_at)
		e->in_flight = false;
	serve_waiters(f, m->to, m->account, e);
	/* Requests that came after the ask was sent are not in its need. */
	if (e->waiting && !e->in_flight && !m->answer.retry_ms &&
	    m->answer.status != CG_RATE_STATUS_NOT_READY &&
	    m->answer.status != CG_RATE_STATUS_NOT_OWNER &&
	    send_ask(f, m->to, m->account, false))
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
		uint64_t *past = &m->past[rr_shard(account)];

		if (cg_rate_holding_due(&e->h, f->now)) {
			send_ask(f, d, account, true);
		} else if (!e->waiting && !e->in_flight &&
			   cg_rate_holding_unused(&e->h, f->now)) {
			if (e->h.past_session > *past)
				*past = e->h.past_session;
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
		bool silent = f->brk == RR_NO_PROOF && s != d &&
			      f->now - m->heard_at[s] > 3000;
		struct cg_rate_party who;

		if (m->view[s] == RR_VIEW_GONE || silent)
			cg_rate_ledger_gone(l, f->now, name, 0);
		if (m->seen[s] < f->daemons[s].incarnation) {
			rr_party(f, s, &who);
			cg_rate_ledger_superseded(l, f->now, &who);
		}
	}
	if (l->state == CG_RATE_LEDGER_SURVEY)
		rr_drive_survey(f, d, shard);
	cg_rate_ledger_tick(l, f->now);
}

void rr_tick(struct rr_fleet *f, int d)
{
	struct rr_daemon *m = daemon_of(f, d);

	if (f->brk != RR_EQUAL_SPLIT && f->brk != RR_FULL_LOCAL) {
		tick_entries(f, d);
		for (int s = 0; s < RR_SHARDS; s++)
			tick_ledger(f, d, s);
	}
	for (int s = 0; s < f->n; s++)
		m->seen[s] = f->daemons[s].incarnation;
}
