/* The tables of services and servers, whose state is kept across configuration
 * changes. */
#define CG_PART "health"
#include "health_internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "internal/logging.h"

struct server_key {
	const char *server;
	const char *service;
};

static unsigned long key_hash(const struct server_key *k)
{
	XXH64_hash_t s = XXH3_64bits(k->service, strlen(k->service));

	return (unsigned long)XXH3_64bits_withSeed(k->server, strlen(k->server),
						   s);
}

static int key_match(struct cds_lfht_node *node, const void *key)
{
	const struct server_key *k = key;
	const struct health_server *s =
		caa_container_of(node, struct health_server, node);

	return strcmp(s->name, k->server) == 0 &&
	       strcmp(s->service, k->service) == 0;
}

/* The caller holds the RCU read lock. */
struct health_server *health_find_server(struct cg_health *h,
					 const struct cg_server *srv)
{
	struct server_key k = { srv->name, srv->service->name };
	struct cds_lfht_iter it;
	struct cds_lfht_node *node;

	cds_lfht_lookup(h->servers, key_hash(&k), key_match, &k, &it);
	node = cds_lfht_iter_get_node(&it);
	return node ? caa_container_of(node, struct health_server, node) : NULL;
}

static struct health_server *add_server(struct cg_health *h,
					const struct cg_server *srv, cg_ms ramp,
					cg_ms now)
{
	struct server_key k = { srv->name, srv->service->name };
	struct health_server *s = g_new0(struct health_server, 1);

	g_strlcpy(s->name, srv->name, sizeof(s->name));
	g_strlcpy(s->service, srv->service->name, sizeof(s->service));
	s->id = cg_server_id(s->name);
	/* The servers of the first configuration were running before this
	 * daemon and have warmed up. */
	s->warmup_from = now;
	s->warmup_until = h->config_version ? now + ramp : 0;
	atomic_store(&s->weight_idempotent, 1000);
	atomic_store(&s->weight_other, 1000);
	urcu_bp_read_lock();
	cds_lfht_add(h->servers, key_hash(&k), &s->node);
	urcu_bp_read_unlock();
	return s;
}

static struct health_service *add_service(struct cg_health *h,
					  const struct cg_service *c, cg_ms now)
{
	struct health_service *svc = g_new0(struct health_service, 1);
	struct cg_ejection_rules rules;

	g_strlcpy(svc->name, c->name, sizeof(svc->name));
	pthread_mutex_init(&svc->lock, NULL);
	cg_ejection_rules_local(&rules, h->settings->eject_ms);
	svc->local = cg_ejection_new(&rules, 0, false, now);
	svc->digest_sent_at = -CG_MS_NEVER;
	svc->traffic_at = -CG_MS_NEVER;
	g_hash_table_insert(h->services, svc->name, svc);
	return svc;
}

static struct health_server *find_service_server(struct health_service *svc,
						 const char *name)
{
	for (size_t i = 0; i < svc->n; i++)
		if (!strcmp(svc->servers[i]->name, name))
			return svc->servers[i];
	return NULL;
}

static void warn_about_id_collisions(const struct health_service *svc)
{
	for (size_t i = 0; i < svc->n; i++)
		for (size_t j = 0; j < i; j++)
			if (svc->servers[i]->id == svc->servers[j]->id)
				cg_warning(
					"servers %s and %s of service %s have the same ID in digests; rename one of them",
					svc->servers[i]->name,
					svc->servers[j]->name, svc->name);
}

static void apply_service(struct cg_health *h, struct health_service *svc,
			  const struct cg_service *c, GPtrArray *removed,
			  cg_ms now)
{
	struct health_server **next =
		g_new0(struct health_server *, c->server_count + 1);

	for (size_t i = 0; i < svc->n; i++)
		svc->servers[i]->in_config = false;
	for (size_t i = 0; i < c->server_count; i++) {
		next[i] = find_service_server(svc, c->servers[i].name);
		if (!next[i])
			next[i] =
				add_server(h, &c->servers[i], c->ramp_ms, now);
		next[i]->in_config = true;
		next[i]->slots = c->servers[i].slots;
	}
	for (size_t i = 0; i < svc->n; i++)
		if (!svc->servers[i]->in_config)
			g_ptr_array_add(removed, svc->servers[i]);
	g_free(svc->servers);
	svc->servers = next;
	svc->n = c->server_count;
	svc->shard = c->shard;
	svc->floor_percent = c->floor_percent;
	svc->ramp_ms = c->ramp_ms;
	svc->in_config = true;
	/* The lists have a new length; discard them so that they are
	 * rebuilt. */
	g_free(svc->local_servers);
	svc->local_servers = NULL;
	g_free(svc->fleet_servers);
	svc->fleet_servers = NULL;
	warn_about_id_collisions(svc);
}

static void free_service(struct health_service *svc, GPtrArray *removed)
{
	for (size_t i = 0; i < svc->n; i++)
		g_ptr_array_add(removed, svc->servers[i]);
	coordinator_stop(svc);
	cg_ejection_free(svc->local);
	g_free(svc->servers);
	g_free(svc->local_servers);
	g_free(svc->held.list);
	pthread_mutex_destroy(&svc->lock);
	g_free(svc);
}

static void free_removed(struct cg_health *h, GPtrArray *removed)
{
	urcu_bp_read_lock();
	for (guint i = 0; i < removed->len; i++) {
		struct health_server *s = g_ptr_array_index(removed, i);

		cds_lfht_del(h->servers, &s->node);
	}
	urcu_bp_read_unlock();
	if (removed->len)
		urcu_bp_synchronize_rcu();
	for (guint i = 0; i < removed->len; i++)
		g_free(g_ptr_array_index(removed, i));
	g_ptr_array_unref(removed);
}

static void apply_config(struct cg_health *h, struct cg_config *c,
			 GPtrArray *removed, cg_ms now)
{
	const struct cg_service *conf;
	struct health_service *svc;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, h->services);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct health_service *)v)->in_config = false;
	for (size_t i = 0; (conf = cg_config_service_at(c, i)); i++) {
		svc = g_hash_table_lookup(h->services, conf->name);
		if (!svc)
			svc = add_service(h, conf, now);
		apply_service(h, svc, conf, removed, now);
	}
	g_hash_table_iter_init(&it, h->services);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		svc = v;
		if (svc->in_config)
			continue;
		g_hash_table_iter_remove(&it);
		free_service(svc, removed);
	}
}

void health_sync_config(struct cg_health *h, cg_ms now)
{
	struct cg_config *c = cg_docs_config(h->docs);
	GPtrArray *removed;

	if (!c)
		return;
	if (cg_config_version(c) != h->config_version) {
		removed = g_ptr_array_new();
		pthread_rwlock_wrlock(&h->services_lock);
		apply_config(h, c, removed, now);
		h->config_version = cg_config_version(c);
		pthread_rwlock_unlock(&h->services_lock);
		free_removed(h, removed);
	}
	cg_config_unref(c);
}

void health_free_services(struct cg_health *h)
{
	GPtrArray *removed = g_ptr_array_new();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, h->services);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		g_hash_table_iter_remove(&it);
		free_service(v, removed);
	}
	free_removed(h, removed);
}
