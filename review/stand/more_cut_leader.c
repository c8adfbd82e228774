/*
 * The daemon that reads the store for its domain loses its path to the
 * store, and a server says that it leaves. The other daemons are in touch; they
 * must send the server nothing later than drain_ms after the acknowledgement.
 */
#include <stdio.h>

#include "drain_load.h"

#define ROUNDS 6
#define CUT_MS 5500 /* the site's longest core_cut */
#define CALM_MS 5000 /* more than stable_window_ms */

static struct server stay[3], leave[ROUNDS];
static struct proxy paths[ROUNDS];

int main(int argc, char **argv)
{
	long long acked[ROUNDS], latest;
	int late = 0, late_rounds = 0;
	char name[32];

	rig_init(argc, argv);
	store_start();
	store_put_config(3, 0, 0);
	for (int i = 0; i < 3; i++) {
		snprintf(name, sizeof(name), "stays-%d", i);
		server_start(&stay[i], name, "a", 3, 60);
		server_register(&stay[i], "ready");
	}
	/* The first one has the lowest address and leads; after the cut of its
	 * path the next one does, and so on. */
	for (int i = 0; i < GATEWAYS_MAX; i++) {
		snprintf(name, sizeof(name), "d%02d", i + 1);
		if (i < ROUNDS)
			proxy_start(&paths[i], store_port());
		gateways[gateway_count].store_port =
			i < ROUNDS ? paths[i].port : store_port();
		gateway_start(gateway_add(name, "a", "a"));
	}
	gateways_wait_ready();
	sleep_ms(2000);
	/* Only gateways whose path is never cut take the requests. */
	load_start(ROUNDS, 3, 100);
	for (int i = 0; i < ROUNDS; i++) {
		snprintf(name, sizeof(name), "leaves-%d", i);
		server_start(&leave[i], name, "a", 3, 60);
		server_register(&leave[i], "ready");
		sleep_ms(CALM_MS + 70 * i);
		if (rig_trouble) {
			rec("gateway %s loses its path to the store",
			    gateways[i].name);
			paths[i].mode = PROXY_SILENT;
		}
		sleep_ms(20);
		server_register(&leave[i], "draining");
		acked[i] = now_ms();
		sleep_ms(CUT_MS - 20);
		paths[i].mode = PROXY_PASS;
		if (rig_trouble)
			rec("gateway %s reaches the store again",
			    gateways[i].name);
		sleep_ms(1000);
		store_delete("servers", leave[i].id);
		rec("server %s has left", leave[i].id);
	}
	load_stop();
	for (int i = 0; i < ROUNDS; i++) {
		int n = runs_too_late(leave[i].id, acked[i], &latest);

		rec("%s: last run %lld ms after the acknowledgement",
		    leave[i].id, latest);
		late += n;
		late_rounds += n > 0;
	}
	for (int i = 0; i < gateway_count; i++)
		gateway_log_to_record(&gateways[i], "follows", 40);
	rig_exit(late ? RIG_BROKEN : RIG_HELD,
		 "%d requests reached a leaving server later than %d ms after "
		 "the acknowledgement, in %d of %d rounds",
		 late, DRAIN_MS, late_rounds, ROUNDS);
}
