#define CG_PART "rates"
#include <string.h>

#include "celeryglade/counters.h"
#include "internal/logging.h"
#include "rate_codec.h"
#include "rate_ctl.h"

/* Time that a new coordinator waits for the previous one's handover before it
 * starts a survey. After that a handover is no longer accepted. */
#define HANDOVER_WAIT_MS 2000
#define SURVEY_CALL_MS	 250
/* Limits the delay of reports by calls to members that do not answer. */
#define SURVEY_ROUND_MS	   500
#define SURVEY_INTERVAL_MS 1000
#define MAX_MEMBERS	   1024
#define UNLISTED_SEEN_MS   60000

/* Moves every holding of the shard to the epoch. The shard is locked. */
static void move_all_to_epoch(struct rate_shard *sh, uint64_t epoch, cg_ms now)
{
	uint64_t survey_session = cg_rate_survey_session(epoch);
	struct rate_entry *e;
	GHashTableIter it;

	if (sh->refused_up_to < survey_session)
		sh->refused_up_to = survey_session;
	if (sh->survey_epoch < epoch)
		sh->survey_epoch = epoch;
	g_hash_table_iter_init(&it, sh->entries);
	while (g_hash_table_iter_next(&it, NULL, (void **)&e))
		cg_rate_holding_move_to_epoch(&e->holding, now, epoch);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	const struct rate_entry *const *x = a, *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

/* Returns the entries with a holding of the epoch, sorted by name. */
static GPtrArray *held_entries(struct rate_shard *sh, uint64_t epoch)
{
	GPtrArray *out = g_ptr_array_new();
	struct rate_entry *e;
	GHashTableIter it;

	g_hash_table_iter_init(&it, sh->entries);
	while (g_hash_table_iter_next(&it, NULL, (void **)&e))
		if (e->holding.session == cg_rate_survey_session(epoch))
			g_ptr_array_add(out, e);
	g_ptr_array_sort(out, compare_names);
	return out;
}

static void fill_survey_items(struct rate_shard *sh, const cg_x_rate_survey *q,
			      cg_x_rate_survey_answer *out)
{
	GPtrArray *all = held_entries(sh, q->epoch);
	u_int n = 0;

	out->items.items_val = g_new0(cg_x_rate_survey_item, CG_X_RATE_ITEMS);
	for (guint i = 0; i < all->len; i++) {
		struct rate_entry *e = g_ptr_array_index(all, i);
		cg_x_rate_survey_item *h;

		if (strcmp(e->name, q->after) <= 0)
			continue;
		if (n == CG_X_RATE_ITEMS) {
			out->more = TRUE;
			break;
		}
		h = &out->items.items_val[n++];
		h->account = g_strdup(e->name);
		cg_rate_share_to_xdr(&e->holding.granted, &h->granted);
		cg_rate_share_to_xdr(&e->holding.released, &h->released);
	}
	out->items.items_len = n;
	g_ptr_array_free(all, TRUE);
}

/* Returns -1 if this daemon knows a later coordinator than the surveying
 * one. */
static int answer_survey(struct cg_rates *r, const cg_x_rate_survey *q,
			 cg_x_rate_survey_answer *out)
{
	struct rate_shard *sh = rate_shard_of(r, q->shard);
	cg_ms now = cg_clock_now(r->clk);

	pthread_mutex_lock(&sh->lock);
	if (q->epoch < sh->survey_epoch ||
	    (sh->ledger && sh->ledger->epoch >= q->epoch)) {
		pthread_mutex_unlock(&sh->lock);
		return -1;
	}
	/* If this daemon is an earlier coordinator, it stops granting now. */
	cg_rate_ledger_free(sh->ledger);
	sh->ledger = NULL;
	if (q->epoch > sh->survey_epoch)
		move_all_to_epoch(sh, q->epoch, now);
	fill_survey_items(sh, q, out);
	pthread_mutex_unlock(&sh->lock);
	return 0;
}

int rate_handle_survey(struct cg_rates *r, const struct cg_peer_msg *msg,
		       GByteArray *reply)
{
	cg_x_rate_survey_answer out = { 0 };
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
		rc = cg_xdr_encode((xdrproc_t)xdr_cg_x_rate_survey_answer, &out,
				   reply);
		for (u_int i = 0; i < out.items.items_len; i++)
			g_free(out.items.items_val[i].account);
		g_free(out.items.items_val);
	}
	xdr_free((xdrproc_t)xdr_cg_x_rate_survey, (char *)&q);
	return rc;
}

/* Adds one page to the ledger. The shard is locked. An account that is not in
 * this daemon's configuration is recorded with a rate and burst of 0, so that
 * its holders still count. */
static void add_survey_page(struct cg_rates *r, struct rate_shard *sh,
			    const struct cg_config *c,
			    const cg_x_rate_survey_answer *x)
{
	struct cg_rate_process process = { .incarnation = x->incarnation };

	g_strlcpy(process.name, x->instance, sizeof(process.name));
	process.addr.sin_family = AF_INET;
	process.addr.sin_addr.s_addr = htonl(x->ip);
	process.addr.sin_port = htons((uint16_t)x->port);
	for (u_int i = 0; i < x->items.items_len; i++) {
		const cg_x_rate_survey_item *h = &x->items.items_val[i];
		const struct cg_account *a =
			c ? cg_config_find_account(c, h->account) : NULL;
		struct cg_rate_limits limits = { h->account,
						 a ? a->rate_milli : 0,
						 a ? a->burst_milli : 0 };
		struct cg_rate_share granted, released;

		cg_rate_share_from_xdr(&h->granted, &granted);
		cg_rate_share_from_xdr(&h->released, &released);
		cg_rate_ledger_survey_add(sh->ledger, cg_clock_now(r->clk),
					  &limits, &process, &granted,
					  &released);
	}
	if (x->more)
		return;
	cg_rate_ledger_survey_done(sh->ledger, &process);
	g_hash_table_insert(sh->survey_answers, g_strdup(x->instance),
			    GSIZE_TO_POINTER(x->incarnation));
}

/* Asks the member for its holdings of the accounts after @p after, and adds
 * this page of them to the ledger. Returns 0 if there are more pages (@p after
 * is then the page's last account), 1 after the last page, -1 if the member did
 * not answer, another instance answered at its address, or the survey of this
 * epoch has ended. */
static int survey_page(struct cg_rates *r, uint32_t shard, uint64_t epoch,
		       const struct cg_member *m, char after[CG_NAME_MAX + 1])
{
	struct rate_shard *sh = rate_shard_of(r, shard);
	cg_x_rate_survey q = { shard, epoch, after };
	GByteArray *body = g_byte_array_new(), *reply = g_byte_array_new();
	struct cg_config *c;
	cg_x_rate_survey_answer x;
	int rc = -1;

	if (cg_xdr_encode((xdrproc_t)xdr_cg_x_rate_survey, &q, body) ||
	    cg_peer_call(r->peer, &m->addr, CG_MSG_RATE_SURVEY, body->data,
			 body->len, SURVEY_CALL_MS, reply) ||
	    cg_xdr_decode((xdrproc_t)xdr_cg_x_rate_survey_answer, reply->data,
			  reply->len, &x, sizeof(x)))
		goto out;
	c = cg_docs_config(r->docs);
	pthread_mutex_lock(&sh->lock);
	if (!strcmp(x.instance, m->name) && sh->ledger &&
	    sh->ledger->epoch == epoch) {
		add_survey_page(r, sh, c, &x);
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
	xdr_free((xdrproc_t)xdr_cg_x_rate_survey_answer, (char *)&x);
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

/* Unlisted members that were seen recently must answer, too: the previous
 * coordinator may have seen a newer list that contains them. */
static bool must_answer(const struct cg_member *m, cg_ms now)
{
	switch (m->state) {
	case CG_MEMBER_LIVE:
	case CG_MEMBER_LEAVING:
		return true;
	case CG_MEMBER_UNLISTED:
		return now - m->last_seen_at < UNLISTED_SEEN_MS;
	case CG_MEMBER_GONE:
		break;
	}
	return false;
}

/* The shard is locked. */
static bool has_answered(const struct rate_shard *sh, const struct cg_member *m)
{
	gpointer incarnation;

	return g_hash_table_lookup_extended(sh->survey_answers, m->name, NULL,
					    &incarnation) &&
	       (!m->incarnation ||
		m->incarnation == GPOINTER_TO_SIZE(incarnation));
}

/* Starts the survey with this daemon's own holdings. The shard is locked. */
static void start_survey(struct cg_rates *r, uint32_t shard, cg_ms now)
{
	struct rate_shard *sh = rate_shard_of(r, shard);
	struct cg_config *c = cg_docs_config(r->docs);
	cg_x_rate_survey all = { shard, sh->ledger->epoch, (char *)"" };
	cg_x_rate_survey_answer own = { 0 };
	char after[CG_NAME_MAX + 1] = "";

	sh->survey_started = true;
	rate_import_free(sh->import);
	sh->import = NULL;
	move_all_to_epoch(sh, sh->ledger->epoch, now);
	own.instance = r->instance;
	own.incarnation = cg_peer_incarnation(r->peer);
	own.ip = ntohl(r->addr.sin_addr.s_addr);
	own.port = ntohs(r->addr.sin_port);
	do {
		own.more = FALSE;
		all.after = after;
		fill_survey_items(sh, &all, &own);
		add_survey_page(r, sh, c, &own);
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
	cg_info("shard %u: started a survey of all members' holdings", shard);
}

/* Returns the epoch of the running survey, or 0. Starts a survey if no
 * handover was received within HANDOVER_WAIT_MS. */
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

/* A member that does not answer is skipped for the rest of the round, so it
 * costs one timeout for all shards together. Each round starts with another
 * member, so that members that do not answer cannot prevent the others from
 * being called. */
static void call_members(struct cg_rates *r, const uint64_t epochs[CG_SHARDS],
			 const struct cg_member *all, size_t n, cg_ms now)
{
	cg_ms until = now + SURVEY_ROUND_MS;
	size_t first = (size_t)(now / SURVEY_INTERVAL_MS) * 7;

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

void rate_run_surveys(struct cg_rates *r, cg_ms now)
{
	uint64_t epochs[CG_SHARDS];
	struct cg_member *all;
	bool any = false;
	size_t n;

	if (now - r->surveyed_at < SURVEY_INTERVAL_MS)
		return;
	r->surveyed_at = now;
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

/* Starts to coordinate the shard, which is locked. */
static void start_ledger(struct cg_rates *r, uint32_t shard,
			 const struct cg_shard_owner *o, cg_ms now)
{
	struct rate_shard *sh = rate_shard_of(r, shard);

	cg_rate_ledger_free(sh->ledger);
	/* Epoch 1 is the first owner: there is no earlier coordinator whose
	 * grants could still be valid. */
	sh->ledger = cg_rate_ledger_new(shard, o->epoch, o->epoch <= 1,
					r->unlisted_lease_ms, now);
	sh->took_over_at = now;
	sh->survey_started = false;
	if (sh->survey_answers)
		g_hash_table_destroy(sh->survey_answers);
	sh->survey_answers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rate_try_import(r, sh, now);
}

void rate_apply_map(struct cg_rates *r, uint32_t shard, cg_ms now)
{
	struct rate_shard *sh = rate_shard_of(r, shard);
	struct cg_rate_ledger *handed_over = NULL;
	struct cg_shard_owner o;

	if (cg_shards_owner(r->map, shard, &o))
		return;
	pthread_mutex_lock(&sh->lock);
	if (o.self && (!sh->survey_epoch || o.epoch > sh->survey_epoch) &&
	    (!sh->ledger || sh->ledger->epoch < o.epoch)) {
		start_ledger(r, shard, &o, now);
	} else if (!o.self && sh->ledger && sh->ledger->epoch < o.epoch) {
		handed_over = sh->ledger;
		sh->ledger = NULL;
	}
	pthread_mutex_unlock(&sh->lock);
	if (handed_over && handed_over->state == CG_RATE_LEDGER_ACTIVE)
		rate_hand_over(r, handed_over, &o);
	cg_rate_ledger_free(handed_over);
}
