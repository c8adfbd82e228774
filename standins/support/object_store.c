#include "object_store.h"

#include <errno.h>
#include <json-c/json.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "http.h"

#define DEPTH_MAX      1000
#define SLOW_MS	       300 /* Delay of OBJECTS_FAULT_SLOW. */
#define NO_RESPONSE_MS 1500 /* Delay of OBJECTS_FAULT_NO_RESPONSE. */
#define HISTORY_MAX    4096
#define WATCH_POLL_MS  10

struct entry {
	char *kind;
	char *name;
	struct json_object *spec;
	struct json_object *status;
	struct json_object *finalizers;
	uint64_t rev;
	uint64_t created;
	bool deleting;
};

struct change {
	uint64_t rev;
	char *kind;
	char *text; /* The object as JSON. */
	bool deleted;
};

struct objects {
	GMutex lock;
	struct MHD_Daemon *http;
	struct MHD_Daemon *second; /* Or NULL. */
	_Atomic bool second_cut;
	GPtrArray *entries; /* struct entry, sorted by kind and name. */
	GPtrArray *history; /* struct change, oldest first. */
	uint64_t rev;
	uint64_t compacted_rev;
	GPtrArray *copy; /* struct entry, as saved, or NULL. */
	uint64_t copy_rev;
	bool lose_next_write;
	_Atomic uint64_t era;
	unsigned int page;
	_Atomic int fault;
	_Atomic uint64_t calls;
	_Atomic bool stopping;
};

static void free_entry(void *p)
{
	struct entry *e = p;

	g_free(e->kind);
	g_free(e->name);
	json_object_put(e->spec);
	json_object_put(e->status);
	json_object_put(e->finalizers);
	g_free(e);
}

static void free_change(void *p)
{
	struct change *c = p;

	g_free(c->kind);
	g_free(c->text);
	g_free(c);
}

static int compare_entries(const void *a, const void *b)
{
	const struct entry *x = *(struct entry *const *)a;
	const struct entry *y = *(struct entry *const *)b;
	int rc = strcmp(x->kind, y->kind);

	return rc ? rc : strcmp(x->name, y->name);
}

static struct entry *find_entry(struct objects *o, const char *kind,
				const char *name)
{
	for (guint i = 0; i < o->entries->len; i++) {
		struct entry *e = g_ptr_array_index(o->entries, i);

		if (!strcmp(e->kind, kind) && !strcmp(e->name, name))
			return e;
	}
	return NULL;
}

/* json-c counts references without atomic operations, so that no part of an
 * entry may be shared with a tree that is freed outside the lock. */
static struct json_object *copy_json(struct json_object *value)
{
	struct json_object *out = NULL;

	if (value && json_object_deep_copy(value, &out, NULL))
		g_error("object store: copying an object: %s",
			g_strerror(errno));
	return out;
}

static struct json_object *entry_to_json(const struct entry *e)
{
	struct json_object *out = json_object_new_object();
	struct json_object *meta = json_object_new_object();

	json_object_object_add(meta, "name", json_object_new_string(e->name));
	json_object_object_add(meta, "rev",
			       json_object_new_int64((int64_t)e->rev));
	json_object_object_add(meta, "created",
			       json_object_new_int64((int64_t)e->created));
	json_object_object_add(meta, "finalizers", copy_json(e->finalizers));
	json_object_object_add(meta, "deleting",
			       json_object_new_boolean(e->deleting));
	json_object_object_add(out, "metadata", meta);
	json_object_object_add(out, "spec", copy_json(e->spec));
	json_object_object_add(out, "status", copy_json(e->status));
	return out;
}

static void append_change(struct objects *o, const struct entry *e,
			  bool deleted)
{
	struct json_object *d = entry_to_json(e);
	struct change *c = g_new0(struct change, 1);

	c->rev = o->rev;
	c->kind = g_strdup(e->kind);
	c->text = g_strdup(json_object_to_json_string(d));
	c->deleted = deleted;
	json_object_put(d);
	g_ptr_array_add(o->history, c);
	if (o->history->len > HISTORY_MAX)
		g_ptr_array_remove_index(o->history, 0);
}

static struct entry *add_entry(struct objects *o, const char *kind,
			       const char *name)
{
	struct entry *e = g_new0(struct entry, 1);

	e->kind = g_strdup(kind);
	e->name = g_strdup(name);
	e->finalizers = json_object_new_array();
	e->created = ++o->rev;
	e->rev = o->rev;
	g_ptr_array_add(o->entries, e);
	g_ptr_array_sort(o->entries, compare_entries);
	return e;
}

/* Accepts entries that are nested more deeply than usual parsers take. */
static struct json_object *parse(const char *text)
{
	struct json_tokener *t = json_tokener_new_ex(DEPTH_MAX);
	struct json_object *o =
		json_tokener_parse_ex(t, text, (int)strlen(text));

	json_tokener_free(t);
	return o;
}

static void replace_json(struct json_object **to, struct json_object *value)
{
	json_object_put(*to);
	*to = copy_json(value);
}

void objects_put(struct objects *o, const char *kind, const char *name,
		 const char *spec)
{
	struct json_object *s = parse(spec);
	struct entry *e;

	g_mutex_lock(&o->lock);
	e = find_entry(o, kind, name);
	if (!e)
		e = add_entry(o, kind, name);
	replace_json(&e->spec, s);
	e->rev = ++o->rev;
	append_change(o, e, false);
	g_mutex_unlock(&o->lock);
	json_object_put(s);
}

static void remove_entry(struct objects *o, struct entry *e)
{
	o->rev++;
	append_change(o, e, true);
	g_ptr_array_set_free_func(o->entries, NULL);
	g_ptr_array_remove(o->entries, e);
	g_ptr_array_set_free_func(o->entries, free_entry);
	free_entry(e);
}

void objects_remove(struct objects *o, const char *kind, const char *name)
{
	struct entry *e;

	g_mutex_lock(&o->lock);
	e = find_entry(o, kind, name);
	if (e)
		remove_entry(o, e);
	g_mutex_unlock(&o->lock);
}

unsigned int objects_count(struct objects *o, const char *kind)
{
	unsigned int n = 0;

	g_mutex_lock(&o->lock);
	for (guint i = 0; i < o->entries->len; i++)
		n += !strcmp(((struct entry *)g_ptr_array_index(o->entries, i))
				     ->kind,
			     kind);
	g_mutex_unlock(&o->lock);
	return n;
}

uint64_t objects_call_count(struct objects *o)
{
	return o->calls;
}

void objects_set_fault(struct objects *o, enum objects_fault fault)
{
	o->fault = fault;
}

static GPtrArray *copy_entries(GPtrArray *from)
{
	GPtrArray *to = g_ptr_array_new_with_free_func(free_entry);

	for (guint i = 0; i < from->len; i++) {
		const struct entry *e = g_ptr_array_index(from, i);
		struct entry *n = g_memdup2(e, sizeof(*e));

		n->kind = g_strdup(e->kind);
		n->name = g_strdup(e->name);
		n->spec = copy_json(e->spec);
		n->status = copy_json(e->status);
		n->finalizers = copy_json(e->finalizers);
		g_ptr_array_add(to, n);
	}
	return to;
}

void objects_save_copy(struct objects *o)
{
	g_mutex_lock(&o->lock);
	if (o->copy)
		g_ptr_array_unref(o->copy);
	o->copy = copy_entries(o->entries);
	o->copy_rev = o->rev;
	g_mutex_unlock(&o->lock);
}

static void restore_copy(struct objects *o)
{
	g_ptr_array_unref(o->entries);
	o->entries = copy_entries(o->copy);
	o->rev = o->copy_rev;
	while (o->history->len && ((struct change *)g_ptr_array_index(
					   o->history, o->history->len - 1))
						  ->rev > o->rev)
		g_ptr_array_remove_index(o->history, o->history->len - 1);
	o->compacted_rev = MIN(o->compacted_rev, o->rev);
	o->era++;
}

void objects_restore_copy(struct objects *o)
{
	g_mutex_lock(&o->lock);
	restore_copy(o);
	g_mutex_unlock(&o->lock);
}

void objects_lose_next_write(struct objects *o)
{
	g_mutex_lock(&o->lock);
	o->lose_next_write = true;
	g_mutex_unlock(&o->lock);
}

void objects_set_era(struct objects *o, uint64_t era)
{
	o->era = era;
}

char *objects_get(struct objects *o, const char *kind, const char *name)
{
	struct entry *e;
	char *text = NULL;

	g_mutex_lock(&o->lock);
	e = find_entry(o, kind, name);
	if (e)
		text = g_strdup(json_object_to_json_string(e->spec));
	g_mutex_unlock(&o->lock);
	return text;
}

void objects_compact(struct objects *o)
{
	g_mutex_lock(&o->lock);
	g_ptr_array_set_size(o->history, 0);
	o->compacted_rev = o->rev;
	g_mutex_unlock(&o->lock);
}

static enum MHD_Result reply_in_era(struct MHD_Connection *c,
				    unsigned int status,
				    struct json_object *body, uint64_t era)
{
	const char *text = body ? json_object_to_json_string(body) : "{}";
	struct MHD_Response *m = sh_response(text, strlen(text));
	char era_text[24];

	g_snprintf(era_text, sizeof(era_text), "%" G_GUINT64_FORMAT, era);
	if (era)
		MHD_add_response_header(m, "Store-Era", era_text);
	MHD_add_response_header(m, "Content-Type", "application/json");
	json_object_put(body);
	return sh_send(c, status, m);
}

static enum MHD_Result reply(struct objects *o, struct MHD_Connection *c,
			     unsigned int status, struct json_object *body)
{
	return reply_in_era(c, status, body, o->era);
}

static const char *query(struct MHD_Connection *c, const char *name)
{
	return MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, name);
}

static struct json_object *list_entries(struct objects *o, const char *kind,
					const char *after)
{
	struct json_object *out = json_object_new_object();
	struct json_object *items = json_object_new_array();
	bool more = false;

	for (guint i = 0; i < o->entries->len && !more; i++) {
		struct entry *e = g_ptr_array_index(o->entries, i);

		if (strcmp(e->kind, kind) != 0 ||
		    (after && strcmp(e->name, after) <= 0))
			continue;
		more = json_object_array_length(items) >= o->page;
		if (!more)
			json_object_array_add(items, entry_to_json(e));
	}
	json_object_object_add(out, "items", items);
	json_object_object_add(out, "has_more", json_object_new_boolean(more));
	json_object_object_add(out, "as_of",
			       json_object_new_int64((int64_t)o->rev));
	return out;
}

static struct json_object *changes_since(struct objects *o, const char *kind,
					 uint64_t since)
{
	struct json_object *events = json_object_new_array();

	for (guint i = 0; i < o->history->len; i++) {
		struct change *h = g_ptr_array_index(o->history, i);
		struct json_object *e;

		if (h->rev <= since || strcmp(h->kind, kind) != 0)
			continue;
		e = json_object_new_object();
		json_object_object_add(e, "deleted",
				       json_object_new_boolean(h->deleted));
		json_object_object_add(e, "object", parse(h->text));
		json_object_array_add(events, e);
	}
	return events;
}

static enum MHD_Result watch(struct objects *o, struct MHD_Connection *c,
			     const char *kind, uint64_t since, int wait_ms)
{
	struct json_object *out, *events = NULL;
	uint64_t era;

	for (int waited = 0;; waited += WATCH_POLL_MS) {
		g_mutex_lock(&o->lock);
		if (since < o->compacted_rev || since > o->rev) {
			g_mutex_unlock(&o->lock);
			json_object_put(events);
			return reply(o, c, 410, NULL);
		}
		json_object_put(events);
		events = changes_since(o, kind, since);
		if (json_object_array_length(events) || waited >= wait_ms ||
		    o->stopping)
			break;
		g_mutex_unlock(&o->lock);
		g_usleep(WATCH_POLL_MS * 1000);
	}
	out = json_object_new_object();
	era = o->era;
	json_object_object_add(out, "events", events);
	json_object_object_add(out, "as_of",
			       json_object_new_int64((int64_t)o->rev));
	g_mutex_unlock(&o->lock);
	return reply_in_era(c, 200, out, era);
}

static enum MHD_Result handle_read(struct objects *o, struct MHD_Connection *c,
				   const char *kind, const char *name)
{
	const char *since = query(c, "watch");
	const char *wait = query(c, "wait_ms");
	struct json_object *out = NULL;
	struct entry *e;
	uint64_t era;

	if (!name && since)
		return watch(o, c, kind, strtoull(since, NULL, 10),
			     wait ? atoi(wait) : 0);
	g_mutex_lock(&o->lock);
	if (!name) {
		out = list_entries(o, kind, query(c, "after"));
	} else {
		e = find_entry(o, kind, name);
		out = e ? entry_to_json(e) : NULL;
	}
	era = o->era;
	g_mutex_unlock(&o->lock);
	return reply_in_era(c, out ? 200 : 404, out, era);
}

static struct json_object *get_member(struct json_object *o, const char *name)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(o, name, &v);
	return v;
}

/* Returns whether the revision in the call is that of the object; true if the
 * call contains none. */
static bool rev_matches(struct MHD_Connection *c, struct json_object *in,
			const struct entry *e)
{
	struct json_object *rev = get_member(get_member(in, "metadata"), "rev");
	const char *text = query(c, "rev");

	if (rev)
		return (uint64_t)json_object_get_int64(rev) == e->rev;
	return !text || strtoull(text, NULL, 10) == e->rev;
}

static enum MHD_Result handle_write(struct objects *o, struct MHD_Connection *c,
				    const char *method, const char *kind,
				    const char *name, bool status,
				    struct json_object *in)
{
	struct json_object *given =
		get_member(get_member(in, "metadata"), "name");
	struct json_object *out = NULL;
	unsigned int code = 200;
	uint64_t era;
	struct entry *e;

	if (!name)
		name = given ? json_object_get_string(given) : "";
	g_mutex_lock(&o->lock);
	e = find_entry(o, kind, name);
	if (!strcmp(method, "POST")) {
		code = e ? 409 : 200;
		if (!e) {
			e = add_entry(o, kind, name);
			replace_json(&e->spec, get_member(in, "spec"));
			append_change(o, e, false);
		}
	} else if (!e) {
		code = 404;
	} else if (!rev_matches(c, in, e)) {
		code = 409;
	} else if (!strcmp(method, "DELETE")) {
		out = entry_to_json(e);
		remove_entry(o, e);
		e = NULL;
	} else {
		replace_json(status ? &e->status : &e->spec,
			     get_member(in, status ? "status" : "spec"));
		e->rev = ++o->rev;
		append_change(o, e, false);
	}
	if (e && code != 404)
		out = entry_to_json(e);
	era = o->era;
	if (o->lose_next_write && code == 200) {
		o->lose_next_write = false;
		restore_copy(o);
	}
	g_mutex_unlock(&o->lock);
	return reply_in_era(c, code, out, era);
}

static enum MHD_Result handle(void *arg, struct MHD_Connection *c,
			      const char *path, const char *method,
			      const char *version, const char *data,
			      size_t *size, void **ctx)
{
	struct objects *o = arg;
	bool write = strcmp(method, "GET") != 0;
	struct json_object *in = NULL;
	enum MHD_Result rc;
	char **parts;

	(void)version;
	if (!sh_collect_body(ctx, data, size))
		return MHD_YES;
	if (o->second_cut &&
	    MHD_get_connection_info(c, MHD_CONNECTION_INFO_DAEMON)->daemon ==
		    o->second)
		return MHD_NO;
	o->calls++;
	if (o->fault == OBJECTS_FAULT_503 || o->fault == OBJECTS_FAULT_429)
		return reply(o, c, o->fault == OBJECTS_FAULT_503 ? 503 : 429,
			     NULL);
	if (o->fault == OBJECTS_FAULT_NO_RESPONSE) {
		for (int i = 0; i < NO_RESPONSE_MS / 10 && !o->stopping; i++)
			g_usleep(10000);
		return MHD_NO;
	}
	if (o->fault == OBJECTS_FAULT_SLOW)
		g_usleep(SLOW_MS * 1000);
	parts = g_strsplit(path, "/", 6);
	if (g_strv_length(parts) < 3 || strcmp(parts[1], "objects") != 0) {
		g_strfreev(parts);
		return reply(o, c, 404, NULL);
	}
	if (write) {
		if (sh_body(ctx)->len)
			in = json_tokener_parse(sh_body(ctx)->str);
		rc = handle_write(o, c, method, parts[2], parts[3],
				  parts[3] && parts[4], in);
		json_object_put(in);
		if (o->fault == OBJECTS_FAULT_LOST_RESPONSE)
			rc = MHD_NO;
	} else {
		rc = handle_read(o, c, parts[2], parts[3]);
	}
	g_strfreev(parts);
	return rc;
}

struct objects *objects_start(uint16_t port, unsigned int page)
{
	struct objects *o = g_new0(struct objects, 1);

	g_mutex_init(&o->lock);
	o->page = page ? page : 500;
	o->rev = 1;
	o->era = 1;
	o->entries = g_ptr_array_new_with_free_func(free_entry);
	o->history = g_ptr_array_new_with_free_func(free_change);
	o->http = sh_listen(port, NULL, NULL, handle, o);
	if (o->http)
		return o;
	objects_stop(o);
	return NULL;
}

void objects_stop(struct objects *o)
{
	o->stopping = true;
	if (o->http)
		MHD_stop_daemon(o->http);
	if (o->second)
		MHD_stop_daemon(o->second);
	g_ptr_array_unref(o->entries);
	if (o->copy)
		g_ptr_array_unref(o->copy);
	g_ptr_array_unref(o->history);
	g_free(o);
}

uint16_t objects_port(struct objects *o)
{
	return MHD_get_daemon_info(o->http, MHD_DAEMON_INFO_BIND_PORT)->port;
}

uint16_t objects_second_port(struct objects *o)
{
	if (!o->second)
		o->second = sh_listen(0, NULL, NULL, handle, o);
	return o->second ? MHD_get_daemon_info(o->second,
					       MHD_DAEMON_INFO_BIND_PORT)
				   ->port
			 : 0;
}

void objects_cut_second_port(struct objects *o, bool cut)
{
	o->second_cut = cut;
}
