#define CG_PART "rates"
#include <string.h>

#include "celeryglade/counters.h"
#include "internal/logging.h"
#include "rate_codec.h"
#include "rate_ctl.h"

#define MAX_MEMBERS 1024

static bool is_listed(struct cg_rates *r, const char *name)
{
	struct cg_member m;

	return !cg_members_find(r->members, name, &m) &&
	       (m.state == CG_MEMBER_LIVE || m.state == CG_MEMBER_LEAVING);
}

static void answer_one(struct cg_rates *r, const struct cg_config *c,
		       const struct cg_rate_process *process, bool listed,
		       const cg_x_rate_token_request *x, cg_x_rate_answer *out)
{
	struct cg_rate_answer a = { .status = CG_RATE_STATUS_NOT_READY };
	const struct cg_account *acc =
		c ? cg_config_find_account(c, x->account) : NULL;
	struct cg_rate_token_request request;
	struct rate_shard *sh;

	cg_rate_token_request_from_xdr(x, &request);
	if (acc) {
		const struct cg_rate_limits limits = { acc->name,
						       acc->rate_milli,
						       acc->burst_milli };

		sh = rate_shard_of(r, acc->shard);
		pthread_mutex_lock(&sh->lock);
		if (sh->ledger)
			cg_rate_ledger_handle_request(
				sh->ledger, cg_clock_now(r->clk), &limits,
				process, listed, &request, &a);
		else
			a.status = CG_RATE_STATUS_NOT_OWNER;
		pthread_mutex_unlock(&sh->lock);
	}
	if (a.status == CG_RATE_STATUS_OK && a.number > request.number)
		cg_count(CG_COUNTER_RATE_GRANTS);
	cg_rate_answer_to_xdr(&a, out);
}

int rate_handle_requests(struct cg_rates *r, const struct cg_peer_msg *msg,
			 GByteArray *reply)
{
	struct cg_rate_process process = { .incarnation = msg->incarnation };
	cg_x_rate_answers out = { 0 };
	struct cg_config *c;
	cg_x_rate_token_requests in;
	bool listed;
	int rc;

	if (cg_xdr_decode((xdrproc_t)xdr_cg_x_rate_token_requests, msg->body,
			  msg->len, &in, sizeof(in)))
		return -1;
	g_strlcpy(process.name, msg->sender, sizeof(process.name));
	process.addr.sin_family = AF_INET;
	process.addr.sin_addr.s_addr = htonl(in.ip);
	process.addr.sin_port = htons((uint16_t)in.port);
	listed = is_listed(r, msg->sender);
	c = cg_docs_config(r->docs);
	out.items.items_len = in.items.items_len;
	out.items.items_val = g_new0(cg_x_rate_answer, in.items.items_len + 1);
	for (u_int i = 0; i < in.items.items_len; i++)
		answer_one(r, c, &process, listed, &in.items.items_val[i],
			   &out.items.items_val[i]);
	rc = cg_xdr_encode((xdrproc_t)xdr_cg_x_rate_answers, &out, reply);
	g_free(out.items.items_val);
	if (c)
		cg_config_unref(c);
	xdr_free((xdrproc_t)xdr_cg_x_rate_token_requests, (char *)&in);
	return rc;
}

static void add_holders(struct rate_shard *sh, GHashTable *names)
{
	struct cg_rate_ledger_account *a;
	struct cg_rate_record *rec;
	GHashTableIter it;

	pthread_mutex_lock(&sh->lock);
	if (sh->ledger) {
		g_hash_table_iter_init(&it, sh->ledger->accounts);
		while (g_hash_table_iter_next(&it, NULL, (void **)&a))
			cds_list_for_each_entry(rec, &a->records, node)
				g_hash_table_add(names,
						 g_strdup(rec->holder.name));
	}
	pthread_mutex_unlock(&sh->lock);
}

static void count_reclaims(struct cg_rate_ledger *l, uint64_t before)
{
	if (l->reclaims > before)
		cg_count_add(CG_COUNTER_RATE_RECLAIMS, l->reclaims - before);
}

static void reclaim(struct cg_rates *r, const char *name, cg_ms now)
{
	for (uint32_t s = 0; s < CG_SHARDS; s++) {
		struct rate_shard *sh = rate_shard_of(r, s);

		pthread_mutex_lock(&sh->lock);
		if (sh->ledger) {
			uint64_t before = sh->ledger->reclaims;

			cg_rate_ledger_reclaim(sh->ledger, now, name, 0);
			count_reclaims(sh->ledger, before);
		}
		pthread_mutex_unlock(&sh->lock);
	}
	cg_info("%s is gone; reclaimed its holdings", name);
}

static void reclaim_gone(struct cg_rates *r, cg_ms now)
{
	GHashTable *names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const char *name;
	GHashTableIter it;

	for (uint32_t s = 0; s < CG_SHARDS; s++)
		add_holders(rate_shard_of(r, s), names);
	g_hash_table_iter_init(&it, names);
	while (g_hash_table_iter_next(&it, (void **)&name, NULL)) {
		struct cg_member m;

		if (strcmp(name, r->instance) != 0 &&
		    !cg_members_find(r->members, name, &m) &&
		    m.state == CG_MEMBER_GONE)
			reclaim(r, name, now);
	}
	g_hash_table_destroy(names);
}

/* A later incarnation at the same address proves that the earlier process has
 * ended, since only one process can bind the port. */
static void reclaim_earlier_incarnations(struct cg_rates *r, cg_ms now)
{
	struct cg_member *all = g_new0(struct cg_member, MAX_MEMBERS);
	size_t n = cg_members_copy(r->members, all, MAX_MEMBERS);

	for (uint32_t s = 0; s < CG_SHARDS; s++) {
		struct rate_shard *sh = rate_shard_of(r, s);
		uint64_t before;

		pthread_mutex_lock(&sh->lock);
		before = sh->ledger ? sh->ledger->reclaims : 0;
		for (size_t i = 0; sh->ledger && i < n; i++) {
			struct cg_rate_process p = {
				.incarnation = all[i].incarnation,
				.addr = all[i].addr,
			};

			g_strlcpy(p.name, all[i].name, sizeof(p.name));
			if (p.incarnation)
				cg_rate_ledger_reclaim_earlier(sh->ledger, now,
							       &p);
		}
		if (sh->ledger)
			count_reclaims(sh->ledger, before);
		pthread_mutex_unlock(&sh->lock);
	}
	g_free(all);
}

void rate_reclaim_from_members(struct cg_rates *r, cg_ms now)
{
	uint64_t generation = cg_members_generation(r->members);

	/* Without a change of members, check once per second: a member may
	 * become proved gone just because time passes. */
	if (generation == r->member_generation &&
	    now - r->members_checked_at < 1000)
		return;
	r->members_checked_at = now;
	reclaim_gone(r, now);
	if (generation != r->member_generation)
		reclaim_earlier_incarnations(r, now);
	r->member_generation = generation;
}

void rate_update_ledgers(struct cg_rates *r, cg_ms now)
{
	for (uint32_t s = 0; s < CG_SHARDS; s++) {
		struct rate_shard *sh = rate_shard_of(r, s);

		rate_apply_map(r, s, now);
		pthread_mutex_lock(&sh->lock);
		if (sh->ledger)
			cg_rate_ledger_tick(sh->ledger, now);
		pthread_mutex_unlock(&sh->lock);
	}
}
