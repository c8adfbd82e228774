/**
 * @file upstream_private.h
 * Connections of the HTTP client, and those kept idle for later calls.
 */
#ifndef CELERYGLADE_GATEWAY_UPSTREAM_PRIVATE_H
#define CELERYGLADE_GATEWAY_UPSTREAM_PRIVATE_H

#include <http_parser.h>

#include "gateway/upstream.h"

/* Requests after which a connection may carry the same id again. A copy of a
 * response arrives soon after it, if at all. */
#define RECENT_IDS 8

struct cgw_conn {
	struct cgw_io io;
	struct cgw_upstream *client;
	struct cgw_call *call; /* NULL while the connection is idle */
	struct cds_list_head node; /* in the idle list of its address */
	char address[64];
	http_parser parser;
	GString *name;
	GString *value;
	bool in_value;
	bool connected;
	bool head_complete; /* what follows are trailer fields */
	bool complete; /* a whole response has been parsed */
	bool response_started; /* at least one byte has been received */
	bool no_reuse;
	bool no_room; /* for the body of the response */
	bool send_failed; /* the error of the connection is no longer known */
	enum {
		STATUS_BEFORE, /* in the protocol version */
		STATUS_WITHIN,
		STATUS_READ
	} status_state;
	unsigned int status_digits; /* of the present response */
	size_t out_pos;
	int64_t buffered; /* bytes of the present body */
	cg_ms last_used;
	cg_ms keep_alive_ms; /* from the Keep-Alive header; 0: none */
	guint recent_ids[RECENT_IDS]; /* hashes of the ids sent last */
	unsigned int ids_sent;
};

struct cgw_upstream {
	struct cgw_loop *loop;
	GHashTable *idle; /* address to struct idle_list */
	/* Address to the time until which connections are not reused. */
	GHashTable *unidentified;
	struct cgw_timer sweep;
	uint64_t opened;
	int64_t response_max, total_max; /* bytes */
	int64_t buffered; /* bytes of the bodies that are being read */
};

/** Sets up the lists of idle connections. */
void cgw_pool_init(struct cgw_upstream *u);
/** Closes all idle connections and frees the lists. */
void cgw_pool_clear(struct cgw_upstream *u);
/** Closes and frees a connection. */
void cgw_conn_free(struct cgw_conn *c);
/** Removes and returns the most recently used idle connection, which is the
 * least likely to be dead. Returns NULL if none can be reused. */
struct cgw_conn *cgw_pool_take(struct cgw_upstream *u,
			       const struct cgw_call *call);
/** Keeps a connection that has no call any more, or closes it if it cannot be
 * reused. */
void cgw_pool_put(struct cgw_conn *c);
/** Removes an idle connection from its list. */
void cgw_pool_remove(struct cgw_conn *c);
/** Records the id that is sent on the connection. */
void cgw_pool_record_id(struct cgw_conn *c, const struct cgw_call *call);
/** Records that responses from the server may come without an id. */
void cgw_pool_record_unidentified(struct cgw_conn *c);

#endif
