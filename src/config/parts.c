#include "internal/parts.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "internal/names.h"
#include "internal/objects.h"
#include "internal/snapshot.h"

/* A part is fetched in chunks of 6 KB and rewritten whole when one of its
 * objects changes, which favours small parts. But each part adds about 75 bytes
 * to the root. */
#define PART_TARGET_BYTES  (32 * 1024)
#define MAX_PARTS_PER_KIND 4096
#define MAX_PARTS	   (3 * MAX_PARTS_PER_KIND)
/* Hash seed. It differs from that of cg_shard_of, so that the distributions
 * over parts and over shards are independent. */
#define PART_SEED 1

static uint32_t part_index_of(const char *name, uint32_t count)
{
	return (uint32_t)XXH64(name, strlen(name), PART_SEED) & (count - 1);
}

void cg_part_name(const uint8_t digest[CG_DIGEST_SIZE],
		  char out[CG_PART_NAME_SIZE])
{
	char hex[CG_DIGEST_HEX_SIZE];

	cg_digest_format(digest, hex);
	g_snprintf(out, CG_PART_NAME_SIZE, "config/parts/%s", hex);
}

void cg_part_digest(GBytes *content, uint8_t out[CG_DIGEST_SIZE])
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len;
	const guchar *data = g_bytes_get_data(content, &len);
	gsize size = CG_DIGEST_SIZE;

	g_checksum_update(sum, data, (gssize)len);
	g_checksum_get_digest(sum, out, &size);
	g_checksum_free(sum);
}

/* Encoding and decoding of the root. */

void cg_root_clear(struct cg_root *r)
{
	g_free(r->parts);
	memset(r, 0, sizeof(*r));
}

GBytes *cg_root_encode(const struct cg_root *r)
{
	GString *s = g_string_new(NULL);
	char hex[CG_DIGEST_HEX_SIZE];

	g_string_printf(s,
			"{\"version\":%" G_GUINT64_FORMAT
			",\"write_id\":\"%s\",\"earlier\":[",
			r->version, r->write_id);
	for (size_t i = 0; i < CG_ROOT_EARLIER_IDS && r->earlier[i][0]; i++)
		g_string_append_printf(s, "%s\"%s\"", i ? "," : "",
				       r->earlier[i]);
	g_string_append(s, "],\"parts\":[");
	for (size_t i = 0; i < r->part_count; i++) {
		cg_digest_format(r->parts[i].digest, hex);
		g_string_append_printf(s, "%s\n\"%s %u\"", i ? "," : "", hex,
				       r->parts[i].size);
	}
	g_string_append(s, "]}\n");
	return g_string_free_to_bytes(s);
}

static bool write_id_valid(const char *text)
{
	uint8_t unused[CG_DIGEST_SIZE];
	char padded[CG_DIGEST_HEX_SIZE];

	if (strlen(text) != CG_WRITE_ID_SIZE - 1)
		return false;
	g_snprintf(padded, sizeof(padded), "%s%s", text, text);
	return cg_digest_parse(padded, unused) == 0;
}

static const char *array_string(struct json_object *list, size_t i)
{
	struct json_object *v = json_object_array_get_idx(list, i);

	return json_object_is_type(v, json_type_string)
		       ? json_object_get_string(v)
		       : "";
}

static int parse_part_ref(const char *text, struct cg_part_ref *out)
{
	guint64 size;

	if (strlen(text) < CG_DIGEST_HEX_SIZE ||
	    text[CG_DIGEST_HEX_SIZE - 1] != ' ' ||
	    cg_digest_parse(text, out->digest) ||
	    !g_ascii_string_to_unsigned(text + CG_DIGEST_HEX_SIZE, 10, 1,
					CG_PART_MAX_BYTES, &size, NULL))
		return -1;
	out->size = (uint32_t)size;
	return 0;
}

static void read_part_refs(struct json_object *o, struct cg_root *r,
			   struct cg_faults *f)
{
	struct json_object *list;
	size_t n;
	int rc = cg_json_get_array(o, "parts", CG_ROOT_OBJECT, &list, f);

	if (rc) {
		if (rc == 1)
			cg_faults_add(f, CG_ROOT_OBJECT, "parts is missing");
		return;
	}
	n = json_object_array_length(list);
	if (n > MAX_PARTS) {
		cg_faults_add(f, CG_ROOT_OBJECT, "has more than %d parts",
			      MAX_PARTS);
		return;
	}
	r->parts = g_new0(struct cg_part_ref, n);
	r->part_count = n;
	for (size_t i = 0; i < n; i++)
		if (parse_part_ref(array_string(list, i), &r->parts[i]))
			cg_faults_add(f, CG_ROOT_OBJECT,
				      "parts[%zu] is not valid", i);
}

static void read_earlier(struct json_object *o, struct cg_root *r,
			 struct cg_faults *f)
{
	struct json_object *list;
	size_t n;

	if (cg_json_get_array(o, "earlier", CG_ROOT_OBJECT, &list, f))
		return;
	n = MIN(json_object_array_length(list), CG_ROOT_EARLIER_IDS);
	for (size_t i = 0; i < n; i++) {
		const char *id = array_string(list, i);

		if (write_id_valid(id))
			g_strlcpy(r->earlier[i], id, CG_WRITE_ID_SIZE);
		else
			cg_faults_add(f, CG_ROOT_OBJECT,
				      "earlier[%zu] is not valid", i);
	}
}

static void read_root(struct json_object *o, struct cg_root *r,
		      struct cg_faults *f)
{
	const char *id;
	int64_t version = 0;
	int rc;

	rc = cg_json_get_int(o, "version", CG_ROOT_OBJECT, 1, INT64_MAX - 1,
			     &version, f);
	if (rc == 1)
		cg_faults_add(f, CG_ROOT_OBJECT, "version is missing");
	r->version = (uint64_t)version;
	rc = cg_json_get_string(o, "write_id", CG_ROOT_OBJECT, &id, f);
	if (!rc && write_id_valid(id))
		g_strlcpy(r->write_id, id, sizeof(r->write_id));
	else if (rc >= 0)
		cg_faults_add(f, CG_ROOT_OBJECT, "write_id is not valid");
	read_earlier(o, r, f);
	read_part_refs(o, r, f);
}

int cg_root_parse(GBytes *text, struct cg_root *out, struct cg_faults *f)
{
	size_t before = f->n;
	struct json_object *o;
	gsize len;
	const char *data = g_bytes_get_data(text, &len);

	memset(out, 0, sizeof(*out));
	if (cg_json_parse(data ? data : "", len, CG_ROOT_OBJECT, &o, f))
		return -1;
	if (json_object_is_type(o, json_type_object))
		read_root(o, out, f);
	else
		cg_faults_add(f, CG_ROOT_OBJECT, "is not an object");
	json_object_put(o);
	if (f->n == before)
		return 0;
	cg_root_clear(out);
	return -1;
}

/* Decoding of parts. */

/* Number of parts of each kind according to their headers, and which of them
 * have been read. */
struct part_layout {
	/* 0 until the first part of the kind is read. */
	uint32_t count[CG_OBJECT_KIND_COUNT];
	uint8_t *seen[CG_OBJECT_KIND_COUNT];
	uint32_t seen_count[CG_OBJECT_KIND_COUNT];
};

struct part_header {
	enum cg_object_kind kind;
	uint32_t part;
	uint32_t count;
	struct json_object *objects;
};

static int parse_kind(const char *text, enum cg_object_kind *out)
{
	for (int k = 0; k < CG_OBJECT_KIND_COUNT; k++) {
		if (!strcmp(text,
			    cg_object_kind_name((enum cg_object_kind)k))) {
			*out = (enum cg_object_kind)k;
			return 0;
		}
	}
	return -1;
}

static int read_header(struct json_object *o, const char *place,
		       struct part_header *h, struct cg_faults *f)
{
	const char *kind;
	int64_t part;
	int64_t count;

	if (!json_object_is_type(o, json_type_object) ||
	    cg_json_get_string(o, "kind", place, &kind, f) ||
	    parse_kind(kind, &h->kind) ||
	    cg_json_get_int(o, "of", place, 1, MAX_PARTS_PER_KIND, &count, f) ||
	    cg_json_get_int(o, "part", place, 0, count - 1, &part, f) ||
	    (count & (count - 1)) ||
	    !json_object_object_get_ex(o, "objects", &h->objects) ||
	    !json_object_is_type(h->objects, json_type_object) ||
	    json_object_object_length(o) != 4) {
		cg_faults_add(f, place, "header is not valid");
		return -1;
	}
	h->part = (uint32_t)part;
	h->count = (uint32_t)count;
	return 0;
}

static int record_part(struct part_layout *l, const struct part_header *h,
		       const char *place, struct cg_faults *f)
{
	if (!l->count[h->kind]) {
		l->count[h->kind] = h->count;
		l->seen[h->kind] = g_new0(uint8_t, h->count);
	}
	if (l->count[h->kind] != h->count || l->seen[h->kind][h->part]) {
		cg_faults_add(f, place, "does not match the other parts");
		return -1;
	}
	l->seen[h->kind][h->part] = 1;
	l->seen_count[h->kind]++;
	return 0;
}

static void add_objects(struct cg_builder *b, const struct part_header *h,
			const char *place, struct cg_faults *f)
{
	json_object_object_foreach(h->objects, name, o) {
		if (part_index_of(name, h->count) != h->part) {
			cg_faults_add(f, place,
				      "an object is in the wrong "
				      "part");
			return;
		}
		cg_builder_add(b, h->kind, name, o);
	}
}

static int check_content(const struct cg_part_ref *ref, GBytes *content,
			 const char *place, struct cg_faults *f)
{
	uint8_t digest[CG_DIGEST_SIZE];

	if (!content || ref->size > CG_PART_MAX_BYTES ||
	    g_bytes_get_size(content) != ref->size) {
		cg_faults_add(f, place, "is missing or has the wrong size");
		return -1;
	}
	cg_part_digest(content, digest);
	if (memcmp(digest, ref->digest, sizeof(digest)) != 0) {
		cg_faults_add(f, place, "content does not match its digest");
		return -1;
	}
	return 0;
}

static void read_part(struct cg_builder *b, struct part_layout *l,
		      const struct cg_part_ref *ref, GBytes *content,
		      struct cg_faults *f)
{
	char place[CG_PART_NAME_SIZE];
	struct part_header h;
	struct json_object *o;
	const char *data;
	gsize len;

	cg_part_name(ref->digest, place);
	if (check_content(ref, content, place, f))
		return;
	data = g_bytes_get_data(content, &len);
	if (cg_json_parse(data, len, place, &o, f))
		return;
	if (!read_header(o, place, &h, f) && !record_part(l, &h, place, f))
		add_objects(b, &h, place, f);
	json_object_put(o);
}

int cg_config_build(const struct cg_root *root, GBytes *const *parts,
		    struct cg_config **out, struct cg_faults *f)
{
	struct cg_builder *b = cg_builder_new(NULL, NULL, f);
	struct part_layout l = { 0 };
	int rc;

	for (size_t i = 0; i < root->part_count; i++)
		read_part(b, &l, &root->parts[i], parts[i], f);
	for (int k = 0; k < CG_OBJECT_KIND_COUNT; k++) {
		if (l.seen_count[k] != l.count[k])
			cg_faults_add(
				f, CG_ROOT_OBJECT, "lacks parts of %s",
				cg_object_kind_name((enum cg_object_kind)k));
		g_free(l.seen[k]);
	}
	rc = cg_builder_finish(b, root->version, out);
	cg_builder_free(b);
	return rc;
}

/* Encoding of parts. Names and paths need no escaping in JSON. */

static void append_bool(GString *s, const char *name, bool v)
{
	g_string_append_printf(s, ",\"%s\":%s", name, v ? "true" : "false");
}

static void append_milli(GString *s, const char *name, int64_t milli)
{
	int decimals = (int)(milli % 1000);

	g_string_append_printf(s, "\"%s\":%" G_GINT64_FORMAT, name,
			       milli / 1000);
	if (decimals)
		g_string_append_printf(s, ".%03d", decimals);
}

static void append_server(GString *s, const struct cg_server *srv)
{
	g_string_append_printf(s,
			       "\"%s\":{\"address\":\"%s:%u\",\"slots\":%u,"
			       "\"connections\":%u,\"failure_domain\":\"%s\"}",
			       srv->name, srv->host, srv->port, srv->slots,
			       srv->connections, srv->failure_domain);
}

static void append_service(GString *s, const struct cg_service *v)
{
	g_string_append_printf(
		s,
		"{\"floor_percent\":%u,\"workers\":%u,\"queue\":%u,"
		"\"queue_per_account\":%u,\"attempt_timeout_ms\":%" PRId64
		",\"ramp_ms\":%" PRId64,
		v->floor_percent, v->workers, v->queue, v->queue_per_account,
		v->attempt_timeout_ms, v->ramp_ms);
	append_bool(s, "echo_attempt", v->echo_attempt);
	g_string_append(s, ",\"servers\":{");
	for (size_t i = 0; i < v->server_count; i++) {
		if (i)
			g_string_append_c(s, ',');
		append_server(s, &v->servers[i]);
	}
	g_string_append(s, "}}");
}

static void append_methods(GString *s, unsigned int set)
{
	const char *sep = "";

	for (unsigned int m = 1; m <= CG_METHOD_OPTIONS; m <<= 1) {
		if (!(set & m))
			continue;
		g_string_append_printf(s, "%s\"%s\"", sep,
				       cg_method_name((enum cg_method)m));
		sep = ",";
	}
}

static void append_allowed_accounts(GString *s, const struct cg_route *r)
{
	g_string_append(s, ",\"accounts\":[");
	for (size_t i = 0; i < r->account_count; i++)
		g_string_append_printf(s, "%s\"%s\"", i ? "," : "",
				       r->accounts[i]->name);
	g_string_append_c(s, ']');
}

static void append_route(GString *s, const struct cg_route *r)
{
	g_string_append_printf(s, "{\"path\":\"%s\",\"methods\":[", r->path);
	append_methods(s, r->methods);
	g_string_append_printf(s, "],\"service\":\"%s\"", r->service->name);
	append_bool(s, "open", r->open);
	append_bool(s, "idempotent", r->idempotent);
	g_string_append_printf(s, ",\"deadline_ms\":%" PRId64, r->deadline_ms);
	if (r->accounts)
		append_allowed_accounts(s, r);
	g_string_append_c(s, '}');
}

static void append_account(GString *s, const struct cg_config *c, size_t i)
{
	const struct cg_account *a = &c->accounts[i];
	char hex[CG_DIGEST_HEX_SIZE];

	g_string_append_c(s, '{');
	append_milli(s, "rate", a->rate_milli);
	g_string_append_c(s, ',');
	append_milli(s, "burst", a->burst_milli);
	g_string_append(s, ",\"keys\":{");
	for (uint32_t k = c->key_start[i]; k < c->key_start[i + 1]; k++) {
		cg_digest_format(c->keys[k].digest, hex);
		g_string_append_printf(s, "%s\"%s\":\"sha256:%s\"",
				       k > c->key_start[i] ? "," : "",
				       c->keys[k].name, hex);
	}
	g_string_append(s, "}}");
}

size_t cg_object_count(const struct cg_config *c, enum cg_object_kind kind)
{
	switch (kind) {
	case CG_OBJECT_SERVICE:
		return c->service_count;
	case CG_OBJECT_ROUTE:
		return c->route_count;
	case CG_OBJECT_ACCOUNT:
		return c->account_count;
	case CG_OBJECT_KIND_COUNT:
		break;
	}
	return 0;
}

const char *cg_object_name(const struct cg_config *c, enum cg_object_kind kind,
			   size_t i)
{
	switch (kind) {
	case CG_OBJECT_SERVICE:
		return c->services[i].name;
	case CG_OBJECT_ROUTE:
		return c->routes[i].name;
	case CG_OBJECT_ACCOUNT:
		return c->accounts[i].name;
	case CG_OBJECT_KIND_COUNT:
		break;
	}
	return NULL;
}

void cg_object_encode(const struct cg_config *c, enum cg_object_kind kind,
		      size_t i, GString *s)
{
	switch (kind) {
	case CG_OBJECT_SERVICE:
		append_service(s, &c->services[i]);
		break;
	case CG_OBJECT_ROUTE:
		append_route(s, &c->routes[i]);
		break;
	case CG_OBJECT_ACCOUNT:
		append_account(s, c, i);
		break;
	case CG_OBJECT_KIND_COUNT:
		break;
	}
}

/* The number of parts depends only on the total size of the objects, so that
 * equal objects give equal parts, whatever was stored before. */
static uint32_t choose_part_count(size_t bytes)
{
	uint32_t count = 1;

	while (count < MAX_PARTS_PER_KIND &&
	       bytes > (size_t)count * PART_TARGET_BYTES)
		count *= 2;
	return count;
}

static void append_object(GString *part, const char *name, const char *text)
{
	/* A part without objects ends with the opening brace. */
	if (part->str[part->len - 1] != '{')
		g_string_append_c(part, ',');
	g_string_append_printf(part, "\n\"%s\":%s", name, text);
}

static GBytes *finish_part(GString *part, const char *kind, uint32_t i,
			   struct cg_faults *f)
{
	g_string_append(part, "}}\n");
	if (part->len > CG_PART_MAX_BYTES)
		cg_faults_add(f, kind,
			      "part %u has %zu bytes, more than %d; an object "
			      "is too large",
			      i, part->len, CG_PART_MAX_BYTES);
	return g_string_free_to_bytes(part);
}

/* Appends the parts of one kind to @p out. The hash of an object's name selects
 * its part, so that a changed object changes one part only, unless the number
 * of parts changes. */
static void encode_kind(const struct cg_config *c, enum cg_object_kind kind,
			GPtrArray *out, struct cg_faults *f)
{
	size_t n = cg_object_count(c, kind);
	GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);
	const char *plural = cg_object_kind_name(kind);
	size_t bytes = 0;
	uint32_t count;
	GString **parts;

	for (size_t i = 0; i < n; i++) {
		GString *s = g_string_new(NULL);

		cg_object_encode(c, kind, i, s);
		/* append_object adds 5 bytes: line feed, quotes, colon and
		 * comma. */
		bytes += s->len + strlen(cg_object_name(c, kind, i)) + 5;
		g_ptr_array_add(texts, g_string_free(s, FALSE));
	}
	count = n ? choose_part_count(bytes) : 0;
	parts = g_new0(GString *, count);
	for (uint32_t i = 0; i < count; i++) {
		parts[i] = g_string_new(NULL);
		g_string_printf(parts[i],
				"{\"kind\":\"%s\",\"part\":%u,\"of\":%u,"
				"\"objects\":{",
				plural, i, count);
	}
	for (size_t i = 0; i < n; i++) {
		const char *name = cg_object_name(c, kind, i);

		append_object(parts[part_index_of(name, count)], name,
			      texts->pdata[i]);
	}
	for (uint32_t i = 0; i < count; i++)
		g_ptr_array_add(out, finish_part(parts[i], plural, i, f));
	g_free(parts);
	g_ptr_array_unref(texts);
}

static void unref_bytes(void *p)
{
	g_bytes_unref(p);
}

int cg_parts_encode(const struct cg_config *c, struct cg_root *root,
		    GPtrArray **out, struct cg_faults *f)
{
	GPtrArray *parts = g_ptr_array_new_with_free_func(unref_bytes);
	size_t before = f->n;

	memset(root, 0, sizeof(*root));
	for (int k = 0; k < CG_OBJECT_KIND_COUNT; k++)
		encode_kind(c, (enum cg_object_kind)k, parts, f);
	if (f->n > before) {
		g_ptr_array_unref(parts);
		return -1;
	}
	root->part_count = parts->len;
	root->parts = g_new0(struct cg_part_ref, parts->len);
	for (guint i = 0; i < parts->len; i++) {
		cg_part_digest(parts->pdata[i], root->parts[i].digest);
		root->parts[i].size =
			(uint32_t)g_bytes_get_size(parts->pdata[i]);
	}
	*out = parts;
	return 0;
}
