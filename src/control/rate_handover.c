#define CG_PART "rates"
#include <string.h>

#include "celeryglade/counters.h"
#include "internal/logging.h"
#include "rate_codec.h"
#include "rate_ctl.h"

#define HANDOVER_CALL_MS  500
#define HANDOVER_ATTEMPTS 3

static void free_part(void *p)
{
	xdr_free((xdrproc_t)xdr_cg_x_rate_handover, p);
	g_free(p);
}

void rate_import_free(struct rate_import *im)
{
	if (!im)
		return;
	g_ptr_array_free(im->parts, TRUE);
	g_free(im->got);
	g_free(im);
}

static struct cg_rate_terms handed_terms(const struct cg_config *c,
					 const char *name)
{
	const struct cg_account *a = c ? cg_config_find_account(c, name) : NULL;
	struct cg_rate_terms t = { name, a ? a->rate_milli : 0,
				   a ? a->burst_milli : 0 };

	return t;
}

/* Imports a complete hand-over for the ledger's epoch; the shard is locked. */
void rate_try_import(struct cg_rates *r, struct rate_shard *sh, cg_ms now)
{
	struct rate_import *im = sh->import;
	struct cg_config *c;

	if (!im || im->have < im->pages || !sh->ledger || sh->survey_started ||
	    sh->ledger->state != CG_RATE_LEDGER_SURVEY ||
	    sh->ledger->epoch != im->epoch)
		return;
	c = cg_docs_config(r->docs);
	sh->ledger->from_full = im->active_ms < 0;
	sh->ledger->active_at = now - (im->active_ms > 0 ? im->active_ms : 0);
	for (guint i = 0; i < im->parts->len; i++) {
		const cg_x_rate_handover *x = g_ptr_array_index(im->parts, i);

		for (u_int k = 0; k < x->pools.pools_len; k++) {
			const cg_x_rate_pool *p = &x->pools.pools_val[k];
			struct cg_rate_terms t = handed_terms(c, p->account);

			cg_rate_ledger_import_pool(sh->ledger, now, &t,
						   p->tokens);
		}
		for (u_int k = 0; k < x->records.records_len; k++) {
			const cg_x_rate_record *y = &x->records.records_val[k];
			struct cg_rate_terms t = handed_terms(c, y->account);
			struct cg_rate_record rec;

			cg_rate_record_from_xdr(y, now, &rec);
			cg_rate_ledger_import(sh->ledger, now, &t, &rec);
		}
	}
	cg_rate_ledger_import_done(sh->ledger, now);
	if (c)
		cg_config_unref(c);
	rate_import_free(im);
	sh->import = NULL;
	cg_info("shard %u: took over the ledger of the previous coordinator",
		sh->ledger->shard);
}

/* Stores a page. Returns whether it is kept; the shard is locked. */
static bool keep_page(struct rate_shard *sh, cg_x_rate_handover *x)
{
	struct rate_import *im = sh->import;

	if (x->shard >= CG_SHARDS || x->page >= x->pages || x->pages > 4096 ||
	    x->epoch <= sh->surveyed || sh->survey_started ||
	    (im && im->epoch > x->epoch) ||
	    (sh->ledger && sh->ledger->epoch > x->epoch))
		return false;
	if (!im || im->epoch < x->epoch || im->pages != x->pages) {
		rate_import_free(im);
		im = g_new0(struct rate_import, 1);
		im->epoch = x->epoch;
		im->active_ms = x->active_ms;
		im->pages = x->pages;
		im->got = g_new0(bool, x->pages);
		im->parts = g_ptr_array_new_with_free_func(free_part);
		sh->import = im;
	}
	if (im->got[x->page])
		return false;
	im->got[x->page] = true;
	im->have++;
	g_ptr_array_add(im->parts, x);
	return true;
}

int rate_handle_handover(struct cg_rates *r, const struct cg_peer_msg *msg,
			 GByteArray *reply)
{
	cg_x_rate_handover *x = g_new0(cg_x_rate_handover, 1);
	cg_x_rate_handed out = { FALSE };
	struct rate_shard *sh;
	bool kept;

	if (cg_xdr_decode((xdrproc_t)xdr_cg_x_rate_handover, msg->body,
			  msg->len, x, sizeof(*x))) {
		g_free(x);
		return -1;
	}
	sh = rate_shard_of(r, x->shard);
	pthread_mutex_lock(&sh->lock);
	/* A repeated page is accepted as well. */
	out.accepted = !sh->survey_started && x->epoch > sh->surveyed;
	kept = keep_page(sh, x);
	if (kept)
		rate_try_import(r, sh, cg_clock_now(r->clk));
	pthread_mutex_unlock(&sh->lock);
	if (!kept)
		free_part(x);
	return cg_xdr_encode((xdrproc_t)xdr_cg_x_rate_handed, &out, reply);
}

static cg_x_rate_handover *add_empty_page(GPtrArray *pages)
{
	cg_x_rate_handover *x = g_new0(cg_x_rate_handover, 1);

	x->pools.pools_val = g_new0(cg_x_rate_pool, CG_X_RATE_PAGE);
	x->records.records_val = g_new0(cg_x_rate_record, CG_X_RATE_PAGE);
	g_ptr_array_add(pages, x);
	return x;
}

/* Returns the last page if it has room, or a new one. */
static cg_x_rate_handover *open_page(GPtrArray *pages)
{
	cg_x_rate_handover *x = NULL;

	if (pages->len)
		x = g_ptr_array_index(pages, pages->len - 1);
	if (!x || x->pools.pools_len == CG_X_RATE_PAGE ||
	    x->records.records_len == CG_X_RATE_PAGE)
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
	p->tokens = a->pool.have.tokens;
	cds_list_for_each_entry(rec, &a->records, node) {
		x = open_page(pages);
		cg_rate_record_to_xdr(
			a->name, rec, now,
			&x->records.records_val[x->records.records_len++]);
	}
}

/* Splits a ledger into pages, whose strings point into it. */
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
		x->active_ms = l->from_full ? -1 : now - l->active_at;
	}
	return pages;
}

static int send_page(struct cg_rates *r, const struct cg_shard_owner *to,
		     const cg_x_rate_handover *x)
{
	GByteArray *body = g_byte_array_new(), *reply = g_byte_array_new();
	cg_x_rate_handed handed = { FALSE };
	int rc = -1;

	if (!cg_xdr_encode((xdrproc_t)xdr_cg_x_rate_handover, x, body))
		for (int i = 0; rc && i < HANDOVER_ATTEMPTS; i++)
			rc = cg_peer_call(r->peer, &to->addr,
					  CG_MSG_SHARD_HANDOVER, body->data,
					  body->len, HANDOVER_CALL_MS, reply);
	if (!rc && (cg_xdr_decode((xdrproc_t)xdr_cg_x_rate_handed, reply->data,
				  reply->len, &handed, sizeof(handed)) ||
		    !handed.accepted))
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
		cg_warning("shard %u: %s did not take the ledger over and will "
			   "ask all members instead",
			   l->shard, to->instance);
}
