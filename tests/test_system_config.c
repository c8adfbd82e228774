/* Guards against a change of the configuration that is not in force on every
 * daemon within 4 s while a third of the daemons cannot reach the store;
 * against a stale read of the store that reverts daemons to an earlier version;
 * and against two concurrent operators who read the same version and both get
 * exit status 0, although one change overwrites the other. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>

#include "../bench/fleet/fleet.h"

#define DAEMONS		     9
#define PROPAGATION_LIMIT_MS 4000
#define CHANGES		     5
#define EXIT_LOST_RACE	     3 /* Exit status of celerygladectl. */

static struct fleet *f;

static void publish_key(int n)
{
	char *key = g_strdup_printf("key-%d-0123456789abcdef", n);

	fleet_write_account(f, "acme", key, 1000, 1000);
	assert_int_equal(fleet_apply_config(f), 0);
	g_free(key);
}

/* Daemons 6 to 8 use a store port that refuses connections. */
static int setup(void **state)
{
	char *fault;

	f = fleet_new(2);
	fleet_add_backend(f, "rounds", 2, 20, "-t 1");
	fleet_write_services(f);
	publish_key(0);
	fault = g_strdup_printf("{\"down\":\"refuse\",\"port\":%d}",
				f->base + 2);
	fleet_set_platform_faults(f, fault);
	g_free(fault);
	fleet_add_daemons(f, DAEMONS, 6, NULL);
	assert_int_equal(fleet_wait_ready(f, -1, 20000), 0);
	return 0;
}

static int teardown(void **state)
{
	fleet_free(f);
	return 0;
}

/* Returns whether daemon i accepts key n and refuses the previous key. */
static bool key_in_force(int i, int n)
{
	char *key = g_strdup_printf("key-%d-0123456789abcdef", n);
	char *old = g_strdup_printf("key-%d-0123456789abcdef", n - 1);
	bool yes = fleet_request(f, i, "GET", "/rounds", key) == 200 &&
		   fleet_request(f, i, "GET", "/rounds", old) == 401;

	g_free(old);
	g_free(key);
	return yes;
}

static void changes_reach_every_daemon(void **state)
{
	for (int n = 1; n <= CHANGES; n++) {
		int64_t begin = fleet_now_ms();

		publish_key(n);
		for (int i = 0; i < DAEMONS; i++)
			while (!key_in_force(i, n)) {
				assert_true(fleet_now_ms() - begin <=
					    PROPAGATION_LIMIT_MS);
				g_usleep(20000);
			}
		printf("change %d in force everywhere after %d ms\n", n,
		       (int)(fleet_now_ms() - begin));
	}
	for (int i = 6; i < DAEMONS; i++)
		assert_true(fleet_metric(f, i, "config_parts_from_peer") > 0);
}

static void stale_reads_do_not_revert_the_configuration(void **state)
{
	int64_t end;

	fleet_set_platform_faults(f, "{\"stale_objects\":0.5}");
	publish_key(CHANGES + 1);
	end = fleet_now_ms() + PROPAGATION_LIMIT_MS;
	for (int i = 0; i < DAEMONS; i++)
		while (!key_in_force(i, CHANGES + 1)) {
			assert_true(fleet_now_ms() <= end);
			g_usleep(20000);
		}
	for (end = fleet_now_ms() + 3000; fleet_now_ms() < end; g_usleep(50000))
		for (int i = 0; i < DAEMONS; i++)
			assert_true(key_in_force(i, CHANGES + 1));
	fleet_set_platform_faults(f, "{\"stale_objects\":0}");
}

static void lost_response_counts_as_success(void **state)
{
	fleet_set_platform_faults(f, "{\"lose_writes\":1}");
	publish_key(CHANGES + 2);
	fleet_set_platform_faults(f, "{\"lose_writes\":0}");
}

static pid_t apply_in_background(int n)
{
	char *key = g_strdup_printf("key-%d-0123456789abcdef", n);
	pid_t pid;

	fleet_write_account(f, "acme", key, 1000, 1000);
	pid = fleet_spawn(f, "ctl",
			  "celerygladectl apply %s/conf "
			  "--store http://127.0.0.1:%d",
			  f->dir, f->base + 1);
	g_free(key);
	return pid;
}

/* Each call to the store takes 400 ms and the second operator starts 200 ms
 * after the first, so both read the root before either writes it. */
static void second_operator_loses_the_race(void **state)
{
	int status[2], winner;
	int64_t end;
	pid_t pid[2];

	fleet_set_platform_faults(f, "{\"slow_ms\":400}");
	for (int i = 0; i < 2; i++) {
		pid[i] = apply_in_background(CHANGES + 3 + 2 * i);
		g_usleep(200000);
	}
	for (int i = 0; i < 2; i++)
		status[i] = fleet_wait_process(&pid[i], 20000);
	fleet_set_platform_faults(f, "{\"slow_ms\":0}");
	printf("operators end with status %d and %d\n", status[0], status[1]);
	assert_int_equal(status[0] + status[1], EXIT_LOST_RACE);
	assert_true(status[0] == 0 || status[1] == 0);
	winner = CHANGES + 3 + (status[0] ? 2 : 0);
	end = fleet_now_ms() + PROPAGATION_LIMIT_MS;
	for (int i = 0; i < DAEMONS; i++)
		while (!key_in_force(i, winner)) {
			assert_true(fleet_now_ms() <= end);
			g_usleep(20000);
		}
}

static void daemon_without_store_and_peers_has_no_configuration(void **state)
{
	struct fleet *alone = fleet_new(1);

	fleet_set_platform_faults(alone, "{\"down\":\"refuse\"}");
	fleet_set_platform_faults(alone, "{\"down\":\"503\"}");
	fleet_add_daemon(alone, "a", 0, NULL);
	assert_int_equal(fleet_wait_ready(alone, 0, 3000), -1);
	fleet_free(alone);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			daemon_without_store_and_peers_has_no_configuration),
		cmocka_unit_test(changes_reach_every_daemon),
		cmocka_unit_test(stale_reads_do_not_revert_the_configuration),
		cmocka_unit_test(lost_response_counts_as_success),
		cmocka_unit_test(second_operator_loses_the_race),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
