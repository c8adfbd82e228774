#define CG_PART "rates"
#include "gateway/quota.h"

#include <math.h>

#include "celeryglade/rate_bucket.h"
#include "internal/logging.h"

/* Time constant of the demand: long enough for a mean over some requests of a
 * small account, short against the 5 s window in which rates are judged. */
#define DEMAND_TAU_MS 1500
/* A share is worked out anew after this long. */
#define SHARE_MS 200
/* A domain that is silent keeps its last demand for this long; then its
 * callers have moved to others. */
#define SILENT_DOMAIN_MS 10000
/* Demand that each domain counts as having, in thousandths of a request per
 * second, so that a first request finds a share. */
#define DEMAND_FLOOR_MILLI 500
/* A token that each domain may hold beyond its part of the burst: a fraction
 * of one admits nothing. */
#define ROUNDING_MILLI (1 * CG_RATE_REQUEST_COST)
/* Tokens of a broker that has just taken over. It does not know what its
 * predecessor has admitted. Three domains that all begin anew twice in a window
 * use all but one of the 20 requests that are tolerated beyond a tenth, see
 * whole_fleet_killed_stays_below_the_limit: a third time would exceed them. */
#define TAKEOVER_MILLI (4 * CG_RATE_REQUEST_COST)
/* Time after which a broker that took over holds what its accounts are due: a
 * burst of one second's requests fills in it. */
#define WARM_MS 2000
/* An account that is refused is logged this often, with a count. */
#define LOG_MS 1000
/* Longest time that a refused caller is told to wait. */
#define RETRY_AFTER_MAX_MS 2000

struct other {
	int64_t demand_milli;
	cg_ms at;
};

struct entry {
	int64_t rate_milli;
	int64_t burst_milli;
	struct cg_rate_bucket bucket;
	double demand; /* requests per ms, decayed */
	cg_ms demand_at;
	cg_ms shared_at;
	cg_ms logged_at;
	cg_ms created_at;
	unsigned int refused; /* since the last line of the log */
	GHashTable *others; /* domain to struct other */
};

struct cgw_quota {
	unsigned int domains;
	double part;
	GHashTable *entries; /* account to struct entry */
};

static void free_entry(void *p)
{
	struct entry *e = p;

	g_hash_table_unref(e->others);
	g_free(e);
}

struct cgw_quota *cgw_quota_new(unsigned int domains)
{
	struct cgw_quota *q = g_new0(struct cgw_quota, 1);

	q->domains = domains ? domains : 1;
	q->part = 1;
	q->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_entry);
	return q;
}

void cgw_quota_free(struct cgw_quota *q)
{
	if (!q)
		return;
	g_hash_table_unref(q->entries);
	g_free(q);
}

void cgw_quota_set_part(struct cgw_quota *q, double part)
{
	GHashTableIter it;
	gpointer value;

	if (part == q->part)
		return;
	q->part = part;
	/* The next request finds the share worked out anew. */
	g_hash_table_iter_init(&it, q->entries);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct entry *)value)->shared_at = -SHARE_MS;
}

double cgw_quota_part(unsigned int followers, unsigned int members)
{
	if (!members || followers * 2 >= members)
		return 1;
	return (double)followers / members;
}

static void decay(struct entry *e, cg_ms now)
{
	if (now <= e->demand_at)
		return;
	e->demand *= exp(-(double)(now - e->demand_at) / DEMAND_TAU_MS);
	e->demand_at = now;
}

static int64_t demand_milli(struct entry *e, cg_ms now)
{
	decay(e, now);
	return (int64_t)(e->demand * 1e6);
}

/* Sets the bucket to this domain's part of rate and burst. */
static void share(struct cgw_quota *q, struct entry *e, cg_ms now)
{
	int64_t own = demand_milli(e, now) + DEMAND_FLOOR_MILLI;
	int64_t sum = own;
	unsigned int known = 1;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, e->others);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct other *o = value;

		known++;
		sum += DEMAND_FLOOR_MILLI;
		if (now - o->at < SILENT_DOMAIN_MS)
			sum += o->demand_milli;
	}
	/* A domain not heard of yet may ask for as much as this one. */
	for (; known < q->domains; known++)
		sum += own;
	own = (int64_t)(q->part * (double)own);
	cg_rate_bucket_resize(
		&e->bucket, now, cg_rate_fraction(e->rate_milli, own, sum),
		cg_rate_fraction(e->burst_milli, own, sum) + ROUNDING_MILLI);
	e->shared_at = now;
}

static struct entry *entry_new(struct cgw_quota *q, const char *name,
			       const struct cgw_account *a, cg_ms now)
{
	struct entry *e = g_new0(struct entry, 1);

	e->rate_milli = a->rate_milli;
	e->burst_milli = a->burst_milli;
	e->demand_at = now;
	e->logged_at = -LOG_MS;
	e->created_at = now;
	e->others =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	cg_rate_bucket_init(&e->bucket, now);
	share(q, e, now);
	e->bucket.share.tokens =
		MIN(e->bucket.share.capacity / 2, TAKEOVER_MILLI);
	g_hash_table_insert(q->entries, g_strdup(name), e);
	return e;
}

void cgw_quota_configure(struct cgw_quota *q, const struct cgw_table *t,
			 cg_ms now)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, q->entries);
	while (g_hash_table_iter_next(&it, &key, NULL))
		if (!cgw_table_account(t, key))
			g_hash_table_iter_remove(&it);
	g_hash_table_iter_init(&it, cgw_table_accounts(t));
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct cgw_account *a = value;
		struct entry *e = g_hash_table_lookup(q->entries, key);

		if (!e)
			e = entry_new(q, key, a, now);
		e->rate_milli = a->rate_milli;
		e->burst_milli = a->burst_milli;
		share(q, e, now);
	}
}

/* Tells, once a second for each account, why its requests are refused. */
static void log_refusal(const struct cgw_quota *q, const char *account,
			struct entry *e, cg_ms now)
{
	e->refused++;
	if (now - e->logged_at < LOG_MS)
		return;
	e->logged_at = now;
	cg_info("account %s over its rate, %u refused since the last line: "
		"share %.1f of %.1f requests/s, asked here %.1f/s, part %.2f, "
		"%u other domains known",
		account, e->refused,
		(double)e->bucket.share.refill_right / 1000,
		(double)e->rate_milli / 1000, e->demand * 1000, q->part,
		g_hash_table_size(e->others));
	e->refused = 0;
}

bool cgw_quota_take(struct cgw_quota *q, const char *account, cg_ms now,
		    cg_ms *retry_after_ms)
{
	struct entry *e = g_hash_table_lookup(q->entries, account);
	int64_t lacking;

	if (!e || e->rate_milli <= 0)
		return true;
	decay(e, now);
	e->demand += 1.0 / DEMAND_TAU_MS;
	if (now - e->shared_at >= SHARE_MS)
		share(q, e, now);
	if (cg_rate_bucket_take(&e->bucket, now, CG_RATE_REQUEST_COST))
		return true;
	log_refusal(q, account, e, now);
	lacking = CG_RATE_REQUEST_COST - e->bucket.share.tokens;
	*retry_after_ms =
		e->bucket.share.refill_right > 0
			? MIN(lacking * 1000 / e->bucket.share.refill_right + 1,
			      RETRY_AFTER_MAX_MS)
			: RETRY_AFTER_MAX_MS;
	return false;
}

bool cgw_quota_is_warming(const struct cgw_quota *q, const char *account,
			  cg_ms now)
{
	const struct entry *e = g_hash_table_lookup(q->entries, account);

	return e && now - e->created_at < WARM_MS;
}

void cgw_quota_give_back(struct cgw_quota *q, const char *account, cg_ms now)
{
	struct entry *e = g_hash_table_lookup(q->entries, account);

	if (!e || e->rate_milli <= 0)
		return;
	cg_rate_bucket_refill(&e->bucket, now);
	e->bucket.share.tokens =
		MIN(e->bucket.share.tokens + CG_RATE_REQUEST_COST,
		    e->bucket.share.capacity);
}

int64_t cgw_quota_demand(struct cgw_quota *q, const char *account, cg_ms now)
{
	struct entry *e = g_hash_table_lookup(q->entries, account);

	return e ? demand_milli(e, now) : 0;
}

void cgw_quota_note(struct cgw_quota *q, const char *domain,
		    const char *account, int64_t milli, cg_ms now)
{
	struct entry *e = g_hash_table_lookup(q->entries, account);
	struct other *o;

	if (!e)
		return;
	o = g_hash_table_lookup(e->others, domain);
	if (!o) {
		o = g_new0(struct other, 1);
		g_hash_table_insert(e->others, g_strdup(domain), o);
	}
	o->demand_milli = milli;
	o->at = now;
}

void cgw_quota_each(struct cgw_quota *q, cg_ms now,
		    void (*visit)(void *arg, const char *account,
				  int64_t demand_milli),
		    void *arg)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, q->entries);
	while (g_hash_table_iter_next(&it, &key, &value))
		if (demand_milli(value, now) > 0)
			visit(arg, key, demand_milli(value, now));
}
