/* Guards against timers that fire out of order after being moved or cancelled,
 * and against events that are delivered for a descriptor that an earlier event
 * of the same batch removed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <glib.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <urcu/compiler.h>

#include "gateway/loop.h"

#define TIMERS 200

static struct {
	struct cgw_timer timers[TIMERS];
	cg_ms last;
	int fired;
} order;

static void check_order(struct cgw_timer *t)
{
	assert_true(t->expires_at >= order.last);
	order.last = t->expires_at;
	order.fired++;
}

static void timers_fire_in_order_of_expiry(void **state)
{
	struct cg_clock clk;
	struct cgw_loop *l;
	GRand *r = g_rand_new_with_seed(99);
	int cancelled = 0;

	(void)state;
	cg_clock_init_manual(&clk, 1000);
	l = cgw_loop_new(&clk);
	for (int i = 0; i < TIMERS; i++) {
		order.timers[i].fire = check_order;
		cgw_timer_arm(l, &order.timers[i],
			      1000 + g_rand_int_range(r, 0, 500));
	}
	for (int i = 0; i < TIMERS; i += 3)
		cgw_timer_arm(l, &order.timers[i],
			      1000 + g_rand_int_range(r, 0, 500));
	for (int i = 0; i < TIMERS; i += 7) {
		cgw_timer_cancel(l, &order.timers[i]);
		cgw_timer_cancel(l, &order.timers[i]);
		cancelled++;
	}
	for (cg_ms now = 1000; now <= 1500; now += 5) {
		cg_clock_set(&clk, now);
		cgw_loop_step(l, 0);
	}
	assert_int_equal(order.fired, TIMERS - cancelled);
	g_rand_free(r);
	cgw_loop_free(l);
}

struct pause_record {
	struct cgw_pause_watch watch;
	cg_ms ms; /* of the last pause */
	int count;
};

static void record_pause(struct cgw_pause_watch *w, cg_ms ms)
{
	struct pause_record *r =
		caa_container_of(w, struct pause_record, watch);

	r->ms = ms;
	r->count++;
}

/* A process that was suspended took what it knew from before for the present
 * state. Waiting for a timer is no pause. */
static void pause_is_noticed_once(void **state)
{
	struct pause_record r = { .watch = { .min_ms = 750,
					     .paused = record_pause } };
	struct cgw_timer t = { .fire = check_order };
	struct cg_clock clk;
	struct cgw_loop *l;

	(void)state;
	cg_clock_init_manual(&clk, 1000);
	l = cgw_loop_new(&clk);
	cgw_loop_watch_pauses(l, &r.watch);
	cg_clock_set(&clk, 1749);
	cgw_loop_step(l, 0);
	assert_int_equal(r.count, 0);
	cg_clock_set(&clk, 5749);
	cgw_loop_step(l, 0);
	cgw_loop_step(l, 0);
	assert_int_equal(r.count, 1);
	assert_int_equal(r.ms, 4000);
	cgw_timer_arm(l, &t, 5769);
	cgw_loop_step(l, 20);
	assert_int_equal(r.count, 1);
	cgw_loop_free(l);
}

struct pair {
	struct cgw_io io;
	struct cgw_loop *loop;
	struct pair *other;
	int calls;
};

static void remove_other(struct cgw_io *io, uint32_t events)
{
	struct pair *p = caa_container_of(io, struct pair, io);

	assert_true(events & EPOLLIN);
	p->calls++;
	cgw_loop_del(p->loop, &p->other->io);
}

/* Both descriptors are ready. The first one handled removes the other, whose
 * event in the same batch must not be delivered. */
static void removed_descriptor_gets_no_event(void **state)
{
	struct cg_clock clk;
	struct pair a = { 0 }, b = { 0 };
	int fds[2][2];

	(void)state;
	cg_clock_init_boot(&clk);
	a.loop = b.loop = cgw_loop_new(&clk);
	a.other = &b;
	b.other = &a;
	assert_int_equal(pipe(fds[0]), 0);
	assert_int_equal(pipe(fds[1]), 0);
	a.io.fd = fds[0][0];
	b.io.fd = fds[1][0];
	a.io.ready = b.io.ready = remove_other;
	assert_int_equal(write(fds[0][1], "x", 1), 1);
	assert_int_equal(write(fds[1][1], "x", 1), 1);
	assert_int_equal(cgw_loop_add(a.loop, &a.io, EPOLLIN), 0);
	assert_int_equal(cgw_loop_add(a.loop, &b.io, EPOLLIN), 0);
	assert_int_equal(cgw_loop_step(a.loop, 100), 0);
	assert_int_equal(a.calls + b.calls, 1);
	cgw_loop_free(a.loop);
	for (int i = 0; i < 4; i++)
		close(fds[i / 2][i % 2]);
}

struct removal_at_pause {
	struct cgw_pause_watch watch;
	struct pair removed;
};

static void remove_at_pause(struct cgw_pause_watch *w, cg_ms ms)
{
	struct removal_at_pause *r =
		caa_container_of(w, struct removal_at_pause, watch);

	(void)ms;
	cgw_loop_del(r->removed.loop, &r->removed.io);
}

/* A leader that had stood still cancelled its calls to the store; the event of a
 * connection that was closed with them reached memory that had been freed. */
static void descriptor_removed_at_a_pause_gets_no_event(void **state)
{
	struct removal_at_pause r = { .watch = { .min_ms = 750,
						 .paused = remove_at_pause } };
	struct cg_clock clk;
	int fds[2];

	(void)state;
	cg_clock_init_manual(&clk, 1000);
	r.removed.loop = cgw_loop_new(&clk);
	assert_int_equal(pipe(fds), 0);
	r.removed.other = &r.removed;
	r.removed.io.fd = fds[0];
	r.removed.io.ready = remove_other;
	assert_int_equal(cgw_loop_add(r.removed.loop, &r.removed.io, EPOLLIN),
			 0);
	assert_int_equal(write(fds[1], "x", 1), 1);
	cgw_loop_watch_pauses(r.removed.loop, &r.watch);
	cg_clock_set(&clk, 3000);
	cgw_loop_step(r.removed.loop, 0);
	assert_int_equal(r.removed.calls, 0);
	cgw_loop_free(r.removed.loop);
	close(fds[0]);
	close(fds[1]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(timers_fire_in_order_of_expiry),
		cmocka_unit_test(pause_is_noticed_once),
		cmocka_unit_test(removed_descriptor_gets_no_event),
		cmocka_unit_test(descriptor_removed_at_a_pause_gets_no_event),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
