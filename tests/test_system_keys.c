/* Guards against a revoked key that is still accepted after several seconds on
 * open connections, whether all, some or no daemons reach the store. Guards
 * also against an isolated daemon, which receives no revocations, that accepts
 * keys indefinitely. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../bench/fleet/fleet.h"

#define DAEMONS 6
/* A revocation must take effect within seconds; 4 s is the limit for changes of
 * the configuration. */
#define REVOKE_LIMIT_MS 4000
#define KEY		"acme-key-0123456789abcdef"
#define OTHER		"bolt-key-0123456789abcdef"

static struct fleet *f;

/* Each failure domain has daemons on both ports of the platform. */
static int setup(void **state)
{
	f = fleet_new(2);
	fleet_add_backend(f, "profiles", 3, 20, "-t 2");
	fleet_write_services(f);
	fleet_write_account(f, "acme", KEY, 1000, 1000);
	fleet_write_account(f, "bolt", OTHER, 1000, 1000);
	assert_int_equal(fleet_apply_config(f), 0);
	fleet_add_daemons(f, DAEMONS, 3, NULL);
	assert_int_equal(fleet_wait_serving(f, "/profiles", KEY, 20000), 0);
	return 0;
}

static int teardown(void **state)
{
	fleet_free(f);
	return 0;
}

/* Returns the start of the last request of acme that got status 200, in ms
 * after @p begin. Counts such requests before @p begin, and all refusals. */
static int64_t last_accepted(int load, int64_t begin, int *before, int *refused)
{
	char *path = fleet_load_log(f, load), *text = NULL, **lines;
	int64_t last = INT64_MIN;

	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	*before = *refused = 0;
	for (char **l = lines; *l && **l; l++) {
		char **v = g_strsplit(*l, "\t", -1);
		int64_t at = atoll(v[3]) - begin;

		if (!strcmp(v[1], "acme") && atoi(v[6]) == 200) {
			last = MAX(last, at);
			*before += at < 0;
		}
		*refused += !strcmp(v[7], "key_unknown");
		g_strfreev(v);
	}
	g_strfreev(lines);
	g_free(text);
	g_free(path);
	return last;
}

static const char load_options[] =
	"-r 200 -d 8 -g /profiles -a acme:" KEY " -a bolt:" OTHER " ";

static void revoke_by_notice(void)
{
	char *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, KEY, -1);
	GString *args = g_string_new("revoke");

	g_string_append_printf(
		args, " sha256:%s --secret-file=%s/secret --peers=", hex,
		f->dir);
	for (int i = 0; i < DAEMONS; i++)
		g_string_append_printf(args, "%s127.0.0.1:%d", i ? "," : "",
				       fleet_peer_port(f, i));
	assert_int_equal(fleet_ctl(f, args->str, NULL), 0);
	g_string_free(args, TRUE);
	g_free(hex);
}

enum revoke_method {
	BY_CONFIG,
	BY_NOTICE,
};

static void revoke_under_load(enum revoke_method method)
{
	int load = fleet_load_start(f, load_options), before, refused;
	struct json_object *sum;
	int64_t begin, last;

	g_usleep(2000000);
	begin = fleet_now_ms();
	if (method == BY_CONFIG) {
		fleet_write_account(f, "acme", NULL, 1000, 1000);
		assert_int_equal(fleet_apply_config(f), 0);
	} else {
		revoke_by_notice();
	}
	sum = fleet_load_wait(f, load);
	last = last_accepted(load, begin, &before, &refused);
	printf("last accepted %d ms after the revocation began; answered %d "
	       "before, refused %d\n",
	       (int)last, before, refused);
	assert_int_equal(fleet_count_violations(sum), 0);
	assert_true(before > 100 && refused > 100);
	assert_true(last <= REVOKE_LIMIT_MS);
	/* The key of the other account was accepted throughout. */
	assert_int_equal(fleet_summary_number(sum, "accounts.bolt.answered"),
			 fleet_summary_number(sum, "accounts.bolt.sent"));
	json_object_put(sum);
}

/* Restores the key on all daemons regardless of the state left by earlier
 * tests. */
static int restore_key(void **state)
{
	int64_t end = fleet_now_ms() + 10000;

	fleet_set_platform_faults(f, "{\"down\":\"no\"}");
	fleet_write_account(f, "acme", KEY, 1000, 1000);
	assert_int_equal(fleet_apply_config(f), 0);
	for (int i = 0; i < DAEMONS; i++)
		while (fleet_request(f, i, "GET", "/profiles", KEY) != 200) {
			assert_true(fleet_now_ms() < end);
			g_usleep(50000);
		}
	return 0;
}

static void revocation_with_store_reachable_by_all(void **state)
{
	revoke_under_load(BY_CONFIG);
}

static void revocation_with_store_reachable_by_some(void **state)
{
	char *cut = g_strdup_printf("{\"down\":\"refuse\",\"port\":%d}",
				    f->base + 2);

	fleet_set_platform_faults(f, cut);
	revoke_under_load(BY_CONFIG);
	fleet_set_platform_faults(f, "{\"down\":\"no\"}");
	g_free(cut);
}

static void revocation_during_store_outage(void **state)
{
	fleet_set_platform_faults(f, "{\"down\":\"503\"}");
	g_usleep(8000000);
	/* The outage alone leaves the key in force. */
	for (int i = 0; i < DAEMONS; i++)
		assert_int_equal(fleet_request(f, i, "GET", "/profiles", KEY),
				 200);
	revoke_under_load(BY_NOTICE);
	fleet_set_platform_faults(f, "{\"down\":\"no\"}");
}

static void isolated_daemon_refuses_keys(void **state)
{
	/* key_isolation_ms, and time for the requests that check the key. */
	int64_t begin, limit = 5000 + 2500;

	fleet_set_platform_faults(f, "{\"down\":\"refuse\"}");
	for (int i = 1; i < DAEMONS; i++)
		fleet_signal_daemon(f, i, SIGSTOP);
	begin = fleet_now_ms();
	while (fleet_request(f, 0, "GET", "/profiles", OTHER) != 503) {
		assert_true(fleet_now_ms() - begin < limit);
		g_usleep(50000);
	}
	printf("keys refused %d ms after the daemon was cut off\n",
	       (int)(fleet_now_ms() - begin));
	assert_true(fleet_metric(f, 0, "refused_keys_stale") > 0);
	for (int i = 1; i < DAEMONS; i++)
		fleet_signal_daemon(f, i, SIGCONT);
	fleet_set_platform_faults(f, "{\"down\":\"no\"}");
	begin = fleet_now_ms();
	while (fleet_request(f, 0, "GET", "/profiles", OTHER) != 200) {
		assert_true(fleet_now_ms() - begin < 20000);
		g_usleep(50000);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(revocation_with_store_reachable_by_all,
				       restore_key),
		cmocka_unit_test_setup(revocation_with_store_reachable_by_some,
				       restore_key),
		cmocka_unit_test_setup(isolated_daemon_refuses_keys,
				       restore_key),
		cmocka_unit_test_setup(revocation_during_store_outage,
				       restore_key),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
