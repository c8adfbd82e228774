#define CG_PART "rates"
#include <string.h>

#include "celeryglade/counters.h"
#include "internal/logging.h"
#include "rate_codec.h"
#include "rate_ctl.h"

#define HANDOVER_CALL_MS  500
#define HANDOVER_ATTEMPTS 3

static void free_page(void *p)
{
	xdr_free((xdrproc_t)xdr_cg_x_rate_handover, p);
	g_free(p);
}

void rate_import_free(struct rate_import *im)
{
	if (!im)
		return;
	g_ptr_array_free(im->received_pages, TRUE);
	g_free(im->page_received);
	g_free(im);
}

static struct cg_rate_limits limits_of(const struct cg_config *c,
				       const char *name)
{
	const struct cg_account *a = c ? cg_config_find_account(c, name) : NULL;
	struct cg_rate_limits limits = { name, a ? a->rate_milli : 0,
					 a ? a->burst_milli : 0 };

	return limits;
}

void rate_try_import(struct cg_rates *r, struct rate_shard *sh, cg_ms now)
{
	struct rate_import *im = sh->import;
	struct cg_config *c;

	if (!im || im->received_count < im->pages || !sh->ledger ||
	    sh->survey_started || sh->ledger->state != CG_RATE_LEDGER_SURVEY ||
	    sh->ledger->epoch != im->epoch)
		return;
	c = cg_docs_config(r->docs);
	sh->ledger->pools_start_full = im->active_ms < 0;
	sh->ledger->active_at = now - (im->active_ms > 0 ? im->active_ms : 0);
	for (guint i = 0; i < im->received_pages->len; i++) {
		const cg_x_rate_handover *x =
			g_ptr_array_index(im->received_pages, i);

		for (u_int k = 0; k < x->pools.pools_len; k++) {
			const cg_x_rate_pool *p = &x->pools.pools_val[k];
			struct cg_rate_limits limits = limits_of(c, p->account);

			cg_rate_ledger_import_pool(sh->ledger, now, &limits,
						   p->tokens);
		}
		for (u_int k = 0; k < x->records.records_len; k++) {
			const cg_x_rate_record *y = &x->records.records_val[k];
			struct cg_rate_limits limits = limits_of(c, y->account);
			struct cg_rate_record rec;

			cg_rate_record_from_xdr(y, now, &rec);
			cg_rate_ledger_import(sh->ledger, now, &limits, &rec);
		}
	}
	cg_rate_ledger_import_done(sh->ledger, now);
	if (c)
		cg_config_unref(c);
	rate_import_free(im);
	sh->import = NULL;
	cg_info("shard %u: imported the ledger of the previous coordinator",
		sh->ledger->shard);
}

/* Stores a page. Returns whether @p x now belongs to the import. The shard is
 * locked. */
static bool store_page(struct rate_shard *sh, cg_x_rate_handover *x)
{
	struct rate_import *im = sh->import;

	if (x->shard >= CG_SHARDS || x->page >= x->pages || x->pages > 4096 ||
	    x->epoch <= sh->survey_epoch || sh->survey_started ||
	    (im && im->epoch > x->epoch) ||
	    (sh->ledger && sh->ledger->epoch > x->epoch))
		return false;
	if (!im || im->epoch < x->epoch || im->pages != x->pages) {
		rate_import_free(im);
		im = g_new0(struct rate_import, 1);
		im->epoch = x->epoch;
		im->active_ms = x->active_ms;
		im->pages = x->pages;
		im->page_received = g_new0(bool, x->pages);
		im->received_pages = g_ptr_array_new_with_free_func(free_page);
		sh->import = im;
	}
	if (im->page_received[x->page])
		return false;
	im->page_received[x->page] = true;
	im->received_count++;
	g_ptr_array_add(im->received_pages, x);
	return true;
}

int rate_handle_handover(struct cg_rates *r, const struct cg_peer_msg *msg,
			 GByteArray *reply)
{
	cg_x_rate_handover *x = g_new0(cg_x_rate_handover, 1);
	cg_x_rate_handover_answer out = { FALSE };
	struct rate_shard *sh;
	bool stored;

	if (cg_xdr_decode((xdrproc_t)xdr_cg_x_rate_handover, msg->body,
			  msg->len, x, sizeof(*x))) {
		g_free(x);
		return -1;
	}
	sh = rate_shard_of(r, x->shard);
	pthread_mutex_lock(&sh->lock);
	/* A page that was received before is accepted, too. */
	out.accepted = !sh->survey_started && x->epoch > sh->survey_epoch;
	stored = store_page(sh, x);
	if (stored)
		rate_try_import(r, sh, cg_clock_now(r->clk));
	pthread_mutex_unlock(&sh->lock);
	if (!stored)
		free_page(x);
	return cg_xdr_encode((xdrproc_t)xdr_cg_x_rate_handover_answer, &out,
			     reply);
}

static cg_x_rate_handover *add_empty_page(GPtrArray *pages)
{
	cg_x_rate_handover *x = g_new0(cg_x_rate_handover, 1);

	x->pools.pools_val = g_new0(cg_x_rate_pool, CG_X_RATE_PAGE_ITEMS);
	x->records.records_val = g_new0(cg_x_rate_record, CG_X_RATE_PAGE_ITEMS);
	g_ptr_array_add(pages, x);
	return x;
}

/* Returns the last page if it has room, or a new one. */
static cg_x_rate_handover *open_page(GPtrArray *pages)
{
	cg_x_rate_handover *x = NULL;

	if (pages->len)
		x = g_ptr_array_index(pages, pages->len - 1);
	if (!x || x->pools.pools_len == CG_X_RATE_PAGE_ITEMS ||
	    x->records.records_len == CG_X_RATE_PAGE_ITEMS)
		x = add_empty_page(pages);
	return x;
}

static void add_account(GPtrArray *pages, struct cg_rate_ledger_account *a,
			cg_ms now)
{
	cg_x_rate_handover *x = open_page(pages);
	cg_x_rate_pool *p = &x->pools.pools_val[x->pools.pools_len++];
	struct cg_rate_record *rec;

	cg_rate_bucket_refill(&a->pool, now);
	p->account = a->name;
	p->tokens = a->pool.share.tokens;
	cds_list_for_each_entry(rec, &a->records, node) {
		x = open_page(pages);
		cg_rate_record_to_xdr(
			a->name, rec, now,
			&x->records.records_val[x->records.records_len++]);
	}
}

/* Splits a ledger into pages. Their strings point into the ledger. */
static GPtrArray *make_pages(struct cg_rate_ledger *l, uint64_t epoch,
			     cg_ms now)
{
	GPtrArray *pages = g_ptr_array_new();
	struct cg_rate_ledger_account *a;
	cg_x_rate_handover *x;
	GHashTableIter it;

	open_page(pages);
	g_hash_table_iter_init(&it, l->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&a))
		add_account(pages, a, now);
	for (guint i = 0; i < pages->len; i++) {
		x = g_ptr_array_index(pages, i);
		x->shard = l->shard;
		x->epoch = epoch;
		x->page = i;
		x->pages = pages->len;
		x->active_ms = l->pools_start_full ? -1 : now - l->active_at;
	}
	return pages;
}

static int send_page(struct cg_rates *r, const struct cg_shard_owner *to,
		     const cg_x_rate_handover *x)
{
	GByteArray *body = g_byte_array_new(), *reply = g_byte_array_new();
	cg_x_rate_handover_answer answer = { FALSE };
	int rc = -1;

	if (!cg_xdr_encode((xdrproc_t)xdr_cg_x_rate_handover, x, body))
		for (int i = 0; rc && i < HANDOVER_ATTEMPTS; i++)
			rc = cg_peer_call(r->peer, &to->addr,
					  CG_MSG_SHARD_HANDOVER, body->data,
					  body->len, HANDOVER_CALL_MS, reply);
	if (!rc &&
	    (cg_xdr_decode((xdrproc_t)xdr_cg_x_rate_handover_answer,
			   reply->data, reply->len, &answer, sizeof(answer)) ||
	     !answer.accepted))
		rc = -1;
	g_byte_array_unref(body);
	g_byte_array_unref(reply);
	return rc;
}

void rate_hand_over(struct cg_rates *r, struct cg_rate_ledger *l,
		    const struct cg_shard_owner *to)
{
	GPtrArray *pages = make_pages(l, to->epoch, cg_clock_now(r->clk));
	int rc = 0;

	for (guint i = 0; i < pages->len; i++) {
		cg_x_rate_handover *x = g_ptr_array_index(pages, i);

		if (!rc)
			rc = send_page(r, to, x);
		/* The strings belong to the ledger. */
		g_free(x->pools.pools_val);
		g_free(x->records.records_val);
		g_free(x);
	}
	g_ptr_array_free(pages, TRUE);
	if (rc)
		cg_warning("shard %u: %s did not accept the ledger; it will "
			   "survey all members instead",
			   l->shard, to->instance);
}
