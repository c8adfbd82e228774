#define CG_PART "rates"
#include "gateway/quota.h"

#include <math.h>
#include <string.h>

#include "celeryglade/rate_bucket.h"
#include "internal/logging.h"

/* Time constant of the demand average: long enough to cover several requests
 * of a small account, and short compared with the 5 s window over which rates
 * are checked. */
#define DEMAND_TAU_MS 1000
/* Interval at which an account's share is recomputed. */
#define SHARE_INTERVAL_MS 200
/* Without any other domain that has received its reports for this long, a domain
 * uses half of its shares. */
#define ISOLATED_MS 8000
/* Domains that have received nothing of another one for this long use the other
 * half of its shares between them: it has halved them by then. */
#define SILENT_MS 10000
/* Reports of a domain are recent for this long; three may be lost. */
#define REPORT_RECENT_MS 1300
/* The least difference between a share and the demand for it that is worth a
 * transfer. */
#define SHARE_TOLERANCE_MIN (CGW_SHARE_WHOLE / 50)
/* Minimum demand of each domain, in thousandths of a request per second, so
 * that the first request finds a share. */
#define DEMAND_MIN_MILLI 500
/* Each domain's bucket is larger than its share of the burst by this: a bucket
 * that holds less than one token would admit no request. */
#define EXTRA_TOKEN_MILLI (1 * CG_RATE_REQUEST_COST)
/* Further tokens of a broker that its whole domain follows, if there are several
 * domains. A small account has a burst of a few requests in all, which its callers in one domain exceed now and
 * then although the account stays within its rate. The limit tolerates 20
 * requests a window. */
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

struct domain_demand {
	int64_t demand_milli;
	bool known; /* reported since this broker leads */
	cg_ms received_at; /* if not known: when it began to lead */
	int64_t share; /* that the domain reported last */
	/* Totals of the transfers between the domains. */
	int64_t given, received;
	int64_t acknowledged; /* of those given, as the domain reported last */
};

/* Another failure domain. */
struct peer_domain {
	bool heard; /* since this broker leads */
	bool has_totals; /* of this broker */
	/* When this or another broker last heard of it; if never: when this
	 * broker began to lead. */
	cg_ms last_seen_at;
	cg_ms heard_at;
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
	GHashTable *peers; /* domain to struct peer_domain */
	/* When another domain last received a report of this one; 0: never
	 * since this broker leads. */
	cg_ms confirmed_at;
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
static void expire_shares(struct cgw_quota *q)
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
	expire_shares(q);
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

static bool is_isolated(const struct cgw_quota *q, cg_ms now)
{
	return q->confirmed_at && now - q->confirmed_at >= ISOLATED_MS;
}

/* Whether nobody has heard of the domain for long. One that this broker has
 * never heard of may be alive. */
static bool is_silent(const struct cgw_quota *q, const char *domain, cg_ms now)
{
	const struct peer_domain *p = g_hash_table_lookup(q->peers, domain);

	return p && p->heard && now - p->last_seen_at >= SILENT_MS;
}

/*
 * The rate is divided into an equal part for each ordered pair of domains. Of
 * the two parts of a pair, each domain uses its own one, less what it has given
 * to the other and with what it has received. The two together never change, so
 * that the sum over all pairs stays the whole rate, whatever message is lost.
 */
static int64_t part(const struct cgw_quota *q)
{
	return CGW_SHARE_WHOLE / q->domains / MAX(1, q->domains - 1);
}

/* Returns this domain's share. A transfer on its way counts for nobody. An
 * isolated domain cannot tell whether the others have failed or have only lost
 * contact with it, so it uses nothing of theirs. */
static int64_t own_share(const struct cgw_quota *q,
			 const struct account_rate *e, cg_ms now)
{
	int64_t share = CGW_SHARE_WHOLE / q->domains;
	int64_t reclaimed = 0;
	GHashTableIter it;
	gpointer key, value;

	if (q->domains == 1)
		return CGW_SHARE_WHOLE;
	g_hash_table_iter_init(&it, e->others);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct domain_demand *o = value;
		int64_t balance = o->received - o->given;

		share += balance;
		if (is_silent(q, key, now))
			reclaimed += (part(q) - balance) / 2;
	}
	share = is_isolated(q, now) ? share / 2 : share + reclaimed;
	return CLAMP(share, 0, CGW_SHARE_WHOLE);
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
static void update_share(struct cgw_quota *q, struct account_rate *e, cg_ms now)
{
	int64_t share =
		(int64_t)(q->broker_share * (double)own_share(q, e, now));

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
	begin_to_lead(q, e, now);
	g_hash_table_insert(q->accounts, g_strdup(name), e);
	return e;
}

void cgw_quota_begin_to_lead(struct cgw_quota *q, cg_ms now)
{
	GHashTableIter it;
	gpointer value;

	q->confirmed_at = 0;
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

static struct domain_demand *get_or_add_demand(const struct cgw_quota *q,
					       struct account_rate *e,
					       const char *domain, cg_ms now)
{
	struct domain_demand *o = g_hash_table_lookup(e->others, domain);

	if (o)
		return o;
	o = g_new0(struct domain_demand, 1);
	o->share = CGW_SHARE_WHOLE / q->domains;
	o->received_at = now;
	g_hash_table_insert(e->others, g_strdup(domain), o);
	return o;
}

void cgw_quota_record_demand(struct cgw_quota *q, const char *domain,
			     const char *account, int64_t demand, cg_ms now)
{
	struct account_rate *e = g_hash_table_lookup(q->accounts, account);
	struct domain_demand *o;

	if (!e)
		return;
	o = get_or_add_demand(q, e, domain, now);
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

/* ---- transfers of shares between domains ---- */

static struct peer_domain *get_or_add_peer(struct cgw_quota *q,
					   const char *domain, cg_ms now)
{
	struct peer_domain *p = g_hash_table_lookup(q->peers, domain);

	if (p)
		return p;
	p = g_new0(struct peer_domain, 1);
	p->last_seen_at = now;
	p->heard_at = now;
	g_hash_table_insert(q->peers, g_strdup(domain), p);
	return p;
}

/* Whether shares can be given to the domain: it reports, and this broker knows
 * what has been given before. */
static bool takes_shares(const struct cgw_quota *q, const char *domain,
			 cg_ms now)
{
	const struct peer_domain *p = g_hash_table_lookup(q->peers, domain);

	return p && p->heard && p->has_totals &&
	       now - p->heard_at < REPORT_RECENT_MS;
}

/* The demand of all domains for an account, and what follows from it. */
struct balance {
	int64_t demand; /* of all domains */
	int64_t wanted; /* missing in the domains that can be given some */
	int64_t spare; /* that other domains can give */
};

/* The callers of a domain that is silent have moved to other domains. */
static int64_t other_demand(const struct cgw_quota *q, const char *domain,
			    const struct domain_demand *o, cg_ms now)
{
	return (o->known && !is_silent(q, domain, now) ? o->demand_milli : 0) +
	       DEMAND_MIN_MILLI;
}

/* Returns by how much a domain's share, including what is on its way, falls
 * short of the share of the demand that it has. */
static int64_t shortfall(const struct cgw_quota *q, const char *domain,
			 const struct domain_demand *o, int64_t demand,
			 cg_ms now)
{
	int64_t due = cg_rate_fraction(CGW_SHARE_WHOLE,
				       other_demand(q, domain, o, now), demand);

	return due - o->share - (o->given - o->acknowledged);
}

static struct balance weigh_demand(const struct cgw_quota *q,
				   struct account_rate *e, int64_t own,
				   cg_ms now)
{
	struct balance b = { .demand = own };
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, e->others);
	while (g_hash_table_iter_next(&it, &key, &value))
		b.demand += other_demand(q, key, value, now);
	g_hash_table_iter_init(&it, e->others);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		int64_t missing = shortfall(q, key, value, b.demand, now);

		if (missing < 0)
			b.spare -= missing;
		else if (takes_shares(q, key, now))
			b.wanted += missing;
	}
	return b;
}

/* Returns the difference between a share and the demand for it that is left alone:
 * a third of the standard deviation of the average demand. Transfers back and forth
 * by chance would leave the domains of a small account without tokens in turn. */
static int64_t share_tolerance(int64_t demand)
{
	double requests = (double)demand / 1000 * DEMAND_TAU_MS / 1000;
	double deviation = 1 / sqrt(fmax(2 * requests, 1));

	return MAX(SHARE_TOLERANCE_MIN,
		   (int64_t)(CGW_SHARE_WHOLE * deviation / 3));
}

/* Gives this domain's part of what the others miss. */
static void give_shares(struct cgw_quota *q, struct account_rate *e, cg_ms now)
{
	int64_t own = demand_milli(e, now) + DEMAND_MIN_MILLI;
	struct balance b = weigh_demand(q, e, own, now);
	int64_t spare = own_share(q, e, now) -
			cg_rate_fraction(CGW_SHARE_WHOLE, own, b.demand);
	int64_t tolerance = share_tolerance(b.demand);
	int64_t amount;
	GHashTableIter it;
	gpointer key, value;

	if (spare <= tolerance || b.wanted <= tolerance)
		return;
	amount = MIN(spare, cg_rate_fraction(b.wanted, spare, spare + b.spare));
	g_hash_table_iter_init(&it, e->others);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct domain_demand *o = value;
		int64_t missing = shortfall(q, key, o, b.demand, now);

		if (missing > 0 && takes_shares(q, key, now))
			o->given += cg_rate_fraction(amount, missing, b.wanted);
	}
	update_share(q, e, now);
}

void cgw_quota_each_share(struct cgw_quota *q, const char *domain, cg_ms now,
			  void (*visit)(void *arg,
					const struct cgw_share_report *r),
			  void *arg)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, q->accounts);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct account_rate *e = value;
		struct domain_demand *o;
		struct cgw_share_report r = { .account = key };

		if (e->rate_milli <= 0)
			continue;
		o = get_or_add_demand(q, e, domain, now);
		give_shares(q, e, now);
		r.share = own_share(q, e, now);
		r.given = o->given;
		r.received = o->received;
		if (r.given || r.received || demand_milli(e, now) > 0)
			visit(arg, &r);
	}
}

bool cgw_quota_has_totals(struct cgw_quota *q, const char *domain)
{
	const struct peer_domain *p = g_hash_table_lookup(q->peers, domain);

	return p && p->has_totals;
}

static void record_share(struct cgw_quota *q, const char *domain,
			 const struct cgw_share_report *r, bool adopt,
			 cg_ms now)
{
	struct account_rate *e = g_hash_table_lookup(q->accounts, r->account);
	struct domain_demand *o;

	if (!e || r->given < 0 || r->received < 0)
		return;
	o = get_or_add_demand(q, e, domain, now);
	/* The totals only grow; a smaller one comes from a late report, or
	 * from a broker that does not know them yet. What the other domain has
	 * received and this broker has not given came from another broker of
	 * this domain. */
	o->given = adopt ? r->received : MAX(o->given, r->received);
	o->received = adopt ? r->given : MAX(o->received, r->given);
	o->acknowledged = MIN(MAX(o->acknowledged, r->received), o->given);
	o->share = r->share;
	update_share(q, e, now);
}

void cgw_quota_record_shares(struct cgw_quota *q, const char *domain,
			     const struct cgw_share_report *reports, size_t n,
			     bool has_totals, cg_ms now)
{
	struct peer_domain *p = get_or_add_peer(q, domain, now);
	bool adopt = !p->has_totals;

	p->heard = true;
	p->heard_at = now;
	p->last_seen_at = now;
	for (size_t i = 0; i < n; i++)
		record_share(q, domain, &reports[i], adopt && has_totals, now);
	/* If neither broker knows them, both count from nothing. */
	p->has_totals = true;
	if (adopt)
		expire_shares(q);
}

void cgw_quota_record_contact(struct cgw_quota *q, const char *reporter,
			      const char *domain, cg_ms age, cg_ms now)
{
	struct peer_domain *p;

	if (age < 0 || (domain && !strcmp(domain, reporter)))
		return;
	if (!domain) {
		q->confirmed_at = MAX(q->confirmed_at, MAX(1, now - age));
		return;
	}
	p = get_or_add_peer(q, domain, now);
	p->last_seen_at = MAX(p->last_seen_at, now - age);
}

cg_ms cgw_quota_contact_age(struct cgw_quota *q, const char *domain, cg_ms now)
{
	const struct peer_domain *p = g_hash_table_lookup(q->peers, domain);

	return p && p->heard ? now - p->heard_at : -1;
}

int64_t cgw_quota_share(struct cgw_quota *q, const char *account, cg_ms now)
{
	const struct account_rate *e =
		g_hash_table_lookup(q->accounts, account);

	return e ? own_share(q, e, now) : 0;
}
