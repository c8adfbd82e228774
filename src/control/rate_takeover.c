#define CG_PART "rates"
#include <string.h>

#include "celeryglade/counters.h"
#include "internal/logging.h"
#include "rate_codec.h"
#include "rate_ctl.h"

/* A new coordinator gives the previous one this time to hand its ledger over
 * before it starts a survey, which makes a hand-over useless. */
#define HANDOVER_WAIT_MS 2000
#define SURVEY_CALL_MS	 250
/* Calls to silent members must not keep reports waiting for longer. */
#define SURVEY_ROUND_MS	  500
#define SURVEY_EVERY_MS	  1000
#define MAX_MEMBERS	  1024
#define UNLISTED_HEARD_MS 60000

/* Moves every holding of the shard to the epoch; the shard is locked. */
static void rebase_all(struct rate_shard *sh, uint64_t epoch, cg_ms now)
{
	uint64_t base = cg_rate_session_base(epoch);
	struct rate_entry *e;
	GHashTableIter it;

	if (sh->past_session < base)
		sh->past_session = base;
	if (sh->surveyed < epoch)
		sh->surveyed = epoch;
	g_hash_table_iter_init(&it, sh->entries);
	while (g_hash_table_iter_next(&it, NULL, (void **)&e))
		cg_rate_holding_rebase(&e->h, now, epoch);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	const struct rate_entry *const *x = a, *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

/* Returns the entries with a holding of the epoch in order of their names. */
static GPtrArray *held_entries(struct rate_shard *sh, uint64_t epoch)
{
	GPtrArray *out = g_ptr_array_new();
	struct rate_entry *e;
	GHashTableIter it;

	g_hash_table_iter_init(&it, sh->entries);
	while (g_hash_table_iter_next(&it, NULL, (void **)&e))
		if (e->h.session == cg_rate_session_base(epoch))
			g_ptr_array_add(out, e);
	g_ptr_array_sort(out, compare_names);
	return out;
}

static void fill_held(struct rate_shard *sh, const cg_x_rate_survey *q,
		      cg_x_rate_surveyed *out)
{
	GPtrArray *all = held_entries(sh, q->epoch);
	u_int n = 0;

	out->items.items_val = g_new0(cg_x_rate_held, CG_X_RATE_ITEMS);
	for (guint i = 0; i < all->len; i++) {
		struct rate_entry *e = g_ptr_array_index(all, i);
		cg_x_rate_held *h;

		if (strcmp(e->name, q->after) <= 0)
			continue;
		if (n == CG_X_RATE_ITEMS) {
			out->more = TRUE;
			break;
		}
		h = &out->items.items_val[n++];
		h->account = g_strdup(e->name);
		cg_rate_share_to_xdr(&e->h.granted, &h->granted);
		cg_rate_share_to_xdr(&e->h.released, &h->released);
	}
	out->items.items_len = n;
	g_ptr_array_free(all, TRUE);
}

/* Returns -1 if this daemon knows of a later coordinator than the asking. */
static int answer_survey(struct cg_rates *r, const cg_x_rate_survey *q,
			 cg_x_rate_surveyed *out)
{
	struct rate_shard *sh = rate_shard_of(r, q->shard);
	cg_ms now = cg_clock_now(r->clk);

	pthread_mutex_lock(&sh->lock);
	if (q->epoch < sh->surveyed ||
	    (sh->ledger && sh->ledger->epoch >= q->epoch)) {
		pthread_mutex_unlock(&sh->lock);
		return -1;
	}
	/* An earlier coordinator that answers stops granting by that. */
	cg_rate_ledger_free(sh->ledger);
	sh->ledger = NULL;
	if (q->epoch > sh->surveyed)
		rebase_all(sh, q->epoch, now);
	fill_held(sh, q, out);
	pthread_mutex_unlock(&sh->lock);
	return 0;
}

int rate_handle_survey(struct cg_rates *r, const struct cg_peer_msg *msg,
		       GByteArray *reply)
{
	cg_x_rate_surveyed out = { 0 };
	cg_x_rate_survey q;
	int rc = -1;

	if (cg_xdr_decode((xdrproc_t)xdr_cg_x_rate_survey, msg->body, msg->len,
			  &q, sizeof(q)))
		return -1;
	if (q.shard < CG_SHARDS && !answer_survey(r, &q, &out)) {
		out.instance = r->instance;
		out.incarnation = cg_peer_incarnation(r->peer);
		out.ip = ntohl(r->addr.sin_addr.s_addr);
		out.port = ntohs(r->addr.sin_port);
		rc = cg_xdr_encode((xdrproc_t)xdr_cg_x_rate_surveyed, &out,
				   reply);
		for (u_int i = 0; i < out.items.items_len; i++)
			g_free(out.items.items_val[i].account);
		g_free(out.items.items_val);
	}
	xdr_free((xdrproc_t)xdr_cg_x_rate_survey, (char *)&q);
	return rc;
}

/* Adds one page to the ledger; the shard is locked. An account that this
 * daemon's configuration does not have is recorded without rights in its pool,
 * so that its holders still count. */
static void add_page(struct cg_rates *r, struct rate_shard *sh,
		     const struct cg_config *c, const cg_x_rate_surveyed *x)
{
	struct cg_rate_party who = { .incarnation = x->incarnation };

	g_strlcpy(who.name, x->instance, sizeof(who.name));
	who.addr.sin_family = AF_INET;
	who.addr.sin_addr.s_addr = htonl(x->ip);
	who.addr.sin_port = htons((uint16_t)x->port);
	for (u_int i = 0; i < x->items.items_len; i++) {
		const cg_x_rate_held *h = &x->items.items_val[i];
		const struct cg_account *a =
			c ? cg_config_account(c, h->account) : NULL;
		struct cg_rate_terms t = { h->account, a ? a->rate_milli : 0,
					   a ? a->burst_milli : 0 };
		struct cg_rate_share granted, released;

		cg_rate_share_from_xdr(&h->granted, &granted);
		cg_rate_share_from_xdr(&h->released, &released);
		cg_rate_ledger_survey_add(sh->ledger, cg_clock_now(r->clk), &t,
					  &who, &granted, &released);
	}
	if (x->more)
		return;
	cg_rate_ledger_survey_done(sh->ledger, &who);
	g_hash_table_insert(sh->answered, g_strdup(x->instance),
			    GSIZE_TO_POINTER(x->incarnation));
}

/* Calls the member for one page. Returns 0 and the last name, 1 after the last
 * page, -1 if it did not answer. */
static int survey_page(struct cg_rates *r, uint32_t shard, uint64_t epoch,
		       const struct cg_member *m, char after[CG_NAME_MAX + 1])
{
	struct rate_shard *sh = rate_shard_of(r, shard);
	cg_x_rate_survey q = { shard, epoch, after };
	GByteArray *body = g_byte_array_new(), *reply = g_byte_array_new();
	struct cg_config *c;
	cg_x_rate_surveyed x;
	int rc = -1;

	if (cg_xdr_encode((xdrproc_t)xdr_cg_x_rate_survey, &q, body) ||
	    cg_peer_call(r->peer, &m->addr, CG_MSG_RATE_SURVEY, body->data,
			 body->len, SURVEY_CALL_MS, reply) ||
	    cg_xdr_decode((xdrproc_t)xdr_cg_x_rate_surveyed, reply->data,
			  reply->len, &x, sizeof(x)))
		goto out;
	c = cg_docs_config(r->docs);
	pthread_mutex_lock(&sh->lock);
	if (!strcmp(x.instance, m->name) && sh->ledger &&
	    sh->ledger->epoch == epoch) {
		add_page(r, sh, c, &x);
		rc = x.more && x.items.items_len ? 0 : 1;
		if (!rc)
			g_strlcpy(after,
				  x.items.items_val[x.items.items_len - 1]
					  .account,
				  CG_NAME_MAX + 1);
	}
	pthread_mutex_unlock(&sh->lock);
	if (c)
		cg_config_unref(c);
	xdr_free((xdrproc_t)xdr_cg_x_rate_surveyed, (char *)&x);
out:
	g_byte_array_unref(body);
	g_byte_array_unref(reply);
	return rc;
}

static int survey_member(struct cg_rates *r, uint32_t shard, uint64_t epoch,
			 const struct cg_member *m)
{
	char after[CG_NAME_MAX + 1] = "";
	int rc;

	do {
		rc = survey_page(r, shard, epoch, m, after);
	} while (rc == 0);
	return rc == 1 ? 0 : -1;
}

/* Unlisted members that were heard lately must answer, too: the previous
 * coordinator may have seen a later list. */
static bool must_answer(const struct cg_member *m, cg_ms now)
{
	switch (m->state) {
	case CG_MEMBER_LIVE:
	case CG_MEMBER_LEAVING:
		return true;
	case CG_MEMBER_UNLISTED:
		return now - m->last_seen_at < UNLISTED_HEARD_MS;
	case CG_MEMBER_GONE:
		break;
	}
	return false;
}

/* The shard is locked. */
static bool has_answered(const struct rate_shard *sh, const struct cg_member *m)
{
	gpointer incarnation;

	return g_hash_table_lookup_extended(sh->answered, m->name, NULL,
					    &incarnation) &&
	       (!m->incarnation ||
		m->incarnation == GPOINTER_TO_SIZE(incarnation));
}

/* Starts the survey with this daemon's own holdings; the shard is locked. */
static void start_survey(struct cg_rates *r, uint32_t shard, cg_ms now)
{
	struct rate_shard *sh = rate_shard_of(r, shard);
	struct cg_config *c = cg_docs_config(r->docs);
	cg_x_rate_survey all = { shard, sh->ledger->epoch, (char *)"" };
	cg_x_rate_surveyed own = { 0 };
	char after[CG_NAME_MAX + 1] = "";

	sh->survey_started = true;
	rate_import_free(sh->import);
	sh->import = NULL;
	rebase_all(sh, sh->ledger->epoch, now);
	own.instance = r->instance;
	own.incarnation = cg_peer_incarnation(r->peer);
	own.ip = ntohl(r->addr.sin_addr.s_addr);
	own.port = ntohs(r->addr.sin_port);
	do {
		own.more = FALSE;
		all.after = after;
		fill_held(sh, &all, &own);
		add_page(r, sh, c, &own);
		for (u_int i = 0; i < own.items.items_len; i++) {
			g_strlcpy(after, own.items.items_val[i].account,
				  sizeof(after));
			g_free(own.items.items_val[i].account);
		}
		g_free(own.items.items_val);
	} while (own.more);
	if (c)
		cg_config_unref(c);
	cg_count(CG_COUNTER_RATE_SURVEYS);
	cg_info("shard %u: asking all members for their holdings", shard);
}

/* Returns the epoch of a running survey, 0 if there is none. */
static uint64_t running_survey(struct cg_rates *r, uint32_t shard, cg_ms now)
{
	struct rate_shard *sh = rate_shard_of(r, shard);
	uint64_t epoch = 0;

	pthread_mutex_lock(&sh->lock);
	if (sh->ledger && sh->ledger->state == CG_RATE_LEDGER_SURVEY) {
		if (!sh->survey_started &&
		    now - sh->took_over_at >= HANDOVER_WAIT_MS)
			start_survey(r, shard, now);
		if (sh->survey_started)
			epoch = sh->ledger->epoch;
	}
	pthread_mutex_unlock(&sh->lock);
	return epoch;
}

static bool needs_call(struct cg_rates *r, uint32_t shard,
		       const struct cg_member *m, cg_ms now)
{
	struct rate_shard *sh = rate_shard_of(r, shard);
	bool answered;

	pthread_mutex_lock(&sh->lock);
	answered = !sh->ledger || has_answered(sh, m);
	pthread_mutex_unlock(&sh->lock);
	return !answered && must_answer(m, now);
}

static void check_complete(struct cg_rates *r, uint32_t shard,
			   const struct cg_member *all, size_t n, cg_ms now)
{
	struct rate_shard *sh = rate_shard_of(r, shard);
	bool complete = true;

	pthread_mutex_lock(&sh->lock);
	for (size_t i = 0; sh->ledger && i < n; i++)
		if (must_answer(&all[i], now) && !has_answered(sh, &all[i]))
			complete = false;
	if (sh->ledger && sh->ledger->state == CG_RATE_LEDGER_SURVEY) {
		cg_rate_ledger_survey_check(sh->ledger, now, complete);
		if (sh->ledger->state == CG_RATE_LEDGER_ACTIVE)
			cg_info("shard %u: the survey is complete", shard);
	}
	pthread_mutex_unlock(&sh->lock);
}

/* A member that does not answer is left out for the rest of the round, so that
 * it costs one time-out for all shards. The round begins at another member
 * each time, so that silent ones do not keep the others from being called. */
static void call_members(struct cg_rates *r, const uint64_t epochs[CG_SHARDS],
			 const struct cg_member *all, size_t n, cg_ms now)
{
	cg_ms until = now + SURVEY_ROUND_MS;
	size_t first = (size_t)(now / SURVEY_EVERY_MS) * 7;

	for (size_t i = 0; i < n; i++) {
		const struct cg_member *m = &all[(first + i) % n];

		for (uint32_t s = 0; s < CG_SHARDS; s++) {
			if (cg_clock_now(r->clk) > until ||
			    atomic_load(&r->stopping))
				return;
			if (!epochs[s] || !needs_call(r, s, m, now))
				continue;
			if (survey_member(r, s, epochs[s], m))
				break;
		}
	}
}

void rate_drive_surveys(struct cg_rates *r, cg_ms now)
{
	uint64_t epochs[CG_SHARDS];
	struct cg_member *all;
	bool any = false;
	size_t n;

	if (now - r->survey_at < SURVEY_EVERY_MS)
		return;
	r->survey_at = now;
	for (uint32_t s = 0; s < CG_SHARDS; s++) {
		epochs[s] = running_survey(r, s, now);
		any |= epochs[s] != 0;
	}
	if (!any)
		return;
	all = g_new0(struct cg_member, MAX_MEMBERS);
	n = cg_members_copy(r->members, all, MAX_MEMBERS);
	call_members(r, epochs, all, n, now);
	for (uint32_t s = 0; s < CG_SHARDS; s++)
		if (epochs[s])
			check_complete(r, s, all, n, cg_clock_now(r->clk));
	g_free(all);
}

/* Begins to coordinate the shard; it is locked. */
static void take_over(struct cg_rates *r, uint32_t shard,
		      const struct cg_shard_owner *o, cg_ms now)
{
	struct rate_shard *sh = rate_shard_of(r, shard);

	cg_rate_ledger_free(sh->ledger);
	/* The first owner ever has no predecessor whose grants could be in
	 * force. */
	sh->ledger = cg_rate_ledger_new(shard, o->epoch, o->epoch <= 1,
					r->unlisted_lease_ms, now);
	sh->took_over_at = now;
	sh->survey_started = false;
	if (sh->answered)
		g_hash_table_destroy(sh->answered);
	sh->answered =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rate_try_import(r, sh, now);
}

void rate_follow_map(struct cg_rates *r, uint32_t shard, cg_ms now)
{
	struct rate_shard *sh = rate_shard_of(r, shard);
	struct cg_rate_ledger *given = NULL;
	struct cg_shard_owner o;

	if (cg_shards_owner(r->map, shard, &o))
		return;
	pthread_mutex_lock(&sh->lock);
	if (o.self && (!sh->surveyed || o.epoch > sh->surveyed) &&
	    (!sh->ledger || sh->ledger->epoch < o.epoch)) {
		take_over(r, shard, &o, now);
	} else if (!o.self && sh->ledger && sh->ledger->epoch < o.epoch) {
		given = sh->ledger;
		sh->ledger = NULL;
	}
	pthread_mutex_unlock(&sh->lock);
	if (given && given->state == CG_RATE_LEDGER_ACTIVE)
		rate_hand_over(r, given, &o);
	cg_rate_ledger_free(given);
}
