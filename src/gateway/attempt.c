#define CG_PART "request"
#include "attempt.h"

#include <string.h>

#include "celeryglade/counters.h"
#include "gateway/decision_log.h"
#include "gateway/gateway.h"
#include "internal/logging.h"

static void append_text(GByteArray *b, const char *text)
{
	g_byte_array_append(b, (const guint8 *)text, (guint)strlen(text));
}

static void append_header(GByteArray *b, const char *name, const char *value)
{
	append_text(b, name);
	append_text(b, ": ");
	append_text(b, value);
	append_text(b, "\r\n");
}

GByteArray *cgw_attempt_format_head(const struct cgw_exchange *x,
				    const char *server)
{
	const struct cgw_header_names *n = &x->gateway->format->headers;
	cg_ms now = cgw_loop_now(x->gateway->loop);
	GByteArray *b = g_byte_array_new();
	char number[32];

	append_text(b, x->method);
	append_text(b, " ");
	append_text(b, x->target);
	append_text(b, " HTTP/1.1\r\n");
	append_header(b, "Host", x->host);
	if (x->id)
		append_header(b, n->request_id, x->id);
	g_snprintf(number, sizeof(number), "%d",
		   (int)MAX(1, x->deadline - now));
	append_header(b, n->deadline, number);
	append_header(b, n->expected_server, server);
	if (x->account)
		append_header(b, n->account, x->account->name);
	for (guint i = 0; i + 1 < x->headers->len; i += 2)
		append_header(b, g_ptr_array_index(x->headers, i),
			      g_ptr_array_index(x->headers, i + 1));
	if (x->body.len ||
	    (strcmp(x->method, "GET") != 0 && strcmp(x->method, "HEAD") != 0)) {
		g_snprintf(number, sizeof(number), "%zu", x->body.len);
		append_header(b, "Content-Length", number);
	}
	append_text(b, "\r\n");
	return b;
}

enum cgw_result cgw_attempt_result(const struct cgw_exchange *x,
				   const struct cgw_call *c)
{
	switch (c->outcome) {
	case CGW_CALL_RESPONDED:
		if (c->status == 421)
			return CGW_RESULT_MISPLACED;
		if (cgw_call_header(c, x->gateway->format->headers.not_run))
			return CGW_RESULT_SHED;
		/* The server itself adds the seal header. Without it nothing
		 * proves that a success came from the server, so it counts as
		 * no usable response. */
		if (c->status < 300 &&
		    !cgw_call_header(c, x->gateway->format->headers.seal))
			return CGW_RESULT_LOST;
		return c->status >= 500 ? CGW_RESULT_ERROR : CGW_RESULT_SERVED;
	case CGW_CALL_NOT_SENT:
		return CGW_RESULT_UNREACHED;
	case CGW_CALL_LOST:
	case CGW_CALL_TRUNCATED:
	case CGW_CALL_MALFORMED:
		return CGW_RESULT_LOST;
	case CGW_CALL_TIMED_OUT:
		return CGW_RESULT_HUNG;
	case CGW_CALL_NO_ROOM: /* not the server's fault */
		return CGW_RESULT_DROPPED;
	}
	return CGW_RESULT_LOST;
}

void cgw_attempt_count_retry(enum cgw_result result)
{
	static const enum cg_retry counters[CGW_RESULT_COUNT] = {
		[CGW_RESULT_SERVED] = CG_RETRY_STATUS,
		[CGW_RESULT_ERROR] = CG_RETRY_STATUS,
		[CGW_RESULT_LOST] = CG_RETRY_CONNECTION_LOST,
		[CGW_RESULT_HUNG] = CG_RETRY_TIMEOUT,
		[CGW_RESULT_SHED] = CG_RETRY_SHED,
		[CGW_RESULT_UNREACHED] = CG_RETRY_CONNECT_FAILED,
		[CGW_RESULT_MISPLACED] = CG_RETRY_MISMATCHED,
	};

	cg_count_retry(counters[result]);
}

static const char *const result_names[CGW_RESULT_COUNT] = {
	[CGW_RESULT_SERVED] = "served",
	[CGW_RESULT_ERROR] = "error",
	[CGW_RESULT_LOST] = "lost",
	[CGW_RESULT_HUNG] = "hung",
	[CGW_RESULT_SHED] = "shed",
	[CGW_RESULT_UNREACHED] = "unreached",
	[CGW_RESULT_MISPLACED] = "misplaced",
	[CGW_RESULT_DROPPED] = "dropped",
	[CGW_RESULT_UNUSED] = "unused",
};

void cgw_attempt_log(const struct cgw_attempt *a, enum cgw_result result)
{
	const struct cgw_exchange *x = a->exchange;
	cg_ms now = cgw_loop_now(x->gateway->loop);

	if (result == CGW_RESULT_SERVED)
		return;
	cgw_log_line("attempt",
		     "\"id\":\"%s\",\"server\":\"%s\",\"address\":\"%s\","
		     "\"result\":\"%s\",\"status\":%d,\"reused\":%s,"
		     "\"usual_ms\":%d,\"took_ms\":%d",
		     x->id ? x->id : "", a->slot.server, a->call.address,
		     result_names[result], a->call.status,
		     a->call.reused ? "true" : "false",
		     (int)a->typical_latency_ms,
		     (int)(now - a->slot.granted_at));
}

void cgw_attempt_read_notice(const struct cgw_attempt *a,
			     struct cgw_server_notice *out)
{
	const struct cgw_call *c = &a->call;
	const char *text;

	memset(out, 0, sizeof(*out));
	if (c->outcome != CGW_CALL_RESPONDED)
		return;
	text = cgw_call_header(c,
			       a->exchange->gateway->format->headers.leaving);
	out->leaving = text && !strcmp(text, "1");
	text = c->status == 503 ? cgw_call_header(c, "Retry-After") : NULL;
	if (text && cgw_retry_after_parse(text, &out->rest_ms)) {
		cg_count(CG_COUNTER_RETRY_AFTER_IGNORED);
		cg_info("ignored a Retry-After of server %s: it is not a "
			"number of seconds",
			a->slot.server);
	}
}
