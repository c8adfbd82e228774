/* Guards against heartbeats of a daemon that is cut off from its domain's broker
 * and leads itself. The other domains took its demand for that of its domain, kept
 * the shares of account rates that the domain needed, and admitted more than the
 * rate. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>

#include "../src/gateway/fleet_internal.h"

#define NOW 100000

static void daemon_cut_off_does_not_speak_for_its_domain(void **state)
{
	struct other_broker known = { .name = "a-1",
				      .followers = 38,
				      .heartbeat_at = NOW - 300 };

	(void)state;
	assert_false(cgw_fleet_speaks_for_domain(&known, "a-7", 1, NOW));
	assert_true(cgw_fleet_speaks_for_domain(&known, "a-1", 36, NOW));
	assert_true(cgw_fleet_speaks_for_domain(&known, "a-2", 39, NOW));
}

/* The broker fails. Its successor has one follower less, and must not be ignored
 * until the last heartbeat of the former one is old. */
static void successor_speaks_for_its_domain(void **state)
{
	struct other_broker known = { .name = "a-1",
				      .followers = 38,
				      .heartbeat_at = NOW - 900 };

	(void)state;
	assert_true(cgw_fleet_speaks_for_domain(&known, "a-2", 37, NOW));
	assert_false(cgw_fleet_speaks_for_domain(&known, "a-2", 36, NOW));
	known.followers = 2;
	assert_false(cgw_fleet_speaks_for_domain(&known, "a-2", 1, NOW));
}

static void any_daemon_speaks_for_a_silent_domain(void **state)
{
	struct other_broker known = { .name = "a-1", .followers = 38 };

	(void)state;
	assert_true(cgw_fleet_speaks_for_domain(NULL, "a-7", 1, NOW));
	/* Known from a pong only. */
	assert_true(cgw_fleet_speaks_for_domain(&known, "a-7", 1, NOW));
	known.heartbeat_at = NOW - OTHER_BROKER_TIMEOUT_MS;
	assert_true(cgw_fleet_speaks_for_domain(&known, "a-7", 1, NOW));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(daemon_cut_off_does_not_speak_for_its_domain),
		cmocka_unit_test(successor_speaks_for_its_domain),
		cmocka_unit_test(any_daemon_speaks_for_a_silent_domain),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
