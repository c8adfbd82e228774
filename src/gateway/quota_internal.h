/**
 * @file quota_internal.h
 * Types shared by the source files of the account rates: quota.c (tokens and
 * demand) and quota_shares.c (shares of the failure domains).
 */
#ifndef CELERYGLADE_GATEWAY_QUOTA_INTERNAL_H
#define CELERYGLADE_GATEWAY_QUOTA_INTERNAL_H

#include "celeryglade/rate_bucket.h"
#include "gateway/quota.h"

/* Time constant of the demand average: long enough to cover several requests
 * of a small account, and short compared with the 5 s window over which rates
 * are checked. */
#define DEMAND_TAU_MS 1000
/* Minimum demand of each domain, in thousandths of a request per second, so
 * that the first request finds a share. */
#define DEMAND_MIN_MILLI 500

struct domain_demand {
	int64_t demand_milli;
	bool known; /* reported since this broker leads */
	cg_ms received_at; /* if not known: when it began to lead */
	int64_t share; /* that the domain reported last */
	/* Totals of the transfers between the domains. */
	int64_t given, received;
	int64_t acknowledged; /* of those given, as the domain reported last */
	int64_t adopted; /* received less given when this broker learnt them */
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
	/* The own domain's share when this broker began to lead, as another
	 * domain reported it. */
	bool told;
	int64_t told_share;
};

struct cgw_quota {
	unsigned int domains;
	double broker_share;
	GHashTable *accounts; /* account to struct account_rate */
	GHashTable *peers; /* domain to struct peer_domain */
	/* When another domain last received a report of this one; 0: never
	 * since this broker leads. */
	cg_ms confirmed_at;
	cg_ms led_since;
};

/* quota.c */
/** Sets an account's bucket to the part of the own domain's share that this broker
 * may use. */
void cgw_account_update_share(struct cgw_quota *q, struct account_rate *e,
			      cg_ms now);
/** Makes the next request of each account recompute its share. */
void cgw_quota_expire_shares(struct cgw_quota *q);
/** Returns an account's demand in thousandths of a request per second. */
int64_t cgw_account_demand(struct account_rate *e, cg_ms now);

/* quota_shares.c */
/** Returns the share of the rate that the own domain may use. */
int64_t cgw_account_own_share(const struct cgw_quota *q,
			      const struct account_rate *e, cg_ms now);
struct domain_demand *cgw_account_get_demand(const struct cgw_quota *q,
					     struct account_rate *e,
					     const char *domain, cg_ms now);

#endif
