#include "internal/request.h"

#include <string.h>

#include "celeryglade/counters.h"
#include "internal/claims.h"
#include "internal/proxy.h"

/* Requests without room return spread over this time. */
#define MEMORY_RETRY_MAX_S 4

static void clear_header(void *p)
{
	struct cg_header *h = p;

	g_free(h->name);
	g_free(h->value);
}

GArray *cg_headers_new(void)
{
	GArray *a = g_array_new(FALSE, FALSE, sizeof(struct cg_header));

	g_array_set_clear_func(a, clear_header);
	return a;
}

void cg_headers_add(GArray *headers, const char *name, const char *value)
{
	struct cg_header h = { g_strdup(name), g_strdup(value) };

	g_array_append_val(headers, h);
}

void cg_response_clear(struct cg_response *r)
{
	if (r->headers)
		g_array_unref(r->headers);
	if (r->body)
		g_bytes_unref(r->body);
	cg_response_memory_free(r->memory);
	memset(r, 0, sizeof(*r));
}

static char *path_of_target(const char *target)
{
	return g_strndup(target, strcspn(target, "?#"));
}

struct cg_request *cg_request_new(struct cg_proxy *p, const char *target)
{
	struct cg_request *r = g_new0(struct cg_request, 1);
	uint32_t id[4];

	atomic_init(&r->refs, 1);
	r->proxy = p;
	r->target = g_strdup(target);
	r->path = path_of_target(target);
	r->headers = cg_headers_new();
	for (int i = 0; i < 4; i++)
		id[i] = g_random_int();
	g_snprintf(r->id, sizeof(r->id), "%08x%08x%08x%08x", id[0], id[1],
		   id[2], id[3]);
	r->phase = CG_PHASE_READING;
	pthread_mutex_init(&r->lock, NULL);
	atomic_fetch_add(&p->running, 1);
	return r;
}

struct cg_request *cg_request_ref(struct cg_request *r)
{
	atomic_fetch_add(&r->refs, 1);
	return r;
}

static void wipe_and_free(char *secret)
{
	if (secret)
		explicit_bzero(secret, strlen(secret));
	g_free(secret);
}

void cg_request_unref(struct cg_request *r)
{
	if (atomic_fetch_sub(&r->refs, 1) > 1)
		return;
	atomic_fetch_sub(&r->proxy->running, 1);
	cg_response_clear(&r->response);
	cg_claim_free(r->claim);
	if (r->config)
		cg_config_unref(r->config);
	g_array_unref(r->headers);
	cg_request_memory_drop(r);
	wipe_and_free(r->api_key);
	g_free(r->idempotency_key);
	g_free(r->method_text);
	g_free(r->target);
	g_free(r->path);
	pthread_mutex_destroy(&r->lock);
	g_free(r);
}

bool cg_request_transition(struct cg_request *r, enum cg_request_phase from,
			   enum cg_request_phase to)
{
	bool ok;

	pthread_mutex_lock(&r->lock);
	ok = r->phase == from;
	if (ok)
		r->phase = to;
	pthread_mutex_unlock(&r->lock);
	return ok;
}

/* Called once, after the request was settled. The caller holds a reference, so
 * the timer's reference is not the last one. */
static void complete_settlement(struct cg_request *r)
{
	if (cg_timers_cancel(r->proxy->timers, &r->deadline_timer))
		atomic_fetch_sub(&r->refs, 1);
	if (r->claim)
		cg_claim_finish(r->proxy->claims, r);
	if (r->suspended)
		cg_front_resume(r);
}

bool cg_request_respond(struct cg_request *r, struct cg_response *response)
{
	bool first;

	pthread_mutex_lock(&r->lock);
	first = r->phase != CG_PHASE_SETTLED;
	if (first) {
		r->phase = CG_PHASE_SETTLED;
		r->response = *response;
	}
	pthread_mutex_unlock(&r->lock);
	if (!first) {
		cg_response_clear(response);
		return false;
	}
	cg_count(CG_COUNTER_ANSWERED);
	complete_settlement(r);
	return true;
}

static GBytes *refusal_body(const struct cg_request *r)
{
	char *text =
		g_strdup_printf("{\"reason\":\"%s\",%s\"request_id\":\"%s\"}\n",
				cg_reason_name(r->reason),
				r->not_run ? "\"not_run\":true," : "", r->id);

	return g_bytes_new_take(text, strlen(text));
}

static void fill_refusal(struct cg_request *r, enum cg_reason reason)
{
	char retry_after[16];

	r->phase = CG_PHASE_SETTLED;
	r->reason = reason;
	r->not_run = cg_reason_proves_not_run(reason) && !r->may_have_run &&
		     !r->attempt_pending;
	r->response.status = cg_reason_status(reason);
	r->response.headers = cg_headers_new();
	cg_headers_add(r->response.headers, "Content-Type", "application/json");
	cg_headers_add(r->response.headers, "Celeryglade-Outcome",
		       r->not_run ? "not-run" : "unknown");
	cg_headers_add(r->response.headers, "Celeryglade-Reason",
		       cg_reason_name(reason));
	if (reason == CG_REASON_KEY_MISSING || reason == CG_REASON_KEY_UNKNOWN)
		cg_headers_add(r->response.headers, "WWW-Authenticate",
			       "Bearer");
	if (reason == CG_REASON_RATE_EXCEEDED)
		cg_headers_add(r->response.headers, "Retry-After", "1");
	if (reason == CG_REASON_MEMORY_FULL) {
		g_snprintf(retry_after, sizeof(retry_after), "%d",
			   g_random_int_range(1, MEMORY_RETRY_MAX_S + 1));
		cg_headers_add(r->response.headers, "Retry-After", retry_after);
	}
	r->response.body = refusal_body(r);
}

static bool complete_refusal(struct cg_request *r, bool first,
			     enum cg_reason reason)
{
	if (!first)
		return false;
	cg_count_refusal(reason);
	complete_settlement(r);
	return true;
}

bool cg_request_refuse(struct cg_request *r, enum cg_reason reason)
{
	bool first;

	pthread_mutex_lock(&r->lock);
	first = r->phase != CG_PHASE_SETTLED;
	if (first)
		fill_refusal(r, reason);
	pthread_mutex_unlock(&r->lock);
	return complete_refusal(r, first, reason);
}

bool cg_request_expire(struct cg_request *r)
{
	enum cg_reason reason;
	bool first;

	/* The reason is selected under the lock: an attempt may start
	 * concurrently, and then "not run" would be wrong. */
	pthread_mutex_lock(&r->lock);
	first = r->phase != CG_PHASE_SETTLED;
	reason = r->attempt_pending || r->may_have_run
			 ? CG_REASON_DEADLINE_EXCEEDED
			 : CG_REASON_QUEUE_TIMEOUT;
	if (first)
		fill_refusal(r, reason);
	pthread_mutex_unlock(&r->lock);
	return complete_refusal(r, first, reason);
}
