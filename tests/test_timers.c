/* Guards against timers that fire early, late, twice, or after they were
 * cancelled. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdatomic.h>
#include <stdlib.h>

#include "internal/timers.h"

static struct cg_clock clk;

struct test_timer {
	struct cg_timer timer;
	_Atomic int fired;
	_Atomic cg_ms fired_at;
};

static void record_fired(struct cg_timer *t)
{
	struct test_timer *p = caa_container_of(t, struct test_timer, timer);

	p->fired_at = cg_clock_now(&clk);
	p->fired++;
}

static void timer_fires_once_and_not_early(void **state)
{
	static struct test_timer timers[200];
	struct cg_timers *w;
	cg_ms start;

	cg_clock_init_boot(&clk);
	w = cg_timers_new(&clk);
	start = cg_clock_now(&clk);
	for (int i = 0; i < 200; i++) {
		timers[i].timer.fire = record_fired;
		cg_timers_arm(w, &timers[i].timer, start + i);
	}
	cg_sleep(400);
	for (int i = 0; i < 200; i++) {
		assert_int_equal(timers[i].fired, 1);
		assert_true(timers[i].fired_at >= start + i);
	}
	cg_timers_free(w);
}

static void cancelled_timer_does_not_fire(void **state)
{
	struct test_timer p = { .timer.fire = record_fired };
	struct cg_timers *w;

	cg_clock_init_boot(&clk);
	w = cg_timers_new(&clk);
	cg_timers_arm(w, &p.timer, cg_clock_now(&clk) + 50);
	assert_true(cg_timers_cancel(w, &p.timer));
	assert_false(cg_timers_cancel(w, &p.timer));
	cg_sleep(120);
	assert_int_equal(p.fired, 0);
	cg_timers_free(w);
}

/* One turn of the wheel takes 20.48 s. The process can be paused for longer,
 * for example by SIGSTOP. */
static void clock_jump_past_a_wheel_turn_fires_all_expired(void **state)
{
	struct test_timer in_first_turn = { .timer.fire = record_fired };
	struct test_timer in_second_turn = { .timer.fire = record_fired };
	struct test_timer in_third_turn = { .timer.fire = record_fired };
	struct cg_timers *w;

	cg_clock_init_manual(&clk, 1000);
	w = cg_timers_new(&clk);
	cg_timers_arm(w, &in_first_turn.timer, 1500);
	cg_timers_arm(w, &in_second_turn.timer, 1000 + 25000);
	cg_timers_arm(w, &in_third_turn.timer, 1000 + 60000);
	cg_sleep(50);
	assert_int_equal(in_first_turn.fired, 0);
	cg_clock_set(&clk, 1000 + 50000);
	cg_sleep(100);
	assert_int_equal(in_first_turn.fired, 1);
	assert_int_equal(in_second_turn.fired, 1);
	assert_int_equal(in_third_turn.fired, 0);
	cg_timers_free(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(timer_fires_once_and_not_early),
		cmocka_unit_test(cancelled_timer_does_not_fire),
		cmocka_unit_test(
			clock_jump_past_a_wheel_turn_fires_all_expired),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
