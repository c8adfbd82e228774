/* Guards against fields of the platform's objects that are misread, and against
 * crashes on invalid objects, which other programs may write to the store. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <string.h>

#include "../platform/format.h"

static const char config[] =
	"{\"metadata\":{\"name\":\"main\",\"rev\":9},\"spec\":{"
	"\"version\":\"r17\",\"parent\":\"r12\",\"new_field\":[1],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"ka\",\"kb\"],"
	"\"priority\":1,\"rate_per_s\":39.5,\"burst\":40},"
	"{\"name\":\"t2\",\"api_keys\":[]}],"
	"\"listeners\":[{\"host\":\"A.example\",\"rules\":["
	"{\"name\":\"r1\",\"kind\":\"safe\",\"slo_ms\":1000,\"priority\":2,"
	"\"public\":false,\"match\":{\"path_prefix\":\"/p/\"},\"action\":{"
	"\"traffic_split\":[{\"service\":\"s1\",\"weight\":90},"
	"{\"service\":\"s2\",\"weight\":10}],\"timeout_ms\":5000,"
	"\"attempts\":2}},"
	"{\"name\":\"r2\",\"kind\":\"stream\",\"public\":true,\"match\":{"
	"\"path_prefix\":\"/q/\"},\"action\":{\"service\":\"s1\","
	"\"timeout_ms\":3000}},"
	"{\"name\":\"r3\",\"kind\":\"download\",\"match\":{"
	"\"path_prefix\":\"/d/\"},\"action\":{\"service\":\"s1\","
	"\"timeout_ms\":3000,\"attempts\":2}}]}],"
	"\"clusters\":[{\"name\":\"s1\",\"health_path\":\"/health\","
	"\"warmup_s\":20,\"warmup_per_s\":12.5},{\"name\":\"s2\"}]}}";

static struct cgw_table *read_text(const char *text, char **why)
{
	return platform_format.read_config(text, strlen(text), why);
}

static void configuration_is_decoded(void **state)
{
	char *why = NULL;
	struct cgw_table *t = read_text(config, &why);
	const struct cgw_route *r;
	const struct cgw_account *a;

	(void)state;
	assert_non_null(t);
	assert_int_equal(cgw_table_version(t), 17);
	r = cgw_table_find_route(t, "a.example", "/p/x");
	assert_string_equal(r->name, "r1");
	assert_true(r->idempotent);
	assert_false(r->bulk);
	assert_false(r->open);
	assert_int_equal(r->targets->len, 2);
	assert_int_equal(r->weight_sum, 100);
	assert_int_equal(r->objective_ms, 1000);
	assert_int_equal(r->timeout_ms, 5000);
	assert_int_equal(r->max_attempts, 2);
	assert_int_equal(r->priority, 2);
	/* Requests of an unknown kind run at most once. */
	r = cgw_table_find_route(t, "a.example", "/q/x");
	assert_false(r->idempotent);
	assert_true(r->open);
	assert_int_equal(r->max_attempts, 1);
	assert_int_equal(r->objective_ms, 3000);
	/* A download that failed may be sent to another server. */
	r = cgw_table_find_route(t, "a.example", "/d/x");
	assert_true(r->idempotent);
	assert_true(r->bulk);
	a = cgw_table_find_account_by_key(t, "kb");
	assert_string_equal(a->name, "t1");
	assert_int_equal(a->rate_milli, 39500);
	assert_int_equal(a->burst_milli, 40000);
	assert_int_equal(a->priority, 1);
	a = cgw_table_find_account(t, "t2");
	assert_int_equal(a->rate_milli, 0);
	assert_int_equal(a->priority, -1);
	assert_int_equal(cgw_table_limits(t)->idle_timeout_ms, 15000);
	assert_true(cgw_table_has_service(t, "s1"));
	cgw_table_unref(t);
}

static void invalid_configurations_are_rejected_with_a_reason(void **state)
{
	static const char *const texts[] = {
		"",
		"{",
		"7",
		"{}",
		"{\"spec\":7}",
		"{\"spec\":{\"version\":\"r1\"}}",
		"{\"spec\":{\"version\":\"12\",\"listeners\":[]}}",
		"{\"spec\":{\"version\":\"r12x\",\"listeners\":[]}}",
		"{\"spec\":{\"version\":12,\"listeners\":[]}}",
		"{\"spec\":{\"version\":\"r1\",\"listeners\":[{}]}}",
		"{\"spec\":{\"version\":\"r1\",\"listeners\":[{\"host\":\"h\","
		"\"rules\":[{\"name\":\"r\"}]}]}}",
		"{\"spec\":{\"version\":\"r1\",\"listeners\":[{\"host\":\"h\","
		"\"rules\":[{\"name\":\"r\",\"kind\":\"safe\",\"match\":{"
		"\"path_prefix\":\"/\"},\"action\":{\"timeout_ms\":5}}]}]}}",
		"{\"spec\":{\"version\":\"r1\",\"listeners\":[],"
		"\"tenants\":[{\"api_keys\":[]}]}}",
		"{\"spec\":{\"version\":\"r1\",\"listeners\":[],"
		"\"tenants\":[{\"name\":\"t\",\"api_keys\":[5]}]}}",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		char *why = NULL;

		assert_null(read_text(texts[i], &why));
		assert_non_null(why);
		g_free(why);
	}
}

static GArray *read_servers(const char *text, unsigned int *bad, char **after)
{
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct cgw_server_facts));
	char *why = NULL;
	uint64_t revision;

	*bad = 0;
	*after = NULL;
	assert_int_equal(platform_format.read_servers(text, strlen(text), out,
						      bad, after, &revision,
						      &why),
			 0);
	return out;
}

#define ENTRY(name, spec)                                                      \
	"{\"metadata\":{\"name\":\"" name "\"},\"spec\":" spec "}"
#define GOOD                                                                   \
	"{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"z\","          \
	"\"version\":\"v1\",\"max_concurrency\":3,\"state\":\"ready\","        \
	"\"warmup_left_ms\":1500,\"seq\":4,\"born\":1700000000123}"

static void servers_are_decoded(void **state)
{
	unsigned int bad;
	char *after;
	GArray *a = read_servers(
		"{\"items\":[" ENTRY("i-1",
				     GOOD) "],"
					   "\"has_more\":true,\"as_of\":5}",
		&bad, &after);
	struct cgw_server_facts *s =
		&g_array_index(a, struct cgw_server_facts, 0);

	(void)state;
	assert_int_equal(a->len, 1);
	assert_int_equal(bad, 0);
	assert_string_equal(after, "i-1");
	assert_string_equal(s->id, "i-1");
	assert_string_equal(s->service, "s");
	assert_string_equal(s->address, "10.0.0.1:80");
	assert_string_equal(s->domain, "z");
	assert_int_equal(s->slots, 3);
	assert_int_equal(s->warmup_remaining_ms, 1500);
	assert_true(s->started_wall_ms == 1700000000123);
	assert_false(s->leaving);
	g_free(after);
	g_array_unref(a);
}

/* Other programs may write invalid entries. Each is skipped, and the valid ones
 * are still used. */
#define WITH_PORT_AND_SLOTS(port, slots)                                       \
	"{\"service\":\"s\",\"addr\":\"10.0.0.1:" port                         \
	"\",\"zone\":\"z\",\"max_concurrency\":" slots ",\"state\":\"ready\"}"

static void invalid_servers_are_skipped_and_counted(void **state)
{
	static const char *const specs[] = {
		"7",
		"null",
		"{}",
		"{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"max_concurrency\":3,\"state\":\"asleep\"}",
		"{\"service\":\"s\",\"addr\":\"10.0.0.1\",\"zone\":\"z\","
		"\"max_concurrency\":3,\"state\":\"ready\"}",
		"{\"service\":\"s\",\"addr\":\"host:80\",\"zone\":\"z\","
		"\"max_concurrency\":3,\"state\":\"ready\"}",
		"{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"max_concurrency\":\"3\",\"state\":\"ready\"}",
		"{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"max_concurrency\":0,\"state\":\"ready\"}",
		"{\"service\":\"\",\"addr\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"max_concurrency\":3,\"state\":\"ready\"}",
		"{\"service\":[\"s\"],\"addr\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"max_concurrency\":3,\"state\":\"ready\"}",
		WITH_PORT_AND_SLOTS("0", "3"),
		WITH_PORT_AND_SLOTS("-1", "3"),
		WITH_PORT_AND_SLOTS("65536", "3"),
		WITH_PORT_AND_SLOTS("80", "18446744073709551616000"),
		WITH_PORT_AND_SLOTS("80", "9223372036854775807"),
		WITH_PORT_AND_SLOTS("80", "4294967296"),
		WITH_PORT_AND_SLOTS("80", "1e999"),
		WITH_PORT_AND_SLOTS("80", "-1e300"),
		WITH_PORT_AND_SLOTS("80", "NaN"),
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(specs); i++) {
		char *text = g_strdup_printf(
			"{\"items\":[{\"metadata\":{\"name\":\"x\"},"
			"\"spec\":%s}," ENTRY("i-1",
					      GOOD) ",17,{}],"
						    "\"has_more\":false}",
			specs[i]);
		unsigned int bad;
		char *after;
		GArray *a = read_servers(text, &bad, &after);

		assert_int_equal(a->len, 1);
		assert_int_equal(bad, 3);
		assert_null(after);
		g_array_unref(a);
		g_free(text);
	}
}

/* Returns an entry with @len bytes of @spec, within which @repeat pairs of
 * brackets are nested. The caller frees it. */
static GString *odd_entry(const char *spec, gssize len, unsigned int repeat)
{
	GString *s = g_string_new("{\"metadata\":{\"name\":\"odd\"},\"spec\":");

	for (unsigned int i = 0; i < repeat; i++)
		g_string_append(s, "{\"a\":[");
	g_string_append_len(s, spec, len);
	for (unsigned int i = 0; i < repeat; i++)
		g_string_append(s, "]}");
	return g_string_append_c(s, '}');
}

static void assert_one_server_read(const GString *first, const GString *second)
{
	GArray *a = g_array_new(FALSE, TRUE, sizeof(struct cgw_server_facts));
	GString *text = g_string_new("{\"as_of\":7,\"items\":[");
	char *after = NULL, *why = NULL;
	unsigned int bad = 0;
	uint64_t revision = 0;

	g_string_append_len(text, first->str, (gssize)first->len);
	g_string_append_c(text, ',');
	g_string_append_len(text, second->str, (gssize)second->len);
	g_string_append(text, "],\"has_more\":false}");
	assert_int_equal(platform_format.read_servers(text->str, text->len, a,
						      &bad, &after, &revision,
						      &why),
			 0);
	assert_int_equal(a->len, 1);
	assert_int_equal(bad, 1);
	assert_int_equal(revision, 7);
	g_array_unref(a);
	g_string_free(text, TRUE);
}

/* Another writer's entry that no parser takes: nested too deeply, not JSON, or
 * with a byte that ends the text. It made the whole list unreadable, and the
 * gateway stopped following it. */
static void unreadable_entry_loses_only_itself(void **state)
{
	GString *good = g_string_new(ENTRY("i-1", GOOD));
	GString *odd[] = {
		odd_entry("0", 1, 10000),
		odd_entry("nonsense", 8, 0),
		odd_entry("{\"a\":[}", 7, 0),
		odd_entry("{\"a\":\"x\0y\"}", 11, 0),
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		assert_one_server_read(good, odd[i]);
		assert_one_server_read(odd[i], good);
		g_string_free(odd[i], TRUE);
	}
	g_string_free(good, TRUE);
}

static void draining_server_is_marked_as_leaving(void **state)
{
	unsigned int bad;
	char *after;
	GArray *a = read_servers(
		"{\"items\":[" ENTRY(
			"i-1", "{\"service\":\"s\",\"addr\":\"1.2.3.4:5\","
			       "\"zone\":\"z\",\"max_concurrency\":3,"
			       "\"state\":\"draining\"}") "]}",
		&bad, &after);

	(void)state;
	assert_true(g_array_index(a, struct cgw_server_facts, 0).leaving);
	g_array_unref(a);
}

static void invalid_lists_are_rejected(void **state)
{
	static const char *const texts[] = { "", "[]", "{}", "{\"items\":3}",
					     "{\"items\":[" };
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct cgw_server_facts));

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		unsigned int bad = 0;
		char *after = NULL, *why = NULL;
		uint64_t revision;

		assert_int_equal(platform_format.read_servers(
					 texts[i], strlen(texts[i]), out, &bad,
					 &after, &revision, &why),
				 -1);
		assert_non_null(why);
		g_free(why);
	}
	g_array_unref(out);
}

/* A change that cannot be read must take its server out of use, as the entry
 * names none any more. */
static void server_events_are_read(void **state)
{
	static const char text[] = "{\"events\":[{\"deleted\":false,\"object\":" ENTRY(
		"s1",
		GOOD) "},"
		      "{\"deleted\":true,\"object\":" ENTRY(
			      "s2",
			      GOOD) "},"
				    "{\"deleted\":false,\"object\":" ENTRY(
					    "s3",
					    "{\"state\":7}") "}],\"as_of\":533}";
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct cgw_server_event));
	const struct cgw_server_event *e;
	uint64_t revision = 0;
	char *why = NULL;

	(void)state;
	assert_int_equal(platform_format.read_server_events(
				 text, strlen(text), out, &revision, &why),
			 0);
	assert_int_equal(revision, 533);
	assert_int_equal(out->len, 3);
	e = (const void *)out->data;
	assert_false(e[0].gone);
	assert_string_equal(e[0].facts.id, "s1");
	assert_true(e[1].gone);
	assert_string_equal(e[1].facts.id, "s2");
	assert_true(e[2].gone);
	assert_string_equal(e[2].facts.id, "s3");
	g_array_unref(out);
}

/* Without a revision to continue from, changes would be missed. */
static void server_events_without_revision_are_refused(void **state)
{
	static const char *const texts[] = {
		"{\"events\":[]}", "{\"as_of\":5}", "[]",
		"{\"events\":[],\"as_of\":\"x\"}"
	};
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct cgw_server_event));

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		uint64_t revision;
		char *why = NULL;

		assert_int_equal(platform_format.read_server_events(
					 texts[i], strlen(texts[i]), out,
					 &revision, &why),
				 -1);
		assert_non_null(why);
		g_free(why);
	}
	g_array_unref(out);
}

static void fleet_entries_survive_a_round_trip(void **state)
{
	struct cgw_fleet_entry e = { .name = "d1",
				     .domain = "z",
				     .ip = "10.0.0.9" };
	struct cgw_fleet_entry secret = { .name = "secret", .secret = "ab12" };
	char *one = platform_format.write_fleet(&e);
	char *two = platform_format.write_fleet(&secret);
	char *text = g_strdup_printf("{\"items\":[%s,%s]}", one, two);
	GArray *out = g_array_new(FALSE, TRUE, sizeof(e));
	unsigned int bad = 0;
	char *after = NULL, *why = NULL;

	(void)state;
	assert_int_equal(platform_format.read_fleet(text, strlen(text), out,
						    &bad, &after, &why),
			 0);
	assert_int_equal(out->len, 2);
	assert_memory_equal(out->data, &e, sizeof(e));
	assert_string_equal(
		g_array_index(out, struct cgw_fleet_entry, 1).secret, "ab12");
	g_array_unref(out);
	g_free(text);
	g_free(one);
	g_free(two);
}

static void targets_escape_names(void **state)
{
	char *t = platform_format.servers_target("i 1&x");

	(void)state;
	assert_string_equal(t, "/objects/servers?after=i%201%26x");
	g_free(t);
	t = platform_format.servers_target(NULL);
	assert_string_equal(t, "/objects/servers");
	g_free(t);
	t = platform_format.config_target();
	assert_string_equal(t, "/objects/config/main");
	g_free(t);
}

/* Truncated and modified texts must be rejected or parsed, and never read past
 * their end. The address sanitizer reports reads out of bounds. */
static void mutated_configurations_do_not_crash(void **state)
{
	GRand *r = g_rand_new_with_seed(11);

	(void)state;
	for (int i = 0; i < 3000; i++) {
		char *text = g_strdup(config);
		size_t len = strlen(text);
		char *why = NULL;
		struct cgw_table *t;

		for (int n = g_rand_int_range(r, 1, 5); n; n--)
			text[g_rand_int_range(r, 0, (gint)len)] =
				(char)g_rand_int_range(r, 32, 127);
		if (i % 3 == 0)
			len = (size_t)g_rand_int_range(r, 0, (gint)len);
		t = platform_format.read_config(text, len, &why);
		assert_true(t || why);
		cgw_table_unref(t);
		g_free(why);
		g_free(text);
	}
	g_rand_free(r);
}

static int read_evacuation(const char *text)
{
	char *why = NULL;
	int rc = platform_format.read_evacuation(text, strlen(text), "north/1",
						 &why);

	assert_int_equal(rc != 0, why != NULL);
	g_free(why);
	return rc;
}

/* The spec is free text of an operator; a response of something else than the
 * object must not count as a request to evacuate. */
static void evacuation_is_asked_by_its_object_alone(void **state)
{
	char *target = platform_format.evacuation_target("north/1");

	(void)state;
	assert_string_equal(target, "/objects/evacuations/north%2F1");
	g_free(target);
	assert_int_equal(read_evacuation("{\"metadata\":{\"name\":\"north/1\","
					 "\"rev\":3},\"spec\":{\"why\":1}}"),
			 0);
	assert_int_equal(
		read_evacuation("{\"metadata\":{\"name\":\"north/1\"}}"), 0);
	assert_int_equal(read_evacuation("{\"metadata\":{\"name\":\"south\"}}"),
			 -1);
	assert_int_equal(read_evacuation("{\"items\":[]}"), -1);
	assert_int_equal(read_evacuation("[]"), -1);
	assert_int_equal(read_evacuation("busy"), -1);
	assert_int_equal(read_evacuation(""), -1);
}

static void warmup_rates_are_decoded(void **state)
{
	char *why = NULL;
	struct cgw_table *t = read_text(config, &why);

	(void)state;
	assert_non_null(t);
	assert_int_equal(cgw_table_warmup_rate(t, "s1"), 12500);
	assert_int_equal(cgw_table_warmup_rate(t, "s2"), 0);
	assert_int_equal(cgw_table_warmup_rate(t, "unknown"), 0);
	cgw_table_unref(t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(configuration_is_decoded),
		cmocka_unit_test(
			invalid_configurations_are_rejected_with_a_reason),
		cmocka_unit_test(servers_are_decoded),
		cmocka_unit_test(invalid_servers_are_skipped_and_counted),
		cmocka_unit_test(unreadable_entry_loses_only_itself),
		cmocka_unit_test(draining_server_is_marked_as_leaving),
		cmocka_unit_test(invalid_lists_are_rejected),
		cmocka_unit_test(server_events_are_read),
		cmocka_unit_test(server_events_without_revision_are_refused),
		cmocka_unit_test(fleet_entries_survive_a_round_trip),
		cmocka_unit_test(targets_escape_names),
		cmocka_unit_test(evacuation_is_asked_by_its_object_alone),
		cmocka_unit_test(warmup_rates_are_decoded),
		cmocka_unit_test(mutated_configurations_do_not_crash),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
