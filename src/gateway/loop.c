#include "gateway/loop.h"

#include <errno.h>
#include <glib.h>
#include <sys/epoll.h>
#include <unistd.h>

/* Events handled in one step; further events are left for the next. */
#define BATCH 64

struct cgw_loop {
	struct cg_clock *clk;
	cg_ms now;
	int epfd;
	struct cgw_pause_watch *pause_watch; /* not owned; NULL: none */
	GPtrArray *heap; /* binary heap of struct cgw_timer by expires_at */
	struct epoll_event batch[BATCH];
	int batch_len;
	int batch_pos;
};

struct cgw_loop *cgw_loop_new(struct cg_clock *clk)
{
	struct cgw_loop *l = g_new0(struct cgw_loop, 1);

	l->clk = clk;
	l->now = cg_clock_now(clk);
	l->heap = g_ptr_array_new();
	l->epfd = epoll_create1(EPOLL_CLOEXEC);
	if (l->epfd >= 0)
		return l;
	cgw_loop_free(l);
	return NULL;
}

void cgw_loop_free(struct cgw_loop *l)
{
	if (!l)
		return;
	if (l->epfd >= 0)
		close(l->epfd);
	g_ptr_array_unref(l->heap);
	g_free(l);
}

cg_ms cgw_loop_now(struct cgw_loop *l)
{
	return l->now;
}

cg_ms cgw_loop_read_clock(const struct cgw_loop *l)
{
	return cg_clock_now(l->clk);
}

int cgw_loop_add(struct cgw_loop *l, struct cgw_io *io, uint32_t events)
{
	struct epoll_event e = { .events = events, .data.ptr = io };

	return epoll_ctl(l->epfd, EPOLL_CTL_ADD, io->fd, &e);
}

int cgw_loop_change(struct cgw_loop *l, struct cgw_io *io, uint32_t events)
{
	struct epoll_event e = { .events = events, .data.ptr = io };

	return epoll_ctl(l->epfd, EPOLL_CTL_MOD, io->fd, &e);
}

void cgw_loop_del(struct cgw_loop *l, struct cgw_io *io)
{
	/* The owner may free the structure while later events of this batch
	 * still refer to it. */
	for (int i = l->batch_pos; i < l->batch_len; i++)
		if (l->batch[i].data.ptr == io)
			l->batch[i].data.ptr = NULL;
	epoll_ctl(l->epfd, EPOLL_CTL_DEL, io->fd, NULL);
}

static struct cgw_timer *heap_at(struct cgw_loop *l, size_t index)
{
	return g_ptr_array_index(l->heap, index - 1);
}

static void heap_put(struct cgw_loop *l, size_t index, struct cgw_timer *t)
{
	g_ptr_array_index(l->heap, index - 1) = t;
	t->heap_index = index;
}

static void sift_up(struct cgw_loop *l, struct cgw_timer *t)
{
	size_t index = t->heap_index;

	while (index > 1 && heap_at(l, index / 2)->expires_at > t->expires_at) {
		heap_put(l, index, heap_at(l, index / 2));
		index /= 2;
	}
	heap_put(l, index, t);
}

static void sift_down(struct cgw_loop *l, struct cgw_timer *t)
{
	size_t index = t->heap_index;
	size_t n = l->heap->len;

	for (size_t child; (child = index * 2) <= n; index = child) {
		if (child < n && heap_at(l, child + 1)->expires_at <
					 heap_at(l, child)->expires_at)
			child++;
		if (heap_at(l, child)->expires_at >= t->expires_at)
			break;
		heap_put(l, index, heap_at(l, child));
	}
	heap_put(l, index, t);
}

void cgw_timer_arm(struct cgw_loop *l, struct cgw_timer *t, cg_ms expires_at)
{
	t->expires_at = expires_at;
	if (!t->heap_index) {
		g_ptr_array_add(l->heap, t);
		t->heap_index = l->heap->len;
	}
	sift_up(l, t);
	sift_down(l, t);
}

void cgw_timer_cancel(struct cgw_loop *l, struct cgw_timer *t)
{
	struct cgw_timer *last;
	size_t index = t->heap_index;

	if (!index)
		return;
	t->heap_index = 0;
	last = heap_at(l, l->heap->len);
	g_ptr_array_set_size(l->heap, (gint)l->heap->len - 1);
	if (last == t)
		return;
	heap_put(l, index, last);
	sift_up(l, last);
	sift_down(l, last);
}

static int wait_time(struct cgw_loop *l, cg_ms max_wait)
{
	cg_ms remaining = max_wait;

	if (l->heap->len && heap_at(l, 1)->expires_at - l->now < remaining)
		remaining = heap_at(l, 1)->expires_at - l->now;
	return remaining < 0 ? 0 : (int)remaining;
}

static void run_timers(struct cgw_loop *l)
{
	/* Runs at most as many timers as are armed now, so that timers that
	 * rearm themselves for the current time cannot starve the
	 * descriptors. */
	for (size_t n = l->heap->len; n && l->heap->len; n--) {
		struct cgw_timer *t = heap_at(l, 1);

		if (t->expires_at > l->now)
			return;
		cgw_timer_cancel(l, t);
		t->fire(t);
	}
}

void cgw_loop_watch_pauses(struct cgw_loop *l, struct cgw_pause_watch *w)
{
	l->pause_watch = w;
}

/* @idle is the part of the time since the last step that was meant to be spent
 * waiting. */
static void check_pause(struct cgw_loop *l, cg_ms last_step_at, cg_ms idle)
{
	struct cgw_pause_watch *w = l->pause_watch;
	cg_ms pause = l->now - last_step_at - idle;

	if (w && pause >= w->min_ms)
		w->paused(w, pause);
}

int cgw_loop_step(struct cgw_loop *l, cg_ms max_wait)
{
	cg_ms last_step_at = l->now;
	int wait, n;

	l->now = cg_clock_now(l->clk);
	wait = wait_time(l, max_wait);
	n = epoll_wait(l->epfd, l->batch, BATCH, wait);
	l->now = cg_clock_now(l->clk);
	if (n < 0 && errno != EINTR)
		return -1;
	l->batch_len = n < 0 ? 0 : n;
	l->batch_pos = 0;
	/* May remove descriptors whose events are in the batch. */
	check_pause(l, last_step_at, wait);
	while (l->batch_pos < l->batch_len) {
		struct epoll_event *e = &l->batch[l->batch_pos++];
		struct cgw_io *io = e->data.ptr;

		if (io)
			io->ready(io, e->events);
	}
	l->batch_len = 0;
	run_timers(l);
	return 0;
}
