/*
 * Case 1: clients leave after they have sent a part of a request's head. Whole
 * requests that are being handled at the same gateway must be answered.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig.h"

#define STAYING 17
#define LEAVING 3 /* 3 of 20 clients: a share of 0.15 */
#define LOST_MOST 3 /* the rule breaks at more than three */

static struct server servers[4];
static struct gateway *gate;

int main(int argc, char **argv)
{
	int fds[STAYING], lost = 0, answered = 0, other = 0;
	struct answer a;
	char id[64], how[64];
	bool ended;

	rig_init(argc, argv);
	store_start();
	store_put_config(3, 0, 0);
	for (int i = 0; i < 4; i++) {
		char name[16];

		snprintf(name, sizeof(name), "s%d", i + 1);
		server_start(&servers[i], name, "a", 6, 100);
		server_register(&servers[i], "ready");
	}
	gate = gateway_add("d1", "a", "a");
	gateway_start(gate);
	gateway_start(gateway_add("d2", "a", "a"));
	gateways_wait_ready();
	sleep_ms(3500); /* stable_window_ms: the machine is in touch */

	/* Each client makes its connection a kept one. */
	for (int i = 0; i < STAYING; i++) {
		fds[i] = client_connect(gate->ip, front_port(), 1000);
		snprintf(id, sizeof(id), "first-%d", i);
		client_send(fds[i], "POST", "/unsafe/first", id, 5000, "", "x");
		client_read(fds[i], &a, 4000);
		if (a.status != 200)
			rig_exit(RIG_CANNOT_RUN, "%s got %d %s", id, a.status,
				 a.reason);
	}
	rec("%d clients have kept connections to %s", STAYING, gate->name);
	for (int i = 0; i < 4; i++)
		servers[i].work_ms = 900;
	for (int i = 0; i < STAYING; i++) {
		snprintf(id, sizeof(id), "work-%d", i);
		client_send(fds[i], "POST", "/unsafe/work", id, 5000, "", "x");
	}
	sleep_ms(300);
	for (int i = 0; i < LEAVING; i++) {
		int fd = client_connect(gate->ip, front_port(), 1000);
		static const char part[] =
			"GET /safe/x HTTP/1.1\r\nHost: h.example\r\n"
			"X-Request-Id: leaves\r\nX-Deadline-Ms: 3000\r\n";
		static const char rest[] = "Authorization: Bearer k1\r\n\r\n";

		if (fd < 0) {
			rec("client %d that would leave gets no connection", i);
			continue;
		}
		send(fd, part, strlen(part), MSG_NOSIGNAL);
		sleep_ms(100);
		if (rig_trouble) {
			rec("client %d leaves; it had sent a part of its head",
			    i);
		} else {
			send(fd, rest, strlen(rest), MSG_NOSIGNAL);
			client_read(fd, &a, 4000);
			rec("client %d, which stays, is answered %d", i,
			    a.status);
		}
		close(fd);
	}
	for (int i = 0; i < STAYING; i++) {
		snprintf(id, sizeof(id), "work-%d", i);
		client_read(fds[i], &a, 5000);
		close(fds[i]);
		rec("%s: answer %d, runs %d", id, a.status, run_count(id));
		if (a.status > 0)
			answered++;
		else if (!a.status && run_count(id))
			lost++;
		else
			other++;
	}
	ended = gateway_ended(gate, how);
	if (ended)
		rec("gateway %s has ended by itself: %s", gate->name, how);
	gateway_log_to_record(gate, "stop", 5);
	rig_exit(lost > LOST_MOST ? RIG_BROKEN : RIG_HELD,
		 "%d requests answered, %d passed on and their connection "
		 "closed without an answer (bound %d), %d other; gateway %s",
		 answered, lost, LOST_MOST, other,
		 ended ? how : "still runs");
}
