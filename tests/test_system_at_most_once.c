/* Guards against a POST that runs twice, a refusal "not run" of a request that
 * ran, and a caller that receives a truncated response or the response of
 * another caller. Servers, daemons and the store fail at each step of a request
 * while a load runs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <signal.h>
#include <stdio.h>

#include "../bench/fleet/fleet.h"

#define LOAD_MIX                                                               \
	"-g /slots -p /deposits -P 0.6 -K 0.4 -R 2 -m 4000 "                   \
	"-a acme:acme-key-0123456789abcdef:3 "                                 \
	"-a bolt:bolt-key-0123456789abcdef:1 "

static struct fleet *f;
static int slots, deposits;

static int setup(void **state)
{
	f = fleet_new(1);
	slots = fleet_add_backend(f, "slots", 3, 8, "-t 4 -d exponential");
	deposits =
		fleet_add_backend(f, "deposits", 3, 8, "-t 8 -d exponential");
	return 0;
}

static int start_fleet(void **state)
{
	setup(state);
	fleet_write_services(f);
	fleet_write_account(f, "acme", "acme-key-0123456789abcdef", 1000, 1000);
	fleet_write_account(f, "bolt", "bolt-key-0123456789abcdef", 1000, 1000);
	assert_int_equal(fleet_apply_config(f), 0);
	fleet_add_daemons(f, 3, 3, NULL);
	assert_int_equal(fleet_wait_serving(f, "/slots",
					    "acme-key-0123456789abcdef", 20000),
			 0);
	return 0;
}

static int teardown(void **state)
{
	fleet_free(f);
	return 0;
}

/* Injects a fault into the first server of both services. */
static void set_fault(const char *json)
{
	fleet_set_server_faults(f, slots, 1, json);
	fleet_set_server_faults(f, deposits, 1, json);
}

static void load_without_daemons_detects_every_fault(void **state)
{
	static const struct {
		const char *fault, *counter;
	} rows[] = {
		{ "lose_response", "check.repeated_executions" },
		{ "crossed", "check.foreign_responses" },
		{ "truncate", "check.truncated_responses" },
		{ "truncate_chunked", "check.truncated_responses" },
	};
	char *options = g_strdup_printf(
		"-r 200 -d 1 -t 127.0.0.1:%d -t 127.0.0.1:%d " LOAD_MIX,
		f->backends[deposits].first_port,
		f->backends[deposits].first_port + 1);

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *json = g_strdup_printf("{\"fault\":\"%s\",\"share\":0.3}",
					     rows[i].fault);
		struct json_object *summary;

		set_fault(json);
		summary = fleet_run_load(f, options);
		assert_true(fleet_summary_number(summary, "answered") > 0);
		assert_true(fleet_summary_number(summary, rows[i].counter) > 0);
		json_object_put(summary);
		g_free(json);
	}
	set_fault("{\"fault\":\"none\"}");
	g_free(options);
}

/* Checks the result of a load: no violation, and at least @p percent of the
 * requests were answered. */
static void check_load(const char *step, struct json_object *summary,
		       int percent)
{
	int64_t sent = fleet_summary_number(summary, "sent");
	int64_t answered = fleet_summary_number(summary, "answered");

	printf("%-28s sent %d answered %d executions %d unknown %d\n", step,
	       (int)sent, (int)answered,
	       (int)fleet_summary_number(summary, "check.executions"),
	       (int)fleet_summary_number(summary,
					 "check.executed_outcome_unknown"));
	if (fleet_count_violations(summary) ||
	    answered * 100 < sent * percent) {
		fprintf(stderr, "%s\n", json_object_to_json_string(summary));
		fleet_print_logs(f);
		fail_msg("%s", step);
	}
	json_object_put(summary);
}

static void server_faults_cause_no_violation(void **state)
{
	static const char *const faults[] = {
		"{\"fault\":\"close_before_read\",\"share\":0.3}",
		"{\"fault\":\"close_after_read\",\"share\":0.3}",
		"{\"fault\":\"lose_response\",\"share\":0.3}",
		"{\"fault\":\"late\",\"share\":0.3,\"late_ms\":3000}",
		"{\"fault\":\"crossed\",\"share\":0.3}",
		"{\"fault\":\"truncate\",\"share\":0.3}",
		"{\"fault\":\"truncate_chunked\",\"share\":0.3}",
		"{\"fault\":\"fail\",\"share\":0.3}",
		"{\"fault\":\"freeze\",\"share\":0.3}",
		"{\"fault\":\"none\",\"refuse\":true}",
	};

	check_load("healthy", fleet_run_load(f, "-r 150 -d 1 " LOAD_MIX), 99);
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		set_fault(faults[i]);
		/* One of three servers fails 30 % of its requests, or all. */
		check_load(faults[i],
			   fleet_run_load(f, "-r 150 -d 1.5 " LOAD_MIX), 85);
	}
	set_fault("{\"fault\":\"none\",\"refuse\":false}");
}

/* Every existing connection of the daemons stops responding; new ones work. */
static void silent_connections_cause_no_violation(void **state)
{
	int load = fleet_load_start(f, "-r 150 -d 3 " LOAD_MIX);

	g_usleep(1000000);
	fleet_set_server_faults(f, slots, 0, "{\"fault\":\"silent_old\"}");
	fleet_set_server_faults(f, deposits, 0, "{\"fault\":\"silent_old\"}");
	check_load("old connections silent", fleet_load_wait(f, load), 85);
	assert_true(fleet_metric_sum(f, "server_connections_condemned") > 0);
	set_fault("{\"fault\":\"none\"}");
}

static void store_faults_cause_no_violation(void **state)
{
	fleet_set_platform_faults(f, "{\"lose_writes\":30}");
	check_load("store loses answers",
		   fleet_run_load(f, "-r 100 -d 2 " LOAD_MIX), 60);
	fleet_set_platform_faults(f, "{\"lose_writes\":0,\"down\":\"refuse\"}");
	/* POSTs with an idempotency key are refused as not run; other requests
	 * succeed. */
	check_load("store refuses", fleet_run_load(f, "-r 100 -d 2 " LOAD_MIX),
		   50);
	fleet_set_platform_faults(f, "{\"down\":\"503\"}");
	check_load("store answers 503",
		   fleet_run_load(f, "-r 100 -d 2 " LOAD_MIX), 50);
	fleet_set_platform_faults(f, "{\"down\":\"no\"}");
}

static void frozen_and_killed_daemons_cause_no_violation(void **state)
{
	int load = fleet_load_start(f, "-r 150 -d 6 " LOAD_MIX);

	g_usleep(1000000);
	fleet_signal_daemon(f, 1, SIGSTOP);
	/* Longer than every deadline, so that the daemon resumes with expired
	 * requests. */
	g_usleep(3500000);
	fleet_signal_daemon(f, 1, SIGCONT);
	g_usleep(500000);
	fleet_signal_daemon(f, 2, SIGKILL);
	check_load("daemon frozen, another killed", fleet_load_wait(f, load),
		   60);
	fleet_restart_daemon(f, 2);
	assert_int_equal(fleet_wait_ready(f, -1, 20000), 0);
}

static void killed_server_causes_no_violation(void **state)
{
	int load = fleet_load_start(f, "-r 150 -d 3 " LOAD_MIX);

	g_usleep(1000000);
	kill(f->backends[deposits].pid, SIGKILL);
	check_load("deposits killed", fleet_load_wait(f, load), 30);
}

int main(void)
{
	const struct CMUnitTest alone[] = {
		cmocka_unit_test(load_without_daemons_detects_every_fault),
	};
	const struct CMUnitTest with_daemons[] = {
		cmocka_unit_test(server_faults_cause_no_violation),
		cmocka_unit_test(silent_connections_cause_no_violation),
		cmocka_unit_test(store_faults_cause_no_violation),
		cmocka_unit_test(frozen_and_killed_daemons_cause_no_violation),
		cmocka_unit_test(killed_server_causes_no_violation),
	};
	int rc = cmocka_run_group_tests(alone, setup, teardown);

	return rc + cmocka_run_group_tests(with_daemons, start_fleet, teardown);
}
