#define CG_PART "rates"
#include <string.h>

#include "rate_ctl.h"

static void add_int(struct json_object *o, const char *name, int64_t v)
{
	json_object_object_add(o, name, json_object_new_int64(v));
}

static void add_string(struct json_object *o, const char *name, const char *v)
{
	json_object_object_add(o, name, json_object_new_string(v));
}

static void add_share(struct json_object *o, const struct cg_rate_share *s)
{
	add_int(o, "refill_milli_per_s", s->refill_right);
	add_int(o, "capacity_milli", s->capacity);
	add_int(o, "tokens_milli", s->tokens);
}

static void add_lease(struct json_object *o, cg_ms until, cg_ms now)
{
	if (until != CG_MS_NEVER)
		add_int(o, "lease_left_ms", until > now ? until - now : 0);
}

static struct json_object *describe_entry(struct rate_entry *e, cg_ms now)
{
	struct json_object *o = json_object_new_object();

	cg_rate_holding_expire(&e->holding, now);
	cg_rate_bucket_refill(&e->holding.bucket, now);
	add_share(o, &e->holding.bucket.share);
	if (e->holding.session)
		add_lease(o, e->holding.lease_until, now);
	add_int(o, "demand_milli_per_s", e->holding.demand);
	add_int(o, "waiting", e->waiter_count);
	add_int(o, "refused", (int64_t)e->holding.refused);
	if (e->answered_at >= 0)
		add_int(o, "last_answer_ms_ago", now - e->answered_at);
	if (e->holding.refuse_until > now)
		add_int(o, "refuses_for_ms", e->holding.refuse_until - now);
	return o;
}

static struct json_object *describe_record(const struct cg_rate_record *r,
					   cg_ms now)
{
	struct json_object *o = json_object_new_object();

	add_string(o, "instance", r->holder.name);
	add_int(o, "incarnation", (int64_t)r->holder.incarnation);
	add_int(o, "refill_milli_per_s", cg_rate_record_refill_right(r));
	add_int(o, "capacity_milli", cg_rate_record_capacity(r));
	add_lease(o, r->lease_until, now);
	add_int(o, "demand_milli_per_s", r->demand);
	add_int(o, "heard_ms_ago", now - r->last_seen_at);
	return o;
}

static const char *state_name(enum cg_rate_ledger_state s)
{
	switch (s) {
	case CG_RATE_LEDGER_SURVEY:
		return "survey";
	case CG_RATE_LEDGER_ACTIVE:
		return "active";
	case CG_RATE_LEDGER_CLOSED:
		break;
	}
	return "closed";
}

static struct json_object *describe_ledger(struct cg_rate_ledger *l,
					   const char *account, cg_ms now)
{
	struct cg_rate_ledger_account *a = cg_rate_ledger_find(l, account);
	struct json_object *o = json_object_new_object();
	struct json_object *holders = json_object_new_array();
	struct cg_rate_record *r;

	add_string(o, "state", state_name(l->state));
	add_int(o, "epoch", (int64_t)l->epoch);
	json_object_object_add(o, "holders", holders);
	if (!a)
		return o;
	cg_rate_bucket_refill(&a->pool, now);
	add_share(o, &a->pool.share);
	add_int(o, "asks", (int64_t)a->requests);
	add_int(o, "denied", (int64_t)a->denied);
	cds_list_for_each_entry(r, &a->records, node)
		json_object_array_add(holders, describe_record(r, now));
	return o;
}

static void describe_coordinator(struct cg_rates *r, uint32_t shard,
				 struct json_object *o)
{
	struct cg_shard_owner owner;

	if (cg_shards_owner(r->map, shard, &owner)) {
		add_string(o, "coordinator", "none");
		return;
	}
	add_string(o, "coordinator", owner.instance);
	add_int(o, "coordinator_epoch", (int64_t)owner.epoch);
	json_object_object_add(o, "coordinator_is_this_instance",
			       json_object_new_boolean(owner.self));
}

struct json_object *cg_rates_status(struct cg_rates *r, const char *account)
{
	struct json_object *o = json_object_new_object();
	struct cg_config *c = cg_docs_config(r->docs);
	const struct cg_account *a =
		c ? cg_config_find_account(c, account) : NULL;
	uint32_t shard = a ? a->shard : cg_shard_of(account);
	struct rate_shard *sh = rate_shard_of(r, shard);
	cg_ms now = cg_clock_now(r->clk);
	struct rate_entry *e;

	add_string(o, "account", account);
	add_int(o, "shard", shard);
	if (a) {
		add_int(o, "rate_milli_per_s", a->rate_milli);
		add_int(o, "burst_milli", a->burst_milli);
	}
	if (c)
		cg_config_unref(c);
	describe_coordinator(r, shard, o);
	add_int(o, "refused_all_accounts", (int64_t)atomic_load(&r->refused));
	add_int(o, "unavailable_all_accounts",
		(int64_t)atomic_load(&r->unavailable));
	pthread_mutex_lock(&sh->lock);
	e = g_hash_table_lookup(sh->entries, account);
	if (e)
		json_object_object_add(o, "holding", describe_entry(e, now));
	if (sh->ledger)
		json_object_object_add(
			o, "ledger", describe_ledger(sh->ledger, account, now));
	pthread_mutex_unlock(&sh->lock);
	return o;
}
