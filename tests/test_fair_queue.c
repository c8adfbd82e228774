/* Guards against a client account whose many or slow requests starve other
 * accounts, and against items that are lost or returned twice. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdlib.h>

#include "celeryglade/fair_queue.h"

static void push_many(struct cg_fair_queue *q, const char *account,
		      struct cg_fair_item *items, int n)
{
	for (int i = 0; i < n; i++)
		assert_int_equal(cg_fair_queue_push(q, account, &items[i]), 0);
}

static void drain(struct cg_fair_queue *q)
{
	while (cg_fair_queue_pop(q))
		;
	cg_fair_queue_free(q);
}

static void small_account_does_not_wait_behind_a_large_one(void **state)
{
	struct cg_fair_queue *q = cg_fair_queue_new(1000, 1000);
	static struct cg_fair_item large[500], small[1];
	int position = 0;

	push_many(q, "large", large, 500);
	push_many(q, "small", small, 1);
	while (cg_fair_queue_pop(q) != &small[0])
		position++;
	assert_in_range(position, 0, 4);
	drain(q);
}

/* Runs one request at a time; those of the slow account take ten times
 * longer. */
static void slow_requests_are_charged_their_server_time(void **state)
{
	struct cg_fair_queue *q = cg_fair_queue_new(3000, 3000);
	static struct cg_fair_item slow[1000], fast[1000];
	int64_t used_slow = 0, used_fast = 0;

	push_many(q, "slow", slow, 1000);
	push_many(q, "fast", fast, 1000);
	for (int i = 0; i < 600; i++) {
		struct cg_fair_item *it = cg_fair_queue_pop(q);

		if (it >= slow && it < slow + 1000) {
			used_slow += 50;
			cg_fair_queue_charge(q, "slow", 50);
		} else {
			used_fast += 5;
			cg_fair_queue_charge(q, "fast", 5);
		}
	}
	/* Both accounts get the same server time, within 20 %. */
	assert_in_range(used_slow * 10, used_fast * 8, used_fast * 12);
	drain(q);
}

static void refused_push_has_no_side_effects(void **state)
{
	struct cg_fair_queue *q = cg_fair_queue_new(3, 2);
	struct cg_fair_item it[4] = { 0 };

	assert_int_equal(cg_fair_queue_push(q, "a", &it[0]), 0);
	assert_int_equal(cg_fair_queue_push(q, "a", &it[1]), 0);
	assert_int_equal(cg_fair_queue_push(q, "a", &it[2]), -1);
	assert_int_equal(cg_fair_queue_push(q, "b", &it[2]), 0);
	assert_int_equal(cg_fair_queue_push(q, "c", &it[3]), -1);
	assert_int_equal(cg_fair_queue_length(q), 3);
	assert_true(cg_fair_queue_remove(q, &it[1]));
	assert_false(cg_fair_queue_remove(q, &it[1]));
	assert_int_equal(cg_fair_queue_push(q, "c", &it[3]), 0);
	drain(q);
}

static void put_back_item_is_next_of_its_account(void **state)
{
	struct cg_fair_queue *q = cg_fair_queue_new(10, 10);
	struct cg_fair_item it[3] = { 0 };
	struct cg_fair_item *first;

	push_many(q, "a", it, 3);
	first = cg_fair_queue_pop(q);
	assert_ptr_equal(first, &it[0]);
	cg_fair_queue_put_back(q, "a", first);
	assert_ptr_equal(cg_fair_queue_pop(q), &it[0]);
	assert_ptr_equal(cg_fair_queue_pop(q), &it[1]);
	drain(q);
}

/* Random operations, compared with a count. */
static void every_item_is_removed_exactly_once(void **state)
{
	static struct cg_fair_item items[2000];
	struct cg_fair_queue *q = cg_fair_queue_new(2000, 2000);
	char name[4] = "a0";
	unsigned int seed = 42;
	int pushed = 0, removed = 0;

	for (int i = 0; i < 2000; i++) {
		name[1] = (char)('0' + rand_r(&seed) % 8);
		assert_int_equal(cg_fair_queue_push(q, name, &items[i]), 0);
		pushed++;
		if (rand_r(&seed) % 3 == 0 && cg_fair_queue_pop(q))
			removed++;
		if (rand_r(&seed) % 5 == 0 &&
		    cg_fair_queue_remove(
			    q, &items[rand_r(&seed) % (unsigned int)(i + 1)]))
			removed++;
	}
	assert_int_equal(cg_fair_queue_length(q), pushed - removed);
	while (cg_fair_queue_pop(q))
		removed++;
	assert_int_equal(removed, pushed);
	cg_fair_queue_free(q);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			small_account_does_not_wait_behind_a_large_one),
		cmocka_unit_test(slow_requests_are_charged_their_server_time),
		cmocka_unit_test(refused_push_has_no_side_effects),
		cmocka_unit_test(put_back_item_is_next_of_its_account),
		cmocka_unit_test(every_item_is_removed_exactly_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
