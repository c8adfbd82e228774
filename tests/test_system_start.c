/* Guards against daemons that report ready before they can serve. A load
 * balancer sends requests from then on, and the daemon would refuse them
 * wrongly. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>

#include "../bench/fleet/fleet.h"

#define KEY "acme-key-0123456789abcdef"

static struct fleet *f;

static int setup(void **state)
{
	f = fleet_new(1);
	fleet_add_backend(f, "slots", 3, 20, "-t 4");
	fleet_write_services(f);
	fleet_write_account(f, "acme", KEY, 1000, 1000);
	assert_int_equal(fleet_apply_config(f), 0);
	return 0;
}

static int teardown(void **state)
{
	fleet_free(f);
	return 0;
}

/* Sends a load below the rate limit as soon as all daemons are ready. */
static void check_all_answered(const char *step)
{
	struct json_object *sum;

	assert_int_equal(fleet_wait_ready(f, -1, 20000), 0);
	sum = fleet_run_load(f, "-r 150 -d 1 -g /slots -a acme:" KEY);
	printf("%s: answered %d of %d, refused %s\n", step,
	       (int)fleet_summary_number(sum, "answered"),
	       (int)fleet_summary_number(sum, "sent"),
	       json_object_get_string(json_object_object_get(sum, "refused")));
	assert_int_equal(fleet_count_violations(sum), 0);
	assert_int_equal(fleet_summary_number(sum, "answered"),
			 fleet_summary_number(sum, "sent"));
	json_object_put(sum);
}

static void new_fleet_serves_once_ready(void **state)
{
	fleet_add_daemons(f, 3, 3, NULL);
	check_all_answered("new fleet");
}

static void added_daemon_serves_once_ready(void **state)
{
	fleet_add_daemon(f, "a", 0, NULL);
	check_all_answered("added daemon");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(new_fleet_serves_once_ready),
		cmocka_unit_test(added_daemon_serves_once_ready),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
