/* Measures the costs of the health controller and of load balancing:
 * nanoseconds on the request path, the time of a tick and the memory of a
 * daemon at the target size, bytes of digests, and a coordinator's work for one
 * service. Members, shards, documents and notices are fakes; digests go over
 * loopback. */
#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "celeryglade/counters.h"
#include "celeryglade/ejection.h"
#include "internal/balance.h"

#define OWNERS 470
#define PORT   23900
#define CALLS  2000000
/* Sizes of the IP, UDP and RPC headers, which the counters do not include. */
#define CALL_HEADERS  68
#define REPLY_HEADERS 56

struct cg_config {
	struct cg_service *services;
	size_t n;
};

struct cg_shards {
	bool all; /* This daemon owns every shard. */
};

static struct cg_config config;

struct cg_config *cg_docs_config(struct cg_docs *d)
{
	return &config;
}

void cg_docs_add_listener(struct cg_docs *d, cg_docs_listener fn, void *arg)
{
}

uint64_t cg_config_version(const struct cg_config *c)
{
	return 1;
}

void cg_config_unref(struct cg_config *c)
{
}

const struct cg_service *cg_config_service_at(const struct cg_config *c,
					      size_t i)
{
	return i < c->n ? &c->services[i] : NULL;
}

size_t cg_members_count(struct cg_members *m)
{
	return 1;
}

size_t cg_members_copy(struct cg_members *m, struct cg_member *out, size_t max)
{
	return 0;
}

int cg_members_find(struct cg_members *m, const char *name,
		    struct cg_member *out)
{
	return -1;
}

/* Gives each owner its own address in 127.0.0.0/8, as each daemon of a fleet
 * has. One process replies for all of them. */
int cg_shards_owner(struct cg_shards *s, uint32_t shard,
		    struct cg_shard_owner *out)
{
	uint32_t host = shard * 2654435761U % OWNERS;

	memset(out, 0, sizeof(*out));
	out->epoch = 1;
	out->self = s->all;
	out->addr.sin_family = AF_INET;
	out->addr.sin_port = htons(PORT);
	out->addr.sin_addr.s_addr = htonl(0x7f010000U + host + 1);
	return 0;
}

void cg_notices_announce_drain(struct cg_notices *n, const char *name)
{
}

bool cg_notices_is_draining(struct cg_notices *n, const char *name)
{
	return false;
}

static void configure(size_t services, size_t servers)
{
	config.n = services;
	config.services = g_new0(struct cg_service, services);
	for (size_t k = 0; k < services; k++) {
		struct cg_service *c = &config.services[k];

		g_snprintf(c->name, sizeof(c->name), "service-%zu", k);
		c->shard = (uint32_t)(k * 7919 % CG_SHARDS);
		c->server_count = servers;
		c->floor_percent = 50;
		c->servers = g_new0(struct cg_server, servers);
		for (size_t i = 0; i < servers; i++) {
			struct cg_server *s = &c->servers[i];

			g_snprintf(s->name, sizeof(s->name), "service-%zu-%zu",
				   k, i);
			s->slots = 6;
			s->connections = 400;
			s->service = c;
		}
	}
}

static void unconfigure(void)
{
	for (size_t k = 0; k < config.n; k++)
		g_free(config.services[k].servers);
	g_free(config.services);
	memset(&config, 0, sizeof(config));
}

static double seconds(clockid_t id)
{
	struct timespec t;

	clock_gettime(id, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static int handle_message(void *arg, const struct cg_peer_msg *msg,
			  GByteArray *reply)
{
	return cg_health_handle(arg, msg, reply);
}

struct daemon {
	struct cg_settings settings;
	struct cg_shards shards;
	struct cg_peer *peer;
	struct cg_health *health;
};

static void start(struct daemon *d, struct cg_clock *clk, bool owner)
{
	struct sockaddr_in any = { .sin_family = AF_INET,
				   .sin_port = htons(PORT) };
	GBytes *secret = g_bytes_new_static("secret", 6);

	memset(d, 0, sizeof(*d));
	g_strlcpy(d->settings.instance, owner ? "entry-2" : "entry-1", 16);
	g_strlcpy(d->settings.failure_domain, "zone-1", 16);
	d->settings.verdict_ttl_ms = 30000;
	d->settings.eject_ms = 10000;
	d->shards.all = owner;
	d->peer = cg_peer_new(d->settings.instance, 1, secret,
			      owner ? &any : NULL);
	if (!d->peer)
		g_error("port %d is in use", PORT);
	d->health = cg_health_new(&d->settings, clk, d->peer, NULL, &d->shards,
				  NULL, NULL);
	cg_peer_set_handler(d->peer, handle_message, d->health);
	cg_peer_start(d->peer);
	g_bytes_unref(secret);
}

static void stop(struct daemon *d)
{
	cg_health_stop(d->health);
	cg_peer_free(d->peer);
	cg_health_free(d->health);
}

static void measure_request_path(size_t servers)
{
	struct cg_clock clk;
	struct daemon d;
	struct cg_balance *b = cg_balance_new("entry-1", 1);
	const struct cg_server *s;
	double t0, t1, t2, t3;
	unsigned int sum = 0;

	configure(3, servers);
	cg_clock_init_manual(&clk, 1000);
	start(&d, &clk, false);
	cg_health_tick(d.health);
	t0 = seconds(CLOCK_MONOTONIC);
	for (int i = 0; i < CALLS; i++)
		cg_health_observe(
			d.health,
			&config.services[i % 3].servers[i % (int)servers],
			CG_OBSERVED_OK, i & 255);
	t1 = seconds(CLOCK_MONOTONIC);
	for (int i = 0; i < CALLS; i++)
		sum += cg_health_weight(
			d.health,
			&config.services[i % 3].servers[i % (int)servers],
			true);
	t2 = seconds(CLOCK_MONOTONIC);
	for (int i = 0; i < CALLS; i++) {
		if (cg_balance_pick(b, &config.services[i % 3], d.health, NULL,
				    0, true, 1000, &s))
			abort();
		cg_balance_complete(b, s, CG_OBSERVED_OK, 100, 1000);
	}
	t3 = seconds(CLOCK_MONOTONIC);
	printf("%2zu servers: observe %.0f ns, weight %.0f ns, pick and done %.0f ns%s\n",
	       servers, (t1 - t0) * 1e9 / CALLS, (t2 - t1) * 1e9 / CALLS,
	       (t3 - t2) * 1e9 / CALLS, sum ? "" : " ");
	stop(&d);
	cg_balance_free(b);
	unconfigure();
}

/* Measures one daemon. At the target size it is one of 470: 172 requests/s over
 * 140 services, to a subset of 16 of each service's 50 or 51 servers. At the
 * current size it is one of 48, with 3 services. */
static void measure_digests(size_t services, size_t servers, size_t subset,
			    double rate, int ticks)
{
	struct cg_clock clk;
	struct daemon d, owner;
	uint64_t out = 0, calls = 0;
	double cpu = 0, busy = 0;
	GRand *r = g_rand_new_with_seed(1);
	struct cg_balance *b = cg_balance_new("entry-1", 1);
	const struct cg_server *s;

	configure(services, servers);
	cg_clock_init_manual(&clk, 1000);
	start(&d, &clk, false);
	start(&owner, &clk, true);
	cg_health_tick(owner.health);
	cg_health_tick(d.health);
	/* The first digests are all sent at once and are excluded. */
	for (int t = -60; t < ticks; t++) {
		double t0;

		if (t == 0) {
			out = cg_counter_read(CG_COUNTER_PEER_BYTES_OUT);
			calls = cg_counter_read(CG_COUNTER_PEER_CALLS_OUT);
			cpu = 0;
			busy = 0;
		}
		cg_clock_set(&clk, cg_clock_now(&clk) + 1000);
		for (double n = 0; n < rate; n++) {
			struct cg_service *c =
				&config.services[g_rand_int_range(
					r, 0, (gint32)services)];

			cg_health_observe(d.health,
					  &c->servers[g_rand_int_range(
						  r, 0, (gint32)subset)],
					  g_rand_int_range(r, 0, 200)
						  ? CG_OBSERVED_OK
						  : CG_OBSERVED_FAILED,
					  g_rand_int_range(r, 80, 300));
		}
		t0 = seconds(CLOCK_THREAD_CPUTIME_ID);
		cg_health_tick(d.health);
		cpu += seconds(CLOCK_THREAD_CPUTIME_ID) - t0;
		for (int w = 0; !cg_health_idle(d.health) && w < 5000; w++)
			cg_sleep(1);
		t0 = seconds(CLOCK_THREAD_CPUTIME_ID);
		cg_health_tick(owner.health);
		busy += seconds(CLOCK_THREAD_CPUTIME_ID) - t0;
	}
	out = cg_counter_read(CG_COUNTER_PEER_BYTES_OUT) - out;
	calls = cg_counter_read(CG_COUNTER_PEER_CALLS_OUT) - calls;
	out += calls * (CALL_HEADERS - 28 + REPLY_HEADERS);
	for (size_t i = 0; i < services; i++)
		cg_balance_pick(b, &config.services[i], d.health, NULL, 0, true,
				0, &s);
	printf("%3zu services, %4zu servers, %3.0f requests/s: %.0f bytes/s, %.1f calls/s, tick %.2f ms (coordinating all services: %.2f ms), memory %.1f MB and %.1f MB for load balancing\n",
	       services, services * servers, rate, (double)out / ticks,
	       (double)calls / ticks, cpu * 1000 / ticks, busy * 1000 / ticks,
	       (double)cg_health_memory(d.health) / 1048576,
	       (double)cg_balance_memory(b) / 1048576);
	stop(&d);
	stop(&owner);
	cg_balance_free(b);
	unconfigure();
	g_rand_free(r);
}

/* Measures a coordinator's CPU time per second for one service. */
static void measure_coordinator(size_t servers, size_t daemons, size_t seen)
{
	struct cg_ejection_server *list =
		g_new0(struct cg_ejection_server, servers);
	struct cg_ejection_rules r;
	struct cg_ejection *e;
	double t0;
	int rounds = 50;

	cg_ejection_rules_fleet(&r, 30000, 10000);
	e = cg_ejection_new(&r, 1, false, 0);
	for (size_t i = 0; i < servers; i++) {
		g_snprintf(list[i].name, 16, "s%zu", i);
		list[i].slots = 6;
	}
	cg_ejection_set_servers(e, list, servers, 50, 0);
	t0 = seconds(CLOCK_THREAD_CPUTIME_ID);
	for (int t = 1; t <= rounds; t++) {
		for (size_t d = 0; d < daemons; d++) {
			struct cg_sample s = { 0 };
			char name[16];
			uint32_t id;

			g_snprintf(name, sizeof(name), "d%zu", d);
			s.answered[30] = 1;
			cg_ejection_begin_digest(e, name, 1, d % 2 ? "a" : "b",
						 (uint64_t)t, t * 1000, &id);
			for (size_t i = 0; i < seen; i++)
				cg_ejection_observe(
					e, id,
					cg_server_id(
						list[(d + i) % servers].name),
					&s, t * 1000);
		}
		cg_ejection_tick(e, t * 1000);
	}
	printf("%3zu digests/s with %zu of %zu servers: %.0f us of CPU per second, %.0f KB\n",
	       daemons, seen, servers,
	       (seconds(CLOCK_THREAD_CPUTIME_ID) - t0) * 1e6 / rounds,
	       (double)cg_ejection_memory(e) / 1024);
	cg_ejection_free(e);
	g_free(list);
}

int main(void)
{
	printf("request path\n");
	measure_request_path(5);
	measure_request_path(15);
	measure_request_path(50);
	printf("one daemon\n");
	measure_digests(3, 15, 15, 60, 120);
	measure_digests(140, 51, 16, 172, 120);
	printf("coordinator of one service\n");
	measure_coordinator(15, 48, 15);
	measure_coordinator(50, 47, 9);
	measure_coordinator(50, 470, 9);
	return 0;
}
