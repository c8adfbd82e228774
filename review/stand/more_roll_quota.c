/*
 * Gateways are stopped in turn while a client account sends many times its
 * rate. The account must not get more than its rate and burst allow.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define GATES 8
#define STOPPED 4 /* a share of 0.5 */
#define GAP_MS 1100
#define RATE 20
#define BURST 20
/* hot_tenant: 7.5 times its usual, which is 1/1.6 of the rate, for 6.5 s. */
#define SENT_PER_S (RATE / 1.6 * 7.5)
#define HOT_MS 6500
#define CLIENTS 16
/* quota_window_s, quota_tolerance and quota_slack */
#define WINDOW_MS 5000
#define ALLOWED ((RATE * 5 + BURST) * 1.1 + 20)

static struct server servers[4];
static _Atomic bool stop;
static _Atomic int finished, sent;

static void *client_main(void *arg)
{
	int number = (int)(long)arg;
	struct gateway *g = &gateways[STOPPED + number % (GATES - STOPPED)];
	long pause = (long)(1000 * CLIENTS / SENT_PER_S);
	long long next = now_ms() + number * pause / CLIENTS;

	for (; !stop; next += pause) {
		struct answer a;
		char id[64];

		if (next > now_ms())
			sleep_ms((long)(next - now_ms()));
		snprintf(id, sizeof(id), "%lld-%d", now_ms(), number);
		sent++;
		client_call(g, "POST", "/unsafe/x", id, &a);
	}
	finished++;
	return NULL;
}

int main(int argc, char **argv)
{
	static struct run all[20000];
	int n, most = 0;
	long long most_at = 0, base = now_ms();
	char name[16];
	pthread_t t;

	rig_init(argc, argv);
	store_start();
	store_put_config(3, RATE, BURST);
	for (int i = 0; i < 4; i++) {
		snprintf(name, sizeof(name), "s%d", i + 1);
		server_start(&servers[i], name, "a", 20, 20);
		server_register(&servers[i], "ready");
	}
	for (int i = 0; i < GATES; i++) {
		snprintf(name, sizeof(name), "d%d", i + 1);
		gateway_start(gateway_add(name, "a", "a"));
	}
	gateways_wait_ready();
	sleep_ms(5000);
	rec("the account begins to send %.0f requests a second", SENT_PER_S);
	for (long i = 0; i < CLIENTS; i++)
		pthread_create(&t, NULL, client_main, (void *)i);
	sleep_ms(700);
	for (int i = 0; i < STOPPED; i++) {
		if (rig_trouble)
			gateway_signal(&gateways[i], SIGTERM);
		sleep_ms(GAP_MS);
	}
	sleep_ms(HOT_MS - 700 - STOPPED * GAP_MS);
	stop = true;
	while (finished < CLIENTS)
		sleep_ms(10);
	n = runs_copy(all, 20000);
	/* Requests that were both sent and run within a window. */
	for (int i = 0; i < n; i++) {
		long long from = atoll(all[i].id);
		int in = 0;

		for (int k = 0; k < n; k++)
			in += atoll(all[k].id) >= from &&
			      all[k].at <= from + WINDOW_MS;
		if (in > most) {
			most = in;
			most_at = from - base;
		}
	}
	for (int i = 0; i < GATES; i++)
		gateway_log_to_record(&gateways[i], "follows", 20);
	rec("most in %d ms: %d, from %lld ms on; allowed %.0f", WINDOW_MS, most,
	    most_at, ALLOWED);
	rig_exit(most > ALLOWED ? RIG_BROKEN : RIG_HELD,
		 "of %d requests %d ran; at most %d of them within %d ms "
		 "(allowed %.0f)",
		 sent, n, most, WINDOW_MS, ALLOWED);
}
