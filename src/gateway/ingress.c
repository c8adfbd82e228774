#define CG_PART "ingress"
#include "gateway/ingress.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "celeryglade/counters.h"
#include "gateway/decision_log.h"
#include "explain_serve.h"
#include "http_server.h"
#include "internal/address.h"
#include "internal/http_text.h"
#include "internal/logging.h"

/* libmicrohttpd keeps the head of a request, with a record for each field, and the
 * head of its response in one block for each connection. Each has its own part
 * of it, so that what has been forwarded can be answered. */
#define FIELD_MEMORY 64
/* Status line and fields that the daemon itself adds to a response. */
#define OWN_RESPONSE_HEAD_MEMORY 1024
/* Used until a configuration sets the idle timeout. */
#define IDLE_TIMEOUT_S 75
/* Interval at which idle connections are checked. */
#define HOUSEKEEPING_MS 1000
/* A request that is read within this time after the previous response was
 * pipelined: the round trip of a caller that waits for the response takes
 * longer. */
#define PIPELINED_MS 3
#define BEARER	     "Bearer "
/* Descriptors of the process that are not for callers: a share for connections
 * to servers, which grow with the requests in progress, and a fixed number for
 * the store, the other daemons and files. */
#define DESCRIPTORS_SERVER_SHARE 8
#define DESCRIPTORS_OTHER	 200
#define CALLERS_MIN		 64
/* Below the limit by this share, the longest idle connection is closed for each
 * new one. With twice the share of busy ones the daemon is not ready. */
#define CALLERS_MARGIN_SHARE 16

struct cgw_ingress {
	struct cgw_gateway *gateway;
	struct cgw_http_server callers;
	struct cgw_http_server ready;
	struct cgw_http_server metrics;
	struct cgw_timer housekeeping;
	struct cgw_timer run_soon; /* runs the callers' server again */
	struct cds_list_head connections; /* struct connection, idle longest
					   * first */
	unsigned int connection_count;
	unsigned int connection_limit;
};

/* A caller's connection. libmicrohttpd does not watch a connection while its
 * request is being handled, so this module watches for a disconnect, without
 * reading from the socket. */
struct connection {
	struct cds_list_head node;
	struct cgw_io io;
	struct cgw_ingress *ingress;
	struct MHD_Connection *mhd;
	struct cgw_exchange *exchange; /* the request being handled */
	/* Its head is not read yet; freed when libmicrohttpd reports its end,
	 * or else with the connection. */
	struct cgw_exchange *incomplete;
	cg_ms last_bytes_at; /* when bytes last arrived; 0: unknown */
	cg_ms last_completed_at; /* when a request last ended; 0: never */
	bool suspended; /* by MHD_suspend_connection() */
	bool caller_closed;
	bool closing; /* no further request is read */
};

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

/* Handles bytes or a disconnect on a caller's connection. */
static void on_caller_event(struct cgw_io *io, uint32_t events)
{
	struct connection *c = caa_container_of(io, struct connection, io);

	if (!(events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))) {
		c->last_bytes_at = cgw_loop_now(c->ingress->gateway->loop);
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

/* Returns the number of connections that is @parts parts of the margin below the
 * limit. */
static unsigned int callers_margin(const struct cgw_ingress *in,
				   unsigned int parts)
{
	return in->connection_limit -
	       in->connection_limit * parts / CALLERS_MARGIN_SHARE;
}

static bool is_idle(const struct connection *c)
{
	return !c->exchange && !c->incomplete && !c->closing;
}

static void close_connection(struct connection *c)
{
	c->closing = true;
	shutdown(c->io.fd, SHUT_RDWR);
}

/* The newest connection is not looked at: its request is on the way. */
static void close_longest_idle(struct cgw_ingress *in)
{
	struct connection *c;

	cds_list_for_each_entry(c, &in->connections, node) {
		if (c->node.next == &in->connections)
			return;
		if (!is_idle(c))
			continue;
		close_connection(c);
		return;
	}
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
		cgw_loop_del(l, &c->io);
		cds_list_del(&c->node);
		in->connection_count--;
		g_free(c);
		*context = NULL;
		return;
	}
	info = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	c = g_new0(struct connection, 1);
	c->ingress = in;
	c->mhd = mhd;
	c->io.fd = info->connect_fd;
	c->io.ready = on_caller_event;
	cds_list_add_tail(&c->node, &in->connections);
	in->connection_count++;
	if (in->connection_count > callers_margin(in, 1))
		close_longest_idle(in);
	if (cgw_loop_add(l, &c->io, EPOLLIN | EPOLLRDHUP | EPOLLET))
		cg_warning("cannot watch a caller's connection; its disconnect "
			   "will not be noticed");
	*context = c;
	if (cgw_feed_table(in->gateway->feed)) {
		cg_ms idle = cgw_table_limits(cgw_feed_table(in->gateway->feed))
				     ->idle_timeout_ms;

		if (idle > 0)
			MHD_set_connection_option(
				mhd, MHD_CONNECTION_OPTION_TIMEOUT,
				(unsigned int)(idle / 1000 + 1));
	}
}

static struct connection *connection_of(struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *i = MHD_get_connection_info(
		mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return i ? i->socket_context : NULL;
}

/* ---- reading a request ---- */

struct head_state {
	struct cgw_exchange *exchange;
	const char *connection; /* value of the Connection header, or NULL */
	const char *length;
	/* How often these headers occur. */
	unsigned int lengths; /* Content-Length */
	unsigned int codings; /* Transfer-Encoding */
	unsigned int hosts;
	unsigned int ids; /* request id */
	unsigned int keys; /* Authorization */
	size_t memory; /* that libmicrohttpd uses for the head */
	bool bad_coding; /* a transfer coding other than "chunked" */
};

static bool names_equal(const char *a, const char *b)
{
	return !g_ascii_strcasecmp(a, b);
}

/* Handles a header that is meant for the gateway or must not be forwarded.
 * Returns false for a header that is to be forwarded. */
static bool handle_header(struct head_state *head, const char *name,
			  const char *value)
{
	struct cgw_exchange *x = head->exchange;
	const struct cgw_header_names *n = &x->gateway->format->headers;

	if (names_equal(name, "Host")) {
		if (!head->hosts++)
			x->host = g_strdup(value);
	} else if (names_equal(name, n->request_id)) {
		if (!head->ids++)
			x->id = g_strdup(value);
	} else if (names_equal(name, n->deadline)) {
		x->caller_timeout_ms = (cg_ms)strtoll(value, NULL, 10);
	} else if (names_equal(name, "Authorization")) {
		if (!head->keys++ &&
		    !g_ascii_strncasecmp(value, BEARER, strlen(BEARER)))
			x->bearer = g_strdup(value + strlen(BEARER));
	} else if (names_equal(name, "Content-Length")) {
		head->lengths++;
	} else if (names_equal(name, "Transfer-Encoding")) {
		head->codings++;
		head->bad_coding |= !names_equal(value, "chunked");
	} else if (names_equal(name, "Connection")) {
		head->connection = value;
	} else if (!names_equal(name, n->account) &&
		   !names_equal(name, n->expected_server) &&
		   !names_equal(name, "Keep-Alive") &&
		   !names_equal(name, "Proxy-Connection") &&
		   !names_equal(name, "Proxy-Authorization") &&
		   !names_equal(name, "TE") && !names_equal(name, "Trailer") &&
		   !names_equal(name, "Upgrade") &&
		   !names_equal(name, "Expect")) {
		return false;
	}
	return true;
}

static enum MHD_Result on_header(void *cls, enum MHD_ValueKind kind,
				 const char *name, const char *value)
{
	struct head_state *head = cls;

	(void)kind;
	if (!value)
		value = "";
	head->memory += strlen(name) + strlen(value) + FIELD_MEMORY;
	if (!handle_header(head, name, value)) {
		g_ptr_array_add(head->exchange->headers, g_strdup(name));
		g_ptr_array_add(head->exchange->headers, g_strdup(value));
	}
	return MHD_YES;
}

/* Removes the headers that the caller's Connection header lists. */
static void remove_connection_headers(struct cgw_exchange *x,
				      const char *connection)
{
	char **names;

	if (!connection)
		return;
	names = g_strsplit(connection, ",", 16);
	for (char **n = names; *n; n++) {
		g_strstrip(*n);
		for (guint i = x->headers->len; i >= 2; i -= 2)
			if (names_equal(g_ptr_array_index(x->headers, i - 2),
					*n))
				g_ptr_array_remove_range(x->headers, i - 2, 2);
	}
	g_strfreev(names);
}

static void read_head(struct cgw_exchange *x, struct MHD_Connection *mhd,
		      const char *method)
{
	struct head_state head = { .exchange = x,
				   .memory = strlen(x->target) + FIELD_MEMORY };

	x->method = g_strdup(method);
	MHD_get_connection_values(mhd, MHD_HEADER_KIND, on_header, &head);
	remove_connection_headers(x, head.connection);
	x->head_too_large = (int64_t)head.memory >
			    x->gateway->settings.request_head_max_bytes;
	/* With two lengths, or a length and a transfer coding, two parsers can
	 * disagree on where the request ends (request smuggling). */
	x->malformed = head.bad_coding || head.lengths + head.codings > 1 ||
		       head.hosts != 1 || head.ids > 1 || head.keys > 1 ||
		       x->target[0] != '/';
}

static int64_t max_body(struct cgw_gateway *g)
{
	struct cgw_table *t = cgw_feed_table(g->feed);
	int64_t limit = t ? cgw_table_limits(t)->max_body_bytes : 0;

	return limit > 0 ? limit : 1 << 20;
}

static void append_body(struct cgw_exchange *x, const char *data, size_t len)
{
	if (x->too_large ||
	    (int64_t)(x->body->len + len) > max_body(x->gateway)) {
		x->too_large = true;
		return;
	}
	g_byte_array_append(x->body, (const guint8 *)data, (guint)len);
}

/* ---- sending a response ---- */

static void free_body(void *cls)
{
	g_byte_array_unref(cls);
}

static enum MHD_Result send_response(struct cgw_exchange *x,
				     struct MHD_Connection *mhd)
{
	GByteArray *body = x->response_body;
	struct MHD_Response *m;
	enum MHD_Result rc;

	x->response_body = NULL;
	m = MHD_create_response_from_buffer_with_free_callback_cls(
		body->len, body->data ? (void *)body->data : (void *)"",
		free_body, body);
	if (!m) {
		g_byte_array_unref(body);
		return MHD_NO;
	}
	for (guint i = 0; i + 1 < x->response_headers->len; i += 2)
		MHD_add_response_header(
			m, g_ptr_array_index(x->response_headers, i),
			g_ptr_array_index(x->response_headers, i + 1));
	if (x->gateway->stopping || x->malformed || x->too_large ||
	    x->head_too_large)
		MHD_add_response_header(m, "Connection", "close");
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
 * to the previous one. A pipelined request has waited at least since the last
 * bytes arrived, so its timeouts count from then. */
static cg_ms request_arrived_at(const struct connection *c)
{
	cg_ms now = cgw_loop_now(c->ingress->gateway->loop);

	if (c->last_bytes_at && c->last_completed_at &&
	    now - c->last_completed_at <= PIPELINED_MS)
		return c->last_bytes_at;
	return now;
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
		read_head(x, mhd, method);
		x->completed = on_exchange_completed;
		c->exchange = x;
		return MHD_YES;
	}
	if (*data_size) {
		append_body(x, data, *data_size);
		*data_size = 0;
		return MHD_YES;
	}
	if (x->done)
		return x->response_body ? send_response(x, mhd) : MHD_NO;
	MHD_suspend_connection(mhd);
	c->suspended = true;
	cgw_exchange_start(x, request_arrived_at(c));
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
	(void)code;
	if (!x)
		return;
	c = x->owner;
	if (c->incomplete == x)
		c->incomplete = NULL;
	if (c->exchange == x) {
		c->exchange = NULL;
		cds_list_del(&c->node);
		cds_list_add_tail(&c->node, &c->ingress->connections);
		c->last_completed_at = cgw_loop_now(c->ingress->gateway->loop);
	}
	cgw_exchange_free(x);
	*state = NULL;
}

/* ---- readiness and metrics ---- */

/* Counts the connections that cannot be closed for new ones. */
static unsigned int count_busy(const struct cgw_ingress *in)
{
	const struct connection *c;
	unsigned int n = 0;

	if (in->connection_count <= callers_margin(in, 2))
		return in->connection_count;
	cds_list_for_each_entry(c, &in->connections, node)
		n += !is_idle(c);
	return n;
}

static enum MHD_Result handle_ready(void *cls, struct MHD_Connection *mhd,
				    const char *url, const char *method,
				    const char *version, const char *data,
				    size_t *data_size, void **state)
{
	struct cgw_ingress *in = cls;
	const char *why = cgw_gateway_unready_reason(in->gateway);

	if (!why && count_busy(in) > callers_margin(in, 2))
		why = "too many connections";

	(void)url;
	(void)method;
	(void)version;
	(void)data;
	(void)data_size;
	(void)state;
	return cg_http_respond_text(mhd, why ? 503 : 200, why ? why : "ready");
}

static void add_metric(GString *s, const char *name, uint64_t value)
{
	g_string_append_printf(s, "celeryglade_%s %" G_GUINT64_FORMAT "\n",
			       name, (guint64)value);
}

static enum MHD_Result handle_metrics(void *cls, struct MHD_Connection *mhd,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *data_size, void **state)
{
	struct cgw_ingress *in = cls;
	struct cgw_gateway *g = in->gateway;
	GString *s;
	struct cgw_table *t = cgw_feed_table(g->feed);
	enum MHD_Result rc;

	(void)method;
	(void)version;
	(void)data;
	(void)data_size;
	(void)state;
	if (!strcmp(url, "/explain"))
		return cgw_explain_respond(g, mhd);
	s = g_string_new(NULL);
	for (int i = 0; i < CG_COUNTER_COUNT; i++)
		if (cg_counter_read((enum cg_counter)i))
			add_metric(s, cg_counter_name((enum cg_counter)i),
				   cg_counter_read((enum cg_counter)i));
	add_metric(s, "config_version", t ? cgw_table_version(t) : 0);
	add_metric(s, "store_calls", cgw_feed_call_count(g->feed));
	add_metric(s, "connections_opened",
		   cgw_upstream_connections_opened(g->client));
	add_metric(s, "ejections",
		   cgw_broker_ejections(cgw_fleet_broker(g->fleet)));
	add_metric(s, "log_lines_dropped", cgw_log_dropped());
	add_metric(s, "requests_running", g->running_requests);
	add_metric(s, "caller_connections", in->connection_count);
	add_metric(s, "caller_connection_limit", in->connection_limit);
	rc = cg_http_respond_text(mhd, 200, s->str);
	g_string_free(s, TRUE);
	return rc;
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

static size_t connection_memory(const struct cgw_settings *s)
{
	return (size_t)(s->request_head_max_bytes + s->response_head_max_bytes +
			OWN_RESPONSE_HEAD_MEMORY);
}

static int start_callers(struct cgw_ingress *in, const char *address)
{
	struct sockaddr_in sa;

	if (cg_parse_address(address, &sa))
		return -1;
	in->callers.daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0,
		NULL, NULL, handle_request, in, MHD_OPTION_EXTERNAL_LOGGER,
		cgw_http_server_log, NULL, MHD_OPTION_SOCK_ADDR, &sa,
		MHD_OPTION_URI_LOG_CALLBACK, on_request_target, in,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, in,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, in,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		connection_memory(&in->gateway->settings),
		MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned int)1024,
		MHD_OPTION_CONNECTION_LIMIT, in->connection_limit,
		MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
	return cgw_http_server_watch(&in->callers, in->gateway->loop);
}

static void on_housekeeping(struct cgw_timer *t)
{
	struct cgw_ingress *in =
		caa_container_of(t, struct cgw_ingress, housekeeping);

	/* libmicrohttpd closes idle connections only when it runs. */
	cgw_http_server_run(&in->callers);
	cgw_timer_arm(in->gateway->loop, t,
		      cgw_loop_now(in->gateway->loop) + HOUSEKEEPING_MS);
}

static void on_run_soon(struct cgw_timer *t)
{
	cgw_http_server_run(
		&caa_container_of(t, struct cgw_ingress, run_soon)->callers);
}

struct cgw_ingress *cgw_ingress_new(struct cgw_gateway *g)
{
	struct cgw_ingress *in = g_new0(struct cgw_ingress, 1);
	struct sockaddr_in sa;

	in->gateway = g;
	in->connection_limit =
		find_connection_limit((rlim_t)g->settings.descriptors_max);
	cg_info("takes up to %u connections of callers", in->connection_limit);
	CDS_INIT_LIST_HEAD(&in->connections);
	in->housekeeping.fire = on_housekeeping;
	in->run_soon.fire = on_run_soon;
	if (start_callers(in, g->settings.listen)) {
		cg_error("cannot listen for callers on %s", g->settings.listen);
		goto fail;
	}
	if (cg_parse_address(g->settings.ready, &sa) ||
	    cgw_http_server_start(&in->ready, g->loop, &sa, handle_ready, in)) {
		cg_error("cannot listen for readiness checks on %s",
			 g->settings.ready);
		goto fail;
	}
	if (g->settings.metrics_port) {
		sa.sin_addr.s_addr = INADDR_ANY;
		sa.sin_port = htons((uint16_t)g->settings.metrics_port);
		if (cgw_http_server_start(&in->metrics, g->loop, &sa,
					  handle_metrics, in))
			cg_warning("cannot listen for metrics on port %d; "
				   "metrics are not available",
				   (int)g->settings.metrics_port);
	}
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
	cds_list_for_each_entry(c, &in->connections, node) {
		c->caller_closed = true;
		if (c->exchange)
			cgw_exchange_abort(c->exchange);
		resume(c);
	}
	if (in->callers.daemon)
		cgw_http_server_run(&in->callers);
	cgw_timer_cancel(in->gateway->loop, &in->run_soon);
	cgw_http_server_stop(&in->callers, in->gateway->loop);
	cgw_http_server_stop(&in->ready, in->gateway->loop);
	cgw_http_server_stop(&in->metrics, in->gateway->loop);
	g_free(in);
}

void cgw_ingress_quiesce(struct cgw_ingress *in)
{
	int fd = MHD_quiesce_daemon(in->callers.daemon);

	if (fd >= 0)
		close(fd);
}

void cgw_ingress_close_idle(struct cgw_ingress *in)
{
	struct connection *c;

	cds_list_for_each_entry(c, &in->connections, node) {
		if (!c->exchange && !c->closing)
			close_connection(c);
	}
}

void cgw_ingress_expire_running(struct cgw_ingress *in)
{
	struct connection *c, *next;

	cds_list_for_each_entry_safe(c, next, &in->connections, node)
		if (c->exchange)
			cgw_exchange_expire(c->exchange);
}
