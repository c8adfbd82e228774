#include "drain_load.h"

#include <stdio.h>
#include <string.h>

static _Atomic bool stop;
static _Atomic int running;
static int first_gateway, pause;

static void *client_main(void *arg)
{
	int number = (int)(long)arg;
	struct gateway *g =
		&gateways[first_gateway +
			  number % (gateway_count - first_gateway)];

	for (int i = 0; !stop; i++) {
		struct answer a;
		char id[64];

		snprintf(id, sizeof(id), "%s-%d-%d", g->name, number, i);
		client_call(g, "POST", "/unsafe/x", id, &a);
		sleep_ms(pause);
	}
	running--;
	return NULL;
}

void load_start(int first, int per_gateway, int pause_ms)
{
	pthread_t t;

	first_gateway = first;
	pause = pause_ms;
	for (long i = 0; i < per_gateway * (gateway_count - first); i++) {
		running++;
		pthread_create(&t, NULL, client_main, (void *)i);
	}
}

void load_stop(void)
{
	stop = true;
	while (running)
		sleep_ms(10);
}

int runs_too_late(const char *server, long long acked, long long *latest)
{
	static struct run all[20000];
	int n = runs_copy(all, 20000), late = 0;

	*latest = 0;
	for (int i = 0; i < n; i++) {
		if (strcmp(all[i].server, server) != 0 || all[i].at < acked)
			continue;
		*latest = all[i].at - acked;
		if (*latest <= DRAIN_MS)
			continue;
		late++;
		rec("%s ran at %s %lld ms after the acknowledgement (bound %d)",
		    all[i].id, server, *latest, DRAIN_MS);
	}
	return late;
}
