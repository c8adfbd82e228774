/**
 * @file http_server.h
 * A libmicrohttpd server on the event loop.
 */
#ifndef CELERYGLADE_GATEWAY_HTTP_SERVER_H
#define CELERYGLADE_GATEWAY_HTTP_SERVER_H

#include <microhttpd.h>
#include <netinet/in.h>
#include <stdarg.h>

#include <urcu/list.h>

#include "gateway/loop.h"

struct cgw_http_server {
	struct cgw_io io;
	struct cgw_loop *loop;
	struct cgw_timer again; /**< Continues after other descriptors. */
	struct MHD_Daemon *daemon; /**< NULL unless it runs. */
	/** Runs of libmicrohttpd so far. It reads a connection at most once in
	 * a run, before it handles what it has read. */
	uint64_t runs;
};

/** Starts a server for requests without a body. Returns 0, or -1 if it cannot
 * listen. */
int cgw_http_server_start(struct cgw_http_server *s, struct cgw_loop *l,
			  const struct sockaddr_in *sa,
			  MHD_AccessHandlerCallback handler, void *arg);
/** Watches a server that the caller has created as @c daemon. Returns 0, or -1
 * if there is none. */
int cgw_http_server_watch(struct cgw_http_server *s, struct cgw_loop *l);
/** Lets the server handle what is ready now. */
void cgw_http_server_run(struct cgw_http_server *s);
/** Stops a server; does nothing if it does not run. */
void cgw_http_server_stop(struct cgw_http_server *s, struct cgw_loop *l);
/** Writes libmicrohttpd's messages to the debug log. */
void cgw_http_server_log(void *arg, const char *fmt, va_list ap)
	__attribute__((format(printf, 2, 0)));

#endif
