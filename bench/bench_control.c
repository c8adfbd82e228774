/* Measures what control costs one daemon of a whole fleet on loopback: CPU and
 * resident memory from /proc, bytes and calls from the daemons' counters, at
 * several fleet sizes. The request path is idle except for a trickle that keeps
 * eight accounts active. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fleet/fleet.h"

#define SETTLE_MS      5000
#define CHANGES	       8
#define SPREAD_DAEMONS 32
#define KEY	       "%s-key-0123456789abcdef"

static struct {
	int seconds, highest;
} opts = { .seconds = 10, .highest = 48 };

struct reading {
	double cpu_s;
	int64_t rss_kb;
	int64_t in, out, calls, reads, writes, watches, requests;
};

static void read_process(pid_t pid, struct reading *r)
{
	char path[64], *text = NULL, *at;
	unsigned long user = 0, sys = 0;

	g_snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	if (g_file_get_contents(path, &text, NULL, NULL)) {
		at = strrchr(text, ')');
		/* Fields 14 and 15 of the line, counted from the name. */
		if (at && sscanf(at + 2,
				 "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
				 "%lu %lu",
				 &user, &sys) == 2)
			r->cpu_s += (double)(user + sys) /
				    (double)sysconf(_SC_CLK_TCK);
		g_free(text);
	}
	g_snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	if (g_file_get_contents(path, &text, NULL, NULL)) {
		at = strstr(text, "VmRSS:");
		if (at)
			r->rss_kb += strtol(at + 6, NULL, 10);
		g_free(text);
	}
}

static struct reading read_fleet(struct fleet *f)
{
	struct reading r = { 0 };

	for (int i = 0; i < f->n_daemons; i++)
		read_process(f->daemons[i].pid, &r);
	r.in = fleet_metric_sum(f, "peer_bytes_in");
	r.out = fleet_metric_sum(f, "peer_bytes_out");
	r.calls = fleet_metric_sum(f, "peer_calls_out");
	r.reads = fleet_metric_sum(f, "store_reads");
	r.writes = fleet_metric_sum(f, "store_writes");
	r.watches = fleet_metric_sum(f, "store_watches");
	r.requests = fleet_metric_sum(f, "requests");
	return r;
}

static struct fleet *start(int daemons, GString *load)
{
	static const char *const names[] = { "a1", "a2", "a3", "a4",
					     "a5", "a6", "a7", "a8" };
	struct fleet *f = fleet_new(1);

	fleet_add_backend(f, "slots", 10, 3, "-t 5");
	fleet_add_backend(f, "deposits", 15, 3, "-t 5");
	fleet_add_backend(f, "profiles", 15, 3, "-t 5");
	fleet_write_services(f);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char *key = g_strdup_printf(KEY, names[i]);

		fleet_write_account(f, names[i], key, 500, 500);
		g_string_append_printf(load, "-a %s:%s:%d ", names[i], key,
				       i == 0 ? 4 : 1);
		g_free(key);
	}
	if (fleet_apply_config(f))
		goto fail;
	fleet_add_daemons(f, daemons, daemons, NULL);
	if (!fleet_wait_ready(f, -1, 60000))
		return f;
fail:
	fleet_print_logs(f);
	fleet_free(f);
	return NULL;
}

static int measure(int daemons)
{
	GString *load = g_string_new("-g /slots -g /profiles -p /deposits "
				     "-P 0.1 ");
	struct fleet *f = start(daemons, load);
	struct reading a, b;
	double t, n = daemons;
	int id;

	if (!f) {
		g_string_free(load, TRUE);
		return -1;
	}
	g_string_append_printf(load, "-r %d -d %d ", daemons,
			       opts.seconds + SETTLE_MS / 1000 + 1);
	id = fleet_load_start(f, load->str);
	g_usleep(SETTLE_MS * 1000);
	a = read_fleet(f);
	t = (double)fleet_now_ms();
	g_usleep((gulong)opts.seconds * 1000000);
	b = read_fleet(f);
	t = ((double)fleet_now_ms() - t) / 1e3;
	printf("%7d %7.2f %8.1f %9.0f %9.0f %8.1f %9.2f %9.2f %8.1f\n", daemons,
	       100 * (b.cpu_s - a.cpu_s) / t / n, (double)b.rss_kb / n / 1e3,
	       (double)(b.out - a.out) / t / n, (double)(b.in - a.in) / t / n,
	       (double)(b.calls - a.calls) / t / n,
	       (double)(b.reads - a.reads + b.watches - a.watches) / t / n,
	       (double)(b.writes - a.writes) / t / n,
	       (double)(b.requests - a.requests) / t / n);
	fflush(stdout);
	json_object_put(fleet_load_wait(f, id));
	g_string_free(load, TRUE);
	fleet_free(f);
	return 0;
}

/* Returns when every daemon has adopted the next version, in ms from the start
 * of the tool that publishes it, or -1 after 20 s. */
static int64_t time_change(struct fleet *f, int n)
{
	int64_t begin, want = fleet_metric_sum(f, "config_adopted");
	int64_t left = 0;

	want += f->n_daemons;
	fleet_write_account(f, "extra", "extra-key-0123456789abcdef", 10 + n,
			    10);
	begin = fleet_now_ms();
	if (fleet_apply_config(f))
		return -1;
	while (fleet_now_ms() - begin < 20000) {
		left = want - fleet_metric_sum(f, "config_adopted");
		if (left <= 0)
			return fleet_now_ms() - begin;
	}
	return -1;
}

static void time_changes(struct fleet *f, const char *title)
{
	int64_t worst = 0, sum = 0;

	for (int i = 0; i < CHANGES; i++) {
		int64_t t = time_change(f, i);

		if (t < 0) {
			printf("%s: a change was not in force after 20 s\n",
			       title);
			return;
		}
		sum += t;
		worst = MAX(worst, t);
		g_usleep(500000);
	}
	printf("%s: in force everywhere after %d ms on average, %d ms at "
	       "worst of %d\n",
	       title, (int)(sum / CHANGES), (int)worst, CHANGES);
}

/* The time to publish is part of the figure. */
static int measure_spread(void)
{
	struct fleet *f = fleet_new(2);
	char *cut = g_strdup_printf("{\"down\":\"refuse\",\"port\":%d}",
				    f->base + 2);
	int rc = -1;

	fleet_add_backend(f, "slots", 2, 3, "-t 5");
	fleet_write_services(f);
	fleet_write_account(f, "extra", "extra-key-0123456789abcdef", 5, 10);
	if (fleet_apply_config(f))
		goto out;
	/* 21 daemons use the first port of the store, 11 the second. */
	fleet_add_daemons(f, SPREAD_DAEMONS, 21, NULL);
	if (fleet_wait_ready(f, -1, 60000))
		goto out;
	time_changes(f, "32 daemons, store well");
	fleet_set_platform_faults(f, cut);
	time_changes(f, "32 daemons, 11 of them cut from the store");
	rc = 0;
out:
	g_free(cut);
	fleet_free(f);
	return rc;
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 'd':
		opts.seconds = atoi(arg);
		return 0;
	case 'n':
		opts.highest = atoi(arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "seconds", 'd', "S", 0, "Length of each measurement", 0 },
		{ "daemons", 'n', "N", 0, "Largest fleet", 0 },
		{ 0 },
	};
	static const struct argp argp = { .options = options, .parser = parse };
	static const int sizes[] = { 8, 16, 32, 48 };

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	printf("per daemon; bytes as counted by the transport; about one "
	       "request/s each\n");
	printf("%7s %7s %8s %9s %9s %8s %9s %9s %8s\n", "daemons", "cpu %",
	       "rss MB", "out B/s", "in B/s", "calls/s", "reads/s", "writes/s",
	       "req/s");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		if (sizes[i] <= opts.highest && measure(sizes[i]))
			return EXIT_FAILURE;
	if (opts.highest >= SPREAD_DAEMONS && measure_spread())
		return EXIT_FAILURE;
	return EXIT_SUCCESS;
}
