/**
 * @file quota.h
 * Rates of client accounts in one failure domain. Each domain's broker admits
 * its share of the fleet-wide rate; shares follow the demand that the domains
 * tell each other. No network and no clock inside.
 */
#ifndef CELERYGLADE_GATEWAY_QUOTA_H
#define CELERYGLADE_GATEWAY_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "celeryglade/clock.h"
#include "gateway/table.h"

struct cgw_quota;

/** @p domains is the number of failure domains that share each rate. */
struct cgw_quota *cgw_quota_new(unsigned int domains);
void cgw_quota_free(struct cgw_quota *q);

/** Takes over rates and bursts of a new table; accounts that it lacks go. */
void cgw_quota_configure(struct cgw_quota *q, const struct cgw_table *t,
			 cg_ms now);

/** Uses only this part of what the domain is due, from 0 to 1. */
void cgw_quota_set_broker_share(struct cgw_quota *q, double part);
/** The part that a broker may use which @p followers of @p members, itself
 * included in both, follow: all of it for a majority, which there is one of,
 * otherwise its share. Brokers that daemons cut off from each other follow
 * then exceed a rate by half at most, however many they are. */
double cgw_quota_broker_share(unsigned int followers, unsigned int members);

/** Admits one request or not; both count as demand. On refusal
 * @p retry_after_ms tells when a token is likely. */
bool cgw_quota_admit(struct cgw_quota *q, const char *account, cg_ms now,
		     cg_ms *retry_after_ms);
/** Whether this broker has kept the account for so short a time that it holds
 * less than the account is due; a refusal may be wrong then. */
bool cgw_quota_is_warming_up(const struct cgw_quota *q, const char *account,
			     cg_ms now);
/** Gives back the token of a request that is known not to have run. */
void cgw_quota_refund(struct cgw_quota *q, const char *account, cg_ms now);

/** Requests asked per second, in thousandths, over the last seconds. */
int64_t cgw_quota_demand(struct cgw_quota *q, const char *account, cg_ms now);
/** Notes another domain's demand for an account. */
void cgw_quota_record_demand(struct cgw_quota *q, const char *domain,
			     const char *account, int64_t demand_milli,
			     cg_ms now);
/** Calls @p visit for each account with demand. */
void cgw_quota_each_account(struct cgw_quota *q, cg_ms now,
			    void (*visit)(void *arg, const char *account,
					  int64_t demand_milli),
			    void *arg);

#endif
