#define CG_PART "rates"
#include "quota_internal.h"

#include <math.h>
#include <string.h>

#include "internal/logging.h"

/* Interval at which an account's share is recomputed. */
#define SHARE_INTERVAL_MS 200
/* Each domain's bucket is larger than its share of the burst by this: a bucket
 * that holds less than one token would admit no request. */
#define EXTRA_TOKEN_MILLI (1 * CG_RATE_REQUEST_COST)
/* Further tokens of a broker that its whole domain follows, if there are several
 * domains. A small account has a burst of a few requests in all, which its callers
 * in one domain exceed now and then although the account stays within its rate.
 * The limit tolerates 20 requests a window. */
#define DOMAIN_TOKENS_MILLI (4 * CG_RATE_REQUEST_COST)
/* Tokens of a broker that begins to lead. It does not know what its predecessors
 * admitted, and the limit tolerates 10 % and 20 requests more per window: several
 * hand-overs in each domain must fit into that. */
#define TAKEOVER_TOKENS_MILLI (1 * CG_RATE_REQUEST_COST)
/* Warm-up time of a broker that took over. A burst of one second's requests
 * refills within it. */
#define WARM_UP_MS 2000
/* Minimum interval between log lines on refusals of one account. */
#define LOG_INTERVAL_MS 1000
/* Largest Retry-After sent to refused callers. */
#define RETRY_AFTER_MAX_MS 2000

static void free_account(void *p)
{
	struct account_rate *e = p;

	g_hash_table_unref(e->others);
	g_free(e);
}

struct cgw_quota *cgw_quota_new(unsigned int domains)
{
	struct cgw_quota *q = g_new0(struct cgw_quota, 1);

	q->domains = domains ? domains : 1;
	q->broker_share = 1;
	q->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    free_account);
	q->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return q;
}

void cgw_quota_free(struct cgw_quota *q)
{
	if (!q)
		return;
	g_hash_table_unref(q->accounts);
	g_hash_table_unref(q->peers);
	g_free(q);
}

/* Makes the next request of each account recompute its share. */
void cgw_quota_expire_shares(struct cgw_quota *q)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->accounts);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct account_rate *)value)->share_updated_at =
			-SHARE_INTERVAL_MS;
}

void cgw_quota_set_broker_share(struct cgw_quota *q, double broker_share)
{
	if (broker_share == q->broker_share)
		return;
	q->broker_share = broker_share;
	cgw_quota_expire_shares(q);
}

double cgw_quota_broker_share(unsigned int followers, unsigned int members)
{
	return followers >= members ? 1 : (double)followers / members;
}

static void decay_demand(struct account_rate *e, cg_ms now)
{
	if (now <= e->demand_at)
		return;
	e->demand *= exp(-(double)(now - e->demand_at) / DEMAND_TAU_MS);
	e->demand_at = now;
}

int64_t cgw_account_demand(struct account_rate *e, cg_ms now)
{
	decay_demand(e, now);
	return (int64_t)(e->demand * 1e6);
}

static int64_t extra_tokens(const struct cgw_quota *q)
{
	return q->domains > 1
		       ? EXTRA_TOKEN_MILLI + (int64_t)(q->broker_share *
						       DOMAIN_TOKENS_MILLI)
		       : EXTRA_TOKEN_MILLI;
}

/* Sets an account's bucket to this broker's share of its rate and burst: the
 * own domain's share, times the part of it that this broker may use. */
void cgw_account_update_share(struct cgw_quota *q, struct account_rate *e,
			      cg_ms now)
{
	int64_t share = (int64_t)(q->broker_share *
				  (double)cgw_account_own_share(q, e, now));

	cg_rate_bucket_resize(
		&e->bucket, now,
		cg_rate_fraction(e->rate_milli, share, CGW_SHARE_WHOLE),
		cg_rate_fraction(e->burst_milli, share, CGW_SHARE_WHOLE) +
			extra_tokens(q));
	e->share_updated_at = now;
}

/* What the other domains reported before is out of date. Until they report
 * again, each is assumed to have an equal share. */
static void begin_to_lead(const struct cgw_quota *q, struct account_rate *e,
			  cg_ms now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, e->others);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct domain_demand *o = value;

		o->known = false;
		o->received_at = now;
		o->share = CGW_SHARE_WHOLE / q->domains;
		o->given = 0;
		o->received = 0;
		o->acknowledged = 0;
		o->adopted = 0;
	}
	e->told = false;
	cg_rate_bucket_refill(&e->bucket, now);
	e->bucket.share.tokens =
		MIN(e->bucket.share.tokens, TAKEOVER_TOKENS_MILLI);
	e->led_since = now;
}

static struct account_rate *add_account(struct cgw_quota *q, const char *name,
					const struct cgw_account *a, cg_ms now)
{
	struct account_rate *e = g_new0(struct account_rate, 1);

	e->rate_milli = a->rate_milli;
	e->burst_milli = a->burst_milli;
	e->demand_at = now;
	e->logged_at = -LOG_INTERVAL_MS;
	e->others =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	cg_rate_bucket_init(&e->bucket, now);
	cgw_account_update_share(q, e, now);
	e->bucket.share.tokens = e->bucket.share.capacity;
	begin_to_lead(q, e, now);
	g_hash_table_insert(q->accounts, g_strdup(name), e);
	return e;
}

void cgw_quota_begin_to_lead(struct cgw_quota *q, cg_ms now)
{
	GHashTableIter it;
	gpointer value;

	q->confirmed_at = 0;
	q->led_since = now;
	g_hash_table_remove_all(q->peers);
	g_hash_table_iter_init(&it, q->accounts);
	while (g_hash_table_iter_next(&it, NULL, &value))
		begin_to_lead(q, value, now);
}

void cgw_quota_configure(struct cgw_quota *q, const struct cgw_table *t,
			 cg_ms now)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, q->accounts);
	while (g_hash_table_iter_next(&it, &key, NULL))
		if (!cgw_table_find_account(t, key))
			g_hash_table_iter_remove(&it);
	g_hash_table_iter_init(&it, cgw_table_accounts(t));
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct cgw_account *a = value;
		struct account_rate *e = g_hash_table_lookup(q->accounts, key);

		if (!e)
			e = add_account(q, key, a, now);
		e->rate_milli = a->rate_milli;
		e->burst_milli = a->burst_milli;
		cgw_account_update_share(q, e, now);
	}
}

/* Logs why requests of an account are refused, at most once a second. */
static void log_refusal(const struct cgw_quota *q, const char *account,
			struct account_rate *e, cg_ms now)
{
	e->refused++;
	if (now - e->logged_at < LOG_INTERVAL_MS)
		return;
	e->logged_at = now;
	cg_info("account %s exceeds its rate: %u requests refused since the "
		"last line, share here %.1f of %.1f requests/s, demand here "
		"%.1f/s, broker share %.2f, %u other domains reporting",
		account, e->refused,
		(double)e->bucket.share.refill_right / 1000,
		(double)e->rate_milli / 1000, e->demand * 1000, q->broker_share,
		g_hash_table_size(e->others));
	e->refused = 0;
}

bool cgw_quota_admit(struct cgw_quota *q, const char *account, cg_ms now,
		     cg_ms *retry_after_ms)
{
	struct account_rate *e = g_hash_table_lookup(q->accounts, account);
	int64_t missing_tokens;

	if (!e || e->rate_milli <= 0)
		return true;
	decay_demand(e, now);
	e->demand += 1.0 / DEMAND_TAU_MS;
	if (now - e->share_updated_at >= SHARE_INTERVAL_MS)
		cgw_account_update_share(q, e, now);
	if (cg_rate_bucket_take(&e->bucket, now, CG_RATE_REQUEST_COST))
		return true;
	log_refusal(q, account, e, now);
	missing_tokens = CG_RATE_REQUEST_COST - e->bucket.share.tokens;
	*retry_after_ms =
		e->bucket.share.refill_right > 0
			? MIN(missing_tokens * 1000 /
					      e->bucket.share.refill_right +
				      1,
			      RETRY_AFTER_MAX_MS)
			: RETRY_AFTER_MAX_MS;
	return false;
}

bool cgw_quota_is_warming_up(const struct cgw_quota *q, const char *account,
			     cg_ms now)
{
	const struct account_rate *e =
		g_hash_table_lookup(q->accounts, account);

	return e && now - e->led_since < WARM_UP_MS;
}

void cgw_quota_refund(struct cgw_quota *q, const char *account, cg_ms now)
{
	struct account_rate *e = g_hash_table_lookup(q->accounts, account);

	if (!e || e->rate_milli <= 0)
		return;
	cg_rate_bucket_refill(&e->bucket, now);
	e->bucket.share.tokens =
		MIN(e->bucket.share.tokens + CG_RATE_REQUEST_COST,
		    e->bucket.share.capacity);
}

int64_t cgw_quota_demand(struct cgw_quota *q, const char *account, cg_ms now)
{
	struct account_rate *e = g_hash_table_lookup(q->accounts, account);

	return e ? cgw_account_demand(e, now) : 0;
}

void cgw_quota_record_demand(struct cgw_quota *q, const char *domain,
			     const char *account, int64_t demand, cg_ms now)
{
	struct account_rate *e = g_hash_table_lookup(q->accounts, account);
	struct domain_demand *o;

	if (!e)
		return;
	o = cgw_account_get_demand(q, e, domain, now);
	o->demand_milli = MAX(0, demand);
	o->known = true;
	o->received_at = now;
}

void cgw_quota_each_account(struct cgw_quota *q, cg_ms now,
			    void (*visit)(void *arg, const char *account,
					  int64_t demand_milli),
			    void *arg)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, q->accounts);
	while (g_hash_table_iter_next(&it, &key, &value))
		if (cgw_account_demand(value, now) > 0)
			visit(arg, key, cgw_account_demand(value, now));
}
