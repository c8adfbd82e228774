/* Guards against evidence that is altered between a daemon and the coordinator:
 * lost counts in a digest, latency buckets that overlap, and daemons that saw a
 * server work counted as daemons that saw it fail. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include "celeryglade/evidence.h"

static void latency_buckets_are_in_order(void **state)
{
	unsigned int last = 0;

	for (cg_ms ms = 0; ms < 70000; ms++) {
		unsigned int b = cg_latency_bucket(ms);

		assert_true(b >= last && b < CG_LATENCY_BUCKETS);
		last = b;
		if (ms > 0 && b + 1 < CG_LATENCY_BUCKETS) {
			assert_true(cg_latency_bucket_lower_bound(b) <= ms);
			assert_true(cg_latency_bucket_lower_bound(b + 1) >= ms);
		}
	}
	assert_int_equal(last, CG_LATENCY_BUCKETS - 1);
	assert_int_equal(cg_latency_bucket(CG_MS_NEVER),
			 CG_LATENCY_BUCKETS - 1);
}

static void packed_sample_keeps_every_count(void **state)
{
	struct cg_sample a = { .failed = 700, .shed = 3 }, b;
	uint8_t buf[512];
	size_t n;

	a.answered[0] = 1;
	a.answered[63] = 256;
	n = cg_sample_pack(&a, buf, sizeof(buf));
	assert_int_equal(cg_sample_unpack(&b, buf, n), 0);
	assert_memory_equal(&a, &b, sizeof(a));
	/* Failures are packed first, so that a full buffer omits the answered
	 * requests. */
	n = cg_sample_pack(&a, buf, 6);
	assert_int_equal(cg_sample_unpack(&b, buf, n), 0);
	assert_int_equal(b.failed, 700);
}

static void encoded_entries_decode_in_order(void **state)
{
	struct cg_sample a = { .failed = 2 }, b = { .shed = 1 }, c = { 0 };
	uint8_t buf[2 * CG_COUNTS_ENTRY_MAX];
	uint32_t id;
	size_t n, at = 0;

	n = cg_counts_encode(0xdeadbeef, &a, buf);
	assert_int_equal(cg_counts_encode(1, &c, buf + n), 0);
	n += cg_counts_encode(7, &b, buf + n);
	assert_int_equal(cg_counts_decode(buf, n, &at, &id, &c), 0);
	assert_int_equal(id, 0xdeadbeef);
	assert_memory_equal(&a, &c, sizeof(a));
	assert_int_equal(cg_counts_decode(buf, n, &at, &id, &c), 0);
	assert_int_equal(id, 7);
	assert_memory_equal(&b, &c, sizeof(b));
	assert_int_equal(cg_counts_decode(buf, n, &at, &id, &c), 1);
	/* Each truncated input is malformed or ends between two entries. */
	for (size_t cut = 1; cut < n; cut++) {
		int rc = 0;

		for (at = 0; !rc;)
			rc = cg_counts_decode(buf, cut, &at, &id, &c);
		assert_int_equal(rc, cut == n / 2 ? 1 : -1);
	}
}

static void malformed_samples_are_rejected(void **state)
{
	struct cg_sample s;

	assert_int_equal(cg_sample_unpack(&s, (uint8_t[]){ 1 }, 1), -1);
	assert_int_equal(cg_sample_unpack(&s, (uint8_t[]){ 66, 1 }, 2), -1);
	assert_int_equal(cg_sample_unpack(&s, (uint8_t[]){ 255, 1 }, 2), -1);
}

static void quantile_and_slow_count_agree(void **state)
{
	struct cg_histogram h = { 0 };
	struct cg_sample s = { 0 };
	cg_ms p95;

	for (cg_ms ms = 100; ms < 200; ms++)
		s.answered[cg_latency_bucket(ms)]++;
	cg_histogram_add(&h, &s);
	p95 = cg_histogram_quantile(&h, 0.95);
	assert_in_range(p95, 185, 205);
	assert_true(cg_sample_count_slow(&s, p95) > 2 &&
		    cg_sample_count_slow(&s, p95) < 8);
	assert_true(cg_sample_count_slow(&s, 300) == 0);
	assert_true(cg_sample_count_slow(&s, 90) == 100);
}

static void only_daemons_that_see_failures_are_counted(void **state)
{
	struct cg_observers o = { .n = 0 };
	unsigned int daemons, domains;

	cg_observers_add(&o, 1, 1, 5, 0, 10);
	cg_observers_add(&o, 2, 1, 5, 0, 10);
	cg_observers_add(&o, 3, 2, 1, 50, 10); /* Background failure. */
	cg_observers_add(&o, 4, 2, 0, 50, 10);
	cg_observers_count(&o, 0.15, &daemons, &domains);
	assert_int_equal(daemons, 2);
	assert_int_equal(domains, 1);
	cg_observers_add(&o, 5, 2, 2, 1, 20);
	cg_observers_count(&o, 0.15, &daemons, &domains);
	assert_int_equal(daemons, 3);
	assert_int_equal(domains, 2);
	cg_observers_expire(&o, 15);
	cg_observers_count(&o, 0.15, &daemons, &domains);
	assert_int_equal(daemons, 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(latency_buckets_are_in_order),
		cmocka_unit_test(packed_sample_keeps_every_count),
		cmocka_unit_test(encoded_entries_decode_in_order),
		cmocka_unit_test(malformed_samples_are_rejected),
		cmocka_unit_test(quantile_and_slow_count_agree),
		cmocka_unit_test(only_daemons_that_see_failures_are_counted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
