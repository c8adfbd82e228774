#define CG_PART "upstream"
#include "upstream_private.h"

#include <arpa/inet.h>
#include <errno.h>
#include <limits.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "internal/address.h"
#include "internal/logging.h"

/* A connection is closed this long before the timeout that the server announced
 * in its Keep-Alive header. */
#define KEEP_ALIVE_MARGIN_MS 1500
/* A connection fails if sent bytes are not acknowledged within this time. */
#define TCP_TIMEOUT_MS	       3000
#define RESPONSE_BYTES_DEFAULT ((int64_t)16 * 1024 * 1024)
#define TOTAL_BYTES_DEFAULT    ((int64_t)48 * 1024 * 1024)
/* Interim responses, and responses to other requests, before the own one. */
#define INTERIM_MAX 8
#define READ_SIZE   16384
#define BODY_STEP   16384
#define PARTS_MAX   8 /* sent with one call */
/* Status codes that HTTP defines the meaning of. */
#define STATUS_MIN    100
#define STATUS_MAX    599
#define STATUS_DIGITS 3

static char read_buffer[READ_SIZE];

struct cgw_upstream *cgw_upstream_new(struct cgw_loop *l)
{
	struct cgw_upstream *u = g_new0(struct cgw_upstream, 1);

	u->loop = l;
	cgw_pool_init(u);
	u->response_max = RESPONSE_BYTES_DEFAULT;
	u->total_max = TOTAL_BYTES_DEFAULT;
	return u;
}

void cgw_upstream_set_limits(struct cgw_upstream *u, int64_t response_bytes,
			     int64_t total_bytes)
{
	u->response_max = response_bytes;
	u->total_max = total_bytes;
}

void cgw_upstream_free(struct cgw_upstream *u)
{
	if (!u)
		return;
	cgw_pool_clear(u);
	g_free(u);
}

uint64_t cgw_upstream_connections_opened(const struct cgw_upstream *u)
{
	return u->opened;
}

void cgw_call_clear(struct cgw_call *c)
{
	if (c->headers)
		g_ptr_array_unref(c->headers);
	if (c->body)
		g_byte_array_unref(c->body);
	cg_memory_release(&c->memory);
	c->headers = NULL;
	c->body = NULL;
	c->status = 0;
}

const char *cgw_call_header(const struct cgw_call *c, const char *name)
{
	for (guint i = 0; c->headers && i + 1 < c->headers->len; i += 2)
		if (!g_ascii_strcasecmp(g_ptr_array_index(c->headers, i), name))
			return g_ptr_array_index(c->headers, i + 1);
	return NULL;
}

bool cgw_call_running(const struct cgw_call *c)
{
	return c->conn != NULL || c->timer.heap_index;
}

static void forget_body(struct cgw_conn *c)
{
	c->client->buffered -= c->buffered;
	c->buffered = 0;
}

/* Detaches the connection from the call. Keeps it idle if @keep is set and it
 * can be reused, and closes it otherwise. */
static void release_conn(struct cgw_call *call, bool keep)
{
	struct cgw_conn *c = call->conn;

	call->conn = NULL;
	if (!c)
		return;
	forget_body(c);
	c->call = NULL;
	if (keep)
		cgw_pool_put(c);
	else
		cgw_conn_free(c);
}

static void finish_call(struct cgw_call *call, enum cgw_call_outcome outcome,
			bool keep)
{
	cgw_timer_cancel(call->client->loop, &call->timer);
	call->outcome = outcome;
	release_conn(call, keep);
	call->done(call);
}

void cgw_call_cancel(struct cgw_call *c)
{
	if (!cgw_call_running(c))
		return;
	cgw_timer_cancel(c->client->loop, &c->timer);
	release_conn(c, false);
}

static void fail_call(struct cgw_call *call)
{
	struct cgw_conn *c = call->conn;

	if (!call->sent)
		finish_call(call, CGW_CALL_NOT_SENT, false);
	else
		finish_call(call,
			    c && c->response_started ? CGW_CALL_TRUNCATED
						     : CGW_CALL_LOST,
			    false);
}

static void add_header(struct cgw_conn *c)
{
	if (!c->name->len)
		return;
	g_ptr_array_add(c->call->headers, g_strdup(c->name->str));
	g_ptr_array_add(c->call->headers, g_strdup(c->value->str));
	g_string_truncate(c->name, 0);
	g_string_truncate(c->value, 0);
}

/* Trailer fields are ignored: they must not add to what the head proves. */
static int on_field(http_parser *p, const char *at, size_t len)
{
	struct cgw_conn *c = p->data;

	if (c->head_complete)
		return 0;
	if (c->in_value)
		add_header(c);
	c->in_value = false;
	g_string_append_len(c->name, at, (gssize)len);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct cgw_conn *c = p->data;

	if (c->head_complete)
		return 0;
	c->in_value = true;
	g_string_append_len(c->value, at, (gssize)len);
	return 0;
}

/* Tells the parser that no body follows, whatever length the head states. */
#define RESPONSE_WITHOUT_BODY 1

static int on_headers(http_parser *p)
{
	struct cgw_conn *c = p->data;

	add_header(c);
	c->in_value = false;
	c->head_complete = true;
	return c->call->head ? RESPONSE_WITHOUT_BODY : 0;
}

/* Counts the body up to @len, in steps, so that the budget is not asked for
 * each piece. */
static bool reserve_body(struct cgw_conn *c, int64_t len)
{
	struct cgw_call *call = c->call;
	int64_t bytes = (len + BODY_STEP - 1) / BODY_STEP * BODY_STEP;

	if (!call->budget || (call->memory.budget && call->memory.bytes >= len))
		return true;
	return cg_memory_reserve(call->budget, &call->memory, bytes,
				 cgw_loop_now(c->client->loop));
}

/* Allocates a body of known length once, so that it is not copied as it grows.
 * Pages that are not written take no memory. */
static void presize_body(struct cgw_conn *c, size_t first)
{
	uint64_t length = c->parser.content_length; /* what is missing */

	if (c->call->body->len || length == ULLONG_MAX ||
	    length > (uint64_t)c->client->response_max)
		return;
	g_byte_array_unref(c->call->body);
	c->call->body = g_byte_array_sized_new((guint)(length + first));
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct cgw_conn *c = p->data;
	struct cgw_upstream *u = c->client;

	if (c->call->body->len + (int64_t)len > u->response_max ||
	    u->buffered + (int64_t)len > u->total_max) {
		cg_warning("response from %s cut off after %u bytes: %s",
			   c->address, c->call->body->len,
			   u->buffered + (int64_t)len > u->total_max
				   ? "all responses together are too long"
				   : "it is too long");
		return -1;
	}
	if (!reserve_body(c, c->call->body->len + (int64_t)len)) {
		cg_info("response from %s cut off after %u bytes: no memory "
			"for it",
			c->address, c->call->body->len);
		c->no_room = true;
		return -1;
	}
	presize_body(c, len);
	u->buffered += (int64_t)len;
	c->buffered += (int64_t)len;
	g_byte_array_append(c->call->body, (const guint8 *)at, (guint)len);
	return 0;
}

static int on_complete(http_parser *p)
{
	struct cgw_conn *c = p->data;

	c->complete = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void reset_response(struct cgw_conn *c)
{
	forget_body(c);
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	c->complete = false;
	c->head_complete = false;
	c->in_value = false;
	c->status_state = STATUS_BEFORE;
	c->status_digits = 0;
	g_string_truncate(c->name, 0);
	g_string_truncate(c->value, 0);
	cgw_call_clear(c->call);
	c->call->headers = g_ptr_array_new_with_free_func(g_free);
	c->call->body = g_byte_array_new();
}

/* Returns whether the response that was just parsed belongs to the call. */
static bool is_own_response(const struct cgw_call *call, int status)
{
	const char *id;

	if (status >= 100 && status < 200)
		return false;
	if (!call->id_header)
		return true;
	id = cgw_call_header(call, call->id_header);
	if (id)
		return !strcmp(id, call->id);
	/* A server may reject a request before it has read the id. On a
	 * connection that has carried other requests, an error without an id
	 * may be a copy of the response to one of them. */
	return status >= 300 && !call->reused;
}

static bool is_unidentified(const struct cgw_call *call)
{
	return call->id_header && !cgw_call_header(call, call->id_header);
}

/* An error without an id on a reused connection is a copy or the server's only
 * response. Waits for the own response for a limited time. */
static void limit_wait(struct cgw_conn *c)
{
	struct cgw_call *call = c->call;
	cg_ms until =
		cgw_loop_now(c->client->loop) + call->unidentified_wait_ms;

	cgw_pool_record_unidentified(c);
	if (until < call->timer.expires_at)
		cgw_timer_arm(c->client->loop, &call->timer, until);
}

static void update_keep_alive(struct cgw_conn *c)
{
	const char *text = cgw_call_header(c->call, "Keep-Alive");
	const char *at = text ? strstr(text, "timeout=") : NULL;

	c->keep_alive_ms = 0;
	if (!at)
		return;
	c->keep_alive_ms =
		(cg_ms)strtoll(at + 8, NULL, 10) * 1000 - KEEP_ALIVE_MARGIN_MS;
	if (c->keep_alive_ms <= 0)
		c->no_reuse = true;
}

/* Follows the status line. Returns false if the status does not have three
 * digits: the parser takes "0200" for 200. */
static bool check_status_line(struct cgw_conn *c, const char *data, size_t len)
{
	for (size_t i = 0; i < len && c->status_state != STATUS_READ; i++) {
		if (c->status_state == STATUS_BEFORE) {
			if (data[i] == ' ')
				c->status_state = STATUS_WITHIN;
		} else if (g_ascii_isdigit(data[i])) {
			c->status_digits++;
		} else {
			c->status_state = STATUS_READ;
			return c->status_digits == STATUS_DIGITS;
		}
	}
	return c->status_digits <= STATUS_DIGITS;
}

static size_t request_length(const struct cgw_call *call)
{
	return call->request->len +
	       (call->request_body ? call->request_body->len : 0);
}

/* Parses received bytes; @data is NULL at the end of the connection. Returns
 * true if the call has ended. */
static bool parse(struct cgw_conn *c, const char *data, size_t len)
{
	struct cgw_call *call = c->call;

	while (len || !data) {
		size_t n;

		if (data && !check_status_line(c, data, len)) {
			cg_info("cut off %s: the status does not have three "
				"digits",
				c->address);
			finish_call(call, CGW_CALL_MALFORMED, false);
			return true;
		}
		n = http_parser_execute(&c->parser, &parser_settings, data,
					len);
		if (!c->complete) {
			if (HTTP_PARSER_ERRNO(&c->parser) == HPE_OK && data)
				return false;
			finish_call(call,
				    c->no_room ? CGW_CALL_NO_ROOM
				    : data     ? CGW_CALL_MALFORMED
					       : CGW_CALL_TRUNCATED,
				    false);
			return true;
		}
		/* The end of the connection would be the end of the body, but
		 * it was not an orderly one. */
		if (!data && c->send_failed) {
			finish_call(call, CGW_CALL_TRUNCATED, false);
			return true;
		}
		call->status = c->parser.status_code;
		/* Clients take a lower one for an interim response. */
		if (call->status < STATUS_MIN || call->status > STATUS_MAX) {
			cg_info("cut off %s: status %d", c->address,
				call->status);
			finish_call(call, CGW_CALL_MALFORMED, false);
			return true;
		}
		if (is_own_response(call, call->status)) {
			http_parser_pause(&c->parser, 0);
			/* Bytes after the response belong to no request, and
			 * more may follow. The server would read the unsent
			 * rest of this request as the next one. */
			if (n < len || !http_should_keep_alive(&c->parser) ||
			    c->out_pos < request_length(call))
				c->no_reuse = true;
			/* A copy of it would have no id either. */
			if (is_unidentified(call)) {
				c->no_reuse = true;
				cgw_pool_record_unidentified(c);
			}
			update_keep_alive(c);
			finish_call(call, CGW_CALL_RESPONDED, data != NULL);
			return true;
		}
		if (call->status >= 200) {
			c->no_reuse = true;
			cg_info("discarded a response from %s with status %d "
				"that belongs to another request",
				c->address, call->status);
			/* Nothing that follows can be this call's response. */
			if (!http_should_keep_alive(&c->parser)) {
				finish_call(call, CGW_CALL_LOST, false);
				return true;
			}
			if (is_unidentified(call) && call->status >= 300)
				limit_wait(c);
		}
		if (++call->interim > INTERIM_MAX) {
			cg_info("cut off %s: %u responses before the one to "
				"the request",
				c->address, call->interim);
			finish_call(call, CGW_CALL_MALFORMED, false);
			return true;
		}
		reset_response(c);
		if (!data) {
			finish_call(call, CGW_CALL_LOST, false);
			return true;
		}
		data += n;
		len -= n;
	}
	return false;
}

/* Returns true if the call has ended. */
static bool read_response(struct cgw_conn *c)
{
	struct cgw_call *call = c->call;
	ssize_t n;

	do {
		n = recv(c->io.fd, read_buffer, sizeof(read_buffer), 0);
		if (n > 0) {
			c->response_started = true;
			if (parse(c, read_buffer, (size_t)n))
				return true;
		} else if (n == 0) {
			if (!c->response_started)
				fail_call(call);
			else
				parse(c, NULL, 0);
			return true;
		} else if (errno != EAGAIN && errno != EINTR) {
			fail_call(call);
			return true;
		}
	} while (n == (ssize_t)sizeof(read_buffer));
	return false;
}

/* Sends from the head and the body, which are not copied into one block. */
static ssize_t send_rest(const struct cgw_conn *c)
{
	const struct cgw_call *call = c->call;
	size_t head = call->request->len;
	struct iovec parts[PARTS_MAX];
	struct msghdr m = { .msg_iov = parts };

	if (c->out_pos < head) {
		parts[0].iov_base = call->request->data + c->out_pos;
		parts[0].iov_len = head - c->out_pos;
		m.msg_iovlen = 1;
	}
	if (call->request_body)
		m.msg_iovlen += cgw_body_parts(
			call->request_body,
			c->out_pos > head ? c->out_pos - head : 0,
			parts + m.msg_iovlen, PARTS_MAX - m.msg_iovlen);
	return sendmsg(c->io.fd, &m, MSG_NOSIGNAL);
}

/* Returns -1 if the call has ended. */
static int write_request(struct cgw_conn *c)
{
	struct cgw_call *call = c->call;

	while (c->out_pos < request_length(call)) {
		ssize_t n = send_rest(c);

		if (n > 0) {
			call->sent = true;
			c->out_pos += (size_t)n;
		} else if (errno == EAGAIN) {
			return cgw_loop_change(c->client->loop, &c->io,
					       EPOLLIN | EPOLLOUT);
		} else if (errno != EINTR) {
			/* The server may have responded before it closed the
			 * connection; the response is read next. */
			if (call->sent) {
				c->send_failed = true;
				return 0;
			}
			fail_call(call);
			return -1;
		}
	}
	return cgw_loop_change(c->client->loop, &c->io, EPOLLIN);
}

/* Handles socket events of a connection: completes the connect, then sends the
 * request of its call and reads the response. */
static void on_ready(struct cgw_io *io, uint32_t events)
{
	struct cgw_conn *c = caa_container_of(io, struct cgw_conn, io);
	int error = 0;
	socklen_t len = sizeof(error);

	if (!c->call) {
		/* Data received on an idle connection belongs to no later
		 * request, so the connection is closed, as after a
		 * disconnect. */
		cgw_pool_remove(c);
		cgw_conn_free(c);
		return;
	}
	if (!c->connected) {
		getsockopt(io->fd, SOL_SOCKET, SO_ERROR, &error, &len);
		if (error || (events & (EPOLLERR | EPOLLHUP))) {
			fail_call(c->call);
			return;
		}
		c->connected = true;
		cgw_timer_arm(c->client->loop, &c->call->timer,
			      c->call->deadline);
		if (write_request(c))
			return;
		events &= ~(uint32_t)EPOLLOUT;
	}
	/* A send would return the error of a connection that was reset and clear
	 * it, and a read would then find an orderly end. So once a part of the
	 * request has been sent, the response is read first. */
	if (c->out_pos && events & (EPOLLIN | EPOLLHUP | EPOLLERR)) {
		if (read_response(c) || events & (EPOLLHUP | EPOLLERR))
			return;
		events &= ~(uint32_t)EPOLLIN;
	}
	if (events & EPOLLOUT && write_request(c))
		return;
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		read_response(c);
}

static void on_timer(struct cgw_timer *t)
{
	struct cgw_call *call = caa_container_of(t, struct cgw_call, timer);

	if (!call->conn || !call->conn->connected)
		finish_call(call, CGW_CALL_NOT_SENT, false);
	else if (cgw_loop_now(call->client->loop) < call->deadline)
		finish_call(call, CGW_CALL_LOST, false);
	else
		finish_call(call, CGW_CALL_TIMED_OUT, false);
}

static int open_socket(struct cgw_conn *c)
{
	int one = 1;
	unsigned int user = TCP_TIMEOUT_MS;
	struct sockaddr_in sa;

	if (cg_parse_address(c->address, &sa))
		return -1;
	c->io.fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->io.fd < 0)
		return -1;
	setsockopt(c->io.fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(c->io.fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user,
		   sizeof(user));
	if (connect(c->io.fd, (struct sockaddr *)&sa, sizeof(sa)) &&
	    errno != EINPROGRESS)
		goto fail;
	if (cgw_loop_add(c->client->loop, &c->io, EPOLLOUT))
		goto fail;
	return 0;
fail:
	close(c->io.fd);
	c->io.fd = -1;
	return -1;
}

void cgw_call_start(struct cgw_upstream *u, struct cgw_call *call)
{
	cg_ms now = cgw_loop_now(u->loop);
	struct cgw_conn *c;

	call->client = u;
	call->timer.fire = on_timer;
	call->sent = false;
	call->interim = 0;
	c = cgw_pool_take(u, call);
	call->reused = c != NULL;
	if (!c) {
		c = g_new0(struct cgw_conn, 1);
		c->client = u;
		c->io.fd = -1;
		c->io.ready = on_ready;
		c->name = g_string_new(NULL);
		c->value = g_string_new(NULL);
		g_strlcpy(c->address, call->address, sizeof(c->address));
		u->opened++;
		if (open_socket(c)) {
			cg_warning("cannot connect to %s: %s", call->address,
				   g_strerror(errno));
			cgw_conn_free(c);
			cgw_timer_arm(u->loop, &call->timer, now);
			return;
		}
	}
	c->call = call;
	call->conn = c;
	cgw_pool_record_id(c, call);
	c->out_pos = 0;
	c->response_started = false;
	c->no_room = false;
	c->send_failed = false;
	reset_response(c);
	if (!c->connected) {
		cgw_timer_arm(u->loop, &call->timer,
			      MIN(call->deadline, now + call->connect_ms));
		return;
	}
	cgw_timer_arm(u->loop, &call->timer, call->deadline);
	/* The request is sent when the socket is reported writable, so that a
	 * failure is never reported from within this function. */
	cgw_loop_change(u->loop, &c->io, EPOLLIN | EPOLLOUT);
}
