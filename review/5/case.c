/*
 * Case 5: the store cuts off a watch that is waiting, and the entry of a server
 * is removed. No daemon may send the server anything later than drain_ms after
 * that.
 */
#include <stdio.h>

#include "drain_load.h"

#define ROUNDS 6
#define CALM_MS 5000
/* A server goes on for drain_ms and a little longer, then its process ends. */
#define ENDS_MS (DRAIN_MS + 500)

static struct server stay[3], leave[ROUNDS];
static struct proxy path;

int main(int argc, char **argv)
{
	long long acked[ROUNDS], latest;
	int late = 0, late_rounds = 0, cut = 0;
	char name[32];

	rig_init(argc, argv);
	store_start();
	store_put_config(3, 0, 0);
	for (int i = 0; i < 3; i++) {
		snprintf(name, sizeof(name), "stays-%d", i);
		server_start(&stay[i], name, "a", 3, 60);
		server_register(&stay[i], "ready");
	}
	proxy_start(&path, store_port());
	for (int i = 0; i < 3; i++) {
		snprintf(name, sizeof(name), "d%d", i + 1);
		gateways[gateway_count].store_port = path.port;
		gateway_start(gateway_add(name, "a", "a"));
	}
	gateways_wait_ready();
	sleep_ms(2000);
	/* Through those that do not read the store. */
	load_start(1, 4, 60);
	for (int i = 0; i < ROUNDS; i++) {
		snprintf(name, sizeof(name), "leaves-%d", i);
		server_start(&leave[i], name, "a", 3, 150);
		server_register(&leave[i], "ready");
		sleep_ms(CALM_MS + 110 * i);
		if (rig_trouble)
			rec("the store cuts off %d waiting watches",
			    proxy_reset_watches(&path));
		sleep_ms(50);
		store_delete("servers", leave[i].id);
		acked[i] = now_ms();
		rec("the entry of server %s is removed; it goes on serving",
		    leave[i].id);
		sleep_ms(ENDS_MS);
		server_end(&leave[i]);
		sleep_ms(5000 - ENDS_MS);
	}
	load_stop();
	for (int i = 0; i < ROUNDS; i++) {
		int n = runs_too_late(leave[i].id, acked[i], &latest);

		rec("%s: last run %lld ms after the acknowledgement",
		    leave[i].id, latest);
		cut += leave[i].cut;
		late += n;
		late_rounds += n > 0;
	}
	for (int i = 0; i < gateway_count; i++) {
		gateway_log_to_record(&gateways[i], "the store", 40);
		gateway_log_to_record(&gateways[i], "listed no more", 20);
	}
	rig_exit(late ? RIG_BROKEN : RIG_HELD,
		 "%d requests reached a server later than %d ms after its entry "
		 "was removed, in %d of %d rounds; %d that must not be repeated "
		 "were cut at work when the servers ended %d ms after it",
		 late, DRAIN_MS, late_rounds, ROUNDS, cut, ENDS_MS);
}
