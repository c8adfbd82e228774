#define CG_PART "ingress"
#include "ingress_private.h"

#include <sys/socket.h>

#include "celeryglade/counters.h"
#include "internal/logging.h"

/* Used until a configuration sets the idle timeout. */
#define IDLE_TIMEOUT_MS ((cg_ms)75000)
/* A response that its caller has not received keeps an idle connection open for
 * this many idle timeouts. */
#define UNDELIVERED_FACTOR 2

cg_ms cgw_ingress_idle_timeout(const struct cgw_ingress *in)
{
	struct cgw_table *t = cgw_feed_table(in->gateway->feed);
	cg_ms idle = t ? cgw_table_limits(t)->idle_timeout_ms : 0;

	return idle > 0 ? idle : IDLE_TIMEOUT_MS;
}

bool cgw_connection_is_idle(const struct connection *c)
{
	return !c->exchange && !c->incomplete && !c->closing;
}

bool cgw_connection_has_unread(const struct connection *c)
{
	char byte;

	return recv(c->io.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void cgw_connection_close(struct connection *c)
{
	c->closing = true;
	shutdown(c->io.fd, SHUT_RDWR);
}

void cgw_connection_report_stall(const struct cgw_exchange *x)
{
	cg_count(x->done ? CG_COUNTER_RESPONSES_STALLED
			 : CG_COUNTER_BODIES_STALLED);
	cg_info("closed a connection: %s", x->done ? "the caller does not read "
						     "its response"
						   : "the request has stopped "
						     "arriving");
}

static cg_ms idle_time(const struct connection *c)
{
	return cgw_loop_now(c->ingress->gateway->loop) -
	       MAX(c->idle_since, c->last_bytes_at);
}

/* Returns whether the caller of a connection may still be receiving a response that
 * the gateway has sent: a close would cut it. */
static bool is_receiving(const struct connection *c)
{
	return idle_time(c) < cgw_ingress_idle_timeout(c->ingress) &&
	       cgw_linger_has_unsent(c->io.fd);
}

bool cgw_ingress_close_longest_idle(struct cgw_ingress *in,
				    const struct connection *but,
				    int64_t memory)
{
	struct connection *c;

	cds_list_for_each_entry(c, &in->connections, node) {
		if (c->node.next == &in->connections)
			break;
		if (c == but || c->memory < memory ||
		    !cgw_connection_is_idle(c) ||
		    cgw_connection_has_unread(c) || is_receiving(c))
			continue;
		cgw_connection_close(c);
		return true;
	}
	return false;
}

/* Returns the request that is still being read, or NULL. */
static const struct cgw_exchange *arriving_request(const struct connection *c)
{
	if (c->exchange && !c->suspended && !c->exchange->done)
		return c->exchange;
	return c->incomplete;
}

/* Returns whether no byte of a request has arrived for @ms. */
static bool is_stalled(const struct connection *c, cg_ms ms)
{
	cg_ms now = cgw_loop_now(c->ingress->gateway->loop);

	return arriving_request(c) && !c->closing &&
	       now - c->last_bytes_at >= ms;
}

bool cgw_ingress_close_stalled(struct cgw_ingress *in,
			       const struct connection *but)
{
	struct connection *c;

	cds_list_for_each_entry(c, &in->connections, node) {
		if (c == but || !is_stalled(c, CG_MEMORY_STALLED_MS) ||
		    cgw_connection_has_unread(c) || is_receiving(c))
			continue;
		cg_count(CG_COUNTER_BODIES_STALLED);
		c->stalled = true;
		cgw_connection_close(c);
		return true;
	}
	return false;
}

/* Returns whether an idle connection is older than its timeout. Bytes of a request
 * that is not read yet count as activity. */
static bool is_expired(const struct connection *c, cg_ms timeout)
{
	cg_ms idle = idle_time(c);

	return cgw_connection_is_idle(c) && idle >= timeout &&
	       (idle >= timeout * UNDELIVERED_FACTOR ||
		!cgw_linger_has_unsent(c->io.fd));
}

/* The process may have stood still, or have been busy, so that what arrived before
 * the timeout has not been read. */
void cgw_ingress_check_timeouts(struct cgw_ingress *in)
{
	cg_ms idle = cgw_ingress_idle_timeout(in);
	cg_ms body = in->gateway->settings.body_stall_ms;
	struct connection *c;

	cgw_ingress_check_new(in, idle);
	cds_list_for_each_entry(c, &in->connections, node) {
		bool stalled = is_stalled(c, body ? body : idle);

		if ((!stalled && !is_expired(c, idle)) ||
		    cgw_connection_has_unread(c) || is_receiving(c))
			continue;
		if (stalled)
			cgw_connection_report_stall(arriving_request(c));
		c->stalled = stalled;
		cgw_connection_close(c);
	}
}

/* Leaves a connection open until its caller has received the last response: bytes
 * that arrive after the close would reset it, and what the caller has not received
 * would be lost. */
void cgw_ingress_close_idle(struct cgw_ingress *in)
{
	struct connection *c;

	cgw_ingress_check_new(in, 0);
	cds_list_for_each_entry(c, &in->connections, node) {
		/* A request that has arrived is refused with a response. */
		if (!c->exchange && !c->closing &&
		    !cgw_connection_has_unread(c) &&
		    !cgw_linger_has_unsent(c->io.fd))
			cgw_connection_close(c);
	}
}
