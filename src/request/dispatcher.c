#define CG_PART "dispatcher"
#include "internal/dispatcher.h"

#include <errno.h>
#include <string.h>

#include "celeryglade/counters.h"
#include "internal/connections.h"
#include "internal/logging.h"
#include "internal/wait.h"

/*
 * neon's calls block and have timeouts in whole seconds, so an attempt runs on
 * a worker thread while the timers of the request have a resolution of
 * milliseconds. The thread that moves a request from RUNNING to DECIDING
 * performs the next step: either the worker with a result or the timer of the
 * attempt. A worker that finishes after the timer discards its result and
 * closes its connection.
 *
 * The number of workers is limited per service, so that a degraded service
 * cannot use up the workers of others. The number of running attempts is
 * limited per server by the balancer, so that one hung server cannot use up the
 * workers of its service.
 */

#define WORKER_IDLE_TIMEOUT_MS 30000
/* Wait of a worker while all servers are at their limits. The end of an attempt
 * wakes it earlier. */
#define AT_LIMIT_WAIT_MS 10
#define ATTEMPT_ID_MAX	 (CG_REQUEST_ID_MAX + 8)

/* Queue and workers of one service. */
struct service_runtime {
	char name[CG_NAME_MAX + 1];
	struct cg_dispatcher *dispatcher;
	struct cg_retry_budget budget;
	pthread_mutex_t lock; /* Protects the fields below. */
	pthread_cond_t wake;
	struct cg_fair_queue *queue;
	uint32_t workers;
	uint32_t idle_workers;
};

struct cg_dispatcher {
	struct cg_proxy *proxy;
	pthread_mutex_t lock; /* Protects services and workers. */
	pthread_cond_t workers_done;
	GHashTable *services;
	uint32_t workers;
	_Atomic bool stopping;
};

/* An attempt; shared by its worker and its timer. */
struct attempt {
	_Atomic int refs;
	struct cg_timer timer;
	struct service_runtime *rt;
	struct cg_request *request;
	const struct cg_server *server;
	unsigned int attempt_number;
	cg_ms started;
	cg_ms timeout;
	cg_ms connection_opened_at;
	bool connection_reused;
	char id[ATTEMPT_ID_MAX + 1];
};

static void attempt_unref(struct attempt *a)
{
	if (atomic_fetch_sub(&a->refs, 1) > 1)
		return;
	cg_request_unref(a->request);
	g_free(a);
}

static const char *account_name(const struct cg_request *r)
{
	return r->account ? r->account->name : "";
}

static void free_runtime(void *p)
{
	struct service_runtime *rt = p;

	cg_retry_budget_destroy(&rt->budget);
	cg_fair_queue_free(rt->queue);
	pthread_cond_destroy(&rt->wake);
	pthread_mutex_destroy(&rt->lock);
	g_free(rt);
}

struct cg_dispatcher *cg_dispatcher_new(struct cg_proxy *p)
{
	struct cg_dispatcher *d = g_new0(struct cg_dispatcher, 1);

	d->proxy = p;
	pthread_mutex_init(&d->lock, NULL);
	pthread_cond_init(&d->workers_done, NULL);
	d->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_runtime);
	return d;
}

void cg_dispatcher_free(struct cg_dispatcher *d)
{
	GHashTableIter it;
	gpointer value;

	if (!d)
		return;
	atomic_store(&d->stopping, true);
	pthread_mutex_lock(&d->lock);
	g_hash_table_iter_init(&it, d->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct service_runtime *rt = value;

		pthread_mutex_lock(&rt->lock);
		pthread_cond_broadcast(&rt->wake);
		pthread_mutex_unlock(&rt->lock);
	}
	while (d->workers > 0)
		pthread_cond_wait(&d->workers_done, &d->lock);
	pthread_mutex_unlock(&d->lock);
	g_hash_table_destroy(d->services);
	pthread_cond_destroy(&d->workers_done);
	pthread_mutex_destroy(&d->lock);
	g_free(d);
}

static struct service_runtime *new_runtime(struct cg_dispatcher *d,
					   const struct cg_service *svc)
{
	struct service_runtime *rt = g_new0(struct service_runtime, 1);

	g_strlcpy(rt->name, svc->name, sizeof(rt->name));
	rt->dispatcher = d;
	cg_retry_budget_init(&rt->budget, cg_clock_now(d->proxy->clk));
	pthread_mutex_init(&rt->lock, NULL);
	cg_cond_init(&rt->wake);
	rt->queue = cg_fair_queue_new(svc->queue, svc->queue_per_account);
	return rt;
}

static struct service_runtime *get_runtime(struct cg_dispatcher *d,
					   const struct cg_service *svc)
{
	struct service_runtime *rt;

	pthread_mutex_lock(&d->lock);
	rt = g_hash_table_lookup(d->services, svc->name);
	if (!rt) {
		rt = new_runtime(d, svc);
		g_hash_table_insert(d->services, rt->name, rt);
	}
	pthread_mutex_unlock(&d->lock);
	return rt;
}

/* Waits for a wake-up with the lock of @rt held. Returns false on timeout. */
static bool wait_for_work(struct service_runtime *rt, cg_ms ms)
{
	struct timespec ts = cg_wait_deadline(ms);

	return pthread_cond_timedwait(&rt->wake, &rt->lock, &ts) != ETIMEDOUT;
}

static void charge(struct service_runtime *rt, const struct cg_request *r,
		   cg_ms ms)
{
	pthread_mutex_lock(&rt->lock);
	cg_fair_queue_charge(rt->queue, account_name(r), ms);
	pthread_cond_signal(&rt->wake);
	pthread_mutex_unlock(&rt->lock);
}

static void requeue(struct service_runtime *rt, struct cg_request *r)
{
	pthread_mutex_lock(&rt->lock);
	if (cg_request_transition(r, CG_PHASE_DECIDING, CG_PHASE_QUEUED)) {
		cg_request_ref(r);
		cg_fair_queue_push_front(rt->queue, account_name(r),
					 &r->queue_item);
		pthread_cond_signal(&rt->wake);
	}
	pthread_mutex_unlock(&rt->lock);
}

static struct cg_retry_decision
decide(struct attempt *a, enum cg_attempt_outcome outcome, int status)
{
	struct cg_request *r = a->request;
	cg_ms now = cg_clock_now(r->proxy->clk);
	struct cg_retry_input in = {
		.outcome = outcome,
		.status = status,
		.idempotent = r->route->idempotent,
		.time_remaining = r->deadline - now,
	};

	pthread_mutex_lock(&r->lock);
	r->attempt_pending = false;
	if (cg_attempt_may_have_run(outcome))
		r->may_have_run = true;
	in.may_have_run = r->may_have_run;
	in.attempts = r->attempts;
	pthread_mutex_unlock(&r->lock);
	return cg_retry_decide(&in, &a->rt->budget, now);
}

/* Responds, retries or refuses after an attempt. The caller has moved the
 * request to DECIDING. Takes ownership of the contents of @response. */
static void apply_decision(struct attempt *a, enum cg_attempt_outcome outcome,
			   struct cg_response *response)
{
	struct cg_request *r = a->request;
	struct cg_retry_decision decision =
		decide(a, outcome, response->status);

	if (decision.denied != CG_RETRY_COUNT)
		cg_count_retry(decision.denied);
	switch (decision.kind) {
	case CG_DECISION_RESPOND:
		cg_request_respond(r, response);
		return;
	case CG_DECISION_RETRY:
		cg_count_retry(decision.u.retry);
		requeue(a->rt, r);
		break;
	case CG_DECISION_REFUSE:
		cg_request_refuse(r, decision.u.refusal.reason);
		break;
	}
	cg_response_clear(response);
}

static enum cg_observation observation(enum cg_attempt_outcome outcome,
				       int status)
{
	switch (outcome) {
	case CG_ATTEMPT_RESPONDED:
		return status >= 500 ? CG_OBSERVED_FAILED : CG_OBSERVED_OK;
	case CG_ATTEMPT_NOT_SENT:
		return CG_OBSERVED_CONNECT_FAILED;
	case CG_ATTEMPT_SHED:
		return CG_OBSERVED_SHED;
	case CG_ATTEMPT_TIMED_OUT:
		return CG_OBSERVED_TIMEOUT;
	case CG_ATTEMPT_CONNECTION_LOST:
	case CG_ATTEMPT_TRUNCATED:
	case CG_ATTEMPT_MISMATCHED:
	case CG_ATTEMPT_TOO_LARGE:
		return CG_OBSERVED_FAILED;
	}
	return CG_OBSERVED_FAILED;
}

/* Retries or settles the request if the attempt has not ended. Its worker still
 * waits in cg_forward; finish_attempt later discards a late response. */
static void on_attempt_timeout(struct cg_timer *t)
{
	struct attempt *a = caa_container_of(t, struct attempt, timer);
	struct cg_request *r = a->request;
	struct cg_proxy *p = r->proxy;
	bool current;

	pthread_mutex_lock(&r->lock);
	current = r->phase == CG_PHASE_RUNNING &&
		  r->attempts == a->attempt_number;
	if (current)
		r->phase = CG_PHASE_DECIDING;
	pthread_mutex_unlock(&r->lock);
	if (current) {
		struct cg_response none = { 0 };

		cg_health_observe(p->health, a->server, CG_OBSERVED_TIMEOUT,
				  a->timeout);
		/* A device on the path may have lost the state of this
		 * connection, and with it that of older ones. */
		if (a->connection_reused)
			cg_connections_condemn(p->connections, a->server->name,
					       a->connection_opened_at);
		apply_decision(a, CG_ATTEMPT_TIMED_OUT, &none);
	}
	attempt_unref(a);
}

/* Moves the request to RUNNING. Returns NULL if it was settled or its deadline
 * has passed. */
static struct attempt *start_attempt(struct service_runtime *rt,
				     struct cg_request *r,
				     const struct cg_server *srv, cg_ms now)
{
	const struct cg_service *svc = r->route->service;
	struct attempt *a = NULL;

	pthread_mutex_lock(&r->lock);
	if (r->phase != CG_PHASE_QUEUED || r->deadline <= now)
		goto out;
	r->phase = CG_PHASE_RUNNING;
	r->attempt_pending = true;
	r->tried_servers[r->attempts++] = srv;
	a = g_new0(struct attempt, 1);
	atomic_init(&a->refs, 1);
	a->rt = rt;
	a->request = cg_request_ref(r);
	a->server = srv;
	a->attempt_number = r->attempts;
	a->started = now;
	a->timeout = MIN(svc->attempt_timeout_ms, r->deadline - now);
	g_snprintf(a->id, sizeof(a->id), "%s-%u", r->id, a->attempt_number);
	a->timer.fire = on_attempt_timeout;
out:
	pthread_mutex_unlock(&r->lock);
	return a;
}

static void finish_attempt(struct attempt *a, struct cg_connection *conn,
			   struct cg_attempt_result *res)
{
	struct cg_request *r = a->request;
	struct cg_proxy *p = r->proxy;
	enum cg_observation observed =
		observation(res->outcome, res->response.status);
	cg_ms now = cg_clock_now(p->clk);
	cg_ms duration = now - a->started;
	bool current;

	pthread_mutex_lock(&r->lock);
	current = r->phase == CG_PHASE_RUNNING &&
		  r->attempts == a->attempt_number;
	if (current)
		r->phase = CG_PHASE_DECIDING;
	pthread_mutex_unlock(&r->lock);

	/* The slot must be free before charge() wakes a worker that waits for
	 * one. */
	cg_balance_complete(p->balance, a->server, observed, duration, now);
	charge(a->rt, r, duration);
	if (res->draining)
		cg_health_mark_draining(p->health, a->server);
	if (!current) {
		cg_count(CG_COUNTER_LATE_RESPONSES);
		cg_connections_close(p->connections, conn);
		cg_response_clear(&res->response);
		return;
	}
	if (res->reusable)
		cg_connections_release(p->connections, conn);
	else
		cg_connections_close(p->connections, conn);
	cg_health_observe(p->health, a->server, observed, duration);
	if (observed == CG_OBSERVED_FAILED ||
	    observed == CG_OBSERVED_CONNECT_FAILED)
		cg_debug("attempt %s at %s failed: %s", a->id, a->server->name,
			 res->detail);
	apply_decision(a, res->outcome, &res->response);
}

/* Runs the attempt on this worker and releases it. */
static void run_attempt(struct attempt *a)
{
	struct cg_request *r = a->request;
	struct cg_proxy *p = r->proxy;
	struct cg_connection *conn;
	struct cg_attempt_result res;

	conn = cg_connections_acquire(p->connections, a->server,
				      !r->route->idempotent);
	a->connection_opened_at = cg_connection_opened_at(conn);
	a->connection_reused = cg_connection_reused(conn);
	atomic_fetch_add(&a->refs, 1);
	cg_timers_arm(p->timers, &a->timer, a->started + a->timeout);
	cg_count(CG_COUNTER_ATTEMPTS);
	cg_forward(conn, r, a->id, a->timeout, r->deadline - a->started, &res);
	/* The timer's reference is not the last one: this worker has its
	 * own. */
	if (cg_timers_cancel(p->timers, &a->timer))
		atomic_fetch_sub(&a->refs, 1);
	finish_attempt(a, conn, &res);
	attempt_unref(a);
}

static void refuse_if_queued(struct cg_request *r, enum cg_reason reason)
{
	if (cg_request_transition(r, CG_PHASE_QUEUED, CG_PHASE_DECIDING))
		cg_request_refuse(r, reason);
}

/* Picks a server that was not tried yet, or any server if all were tried. */
static int pick_server(struct cg_request *r, cg_ms now,
		       const struct cg_server **out)
{
	struct cg_proxy *p = r->proxy;
	const struct cg_service *svc = r->route->service;
	int rc = cg_balance_pick(p->balance, svc, p->health, r->tried_servers,
				 r->attempts, r->route->idempotent, now, out);

	if (rc < 0 && r->attempts > 0)
		rc = cg_balance_pick(p->balance, svc, p->health, NULL, 0,
				     r->route->idempotent, now, out);
	return rc;
}

/* Requeues a request for which no slot was free. A request that expired after
 * it was popped is dropped here, because cg_dispatcher_expire did not find it
 * in the queue. */
static void put_back(struct service_runtime *rt, struct cg_request *r)
{
	pthread_mutex_lock(&rt->lock);
	if (cg_request_transition(r, CG_PHASE_QUEUED, CG_PHASE_QUEUED)) {
		cg_request_ref(r);
		cg_fair_queue_put_back(rt->queue, account_name(r),
				       &r->queue_item);
	} else {
		cg_fair_queue_charge(rt->queue, account_name(r), 0);
	}
	pthread_mutex_unlock(&rt->lock);
}

/* Handles a popped request. Returns false if it was requeued because all
 * servers are at their limits. */
static bool serve_request(struct service_runtime *rt, struct cg_request *r)
{
	struct cg_proxy *p = r->proxy;
	cg_ms now = cg_clock_now(p->clk);
	const struct cg_server *srv = NULL;
	struct attempt *a;
	int rc = pick_server(r, now, &srv);

	if (rc > 0) {
		put_back(rt, r);
		return false;
	}
	if (rc < 0) {
		if (r->attempts > 0)
			cg_count_retry(CG_RETRY_DENIED_NO_SERVER);
		refuse_if_queued(r, CG_REASON_NO_SERVER);
		charge(rt, r, 0);
		return true;
	}
	a = start_attempt(rt, r, srv, now);
	if (!a) {
		cg_balance_cancel(p->balance, srv);
		charge(rt, r, 0);
		return true;
	}
	run_attempt(a);
	return true;
}

/* Returns the next request and the queue's reference to it, or NULL if the
 * worker should end. Called with the lock of @rt held. */
static struct cg_request *next_request(struct service_runtime *rt)
{
	for (;;) {
		struct cg_fair_item *item = cg_fair_queue_pop(rt->queue);
		bool woken;

		if (item)
			return caa_container_of(item, struct cg_request,
						queue_item);
		if (atomic_load(&rt->dispatcher->stopping))
			return NULL;
		rt->idle_workers++;
		woken = wait_for_work(rt, WORKER_IDLE_TIMEOUT_MS);
		rt->idle_workers--;
		if (!woken && cg_fair_queue_length(rt->queue) == 0)
			return NULL;
	}
}

static void *worker_main(void *arg)
{
	struct service_runtime *rt = arg;
	struct cg_dispatcher *d = rt->dispatcher;

	pthread_mutex_lock(&rt->lock);
	for (;;) {
		struct cg_request *r = next_request(rt);
		bool was_served;

		if (!r)
			break;
		pthread_mutex_unlock(&rt->lock);
		was_served = serve_request(rt, r);
		cg_request_unref(r);
		pthread_mutex_lock(&rt->lock);
		if (!was_served)
			wait_for_work(rt, AT_LIMIT_WAIT_MS);
	}
	rt->workers--;
	pthread_mutex_unlock(&rt->lock);

	pthread_mutex_lock(&d->lock);
	if (--d->workers == 0)
		pthread_cond_broadcast(&d->workers_done);
	pthread_mutex_unlock(&d->lock);
	return NULL;
}

static int start_worker(struct service_runtime *rt)
{
	struct cg_dispatcher *d = rt->dispatcher;
	pthread_t t;
	int rc;

	pthread_mutex_lock(&d->lock);
	rc = atomic_load(&d->stopping) ||
	     pthread_create(&t, NULL, worker_main, rt);
	if (!rc) {
		pthread_detach(t);
		d->workers++;
	}
	pthread_mutex_unlock(&d->lock);
	return rc ? -1 : 0;
}

int cg_dispatcher_enqueue(struct cg_dispatcher *d, struct cg_request *r)
{
	const struct cg_service *svc = r->route->service;
	struct service_runtime *rt = get_runtime(d, svc);
	bool add_worker;
	int rc = 0;

	cg_retry_budget_credit(&rt->budget);
	pthread_mutex_lock(&rt->lock);
	cg_fair_queue_set_limits(rt->queue, svc->queue, svc->queue_per_account);
	if (cg_request_transition(r, CG_PHASE_FILTERING, CG_PHASE_QUEUED)) {
		rc = cg_fair_queue_push(rt->queue, account_name(r),
					&r->queue_item);
		if (rc)
			cg_request_transition(r, CG_PHASE_QUEUED,
					      CG_PHASE_FILTERING);
		else
			cg_request_ref(r);
	}
	/* Idle workers that were signalled earlier may not have woken up yet,
	 * so their number is compared with the length of the whole queue. */
	add_worker = cg_fair_queue_length(rt->queue) > rt->idle_workers &&
		     rt->workers < svc->workers;
	if (add_worker)
		rt->workers++;
	pthread_cond_signal(&rt->wake);
	pthread_mutex_unlock(&rt->lock);
	if (add_worker && start_worker(rt)) {
		pthread_mutex_lock(&rt->lock);
		rt->workers--;
		pthread_mutex_unlock(&rt->lock);
	}
	return rc;
}

void cg_dispatcher_expire(struct cg_dispatcher *d, struct cg_request *r)
{
	struct service_runtime *rt = get_runtime(d, r->route->service);
	bool removed;

	cg_request_expire(r);
	pthread_mutex_lock(&rt->lock);
	removed = cg_fair_queue_remove(rt->queue, &r->queue_item);
	pthread_mutex_unlock(&rt->lock);
	if (removed)
		cg_request_unref(r);
}

struct json_object *cg_dispatcher_status(struct cg_dispatcher *d)
{
	struct json_object *o = json_object_new_object();
	GHashTableIter it;
	gpointer value;

	pthread_mutex_lock(&d->lock);
	g_hash_table_iter_init(&it, d->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct service_runtime *rt = value;
		struct json_object *s = json_object_new_object();

		pthread_mutex_lock(&rt->lock);
		json_object_object_add(
			s, "waiting",
			json_object_new_int64(cg_fair_queue_length(rt->queue)));
		json_object_object_add(s, "workers",
				       json_object_new_int64(rt->workers));
		pthread_mutex_unlock(&rt->lock);
		json_object_object_add(o, rt->name, s);
	}
	pthread_mutex_unlock(&d->lock);
	return o;
}
