#define CG_PART "rates"
#include <string.h>

#include "celeryglade/counters.h"
#include "internal/logging.h"
#include "rate_codec.h"
#include "rate_ctl.h"

/* After this many failed calls in a row, a coordinator gets no calls for a
 * while, so that calls to it do not occupy all of the transport's threads. */
#define MAX_FAILURES 3
#define SKIP_MS	     200
/* Calls to a coordinator that failed before have a shorter timeout, and a round
 * of reports has a time limit, so that coordinators that do not answer do not
 * delay the reports to others. */
#define REPORT_CALL_MS	     300
#define REPORT_SHORT_CALL_MS 50
#define REPORT_ROUND_MS	     1000
#define STOP_ROUND_MS	     5000
#define STOP_ATTEMPTS	     3

enum cg_rate_result rate_result_without_answer(const struct rate_entry *e)
{
	return e->holding.session && e->holding.bucket.share.capacity > 0
		       ? CG_RATE_REFUSED
		       : CG_RATE_UNAVAILABLE;
}

void rate_complete_waiters(struct cg_rates *r, struct cds_list_head *list,
			   enum cg_rate_result result)
{
	struct cg_rate_waiter *w, *next;

	cds_list_for_each_entry_safe(w, next, list, node) {
		cds_list_del(&w->node);
		if (result == CG_RATE_REFUSED)
			atomic_fetch_add(&r->refused, 1);
		else if (result == CG_RATE_UNAVAILABLE)
			atomic_fetch_add(&r->unavailable, 1);
		w->done(w, result);
	}
}

static void move_waiter(struct cg_rates *r, struct rate_entry *e,
			struct cg_rate_waiter *w, struct cds_list_head *to)
{
	cds_list_del(&w->node);
	cds_list_add_tail(&w->node, to);
	e->waiter_count--;
	atomic_fetch_sub(&r->waiter_count, 1);
}

void rate_expire_waiters(struct cg_rates *r, struct rate_entry *e, cg_ms now,
			 struct cds_list_head *out)
{
	struct cg_rate_waiter *w, *next;

	cds_list_for_each_entry_safe(w, next, &e->waiters, node)
		if (w->deadline <= now)
			move_waiter(r, e, w, out);
}

static void admit_waiters(struct cg_rates *r, struct rate_entry *e, cg_ms now,
			  struct cds_list_head *admitted)
{
	struct cg_rate_waiter *w, *next;

	cds_list_for_each_entry_safe(w, next, &e->waiters, node) {
		if (!cg_rate_holding_admit_waiting(&e->holding, now))
			return;
		move_waiter(r, e, w, admitted);
	}
}

static int64_t tokens_needed(const struct rate_entry *e)
{
	int64_t need = (int64_t)e->waiter_count * CG_RATE_REQUEST_COST;

	if (need)
		need -= e->holding.bucket.share.tokens;
	return need > 0 ? need : 0;
}

enum cg_rate_status
rate_request_from_own_ledger(struct cg_rates *r, struct rate_shard *sh,
			     struct rate_entry *e,
			     const struct cg_rate_limits *limits, cg_ms now)
{
	struct cg_rate_process self;
	struct cg_rate_answer a;
	struct cg_rate_token_request request;

	rate_own_process(r, &self);
	cg_rate_holding_fill_request(&e->holding, now, tokens_needed(e),
				     &request);
	cg_rate_ledger_handle_request(sh->ledger, now, limits, &self, true,
				      &request, &a);
	cg_rate_holding_apply_answer(&e->holding, now, now, &a);
	e->answered_at = now;
	return a.status;
}

static struct rate_link *get_link(struct cg_rates *r,
				  const struct cg_shard_owner *o)
{
	struct rate_link *l = g_hash_table_lookup(r->links, o->instance);

	if (!l) {
		l = g_new0(struct rate_link, 1);
		g_strlcpy(l->instance, o->instance, sizeof(l->instance));
		l->pending = g_array_new(FALSE, FALSE,
					 sizeof(struct rate_link_item));
		g_hash_table_insert(r->links, l->instance, l);
	}
	l->addr = o->addr;
	return l;
}

void rate_links_free(struct cg_rates *r)
{
	struct rate_link *l;
	GHashTableIter it;

	g_hash_table_iter_init(&it, r->links);
	while (g_hash_table_iter_next(&it, NULL, (void **)&l)) {
		g_array_free(l->pending, TRUE);
		g_free(l);
	}
	g_hash_table_destroy(r->links);
}

int rate_queue_request(struct cg_rates *r, uint32_t shard, struct rate_entry *e,
		       struct rate_link **link)
{
	struct rate_link_item item = { .shard = shard };
	struct cg_shard_owner o;
	struct rate_link *l;
	int rc = -1;

	if (cg_shards_owner(r->map, shard, &o) || o.self)
		return -1;
	g_strlcpy(item.name, e->name, sizeof(item.name));
	pthread_mutex_lock(&r->links_lock);
	l = get_link(r, &o);
	if (cg_clock_now(r->clk) >= l->skip_until) {
		g_array_append_val(l->pending, item);
		e->request_pending = true;
		*link = l;
		rc = 0;
	}
	pthread_mutex_unlock(&r->links_lock);
	return rc;
}

/* Fills in the token requests of the items. Items whose entry no longer exists
 * are removed. */
static void fill_requests(struct cg_rates *r, GArray *items,
			  cg_x_rate_token_requests *out)
{
	guint n = 0;

	out->ip = ntohl(r->addr.sin_addr.s_addr);
	out->port = ntohs(r->addr.sin_port);
	out->items.items_val = g_new0(cg_x_rate_token_request, items->len);
	for (guint i = 0; i < items->len; i++) {
		struct rate_link_item *it =
			&g_array_index(items, struct rate_link_item, i);
		struct rate_shard *sh = rate_shard_of(r, it->shard);
		struct rate_link_item *kept =
			&g_array_index(items, struct rate_link_item, n);
		struct cg_rate_token_request request;
		struct rate_entry *e;

		pthread_mutex_lock(&sh->lock);
		e = g_hash_table_lookup(sh->entries, it->name);
		if (e) {
			it->sent_at = cg_clock_now(r->clk);
			cg_rate_holding_fill_request(&e->holding, it->sent_at,
						     tokens_needed(e),
						     &request);
			*kept = *it;
			cg_rate_token_request_to_xdr(
				kept->name, &request,
				&out->items.items_val[n++]);
		}
		pthread_mutex_unlock(&sh->lock);
	}
	g_array_set_size(items, n);
	out->items.items_len = n;
}

static GByteArray *encode_requests(struct cg_rates *r, GArray *items)
{
	GByteArray *body = g_byte_array_new();
	cg_x_rate_token_requests x = { 0 };

	fill_requests(r, items, &x);
	if (!x.items.items_len ||
	    cg_xdr_encode((xdrproc_t)xdr_cg_x_rate_token_requests, &x, body))
		g_byte_array_set_size(body, 0);
	g_free(x.items.items_val);
	cg_count_add(CG_COUNTER_RATE_ASKS, x.items.items_len);
	return body;
}

static bool needs_another_request(const struct rate_entry *e,
				  enum cg_rate_status status, cg_ms now)
{
	return e->waiter_count && e->holding.refuse_until <= now &&
	       (status == CG_RATE_STATUS_OK || status == CG_RATE_STATUS_CLOSED);
}

/* Applies one answer; @p a is NULL if there was none. Returns whether another
 * request was queued on the link. */
static bool handle_answer(struct cg_rates *r, const struct rate_link_item *it,
			  const struct cg_rate_answer *a)
{
	struct rate_shard *sh = rate_shard_of(r, it->shard);
	cg_ms now = cg_clock_now(r->clk);
	enum cg_rate_result rest = CG_RATE_REFUSED;
	CDS_LIST_HEAD(admitted);
	CDS_LIST_HEAD(others);
	struct rate_link *link = NULL;
	struct rate_entry *e;
	bool again;

	pthread_mutex_lock(&sh->lock);
	e = g_hash_table_lookup(sh->entries, it->name);
	if (!e) {
		pthread_mutex_unlock(&sh->lock);
		return false;
	}
	if (a) {
		cg_rate_holding_apply_answer(&e->holding, now, it->sent_at, a);
		e->answered_at = now;
		admit_waiters(r, e, now, &admitted);
	}
	e->request_pending = false;
	rate_expire_waiters(r, e, now, &others);
	/* Send another request if there was no answer, and for requests that
	 * arrived after the token request was sent. */
	again = a ? needs_another_request(e, a->status, now)
		  : e->waiter_count > 0;
	if (!again || rate_queue_request(r, it->shard, e, &link))
		rate_expire_waiters(r, e, CG_MS_NEVER, &others);
	if (!a || (a->status != CG_RATE_STATUS_OK &&
		   a->status != CG_RATE_STATUS_CLOSED))
		rest = rate_result_without_answer(e);
	pthread_mutex_unlock(&sh->lock);
	rate_complete_waiters(r, &admitted, CG_RATE_ADMITTED);
	rate_complete_waiters(r, &others, rest);
	return link != NULL;
}

/* Returns 0 if the reply was applied, -1 if it does not match the items. */
static int apply_reply(struct cg_rates *r, const GArray *items,
		       const GByteArray *reply)
{
	cg_x_rate_answers x;

	if (cg_xdr_decode((xdrproc_t)xdr_cg_x_rate_answers, reply->data,
			  reply->len, &x, sizeof(x)))
		return -1;
	if (x.items.items_len != items->len) {
		xdr_free((xdrproc_t)xdr_cg_x_rate_answers, (char *)&x);
		return -1;
	}
	for (guint i = 0; i < items->len; i++) {
		struct cg_rate_answer a;

		cg_rate_answer_from_xdr(&x.items.items_val[i], &a);
		handle_answer(
			r, &g_array_index(items, struct rate_link_item, i), &a);
	}
	xdr_free((xdrproc_t)xdr_cg_x_rate_answers, (char *)&x);
	return 0;
}

static void handle_all_unanswered(struct cg_rates *r, const GArray *items)
{
	for (guint i = 0; i < items->len; i++)
		handle_answer(r,
			      &g_array_index(items, struct rate_link_item, i),
			      NULL);
}

static void record_call_result(struct cg_rates *r, struct rate_link *l, int rc)
{
	pthread_mutex_lock(&r->links_lock);
	if (!rc) {
		l->failures = 0;
		l->skip_until = 0;
	} else if (++l->failures >= MAX_FAILURES) {
		l->skip_until = cg_clock_now(r->clk) + SKIP_MS;
	}
	pthread_mutex_unlock(&r->links_lock);
}

static void on_answer(void *arg, int rc, const GByteArray *reply)
{
	struct rate_call *f = arg;
	struct cg_rates *r = f->r;

	record_call_result(r, f->link, rc);
	if (rc || apply_reply(r, f->items, reply))
		handle_all_unanswered(r, f->items);
	pthread_mutex_lock(&r->links_lock);
	f->link->busy = false;
	pthread_mutex_unlock(&r->links_lock);
	rate_link_flush(r, f->link);
	g_array_free(f->items, TRUE);
	g_free(f);
	/* Must be last: cg_rates_stop waits for this counter. */
	atomic_fetch_sub(&r->calls_in_flight, 1);
}

/* Returns the items of the next datagram and marks the link busy. Returns NULL
 * if a call is in flight or nothing is queued. */
static GArray *begin_call(struct cg_rates *r, struct rate_link *l,
			  struct sockaddr_in *to)
{
	GArray *items = NULL;
	guint n;

	pthread_mutex_lock(&r->links_lock);
	n = l->pending->len;
	if (n > CG_X_RATE_ITEMS)
		n = CG_X_RATE_ITEMS;
	if (!l->busy && n) {
		l->busy = true;
		*to = l->addr;
		items = g_array_new(FALSE, FALSE,
				    sizeof(struct rate_link_item));
		g_array_append_vals(items, l->pending->data, n);
		g_array_remove_range(l->pending, 0, n);
	}
	pthread_mutex_unlock(&r->links_lock);
	return items;
}

/* Half of the waiters' time, so that a lost datagram can be retried once. */
static cg_ms call_timeout(const struct cg_rates *r)
{
	return r->wait_ms / 2 > 0 ? r->wait_ms / 2 : 1;
}

void rate_link_flush(struct cg_rates *r, struct rate_link *l)
{
	struct rate_call *f;
	struct sockaddr_in to;
	GByteArray *body;
	GArray *items;

	while ((items = begin_call(r, l, &to))) {
		body = encode_requests(r, items);
		f = g_new0(struct rate_call, 1);
		f->r = r;
		f->link = l;
		f->items = items;
		atomic_fetch_add(&r->calls_in_flight, 1);
		if (body->len &&
		    !cg_peer_submit(r->peer, &to, CG_MSG_RATE_TOKEN_REQUEST,
				    body->data, body->len, call_timeout(r),
				    on_answer, f)) {
			g_byte_array_unref(body);
			return;
		}
		g_byte_array_unref(body);
		/* Not sent: counts as a failed call, so the coordinator is
		 * skipped after some rounds and the loop ends. */
		record_call_result(r, l, -1);
		handle_all_unanswered(r, items);
		g_array_free(items, TRUE);
		g_free(f);
		pthread_mutex_lock(&r->links_lock);
		l->busy = false;
		pthread_mutex_unlock(&r->links_lock);
		atomic_fetch_sub(&r->calls_in_flight, 1);
	}
}

static void report_to_self(struct cg_rates *r, struct rate_shard *sh,
			   struct rate_entry *e, cg_ms now)
{
	struct cg_rate_limits limits = { e->name, e->holding.rate,
					 e->holding.burst };

	rate_request_from_own_ledger(r, sh, e, &limits, now);
}

/* Returns whether the entry can be freed; its refused sessions are then kept in
 * the shard. */
static bool is_unused(struct rate_shard *sh, const struct rate_entry *e,
		      cg_ms now)
{
	if (e->waiter_count || e->request_pending ||
	    !cg_rate_holding_unused(&e->holding, now))
		return false;
	if (e->holding.refused_up_to > sh->refused_up_to)
		sh->refused_up_to = e->holding.refused_up_to;
	return true;
}

/* Sends the shard's due reports to the ledger of this process, or adds them to
 * the batch of their coordinator. If the daemon stops, releases all holdings
 * first. Frees unused entries. */
static void collect_reports(struct cg_rates *r, uint32_t shard, bool stop,
			    GHashTable *batches)
{
	struct rate_shard *sh = rate_shard_of(r, shard);
	cg_ms now = cg_clock_now(r->clk);
	struct cg_shard_owner o = { 0 };
	bool owned = !cg_shards_owner(r->map, shard, &o);
	struct rate_link_item item = { .shard = shard };
	struct rate_entry *e;
	GHashTableIter it;
	GArray *batch;

	pthread_mutex_lock(&sh->lock);
	g_hash_table_iter_init(&it, sh->entries);
	while (g_hash_table_iter_next(&it, NULL, (void **)&e)) {
		if (is_unused(sh, e, now)) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		if (stop)
			cg_rate_holding_release_all(&e->holding, now);
		/* When stopping, also report without a session if a request is
		 * unanswered: it may have been granted. */
		if (!cg_rate_holding_report_due(&e->holding, now) &&
		    !(stop && (e->holding.session || e->holding.unanswered)))
			continue;
		if (sh->ledger) {
			report_to_self(r, sh, e, now);
		} else if (owned && !o.self) {
			batch = g_hash_table_lookup(batches, o.instance);
			if (!batch) {
				batch = g_array_new(
					FALSE, FALSE,
					sizeof(struct rate_link_item));
				g_hash_table_insert(
					batches, g_strdup(o.instance), batch);
			}
			g_strlcpy(item.name, e->name, sizeof(item.name));
			g_array_append_val(batch, item);
		}
	}
	pthread_mutex_unlock(&sh->lock);
}

static cg_ms report_timeout(struct cg_rates *r, const struct cg_shard_owner *o,
			    bool stop, struct rate_link **link)
{
	cg_ms ms;

	pthread_mutex_lock(&r->links_lock);
	*link = get_link(r, o);
	ms = (*link)->failures && !stop ? REPORT_SHORT_CALL_MS : REPORT_CALL_MS;
	pthread_mutex_unlock(&r->links_lock);
	return ms;
}

static int call_batch(struct cg_rates *r, const struct cg_shard_owner *o,
		      GArray *items, bool stop)
{
	struct rate_link *link;
	cg_ms timeout = report_timeout(r, o, stop, &link);
	GByteArray *body = encode_requests(r, items);
	GByteArray *reply = g_byte_array_new();
	int rc = -1;

	if (body->len) {
		rc = cg_peer_call(r->peer, &o->addr,
				  stop ? CG_MSG_RATE_RETURN
				       : CG_MSG_RATE_TOKEN_REQUEST,
				  body->data, body->len, timeout, reply);
		record_call_result(r, link, rc);
	}
	if (!rc)
		rc = apply_reply(r, items, reply);
	g_byte_array_unref(body);
	g_byte_array_unref(reply);
	return rc;
}

/* Sends the batch in as many datagrams as needed. After a failed call the rest
 * is left for the next round. Returns the number of items answered. */
static guint send_batch(struct cg_rates *r, const GArray *batch, bool stop)
{
	const struct rate_link_item *first =
		&g_array_index(batch, struct rate_link_item, 0);
	struct cg_shard_owner o;
	guint answered = 0;

	if (cg_shards_owner(r->map, first->shard, &o) || o.self)
		return 0;
	for (guint i = 0; i < batch->len; i += CG_X_RATE_ITEMS) {
		guint n = MIN(batch->len - i, CG_X_RATE_ITEMS);
		GArray *items = g_array_sized_new(
			FALSE, FALSE, sizeof(struct rate_link_item), n);
		int rc = -1;

		g_array_append_vals(
			items, &g_array_index(batch, struct rate_link_item, i),
			n);
		for (int k = 0; rc && k < (stop ? STOP_ATTEMPTS : 1); k++)
			rc = call_batch(r, &o, items, stop);
		g_array_free(items, TRUE);
		if (rc) {
			if (stop)
				cg_warning("cannot return holdings to %s; "
					   "they stay unused until this "
					   "instance is proved gone",
					   o.instance);
			return answered;
		}
		answered += n;
	}
	return answered;
}

static void free_batch(void *p)
{
	g_array_free(p, TRUE);
}

guint rate_send_reports(struct cg_rates *r, bool stop)
{
	GHashTable *batches = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, free_batch);
	cg_ms until =
		cg_clock_now(r->clk) + (stop ? STOP_ROUND_MS : REPORT_ROUND_MS);
	GPtrArray *order = g_ptr_array_new();
	GHashTableIter it;
	GArray *batch;
	guint answered = 0;

	for (uint32_t s = 0; s < CG_SHARDS; s++)
		collect_reports(r, s, stop, batches);
	g_hash_table_iter_init(&it, batches);
	while (g_hash_table_iter_next(&it, NULL, (void **)&batch))
		g_ptr_array_add(order, batch);
	/* Each round starts with another coordinator, since its time may end
	 * before the last one is reached. */
	r->report_offset += 7;
	for (guint i = 0; i < order->len && cg_clock_now(r->clk) < until; i++)
		answered += send_batch(
			r,
			g_ptr_array_index(order,
					  (i + r->report_offset) % order->len),
			stop);
	g_ptr_array_free(order, TRUE);
	g_hash_table_destroy(batches);
	return answered;
}
