/* Guards against a sequential test that takes a burst of failures within one
 * tick as sufficient evidence, that singles out a server while the whole
 * service fails, or whose sum never falls. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "celeryglade/cusum.h"

static void failures_raise_and_successes_lower_the_sum(void **state)
{
	struct cg_cusum_test t;
	struct cg_cusum c = { 0 };

	assert_true(cg_cusum_test_init(&t, 0));
	cg_cusum_add(&c, &t, 2, 0, 100, 100);
	assert_true(c.sum > 5 && c.sum < 6);
	cg_cusum_add(&c, &t, 0, 3, 100, 100);
	assert_true(c.sum > 4 && c.sum < 5);
	cg_cusum_add(&c, &t, 0, 100, 100, 100);
	assert_true(c.sum == 0);
}

static void sum_is_bounded_and_decays(void **state)
{
	struct cg_cusum_test t;
	struct cg_cusum c = { 0 };

	assert_true(cg_cusum_test_init(&t, 0.01));
	cg_cusum_add(&c, &t, 1000, 0, 9, 20);
	assert_true(c.sum == 9);
	cg_cusum_add(&c, &t, 1000, 0, 9, 20);
	cg_cusum_add(&c, &t, 1000, 0, 9, 20);
	assert_true(c.sum == 20);
	cg_cusum_decay(&c, 1000, 1000);
	assert_true(c.sum > 9.99 && c.sum < 10.01);
}

static void failing_service_singles_out_no_server(void **state)
{
	struct cg_cusum_test t;

	assert_false(cg_cusum_test_init(&t, 0.5));
	assert_true(cg_cusum_test_init(&t, 0.3));
	/* The sum of a server that fails like the others falls on average. */
	for (double p = 0; p <= CG_CUSUM_P0_MAX; p += 0.01) {
		assert_true(cg_cusum_test_init(&t, p));
		assert_true(p * t.bad_weight + (1 - p) * t.good_weight < 0);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(failures_raise_and_successes_lower_the_sum),
		cmocka_unit_test(sum_is_bounded_and_decays),
		cmocka_unit_test(failing_service_singles_out_no_server),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
