/**
 * @file table.h
 * One version of the operators' configuration in the form that the gateway
 * uses: routes by host and path prefix, services, client accounts and API keys.
 * Built once, then only read.
 */
#ifndef CELERYGLADE_GATEWAY_TABLE_H
#define CELERYGLADE_GATEWAY_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "celeryglade/clock.h"

/** Limits on the size of requests and on idle caller connections. */
struct cgw_caller_limits {
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	cg_ms header_timeout_ms;
	cg_ms idle_timeout_ms;
};

/** A service that receives a share of a route's requests. */
struct cgw_target {
	char *service;
	int64_t weight;
};

struct cgw_route {
	char *name;
	char *host; /**< Lower case, without a port. */
	char *prefix; /**< Of the path; begins and ends with a slash. */
	bool idempotent; /**< Requests may run more than once. */
	bool bulk; /**< Responses are large: downloads. */
	bool open; /**< Requests need no API key. */
	/** Latency objective: a later response is worth less to operators. */
	cg_ms objective_ms;
	cg_ms timeout_ms; /**< Longest time that a caller waits. */
	int64_t priority; /**< 0 is served first. */
	/** Limit on the attempts of a request, not counting those that are
	 * known not to have run. */
	int64_t max_attempts;
	GArray *targets; /**< struct cgw_target, at least one. */
	int64_t weight_sum;
};

/** Longest key of an account, in bytes. */
#define CGW_ACCOUNT_KEY_MAX 63

struct cgw_account {
	char *name; /**< Of any length. */
	/** Identifies the account in messages and rates: its name, or a digest
	 * of it if the name is longer than CGW_ACCOUNT_KEY_MAX. */
	char *key;
	int64_t priority; /**< -1 to use the route's priority. */
	int64_t rate_milli; /**< Thousandths of a request per second; 0 for no
			     * limit. */
	int64_t burst_milli; /**< Thousandths of a request. */
};

struct cgw_table;

/** Creates an empty table of version @p version with one reference. */
struct cgw_table *cgw_table_new(uint64_t version);
struct cgw_table *cgw_table_ref(struct cgw_table *t);
/** Drops a reference; the last one frees the table. @p t may be NULL. */
void cgw_table_unref(struct cgw_table *t);

uint64_t cgw_table_version(const struct cgw_table *t);
struct cgw_caller_limits *cgw_table_limits(struct cgw_table *t);

/** Adds a route and returns it, so that the caller can fill its other fields.
 * Strings are copied. A second route with the same host and prefix replaces the
 * first. */
struct cgw_route *cgw_table_add_route(struct cgw_table *t, const char *name,
				      const char *host, const char *prefix);
void cgw_route_add_target(struct cgw_route *r, const char *service,
			  int64_t weight);
struct cgw_account *cgw_table_add_account(struct cgw_table *t,
					  const char *name);
/** Adds an API key of an account; only the key's digest is stored. */
void cgw_table_add_key(struct cgw_table *t, struct cgw_account *a,
		       const char *key);
/** Adds a service with the path of its health check. */
void cgw_table_add_service(struct cgw_table *t, const char *name,
			   const char *health_path);

/** Sets how many requests a cold server of a service may get, in thousandths of
 * a request per second; 0: no limit. */
void cgw_table_set_warmup_rate(struct cgw_table *t, const char *service,
			       int64_t milli);
int64_t cgw_table_warmup_rate(const struct cgw_table *t, const char *service);
/** Calls @p visit with the name of each service. */
void cgw_table_each_service(const struct cgw_table *t,
			    void (*visit)(void *arg, const char *service),
			    void *arg);

/** Returns the route with the longest prefix of @p path (without its query)
 * for @p host (in any case, with or without a port), or NULL. */
const struct cgw_route *cgw_table_find_route(const struct cgw_table *t,
					     const char *host,
					     const char *path);
/** Returns the account that the API key belongs to, or NULL. */
const struct cgw_account *
cgw_table_find_account_by_key(const struct cgw_table *t, const char *key);
/** Returns the account with this key, or NULL. */
const struct cgw_account *cgw_table_find_account(const struct cgw_table *t,
						 const char *name);
bool cgw_table_has_service(const struct cgw_table *t, const char *name);
/** Returns whether any account exists. Without accounts no route needs an API
 * key. */
bool cgw_table_has_accounts(const struct cgw_table *t);
/** Returns the accounts by key; owned by the table. */
GHashTable *cgw_table_accounts(const struct cgw_table *t);
size_t cgw_table_route_count(const struct cgw_table *t);
/** Returns whether any route is a bulk route. */
bool cgw_table_has_bulk_route(const struct cgw_table *t);

/** Returns the service that @p number selects in proportion to the weights;
 * @p number is uniformly distributed from 0 to 2^32 - 1. */
const char *cgw_route_pick_service(const struct cgw_route *r, uint32_t number);

#endif
