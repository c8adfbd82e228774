/* Guards against a division of an account's rate that starves a small holder,
 * leaves refill rights unused or grants more than the account has. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "celeryglade/rate_policy.h"

static void level_is_max_min_fair(void **state)
{
	int64_t d[] = { 10, 20, 300, 400 };
	int64_t same[] = { 50, 50, 50 };

	assert_int_equal(cg_rate_policy_max_min_level(d, 4, 1000), INT64_MAX);
	assert_int_equal(cg_rate_policy_max_min_level(d, 4, 230), 100);
	assert_int_equal(cg_rate_policy_max_min_level(d, 4, 630), 300);
	assert_int_equal(cg_rate_policy_max_min_level(d, 4, 20), 5);
	assert_int_equal(cg_rate_policy_max_min_level(same, 3, 90), 30);
	assert_int_equal(cg_rate_policy_max_min_level(d, 4, 0), 0);
	assert_int_equal(cg_rate_policy_max_min_level(d, 0, 10), INT64_MAX);
}

static void targets_never_exceed_the_rate(void **state)
{
	uint32_t seed = 3;

	for (int round = 0; round < 3000; round++) {
		int64_t demand[48], right = 0, cap = 0;
		struct cg_rate_demands d = { .demand = demand, .n = 48 };

		seed = seed * 1664525 + 1013904223;
		d.rate = 1000 + (seed >> 4) % 1000000;
		d.burst = 1000 + (seed >> 9) % 2000000;
		for (size_t i = 0; i < d.n; i++) {
			seed = seed * 1664525 + 1013904223;
			demand[i] = (seed >> 8) % (seed >> 30 ? 3000 : 900000);
		}
		for (size_t i = 0; i < d.n; i++) {
			struct cg_rate_share t;

			cg_rate_policy_target(&d, demand[i], seed & 1, &t);
			assert_true(!t.refill_right ||
				    t.capacity >= CG_RATE_REQUEST_COST);
			right += t.refill_right;
			cap += t.capacity;
		}
		assert_true(right <= d.rate - d.rate / 8);
		assert_true(cap <= d.burst - d.burst / 8);
	}
}

static void small_holder_keeps_its_demand_beside_a_large_one(void **state)
{
	int64_t demand[] = { 5000, 1000000 };
	struct cg_rate_demands d = {
		.rate = 80000, .burst = 80000, .demand = demand, .n = 2
	};
	struct cg_rate_share small, large;

	cg_rate_policy_target(&d, demand[0], false, &small);
	cg_rate_policy_target(&d, demand[1], false, &large);
	assert_int_equal(small.refill_right, 5000);
	assert_int_equal(large.refill_right, 65000);
}

/* After subtracting the standard deviation of each demand, the rate is shared
 * in proportion to demand, up to twice the demand. The rest stays in the
 * pool. */
static void spare_right_is_shared_by_demand(void **state)
{
	int64_t demand[] = { 100000, 200000 };
	struct cg_rate_demands d = {
		.rate = 480000, .burst = 480000, .demand = demand, .n = 2
	};
	struct cg_rate_share a, b;

	cg_rate_policy_target(&d, demand[0], false, &a);
	cg_rate_policy_target(&d, demand[1], false, &b);
	assert_int_equal(a.refill_right, (420000 - 10000 - 14142) / 3);
	assert_in_range(b.refill_right, 2 * a.refill_right,
			2 * a.refill_right + 1);
	assert_int_equal(a.capacity, a.refill_right / 8 + 2 * 10000);
	d.rate = 4800000;
	cg_rate_policy_target(&d, demand[0], false, &a);
	assert_int_equal(a.refill_right, 200000);
}

/* A small bucket overflows by random variation, so its refill right is below
 * its demand. */
static void small_bucket_gets_less_than_its_demand(void **state)
{
	int64_t demand[] = { 4000, 4000 };
	struct cg_rate_demands d = {
		.rate = 80000, .burst = 16000, .demand = demand, .n = 2
	};
	struct cg_rate_share t;

	cg_rate_policy_target(&d, demand[0], false, &t);
	assert_int_equal(t.refill_right, 2000);
	assert_in_range(t.capacity, CG_RATE_REQUEST_COST,
			CG_RATE_SMALL_CAPACITY);
}

/* A capacity below one request would never admit any. */
static void capacity_below_one_request_is_not_granted(void **state)
{
	int64_t demand[20];
	struct cg_rate_demands d = {
		.rate = 100000, .burst = 10000, .demand = demand, .n = 20
	};
	struct cg_rate_share t;

	for (int i = 0; i < 20; i++)
		demand[i] = 2000;
	cg_rate_policy_target(&d, demand[0], false, &t);
	assert_int_equal(t.refill_right, 0);
	assert_int_equal(t.capacity, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(level_is_max_min_fair),
		cmocka_unit_test(targets_never_exceed_the_rate),
		cmocka_unit_test(
			small_holder_keeps_its_demand_beside_a_large_one),
		cmocka_unit_test(spare_right_is_shared_by_demand),
		cmocka_unit_test(small_bucket_gets_less_than_its_demand),
		cmocka_unit_test(capacity_below_one_request_is_not_granted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
