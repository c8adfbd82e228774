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

/* Random draws before all servers are looked at. */
#define DRAWS 4
/* Weight of the newest response in the latency average. */
#define LATENCY_GAIN 0.2
/* An average without responses for this time is no longer used. */
#define LATENCY_KEPT_MS 10000
/* Bounds the effect of latency, so that a slow but working server keeps some
 * load while the ejection decides. */
#define PENALTY_MAX 4.0
/* A failure counts as a response of this multiple of the service's latency:
 * otherwise a server that fails fast would attract load. */
#define FAILURE_FACTOR 3.0

struct place {
	char name[CG_NAME_MAX + 1];
	uint32_t running;
	struct cg_concurrency_limit limit;
	double latency;
	cg_ms latency_at;
	uint64_t rank;
};

/* A service in this daemon. places[i] belongs to servers[i] of the
 * configuration that was used last. */
struct runtime {
	char name[CG_NAME_MAX + 1];
	pthread_mutex_t lock;
	struct place *places;
	uint32_t *order; /* Places in order of rank. */
	size_t n;
	size_t daemons; /* That the subset was sized for. */
	size_t subset;
	double latency; /* Average of the service. */
	uint64_t rng;
	bool kept;
};

struct cg_balance {
	char instance[CG_NAME_MAX + 1];
	uint64_t seed;
	_Atomic size_t daemons;
	pthread_rwlock_t table;
	GHashTable *services;
};

/* One request for a server. */
struct draw {
	struct runtime *rt;
	const struct cg_service *svc;
	struct cg_health *h;
	const struct cg_server *const *exclude;
	size_t n_exclude;
	bool idempotent;
	cg_ms now;
	/* What was seen on the way. */
	bool at_limit;
	const struct cg_server *best;
	double best_score;
	const struct cg_server *least_bad;
	unsigned int least_badness;
	bool least_bad_free; /* least_bad is under its limit. */
};

static uint64_t next_random(struct runtime *rt)
{
	rt->rng ^= rt->rng >> 12;
	rt->rng ^= rt->rng << 25;
	rt->rng ^= rt->rng >> 27;
	return rt->rng * UINT64_C(2685821657736338717) >> 32;
}

static void free_runtime(gpointer p)
{
	struct runtime *rt = p;

	pthread_mutex_destroy(&rt->lock);
	g_free(rt->places);
	g_free(rt->order);
	g_free(rt);
}

struct cg_balance *cg_balance_new(const char *instance, uint64_t seed)
{
	struct cg_balance *b = g_new0(struct cg_balance, 1);

	g_strlcpy(b->instance, instance, sizeof(b->instance));
	b->seed = seed;
	atomic_store(&b->daemons, 1);
	pthread_rwlock_init(&b->table, NULL);
	b->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_runtime);
	return b;
}

void cg_balance_free(struct cg_balance *b)
{
	if (!b)
		return;
	g_hash_table_unref(b->services);
	pthread_rwlock_destroy(&b->table);
	g_free(b);
}

void cg_balance_set_daemons(struct cg_balance *b, size_t daemons)
{
	atomic_store(&b->daemons, daemons ? daemons : 1);
}

void cg_balance_prune(struct cg_balance *b, const struct cg_config *c)
{
	const struct cg_service *svc;
	struct runtime *rt;
	GHashTableIter it;
	gpointer v;

	pthread_rwlock_wrlock(&b->table);
	g_hash_table_iter_init(&it, b->services);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct runtime *)v)->kept = false;
	for (size_t i = 0; (svc = cg_config_service_at(c, i)); i++) {
		rt = g_hash_table_lookup(b->services, svc->name);
		if (rt)
			rt->kept = true;
	}
	g_hash_table_iter_init(&it, b->services);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (!((struct runtime *)v)->kept)
			g_hash_table_iter_remove(&it);
	pthread_rwlock_unlock(&b->table);
}

static struct place *find_place(struct runtime *rt, const char *name)
{
	for (size_t i = 0; i < rt->n; i++)
		if (!strcmp(rt->places[i].name, name))
			return &rt->places[i];
	return NULL;
}

static void size_subset(struct runtime *rt, const struct cg_service *svc,
			size_t daemons)
{
	uint32_t least = UINT32_MAX;

	for (size_t i = 0; i < svc->server_count; i++)
		if (svc->servers[i].connections < least)
			least = svc->servers[i].connections;
	rt->daemons = daemons;
	rt->subset = cg_subset_size(daemons, svc->server_count, least);
}

static int by_rank(const void *a, const void *b, void *arg)
{
	const struct place *p = arg;
	uint64_t x = p[*(const uint32_t *)a].rank;
	uint64_t y = p[*(const uint32_t *)b].rank;

	return (x > y) - (x < y);
}

static void rebuild(struct cg_balance *b, struct runtime *rt,
		    const struct cg_service *svc)
{
	struct place *next = g_new0(struct place, svc->server_count + 1);
	uint32_t *order = g_new0(uint32_t, svc->server_count + 1);

	for (size_t i = 0; i < svc->server_count; i++) {
		const struct cg_server *s = &svc->servers[i];
		struct place *old = find_place(rt, s->name);

		if (old) {
			next[i] = *old;
		} else {
			g_strlcpy(next[i].name, s->name, sizeof(next[i].name));
			cg_concurrency_limit_init(&next[i].limit, s->slots);
			next[i].latency_at = -CG_MS_NEVER;
			next[i].rank = cg_subset_rank(b->instance, s->name);
		}
		order[i] = (uint32_t)i;
	}
	qsort_r(order, svc->server_count, sizeof(*order), by_rank, next);
	g_free(rt->places);
	g_free(rt->order);
	rt->places = next;
	rt->order = order;
	rt->n = svc->server_count;
	rt->daemons = 0;
}

static struct runtime *new_runtime(struct cg_balance *b, const char *name)
{
	struct runtime *rt = g_new0(struct runtime, 1);

	g_strlcpy(rt->name, name, sizeof(rt->name));
	pthread_mutex_init(&rt->lock, NULL);
	rt->rng = XXH3_64bits_withSeed(name, strlen(name), b->seed) | 1;
	g_hash_table_insert(b->services, rt->name, rt);
	return rt;
}

/* Returns the service's runtime with the table's read lock held. */
static struct runtime *lock_table(struct cg_balance *b, const char *name,
				  bool create)
{
	struct runtime *rt;

	pthread_rwlock_rdlock(&b->table);
	rt = g_hash_table_lookup(b->services, name);
	while (!rt && create) {
		pthread_rwlock_unlock(&b->table);
		pthread_rwlock_wrlock(&b->table);
		if (!g_hash_table_contains(b->services, name))
			new_runtime(b, name);
		pthread_rwlock_unlock(&b->table);
		pthread_rwlock_rdlock(&b->table);
		rt = g_hash_table_lookup(b->services, name);
	}
	return rt;
}

static bool excluded(const struct draw *d, const char *name)
{
	for (size_t i = 0; i < d->n_exclude; i++)
		if (!strcmp(d->exclude[i]->name, name))
			return true;
	return false;
}

static double penalty(const struct runtime *rt, const struct place *p,
		      cg_ms now)
{
	if (rt->latency <= 0 || now - LATENCY_KEPT_MS > p->latency_at)
		return 1;
	return fmin(fmax(p->latency / rt->latency, 0.5), PENALTY_MAX);
}

static bool gate(struct draw *d, unsigned int weight)
{
	return weight >= 1000 || next_random(d->rt) % 1000 < weight;
}

/* Considers the server at @i; returns whether it was a candidate. */
static bool consider(struct draw *d, uint32_t i)
{
	const struct cg_server *srv = &d->svc->servers[i];
	struct place *p = &d->rt->places[i];
	uint32_t limit = cg_concurrency_limit_get(&p->limit, srv->slots);
	bool room = p->running < limit;
	struct cg_health_view v;
	double score;

	if (excluded(d, srv->name))
		return false;
	cg_health_view(d->h, srv, d->idempotent, &v);
	if (v.draining)
		return false;
	if (!d->least_bad || v.badness < d->least_badness ||
	    (!d->least_bad_free && room && v.badness == d->least_badness)) {
		d->least_bad = srv;
		d->least_badness = v.badness;
		d->least_bad_free = room;
	}
	if (!gate(d, v.weight))
		return false;
	if (!room) {
		d->at_limit = true;
		return false;
	}
	score = (p->running + 1.0) / limit * penalty(d->rt, p, d->now);
	if (!d->best || score < d->best_score) {
		d->best = srv;
		d->best_score = score;
	}
	return true;
}

static void draw_two(struct draw *d)
{
	size_t n = d->rt->subset;
	unsigned int found = 0;
	size_t last = n;

	for (int i = 0; i < DRAWS && found < 2; i++) {
		size_t at = next_random(d->rt) % n;

		if (at != last && consider(d, d->rt->order[at]))
			found++;
		last = at;
	}
}

/* Looks at every server, those of the subset first. */
static void look_at_all(struct draw *d)
{
	d->least_bad = NULL;
	d->at_limit = false;
	for (size_t i = 0; i < d->rt->n; i++) {
		if (i == d->rt->subset && (d->best || d->at_limit))
			return;
		consider(d, d->rt->order[i]);
	}
}

static int take(struct draw *d, const struct cg_server **out)
{
	const struct cg_server *s = d->best;

	if (!s && d->at_limit)
		return 1;
	if (!s) {
		/* Nothing but ejected and avoided servers: refusing would make
		 * the ejection worse than the fault. */
		if (!d->least_bad)
			return -1;
		if (!d->least_bad_free)
			return 1;
		s = d->least_bad;
	}
	d->rt->places[s - d->svc->servers].running++;
	*out = s;
	return 0;
}

/* Whether the places still belong to the servers of @svc. */
static bool matches(const struct runtime *rt, const struct cg_service *svc)
{
	if (rt->n != svc->server_count)
		return false;
	for (size_t i = 0; i < rt->n; i++)
		if (strcmp(rt->places[i].name, svc->servers[i].name) != 0)
			return false;
	return true;
}

int cg_balance_pick(struct cg_balance *b, const struct cg_service *svc,
		    struct cg_health *h, const struct cg_server *const *exclude,
		    size_t n_exclude, bool idempotent, cg_ms now,
		    const struct cg_server **out)
{
	struct draw d = { .svc = svc,
			  .h = h,
			  .exclude = exclude,
			  .n_exclude = n_exclude,
			  .idempotent = idempotent,
			  .now = now };
	size_t daemons =
		atomic_load_explicit(&b->daemons, memory_order_relaxed);
	int rc = -1;

	d.rt = lock_table(b, svc->name, true);
	pthread_mutex_lock(&d.rt->lock);
	if (!matches(d.rt, svc))
		rebuild(b, d.rt, svc);
	if (d.rt->daemons != daemons)
		size_subset(d.rt, svc, daemons);
	if (svc->server_count) {
		draw_two(&d);
		if (!d.best)
			look_at_all(&d);
		rc = take(&d, out);
	}
	pthread_mutex_unlock(&d.rt->lock);
	pthread_rwlock_unlock(&b->table);
	return rc;
}

static void note_latency(struct runtime *rt, struct place *p, double ms,
			 cg_ms now)
{
	if (now - LATENCY_KEPT_MS > p->latency_at)
		p->latency = ms;
	else
		p->latency += LATENCY_GAIN * (ms - p->latency);
	p->latency_at = now;
}

static void note_outcome(struct runtime *rt, struct place *p, uint32_t slots,
			 enum cg_observation outcome, cg_ms latency, cg_ms now)
{
	double ms = latency > 0 ? (double)latency : 0;

	switch (outcome) {
	case CG_OBSERVED_OK:
		cg_concurrency_limit_record_response(&p->limit, slots);
		note_latency(rt, p, ms, now);
		rt->latency = rt->latency > 0
				      ? rt->latency + LATENCY_GAIN / 4 *
							      (ms - rt->latency)
				      : ms;
		break;
	case CG_OBSERVED_FAILED:
	case CG_OBSERVED_TIMEOUT:
	case CG_OBSERVED_CONNECT_FAILED:
		note_latency(rt, p, fmax(ms, FAILURE_FACTOR * rt->latency),
			     now);
		break;
	case CG_OBSERVED_SHED:
		cg_concurrency_limit_record_shed(&p->limit, now - latency, now);
		break;
	}
}

/* Gives a place back. Returns with the runtime locked if it is known; the
 * caller calls unlock_place in every case. */
static struct place *release_place(struct cg_balance *b,
				   const struct cg_server *srv,
				   struct runtime **rt)
{
	struct place *p = NULL;

	*rt = lock_table(b, srv->service->name, false);
	if (*rt) {
		pthread_mutex_lock(&(*rt)->lock);
		p = find_place(*rt, srv->name);
	}
	if (p && p->running)
		p->running--;
	return p;
}

static void unlock_place(struct cg_balance *b, struct runtime *rt)
{
	if (rt)
		pthread_mutex_unlock(&rt->lock);
	pthread_rwlock_unlock(&b->table);
}

void cg_balance_complete(struct cg_balance *b, const struct cg_server *srv,
			 enum cg_observation outcome, cg_ms latency, cg_ms now)
{
	struct runtime *rt;
	struct place *p = release_place(b, srv, &rt);

	if (p)
		note_outcome(rt, p, srv->slots, outcome, latency, now);
	unlock_place(b, rt);
}

void cg_balance_cancel(struct cg_balance *b, const struct cg_server *srv)
{
	struct runtime *rt;

	release_place(b, srv, &rt);
	unlock_place(b, rt);
}

int cg_balance_read_server(struct cg_balance *b, const struct cg_server *srv,
			   struct cg_balance_server_state *out)
{
	struct runtime *rt = lock_table(b, srv->service->name, false);
	struct place *p = NULL;

	memset(out, 0, sizeof(*out));
	if (rt) {
		pthread_mutex_lock(&rt->lock);
		p = find_place(rt, srv->name);
		if (p) {
			out->running = p->running;
			out->limit =
				cg_concurrency_limit_get(&p->limit, srv->slots);
			out->latency_ms = p->latency;
			for (size_t i = 0; i < rt->subset && i < rt->n; i++)
				out->in_subset |=
					&rt->places[rt->order[i]] == p;
		}
		pthread_mutex_unlock(&rt->lock);
	}
	pthread_rwlock_unlock(&b->table);
	return p ? 0 : -1;
}

size_t cg_balance_memory(struct cg_balance *b)
{
	size_t n = sizeof(*b);
	GHashTableIter it;
	gpointer v;

	pthread_rwlock_rdlock(&b->table);
	g_hash_table_iter_init(&it, b->services);
	while (g_hash_table_iter_next(&it, NULL, &v))
		n += sizeof(struct runtime) +
		     ((struct runtime *)v)->n *
			     (sizeof(struct place) + sizeof(uint32_t));
	pthread_rwlock_unlock(&b->table);
	return n;
}
