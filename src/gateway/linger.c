#define CG_PART "ingress"
#include "linger.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <linux/sockios.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "internal/logging.h"

#define READ_SIZE 16384
/* Blocks that are read before other descriptors are handled. */
#define READS_MAX 16
#define CHECK_MS  100
/* A peer that has received everything and sends nothing for this time is not
 * expected to send any more. */
#define QUIET_MS 1000
/* A peer that receives nothing for this time is given up. */
#define STALL_MS 10000
/* Limit for a peer that sends without end. */
#define TOTAL_MS 60000

struct lingering {
	struct cds_list_head node;
	struct cgw_io io;
	struct cgw_linger *owner;
	int unsent; /* bytes, at the last check */
	cg_ms began_at;
	cg_ms active_at; /* when bytes last arrived or were acknowledged */
};

/* Returns 0 if the system cannot tell. */
static int unsent_bytes(int fd)
{
	int n = 0;

	return ioctl(fd, SIOCOUTQ, &n) ? 0 : n;
}

bool cgw_linger_has_unsent(int fd)
{
	return unsent_bytes(fd) > 0;
}

/* Discards what has arrived. Returns whether more can follow. Sets @any if bytes
 * were read. */
static bool discard(int fd, bool *any)
{
	static char buffer[READ_SIZE];

	for (int i = 0; i < READS_MAX; i++) {
		ssize_t n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);

		if (n < 0)
			return errno == EAGAIN || errno == EINTR;
		if (!n)
			return false;
		*any = true;
	}
	return true;
}

static void close_lingering(struct lingering *c)
{
	cgw_loop_del(c->owner->loop, &c->io);
	close(c->io.fd);
	cds_list_del(&c->node);
	c->owner->count--;
	g_free(c);
}

static void on_ready(struct cgw_io *io, uint32_t events)
{
	struct lingering *c = caa_container_of(io, struct lingering, io);
	bool any = false;

	(void)events;
	if (!discard(io->fd, &any)) {
		close_lingering(c);
		return;
	}
	if (any)
		c->active_at = cgw_loop_now(c->owner->loop);
}

static bool is_finished(struct lingering *c, cg_ms now)
{
	int unsent = unsent_bytes(c->io.fd);

	if (unsent != c->unsent)
		c->active_at = now;
	c->unsent = unsent;
	return now - c->active_at >= (unsent ? STALL_MS : QUIET_MS) ||
	       now - c->began_at >= TOTAL_MS;
}

static void on_check(struct cgw_timer *t)
{
	struct cgw_linger *l = caa_container_of(t, struct cgw_linger, check);
	cg_ms now = cgw_loop_now(l->loop);
	struct lingering *c, *next;

	cds_list_for_each_entry_safe(c, next, &l->connections, node)
		if (is_finished(c, now))
			close_lingering(c);
	if (l->count)
		cgw_timer_arm(l->loop, t, now + CHECK_MS);
}

void cgw_linger_init(struct cgw_linger *l, struct cgw_loop *loop,
		     unsigned int max)
{
	memset(l, 0, sizeof(*l));
	l->loop = loop;
	l->max = max;
	l->check.fire = on_check;
	CDS_INIT_LIST_HEAD(&l->connections);
}

void cgw_linger_clear(struct cgw_linger *l)
{
	struct lingering *c, *next;

	cds_list_for_each_entry_safe(c, next, &l->connections, node)
		close_lingering(c);
	cgw_timer_cancel(l->loop, &l->check);
}

void cgw_linger_add(struct cgw_linger *l, int fd)
{
	cg_ms now = cgw_loop_now(l->loop);
	struct lingering *c;
	bool any = false;
	int copy;

	shutdown(fd, SHUT_WR);
	/* After the end of its bytes a connection is closed without a reset. */
	if (!discard(fd, &any))
		return;
	if (l->count >= l->max && l->count)
		close_lingering(cds_list_first_entry(&l->connections,
						     struct lingering, node));
	copy = fcntl(fd, F_DUPFD_CLOEXEC, 0);
	if (copy < 0)
		goto fail;
	c = g_new0(struct lingering, 1);
	c->owner = l;
	c->io.fd = copy;
	c->io.ready = on_ready;
	c->unsent = unsent_bytes(copy);
	c->began_at = now;
	c->active_at = now;
	if (cgw_loop_add(l->loop, &c->io, EPOLLIN)) {
		g_free(c);
		goto fail;
	}
	cds_list_add_tail(&c->node, &l->connections);
	if (!l->count++)
		cgw_timer_arm(l->loop, &l->check, now + CHECK_MS);
	return;
fail:
	cg_warning("cannot keep a caller's connection until it has received "
		   "its response: %s",
		   g_strerror(errno));
	if (copy >= 0)
		close(copy);
}
