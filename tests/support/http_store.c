#include "http_store.h"

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OBJECTS_PATH "/v1/objects/"

struct stored_object {
	GBytes *body;
	uint64_t version;
};

struct http_store {
	struct MHD_Daemon *daemon;
	pthread_mutex_t lock;
	GHashTable *objects;
	uint64_t last_version;
	char *instances;
	bool outage;
	bool fail_after_update;
	bool race_next_update;
};

struct reply {
	unsigned int status;
	GBytes *body; /* NULL: empty. */
	uint64_t version; /* 0: no ETag. */
};

static void free_stored_object(void *p)
{
	struct stored_object *o = p;

	g_bytes_unref(o->body);
	g_free(o);
}

static uint64_t store_object(struct http_store *s, const char *name,
			     GBytes *body)
{
	struct stored_object *o = g_new0(struct stored_object, 1);

	o->body = g_bytes_ref(body);
	o->version = ++s->last_version;
	g_hash_table_replace(s->objects, g_strdup(name), o);
	return o->version;
}

static uint64_t parse_etag(const char *text)
{
	return text && text[0] == '"' ? strtoull(text + 1, NULL, 10) : 0;
}

/* Acts as a concurrent writer: stores the same content as a new version. */
static void simulate_concurrent_update(struct http_store *s, const char *name)
{
	struct stored_object *o = g_hash_table_lookup(s->objects, name);

	s->race_next_update = false;
	if (o)
		store_object(s, name, o->body);
}

static struct reply put_object(struct http_store *s, struct MHD_Connection *c,
			       const char *name, GBytes *body)
{
	const char *match =
		MHD_lookup_connection_value(c, MHD_HEADER_KIND, "If-Match");
	const struct stored_object *o;
	struct reply a = { .status = match ? 200 : 201 };

	if (match && s->race_next_update)
		simulate_concurrent_update(s, name);
	o = g_hash_table_lookup(s->objects, name);
	if (match ? !o || o->version != parse_etag(match) : o != NULL)
		return (struct reply){ .status = 412 };
	a.version = store_object(s, name, body);
	if (match && s->fail_after_update) {
		s->outage = true;
		a.status = 500;
	}
	return a;
}

static struct reply get_object(struct http_store *s, const char *name)
{
	const struct stored_object *o = g_hash_table_lookup(s->objects, name);

	if (!o)
		return (struct reply){ .status = 404 };
	return (struct reply){ .status = 200,
			       .body = g_bytes_ref(o->body),
			       .version = o->version };
}

static struct reply handle_call(struct http_store *s, struct MHD_Connection *c,
				const char *url, const char *method,
				GBytes *body)
{
	if (s->outage)
		return (struct reply){ .status = 503 };
	if (!strcmp(url, "/v1/instances"))
		return (struct reply){
			.status = 200,
			.body = g_bytes_new(s->instances, strlen(s->instances))
		};
	if (!g_str_has_prefix(url, OBJECTS_PATH))
		return (struct reply){ .status = 400 };
	url += strlen(OBJECTS_PATH);
	return !strcmp(method, "PUT") ? put_object(s, c, url, body)
				      : get_object(s, url);
}

static enum MHD_Result send_reply(struct MHD_Connection *c, struct reply *a)
{
	char etag[32];
	gsize len = 0;
	const void *data = a->body ? g_bytes_get_data(a->body, &len) : "";
	struct MHD_Response *r = MHD_create_response_from_buffer(
		len, (void *)data, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;

	if (a->version) {
		g_snprintf(etag, sizeof(etag), "\"%" G_GUINT64_FORMAT "\"",
			   a->version);
		MHD_add_response_header(r, "ETag", etag);
	}
	rc = MHD_queue_response(c, a->status, r);
	MHD_destroy_response(r);
	if (a->body)
		g_bytes_unref(a->body);
	return rc;
}

static enum MHD_Result handle_request(void *arg, struct MHD_Connection *c,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *len, void **request)
{
	struct http_store *s = arg;
	GByteArray *text = *request;
	struct reply a;
	GBytes *body;

	if (!text) {
		*request = g_byte_array_new();
		return MHD_YES;
	}
	if (*len) {
		g_byte_array_append(text, (const guint8 *)data, (guint)*len);
		*len = 0;
		return MHD_YES;
	}
	*request = NULL;
	body = g_byte_array_free_to_bytes(text);
	pthread_mutex_lock(&s->lock);
	a = handle_call(s, c, url, method, body);
	pthread_mutex_unlock(&s->lock);
	g_bytes_unref(body);
	return send_reply(c, &a);
}

struct http_store *http_store_start(uint16_t port)
{
	struct http_store *s = g_new0(struct http_store, 1);
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port) };

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	pthread_mutex_init(&s->lock, NULL);
	s->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_stored_object);
	s->instances = g_strdup("{\"version\":1,\"instances\":[]}");
	s->daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD, port, NULL, NULL,
		handle_request, s, MHD_OPTION_SOCK_ADDR, &addr, MHD_OPTION_END);
	if (s->daemon)
		return s;
	http_store_stop(s);
	return NULL;
}

void http_store_stop(struct http_store *s)
{
	if (!s)
		return;
	if (s->daemon)
		MHD_stop_daemon(s->daemon);
	g_hash_table_unref(s->objects);
	pthread_mutex_destroy(&s->lock);
	g_free(s->instances);
	g_free(s);
}

void http_store_set_instances(struct http_store *s, const char *text)
{
	pthread_mutex_lock(&s->lock);
	g_free(s->instances);
	s->instances = g_strdup(text);
	pthread_mutex_unlock(&s->lock);
}

void http_store_set_outage(struct http_store *s, bool outage)
{
	pthread_mutex_lock(&s->lock);
	s->outage = outage;
	s->fail_after_update = false;
	pthread_mutex_unlock(&s->lock);
}

void http_store_fail_after_update(struct http_store *s)
{
	pthread_mutex_lock(&s->lock);
	s->fail_after_update = true;
	pthread_mutex_unlock(&s->lock);
}

void http_store_race_next_update(struct http_store *s)
{
	pthread_mutex_lock(&s->lock);
	s->race_next_update = true;
	pthread_mutex_unlock(&s->lock);
}
