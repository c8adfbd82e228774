/* Guards against a server that is used although it has said that it leaves or
 * wants a rest, and against one that a faulty value keeps out of use for good. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>

#include "gateway/server_notice.h"

#define REST_LIMIT_MS 300000

static void only_sensible_values_are_taken(void **state)
{
	static const char *const bad[] = {
		"",    "-1",	"soon", "1s",
		"nan", "inf",	"-0.5", "1,5",
		"1 2", "1e999", "0x",	"Sat, 05 Dec 2026 14:00:00 GMT",
	};
	static const struct {
		const char *text;
		cg_ms ms;
	} good[] = {
		{ "0", 0 },	   { "2", 2000 },
		{ "0.25", 250 },   { "1.5 ", 1500 },
		{ "300", 300000 }, { "31536000", REST_LIMIT_MS },
	};
	cg_ms ms;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		assert_int_equal(cgw_retry_after_parse(bad[i], &ms), -1);
	for (size_t i = 0; i < G_N_ELEMENTS(good); i++) {
		assert_int_equal(cgw_retry_after_parse(good[i].text, &ms), 0);
		assert_int_equal(ms, good[i].ms);
	}
}

static void a_statement_holds_for_one_process(void **state)
{
	const struct cgw_server_notice leaves = { .leaving = true };
	const struct cgw_server_notice rests = { .rest_ms = 2000 };
	struct cgw_server_notices *n = cgw_server_notices_new();
	struct cgw_server_notice found;

	(void)state;
	cgw_server_notices_record(n, "s1", 7, &leaves, 1000);
	assert_true(cgw_server_notices_find(n, "s1", 7, 60000, &found));
	assert_true(found.leaving);
	assert_false(cgw_server_notices_find(n, "s1", 8, 60000, &found));
	cgw_server_notices_record(n, "s1", 8, &rests, 2000);
	assert_true(cgw_server_notices_find(n, "s1", 8, 3000, &found));
	assert_false(found.leaving);
	assert_int_equal(found.rest_ms, 1000);
	assert_false(cgw_server_notices_find(n, "s1", 8, 4000, &found));
	assert_false(cgw_server_notices_find(n, "s2", 8, 3000, &found));
	cgw_server_notices_free(n);
}

static void old_statements_are_removed(void **state)
{
	const struct cgw_server_notice rests = { .rest_ms = 10 };
	struct cgw_server_notices *n = cgw_server_notices_new();
	char name[16];

	(void)state;
	for (int i = 0; i < 5000; i++) {
		g_snprintf(name, sizeof(name), "s%d", i);
		cgw_server_notices_record(n, name, 1, &rests, i * 100);
	}
	assert_true(cgw_server_notices_count(n) <= 256);
	cgw_server_notices_free(n);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(only_sensible_values_are_taken),
		cmocka_unit_test(a_statement_holds_for_one_process),
		cmocka_unit_test(old_statements_are_removed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
