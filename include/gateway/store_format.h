/**
 * @file store_format.h
 * Translation between the gateway's types and the object store and HTTP headers
 * of a deployment. The gateway decides what to read and when; an implementation
 * only translates. The caller frees returned strings with g_free().
 */
#ifndef CELERYGLADE_GATEWAY_STORE_FORMAT_H
#define CELERYGLADE_GATEWAY_STORE_FORMAT_H

#include <glib.h>

#include "gateway/broker.h"
#include "gateway/table.h"

/** A daemon or the fleet's shared secret, as stored. */
struct cgw_fleet_entry {
	char name[CGW_NAME_MAX + 1];
	char domain[CGW_NAME_MAX + 1];
	char ip[CGW_NAME_MAX + 1];
	unsigned int capacity; /**< See cgw_settings_capacity(). */
	char secret[2 * 32 + 1]; /**< Hexadecimal; "" for a daemon. */
};

/** A change of the list of servers. */
struct cgw_server_event {
	bool gone; /**< Only the id is set; the server must not be used. */
	struct cgw_server_facts facts;
};

/** Names of the HTTP headers used between callers, gateway and servers. */
struct cgw_header_names {
	const char *request_id;
	const char *deadline; /**< Remaining time in milliseconds. */
	const char *seal; /**< Proves that the server itself responded. */
	const char *not_run; /**< The server did not run the request. */
	const char *leaving; /**< "1": the server shuts down. */
	const char *expected_server; /**< Any other server rejects it. */
	const char *account;
};

/** Implemented once for each deployment. The read functions set @p why to the
 * reason of a failure. */
struct cgw_store_format {
	struct cgw_header_names headers;
	/** Name of the header in all responses of the store whose value rises
	 * each time the store returns from an older copy, or NULL. */
	const char *era_header;

	/** Return the HTTP request target of a read. @p after is the value that
	 * the previous page of a list returned, or NULL for the first page. */
	char *(*config_target)(void);
	char *(*servers_target)(const char *after);
	/** @p may_be_old allows a cheaper read that may be seconds old. */
	char *(*fleet_target)(const char *after, bool may_be_old);
	/** Of a write of one entry. */
	char *(*fleet_entry_target)(const char *name);
	/** Of a call that returns the changes of the list of servers after
	 * @p revision, as soon as there is one, at the latest after
	 * @p wait_ms. */
	char *(*servers_watch_target)(uint64_t revision, cg_ms wait_ms);

	/** Of the object that asks for the evacuation of a failure domain. */
	char *(*evacuation_target)(const char *domain);

	/** Parses a configuration. Returns NULL if it is invalid. */
	struct cgw_table *(*read_config)(const char *text, size_t len,
					 char **why);
	/** Parses one page of the list of servers and appends a
	 * struct cgw_server_facts for each. Invalid entries are skipped and
	 * counted in @p bad. Sets @p after if more pages follow, and
	 * @p revision to the revision of the store that the page shows (0 if
	 * it is missing). Returns 0, or -1 if the text is not a list. */
	int (*read_servers)(const char *text, size_t len, GArray *out,
			    unsigned int *bad, char **after, uint64_t *revision,
			    char **why);
	/** Parses the response to a call of servers_watch_target() and appends
	 * a struct cgw_server_event for each change. @p revision is the one to
	 * continue from. Returns 0, or -1 if the text is invalid. */
	int (*read_server_events)(const char *text, size_t len, GArray *out,
				  uint64_t *revision, char **why);
	/** The same as read_servers() for entries of type
	 * struct cgw_fleet_entry, without a revision. */
	int (*read_fleet)(const char *text, size_t len, GArray *out,
			  unsigned int *bad, char **after, char **why);
	/** Checks the object at evacuation_target(). Returns 0 if it is one of
	 * this domain, or -1. */
	int (*read_evacuation)(const char *text, size_t len, const char *domain,
			       char **why);
	/** Returns the request body that creates an entry at
	 * fleet_target(NULL, false), or replaces it at its own target. */
	char *(*write_fleet)(const struct cgw_fleet_entry *e);
};

#endif
