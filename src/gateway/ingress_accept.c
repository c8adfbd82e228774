#define CG_PART "ingress"
#include "ingress_private.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "celeryglade/counters.h"
#include "internal/address.h"
#include "internal/logging.h"

#define BACKLOG 1024
/* Connections that are accepted before other descriptors are handled. */
#define ACCEPTS_MAX 64
/* Pause after the process has run out of descriptors. */
#define ACCEPT_PAUSE_MS 100
/* A head that has begun to arrive is left to libmicrohttpd after this time: the
 * window of its connection may be shorter than the head. */
#define HEAD_WAIT_MS 1000
/* The shortest line of a head: a name of one character, a colon and CRLF. */
#define LINE_BYTES_MIN 4

/* A new connection whose first head has not arrived. Its bytes stay in the socket,
 * so that a server can be chosen by them: memory for any legal head in each
 * connection would be five times as much. */
struct new_connection {
	struct cds_list_head node;
	struct cgw_io io;
	struct cgw_ingress *ingress;
	struct sockaddr_in peer;
	cg_ms accepted_at;
	cg_ms head_since; /* when its first bytes arrived; 0: none have */
};

enum head_state {
	HEAD_CLOSED, /* the caller has left */
	HEAD_ABSENT, /* nothing has arrived */
	HEAD_PARTIAL,
	HEAD_ORDINARY, /* whole, or longer than any legal one */
	HEAD_OF_MANY_LINES,
};

/* Returns the longest legal head in bytes. */
static size_t head_limit(const struct cgw_ingress *in)
{
	struct cgw_table *t = cgw_feed_table(in->gateway->feed);
	int64_t limit = t ? cgw_table_limits(t)->max_header_bytes : 0;

	if (limit <= 0 || limit > in->gateway->settings.request_head_max_bytes)
		limit = in->gateway->settings.request_head_max_bytes;
	return (size_t)limit;
}

/* Returns the length of a whole head at the start of @text, or 0. Counts its lines.
 */
static size_t find_head_end(const char *text, size_t len, size_t *lines)
{
	bool begun = false;
	size_t start = 0;

	*lines = 0;
	for (size_t i = 0; i < len; i++) {
		size_t n = i - start;

		if (text[i] != '\n')
			continue;
		start = i + 1;
		/* Empty lines before the request are no end. */
		if (n == 0 || (n == 1 && text[i - 1] == '\r')) {
			if (begun)
				return i + 1;
			continue;
		}
		begun = true;
		++*lines;
	}
	return 0;
}

static enum head_state peek_head(const struct new_connection *c)
{
	const struct cgw_ingress *in = c->ingress;
	size_t limit = head_limit(in), lines, head;
	ssize_t n = recv(c->io.fd, in->peek_buffer, limit, MSG_PEEK);

	if (n < 0)
		return errno == EAGAIN || errno == EINTR ? HEAD_ABSENT
							 : HEAD_CLOSED;
	if (!n)
		return HEAD_CLOSED;
	head = find_head_end(in->peek_buffer, (size_t)n, &lines);
	if (!head)
		return (size_t)n < limit ? HEAD_PARTIAL : HEAD_ORDINARY;
	return cgw_head_memory(head, lines) >
			       in->gateway->settings.request_head_max_bytes
		       ? HEAD_OF_MANY_LINES
		       : HEAD_ORDINARY;
}

static void forget(struct new_connection *c)
{
	cgw_loop_del(c->ingress->gateway->loop, &c->io);
	cds_list_del(&c->node);
	c->ingress->new_count--;
	g_free(c);
}

static void drop(struct new_connection *c)
{
	int fd = c->io.fd;

	forget(c);
	close(fd);
}

/* Starts the server for heads of many lines when the first one comes, so that
 * others need no memory for it. */
static struct cgw_http_server *server_for_many_lines(struct cgw_ingress *in)
{
	size_t limit = head_limit(in);

	if (in->many_lines.daemon)
		return &in->many_lines;
	in->many_lines_memory = cgw_head_memory(limit, limit / LINE_BYTES_MIN);
	if (cgw_ingress_start_server(
		    in, &in->many_lines,
		    (size_t)(in->many_lines_memory +
			     cgw_ingress_response_memory(in)))) {
		cg_warning("cannot start the server for heads of many lines");
		cgw_http_server_stop(&in->many_lines, in->gateway->loop);
		return &in->callers;
	}
	return &in->many_lines;
}

/* Hands a connection, with all that has arrived on it, to libmicrohttpd. */
static void hand_over(struct new_connection *c, struct cgw_http_server *s)
{
	struct cgw_ingress *in = c->ingress;
	struct sockaddr_in peer = c->peer;
	int fd = c->io.fd;

	forget(c);
	in->adding_to = s;
	/* It closes the socket if it fails. */
	if (MHD_add_connection(s->daemon, fd, (struct sockaddr *)&peer,
			       sizeof(peer)) != MHD_YES)
		cg_info("refused a connection: too many are open");
	in->adding_to = NULL;
	cgw_http_server_run(s);
}

static void check_head(struct new_connection *c)
{
	cg_ms now = cgw_loop_now(c->ingress->gateway->loop);

	switch (peek_head(c)) {
	case HEAD_CLOSED:
		drop(c);
		return;
	case HEAD_ABSENT:
		return;
	case HEAD_PARTIAL:
		if (!c->head_since)
			c->head_since = now;
		if (now - c->head_since >= HEAD_WAIT_MS ||
		    c->ingress->gateway->refusing_new)
			hand_over(c, &c->ingress->callers);
		return;
	case HEAD_ORDINARY:
		hand_over(c, &c->ingress->callers);
		return;
	case HEAD_OF_MANY_LINES:
		cg_count(CG_COUNTER_HEADS_OF_MANY_LINES);
		hand_over(c, server_for_many_lines(c->ingress));
		return;
	}
}

static void on_new_ready(struct cgw_io *io, uint32_t events)
{
	(void)events;
	check_head(caa_container_of(io, struct new_connection, io));
}

static void watch_new(struct cgw_ingress *in, int fd,
		      const struct sockaddr_in *peer)
{
	struct new_connection *c = g_new0(struct new_connection, 1);

	c->ingress = in;
	c->peer = *peer;
	c->io.fd = fd;
	c->io.ready = on_new_ready;
	c->accepted_at = cgw_loop_now(in->gateway->loop);
	cds_list_add_tail(&c->node, &in->new_connections);
	in->new_count++;
	if (cgw_loop_add(in->gateway->loop, &c->io,
			 EPOLLIN | EPOLLRDHUP | EPOLLET)) {
		cg_warning("cannot watch a new connection: %s",
			   g_strerror(errno));
		drop(c);
		return;
	}
	check_head(c);
}

static void set_accepting(struct cgw_ingress *in, bool on)
{
	cgw_loop_change(in->gateway->loop, &in->listener, on ? EPOLLIN : 0);
	if (!on)
		cgw_timer_arm(in->gateway->loop, &in->accept_again,
			      cgw_loop_now(in->gateway->loop) +
				      ACCEPT_PAUSE_MS);
}

static void on_accept_again(struct cgw_timer *t)
{
	struct cgw_ingress *in =
		caa_container_of(t, struct cgw_ingress, accept_again);

	if (in->listener.fd >= 0)
		set_accepting(in, true);
}

static void on_listener_ready(struct cgw_io *io, uint32_t events)
{
	struct cgw_ingress *in =
		caa_container_of(io, struct cgw_ingress, listener);

	(void)events;
	for (int i = 0; i < ACCEPTS_MAX; i++) {
		struct sockaddr_in peer = { 0 };
		socklen_t len = sizeof(peer);
		int fd;

		if (in->connection_count + in->new_count >=
		    in->connection_limit) {
			set_accepting(in, false);
			return;
		}
		fd = accept4(io->fd, (struct sockaddr *)&peer, &len,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd >= 0) {
			watch_new(in, fd, &peer);
			cgw_ingress_make_room(in);
			continue;
		}
		if (errno == EINTR || errno == ECONNABORTED)
			continue;
		if (errno != EAGAIN)
			set_accepting(in, false);
		return;
	}
}

int cgw_ingress_listen(struct cgw_ingress *in, const char *address)
{
	struct sockaddr_in sa;
	int one = 1;

	CDS_INIT_LIST_HEAD(&in->new_connections);
	in->accept_again.fire = on_accept_again;
	in->listener.fd = -1;
	in->listener.ready = on_listener_ready;
	in->peek_buffer =
		g_malloc((gsize)in->gateway->settings.request_head_max_bytes);
	if (cg_parse_address(address, &sa))
		return -1;
	in->listener.fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (in->listener.fd < 0)
		return -1;
	setsockopt(in->listener.fd, SOL_SOCKET, SO_REUSEADDR, &one,
		   sizeof(one));
	if (bind(in->listener.fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(in->listener.fd, BACKLOG))
		return -1;
	return cgw_loop_add(in->gateway->loop, &in->listener, EPOLLIN);
}

void cgw_ingress_quiesce(struct cgw_ingress *in)
{
	if (in->listener.fd < 0)
		return;
	cgw_timer_cancel(in->gateway->loop, &in->accept_again);
	cgw_loop_del(in->gateway->loop, &in->listener);
	close(in->listener.fd);
	in->listener.fd = -1;
}

/* Bytes may have arrived while the process stood still, so a connection is looked
 * at before it is given up. */
void cgw_ingress_check_new(struct cgw_ingress *in, cg_ms idle_ms)
{
	cg_ms now = cgw_loop_now(in->gateway->loop);
	struct new_connection *c, *next;

	cds_list_for_each_entry_safe(c, next, &in->new_connections, node) {
		if (!c->head_since && now - c->accepted_at >= idle_ms &&
		    peek_head(c) == HEAD_ABSENT)
			drop(c);
		else
			check_head(c);
	}
}

bool cgw_ingress_drop_oldest_new(struct cgw_ingress *in)
{
	cg_ms now = cgw_loop_now(in->gateway->loop);
	struct new_connection *c, *next;

	cds_list_for_each_entry_safe(c, next, &in->new_connections, node) {
		if (now - c->accepted_at < HEAD_WAIT_MS)
			return false;
		if (peek_head(c) == HEAD_ABSENT) {
			drop(c);
			return true;
		}
	}
	return false;
}

void cgw_ingress_free_new(struct cgw_ingress *in)
{
	struct new_connection *c, *next;

	cgw_ingress_quiesce(in);
	cds_list_for_each_entry_safe(c, next, &in->new_connections, node)
		drop(c);
	g_free(in->peek_buffer);
}
