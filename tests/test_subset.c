/* Guards against more connections to a server than it accepts, and against
 * subsets that change more than necessary when a server is removed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "celeryglade/subset.h"

#define DAEMONS 470
#define SERVERS 50

static void subset_size_for_known_fleet_sizes(void **state)
{
	/* With two connections each, 48 daemons are far below 300 and 400. */
	assert_int_equal(cg_subset_size(48, 15, 400), 15);
	assert_int_equal(cg_subset_size(48, 5, 300), 5);
	assert_int_equal(cg_subset_size(200, 50, 400), 50);
	assert_int_equal(cg_subset_size(470, 50, 400), 16);
	assert_int_equal(cg_subset_size(470, 50, 0), 3);
	assert_int_equal(cg_subset_size(470, 2, 10), 2);
	assert_int_equal(cg_subset_size(1, 0, 10), 0);
}

static uint64_t ranks[SERVERS];

static int by_rank(const void *a, const void *b)
{
	uint64_t x = ranks[*(const int *)a], y = ranks[*(const int *)b];

	return (x > y) - (x < y);
}

/* Increments @p used for each server that a daemon selects if @p removed_server
 * is not listed. */
static void count_chosen_servers(int daemon, int removed_server,
				 int used[SERVERS])
{
	int order[SERVERS], n = 0;
	size_t k = cg_subset_size(DAEMONS, SERVERS, 400);
	char d[16], s[16];

	snprintf(d, sizeof(d), "entry-%d", daemon);
	for (int i = 0; i < SERVERS; i++) {
		snprintf(s, sizeof(s), "slots-%d", i);
		ranks[i] = cg_subset_rank(d, s);
		if (i != removed_server)
			order[n++] = i;
	}
	qsort(order, (size_t)n, sizeof(*order), by_rank);
	for (size_t i = 0; i < k; i++)
		used[order[i]]++;
}

static void connections_stay_below_the_limit(void **state)
{
	int used[SERVERS] = { 0 };

	for (int d = 0; d < DAEMONS; d++)
		count_chosen_servers(d, -1, used);
	for (int i = 0; i < SERVERS; i++) {
		assert_true(used[i] * CG_SUBSET_CONNECTIONS <= 400);
		assert_true(used[i] > 80);
	}
}

static void removed_server_changes_at_most_one_choice(void **state)
{
	for (int d = 0; d < DAEMONS; d++) {
		int before[SERVERS] = { 0 }, after[SERVERS] = { 0 },
		    changed = 0;

		count_chosen_servers(d, -1, before);
		count_chosen_servers(d, 7, after);
		for (int i = 0; i < SERVERS; i++)
			changed += before[i] != after[i];
		assert_int_equal(changed, before[7] ? 2 : 0);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(subset_size_for_known_fleet_sizes),
		cmocka_unit_test(connections_stay_below_the_limit),
		cmocka_unit_test(removed_server_changes_at_most_one_choice),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
