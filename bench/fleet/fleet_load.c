/**
 * @file fleet_load.c
 * Runs the load tool, reads its summaries, and waits until a fleet serves
 * requests.
 */
#include "fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Maximum duration of a load, including the timeouts of its last requests. */
#define LOAD_TIMEOUT_MS 120000

static char *load_file(struct fleet *f, int load, const char *kind)
{
	return g_strdup_printf("%s/load-%d.%s", f->dir, load, kind);
}

char *fleet_load_log(struct fleet *f, int load)
{
	return load_file(f, load, "log");
}

int fleet_load_start(struct fleet *f, const char *options)
{
	int n = f->n_loads++;
	char *json = load_file(f, n, "json"), *log = fleet_load_log(f, n);
	GString *line = g_string_new("bench/load");

	if (n >= FLEET_MAX_LOADS) {
		fprintf(stderr, "fleet: too many loads\n");
		exit(EXIT_FAILURE);
	}
	g_string_append_printf(line, " -j %s -l %s", json, log);
	for (int i = 0; !strstr(options, "-t ") && i < f->n_daemons; i++)
		g_string_append_printf(line, " -t 127.0.0.1:%d -A 127.0.0.1:%d",
				       fleet_listen_port(f, i),
				       fleet_admin_port(f, i));
	for (int i = 0; i < f->n_backends; i++)
		g_string_append_printf(line, " -C %s", f->backends[i].journal);
	f->loads[n] = fleet_spawn(f, "load", "%s %s", line->str, options);
	g_string_free(line, TRUE);
	g_free(json);
	g_free(log);
	return n;
}

struct json_object *fleet_load_wait(struct fleet *f, int load)
{
	char *json = load_file(f, load, "json");
	struct json_object *o;
	int rc = fleet_wait_process(&f->loads[load], LOAD_TIMEOUT_MS);

	if (rc != 0 && rc != 2) {
		fprintf(stderr, "fleet: the load tool failed with status %d\n",
			rc);
		exit(EXIT_FAILURE);
	}
	o = json_object_from_file(json);
	g_free(json);
	return o;
}

struct json_object *fleet_run_load(struct fleet *f, const char *options)
{
	return fleet_load_wait(f, fleet_load_start(f, options));
}

int64_t fleet_summary_number(struct json_object *o, const char *path)
{
	char **v = g_strsplit(path, ".", -1);
	int64_t n = 0;
	char **p = v;

	while (*p && json_object_object_get_ex(o, *p, &o))
		p++;
	if (!*p)
		n = json_object_get_int64(o);
	g_strfreev(v);
	return n;
}

int64_t fleet_count_violations(struct json_object *summary)
{
	static const char *const names[] = {
		"repeated_executions", "false_not_run", "foreign_responses",
		"truncated_responses", "wrong_account", "forbidden_headers",
		"unexecuted_answers",
	};
	int64_t sum = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char *path = g_strdup_printf("check.%s", names[i]);
		int64_t n = fleet_summary_number(summary, path);

		if (n)
			fprintf(stderr, "%s: %" G_GINT64_FORMAT "\n", names[i],
				n);
		sum += n;
		g_free(path);
	}
	return sum;
}

int fleet_wait_serving(struct fleet *f, const char *path, const char *key,
		       int64_t ms)
{
	int64_t end = fleet_now_ms() + ms;

	if (fleet_wait_ready(f, -1, ms))
		return -1;
	for (int i = 0; i < f->n_daemons; i++)
		while (f->daemons[i].pid &&
		       fleet_request(f, i, "GET", path, key) != 200) {
			if (fleet_now_ms() >= end)
				return -1;
			g_usleep(20000);
		}
	return 0;
}
