/*
 * A planned stop while one client is within its head: the client sends a part of
 * it before, and would send the rest within header_timeout_ms. Requests of other
 * clients, which have been read and passed on, must be answered.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig.h"

#define CLIENTS 8
#define WORK_MS 2200

static struct server servers[3];

int main(int argc, char **argv)
{
	static const char part[] = "GET /safe/x HTTP/1.1\r\nHost: h.example\r\n"
				   "X-Request-Id: slow\r\n";
	int fds[CLIENTS], slow, lost = 0, answered = 0, other = 0;
	struct gateway *g;
	struct answer a;
	char id[64], how[64];

	rig_init(argc, argv);
	store_start();
	store_put_config(3, 0, 0);
	for (int i = 0; i < 3; i++) {
		snprintf(id, sizeof(id), "s%d", i + 1);
		server_start(&servers[i], id, "a", 4, 50);
		server_register(&servers[i], "ready");
	}
	g = gateway_add("d1", "a", "a");
	gateway_start(g);
	gateway_start(gateway_add("d2", "a", "a"));
	gateways_wait_ready();
	sleep_ms(3500); /* stable_window_ms */
	for (int i = 0; i < CLIENTS; i++) {
		fds[i] = client_connect(g->ip, front_port(), 1000);
		snprintf(id, sizeof(id), "first-%d", i);
		client_send(fds[i], "POST", "/unsafe/first", id, 5000, "", "x");
		client_read(fds[i], &a, 4000);
		if (a.status != 200)
			rig_exit(RIG_CANNOT_RUN, "%s got %d", id, a.status);
	}
	for (int i = 0; i < 3; i++)
		servers[i].work_ms = WORK_MS;
	slow = client_connect(g->ip, front_port(), 1000);
	gateway_signal(g, SIGTERM);
	sleep_ms(1000);
	if (rig_trouble) {
		send(slow, part, strlen(part), MSG_NOSIGNAL);
		rec("a client has sent a part of its head");
	}
	for (int i = 0; i < CLIENTS; i++) {
		snprintf(id, sizeof(id), "work-%d", i);
		client_send(fds[i], "POST", "/unsafe/work", id, 5000, "", "x");
	}
	rec("%d requests are sent 1 s after the signal", CLIENTS);
	for (int i = 0; i < CLIENTS; i++) {
		snprintf(id, sizeof(id), "work-%d", i);
		client_read(fds[i], &a, 5000);
		rec("%s: answer %d, runs %d", id, a.status, run_count(id));
		answered += a.status > 0;
		lost += !a.status && run_count(id);
		other += a.status <= 0 && (a.status || !run_count(id));
	}
	sleep_ms(300);
	snprintf(how, sizeof(how), "still runs");
	gateway_ended(g, how);
	rec("gateway %s: %s", g->name, how);
	rig_exit(lost ? RIG_BROKEN : RIG_HELD,
		 "of %d requests passed on during a planned stop %d were "
		 "answered, %d lost their connection, %d other; gateway: %s",
		 CLIENTS, answered, lost, other, how);
}
