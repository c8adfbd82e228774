/**
 * @file quota.h
 * Rate limits of client accounts in one failure domain. Each domain's broker
 * admits its share of an account's fleet-wide rate; the shares follow the
 * demand that the domains report to each other. A share grows only by what
 * another domain has given up, so that the shares never add up to more than the
 * rate (docs/design/account-rates.md). The module does no I/O and reads no
 * clock.
 */
#ifndef CELERYGLADE_GATEWAY_QUOTA_H
#define CELERYGLADE_GATEWAY_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "celeryglade/clock.h"
#include "gateway/table.h"

struct cgw_quota;

/** Creates the rate limits of one of @p domains failure domains. Free them with
 * cgw_quota_free(). */
struct cgw_quota *cgw_quota_new(unsigned int domains);
void cgw_quota_free(struct cgw_quota *q);

/** Applies the rates and bursts of a new table and removes the accounts that
 * are not in it. */
void cgw_quota_configure(struct cgw_quota *q, const struct cgw_table *t,
			 cg_ms now);

/** Starts a broker that begins to lead its domain: other brokers have admitted
 * requests meanwhile, so that it has next to no tokens. */
void cgw_quota_begin_to_lead(struct cgw_quota *q, cg_ms now);

/** Limits this broker to a share, from 0 to 1, of the domain's rates. */
void cgw_quota_set_broker_share(struct cgw_quota *q, double share);
/**
 * Returns the share of the domain's rates that a broker may admit.
 *
 * Each member carries an equal part to the broker that it follows. If the daemons
 * are cut off from each other, the shares of their brokers add up to 1 at most,
 * however the members are divided between them. The bound applies while each
 * broker counts all daemons as members; one that has been silent for 30 s is no
 * longer counted.
 *
 * @param followers Daemons that follow the broker, itself included.
 * @param members   Daemons of the domain, the broker included.
 */
double cgw_quota_broker_share(unsigned int followers, unsigned int members);

/**
 * Takes a token for one request of an account. Refused requests count as demand
 * as well.
 *
 * @param retry_after_ms Set on refusal: when a token is likely.
 * @return Whether the request is admitted. Requests of unknown accounts and of
 *         accounts without a limit always are.
 */
bool cgw_quota_admit(struct cgw_quota *q, const char *account, cg_ms now,
		     cg_ms *retry_after_ms);
/** Returns whether this broker began to lead so recently that it holds
 * fewer tokens than the account is entitled to. A refusal can be wrong then. */
bool cgw_quota_is_warming_up(const struct cgw_quota *q, const char *account,
			     cg_ms now);
/** Returns the token of a request that is known not to have run. */
void cgw_quota_refund(struct cgw_quota *q, const char *account, cg_ms now);

/** Returns an account's demand over the last seconds in thousandths of a
 * request per second. */
int64_t cgw_quota_demand(struct cgw_quota *q, const char *account, cg_ms now);
/** Records another domain's demand for an account, in thousandths of a request
 * per second. */
void cgw_quota_record_demand(struct cgw_quota *q, const char *domain,
			     const char *account, int64_t demand_milli,
			     cg_ms now);
/** Calls @p visit for each account with demand. */
void cgw_quota_each_account(struct cgw_quota *q, cg_ms now,
			    void (*visit)(void *arg, const char *account,
					  int64_t demand_milli),
			    void *arg);

/** Shares are counted in millionths of an account's rate. */
#define CGW_SHARE_WHOLE 1000000

/** What a broker reports to another domain about an account. The totals count
 * since the first broker of the domain, so that a lost or repeated report
 * changes nothing. */
struct cgw_share_report {
	const char *account;
	/** That the reporting domain holds; below 0 while it owes some. */
	int64_t share;
	/** Of the receiving domain, as it reported last. */
	int64_t receiver_share;
	int64_t given; /**< Total given to the receiving domain. */
	int64_t received; /**< Total received from it. */
};

/** Gives up what this domain does not need to those that need it, and calls
 * @p visit with the report on each account whose share differs from an equal
 * one or that has demand. @p domain is the receiver. */
void cgw_quota_each_share(struct cgw_quota *q, const char *domain, cg_ms now,
			  void (*visit)(void *arg,
					const struct cgw_share_report *r),
			  void *arg);
/** Returns whether this broker knows the totals between its domain and
 * @p domain. A broker that begins to lead learns them from the other one. */
bool cgw_quota_has_totals(struct cgw_quota *q, const char *domain);
/** Records the reports of another domain's broker. @p has_totals is its
 * cgw_quota_has_totals() for this domain. */
void cgw_quota_record_shares(struct cgw_quota *q, const char *domain,
			     const struct cgw_share_report *reports, size_t n,
			     bool has_totals, cg_ms now);
/** Records that the broker of @p reporter last received a report of @p domain
 * @p age ago; @p domain is NULL for this domain. */
void cgw_quota_record_contact(struct cgw_quota *q, const char *reporter,
			      const char *domain, cg_ms age, cg_ms now);
/** Returns how long ago a report of @p domain was received, or -1 if none has
 * been since this broker leads. */
cg_ms cgw_quota_contact_age(struct cgw_quota *q, const char *domain, cg_ms now);
/** Returns the share of an account's rate that this domain may use, without the
 * limit of cgw_quota_set_broker_share(). */
int64_t cgw_quota_share(struct cgw_quota *q, const char *account, cg_ms now);

#endif
