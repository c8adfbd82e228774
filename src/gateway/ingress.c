#define CG_PART "ingress"
#include "ingress_private.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "celeryglade/counters.h"
#include "internal/address.h"
#include "internal/logging.h"

/* Status line and fields that the daemon itself adds to a response. */
#define OWN_RESPONSE_HEAD_MEMORY 1024
/* Interval at which idle connections are checked. */
#define HOUSEKEEPING_MS 1000
/* Bytes that arrived during a request are the whole next one only if it is read
 * within this time after the response. */
#define PIPELINED_MS 3
/* Descriptors of the process that are not for callers: a share for connections
 * to servers, which grow with the requests in progress, and a fixed number for
 * the store, the other daemons and files. */
#define DESCRIPTORS_SERVER_SHARE 8
#define DESCRIPTORS_OTHER	 200
#define CALLERS_MIN		 64
/* Below the limit by this share, the longest idle connection is closed for each
 * new one. With twice the share of busy ones the daemon is not ready. */
#define CALLERS_MARGIN_SHARE 16
/* Memory for a connection besides the heads: libmicrohttpd's and our own records,
 * and a page of the heads until the first request. Measured: 1.0 kB for one that
 * has sent nothing, 64.1 kB after a request. */
#define CONNECTION_RECORDS ((int64_t)8192)
/* Larger responses are sent in blocks, so that a caller that does not read can be
 * told from one that does. */
#define WHOLE_RESPONSE_MAX (64 * 1024)
#define RESPONSE_BLOCK	   (16 * 1024)
/* A body that is not kept is read up to this factor of the longest one, so that
 * the caller gets its response. */
#define DISCARDED_FACTOR 2

static void resume(struct connection *c)
{
	if (!c->suspended)
		return;
	c->suspended = false;
	MHD_resume_connection(c->mhd);
	/* libmicrohttpd's own wake-up has been up to half a second late on the
	 * deployment platform. */
	cgw_timer_arm(c->ingress->gateway->loop, &c->ingress->run_soon,
		      cgw_loop_now(c->ingress->gateway->loop));
}

/* libmicrohttpd may have read the bytes before their event is handled. It does not
 * read while a request waits for its response or the response is being sent, so
 * bytes that are left then follow that request. */
static void record_bytes(struct connection *c)
{
	c->last_bytes_at = cgw_loop_now(c->ingress->gateway->loop);
	if (c->exchange && (c->suspended || c->exchange->done) &&
	    cgw_connection_has_unread(c))
		c->pipelined_at = c->last_bytes_at;
}

/* Handles bytes or a disconnect on a caller's connection. */
static void on_caller_event(struct cgw_io *io, uint32_t events)
{
	struct connection *c = caa_container_of(io, struct connection, io);

	if (!(events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))) {
		record_bytes(c);
		return;
	}
	c->caller_closed = true;
	if (c->exchange && c->suspended && !c->exchange->done) {
		cgw_exchange_abort(c->exchange);
		resume(c);
	}
}

static void free_incomplete(struct connection *c)
{
	if (c->incomplete)
		cgw_exchange_free(c->incomplete);
	c->incomplete = NULL;
}

unsigned int cgw_ingress_margin(const struct cgw_ingress *in,
				unsigned int parts)
{
	return in->connection_limit -
	       in->connection_limit * parts / CALLERS_MARGIN_SHARE;
}

/* Sets how long the connection may be without a byte; 0: no limit. Only for
 * responses: at a timeout libmicrohttpd does not read what has arrived. */
static void set_timeout(const struct connection *c, cg_ms ms)
{
	MHD_set_connection_option(c->mhd, MHD_CONNECTION_OPTION_TIMEOUT,
				  ms ? (unsigned int)(ms / 1000 + 1) : 0);
}

int64_t cgw_ingress_response_memory(const struct cgw_ingress *in)
{
	return in->gateway->settings.response_head_max_bytes +
	       OWN_RESPONSE_HEAD_MEMORY;
}

static int64_t connection_memory(const struct cgw_ingress *in)
{
	return in->gateway->settings.request_head_max_bytes +
	       cgw_ingress_response_memory(in);
}

static bool takes_many_lines(const struct connection *c)
{
	return c->server == &c->ingress->many_lines;
}

/* Counts @bytes more for a connection. Closes others, or this one, if they do not
 * fit. */
static void count_memory(struct connection *c, int64_t bytes)
{
	struct cgw_ingress *in = c->ingress;

	c->memory += bytes;
	if (cg_memory_connect(&in->gateway->memory, bytes,
			      cgw_loop_now(in->gateway->loop)))
		return;
	if (!cgw_ingress_close_longest_idle(in, c, bytes) &&
	    !cgw_ingress_close_stalled(in, c))
		cgw_connection_close(c);
}

/* libmicrohttpd touches all of a connection's memory after the first request. */
static void count_first_request(struct connection *c)
{
	if (c->memory == CONNECTION_RECORDS)
		count_memory(c, takes_many_lines(c)
					? c->ingress->many_lines_memory +
						  cgw_ingress_response_memory(
							  c->ingress)
					: connection_memory(c->ingress));
}

static void add_connection(struct connection *c)
{
	struct cgw_ingress *in = c->ingress;

	cds_list_add_tail(&c->node, &in->connections);
	in->connection_count++;
	count_memory(c, CONNECTION_RECORDS);
}

void cgw_ingress_make_room(struct cgw_ingress *in)
{
	if (in->connection_count + in->new_count + in->linger.count <=
	    cgw_ingress_margin(in, 1))
		return;
	if (!cgw_ingress_drop_oldest_new(in) &&
	    !cgw_ingress_close_longest_idle(in, NULL, 0))
		cgw_ingress_close_stalled(in, NULL);
}

static void report_unanswered(const char *why)
{
	cg_count(CG_COUNTER_REQUESTS_UNANSWERED);
	cg_info("a request ended without a response: %s", why);
}

/* Reports a request that the end of its connection leaves unanswered. */
static void report_unread(const struct connection *c)
{
	if (!c->caller_closed && !c->close_announced && !c->exchange &&
	    cgw_connection_has_unread(c))
		report_unanswered("it arrived on an idle connection");
}

static void on_connection(void *cls, struct MHD_Connection *mhd, void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct cgw_ingress *in = cls;
	struct cgw_loop *l = in->gateway->loop;
	struct connection *c = *context;
	const union MHD_ConnectionInfo *info;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		if (!c)
			return;
		free_incomplete(c);
		report_unread(c);
		cgw_loop_del(l, &c->io);
		if (!c->closing && !c->caller_closed && !in->closing)
			cgw_linger_add(&in->linger, c->io.fd);
		cds_list_del(&c->node);
		in->connection_count--;
		cg_memory_disconnect(&in->gateway->memory, c->memory);
		g_free(c);
		*context = NULL;
		return;
	}
	info = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	c = g_new0(struct connection, 1);
	c->ingress = in;
	c->server = in->adding_to;
	c->mhd = mhd;
	c->io.fd = info->connect_fd;
	c->io.ready = on_caller_event;
	c->idle_since = cgw_loop_now(l);
	c->last_bytes_at = c->idle_since;
	add_connection(c);
	if (cgw_loop_add(l, &c->io, EPOLLIN | EPOLLRDHUP | EPOLLET))
		cg_warning("cannot watch a caller's connection; its disconnect "
			   "will not be noticed");
	*context = c;
}

static struct connection *connection_of(struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *i = MHD_get_connection_info(
		mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return i ? i->socket_context : NULL;
}

int64_t cgw_ingress_max_body(const struct cgw_gateway *g)
{
	struct cgw_table *t = cgw_feed_table(g->feed);
	int64_t limit = t ? cgw_table_limits(t)->max_body_bytes : 0;

	return limit > 0 ? limit : 1 << 20;
}

/* ---- sending a response ---- */

/* A response that is sent in blocks. */
struct blocks {
	GByteArray *body;
	struct cgw_exchange *exchange; /* exists while blocks are read */
};

static void free_body(void *cls)
{
	g_byte_array_unref(cls);
}

static void free_blocks(void *cls)
{
	struct blocks *b = cls;

	g_byte_array_unref(b->body);
	g_free(b);
}

static ssize_t read_block(void *cls, uint64_t pos, char *out, size_t max)
{
	struct blocks *b = cls;
	struct cgw_exchange *x = b->exchange;
	size_t n = MIN(max, b->body->len - pos);

	memcpy(out, b->body->data + pos, n);
	cg_memory_progress(x->response_memory, (int64_t)n,
			   cgw_loop_now(x->gateway->loop));
	return (ssize_t)n;
}

/* The caller has not read its response while others need the memory. Closing
 * the connection shows it that the response is not complete. */
static void evict_response(struct cg_memory_item *item)
{
	struct cgw_call *call = caa_container_of(item, struct cgw_call, memory);
	struct cgw_attempt *a =
		caa_container_of(call, struct cgw_attempt, call);
	struct connection *c = a->exchange->owner;

	cg_memory_release(item);
	cg_count(CG_COUNTER_RESPONSES_STALLED);
	cgw_connection_close(c);
	cgw_timer_arm(c->ingress->gateway->loop, &c->ingress->run_soon,
		      cgw_loop_now(c->ingress->gateway->loop));
}

static struct MHD_Response *make_response(struct cgw_exchange *x)
{
	GByteArray *body = x->response_body;
	struct cg_memory_item *memory = x->response_memory;
	struct MHD_Response *m;
	struct blocks *b;

	x->response_body = NULL;
	if (memory && memory->budget) {
		memory->evict = evict_response;
		cg_memory_progress(memory, CG_MEMORY_PROGRESS_BYTES,
				   cgw_loop_now(x->gateway->loop));
	}
	if (!memory || body->len <= WHOLE_RESPONSE_MAX) {
		m = MHD_create_response_from_buffer_with_free_callback_cls(
			body->len, body->data ? (void *)body->data : (void *)"",
			free_body, body);
		if (!m)
			g_byte_array_unref(body);
		return m;
	}
	cg_memory_reserve(&x->gateway->memory, memory,
			  memory->bytes + RESPONSE_BLOCK,
			  cgw_loop_now(x->gateway->loop));
	b = g_new0(struct blocks, 1);
	b->body = body;
	b->exchange = x;
	m = MHD_create_response_from_callback(body->len, RESPONSE_BLOCK,
					      read_block, b, free_blocks);
	if (!m)
		free_blocks(b);
	return m;
}

/* @early: the body of the request has not been read. */
static enum MHD_Result send_response(struct cgw_exchange *x,
				     struct MHD_Connection *mhd, bool early)
{
	const struct cgw_gateway *g = x->gateway;
	struct MHD_Response *m = make_response(x);
	struct connection *c = x->owner;
	enum MHD_Result rc;

	if (!m)
		return MHD_NO;
	for (guint i = 0; i + 1 < x->response_headers->len; i += 2)
		MHD_add_response_header(
			m, g_ptr_array_index(x->response_headers, i),
			g_ptr_array_index(x->response_headers, i + 1));
	if (early || g->stopping || x->malformed || x->too_large ||
	    x->head_too_large || takes_many_lines(c)) {
		MHD_add_response_header(m, "Connection", "close");
		c->close_announced = true;
	}
	set_timeout(c, g->settings.response_stall_ms
			       ? g->settings.response_stall_ms
			       : cgw_ingress_idle_timeout(c->ingress));
	rc = MHD_queue_response(mhd, (unsigned int)x->status, m);
	MHD_destroy_response(m);
	return rc;
}

static void on_exchange_completed(struct cgw_exchange *x)
{
	resume(x->owner);
}

/* Returns when the request that has just been read arrived, or a later time.
 * libmicrohttpd reads the next request of a connection only after the response
 * to the previous one, so a pipelined request has waited, and its timeouts count
 * from its arrival. */
static cg_ms request_arrived_at(const struct connection *c)
{
	const struct cgw_ingress *in = c->ingress;
	cg_ms now = cgw_loop_now(in->gateway->loop);

	if (c->pipelined_at && now - c->idle_since <= PIPELINED_MS)
		return c->pipelined_at;
	/* Nothing was read since the previous request ended: this one was read
	 * together with it. */
	if (c->completed_in_run == c->server->runs)
		return c->request_arrived_at;
	return now;
}

static void start_exchange(struct connection *c, struct cgw_exchange *x)
{
	c->request_arrived_at = request_arrived_at(c);
	c->pipelined_at = 0;
	cgw_exchange_start(x, c->request_arrived_at);
}

/* Answers what the head decides, or begins to read the body. */
static enum MHD_Result begin_body(struct cgw_exchange *x,
				  struct MHD_Connection *mhd)
{
	const struct cgw_gateway *g = x->gateway;

	if (!cgw_exchange_check_head(x, cgw_loop_now(g->loop)))
		return send_response(x, mhd, true);
	return MHD_YES;
}

static enum MHD_Result handle_request(void *cls, struct MHD_Connection *mhd,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *data_size, void **state)
{
	struct cgw_exchange *x = *state;
	struct connection *c = connection_of(mhd);

	(void)cls;
	(void)url;
	(void)version;
	if (c && c->incomplete == x)
		c->incomplete = NULL;
	/* No response is sent if the caller has disconnected or the connection
	 * is being closed. A request that was not forwarded is retried at
	 * another daemon by its sender. */
	if (!x || !c || c->caller_closed || (c->closing && !c->exchange))
		return MHD_NO;
	if (!x->method) {
		cgw_read_head(
			x, mhd, method,
			takes_many_lines(c)
				? c->ingress->many_lines_memory
				: x->gateway->settings.request_head_max_bytes);
		x->completed = on_exchange_completed;
		x->too_late = x->gateway->refusing_new;
		c->exchange = x;
		return x->has_body ? begin_body(x, mhd) : MHD_YES;
	}
	if (*data_size) {
		int64_t max = cgw_ingress_max_body(c->ingress->gateway);

		/* Bytes that were read before their event was handled have
		 * none. */
		c->last_bytes_at = cgw_loop_now(x->gateway->loop);
		cgw_exchange_append_body(x, data, *data_size, max);
		*data_size = 0;
		return x->received > max * DISCARDED_FACTOR ? MHD_NO : MHD_YES;
	}
	if (x->done)
		return x->response_body ? send_response(x, mhd, false) : MHD_NO;
	MHD_suspend_connection(mhd);
	c->suspended = true;
	start_exchange(c, x);
	return MHD_YES;
}

/* First callback of a request; @uri is the target as the caller sent it. */
static void *on_request_target(void *cls, const char *uri,
			       struct MHD_Connection *mhd)
{
	struct cgw_ingress *in = cls;
	struct connection *c = connection_of(mhd);

	if (!c)
		return NULL;
	free_incomplete(c);
	c->last_bytes_at = cgw_loop_now(in->gateway->loop);
	count_first_request(c);
	c->incomplete = cgw_exchange_new(in->gateway, uri);
	c->incomplete->owner = c;
	return c->incomplete;
}

static void on_completed(void *cls, struct MHD_Connection *mhd, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct cgw_exchange *x = *state;
	struct connection *c;

	(void)cls;
	(void)mhd;
	if (!x)
		return;
	c = x->owner;
	if (code == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED) {
		cgw_connection_report_stall(x);
		c->closing = true;
	} else if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK &&
		   !c->caller_closed && !c->stalled) {
		report_unanswered(c->closing ? "its connection was closed"
				  : x->done  ? "the response was not sent"
					     : "it was not read whole");
	}
	if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
		set_timeout(c, 0);
	if (c->incomplete == x)
		c->incomplete = NULL;
	if (c->exchange == x) {
		c->exchange = NULL;
		cds_list_del(&c->node);
		cds_list_add_tail(&c->node, &c->ingress->connections);
		c->idle_since = cgw_loop_now(c->ingress->gateway->loop);
		c->completed_in_run = c->server->runs;
	}
	cgw_exchange_free(x);
	*state = NULL;
}

/* ---- set-up ---- */

/* Raises the limit of descriptors as far as the process may, and returns how many
 * connections of callers fit. */
static unsigned int find_connection_limit(rlim_t most)
{
	struct rlimit r;
	rlim_t n;

	if (getrlimit(RLIMIT_NOFILE, &r))
		return CALLERS_MIN;
	n = MIN(r.rlim_max, most);
	if (r.rlim_cur < n) {
		r.rlim_cur = n;
		if (setrlimit(RLIMIT_NOFILE, &r) &&
		    getrlimit(RLIMIT_NOFILE, &r))
			return CALLERS_MIN;
	}
	n = MIN(r.rlim_cur, most);
	n -= MIN(n, n / DESCRIPTORS_SERVER_SHARE + DESCRIPTORS_OTHER);
	return (unsigned int)MAX(n, (rlim_t)CALLERS_MIN);
}

int cgw_ingress_start_server(struct cgw_ingress *in, struct cgw_http_server *s,
			     size_t memory)
{
	s->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_USE_NO_LISTEN_SOCKET |
			MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG,
		0, NULL, NULL, handle_request, in, MHD_OPTION_EXTERNAL_LOGGER,
		cgw_http_server_log, NULL, MHD_OPTION_URI_LOG_CALLBACK,
		on_request_target, in, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, in, MHD_OPTION_NOTIFY_CONNECTION, on_connection,
		in, MHD_OPTION_CONNECTION_MEMORY_LIMIT, memory,
		MHD_OPTION_CONNECTION_LIMIT, in->connection_limit,
		MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
	return cgw_http_server_watch(s, in->gateway->loop);
}

/* Lets libmicrohttpd handle what is ready on callers' connections. */
static void run_servers(struct cgw_ingress *in)
{
	if (in->callers.daemon)
		cgw_http_server_run(&in->callers);
	if (in->many_lines.daemon)
		cgw_http_server_run(&in->many_lines);
}

static void on_housekeeping(struct cgw_timer *t)
{
	struct cgw_ingress *in =
		caa_container_of(t, struct cgw_ingress, housekeeping);

	cgw_ingress_check_timeouts(in);
	/* libmicrohttpd ends connections only when it runs. */
	run_servers(in);
	cgw_timer_arm(in->gateway->loop, t,
		      cgw_loop_now(in->gateway->loop) + HOUSEKEEPING_MS);
}

static void on_run_soon(struct cgw_timer *t)
{
	run_servers(caa_container_of(t, struct cgw_ingress, run_soon));
}

struct cgw_ingress *cgw_ingress_new(struct cgw_gateway *g)
{
	struct cgw_ingress *in = g_new0(struct cgw_ingress, 1);

	in->gateway = g;
	in->connection_limit =
		find_connection_limit((rlim_t)g->settings.descriptors_max);
	cgw_linger_init(&in->linger, g->loop,
			in->connection_limit / CALLERS_MARGIN_SHARE);
	cg_memory_init(&g->memory, g->settings.memory_max_mb);
	cg_info("takes up to %u connections of callers", in->connection_limit);
	CDS_INIT_LIST_HEAD(&in->connections);
	in->housekeeping.fire = on_housekeeping;
	in->run_soon.fire = on_run_soon;
	if (cgw_ingress_listen(in, g->settings.listen) ||
	    cgw_ingress_start_server(in, &in->callers,
				     (size_t)connection_memory(in))) {
		cg_error("cannot listen for callers on %s", g->settings.listen);
		goto fail;
	}
	if (cgw_ingress_start_status(in))
		goto fail;
	cgw_timer_arm(g->loop, &in->housekeeping,
		      cgw_loop_now(g->loop) + HOUSEKEEPING_MS);
	return in;
fail:
	cgw_ingress_free(in);
	return NULL;
}

void cgw_ingress_free(struct cgw_ingress *in)
{
	struct connection *c;

	if (!in)
		return;
	cgw_timer_cancel(in->gateway->loop, &in->housekeeping);
	cgw_ingress_free_new(in);
	cds_list_for_each_entry(c, &in->connections, node) {
		c->caller_closed = true;
		if (c->exchange)
			cgw_exchange_abort(c->exchange);
		resume(c);
	}
	run_servers(in);
	cgw_timer_cancel(in->gateway->loop, &in->run_soon);
	in->closing = true;
	cgw_http_server_stop(&in->callers, in->gateway->loop);
	cgw_http_server_stop(&in->many_lines, in->gateway->loop);
	cgw_linger_clear(&in->linger);
	cgw_http_server_stop(&in->ready, in->gateway->loop);
	cgw_http_server_stop(&in->metrics, in->gateway->loop);
	g_free(in);
}

bool cgw_ingress_is_delivered(const struct cgw_ingress *in)
{
	const struct connection *c;

	if (in->linger.count)
		return false;
	cds_list_for_each_entry(c, &in->connections, node)
		if (cgw_linger_has_unsent(c->io.fd) ||
		    (!c->closing && cgw_connection_has_unread(c)))
			return false;
	return true;
}

void cgw_ingress_expire_running(struct cgw_ingress *in)
{
	struct connection *c, *next;

	cds_list_for_each_entry_safe(c, next, &in->connections, node)
		if (c->exchange)
			cgw_exchange_expire(c->exchange);
}
