/* Runs a fleet in two deployments that differ in services and slots. During the
 * load a daemon is killed and restarted, a server refuses connections and a
 * client key is revoked. Afterwards the servers' executions are compared with
 * the responses. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet.h"

#define DAEMONS 4

struct service {
	const char *name;
	int servers;
};

struct deployment {
	const char *title, *load;
	int slots;
	struct service services[3];
};

static const struct deployment deployments[] = {
	{ "deployment A: slots 10, deposits 15, profiles and visits 15 servers",
	  "-g /slots -g /profiles -p /deposits ",
	  3,
	  { { "slots", 10 }, { "deposits", 15 }, { "profiles", 15 } } },
	{ "deployment B: rounds 5, payments 10, client records 10 servers",
	  "-g /rounds -g /records -p /payments ",
	  6,
	  { { "rounds", 5 }, { "payments", 10 }, { "records", 10 } } },
};

static const struct {
	const char *name, *key;
	double rate, burst;
} accounts[] = {
	{ "large", "large-key-0123456789abcdef", 120, 60 },
	{ "small", "small-key-0123456789abcdef", 60, 60 },
	{ "tiny", "tiny-key-0123456789abcdef", 20, 20 },
	{ "former", "former-key-0123456789abcdef", 60, 60 },
};

static struct fleet *start_fleet(const struct deployment *s)
{
	struct fleet *f = fleet_new(1);

	for (size_t i = 0; i < G_N_ELEMENTS(s->services); i++)
		fleet_add_backend(f, s->services[i].name,
				  s->services[i].servers, s->slots,
				  "-t 10 -d lognormal");
	fleet_write_services(f);
	for (size_t i = 0; i < G_N_ELEMENTS(accounts); i++)
		fleet_write_account(f, accounts[i].name, accounts[i].key,
				    accounts[i].rate, accounts[i].burst);
	if (fleet_apply_config(f)) {
		fprintf(stderr, "cannot publish the configuration\n");
		exit(EXIT_FAILURE);
	}
	fleet_add_daemons(f, DAEMONS, DAEMONS, NULL);
	if (fleet_wait_ready(f, -1, 20000)) {
		fleet_print_logs(f);
		fprintf(stderr, "the daemons did not become ready in 20 s\n");
		exit(EXIT_FAILURE);
	}
	return f;
}

static void print_step(const char *text)
{
	printf("  %s\n", text);
	fflush(stdout);
}

/* Kills a daemon, stops a server, revokes a key and restarts the daemon. */
static void inject_faults(struct fleet *f)
{
	g_usleep(2000000);
	print_step("daemon entry-2 is killed");
	fleet_signal_daemon(f, 1, SIGKILL);
	g_usleep(2000000);
	print_step("the first server of the first service refuses connections");
	fleet_set_server_faults(f, 0, 1, "{\"refuse\":true}");
	g_usleep(2000000);
	print_step("the key of account \"former\" is revoked");
	fleet_write_account(f, "former", NULL, 60, 60);
	if (fleet_apply_config(f))
		exit(EXIT_FAILURE);
	g_usleep(2000000);
	print_step("daemon entry-2 starts again");
	fleet_restart_daemon(f, 1);
}

static void print_counts(const char *title, struct json_object *o)
{
	printf("  %-14s sent %5d  answered %5d  refused %s  failed %s  "
	       "p50 %.1f p99 %.1f ms\n",
	       title, (int)fleet_summary_number(o, "sent"),
	       (int)fleet_summary_number(o, "answered"),
	       json_object_to_json_string_ext(
		       json_object_object_get(o, "refused"), 0),
	       json_object_to_json_string_ext(
		       json_object_object_get(o, "failed"), 0),
	       (double)fleet_summary_number(o, "latency_us.p50") / 1e3,
	       (double)fleet_summary_number(o, "latency_us.p99") / 1e3);
}

static int run_deployment(const struct deployment *s)
{
	GString *options = g_string_new("-r 300 -d 10 -P 0.3 -K 0.5 -R 1 ");
	struct json_object *summary;
	int load, rc;
	struct fleet *f;

	printf("%s, %d slots each, %d daemons in 3 failure domains\n", s->title,
	       s->slots, DAEMONS);
	f = start_fleet(s);
	g_string_append(options, s->load);
	for (size_t i = 0; i < G_N_ELEMENTS(accounts); i++)
		g_string_append_printf(options, "-a %s:%s:%d ",
				       accounts[i].name, accounts[i].key,
				       strcmp(accounts[i].name, "large") ? 1
									 : 4);
	load = fleet_load_start(f, options->str);
	inject_faults(f);
	summary = fleet_load_wait(f, load);
	print_counts("all accounts", summary);
	json_object_object_foreach(json_object_object_get(summary, "accounts"),
				   name, counts)
		print_counts(name, counts);
	printf("  executions by the servers compared with the responses: "
	       "%s\n\n",
	       json_object_to_json_string_ext(
		       json_object_object_get(summary, "check"), 0));
	rc = fleet_count_violations(summary) ? -1 : 0;
	json_object_put(summary);
	g_string_free(options, TRUE);
	fleet_free(f);
	return rc;
}

int main(void)
{
	int rc = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++)
		rc |= run_deployment(&deployments[i]);
	printf("%s\n", rc ? "the check found violations"
			  : "no request ran twice, none was falsely reported "
			    "as not run, every answer was whole");
	return rc ? EXIT_FAILURE : EXIT_SUCCESS;
}
