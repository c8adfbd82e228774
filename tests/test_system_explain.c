/* Guards against an explanation that sends the request, that hides that no gateway
 * answered, or that crashes a gateway with a malformed query. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "../bench/fleet/ports.h"
#include "support/gateway_fleet.h"

static struct gateway_fleet fleet;
static uint16_t metrics_port;

/* Runs celerygladectl explain and returns its exit code. The caller frees
 * @p out. */
static int run(const char *arguments, char **out)
{
	const char *build = getenv("BUILD_DIR");
	char *command =
		g_strdup_printf("%s/celerygladectl explain %s",
				build ? build : "build/plain", arguments);
	char *errors = NULL;
	int status = 0;

	assert_true(g_spawn_command_line_sync(command, out, &errors, &status,
					      NULL));
	g_free(errors);
	g_free(command);
	return WEXITSTATUS(status);
}

static int total_runs(void)
{
	int n = 0;

	for (int i = 0; i < GF_SERVERS; i++)
		n += scripted_total_runs(&fleet.servers[i]);
	return n;
}

static int setup(void **state)
{
	static char settings[48];

	(void)state;
	metrics_port = claim_test_ports(1);
	gf_start(&fleet, 1);
	g_snprintf(settings, sizeof(settings), "\"metrics_port\": %u,",
		   metrics_port);
	fleet.settings = settings;
	gf_write_settings(&fleet, 0);
	kill(fleet.pids[0], SIGKILL);
	waitpid(fleet.pids[0], NULL, 0);
	gf_start_daemon(&fleet, 0);
	gf_put_config(&fleet, true, 0, 0, "");
	gf_wait_ready(&fleet);
	return 0;
}

static int teardown(void **state)
{
	(void)state;
	gf_stop(&fleet);
	return 0;
}

static void explanation_sends_nothing(void **state)
{
	char *arguments = g_strdup_printf(
		"/safe/x --gateway 127.0.0.1:%u --host h.example --account acc "
		"--method GET --size 100 --json",
		metrics_port);
	struct json_object *o, *targets;
	int before;
	char *out;

	(void)state;
	/* Its broker has the list of servers after the first request. */
	assert_int_equal(gf_get(&fleet, 0).status, 200);
	before = total_runs();
	assert_int_equal(run(arguments, &out), 0);
	o = json_tokener_parse(out);
	assert_non_null(o);
	assert_true(json_object_object_get_ex(o, "targets", &targets));
	assert_int_equal(json_object_array_length(targets), 1);
	assert_non_null(strstr(out, "\"chosen\":true"));
	assert_int_equal(total_runs(), before);
	json_object_put(o);
	g_free(out);
	g_free(arguments);
}

static void faults_are_reported(void **state)
{
	static const struct {
		const char *format;
		int exit_code;
	} cases[] = {
		{ "/none/x --gateway 127.0.0.1:%u --host h.example", 1 },
		{ "/safe/x --gateway 127.0.0.1:%u --host other", 1 },
		{ "/safe/x --gateway 127.0.0.1:%u --host h.example "
		  "--account nobody",
		  1 },
		{ "/safe/x --gateway 127.0.0.1:%u", 1 },
		{ "/safe/x --host h.example", 1 },
		{ "/safe/x --gateway 127.0.0.1:1 --host h.example", 6 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *arguments = g_string_new(cases[i].format);
		char port[8], *out;

		g_snprintf(port, sizeof(port), "%u", metrics_port);
		g_string_replace(arguments, "%u", port, 0);
		assert_int_equal(run(arguments->str, &out), cases[i].exit_code);
		g_free(out);
		g_string_free(arguments, TRUE);
	}
	assert_int_equal(gf_get(&fleet, 0).status, 200);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(explanation_sends_nothing),
		cmocka_unit_test(faults_are_reported),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
