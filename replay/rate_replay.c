/**
 * @file rate_replay.c
 * Event queue, message delivery and main loop of the rate replay.
 */
#include "rate_fleet.h"

#include <string.h>

#include <math.h>

#define TICK_MS 250

static bool is_earlier(const struct rr_msg *a, const struct rr_msg *b)
{
	return a->at < b->at || (a->at == b->at && a->order < b->order);
}

void rr_push(struct rr_fleet *f, struct rr_msg *m)
{
	guint i = f->queue->len;

	m->order = f->order++;
	g_ptr_array_add(f->queue, m);
	while (i && is_earlier(m, f->queue->pdata[(i - 1) / 2])) {
		f->queue->pdata[i] = f->queue->pdata[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	f->queue->pdata[i] = m;
}

struct rr_msg *rr_pop(struct rr_fleet *f)
{
	struct rr_msg *top, *m;
	guint i = 0, n;

	if (!f->queue->len)
		return NULL;
	top = f->queue->pdata[0];
	m = f->queue->pdata[f->queue->len - 1];
	g_ptr_array_set_size(f->queue, (gint)f->queue->len - 1);
	n = f->queue->len;
	while (2 * i + 1 < n) {
		guint c = 2 * i + 1;

		if (c + 1 < n &&
		    is_earlier(f->queue->pdata[c + 1], f->queue->pdata[c]))
			c++;
		if (!is_earlier(f->queue->pdata[c], m))
			break;
		f->queue->pdata[i] = f->queue->pdata[c];
		i = c;
	}
	if (n)
		f->queue->pdata[i] = m;
	return top;
}

static uint64_t draw(uint64_t *rng, uint64_t below)
{
	*rng = *rng * 6364136223846793005U + 1442695040888963407U;
	return below ? (*rng >> 33) % below : 0;
}

uint64_t rr_random(struct rr_fleet *f, uint64_t below)
{
	return draw(&f->rng, below);
}

static double uniform(struct rr_fleet *f)
{
	return ((double)draw(&f->traffic_rng, 1U << 30) + 0.5) / (1U << 30);
}

void rr_mark_changed(struct rr_fleet *f, int account)
{
	for (guint i = 0; i < f->changed_accounts->len; i++)
		if (g_array_index(f->changed_accounts, int, i) == account)
			return;
	if (f->check)
		g_array_append_val(f->changed_accounts, account);
}

int rr_shard(int account)
{
	return account % RR_SHARDS;
}

void rr_process(const struct rr_fleet *f, int d, struct cg_rate_process *out)
{
	memset(out, 0, sizeof(*out));
	g_strlcpy(out->name, f->daemons[d].name, sizeof(out->name));
	out->incarnation = f->daemons[d].incarnation;
	out->addr.sin_family = AF_INET;
	out->addr.sin_port = (in_port_t)(1000 + d);
}

static void free_msg(struct rr_msg *m)
{
	if (m->survey_items)
		g_array_free(m->survey_items, TRUE);
	cg_rate_ledger_free(m->ledger);
	g_free(m);
}

static struct rr_msg *copy_msg(const struct rr_msg *m)
{
	struct rr_msg *c = g_memdup2(m, sizeof(*m));

	if (m->survey_items)
		c->survey_items = g_array_copy(m->survey_items);
	return c;
}

static cg_ms delay(struct rr_fleet *f)
{
	return f->trace->delay_min +
	       (cg_ms)rr_random(f, (uint64_t)(f->trace->delay_max -
					      f->trace->delay_min + 1));
}

void rr_send(struct rr_fleet *f, struct rr_msg *m, size_t size)
{
	m->from_incarnation = f->daemons[m->from].incarnation;
	f->daemons[m->from].bytes += size;
	f->out->bytes += size;
	f->out->messages += m->header || m->type > RR_ANSWER;
	if (f->blocked[m->from * RR_MAX_DAEMONS + m->to] ||
	    rr_random(f, 1000) < (uint64_t)f->trace->loss) {
		free_msg(m);
		return;
	}
	if (rr_random(f, 1000) < (uint64_t)f->trace->dup) {
		struct rr_msg *duplicate = copy_msg(m);

		/* The duplicate may arrive much later than the original. */
		duplicate->at =
			f->now + delay(f) * (1 + (cg_ms)rr_random(f, 50));
		rr_push(f, duplicate);
	}
	m->at = f->now + delay(f);
	rr_push(f, m);
}

static double weight(const struct rr_traffic *t, int rank)
{
	return t->zipf > 0 ? pow(1.0 + rank, -t->zipf) : 1;
}

static int pick_daemon(struct rr_fleet *f, const struct rr_traffic *t)
{
	int n = t->last - t->first + 1;
	int shift = t->move_ms ? (int)(f->now / t->move_ms) * 7 % n : 0;
	double sum = 0, at;

	if (t->zipf <= 0)
		return t->first + (int)draw(&f->traffic_rng, (uint64_t)n);
	for (int i = 0; i < n; i++)
		sum += weight(t, i);
	at = uniform(f) * sum;
	for (int i = 0; i < n; i++) {
		at -= weight(t, i);
		if (at <= 0)
			return t->first + (i + shift) % n;
	}
	return t->last;
}

static void next_arrival(struct rr_fleet *f, int traffic)
{
	const struct rr_traffic *t =
		&g_array_index(f->trace->traffic, struct rr_traffic, traffic);
	struct rr_msg *m;

	/* A double, so that fractions of a millisecond add up. */
	f->next_at[traffic] += -log(uniform(f)) * 1000 / t->per_second;
	if (f->next_at[traffic] >= (double)t->to)
		return;
	m = g_new0(struct rr_msg, 1);
	m->type = RR_ARRIVAL;
	m->at = (cg_ms)f->next_at[traffic];
	m->account = traffic;
	rr_push(f, m);
}

static void on_arrival(struct rr_fleet *f, struct rr_msg *m)
{
	const struct rr_traffic *t = &g_array_index(
		f->trace->traffic, struct rr_traffic, m->account);
	int account = t->account;
	int d;

	/* A deferred arrival has its daemon in "to", its account in "from". */
	if (m->from_incarnation) {
		rr_handle_arrival(f, m->to, m->from);
		return;
	}
	if (t->last_account > account)
		account += (int)draw(&f->traffic_rng,
				     (uint64_t)t->last_account -
					     (uint64_t)account + 1);
	d = pick_daemon(f, t);
	next_arrival(f, m->account);
	if (f->daemons[d].frozen) {
		struct rr_msg *late = copy_msg(m);

		late->to = d;
		late->from = account;
		late->from_incarnation = 1;
		late->to_incarnation = f->daemons[d].incarnation;
		g_ptr_array_add(f->daemons[d].deferred, late);
		return;
	}
	rr_handle_arrival(f, d, account);
}

static void on_tick(struct rr_fleet *f, struct rr_msg *m)
{
	struct rr_msg *next = copy_msg(m);

	next->at = f->now + TICK_MS;
	rr_push(f, next);
	if (f->daemons[m->to].alive && !f->daemons[m->to].frozen)
		rr_handle_tick(f, m->to);
}

static void deliver(struct rr_fleet *f, struct rr_msg *m)
{
	switch (m->type) {
	case RR_TOKEN_REQUEST:
		rr_handle_token_request(f, m);
		break;
	case RR_ANSWER:
		rr_handle_answer(f, m);
		break;
	case RR_SURVEY:
		rr_handle_survey(f, m);
		break;
	case RR_SURVEY_ANSWER:
		rr_handle_survey_answer(f, m);
		break;
	case RR_HANDOVER:
		rr_handle_handover(f, m);
		break;
	case RR_MAP:
		rr_handle_map(f, m);
		break;
	case RR_TIMEOUT:
		rr_handle_timeout(f, m->to, m->account);
		break;
	case RR_ARRIVAL:
	case RR_TICK:
	case RR_EVENT:
		break;
	}
}

/* Returns whether the message was deferred. */
static bool handle(struct rr_fleet *f, struct rr_msg *m)
{
	struct rr_daemon *d = &f->daemons[m->to];

	switch (m->type) {
	case RR_ARRIVAL:
		on_arrival(f, m);
		return false;
	case RR_TICK:
		on_tick(f, m);
		return false;
	case RR_EVENT:
		rr_apply_event(f, &g_array_index(f->trace->events,
						 struct rr_event, m->account));
		return false;
	default:
		break;
	}
	/* Token requests and surveys are sent to an address, the other messages
	 * to a process. */
	if (!d->alive || (m->to_incarnation && m->type != RR_MAP &&
			  m->to_incarnation != d->incarnation))
		return false;
	if (d->frozen) {
		g_ptr_array_add(d->deferred, m);
		return true;
	}
	deliver(f, m);
	return false;
}

static void init_daemon(struct rr_fleet *f, int d)
{
	struct rr_daemon *m = &f->daemons[d];
	struct rr_msg *tick = g_new0(struct rr_msg, 1);

	g_snprintf(m->name, sizeof(m->name), "entry-%d", d);
	m->incarnation = 1;
	m->alive = true;
	m->entries = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	m->deferred = g_ptr_array_new();
	for (int i = 0; i < f->n; i++) {
		m->view[i] = RR_VIEW_LIVE;
		m->known_incarnation[i] = 1;
	}
	for (int s = 0; s < RR_SHARDS; s++) {
		m->owner[s] = (struct rr_owner){ s % f->n, 1 };
		if (s % f->n == d)
			rr_start_ledger(f, d, s, true);
	}
	tick->type = RR_TICK;
	tick->to = d;
	tick->at = (cg_ms)rr_random(f, TICK_MS);
	rr_push(f, tick);
}

static void init_accounts(struct rr_fleet *f, struct rr_result *out)
{
	guint n = f->trace->accounts->len;

	f->limits = g_memdup2(f->trace->accounts->data,
			      n * sizeof(struct cg_rate_limits));
	f->allowed = g_new0(struct cg_rate_limits, n);
	f->allowed_until = g_new0(cg_ms, n);
	f->ideal = g_new0(struct cg_rate_bucket, n);
	f->admitted = g_new0(GArray *, n);
	out->accounts = g_new0(struct rr_account_result, n);
	out->account_count = n;
	for (guint i = 0; i < n; i++) {
		struct cg_rate_limits *t = &f->limits[i];

		f->ideal[i].share =
			(struct cg_rate_share){ t->rate, t->burst, t->burst };
		f->admitted[i] = g_array_new(FALSE, FALSE, sizeof(cg_ms));
		g_strlcpy(out->accounts[i].name, t->name,
			  sizeof(out->accounts[i].name));
		out->accounts[i].rate = t->rate;
	}
}

static void init_fleet(struct rr_fleet *f, const struct rr_trace *t,
		       struct rr_result *out)
{
	f->trace = t;
	f->n = t->daemons;
	f->rng = t->seed;
	f->traffic_rng = t->seed * 31 + 7;
	f->next_epoch = 1;
	f->out = out;
	f->queue = g_ptr_array_new();
	f->changed_accounts = g_array_new(FALSE, FALSE, sizeof(int));
	f->blocked = g_new0(bool, RR_MAX_DAEMONS *RR_MAX_DAEMONS);
	f->daemons = g_new0(struct rr_daemon, f->n);
	init_accounts(f, out);
	for (int d = 0; d < f->n; d++)
		init_daemon(f, d);
	for (guint i = 0; i < t->events->len; i++) {
		struct rr_msg *m = g_new0(struct rr_msg, 1);

		m->type = RR_EVENT;
		m->at = g_array_index(t->events, struct rr_event, i).at;
		m->account = (int)i;
		rr_push(f, m);
	}
	f->next_at = g_new0(double, t->traffic->len);
	for (guint i = 0; i < t->traffic->len; i++) {
		f->next_at[i] =
			(double)g_array_index(t->traffic, struct rr_traffic, i)
				.from;
		next_arrival(f, (int)i);
	}
}

static void compute_totals(struct rr_fleet *f, struct rr_result *o)
{
	o->worst_excess = -1e9;
	for (size_t i = 0; i < o->account_count; i++) {
		struct rr_account_result *a = &o->accounts[i];

		a->worst_excess = rr_worst_excess(
			f->admitted[i], f->limits[i].rate, f->limits[i].burst);
		/* Its limits changed, so that no limit holds for all times. */
		if (f->allowed_until[i])
			a->worst_excess = -1e9;
		if (a->ideal > a->admitted)
			a->wrongful = a->ideal - a->admitted;
		o->wrongful += a->wrongful;
		if (a->worst_excess > o->worst_excess)
			o->worst_excess = a->worst_excess;
		if (a->arrived &&
		    100.0 * (double)a->wrongful / (double)a->arrived >
			    o->worst_percent)
			o->worst_percent = 100.0 * (double)a->wrongful /
					   (double)a->arrived;
	}
	if (o->arrived)
		o->wrongful_percent =
			100.0 * (double)o->wrongful / (double)o->arrived;
	for (int d = 0; d < f->n; d++)
		if (f->daemons[d].bytes > o->most_bytes)
			o->most_bytes = f->daemons[d].bytes;
}

static void free_fleet(struct rr_fleet *f)
{
	struct rr_msg *m;

	while ((m = rr_pop(f)))
		free_msg(m);
	for (int d = 0; d < f->n; d++) {
		struct rr_daemon *x = &f->daemons[d];

		for (guint i = 0; i < x->deferred->len; i++)
			free_msg(g_ptr_array_index(x->deferred, i));
		g_ptr_array_free(x->deferred, TRUE);
		g_hash_table_destroy(x->entries);
		for (int s = 0; s < RR_SHARDS; s++)
			cg_rate_ledger_free(x->ledgers[s]);
	}
	for (guint i = 0; i < f->trace->accounts->len; i++)
		g_array_free(f->admitted[i], TRUE);
	g_free(f->admitted);
	g_free(f->limits);
	g_free(f->allowed);
	g_free(f->allowed_until);
	g_free(f->ideal);
	g_free(f->next_at);
	g_free(f->blocked);
	g_free(f->daemons);
	g_ptr_array_free(f->queue, TRUE);
	g_array_free(f->changed_accounts, TRUE);
}

void rr_run(const struct rr_trace *t, enum rr_omission omitted, bool check,
	    struct rr_result *out)
{
	struct rr_fleet f = { .omitted = omitted, .check = check };
	struct rr_msg *m;

	memset(out, 0, sizeof(*out));
	out->hash = 14695981039346656037U;
	init_fleet(&f, t, out);
	while ((m = rr_pop(&f))) {
		if (m->at > t->end) {
			free_msg(m);
			break;
		}
		f.now = m->at;
		g_array_set_size(f.changed_accounts, 0);
		if (!handle(&f, m))
			free_msg(m);
		if (check)
			rr_check_changed(&f);
	}
	compute_totals(&f, out);
	free_fleet(&f);
}

void rr_result_clear(struct rr_result *r)
{
	g_free(r->accounts);
	r->accounts = NULL;
}
