#define CG_PART "front"
#include "internal/front.h"

#include <microhttpd.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "celeryglade/counters.h"
#include "internal/logging.h"

#define IDLE_TIMEOUT_S	   75
#define FIELD_MEMORY_BYTES 64
/* Status line and fields that the daemon itself adds to a response. */
#define OWN_RESPONSE_HEAD_BYTES 1024
/* Part of a connection's memory that holds no head. */
#define SPARE_MEMORY_BYTES	   2048
#define MAX_HEADERS		   100
#define MAX_IDEMPOTENCY_KEY_LENGTH 255
#define BEARER_PREFIX		   "Bearer "
/* Memory for a connection besides the heads: libmicrohttpd's and our own
 * records. */
#define CONNECTION_RECORDS_BYTES ((int64_t)8192)
/* Larger responses are sent in blocks, so that a caller that does not read can be
 * told from one that does. */
#define WHOLE_RESPONSE_MAX (64 * 1024)
#define RESPONSE_BLOCK	   (16 * 1024)
/* A body that is not kept is read up to this factor of the longest one, so that
 * the caller gets its response. */
#define DISCARDED_FACTOR 2

/* A connection of a caller. */
struct caller {
	int64_t memory; /* counted in the budget */
};

struct cg_front {
	struct cg_proxy *proxy;
	struct MHD_Daemon *daemon;
};

/* Values and counts collected while the headers are scanned. */
struct header_scan {
	struct cg_request *request;
	const char *connection; /* Value of the Connection header. */
	const char *request_id;
	const char *content_length;
	unsigned int count;
	size_t memory; /* of the head */
	unsigned int content_lengths;
	unsigned int transfer_codings;
	unsigned int host_headers;
	unsigned int authorizations;
	unsigned int idempotency_keys;
	bool unsupported_coding;
};

/* Returns true for headers that apply to one connection only, that neon sets
 * itself, or that only this daemon may set. The API key is never forwarded. */
static bool is_not_forwarded(const char *name)
{
	static const char *const not_forwarded[] = {
		"connection",
		"keep-alive",
		"proxy-connection",
		"proxy-authorization",
		"te",
		"trailer",
		"transfer-encoding",
		"upgrade",
		"expect",
		"host",
		"content-length",
		"authorization",
		"x-request-id",
		"celeryglade-attempt",
		"celeryglade-account",
		"celeryglade-deadline-ms",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(not_forwarded); i++)
		if (!g_ascii_strcasecmp(name, not_forwarded[i]))
			return true;
	return false;
}

/* Records the headers that the proxy evaluates itself. Those for the length of
 * the body, the host, the API key and the idempotency key are also counted;
 * check_framing rejects a request that repeats one. Host is passed on as
 * X-Forwarded-Host. */
static void record_special_header(struct header_scan *scan, const char *name,
				  const char *value)
{
	struct cg_request *r = scan->request;

	if (!g_ascii_strcasecmp(name, "Content-Length")) {
		scan->content_lengths++;
		scan->content_length = value;
	} else if (!g_ascii_strcasecmp(name, "Transfer-Encoding")) {
		scan->transfer_codings++;
		scan->unsupported_coding |=
			g_ascii_strcasecmp(value, "chunked") != 0;
	} else if (!g_ascii_strcasecmp(name, "Host")) {
		scan->host_headers++;
		cg_headers_add(r->headers, "X-Forwarded-Host", value);
	} else if (!g_ascii_strcasecmp(name, "Connection")) {
		scan->connection = value;
	} else if (!g_ascii_strcasecmp(name, "X-Request-Id")) {
		scan->request_id = value;
	} else if (!g_ascii_strcasecmp(name, "Authorization")) {
		scan->authorizations++;
		if (!g_ascii_strncasecmp(value, BEARER_PREFIX,
					 strlen(BEARER_PREFIX)) &&
		    !r->api_key)
			r->api_key = g_strdup(value + strlen(BEARER_PREFIX));
	} else if (!g_ascii_strcasecmp(name, "Idempotency-Key")) {
		scan->idempotency_keys++;
		if (!r->idempotency_key)
			r->idempotency_key = g_strdup(value);
	}
}

static enum MHD_Result scan_header(void *cls, enum MHD_ValueKind kind,
				   const char *name, const char *value)
{
	struct header_scan *scan = cls;

	(void)kind;
	if (!value)
		value = "";
	scan->count++;
	scan->memory += strlen(name) + strlen(value) + FIELD_MEMORY_BYTES;
	record_special_header(scan, name, value);
	if (!is_not_forwarded(name))
		cg_headers_add(scan->request->headers, name, value);
	return MHD_YES;
}

/* Removes the headers that are named in the caller's Connection header. */
static void remove_connection_headers(struct cg_request *r,
				      const char *connection)
{
	char **names;

	if (!connection)
		return;
	names = g_strsplit(connection, ",", MAX_HEADERS);
	for (char **n = names; *n; n++) {
		g_strstrip(*n);
		for (guint i = r->headers->len; i > 0; i--) {
			struct cg_header *h = &g_array_index(
				r->headers, struct cg_header, i - 1);

			if (!g_ascii_strcasecmp(h->name, *n))
				g_array_remove_index(r->headers, i - 1);
		}
	}
	g_strfreev(names);
}

static bool is_valid_request_id(const char *id)
{
	size_t n = strlen(id);

	if (n == 0 || n > CG_REQUEST_ID_MAX)
		return false;
	for (size_t i = 0; i < n; i++)
		if (!g_ascii_isalnum(id[i]) && !strchr("-_.", id[i]))
			return false;
	return true;
}

static bool is_number(const char *text)
{
	return *text && strspn(text, "0123456789") == strlen(text) &&
	       strlen(text) < 18;
}

/* With two lengths, or a length in addition to a transfer coding, two parsers
 * could disagree on where a request ends (request smuggling). */
static enum cg_reason check_framing(const struct header_scan *scan)
{
	const struct cg_settings *s = scan->request->proxy->settings;

	if (scan->memory > s->request_head_max_bytes)
		return CG_REASON_HEAD_TOO_LARGE;
	if (scan->content_lengths + scan->transfer_codings > 1 ||
	    scan->unsupported_coding || scan->host_headers > 1 ||
	    scan->authorizations > 1 || scan->idempotency_keys > 1 ||
	    scan->count > MAX_HEADERS)
		return CG_REASON_BAD_REQUEST;
	if (scan->content_length && !is_number(scan->content_length))
		return CG_REASON_BAD_REQUEST;
	if (scan->content_length && g_ascii_strtoull(scan->content_length, NULL,
						     10) > s->max_body_bytes)
		return CG_REASON_BODY_TOO_LARGE;
	return CG_OK;
}

static enum cg_reason check_request(const struct cg_request *r)
{
	if (r->target[0] != '/')
		return CG_REASON_BAD_REQUEST;
	if (!r->method)
		return CG_REASON_METHOD_NOT_ALLOWED;
	if (r->idempotency_key &&
	    (!*r->idempotency_key ||
	     strlen(r->idempotency_key) > MAX_IDEMPOTENCY_KEY_LENGTH))
		return CG_REASON_BAD_REQUEST;
	return CG_OK;
}

static bool announces_body(const struct header_scan *scan)
{
	return scan->transfer_codings ||
	       (scan->content_lengths && strspn(scan->content_length, "0") !=
						 strlen(scan->content_length));
}

/* Decides what the head determines. Checks a request that has a body before the
 * body is read, with one exception: its account's rate is charged later. */
static enum cg_reason check_head(struct cg_request *r,
				 const struct header_scan *scan)
{
	enum cg_reason reason = check_framing(scan);
	int64_t length = 0;

	if (reason == CG_OK)
		reason = check_request(r);
	if (reason == CG_OK && r->has_body)
		reason = cg_filters_check_head(r);
	if (reason != CG_OK)
		return reason;
	if (scan->content_length)
		length = (int64_t)g_ascii_strtoull(scan->content_length, NULL,
						   10);
	return cg_request_memory_reserve(r, length) ? CG_OK
						    : CG_REASON_MEMORY_FULL;
}

static void read_headers(struct cg_request *r, struct MHD_Connection *conn,
			 const char *method)
{
	struct header_scan scan = {
		.request = r,
		.memory = strlen(r->target) + FIELD_MEMORY_BYTES,
	};

	r->connection = conn;
	r->method_text = g_strdup(method);
	r->method = cg_method_parse(method);
	r->arrived = cg_clock_now(r->proxy->clk);
	MHD_get_connection_values(conn, MHD_HEADER_KIND, scan_header, &scan);
	remove_connection_headers(r, scan.connection);
	if (scan.request_id && is_valid_request_id(scan.request_id))
		g_strlcpy(r->id, scan.request_id, sizeof(r->id));
	r->head_bytes = scan.memory;
	r->has_body = announces_body(&scan);
	r->input_fault = check_head(r, &scan);
	r->answered_early = r->has_body && r->input_fault != CG_OK;
}

static void append_body(struct cg_request *r, const char *data, size_t len)
{
	r->body_received += len;
	if (r->input_fault != CG_OK)
		return;
	if (r->body_received > r->proxy->settings->max_body_bytes) {
		r->input_fault = CG_REASON_BODY_TOO_LARGE;
		cg_request_memory_drop(r);
		return;
	}
	cg_request_memory_append(r, data, len);
}

/* A response that is sent in blocks. */
struct blocks {
	GBytes *body;
	struct cg_response_memory *memory; /* exists while blocks are read */
};

static void free_blocks(void *cls)
{
	struct blocks *b = cls;

	g_bytes_unref(b->body);
	g_free(b);
}

static ssize_t read_block(void *cls, uint64_t pos, char *out, size_t max)
{
	struct blocks *b = cls;
	gsize len;
	const char *data = g_bytes_get_data(b->body, &len);
	size_t n = MIN(max, len - pos);

	memcpy(out, data + pos, n);
	cg_response_memory_progress(b->memory, n);
	return (ssize_t)n;
}

static int descriptor_of(struct MHD_Connection *conn)
{
	return MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD)
		->connect_fd;
}

static struct MHD_Response *make_body(struct cg_request *r,
				      struct MHD_Connection *conn)
{
	GBytes *body =
		r->response.body ? r->response.body : g_bytes_new_static("", 0);
	struct cg_response_memory *memory = r->response.memory;
	struct MHD_Response *m;
	struct blocks *b;
	gsize len;
	const void *data = g_bytes_get_data(body, &len);

	r->response.body = NULL;
	if (memory && len > WHOLE_RESPONSE_MAX)
		cg_response_memory_reserve(memory,
					   (int64_t)len + RESPONSE_BLOCK);
	/* From here on it may be evicted. */
	if (memory)
		cg_response_memory_sending(memory, descriptor_of(conn));
	if (!memory || len <= WHOLE_RESPONSE_MAX) {
		m = MHD_create_response_from_buffer_with_free_callback_cls(
			len, (void *)(data ? data : ""),
			(MHD_ContentReaderFreeCallback)g_bytes_unref, body);
		if (!m)
			g_bytes_unref(body);
		return m;
	}
	b = g_new0(struct blocks, 1);
	b->body = body;
	b->memory = memory;
	m = MHD_create_response_from_callback(len, RESPONSE_BLOCK, read_block,
					      b, free_blocks);
	if (!m)
		free_blocks(b);
	return m;
}

static struct MHD_Response *make_response(struct cg_request *r,
					  struct MHD_Connection *conn)
{
	struct MHD_Response *m = make_body(r, conn);

	if (!m)
		return NULL;
	for (guint i = 0; r->response.headers && i < r->response.headers->len;
	     i++) {
		struct cg_header *h = &g_array_index(r->response.headers,
						     struct cg_header, i);

		MHD_add_response_header(m, h->name, h->value);
	}
	MHD_add_response_header(m, "X-Request-Id", r->id);
	if (atomic_load(&r->proxy->stopping) || r->answered_early ||
	    r->crowded || r->reason == CG_REASON_BAD_REQUEST ||
	    r->reason == CG_REASON_HEAD_TOO_LARGE)
		MHD_add_response_header(m, "Connection", "close");
	return m;
}

/* Sets how long the connection may be without a byte. */
static void set_timeout(struct MHD_Connection *conn, cg_ms ms)
{
	MHD_set_connection_option(conn, MHD_CONNECTION_OPTION_TIMEOUT,
				  (unsigned int)((ms + 999) / 1000));
}

static enum MHD_Result send_response(struct cg_request *r,
				     struct MHD_Connection *conn)
{
	struct MHD_Response *m = make_response(r, conn);
	enum MHD_Result rc;

	if (!m)
		return MHD_NO;
	set_timeout(conn, r->proxy->settings->response_stall_ms);
	rc = MHD_queue_response(conn, (unsigned int)r->response.status, m);
	MHD_destroy_response(m);
	return rc;
}

/* Called by libmicrohttpd with the headers, then with each piece of the body,
 * then without data when the request is complete, and again after the
 * connection was resumed. */
static enum MHD_Result handle_request(void *cls, struct MHD_Connection *conn,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *data_size, void **state)
{
	struct cg_request *r = *state;

	(void)cls;
	(void)url;
	(void)version;
	if (!r)
		return MHD_NO;
	if (!r->connection) {
		read_headers(r, conn, method);
		/* Refuses an invalid request before its body is read. The
		 * connection closes if a body follows. */
		if (r->input_fault == CG_OK) {
			if (r->has_body)
				set_timeout(conn,
					    r->proxy->settings->body_stall_ms);
			return MHD_YES;
		}
		cg_filters_start(r);
		return send_response(r, conn);
	}
	if (*data_size) {
		append_body(r, data, *data_size);
		*data_size = 0;
		return r->body_received > (uint64_t)DISCARDED_FACTOR *
						  r->proxy->settings
							  ->max_body_bytes
			       ? MHD_NO
			       : MHD_YES;
	}
	if (r->suspended)
		return send_response(r, conn);
	if (!cg_request_memory_keep(r) && r->input_fault == CG_OK)
		r->input_fault = CG_REASON_MEMORY_FULL;
	r->suspended = true;
	MHD_suspend_connection(conn);
	cg_filters_start(r);
	return MHD_YES;
}

/* libmicrohttpd keeps the head of a request, with a record for each field, and the
 * head of its response in one block for each connection, and reads a head of up to
 * half of the block. Each has its own half of it, so that what has been forwarded
 * can be answered. */
static size_t connection_memory(const struct cg_settings *s)
{
	size_t head = MAX(s->request_head_max_bytes,
			  s->response_head_max_bytes + OWN_RESPONSE_HEAD_BYTES);

	return 2 * (head + SPARE_MEMORY_BYTES);
}

/* libmicrohttpd touches all of a connection's memory after the first request. A
 * connection that does not fit is closed after its next response. */
static bool count_first_request(struct cg_front *f, struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *i = MHD_get_connection_info(
		conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	struct caller *c = i ? i->socket_context : NULL;
	int64_t bytes = (int64_t)connection_memory(f->proxy->settings);

	if (!c || c->memory > CONNECTION_RECORDS_BYTES)
		return true;
	c->memory += bytes;
	return cg_request_memory_connect(f->proxy, bytes);
}

/* First callback of a request. It is the only one that receives the target as
 * sent, including the query. */
static void *on_request_begin(void *cls, const char *uri,
			      struct MHD_Connection *conn)
{
	struct cg_front *f = cls;
	struct cg_request *r = cg_request_new(f->proxy, uri);

	r->crowded = !count_first_request(f, conn);
	return r;
}

static struct cg_response_memory *take_memory(struct cg_request *r)
{
	struct cg_response_memory *m;

	pthread_mutex_lock(&r->lock);
	m = r->response.memory;
	r->response.memory = NULL;
	pthread_mutex_unlock(&r->lock);
	return m;
}

static void on_request_completed(void *cls, struct MHD_Connection *conn,
				 void **state,
				 enum MHD_RequestTerminationCode code)
{
	struct cg_request *r = *state;

	(void)cls;
	if (!r)
		return;
	if (code == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED) {
		cg_count(r->suspended ? CG_COUNTER_RESPONSES_STALLED
				      : CG_COUNTER_BODIES_STALLED);
		cg_info("closed a connection: %s",
			r->suspended ? "the caller does not read its response"
				     : "the request has stopped arriving");
	} else if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK) {
		set_timeout(conn, (cg_ms)IDLE_TIMEOUT_S * 1000);
	}
	/* The descriptor may be closed after this. An unsettled request has no
	 * response yet, and one that is settled later is never sent. */
	cg_response_memory_free(take_memory(r));
	cg_request_unref(r);
	*state = NULL;
}

/* Counts connections; one that does not fit is closed. */
static void on_connection(void *cls, struct MHD_Connection *conn,
			  void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct cg_front *f = cls;
	struct caller *c = *context;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		cg_request_memory_disconnect(f->proxy, c->memory);
		g_free(c);
		*context = NULL;
		return;
	}
	c = g_new0(struct caller, 1);
	c->memory = CONNECTION_RECORDS_BYTES;
	*context = c;
	if (!cg_request_memory_connect(f->proxy, c->memory))
		shutdown(descriptor_of(conn), SHUT_RDWR);
}

static void log_mhd(void *cls, const char *fmt, va_list ap)
	__attribute__((format(printf, 2, 0)));
static void log_mhd(void *cls, const char *fmt, va_list ap)
{
	char *text = g_strdup_vprintf(fmt, ap);

	(void)cls;
	cg_debug("%s", g_strstrip(text));
	g_free(text);
}

struct cg_front *cg_front_new(struct cg_proxy *p)
{
	const struct cg_settings *s = p->settings;
	struct cg_front *f = g_new0(struct cg_front, 1);

	f->proxy = p;
	cg_request_memory_init(p);
	f->daemon = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
			MHD_USE_ITC | MHD_USE_ERROR_LOG,
		0, NULL, NULL, handle_request, f, MHD_OPTION_EXTERNAL_LOGGER,
		log_mhd, NULL, MHD_OPTION_SOCK_ADDR, &s->listen,
		MHD_OPTION_URI_LOG_CALLBACK, on_request_begin, f,
		MHD_OPTION_NOTIFY_COMPLETED, on_request_completed, f,
		MHD_OPTION_THREAD_POOL_SIZE, (unsigned int)s->http_threads,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, f,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)s->max_connections,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, connection_memory(s),
		MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
	if (f->daemon)
		return f;
	g_free(f);
	return NULL;
}

void cg_front_resume(struct cg_request *r)
{
	MHD_resume_connection(r->connection);
}

void cg_front_quiesce(struct cg_front *f)
{
	int fd = MHD_quiesce_daemon(f->daemon);

	if (fd >= 0)
		close(fd);
}

unsigned int cg_front_connections(struct cg_front *f)
{
	const union MHD_DaemonInfo *i = MHD_get_daemon_info(
		f->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

	return i ? i->num_connections : 0;
}

void cg_front_free(struct cg_front *f)
{
	if (!f)
		return;
	MHD_stop_daemon(f->daemon);
	g_free(f);
}
