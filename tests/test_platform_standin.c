/* Guards against a stand-in for the platform that does not behave as
 * docs/platform-api.md specifies. The system tests run against the stand-in and
 * would then pass with a daemon that fails on the real platform. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include "../bench/fleet/fleet.h"

static struct fleet *f;

static int setup(void **state)
{
	f = fleet_new(2);
	return 0;
}

static int teardown(void **state)
{
	fleet_free(f);
	return 0;
}

static long call(const char *method, int port, const char *path,
		 const char *header, const char *body, char **out)
{
	char *url = g_strdup_printf("http://127.0.0.1:%d/v1/%s",
				    f->base + 1 + port, path);
	long status = fleet_http(method, url, header, body, out);

	g_free(url);
	return status;
}

/* Reads an object. Returns the HTTP status, or -1 if it is 200 with a body
 * other than @p expected. */
static long read_object_expecting(const char *name, const char *expected)
{
	char path[64], *text = NULL;
	long status;

	g_snprintf(path, sizeof(path), "objects/%s", name);
	status = call("GET", 0, path, NULL, NULL, &text);
	if (status == 200 && strcmp(text, expected) != 0)
		status = -1;
	g_free(text);
	return status;
}

#define NEW "If-None-Match: *"

static void writes_are_conditional(void **state)
{
	assert_int_equal(call("PUT", 0, "objects/a", NULL, "1", NULL), 400);
	assert_int_equal(call("PUT", 0, "objects/a", NEW, "1", NULL), 201);
	assert_int_equal(call("PUT", 0, "objects/a", NEW, "2", NULL), 412);
	assert_int_equal(read_object_expecting("a", "1"), 200);
	assert_int_equal(
		call("PUT", 0, "objects/a", "If-Match: \"9\"", "2", NULL), 412);
	assert_int_equal(
		call("PUT", 1, "objects/a", "If-Match: \"1\"", "2", NULL), 200);
	assert_int_equal(read_object_expecting("a", "2"), 200);
	assert_int_equal(
		call("DELETE", 0, "objects/a", "If-Match: \"1\"", NULL, NULL),
		412);
	assert_int_equal(
		call("DELETE", 0, "objects/a", "If-Match: \"2\"", NULL, NULL),
		204);
	assert_int_equal(
		call("DELETE", 0, "objects/a", "If-Match: \"2\"", NULL, NULL),
		404);
	assert_int_equal(read_object_expecting("a", ""), 404);
	assert_int_equal(call("PUT", 0, "objects/a%20b", NEW, "", NULL), 400);
}

static void write_with_lost_response_takes_effect(void **state)
{
	fleet_set_platform_faults(f, "{\"lose_writes\":1}");
	assert_int_equal(call("PUT", 0, "objects/lost", NEW, "1", NULL), 0);
	assert_int_equal(read_object_expecting("lost", "1"), 200);
	assert_int_equal(call("PUT", 0, "objects/kept", NEW, "1", NULL), 201);
}

static void stale_reads_return_earlier_objects(void **state)
{
	assert_int_equal(call("PUT", 0, "objects/s", NEW, "old", NULL), 201);
	fleet_set_platform_faults(f, "{\"stale_objects\":1}");
	assert_int_equal(call("PUT", 0, "objects/t", NEW, "new", NULL), 201);
	assert_int_equal(read_object_expecting("s", "old"), 200);
	assert_int_equal(read_object_expecting("t", "new"), 404);
	fleet_set_platform_faults(f, "{\"stale_objects\":0}");
	assert_int_equal(read_object_expecting("t", "new"), 200);
}

static void watch_ends_on_change_or_timeout(void **state)
{
	int64_t begin = fleet_now_ms();

	assert_int_equal(call("GET", 0, "objects/w?watch=0&timeout_ms=200",
			      NULL, NULL, NULL),
			 304);
	assert_true(fleet_now_ms() - begin >= 200);
	assert_int_equal(call("PUT", 0, "objects/w", NEW, "1", NULL), 201);
	assert_int_equal(call("GET", 0, "objects/w?watch=0&timeout_ms=5000",
			      NULL, NULL, NULL),
			 200);
}

static void one_port_can_be_down(void **state)
{
	char *cut = g_strdup_printf("{\"down\":\"refuse\",\"port\":%d}",
				    f->base + 2);

	fleet_set_platform_faults(f, cut);
	g_free(cut);
	assert_int_equal(call("GET", 1, "instances", NULL, NULL, NULL), 0);
	assert_int_equal(call("GET", 0, "instances", NULL, NULL, NULL), 200);
	fleet_set_platform_faults(f, "{\"down\":\"503\"}");
	assert_int_equal(call("PUT", 1, "objects/d", NEW, "1", NULL), 503);
	fleet_set_platform_faults(f, "{\"down\":\"no\"}");
	assert_int_equal(read_object_expecting("d", ""), 404);
}

static bool list_contains(const char *name)
{
	char *text = NULL;
	bool found;

	assert_int_equal(call("GET", 0, "instances", NULL, NULL, &text), 200);
	found = strstr(text, name) != NULL;
	g_free(text);
	return found;
}

static void instance_list_lags(void **state)
{
	fleet_set_platform_faults(f, "{\"list_lag_ms\":500}");
	fleet_change_instances(
		f, "{\"op\":\"add\",\"name\":\"entry-9\",\"role\":\"entry\","
		   "\"address\":\"127.0.0.1:1\"}");
	assert_false(list_contains("entry-9"));
	g_usleep(600000);
	assert_true(list_contains("entry-9"));
	fleet_set_platform_faults(
		f, "{\"list_lag_ms\":0,\"missing\":[\"entry-9\"]}");
	assert_false(list_contains("entry-9"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(writes_are_conditional),
		cmocka_unit_test(write_with_lost_response_takes_effect),
		cmocka_unit_test(stale_reads_return_earlier_objects),
		cmocka_unit_test(watch_ends_on_change_or_timeout),
		cmocka_unit_test(one_port_can_be_down),
		cmocka_unit_test(instance_list_lags),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
