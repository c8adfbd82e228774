#define CG_PART "filters"
#include "internal/proxy.h"

#include <stdlib.h>

#include "celeryglade/counters.h"
#include "internal/claims.h"
#include "internal/dispatcher.h"
#include "internal/logging.h"

/*
 * The filters run in the order of the array chain. A filter that returns
 * FILTER_WAIT has arranged that cg_filters_continue() is called later, on any
 * thread, and passes the chain's reference to the request on to that call. The
 * deadline may settle a request while it waits, so the phase is checked before
 * each filter.
 */

enum filter_kind {
	FILTER_ROUTE,
	FILTER_KEY,
	FILTER_RATE,
	FILTER_CLAIM,
	FILTER_QUEUE,
};

enum filter_result_kind {
	FILTER_CONTINUE,
	FILTER_WAIT,
	FILTER_REFUSE,
};

struct filter_result {
	enum filter_result_kind kind;
	union {
		enum cg_reason refusal;
	} u;
};

static const enum filter_kind chain[] = {
	FILTER_ROUTE, FILTER_KEY, FILTER_RATE, FILTER_CLAIM, FILTER_QUEUE,
};
#define CHAIN_LENGTH (sizeof(chain) / sizeof(chain[0]))

static struct filter_result continue_chain(void)
{
	return (struct filter_result){ .kind = FILTER_CONTINUE };
}

static struct filter_result wait_for_callback(void)
{
	return (struct filter_result){ .kind = FILTER_WAIT };
}

static struct filter_result refuse(enum cg_reason reason)
{
	return (struct filter_result){ .kind = FILTER_REFUSE,
				       .u.refusal = reason };
}

static void on_deadline(struct cg_timer *t)
{
	struct cg_request *r =
		caa_container_of(t, struct cg_request, deadline_timer);

	cg_dispatcher_expire(r->proxy->dispatcher, r);
	cg_request_unref(r);
}

static enum cg_reason find_route(const struct cg_request *r,
				 struct cg_config *config,
				 const struct cg_route **out)
{
	bool method_refused = false;

	if (!config)
		return CG_REASON_NO_CONFIG;
	*out = cg_config_find_route(config, r->method, r->path,
				    &method_refused);
	if (*out)
		return CG_OK;
	return method_refused ? CG_REASON_METHOD_NOT_ALLOWED
			      : CG_REASON_ROUTE_UNKNOWN;
}

static struct filter_result filter_route(struct cg_request *r)
{
	enum cg_reason reason;

	r->config = cg_docs_config(r->proxy->docs);
	reason = find_route(r, r->config, &r->route);
	if (reason != CG_OK)
		return refuse(reason);
	r->deadline = r->arrived + r->route->deadline_ms;
	r->deadline_timer.fire = on_deadline;
	cg_request_ref(r);
	cg_timers_arm(r->proxy->timers, &r->deadline_timer, r->deadline);
	return continue_chain();
}

static bool is_account_allowed(const struct cg_route *route,
			       const struct cg_account *a)
{
	if (!route->accounts)
		return true;
	for (size_t i = 0; i < route->account_count; i++)
		if (route->accounts[i] == a)
			return true;
	return false;
}

static enum cg_reason check_key(const struct cg_request *r,
				struct cg_config *config,
				const struct cg_route *route,
				const struct cg_account **out)
{
	uint8_t digest[CG_DIGEST_SIZE];

	*out = NULL;
	if (route->open)
		return CG_OK;
	if (!r->api_key)
		return CG_REASON_KEY_MISSING;
	if (!cg_trust_accepts_keys(r->proxy->settings, r->proxy->clk,
				   r->proxy->docs, r->proxy->members))
		return CG_REASON_KEYS_STALE;
	cg_key_digest(r->api_key, digest);
	*out = cg_config_find_account_by_key(config, digest);
	if (!*out || cg_notices_is_revoked(r->proxy->notices, digest))
		return CG_REASON_KEY_UNKNOWN;
	if (!is_account_allowed(route, *out))
		return CG_REASON_ACCOUNT_FORBIDDEN;
	return CG_OK;
}

static struct filter_result filter_key(struct cg_request *r)
{
	enum cg_reason reason = check_key(r, r->config, r->route, &r->account);

	return reason == CG_OK ? continue_chain() : refuse(reason);
}

enum cg_reason cg_filters_check_head(const struct cg_request *r)
{
	struct cg_config *config = cg_docs_config(r->proxy->docs);
	const struct cg_route *route = NULL;
	const struct cg_account *account;
	enum cg_reason reason = find_route(r, config, &route);

	if (reason == CG_OK)
		reason = check_key(r, config, route, &account);
	if (config)
		cg_config_unref(config);
	return reason;
}

static enum cg_reason refusal_reason(enum cg_rate_result result)
{
	switch (result) {
	case CG_RATE_ADMITTED:
		return CG_OK;
	case CG_RATE_REFUSED:
		return CG_REASON_RATE_EXCEEDED;
	case CG_RATE_UNAVAILABLE:
		return CG_REASON_RATE_UNAVAILABLE;
	case CG_RATE_WAIT:
		break;
	}
	abort();
}

static void on_rate_result(struct cg_rate_waiter *w, enum cg_rate_result result)
{
	struct cg_request *r =
		caa_container_of(w, struct cg_request, rate_waiter);
	enum cg_reason reason = refusal_reason(result);

	if (reason == CG_OK)
		cg_filters_continue(r);
	else
		cg_request_refuse(r, reason);
	cg_request_unref(r);
}

static struct filter_result filter_rate(struct cg_request *r)
{
	enum cg_rate_result result;

	if (!r->account)
		return continue_chain();
	r->rate_waiter.done = on_rate_result;
	cg_request_ref(r);
	result = cg_rates_admit(r->proxy->rates, r->account, &r->rate_waiter);
	if (result == CG_RATE_WAIT)
		return wait_for_callback();
	cg_request_unref(r);
	if (result == CG_RATE_ADMITTED)
		return continue_chain();
	return refuse(refusal_reason(result));
}

static struct filter_result filter_claim(struct cg_request *r)
{
	if (r->route->idempotent || !r->idempotency_key)
		return continue_chain();
	if (cg_claim_start(r->proxy->claims, r))
		return refuse(CG_REASON_CLAIM_UNAVAILABLE);
	return wait_for_callback();
}

static struct filter_result filter_queue(struct cg_request *r)
{
	if (cg_dispatcher_enqueue(r->proxy->dispatcher, r))
		return refuse(CG_REASON_QUEUE_FULL);
	return wait_for_callback();
}

static struct filter_result run_filter(enum filter_kind kind,
				       struct cg_request *r)
{
	switch (kind) {
	case FILTER_ROUTE:
		return filter_route(r);
	case FILTER_KEY:
		return filter_key(r);
	case FILTER_RATE:
		return filter_rate(r);
	case FILTER_CLAIM:
		return filter_claim(r);
	case FILTER_QUEUE:
		return filter_queue(r);
	}
	abort();
}

static bool is_settled(struct cg_request *r)
{
	bool settled;

	pthread_mutex_lock(&r->lock);
	settled = r->phase == CG_PHASE_SETTLED;
	pthread_mutex_unlock(&r->lock);
	return settled;
}

static void run_chain(struct cg_request *r)
{
	while (r->next_filter < CHAIN_LENGTH && !is_settled(r)) {
		/* Advanced before the filter runs: the chain may be continued
		 * on another thread before a filter that waits returns here. */
		enum filter_kind kind = chain[r->next_filter++];
		struct filter_result res = run_filter(kind, r);

		switch (res.kind) {
		case FILTER_CONTINUE:
			break;
		case FILTER_WAIT:
			return;
		case FILTER_REFUSE:
			cg_request_refuse(r, res.u.refusal);
			return;
		}
	}
}

void cg_filters_start(struct cg_request *r)
{
	cg_count(CG_COUNTER_REQUESTS);
	r->next_filter = 0;
	r->phase = CG_PHASE_FILTERING;
	cg_request_ref(r);
	if (r->input_fault != CG_OK)
		cg_request_refuse(r, r->input_fault);
	else
		run_chain(r);
	cg_request_unref(r);
}

void cg_filters_continue(struct cg_request *r)
{
	run_chain(r);
}
