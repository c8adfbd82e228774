/* Guards against running slots that leak, requests to a draining or excluded
 * server, a refusal although an avoided server could serve, and load that moves
 * to a server because it fails fast. The health controller is a fake with
 * configurable weights. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "internal/balance.h"

#define SERVERS 6

/* Fakes of the health controller and the configuration. */
static struct cg_health_server_state health_states[SERVERS];

static int server_index(const struct cg_server *s)
{
	return s->name[1] - '0';
}

void cg_health_server_state(struct cg_health *h, const struct cg_server *srv,
			    bool idempotent, struct cg_health_server_state *out)
{
	*out = health_states[server_index(srv)];
	if (!idempotent && out->weight < 1000)
		out->weight = 0;
}

struct cg_config {
	struct cg_service *service;
};

const struct cg_service *cg_config_service_at(const struct cg_config *c,
					      size_t i)
{
	return i == 0 ? c->service : NULL;
}

struct fixture {
	struct cg_balance *b;
	struct cg_service svc;
	struct cg_server servers[SERVERS];
};

static void set_up(struct fixture *f, size_t n)
{
	memset(f, 0, sizeof(*f));
	f->b = cg_balance_new("d1", 7);
	g_strlcpy(f->svc.name, "slots", sizeof(f->svc.name));
	f->svc.servers = f->servers;
	f->svc.server_count = n;
	for (size_t i = 0; i < SERVERS; i++) {
		health_states[i] =
			(struct cg_health_server_state){ .weight = 1000 };
		g_snprintf(f->servers[i].name, 8, "s%zu", i);
		f->servers[i].slots = 3;
		f->servers[i].connections = 400;
		f->servers[i].service = &f->svc;
	}
}

static int pick(struct fixture *f, const struct cg_server **s)
{
	return cg_balance_pick(f->b, &f->svc, NULL, NULL, 0, true, 1000, s);
}

/* Runs @p n requests one after another and counts them by server. */
static void run_requests(struct fixture *f, int n, cg_ms latency,
			 int count[SERVERS])
{
	const struct cg_server *s;

	memset(count, 0, SERVERS * sizeof(*count));
	for (int i = 0; i < n; i++) {
		assert_int_equal(pick(f, &s), 0);
		count[server_index(s)]++;
		cg_balance_complete(f->b, s, CG_OBSERVED_OK, latency, 1000);
	}
}

static void slots_are_limited_and_released(void **state)
{
	const struct cg_server *s[3 * SERVERS + 1];
	struct cg_balance_server_state r;
	struct fixture f;

	set_up(&f, SERVERS);
	for (int i = 0; i < 3 * SERVERS; i++)
		assert_int_equal(pick(&f, &s[i]), 0);
	assert_int_equal(pick(&f, &s[3 * SERVERS]), 1);
	for (int i = 0; i < SERVERS; i++) {
		assert_int_equal(cg_balance_read_server(f.b, &f.servers[i], &r),
				 0);
		assert_int_equal(r.running, 3);
	}
	for (int i = 0; i < 3 * SERVERS; i++)
		cg_balance_complete(f.b, s[i], CG_OBSERVED_OK, 10, 1000);
	for (int i = 0; i < SERVERS; i++) {
		cg_balance_read_server(f.b, &f.servers[i], &r);
		assert_int_equal(r.running, 0);
	}
	cg_balance_free(f.b);
}

static void load_is_spread_evenly(void **state)
{
	int count[SERVERS];
	struct fixture f;

	set_up(&f, SERVERS);
	run_requests(&f, 6000, 10, count);
	for (int i = 0; i < SERVERS; i++)
		assert_in_range(count[i], 700, 1300);
	cg_balance_free(f.b);
}

static void weights_limit_the_load_of_ejected_and_trial_servers(void **state)
{
	int count[SERVERS];
	struct fixture f;

	set_up(&f, SERVERS);
	health_states[0].weight = 0;
	health_states[1].weight = 100;
	run_requests(&f, 10000, 10, count);
	assert_int_equal(count[0], 0);
	/* A tenth of an equal share is 200. */
	assert_in_range(count[1], 50, 500);
	cg_balance_free(f.b);
}

static void excluded_server_is_not_picked(void **state)
{
	const struct cg_server *s;
	const struct cg_server *exclude[2];
	struct fixture f;

	set_up(&f, 2);
	exclude[0] = &f.servers[0];
	exclude[1] = &f.servers[1];
	for (int i = 0; i < 3; i++) {
		assert_int_equal(cg_balance_pick(f.b, &f.svc, NULL, exclude, 1,
						 true, 0, &s),
				 0);
		assert_ptr_equal(s, &f.servers[1]);
	}
	assert_int_equal(
		cg_balance_pick(f.b, &f.svc, NULL, exclude, 1, true, 0, &s), 1);
	assert_int_equal(
		cg_balance_pick(f.b, &f.svc, NULL, exclude, 2, true, 0, &s),
		-1);
	cg_balance_free(f.b);
}

static void least_unhealthy_server_is_used_if_none_is_healthy(void **state)
{
	const struct cg_server *s;
	struct fixture f;

	set_up(&f, 4);
	for (int i = 0; i < 4; i++)
		health_states[i] = (struct cg_health_server_state){
			.weight = 0, .fallback_rank = 3000
		};
	health_states[2].fallback_rank = 1000;
	health_states[3].fallback_rank = 0;
	health_states[3].draining = true;
	for (int i = 0; i < 3; i++) {
		assert_int_equal(pick(&f, &s), 0);
		assert_ptr_equal(s, &f.servers[2]);
	}
	/* The least unhealthy server is at its limit: the request waits instead
	 * of going to a worse one. */
	assert_int_equal(pick(&f, &s), 1);
	for (int i = 0; i < 4; i++)
		health_states[i].draining = true;
	assert_int_equal(pick(&f, &s), -1);
	cg_balance_free(f.b);
}

/* A request waits for the healthy server at its limit instead of going to an
 * ejected one. */
static void request_waits_for_busy_healthy_server(void **state)
{
	const struct cg_server *s;
	struct fixture f;

	set_up(&f, 2);
	health_states[1].weight = 0;
	health_states[1].fallback_rank = 3000;
	for (int i = 0; i < 3; i++)
		assert_int_equal(pick(&f, &s), 0);
	assert_int_equal(pick(&f, &s), 1);
	cg_balance_free(f.b);
}

static void fast_failing_server_attracts_no_load(void **state)
{
	int count[SERVERS] = { 0 };
	const struct cg_server *s;
	struct fixture f;

	set_up(&f, SERVERS);
	for (int i = 0; i < 6000; i++) {
		assert_int_equal(pick(&f, &s), 0);
		count[server_index(s)]++;
		if (server_index(s) == 0)
			cg_balance_complete(f.b, s, CG_OBSERVED_FAILED, 1,
					    1000);
		else
			cg_balance_complete(f.b, s, CG_OBSERVED_OK, 100, 1000);
	}
	assert_true(count[0] < 500);
	cg_balance_free(f.b);
}

static void shed_response_lowers_the_limit(void **state)
{
	struct cg_balance_server_state r;
	const struct cg_server *s;
	struct fixture f;

	set_up(&f, 1);
	assert_int_equal(pick(&f, &s), 0);
	cg_balance_complete(f.b, s, CG_OBSERVED_SHED, 1, 1000);
	cg_balance_read_server(f.b, &f.servers[0], &r);
	assert_int_equal(r.limit, 1);
	cg_balance_free(f.b);
}

static void state_is_kept_by_name_across_configurations(void **state)
{
	const struct cg_server *s;
	struct cg_balance_server_state r;
	struct cg_config c;
	struct fixture f, g;

	set_up(&f, 1);
	assert_int_equal(pick(&f, &s), 0);
	/* The same server is second in the next configuration. */
	g = f;
	g.svc.servers = g.servers;
	g.svc.server_count = 2;
	g_strlcpy(g.servers[0].name, "s5", 8);
	g_strlcpy(g.servers[1].name, "s0", 8);
	for (int i = 0; i < 5; i++)
		assert_int_equal(pick(&g, &s), 0);
	assert_int_equal(pick(&g, &s), 1);
	/* A request that started under the old configuration releases its
	 * slot. */
	cg_balance_complete(f.b, &f.servers[0], CG_OBSERVED_OK, 1, 1000);
	cg_balance_read_server(f.b, &f.servers[0], &r);
	assert_int_equal(r.running, 2);
	c.service = &g.svc;
	cg_balance_prune(f.b, &c);
	assert_int_equal(cg_balance_read_server(f.b, &f.servers[0], &r), 0);
	c.service = NULL;
	cg_balance_prune(f.b, &c);
	assert_int_equal(cg_balance_read_server(f.b, &f.servers[0], &r), -1);
	cg_balance_free(f.b);
}

static void large_fleet_uses_a_subset_of_servers(void **state)
{
	int count[SERVERS], servers_used = 0;
	struct fixture f;

	set_up(&f, SERVERS);
	cg_balance_set_daemons(f.b, 470);
	for (int i = 0; i < SERVERS; i++)
		f.servers[i].connections = 100;
	run_requests(&f, 1000, 10, count);
	for (int i = 0; i < SERVERS; i++)
		servers_used += count[i] > 0;
	assert_int_equal(servers_used, 3);
	/* With its whole subset ejected, the daemon uses other servers. */
	for (int i = 0; i < SERVERS; i++)
		if (count[i])
			health_states[i].weight = 0;
	run_requests(&f, 1000, 10, count);
	for (int i = 0; i < SERVERS; i++)
		assert_true(!count[i] || health_states[i].weight);
	cg_balance_free(f.b);
}

static void *pick_and_complete(void *arg)
{
	struct fixture *f = arg;
	const struct cg_server *s;

	for (int i = 0; i < 20000; i++)
		if (!pick(f, &s))
			cg_balance_complete(f->b, s,
					    i % 50 ? CG_OBSERVED_OK
						   : CG_OBSERVED_SHED,
					    i % 30, 1000);
	return NULL;
}

static void concurrent_requests_leak_no_slot(void **state)
{
	struct cg_balance_server_state r;
	struct fixture f;
	pthread_t t[4];

	set_up(&f, SERVERS);
	for (int i = 0; i < 4; i++)
		pthread_create(&t[i], NULL, pick_and_complete, &f);
	for (int i = 0; i < 4; i++)
		pthread_join(t[i], NULL);
	for (int i = 0; i < SERVERS; i++) {
		assert_int_equal(cg_balance_read_server(f.b, &f.servers[i], &r),
				 0);
		assert_int_equal(r.running, 0);
	}
	cg_balance_free(f.b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(slots_are_limited_and_released),
		cmocka_unit_test(load_is_spread_evenly),
		cmocka_unit_test(
			weights_limit_the_load_of_ejected_and_trial_servers),
		cmocka_unit_test(excluded_server_is_not_picked),
		cmocka_unit_test(
			least_unhealthy_server_is_used_if_none_is_healthy),
		cmocka_unit_test(request_waits_for_busy_healthy_server),
		cmocka_unit_test(fast_failing_server_attracts_no_load),
		cmocka_unit_test(shed_response_lowers_the_limit),
		cmocka_unit_test(state_is_kept_by_name_across_configurations),
		cmocka_unit_test(large_fleet_uses_a_subset_of_servers),
		cmocka_unit_test(concurrent_requests_leak_no_slot),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
