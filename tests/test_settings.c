/* Guards against a daemon that starts with settings other than the operator
 * intended: a misspelt name is ignored, a number is out of range, two sockets
 * use the same address, or the fleet secret is short enough to be guessed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <string.h>

#include "internal/settings.h"
#include "support/objects.h"

#define REQUIRED                                                               \
	"\"instance\": \"entry-1\", \"failure_domain\": \"a\","                \
	"\"region\": \"r1\", \"listen\": \"0.0.0.0:20001\","                   \
	"\"admin\": \"127.0.0.1:20002\", \"peer\": \"127.0.0.1:20003\","       \
	"\"store\": \"http://127.0.0.1:20004\","                               \
	"\"fleet_secret_file\": \"secret\""

struct fixture {
	char *dir;
	struct cg_settings s;
	struct cg_faults f;
};

static int setup(void **state)
{
	struct fixture *x = g_new0(struct fixture, 1);

	x->dir = g_dir_make_tmp("cg-settings-XXXXXX", NULL);
	write_file(x->dir, "secret", "0123456789abcdef\n");
	*state = x;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *x = *state;

	cg_settings_clear(&x->s);
	cg_faults_clear(&x->f);
	remove_folder(x->dir);
	g_free(x->dir);
	g_free(x);
	return 0;
}

static int load(struct fixture *x, const char *text)
{
	char *path = g_build_filename(x->dir, "settings.json", NULL);
	int rc;

	write_file(x->dir, "settings.json", text);
	rc = cg_settings_load(path, &x->s, &x->f);
	g_free(path);
	return rc;
}

static void minimal_file_gets_the_defaults(void **state)
{
	struct fixture *x = *state;

	assert_int_equal(load(x, "{ // comment\n" REQUIRED "}"), 0);
	assert_no_faults(&x->f);
	assert_string_equal(x->s.instance, "entry-1");
	assert_string_equal(x->s.region, "r1");
	assert_int_equal(ntohs(x->s.peer.sin_port), 20003);
	assert_string_equal(x->s.store_url, "http://127.0.0.1:20004");
	assert_int_equal(g_bytes_get_size(x->s.fleet_secret), 16);
	assert_int_equal(x->s.http_threads, 4);
	assert_int_equal(x->s.max_connections, 4000);
	assert_int_equal(x->s.max_body_bytes, 1048576);
	assert_int_equal(x->s.memory_max_mb, 160);
	assert_int_equal(x->s.body_stall_ms, 75000);
	assert_int_equal(x->s.request_head_max_bytes, 30720);
	assert_int_equal(x->s.response_head_max_bytes, 23552);
	assert_int_equal(x->s.gossip_ms, 500);
	assert_int_equal(x->s.poll_ms, 10000);
	assert_int_equal(x->s.key_isolation_ms, 5000);
	assert_int_equal(x->s.gone_confirm_ms, 10000);
	assert_int_equal(x->s.rate_wait_ms, 100);
	assert_int_equal(x->s.unlisted_lease_ms, 30000);
	assert_int_equal(x->s.verdict_ttl_ms, 30000);
	assert_int_equal(x->s.eject_ms, 10000);
	assert_int_equal(x->s.lame_duck_ms, 5000);
	assert_int_equal(x->s.drain_max_ms, 60000);
	assert_int_equal(x->s.log_level, G_LOG_LEVEL_INFO);
	assert_false(x->s.log_json);
}

static void specified_values_override_the_defaults(void **state)
{
	struct fixture *x = *state;

	assert_int_equal(load(x,
			      "{" REQUIRED ", \"seeds\": [\"127.0.0.1:20003\", "
			      "\"127.0.0.1:20013\"], \"log_level\": \"debug\", "
			      "\"log_json\": true, \"rate_wait_ms\": 0, "
			      "\"http_threads\": 2}"),
			 0);
	assert_int_equal(x->s.seed_count, 2);
	assert_int_equal(ntohs(x->s.seeds[1].sin_port), 20013);
	assert_int_equal(x->s.log_level, G_LOG_LEVEL_DEBUG);
	assert_true(x->s.log_json);
	assert_int_equal(x->s.rate_wait_ms, 0);
	assert_int_equal(x->s.http_threads, 2);
}

static void every_fault_is_reported_in_one_run(void **state)
{
	struct fixture *x = *state;

	write_file(x->dir, "secret", "too short\n\n");
	assert_int_equal(
		load(x,
		     "{\"instance\": \"a b\", \"failure_domain\": 3,"
		     "\"listen\": \"localhost:80\", \"admin\": \"1.2.3.4:0\","
		     "\"peer\": \"0.0.0.0:20003\", \"store\": \"ftp://x\","
		     "\"fleet_secret_file\": \"secret\","
		     "\"seeds\": [\"127.0.0.1:1\", 7, \"127.0.0.1:1\"],"
		     "\"log_level\": \"loud\", \"log_json\": 1,"
		     "\"gossip_ms\": 0, \"http_threads\": 65,"
		     "\"memory_max_mb\": 63,"
		     "\"max_body_bytes\": \"1\", \"gosip_ms\": 5}"),
		-1);
	assert_true(has_fault(&x->f, "instance must be a name"));
	assert_true(has_fault(&x->f, "failure_domain must be of type string"));
	assert_true(has_fault(&x->f, "region is missing"));
	assert_true(has_fault(&x->f, "listen must be \"IP:PORT\""));
	assert_true(has_fault(&x->f, "admin must be \"IP:PORT\""));
	assert_true(has_fault(&x->f, "not 0.0.0.0"));
	assert_true(has_fault(&x->f, "store must be"));
	assert_true(has_fault(&x->f, "secret must have 16"));
	assert_true(has_fault(&x->f, "seeds[1] must be"));
	assert_true(has_fault(&x->f, "seeds[2] appears twice"));
	assert_true(has_fault(&x->f, "log_level must be"));
	assert_true(has_fault(&x->f, "log_json must be of type boolean"));
	assert_true(has_fault(&x->f, "gossip_ms must be from"));
	assert_true(has_fault(&x->f, "http_threads must be from 1 to 64"));
	assert_true(has_fault(&x->f, "max_body_bytes must be of type int"));
	assert_true(has_fault(&x->f, "unknown setting \"gosip_ms\""));
	assert_true(has_fault(&x->f, "memory_max_mb must be from 64"));
	assert_int_equal(x->f.n, 17);
	assert_non_null(strstr(x->f.lines[0], "settings.json: "));
}

static void conflicting_addresses_are_refused(void **state)
{
	struct fixture *x = *state;

	assert_int_equal(
		load(x, "{\"instance\": \"e\", \"failure_domain\": \"a\","
			"\"region\": \"r\", \"listen\": \"0.0.0.0:20001\","
			"\"admin\": \"127.0.0.1:20001\","
			"\"peer\": \"127.0.0.1:20001\","
			"\"store\": \"http://127.0.0.1:20001\","
			"\"fleet_secret_file\": \"secret\"}"),
		-1);
	assert_true(has_fault(&x->f, "listen and admin addresses conflict"));
	assert_true(has_fault(&x->f, "listen and store addresses conflict"));
	assert_true(has_fault(&x->f, "admin and store addresses conflict"));
	assert_int_equal(x->f.n, 3);
}

static void secret_never_appears_in_a_fault(void **state)
{
	struct fixture *x = *state;

	write_file(x->dir, "secret", "hush-hush");
	assert_int_equal(load(x, "{" REQUIRED "}"), -1);
	assert_int_equal(x->f.n, 1);
	assert_null(strstr(x->f.lines[0], "hush"));
}

static void missing_files_are_reported_as_faults(void **state)
{
	struct fixture *x = *state;

	assert_int_equal(cg_settings_load("/nonexistent/s.json", &x->s, &x->f),
			 -1);
	assert_int_equal(x->f.n, 1);
	assert_int_equal(load(x, "[]"), -1);
	assert_int_equal(x->f.n, 2);
}

static void addresses_are_parsed_strictly(void **state)
{
	static const char *const bad[] = {
		"",
		":80",
		"127.0.0.1",
		"127.0.0.1:",
		"127.0.0.1:0",
		"1.2.3.4:65536",
		"1.2.3.4:-1",
		"1.2.3.4:+80",
		"1.2.3:80",
		"1.2.3.4 :80",
		"1.2.3.4:80 ",
		"[::1]:80",
		"1.2.3.4:8x",
		"256.1.1.1:80",
		"1.2.3.4: 80",
	};
	struct sockaddr_in a;
	char out[32];

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		assert_int_equal(cg_parse_address(bad[i], &a), -1);
	assert_int_equal(cg_parse_address("10.1.2.3:65535", &a), 0);
	cg_format_address(&a, out, sizeof(out));
	assert_string_equal(out, "10.1.2.3:65535");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(minimal_file_gets_the_defaults,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			specified_values_override_the_defaults, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			every_fault_is_reported_in_one_run, setup, teardown),
		cmocka_unit_test_setup_teardown(
			conflicting_addresses_are_refused, setup, teardown),
		cmocka_unit_test_setup_teardown(secret_never_appears_in_a_fault,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			missing_files_are_reported_as_faults, setup, teardown),
		cmocka_unit_test(addresses_are_parsed_strictly),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
