#include "gateway/table.h"

#include <string.h>

#include "celeryglade/config.h"

struct digest {
	uint8_t bytes[CG_DIGEST_SIZE];
};

struct cgw_table {
	int refs;
	uint64_t version;
	struct cgw_caller_limits limits;
	GHashTable *routes; /* "host prefix" to struct cgw_route */
	GHashTable *accounts; /* key to struct cgw_account */
	GHashTable *keys; /* struct digest to struct cgw_account, not owned */
	GHashTable *services; /* name to health path */
	GHashTable *warmup_rates; /* service to int64_t, thousandths */
};

static guint digest_hash(gconstpointer p)
{
	guint h;

	memcpy(&h, p, sizeof(h));
	return h;
}

static gboolean digest_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, sizeof(struct digest));
}

static void clear_target(void *p)
{
	g_free(((struct cgw_target *)p)->service);
}

static void free_route(void *p)
{
	struct cgw_route *r = p;

	g_free(r->name);
	g_free(r->host);
	g_free(r->prefix);
	g_array_unref(r->targets);
	g_free(r);
}

static void free_account(void *p)
{
	struct cgw_account *a = p;

	g_free(a->name);
	g_free(a->key);
	g_free(a);
}

struct cgw_table *cgw_table_new(uint64_t version)
{
	struct cgw_table *t = g_new0(struct cgw_table, 1);

	t->refs = 1;
	t->version = version;
	t->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  free_route);
	t->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_account);
	t->keys =
		g_hash_table_new_full(digest_hash, digest_equal, g_free, NULL);
	t->warmup_rates =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	t->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return t;
}

struct cgw_table *cgw_table_ref(struct cgw_table *t)
{
	t->refs++;
	return t;
}

void cgw_table_unref(struct cgw_table *t)
{
	if (!t || --t->refs > 0)
		return;
	g_hash_table_unref(t->keys);
	g_hash_table_unref(t->accounts);
	g_hash_table_unref(t->routes);
	g_hash_table_unref(t->services);
	g_hash_table_unref(t->warmup_rates);
	g_free(t);
}

uint64_t cgw_table_version(const struct cgw_table *t)
{
	return t->version;
}

struct cgw_caller_limits *cgw_table_limits(struct cgw_table *t)
{
	return &t->limits;
}

/* Returns the key of a route in the hash table: the host in lower case without
 * its port, a space, and @len bytes of the prefix. Owned by the caller. */
static char *route_key(const char *host, const char *prefix, size_t len)
{
	size_t hlen = strcspn(host, ":");
	char *key = g_malloc(hlen + 1 + len + 1);

	for (size_t i = 0; i < hlen; i++)
		key[i] = g_ascii_tolower(host[i]);
	key[hlen] = ' ';
	memcpy(key + hlen + 1, prefix, len);
	key[hlen + 1 + len] = '\0';
	return key;
}

struct cgw_route *cgw_table_add_route(struct cgw_table *t, const char *name,
				      const char *host, const char *prefix)
{
	struct cgw_route *r = g_new0(struct cgw_route, 1);

	r->name = g_strdup(name);
	r->host = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
	r->prefix = g_strdup(prefix);
	r->targets = g_array_new(FALSE, FALSE, sizeof(struct cgw_target));
	g_array_set_clear_func(r->targets, clear_target);
	g_hash_table_replace(t->routes, route_key(host, prefix, strlen(prefix)),
			     r);
	return r;
}

void cgw_route_add_target(struct cgw_route *r, const char *service,
			  int64_t weight)
{
	struct cgw_target target = { g_strdup(service), weight };

	g_array_append_val(r->targets, target);
	r->weight_sum += weight;
}

/* A name that was cut would be another account's, or nobody's. */
static char *account_key(const char *name)
{
	char *digest, *key;

	if (strlen(name) <= CGW_ACCOUNT_KEY_MAX)
		return g_strdup(name);
	digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, name, -1);
	key = g_strdup_printf("sha256:%.*s",
			      CGW_ACCOUNT_KEY_MAX - (int)strlen("sha256:"),
			      digest);
	g_free(digest);
	return key;
}

struct cgw_account *cgw_table_add_account(struct cgw_table *t, const char *name)
{
	struct cgw_account *a = g_new0(struct cgw_account, 1);

	a->name = g_strdup(name);
	a->key = account_key(name);
	a->priority = -1;
	g_hash_table_replace(t->accounts, a->key, a);
	return a;
}

void cgw_table_add_key(struct cgw_table *t, struct cgw_account *a,
		       const char *key)
{
	struct digest *d = g_new(struct digest, 1);

	cg_key_digest(key, d->bytes);
	g_hash_table_replace(t->keys, d, a);
}

void cgw_table_add_service(struct cgw_table *t, const char *name,
			   const char *health_path)
{
	g_hash_table_replace(t->services, g_strdup(name),
			     g_strdup(health_path));
}

void cgw_table_set_warmup_rate(struct cgw_table *t, const char *service,
			       int64_t milli)
{
	g_hash_table_replace(t->warmup_rates, g_strdup(service),
			     g_memdup2(&milli, sizeof(milli)));
}

int64_t cgw_table_warmup_rate(const struct cgw_table *t, const char *service)
{
	const int64_t *milli = g_hash_table_lookup(t->warmup_rates, service);

	return milli ? *milli : 0;
}

void cgw_table_each_service(const struct cgw_table *t,
			    void (*visit)(void *arg, const char *service),
			    void *arg)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, t->services);
	while (g_hash_table_iter_next(&it, &key, NULL))
		visit(arg, key);
}

const struct cgw_route *cgw_table_find_route(const struct cgw_table *t,
					     const char *host, const char *path)
{
	size_t len = strlen(path);
	char *key = route_key(host, path, len);
	size_t path_start = strlen(key) - len;
	const struct cgw_route *r = NULL;

	/* Prefixes end with a slash, so the path is cut only after slashes. */
	while (len > 0 && !r) {
		while (len > 0 && key[path_start + len - 1] != '/')
			len--;
		if (!len)
			break;
		key[path_start + len] = '\0';
		r = g_hash_table_lookup(t->routes, key);
		len--;
	}
	g_free(key);
	return r;
}

const struct cgw_account *
cgw_table_find_account_by_key(const struct cgw_table *t, const char *key)
{
	struct digest d;

	cg_key_digest(key, d.bytes);
	return g_hash_table_lookup(t->keys, &d);
}

const struct cgw_account *cgw_table_find_account(const struct cgw_table *t,
						 const char *name)
{
	return g_hash_table_lookup(t->accounts, name);
}

bool cgw_table_has_service(const struct cgw_table *t, const char *name)
{
	return g_hash_table_contains(t->services, name);
}

bool cgw_table_has_accounts(const struct cgw_table *t)
{
	return g_hash_table_size(t->accounts) > 0;
}

GHashTable *cgw_table_accounts(const struct cgw_table *t)
{
	return t->accounts;
}

size_t cgw_table_route_count(const struct cgw_table *t)
{
	return g_hash_table_size(t->routes);
}

bool cgw_table_has_bulk_route(const struct cgw_table *t)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, t->routes);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (((const struct cgw_route *)value)->bulk)
			return true;
	return false;
}

const char *cgw_route_pick_service(const struct cgw_route *r, uint32_t number)
{
	int64_t offset =
		(int64_t)(((uint64_t)number * (uint64_t)r->weight_sum) >> 32);

	for (guint i = 0; i < r->targets->len; i++) {
		const struct cgw_target *g =
			&g_array_index(r->targets, struct cgw_target, i);

		if (offset < g->weight)
			return g->service;
		offset -= g->weight;
	}
	return g_array_index(r->targets, struct cgw_target, 0).service;
}
