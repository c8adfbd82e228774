/* Tests whole gateway processes whose leader is lost while the store turns the
 * daemon away that leads next, or is cut off for a while. Guards against grants by a
 * list of servers from before, which names servers that have left. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <signal.h>
#include <sys/wait.h>

#include "support/gateway_fleet.h"

/* Of each domain: its leader, the daemon that leads next, and one that callers
 * use. */
#define PER_DOMAIN 3
#define DAEMONS	   (2 * PER_DOMAIN)
#define LEADER	   0
#define NEXT	   1
#define FOLLOWER   2
/* Removal of a server's entry until no request may reach it. */
#define SERVER_DRAIN_MS 2000
/* Loss of a daemon until the others no longer count on it. */
#define FORGOTTEN_MS 2500
#define TURNED_MS    500
/* Loss of the leader in an outage of the store until requests are served. */
#define SERVED_AGAIN_MS 4000
#define CALLS		40
#define CALL_GAP_MS	50

static struct gateway_fleet fleet;

/* Starts a fleet whose daemon @turned can be turned away by the store. */
static void start(unsigned int turned)
{
	gf_prepare(&fleet, DAEMONS);
	fleet.store_port[turned] = objects_second_port(fleet.store);
	assert_int_not_equal(fleet.store_port[turned], 0);
	gf_start_daemons(&fleet);
	gf_put_config(&fleet, true, 0, 0, "");
	gf_wait_ready(&fleet);
	assert_int_equal(gf_get(&fleet, FOLLOWER).status, 200);
}

static void kill_daemon(unsigned int i)
{
	kill(fleet.pids[i], SIGKILL);
	waitpid(fleet.pids[i], NULL, 0);
	fleet.pids[i] = 0;
}

static void kill_other_domain(void)
{
	for (unsigned int i = PER_DOMAIN; i < DAEMONS; i++)
		kill_daemon(i);
	g_usleep(FORGOTTEN_MS * 1000);
}

/* Calls the follower for a while. Returns how many calls were served. */
static int call_follower(void)
{
	int served = 0;

	for (int i = 0; i < CALLS; i++) {
		served += gf_get(&fleet, FOLLOWER).status == 200;
		g_usleep(CALL_GAP_MS * 1000);
	}
	return served;
}

/* A server leaves, and then the leader is killed. Returns how many requests reach
 * that server afterwards. */
static int requests_to_server_that_left(void)
{
	int before;

	objects_remove(fleet.store, "servers", "s0");
	g_usleep(SERVER_DRAIN_MS * 1000);
	objects_cut_second_port(fleet.store, true);
	g_usleep(TURNED_MS * 1000);
	before = fleet.servers[0].requests;
	kill_daemon(LEADER);
	assert_int_equal(call_follower(), CALLS);
	return fleet.servers[0].requests - before;
}

/* No other domain can hand on a later list: the third daemon must lead. */
static void leader_that_is_turned_away_uses_no_old_list(void **state)
{
	(void)state;
	start(NEXT);
	kill_other_domain();
	assert_int_equal(requests_to_server_that_left(), 0);
	gf_stop(&fleet);
}

/* The same beside another domain, whose broker has the present list. */
static void leader_that_is_turned_away_fetches_the_list(void **state)
{
	(void)state;
	start(NEXT);
	assert_int_equal(requests_to_server_that_left(), 0);
	gf_stop(&fleet);
}

/* Calls a route that needs no key, whose proofs end in an outage of the store. */
static int call_open_route(void)
{
	struct gf_request r = { .daemon = FOLLOWER,
				.method = "GET",
				.path = "/open/x",
				.id = "open" };

	return gf_call(&fleet, &r).status;
}

/* No daemon can read the store: the list from before the outage is in use. */
static void old_list_is_used_if_no_daemon_can_read_the_store(void **state)
{
	gint64 killed_at;

	(void)state;
	start(NEXT);
	kill_other_domain();
	objects_set_fault(fleet.store, OBJECTS_FAULT_NO_RESPONSE);
	g_usleep(TURNED_MS * 1000);
	killed_at = g_get_monotonic_time();
	kill_daemon(LEADER);
	while (call_open_route() != 200)
		assert_true(g_get_monotonic_time() - killed_at <
			    SERVED_AGAIN_MS * 1000);
	print_message("served after %d ms\n",
		      (int)((g_get_monotonic_time() - killed_at) / 1000));
	for (int i = 0; i < CALLS; i++)
		assert_int_equal(call_open_route(), 200);
	gf_stop(&fleet);
}

static void signal_followers(int sig)
{
	for (unsigned int i = NEXT; i < PER_DOMAIN; i++)
		kill(fleet.pids[i], sig);
}

/* For a leader that is cut off from all other daemons and the store, these are as
 * if suspended. At its return it took its own cut for an outage of the store, and
 * kept servers that the store no longer listed in use. */
static void leader_that_was_cut_off_uses_no_server_that_has_left(void **state)
{
	int before;

	(void)state;
	start(LEADER);
	objects_cut_second_port(fleet.store, true);
	signal_followers(SIGSTOP);
	g_usleep(TURNED_MS * 1000);
	objects_remove(fleet.store, "servers", "s0");
	g_usleep(SERVER_DRAIN_MS * 1000);
	before = fleet.servers[0].requests;
	objects_cut_second_port(fleet.store, false);
	signal_followers(SIGCONT);
	assert_true(call_follower() > 0);
	assert_int_equal(fleet.servers[0].requests, before);
	gf_stop(&fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(leader_that_is_turned_away_uses_no_old_list),
		cmocka_unit_test(leader_that_is_turned_away_fetches_the_list),
		cmocka_unit_test(
			old_list_is_used_if_no_daemon_can_read_the_store),
		cmocka_unit_test(
			leader_that_was_cut_off_uses_no_server_that_has_left),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
