#define CG_PART "rates"
#include "gateway/quota.h"

#include <math.h>

#include "celeryglade/rate_bucket.h"
#include "internal/logging.h"

/* Time constant of the demand average: long enough to cover several requests
 * of a small account, and short compared with the 5 s window over which rates
 * are checked. */
#define DEMAND_TAU_MS 1500
/* Interval at which an account's share is recomputed. */
#define SHARE_INTERVAL_MS 200
/* The last demand of a domain that stops reporting counts for this long; by
 * then its callers have moved to other domains. */
#define DOMAIN_DEMAND_VALID_MS 10000
/* Minimum demand of each domain, in thousandths of a request per second, so
 * that the first request finds a share. */
#define DEMAND_MIN_MILLI 500
/* Each domain's bucket is larger than its share of the burst by this: a bucket
 * that holds less than one token would admit no request. */
#define EXTRA_TOKEN_MILLI (1 * CG_RATE_REQUEST_COST)
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

struct domain_demand {
	int64_t demand_milli;
	bool known; /* reported since this broker leads */
	cg_ms received_at; /* if not known: when it began to lead */
};

struct account_rate {
	int64_t rate_milli;
	int64_t burst_milli;
	struct cg_rate_bucket bucket;
	double demand; /* requests per ms, decayed */
	cg_ms demand_at;
	cg_ms share_updated_at;
	cg_ms logged_at;
	cg_ms led_since;
	unsigned int refused; /* since the last log line */
	GHashTable *others; /* domain to struct domain_demand */
};

struct cgw_quota {
	unsigned int domains;
	double broker_share;
	GHashTable *accounts; /* account to struct account_rate */
};

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
	return q;
}

void cgw_quota_free(struct cgw_quota *q)
{
	if (!q)
		return;
	g_hash_table_unref(q->accounts);
	g_free(q);
}

void cgw_quota_set_broker_share(struct cgw_quota *q, double broker_share)
{
	GHashTableIter it;
	gpointer value;

	if (broker_share == q->broker_share)
		return;
	q->broker_share = broker_share;
	/* Recompute the shares at the next request. */
	g_hash_table_iter_init(&it, q->accounts);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct account_rate *)value)->share_updated_at =
			-SHARE_INTERVAL_MS;
}

double cgw_quota_broker_share(unsigned int followers, unsigned int members)
{
	if (!members || followers * 2 >= members)
		return 1;
	return (double)followers / members;
}

static void decay_demand(struct account_rate *e, cg_ms now)
{
	if (now <= e->demand_at)
		return;
	e->demand *= exp(-(double)(now - e->demand_at) / DEMAND_TAU_MS);
	e->demand_at = now;
}

static int64_t demand_milli(struct account_rate *e, cg_ms now)
{
	decay_demand(e, now);
	return (int64_t)(e->demand * 1e6);
}

/* Sets an account's bucket to this broker's share of its rate and burst: the
 * own domain's part of the demand of all domains, times the share of the domain
 * that this broker may use. */
static void update_share(struct cgw_quota *q, struct account_rate *e, cg_ms now)
{
	int64_t own = demand_milli(e, now) + DEMAND_MIN_MILLI;
	int64_t sum = own;
	unsigned int counted = 1;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, e->others);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct domain_demand *o = value;

		counted++;
		if (now - o->received_at >= DOMAIN_DEMAND_VALID_MS)
			sum += DEMAND_MIN_MILLI;
		else
			sum += o->known ? o->demand_milli + DEMAND_MIN_MILLI
					: own;
	}
	/* A domain that has never reported is assumed to have the demand of
	 * this one, so that a broker which receives no reports takes an equal
	 * share instead of the whole rate. */
	for (; counted < q->domains; counted++)
		sum += own;
	own = (int64_t)(q->broker_share * (double)own);
	cg_rate_bucket_resize(
		&e->bucket, now, cg_rate_fraction(e->rate_milli, own, sum),
		cg_rate_fraction(e->burst_milli, own, sum) + EXTRA_TOKEN_MILLI);
	e->share_updated_at = now;
}

/* What the other domains reported before is out of date. Until they report
 * again, each is assumed to have the demand of this one. */
static void begin_to_lead(struct account_rate *e, cg_ms now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, e->others);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct domain_demand *o = value;

		o->known = false;
		o->received_at = now;
	}
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
	update_share(q, e, now);
	e->bucket.share.tokens = e->bucket.share.capacity;
	begin_to_lead(e, now);
	g_hash_table_insert(q->accounts, g_strdup(name), e);
	return e;
}

void cgw_quota_begin_to_lead(struct cgw_quota *q, cg_ms now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->accounts);
	while (g_hash_table_iter_next(&it, NULL, &value))
		begin_to_lead(value, now);
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
		update_share(q, e, now);
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
		update_share(q, e, now);
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

	return e ? demand_milli(e, now) : 0;
}

void cgw_quota_record_demand(struct cgw_quota *q, const char *domain,
			     const char *account, int64_t demand, cg_ms now)
{
	struct account_rate *e = g_hash_table_lookup(q->accounts, account);
	struct domain_demand *o;

	if (!e)
		return;
	o = g_hash_table_lookup(e->others, domain);
	if (!o) {
		o = g_new0(struct domain_demand, 1);
		g_hash_table_insert(e->others, g_strdup(domain), o);
	}
	o->demand_milli = demand;
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
		if (demand_milli(value, now) > 0)
			visit(arg, key, demand_milli(value, now));
}
