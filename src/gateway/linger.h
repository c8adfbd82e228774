/**
 * @file linger.h
 * Connections of callers that the gateway has ended but not closed yet. Closing a
 * connection while bytes from its peer are unread, or before more arrive, resets
 * it, and a reset discards what the peer has not received. So the peer's bytes are
 * read and discarded until it has received everything and closes.
 */
#ifndef CELERYGLADE_GATEWAY_LINGER_H
#define CELERYGLADE_GATEWAY_LINGER_H

#include <stdbool.h>

#include <urcu/list.h>

#include "gateway/loop.h"

struct cgw_linger {
	struct cgw_loop *loop;
	struct cds_list_head connections; /* struct lingering, oldest first */
	struct cgw_timer check;
	unsigned int count;
	unsigned int max;
};

/** Sets up an empty list. With more than @p max connections, the oldest one is
 * closed for each new one. */
void cgw_linger_init(struct cgw_linger *l, struct cgw_loop *loop,
		     unsigned int max);
/** Closes all connections. */
void cgw_linger_clear(struct cgw_linger *l);
/** Ends the sending side of the connection @p fd and keeps a duplicate of the
 * descriptor for as long as needed. The caller closes @p fd as usual. */
void cgw_linger_add(struct cgw_linger *l, int fd);
/** Returns whether the peer has not acknowledged all bytes that were sent on @p
 * fd. */
bool cgw_linger_has_unsent(int fd);

#endif
