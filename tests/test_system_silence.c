/* Tests whole gateway processes one of which is frozen while its requests run.
 * Guards against a broker that ejects the servers of these requests: they have
 * answered, but the daemon cannot report it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <signal.h>
#include <string.h>

#include "support/gateway_fleet.h"

#define DAEMONS	 4
#define LEADER	 0
#define FOLLOWER 1
#define TRAINING 12
#define CALLERS	 6
#define DELAY_MS 100
/* Between the start of the requests and the freeze. */
#define LEAD_MS 50
/* Long enough for requests to count as hanging, and shorter than the time after
 * which a broker forgets a daemon. */
#define SILENT_MS 1200

static struct gateway_fleet fleet;

static gpointer call_follower(gpointer arg)
{
	(void)arg;
	gf_get(&fleet, FOLLOWER);
	return NULL;
}

static void start(void)
{
	gf_start(&fleet, DAEMONS);
	gf_put_config(&fleet, true, 0, 0, "");
	gf_wait_ready(&fleet);
	for (int i = 0; i < GF_SERVERS; i++)
		fleet.servers[i].delay_ms = DELAY_MS;
	/* Only after some requests the broker knows what is overdue. */
	for (int i = 0; i < TRAINING; i++)
		assert_int_equal(gf_get(&fleet, FOLLOWER).status, 200);
}

/* Sends requests to the follower, and freezes it if @freeze. Returns how many
 * ejections its broker logs. */
static int count_ejections(bool freeze)
{
	GThread *callers[CALLERS];
	int n;

	for (int i = 0; i < CALLERS; i++)
		callers[i] = g_thread_new("caller", call_follower, NULL);
	g_usleep(LEAD_MS * 1000);
	if (freeze)
		kill(fleet.pids[FOLLOWER], SIGSTOP);
	g_usleep(SILENT_MS * 1000);
	n = gf_count_in_log(&fleet, LEADER, "ejected for");
	kill(fleet.pids[FOLLOWER], SIGCONT);
	for (int i = 0; i < CALLERS; i++)
		g_thread_join(callers[i]);
	return n;
}

static void frozen_daemon_causes_no_ejections(void **state)
{
	(void)state;
	start();
	assert_int_equal(count_ejections(true), 0);
	gf_stop(&fleet);
}

/* The broker asks a daemon that says nothing, and hears that it lives. */
static void hanging_servers_are_ejected(void **state)
{
	(void)state;
	start();
	for (int i = 0; i < GF_SERVERS; i++)
		fleet.servers[i].mode = SCRIPTED_HANG;
	assert_true(count_ejections(false) > 0);
	gf_stop(&fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(frozen_daemon_causes_no_ejections),
		cmocka_unit_test(hanging_servers_are_ejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
