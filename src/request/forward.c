#include "internal/connections.h"

#include <ne_utils.h>
#include <string.h>

#include "celeryglade/counters.h"
#include "internal/connection_private.h"
#include "internal/proxy.h"

/*
 * If a persistent connection closes without a response, neon by default sends
 * the request a second time. NE_REQFLAG_IDEMPOTENT controls this; if it is
 * cleared, neon also closes a persistent connection before it sends. The flag
 * is therefore set only for idempotent routes: their requests use persistent
 * connections, and a resend by neon is counted as a retry. Non-idempotent
 * requests are always sent once, on a new connection.
 *
 * A new connection also shows what a failure proves: if the connection was
 * never established, no byte of the request was sent.
 */

#define MAX_RESPONSE_BYTES (8 << 20)
#define READ_BLOCK_BYTES   16384
#define FINAL_STATUS_MIN   200
#define STATUS_MAX	   599

static int round_up_to_seconds(cg_ms ms)
{
	int s = (int)((ms + 999) / 1000);

	return s < 1 ? 1 : s;
}

static void add_headers(ne_request *req, const struct cg_request *r,
			const char *attempt_id, cg_ms time_remaining)
{
	for (guint i = 0; i < r->headers->len; i++) {
		struct cg_header *h =
			&g_array_index(r->headers, struct cg_header, i);

		ne_add_request_header(req, h->name, h->value);
	}
	ne_add_request_header(req, "X-Request-Id", r->id);
	ne_add_request_header(req, "Celeryglade-Attempt", attempt_id);
	ne_print_request_header(req, "Celeryglade-Deadline-Ms", "%lld",
				(long long)time_remaining);
	if (r->account)
		ne_add_request_header(req, "Celeryglade-Account",
				      r->account->name);
}

/* Returns false for headers that apply to one connection only, or to the
 * exchange between daemon and server. */
static bool is_forwarded(const char *name)
{
	static const char *const not_forwarded[] = {
		"connection",
		"keep-alive",
		"proxy-authenticate",
		"transfer-encoding",
		"trailer",
		"upgrade",
		"content-length",
		"draining",
		"load",
		"not-run",
		"celeryglade-attempt",
		"x-request-id",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(not_forwarded); i++)
		if (!g_ascii_strcasecmp(name, not_forwarded[i]))
			return false;
	return true;
}

static GArray *copy_headers(ne_request *req)
{
	GArray *out = cg_headers_new();
	void *cursor = NULL;
	const char *name, *value;

	while ((cursor =
			ne_response_header_iterate(req, cursor, &name, &value)))
		if (is_forwarded(name))
			cg_headers_add(out, name, value);
	return out;
}

/* Returns the length of the header fields that are passed on. */
static size_t head_length(ne_request *req)
{
	void *cursor = NULL;
	const char *name, *value;
	size_t n = 0;

	while ((cursor =
			ne_response_header_iterate(req, cursor, &name, &value)))
		if (is_forwarded(name))
			n += strlen(name) + strlen(value) + strlen(": \r\n");
	return n;
}

/* Reads the body up to its explicit end. Returns neon's result, or -1 if the
 * body is too large, or there is no memory for it. */
static int read_body(ne_request *req, GByteArray *body,
		     struct cg_response_memory *m)
{
	char buf[READ_BLOCK_BYTES];
	ssize_t n;

	while ((n = ne_read_response_block(req, buf, sizeof(buf))) > 0) {
		if (body->len + (size_t)n > MAX_RESPONSE_BYTES ||
		    !cg_response_memory_reserve(m, body->len + (int64_t)n))
			return -1;
		g_byte_array_append(body, (guint8 *)buf, (guint)n);
	}
	return n < 0 ? NE_ERROR : NE_OK;
}

/* Returns whether the length of the response is explicit. A body that ends with
 * the connection cannot be distinguished from a truncated one. */
static bool has_explicit_end(ne_request *req, const struct cg_request *r,
			     int status)
{
	const char *coding = ne_get_response_header(req, "Transfer-Encoding");

	if (r->method == CG_METHOD_HEAD || status == 204 || status == 304)
		return true;
	if (coding && !g_ascii_strcasecmp(coding, "chunked"))
		return true;
	return ne_get_response_header(req, "Content-Length") != NULL;
}

static bool is_mismatched(ne_request *req, const struct cg_request *r,
			  const char *attempt_id)
{
	const char *echo = ne_get_response_header(req, "Celeryglade-Attempt");

	if (!echo)
		return r->route->service->echo_attempt;
	return strcmp(echo, attempt_id) != 0;
}

static bool header_is_set(ne_request *req, const char *name)
{
	const char *v = ne_get_response_header(req, name);

	return v && !strcmp(v, "1");
}

static void classify_failure(const struct cg_connection *conn, bool reused,
			     int rc, struct cg_attempt_result *out)
{
	g_strlcpy(out->detail, ne_get_error(conn->session),
		  sizeof(out->detail));
	if (!reused && conn->connect_count == 0)
		out->outcome = CG_ATTEMPT_NOT_SENT;
	else if (rc == NE_TIMEOUT)
		out->outcome = CG_ATTEMPT_TIMED_OUT;
	else
		out->outcome = CG_ATTEMPT_CONNECTION_LOST;
}

/* Sets the outcome of an attempt that received a response. A response to
 * another attempt, or one that may be truncated, does not reach the caller. A
 * 503 with "Not-Run: 1" is the server's statement that it did not execute the
 * request. */
static void classify_response(ne_request *req, const struct cg_request *r,
			      const char *attempt_id,
			      struct cg_attempt_result *out)
{
	int status = ne_get_status(req)->code;

	/* A response with another status cannot be sent to the caller. */
	if (status < FINAL_STATUS_MIN || status > STATUS_MAX) {
		out->outcome = CG_ATTEMPT_MISMATCHED;
		return;
	}
	out->draining = header_is_set(req, "Draining");
	if (is_mismatched(req, r, attempt_id)) {
		out->outcome = CG_ATTEMPT_MISMATCHED;
		return;
	}
	if (!has_explicit_end(req, r, status)) {
		out->outcome = CG_ATTEMPT_TRUNCATED;
		return;
	}
	if (status == 503 && header_is_set(req, "Not-Run")) {
		out->outcome = CG_ATTEMPT_SHED;
		out->reusable = true;
		return;
	}
	if (head_length(req) > r->proxy->settings->response_head_max_bytes) {
		out->outcome = CG_ATTEMPT_TOO_LARGE;
		return;
	}
	out->outcome = CG_ATTEMPT_RESPONDED;
	out->reusable = !out->draining;
	out->response.status = status;
	out->response.headers = copy_headers(req);
}

static void exchange(struct cg_connection *conn, ne_request *req,
		     const struct cg_request *r, const char *attempt_id,
		     bool reused, struct cg_attempt_result *out)
{
	struct cg_response_memory *m = cg_response_memory_new(r->proxy);
	GByteArray *body = g_byte_array_new();
	int rc = ne_begin_request(req);

	if (rc != NE_OK) {
		classify_failure(conn, reused, rc, out);
		goto out;
	}
	rc = read_body(req, body, m);
	if (rc == NE_OK)
		rc = ne_end_request(req);
	if (rc == -1) {
		out->outcome = CG_ATTEMPT_TOO_LARGE;
	} else if (rc != NE_OK) {
		g_strlcpy(out->detail, ne_get_error(conn->session),
			  sizeof(out->detail));
		out->outcome = CG_ATTEMPT_TRUNCATED;
	} else {
		classify_response(req, r, attempt_id, out);
	}
out:
	if (out->outcome == CG_ATTEMPT_RESPONDED) {
		out->response.body = g_byte_array_free_to_bytes(body);
		out->response.memory = m;
		return;
	}
	g_byte_array_unref(body);
	cg_response_memory_free(m);
}

void cg_forward(struct cg_connection *conn, const struct cg_request *r,
		const char *attempt_id, cg_ms timeout, cg_ms time_remaining,
		struct cg_attempt_result *out)
{
	bool reused = conn->request_count > 0 && r->route->idempotent;
	ne_request *req =
		ne_request_create(conn->session, r->method_text, r->target);

	memset(out, 0, sizeof(*out));
	conn->connect_count = 0;
	ne_set_read_timeout(conn->session, round_up_to_seconds(timeout));
	ne_set_connect_timeout(conn->session, round_up_to_seconds(timeout));
	ne_set_request_flag(req, NE_REQFLAG_IDEMPOTENT, r->route->idempotent);
	add_headers(req, r, attempt_id, time_remaining);
	if (r->body.len > 0)
		ne_set_request_body_buffer(req, r->body.data, r->body.len);
	exchange(conn, req, r, attempt_id, reused, out);
	ne_request_destroy(req);
	if (reused && conn->connect_count > 0)
		cg_count_retry(CG_RETRY_CONNECTION_LOST);
}
