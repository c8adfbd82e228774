/* Guards P1, P2 and P7: a POST that runs twice, a refusal "not run" of a
 * request that ran, and a caller that gets a part of a response or another
 * caller's, while servers, daemons and the store fail at each step. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <signal.h>
#include <stdio.h>

#include "../bench/fleet/fleet.h"

#define MIX                                                                    \
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

/* Sets a fault of the first server of both services. */
static void set_fault(const char *json)
{
	fleet_set_server_faults(f, slots, 1, json);
	fleet_set_server_faults(f, deposits, 1, json);
}

static void caller_alone_meets_every_fault(void **state)
{
	static const struct {
		const char *fault, *effect;
	} rows[] = {
		{ "lose_response", "check.repeated_executions" },
		{ "crossed", "check.foreign_responses" },
		{ "truncate", "check.truncated_responses" },
		{ "truncate_chunked", "check.truncated_responses" },
	};
	char *options = g_strdup_printf(
		"-r 200 -d 1 -t 127.0.0.1:%d -t 127.0.0.1:%d " MIX,
		f->backends[deposits].first_port,
		f->backends[deposits].first_port + 1);

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *json = g_strdup_printf("{\"fault\":\"%s\",\"share\":0.3}",
					     rows[i].fault);
		struct json_object *sum;

		set_fault(json);
		sum = fleet_run_load(f, options);
		assert_true(fleet_summary_number(sum, "answered") > 0);
		assert_true(fleet_summary_number(sum, rows[i].effect) > 0);
		json_object_put(sum);
		g_free(json);
	}
	set_fault("{\"fault\":\"none\"}");
	g_free(options);
}

/* Checks a load's result; at least that share must have been answered. */
static void check(const char *step, struct json_object *sum, int percent)
{
	int64_t sent = fleet_summary_number(sum, "sent");
	int64_t answered = fleet_summary_number(sum, "answered");

	printf("%-28s sent %d answered %d executions %d unknown %d\n", step,
	       (int)sent, (int)answered,
	       (int)fleet_summary_number(sum, "check.executions"),
	       (int)fleet_summary_number(sum,
					 "check.executed_outcome_unknown"));
	if (fleet_count_violations(sum) || answered * 100 < sent * percent) {
		fprintf(stderr, "%s\n", json_object_to_json_string(sum));
		fleet_print_logs(f);
		fail_msg("%s", step);
	}
	json_object_put(sum);
}

static void servers_fail_at_each_step(void **state)
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

	check("healthy", fleet_run_load(f, "-r 150 -d 1 " MIX), 99);
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		set_fault(faults[i]);
		/* One of three servers fails a part of its requests. */
		check(faults[i], fleet_run_load(f, "-r 150 -d 1.5 " MIX), 85);
	}
	set_fault("{\"fault\":\"none\",\"refuse\":false}");
}

/* Every connection that the daemons hold turns silent, new ones work. */
static void connections_turn_silent(void **state)
{
	int load = fleet_load_start(f, "-r 150 -d 3 " MIX);

	g_usleep(1000000);
	fleet_set_server_faults(f, slots, 0, "{\"fault\":\"silent_old\"}");
	fleet_set_server_faults(f, deposits, 0, "{\"fault\":\"silent_old\"}");
	check("old connections silent", fleet_load_wait(f, load), 85);
	assert_true(fleet_metric_sum(f, "server_connections_condemned") > 0);
	set_fault("{\"fault\":\"none\"}");
}

static void store_fails(void **state)
{
	fleet_set_platform_faults(f, "{\"lose_writes\":30}");
	check("store loses answers", fleet_run_load(f, "-r 100 -d 2 " MIX), 60);
	fleet_set_platform_faults(f, "{\"lose_writes\":0,\"down\":\"refuse\"}");
	/* Keyed POSTs are refused as not run, the others go on. */
	check("store refuses", fleet_run_load(f, "-r 100 -d 2 " MIX), 50);
	fleet_set_platform_faults(f, "{\"down\":\"503\"}");
	check("store answers 503", fleet_run_load(f, "-r 100 -d 2 " MIX), 50);
	fleet_set_platform_faults(f, "{\"down\":\"no\"}");
}

static void daemon_freezes_and_is_killed(void **state)
{
	int load = fleet_load_start(f, "-r 150 -d 6 " MIX);

	g_usleep(1000000);
	fleet_signal_daemon(f, 1, SIGSTOP);
	/* Longer than every deadline, so that it wakes with expired ones. */
	g_usleep(3500000);
	fleet_signal_daemon(f, 1, SIGCONT);
	g_usleep(500000);
	fleet_signal_daemon(f, 2, SIGKILL);
	check("daemon frozen, another killed", fleet_load_wait(f, load), 60);
	fleet_restart_daemon(f, 2);
	assert_int_equal(fleet_wait_ready(f, -1, 20000), 0);
}

static void server_process_is_killed(void **state)
{
	int load = fleet_load_start(f, "-r 150 -d 3 " MIX);

	g_usleep(1000000);
	kill(f->backends[deposits].pid, SIGKILL);
	check("deposits killed", fleet_load_wait(f, load), 30);
}

int main(void)
{
	const struct CMUnitTest alone[] = {
		cmocka_unit_test(caller_alone_meets_every_fault),
	};
	const struct CMUnitTest with_daemons[] = {
		cmocka_unit_test(servers_fail_at_each_step),
		cmocka_unit_test(connections_turn_silent),
		cmocka_unit_test(store_fails),
		cmocka_unit_test(daemon_freezes_and_is_killed),
		cmocka_unit_test(server_process_is_killed),
	};
	int rc = cmocka_run_group_tests(alone, setup, teardown);

	return rc + cmocka_run_group_tests(with_daemons, start_fleet, teardown);
}
