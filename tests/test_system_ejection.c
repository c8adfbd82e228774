/* Guards against gray failures: a server that fails a part of its requests but
 * passes health checks, and therefore keeps getting requests. Guards also
 * against ejecting so many servers that the service falls below its floor. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "../bench/fleet/fleet.h"

#define SERVERS	  6
#define FLOOR_MIN 4 /* 60 % of 6 servers with equal slots, rounded up. */
/* Half of the baseline's detection time, which is 15 s for a server at which
 * all requests fail (bench_ejection). */
#define LIMIT_MS 7500
#define MIX	 "-r 400 -g /visits -a acme:acme-key-0123456789abcdef "

static struct fleet *f;

static int setup(void **state)
{
	f = fleet_new(1);
	fleet_add_backend(f, "visits", SERVERS, 10, "-t 10 -d exponential");
	fleet_write_services(f);
	fleet_write_account(f, "acme", "acme-key-0123456789abcdef", 2000, 2000);
	if (fleet_apply_config(f))
		return -1;
	fleet_add_daemons(f, 6, 6, NULL);
	return fleet_wait_serving(f, "/visits", "acme-key-0123456789abcdef",
				  20000);
}

static int teardown(void **state)
{
	fleet_free(f);
	return 0;
}

/* Waits until all daemons together have counted @p n ejections. Returns the
 * time taken in ms, or -1 if @p limit ms have passed. */
static int64_t wait_for_ejections(int64_t n, int64_t limit)
{
	int64_t begin = fleet_now_ms();

	while (fleet_now_ms() - begin < limit) {
		if (fleet_metric_sum(f, "ejections") >= n)
			return fleet_now_ms() - begin;
		g_usleep(50000);
	}
	return -1;
}

static void failing_server_is_ejected_in_time(void **state)
{
	int load = fleet_load_start(f, MIX "-d 16 ");
	struct json_object *sum;
	int64_t took;

	g_usleep(5000000);
	assert_int_equal(fleet_metric_sum(f, "ejections"), 0);
	/* Health checks still succeed. */
	fleet_set_server_faults(f, 0, 1, "{\"fault\":\"fail\",\"share\":0.6}");
	took = wait_for_ejections(1, LIMIT_MS);
	printf("ejected %d ms after the fault\n", (int)took);
	sum = fleet_load_wait(f, load);
	assert_int_equal(fleet_count_violations(sum), 0);
	json_object_put(sum);
	assert_in_range(took, 0, LIMIT_MS);
	assert_int_equal(fleet_metric_sum(f, "ejections"), 1);
}

/* Returns the number of servers that are ejected according to the first
 * daemon. */
static int count_ejected(void)
{
	char *args = g_strdup_printf("servers --json --secret-file=%s/secret "
				     "--peers=127.0.0.1:%d",
				     f->dir, fleet_peer_port(f, 0));
	char *out = NULL;
	int n = 0;

	if (!fleet_ctl(f, args, &out))
		for (char *at = out; (at = strstr(at, "ejected\"")); at++)
			n++;
	g_free(out);
	g_free(args);
	return n;
}

/* Four of six servers fail. At no time may more than two be ejected. */
static void ejection_stops_at_the_floor(void **state)
{
	int load = fleet_load_start(f, MIX "-d 25 ");
	struct json_object *sum;
	int most = 0;

	g_usleep(5000000);
	for (int i = 1; i <= 4; i++)
		fleet_set_server_faults(f, 0, i,
					"{\"fault\":\"fail\",\"share\":0.5}");
	for (int i = 0; i < 50; i++) {
		int n = count_ejected();

		most = n > most ? n : most;
		g_usleep(300000);
	}
	sum = fleet_load_wait(f, load);
	printf("most servers out at once %d, denied by the floor %d\n", most,
	       (int)fleet_metric_sum(f, "ejections_denied_floor"));
	assert_int_equal(fleet_count_violations(sum), 0);
	json_object_put(sum);
	assert_in_range(most, 1, SERVERS - FLOOR_MIN);
}

#define TEST(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(failing_server_is_ejected_in_time),
		TEST(ejection_stops_at_the_floor),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
