/* Guards against a link that is promised more than it carries in time, and against
 * one that is never used for what takes longer than allowed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>

#include "gateway/link_budget.h"

#define WITHIN_MS 100
#define SHARE	  0.5
#define MBPS	  16 /* of which half is used: 1,000 bytes per ms */

static struct cgw_link_budget budget(double mbps)
{
	struct cgw_link_budget b;

	cgw_link_budget_init(&b, mbps, SHARE);
	return b;
}

/* Guards against transfers that are accepted together and all come too late. */
static void link_is_promised_what_it_carries_in_time(void **state)
{
	struct cgw_link_budget b = budget(MBPS);

	(void)state;
	assert_true(cgw_link_budget_take(&b, 60000, WITHIN_MS, 1000));
	assert_false(cgw_link_budget_take(&b, 60000, WITHIN_MS, 1000));
	assert_true(cgw_link_budget_take(&b, 40000, WITHIN_MS, 1000));
	assert_false(cgw_link_budget_take(&b, 1, WITHIN_MS, 1000));
	assert_false(cgw_link_budget_take(&b, 60000, WITHIN_MS, 1050));
	assert_true(cgw_link_budget_take(&b, 60000, WITHIN_MS, 1060));
}

/* Guards against a narrow link that never accepts a long transfer. */
static void idle_link_is_used_for_what_takes_longer(void **state)
{
	struct cgw_link_budget b = budget(MBPS);

	(void)state;
	assert_true(cgw_link_budget_take(&b, 500000, WITHIN_MS, 1000));
	assert_false(cgw_link_budget_take(&b, 500000, WITHIN_MS, 1499));
	assert_true(cgw_link_budget_take(&b, 500000, WITHIN_MS, 1500));
}

/* Guards against refusals where the settings do not state the bandwidth. */
static void unknown_link_is_not_limited(void **state)
{
	struct cgw_link_budget b = budget(0);

	(void)state;
	for (int i = 0; i < 100; i++)
		assert_true(cgw_link_budget_take(&b, 1000000, WITHIN_MS, 1000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(link_is_promised_what_it_carries_in_time),
		cmocka_unit_test(idle_link_is_used_for_what_takes_longer),
		cmocka_unit_test(unknown_link_is_not_limited),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
