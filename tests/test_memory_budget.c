/* Guards against a process that runs out of memory because callers' bodies
 * together exceed it, against large or stalled bodies that keep others from
 * being served, and against room that is lost when bodies end. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "celeryglade/memory_budget.h"

#define MIB	       ((int64_t)1024 * 1024)
#define CONNECTION     ((int64_t)64 * 1024)
#define NORMAL_CALLERS 540
#define ITEMS	       600
#define STEPS	       200000

struct body {
	struct cg_memory_item item;
	unsigned int evictions;
};

static void evict(struct cg_memory_item *i)
{
	struct body *b = caa_container_of(i, struct body, item);

	b->evictions++;
	cg_memory_release(i);
}

static bool reserve(struct cg_memory_budget *m, struct body *b, int64_t bytes,
		    cg_ms now)
{
	b->item.evict = evict;
	return cg_memory_reserve(m, &b->item, bytes, now);
}

static void largest_body_fits_beside_normal_callers(void **state)
{
	struct cg_memory_budget m;
	struct body large = { 0 };

	(void)state;
	cg_memory_init(&m, CG_MEMORY_MAX_MB_DEFAULT);
	for (int i = 0; i < NORMAL_CALLERS; i++)
		assert_true(cg_memory_connect(&m, CONNECTION, 0));
	assert_true(reserve(&m, &large, 64 * MIB, 0));
	cg_memory_release(&large.item);
	assert_int_equal(m.used, 0);
}

static void bodies_that_progress_are_kept(void **state)
{
	struct cg_memory_budget m;
	struct body b[3] = { 0 };

	(void)state;
	cg_memory_init(&m, 160);
	assert_true(reserve(&m, &b[0], 40 * MIB, 0));
	assert_true(reserve(&m, &b[1], 40 * MIB, 0));
	cg_memory_progress(&b[0].item, CG_MEMORY_PROGRESS_BYTES, 1500);
	cg_memory_progress(&b[1].item, CG_MEMORY_PROGRESS_BYTES, 1500);
	assert_false(reserve(&m, &b[2], 40 * MIB, 2000));
	assert_int_equal(m.refused, 1);
	assert_int_equal(b[0].evictions + b[1].evictions, 0);
	assert_null(b[2].item.budget);
}

static void longest_stalled_body_is_evicted_first(void **state)
{
	struct cg_memory_budget m;
	struct body b[3] = { 0 };

	(void)state;
	cg_memory_init(&m, 160);
	assert_true(reserve(&m, &b[0], 40 * MIB, 0));
	assert_true(reserve(&m, &b[1], 40 * MIB, 10));
	cg_memory_progress(&b[0].item, CG_MEMORY_PROGRESS_BYTES, 500);
	assert_true(reserve(&m, &b[2], 40 * MIB, 2000));
	assert_int_equal(b[0].evictions, 0);
	assert_int_equal(b[1].evictions, 1);
}

static void single_bytes_are_no_progress(void **state)
{
	struct cg_memory_budget m;
	struct body b[3] = { 0 };

	(void)state;
	cg_memory_init(&m, 160);
	assert_true(reserve(&m, &b[0], 40 * MIB, 0));
	assert_true(reserve(&m, &b[1], 40 * MIB, 0));
	for (cg_ms t = 0; t < 2000; t += 100)
		cg_memory_progress(&b[0].item, 1, t);
	cg_memory_progress(&b[1].item, MIB, 1900);
	assert_true(reserve(&m, &b[2], 40 * MIB, 2000));
	assert_int_equal(b[0].evictions, 1);
	assert_int_equal(b[1].evictions, 0);
}

static void nothing_is_evicted_in_vain(void **state)
{
	struct cg_memory_budget m;
	struct body b[3] = { 0 };

	(void)state;
	cg_memory_init(&m, 160);
	assert_true(reserve(&m, &b[0], 70 * MIB, 0));
	assert_true(reserve(&m, &b[1], 5 * MIB, 0));
	cg_memory_progress(&b[0].item, MIB, 5000);
	assert_false(reserve(&m, &b[2], 40 * MIB, 5000));
	assert_int_equal(b[1].evictions, 0);
}

static void pinned_items_are_kept(void **state)
{
	struct cg_memory_budget m;
	struct body b[2] = { 0 };

	(void)state;
	cg_memory_init(&m, 160);
	assert_true(reserve(&m, &b[0], 70 * MIB, 0));
	b[0].item.evict = NULL;
	assert_false(reserve(&m, &b[1], 40 * MIB, 60000));
	assert_int_equal(b[0].item.bytes, 70 * MIB);
}

static void small_requests_fit_beside_large_ones(void **state)
{
	struct cg_memory_budget m;
	static struct body large[64], small[100];
	unsigned int n = 0;

	(void)state;
	cg_memory_init(&m, 160);
	while (n < 64 && reserve(&m, &large[n], 4 * MIB, 0))
		n++;
	assert_true(n > 10 && n < 64);
	for (int i = 0; i < 100; i++) {
		assert_true(cg_memory_connect(&m, CONNECTION, 0));
		assert_true(reserve(&m, &small[i], CG_MEMORY_SMALL_BYTES, 0));
	}
}

static void connections_evict_stalled_bodies(void **state)
{
	struct cg_memory_budget m;
	struct body large = { 0 };
	unsigned int n = 0;

	(void)state;
	cg_memory_init(&m, 160);
	assert_true(reserve(&m, &large, 80 * MIB, 0));
	while (cg_memory_connect(&m, CONNECTION, 500))
		n++;
	assert_true(n > NORMAL_CALLERS);
	cg_memory_disconnect(&m, CONNECTION);
	assert_int_equal(large.evictions, 0);
	assert_true(cg_memory_connect(&m, CONNECTION, 2000));
	assert_int_equal(large.evictions, 1);
}

/* A part remains for bodies, however many callers connect. */
static void connections_leave_room_for_bodies(void **state)
{
	struct cg_memory_budget m;
	struct body b = { 0 };
	unsigned int n = 0;

	(void)state;
	cg_memory_init(&m, 160);
	while (cg_memory_connect(&m, CONNECTION, 0))
		n++;
	assert_true(n > NORMAL_CALLERS);
	assert_true(reserve(&m, &b, 16 * MIB, 0));
}

/* Random callers never exceed the budget, and nothing stays counted. */
static void sum_stays_within_the_budget(void **state)
{
	static struct body b[ITEMS];
	struct cg_memory_budget m;
	unsigned int connections = 0;

	(void)state;
	srandom(20261206);
	memset(b, 0, sizeof(b));
	cg_memory_init(&m, 160);
	for (int i = 0; i < STEPS; i++) {
		struct body *x = &b[random() % ITEMS];
		cg_ms now = i;

		switch (random() % 5) {
		case 0:
			reserve(&m, x, random() % (8 * MIB), now);
			break;
		case 1:
			cg_memory_progress(&x->item, random() % 9000, now);
			break;
		case 2:
			cg_memory_release(&x->item);
			break;
		case 3:
			if (cg_memory_connect(&m, CONNECTION, now))
				connections++;
			else
				cg_memory_disconnect(&m, CONNECTION);
			break;
		case 4:
			if (connections && random() % 4 == 0) {
				cg_memory_disconnect(&m, CONNECTION);
				connections--;
			}
			break;
		}
		assert_true(cg_memory_used(&m) <= m.total);
		assert_true(m.used >= 0);
	}
	for (int i = 0; i < ITEMS; i++)
		cg_memory_release(&b[i].item);
	assert_int_equal(m.used, 0);
	assert_true(cds_list_empty(&m.items));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(largest_body_fits_beside_normal_callers),
		cmocka_unit_test(bodies_that_progress_are_kept),
		cmocka_unit_test(longest_stalled_body_is_evicted_first),
		cmocka_unit_test(single_bytes_are_no_progress),
		cmocka_unit_test(nothing_is_evicted_in_vain),
		cmocka_unit_test(pinned_items_are_kept),
		cmocka_unit_test(small_requests_fit_beside_large_ones),
		cmocka_unit_test(connections_evict_stalled_bodies),
		cmocka_unit_test(connections_leave_room_for_bodies),
		cmocka_unit_test(sum_stays_within_the_budget),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
