#include "quota_internal.h"

#include <math.h>
#include <string.h>

/* Without any other domain that has received its reports for this long, a domain
 * uses ISOLATED_PART of its shares. */
#define ISOLATED_MS 8000
/* Small, since a whole domain fails more often than it loses all others for long,
 * and its callers move to the others. */
#define ISOLATED_PART 0.25
/* Domains that have received nothing of another one for this long use the rest
 * of its shares between them: it uses only ISOLATED_PART by then. */
#define SILENT_MS 10000
/* Reports of a domain are recent for this long; three may be lost. */
#define REPORT_RECENT_MS 1300
/* The least difference between a share and the demand for it that is worth a
 * transfer. */
#define SHARE_TOLERANCE_MIN (CGW_SHARE_WHOLE / 50)
/* A total above this comes from a faulty message: it would take years. */
#define TOTAL_MAX ((int64_t)1 << 53)

static bool is_isolated(const struct cgw_quota *q, cg_ms now)
{
	return q->confirmed_at && now - q->confirmed_at >= ISOLATED_MS;
}

/* Whether nobody has heard of the domain for long. */
static bool is_silent(const struct cgw_quota *q, const char *domain, cg_ms now)
{
	const struct peer_domain *p = g_hash_table_lookup(q->peers, domain);

	return p && p->heard && now - p->last_seen_at >= SILENT_MS;
}

/* Returns how many domains nobody has heard of since this broker leads, if it
 * hears of any: without that it may be this domain that is cut off. */
static unsigned int count_never_heard(const struct cgw_quota *q, cg_ms now)
{
	unsigned int n = q->domains - 1;
	bool hears = false;
	GHashTableIter it;
	gpointer value;

	if (now - q->led_since < SILENT_MS)
		return 0;
	g_hash_table_iter_init(&it, q->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct peer_domain *p = value;

		hears |= p->heard && now - p->heard_at < SILENT_MS;
		if (n && (p->heard || now - p->last_seen_at < SILENT_MS))
			n--;
	}
	return hears ? n : 0;
}

static bool has_totals_of(const struct cgw_quota *q, const char *domain)
{
	const struct peer_domain *p = g_hash_table_lookup(q->peers, domain);

	return p && p->has_totals;
}

static bool has_all_totals(const struct cgw_quota *q)
{
	unsigned int n = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->peers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		n += ((struct peer_domain *)value)->has_totals;
	return n + 1 >= q->domains;
}

/*
 * Returns the share that this domain holds: an equal one, with what it has
 * received and less what it has given. The sum over all domains stays the whole
 * rate, whatever message is lost; a transfer on its way counts for nobody.
 *
 * The balance with a single domain means nothing, since shares may pass through
 * several domains in a circle. A broker that does not know all of them therefore
 * counts from the share that its predecessor last reported, as another domain
 * remembers it.
 */
static int64_t held_share(const struct cgw_quota *q,
			  const struct account_rate *e)
{
	bool complete = has_all_totals(q) || !e->told;
	int64_t share = complete ? CGW_SHARE_WHOLE / q->domains : e->told_share;
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, e->others);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct domain_demand *o = value;

		if (complete || has_totals_of(q, key))
			share += o->received - o->given -
				 (complete ? 0 : o->adopted);
	}
	return share;
}

/* The others use the rest of what a domain holds that has failed, or only seems to
 * have: such a domain reduces its use before. */
static double reclaimed_share(const struct cgw_quota *q,
			      const struct account_rate *e, cg_ms now)
{
	double sum = (double)count_never_heard(q, now) * CGW_SHARE_WHOLE /
		     q->domains;
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, e->others);
	while (g_hash_table_iter_next(&it, &key, &value))
		if (is_silent(q, key, now))
			sum += (double)MAX(
				0, ((struct domain_demand *)value)->share);
	return (1 - ISOLATED_PART) * sum / (q->domains - 1);
}

/* An isolated domain cannot tell whether the others have failed or have only lost
 * contact with it, so it uses nothing of theirs. */
int64_t cgw_account_own_share(const struct cgw_quota *q,
			      const struct account_rate *e, cg_ms now)
{
	int64_t share;

	if (q->domains == 1)
		return CGW_SHARE_WHOLE;
	share = held_share(q, e);
	share = is_isolated(q, now)
			? (int64_t)(ISOLATED_PART * (double)share)
			: share + (int64_t)reclaimed_share(q, e, now);
	return CLAMP(share, 0, CGW_SHARE_WHOLE);
}

struct domain_demand *cgw_account_get_demand(const struct cgw_quota *q,
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

static struct peer_domain *get_or_add_peer(struct cgw_quota *q,
					   const char *domain, cg_ms now)
{
	struct peer_domain *p = g_hash_table_lookup(q->peers, domain);

	if (p)
		return p;
	p = g_new0(struct peer_domain, 1);
	p->last_seen_at = q->led_since;
	p->heard_at = q->led_since;
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
	int64_t own = cgw_account_demand(e, now) + DEMAND_MIN_MILLI;
	struct balance b = weigh_demand(q, e, own, now);
	int64_t spare =
		MIN(held_share(q, e), cgw_account_own_share(q, e, now)) -
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
	cgw_account_update_share(q, e, now);
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
		o = cgw_account_get_demand(q, e, domain, now);
		give_shares(q, e, now);
		r.share = held_share(q, e);
		r.receiver_share = o->share;
		r.given = o->given;
		r.received = o->received;
		if (r.given || r.received || cgw_account_demand(e, now) > 0)
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

	if (!e || r->given < 0 || r->received < 0 || r->given > TOTAL_MAX ||
	    r->received > TOTAL_MAX)
		return;
	o = cgw_account_get_demand(q, e, domain, now);
	/* The totals only grow; a smaller one comes from a late report, or
	 * from a broker that does not know them yet. What the other domain has
	 * received and this broker has not given came from another broker of
	 * this domain. */
	o->given = adopt ? r->received : MAX(o->given, r->received);
	o->received = adopt ? r->given : MAX(o->received, r->given);
	o->acknowledged = MIN(MAX(o->acknowledged, r->received), o->given);
	o->share = CLAMP(r->share, -CGW_SHARE_WHOLE, CGW_SHARE_WHOLE);
	if (adopt) {
		o->adopted = o->received - o->given;
		if (!e->told)
			e->told_share =
				CLAMP(r->receiver_share, -CGW_SHARE_WHOLE,
				      CGW_SHARE_WHOLE);
		e->told = true;
	}
	cgw_account_update_share(q, e, now);
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
		cgw_quota_expire_shares(q);
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

	return e ? cgw_account_own_share(q, e, now) : 0;
}
