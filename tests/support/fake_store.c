#include "fake_store.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define INSTANCES_PATH "/v1/instances"

struct object {
	GBytes *value;
	uint64_t version;
	GBytes *old_value;
	uint64_t old_version;
};

struct fake_store_priv {
	struct MHD_Daemon *mhd;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	GHashTable *objects;
	uint64_t next_version;
	bool stopping;
};

/* The request body received so far. */
struct upload {
	GByteArray *body;
};

static void free_object(gpointer p)
{
	struct object *o = p;

	g_bytes_unref(o->value);
	g_bytes_unref(o->old_value);
	g_free(o);
}

static struct object *find_or_create_object(struct fake_store *s,
					    const char *path)
{
	struct object *o = g_hash_table_lookup(s->p->objects, path);

	if (!o) {
		o = g_new0(struct object, 1);
		g_hash_table_insert(s->p->objects, g_strdup(path), o);
	}
	return o;
}

/* Replaces the value, or removes it if @p data is NULL. The caller holds the
 * lock. Returns the new version. */
static uint64_t store_value(struct fake_store *s, struct object *o,
			    const void *data, size_t len, uint64_t version)
{
	g_bytes_unref(o->old_value);
	o->old_value = o->value;
	o->old_version = o->version;
	o->value = data ? g_bytes_new(data, len) : NULL;
	o->version = version;
	pthread_cond_broadcast(&s->p->changed);
	return version;
}

static enum MHD_Result respond(struct MHD_Connection *c, unsigned int status,
			       GBytes *body, uint64_t version)
{
	gsize len = 0;
	const void *data = body ? g_bytes_get_data(body, &len) : "";
	struct MHD_Response *r = MHD_create_response_from_buffer(
		len, (void *)data, MHD_RESPMEM_MUST_COPY);
	char tag[32];
	enum MHD_Result rc;

	if (version) {
		snprintf(tag, sizeof(tag), "\"%llu\"",
			 (unsigned long long)version);
		MHD_add_response_header(r, "ETag", tag);
	}
	rc = MHD_queue_response(c, status, r);
	MHD_destroy_response(r);
	return rc;
}

static uint64_t query_number(struct MHD_Connection *c, const char *name)
{
	const char *v =
		MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, name);

	return v ? strtoull(v, NULL, 10) : 0;
}

/* The caller holds the lock. Returns false on timeout. */
static bool wait_for_change(struct fake_store *s, struct object *o,
			    uint64_t known, uint64_t ms)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	ts.tv_sec += (time_t)(ms / 1000);
	ts.tv_nsec += (long)(ms % 1000) * 1000000;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_sec++;
		ts.tv_nsec -= 1000000000;
	}
	while (o->version == known && !s->p->stopping)
		if (pthread_cond_timedwait(&s->p->changed, &s->p->lock, &ts))
			return o->version != known;
	return o->version != known;
}

static enum MHD_Result serve_get(struct fake_store *s, struct MHD_Connection *c,
				 const char *path)
{
	bool watch = MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND,
						 "watch") != NULL;
	struct object *o;
	GBytes *value;
	uint64_t version;
	enum MHD_Result rc;

	atomic_fetch_add(watch ? &s->watches : &s->reads, 1);
	pthread_mutex_lock(&s->p->lock);
	o = find_or_create_object(s, path);
	if (watch && !s->stale &&
	    !wait_for_change(s, o, query_number(c, "watch"),
			     query_number(c, "timeout_ms"))) {
		pthread_mutex_unlock(&s->p->lock);
		return respond(c, 304, NULL, 0);
	}
	value = s->stale ? o->old_value : o->value;
	version = s->stale ? o->old_version : o->version;
	if (value)
		g_bytes_ref(value);
	pthread_mutex_unlock(&s->p->lock);
	if (!value)
		return respond(c, 404, NULL, 0);
	rc = respond(c, 200, value, version);
	g_bytes_unref(value);
	return rc;
}

static bool condition_holds(struct MHD_Connection *c, const struct object *o)
{
	const char *none = MHD_lookup_connection_value(c, MHD_HEADER_KIND,
						       "If-None-Match");
	const char *match =
		MHD_lookup_connection_value(c, MHD_HEADER_KIND, "If-Match");

	if (none)
		return !o->value;
	return match && *match == '"' && o->value &&
	       strtoull(match + 1, NULL, 10) == o->version;
}

static enum MHD_Result serve_write(struct fake_store *s,
				   struct MHD_Connection *c, const char *path,
				   const GByteArray *body)
{
	struct object *o;
	bool existed;
	bool ok;
	uint64_t v = 0;

	atomic_fetch_add(&s->writes, 1);
	if (s->drop_writes > 0) {
		s->drop_writes--;
		return MHD_NO;
	}
	pthread_mutex_lock(&s->p->lock);
	o = find_or_create_object(s, path);
	existed = o->value != NULL;
	ok = condition_holds(c, o);
	if (ok)
		v = store_value(s, o, body ? body->data : NULL,
				body ? body->len : 0,
				body ? ++s->p->next_version : 0);
	pthread_mutex_unlock(&s->p->lock);
	if (ok && s->lose_writes > 0) {
		s->lose_writes--;
		return MHD_NO;
	}
	if (!ok)
		return respond(c, 412, NULL, 0);
	if (!body)
		return respond(c, 204, NULL, 0);
	return respond(c, existed ? 200 : 201, NULL, v);
}

static enum MHD_Result handle_request(void *arg, struct MHD_Connection *c,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *size, void **state)
{
	struct fake_store *s = arg;
	struct upload *u = *state;

	(void)version;
	if (!u) {
		u = g_new0(struct upload, 1);
		u->body = g_byte_array_new();
		*state = u;
		return MHD_YES;
	}
	if (*size) {
		g_byte_array_append(u->body, (const guint8 *)data,
				    (guint)*size);
		*size = 0;
		return MHD_YES;
	}
	if (s->slow_ms > 0)
		g_usleep((gulong)s->slow_ms * 1000);
	if (s->down)
		return respond(c, 503, NULL, 0);
	if (s->broken)
		return respond(c, 500, NULL, 0);
	if (!strcmp(method, "GET"))
		return serve_get(s, c, url);
	return serve_write(s, c, url,
			   strcmp(method, "DELETE") ? u->body : NULL);
}

static void free_upload(void *arg, struct MHD_Connection *c, void **state,
			enum MHD_RequestTerminationCode code)
{
	struct upload *u = *state;

	(void)arg;
	(void)c;
	(void)code;
	if (!u)
		return;
	g_byte_array_unref(u->body);
	g_free(u);
	*state = NULL;
}

struct fake_store *fake_store_start(uint16_t port)
{
	struct fake_store *s = g_new0(struct fake_store, 1);
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons(port) };

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->p = g_new0(struct fake_store_priv, 1);
	pthread_mutex_init(&s->p->lock, NULL);
	pthread_cond_init(&s->p->changed, NULL);
	s->p->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_object);
	s->p->mhd = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
		port, NULL, NULL, handle_request, s, MHD_OPTION_SOCK_ADDR, &a,
		MHD_OPTION_NOTIFY_COMPLETED, free_upload, NULL,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)65536,
		MHD_OPTION_END);
	if (!s->p->mhd) {
		fake_store_stop(s);
		return NULL;
	}
	return s;
}

void fake_store_stop(struct fake_store *s)
{
	pthread_mutex_lock(&s->p->lock);
	s->p->stopping = true;
	pthread_cond_broadcast(&s->p->changed);
	pthread_mutex_unlock(&s->p->lock);
	if (s->p->mhd)
		MHD_stop_daemon(s->p->mhd);
	g_hash_table_destroy(s->p->objects);
	pthread_mutex_destroy(&s->p->lock);
	pthread_cond_destroy(&s->p->changed);
	g_free(s->p);
	g_free(s);
}

uint64_t fake_store_put(struct fake_store *s, const char *name,
			const void *data, size_t len)
{
	char *path = g_strdup_printf("/v1/objects/%s", name);
	uint64_t v;

	pthread_mutex_lock(&s->p->lock);
	v = store_value(s, find_or_create_object(s, path), data, len,
			++s->p->next_version);
	pthread_mutex_unlock(&s->p->lock);
	g_free(path);
	return v;
}

GBytes *fake_store_value(struct fake_store *s, const char *name)
{
	char *path = g_strdup_printf("/v1/objects/%s", name);
	struct object *o;
	GBytes *value;

	pthread_mutex_lock(&s->p->lock);
	o = find_or_create_object(s, path);
	value = o->value ? g_bytes_ref(o->value) : NULL;
	pthread_mutex_unlock(&s->p->lock);
	g_free(path);
	return value;
}

void fake_store_set_list(struct fake_store *s, uint64_t version,
			 const char *json)
{
	pthread_mutex_lock(&s->p->lock);
	store_value(s, find_or_create_object(s, INSTANCES_PATH), json,
		    strlen(json), version);
	pthread_mutex_unlock(&s->p->lock);
}
