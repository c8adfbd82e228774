#define CG_PART "http"
#include "http_server.h"

#include <sys/epoll.h>

#include "internal/logging.h"

#define IDLE_TIMEOUT_S	  75
#define CONNECTION_MEMORY 4096
/* Consecutive runs of libmicrohttpd before other descriptors are handled. */
#define MHD_RUNS_MAX 8

void cgw_http_server_run(struct cgw_http_server *s)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	for (int i = 0; i < MHD_RUNS_MAX; i++) {
		s->runs++;
		MHD_run(s->daemon);
		if (MHD_get_timeout(s->daemon, &timeout_ms) != MHD_YES ||
		    timeout_ms > 0)
			return;
	}
	/* libmicrohttpd has read the events of its descriptors, and would get
	 * no further one for bytes that it has not read or sent yet. */
	cgw_timer_arm(s->loop, &s->again, cgw_loop_now(s->loop));
}

static void on_again(struct cgw_timer *t)
{
	cgw_http_server_run(caa_container_of(t, struct cgw_http_server, again));
}

static void on_server_ready(struct cgw_io *io, uint32_t events)
{
	(void)events;
	cgw_http_server_run(caa_container_of(io, struct cgw_http_server, io));
}

void cgw_http_server_log(void *arg, const char *fmt, va_list ap)
{
	char *text = g_strdup_vprintf(fmt, ap);

	(void)arg;
	cg_debug("%s", g_strstrip(text));
	g_free(text);
}

int cgw_http_server_watch(struct cgw_http_server *s, struct cgw_loop *l)
{
	const union MHD_DaemonInfo *info;

	if (!s->daemon)
		return -1;
	info = MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	if (!info)
		return -1;
	s->loop = l;
	s->again.fire = on_again;
	s->io.fd = info->epoll_fd;
	s->io.ready = on_server_ready;
	return cgw_loop_add(l, &s->io, EPOLLIN);
}

int cgw_http_server_start(struct cgw_http_server *s, struct cgw_loop *l,
			  const struct sockaddr_in *sa,
			  MHD_AccessHandlerCallback handler, void *arg)
{
	s->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_USE_ERROR_LOG, 0, NULL, NULL, handler, arg,
		MHD_OPTION_EXTERNAL_LOGGER, cgw_http_server_log, NULL,
		MHD_OPTION_SOCK_ADDR, sa, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)IDLE_TIMEOUT_S,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
		MHD_OPTION_END);
	return cgw_http_server_watch(s, l);
}

void cgw_http_server_stop(struct cgw_http_server *s, struct cgw_loop *l)
{
	if (!s->daemon)
		return;
	if (s->io.ready) {
		cgw_loop_del(l, &s->io);
		cgw_timer_cancel(l, &s->again);
	}
	MHD_stop_daemon(s->daemon);
	s->daemon = NULL;
}
