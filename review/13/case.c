/* The daemon that leads its zone is killed while the store turns the next one away.
 * See claim.txt. */
#include "../11/kit.h"

#define GATEWAYS 3 /* the first leads, the second leads next, the third is judged */
#define SERVERS	 6
#define SLOTS	 6
#define WORK_MS	 60
#define CLIENTS	 60
#define ROUNDS	 1
#define DRAIN_MS 2000 /* bound drain_ms */
#define LEAVE_MS 2500 /* from the removal of the server's entry to the kill */
#define TURN_MS	 500 /* from the beginning of the silence to the kill */
#define DOWN_MS	 3500 /* from the kill to the restart and the end of the silence */
#define LINGER_MS 8000 /* for which a server goes on to serve; "at times many seconds" */
#define ROUND_MS 9000

static struct kit_server servers[SERVERS + ROUNDS];
static volatile long gone_at[SERVERS + ROUNDS];
static struct kit_link link_to_store;
static volatile bool ends;
static volatile long counts[600], late, worst;

static bool serve(struct kit_server *s, const struct kit_request *r, int fd)
{
	long gone = gone_at[s - servers], now = kit_ms();

	if (gone && now - gone > LINGER_MS)
		return false;
	if (gone && now - gone > DRAIN_MS) {
		if (__sync_fetch_and_add(&late, 1) < 200)
			kit_note("server %s gets and runs %s, %ld ms after the "
				 "ack that it is gone",
				 s->id, r->id, now - gone);
		if (now - gone > worst)
			worst = now - gone;
	}
	kit_sleep(WORK_MS);
	return kit_answer(fd, r, 200, "X-Response-Seal: s\r\n", "whole body");
}

static void *run_client(void *arg)
{
	struct kit_gateway *g = &kit.gateways[GATEWAYS - 1];
	int fd = -1;

	for (long n = 0; !ends; n++) {
		char id[64];
		int status;

		if (fd < 0)
			fd = kit_connect(g->ip, g->front);
		snprintf(id, sizeof(id), "c-%ld-%ld", (long)(intptr_t)arg, n);
		status = fd >= 0 && kit_send_request(fd, "POST", "/unsafe/x",
						     id, "k1", 5000)
				 ? kit_read_response(fd, 6000, NULL, 0)
				 : 0;
		__sync_fetch_and_add(&counts[status < 0 ? 599 : status % 600],
				     1);
		if (status <= 0) {
			if (fd >= 0)
				close(fd);
			fd = -1;
		}
		kit_sleep(status == 200 ? 100 : 1000);
	}
	return NULL;
}

static void play_round(int i, int *next)
{
	struct kit_gateway *leader = &kit.gateways[0];
	long start = kit_ms(), before = late;
	int leaving = *next - SERVERS;

	gone_at[leaving] = kit_delete("servers", servers[leaving].id);
	kit_note("round %d: the store has acknowledged that %s is gone", i,
		 servers[leaving].id);
	kit_sleep_until(start + LEAVE_MS - TURN_MS);
	if (kit.trouble) {
		kit_note("the store does not answer %s any more",
			 kit.gateways[1].name);
		kit_silence(&link_to_store, true);
	}
	kit_sleep_until(start + LEAVE_MS);
	if (kit.trouble)
		kit_signal(leader, SIGKILL, "SIGKILL");
	kit_sleep_until(start + LEAVE_MS + DOWN_MS);
	if (kit.trouble) {
		kit_silence(&link_to_store, false);
		waitpid(leader->pid, NULL, 0);
		for (int p = 0; p < kit.pid_count; p++)
			if (kit.pids[p] == leader->pid)
				kit.pids[p] = 0;
		kit_start_gateway(leader);
	}
	kit_start_server(&servers[*next], *next, "svc", "z1", SLOTS, serve);
	++*next;
	kit_note("round %d: %ld late requests; answers so far: 200: %ld, 503: "
		 "%ld, 502 and 504: %ld, none: %ld",
		 i, late - before, counts[200], counts[503],
		 counts[502] + counts[504], counts[0] + counts[599]);
	kit_sleep_until(start + ROUND_MS);
}

int main(int argc, char **argv)
{
	int front, ready, internal, next = SERVERS;
	char ip[32];

	(void)argc;
	kit_begin(argv[1], getenv("TROUBLE"));
	kit_put("config", "main",
		"{\"version\":\"r7\",\"limits\":{\"max_header_bytes\":16384,"
		"\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
		"\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"acc\","
		"\"api_keys\":[\"k1\"],\"priority\":1,\"rate_per_s\":0,"
		"\"burst\":0}],\"listeners\":[{\"host\":\"h.example\","
		"\"rules\":[{\"name\":\"unsafe\",\"kind\":\"unsafe\","
		"\"slo_ms\":1000,\"priority\":1,\"public\":false,\"match\":{"
		"\"path_prefix\":\"/unsafe/\"},\"action\":{\"service\":\"svc\","
		"\"timeout_ms\":5000,\"attempts\":2}}]}],\"clusters\":[{\"name\":"
		"\"svc\",\"health_path\":\"/health\",\"max_conns\":390}]}");
	for (int i = 0; i < SERVERS; i++)
		kit_start_server(&servers[i], i, "svc", "z1", SLOTS, serve);
	kit_start_link(&link_to_store);
	snprintf(ip, sizeof(ip), "%s.1", kit.ip_base);
	front = kit_free_port(ip);
	ready = kit_free_port(ip);
	internal = kit_free_port(ip);
	for (int i = 0; i < GATEWAYS; i++) {
		kit.gateway_store_port = i == 1 ? link_to_store.port : 0;
		kit_add_gateway("z1", "\"z1\"", front, ready, internal);
	}
	for (int i = 0; i < GATEWAYS; i++)
		kit_start_gateway(&kit.gateways[i]);
	kit_wait_ready();
	for (int i = 0; i < CLIENTS; i++)
		kit_thread(run_client, (void *)(intptr_t)i);
	kit_sleep(4000);
	for (int i = 0; i < ROUNDS; i++)
		play_round(i, &next);
	ends = true;
	if (late)
		kit_end(KIT_BROKEN,
			"%ld requests reached servers more than %d ms after the "
			"ack that these are gone, up to %ld ms",
			late, DRAIN_MS, worst);
	kit_end(KIT_HELD, "no request reached a server more than %d ms after the "
			  "ack that it is gone",
		DRAIN_MS);
}
