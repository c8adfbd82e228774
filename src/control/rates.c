#define CG_PART "rates"
#include "internal/rates.h"

#include <string.h>

#include "celeryglade/counters.h"
#include "internal/logging.h"
#include "rate_ctl.h"

#define TICK_MS	   50
#define REPORT_MS  250
#define LEDGERS_MS 250
/* The first round may deliver a grant whose answer was lost, the second returns
 * it, and the third is for a lost answer to the second. */
#define STOP_ROUNDS 3

struct rate_shard *rate_shard_of(struct cg_rates *r, uint32_t shard)
{
	return &r->shards[shard % CG_SHARDS];
}

void rate_own_process(const struct cg_rates *r, struct cg_rate_process *out)
{
	memset(out, 0, sizeof(*out));
	g_strlcpy(out->name, r->instance, sizeof(out->name));
	out->incarnation = cg_peer_incarnation(r->peer);
	out->addr = r->addr;
}

struct rate_entry *rate_entry_get(struct cg_rates *r, struct rate_shard *sh,
				  const struct cg_account *a, cg_ms now)
{
	struct rate_entry *e = g_hash_table_lookup(sh->entries, a->name);

	if (e)
		return e;
	e = g_new0(struct rate_entry, 1);
	g_strlcpy(e->name, a->name, sizeof(e->name));
	CDS_INIT_LIST_HEAD(&e->waiters);
	e->created_at = now;
	e->answered_at = -1;
	cg_rate_holding_init(&e->holding, now, sh->refused_up_to, a->rate_milli,
			     a->burst_milli);
	g_hash_table_insert(sh->entries, e->name, e);
	return e;
}

static enum cg_rate_result count_result(struct cg_rates *r,
					enum cg_rate_result result)
{
	if (result == CG_RATE_REFUSED)
		atomic_fetch_add_explicit(&r->refused, 1, memory_order_relaxed);
	else if (result == CG_RATE_UNAVAILABLE)
		atomic_fetch_add_explicit(&r->unavailable, 1,
					  memory_order_relaxed);
	return result;
}

/* Requests tokens from the ledger in this process. */
static enum cg_rate_result admit_from_own_ledger(struct cg_rates *r,
						 struct rate_shard *sh,
						 struct rate_entry *e,
						 const struct cg_account *a,
						 cg_ms now)
{
	const struct cg_rate_limits limits = { a->name, a->rate_milli,
					       a->burst_milli };
	enum cg_rate_status status = CG_RATE_STATUS_OK;

	/* The first answer may just close the session. */
	for (int i = 0; i < 2; i++) {
		e->waiter_count++;
		status = rate_request_from_own_ledger(r, sh, e, &limits, now);
		e->waiter_count--;
		if (cg_rate_holding_admit_waiting(&e->holding, now))
			return CG_RATE_ADMITTED;
		if (status != CG_RATE_STATUS_CLOSED ||
		    e->holding.refuse_until > now)
			break;
	}
	if (status == CG_RATE_STATUS_OK || status == CG_RATE_STATUS_CLOSED)
		return CG_RATE_REFUSED;
	return rate_result_without_answer(e);
}

/* Requests tokens for an entry without any. Unlocks the shard. */
static enum cg_rate_result admit_by_request(struct cg_rates *r, uint32_t shard,
					    struct rate_entry *e,
					    const struct cg_account *a,
					    struct cg_rate_waiter *w, cg_ms now)
{
	struct rate_shard *sh = rate_shard_of(r, shard);
	struct rate_link *link = NULL;
	enum cg_rate_result result = CG_RATE_WAIT;

	if (sh->ledger) {
		result = admit_from_own_ledger(r, sh, e, a, now);
		pthread_mutex_unlock(&sh->lock);
		return result;
	}
	w->deadline = now + r->wait_ms;
	cds_list_add_tail(&w->node, &e->waiters);
	e->waiter_count++;
	atomic_fetch_add(&r->waiter_count, 1);
	if (!e->request_pending && rate_queue_request(r, shard, e, &link)) {
		cds_list_del(&w->node);
		e->waiter_count--;
		atomic_fetch_sub(&r->waiter_count, 1);
		result = rate_result_without_answer(e);
	}
	pthread_mutex_unlock(&sh->lock);
	if (link)
		rate_link_flush(r, link);
	return result;
}

enum cg_rate_result cg_rates_admit(struct cg_rates *r,
				   const struct cg_account *a,
				   struct cg_rate_waiter *w)
{
	struct rate_shard *sh = rate_shard_of(r, a->shard);
	cg_ms now = cg_clock_now(r->clk);
	enum cg_rate_result result = CG_RATE_UNAVAILABLE;
	struct rate_entry *e;

	pthread_mutex_lock(&sh->lock);
	e = rate_entry_get(r, sh, a, now);
	switch (cg_rate_holding_admit(&e->holding, now)) {
	case CG_RATE_HOLDING_ADMIT:
		pthread_mutex_unlock(&sh->lock);
		return CG_RATE_ADMITTED;
	case CG_RATE_HOLDING_REFUSE:
		pthread_mutex_unlock(&sh->lock);
		return count_result(r, CG_RATE_REFUSED);
	case CG_RATE_HOLDING_REQUEST:
		break;
	}
	if (atomic_load(&r->stopping)) {
		pthread_mutex_unlock(&sh->lock);
		return count_result(r, result);
	}
	result = admit_by_request(r, a->shard, e, a, w, now);
	return count_result(r, result);
}

static struct cg_rate_limits limits_of(const struct cg_config *c,
				       const char *name)
{
	const struct cg_account *a = cg_config_find_account(c, name);
	struct cg_rate_limits limits = { name, 0, 0 };

	if (a) {
		limits.rate = a->rate_milli;
		limits.burst = a->burst_milli;
	}
	return limits;
}

static void set_shard_limits(struct rate_shard *sh, const struct cg_config *c,
			     cg_ms now)
{
	struct cg_rate_ledger_account *acc;
	struct cg_rate_limits limits;
	struct rate_entry *e;
	GHashTableIter it;

	pthread_mutex_lock(&sh->lock);
	g_hash_table_iter_init(&it, sh->entries);
	while (g_hash_table_iter_next(&it, NULL, (void **)&e)) {
		limits = limits_of(c, e->name);
		cg_rate_holding_set_limits(&e->holding, now, limits.rate,
					   limits.burst);
	}
	if (sh->ledger && sh->ledger->state == CG_RATE_LEDGER_ACTIVE) {
		g_hash_table_iter_init(&it, sh->ledger->accounts);
		while (g_hash_table_iter_next(&it, NULL, (void **)&acc)) {
			limits = limits_of(c, acc->name);
			cg_rate_ledger_set_limits(sh->ledger, now, &limits);
		}
	}
	pthread_mutex_unlock(&sh->lock);
}

/* Applies a new configuration to holdings and ledgers. The limits that requests
 * pass in are not used for this, since a request may still hold an older
 * configuration. */
static void apply_config(struct cg_rates *r, cg_ms now)
{
	uint64_t version = cg_docs_version(r->docs, CG_DOC_ROOT);
	struct cg_config *c;

	if (version == r->config_version)
		return;
	c = cg_docs_config(r->docs);
	if (!c)
		return;
	r->config_version = version;
	for (uint32_t s = 0; s < CG_SHARDS; s++)
		set_shard_limits(rate_shard_of(r, s), c, now);
	cg_config_unref(c);
}

static void expire_waiters(struct cg_rates *r, cg_ms now)
{
	if (!atomic_load(&r->waiter_count))
		return;
	for (uint32_t s = 0; s < CG_SHARDS; s++) {
		struct rate_shard *sh = rate_shard_of(r, s);
		struct rate_entry *e;
		GHashTableIter it;

		pthread_mutex_lock(&sh->lock);
		g_hash_table_iter_init(&it, sh->entries);
		while (g_hash_table_iter_next(&it, NULL, (void **)&e)) {
			CDS_LIST_HEAD(late);
			enum cg_rate_result result;

			if (!e->waiter_count)
				continue;
			rate_expire_waiters(r, e, now, &late);
			if (cds_list_empty(&late))
				continue;
			/* The waiters are on a local list now. Their functions
			 * run without the lock, so the iteration must start
			 * again afterwards. */
			result = rate_result_without_answer(e);
			pthread_mutex_unlock(&sh->lock);
			rate_complete_waiters(r, &late, result);
			pthread_mutex_lock(&sh->lock);
			g_hash_table_iter_init(&it, sh->entries);
		}
		pthread_mutex_unlock(&sh->lock);
	}
}

static void *run(void *arg)
{
	struct cg_rates *r = arg;
	cg_ms reported_at = 0;
	uint64_t map_version = 0;

	while (!atomic_load(&r->stopping)) {
		cg_ms now = cg_clock_now(r->clk);
		uint64_t map = cg_shards_map_version(r->map);

		expire_waiters(r, now);
		apply_config(r, now);
		/* A changed map is applied at once: other daemons send requests
		 * to the new owner as soon as they know the map. */
		if (now - r->ledgers_updated_at >= LEDGERS_MS ||
		    map != map_version) {
			map_version = map;
			r->ledgers_updated_at = now;
			rate_update_ledgers(r, now);
			rate_reclaim_from_members(r, now);
			rate_run_surveys(r, now);
		}
		if (now - reported_at >= REPORT_MS) {
			reported_at = now;
			rate_send_reports(r, false);
		}
		cg_sleep(TICK_MS);
	}
	return NULL;
}

struct cg_rates *cg_rates_new(const struct cg_settings *s, struct cg_clock *clk,
			      struct cg_peer *peer, struct cg_members *members,
			      struct cg_shards *shards, struct cg_docs *docs)
{
	struct cg_rates *r = g_new0(struct cg_rates, 1);

	g_strlcpy(r->instance, s->instance, sizeof(r->instance));
	r->addr = s->peer;
	r->wait_ms = s->rate_wait_ms;
	r->unlisted_lease_ms = s->unlisted_lease_ms;
	r->clk = clk;
	r->peer = peer;
	r->members = members;
	r->map = shards;
	r->docs = docs;
	r->member_generation = UINT64_MAX;
	pthread_mutex_init(&r->links_lock, NULL);
	r->links = g_hash_table_new(g_str_hash, g_str_equal);
	for (uint32_t i = 0; i < CG_SHARDS; i++) {
		struct rate_shard *sh = &r->shards[i];

		pthread_mutex_init(&sh->lock, NULL);
		sh->entries = g_hash_table_new_full(g_str_hash, g_str_equal,
						    NULL, g_free);
	}
	return r;
}

int cg_rates_start(struct cg_rates *r)
{
	/* The ledgers of this process's shards must exist before the first
	 * request arrives. */
	rate_update_ledgers(r, cg_clock_now(r->clk));
	if (pthread_create(&r->thread, NULL, run, r))
		return -1;
	r->running = true;
	return 0;
}

void cg_rates_stop(struct cg_rates *r)
{
	if (!r->running)
		return;
	atomic_store(&r->stopping, true);
	pthread_join(r->thread, NULL);
	r->running = false;
	expire_waiters(r, CG_MS_NEVER);
	/* The answer to a call in flight could add a grant after the holdings
	 * are returned. */
	while (atomic_load(&r->calls_in_flight))
		cg_sleep(1);
	for (int i = 0; i < STOP_ROUNDS && rate_send_reports(r, true); i++)
		;
	rate_update_ledgers(r, cg_clock_now(r->clk));
}

void cg_rates_free(struct cg_rates *r)
{
	if (!r)
		return;
	cg_rates_stop(r);
	for (uint32_t i = 0; i < CG_SHARDS; i++) {
		struct rate_shard *sh = &r->shards[i];

		g_hash_table_destroy(sh->entries);
		cg_rate_ledger_free(sh->ledger);
		if (sh->survey_answers)
			g_hash_table_destroy(sh->survey_answers);
		rate_import_free(sh->import);
		pthread_mutex_destroy(&sh->lock);
	}
	rate_links_free(r);
	pthread_mutex_destroy(&r->links_lock);
	g_free(r);
}

int cg_rates_handle(struct cg_rates *r, const struct cg_peer_msg *msg,
		    GByteArray *reply)
{
	switch (msg->kind) {
	case CG_MSG_RATE_TOKEN_REQUEST:
	case CG_MSG_RATE_RETURN:
		return rate_handle_requests(r, msg, reply);
	case CG_MSG_RATE_SURVEY:
		return rate_handle_survey(r, msg, reply);
	case CG_MSG_SHARD_HANDOVER:
		return rate_handle_handover(r, msg, reply);
	default:
		return -1;
	}
}
