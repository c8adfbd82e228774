#define CG_PART "health"
#include "health_internal.h"

#include <stdlib.h>
#include <string.h>

#include "celeryglade/counters.h"
#include "internal/logging.h"
#include "internal/wait.h"

/* A service without traffic for this time has no local evidence to evaluate,
 * unless a server is avoided. */
#define ACTIVE_MS 60000
/* Number of hash buckets. Fixed, since resizing would need a thread of liburcu.
 * At the target of 7,100 servers the table is half full and takes 128 KB. */
#define SERVER_BUCKETS 16384

static void wake_thread(struct cg_health *h)
{
	pthread_mutex_lock(&h->wake_lock);
	pthread_cond_broadcast(&h->wake);
	pthread_mutex_unlock(&h->wake_lock);
}

static void handle_new_document(void *arg, enum cg_doc doc, uint64_t version,
				GBytes *content)
{
	wake_thread(arg);
}

struct cg_health *cg_health_new(const struct cg_settings *s,
				struct cg_clock *clk, struct cg_peer *peer,
				struct cg_members *members,
				struct cg_shards *shards, struct cg_docs *docs,
				struct cg_notices *notices)
{
	struct cg_health *h = g_new0(struct cg_health, 1);

	h->settings = s;
	h->clk = clk;
	h->peer = peer;
	h->members = members;
	h->shards = shards;
	h->docs = docs;
	h->notices = notices;
	h->servers =
		cds_lfht_new_flavor(SERVER_BUCKETS, SERVER_BUCKETS,
				    SERVER_BUCKETS, 0, &urcu_bp_flavor, NULL);
	h->services = g_hash_table_new(g_str_hash, g_str_equal);
	pthread_rwlock_init(&h->services_lock, NULL);
	pthread_mutex_init(&h->wake_lock, NULL);
	cg_cond_init(&h->wake);
	cg_docs_add_listener(docs, handle_new_document, h);
	return h;
}

int health_call(struct cg_health *h, const struct sockaddr_in *to,
		enum cg_msg_kind kind, GByteArray *body, cg_peer_done done,
		void *arg)
{
	pthread_mutex_lock(&h->wake_lock);
	h->calls++;
	pthread_mutex_unlock(&h->wake_lock);
	if (!cg_peer_submit(h->peer, to, kind, body->data, body->len,
			    CALL_TIMEOUT_MS, done, arg))
		return 0;
	health_call_done(h);
	return -1;
}

void health_call_done(struct cg_health *h)
{
	pthread_mutex_lock(&h->wake_lock);
	h->calls--;
	pthread_cond_broadcast(&h->wake);
	pthread_mutex_unlock(&h->wake_lock);
}

bool cg_health_idle(struct cg_health *h)
{
	bool idle;

	pthread_mutex_lock(&h->wake_lock);
	idle = !h->calls;
	pthread_mutex_unlock(&h->wake_lock);
	return idle;
}

/* Updates the drain state of a server. When the instance list shows a new start
 * of the server, the drain notice ends and the server warms up. */
static void update_drain_state(struct cg_health *h, struct health_service *svc,
			       struct health_server *s, cg_ms now)
{
	bool noticed = cg_notices_is_draining(h->notices, s->name);

	if (noticed) {
		s->drain_noticed = true;
		atomic_store(&s->draining, true);
	} else if (s->drain_noticed) {
		s->drain_noticed = false;
		s->warmup_from = now;
		s->warmup_until = now + svc->ramp_ms;
		atomic_store(&s->draining, false);
	} else if (atomic_load(&s->draining)) {
		/* The server announced the drain in a response; publish the
		 * notice. */
		cg_notices_announce_drain(h->notices, s->name);
		s->drain_noticed = true;
	}
}

/* Moves the counts recorded by the request path to the local evidence and to
 * the unsent counts. Returns the number of observations. */
static uint32_t collect_server_counts(struct health_service *svc,
				      struct health_server *s, uint32_t self,
				      cg_ms now)
{
	struct cg_sample x = { 0 };
	uint32_t n;

	if (!atomic_exchange(&s->has_counts, 0))
		return 0;
	for (int i = 0; i < CG_LATENCY_BUCKETS; i++)
		if (atomic_load_explicit(&s->count[i], memory_order_relaxed))
			x.answered[i] = atomic_exchange(&s->count[i], 0);
	x.failed = atomic_exchange(&s->count[COUNT_FAILED], 0);
	x.shed = atomic_exchange(&s->count[COUNT_SHED], 0);
	n = x.failed + x.shed + cg_sample_count_answered(&x);
	/* These counts are discarded here rather than by the coordinator, which
	 * may receive the digest after the drain or the warm-up has ended. */
	if (s->drain_noticed || now < s->warmup_until + WARMUP_MARGIN_MS)
		return n;
	cg_ejection_observe(svc->local, self, s->id, &x, now);
	cg_sample_add(&s->unsent, &x);
	return n;
}

static bool collect_counts(struct cg_health *h, struct health_service *svc,
			   cg_ms now)
{
	uint32_t self, n = 0;

	cg_ejection_begin_digest(svc->local, h->settings->instance, 1,
				 h->settings->failure_domain,
				 ++svc->local_sequence, now, &self);
	for (size_t i = 0; i < svc->n; i++) {
		update_drain_state(h, svc, svc->servers[i], now);
		n += collect_server_counts(svc, svc->servers[i], self, now);
	}
	svc->unsent_count += n;
	if (n)
		svc->traffic_at = now;
	return n > 0;
}

static void evaluate_local(struct health_service *svc, cg_ms now)
{
	struct cg_ejection_capacity c;
	struct cg_verdict avoided;

	if (now - ACTIVE_MS > svc->traffic_at &&
	    !cg_ejection_verdicts(svc->local, now, &avoided, 1))
		return;
	cg_ejection_tick(svc->local, now);
	cg_ejection_capacity(svc->local, now, &c);
	if (c.ejections > svc->counted_avoidances)
		cg_count_add(CG_COUNTER_LOCAL_AVOIDANCES,
			     c.ejections - svc->counted_avoidances);
	svc->counted_avoidances = c.ejections;
}

static bool tick_service(struct cg_health *h, struct health_service *svc,
			 struct digest_batches *b, cg_ms now)
{
	bool active;

	pthread_mutex_lock(&svc->lock);
	active = collect_counts(h, svc, now);
	coordinator_tick(h, svc, now);
	digest_service(b, svc, now);
	health_publish(h, svc, now);
	evaluate_local(svc, now);
	health_publish(h, svc, now);
	pthread_mutex_unlock(&svc->lock);
	return active || svc->unsent_count;
}

void cg_health_tick(struct cg_health *h)
{
	cg_ms now = cg_clock_now(h->clk);
	struct digest_batches *b;
	uint32_t active = 0;
	GHashTableIter it;
	gpointer v;

	health_sync_config(h, now);
	b = digest_begin(h);
	pthread_rwlock_rdlock(&h->services_lock);
	g_hash_table_iter_init(&it, h->services);
	while (g_hash_table_iter_next(&it, NULL, &v))
		active += tick_service(h, v, b, now);
	g_hash_table_iter_init(&it, h->services);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct health_service *svc = v;

		pthread_mutex_lock(&svc->lock);
		digest_join_batch(b, svc, now);
		pthread_mutex_unlock(&svc->lock);
	}
	digest_end(b);
	pthread_rwlock_unlock(&h->services_lock);
	h->active_services = active;
}

/* Waits for the next tick. A new configuration is applied immediately. */
static bool wait_for_tick(struct cg_health *h)
{
	struct timespec until = cg_wait_deadline(HEALTH_TICK_MS);
	bool stop;
	int rc = 0;

	pthread_mutex_lock(&h->wake_lock);
	while (!h->stopping && !rc) {
		rc = pthread_cond_timedwait(&h->wake, &h->wake_lock, &until);
		if (!rc && !h->stopping) {
			pthread_mutex_unlock(&h->wake_lock);
			health_sync_config(h, cg_clock_now(h->clk));
			pthread_mutex_lock(&h->wake_lock);
		}
	}
	stop = h->stopping;
	pthread_mutex_unlock(&h->wake_lock);
	return !stop;
}

static void *run(void *arg)
{
	struct cg_health *h = arg;

	do {
		cg_health_tick(h);
	} while (wait_for_tick(h));
	return NULL;
}

int cg_health_start(struct cg_health *h)
{
	if (pthread_create(&h->thread, NULL, run, h))
		return -1;
	h->running = true;
	return 0;
}

void cg_health_stop(struct cg_health *h)
{
	pthread_mutex_lock(&h->wake_lock);
	h->stopping = true;
	pthread_cond_broadcast(&h->wake);
	pthread_mutex_unlock(&h->wake_lock);
	if (h->running)
		pthread_join(h->thread, NULL);
	h->running = false;
	pthread_mutex_lock(&h->wake_lock);
	while (h->calls)
		pthread_cond_wait(&h->wake, &h->wake_lock);
	pthread_mutex_unlock(&h->wake_lock);
}

void cg_health_free(struct cg_health *h)
{
	if (!h)
		return;
	health_free_services(h);
	cds_lfht_destroy(h->servers, NULL);
	g_hash_table_unref(h->services);
	pthread_rwlock_destroy(&h->services_lock);
	pthread_mutex_destroy(&h->wake_lock);
	pthread_cond_destroy(&h->wake);
	g_free(h);
}

static unsigned int counter_index(enum cg_observation o, cg_ms latency)
{
	switch (o) {
	case CG_OBSERVED_OK:
		return cg_latency_bucket(latency);
	case CG_OBSERVED_FAILED:
	case CG_OBSERVED_TIMEOUT:
	case CG_OBSERVED_CONNECT_FAILED:
		return COUNT_FAILED;
	case CG_OBSERVED_SHED:
		return COUNT_SHED;
	}
	abort();
}

void cg_health_observe(struct cg_health *h, const struct cg_server *srv,
		       enum cg_observation o, cg_ms latency)
{
	struct health_server *s;

	urcu_bp_read_lock();
	s = health_find_server(h, srv);
	if (s) {
		atomic_fetch_add_explicit(&s->count[counter_index(o, latency)],
					  1, memory_order_relaxed);
		/* With release order, a collector that sees the flag also sees
		 * the count. */
		atomic_store_explicit(&s->has_counts, 1, memory_order_release);
	}
	urcu_bp_read_unlock();
}

void cg_health_mark_draining(struct cg_health *h, const struct cg_server *srv)
{
	struct health_server *s;
	bool first = false;

	urcu_bp_read_lock();
	s = health_find_server(h, srv);
	if (s)
		first = !atomic_exchange(&s->draining, true);
	urcu_bp_read_unlock();
	if (first)
		cg_notices_announce_drain(h->notices, srv->name);
}

void cg_health_server_state(struct cg_health *h, const struct cg_server *srv,
			    bool idempotent, struct cg_health_server_state *out)
{
	const struct health_server *s;

	*out = (struct cg_health_server_state){ .weight = 1000 };
	urcu_bp_read_lock();
	s = health_find_server(h, srv);
	if (s) {
		out->draining = atomic_load_explicit(&s->draining,
						     memory_order_relaxed);
		out->weight = atomic_load_explicit(
			idempotent ? &s->weight_idempotent : &s->weight_other,
			memory_order_relaxed);
		out->fallback_rank = atomic_load_explicit(&s->fallback_rank,
							  memory_order_relaxed);
	}
	urcu_bp_read_unlock();
	if (out->draining)
		out->weight = 0;
}

unsigned int cg_health_weight(struct cg_health *h, const struct cg_server *srv,
			      bool idempotent)
{
	struct cg_health_server_state v;

	cg_health_server_state(h, srv, idempotent, &v);
	return v.weight;
}
