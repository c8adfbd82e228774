#include "internal/objects.h"

#include <arpa/inet.h>
#include <glib.h>
#include <math.h>
#include <string.h>

#include "internal/names.h"
#include "internal/settings.h"
#include "internal/snapshot.h"

#define MAX_TIMEOUT_MS 600000
/* Generated keys have 43 characters, so a key that was pasted in place of a
 * key's name is refused, and messages do not contain it. */
#define KEY_NAME_MAX 31

/* Decoded objects before they are sorted into the snapshot. "owner" is the id
 * of the service or account that an object belongs to. */
struct pending_server {
	struct cg_server srv;
	uint32_t owner;
};

struct pending_service {
	struct cg_service svc;
	uint32_t id;
};

struct pending_account {
	struct cg_account account;
	uint32_t id;
};

struct pending_key {
	struct cg_key key;
	uint32_t owner;
};

struct pending_route {
	struct cg_route route;
	char service[CG_NAME_MAX + 1];
	GPtrArray *accounts; /* Names, or NULL. */
};

struct cg_builder {
	cg_source_file_fn file_of;
	void *arg;
	struct cg_faults *f;
	size_t faults_before;
	GArray *services;
	GArray *servers;
	GArray *accounts;
	GArray *keys;
	GArray *routes;
	GString *path; /* Path of the object that is being decoded. */
	GString *place; /* Buffer for the result of fault_place. */
	struct cg_config *config; /* Set during cg_builder_finish. */
};

static const char *const kind_names[] = { "services", "routes", "accounts" };

const char *cg_object_kind_name(enum cg_object_kind kind)
{
	return kind_names[kind];
}

static void clear_pending_route(void *p)
{
	struct pending_route *r = p;

	g_free(r->route.path);
	if (r->accounts)
		g_ptr_array_unref(r->accounts);
}

struct cg_builder *cg_builder_new(cg_source_file_fn file_of, void *arg,
				  struct cg_faults *f)
{
	struct cg_builder *b = g_new0(struct cg_builder, 1);

	b->file_of = file_of;
	b->arg = arg;
	b->f = f;
	b->faults_before = f->n;
	b->services = g_array_new(FALSE, TRUE, sizeof(struct pending_service));
	b->servers = g_array_new(FALSE, TRUE, sizeof(struct pending_server));
	b->accounts = g_array_new(FALSE, TRUE, sizeof(struct pending_account));
	b->keys = g_array_new(FALSE, TRUE, sizeof(struct pending_key));
	b->routes = g_array_new(FALSE, TRUE, sizeof(struct pending_route));
	g_array_set_clear_func(b->routes, clear_pending_route);
	b->path = g_string_new(NULL);
	b->place = g_string_new(NULL);
	return b;
}

void cg_builder_free(struct cg_builder *b)
{
	if (!b)
		return;
	g_array_unref(b->services);
	g_array_unref(b->servers);
	g_array_unref(b->accounts);
	g_array_unref(b->keys);
	g_array_unref(b->routes);
	g_string_free(b->path, TRUE);
	g_string_free(b->place, TRUE);
	g_free(b);
}

/* Returns "FILE: PATH" of the current object for a message. FILE is the file
 * that set the member, or the object if the member is absent. */
static const char *fault_place(struct cg_builder *b, const char *member)
{
	const char *file = NULL;
	size_t len = b->path->len;

	if (!b->file_of)
		return b->path->str;
	if (member) {
		g_string_append_printf(b->path, "/%s", member);
		file = b->file_of(b->arg, b->path->str);
		g_string_truncate(b->path, len);
	}
	if (!file)
		file = b->file_of(b->arg, b->path->str);
	if (!file)
		return b->path->str;
	g_string_printf(b->place, "%s: %s", file, b->path->str);
	return b->place->str;
}

#define FAULT(b, member, ...)                                                  \
	cg_faults_add((b)->f, fault_place(b, member), __VA_ARGS__)

static const char *get_string(struct cg_builder *b, struct json_object *o,
			      const char *name)
{
	const char *text = NULL;

	if (cg_json_get_string(o, name, fault_place(b, name), &text, b->f) == 1)
		FAULT(b, NULL, "%s is missing", name);
	return text;
}

static int64_t get_int(struct cg_builder *b, struct json_object *o,
		       const char *name, int64_t lowest, int64_t highest,
		       int64_t fallback)
{
	int64_t v = fallback;

	cg_json_get_int(o, name, fault_place(b, name), lowest, highest, &v,
			b->f);
	return v;
}

static uint32_t get_u32(struct cg_builder *b, struct json_object *o,
			const char *name, uint32_t lowest, uint32_t highest,
			uint32_t fallback)
{
	return (uint32_t)get_int(b, o, name, lowest, highest, fallback);
}

static bool get_bool(struct cg_builder *b, struct json_object *o,
		     const char *name, bool fallback)
{
	cg_json_get_bool(o, name, fault_place(b, name), &fallback, b->f);
	return fallback;
}

/* Reads a member that holds the name of an object or of a failure domain. */
static void get_name(struct cg_builder *b, struct json_object *o,
		     const char *name, char *out)
{
	const char *text = get_string(b, o, name);

	if (!text)
		return;
	if (cg_name_valid(text))
		g_strlcpy(out, text, CG_NAME_MAX + 1);
	else
		FAULT(b, name, "%s must be " CG_NAME_RULE, name);
}

/* Appends a name to the current path. Returns the previous length of the path,
 * which restores it. An invalid name may contain control characters, so it is
 * escaped. */
static size_t push_path(struct cg_builder *b, const char *name)
{
	size_t len = b->path->len;

	if (cg_name_valid(name)) {
		g_string_append_printf(b->path, "/%s", name);
	} else {
		char *escaped = g_strescape(name, NULL);

		g_string_append_printf(b->path, "/%.80s", escaped);
		g_free(escaped);
	}
	return len;
}

static bool check_object(struct cg_builder *b, const char *name,
			 struct json_object *o)
{
	bool ok = true;

	if (!cg_name_valid(name)) {
		FAULT(b, NULL, "must have " CG_NAME_RULE);
		ok = false;
	}
	if (!json_object_is_type(o, json_type_object)) {
		FAULT(b, NULL, "must be an object");
		ok = false;
	}
	return ok;
}

/* Like cg_json_refuse_unknown, but with the file of each member. A long name
 * may be a plaintext key in the wrong place, so it is not in the message. */
static void refuse_unknown(struct cg_builder *b, struct json_object *o,
			   const char *const *known)
{
	json_object_object_foreach(o, name, value) {
		char *escaped;

		(void)value;
		if (g_strv_contains(known, name))
			continue;
		escaped = strlen(name) > KEY_NAME_MAX ? g_strdup("(long name)")
						      : g_strescape(name, NULL);
		FAULT(b, name, "unknown member %s", escaped);
		g_free(escaped);
	}
}

static struct json_object *get_object(struct cg_builder *b,
				      struct json_object *o, const char *name)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, name, &v))
		return NULL;
	if (json_object_is_type(v, json_type_object))
		return v;
	FAULT(b, name, "%s must be an object", name);
	return NULL;
}

static void read_server_address(struct cg_builder *b, struct json_object *o,
				struct cg_server *srv)
{
	const char *text = get_string(b, o, "address");
	struct sockaddr_in a;

	if (!text)
		return;
	if (cg_parse_address(text, &a) ||
	    a.sin_addr.s_addr == htonl(INADDR_ANY)) {
		FAULT(b, "address", "address must be \"IP:PORT\"");
		return;
	}
	inet_ntop(AF_INET, &a.sin_addr, srv->host, sizeof(srv->host));
	srv->port = ntohs(a.sin_port);
}

static void add_server(struct cg_builder *b, uint32_t owner, const char *name,
		       struct json_object *o)
{
	static const char *const known[] = { "address", "slots", "connections",
					     "failure_domain", NULL };
	struct pending_server p = { .owner = owner };
	size_t saved_len = push_path(b, name);

	if (check_object(b, name, o)) {
		g_strlcpy(p.srv.name, name, sizeof(p.srv.name));
		refuse_unknown(b, o, known);
		read_server_address(b, o, &p.srv);
		p.srv.slots = get_u32(b, o, "slots", 1, 10000, 4);
		p.srv.connections =
			get_u32(b, o, "connections", 1, 100000, 300);
		g_strlcpy(p.srv.failure_domain, "default",
			  sizeof(p.srv.failure_domain));
		if (json_object_object_get_ex(o, "failure_domain", NULL))
			get_name(b, o, "failure_domain", p.srv.failure_domain);
		g_array_append_val(b->servers, p);
	}
	g_string_truncate(b->path, saved_len);
}

static void add_servers(struct cg_builder *b, uint32_t owner,
			struct json_object *service)
{
	struct json_object *list = get_object(b, service, "servers");
	size_t saved_len;

	if (!list || json_object_object_length(list) == 0) {
		FAULT(b, "servers", "a service needs at least one server");
		return;
	}
	saved_len = push_path(b, "servers");
	json_object_object_foreach(list, name, o)
		add_server(b, owner, name, o);
	g_string_truncate(b->path, saved_len);
}

static void add_service(struct cg_builder *b, const char *name,
			struct json_object *o)
{
	static const char *const known[] = {
		"floor_percent",
		"workers",
		"queue",
		"queue_per_account",
		"attempt_timeout_ms",
		"ramp_ms",
		"echo_attempt",
		"servers",
		NULL,
	};
	struct pending_service p = { .id = b->services->len };
	struct cg_service *s = &p.svc;

	refuse_unknown(b, o, known);
	g_strlcpy(s->name, name, sizeof(s->name));
	s->shard = cg_shard_of(name);
	s->floor_percent = get_u32(b, o, "floor_percent", 0, 100, 60);
	s->workers = get_u32(b, o, "workers", 1, 256, 16);
	s->queue = get_u32(b, o, "queue", 1, 100000, 200);
	s->queue_per_account = get_u32(b, o, "queue_per_account", 1, 100000,
				       MIN(50, s->queue));
	if (s->queue_per_account > s->queue)
		FAULT(b, "queue_per_account",
		      "queue_per_account must not be above queue");
	s->attempt_timeout_ms =
		get_int(b, o, "attempt_timeout_ms", 10, MAX_TIMEOUT_MS, 2000);
	s->ramp_ms = get_int(b, o, "ramp_ms", 0, MAX_TIMEOUT_MS, 5000);
	s->echo_attempt = get_bool(b, o, "echo_attempt", false);
	g_array_append_val(b->services, p);
	add_servers(b, p.id, o);
}

static bool path_byte_ok(char c)
{
	return g_ascii_isalnum(c) || (c && strchr("/-._~!$&()*+,=:@", c));
}

static const char *path_fault(const char *path)
{
	size_t n = strlen(path);

	if (path[0] != '/' || n > CG_ROUTE_PATH_MAX)
		return "must start with \"/\" and have at most 255 bytes";
	for (size_t i = 0; i < n; i++)
		if (!path_byte_ok(path[i]))
			return "has a byte that is not allowed in a path "
			       "(percent-encoding is not, either)";
	if (g_str_has_prefix(path, "/-/") || !strcmp(path, "/-"))
		return "must not start with \"/-/\"";
	if (strstr(path, "//") || (n > 1 && path[n - 1] == '/'))
		return "must not have an empty segment or end with \"/\"";
	if (cg_path_has_dot_segment(path))
		return "must not have a \".\" or \"..\" segment";
	return NULL;
}

static void read_path(struct cg_builder *b, struct json_object *o,
		      struct cg_route *r)
{
	const char *text = get_string(b, o, "path");
	const char *why = text ? path_fault(text) : NULL;

	if (why)
		FAULT(b, "path", "path %s", why);
	r->path = g_strdup(text && !why ? text : "/");
}

static const char *array_string(struct json_object *list, size_t i)
{
	struct json_object *v = json_object_array_get_idx(list, i);

	return json_object_is_type(v, json_type_string)
		       ? json_object_get_string(v)
		       : "";
}

static unsigned int read_methods(struct cg_builder *b, struct json_object *o)
{
	struct json_object *list;
	unsigned int set = 0;
	int rc = cg_json_get_array(o, "methods", fault_place(b, "methods"),
				   &list, b->f);

	if (rc)
		return rc > 0 ? CG_METHOD_GET : 0;
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		unsigned int m = cg_method_parse(array_string(list, i));

		if (!m)
			FAULT(b, "methods", "methods[%zu] is not supported", i);
		else if (set & m)
			FAULT(b, "methods", "methods[%zu] appears twice", i);
		set |= m;
	}
	if (json_object_array_length(list) == 0)
		FAULT(b, "methods", "methods is empty");
	return set;
}

static gint compare_text(gconstpointer x, gconstpointer y)
{
	return strcmp(*(const char *const *)x, *(const char *const *)y);
}

/* Returns the sorted names of the accounts that may use the route; or NULL if
 * the member is absent, which allows all accounts, or not an array. */
static GPtrArray *read_accounts(struct cg_builder *b, struct json_object *o)
{
	struct json_object *list;
	GPtrArray *names;

	if (cg_json_get_array(o, "accounts", fault_place(b, "accounts"), &list,
			      b->f))
		return NULL;
	names = g_ptr_array_new_with_free_func(g_free);
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		const char *name = array_string(list, i);

		if (cg_name_valid(name))
			g_ptr_array_add(names, g_strdup(name));
		else
			FAULT(b, "accounts",
			      "accounts[%zu] must be " CG_NAME_RULE, i);
	}
	if (json_object_array_length(list) == 0)
		FAULT(b, "accounts",
		      "accounts is empty; leave it out to allow all");
	g_ptr_array_sort(names, compare_text);
	return names;
}

static void add_route(struct cg_builder *b, const char *name,
		      struct json_object *o)
{
	static const char *const known[] = { "path",	   "methods",
					     "service",	   "open",
					     "idempotent", "deadline_ms",
					     "accounts",   NULL };
	const unsigned int safe_methods =
		CG_METHOD_GET | CG_METHOD_HEAD | CG_METHOD_OPTIONS;
	struct pending_route p = { 0 };
	struct cg_route *r = &p.route;

	refuse_unknown(b, o, known);
	g_strlcpy(r->name, name, sizeof(r->name));
	read_path(b, o, r);
	r->methods = read_methods(b, o);
	get_name(b, o, "service", p.service);
	r->open = get_bool(b, o, "open", false);
	r->idempotent =
		get_bool(b, o, "idempotent", !(r->methods & ~safe_methods));
	r->deadline_ms = get_int(b, o, "deadline_ms", 10, MAX_TIMEOUT_MS, 1000);
	p.accounts = read_accounts(b, o);
	if (r->open && p.accounts)
		FAULT(b, "accounts", "an open route cannot have accounts");
	g_array_append_val(b->routes, p);
}

/* Reads a number with at most three decimal places, in thousandths. */
static int64_t get_milli(struct cg_builder *b, struct json_object *o,
			 const char *name, double lowest, double highest,
			 int64_t fallback)
{
	struct json_object *v;
	double x;

	if (!json_object_object_get_ex(o, name, &v))
		return fallback;
	if (!json_object_is_type(v, json_type_int) &&
	    !json_object_is_type(v, json_type_double)) {
		FAULT(b, name, "%s must be a number", name);
		return fallback;
	}
	x = json_object_get_double(v);
	if (!isfinite(x) || x < lowest || x > highest) {
		FAULT(b, name, "%s must be from %g to %.0f", name, lowest,
		      highest);
		return fallback;
	}
	/* For x up to 1e6 the rounding errors of x and of x * 1000 add up to
	 * less than 1e-6. */
	if (fabs(x * 1000 - round(x * 1000)) > 1e-6) {
		FAULT(b, name, "%s must have at most three decimals", name);
		return fallback;
	}
	return llround(x * 1000);
}

static void add_key(struct cg_builder *b, uint32_t owner, const char *name,
		    struct json_object *v)
{
	static const char scheme[] = "sha256:";
	struct pending_key p = { .owner = owner };
	const char *text = json_object_is_type(v, json_type_string)
				   ? json_object_get_string(v)
				   : "";

	if (!cg_name_valid(name) || strlen(name) > KEY_NAME_MAX) {
		FAULT(b, NULL,
		      "a key's name must have 1 to %d letters, digits, \".\", "
		      "\"_\" or \"-\"",
		      KEY_NAME_MAX);
		return;
	}
	/* The text may be a plaintext key, so it is not in the message. */
	if (!g_str_has_prefix(text, scheme) ||
	    strlen(text) != strlen(scheme) + 2 * (size_t)CG_DIGEST_SIZE ||
	    cg_digest_parse(text + strlen(scheme), p.key.digest)) {
		FAULT(b, name,
		      "%s must be \"sha256:\" and 64 hex digits, not the key "
		      "itself (see celerygladectl key digest)",
		      name);
		return;
	}
	g_strlcpy(p.key.name, name, sizeof(p.key.name));
	g_array_append_val(b->keys, p);
}

static void add_keys(struct cg_builder *b, uint32_t owner,
		     struct json_object *account)
{
	struct json_object *list = get_object(b, account, "keys");
	size_t saved_len;

	if (!list)
		return;
	saved_len = push_path(b, "keys");
	json_object_object_foreach(list, name, v)
		add_key(b, owner, name, v);
	g_string_truncate(b->path, saved_len);
}

static void add_account(struct cg_builder *b, const char *name,
			struct json_object *o)
{
	static const char *const known[] = { "rate", "burst", "keys", NULL };
	struct pending_account p = { .id = b->accounts->len };
	struct cg_account *a = &p.account;

	refuse_unknown(b, o, known);
	g_strlcpy(a->name, name, sizeof(a->name));
	a->shard = cg_shard_of(name);
	if (!json_object_object_get_ex(o, "rate", NULL))
		FAULT(b, NULL, "rate is missing");
	a->rate_milli = get_milli(b, o, "rate", 0.001, 1e6, 1000);
	/* With a burst below one request, no request would be admitted. */
	a->burst_milli =
		get_milli(b, o, "burst", 1, 1e6, MAX(1000, a->rate_milli));
	g_array_append_val(b->accounts, p);
	add_keys(b, p.id, o);
}

void cg_builder_add(struct cg_builder *b, enum cg_object_kind kind,
		    const char *name, struct json_object *o)
{
	g_string_assign(b->path, cg_object_kind_name(kind));
	push_path(b, name);
	if (!check_object(b, name, o))
		return;
	switch (kind) {
	case CG_OBJECT_SERVICE:
		add_service(b, name, o);
		break;
	case CG_OBJECT_ROUTE:
		add_route(b, name, o);
		break;
	case CG_OBJECT_ACCOUNT:
		add_account(b, name, o);
		break;
	case CG_OBJECT_KIND_COUNT:
		break;
	}
}

/* For structs whose first member is the name. */
static gint compare_names(gconstpointer x, gconstpointer y)
{
	return strcmp(x, y);
}

static gint compare_servers(gconstpointer x, gconstpointer y)
{
	const struct pending_server *a = x;
	const struct pending_server *b = y;

	if (a->owner != b->owner)
		return a->owner < b->owner ? -1 : 1;
	return strcmp(a->srv.name, b->srv.name);
}

static gint compare_keys(gconstpointer x, gconstpointer y)
{
	const struct pending_key *a = x;
	const struct pending_key *b = y;

	if (a->owner != b->owner)
		return a->owner < b->owner ? -1 : 1;
	return strcmp(a->key.name, b->key.name);
}

/* Sorts the services into the snapshot, and the pending servers by service. */
static void place_services(struct cg_builder *b, struct cg_config *c)
{
	uint32_t *rank = g_new(uint32_t, b->services->len);

	g_array_sort(b->services, compare_names);
	c->service_count = b->services->len;
	c->services = g_new0(struct cg_service, c->service_count);
	for (size_t i = 0; i < c->service_count; i++) {
		const struct pending_service *p =
			&g_array_index(b->services, struct pending_service, i);

		c->services[i] = p->svc;
		rank[p->id] = (uint32_t)i;
	}
	for (size_t i = 0; i < b->servers->len; i++) {
		struct pending_server *p =
			&g_array_index(b->servers, struct pending_server, i);

		p->owner = rank[p->owner];
	}
	g_array_sort(b->servers, compare_servers);
	g_free(rank);
}

static void place_servers(struct cg_builder *b, struct cg_config *c)
{
	c->server_count = b->servers->len;
	c->servers = g_new0(struct cg_server, c->server_count);
	for (size_t i = 0; i < c->server_count; i++) {
		const struct pending_server *p =
			&g_array_index(b->servers, struct pending_server, i);
		struct cg_service *svc = &c->services[p->owner];

		c->servers[i] = p->srv;
		c->servers[i].service = svc;
		if (!svc->servers)
			svc->servers = &c->servers[i];
		svc->server_count++;
	}
}

/* Sorts the accounts into the snapshot, and the pending keys by account. */
static void place_accounts(struct cg_builder *b, struct cg_config *c)
{
	uint32_t *rank = g_new(uint32_t, b->accounts->len);

	g_array_sort(b->accounts, compare_names);
	c->account_count = b->accounts->len;
	c->accounts = g_new0(struct cg_account, c->account_count);
	for (size_t i = 0; i < c->account_count; i++) {
		const struct pending_account *p =
			&g_array_index(b->accounts, struct pending_account, i);

		c->accounts[i] = p->account;
		rank[p->id] = (uint32_t)i;
	}
	for (size_t i = 0; i < b->keys->len; i++) {
		struct pending_key *p =
			&g_array_index(b->keys, struct pending_key, i);

		p->owner = rank[p->owner];
	}
	g_array_sort(b->keys, compare_keys);
	g_free(rank);
}

static void place_keys(struct cg_builder *b, struct cg_config *c)
{
	c->key_count = b->keys->len;
	c->keys = g_new0(struct cg_key, c->key_count);
	c->key_start = g_new0(uint32_t, c->account_count + 1);
	for (size_t i = 0; i < c->key_count; i++) {
		const struct pending_key *p =
			&g_array_index(b->keys, struct pending_key, i);

		c->keys[i] = p->key;
		c->keys[i].account = &c->accounts[p->owner];
		c->key_start[p->owner + 1]++;
	}
	for (size_t i = 0; i < c->account_count; i++)
		c->key_start[i + 1] += c->key_start[i];
}

static gint compare_paths(gconstpointer x, gconstpointer y, gpointer arg)
{
	const struct cg_route *routes = arg;
	const struct cg_route *a = &routes[*(const uint32_t *)x];
	const struct cg_route *b = &routes[*(const uint32_t *)y];
	int d = strcmp(a->path, b->path);

	return d ? d : strcmp(a->name, b->name);
}

static void place_routes(struct cg_builder *b, struct cg_config *c)
{
	g_array_sort(b->routes, compare_names);
	c->route_count = b->routes->len;
	c->routes = g_new0(struct cg_route, c->route_count);
	c->by_path = g_new0(uint32_t, c->route_count);
	for (size_t i = 0; i < c->route_count; i++) {
		struct pending_route *p =
			&g_array_index(b->routes, struct pending_route, i);

		c->routes[i] = p->route;
		p->route.path = NULL;
		c->by_path[i] = (uint32_t)i;
	}
	if (c->route_count)
		g_qsort_with_data(c->by_path, (gint)c->route_count,
				  sizeof(uint32_t), compare_paths, c->routes);
}

/* Sets the current path to an object, for faults found by the checks that
 * involve several objects. */
static void set_object_path(struct cg_builder *b, enum cg_object_kind kind,
			    const char *name)
{
	g_string_printf(b->path, "%s/%s", cg_object_kind_name(kind), name);
}

static void set_server_path(struct cg_builder *b, const struct cg_server *srv)
{
	set_object_path(b, CG_OBJECT_SERVICE, srv->service->name);
	g_string_append_printf(b->path, "/servers/%s", srv->name);
}

static void report_duplicate(void *arg, const char *kind, size_t i)
{
	struct cg_builder *b = arg;
	const struct cg_config *c = b->config;

	if (!strcmp(kind, "service")) {
		set_object_path(b, CG_OBJECT_SERVICE, c->services[i].name);
	} else if (!strcmp(kind, "account")) {
		set_object_path(b, CG_OBJECT_ACCOUNT, c->accounts[i].name);
	} else if (!strcmp(kind, "server")) {
		set_server_path(b, &c->servers[i]);
		FAULT(b, NULL, "another service has a server of this name");
		return;
	} else {
		set_object_path(b, CG_OBJECT_ACCOUNT, c->keys[i].account->name);
		g_string_append_printf(b->path, "/keys/%s", c->keys[i].name);
		FAULT(b, NULL, "this key's digest appears twice");
		return;
	}
	FAULT(b, NULL, "this name appears twice");
}

static void check_server_addresses(struct cg_builder *b,
				   const struct cg_config *c)
{
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (size_t i = 0; i < c->server_count; i++) {
		const struct cg_server *srv = &c->servers[i];
		const char *other;
		char *address;

		if (!srv->port)
			continue;
		address = g_strdup_printf("%s:%u", srv->host, srv->port);
		other = g_hash_table_lookup(seen, address);
		if (other) {
			set_server_path(b, srv);
			FAULT(b, "address", "server %s has the same address",
			      other);
			g_free(address);
		} else {
			g_hash_table_insert(seen, address, (void *)srv->name);
		}
	}
	g_hash_table_unref(seen);
}

static void resolve_accounts(struct cg_builder *b, const struct cg_config *c,
			     struct cg_route *r, const GPtrArray *names)
{
	r->accounts = g_new0(const struct cg_account *, names->len);
	for (guint i = 0; i < names->len; i++) {
		const char *name = names->pdata[i];
		const struct cg_account *a = cg_config_find_account(c, name);

		if (!a)
			FAULT(b, "accounts", "account %s does not exist", name);
		else if (r->account_count &&
			 r->accounts[r->account_count - 1] == a)
			FAULT(b, "accounts", "account %s appears twice", name);
		else
			r->accounts[r->account_count++] = a;
	}
}

static void resolve_routes(struct cg_builder *b, struct cg_config *c)
{
	for (size_t i = 0; i < c->route_count; i++) {
		struct pending_route *p =
			&g_array_index(b->routes, struct pending_route, i);
		struct cg_route *r = &c->routes[i];

		set_object_path(b, CG_OBJECT_ROUTE, r->name);
		if (i > 0 && !strcmp(r->name, c->routes[i - 1].name))
			FAULT(b, NULL, "this name appears twice");
		r->service = cg_config_find_service(c, p->service);
		if (!r->service && p->service[0])
			FAULT(b, "service", "service %s does not exist",
			      p->service);
		if (p->accounts)
			resolve_accounts(b, c, r, p->accounts);
	}
}

/* Two routes with the same path must not allow the same method. */
static void check_route_overlap(struct cg_builder *b, const struct cg_config *c)
{
	const struct cg_route *first = NULL;
	unsigned int used_methods = 0;

	for (size_t i = 0; i < c->route_count; i++) {
		const struct cg_route *r = &c->routes[c->by_path[i]];

		if (!first || strcmp(first->path, r->path) != 0) {
			first = r;
			used_methods = 0;
		}
		if (used_methods & r->methods) {
			set_object_path(b, CG_OBJECT_ROUTE, r->name);
			FAULT(b, "path",
			      "another route (see %s) has this path and "
			      "method",
			      first->name);
		}
		used_methods |= r->methods;
	}
}

int cg_builder_finish(struct cg_builder *b, uint64_t version,
		      struct cg_config **out)
{
	struct cg_config *c = g_new0(struct cg_config, 1);

	atomic_init(&c->refs, 1);
	c->version = version;
	b->config = c;
	place_services(b, c);
	place_servers(b, c);
	place_accounts(b, c);
	place_keys(b, c);
	place_routes(b, c);
	cg_config_build_indexes(c, report_duplicate, b);
	check_server_addresses(b, c);
	resolve_routes(b, c);
	check_route_overlap(b, c);
	b->config = NULL;
	if (b->f->n > b->faults_before) {
		cg_config_unref(c);
		return -1;
	}
	*out = c;
	return 0;
}
