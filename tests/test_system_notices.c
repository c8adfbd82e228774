/* Tests whole gateway processes with servers that say with their responses that
 * they leave or want no requests for a while. Guards against a daemon that goes on
 * sending requests there, also when the broker of its domain is killed or stopped
 * meanwhile. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "support/gateway_fleet.h"

#define DAEMONS	       4
#define FINDS	       40 /* requests until a server must have got one */
#define SETTLE_MS      500
#define REST_S	       "3"
#define REST_MS	       3000
#define REST_REQUESTS  2 /* allowed after SETTLE_MS */
#define STEADY	       40
#define STEADY_GAP_MS  40
#define REFUSED_IN_MS  500
#define BROKER_STOP_MS 1200

static void sleep_ms(unsigned int ms)
{
	g_usleep((gulong)ms * 1000);
}

static void start(struct gateway_fleet *f)
{
	gf_start(f, DAEMONS);
	gf_put_config(f, true, 0, 0, "");
	gf_wait_ready(f);
}

/* Sends requests through a daemon until server 0 gets one. */
static void reach_server(struct gateway_fleet *f, unsigned int daemon)
{
	int before = f->servers[0].requests;

	for (int i = 0; i < FINDS && f->servers[0].requests == before; i++)
		gf_get(f, daemon);
	assert_true(f->servers[0].requests > before);
}

static int steady_load(struct gateway_fleet *f, unsigned int daemon)
{
	int served = 0;

	for (int i = 0; i < STEADY; i++) {
		served += gf_get(f, daemon).status == 200;
		sleep_ms(STEADY_GAP_MS);
	}
	return served;
}

/* Daemon 0 leads domain "a". Kills it, or stops it for a while, so that daemon 1
 * asks a broker that has not heard what the server said. */
static void disturb_broker(struct gateway_fleet *f, int sig)
{
	kill(f->pids[0], sig);
	if (sig != SIGSTOP)
		return;
	sleep_ms(BROKER_STOP_MS);
	kill(f->pids[0], SIGCONT);
}

static void server_that_leaves_gets_nothing_more(void **state)
{
	static const int signals[] = { 0, SIGSTOP, SIGKILL };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++) {
		struct gateway_fleet f;
		int before;

		start(&f);
		f.servers[0].mode = SCRIPTED_LEAVING;
		reach_server(&f, 1);
		disturb_broker(&f, signals[i]);
		sleep_ms(SETTLE_MS);
		before = f.servers[0].requests;
		assert_true(steady_load(&f, 1) > STEADY / 2);
		assert_int_equal(f.servers[0].requests, before);
		gf_stop(&f);
	}
}

static void server_that_rests_gets_two_requests_at_most(void **state)
{
	static const int signals[] = { 0, SIGSTOP, SIGKILL };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++) {
		struct gateway_fleet f;
		gint64 end;
		int before;

		start(&f);
		f.servers[0].retry_after = REST_S;
		f.servers[0].mode = SCRIPTED_REST;
		reach_server(&f, 1);
		end = g_get_monotonic_time() / 1000 + REST_MS;
		f.servers[0].mode = SCRIPTED_OK;
		disturb_broker(&f, signals[i]);
		sleep_ms(SETTLE_MS);
		before = f.servers[0].requests;
		while (g_get_monotonic_time() / 1000 < end - SETTLE_MS)
			gf_get(&f, 1);
		assert_true(f.servers[0].requests - before <= REST_REQUESTS);
		sleep_ms(2 * SETTLE_MS);
		reach_server(&f, 1);
		gf_stop(&f);
	}
}

static void callers_are_refused_at_once_while_all_rest(void **state)
{
	struct gateway_fleet f;
	struct gf_response a;
	int before = 0;

	(void)state;
	start(&f);
	for (int i = 0; i < GF_SERVERS; i++) {
		f.servers[i].retry_after = REST_S;
		f.servers[i].mode = SCRIPTED_REST;
	}
	/* The other domain is asked once its broker has reported. */
	for (int i = 0; i < FINDS; i++) {
		gf_get(&f, 0);
		sleep_ms(STEADY_GAP_MS);
	}
	for (int i = 0; i < GF_SERVERS; i++)
		before += f.servers[i].requests;
	sleep_ms(SETTLE_MS);
	a = gf_get(&f, 0);
	assert_int_equal(a.status, 503);
	assert_true(a.ms < REFUSED_IN_MS);
	assert_true(atof(a.retry_after) > 0.2 && atof(a.retry_after) < 3.5);
	for (int i = 0; i < GF_SERVERS; i++)
		before -= f.servers[i].requests;
	assert_int_equal(before, 0);
	gf_stop(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(server_that_leaves_gets_nothing_more),
		cmocka_unit_test(server_that_rests_gets_two_requests_at_most),
		cmocka_unit_test(callers_are_refused_at_once_while_all_rest),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
