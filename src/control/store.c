#define CG_PART "store"
#include "internal/store.h"

#include <json-c/json.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "celeryglade/counters.h"
#include "internal/logging.h"

/* Values have at most 1 MB; lists and error pages may be slightly larger. */
#define MAX_BODY_BYTES	  ((1 << 20) + (64 << 10))
#define MAX_IDLE_SESSIONS 8
#define PATH_SIZE	  512

struct store_session {
	ne_session *ne;
	bool connected; /* The current call had an open connection. */
	struct store_session *next;
};

struct cg_store {
	char host[256];
	unsigned int port;
	int timeout_s;
	struct cg_clock clk;
	pthread_mutex_t lock;
	struct store_session *idle;
	int idle_count;
};

/* One HTTP call and its result. */
struct call {
	const char *method;
	char path[PATH_SIZE];
	const char *condition; /* Header name, or NULL. */
	char condition_value[32];
	const void *data;
	size_t len;
	bool write;
	cg_ms wait_ms;

	int status; /* 0 if there was no complete response. */
	bool sent; /* The request may have reached the store. */
	GByteArray *body;
	uint64_t version;
};

static pthread_once_t socket_once = PTHREAD_ONCE_INIT;

static void init_sockets(void)
{
	ne_sock_init();
}

const char *cg_store_result_name(enum cg_store_result r)
{
	switch (r) {
	case CG_STORE_OK:
		return "ok";
	case CG_STORE_NOT_FOUND:
		return "not_found";
	case CG_STORE_UNCHANGED:
		return "unchanged";
	case CG_STORE_CONFLICT:
		return "conflict";
	case CG_STORE_REJECTED:
		return "rejected";
	case CG_STORE_UNAVAILABLE:
		return "unavailable";
	case CG_STORE_UNKNOWN:
		return "unknown";
	}
	abort();
}

struct cg_store *cg_store_new(const char *url, int timeout_s)
{
	struct cg_store *s = g_new0(struct cg_store, 1);
	char rest;

	pthread_once(&socket_once, init_sockets);
	if (sscanf(url, "http://%255[^:/]:%u%c", s->host, &s->port, &rest) <
		    2 ||
	    s->port == 0 || s->port > 65535) {
		g_free(s);
		return NULL;
	}
	s->timeout_s = timeout_s > 0 ? timeout_s : 1;
	cg_clock_init_boot(&s->clk);
	pthread_mutex_init(&s->lock, NULL);
	return s;
}

static void free_session(struct store_session *ss)
{
	ne_session_destroy(ss->ne);
	g_free(ss);
}

void cg_store_free(struct cg_store *s)
{
	if (!s)
		return;
	while (s->idle) {
		struct store_session *ss = s->idle;

		s->idle = ss->next;
		free_session(ss);
	}
	pthread_mutex_destroy(&s->lock);
	g_free(s);
}

static void handle_session_status(void *arg, ne_session_status st,
				  const ne_session_status_info *info)
{
	struct store_session *ss = arg;

	(void)info;
	if (st == ne_status_connected)
		ss->connected = true;
}

static struct store_session *acquire_session(struct cg_store *s)
{
	struct store_session *ss;

	pthread_mutex_lock(&s->lock);
	ss = s->idle;
	if (ss) {
		s->idle = ss->next;
		s->idle_count--;
	}
	pthread_mutex_unlock(&s->lock);
	if (ss)
		return ss;
	ss = g_new0(struct store_session, 1);
	ss->ne = ne_session_create("http", s->host, s->port);
	ne_set_connect_timeout(ss->ne, s->timeout_s);
	ne_set_notifier(ss->ne, handle_session_status, ss);
	return ss;
}

static void release_session(struct cg_store *s, struct store_session *ss)
{
	pthread_mutex_lock(&s->lock);
	if (s->idle_count < MAX_IDLE_SESSIONS) {
		ss->next = s->idle;
		s->idle = ss;
		s->idle_count++;
		ss = NULL;
	}
	pthread_mutex_unlock(&s->lock);
	if (ss)
		free_session(ss);
}

static void read_version(ne_request *req, struct call *c)
{
	const char *tag = ne_get_response_header(req, "ETag");

	c->version = 0;
	if (tag && *tag == '"')
		c->version = strtoull(tag + 1, NULL, 10);
}

/* The timeout of neon applies to each read separately. The deadline of the
 * whole call is checked here, against a store that sends its response very
 * slowly. */
static int read_body(struct cg_store *s, ne_request *req, struct call *c,
		     cg_ms end)
{
	char buf[16384];
	ssize_t n;

	while ((n = ne_read_response_block(req, buf, sizeof(buf))) > 0) {
		if (c->body->len + (size_t)n > MAX_BODY_BYTES ||
		    cg_clock_now(&s->clk) > end)
			return -1;
		g_byte_array_append(c->body, (guint8 *)buf, (guint)n);
	}
	return n == 0 ? 0 : -1;
}

/* Sends the request and reads the response. Returns neon's result code. */
static int exchange(struct cg_store *s, ne_request *req, struct call *c)
{
	cg_ms end =
		cg_clock_now(&s->clk) + c->wait_ms + (cg_ms)s->timeout_s * 2000;
	int rc;

	do {
		g_byte_array_set_size(c->body, 0);
		rc = ne_begin_request(req);
		if (rc != NE_OK)
			return rc;
		if (read_body(s, req, c, end))
			return NE_ERROR;
		rc = ne_end_request(req);
	} while (rc == NE_RETRY && !c->write);
	return rc;
}

static void run_call(struct cg_store *s, struct call *c)
{
	struct store_session *ss = acquire_session(s);
	ne_request *req = ne_request_create(ss->ne, c->method, c->path);
	int rc;

	ss->connected = false;
	ne_set_read_timeout(ss->ne,
			    s->timeout_s + (int)((c->wait_ms + 999) / 1000));
	if (c->condition)
		ne_add_request_header(req, c->condition, c->condition_value);
	if (c->data)
		ne_set_request_body_buffer(req, c->data, c->len);
	/* By default neon resends a request if a persistent connection turns
	 * out to be closed. With the flag cleared it opens a new connection for
	 * a write and sends it only once. */
	if (c->write)
		ne_set_request_flag(req, NE_REQFLAG_IDEMPOTENT, 0);
	rc = exchange(s, req, c);
	/* Only a failure to connect proves that nothing was sent. */
	c->sent = ss->connected || (rc != NE_CONNECT && rc != NE_LOOKUP);
	if (rc == NE_OK) {
		c->status = ne_get_status(req)->code;
		read_version(req, c);
	} else {
		cg_debug("%s %s failed: %s", c->method, c->path,
			 ne_get_error(ss->ne));
		ne_close_connection(ss->ne);
	}
	ne_request_destroy(req);
	release_session(s, ss);
}

static enum cg_store_result write_failure(const struct call *c)
{
	return c->sent ? CG_STORE_UNKNOWN : CG_STORE_UNAVAILABLE;
}

static enum cg_store_result classify(const struct call *c)
{
	switch (c->status) {
	case 200:
	case 201:
	case 204:
		return CG_STORE_OK;
	case 304:
		return CG_STORE_UNCHANGED;
	case 404:
		return CG_STORE_NOT_FOUND;
	case 412:
		return CG_STORE_CONFLICT;
	case 400:
	case 413:
		return CG_STORE_REJECTED;
	case 429:
	case 503:
		return CG_STORE_UNAVAILABLE;
	default:
		return c->write ? write_failure(c) : CG_STORE_UNAVAILABLE;
	}
}

static enum cg_store_result perform(struct cg_store *s, struct call *c,
				    enum cg_counter counter)
{
	enum cg_store_result r;

	cg_count(counter);
	c->body = g_byte_array_new();
	run_call(s, c);
	r = classify(c);
	if (r == CG_STORE_REJECTED || r == CG_STORE_UNAVAILABLE ||
	    r == CG_STORE_UNKNOWN)
		cg_count(CG_COUNTER_STORE_ERRORS);
	return r;
}

static bool name_is_valid(const char *name)
{
	size_t n = strlen(name);

	return n > 0 && n < PATH_SIZE - 64 &&
	       strspn(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVW"
			    "XYZ0123456789._-/") == n;
}

/* Passes the body of a successful call to the caller and frees any other. */
static enum cg_store_result finish_read(struct call *c, enum cg_store_result r,
					GBytes **body, uint64_t *version)
{
	if (r == CG_STORE_OK) {
		*body = g_byte_array_free_to_bytes(c->body);
		if (version)
			*version = c->version;
	} else {
		g_byte_array_unref(c->body);
	}
	return r;
}

enum cg_store_result cg_store_get(struct cg_store *s, const char *name,
				  GBytes **body, uint64_t *version)
{
	struct call c = { .method = "GET" };

	if (!name_is_valid(name))
		return CG_STORE_REJECTED;
	g_snprintf(c.path, sizeof(c.path), "/v1/objects/%s", name);
	return finish_read(&c, perform(s, &c, CG_COUNTER_STORE_READS), body,
			   version);
}

enum cg_store_result cg_store_watch(struct cg_store *s, const char *name,
				    uint64_t known, cg_ms wait_ms,
				    GBytes **body, uint64_t *version)
{
	struct call c = { .method = "GET", .wait_ms = wait_ms };

	if (!name_is_valid(name))
		return CG_STORE_REJECTED;
	g_snprintf(c.path, sizeof(c.path),
		   "/v1/objects/%s?watch=%" G_GUINT64_FORMAT
		   "&timeout_ms=%" G_GINT64_FORMAT,
		   name, known, wait_ms);
	return finish_read(&c, perform(s, &c, CG_COUNTER_STORE_WATCHES), body,
			   version);
}

static enum cg_store_result write_object(struct cg_store *s, const char *name,
					 const char *condition,
					 const char *value, const void *data,
					 size_t len, uint64_t *version)
{
	struct call c = {
		.method = "PUT",
		.condition = condition,
		.data = data,
		.len = len,
		.write = true,
	};
	enum cg_store_result r;

	if (!name_is_valid(name))
		return CG_STORE_REJECTED;
	g_snprintf(c.path, sizeof(c.path), "/v1/objects/%s", name);
	g_strlcpy(c.condition_value, value, sizeof(c.condition_value));
	r = perform(s, &c, CG_COUNTER_STORE_WRITES);
	g_byte_array_unref(c.body);
	if (r == CG_STORE_OK && version)
		*version = c.version;
	return r;
}

enum cg_store_result cg_store_create(struct cg_store *s, const char *name,
				     const void *data, size_t len,
				     uint64_t *version)
{
	return write_object(s, name, "If-None-Match", "*", data, len, version);
}

enum cg_store_result cg_store_update(struct cg_store *s, const char *name,
				     uint64_t expected, const void *data,
				     size_t len, uint64_t *version)
{
	char tag[32];

	g_snprintf(tag, sizeof(tag), "\"%" G_GUINT64_FORMAT "\"", expected);
	return write_object(s, name, "If-Match", tag, data, len, version);
}

enum cg_store_result cg_store_delete(struct cg_store *s, const char *name,
				     uint64_t expected)
{
	struct call c = { .method = "DELETE",
			  .condition = "If-Match",
			  .write = true };
	enum cg_store_result r;

	if (!name_is_valid(name))
		return CG_STORE_REJECTED;
	g_snprintf(c.path, sizeof(c.path), "/v1/objects/%s", name);
	g_snprintf(c.condition_value, sizeof(c.condition_value),
		   "\"%" G_GUINT64_FORMAT "\"", expected);
	r = perform(s, &c, CG_COUNTER_STORE_WRITES);
	g_byte_array_unref(c.body);
	return r;
}

enum cg_store_result cg_store_instances(struct cg_store *s, GBytes **body)
{
	struct call c = { .method = "GET", .path = "/v1/instances" };

	return finish_read(&c, perform(s, &c, CG_COUNTER_STORE_READS), body,
			   NULL);
}

enum cg_store_result cg_store_watch_instances(struct cg_store *s,
					      uint64_t known, cg_ms wait_ms,
					      GBytes **body)
{
	struct call c = { .method = "GET", .wait_ms = wait_ms };

	g_snprintf(c.path, sizeof(c.path),
		   "/v1/instances?watch=%" G_GUINT64_FORMAT
		   "&timeout_ms=%" G_GINT64_FORMAT,
		   known, wait_ms);
	return finish_read(&c, perform(s, &c, CG_COUNTER_STORE_WATCHES), body,
			   NULL);
}
