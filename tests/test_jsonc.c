/* Guards against faults in settings that an operator does not see: only the
 * first fault is reported, one of two members with the same name is silently
 * dropped, or text after the document is ignored. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include "internal/jsonc.h"

/* 33 levels of nesting, one more than the parser allows. */
#define NESTED_8  "[[[[[[[["
#define NESTED_33 NESTED_8 NESTED_8 NESTED_8 NESTED_8 "["

static int parse(const char *text, struct cg_faults *f)
{
	struct json_object *o = NULL;
	int rc = cg_json_parse(text, strlen(text), "t.json", &o, f);

	if (!rc)
		json_object_put(o);
	return rc;
}

static void comments_are_accepted(void **state)
{
	struct cg_faults f = { 0 };

	assert_int_equal(parse("/* a */ { // b \"x\": {\n \"x\": 1 }\n", &f),
			 0);
	assert_int_equal(f.n, 0);
}

static void malformed_documents_are_rejected(void **state)
{
	static const char *const bad[] = {
		"",
		"{",
		"{\"a\": }",
		"{} {}",
		"{\"a\": 1, \"a\": 2}",
		"{\"a\": {\"b\": 1, \"b\": 2}}",
		"{\"a\": 1, \"\\u0061\": 2}",
		"{\"a\" /* x */ : 1, \"a\": 2}",
		NESTED_33 "1",
	};

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		struct cg_faults f = { 0 };

		assert_int_equal(parse(bad[i], &f), -1);
		assert_true(f.n > 0);
		assert_non_null(strstr(f.lines[0], "t.json: line"));
		cg_faults_clear(&f);
	}
}

static void equal_names_in_different_objects_are_accepted(void **state)
{
	struct cg_faults f = { 0 };

	assert_int_equal(parse("{\"a\": {\"n\": 1}, \"b\": [{\"n\": 1}, "
			       "{\"n\": \"n\"}]}",
			       &f),
			 0);
}

static void typed_access_reports_every_fault(void **state)
{
	static const char *const known[] = { "n", "s", NULL };
	struct json_object *o =
		json_tokener_parse("{\"n\": 70000, \"s\": 1, \"other\": true}");
	struct cg_faults f = { 0 };
	const char *s;
	int64_t n;

	assert_int_equal(cg_json_get_int(o, "n", "p", 1, 65535, &n, &f), -1);
	assert_int_equal(cg_json_get_string(o, "s", "p", &s, &f), -1);
	assert_int_equal(cg_json_get_string(o, "absent", "p", &s, &f), 1);
	cg_json_refuse_unknown(o, "p", known, &f);
	assert_int_equal(f.n, 3);
	cg_faults_clear(&f);
	json_object_put(o);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(comments_are_accepted),
		cmocka_unit_test(malformed_documents_are_rejected),
		cmocka_unit_test(equal_names_in_different_objects_are_accepted),
		cmocka_unit_test(typed_access_reports_every_fault),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
