#define CG_PART "request"
#include "gateway/exchange.h"

#include <string.h>

#include "celeryglade/counters.h"
#include "gateway/decision_log.h"
#include "gateway/gateway.h"
#include "internal/logging.h"

/* A connection that takes longer to open has lost its first packet, which
 * comes again only after a second: another server is sooner. */
#define CONNECT_MS 250
/* Kept connections idle for less are used again: unsafe requests only on
 * those that have just worked, since a silent one would lose them. */
#define REUSE_SAFE_MS	6000
#define REUSE_UNSAFE_MS 2500
/* Time left for the response to reach the caller before its time ends. */
#define ANSWER_MARGIN_MS 30
/* Part of the bound on a key's proof up to which it is used; the rest is for
 * the way of the request from its caller. */
#define PROOF_PART	     0.9
#define PROOF_RETRY_AFTER_MS 1000
/* Attempts whose connection fails before anything is sent. */
#define SENDS_UNREACHED_MAX 3
/* A further attempt needs this part of its usual time at least. */
#define LEAST_TIME_PART 0.8

enum filter_result {
	FILTER_GO_ON,
	FILTER_SETTLED
};

static void ask(struct cgw_exchange *x, bool repeat);

struct cgw_exchange *cgw_exchange_new(struct cgw_gateway *g, const char *target)
{
	struct cgw_exchange *x = g_new0(struct cgw_exchange, 1);

	x->gateway = g;
	x->target = g_strdup(target);
	x->headers = g_ptr_array_new_with_free_func(g_free);
	x->body = g_byte_array_new();
	for (unsigned int i = 0; i < CGW_SENDS_MAX; i++)
		x->attempts[i].exchange = x;
	g->running++;
	return x;
}

static void log_attempt(const struct cgw_attempt *a, enum cgw_result result);

static void end_attempt(struct cgw_attempt *a, enum cgw_result result)
{
	if (!a->open)
		return;
	a->open = false;
	if (a->slot.state == CGW_SLOT_HELD)
		log_attempt(a, result);
	cgw_call_cancel(&a->call);
	cgw_slot_release(&a->slot, result);
}

static void end_attempts(struct cgw_exchange *x, enum cgw_result result)
{
	for (unsigned int i = 0; i < x->attempt_count; i++)
		end_attempt(&x->attempts[i],
			    x->attempts[i].cut ? CGW_RESULT_HUNG : result);
	cgw_timer_cancel(x->gateway->loop, &x->deadline);
	cgw_timer_cancel(x->gateway->loop, &x->hedge);
}

void cgw_exchange_free(struct cgw_exchange *x)
{
	end_attempts(x, CGW_RESULT_DROPPED);
	for (unsigned int i = 0; i < CGW_SENDS_MAX; i++) {
		cgw_call_clear(&x->attempts[i].call);
		if (x->attempts[i].wire)
			g_byte_array_unref(x->attempts[i].wire);
	}
	x->gateway->running--;
	cgw_table_unref(x->table);
	if (x->out_headers)
		g_ptr_array_unref(x->out_headers);
	if (x->out_body)
		g_byte_array_unref(x->out_body);
	g_ptr_array_unref(x->headers);
	g_byte_array_unref(x->body);
	if (x->bearer)
		explicit_bzero(x->bearer, strlen(x->bearer));
	g_free(x->bearer);
	g_free(x->method);
	g_free(x->target);
	g_free(x->host);
	g_free(x->id);
	g_free(x);
}

static unsigned int running_attempts(const struct cgw_exchange *x)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < x->attempt_count; i++)
		n += x->attempts[i].open;
	return n;
}

static void log_exchange(const struct cgw_exchange *x, const char *server)
{
	struct cgw_gateway *g = x->gateway;
	char *id = g_strescape(x->id ? x->id : "", NULL);

	cgw_log_line(
		"request",
		"\"id\":\"%s\",\"status\":%d,\"reason\":\"%s\","
		"\"version\":%" G_GUINT64_FORMAT ",\"proof_age_ms\":%d,"
		"\"route\":\"%s\",\"account\":\"%s\",\"service\":\"%s\","
		"\"server\":\"%s\",\"broker\":\"%s\",\"sends\":%u,\"runs\":%u,"
		"\"waited_ms\":%d,\"left_ms\":%d,\"took_ms\":%d",
		id, x->status,
		x->reason == CG_OK ? "served" : cg_reason_name(x->reason),
		x->table ? (guint64)cgw_table_version(x->table) : 0,
		(int)x->proof_age, x->route ? x->route->name : "",
		x->account ? x->account->name : "",
		x->service ? x->service : "", server,
		cgw_fleet_leader(g->fleet), x->arrivals, x->runs,
		(int)x->waited,
		(int)(x->due ? x->due - cgw_loop_now(g->loop) : 0),
		(int)(cgw_loop_now(g->loop) - x->arrived));
	g_free(id);
}

static void settle(struct cgw_exchange *x, const char *server)
{
	x->done = true;
	log_exchange(x, server);
	x->settled(x);
}

static void add_out(struct cgw_exchange *x, const char *name, const char *value)
{
	g_ptr_array_add(x->out_headers, g_strdup(name));
	g_ptr_array_add(x->out_headers, g_strdup(value));
}

/* Answers with a refusal. Whether it says "not run" follows from what was
 * sent, whatever the reason. */
static void refuse(struct cgw_exchange *x, enum cg_reason reason,
		   cg_ms retry_after)
{
	int status = cg_reason_status(reason);
	char text[32];

	end_attempts(x, CGW_RESULT_DROPPED);
	if (x->maybe_ran)
		status = status == 503 || status == 429 ? 502 : status;
	else if (status == 502 || status == 504)
		status = 503;
	x->status = status;
	x->reason = reason;
	x->out_headers = g_ptr_array_new_with_free_func(g_free);
	x->out_body = g_byte_array_new();
	add_out(x, "Content-Type", "text/plain");
	if (x->id)
		add_out(x, x->gateway->form->headers.request_id, x->id);
	if (status == 503 || status == 429) {
		g_snprintf(text, sizeof(text), "%.3f",
			   (double)MAX(retry_after, 100) / 1000);
		add_out(x, "Retry-After", text);
	}
	if (status == 401)
		add_out(x, "WWW-Authenticate", "Bearer");
	g_byte_array_append(x->out_body, (const guint8 *)cg_reason_name(reason),
			    (guint)strlen(cg_reason_name(reason)));
	cg_count_refusal(reason);
	settle(x, "");
}

static bool is_hop_header(const char *name)
{
	static const char *const hop[] = {
		"connection",
		"keep-alive",
		"proxy-connection",
		"transfer-encoding",
		"te",
		"trailer",
		"upgrade",
		"content-length",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(hop); i++)
		if (!g_ascii_strcasecmp(name, hop[i]))
			return true;
	return false;
}

static void respond(struct cgw_exchange *x, struct cgw_attempt *a)
{
	struct cgw_call *c = &a->call;

	x->status = c->status;
	x->reason = CG_OK;
	x->out_headers = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i + 1 < c->headers->len; i += 2) {
		const char *name = g_ptr_array_index(c->headers, i);

		if (!is_hop_header(name))
			add_out(x, name, g_ptr_array_index(c->headers, i + 1));
	}
	x->out_body = c->body;
	c->body = NULL;
	end_attempts(x, CGW_RESULT_DROPPED);
	cg_count(CG_COUNTER_ANSWERED);
	settle(x, a->slot.server);
}

/* ---- attempts ---- */

static void append(GByteArray *b, const char *text)
{
	g_byte_array_append(b, (const guint8 *)text, (guint)strlen(text));
}

static void append_header(GByteArray *b, const char *name, const char *value)
{
	append(b, name);
	append(b, ": ");
	append(b, value);
	append(b, "\r\n");
}

static GByteArray *write_request(struct cgw_exchange *x, const char *server)
{
	const struct cgw_header_names *n = &x->gateway->form->headers;
	cg_ms now = cgw_loop_now(x->gateway->loop);
	GByteArray *b = g_byte_array_new();
	char number[32];

	append(b, x->method);
	append(b, " ");
	append(b, x->target);
	append(b, " HTTP/1.1\r\n");
	append_header(b, "Host", x->host);
	if (x->id)
		append_header(b, n->request_id, x->id);
	g_snprintf(number, sizeof(number), "%d", (int)MAX(1, x->due - now));
	append_header(b, n->deadline, number);
	append_header(b, n->expected_server, server);
	if (x->account)
		append_header(b, n->account, x->account->name);
	for (guint i = 0; i + 1 < x->headers->len; i += 2)
		append_header(b, g_ptr_array_index(x->headers, i),
			      g_ptr_array_index(x->headers, i + 1));
	if (x->body->len ||
	    (strcmp(x->method, "GET") != 0 && strcmp(x->method, "HEAD") != 0)) {
		g_snprintf(number, sizeof(number), "%u", x->body->len);
		append_header(b, "Content-Length", number);
	}
	append(b, "\r\n");
	g_byte_array_append(b, x->body->data, x->body->len);
	return b;
}

/* Whether the request may be sent once more, if a slot is granted. */
static bool may_send_again(const struct cgw_exchange *x)
{
	cg_ms left = x->due - cgw_loop_now(x->gateway->loop);
	const struct cgw_attempt *last = &x->attempts[x->attempt_count - 1];

	return x->attempt_count < CGW_SENDS_MAX &&
	       x->runs < (unsigned int)x->route->attempts &&
	       (!x->maybe_ran || x->route->safe) &&
	       left > (cg_ms)(LEAST_TIME_PART * (double)last->usual_ms);
}

/* What a failed request is answered with when nothing follows. */
static void give_up(struct cgw_exchange *x, struct cgw_attempt *a)
{
	static const enum cg_reason reasons[] = {
		[CGW_CALL_RESPONDED] = CG_REASON_SERVER_SHED,
		[CGW_CALL_NOT_SENT] = CG_REASON_CONNECT_FAILED,
		[CGW_CALL_LOST] = CG_REASON_CONNECTION_LOST,
		[CGW_CALL_TRUNCATED] = CG_REASON_RESPONSE_TRUNCATED,
		[CGW_CALL_GARBLED] = CG_REASON_RESPONSE_MISMATCHED,
		[CGW_CALL_TIMED_OUT] = CG_REASON_DEADLINE_EXCEEDED,
	};

	/* Another attempt is under way and may still succeed. */
	if (running_attempts(x))
		return;
	refuse(x, reasons[a->call.end], 500);
}

static enum cgw_result result_of(const struct cgw_exchange *x,
				 const struct cgw_call *c)
{
	switch (c->end) {
	case CGW_CALL_RESPONDED:
		if (c->status == 421)
			return CGW_RESULT_MISPLACED;
		if (cgw_call_header(c, x->gateway->form->headers.not_run))
			return CGW_RESULT_SHED;
		if (c->status < 300 &&
		    !cgw_call_header(c, x->gateway->form->headers.seal))
			return CGW_RESULT_LOST;
		return c->status >= 500 ? CGW_RESULT_ERROR : CGW_RESULT_SERVED;
	case CGW_CALL_NOT_SENT:
		return CGW_RESULT_UNREACHED;
	case CGW_CALL_LOST:
	case CGW_CALL_TRUNCATED:
	case CGW_CALL_GARBLED:
		return CGW_RESULT_LOST;
	case CGW_CALL_TIMED_OUT:
		return CGW_RESULT_HUNG;
	}
	return CGW_RESULT_LOST;
}

static void count_retry(enum cgw_result result)
{
	static const enum cg_retry why[CGW_RESULT_COUNT] = {
		[CGW_RESULT_SERVED] = CG_RETRY_STATUS,
		[CGW_RESULT_ERROR] = CG_RETRY_STATUS,
		[CGW_RESULT_LOST] = CG_RETRY_CONNECTION_LOST,
		[CGW_RESULT_HUNG] = CG_RETRY_TIMEOUT,
		[CGW_RESULT_SHED] = CG_RETRY_SHED,
		[CGW_RESULT_UNREACHED] = CG_RETRY_CONNECT_FAILED,
		[CGW_RESULT_MISPLACED] = CG_RETRY_MISMATCHED,
	};

	cg_count_retry(why[result]);
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

/* One line for each attempt that did not serve its request: the server, how it
 * ended, and what was known of its usual time. */
static void log_attempt(const struct cgw_attempt *a, enum cgw_result result)
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
		     a->call.reused ? "true" : "false", (int)a->usual_ms,
		     (int)(now - a->slot.granted_at));
}

static void attempt_done(struct cgw_call *c)
{
	struct cgw_attempt *a = caa_container_of(c, struct cgw_attempt, call);
	struct cgw_exchange *x = a->exchange;
	enum cgw_result result = result_of(x, c);
	bool ran = result != CGW_RESULT_SHED &&
		   result != CGW_RESULT_MISPLACED &&
		   result != CGW_RESULT_UNREACHED;

	a->open = false;
	cgw_timer_cancel(x->gateway->loop, &x->hedge);
	log_attempt(a, result);
	cgw_slot_release(&a->slot, result);
	if (!ran && result != CGW_RESULT_UNREACHED)
		x->runs--;
	if (result == CGW_RESULT_UNREACHED) {
		x->runs--;
		x->arrivals--;
	}
	if (result == CGW_RESULT_SERVED ||
	    (result == CGW_RESULT_ERROR &&
	     (!x->route->safe || !may_send_again(x)) && !running_attempts(x))) {
		respond(x, a);
		return;
	}
	if (result != CGW_RESULT_ERROR && ran)
		x->maybe_ran = true;
	if (!may_send_again(x)) {
		cg_count_retry(x->maybe_ran && !x->route->safe
				       ? CG_RETRY_DENIED_UNSAFE
				       : CG_RETRY_DENIED_DEADLINE);
		give_up(x, a);
		return;
	}
	if (running_attempts(x))
		return;
	count_retry(result);
	ask(x, x->arrivals > 0);
}

/* A safe request takes longer than usual: one more server is tried beside the
 * first, early enough for its response to come within the objective. */
static void on_hedge(struct cgw_timer *t)
{
	struct cgw_exchange *x =
		caa_container_of(t, struct cgw_exchange, hedge);

	if (running_attempts(x) != 1 || !may_send_again(x) ||
	    x->attempts[x->attempt_count - 1].slot.state != CGW_SLOT_HELD)
		return;
	x->attempts[x->attempt_count - 1].cut = true;
	cg_count_retry(CG_RETRY_TIMEOUT);
	ask(x, true);
}

static void arm_hedge(struct cgw_exchange *x, const struct cgw_attempt *a)
{
	struct cgw_loop *l = x->gateway->loop;
	cg_ms now = cgw_loop_now(l);
	cg_ms left = x->arrived + x->route->objective_ms - now;
	cg_ms wait = CLAMP(left - a->usual_ms - a->usual_ms / 10,
			   a->overdue_ms * 4 / 5, a->overdue_ms * 3 / 2);

	if (x->route->safe)
		cgw_timer_arm(l, &x->hedge, now + wait);
}

static void start_attempt(struct cgw_exchange *x, struct cgw_attempt *a,
			  const struct cgw_verdict *v)
{
	struct cgw_call *c = &a->call;

	a->usual_ms = v->u.grant.usual_ms;
	a->overdue_ms = v->u.grant.overdue_ms;
	if (a->wire)
		g_byte_array_unref(a->wire);
	a->wire = write_request(x, v->u.grant.server);
	g_strlcpy(c->address, v->u.grant.address, sizeof(c->address));
	c->request = a->wire;
	c->id_header = x->id ? x->gateway->form->headers.request_id : NULL;
	c->id = x->id;
	c->connect_ms = CONNECT_MS;
	c->reuse_ms = x->route->safe ? REUSE_SAFE_MS : REUSE_UNSAFE_MS;
	c->due = x->due;
	c->done = attempt_done;
	x->runs++;
	x->arrivals++;
	cg_count(CG_COUNTER_ATTEMPTS);
	cgw_call_start(x->gateway->client, c);
	arm_hedge(x, a);
}

/* The slot is decided: an attempt begins, or the request is refused. */
static void slot_decided(struct cgw_slot *s, const struct cgw_verdict *v)
{
	struct cgw_attempt *a = caa_container_of(s, struct cgw_attempt, slot);
	struct cgw_exchange *x = a->exchange;

	x->waited += cgw_loop_now(x->gateway->loop) - a->asked_at;
	if (v->kind == CGW_GRANTED) {
		start_attempt(x, a, v);
		return;
	}
	a->open = false;
	/* Only one slot is asked for at a time, so it is the last. */
	g_assert(a == &x->attempts[x->attempt_count - 1]);
	x->attempt_count--;
	if (running_attempts(x)) {
		/* No second server: the first one goes on. */
		cg_count_retry(CG_RETRY_DENIED_NO_SERVER);
		x->attempts[x->attempt_count - 1].cut = false;
		return;
	}
	if (x->attempt_count &&
	    x->attempts[x->attempt_count - 1].call.status >= 500 &&
	    x->attempts[x->attempt_count - 1].call.end == CGW_CALL_RESPONDED &&
	    !cgw_call_header(&x->attempts[x->attempt_count - 1].call,
			     x->gateway->form->headers.not_run)) {
		respond(x, &x->attempts[x->attempt_count - 1]);
		return;
	}
	refuse(x, v->u.refusal.reason, v->u.refusal.retry_after_ms);
}

static void ask(struct cgw_exchange *x, bool repeat)
{
	struct cgw_attempt *a = &x->attempts[x->attempt_count];
	struct cgw_ask *q = &a->slot.ask;
	const struct cgw_account *acc = x->account;

	memset(q, 0, sizeof(*q));
	g_strlcpy(q->service, x->service, sizeof(q->service));
	g_strlcpy(q->route, x->route->name, sizeof(q->route));
	g_strlcpy(q->account, acc ? acc->name : "", sizeof(q->account));
	q->safe = x->route->safe;
	q->repeat = repeat;
	q->charged = x->attempt_count > 0 && !repeat;
	q->priority =
		acc && acc->priority >= 0 ? acc->priority : x->route->priority;
	q->objective_ms = x->route->objective_ms;
	q->due = cgw_gateway_wait_due(x->gateway, x->due);
	for (unsigned int i = 0;
	     i < x->attempt_count && q->avoid_count < CGW_AVOID_MAX; i++)
		g_strlcpy(q->avoid[q->avoid_count++],
			  x->attempts[i].slot.server, sizeof(q->avoid[0]));
	a->open = true;
	a->cut = false;
	a->asked_at = cgw_loop_now(x->gateway->loop);
	a->slot.decided = slot_decided;
	x->attempt_count++;
	cgw_slot_ask(x->gateway->fleet, &a->slot);
}

static void on_deadline(struct cgw_timer *t)
{
	struct cgw_exchange *x =
		caa_container_of(t, struct cgw_exchange, deadline);

	if (x->runs)
		x->maybe_ran = true;
	for (unsigned int i = 0; i < x->attempt_count; i++)
		x->attempts[i].cut = true;
	refuse(x,
	       x->maybe_ran ? CG_REASON_DEADLINE_EXCEEDED
			    : CG_REASON_QUEUE_TIMEOUT,
	       0);
}

/* ---- filters ---- */

static enum filter_result filter_form(struct cgw_exchange *x)
{
	if (!x->malformed && !x->too_large)
		return FILTER_GO_ON;
	refuse(x,
	       x->too_large ? CG_REASON_BODY_TOO_LARGE : CG_REASON_BAD_REQUEST,
	       0);
	return FILTER_SETTLED;
}

static enum filter_result filter_route(struct cgw_exchange *x)
{
	struct cgw_gateway *g = x->gateway;
	struct cgw_table *t = cgw_feed_table(g->feed);
	char *path;

	if (!t) {
		refuse(x, CG_REASON_NO_CONFIG, PROOF_RETRY_AFTER_MS);
		return FILTER_SETTLED;
	}
	x->table = cgw_table_ref(t);
	path = g_strndup(x->target, strcspn(x->target, "?#"));
	x->route = cgw_table_route(t, x->host ? x->host : "", path);
	g_free(path);
	if (!x->route) {
		refuse(x, CG_REASON_ROUTE_UNKNOWN, 0);
		return FILTER_SETTLED;
	}
	x->due = x->arrived + x->route->timeout_ms;
	if (x->caller_ms)
		x->due = MIN(x->due, x->arrived + x->caller_ms);
	return FILTER_GO_ON;
}

static enum filter_result filter_key(struct cgw_exchange *x)
{
	struct cgw_gateway *g = x->gateway;
	cg_ms bound = g->settings.key_proof_ms;

	x->proof_age = cgw_loop_now(g->loop) - cgw_feed_proved_at(g->feed);
	if (x->route->open || !cgw_table_has_accounts(x->table))
		return FILTER_GO_ON;
	/* A table that may be out of date may hold a withdrawn key, and may
	 * lack a new one. */
	if (bound && (double)x->proof_age > PROOF_PART * (double)bound) {
		refuse(x, CG_REASON_KEYS_STALE, PROOF_RETRY_AFTER_MS);
		return FILTER_SETTLED;
	}
	x->account = x->bearer ? cgw_table_key(x->table, x->bearer) : NULL;
	if (x->account)
		return FILTER_GO_ON;
	refuse(x, x->bearer ? CG_REASON_KEY_UNKNOWN : CG_REASON_KEY_MISSING, 0);
	return FILTER_SETTLED;
}

static enum filter_result filter_slot(struct cgw_exchange *x)
{
	struct cgw_loop *l = x->gateway->loop;

	x->service = cgw_route_pick(x->route, g_random_int());
	x->deadline.fire = on_deadline;
	x->hedge.fire = on_hedge;
	cgw_timer_arm(l, &x->deadline,
		      x->due -
			      MIN(ANSWER_MARGIN_MS, x->route->timeout_ms / 10));
	ask(x, false);
	return FILTER_SETTLED;
}

void cgw_exchange_start(struct cgw_exchange *x, cg_ms came)
{
	static enum filter_result (*const chain[])(struct cgw_exchange *) = {
		filter_form,
		filter_route,
		filter_key,
		filter_slot,
	};

	cg_count(CG_COUNTER_REQUESTS);
	x->arrived = came;
	for (size_t i = 0; i < G_N_ELEMENTS(chain); i++)
		if (chain[i](x) == FILTER_SETTLED)
			return;
}

void cgw_exchange_abort(struct cgw_exchange *x)
{
	if (x->done)
		return;
	x->done = true;
	end_attempts(x, CGW_RESULT_DROPPED);
	x->status = 499;
	x->reason = CG_REASON_DEADLINE_EXCEEDED;
	cgw_log_line("request",
		     "\"id\":\"%s\",\"reason\":\"caller_left\","
		     "\"sends\":%u,\"took_ms\":%d",
		     x->id ? x->id : "", x->arrivals,
		     (int)(cgw_loop_now(x->gateway->loop) - x->arrived));
}
