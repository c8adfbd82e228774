/* Measures the cost of the control plane per daemon for several fleet sizes on
 * loopback: CPU time and resident memory from /proc, bytes and calls from the
 * counters of the daemons. The only load is about one request/s per daemon,
 * which keeps eight accounts active. Also measures how long a configuration
 * change takes to reach all daemons. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fleet/fleet.h"

#define WARM_UP_MS	    5000
#define CHANGES		    8
#define PROPAGATION_DAEMONS 32
#define KEY		    "%s-key-0123456789abcdef"

static struct {
	int seconds, max_daemons;
} opts = { .seconds = 10, .max_daemons = 48 };

struct usage_sample {
	double cpu_s;
	int64_t rss_kb;
	int64_t in, out, calls, reads, writes, watches, requests;
};

static void read_process(pid_t pid, struct usage_sample *r)
{
	char path[64], *text = NULL, *at;
	unsigned long user = 0, sys = 0;

	g_snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	if (g_file_get_contents(path, &text, NULL, NULL)) {
		at = strrchr(text, ')');
		/* utime and stime, fields 14 and 15; parsing starts after the
		 * process name, field 2, which may contain spaces. */
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

static struct usage_sample read_fleet(struct fleet *f)
{
	struct usage_sample r = { 0 };

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
	struct usage_sample a, b;
	double t, n = daemons;
	int id;

	if (!f) {
		g_string_free(load, TRUE);
		return -1;
	}
	g_string_append_printf(load, "-r %d -d %d ", daemons,
			       opts.seconds + WARM_UP_MS / 1000 + 1);
	id = fleet_load_start(f, load->str);
	g_usleep(WARM_UP_MS * 1000);
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

/* Publishes a change and returns the time in ms until all daemons have adopted
 * it, measured from the start of the publishing tool, or -1 after 20 s. */
static int64_t measure_change(struct fleet *f, int n)
{
	int64_t begin, expected = fleet_metric_sum(f, "config_adopted");
	int64_t remaining = 0;

	expected += f->n_daemons;
	fleet_write_account(f, "extra", "extra-key-0123456789abcdef", 10 + n,
			    10);
	begin = fleet_now_ms();
	if (fleet_apply_config(f))
		return -1;
	while (fleet_now_ms() - begin < 20000) {
		remaining = expected - fleet_metric_sum(f, "config_adopted");
		if (remaining <= 0)
			return fleet_now_ms() - begin;
	}
	return -1;
}

static void measure_changes(struct fleet *f, const char *title)
{
	int64_t worst = 0, sum = 0;

	for (int i = 0; i < CHANGES; i++) {
		int64_t t = measure_change(f, i);

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

/* The times include the publication of the change. */
static int measure_propagation(void)
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
	/* 21 daemons use the first port of the store, 11 use the second. */
	fleet_add_daemons(f, PROPAGATION_DAEMONS, 21, NULL);
	if (fleet_wait_ready(f, -1, 60000))
		goto out;
	measure_changes(f, "32 daemons, store reachable");
	fleet_set_platform_faults(f, cut);
	measure_changes(f, "32 daemons, 11 without access to the store");
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
		opts.max_daemons = atoi(arg);
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
		if (sizes[i] <= opts.max_daemons && measure(sizes[i]))
			return EXIT_FAILURE;
	if (opts.max_daemons >= PROPAGATION_DAEMONS && measure_propagation())
		return EXIT_FAILURE;
	return EXIT_SUCCESS;
}
