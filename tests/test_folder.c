/* Guards against a configuration that differs from what the operator's files
 * say: files are merged in the wrong order, one fault hides another, or a
 * misspelt deletion is ignored. Also guards against messages that contain a
 * plaintext key. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "internal/folder.h"
#include "internal/parts.h"
#include "support/objects.h"

#define SECRET "Q2VsZXJ5Z2xhZGUga2V5IGluIGNsZWFyLCAxMjM0NTY"
#define HEX16  "0123456789abcdef"
#define DIGEST "sha256:" HEX16 HEX16 HEX16 HEX16

struct fixture {
	char *dir;
	struct cg_faults f;
	struct cg_config *c;
};

static int setup(void **state)
{
	struct fixture *x = g_new0(struct fixture, 1);

	x->dir = g_dir_make_tmp("cg-folder-XXXXXX", NULL);
	*state = x;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *x = *state;

	cg_config_unref(x->c);
	cg_faults_clear(&x->f);
	remove_folder(x->dir);
	g_free(x->dir);
	g_free(x);
	return 0;
}

static int load(struct fixture *x)
{
	return cg_folder_load(x->dir, 3, &x->c, &x->f);
}

static const char base[] =
	"{\"services\":{\"s\":{\"servers\":{"
	"  \"s1\":{\"address\":\"127.0.0.1:1\"},"
	"  \"s2\":{\"address\":\"127.0.0.1:2\"}}}},"
	" \"routes\":{\"r\":{\"path\":\"/r\",\"service\":\"s\"}},"
	" \"accounts\":{\"a\":{\"rate\":1,\"burst\":5,"
	"   \"keys\":{\"k\":\"" DIGEST "\"}},\"b\":{\"rate\":2}}}";

static void later_files_override_members(void **state)
{
	struct fixture *x = *state;
	const struct cg_service *s;

	write_file(x->dir, "10.json", base);
	write_file(x->dir, "20.jsonc",
		   "// comment\n{\"accounts\":{\"a\":{\"rate\":7}}}");
	write_file(x->dir, "B.json", "{\"accounts\":{\"a\":{\"rate\":8}}}");
	write_file(x->dir, "a.json",
		   "{\"accounts\":{\"b\":null},"
		   "\"services\":{\"s\":{\"servers\":{\"s1\":null,"
		   "\"s3\":{\"address\":\"127.0.0.1:3\"}}}}}");
	write_file(x->dir, ".hidden.json", "{ not json");
	write_file(x->dir, "b.json~", "{ not json");
	assert_int_equal(load(x), 0);
	assert_no_faults(&x->f);
	assert_int_equal(cg_config_version(x->c), 3);
	/* "20" < "B" < "a" in byte order. */
	assert_int_equal(cg_config_find_account(x->c, "a")->rate_milli, 8000);
	assert_int_equal(cg_config_find_account(x->c, "a")->burst_milli, 5000);
	assert_null(cg_config_find_account(x->c, "b"));
	s = cg_config_find_service(x->c, "s");
	assert_int_equal(s->server_count, 2);
	assert_string_equal(s->servers[0].name, "s2");
}

static void deleted_member_has_its_default(void **state)
{
	struct fixture *x = *state;

	write_file(x->dir, "1.json", base);
	write_file(x->dir, "2.json", "{\"accounts\":{\"a\":{\"burst\":null}}}");
	assert_int_equal(load(x), 0);
	assert_int_equal(cg_config_find_account(x->c, "a")->burst_milli, 1000);
}

static void deleting_an_absent_member_is_a_fault(void **state)
{
	struct fixture *x = *state;

	write_file(x->dir, "1.json", base);
	write_file(x->dir, "2.json",
		   "{\"accounts\":{\"a\":{\"keys\":{\"K\":null}},\"c\":null}}");
	assert_int_equal(load(x), -1);
	assert_int_equal(x->f.n, 2);
	assert_true(has_fault(&x->f, "2.json: accounts/a/keys: K: null"));
	assert_true(has_fault(&x->f, "2.json: accounts: c: null"));
}

static void every_fault_names_its_file_and_path(void **state)
{
	struct fixture *x = *state;

	write_file(x->dir, "1.json", base);
	write_file(x->dir, "2.json",
		   "{\"accounts\":{\"a\":{\"burst\":0.5},\"c\":{},"
		   "\"d e\":{\"rate\":1}},"
		   "\"routes\":{\"r\":{\"deadline_ms\":1},"
		   "\"q\":{\"path\":\"/-/x\",\"service\":\"none\","
		   "\"methods\":[\"BREW\",\"GET\",\"GET\"],"
		   "\"accounts\":[\"zz\"]}}}");
	write_file(x->dir, "3.json",
		   "{\"accounts\":{\"a\":{\"rate\":\"fast\"}},"
		   "\"services\":{\"s\":{\"queue\":10,\"queue_per_account\":11,"
		   "\"colour\":1,\"servers\":{\"s2\":{\"address\":"
		   "\"127.0.0.1:1\"},\"s9\":{\"address\":\"host:1\"}}},"
		   "\"t\":{\"servers\":{}}}}");
	assert_int_equal(load(x), -1);
	assert_true(has_fault(&x->f, "2.json: accounts/a: burst must be"));
	assert_true(has_fault(&x->f, "3.json: accounts/a: rate must be"));
	assert_true(has_fault(&x->f, "2.json: accounts/c: rate is missing"));
	assert_true(has_fault(&x->f, "2.json: accounts/d e: must have a name"));
	assert_true(has_fault(&x->f, "2.json: routes/r: deadline_ms must be"));
	assert_true(has_fault(&x->f, "2.json: routes/q: path must not start"));
	assert_true(has_fault(&x->f, "2.json: routes/q: methods[0]"));
	assert_true(has_fault(&x->f, "2.json: routes/q: methods[2] appears"));
	assert_true(has_fault(&x->f, "2.json: routes/q: service none does"));
	assert_true(has_fault(&x->f, "2.json: routes/q: account zz does not"));
	assert_true(has_fault(&x->f, "3.json: services/s: queue_per_account"));
	assert_true(has_fault(&x->f, "3.json: services/s: unknown member"));
	assert_true(has_fault(&x->f, "3.json: services/s/servers/s2: server "
				     "s1 has the same address"));
	assert_true(has_fault(&x->f, "3.json: services/s/servers/s9: address"));
	assert_true(has_fault(&x->f, "3.json: services/t: a service needs"));
	assert_int_equal(x->f.n, 15);
}

static void faults_of_all_files_are_listed(void **state)
{
	struct fixture *x = *state;

	write_file(x->dir, "1.json", "{\n\n  \"accounts\": }");
	write_file(x->dir, "2.json", "[]");
	write_file(x->dir, "3.json", "{\"acounts\":{},\"routes\":[]}");
	assert_int_equal(load(x), -1);
	assert_true(has_fault(&x->f, "1.json: line 3"));
	assert_true(has_fault(&x->f, "2.json: must be an object"));
	assert_true(has_fault(&x->f, "3.json: unknown section"));
	assert_true(has_fault(&x->f, "3.json: routes must be an object"));
	assert_int_equal(x->f.n, 4);
}

static void empty_folders_are_refused(void **state)
{
	struct fixture *x = *state;

	assert_int_equal(load(x), -1);
	assert_true(has_fault(&x->f, "no *.json"));
	write_file(x->dir, "1.json", "{\"accounts\":{}}");
	assert_int_equal(load(x), -1);
	assert_true(has_fault(&x->f, "defines no object"));
	assert_int_equal(cg_folder_load("/nonexistent", 1, &x->c, &x->f), -1);
}

static void assert_key_refused(struct fixture *x, const char *account)
{
	char *text = g_strdup_printf("{\"accounts\":{\"x\":%s}}", account);

	write_file(x->dir, "2.json", text);
	g_free(text);
	assert_int_equal(load(x), -1);
	assert_true(x->f.n > 0);
	for (size_t i = 0; i < x->f.n; i++)
		assert_null(strstr(x->f.lines[i], "Q2VsZXJ5"));
	cg_faults_clear(&x->f);
}

static void plaintext_keys_are_refused_and_never_printed(void **state)
{
	struct fixture *x = *state;

	write_file(x->dir, "1.json", base);
	assert_key_refused(x, "{\"rate\":1,\"keys\":{\"k\":\"" SECRET "\"}}");
	assert_key_refused(x, "{\"rate\":1,\"keys\":{\"k\":\"sha256:" SECRET
			      "\"}}");
	assert_key_refused(x, "{\"rate\":1,\"keys\":{\"" SECRET "\":\"" DIGEST
			      "\"}}");
	assert_key_refused(x, "{\"rate\":1,\"keys\":{\"" SECRET "\":null}}");
	assert_key_refused(x, "{\"rate\":1,\"keys\":{\"" SECRET "\":true}}");
	assert_key_refused(x, "{\"rate\":1,\"keys\":\"" SECRET "\"}");
	assert_key_refused(x, "{\"rate\":1,\"keys\":[\"" SECRET "\"]}");
	assert_key_refused(x, "{\"rate\":1,\"" SECRET "\":1}");
	assert_key_refused(x, "{\"rate\":\"" SECRET "\"}");
	assert_key_refused(x, "{\"rate\":1,\"keys\":{\"k\":" SECRET "}}");
	assert_key_refused(x, "{\"rate\":1,\"keys\":{\"" SECRET
			      "\":\"x\",\"" SECRET "\":\"x\"}}");
	assert_key_refused(x, "\"" SECRET "\"");
}

static void duplicate_keys_and_servers_are_refused(void **state)
{
	struct fixture *x = *state;

	write_file(x->dir, "1.json", base);
	write_file(x->dir, "2.json",
		   "{\"accounts\":{\"z\":{\"rate\":1,\"keys\":{\"k\":\"" DIGEST
		   "\"}}},\"services\":{\"t\":{\"servers\":{\"s1\":"
		   "{\"address\":\"127.0.0.1:9\"}}}}}");
	assert_int_equal(load(x), -1);
	assert_true(has_fault(&x->f, "2.json: accounts/z/keys/k: this key's"));
	assert_true(has_fault(&x->f, "2.json: services/t/servers/s1: another"));
	assert_int_equal(x->f.n, 2);
}

static void routes_must_not_overlap(void **state)
{
	struct fixture *x = *state;

	write_file(x->dir, "1.json", base);
	write_file(x->dir, "2.json",
		   "{\"routes\":{\"q\":{\"path\":\"/r\",\"service\":\"s\","
		   "\"methods\":[\"POST\",\"GET\"]},"
		   "\"p\":{\"path\":\"/p\",\"service\":\"s\",\"open\":true,"
		   "\"accounts\":[\"a\",\"a\"]}}}");
	assert_int_equal(load(x), -1);
	assert_true(has_fault(&x->f, "routes/r: another route (see q)"));
	assert_true(has_fault(&x->f, "routes/p: an open route cannot"));
	assert_true(has_fault(&x->f, "routes/p: account a appears twice"));
	assert_int_equal(x->f.n, 3);
}

static void assert_path(struct fixture *x, const char *path, const char *fault)
{
	char *text =
		g_strdup_printf("{\"routes\":{\"r\":{\"path\":\"%s\"}}}", path);

	write_file(x->dir, "2.json", text);
	g_free(text);
	if (fault) {
		assert_int_equal(load(x), -1);
		assert_true(has_fault(&x->f, fault));
		cg_faults_clear(&x->f);
	} else {
		assert_int_equal(load(x), 0);
		cg_config_unref(x->c);
		x->c = NULL;
	}
}

static void route_paths_are_validated(void **state)
{
	struct fixture *x = *state;

	write_file(x->dir, "1.json", base);
	assert_path(x, "/", NULL);
	assert_path(x, "/a/b.c/d~e", NULL);
	assert_path(x, "/-x", NULL);
	assert_path(x, "", "must start");
	assert_path(x, "r", "must start");
	assert_path(x, "/r/", "empty segment");
	assert_path(x, "/a//b", "empty segment");
	assert_path(x, "/a/../b", "segment");
	assert_path(x, "/a/.", "segment");
	assert_path(x, "/a%20b", "not allowed");
	assert_path(x, "/a?b", "not allowed");
	assert_path(x, "/a b", "not allowed");
	assert_path(x, "/-", "/-/");
	assert_path(x, "/-/ready", "/-/");
}

struct expected {
	const char *folder;
	const char *services[3];
	size_t servers[3];
	uint32_t slots;
	uint32_t connections;
	const char *posts[4];
	const char *key;
};

static void check_example(struct fixture *x, const struct expected *e)
{
	uint8_t digest[CG_DIGEST_SIZE];
	int large = 0;

	assert_int_equal(cg_folder_load(e->folder, 1, &x->c, &x->f), 0);
	assert_no_faults(&x->f);
	for (int i = 0; i < 3; i++) {
		const struct cg_service *s =
			cg_config_find_service(x->c, e->services[i]);

		assert_non_null(s);
		assert_int_equal(s->server_count, e->servers[i]);
		assert_int_equal(s->servers[0].slots, e->slots);
		assert_int_equal(s->servers[0].connections, e->connections);
	}
	assert_null(cg_config_service_at(x->c, 3));
	assert_non_null(cg_config_account_at(x->c, 7));
	assert_null(cg_config_account_at(x->c, 8));
	for (size_t i = 0; i < 8; i++)
		large += cg_config_account_at(x->c, i)->rate_milli >= 200000;
	assert_in_range(large, 2, 4);
	cg_key_digest(e->key, digest);
	assert_non_null(cg_config_find_account_by_key(x->c, digest));
	for (int i = 0; e->posts[i]; i++) {
		bool refused;
		const struct cg_route *r = cg_config_find_route(
			x->c, CG_METHOD_POST, e->posts[i], &refused);

		assert_non_null(r);
		assert_false(r->idempotent);
		assert_false(r->open);
	}
	cg_config_unref(x->c);
	x->c = NULL;
}

/* Guards against documented examples that the tool rejects, or that allow a
 * retry of a request that moves money. */
static void examples_are_valid(void **state)
{
	static const struct expected booking = {
		"docs/examples/booking",
		{ "slots", "deposits", "profiles" },
		{ 10, 15, 15 },
		3,
		400,
		{ "/deposits", "/reservations", "/cancellations", NULL },
		"example-key-kiosk-2026-a",
	};
	static const struct expected rounds = {
		"docs/examples/rounds",
		{ "rounds", "payments", "records" },
		{ 5, 10, 10 },
		6,
		300,
		{ "/payments", "/reservations", "/cancellations", NULL },
		"example-key-agency-one-2026-b",
	};

	check_example(*state, &booking);
	check_example(*state, &rounds);
}

#define FOLDER_TEST(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		FOLDER_TEST(later_files_override_members),
		FOLDER_TEST(deleted_member_has_its_default),
		FOLDER_TEST(deleting_an_absent_member_is_a_fault),
		FOLDER_TEST(every_fault_names_its_file_and_path),
		FOLDER_TEST(faults_of_all_files_are_listed),
		FOLDER_TEST(empty_folders_are_refused),
		FOLDER_TEST(plaintext_keys_are_refused_and_never_printed),
		FOLDER_TEST(duplicate_keys_and_servers_are_refused),
		FOLDER_TEST(routes_must_not_overlap),
		FOLDER_TEST(route_paths_are_validated),
		FOLDER_TEST(examples_are_valid),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
