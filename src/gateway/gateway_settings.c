#include "gateway/gateway_settings.h"

#include <string.h>

#include "celeryglade/memory_budget.h"

#define CPU_SHARE_MAX	 1024
#define LINK_MBPS_MAX	 1000000
#define WARMUP_BURST_MAX 100
#define WARMUP_SLACK_MAX 100000
#define HEAD_LEAST_BYTES 4096
#define HEAD_MOST_BYTES	 (1024 * 1024)
/* A leader sends about 10 bits for each unit of processor time that it
 * spends: a link of 100 Mbit/s carries what one core can lead. */
#define MILLICORES_PER_MBPS 10

static const char *const known_names[] = {
	"instance",
	"domain",
	"address",
	"domains",
	"listen",
	"ready",
	"peer_port",
	"metrics_port",
	"store",
	"seeds",
	"retry_ratio",
	"retry_slack",
	"key_proof_ms",
	"retry_window_ms",
	"min_share",
	"grace_ms",
	"log_level",
	"config_bound_ms",
	"server_heartbeat_ms",
	"descriptors_max",
	"cpu_share",
	"link_mbps",
	"evacuation_bound_ms",
	"warmup_burst",
	"warmup_slack",
	"response_max_bytes",
	"responses_max_bytes",
	"request_head_max_bytes",
	"response_head_max_bytes",
	"placement",
	"admission",
	"memory_max_mb",
	"body_stall_ms",
	"response_stall_ms",
	NULL,
};

static int get_string(struct json_object *o, const char *name, char **out,
		      struct cg_faults *f)
{
	const char *text = NULL;
	int rc = cg_json_get_string(o, name, "settings", &text, f);

	if (rc == 1 || (rc == 0 && !*text)) {
		cg_faults_add(f, "settings", "\"%s\" is missing", name);
		return -1;
	}
	if (rc)
		return -1;
	*out = g_strdup(text);
	return 0;
}

static int get_string_list(struct json_object *o, const char *name,
			   GPtrArray **out, struct cg_faults *f)
{
	struct json_object *a = NULL;

	*out = g_ptr_array_new_with_free_func(g_free);
	if (cg_json_get_array(o, name, "settings", &a, f) < 0)
		return -1;
	for (size_t i = 0; a && i < json_object_array_length(a); i++) {
		struct json_object *e = json_object_array_get_idx(a, i);

		if (!json_object_is_type(e, json_type_string)) {
			cg_faults_add(f, "settings",
				      "\"%s\" must contain strings", name);
			return -1;
		}
		g_ptr_array_add(*out, g_strdup(json_object_get_string(e)));
	}
	return 0;
}

static int get_fraction(struct json_object *o, const char *name, double highest,
			double *out, struct cg_faults *f)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, name, &v))
		return 0;
	if (!json_object_is_type(v, json_type_double) &&
	    !json_object_is_type(v, json_type_int)) {
		cg_faults_add(f, "settings", "\"%s\" must be a number", name);
		return -1;
	}
	*out = json_object_get_double(v);
	if (*out >= 0 && *out <= highest)
		return 0;
	cg_faults_add(f, "settings", "\"%s\" must be from 0 to %g", name,
		      highest);
	return -1;
}

static int get_number(struct json_object *o, const char *name, int64_t lowest,
		      int64_t highest, int64_t *out, struct cg_faults *f)
{
	return cg_json_get_int(o, name, "settings", lowest, highest, out, f) < 0
		       ? -1
		       : 0;
}

/* Reads one of @n words; @out becomes its index. */
static int get_choice(struct json_object *o, const char *name,
		      const char *const *words, size_t n, int *out,
		      struct cg_faults *f)
{
	const char *text = NULL;
	int rc = cg_json_get_string(o, name, "settings", &text, f);
	char *list;

	if (rc)
		return rc < 0 ? -1 : 0;
	for (size_t i = 0; i < n; i++) {
		if (strcmp(text, words[i]) != 0)
			continue;
		*out = (int)i;
		return 0;
	}
	list = g_strjoinv("\", \"", (char **)words);
	cg_faults_add(f, "settings", "\"%s\" must be one of \"%s\"", name,
		      list);
	g_free(list);
	return -1;
}

static int get_placement(struct json_object *o, enum cgw_placement *out,
			 struct cg_faults *f)
{
	static const char *const words[] = {
		[CGW_PLACEMENT_AUTO] = "auto",
		[CGW_PLACEMENT_LEAST_LOADED] = "least_loaded",
		[CGW_PLACEMENT_EXPECTED_FINISH] = "expected_finish",
		NULL,
	};
	int choice = (int)*out;
	int rc = get_choice(o, "placement", words, G_N_ELEMENTS(words) - 1,
			    &choice, f);

	*out = (enum cgw_placement)choice;
	return rc;
}

static int get_admission(struct json_object *o, enum cgw_admission *out,
			 struct cg_faults *f)
{
	static const char *const words[] = {
		[CGW_ADMISSION_AUTO] = "auto",
		[CGW_ADMISSION_ARRIVAL] = "arrival",
		[CGW_ADMISSION_URGENCY] = "urgency",
		NULL,
	};
	int choice = (int)*out;
	int rc = get_choice(o, "admission", words, G_N_ELEMENTS(words) - 1,
			    &choice, f);

	*out = (enum cgw_admission)choice;
	return rc;
}

static int read_settings(struct json_object *o, struct cgw_settings *s,
			 struct cg_faults *f)
{
	int rc = 0;

	cg_json_refuse_unknown(o, "settings", known_names, f);
	rc |= get_string(o, "instance", &s->instance, f);
	rc |= get_string(o, "domain", &s->domain, f);
	rc |= get_string(o, "address", &s->address, f);
	rc |= get_string(o, "listen", &s->listen, f);
	rc |= get_string(o, "ready", &s->ready, f);
	rc |= get_string(o, "store", &s->store, f);
	rc |= get_string_list(o, "domains", &s->domains, f);
	rc |= get_string_list(o, "seeds", &s->seeds, f);
	rc |= get_number(o, "peer_port", 1, 65535, &s->peer_port, f);
	rc |= get_number(o, "metrics_port", 1, 65535, &s->metrics_port, f);
	rc |= get_number(o, "retry_slack", 0, 1000000, &s->retry_slack, f);
	rc |= get_number(o, "retry_window_ms", 100, 3600000,
			 &s->retry_window_ms, f);
	rc |= get_number(o, "key_proof_ms", 0, 3600000, &s->key_proof_ms, f);
	rc |= get_number(o, "grace_ms", 500, 3600000, &s->grace_ms, f);
	rc |= get_fraction(o, "retry_ratio", 10, &s->retry_ratio, f);
	rc |= get_fraction(o, "min_share", 1, &s->min_share, f);
	rc |= get_number(o, "config_bound_ms", 100, 3600000,
			 &s->config_bound_ms, f);
	rc |= get_number(o, "descriptors_max", 512, 1 << 20,
			 &s->descriptors_max, f);
	rc |= get_number(o, "server_heartbeat_ms", 100, 3600000,
			 &s->server_heartbeat_ms, f);
	rc |= get_number(o, "response_max_bytes", 1024, G_MAXINT,
			 &s->response_max_bytes, f);
	rc |= get_number(o, "responses_max_bytes", 1024, G_MAXINT,
			 &s->responses_max_bytes, f);
	rc |= get_number(o, "request_head_max_bytes", HEAD_LEAST_BYTES,
			 HEAD_MOST_BYTES, &s->request_head_max_bytes, f);
	rc |= get_number(o, "response_head_max_bytes", HEAD_LEAST_BYTES,
			 HEAD_MOST_BYTES, &s->response_head_max_bytes, f);
	rc |= get_placement(o, &s->placement, f);
	rc |= get_admission(o, &s->admission, f);
	rc |= get_number(o, "evacuation_bound_ms", 0, 3600000,
			 &s->evacuation_bound_ms, f);
	rc |= get_fraction(o, "warmup_burst", WARMUP_BURST_MAX,
			   &s->warmup_burst, f);
	rc |= get_fraction(o, "warmup_slack", WARMUP_SLACK_MAX,
			   &s->warmup_slack, f);
	rc |= get_number(o, "memory_max_mb", CG_MEMORY_MAX_MB_LOWEST,
			 CG_MEMORY_MAX_MB_HIGHEST, &s->memory_max_mb, f);
	rc |= get_number(o, "body_stall_ms", 1000, 3600000, &s->body_stall_ms,
			 f);
	rc |= get_number(o, "response_stall_ms", 1000, 3600000,
			 &s->response_stall_ms, f);
	rc |= get_fraction(o, "cpu_share", CPU_SHARE_MAX, &s->cpu_share, f);
	rc |= get_fraction(o, "link_mbps", LINK_MBPS_MAX, &s->link_mbps, f);
	return rc || f->n ? -1 : 0;
}

int cgw_settings_load(const char *path, struct cgw_settings *s,
		      struct cg_faults *f)
{
	struct json_object *o = NULL;
	const char *level = NULL;
	int rc = -1;

	memset(s, 0, sizeof(*s));
	/* Defaults: the values of the two existing deployments, and 5 s for
	 * key_proof_ms. */
	s->retry_ratio = 0.2;
	s->retry_slack = 20;
	s->retry_window_ms = 10000;
	s->key_proof_ms = 5000;
	s->min_share = 0.7;
	s->config_bound_ms = 2000;
	s->server_heartbeat_ms = 1500;
	s->descriptors_max = 65536;
	s->response_max_bytes = 16 * 1024 * 1024;
	s->responses_max_bytes = 48 * 1024 * 1024;
	s->request_head_max_bytes = 40 * 1024;
	s->response_head_max_bytes = 23 * 1024;
	s->grace_ms = 6000;
	s->memory_max_mb = CG_MEMORY_MAX_MB_DEFAULT;
	if (cg_json_read_file(path, &o, f))
		return -1;
	if (json_object_is_type(o, json_type_object))
		rc = read_settings(o, s, f);
	else
		cg_faults_add(f, path, "must be an object");
	if (!rc &&
	    cg_json_get_string(o, "log_level", "settings", &level, f) < 0)
		rc = -1;
	s->log_level = g_strdup(level ? level : "info");
	json_object_put(o);
	if (rc)
		cgw_settings_clear(s);
	return rc;
}

unsigned int cgw_settings_capacity(const struct cgw_settings *s)
{
	double cpu = s->cpu_share * 1000;
	double link = s->link_mbps * MILLICORES_PER_MBPS;

	return (unsigned int)(s->link_mbps > 0 ? MIN(cpu, link) : cpu);
}

void cgw_settings_clear(struct cgw_settings *s)
{
	g_free(s->instance);
	g_free(s->domain);
	g_free(s->address);
	g_free(s->listen);
	g_free(s->ready);
	g_free(s->store);
	g_free(s->log_level);
	if (s->domains)
		g_ptr_array_unref(s->domains);
	if (s->seeds)
		g_ptr_array_unref(s->seeds);
	memset(s, 0, sizeof(*s));
}
