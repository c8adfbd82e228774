#include "internal/timers.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

#define TICK_MS	    5
#define WHEEL_SLOTS 4096

struct cg_timers {
	struct cg_clock *clk;
	pthread_mutex_t lock;
	struct cds_list_head slots[WHEEL_SLOTS];
	int64_t tick; /* Last tick that was processed. */
	pthread_t thread;
	_Atomic bool stopping;
};

/* Moves the expired timers of one slot to @expired. Timers that expire on a
 * later turn of the wheel share the slot and stay. */
static void collect_expired(struct cg_timers *w, int64_t tick, cg_ms now,
			    struct cds_list_head *expired)
{
	struct cg_timer *t, *next;

	cds_list_for_each_entry_safe(t, next, &w->slots[tick % WHEEL_SLOTS],
				     node) {
		if (t->deadline > now)
			continue;
		cds_list_del(&t->node);
		t->armed = false;
		cds_list_add_tail(&t->node, expired);
	}
}

static void fire_expired(struct cds_list_head *expired)
{
	struct cg_timer *t, *next;

	cds_list_for_each_entry_safe(t, next, expired, node) {
		cds_list_del(&t->node);
		t->fire(t);
	}
}

static void *timer_thread(void *arg)
{
	struct cg_timers *w = arg;

	while (!atomic_load(&w->stopping)) {
		CDS_LIST_HEAD(expired);
		cg_ms now;
		int64_t current;

		cg_sleep(TICK_MS);
		now = cg_clock_now(w->clk);
		pthread_mutex_lock(&w->lock);
		current = now / TICK_MS;
		/* After a pause longer than one turn of the wheel, each slot is
		 * visited only once. */
		if (current - w->tick > WHEEL_SLOTS)
			w->tick = current - WHEEL_SLOTS;
		while (w->tick < current)
			collect_expired(w, ++w->tick, now, &expired);
		pthread_mutex_unlock(&w->lock);
		fire_expired(&expired);
	}
	return NULL;
}

struct cg_timers *cg_timers_new(struct cg_clock *clk)
{
	struct cg_timers *w = g_new0(struct cg_timers, 1);

	w->clk = clk;
	pthread_mutex_init(&w->lock, NULL);
	for (int i = 0; i < WHEEL_SLOTS; i++)
		CDS_INIT_LIST_HEAD(&w->slots[i]);
	w->tick = cg_clock_now(clk) / TICK_MS;
	if (pthread_create(&w->thread, NULL, timer_thread, w)) {
		pthread_mutex_destroy(&w->lock);
		g_free(w);
		return NULL;
	}
	return w;
}

void cg_timers_free(struct cg_timers *w)
{
	if (!w)
		return;
	atomic_store(&w->stopping, true);
	pthread_join(w->thread, NULL);
	pthread_mutex_destroy(&w->lock);
	g_free(w);
}

void cg_timers_arm(struct cg_timers *w, struct cg_timer *t, cg_ms deadline)
{
	/* One tick after the deadline, so that a timer never fires early. */
	int64_t tick = deadline / TICK_MS + 1;

	pthread_mutex_lock(&w->lock);
	if (tick <= w->tick)
		tick = w->tick + 1;
	t->deadline = deadline;
	t->armed = true;
	cds_list_add_tail(&t->node, &w->slots[tick % WHEEL_SLOTS]);
	pthread_mutex_unlock(&w->lock);
}

bool cg_timers_cancel(struct cg_timers *w, struct cg_timer *t)
{
	bool armed;

	pthread_mutex_lock(&w->lock);
	armed = t->armed;
	if (armed) {
		cds_list_del(&t->node);
		t->armed = false;
	}
	pthread_mutex_unlock(&w->lock);
	return armed;
}
