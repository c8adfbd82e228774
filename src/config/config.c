#include "celeryglade/config.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "internal/snapshot.h"

static const struct {
	const char *name;
	enum cg_method method;
} methods[] = {
	{ "GET", CG_METHOD_GET },	  { "HEAD", CG_METHOD_HEAD },
	{ "POST", CG_METHOD_POST },	  { "PUT", CG_METHOD_PUT },
	{ "DELETE", CG_METHOD_DELETE },	  { "PATCH", CG_METHOD_PATCH },
	{ "OPTIONS", CG_METHOD_OPTIONS },
};

enum cg_method cg_method_parse(const char *text)
{
	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++)
		if (!strcmp(methods[i].name, text))
			return methods[i].method;
	return (enum cg_method)0;
}

const char *cg_method_name(enum cg_method m)
{
	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++)
		if (methods[i].method == m)
			return methods[i].name;
	return "?";
}

uint64_t cg_config_version(const struct cg_config *c)
{
	return c->version;
}

struct cg_config *cg_config_ref(struct cg_config *c)
{
	atomic_fetch_add_explicit(&c->refs, 1, memory_order_relaxed);
	return c;
}

static void free_config(struct cg_config *c)
{
	for (size_t i = 0; i < c->route_count; i++) {
		g_free(c->routes[i].path);
		g_free(c->routes[i].accounts);
	}
	g_free(c->services);
	g_free(c->servers);
	g_free(c->accounts);
	g_free(c->keys);
	g_free(c->key_start);
	g_free(c->routes);
	g_free(c->by_path);
	g_free(c->service_index.cells);
	g_free(c->server_index.cells);
	g_free(c->account_index.cells);
	g_free(c->key_index.cells);
	g_free(c->path_index.cells);
	g_free(c);
}

void cg_config_unref(struct cg_config *c)
{
	if (!c)
		return;
	/* Release ordering makes the reads of this thread happen before the
	 * free in the thread that releases the last reference. */
	if (atomic_fetch_sub_explicit(&c->refs, 1, memory_order_acq_rel) == 1)
		free_config(c);
}

static uint64_t hash_bytes(const void *data, size_t len)
{
	return XXH64(data, len, 0);
}

static uint64_t hash_digest(const uint8_t digest[CG_DIGEST_SIZE])
{
	return hash_bytes(digest, CG_DIGEST_SIZE);
}

static void index_alloc(struct cg_index *x, size_t n)
{
	uint32_t size = 4;

	while (size < 2 * n)
		size *= 2;
	x->cells = g_new0(uint32_t, size);
	x->mask = size - 1;
}

static void index_insert(struct cg_index *x, uint64_t hash, size_t i)
{
	uint32_t at = (uint32_t)hash & x->mask;

	while (x->cells[at])
		at = (at + 1) & x->mask;
	x->cells[at] = (uint32_t)i + 1;
}

/* Iterates over the cells that may hold an entry with this hash; "i" is the
 * array index in the cell. */
#define FOR_EACH_CANDIDATE(x, hash, at, i)                                     \
	for (uint32_t at = (uint32_t)(hash) & (x)->mask, i;                    \
	     (x)->cells[at] && (i = (x)->cells[at] - 1, true);                 \
	     at = (at + 1) & (x)->mask)

static int64_t find_key(const struct cg_config *c, const uint8_t *digest)
{
	const struct cg_index *x = &c->key_index;

	FOR_EACH_CANDIDATE(x, hash_digest(digest), at, i)
	if (!memcmp(c->keys[i].digest, digest, CG_DIGEST_SIZE))
		return i;
	return -1;
}

int64_t cg_config_find_path(const struct cg_config *c, const char *path,
			    size_t len)
{
	const struct cg_index *x = &c->path_index;

	FOR_EACH_CANDIDATE(x, hash_bytes(path, len), at, i)
	{
		const char *p = c->routes[c->by_path[i]].path;

		if (!strncmp(p, path, len) && !p[len])
			return i;
	}
	return -1;
}

/* Finds an element by name in an array of structs whose first member is their
 * name. */
static const void *find_name(const struct cg_index *x, const void *array,
			     size_t size, const char *name)
{
	uint64_t hash = hash_bytes(name, strlen(name));

	FOR_EACH_CANDIDATE(x, hash, at, i)
	{
		const char *p = (const char *)array + i * size;

		if (!strcmp(p, name))
			return p;
	}
	return NULL;
}

const struct cg_account *
cg_config_find_account_by_key(const struct cg_config *c,
			      const uint8_t digest[CG_DIGEST_SIZE])
{
	int64_t i = find_key(c, digest);

	return i < 0 ? NULL : c->keys[i].account;
}

const struct cg_account *cg_config_find_account(const struct cg_config *c,
						const char *name)
{
	return find_name(&c->account_index, c->accounts, sizeof(*c->accounts),
			 name);
}

const struct cg_service *cg_config_find_service(const struct cg_config *c,
						const char *name)
{
	return find_name(&c->service_index, c->services, sizeof(*c->services),
			 name);
}

const struct cg_server *cg_config_find_server(const struct cg_config *c,
					      const char *name)
{
	return find_name(&c->server_index, c->servers, sizeof(*c->servers),
			 name);
}

const struct cg_service *cg_config_service_at(const struct cg_config *c,
					      size_t i)
{
	return i < c->service_count ? &c->services[i] : NULL;
}

const struct cg_account *cg_config_account_at(const struct cg_config *c,
					      size_t i)
{
	return i < c->account_count ? &c->accounts[i] : NULL;
}

const struct cg_route *cg_config_route_at(const struct cg_config *c, size_t i)
{
	return i < c->route_count ? &c->routes[i] : NULL;
}

static void index_names(struct cg_index *x, const void *array, size_t size,
			size_t n, const char *kind,
			void (*on_duplicate)(void *, const char *, size_t),
			void *arg)
{
	index_alloc(x, n);
	for (size_t i = 0; i < n; i++) {
		const char *name = (const char *)array + i * size;

		if (find_name(x, array, size, name))
			on_duplicate(arg, kind, i);
		index_insert(x, hash_bytes(name, strlen(name)), i);
	}
}

static void index_keys(struct cg_config *c,
		       void (*on_duplicate)(void *, const char *, size_t),
		       void *arg)
{
	index_alloc(&c->key_index, c->key_count);
	for (size_t i = 0; i < c->key_count; i++) {
		if (find_key(c, c->keys[i].digest) >= 0)
			on_duplicate(arg, "key", i);
		index_insert(&c->key_index, hash_digest(c->keys[i].digest), i);
	}
}

static void index_paths(struct cg_config *c)
{
	index_alloc(&c->path_index, c->route_count);
	for (size_t i = 0; i < c->route_count; i++) {
		const char *path = c->routes[c->by_path[i]].path;
		size_t len = strlen(path);

		c->longest_path_len = MAX(c->longest_path_len, len);
		if (cg_config_find_path(c, path, len) < 0)
			index_insert(&c->path_index, hash_bytes(path, len), i);
	}
}

void cg_config_build_indexes(struct cg_config *c,
			     void (*on_duplicate)(void *arg, const char *kind,
						  size_t i),
			     void *arg)
{
	index_names(&c->service_index, c->services, sizeof(*c->services),
		    c->service_count, "service", on_duplicate, arg);
	index_names(&c->server_index, c->servers, sizeof(*c->servers),
		    c->server_count, "server", on_duplicate, arg);
	index_names(&c->account_index, c->accounts, sizeof(*c->accounts),
		    c->account_count, "account", on_duplicate, arg);
	index_keys(c, on_duplicate, arg);
	index_paths(c);
}

/* Returns the next byte of a path, percent-decoded, and advances *p. */
static char decode_path_byte(const char **p)
{
	const char *s = *p;
	int high;
	int low;

	*p = s + 1;
	if (s[0] != '%')
		return s[0];
	high = g_ascii_xdigit_value(s[1]);
	low = high < 0 ? -1 : g_ascii_xdigit_value(s[2]);
	if (low < 0)
		return '%';
	*p = s + 3;
	return (char)(high << 4 | low);
}

bool cg_path_has_dot_segment(const char *path)
{
	int dots = 0;
	bool other = false;

	for (const char *p = path; *p;) {
		char b = decode_path_byte(&p);

		if (b == '/' || b == '\\' || b == ';') {
			if (!other && (dots == 1 || dots == 2))
				return true;
			dots = 0;
			other = false;
		} else if (b == '.') {
			dots++;
		} else {
			other = true;
		}
	}
	return !other && (dots == 1 || dots == 2);
}

/* Finds a route with exactly this path that allows the method. Sets *refused if
 * there are routes with this path, but none allows the method. */
static const struct cg_route *find_route_of_path(const struct cg_config *c,
						 enum cg_method method,
						 const char *path, size_t len,
						 bool *refused)
{
	int64_t first = cg_config_find_path(c, path, len);

	if (first < 0)
		return NULL;
	for (size_t i = (size_t)first; i < c->route_count; i++) {
		const struct cg_route *r = &c->routes[c->by_path[i]];

		if (strncmp(r->path, path, len) != 0 || r->path[len])
			break;
		if (r->methods & (unsigned int)method)
			return r;
	}
	*refused = true;
	return NULL;
}

const struct cg_route *cg_config_find_route(const struct cg_config *c,
					    enum cg_method method,
					    const char *path,
					    bool *method_refused)
{
	const struct cg_route *r;
	bool refused = false;
	size_t len = strlen(path);

	*method_refused = false;
	if (path[0] != '/' || cg_path_has_dot_segment(path))
		return NULL;
	/* A prefix ends at the end of the path or before a '/'. Prefixes longer
	 * than the longest route need no lookup. */
	for (size_t n = MIN(len, c->longest_path_len); n > 0; n--) {
		if (n < len && path[n] != '/')
			continue;
		r = find_route_of_path(c, method, path, n, &refused);
		if (r)
			return r;
	}
	r = find_route_of_path(c, method, "/", 1, &refused);
	if (!r)
		*method_refused = refused;
	return r;
}
