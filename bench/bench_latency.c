/* Measures what one daemon adds to a request: the same load goes through the
 * daemon and straight to the servers at the same time, so that both see the
 * same machine. Then raises the rate until the addition at p99 exceeds the
 * target. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "fleet/fleet.h"

#define RATE	  172 /* Requests per second of a daemon at the target scale. */
#define TARGET_US 1100
#define SERVERS	  4
#define KEY	  "bench-key-0123456789abcdef"

static struct {
	int seconds, rounds, highest;
} opts = { .seconds = 5, .rounds = 3, .highest = 20000 };

struct added {
	int64_t p50, p99; /* Microseconds. */
	int64_t straight_p50, straight_p99;
	int64_t lost; /* Requests without an answer. */
};

static char *straight_targets(struct fleet *f)
{
	GString *s = g_string_new(NULL);

	for (int i = 0; i < SERVERS; i++)
		g_string_append_printf(s, "-t 127.0.0.1:%d ",
				       f->backends[0].first_port + i);
	return g_string_free(s, FALSE);
}

static struct added measure(struct fleet *f, int rate)
{
	/* A thread of the load tool sends 4,000 requests/s with ease. */
	char *common = g_strdup_printf("-r %d -d %d -T %d -c %d -g /rounds "
				       "-p /rounds -P 0.2 ",
				       rate, opts.seconds, 1 + rate / 4000,
				       64 * (1 + rate / 4000));
	char *targets = straight_targets(f);
	char *through = g_strconcat(common, "-a bench:" KEY, NULL);
	char *straight = g_strconcat(common, targets, NULL);
	int a = fleet_load_start(f, through), b = fleet_load_start(f, straight);
	struct json_object *t = fleet_load_wait(f, a);
	struct json_object *s = fleet_load_wait(f, b);
	struct added r = {
		.straight_p50 = fleet_summary_number(s, "latency_us.p50"),
		.straight_p99 = fleet_summary_number(s, "latency_us.p99"),
		.lost = fleet_summary_number(t, "sent") -
			fleet_summary_number(t, "answered"),
	};

	r.p50 = fleet_summary_number(t, "latency_us.p50") - r.straight_p50;
	r.p99 = fleet_summary_number(t, "latency_us.p99") - r.straight_p99;
	printf("%6d/s  straight p50 %6.3f p99 %6.3f  added p50 %6.3f p99 "
	       "%6.3f ms  unanswered %d%s\n",
	       rate, (double)r.straight_p50 / 1e3, (double)r.straight_p99 / 1e3,
	       (double)r.p50 / 1e3, (double)r.p99 / 1e3, (int)r.lost,
	       fleet_count_violations(t) ? "  VIOLATIONS" : "");
	fflush(stdout);
	json_object_put(t);
	json_object_put(s);
	g_free(straight);
	g_free(through);
	g_free(targets);
	g_free(common);
	return r;
}

static int by_value(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void at_target_rate(struct fleet *f)
{
	int64_t *p50 = g_new0(int64_t, opts.rounds);
	int64_t *p99 = g_new0(int64_t, opts.rounds);
	int middle = opts.rounds / 2;

	for (int i = 0; i < opts.rounds; i++) {
		struct added r = measure(f, RATE);

		p50[i] = r.p50;
		p99[i] = r.p99;
	}
	qsort(p50, (size_t)opts.rounds, sizeof(*p50), by_value);
	qsort(p99, (size_t)opts.rounds, sizeof(*p99), by_value);
	printf("median of %d rounds at %d/s: added p50 %.3f ms, p99 %.3f ms "
	       "(target %.1f)\n",
	       opts.rounds, RATE, (double)p50[middle] / 1e3,
	       (double)p99[middle] / 1e3, TARGET_US / 1e3);
	g_free(p50);
	g_free(p99);
}

/* A rate is held if two of three measurements hold: others use the machine. */
static bool is_held(struct fleet *f, int rate)
{
	int held = 0;

	for (int i = 0; i < 3 && held < 2 && i - held < 2; i++) {
		struct added r = measure(f, rate);

		held += r.p99 <= TARGET_US && !r.lost;
	}
	return held == 2;
}

static void search_highest(struct fleet *f)
{
	int best = 0;

	for (int rate = 1000; rate <= opts.highest && is_held(f, rate);
	     rate += 1000)
		best = rate;
	printf("highest rate with at most %.1f ms added at p99: %d/s\n",
	       TARGET_US / 1e3, best);
}

static error_t parse_opt(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 's':
		opts.seconds = atoi(arg);
		return 0;
	case 'r':
		opts.rounds = MAX(1, atoi(arg));
		return 0;
	case 'h':
		opts.highest = atoi(arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "seconds", 's', "N", 0, "Duration of each measurement", 0 },
		{ "rounds", 'r', "N", 0, "Measurements at the target rate", 0 },
		{ "highest", 'h', "N", 0, "End of the search", 0 },
		{ 0 }
	};
	static const struct argp argp = {
		options, parse_opt,
		NULL,	 "Measures the latency that one daemon adds.",
		NULL,	 NULL,
		NULL
	};
	struct fleet *f;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	f = fleet_new(1);
	fleet_add_backend(f, "rounds", SERVERS, 200, "-t 2");
	fleet_write_services(f);
	fleet_write_account(f, "bench", KEY, 100000, 100000);
	if (fleet_apply_config(f))
		return EXIT_FAILURE;
	fleet_add_daemon(f, "a", 0, NULL);
	if (fleet_wait_ready(f, -1, 20000)) {
		fprintf(stderr, "the daemon does not become ready\n");
		return EXIT_FAILURE;
	}
	json_object_put(
		fleet_run_load(f, "-r 200 -d 1 -g /rounds -a bench:" KEY));
	at_target_rate(f);
	search_highest(f);
	fleet_free(f);
	return EXIT_SUCCESS;
}
