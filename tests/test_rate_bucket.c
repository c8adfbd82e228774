/* Guards against tokens, refill rights or capacity that were never granted:
 * through rounding, a clock that steps back, long idle times, or splitting and
 * joining buckets. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "celeryglade/rate_bucket.h"

static struct cg_rate_bucket make(int64_t right, int64_t cap, int64_t tokens)
{
	struct cg_rate_bucket b;

	cg_rate_bucket_init(&b, 0);
	b.share = (struct cg_rate_share){ right, cap, tokens };
	return b;
}

static void refill_never_rounds_up(void **state)
{
	struct cg_rate_bucket b = make(7, 1000, 0);

	/* 7 milli-tokens per second, read every 10 ms. */
	for (cg_ms t = 10; t <= 142850; t += 10)
		assert_false(cg_rate_bucket_take(&b, t, CG_RATE_REQUEST_COST));
	assert_int_equal(b.share.tokens, 999);
	assert_true(cg_rate_bucket_take(&b, 142860, CG_RATE_REQUEST_COST));
	assert_int_equal(b.share.tokens, 0);
}

static void long_idle_time_fills_to_the_capacity(void **state)
{
	struct cg_rate_bucket b = make(INT64_C(1) << 40, 5000, 0);

	cg_rate_bucket_refill(&b, INT64_MAX / 2);
	assert_int_equal(b.share.tokens, 5000);
	assert_int_equal(b.remainder, 0);
	b = make(0, 5000, 10);
	cg_rate_bucket_refill(&b, INT64_MAX - 1);
	assert_int_equal(b.share.tokens, 10);
}

static void clock_step_back_refills_nothing_twice(void **state)
{
	struct cg_rate_bucket b = make(1000, 100000, 0);

	cg_rate_bucket_refill(&b, 1000);
	cg_rate_bucket_refill(&b, 0);
	cg_rate_bucket_refill(&b, 1000);
	assert_int_equal(b.share.tokens, 1000);
	cg_rate_bucket_refill(&b, 2000);
	assert_int_equal(b.share.tokens, 2000);
}

static void splitting_and_joining_never_raises_the_sums(void **state)
{
	struct cg_rate_bucket b[8];
	uint32_t seed = 7;
	cg_ms now = 0;

	for (int i = 0; i < 8; i++)
		b[i] = make(i ? 0 : 10007, i ? 0 : 30011, i ? 0 : 30011);
	for (int step = 0; step < 200000; step++) {
		struct cg_rate_share amount, got;
		int64_t right = 0, cap = 0, tokens = 0;
		int from, to;

		seed = seed * 1664525 + 1013904223;
		from = (int)(seed >> 29);
		to = (int)(seed >> 26 & 7);
		amount.refill_right = seed >> 8 & 0xfff;
		amount.capacity = seed >> 4 & 0x1fff;
		amount.tokens = seed >> 12 & 0x3ff;
		cg_rate_bucket_split(&b[from], now, &amount, &got);
		cg_rate_bucket_join(&b[to], now, &got);
		for (int i = 0; i < 8; i++) {
			right += b[i].share.refill_right;
			cap += b[i].share.capacity;
			tokens += b[i].share.tokens;
			assert_in_range(b[i].share.tokens, 0,
					b[i].share.capacity);
		}
		assert_int_equal(right, 10007);
		assert_int_equal(cap, 30011);
		assert_true(tokens <= 30011);
		now += step % 3;
	}
}

static void fraction_rounds_down_without_overflow(void **state)
{
	assert_int_equal(cg_rate_fraction(10, 1, 3), 3);
	assert_int_equal(cg_rate_fraction(INT64_MAX, INT64_MAX - 1, INT64_MAX),
			 INT64_MAX - 1);
	assert_int_equal(cg_rate_fraction(5, 9, 3), 5);
	assert_int_equal(cg_rate_fraction(5, 0, 0), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(refill_never_rounds_up),
		cmocka_unit_test(long_idle_time_fills_to_the_capacity),
		cmocka_unit_test(clock_step_back_refills_nothing_twice),
		cmocka_unit_test(splitting_and_joining_never_raises_the_sums),
		cmocka_unit_test(fraction_rounds_down_without_overflow),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
