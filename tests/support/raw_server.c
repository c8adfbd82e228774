#include "raw_server.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static int read_head(struct raw_server *s, int fd, char *buf, size_t size)
{
	size_t n = 0;

	while (n + 1 < size && !atomic_load(&s->stopping)) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		ssize_t got;

		if (poll(&p, 1, 50) <= 0)
			continue;
		got = read(fd, buf + n, size - 1 - n);
		if (got <= 0)
			return -1;
		n += (size_t)got;
		buf[n] = '\0';
		if (strstr(buf, "\r\n\r\n"))
			return 0;
	}
	return -1;
}

static void send_response(struct raw_server *s, int fd, const char *head)
{
	const char *at = strcasestr(head, "Celeryglade-Attempt: ");
	char id[128] = "";
	char *out = NULL;
	int n;

	if (at)
		sscanf(at, "%*s %127s", id);
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
	n = asprintf(&out, atomic_load(&s->answer), id);
#pragma GCC diagnostic pop
	if (n > 0)
		(void)!write(fd, out, (size_t)n);
	free(out);
}

struct connection {
	struct raw_server *server;
	int fd;
};

static void *serve_connection(void *arg)
{
	struct connection *c = arg;
	struct raw_server *s = c->server;
	char head[8192];
	int fd = c->fd;
	int served = 0;

	while (!read_head(s, fd, head, sizeof(head))) {
		atomic_fetch_add(&s->requests, 1);
		if (served++ >= atomic_load(&s->answered_per_connection))
			break;
		send_response(s, fd, head);
		if (atomic_load(&s->close_after_answer) ||
		    strstr(atomic_load(&s->answer), "close"))
			break;
	}
	close(fd);
	free(c);
	atomic_fetch_sub(&s->open, 1);
	return NULL;
}

static void start_connection(struct raw_server *s, int fd)
{
	struct connection *c = malloc(sizeof(*c));
	pthread_t t;

	*c = (struct connection){ .server = s, .fd = fd };
	atomic_fetch_add(&s->connections, 1);
	atomic_fetch_add(&s->open, 1);
	if (pthread_create(&t, NULL, serve_connection, c))
		abort();
	pthread_detach(t);
}

static void *accept_connections(void *arg)
{
	struct raw_server *s = arg;

	while (!atomic_load(&s->stopping)) {
		struct pollfd p = { .fd = s->fd, .events = POLLIN };
		int fd;

		if (poll(&p, 1, 50) <= 0)
			continue;
		fd = accept(s->fd, NULL, NULL);
		if (fd >= 0)
			start_connection(s, fd);
	}
	return NULL;
}

int raw_server_start(struct raw_server *s)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	socklen_t len = sizeof(a);

	memset(s, 0, sizeof(*s));
	atomic_store(&s->answered_per_connection, 1000);
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->fd = socket(AF_INET, SOCK_STREAM, 0);
	if (s->fd < 0 || bind(s->fd, (struct sockaddr *)&a, sizeof(a)) ||
	    listen(s->fd, 16) ||
	    getsockname(s->fd, (struct sockaddr *)&a, &len))
		return -1;
	s->port = ntohs(a.sin_port);
	return pthread_create(&s->thread, NULL, accept_connections, s) ? -1 : 0;
}

void raw_server_stop(struct raw_server *s)
{
	atomic_store(&s->stopping, 1);
	pthread_join(s->thread, NULL);
	while (atomic_load(&s->open) > 0)
		usleep(1000);
	close(s->fd);
}
