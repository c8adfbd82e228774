/* Guards against timers that fire early, late, twice or after they were
 * cancelled. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdatomic.h>
#include <stdlib.h>

#include "internal/timers.h"

static struct cg_clock clk;

struct probe {
	struct cg_timer timer;
	_Atomic int fired;
	_Atomic cg_ms at;
};

static void fire(struct cg_timer *t)
{
	struct probe *p = caa_container_of(t, struct probe, timer);

	p->at = cg_clock_now(&clk);
	p->fired++;
}

static void fires_once_and_never_early(void **state)
{
	static struct probe probes[200];
	struct cg_timers *w;
	cg_ms start;

	cg_clock_init_boot(&clk);
	w = cg_timers_new(&clk);
	start = cg_clock_now(&clk);
	for (int i = 0; i < 200; i++) {
		probes[i].timer.fire = fire;
		cg_timers_add(w, &probes[i].timer, start + i);
	}
	cg_sleep(400);
	for (int i = 0; i < 200; i++) {
		assert_int_equal(probes[i].fired, 1);
		assert_true(probes[i].at >= start + i);
	}
	cg_timers_free(w);
}

static void cancelled_timer_does_not_fire(void **state)
{
	struct probe p = { .timer.fire = fire };
	struct cg_timers *w;

	cg_clock_init_boot(&clk);
	w = cg_timers_new(&clk);
	cg_timers_add(w, &p.timer, cg_clock_now(&clk) + 50);
	assert_true(cg_timers_cancel(w, &p.timer));
	assert_false(cg_timers_cancel(w, &p.timer));
	cg_sleep(120);
	assert_int_equal(p.fired, 0);
	cg_timers_free(w);
}

/* The wheel turns every 20.48 s; a pause of the process, as by SIGSTOP, can be
 * longer. */
static void clock_jump_past_a_turn_fires_all_due(void **state)
{
	struct probe soon = { .timer.fire = fire };
	struct probe later = { .timer.fire = fire };
	struct probe never = { .timer.fire = fire };
	struct cg_timers *w;

	cg_clock_init_manual(&clk, 1000);
	w = cg_timers_new(&clk);
	cg_timers_add(w, &soon.timer, 1500);
	cg_timers_add(w, &later.timer, 1000 + 25000);
	cg_timers_add(w, &never.timer, 1000 + 60000);
	cg_sleep(50);
	assert_int_equal(soon.fired, 0);
	cg_clock_set(&clk, 1000 + 50000);
	cg_sleep(100);
	assert_int_equal(soon.fired, 1);
	assert_int_equal(later.fired, 1);
	assert_int_equal(never.fired, 0);
	cg_timers_free(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(fires_once_and_never_early),
		cmocka_unit_test(cancelled_timer_does_not_fire),
		cmocka_unit_test(clock_jump_past_a_turn_fires_all_due),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
