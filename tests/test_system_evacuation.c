/* Tests the evacuation of a failure domain with whole gateway processes. Guards
 * against requests that are sent to the servers of an evacuated domain by any
 * daemon, by a restarted leader or by one that leads while the store is away,
 * and against callers of that domain who are refused although other servers are
 * free. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "celeryglade/clock.h"
#include "support/gateway_fleet.h"

#define DAEMONS	 4
#define BOUND_MS 5000
/* A change of leader: 750 ms without a pong, and a wait for others. */
#define LEADER_CHANGE_MS 1500

static cg_ms now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static void sleep_ms(cg_ms ms)
{
	g_usleep((gulong)ms * 1000);
}

static void stop_daemon(struct gateway_fleet *f, unsigned int i)
{
	kill(f->pids[i], SIGKILL);
	waitpid(f->pids[i], NULL, 0);
	f->pids[i] = 0;
}

/* Daemons 0 and 1 are in domain "a", 2 and 3 in "b"; 0 and 2 lead. */
static void start(struct gateway_fleet *f)
{
	gf_start(f, DAEMONS);
	f->evacuation_bound_ms = BOUND_MS;
	for (unsigned int i = 0; i < DAEMONS; i++) {
		stop_daemon(f, i);
		gf_write_settings(f, i);
	}
	for (unsigned int i = 0; i < DAEMONS; i++)
		gf_start_daemon(f, i);
	gf_put_config(f, true, 0, 0, "");
	gf_wait_ready(f);
	sleep_ms(1500);
}

/* Requests that the servers of domain "a" have read. */
static int requests_in_a(struct gateway_fleet *f)
{
	return f->servers[0].requests + f->servers[1].requests;
}

/* Sends requests through all running daemons for @p ms; all must be served. While
 * the store is away (@p refuses), domain "b" takes no requests of "a" because its
 * list of servers is old; those are refused. */
static void serve_or_refuse(struct gateway_fleet *f, cg_ms ms, bool refuses)
{
	cg_ms until = now_ms() + ms;

	while (now_ms() < until)
		for (unsigned int i = 0; i < DAEMONS; i++) {
			struct gf_request r = { .daemon = i,
						.method = "GET",
						.path = "/open/x",
						.id = "e" };
			struct gf_response a;

			if (!f->pids[i])
				continue;
			a = gf_call(f, &r);
			if (refuses && i < DAEMONS / 2 && a.status == 503 &&
			    *a.retry_after)
				continue;
			if (a.status != 200)
				print_message("daemon %u: status %d %s\n", i,
					      a.status, a.body);
			assert_int_equal(a.status, 200);
			sleep_ms(5);
		}
}

static void serve(struct gateway_fleet *f, cg_ms ms)
{
	serve_or_refuse(f, ms, false);
}

static void evacuate(struct gateway_fleet *f)
{
	objects_put(f->store, "evacuations", "a", "{\"reason\":\"power\"}");
	serve(f, BOUND_MS);
}

static void evacuated_servers_get_nothing_until_the_end(void **state)
{
	static struct gateway_fleet f; /* used by threads after a failure */
	cg_ms removed_at;
	int before;

	(void)state;
	start(&f);
	before = requests_in_a(&f);
	serve(&f, 500);
	assert_true(requests_in_a(&f) > before);
	evacuate(&f);
	before = requests_in_a(&f);
	serve(&f, 1500);
	assert_int_equal(requests_in_a(&f), before);
	assert_int_equal(gf_count_in_log(&f, 0, "domain a begins"), 1);
	assert_int_equal(gf_count_in_log(&f, 2, "begins"), 0);
	/* The leader dies, and leads again after its restart. */
	stop_daemon(&f, 0);
	sleep_ms(LEADER_CHANGE_MS);
	serve(&f, 1000);
	assert_int_equal(requests_in_a(&f), before);
	gf_start_daemon(&f, 0);
	while (gf_ready_status(&f, 0) != 200)
		sleep_ms(20);
	serve(&f, 2500);
	assert_int_equal(requests_in_a(&f), before);
	objects_remove(f.store, "evacuations", "a");
	removed_at = now_ms();
	while (requests_in_a(&f) == before) {
		serve(&f, 50);
		assert_true(now_ms() - removed_at < BOUND_MS + 500);
	}
	gf_stop(&f);
}

/* The new leader cannot ask the store and must use what the former one read. */
static void new_leader_knows_the_state_while_the_store_is_away(void **state)
{
	static struct gateway_fleet f; /* used by threads after a failure */
	int before;

	(void)state;
	start(&f);
	evacuate(&f);
	before = requests_in_a(&f);
	objects_set_fault(f.store, OBJECTS_FAULT_503);
	sleep_ms(1000);
	stop_daemon(&f, 0);
	sleep_ms(LEADER_CHANGE_MS);
	serve_or_refuse(&f, 4000, true);
	assert_int_equal(requests_in_a(&f), before);
	assert_true(gf_count_in_log(&f, 1, "follows d1") > 0);
	gf_stop(&f);
}

/* A suspended leader missed the evacuation. */
static void resumed_leader_does_not_use_evacuated_servers(void **state)
{
	static struct gateway_fleet f; /* used by threads after a failure */
	int before;

	(void)state;
	start(&f);
	kill(f.pids[0], SIGSTOP);
	objects_put(f.store, "evacuations", "a", "{}");
	sleep_ms(BOUND_MS + 500);
	before = requests_in_a(&f);
	kill(f.pids[0], SIGCONT);
	serve(&f, 2000);
	assert_int_equal(requests_in_a(&f), before);
	gf_stop(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(evacuated_servers_get_nothing_until_the_end),
		cmocka_unit_test(
			new_leader_knows_the_state_while_the_store_is_away),
		cmocka_unit_test(resumed_leader_does_not_use_evacuated_servers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
