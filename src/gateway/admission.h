/**
 * @file admission.h
 * Admission by urgency: the order in which the waiting requests of a service
 * get slots, and which of them is refused when there is not room for all. The
 * functions use neither network nor clock, and keep no state of their own.
 */
#ifndef CELERYGLADE_GATEWAY_ADMISSION_H
#define CELERYGLADE_GATEWAY_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>

#include "celeryglade/clock.h"

/** Recent decisions on the requests of a kind, of an account or of all. */
struct cgw_admission_share {
	double granted, refused; /**< Decay with time. */
	unsigned int waiting; /**< For a slot. */
	unsigned int users; /**< Requests that refer to it. */
	int64_t priority; /**< Of a kind. */
	/** From the arrival of a request of a kind to its deadline. */
	cg_ms time_ms;
};

/** A request for which there is no free slot. */
struct cgw_admission_request {
	int64_t priority; /**< 0 is served first. */
	cg_ms since; /**< Arrival. */
	cg_ms objective_at; /**< A response is worth less from then on. */
	cg_ms deadline;
	cg_ms work; /**< Expected time on a server. */
	bool idempotent;
	/** Recent use of the account: cgw_admission_usage_level(). */
	unsigned int usage_level;
	const struct cgw_admission_share *kind, *account, *all;
};

/** Adds a decision. */
void cgw_admission_share_record(struct cgw_admission_share *s, bool granted);
/** Lets the decisions of the last @p elapsed ms count less. Returns whether
 * nothing is left. */
bool cgw_admission_share_decay(struct cgw_admission_share *s, cg_ms elapsed);
/** Returns whether so much less of @p part than of @p all is served that its
 * requests must come first. */
bool cgw_admission_is_starved(const struct cgw_admission_share *part,
			      const struct cgw_admission_share *all);

/** Returns 0 for an account that uses at most twice the @p mean of the accounts,
 * and one more for each doubling beyond. */
unsigned int cgw_admission_usage_level(double usage, double mean);

/** Returns whether @p a gets a slot before @p o: first requests of starved kinds
 * and accounts, then by priority, then those that can still meet their
 * objective, then by the account's use, the time left, idempotence and
 * arrival. */
bool cgw_admission_precedes(const struct cgw_admission_request *a,
			    const struct cgw_admission_request *o, cg_ms now);

/** Returns whether a request would be served by its deadline if it got a slot
 * after @p wait ms. */
bool cgw_admission_meets_deadline(const struct cgw_admission_request *a,
				  cg_ms wait, cg_ms now);

/** Sorts the waiting requests by precedence and sets @p refuse[i] for each that
 * the ones before it delay beyond its deadline. @p slots is the number of
 * requests that run concurrently. */
void cgw_admission_plan(const struct cgw_admission_request **waiting,
			bool *refuse, size_t n, double slots, cg_ms now);

/** Returns the Retry-After for a refused caller that has @p left ms, of which
 * it waits a third at most. @p room is the expected time until there is room,
 * @p spread from 0 to 1 spreads the callers. */
cg_ms cgw_admission_retry_after(double room, cg_ms left, double spread);

/** Returns the part of a service's retry budget that must be left to kinds
 * of requests with precedence over @p kind. @p retry_ratio is the budget for each
 * request. */
double
cgw_admission_budget_reserve(const struct cgw_admission_share *kind,
			     const struct cgw_admission_share *const *kinds,
			     size_t n, double retry_ratio);

#endif
