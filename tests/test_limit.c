/* Guards against a daemon that does not lower its limit although other daemons
 * use the same slots, and a limit that falls to the minimum because of one
 * burst of load-shed responses. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "celeryglade/limit.h"

static void limit_starts_at_slots_and_stays_in_range(void **state)
{
	struct cg_concurrency_limit l;

	cg_concurrency_limit_init(&l, 6);
	assert_int_equal(cg_concurrency_limit_get(&l, 6), 6);
	cg_concurrency_limit_init(&l, 0);
	assert_int_equal(cg_concurrency_limit_get(&l, 0), 1);
	/* A new configuration reduces the slots. */
	cg_concurrency_limit_init(&l, 6);
	assert_int_equal(cg_concurrency_limit_get(&l, 2), 2);
	for (int i = 0; i < 100; i++)
		cg_concurrency_limit_record_response(&l, 6);
	assert_int_equal(cg_concurrency_limit_get(&l, 6), 6);
}

static void burst_of_sheds_halves_the_limit_once(void **state)
{
	struct cg_concurrency_limit l;

	cg_concurrency_limit_init(&l, 8);
	for (int i = 0; i < 8; i++)
		cg_concurrency_limit_record_shed(&l, 1000, 1050 + i);
	assert_int_equal(cg_concurrency_limit_get(&l, 8), 4);
	cg_concurrency_limit_record_shed(&l, 1060, 1070);
	assert_int_equal(cg_concurrency_limit_get(&l, 8), 2);
	for (int i = 0; i < 10; i++)
		cg_concurrency_limit_record_shed(&l, 2000 + i * 10,
						 2000 + i * 10);
	assert_int_equal(cg_concurrency_limit_get(&l, 8), 1);
}

static void full_limit_of_responses_raises_it_by_one(void **state)
{
	struct cg_concurrency_limit l;

	cg_concurrency_limit_init(&l, 8);
	cg_concurrency_limit_record_shed(&l, 0, 1);
	for (int i = 0; i < 4; i++)
		cg_concurrency_limit_record_response(&l, 8);
	assert_true(l.value > 4.8 && l.value < 5.2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(limit_starts_at_slots_and_stays_in_range),
		cmocka_unit_test(burst_of_sheds_halves_the_limit_once),
		cmocka_unit_test(full_limit_of_responses_raises_it_by_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
