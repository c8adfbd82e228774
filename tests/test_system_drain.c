/* Guards against a draining server that still receives new requests 4 s after
 * it announced the drain in its responses or the platform's list showed it as
 * leaving, and against requests that are lost meanwhile. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>

#include "../bench/fleet/fleet.h"

#define DRAIN_LIMIT_MS 4000
#define LOAD_MIX       "-r 150 -g /visits -p /visits -P 0.3 "
#define ACCOUNT	       "-a acme:acme-key-0123456789abcdef "

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

/* Runs a load, starts the drain of a server after one second, and returns the
 * time in ms from then until the server started its last request. With
 * @p announce the server announces the drain in each response; @p leave is a
 * change of the platform's list, or NULL. */
static int64_t run_drain(const char *options, int server, const char *leave,
			 bool announce)
{
	int load = fleet_load_start(f, options);
	struct json_object *sum;
	int64_t begin, last_start_ms;

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
	last_start_ms =
		fleet_server_number(f, 0, server, "last_start_ms") - begin;
	printf("last request %d ms after the drain began\n",
	       (int)last_start_ms);
	return last_start_ms;
}

static void direct_clients_keep_using_draining_server(void **state)
{
	char *options = g_strdup_printf("-d 6 -t 127.0.0.1:%d " LOAD_MIX,
					f->backends[0].first_port);

	assert_true(run_drain(options, 1, NULL, true) > DRAIN_LIMIT_MS);
	fleet_set_server_faults(f, 0, 1, "{\"draining\":false}");
	g_free(options);
}

static void announced_drain_stops_new_requests(void **state)
{
	assert_true(run_drain("-d 7 " LOAD_MIX ACCOUNT, 2, NULL, true) <=
		    DRAIN_LIMIT_MS);
}

static void listed_drain_stops_new_requests(void **state)
{
	assert_true(run_drain("-d 7 " LOAD_MIX ACCOUNT, 3,
			      "{\"op\":\"leave\",\"name\":\"visits-3\"}",
			      false) <= DRAIN_LIMIT_MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(direct_clients_keep_using_draining_server),
		cmocka_unit_test(announced_drain_stops_new_requests),
		cmocka_unit_test(listed_drain_stops_new_requests),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
