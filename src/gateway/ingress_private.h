/**
 * @file ingress_private.h
 * State of the HTTP server for callers.
 */
#ifndef CELERYGLADE_GATEWAY_INGRESS_PRIVATE_H
#define CELERYGLADE_GATEWAY_INGRESS_PRIVATE_H

#include "gateway/ingress.h"
#include "http_server.h"
#include "linger.h"

struct cgw_ingress {
	struct cgw_gateway *gateway;
	struct cgw_io listener; /* descriptor -1: no longer listens */
	struct cgw_timer accept_again;
	struct cds_list_head new_connections; /* oldest first */
	unsigned int new_count;
	char *peek_buffer; /* as long as the longest head */
	struct cgw_http_server callers;
	/* For connections whose first head has more lines than fit the memory
	 * of others. Runs from the first such head on. */
	struct cgw_http_server many_lines;
	int64_t many_lines_memory; /* of each of its connections */
	struct cgw_http_server *adding_to; /* by MHD_add_connection() */
	struct cgw_http_server ready;
	struct cgw_http_server metrics;
	struct cgw_timer housekeeping;
	struct cgw_timer run_soon; /* runs the callers' server again */
	struct cds_list_head connections; /* struct connection, idle longest
					   * first */
	struct cgw_linger linger;
	unsigned int connection_count;
	unsigned int connection_limit;
	bool closing; /* the server for callers is being stopped */
};

/* A caller's connection. libmicrohttpd does not watch a connection while its
 * request is being handled, so this module watches for a disconnect, without
 * reading from the socket. */
struct connection {
	struct cds_list_head node;
	struct cgw_io io;
	struct cgw_ingress *ingress;
	struct cgw_http_server *server;
	struct MHD_Connection *mhd;
	struct cgw_exchange *exchange; /* the request being handled */
	/* Its head is not read yet; freed when libmicrohttpd reports its end,
	 * or else with the connection. */
	struct cgw_exchange *incomplete;
	int64_t memory; /* counted in the budget */
	cg_ms last_bytes_at; /* when bytes last arrived, or it was opened */
	/* When bytes last arrived that follow the request being handled; 0:
	 * none have. */
	cg_ms pipelined_at;
	cg_ms request_arrived_at; /* of the last request that was read whole */
	cg_ms idle_since; /* when it was opened, or a request last ended */
	uint64_t completed_in_run; /* of libmicrohttpd; 0: never */
	bool suspended; /* by MHD_suspend_connection() */
	bool caller_closed;
	bool close_announced; /* by a response; what follows is not read */
	bool stalled; /* closed because its request has stopped arriving */
	bool closing; /* at once, whether or not a response has been sent */
};

/** Returns the number of connections that is @p parts parts of the margin below
 * the limit. */
unsigned int cgw_ingress_margin(const struct cgw_ingress *in,
				unsigned int parts);
/** Returns whether no request is being read or handled on a connection. */
bool cgw_connection_is_idle(const struct connection *c);
/** Returns whether bytes have arrived that have not been read. */
bool cgw_connection_has_unread(const struct connection *c);
/** Closes a connection at once. Bytes that arrive from now on reset it, so their
 * sender knows that they have not been read. */
void cgw_connection_close(struct connection *c);
/** Counts and logs a caller that has stopped sending or reading. */
void cgw_connection_report_stall(const struct cgw_exchange *x);
/** Closes the connection that has been idle for the longest time among those that
 * hold at least @p memory bytes, except @p but, those whose callers are receiving a
 * response, and the newest one, whose request is on the way. Returns false if there
 * is none. */
bool cgw_ingress_close_longest_idle(struct cgw_ingress *in,
				    const struct connection *but,
				    int64_t memory);
/** Closes a connection, except @p but and those whose callers are receiving a
 * response, whose request has stopped arriving. Returns false if there is none. */
bool cgw_ingress_close_stalled(struct cgw_ingress *in,
			       const struct connection *but);
/** Returns the idle timeout in force, in milliseconds. */
cg_ms cgw_ingress_idle_timeout(const struct cgw_ingress *in);
/** Closes connections that have been idle, or whose requests have not arrived, for
 * too long. */
void cgw_ingress_check_timeouts(struct cgw_ingress *in);
/** Returns how long a request body may be, in bytes. */
int64_t cgw_ingress_max_body(const struct cgw_gateway *g);
/** Reads the head of a request into @p x. It is too large if it takes more than
 * @p memory_max bytes of libmicrohttpd's memory. */
void cgw_read_head(struct cgw_exchange *x, struct MHD_Connection *mhd,
		   const char *method, int64_t memory_max);
/** Returns how many bytes of libmicrohttpd's memory a head of @p bytes takes. */
int64_t cgw_head_memory(size_t bytes, size_t lines);
/** Returns how many bytes libmicrohttpd needs for the head of a response. */
int64_t cgw_ingress_response_memory(const struct cgw_ingress *in);
/** Starts a server without a listener, with @p memory bytes for each connection.
 * Returns 0 or -1. */
int cgw_ingress_start_server(struct cgw_ingress *in, struct cgw_http_server *s,
			     size_t memory);
/** Closes a connection if there are more than the margin below the limit. */
void cgw_ingress_make_room(struct cgw_ingress *in);
/** Listens for callers. Returns 0 or -1; cgw_ingress_free_new() releases what was
 * set up in either case. */
int cgw_ingress_listen(struct cgw_ingress *in, const char *address);
/** Closes new connections on which nothing has arrived for @p idle_ms, and hands
 * over those whose heads have arrived. */
void cgw_ingress_check_new(struct cgw_ingress *in, cg_ms idle_ms);
/** Closes the oldest new connection on which nothing has arrived for a while.
 * Returns false if there is none. */
bool cgw_ingress_drop_oldest_new(struct cgw_ingress *in);
/** Stops listening and closes all new connections. */
void cgw_ingress_free_new(struct cgw_ingress *in);
/** Starts the servers for the readiness check and the metrics. Returns 0, or -1
 * if the former cannot listen. */
int cgw_ingress_start_status(struct cgw_ingress *in);

#endif
