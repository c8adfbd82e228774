/* Measures the detection time and the false ejections of the fleet's decision
 * and of a baseline, "five consecutive failures, decided by each daemon alone",
 * on the same requests in the same run. */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../replay/health_sim.h"

#define RUN_LIMIT_MS 300000
#define WARMUP_MS    60000

struct fault {
	const char *name;
	double fail;
	double slow;
};

static const struct fault faults[] = {
	{ "fail 30%", 0.3, 1 },
	{ "fail 60%", 0.6, 1 },
	{ "fail 100%", 1.0, 1 },
	{ "5x slower", 0, 5 },
};

static const size_t sizes[] = { 5, 10, 15 };
static const size_t fleets[] = { 48, 470 };

static void set_up(struct sim *s, size_t servers, size_t daemons, uint64_t seed)
{
	memset(s, 0, sizeof(*s));
	s->seed = seed;
	s->servers = servers;
	s->daemons = daemons;
	s->domains = daemons > 48 ? 7 : 3;
	s->slots = servers == 15 || servers == 10 ? 3 : 6;
	s->floor_percent = 50;
	/* Half of the slots are busy if a request takes 200 ms. */
	s->rate = s->slots == 3 ? 7.5 : 15;
	s->fail = 0.005;
	s->latency_ms = 180;
	s->sigma = 0.4;
	/* Digest intervals with 3 services and with 140 services, the
	 * target. */
	s->digest_ms = daemons > 48 ? 20000 : 1000;
	s->open_loop = true;
	sim_start(s);
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static double quantile(double *v, size_t n, double q)
{
	qsort(v, n, sizeof(*v), compare);
	return v[(size_t)(q * (double)(n - 1))];
}

/* Returns the median over the daemons of the seconds from the onset of the
 * fault until each sent no requests to the server, or infinity. */
static double median_seconds_until_out(struct sim *s, bool baseline,
				       cg_ms onset)
{
	double *v = g_new(double, s->daemons);
	double m;

	for (size_t d = 0; d < s->daemons; d++) {
		cg_ms at = baseline ? s->daemon[d].baseline_first_out_at[0]
				    : s->daemon[d].first_out_at[0];

		v[d] = at == CG_MS_NEVER ? INFINITY
					 : (double)(at - onset) / 1000;
	}
	m = quantile(v, s->daemons, 0.5);
	g_free(v);
	return m;
}

static void print_time(double v)
{
	if (isinf(v))
		printf(" %8s", ">300");
	else
		printf(" %8.1f", v);
}

static void print_detection(size_t servers, size_t daemons,
			    const struct fault *f, size_t trials)
{
	double *own = g_new(double, trials), *base = g_new(double, trials);

	for (size_t t = 0; t < trials; t++) {
		struct sim s;
		cg_ms onset;

		set_up(&s, servers, daemons, 1000 + t);
		while (s.now < 1000000 + WARMUP_MS + (cg_ms)(t % 10) * 100)
			sim_step(&s);
		onset = s.now;
		s.server[0].fault_from = onset;
		s.server[0].fail = f->fail;
		s.server[0].slow = f->slow;
		while (s.now < onset + RUN_LIMIT_MS) {
			sim_step(&s);
			if (!isinf(median_seconds_until_out(&s, false,
							    onset)) &&
			    !isinf(median_seconds_until_out(&s, true, onset)))
				break;
		}
		own[t] = median_seconds_until_out(&s, false, onset);
		base[t] = median_seconds_until_out(&s, true, onset);
		sim_free(&s);
	}
	printf("%7zu %7zu  %-10s", servers, daemons, f->name);
	print_time(quantile(own, trials, 0.5));
	print_time(quantile(own, trials, 0.95));
	print_time(quantile(base, trials, 0.5));
	print_time(quantile(base, trials, 0.95));
	printf("\n");
	fflush(stdout);
	g_free(own);
	g_free(base);
}

/* Injects disturbances that must not eject a server, each every 10 minutes on
 * average: the whole service fails or slows down for 10 to 30 s; or one server
 * fails all requests for 1 s, starts or stops shedding half of its load,
 * restarts and warms up, or drains. */
static void inject_disturbance(struct sim *s)
{
	double p = 0.1 / 600;
	size_t i = (size_t)(sim_random(s) * (double)s->servers);
	struct sim_server *v = &s->server[i];

	if (sim_random(s) < p) {
		s->service_fault_until =
			s->now + 10000 + (cg_ms)(sim_random(s) * 20000);
		s->service_fail = sim_random(s) < 0.5 ? 0 : sim_random(s);
		s->service_slow =
			s->service_fail > 0 ? 1 : 2 + 8 * sim_random(s);
	}
	if (sim_random(s) < p)
		v->short_fault_until = s->now + 1000;
	if (sim_random(s) < p)
		v->shed = v->shed > 0 ? 0 : 0.5;
	if (sim_random(s) < p)
		v->warmup_until = s->now + 20000;
	if (sim_random(s) < p) {
		v->draining_until = s->now + 60000;
		v->warmup_until = v->draining_until + 20000;
	}
}

static void print_false_ejections(size_t servers, size_t daemons, double hours,
				  double rate)
{
	struct sim s;
	cg_ms end;
	double server_days = hours / 24 * (double)servers;

	set_up(&s, servers, daemons, 7);
	if (rate > 0)
		s.rate = rate;
	end = s.now + (cg_ms)(hours * 3600000);
	while (s.now < end) {
		inject_disturbance(&s);
		sim_step(&s);
	}
	printf("%7zu %7zu %7.2f %6.1f %10.4f %10llu %10llu %10llu %9.2f\n",
	       servers, daemons, s.rate, hours,
	       (double)s.fleet_false_ejections / server_days,
	       (unsigned long long)s.fleet_false_pairs,
	       (unsigned long long)s.local_false_ejections,
	       (unsigned long long)s.baseline_false_ejections,
	       (double)s.digest_bytes / (hours * 3600) / (double)daemons);
	fflush(stdout);
	sim_free(&s);
}

/* Measures the false alarms of the test itself: the coordinator alone receives
 * independent background failures. Returns the number of ejections. */
static uint64_t count_background_ejections(size_t servers, double rate,
					   double fail, double days)
{
	struct cg_ejection_server list[16] = { 0 };
	struct cg_ejection_capacity c;
	struct cg_ejection_rules r;
	struct cg_ejection *e;
	struct sim s = { .rng = 12345 };
	cg_ms end = (cg_ms)(days * 86400000);
	uint64_t sequence = 0;

	cg_ejection_rules_fleet(&r, 30000, 10000);
	e = cg_ejection_new(&r, 1, false, 0);
	for (size_t i = 0; i < servers; i++) {
		g_snprintf(list[i].name, 8, "s%zu", i);
		list[i].slots = 3;
	}
	cg_ejection_set_servers(e, list, servers, 50, 0);
	for (cg_ms now = 1000; now < end; now += 1000) {
		double t = -log(sim_random(&s) + 1e-12);

		for (; t < rate * (double)servers;
		     t -= log(sim_random(&s) + 1e-12)) {
			size_t i = (size_t)(sim_random(&s) * (double)servers);
			size_t d = (size_t)(sim_random(&s) * 6);
			struct cg_sample x = { 0 };
			const char name[] = { (char)('a' + d), 0 };
			uint32_t id;

			if (sim_random(&s) < fail)
				x.failed = 1;
			else
				x.answered[20 + (int)(sim_random(&s) * 8)] = 1;
			cg_ejection_begin_digest(e, name, 1, d % 2 ? "x" : "y",
						 ++sequence, now, &id);
			cg_ejection_observe(e, id, cg_server_id(list[i].name),
					    &x, now);
		}
		cg_ejection_tick(e, now);
	}
	cg_ejection_capacity(e, end, &c);
	cg_ejection_free(e);
	return c.ejections;
}

static void print_background_ejections(size_t servers, double rate, double fail,
				       double days)
{
	printf("%7zu %7.1f %6.1f%% %11.0f %9llu\n", servers, rate, fail * 100,
	       days * (double)servers,
	       (unsigned long long)count_background_ejections(servers, rate,
							      fail, days));
	fflush(stdout);
}

int main(int argc, char **argv)
{
	size_t trials = argc > 1 ? strtoul(argv[1], NULL, 10) : 40;
	double hours = argc > 2 ? strtod(argv[2], NULL) : 4;

	printf("background failures only; target: 0.001 ejections per server and day\n");
	printf("servers  rate/s failing server-days ejections\n");
	print_background_ejections(5, 0.2, 0.01, 8 * hours);
	print_background_ejections(5, 0.2, 0.03, 8 * hours);
	print_background_ejections(10, 7.5, 0.01, hours / 2);
	print_background_ejections(10, 7.5, 0.03, hours / 2);
	printf("detection time in s, median over daemons, of the fleet's decision (own) and of the baseline (base)\n");
	printf("servers daemons  fault      own p50  own p95 base p50 base p95\n");
	for (size_t f = 0; f < G_N_ELEMENTS(fleets); f++)
		for (size_t n = 0; n < G_N_ELEMENTS(sizes); n++)
			for (size_t i = 0; i < G_N_ELEMENTS(faults); i++)
				print_detection(sizes[n], fleets[f], &faults[i],
						fleets[f] > 48
							? (trials + 3) / 4
							: trials);
	printf("false ejections; pairs count each daemon that avoided a server\n");
	printf("servers daemons  rate/s  hours  fleet/s/d fleetpairs localpairs  basepairs bytes/s/d\n");
	for (size_t n = 0; n < G_N_ELEMENTS(sizes); n++)
		print_false_ejections(sizes[n], 48, hours, 0);
	print_false_ejections(5, 48, hours * 4, 0.2);
	for (size_t n = 0; n < G_N_ELEMENTS(sizes); n++)
		print_false_ejections(sizes[n], 470, hours / 4, 0);
	return 0;
}
