/**
 * @file connection_private.h
 * Layout of struct cg_connection, for the connection pool and cg_forward only.
 */
#ifndef CELERYGLADE_INTERNAL_CONNECTION_PRIVATE_H
#define CELERYGLADE_INTERNAL_CONNECTION_PRIVATE_H

#include <ne_request.h>
#include <ne_session.h>
#include <urcu/list.h>

#include "celeryglade/clock.h"

struct cg_connection {
	struct cds_list_head node; /**< While idle. */
	const char *pool_key; /**< Owned by the pool. */
	ne_session *session;
	struct cg_clock *clk;
	cg_ms opened_at;
	cg_ms idle_since;
	unsigned int request_count; /**< Earlier requests on this connection. */
	unsigned int connect_count; /**< TCP connections established. */
};

#endif
