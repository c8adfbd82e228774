/* Tests whole gateway processes with a store that is away for a moment and returns
 * from an older copy. Guards against daemons that stay unknown to those that start
 * because their entries are lost, daemons that no longer understand each other
 * because the secret is lost, a withdrawn key that a daemon accepts again which
 * starts then, and a server that drains and gets requests again. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "support/gateway_fleet.h"

#define DAEMONS		 4
#define FLEET_KIND	 "celeryglade-fleet"
#define AWAY_MS		 600
#define POLL_MS		 50
#define FOLLOW_MS	 3000
#define WRITTEN_AGAIN_MS 9000
/* A broker that has taken over hears from the others what it must not use. */
#define SETTLE_MS 1500
#define CALM_MS	  4000
/* The daemons refuse requests with keys when they have not reached the store for
 * so long. */
#define KEY_PROOF_MS 3500

static void sleep_ms(unsigned int ms)
{
	g_usleep((gulong)ms * 1000);
}

static gint64 now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static void start(struct gateway_fleet *f)
{
	gf_start(f, DAEMONS);
	gf_put_config(f, true, 0, 0, "");
	gf_wait_ready(f);
}

static void put_server_0(struct gateway_fleet *f, const char *state, int seq)
{
	char *spec = g_strdup_printf(
		"{\"service\":\"svc\",\"addr\":\"127.0.0.1:%u\",\"zone\":\"a\","
		"\"version\":\"v1\",\"max_concurrency\":3,\"state\":\"%s\","
		"\"warmup_left_ms\":0,\"seq\":%d,\"born\":1000}",
		f->servers[0].port, state, seq);

	objects_put(f->store, "servers", "s0", spec);
	g_free(spec);
}

static void return_from_copy(struct gateway_fleet *f)
{
	objects_set_fault(f->store, OBJECTS_FAULT_503);
	sleep_ms(AWAY_MS);
	objects_restore_copy(f->store);
	objects_set_fault(f->store, OBJECTS_FAULT_NONE);
}

/* Saves a copy that lacks the entries of the fleet with these names. */
static void save_copy_without(struct gateway_fleet *f, const char *const *names,
			      size_t n)
{
	char *specs[DAEMONS + 1];

	for (size_t i = 0; i < n; i++) {
		specs[i] = objects_get(f->store, FLEET_KIND, names[i]);
		assert_non_null(specs[i]);
		objects_remove(f->store, FLEET_KIND, names[i]);
	}
	objects_save_copy(f->store);
	for (size_t i = 0; i < n; i++) {
		objects_put(f->store, FLEET_KIND, names[i], specs[i]);
		g_free(specs[i]);
	}
}

static void stop_daemon(struct gateway_fleet *f, unsigned int i)
{
	kill(f->pids[i], SIGKILL);
	waitpid(f->pids[i], NULL, 0);
}

static void lost_entries_and_secret_are_written_again(void **state)
{
	static const char *const lost[] = { "d0", "d1", "d2", "d3", "secret" };
	struct gateway_fleet f;
	char *secret, *again;
	uint64_t calls;
	gint64 end;

	(void)state;
	start(&f);
	sleep_ms(FOLLOW_MS);
	secret = objects_get(f.store, FLEET_KIND, "secret");
	save_copy_without(&f, lost, G_N_ELEMENTS(lost));
	return_from_copy(&f);
	end = now_ms() + WRITTEN_AGAIN_MS;
	while (objects_count(f.store, FLEET_KIND) < G_N_ELEMENTS(lost) &&
	       now_ms() < end)
		sleep_ms(POLL_MS);
	for (size_t i = 0; i < G_N_ELEMENTS(lost); i++) {
		char *text = objects_get(f.store, FLEET_KIND, lost[i]);

		if (!text)
			print_error("%s is missing\n", lost[i]);
		assert_non_null(text);
		g_free(text);
	}
	again = objects_get(f.store, FLEET_KIND, "secret");
	assert_string_equal(again, secret);
	g_free(secret);
	g_free(again);
	/* Nothing is read again and again: two leaders make five calls a
	 * second each, as before. */
	sleep_ms(WRITTEN_AGAIN_MS);
	calls = objects_call_count(f.store);
	sleep_ms(FOLLOW_MS);
	assert_in_range(objects_call_count(f.store) - calls, 1,
			2 * 6 * FOLLOW_MS / 1000);
	for (unsigned int i = 0; i < DAEMONS; i++)
		assert_int_equal(gf_get(&f, i).status, 200);
	gf_stop(&f);
}

static void wait_for_status(struct gateway_fleet *f, unsigned int daemon,
			    int status)
{
	gint64 end = now_ms() + FOLLOW_MS;

	while (gf_get(f, daemon).status != status && now_ms() < end)
		sleep_ms(POLL_MS);
	assert_int_equal(gf_get(f, daemon).status, status);
}

/* All daemons of a domain restart between the return of the store and the
 * operator's writing the configuration again: the other domain knows better than
 * the store. */
static void withdrawn_key_stays_withdrawn_after_a_restart(void **state)
{
	struct gateway_fleet f;
	gint64 end;

	(void)state;
	start(&f);
	objects_save_copy(f.store);
	gf_put_config(&f, false, 0, 0, "");
	for (unsigned int i = 0; i < DAEMONS; i++)
		wait_for_status(&f, i, 401);
	stop_daemon(&f, 0);
	stop_daemon(&f, 1);
	return_from_copy(&f);
	gf_start_daemon(&f, 0);
	gf_start_daemon(&f, 1);
	end = now_ms() + CALM_MS;
	while (now_ms() < end)
		for (unsigned int i = 0; i < DAEMONS; i++)
			assert_int_not_equal(gf_get(&f, i).status, 200);
	/* They have the newer configuration, and know no more proof of it than
	 * the store gives when the operator writes it again. */
	f.version -= 3;
	gf_put_config(&f, false, 0, 0, "");
	for (unsigned int i = 0; i < DAEMONS; i++)
		wait_for_status(&f, i, 401);
	gf_stop(&f);
}

/* The daemons of a domain are cut off from the store while a key is withdrawn. When
 * they reach it again, it has returned from a copy that shows the version which
 * they have: they would take that for the latest. */
static void withdrawn_key_stays_withdrawn_after_a_partition(void **state)
{
	struct gateway_fleet f;
	gint64 end;

	(void)state;
	start(&f);
	for (unsigned int i = DAEMONS / 2; i < DAEMONS; i++) {
		f.store_port[i] = objects_second_port(f.store);
		assert_int_not_equal(f.store_port[i], 0);
		stop_daemon(&f, i);
		gf_write_settings(&f, i);
		gf_start_daemon(&f, i);
	}
	gf_wait_ready(&f);
	objects_save_copy(f.store);
	objects_cut_second_port(f.store, true);
	sleep_ms(KEY_PROOF_MS);
	gf_put_config(&f, false, 0, 0, "");
	wait_for_status(&f, 0, 401);
	return_from_copy(&f);
	objects_cut_second_port(f.store, false);
	end = now_ms() + CALM_MS;
	while (now_ms() < end)
		for (unsigned int i = 0; i < DAEMONS; i++)
			assert_int_not_equal(gf_get(&f, i).status, 200);
	f.version -= 3;
	gf_put_config(&f, false, 0, 0, "");
	for (unsigned int i = 0; i < DAEMONS; i++)
		wait_for_status(&f, i, 401);
	gf_stop(&f);
}

/* The server reports that it drains after the copy was made. Its broker lives on,
 * or is killed while the store is away. */
static void draining_server_is_not_used_until_it_writes_anew(void **state)
{
	(void)state;
	for (int killed = 0; killed < 2; killed++) {
		struct gateway_fleet f;
		int before;
		gint64 end;

		gf_start(&f, DAEMONS);
		put_server_0(&f, "ready", 5);
		gf_put_config(&f, true, 0, 0, "");
		gf_wait_ready(&f);
		objects_save_copy(f.store);
		put_server_0(&f, "draining", 8);
		sleep_ms(FOLLOW_MS);
		if (killed)
			stop_daemon(&f, 0);
		return_from_copy(&f);
		sleep_ms(killed ? SETTLE_MS : 0);
		before = f.servers[0].requests;
		end = now_ms() + CALM_MS;
		while (now_ms() < end)
			assert_int_equal(gf_get(&f, 1).status, 200);
		assert_int_equal(f.servers[0].requests, before);
		put_server_0(&f, "ready", 9);
		end = now_ms() + CALM_MS;
		while (f.servers[0].requests == before && now_ms() < end)
			gf_get(&f, 1);
		assert_true(f.servers[0].requests > before);
		if (killed)
			f.pids[0] = 0;
		gf_stop(&f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(lost_entries_and_secret_are_written_again),
		cmocka_unit_test(withdrawn_key_stays_withdrawn_after_a_restart),
		cmocka_unit_test(
			withdrawn_key_stays_withdrawn_after_a_partition),
		cmocka_unit_test(
			draining_server_is_not_used_until_it_writes_anew),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
