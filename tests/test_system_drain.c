/* Guards P8: a leaving server that still gets new work 4 s after it said so,
 * or after the platform's list said so, and requests lost by the move. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>

#include "../bench/fleet/fleet.h"

#define LIMIT_MS 4000
#define MIX	 "-r 150 -g /visits -p /visits -P 0.3 "
#define ACCOUNT	 "-a acme:acme-key-0123456789abcdef "

static struct fleet *f;

static int setup(void **state)
{
	f = fleet_new(1);
	fleet_add_backend(f, "visits", 4, 10, "-t 10 -d exponential");
	fleet_write_services(f);
	fleet_write_account(f, "acme", "acme-key-0123456789abcdef", 1000, 1000);
	assert_int_equal(fleet_apply_config(f), 0);
	fleet_add_daemons(f, 4, 4, NULL);
	assert_int_equal(fleet_wait_serving(f, "/visits",
					    "acme-key-0123456789abcdef", 20000),
			 0);
	return 0;
}

static int teardown(void **state)
{
	fleet_free(f);
	return 0;
}

/* Runs a load, starts the drain of a server after a second, and returns when
 * after that the server started its last request. Without a health fault the
 * server announces the drain on each response. */
static int64_t drain(const char *options, int server, const char *leave,
		     bool announce)
{
	int load = fleet_load_start(f, options);
	struct json_object *sum;
	int64_t begin, left;

	g_usleep(1000000);
	begin = fleet_now_ms();
	if (leave)
		fleet_change_instances(f, leave);
	if (announce)
		fleet_set_server_faults(f, 0, server, "{\"draining\":true}");
	sum = fleet_load_wait(f, load);
	printf("drain of server %d: sent %d answered %d refused %s failed %s\n",
	       server, (int)fleet_summary_number(sum, "sent"),
	       (int)fleet_summary_number(sum, "answered"),
	       json_object_get_string(json_object_object_get(sum, "refused")),
	       json_object_get_string(json_object_object_get(sum, "failed")));
	assert_int_equal(fleet_count_violations(sum), 0);
	assert_int_equal(fleet_summary_number(sum, "answered"),
			 fleet_summary_number(sum, "sent"));
	json_object_put(sum);
	left = fleet_server_number(f, 0, server, "last_start_ms") - begin;
	printf("last request %d ms after the drain began\n", (int)left);
	return left;
}

static void without_the_fleet_work_goes_on(void **state)
{
	char *options = g_strdup_printf("-d 6 -t 127.0.0.1:%d " MIX,
					f->backends[0].first_port);

	assert_true(drain(options, 1, NULL, true) > LIMIT_MS);
	fleet_set_server_faults(f, 0, 1, "{\"draining\":false}");
	g_free(options);
}

static void announced_drain_stops_work(void **state)
{
	assert_true(drain("-d 7 " MIX ACCOUNT, 2, NULL, true) <= LIMIT_MS);
}

static void listed_drain_stops_work(void **state)
{
	assert_true(drain("-d 7 " MIX ACCOUNT, 3,
			  "{\"op\":\"leave\",\"name\":\"visits-3\"}",
			  false) <= LIMIT_MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(without_the_fleet_work_goes_on),
		cmocka_unit_test(announced_drain_stops_work),
		cmocka_unit_test(listed_drain_stops_work),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
