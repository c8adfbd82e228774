/* Guards against a graceful shutdown that aborts a running request, closes a
 * connection while a request is in flight on it, or does not exit with
 * status 0. The daemons restart one after the other while a load runs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <signal.h>
#include <stdio.h>

#include "../bench/fleet/fleet.h"

#define DAEMONS 4
/* Ten readiness polls of the load tool; the default of 5 s would lengthen the
 * test. */
#define SHORT_LAME_DUCK "\"lame_duck_ms\": 1000"
#define LOAD_MIX                                                               \
	"-r 150 -g /records -p /payments -P 0.5 -K 0.3 "                       \
	"-a acme:acme-key-0123456789abcdef "

static struct fleet *f;

static int setup(void **state)
{
	f = fleet_new(1);
	fleet_add_backend(f, "payments", 4, 30, "-t 60 -d exponential");
	fleet_add_backend(f, "records", 4, 30, "-t 60 -d exponential");
	fleet_write_services(f);
	fleet_write_account(f, "acme", "acme-key-0123456789abcdef", 1000, 1000);
	assert_int_equal(fleet_apply_config(f), 0);
	fleet_add_daemons(f, DAEMONS, DAEMONS, SHORT_LAME_DUCK);
	assert_int_equal(fleet_wait_serving(f, "/records",
					    "acme-key-0123456789abcdef", 20000),
			 0);
	return 0;
}

static int teardown(void **state)
{
	fleet_free(f);
	return 0;
}

static void killed_daemon_loses_requests(void **state)
{
	int load = fleet_load_start(f, "-d 3 " LOAD_MIX "-r 400 ");
	struct json_object *sum;

	g_usleep(1000000);
	fleet_signal_daemon(f, 0, SIGKILL);
	sum = fleet_load_wait(f, load);
	printf("killed: sent %d answered %d\n",
	       (int)fleet_summary_number(sum, "sent"),
	       (int)fleet_summary_number(sum, "answered"));
	assert_true(fleet_summary_number(sum, "answered") <
		    fleet_summary_number(sum, "sent"));
	assert_int_equal(fleet_count_violations(sum), 0);
	json_object_put(sum);
	fleet_restart_daemon(f, 0);
	assert_int_equal(fleet_wait_ready(f, -1, 20000), 0);
}

static void rolling_restart_loses_no_request(void **state)
{
	int load = fleet_load_start(f, "-d 22 " LOAD_MIX);
	struct json_object *sum;

	g_usleep(500000);
	for (int i = 0; i < DAEMONS; i++) {
		int64_t begin = fleet_now_ms();

		fleet_signal_daemon(f, i, SIGTERM);
		assert_int_equal(fleet_wait_exit(f, i, 15000), 0);
		printf("daemon %d ended after %d ms\n", i,
		       (int)(fleet_now_ms() - begin));
		fleet_restart_daemon(f, i);
		assert_int_equal(fleet_wait_ready(f, i, 20000), 0);
	}
	sum = fleet_load_wait(f, load);
	printf("rolling: sent %d answered %d refused %s failed %s\n",
	       (int)fleet_summary_number(sum, "sent"),
	       (int)fleet_summary_number(sum, "answered"),
	       json_object_get_string(json_object_object_get(sum, "refused")),
	       json_object_get_string(json_object_object_get(sum, "failed")));
	assert_int_equal(fleet_count_violations(sum), 0);
	assert_int_equal(fleet_summary_number(sum, "answered"),
			 fleet_summary_number(sum, "sent"));
	json_object_put(sum);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(killed_daemon_loses_requests),
		cmocka_unit_test(rolling_restart_loses_no_request),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
