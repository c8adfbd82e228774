/**
 * @file connection_private.h
 * The connection's layout, shared by the pool and the forwarder only.
 */
#ifndef CELERYGLADE_INTERNAL_CONNECTION_PRIVATE_H
#define CELERYGLADE_INTERNAL_CONNECTION_PRIVATE_H

#include <ne_request.h>
#include <ne_session.h>
#include <urcu/list.h>

#include "celeryglade/clock.h"

struct cg_connection {
	struct cds_list_head node; /**< While idle. */
	const char *pool_key; /**< Belongs to the pool. */
	ne_session *session;
	struct cg_clock *clk;
	cg_ms opened_at;
	cg_ms idle_since;
	unsigned int request_count; /**< Requests carried before this one. */
	unsigned int
		connect_count; /**< TCP connections that were established. */
};

#endif
