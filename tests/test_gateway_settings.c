/* Guards against a gateway that starts with missing or invalid settings, and
 * checks the defaults of optional ones. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <string.h>
#include <unistd.h>

#include "gateway/gateway_settings.h"

#define REQUIRED                                                               \
	"\"instance\":\"d1\",\"domain\":\"a\",\"address\":\"10.0.0.1\","       \
	"\"domains\":[\"a\",\"b\"],\"listen\":\"10.0.0.1:80\","                \
	"\"ready\":\"10.0.0.1:81\",\"peer_port\":7000,"                        \
	"\"store\":\"10.0.0.2:90\",\"seeds\":[]"

static int load(const char *text, struct cgw_settings *s, struct cg_faults *f)
{
	char path[] = "/tmp/celeryglade-settings-XXXXXX";
	int fd = mkstemp(path);
	int rc;

	assert_true(fd >= 0);
	assert_int_equal(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	close(fd);
	memset(f, 0, sizeof(*f));
	rc = cgw_settings_load(path, s, f);
	unlink(path);
	return rc;
}

static void missing_settings_get_defaults(void **state)
{
	struct cgw_settings s;
	struct cg_faults f;

	(void)state;
	assert_int_equal(load("{" REQUIRED "/* a comment */}", &s, &f), 0);
	assert_string_equal(s.instance, "d1");
	assert_int_equal(s.domains->len, 2);
	assert_int_equal(s.key_proof_ms, 5000);
	assert_int_equal(s.grace_ms, 6000);
	assert_int_equal(s.server_heartbeat_ms, 1500);
	assert_int_equal(s.descriptors_max, 65536);
	assert_int_equal(s.evacuation_bound_ms, 0);
	assert_true(s.warmup_burst <= 0 && s.warmup_slack <= 0);
	assert_int_equal(s.memory_max_mb, 160);
	assert_int_equal(s.body_stall_ms, 0);
	assert_int_equal(s.response_stall_ms, 0);
	assert_string_equal(s.log_level, "info");
	assert_int_equal(s.placement, CGW_PLACEMENT_AUTO);
	assert_int_equal(s.admission, CGW_ADMISSION_AUTO);
	cgw_settings_clear(&s);
}

static void settings_are_read(void **state)
{
	struct cgw_settings s;
	struct cg_faults f;

	(void)state;
	assert_int_equal(load("{" REQUIRED ",\"retry_ratio\":0.25,"
			      "\"min_share\":1,\"retry_slack\":56,"
			      "\"retry_window_ms\":10000,\"key_proof_ms\":3000,"
			      "\"grace_ms\":9000,\"log_level\":\"debug\","
			      "\"server_heartbeat_ms\":400,"
			      "\"placement\":\"expected_finish\","
			      "\"admission\":\"urgency\","
			      "\"memory_max_mb\":512,"
			      "\"metrics_port\":9464}",
			      &s, &f),
			 0);
	assert_true(s.retry_ratio > 0.24 && s.retry_ratio < 0.26);
	assert_int_equal(s.retry_slack, 56);
	assert_int_equal(s.metrics_port, 9464);
	assert_int_equal(s.placement, CGW_PLACEMENT_EXPECTED_FINISH);
	assert_int_equal(s.memory_max_mb, 512);
	assert_string_equal(s.log_level, "debug");
	assert_int_equal(s.admission, CGW_ADMISSION_URGENCY);
	cgw_settings_clear(&s);
}

static void invalid_settings_are_reported(void **state)
{
	static const char *const texts[] = {
		"{}",
		"[]",
		"{" REQUIRED ",\"unknown\":1}",
		"{" REQUIRED ",\"peer_port\":70000}",
		"{" REQUIRED ",\"retry_ratio\":\"much\"}",
		"{" REQUIRED ",\"min_share\":1.5}",
		"{" REQUIRED ",\"evacuation_bound_ms\":-1}",
		"{" REQUIRED ",\"evacuation_bound_ms\":3600001}",
		"{" REQUIRED ",\"warmup_burst\":101}",
		"{" REQUIRED ",\"warmup_slack\":-1}",
		"{" REQUIRED ",\"seeds\":[5]}",
		"{" REQUIRED ",\"grace_ms\":1}",
		"{" REQUIRED ",\"placement\":\"random\"}",
		"{" REQUIRED ",\"placement\":1}",
		"{" REQUIRED ",\"admission\":\"first\"}",
		"{" REQUIRED ",\"admission\":1}",
		"{" REQUIRED ",\"memory_max_mb\":63}",
		"{" REQUIRED ",\"memory_max_mb\":65537}",
		"{" REQUIRED ",\"memory_max_mb\":\"much\"}",
		"{" REQUIRED ",\"body_stall_ms\":999}",
		"{" REQUIRED ",\"response_stall_ms\":3600001}",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct cgw_settings s;
		struct cg_faults f;

		assert_int_equal(load(texts[i], &s, &f), -1);
		assert_true(f.n > 0);
		cg_faults_clear(&f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(missing_settings_get_defaults),
		cmocka_unit_test(settings_are_read),
		cmocka_unit_test(invalid_settings_are_reported),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
