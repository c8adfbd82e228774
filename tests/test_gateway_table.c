/* Guards against requests that get the wrong route, API keys that are mapped to
 * the wrong account, traffic that is not split by the weights of a route's
 * services, and a table that is freed while it is still referenced. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>

#include "gateway/table.h"

static void longest_prefix_wins(void **state)
{
	struct cgw_table *t = cgw_table_new(3);

	(void)state;
	cgw_table_add_route(t, "root", "a.example", "/");
	cgw_table_add_route(t, "one", "a.example", "/x/");
	cgw_table_add_route(t, "two", "a.example", "/x/y/");
	assert_string_equal(
		cgw_table_find_route(t, "a.example", "/x/y/z")->name, "two");
	assert_string_equal(cgw_table_find_route(t, "a.example", "/x/y")->name,
			    "one");
	assert_string_equal(cgw_table_find_route(t, "a.example", "/x/y/")->name,
			    "two");
	assert_string_equal(cgw_table_find_route(t, "a.example", "/xy/z")->name,
			    "root");
	assert_null(cgw_table_find_route(t, "b.example", "/x/y/"));
	assert_int_equal(cgw_table_version(t), 3);
	cgw_table_unref(t);
}

static void host_match_ignores_case_and_port(void **state)
{
	struct cgw_table *t = cgw_table_new(1);

	(void)state;
	cgw_table_add_route(t, "one", "a.example", "/x/");
	assert_non_null(cgw_table_find_route(t, "A.Example:8080", "/x/1"));
	assert_null(cgw_table_find_route(t, "a.example", "/y/1"));
	assert_null(cgw_table_find_route(t, "", "/x/1"));
	assert_null(cgw_table_find_route(t, "a.example", ""));
	cgw_table_unref(t);
}

/* Admission depends on it: docs/design/admission.md. */
static void table_with_a_bulk_route_is_recognized(void **state)
{
	struct cgw_table *t = cgw_table_new(1);

	(void)state;
	assert_false(cgw_table_has_bulk_route(t));
	cgw_table_add_route(t, "one", "a.example", "/x/");
	assert_false(cgw_table_has_bulk_route(t));
	cgw_table_add_route(t, "two", "a.example", "/y/")->bulk = true;
	assert_true(cgw_table_has_bulk_route(t));
	cgw_table_unref(t);
}

static void api_key_finds_its_account(void **state)
{
	struct cgw_table *t = cgw_table_new(1);
	struct cgw_account *a;

	(void)state;
	assert_false(cgw_table_has_accounts(t));
	a = cgw_table_add_account(t, "acc");
	cgw_table_add_key(t, a, "secret1");
	cgw_table_add_key(t, a, "secret2");
	assert_ptr_equal(cgw_table_find_account_by_key(t, "secret2"), a);
	assert_null(cgw_table_find_account_by_key(t, "secret3"));
	assert_null(cgw_table_find_account_by_key(t, ""));
	assert_ptr_equal(cgw_table_find_account(t, "acc"), a);
	cgw_table_unref(t);
}

static void requests_are_split_by_weight(void **state)
{
	struct cgw_table *t = cgw_table_new(1);
	struct cgw_route *r = cgw_table_add_route(t, "r", "h", "/");
	unsigned int hits = 0;

	(void)state;
	cgw_route_add_target(r, "none", 0);
	cgw_route_add_target(r, "a", 90);
	cgw_route_add_target(r, "b", 10);
	for (uint32_t i = 0; i < 1000; i++) {
		const char *s = cgw_route_pick_service(r, i * 4294967u);

		assert_string_not_equal(s, "none");
		hits += *s == 'b';
	}
	assert_in_range(hits, 98, 102);
	cgw_table_unref(t);
}

static void table_lives_until_last_reference_is_dropped(void **state)
{
	struct cgw_table *t = cgw_table_new(1);

	(void)state;
	cgw_table_ref(t);
	cgw_table_unref(t);
	assert_int_equal(cgw_table_route_count(t), 0);
	cgw_table_unref(t);
	cgw_table_unref(NULL);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(longest_prefix_wins),
		cmocka_unit_test(host_match_ignores_case_and_port),
		cmocka_unit_test(table_with_a_bulk_route_is_recognized),
		cmocka_unit_test(api_key_finds_its_account),
		cmocka_unit_test(requests_are_split_by_weight),
		cmocka_unit_test(table_lives_until_last_reference_is_dropped),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
