/* Guards against a request that matches the wrong route, for example because of
 * encoded dot segments; a key that is mistaken for another because only a part
 * of the digest is compared; and a snapshot that is freed while a thread reads
 * it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "support/objects.h"

#define ZEROS	 "00000000000000000000000000000000"
#define DIGEST_A "sha256:" ZEROS "0000000000000000000000000000000a"
#define DIGEST_B "sha256:" ZEROS "0000000000000000000000000000000B"

static const char small[] =
	"{\"services\": {"
	"  \"slots\": {\"servers\": {\"s2\": {\"address\": \"127.0.0.1:2\"},"
	"    \"s1\": {\"address\": \"127.0.0.1:1\", \"slots\": 3,"
	"             \"connections\": 400, \"failure_domain\": \"a\"}}},"
	"  \"deposits\": {\"queue\": 20, \"echo_attempt\": true,"
	"    \"servers\": {\"d1\": {\"address\": \"127.0.0.1:3\"}}}},"
	" \"routes\": {"
	"  \"all\": {\"path\": \"/\", \"service\": \"slots\", \"open\": true},"
	"  \"slots\": {\"path\": \"/slots\", \"methods\": [\"GET\", \"HEAD\"],"
	"    \"service\": \"slots\"},"
	"  \"reserve\": {\"path\": \"/slots\", \"methods\": [\"POST\"],"
	"    \"service\": \"slots\", \"accounts\": [\"small\", \"big\"]},"
	"  \"deep\": {\"path\": \"/slots/deep/er\", \"service\": \"slots\","
	"    \"methods\": [\"GET\", \"PUT\"], \"idempotent\": true}},"
	" \"accounts\": {"
	"  \"big\": {\"rate\": 0.125, \"burst\": 10,"
	"    \"keys\": {\"k1\": \"" DIGEST_A "\", \"k0\": \"" DIGEST_B "\"}},"
	"  \"small\": {\"rate\": 2.5}}}";

static struct cg_config *build(const char *text)
{
	struct cg_faults f = { 0 };
	struct cg_config *c = config_from_text(text, 7, &f);

	assert_no_faults(&f);
	assert_non_null(c);
	return c;
}

/* Returns the name of the route; "refused" if no route of the path allows the
 * method; or "none". */
static const char *route(struct cg_config *c, enum cg_method m,
			 const char *path)
{
	bool refused;
	const struct cg_route *r = cg_config_find_route(c, m, path, &refused);

	assert_false(r && refused);
	return r ? r->name : refused ? "refused" : "none";
}

static void objects_have_their_values_and_defaults(void **state)
{
	struct cg_config *c = build(small);
	const struct cg_service *s = cg_config_find_service(c, "slots");
	const struct cg_server *srv = cg_config_find_server(c, "s1");
	const struct cg_account *a = cg_config_find_account(c, "big");

	assert_int_equal(cg_config_version(c), 7);
	assert_int_equal(s->server_count, 2);
	assert_string_equal(s->servers[0].name, "s1");
	assert_string_equal(s->servers[1].name, "s2");
	assert_ptr_equal(s->servers[1].service, s);
	assert_int_equal(s->floor_percent, 60);
	assert_int_equal(s->queue, 200);
	assert_int_equal(s->queue_per_account, 50);
	assert_int_equal(
		cg_config_find_service(c, "deposits")->queue_per_account, 20);
	assert_true(cg_config_find_service(c, "deposits")->echo_attempt);
	assert_string_equal(srv->host, "127.0.0.1");
	assert_int_equal(srv->port, 1);
	assert_int_equal(srv->connections, 400);
	assert_string_equal(cg_config_find_server(c, "s2")->failure_domain,
			    "default");
	assert_int_equal(a->rate_milli, 125);
	assert_int_equal(a->burst_milli, 10000);
	assert_int_equal(cg_config_find_account(c, "small")->burst_milli, 2500);
	assert_int_equal(a->shard, cg_shard_of("big"));
	assert_null(cg_config_find_account(c, "smal"));
	assert_null(cg_config_find_server(c, "s3"));
	assert_null(cg_config_find_service(c, ""));
	cg_config_unref(c);
}

static void iteration_is_in_order_of_names(void **state)
{
	struct cg_config *c = build(small);

	assert_string_equal(cg_config_service_at(c, 0)->name, "deposits");
	assert_string_equal(cg_config_service_at(c, 1)->name, "slots");
	assert_null(cg_config_service_at(c, 2));
	assert_string_equal(cg_config_account_at(c, 0)->name, "big");
	assert_null(cg_config_account_at(c, 2));
	assert_string_equal(cg_config_route_at(c, 1)->name, "deep");
	assert_null(cg_config_route_at(c, 4));
	cg_config_unref(c);
}

static void longest_prefix_at_a_segment_boundary_wins(void **state)
{
	struct cg_config *c = build(small);

	assert_string_equal(route(c, CG_METHOD_GET, "/"), "all");
	assert_string_equal(route(c, CG_METHOD_GET, "/slots"), "slots");
	assert_string_equal(route(c, CG_METHOD_GET, "/slots/"), "slots");
	assert_string_equal(route(c, CG_METHOD_GET, "/slots/1"), "slots");
	assert_string_equal(route(c, CG_METHOD_GET, "/slots//1"), "slots");
	assert_string_equal(route(c, CG_METHOD_GET, "/slotsx"), "all");
	assert_string_equal(route(c, CG_METHOD_GET, "/slot"), "all");
	assert_string_equal(route(c, CG_METHOD_GET, "/Slots"), "all");
	assert_string_equal(route(c, CG_METHOD_GET, "/slots/deep"), "slots");
	assert_string_equal(route(c, CG_METHOD_GET, "/slots/deep/er"), "deep");
	assert_string_equal(route(c, CG_METHOD_GET, "/slots/deep/er/x"),
			    "deep");
	assert_string_equal(route(c, CG_METHOD_GET, "/slots/deep/erx"),
			    "slots");
	assert_string_equal(route(c, CG_METHOD_POST, "/slots/deep/er"),
			    "reserve");
	assert_string_equal(route(c, CG_METHOD_PUT, "/slots"), "refused");
	assert_string_equal(route(c, CG_METHOD_DELETE, "/elsewhere"),
			    "refused");
	cg_config_unref(c);
}

static void unusual_paths_match_only_by_their_literal_text(void **state)
{
	struct cg_config *c = build(small);

	assert_string_equal(route(c, CG_METHOD_GET, "//slots"), "all");
	assert_string_equal(route(c, CG_METHOD_GET, "/%73lots"), "all");
	assert_string_equal(route(c, CG_METHOD_GET, "/slots%2fdeep"), "all");
	assert_string_equal(route(c, CG_METHOD_GET, "/slots/a%2eb"), "slots");
	assert_string_equal(route(c, CG_METHOD_GET, "/slots/..."), "slots");
	assert_string_equal(route(c, CG_METHOD_GET, "/slots/..x"), "slots");
	assert_string_equal(route(c, CG_METHOD_GET, "/slots/.x/y."), "slots");
	assert_string_equal(route(c, CG_METHOD_GET, "/slots/%"), "slots");
	assert_string_equal(route(c, CG_METHOD_GET, "/slots/%2"), "slots");
	assert_string_equal(route(c, CG_METHOD_GET, "/slots/%zz"), "slots");
	assert_string_equal(route(c, CG_METHOD_GET, ""), "none");
	assert_string_equal(route(c, CG_METHOD_GET, "*"), "none");
	assert_string_equal(route(c, CG_METHOD_GET, "slots"), "none");
	cg_config_unref(c);
}

static void dot_segments_match_no_route(void **state)
{
	static const char *const bad[] = {
		"/.",
		"/..",
		"/./slots",
		"/slots/..",
		"/slots/../x",
		"/slots/.",
		"/slots/./x",
		"/slots/%2e",
		"/slots/%2E%2e/x",
		"/slots/.%2e",
		"/slots/%2e./x",
		"/slots/..%2f..%2fx",
		"/slots/..\\x",
		"/slots/..%5cx",
		"/slots/x%2f../y",
		"/slots/..;a/x",
		"/slots/%2e%2e;",
	};
	struct cg_config *c = build(small);

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		assert_string_equal(route(c, CG_METHOD_GET, bad[i]), "none");
	cg_config_unref(c);
}

/* A path with 500,000 segment boundaries must not need a lookup for each. */
static void very_long_paths_match_their_prefix(void **state)
{
	struct cg_config *c = build(small);
	GString *s = g_string_new("/slots");

	for (int i = 0; i < 500000; i++)
		g_string_append_c(s, '/');
	assert_string_equal(route(c, CG_METHOD_GET, s->str), "slots");
	g_string_free(s, TRUE);
	cg_config_unref(c);
}

static void keys_are_found_by_their_whole_digest(void **state)
{
	struct cg_config *c = build(small);
	uint8_t d[CG_DIGEST_SIZE] = { 0 };

	assert_null(cg_config_find_account_by_key(c, d));
	d[CG_DIGEST_SIZE - 1] = 0x0a;
	assert_string_equal(cg_config_find_account_by_key(c, d)->name, "big");
	d[CG_DIGEST_SIZE - 1] = 0x0b;
	assert_string_equal(cg_config_find_account_by_key(c, d)->name, "big");
	d[0] = 1;
	assert_null(cg_config_find_account_by_key(c, d));
	cg_config_unref(c);
}

static void key_digest_is_plain_sha256(void **state)
{
	static const uint8_t abc[] = { 0xba, 0x78, 0x16, 0xbf,
				       0x8f, 0x01, 0xcf, 0xea };
	uint8_t d[CG_DIGEST_SIZE];

	cg_key_digest("abc", d);
	assert_memory_equal(d, abc, sizeof(abc));
}

static void empty_configuration_finds_nothing(void **state)
{
	struct cg_config *c = build("{}");
	uint8_t d[CG_DIGEST_SIZE] = { 0 };

	assert_string_equal(route(c, CG_METHOD_GET, "/"), "none");
	assert_null(cg_config_find_account_by_key(c, d));
	assert_null(cg_config_find_account(c, "a"));
	assert_null(cg_config_service_at(c, 0));
	cg_config_unref(c);
}

static void restricted_routes_list_their_accounts(void **state)
{
	struct cg_config *c = build(small);
	bool refused;
	const struct cg_route *r =
		cg_config_find_route(c, CG_METHOD_POST, "/slots", &refused);

	assert_int_equal(r->account_count, 2);
	assert_ptr_equal(r->accounts[0], cg_config_find_account(c, "big"));
	assert_false(r->idempotent);
	r = cg_config_find_route(c, CG_METHOD_HEAD, "/slots", &refused);
	assert_null(r->accounts);
	assert_true(r->idempotent);
	r = cg_config_find_route(c, CG_METHOD_PUT, "/slots/deep/er", &refused);
	assert_true(r->idempotent);
	cg_config_unref(c);
}

static void *ref_and_unref(void *arg)
{
	for (int i = 0; i < 20000; i++) {
		struct cg_config *c = cg_config_ref(arg);

		assert_non_null(cg_config_find_account(c, "big"));
		cg_config_unref(c);
	}
	cg_config_unref(arg);
	return NULL;
}

static void references_of_several_threads_are_counted(void **state)
{
	struct cg_config *c = build(small);
	pthread_t t[4];

	for (int i = 0; i < 4; i++)
		assert_int_equal(pthread_create(&t[i], NULL, ref_and_unref,
						cg_config_ref(c)),
				 0);
	cg_config_unref(c);
	for (int i = 0; i < 4; i++)
		pthread_join(t[i], NULL);
}

static void methods_are_parsed_exactly(void **state)
{
	assert_int_equal(cg_method_parse("GET"), CG_METHOD_GET);
	assert_int_equal(cg_method_parse("OPTIONS"), CG_METHOD_OPTIONS);
	assert_int_equal(cg_method_parse("get"), 0);
	assert_int_equal(cg_method_parse("GETX"), 0);
	assert_int_equal(cg_method_parse(""), 0);
	assert_string_equal(cg_method_name(CG_METHOD_PATCH), "PATCH");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(objects_have_their_values_and_defaults),
		cmocka_unit_test(iteration_is_in_order_of_names),
		cmocka_unit_test(longest_prefix_at_a_segment_boundary_wins),
		cmocka_unit_test(
			unusual_paths_match_only_by_their_literal_text),
		cmocka_unit_test(dot_segments_match_no_route),
		cmocka_unit_test(very_long_paths_match_their_prefix),
		cmocka_unit_test(keys_are_found_by_their_whole_digest),
		cmocka_unit_test(key_digest_is_plain_sha256),
		cmocka_unit_test(empty_configuration_finds_nothing),
		cmocka_unit_test(restricted_routes_list_their_accounts),
		cmocka_unit_test(references_of_several_threads_are_counted),
		cmocka_unit_test(methods_are_parsed_exactly),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
