#define CG_PART "request"
#include "gateway/exchange.h"

#include <string.h>

#include "attempt.h"
#include "celeryglade/counters.h"
#include "gateway/decision_log.h"
#include "gateway/gateway.h"
#include "gateway/work_model.h"
#include "internal/logging.h"

/* Connect timeout. A lost SYN is retransmitted only after one second, so
 * another server is faster. */
#define CONNECT_MS 250
/* Connections idle for less than this are reused. The limit is lower for
 * non-idempotent requests, because a dead connection loses the request and it
 * cannot be retried. */
#define REUSE_IDEMPOTENT_MS	6000
#define REUSE_NON_IDEMPOTENT_MS 2500
/* Time before the deadline reserved for sending the response to the caller. */
#define RESPONSE_MARGIN_MS 30
/* Keys are accepted while the age of the configuration proof is at most this
 * share of key_proof_ms. The rest covers the time that the request took from
 * its caller to the gateway. */
#define PROOF_AGE_SHARE	     0.9
#define PROOF_RETRY_AFTER_MS 1000
/* By then a newer configuration, which another daemon has, is usually in force. */
#define BEHIND_RETRY_AFTER_MS 500
/* Attempts of a request whose connection may fail before anything is sent. Not
 * enforced at present. */
#define CONNECT_FAILURES_MAX 3
/* A retry needs at least this share of the typical latency before the
 * deadline. */
#define MIN_REMAINING_SHARE 0.8
/* A request without room may return after this time and a random part of the
 * spread: bodies without progress can be evicted by then. */
#define MEMORY_RETRY_MS	       1000
#define MEMORY_RETRY_SPREAD_MS 3000

enum filter_result {
	FILTER_CONTINUE,
	FILTER_STOP
};

typedef enum filter_result (*filter)(struct cgw_exchange *x);

static void request_slot(struct cgw_exchange *x, bool retry);

struct cgw_exchange *cgw_exchange_new(struct cgw_gateway *g, const char *target)
{
	struct cgw_exchange *x = g_new0(struct cgw_exchange, 1);

	x->gateway = g;
	x->target = g_strdup(target);
	x->headers = g_ptr_array_new_with_free_func(g_free);
	for (unsigned int i = 0; i < CGW_ATTEMPTS_MAX; i++)
		x->attempts[i].exchange = x;
	g->running_requests++;
	return x;
}

static void end_attempt(struct cgw_attempt *a, enum cgw_result result)
{
	if (!a->active)
		return;
	a->active = false;
	if (a->slot.state == CGW_SLOT_HELD)
		cgw_attempt_log(a, result);
	cgw_call_cancel(&a->call);
	cgw_call_clear(&a->call);
	cgw_slot_release(&a->slot, result, NULL);
}

static void end_attempts(struct cgw_exchange *x, enum cgw_result result)
{
	for (unsigned int i = 0; i < x->attempt_count; i++)
		end_attempt(&x->attempts[i], x->attempts[i].abandoned
						     ? CGW_RESULT_HUNG
						     : result);
	cgw_timer_cancel(x->gateway->loop, &x->deadline_timer);
	cgw_timer_cancel(x->gateway->loop, &x->hedge_timer);
}

void cgw_exchange_free(struct cgw_exchange *x)
{
	end_attempts(x, CGW_RESULT_DROPPED);
	cgw_exchange_drop_body(x);
	for (unsigned int i = 0; i < CGW_ATTEMPTS_MAX; i++) {
		cgw_call_clear(&x->attempts[i].call);
		if (x->attempts[i].request_bytes)
			g_byte_array_unref(x->attempts[i].request_bytes);
	}
	x->gateway->running_requests--;
	cgw_table_unref(x->table);
	if (x->response_headers)
		g_ptr_array_unref(x->response_headers);
	if (x->response_body)
		g_byte_array_unref(x->response_body);
	g_ptr_array_unref(x->headers);
	if (x->bearer)
		explicit_bzero(x->bearer, strlen(x->bearer));
	g_free(x->bearer);
	g_free(x->method);
	g_free(x->target);
	g_free(x->host);
	g_free(x->id);
	g_free(x);
}

static unsigned int count_active_attempts(const struct cgw_exchange *x)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < x->attempt_count; i++)
		n += x->attempts[i].active;
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
		(int)x->proof_age_ms, x->route ? x->route->name : "",
		x->account ? x->account->name : "",
		x->service ? x->service : "", server,
		cgw_fleet_leader(g->fleet), x->sent_attempts, x->possible_runs,
		(int)x->waited_ms,
		(int)(x->deadline ? x->deadline - cgw_loop_now(g->loop) : 0),
		(int)(cgw_loop_now(g->loop) - x->arrived_at));
	g_free(id);
}

static void complete(struct cgw_exchange *x, const char *server)
{
	x->done = true;
	cgw_exchange_drop_body(x);
	log_exchange(x, server);
	x->completed(x);
}

static void add_response_header(struct cgw_exchange *x, const char *name,
				const char *value)
{
	g_ptr_array_add(x->response_headers, g_strdup(name));
	g_ptr_array_add(x->response_headers, g_strdup(value));
}

/* Completes the request with an error response. Status 503 or 429 tells the
 * caller that the request did not run, so the status depends on what was sent:
 * 502 replaces them if an attempt may have run, and 503 replaces 502 and 504 if
 * none has. */
static void refuse(struct cgw_exchange *x, enum cg_reason reason,
		   cg_ms retry_after)
{
	int status = cg_reason_status(reason);
	char text[32];

	end_attempts(x, CGW_RESULT_DROPPED);
	if (x->may_have_run)
		status = status == 503 || status == 429 ? 502 : status;
	else if (status == 502 || status == 504)
		status = 503;
	x->status = status;
	x->reason = reason;
	x->response_headers = g_ptr_array_new_with_free_func(g_free);
	x->response_body = g_byte_array_new();
	add_response_header(x, "Content-Type", "text/plain");
	if (x->id)
		add_response_header(x, x->gateway->format->headers.request_id,
				    x->id);
	if (status == 503 || status == 429) {
		g_snprintf(text, sizeof(text), "%.3f",
			   (double)MAX(retry_after, 100) / 1000);
		add_response_header(x, "Retry-After", text);
	}
	if (status == 401)
		add_response_header(x, "WWW-Authenticate", "Bearer");
	g_byte_array_append(x->response_body,
			    (const guint8 *)cg_reason_name(reason),
			    (guint)strlen(cg_reason_name(reason)));
	cg_count_refusal(reason);
	complete(x, "");
}

static bool is_hop_header(const char *name)
{
	static const char *const hop_headers[] = {
		"connection",
		"keep-alive",
		"proxy-connection",
		"transfer-encoding",
		"te",
		"trailer",
		"upgrade",
		"content-length",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(hop_headers); i++)
		if (!g_ascii_strcasecmp(name, hop_headers[i]))
			return true;
	return false;
}

/* To a caller these statuses state that the request has not run. */
static bool status_promises_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static size_t head_length(const struct cgw_call *c)
{
	size_t n = 0;

	for (guint i = 0; i + 1 < c->headers->len; i += 2)
		n += strlen(g_ptr_array_index(c->headers, i)) +
		     strlen(g_ptr_array_index(c->headers, i + 1)) +
		     strlen(": \r\n");
	return n;
}

static void respond(struct cgw_exchange *x, struct cgw_attempt *a)
{
	struct cgw_call *c = &a->call;

	/* The server did not state that it has not run the request, so its
	 * caller must not be told so. */
	if (!x->route->idempotent && status_promises_not_run(c->status)) {
		x->may_have_run = true;
		refuse(x, CG_REASON_RESPONSE_UNPROVEN, 0);
		return;
	}
	if (head_length(c) >
	    (size_t)x->gateway->settings.response_head_max_bytes) {
		x->may_have_run = true;
		refuse(x, CG_REASON_RESPONSE_TOO_LARGE, 0);
		return;
	}
	x->status = c->status;
	x->reason = CG_OK;
	x->response_headers = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i + 1 < c->headers->len; i += 2) {
		const char *name = g_ptr_array_index(c->headers, i);

		if (!is_hop_header(name))
			add_response_header(
				x, name, g_ptr_array_index(c->headers, i + 1));
	}
	x->response_body = c->body;
	x->response_memory = &c->memory;
	c->body = NULL;
	end_attempts(x, CGW_RESULT_DROPPED);
	cg_count(CG_COUNTER_ANSWERED);
	complete(x, a->slot.server);
}

/* ---- attempts ---- */

/* Returns whether the request may be sent again if a slot is granted. */
static bool may_retry(const struct cgw_exchange *x)
{
	cg_ms remaining = x->deadline - cgw_loop_now(x->gateway->loop);
	const struct cgw_attempt *last = &x->attempts[x->attempt_count - 1];

	return x->attempt_count < CGW_ATTEMPTS_MAX &&
	       x->possible_runs < (unsigned int)x->route->max_attempts &&
	       (!x->may_have_run || x->route->idempotent) &&
	       remaining > (cg_ms)(MIN_REMAINING_SHARE *
				   (double)last->typical_latency_ms);
}

/* Refuses the request after its last attempt has failed. */
static void fail_request(struct cgw_exchange *x, struct cgw_attempt *a)
{
	static const enum cg_reason reasons[] = {
		[CGW_CALL_RESPONDED] = CG_REASON_SERVER_SHED,
		[CGW_CALL_NOT_SENT] = CG_REASON_CONNECT_FAILED,
		[CGW_CALL_LOST] = CG_REASON_CONNECTION_LOST,
		[CGW_CALL_TRUNCATED] = CG_REASON_RESPONSE_TRUNCATED,
		[CGW_CALL_MALFORMED] = CG_REASON_RESPONSE_MISMATCHED,
		[CGW_CALL_TIMED_OUT] = CG_REASON_DEADLINE_EXCEEDED,
		[CGW_CALL_NO_ROOM] = CG_REASON_MEMORY_FULL,
	};

	/* Another attempt is in progress and may still succeed. */
	if (count_active_attempts(x))
		return;
	refuse(x, reasons[a->call.outcome], 500);
}

/* Handles the end of an attempt: responds to the client, waits for the other
 * active attempt (the original or its hedge), requests a slot for a retry, or
 * fails the request if it must not be sent again. */
static void on_call_done(struct cgw_call *c)
{
	struct cgw_attempt *a = caa_container_of(c, struct cgw_attempt, call);
	struct cgw_exchange *x = a->exchange;
	enum cgw_result result = cgw_attempt_result(x, c);
	struct cgw_server_notice said;
	bool possibly_ran = result != CGW_RESULT_SHED &&
			    result != CGW_RESULT_MISPLACED &&
			    result != CGW_RESULT_UNREACHED;

	a->active = false;
	cgw_timer_cancel(x->gateway->loop, &x->hedge_timer);
	cgw_attempt_log(a, result);
	cgw_attempt_read_notice(a, &said);
	cgw_slot_release(&a->slot, result, &said);
	if (!possibly_ran && result != CGW_RESULT_UNREACHED)
		x->possible_runs--;
	if (result == CGW_RESULT_UNREACHED) {
		x->possible_runs--;
		x->sent_attempts--;
	}
	if (result == CGW_RESULT_SERVED ||
	    (result == CGW_RESULT_ERROR &&
	     (!x->route->idempotent || !may_retry(x)) &&
	     !count_active_attempts(x))) {
		respond(x, a);
		return;
	}
	if (result != CGW_RESULT_ERROR && possibly_ran)
		x->may_have_run = true;
	/* Another server's response would find no room either. */
	if (c->outcome == CGW_CALL_NO_ROOM) {
		fail_request(x, a);
		return;
	}
	if (!may_retry(x)) {
		cg_count_retry(x->may_have_run && !x->route->idempotent
				       ? CG_RETRY_DENIED_UNSAFE
				       : CG_RETRY_DENIED_DEADLINE);
		fail_request(x, a);
		return;
	}
	if (count_active_attempts(x))
		return;
	cgw_attempt_count_retry(result);
	request_slot(x, x->sent_attempts > 0);
}

/* Sends an idempotent request without a response to a second server, while the
 * first attempt continues. */
static void on_hedge(struct cgw_timer *t)
{
	struct cgw_exchange *x =
		caa_container_of(t, struct cgw_exchange, hedge_timer);

	if (count_active_attempts(x) != 1 || !may_retry(x) ||
	    x->attempts[x->attempt_count - 1].slot.state != CGW_SLOT_HELD)
		return;
	x->attempts[x->attempt_count - 1].abandoned = true;
	cg_count_retry(CG_RETRY_TIMEOUT);
	request_slot(x, true);
}

/* The second attempt starts early enough for its response to meet the latency
 * objective of the route, but between 0.8 and 1.5 times the overdue time after
 * the first. */
static void arm_hedge(struct cgw_exchange *x, const struct cgw_attempt *a)
{
	struct cgw_loop *l = x->gateway->loop;
	cg_ms now = cgw_loop_now(l);
	cg_ms remaining = x->arrived_at + x->route->objective_ms - now;
	cg_ms wait = CLAMP(remaining - a->typical_latency_ms -
				   a->typical_latency_ms / 10,
			   a->overdue_ms * 4 / 5, a->overdue_ms * 3 / 2);

	if (x->route->idempotent)
		cgw_timer_arm(l, &x->hedge_timer, now + wait);
}

static void start_attempt(struct cgw_exchange *x, struct cgw_attempt *a,
			  const struct cgw_slot_decision *d)
{
	struct cgw_call *c = &a->call;

	a->typical_latency_ms = d->u.grant.typical_latency_ms;
	a->overdue_ms = d->u.grant.overdue_ms;
	if (a->request_bytes)
		g_byte_array_unref(a->request_bytes);
	a->request_bytes = cgw_attempt_format_head(x, d->u.grant.server);
	g_strlcpy(c->address, d->u.grant.address, sizeof(c->address));
	c->request = a->request_bytes;
	c->request_body = &x->body;
	c->budget = &x->gateway->memory;
	c->id_header = x->id ? x->gateway->format->headers.request_id : NULL;
	c->id = x->id;
	c->head = !strcmp(x->method, "HEAD");
	c->connect_ms = CONNECT_MS;
	/* Without an id, a late response to an earlier request on the
	 * connection could not be told from the own one. */
	c->reuse_ms = !x->id		     ? 0
		      : x->route->idempotent ? REUSE_IDEMPOTENT_MS
					     : REUSE_NON_IDEMPOTENT_MS;
	c->deadline = x->deadline;
	c->unidentified_wait_ms = a->overdue_ms;
	c->done = on_call_done;
	x->possible_runs++;
	x->sent_attempts++;
	cg_count(CG_COUNTER_ATTEMPTS);
	cgw_call_start(x->gateway->client, c);
	arm_hedge(x, a);
}

/* Starts the attempt if a slot was granted. Otherwise an attempt in progress
 * continues, or the request is answered with the last error or refused. */
static void on_slot_decision(struct cgw_slot *s,
			     const struct cgw_slot_decision *d)
{
	struct cgw_attempt *a = caa_container_of(s, struct cgw_attempt, slot);
	struct cgw_exchange *x = a->exchange;

	x->waited_ms += cgw_loop_now(x->gateway->loop) - a->requested_at;
	if (d->kind == CGW_DECISION_GRANTED) {
		start_attempt(x, a, d);
		return;
	}
	a->active = false;
	/* Only one slot request is open at a time, so this is the last
	 * attempt. */
	g_assert(a == &x->attempts[x->attempt_count - 1]);
	x->attempt_count--;
	if (count_active_attempts(x)) {
		/* No second server is free; the first attempt continues. */
		cg_count_retry(CG_RETRY_DENIED_NO_SERVER);
		x->attempts[x->attempt_count - 1].abandoned = false;
		return;
	}
	if (x->attempt_count &&
	    x->attempts[x->attempt_count - 1].call.status >= 500 &&
	    x->attempts[x->attempt_count - 1].call.outcome ==
		    CGW_CALL_RESPONDED &&
	    !cgw_call_header(&x->attempts[x->attempt_count - 1].call,
			     x->gateway->format->headers.not_run)) {
		respond(x, &x->attempts[x->attempt_count - 1]);
		return;
	}
	refuse(x, d->u.refusal.reason, d->u.refusal.retry_after_ms);
}

static void request_slot(struct cgw_exchange *x, bool retry)
{
	struct cgw_attempt *a = &x->attempts[x->attempt_count];
	struct cgw_slot_request *q = &a->slot.request;
	const struct cgw_account *acc = x->account;

	memset(q, 0, sizeof(*q));
	g_strlcpy(q->service, x->service, sizeof(q->service));
	g_strlcpy(q->route, x->route->name, sizeof(q->route));
	g_strlcpy(q->account, acc ? acc->key : "", sizeof(q->account));
	q->idempotent = x->route->idempotent;
	q->retry = retry;
	q->charged = x->attempt_count > 0 && !retry;
	q->priority =
		acc && acc->priority >= 0 ? acc->priority : x->route->priority;
	q->objective_ms = x->route->objective_ms;
	q->deadline = cgw_gateway_slot_deadline(x->gateway, x->deadline);
	q->method = cgw_work_method(x->method);
	q->size_class = cgw_work_size_class(x->body.len);
	q->shape = cgw_work_path_shape(x->target, x->route->prefix);
	for (unsigned int i = 0;
	     i < x->attempt_count && q->avoid_count < CGW_AVOID_MAX; i++)
		g_strlcpy(q->avoid[q->avoid_count++],
			  x->attempts[i].slot.server, sizeof(q->avoid[0]));
	a->active = true;
	a->abandoned = false;
	a->requested_at = cgw_loop_now(x->gateway->loop);
	a->slot.decided = on_slot_decision;
	x->attempt_count++;
	cgw_slot_acquire(x->gateway->fleet, &a->slot);
}

void cgw_exchange_expire(struct cgw_exchange *x)
{
	if (x->done)
		return;
	if (x->possible_runs)
		x->may_have_run = true;
	for (unsigned int i = 0; i < x->attempt_count; i++)
		x->attempts[i].abandoned = true;
	refuse(x,
	       x->may_have_run ? CG_REASON_DEADLINE_EXCEEDED
			       : CG_REASON_QUEUE_TIMEOUT,
	       0);
}

static void on_deadline(struct cgw_timer *t)
{
	cgw_exchange_expire(
		caa_container_of(t, struct cgw_exchange, deadline_timer));
}

/* ---- filters ---- */

static enum filter_result filter_malformed(struct cgw_exchange *x)
{
	enum cg_reason reason = CG_OK;

	if (x->too_large)
		reason = CG_REASON_BODY_TOO_LARGE;
	else if (x->head_too_large)
		reason = CG_REASON_HEAD_TOO_LARGE;
	else if (x->malformed)
		reason = CG_REASON_BAD_REQUEST;
	if (reason == CG_OK)
		return FILTER_CONTINUE;
	refuse(x, reason, 0);
	return FILTER_STOP;
}

/* Refuses what arrives late in the grace time, as it might outlast it, and what
 * could not get a slot before the process exits. */
static enum filter_result filter_stopping(struct cgw_exchange *x)
{
	struct cgw_gateway *g = x->gateway;
	cg_ms now = cgw_loop_now(g->loop);

	if (x->too_late) {
		refuse(x, CG_REASON_STOPPING, 0);
		return FILTER_STOP;
	}
	if (!g->stopping || cgw_gateway_slot_deadline(g, now + 1) > now)
		return FILTER_CONTINUE;
	refuse(x, CG_REASON_QUEUE_TIMEOUT, 0);
	return FILTER_STOP;
}

static enum filter_result filter_room(struct cgw_exchange *x)
{
	if (cgw_exchange_reserve(x))
		return FILTER_CONTINUE;
	refuse(x, CG_REASON_MEMORY_FULL,
	       MEMORY_RETRY_MS + g_random_int_range(0, MEMORY_RETRY_SPREAD_MS));
	return FILTER_STOP;
}

/* Refuses what the configuration in force does not allow. Callers do not repeat a
 * request after 401 or 404, so neither is the answer if a newer configuration,
 * which this daemon does not have yet, may allow it. */
static enum filter_result refuse_unknown(struct cgw_exchange *x,
					 enum cg_reason reason)
{
	if (cgw_feed_newer_is_known(x->gateway->feed))
		refuse(x, CG_REASON_CONFIG_BEHIND, BEHIND_RETRY_AFTER_MS);
	else
		refuse(x, reason, 0);
	return FILTER_STOP;
}

static enum filter_result filter_route(struct cgw_exchange *x)
{
	struct cgw_gateway *g = x->gateway;
	struct cgw_table *t = cgw_feed_table(g->feed);
	char *path;

	if (!t) {
		refuse(x, CG_REASON_NO_CONFIG, PROOF_RETRY_AFTER_MS);
		return FILTER_STOP;
	}
	/* The one of the head check may be outdated. */
	cgw_table_unref(x->table);
	x->account = NULL;
	x->table = cgw_table_ref(t);
	path = g_strndup(x->target, strcspn(x->target, "?#"));
	x->route = cgw_table_find_route(t, x->host ? x->host : "", path);
	g_free(path);
	if (!x->route)
		return refuse_unknown(x, CG_REASON_ROUTE_UNKNOWN);
	x->deadline = x->arrived_at + x->route->timeout_ms;
	if (x->caller_timeout_ms)
		x->deadline =
			MIN(x->deadline, x->arrived_at + x->caller_timeout_ms);
	return FILTER_CONTINUE;
}

/* Refuses a request whose body has ended so late in the grace time that its server
 * would hardly have responded before the end. */
static enum filter_result filter_grace(struct cgw_exchange *x)
{
	const struct cgw_gateway *g = x->gateway;

	if (!g->refusing_new ||
	    cgw_gateway_grace_left(g) >= (cg_ms)x->route->objective_ms)
		return FILTER_CONTINUE;
	refuse(x, CG_REASON_STOPPING, 0);
	return FILTER_STOP;
}

static enum filter_result filter_key(struct cgw_exchange *x)
{
	struct cgw_gateway *g = x->gateway;
	cg_ms bound = g->settings.key_proof_ms;

	x->proof_age_ms = cgw_loop_now(g->loop) - cgw_feed_proved_at(g->feed);
	if (x->route->open || !cgw_table_has_accounts(x->table))
		return FILTER_CONTINUE;
	/* An outdated table may contain a revoked key or lack a new one. */
	if (bound &&
	    (double)x->proof_age_ms > PROOF_AGE_SHARE * (double)bound) {
		refuse(x, CG_REASON_KEYS_STALE, PROOF_RETRY_AFTER_MS);
		return FILTER_STOP;
	}
	x->account =
		x->bearer ? cgw_table_find_account_by_key(x->table, x->bearer)
			  : NULL;
	if (x->account)
		return FILTER_CONTINUE;
	if (x->bearer)
		return refuse_unknown(x, CG_REASON_KEY_UNKNOWN);
	refuse(x, CG_REASON_KEY_MISSING, 0);
	return FILTER_STOP;
}

static enum filter_result filter_slot(struct cgw_exchange *x)
{
	struct cgw_loop *l = x->gateway->loop;

	/* From here on the body is needed, and its sender waits. */
	x->memory.evict = NULL;
	x->service = cgw_route_pick_service(x->route, g_random_int());
	x->deadline_timer.fire = on_deadline;
	x->hedge_timer.fire = on_hedge;
	cgw_timer_arm(l, &x->deadline_timer,
		      x->deadline - MIN(RESPONSE_MARGIN_MS,
					x->route->timeout_ms / 10));
	request_slot(x, false);
	return FILTER_STOP;
}

bool cgw_exchange_check_head(struct cgw_exchange *x, cg_ms arrived_at)
{
	static const filter chain[] = {
		filter_malformed, filter_stopping, filter_route,
		filter_key,	  filter_room,
	};

	x->arrived_at = arrived_at;
	for (size_t i = 0; i < G_N_ELEMENTS(chain); i++)
		if (chain[i](x) == FILTER_STOP) {
			cg_count(CG_COUNTER_REQUESTS);
			return false;
		}
	return true;
}

void cgw_exchange_start(struct cgw_exchange *x, cg_ms arrived_at)
{
	static const filter chain[] = {
		filter_malformed, filter_stopping, filter_route, filter_grace,
		filter_key,	  filter_room,	   filter_slot,
	};

	cg_count(CG_COUNTER_REQUESTS);
	x->arrived_at = arrived_at;
	for (size_t i = 0; i < G_N_ELEMENTS(chain); i++)
		if (chain[i](x) == FILTER_STOP)
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
		     x->id ? x->id : "", x->sent_attempts,
		     (int)(cgw_loop_now(x->gateway->loop) - x->arrived_at));
}
