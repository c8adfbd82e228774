/* Stand-in for the platform: serves the object API and the list of instances
 * that docs/platform-api.md specifies, and injects faults on request. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/http.h"
#include "support/instances.h"

#define MAX_VALUE     1048576
#define LIST_CHECK_MS 50 /* No signal when the lag of a version ends. */
#define MAX_LISTENERS 16

enum down {
	UP,
	DOWN_REFUSE,
	DOWN_503,
};

/* One of the ports that serve the same state. With several of them, some
 * daemons can lose access to the store while others keep it. */
struct listener {
	int port;
	enum down down;
	struct MHD_Daemon *http;
};

struct object {
	GBytes *body;
	uint64_t version;
};

/* Number of calls: in total, in the current second and in the one before. */
struct call_counter {
	int64_t second;
	uint64_t total, current, previous;
};

static struct {
	GMutex lock;
	GCond changed;
	struct listener listeners[MAX_LISTENERS];
	int n;
	GHashTable *objects;
	GHashTable *stale; /* Objects that stale reads return, or NULL. */
	uint64_t version;
	struct sh_list list;
	int64_t slow_ms, limit_per_s, lose_writes;
	double stale_objects; /* Share of reads. */
	struct call_counter reads, writes, watches;
	uint64_t refused;
	bool stopping;
} pl;

static struct {
	int port, count, control;
	char *instances;
} opts = { .port = 8500, .count = 1, .control = 8499 };

static void object_free(void *arg)
{
	struct object *o = arg;

	g_bytes_unref(o->body);
	g_free(o);
}

static void copy_object(gpointer key, gpointer value, gpointer table)
{
	struct object *o = value, *n = g_new(struct object, 1);

	n->body = g_bytes_ref(o->body);
	n->version = o->version;
	g_hash_table_insert(table, g_strdup(key), n);
}

static GHashTable *new_objects(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     object_free);
}

static void advance_second(struct call_counter *r)
{
	int64_t s = sh_now_ms() / 1000;

	if (s == r->second)
		return;
	r->previous = s == r->second + 1 ? r->current : 0;
	r->current = 0;
	r->second = s;
}

static void count_call(struct call_counter *r)
{
	advance_second(r);
	r->current++;
	r->total++;
}

static bool random_chance(double share)
{
	return share > 0 && g_random_double() < share;
}

static struct object *find_object(const char *name)
{
	GHashTable *t = pl.stale && random_chance(pl.stale_objects)
				? pl.stale
				: pl.objects;

	return g_hash_table_lookup(t, name);
}

static enum MHD_Result send_status(struct MHD_Connection *c,
				   unsigned int status)
{
	return sh_send(c, status, sh_response("", 0));
}

static struct MHD_Response *with_etag(struct MHD_Response *r, uint64_t version)
{
	char tag[32];

	snprintf(tag, sizeof(tag), "\"%" G_GUINT64_FORMAT "\"", version);
	MHD_add_response_header(r, MHD_HTTP_HEADER_ETAG, tag);
	return r;
}

/* What a read returns: an object, or the list of instances if the name is
 * NULL. */
struct read_result {
	const char *name;
	struct object *object;
	struct sh_list_version *list;
	uint64_t version;
};

static void fill_read_result(struct read_result *v)
{
	if (v->name) {
		v->object = find_object(v->name);
		v->version = v->object ? v->object->version : 0;
	} else {
		v->list = sh_list_read(&pl.list);
		v->version = v->list->version;
	}
}

/* Fills in @p v; a watch first waits until the version differs from the one
 * that the caller knows. Called with the lock held. Returns 0 or the HTTP
 * status to send. */
static unsigned int wait_for_read_result(struct MHD_Connection *c,
					 struct listener *l,
					 struct read_result *v)
{
	const char *w = sh_query(c, "watch"), *t = sh_query(c, "timeout_ms");
	uint64_t known_version = w ? strtoull(w, NULL, 10) : 0;
	int64_t until = sh_now_ms() + (t ? atoll(t) : 0), remaining_ms;

	fill_read_result(v);
	while (w && v->version == known_version) {
		remaining_ms = until - sh_now_ms();
		if (remaining_ms <= 0 || pl.stopping)
			return MHD_HTTP_NOT_MODIFIED;
		if (!v->name && remaining_ms > LIST_CHECK_MS)
			remaining_ms = LIST_CHECK_MS;
		g_cond_wait_until(&pl.changed, &pl.lock,
				  g_get_monotonic_time() + remaining_ms * 1000);
		if (l->down != UP)
			return MHD_HTTP_SERVICE_UNAVAILABLE;
		fill_read_result(v);
	}
	return 0;
}

static enum MHD_Result get_object(struct MHD_Connection *c, struct listener *l,
				  const char *name)
{
	struct read_result v = { .name = name };
	enum MHD_Result rc;
	unsigned int status;

	g_mutex_lock(&pl.lock);
	status = wait_for_read_result(c, l, &v);
	if (!status && !v.object)
		status = MHD_HTTP_NOT_FOUND;
	if (status) {
		rc = send_status(c, status);
	} else {
		gsize n;
		const char *d = g_bytes_get_data(v.object->body, &n);

		rc = sh_send(c, MHD_HTTP_OK,
			     with_etag(sh_response(d, n), v.version));
	}
	g_mutex_unlock(&pl.lock);
	return rc;
}

static enum MHD_Result get_instances(struct MHD_Connection *c,
				     struct listener *l)
{
	struct read_result v = { 0 };
	enum MHD_Result rc;
	unsigned int status;

	g_mutex_lock(&pl.lock);
	status = wait_for_read_result(c, l, &v);
	if (status)
		rc = send_status(c, status);
	else
		rc = sh_send(c, MHD_HTTP_OK,
			     with_etag(sh_response(v.list->text,
						   strlen(v.list->text)),
				       v.version));
	g_mutex_unlock(&pl.lock);
	return rc;
}

static gint by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

static enum MHD_Result list_objects(struct MHD_Connection *c)
{
	const char *prefix = sh_query(c, "prefix");
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array();
	enum MHD_Result rc;
	GList *names;
	const char *s;

	g_mutex_lock(&pl.lock);
	names = g_list_sort(g_hash_table_get_keys(pl.objects), by_name);
	for (GList *l = names; l; l = l->next) {
		struct json_object *e;
		struct object *o = find_object(l->data);

		if (!o || (prefix && !g_str_has_prefix(l->data, prefix)))
			continue;
		e = json_object_new_object();
		json_object_object_add(e, "name",
				       json_object_new_string(l->data));
		json_object_object_add(e, "version",
				       json_object_new_uint64(o->version));
		json_object_array_add(list, e);
	}
	g_list_free(names);
	g_mutex_unlock(&pl.lock);
	json_object_object_add(root, "objects", list);
	s = json_object_to_json_string(root);
	rc = sh_send(c, MHD_HTTP_OK, sh_response(s, strlen(s)));
	json_object_put(root);
	return rc;
}

/* Parses an entity tag: a number in double quotes. Returns 0 or -1. */
static int parse_etag(const char *s, uint64_t *out)
{
	char *end;

	if (!s || *s != '"')
		return -1;
	*out = strtoull(s + 1, &end, 10);
	return strcmp(end, "\"") != 0 || end == s + 1 ? -1 : 0;
}

/* Executes a write. Called with the lock held. Returns the HTTP status. */
static unsigned int write_object(struct MHD_Connection *c, const char *name,
				 bool remove, GString *body, uint64_t *version)
{
	const char *none = sh_header(c, MHD_HTTP_HEADER_IF_NONE_MATCH);
	const char *match = sh_header(c, MHD_HTTP_HEADER_IF_MATCH);
	struct object *o = g_hash_table_lookup(pl.objects, name), *n;
	uint64_t expected = 0;
	bool create = none && !match && !strcmp(none, "*");

	if (!create && (none || parse_etag(match, &expected)))
		return MHD_HTTP_BAD_REQUEST;
	if (create && remove)
		return MHD_HTTP_BAD_REQUEST;
	if (body->len > MAX_VALUE)
		return MHD_HTTP_CONTENT_TOO_LARGE;
	if (remove && !o)
		return MHD_HTTP_NOT_FOUND;
	if (create ? o != NULL : !o || o->version != expected)
		return MHD_HTTP_PRECONDITION_FAILED;
	pl.version++;
	if (remove) {
		g_hash_table_remove(pl.objects, name);
	} else {
		n = g_new(struct object, 1);
		n->body = g_bytes_new(body->str, body->len);
		*version = n->version = pl.version;
		g_hash_table_insert(pl.objects, g_strdup(name), n);
	}
	g_cond_broadcast(&pl.changed);
	if (remove)
		return MHD_HTTP_NO_CONTENT;
	return create ? MHD_HTTP_CREATED : MHD_HTTP_OK;
}

static enum MHD_Result handle_write(struct MHD_Connection *c, const char *name,
				    bool remove, GString *body)
{
	struct MHD_Response *r;
	uint64_t version = 0;
	unsigned int status;
	bool lose_response = false;

	g_mutex_lock(&pl.lock);
	status = write_object(c, name, remove, body, &version);
	if (status < 300 && pl.lose_writes > 0) {
		pl.lose_writes--;
		lose_response = true;
	}
	g_mutex_unlock(&pl.lock);
	if (lose_response)
		return MHD_NO;
	r = sh_response("", 0);
	return sh_send(c, status, version ? with_etag(r, version) : r);
}

static bool valid_name(const char *s)
{
	return *s && s[strspn(s, "abcdefghijklmnopqrstuvwxyz"
				 "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				 "0123456789._-/")] == '\0';
}

/* Counts the call, then applies the faults that act before it is executed:
 * outage, rate limit and delay. The delay also applies to refused calls and
 * ends early if the caller closes the connection. Returns the HTTP status to
 * send, or 0 to execute the call. */
static unsigned int admit_call(struct MHD_Connection *c, struct listener *l,
			       bool write)
{
	unsigned int status = 0;
	int64_t delay_ms;

	g_mutex_lock(&pl.lock);
	count_call(write		  ? &pl.writes
		   : sh_query(c, "watch") ? &pl.watches
					  : &pl.reads);
	advance_second(&pl.reads);
	advance_second(&pl.writes);
	advance_second(&pl.watches);
	if (l->down != UP)
		status = MHD_HTTP_SERVICE_UNAVAILABLE;
	else if (pl.limit_per_s &&
		 pl.reads.current + pl.writes.current + pl.watches.current >
			 (uint64_t)pl.limit_per_s)
		status = MHD_HTTP_TOO_MANY_REQUESTS;
	if (status)
		pl.refused++;
	delay_ms = pl.slow_ms;
	g_mutex_unlock(&pl.lock);
	for (int64_t end = sh_now_ms() + delay_ms;
	     sh_now_ms() < end && !pl.stopping;)
		if (sh_wait_for_close(c, (int)MIN(50, end - sh_now_ms())))
			break;
	return status;
}

static enum MHD_Result serve(void *arg, struct MHD_Connection *c,
			     const char *path, const char *method,
			     const char *version, const char *data,
			     size_t *size, void **ctx)
{
	static const char dir[] = "/v1/objects/";
	const char *name = path + sizeof(dir) - 1;
	unsigned int status;
	struct listener *l = arg;
	bool get, remove;

	if (!sh_collect_body(ctx, data, size))
		return MHD_YES;
	get = !strcmp(method, "GET");
	remove = !strcmp(method, "DELETE");
	status = admit_call(c, l, !get);
	if (status)
		return send_status(c, status);
	if (get && !strcmp(path, "/v1/instances"))
		return get_instances(c, l);
	if (get && !strcmp(path, "/v1/objects"))
		return list_objects(c);
	if (!g_str_has_prefix(path, dir) || !valid_name(name))
		return send_status(c, MHD_HTTP_BAD_REQUEST);
	if (get)
		return get_object(c, l, name);
	if (remove || !strcmp(method, "PUT"))
		return handle_write(c, name, remove, sh_body(ctx));
	return send_status(c, MHD_HTTP_BAD_REQUEST);
}

static int set_down(struct listener *l, enum down d)
{
	struct MHD_Daemon *old = NULL;

	g_mutex_lock(&pl.lock);
	l->down = d;
	if (d == DOWN_REFUSE) {
		old = l->http;
		l->http = NULL;
	}
	g_cond_broadcast(&pl.changed);
	g_mutex_unlock(&pl.lock);
	if (old)
		MHD_stop_daemon(old);
	if (d != DOWN_REFUSE && !l->http)
		l->http = sh_listen((uint16_t)l->port, NULL, NULL, serve, l);
	return d == DOWN_REFUSE || l->http ? 0 : -1;
}

static int set_all_down(int64_t port, enum down d)
{
	int rc = 0;

	for (int i = 0; i < pl.n; i++)
		if (!port || port == pl.listeners[i].port)
			rc |= set_down(&pl.listeners[i], d);
	return rc;
}

/* Copies the current objects for stale reads, or drops the copy. */
static void set_stale(struct json_object *in)
{
	sh_get_double(in, "stale_objects", &pl.stale_objects);
	if (pl.stale_objects > 0 && !pl.stale) {
		pl.stale = new_objects();
		g_hash_table_foreach(pl.objects, copy_object, pl.stale);
	} else if (pl.stale_objects <= 0 && pl.stale) {
		g_hash_table_destroy(pl.stale);
		pl.stale = NULL;
	}
}

static int set_faults(struct json_object *in)
{
	const char *down = sh_get_string(in, "down");
	int64_t port = 0;

	g_mutex_lock(&pl.lock);
	sh_get_int(in, "slow_ms", &pl.slow_ms);
	sh_get_int(in, "limit_per_s", &pl.limit_per_s);
	sh_get_int(in, "lose_writes", &pl.lose_writes);
	set_stale(in);
	sh_list_set_faults(&pl.list, in);
	g_cond_broadcast(&pl.changed);
	g_mutex_unlock(&pl.lock);
	if (!down)
		return 0;
	sh_get_int(in, "port", &port);
	return set_all_down(port, !strcmp(down, "refuse") ? DOWN_REFUSE
				  : !strcmp(down, "503")  ? DOWN_503
							  : UP);
}

static int change_instances(struct json_object *in)
{
	int rc;

	g_mutex_lock(&pl.lock);
	rc = sh_list_change(&pl.list, in);
	g_cond_broadcast(&pl.changed);
	g_mutex_unlock(&pl.lock);
	return rc;
}

static void print_call_counter(GString *s, const char *name,
			       struct call_counter *r)
{
	advance_second(r);
	g_string_append_printf(s,
			       "\"%s\":%" G_GUINT64_FORMAT
			       ",\"%s_last_second\":%" G_GUINT64_FORMAT ",",
			       name, r->total, name, r->previous);
}

static GString *print_state(void)
{
	GString *s = g_string_new("{");

	g_mutex_lock(&pl.lock);
	print_call_counter(s, "reads", &pl.reads);
	print_call_counter(s, "writes", &pl.writes);
	print_call_counter(s, "watches", &pl.watches);
	g_string_append_printf(s,
			       "\"refused\":%" G_GUINT64_FORMAT
			       ",\"objects\":%u,\"list_version\":%u}\n",
			       pl.refused, g_hash_table_size(pl.objects),
			       pl.list.history->len);
	g_mutex_unlock(&pl.lock);
	return s;
}

static GString *control(struct MHD_Connection *c, const char *method,
			const char *path, struct json_object *in)
{
	int rc = -1;

	if (!strcmp(method, "GET"))
		return strcmp(path, "/control") ? NULL : print_state();
	if (in && !strcmp(path, "/control"))
		rc = set_faults(in);
	else if (in && !strcmp(path, "/control/instances"))
		rc = change_instances(in);
	return rc ? NULL : g_string_new("{}\n");
}

static error_t parse_opt(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 'p':
		opts.port = atoi(arg);
		return 0;
	case 'n':
		opts.count = atoi(arg);
		if (opts.count < 1 || opts.count > MAX_LISTENERS)
			argp_error(state, "1 to %d ports", MAX_LISTENERS);
		return 0;
	case 'c':
		opts.control = atoi(arg);
		return 0;
	case 'i':
		opts.instances = arg;
		return 0;
	case 'l':
		pl.list.lag_ms = atoi(arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "port", 'p', "N", 0, "Port of the object API", 0 },
		{ "count", 'n', "N", 0, "Ports that serve the same state", 0 },
		{ "control", 'c', "N", 0, "Port of the control path", 0 },
		{ "instances", 'i', "FILE", 0,
		  "List of instances to start with", 0 },
		{ "list-lag", 'l', "MS", 0, "Lag of the list of instances", 0 },
		{ 0 }
	};
	static const struct argp argp = {
		options,
		parse_opt,
		NULL,
		"Stand-in for the platform's object API (docs/platform-api.md)."
		"\vPUT /control takes down (\"no\", \"refuse\", \"503\"; "
		"with port: of that port only), "
		"slow_ms, lose_writes, stale_objects, stale_list, list_lag_ms, "
		"limit_per_s and missing.",
		NULL,
		NULL,
		NULL
	};
	struct MHD_Daemon *ctl;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	sh_block_signals();
	pl.objects = new_objects();
	if (sh_list_init(&pl.list, opts.instances)) {
		fprintf(stderr, "platform: cannot read instances from %s\n",
			opts.instances);
		return EXIT_FAILURE;
	}
	pl.n = opts.count;
	for (int i = 0; i < pl.n; i++)
		pl.listeners[i].port = opts.port + i;
	ctl = sh_control_start((uint16_t)opts.control, control);
	if (!ctl || set_all_down(0, UP)) {
		fprintf(stderr, "platform: cannot listen on port %d or %d\n",
			opts.port, opts.control);
		return EXIT_FAILURE;
	}
	sh_wait_for_signal();
	pl.stopping = true;
	set_all_down(0, DOWN_REFUSE);
	MHD_stop_daemon(ctl);
	return EXIT_SUCCESS;
}
