#define CG_PART "balance"
#include "internal/balance.h"

#include <math.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "celeryglade/limit.h"
#include "celeryglade/subset.h"

/* Random choices before all servers are considered. */
#define MAX_DRAWS 4
/* Weight of a new sample in the moving average of a server's latency. In the
 * average of the whole service the weight is a quarter of this. */
#define LATENCY_GAIN 0.2
/* An average without a new sample for this time is discarded. */
#define LATENCY_EXPIRY_MS 10000
/* Limits the effect of latency on the choice, so that a slow but working server
 * keeps some load until health checks decide on its ejection. */
#define LATENCY_PENALTY_MAX 4.0
/* A failure counts as a response that took at least this multiple of the
 * service's average latency. Otherwise a server that fails fast would attract
 * load. */
#define FAILURE_LATENCY_FACTOR 3.0

struct server_state {
	char name[CG_NAME_MAX + 1];
	uint32_t running;
	struct cg_concurrency_limit limit;
	double latency;
	cg_ms latency_at;
	uint64_t rank; /* The subset has the servers of lowest rank. */
};

/* State of one service. servers[i] belongs to servers[i] of the configuration
 * that was used last. */
struct service_state {
	char name[CG_NAME_MAX + 1];
	pthread_mutex_t lock;
	struct server_state *servers;
	uint32_t *ranked; /* Indexes into servers, lowest rank first. */
	size_t n;
	size_t daemons; /* Number of daemons that subset was computed for. */
	size_t subset;
	double latency; /* Moving average over all servers, in ms. */
	uint64_t rng;
	bool configured;
};

struct cg_balance {
	char instance[CG_NAME_MAX + 1];
	uint64_t seed;
	_Atomic size_t daemons;
	pthread_rwlock_t services_lock;
	GHashTable *services;
};

/* State of one selection of a server. */
struct selection {
	struct service_state *st;
	const struct cg_service *svc;
	struct cg_health *h;
	const struct cg_server *const *exclude;
	size_t n_exclude;
	bool idempotent;
	cg_ms now;
	/* Results. */
	bool at_limit; /* A usable server was at its limit. */
	const struct cg_server *best;
	double best_score;
	const struct cg_server *fallback; /* Least unhealthy server. */
	unsigned int fallback_rank;
	bool fallback_has_slot; /* fallback is below its limit. */
};

static uint64_t next_random(struct service_state *st)
{
	st->rng ^= st->rng >> 12;
	st->rng ^= st->rng << 25;
	st->rng ^= st->rng >> 27;
	return st->rng * UINT64_C(2685821657736338717) >> 32;
}

static void free_service_state(gpointer p)
{
	struct service_state *st = p;

	pthread_mutex_destroy(&st->lock);
	g_free(st->servers);
	g_free(st->ranked);
	g_free(st);
}

struct cg_balance *cg_balance_new(const char *instance, uint64_t seed)
{
	struct cg_balance *b = g_new0(struct cg_balance, 1);

	g_strlcpy(b->instance, instance, sizeof(b->instance));
	b->seed = seed;
	atomic_store(&b->daemons, 1);
	pthread_rwlock_init(&b->services_lock, NULL);
	b->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_service_state);
	return b;
}

void cg_balance_free(struct cg_balance *b)
{
	if (!b)
		return;
	g_hash_table_unref(b->services);
	pthread_rwlock_destroy(&b->services_lock);
	g_free(b);
}

void cg_balance_set_daemons(struct cg_balance *b, size_t daemons)
{
	atomic_store(&b->daemons, daemons ? daemons : 1);
}

void cg_balance_prune(struct cg_balance *b, const struct cg_config *c)
{
	const struct cg_service *svc;
	struct service_state *st;
	GHashTableIter it;
	gpointer v;

	pthread_rwlock_wrlock(&b->services_lock);
	g_hash_table_iter_init(&it, b->services);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct service_state *)v)->configured = false;
	for (size_t i = 0; (svc = cg_config_service_at(c, i)); i++) {
		st = g_hash_table_lookup(b->services, svc->name);
		if (st)
			st->configured = true;
	}
	g_hash_table_iter_init(&it, b->services);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (!((struct service_state *)v)->configured)
			g_hash_table_iter_remove(&it);
	pthread_rwlock_unlock(&b->services_lock);
}

static struct server_state *find_server(struct service_state *st,
					const char *name)
{
	for (size_t i = 0; i < st->n; i++)
		if (!strcmp(st->servers[i].name, name))
			return &st->servers[i];
	return NULL;
}

static void update_subset_size(struct service_state *st,
			       const struct cg_service *svc, size_t daemons)
{
	uint32_t min_connections = UINT32_MAX;

	for (size_t i = 0; i < svc->server_count; i++)
		if (svc->servers[i].connections < min_connections)
			min_connections = svc->servers[i].connections;
	st->daemons = daemons;
	st->subset =
		cg_subset_size(daemons, svc->server_count, min_connections);
}

static int compare_ranks(const void *a, const void *b, void *arg)
{
	const struct server_state *p = arg;
	uint64_t x = p[*(const uint32_t *)a].rank;
	uint64_t y = p[*(const uint32_t *)b].rank;

	return (x > y) - (x < y);
}

/* Replaces the servers by those of @p svc. A server that stays keeps its load,
 * limit and latency, so that a new configuration does not reset them. */
static void rebuild_servers(struct cg_balance *b, struct service_state *st,
			    const struct cg_service *svc)
{
	struct server_state *next =
		g_new0(struct server_state, svc->server_count + 1);
	uint32_t *ranked = g_new0(uint32_t, svc->server_count + 1);

	for (size_t i = 0; i < svc->server_count; i++) {
		const struct cg_server *s = &svc->servers[i];
		struct server_state *old = find_server(st, s->name);

		if (old) {
			next[i] = *old;
		} else {
			g_strlcpy(next[i].name, s->name, sizeof(next[i].name));
			cg_concurrency_limit_init(&next[i].limit, s->slots);
			next[i].latency_at = -CG_MS_NEVER;
			next[i].rank = cg_subset_rank(b->instance, s->name);
		}
		ranked[i] = (uint32_t)i;
	}
	qsort_r(ranked, svc->server_count, sizeof(*ranked), compare_ranks,
		next);
	g_free(st->servers);
	g_free(st->ranked);
	st->servers = next;
	st->ranked = ranked;
	st->n = svc->server_count;
	/* Matches no number of daemons, so that the caller updates the subset
	 * size. */
	st->daemons = 0;
}

static struct service_state *new_service_state(struct cg_balance *b,
					       const char *name)
{
	struct service_state *st = g_new0(struct service_state, 1);

	g_strlcpy(st->name, name, sizeof(st->name));
	pthread_mutex_init(&st->lock, NULL);
	st->rng = XXH3_64bits_withSeed(name, strlen(name), b->seed) | 1;
	g_hash_table_insert(b->services, st->name, st);
	return st;
}

/* Returns the service's state, or NULL, with the read lock on the table of
 * services held. With @create the state is created if necessary. */
static struct service_state *lock_service(struct cg_balance *b,
					  const char *name, bool create)
{
	struct service_state *st;

	pthread_rwlock_rdlock(&b->services_lock);
	st = g_hash_table_lookup(b->services, name);
	while (!st && create) {
		pthread_rwlock_unlock(&b->services_lock);
		pthread_rwlock_wrlock(&b->services_lock);
		if (!g_hash_table_contains(b->services, name))
			new_service_state(b, name);
		pthread_rwlock_unlock(&b->services_lock);
		pthread_rwlock_rdlock(&b->services_lock);
		st = g_hash_table_lookup(b->services, name);
	}
	return st;
}

static bool is_excluded(const struct selection *sel, const char *name)
{
	for (size_t i = 0; i < sel->n_exclude; i++)
		if (!strcmp(sel->exclude[i]->name, name))
			return true;
	return false;
}

static double latency_penalty(const struct service_state *st,
			      const struct server_state *p, cg_ms now)
{
	if (st->latency <= 0 || now - LATENCY_EXPIRY_MS > p->latency_at)
		return 1;
	return fmin(fmax(p->latency / st->latency, 0.5), LATENCY_PENALTY_MAX);
}

static bool passes_weight(struct selection *sel, unsigned int weight)
{
	return weight >= 1000 || next_random(sel->st) % 1000 < weight;
}

/* Evaluates the server at index @i. Returns whether it was a candidate. */
static bool consider(struct selection *sel, uint32_t i)
{
	const struct cg_server *srv = &sel->svc->servers[i];
	struct server_state *p = &sel->st->servers[i];
	uint32_t limit = cg_concurrency_limit_get(&p->limit, srv->slots);
	bool has_slot = p->running < limit;
	struct cg_health_server_state v;
	double score;

	if (is_excluded(sel, srv->name))
		return false;
	cg_health_server_state(sel->h, srv, sel->idempotent, &v);
	if (v.draining)
		return false;
	if (!sel->fallback || v.fallback_rank < sel->fallback_rank ||
	    (!sel->fallback_has_slot && has_slot &&
	     v.fallback_rank == sel->fallback_rank)) {
		sel->fallback = srv;
		sel->fallback_rank = v.fallback_rank;
		sel->fallback_has_slot = has_slot;
	}
	if (!passes_weight(sel, v.weight))
		return false;
	if (!has_slot) {
		sel->at_limit = true;
		return false;
	}
	score = (p->running + 1.0) / limit *
		latency_penalty(sel->st, p, sel->now);
	if (!sel->best || score < sel->best_score) {
		sel->best = srv;
		sel->best_score = score;
	}
	return true;
}

static void consider_two(struct selection *sel)
{
	size_t n = sel->st->subset;
	unsigned int found = 0;
	size_t last = n;

	for (int i = 0; i < MAX_DRAWS && found < 2; i++) {
		size_t at = next_random(sel->st) % n;

		if (at != last && consider(sel, sel->st->ranked[at]))
			found++;
		last = at;
	}
}

/* Evaluates all servers: those of the subset first, the others only if the
 * subset has no usable server. */
static void consider_all(struct selection *sel)
{
	sel->fallback = NULL;
	sel->at_limit = false;
	for (size_t i = 0; i < sel->st->n; i++) {
		if (i == sel->st->subset && (sel->best || sel->at_limit))
			return;
		consider(sel, sel->st->ranked[i]);
	}
}

static int reserve_selected(struct selection *sel, const struct cg_server **out)
{
	const struct cg_server *s = sel->best;

	if (!s && sel->at_limit)
		return 1;
	if (!s) {
		/* All servers are ejected or avoided, or were skipped at random
		 * because of a reduced weight. Refusing the request would do
		 * more harm than the fault that caused the ejections. */
		if (!sel->fallback)
			return -1;
		if (!sel->fallback_has_slot)
			return 1;
		s = sel->fallback;
	}
	sel->st->servers[s - sel->svc->servers].running++;
	*out = s;
	return 0;
}

/* Returns whether the state still belongs to the servers of @svc. */
static bool matches_config(const struct service_state *st,
			   const struct cg_service *svc)
{
	if (st->n != svc->server_count)
		return false;
	for (size_t i = 0; i < st->n; i++)
		if (strcmp(st->servers[i].name, svc->servers[i].name) != 0)
			return false;
	return true;
}

int cg_balance_pick(struct cg_balance *b, const struct cg_service *svc,
		    struct cg_health *h, const struct cg_server *const *exclude,
		    size_t n_exclude, bool idempotent, cg_ms now,
		    const struct cg_server **out)
{
	struct selection sel = { .svc = svc,
				 .h = h,
				 .exclude = exclude,
				 .n_exclude = n_exclude,
				 .idempotent = idempotent,
				 .now = now };
	size_t daemons =
		atomic_load_explicit(&b->daemons, memory_order_relaxed);
	int rc = -1;

	sel.st = lock_service(b, svc->name, true);
	pthread_mutex_lock(&sel.st->lock);
	if (!matches_config(sel.st, svc))
		rebuild_servers(b, sel.st, svc);
	if (sel.st->daemons != daemons)
		update_subset_size(sel.st, svc, daemons);
	if (svc->server_count) {
		consider_two(&sel);
		if (!sel.best)
			consider_all(&sel);
		rc = reserve_selected(&sel, out);
	}
	pthread_mutex_unlock(&sel.st->lock);
	pthread_rwlock_unlock(&b->services_lock);
	return rc;
}

static void record_latency(struct service_state *st, struct server_state *p,
			   double ms, cg_ms now)
{
	if (now - LATENCY_EXPIRY_MS > p->latency_at)
		p->latency = ms;
	else
		p->latency += LATENCY_GAIN * (ms - p->latency);
	p->latency_at = now;
}

static void record_outcome(struct service_state *st, struct server_state *p,
			   uint32_t slots, enum cg_observation outcome,
			   cg_ms latency, cg_ms now)
{
	double ms = latency > 0 ? (double)latency : 0;

	switch (outcome) {
	case CG_OBSERVED_OK:
		cg_concurrency_limit_record_response(&p->limit, slots);
		record_latency(st, p, ms, now);
		st->latency = st->latency > 0
				      ? st->latency + LATENCY_GAIN / 4 *
							      (ms - st->latency)
				      : ms;
		break;
	case CG_OBSERVED_FAILED:
	case CG_OBSERVED_TIMEOUT:
	case CG_OBSERVED_CONNECT_FAILED:
		record_latency(st, p,
			       fmax(ms, FAILURE_LATENCY_FACTOR * st->latency),
			       now);
		break;
	case CG_OBSERVED_SHED:
		cg_concurrency_limit_record_shed(&p->limit, now - latency, now);
		break;
	}
}

/* Releases a slot. Returns the server's state, or NULL if there is none. The
 * service is locked if @st is set; the caller calls unlock_service in every
 * case. */
static struct server_state *release_slot(struct cg_balance *b,
					 const struct cg_server *srv,
					 struct service_state **st)
{
	struct server_state *p = NULL;

	*st = lock_service(b, srv->service->name, false);
	if (*st) {
		pthread_mutex_lock(&(*st)->lock);
		p = find_server(*st, srv->name);
	}
	if (p && p->running)
		p->running--;
	return p;
}

static void unlock_service(struct cg_balance *b, struct service_state *st)
{
	if (st)
		pthread_mutex_unlock(&st->lock);
	pthread_rwlock_unlock(&b->services_lock);
}

void cg_balance_complete(struct cg_balance *b, const struct cg_server *srv,
			 enum cg_observation outcome, cg_ms latency, cg_ms now)
{
	struct service_state *st;
	struct server_state *p = release_slot(b, srv, &st);

	if (p)
		record_outcome(st, p, srv->slots, outcome, latency, now);
	unlock_service(b, st);
}

void cg_balance_cancel(struct cg_balance *b, const struct cg_server *srv)
{
	struct service_state *st;

	release_slot(b, srv, &st);
	unlock_service(b, st);
}

int cg_balance_read_server(struct cg_balance *b, const struct cg_server *srv,
			   struct cg_balance_server_state *out)
{
	struct service_state *st = lock_service(b, srv->service->name, false);
	struct server_state *p = NULL;

	memset(out, 0, sizeof(*out));
	if (st) {
		pthread_mutex_lock(&st->lock);
		p = find_server(st, srv->name);
		if (p) {
			out->running = p->running;
			out->limit =
				cg_concurrency_limit_get(&p->limit, srv->slots);
			out->latency_ms = p->latency;
			for (size_t i = 0; i < st->subset && i < st->n; i++)
				out->in_subset |=
					&st->servers[st->ranked[i]] == p;
		}
		pthread_mutex_unlock(&st->lock);
	}
	pthread_rwlock_unlock(&b->services_lock);
	return p ? 0 : -1;
}

size_t cg_balance_memory(struct cg_balance *b)
{
	size_t n = sizeof(*b);
	GHashTableIter it;
	gpointer v;

	pthread_rwlock_rdlock(&b->services_lock);
	g_hash_table_iter_init(&it, b->services);
	while (g_hash_table_iter_next(&it, NULL, &v))
		n += sizeof(struct service_state) +
		     ((struct service_state *)v)->n *
			     (sizeof(struct server_state) + sizeof(uint32_t));
	pthread_rwlock_unlock(&b->services_lock);
	return n;
}
