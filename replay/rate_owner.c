/**
 * @file rate_owner.c
 * Coordinators of the rate replay: surveys, map changes and handovers. The
 * owner of a shard is the daemon that the shard map names as its coordinator.
 */
#include "rate_fleet.h"

#include <string.h>

/* Maximum time until holders confirm a lower rate: covers a freeze, a partition
 * and the longest retry delay of a token request. */
#define CONFIRM_MS 30000

/* Returns this daemon's holdings of the shard. Grants of earlier epochs are
 * refused from now on. */
static GArray *move_holdings_to_epoch(struct rr_fleet *f, int d, int shard,
				      uint64_t epoch)
{
	struct rr_daemon *m = &f->daemons[d];
	GArray *items =
		g_array_new(FALSE, FALSE, sizeof(struct rr_survey_item));
	GHashTableIter it;
	gpointer key;
	struct rr_entry *e;

	if (m->refused_up_to[shard] < cg_rate_survey_session(epoch))
		m->refused_up_to[shard] = cg_rate_survey_session(epoch);
	g_hash_table_iter_init(&it, m->entries);
	while (g_hash_table_iter_next(&it, &key, (void **)&e)) {
		struct rr_survey_item h = { .account =
						    GPOINTER_TO_INT(key) - 1 };

		if (rr_shard(h.account) != shard ||
		    !cg_rate_holding_move_to_epoch(&e->holding, f->now, epoch))
			continue;
		h.granted = e->holding.granted;
		h.released = e->holding.released;
		g_array_append_val(items, h);
	}
	return items;
}

void rr_handle_survey(struct rr_fleet *f, const struct rr_msg *m)
{
	struct rr_daemon *self = &f->daemons[m->to];
	int shard = m->account;
	struct rr_msg *r;

	if (m->epoch < self->survey_epoch[shard])
		return;
	self->survey_epoch[shard] = m->epoch;
	/* If this daemon is an earlier coordinator, it stops granting now. */
	if (self->ledgers[shard] && self->ledgers[shard]->epoch < m->epoch) {
		cg_rate_ledger_free(self->ledgers[shard]);
		self->ledgers[shard] = NULL;
	}
	r = g_new0(struct rr_msg, 1);
	r->type = RR_SURVEY_ANSWER;
	r->from = m->to;
	r->to = m->from;
	r->to_incarnation = m->from_incarnation;
	r->account = shard;
	r->epoch = m->epoch;
	r->survey_items = move_holdings_to_epoch(f, m->to, shard, m->epoch);
	rr_send(f, r, 100 + r->survey_items->len * 64);
}

void rr_handle_survey_answer(struct rr_fleet *f, const struct rr_msg *m)
{
	struct cg_rate_ledger *l = f->daemons[m->to].ledgers[m->account];
	struct cg_rate_process process;

	if (!l || l->epoch != m->epoch)
		return;
	rr_process(f, m->from, &process);
	process.incarnation = m->from_incarnation;
	for (guint i = 0; i < m->survey_items->len; i++) {
		const struct rr_survey_item *h = &g_array_index(
			m->survey_items, struct rr_survey_item, i);

		cg_rate_ledger_survey_add(l, f->now, &f->limits[h->account],
					  &process, &h->granted, &h->released);
	}
	cg_rate_ledger_survey_done(l, &process);
}

void rr_run_survey(struct rr_fleet *f, int d, int shard)
{
	struct rr_daemon *m = &f->daemons[d];
	struct cg_rate_ledger *l = m->ledgers[shard];
	bool all = true;

	for (int s = 0; s < f->n; s++) {
		struct rr_msg *q;

		if (s == d || m->view[s] == RR_VIEW_UNKNOWN ||
		    m->view[s] == RR_VIEW_GONE ||
		    cg_rate_ledger_survey_answered(l, f->daemons[s].name,
						   f->daemons[s].incarnation))
			continue;
		all = false;
		q = g_new0(struct rr_msg, 1);
		q->type = RR_SURVEY;
		q->from = d;
		q->to = s;
		q->account = shard;
		q->epoch = l->epoch;
		rr_send(f, q, 150);
	}
	cg_rate_ledger_survey_check(l, f->now, all);
}

void rr_start_ledger(struct rr_fleet *f, int d, int shard, bool first)
{
	struct rr_daemon *m = &f->daemons[d];
	struct cg_rate_process process;
	struct cg_rate_ledger *l;
	GArray *own;

	l = cg_rate_ledger_new((uint32_t)shard, m->owner[shard].epoch,
			       first || f->omitted == RR_NO_SURVEY,
			       f->trace->unlisted_lease, f->now);
	cg_rate_ledger_free(m->ledgers[shard]);
	m->ledgers[shard] = l;
	if (l->state != CG_RATE_LEDGER_SURVEY)
		return;
	rr_process(f, d, &process);
	own = move_holdings_to_epoch(f, d, shard, l->epoch);
	for (guint i = 0; i < own->len; i++) {
		const struct rr_survey_item *h =
			&g_array_index(own, struct rr_survey_item, i);

		cg_rate_ledger_survey_add(l, f->now, &f->limits[h->account],
					  &process, &h->granted, &h->released);
	}
	g_array_free(own, TRUE);
	cg_rate_ledger_survey_done(l, &process);
}

void rr_handle_map(struct rr_fleet *f, const struct rr_msg *m)
{
	struct rr_daemon *self = &f->daemons[m->to];
	int shard = m->account;

	if (m->epoch <= self->owner[shard].epoch)
		return;
	self->owner[shard].daemon = m->from;
	self->owner[shard].epoch = m->epoch;
	if (self->ledgers[shard] && m->from != m->to &&
	    self->ledgers[shard]->epoch < m->epoch) {
		cg_rate_ledger_free(self->ledgers[shard]);
		self->ledgers[shard] = NULL;
	}
	/* In RR_MAP, "sent" is nonzero if the previous owner hands over its
	 * ledger. */
	if (m->from == m->to && !m->sent)
		rr_start_ledger(f, m->to, shard, false);
}

void rr_handle_handover(struct rr_fleet *f, struct rr_msg *m)
{
	struct cg_rate_ledger *old = m->ledger, *l;
	struct cg_rate_ledger_account *a;
	struct cg_rate_record *r;
	GHashTableIter it;

	f->daemons[m->to].owner[m->account] =
		(struct rr_owner){ m->to, m->epoch };
	l = cg_rate_ledger_new((uint32_t)m->account, m->epoch, false,
			       f->trace->unlisted_lease, f->now);
	l->active_at = old->active_at;
	l->pools_start_full = old->pools_start_full;
	g_hash_table_iter_init(&it, old->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&a)) {
		struct cg_rate_limits t = { a->name, a->rate, a->burst };

		cg_rate_ledger_import_pool(l, f->now, &t, a->pool.share.tokens);
		cds_list_for_each_entry(r, &a->records, node)
			cg_rate_ledger_import(l, f->now, &t, r);
	}
	cg_rate_ledger_import_done(l, f->now);
	cg_rate_ledger_free(f->daemons[m->to].ledgers[m->account]);
	f->daemons[m->to].ledgers[m->account] = l;
}

/* Publishes a map with @p owner as the shard's owner. Daemons receive it within
 * 500 ms. */
static void publish_map(struct rr_fleet *f, int shard, int owner,
			bool handed_over)
{
	uint64_t epoch = ++f->next_epoch;

	for (int d = 0; d < f->n; d++) {
		struct rr_msg *m = g_new0(struct rr_msg, 1);

		m->type = RR_MAP;
		m->at = f->now + (cg_ms)rr_random(f, 500);
		m->from = owner;
		m->to = d;
		m->to_incarnation = f->daemons[d].incarnation;
		m->account = shard;
		m->epoch = epoch;
		m->sent = handed_over;
		rr_push(f, m);
	}
}

static void hand_over(struct rr_fleet *f, int shard, int to)
{
	for (int d = 0; d < f->n; d++) {
		struct cg_rate_ledger *l = f->daemons[d].ledgers[shard];
		struct rr_msg *m;

		if (!l || !f->daemons[d].alive ||
		    l->state != CG_RATE_LEDGER_ACTIVE)
			continue;
		publish_map(f, shard, to, true);
		l->state = CG_RATE_LEDGER_CLOSED;
		f->daemons[d].ledgers[shard] = NULL;
		m = g_new0(struct rr_msg, 1);
		m->type = RR_HANDOVER;
		m->at = f->now + f->trace->delay_max;
		m->to = to;
		m->to_incarnation = f->daemons[to].incarnation;
		m->account = shard;
		m->epoch = f->next_epoch;
		m->ledger = l;
		rr_push(f, m);
		return;
	}
}

static void set_views(struct rr_fleet *f, int subject, enum rr_view v)
{
	for (int d = 0; d < f->n; d++)
		if (d != subject)
			f->daemons[d].view[subject] = (uint8_t)v;
}

static void stop_daemon(struct rr_fleet *f, int d)
{
	struct rr_daemon *m = &f->daemons[d];

	m->alive = false;
	m->frozen = false;
	g_hash_table_remove_all(m->entries);
	memset(m->refused_up_to, 0, sizeof(m->refused_up_to));
	memset(m->survey_epoch, 0, sizeof(m->survey_epoch));
	for (int s = 0; s < RR_SHARDS; s++) {
		cg_rate_ledger_free(m->ledgers[s]);
		m->ledgers[s] = NULL;
	}
}

static void change_rate(struct rr_fleet *f, const struct rr_event *e)
{
	struct cg_rate_limits *t = &f->limits[e->a];

	/* The sum may exceed a lower rate until holders have confirmed it. */
	if (f->now >= f->allowed_until[e->a])
		f->allowed[e->a] = *t;
	f->allowed[e->a].rate = MAX(f->allowed[e->a].rate, t->rate);
	f->allowed[e->a].burst = MAX(f->allowed[e->a].burst, t->burst);
	f->allowed_until[e->a] = f->now + CONFIRM_MS;
	t->rate = e->b * 1000;
	t->burst = e->c * 1000;
	cg_rate_bucket_resize(&f->ideal[e->a], f->now, t->rate, t->burst);
	for (int d = 0; d < f->n; d++) {
		struct cg_rate_ledger *l =
			f->daemons[d].ledgers[rr_shard((int)e->a)];
		struct rr_entry *entry = g_hash_table_lookup(
			f->daemons[d].entries, GINT_TO_POINTER((int)e->a + 1));

		if (l && l->state == CG_RATE_LEDGER_ACTIVE)
			cg_rate_ledger_set_limits(l, f->now, t);
		if (entry && !f->daemons[d].frozen)
			cg_rate_holding_set_limits(&entry->holding, f->now,
						   t->rate, t->burst);
	}
}

/* Without a shard map, each side of a partition chooses its own owner: the
 * daemons from the new owner on use it, the others keep the old one. */
static void split_owner(struct rr_fleet *f, const struct rr_event *e)
{
	int owner = (int)e->b, shard = (int)e->a;

	if (f->omitted != RR_NO_MAP)
		return;
	for (int d = owner; d < f->n; d++) {
		f->daemons[d].owner[shard].daemon = owner;
		f->daemons[d].owner[shard].epoch = 2;
	}
	rr_start_ledger(f, owner, shard, true);
}

static void thaw(struct rr_fleet *f, int d)
{
	struct rr_daemon *m = &f->daemons[d];

	GHashTableIter it;
	gpointer key;
	struct rr_entry *entry;

	m->frozen = false;
	g_hash_table_iter_init(&it, m->entries);
	while (g_hash_table_iter_next(&it, &key, (void **)&entry)) {
		struct cg_rate_limits *t = &f->limits[GPOINTER_TO_INT(key) - 1];

		cg_rate_holding_set_limits(&entry->holding, f->now, t->rate,
					   t->burst);
	}
	for (guint i = 0; i < m->deferred->len; i++) {
		struct rr_msg *q = g_ptr_array_index(m->deferred, i);

		q->at = f->now;
		rr_push(f, q);
	}
	g_ptr_array_set_size(m->deferred, 0);
}

static void set_blocked(struct rr_fleet *f, int from, int to, bool on)
{
	f->blocked[from * RR_MAX_DAEMONS + to] = on;
}

void rr_apply_event(struct rr_fleet *f, const struct rr_event *e)
{
	struct rr_daemon *m = &f->daemons[e->a < f->n ? e->a : 0];
	const char *v = e->verb;

	if (!strcmp(v, "freeze")) {
		m->frozen = true;
	} else if (!strcmp(v, "thaw")) {
		thaw(f, (int)e->a);
	} else if (!strcmp(v, "kill")) {
		stop_daemon(f, (int)e->a);
	} else if (!strcmp(v, "restart") || !strcmp(v, "join")) {
		stop_daemon(f, (int)e->a);
		m->alive = true;
		m->incarnation++;
		if (v[0] == 'j')
			set_views(f, (int)e->a, RR_VIEW_UNLISTED);
	} else if (!strcmp(v, "absent")) {
		stop_daemon(f, (int)e->a);
		set_views(f, (int)e->a, RR_VIEW_UNKNOWN);
	} else if (!strcmp(v, "listed")) {
		set_views(f, (int)e->a, RR_VIEW_LIVE);
	} else if (!strcmp(v, "gone")) {
		set_views(f, (int)e->a, RR_VIEW_GONE);
	} else if (!strcmp(v, "view")) {
		m->view[e->b] = (uint8_t)e->c;
	} else if (!strcmp(v, "block")) {
		set_blocked(f, (int)e->a, (int)e->b, true);
	} else if (!strcmp(v, "unblock")) {
		set_blocked(f, (int)e->a, (int)e->b, false);
	} else if (!strcmp(v, "takeover")) {
		publish_map(f, (int)e->a, (int)e->b, false);
	} else if (!strcmp(v, "handover")) {
		hand_over(f, (int)e->a, (int)e->b);
	} else if (!strcmp(v, "split")) {
		split_owner(f, e);
	} else if (!strcmp(v, "rate")) {
		change_rate(f, e);
	} else {
		fprintf(stderr, "unknown trace event %s\n", v);
		abort();
	}
}
