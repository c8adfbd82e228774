/*
 * Whole gateway processes with a bulk route, which puts placement by expected
 * finish into force. Guards against a broker that dies with what it has learnt
 * of the work of requests, so that its successor places them blindly, and
 * against estimates that are handed to strangers.
 */
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

/* The daemons that lead next copy at an interval of 10 s. */
#define COPY_MS 16000

static const char bulk_route[] =
	",{\"name\":\"bulk\",\"kind\":\"download\",\"slo_ms\":1000,"
	"\"priority\":1,\"public\":false,\"match\":{\"path_prefix\":\"/bulk/\"},"
	"\"action\":{\"service\":\"svc\",\"timeout_ms\":2000,\"attempts\":2}}";

static cg_ms now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static void estimates_survive_the_death_of_the_broker(void **state)
{
	struct gateway_fleet f;
	cg_ms started_at;

	(void)state;
	gf_start(&f, 4);
	gf_put_config(&f, true, 0, 0, bulk_route);
	gf_wait_ready(&f);
	started_at = now_ms();
	while (!gf_count_in_log(&f, 1, "read estimates of work")) {
		assert_true(now_ms() - started_at < COPY_MS);
		assert_int_equal(gf_get(&f, 1).status, 200);
		g_usleep(50000);
	}
	assert_true(gf_count_in_log(&f, 0, "placement is expected_finish") > 0);
	kill(f.pids[0], SIGKILL);
	waitpid(f.pids[0], NULL, 0);
	f.pids[0] = 0;
	for (unsigned int i = 0; i < 20; i++)
		assert_int_equal(gf_get(&f, 1).status, 200);
	gf_stop(&f);
}

static void placement_follows_the_configuration(void **state)
{
	struct gateway_fleet f;
	cg_ms since;

	(void)state;
	gf_start(&f, 2);
	gf_put_config(&f, true, 0, 0, "");
	gf_wait_ready(&f);
	assert_int_equal(gf_get(&f, 0).status, 200);
	assert_int_equal(gf_count_in_log(&f, 0, "placement is"), 0);
	gf_put_config(&f, true, 0, 0, bulk_route);
	since = now_ms();
	while (!gf_count_in_log(&f, 0, "placement is expected_finish"))
		assert_true(now_ms() - since < 8000);
	assert_int_equal(gf_get(&f, 0).status, 200);
	gf_put_config(&f, true, 0, 0, "");
	since = now_ms();
	while (!gf_count_in_log(&f, 0, "placement is least_loaded"))
		assert_true(now_ms() - since < 8000);
	assert_int_equal(gf_get(&f, 0).status, 200);
	gf_stop(&f);
}

static void estimates_are_not_handed_to_strangers(void **state)
{
	struct gateway_fleet f;
	char *text;
	int fd;

	(void)state;
	gf_start(&f, 2);
	gf_put_config(&f, true, 0, 0, bulk_route);
	gf_wait_ready(&f);
	assert_int_equal(gf_get(&f, 0).status, 200);
	fd = gf_send_raw_peer(&f, 0, "GET /work HTTP/1.1\r\nHost: x\r\n\r\n");
	text = gf_read_responses(fd, 1, 1000);
	assert_non_null(strstr(text, " 403 "));
	g_free(text);
	close(fd);
	gf_stop(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(estimates_survive_the_death_of_the_broker),
		cmocka_unit_test(placement_follows_the_configuration),
		cmocka_unit_test(estimates_are_not_handed_to_strangers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
