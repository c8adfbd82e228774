/**
 * @file store_format.h
 * How a deployment's object store spells what the gateway reads and writes
 * there. The gateway decides what to read and when; an implementation only
 * translates. Strings that are returned are the caller's.
 */
#ifndef CELERYGLADE_GATEWAY_STORE_FORMAT_H
#define CELERYGLADE_GATEWAY_STORE_FORMAT_H

#include <glib.h>

#include "gateway/broker.h"
#include "gateway/table.h"

/** A daemon or the fleet's secret, as kept in the store. */
struct cgw_fleet_entry {
	char name[CGW_NAME_MAX + 1];
	char domain[CGW_NAME_MAX + 1];
	char ip[CGW_NAME_MAX + 1];
	char secret[2 * 32 + 1]; /**< Hexadecimal; "" for a daemon. */
};

/** Names of the headers that callers, gateway and backend servers exchange. */
struct cgw_header_names {
	const char *request_id;
	const char *deadline; /**< Milliseconds that the caller waits. */
	const char *seal; /**< Proves that a response is a server's own. */
	const char *not_run; /**< The server did not run the request. */
	const char *expected_server; /**< Others turn the request away. */
	const char *account;
};

struct cgw_store_format {
	struct cgw_header_names headers;

	/** Targets of reads; @p after continues a listing, or is NULL. */
	char *(*config_target)(void);
	char *(*servers_target)(const char *after);
	char *(*fleet_target)(const char *after);

	/** Reads a configuration; NULL with a reason in @p why. */
	struct cgw_table *(*read_config)(const char *text, size_t len,
					 char **why);
	/** Appends struct cgw_server_facts; entries that name no server are
	 * left out and counted in @p bad. @p after is set if more follow.
	 * Returns 0 or -1. */
	int (*read_servers)(const char *text, size_t len, GArray *out,
			    unsigned int *bad, char **after, char **why);
	/** Appends struct cgw_fleet_entry; the same. */
	int (*read_fleet)(const char *text, size_t len, GArray *out,
			  unsigned int *bad, char **after, char **why);
	/** Body that creates an entry at fleet_target(NULL). */
	char *(*write_fleet)(const struct cgw_fleet_entry *e);
};

#endif
