#include "internal/settings.h"

#include <arpa/inet.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "celeryglade/memory_budget.h"
#define CG_PART "settings"
#include "internal/logging.h"
#include "internal/names.h"

/* A shorter secret could be found by testing all values against one captured
 * datagram. */
#define MIN_SECRET_BYTES 16
#define MAX_SECRET_BYTES 4096

/* Description of a numeric setting. */
struct number_setting {
	const char *name;
	size_t offset;
	bool is_ms; /* Type of the field: cg_ms if true, uint32_t if false. */
	int64_t fallback;
	int64_t lowest;
	int64_t highest;
};

#define U32(field, fallback, lowest, highest)                                  \
	{                                                                      \
#field, offsetof(struct cg_settings, field), false, fallback,  \
			lowest, highest                                        \
	}
#define MS(field, fallback, lowest, highest)                                   \
	{                                                                      \
#field, offsetof(struct cg_settings, field), true, fallback,   \
			lowest, highest                                        \
	}

static const struct number_setting number_settings[] = {
	U32(http_threads, 4, 1, 64),
	U32(max_connections, 4000, 1, 100000),
	U32(max_body_bytes, 1048576, 1, 1048576),
	U32(request_head_max_bytes, 30 * 1024, 4096, 256 * 1024),
	U32(response_head_max_bytes, 23 * 1024, 4096, 256 * 1024),
	U32(memory_max_mb, CG_MEMORY_MAX_MB_DEFAULT, CG_MEMORY_MAX_MB_LOWEST,
	    CG_MEMORY_MAX_MB_HIGHEST),
	MS(body_stall_ms, 75000, 1000, 3600000),
	MS(response_stall_ms, 75000, 1000, 3600000),
	MS(gossip_ms, 500, 20, 60000),
	MS(poll_ms, 10000, 50, 3600000),
	MS(key_isolation_ms, 5000, 100, 600000),
	MS(gone_confirm_ms, 10000, 100, 600000),
	MS(rate_wait_ms, 100, 0, 10000),
	MS(unlisted_lease_ms, 30000, 100, 600000),
	MS(verdict_ttl_ms, 30000, 100, 600000),
	MS(eject_ms, 10000, 100, 300000),
	MS(lame_duck_ms, 5000, 0, 600000),
	MS(drain_max_ms, 60000, 0, 3600000),
};

static const char *const known_settings[] = {
	"instance",
	"failure_domain",
	"region",
	"listen",
	"admin",
	"peer",
	"store",
	"seeds",
	"fleet_secret_file",
	"log_level",
	"log_json",
	"http_threads",
	"max_connections",
	"max_body_bytes",
	"request_head_max_bytes",
	"response_head_max_bytes",
	"memory_max_mb",
	"body_stall_ms",
	"response_stall_ms",
	"gossip_ms",
	"poll_ms",
	"key_isolation_ms",
	"gone_confirm_ms",
	"rate_wait_ms",
	"unlisted_lease_ms",
	"verdict_ttl_ms",
	"eject_ms",
	"lame_duck_ms",
	"drain_max_ms",
	NULL,
};

/* State of reading one settings file. */
struct settings_reader {
	struct json_object *o;
	const char *path;
	struct cg_settings *s;
	struct cg_faults *f;
};

static const char *required_string(struct settings_reader *r, const char *name)
{
	const char *text = NULL;

	if (cg_json_get_string(r->o, name, r->path, &text, r->f) == 1)
		cg_faults_add(r->f, r->path, "%s is missing", name);
	return text;
}

static void read_name(struct settings_reader *r, const char *name, char *out)
{
	const char *text = required_string(r, name);

	if (!text)
		return;
	if (cg_name_valid(text))
		g_strlcpy(out, text, CG_NAME_MAX + 1);
	else
		cg_faults_add(r->f, r->path, "%s must be " CG_NAME_RULE, name);
}

static void read_address(struct settings_reader *r, const char *name,
			 struct sockaddr_in *out)
{
	const char *text = required_string(r, name);

	if (text && cg_parse_address(text, out)) {
		cg_faults_add(r->f, r->path, "%s must be \"IP:PORT\"", name);
		memset(out, 0, sizeof(*out));
	}
}

static void read_store(struct settings_reader *r, struct sockaddr_in *addr)
{
	static const char scheme[] = "http://";
	const char *text = required_string(r, "store");

	if (!text)
		return;
	if (!g_str_has_prefix(text, scheme) ||
	    cg_parse_address(text + strlen(scheme), addr)) {
		cg_faults_add(r->f, r->path,
			      "store must be \"http://IP:PORT\"");
		memset(addr, 0, sizeof(*addr));
		return;
	}
	r->s->store_url = g_strdup(text);
}

static bool same_address(const struct sockaddr_in *a,
			 const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

static void add_seed(struct settings_reader *r, size_t i, const char *text)
{
	struct cg_settings *s = r->s;
	struct sockaddr_in a;

	if (!text || cg_parse_address(text, &a)) {
		cg_faults_add(r->f, r->path, "seeds[%zu] must be \"IP:PORT\"",
			      i);
		return;
	}
	for (size_t k = 0; k < s->seed_count; k++)
		if (same_address(&s->seeds[k], &a)) {
			cg_faults_add(r->f, r->path, "seeds[%zu] appears twice",
				      i);
			return;
		}
	s->seeds[s->seed_count++] = a;
}

static void read_seeds(struct settings_reader *r)
{
	struct json_object *list;

	if (cg_json_get_array(r->o, "seeds", r->path, &list, r->f))
		return;
	if (json_object_array_length(list) > CG_MAX_SEEDS) {
		cg_faults_add(r->f, r->path, "seeds has more than %d entries",
			      CG_MAX_SEEDS);
		return;
	}
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *v = json_object_array_get_idx(list, i);

		add_seed(r, i,
			 json_object_is_type(v, json_type_string)
				 ? json_object_get_string(v)
				 : NULL);
	}
}

/* A relative name is resolved against the folder of the settings file, so that
 * it does not depend on the daemon's working directory. */
static char *resolve_path(const char *settings_path, const char *name)
{
	char *dir;
	char *full;

	if (g_path_is_absolute(name))
		return g_strdup(name);
	dir = g_path_get_dirname(settings_path);
	full = g_build_filename(dir, name, NULL);
	g_free(dir);
	return full;
}

int cg_secret_load(const char *path, GBytes **out, struct cg_faults *f)
{
	GError *err = NULL;
	char *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &err)) {
		cg_faults_add(f, path, "%s", err->message);
		g_error_free(err);
		return -1;
	}
	while (len > 0 && (text[len - 1] == '\n' || text[len - 1] == '\r'))
		len--;
	if (len < MIN_SECRET_BYTES || len > MAX_SECRET_BYTES) {
		cg_faults_add(f, path, "secret must have %d to %d bytes",
			      MIN_SECRET_BYTES, MAX_SECRET_BYTES);
		g_free(text);
		return -1;
	}
	*out = g_bytes_new(text, len);
	g_free(text);
	return 0;
}

static void read_secret(struct settings_reader *r)
{
	const char *name = required_string(r, "fleet_secret_file");
	char *path;

	if (!name)
		return;
	path = resolve_path(r->path, name);
	cg_secret_load(path, &r->s->fleet_secret, r->f);
	g_free(path);
}

static void read_log(struct settings_reader *r)
{
	const char *level;

	r->s->log_level = G_LOG_LEVEL_INFO;
	if (!cg_json_get_string(r->o, "log_level", r->path, &level, r->f) &&
	    cg_log_parse_level(level, &r->s->log_level))
		cg_faults_add(r->f, r->path,
			      "log_level must be error, warning, info or "
			      "debug");
	cg_json_get_bool(r->o, "log_json", r->path, &r->s->log_json, r->f);
}

static void read_numbers(struct settings_reader *r)
{
	for (size_t i = 0; i < G_N_ELEMENTS(number_settings); i++) {
		const struct number_setting *d = &number_settings[i];
		void *field = (char *)r->s + d->offset;
		int64_t v = d->fallback;

		cg_json_get_int(r->o, d->name, r->path, d->lowest, d->highest,
				&v, r->f);
		if (d->is_ms)
			*(cg_ms *)field = v;
		else
			*(uint32_t *)field = (uint32_t)v;
	}
}

/* Two sockets of the same protocol cannot both be bound if their ports are
 * equal and their addresses are equal or one is the wildcard address. */
static bool addresses_conflict(const struct sockaddr_in *a,
			       const struct sockaddr_in *b)
{
	if (!a->sin_port || a->sin_port != b->sin_port)
		return false;
	return a->sin_addr.s_addr == b->sin_addr.s_addr ||
	       a->sin_addr.s_addr == htonl(INADDR_ANY) ||
	       b->sin_addr.s_addr == htonl(INADDR_ANY);
}

static void check_addresses(struct settings_reader *r,
			    const struct sockaddr_in *store)
{
	const struct cg_settings *s = r->s;

	if (addresses_conflict(&s->listen, &s->admin))
		cg_faults_add(r->f, r->path,
			      "listen and admin addresses conflict");
	if (addresses_conflict(&s->listen, store))
		cg_faults_add(r->f, r->path,
			      "listen and store addresses conflict");
	if (addresses_conflict(&s->admin, store))
		cg_faults_add(r->f, r->path,
			      "admin and store addresses conflict");
	/* Other daemons reach this one at its peer address, which must
	 * therefore not be the wildcard address. */
	if (s->peer.sin_port && s->peer.sin_addr.s_addr == htonl(INADDR_ANY))
		cg_faults_add(r->f, r->path,
			      "peer must be the address that other daemons "
			      "use, not 0.0.0.0");
}

static void read_all(struct settings_reader *r)
{
	struct sockaddr_in store = { 0 };

	cg_json_refuse_unknown(r->o, r->path, known_settings, r->f);
	read_name(r, "instance", r->s->instance);
	read_name(r, "failure_domain", r->s->failure_domain);
	read_name(r, "region", r->s->region);
	read_address(r, "listen", &r->s->listen);
	read_address(r, "admin", &r->s->admin);
	read_address(r, "peer", &r->s->peer);
	read_store(r, &store);
	read_seeds(r);
	read_secret(r);
	read_log(r);
	read_numbers(r);
	check_addresses(r, &store);
}

int cg_settings_load(const char *path, struct cg_settings *s,
		     struct cg_faults *f)
{
	struct settings_reader r = { .path = path, .s = s, .f = f };
	size_t before = f->n;

	memset(s, 0, sizeof(*s));
	if (cg_json_read_file(path, &r.o, f))
		return -1;
	if (json_object_is_type(r.o, json_type_object))
		read_all(&r);
	else
		cg_faults_add(f, path, "settings must be an object");
	json_object_put(r.o);
	if (f->n == before)
		return 0;
	cg_settings_clear(s);
	return -1;
}

void cg_settings_clear(struct cg_settings *s)
{
	g_free(s->store_url);
	if (s->fleet_secret)
		g_bytes_unref(s->fleet_secret);
	memset(s, 0, sizeof(*s));
}
