/* The daemon that decides for its zone is suspended for some seconds. See claim.txt. */
#include "../11/kit.h"

/* Two in each of three zones. The clients are in the first. */
#define ZONES	 3
#define PER_ZONE 2
#define GATEWAYS (ZONES * PER_ZONE)
#define SERVERS	 6
#define SLOTS	 150
/* The tenant's allotment. */
#define RATE  100
#define BURST 400
/* Bounds of the site files. */
#define WINDOW_MS 5000
#define TOLERANCE 0.1
#define SLACK	  20
/* Kept connections of the tenant's clients to each gateway. */
#define CONNECTIONS 430
/* The clients are at work for this long, then idle, so that the allotment refills. */
#define WORK_MS	  4700
#define IDLE_MS	  5000
#define PAUSE_MS  100 /* between an answer and the next request */
#define FREEZE_MS 3700
/* The clients begin their work this long before the suspension ends. */
#define BEGIN_MS 300
#define ROUNDS	 4
#define RUNS_MAX 20000

static struct kit_server servers[SERVERS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct run {
	long sent, ran;
} runs[RUNS_MAX];
static int run_count;
static volatile bool ends;
static volatile long work_from = -1, work_until = -1;
static volatile long counts[600];

/* The id tells when its request was sent. */
static bool serve(struct kit_server *s, const struct kit_request *r, int fd)
{
	(void)s;
	pthread_mutex_lock(&lock);
	if (run_count < RUNS_MAX && !strncmp(r->id, "b-", 2)) {
		runs[run_count].sent = atol(r->id + 2);
		runs[run_count++].ran = kit_ms();
	}
	pthread_mutex_unlock(&lock);
	kit_sleep(20);
	return kit_answer(fd, r, 200, "X-Response-Seal: s\r\n", "whole body");
}

struct conn {
	int gateway, index;
};

/* Sends one request after the other while the clients are at work. */
static void *run_connection(void *arg)
{
	struct conn *c = arg;
	struct kit_gateway *g = &kit.gateways[c->gateway];
	int fd = kit_connect(g->ip, g->front);

	while (!ends) {
		long now = kit_ms();
		char id[64];
		int status;

		if (work_from < 0 || now < work_from || now >= work_until) {
			kit_sleep(5);
			continue;
		}
		if (fd < 0)
			fd = kit_connect(g->ip, g->front);
		snprintf(id, sizeof(id), "b-%ld-%d-%d", kit_ms(), c->gateway,
			 c->index);
		status = fd >= 0 && kit_send_request(fd, "GET", "/safe/b", id,
						     "k1", 6000)
				 ? kit_read_response(fd, 7000, NULL, 0)
				 : 0;
		__sync_fetch_and_add(&counts[status < 0 ? 599 : status % 600],
				     1);
		if (status <= 0) {
			close(fd);
			fd = -1;
		}
		kit_sleep(PAUSE_MS);
	}
	return NULL;
}

static int compare(const void *a, const void *b)
{
	const struct run *x = a, *y = b;

	return x->sent < y->sent ? -1 : x->sent > y->sent;
}

/* Returns the most requests that were both sent and run in a span of WINDOW_MS. */
static int busiest(long *at)
{
	int most = 0;

	qsort(runs, (size_t)run_count, sizeof(runs[0]), compare);
	for (int i = 0; i < run_count; i++) {
		int n = 0;

		for (int j = i; j < run_count &&
				runs[j].sent <= runs[i].sent + WINDOW_MS;
		     j++)
			n += runs[j].ran <= runs[i].sent + WINDOW_MS;
		if (n > most) {
			most = n;
			*at = runs[i].sent;
		}
	}
	return most;
}

int main(int argc, char **argv)
{
	static struct conn conns[PER_ZONE][CONNECTIONS];
	const int limit = (int)((RATE * WINDOW_MS / 1000 + BURST) *
				(1 + TOLERANCE)) +
			  SLACK;
	struct kit_gateway *g = &kit.gateways[0];
	int front, ready, internal, most;
	char ip[32], zone[8], spec[1024];
	long at = 0;

	(void)argc;
	kit_begin(argv[1], getenv("TROUBLE"));
	snprintf(spec, sizeof(spec),
		 "{\"version\":\"r7\",\"limits\":{\"max_header_bytes\":16384,"
		 "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
		 "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"acc\","
		 "\"api_keys\":[\"k1\"],\"priority\":1,\"rate_per_s\":%d,"
		 "\"burst\":%d}],\"listeners\":[{\"host\":\"h.example\","
		 "\"rules\":[{\"name\":\"safe\",\"kind\":\"safe\","
		 "\"slo_ms\":1000,\"priority\":1,\"public\":false,\"match\":{"
		 "\"path_prefix\":\"/safe/\"},\"action\":{\"service\":\"svc\","
		 "\"timeout_ms\":5000,\"attempts\":2}}]}],\"clusters\":[{"
		 "\"name\":\"svc\",\"health_path\":\"/health\","
		 "\"max_conns\":390}]}",
		 RATE, BURST);
	kit_put("config", "main", spec);
	for (int i = 0; i < SERVERS; i++) {
		snprintf(zone, sizeof(zone), "z%d", i % ZONES + 1);
		kit_start_server(&servers[i], i, "svc", zone, SLOTS, serve);
	}
	snprintf(ip, sizeof(ip), "%s.1", kit.ip_base);
	front = kit_free_port(ip);
	ready = kit_free_port(ip);
	internal = kit_free_port(ip);
	for (int i = 0; i < GATEWAYS; i++) {
		snprintf(zone, sizeof(zone), "z%d", i / PER_ZONE + 1);
		kit_add_gateway(zone, "\"z1\", \"z2\", \"z3\"", front,
				ready, internal);
	}
	for (int i = 0; i < GATEWAYS; i++)
		kit_start_gateway(&kit.gateways[i]);
	kit_wait_ready();
	for (int i = 0; i < PER_ZONE; i++)
		for (int j = 0; j < CONNECTIONS; j++) {
			conns[i][j] = (struct conn){ i, j };
			kit_thread(run_connection, &conns[i][j]);
		}
	for (int i = 0; i < ROUNDS; i++) {
		long stopped;
		int before = run_count;

		kit_sleep(IDLE_MS);
		stopped = kit_ms();
		if (kit.trouble)
			kit_signal(g, SIGSTOP, "SIGSTOP");
		work_until = stopped + FREEZE_MS - BEGIN_MS + WORK_MS;
		work_from = stopped + FREEZE_MS - BEGIN_MS;
		kit_sleep_until(stopped + FREEZE_MS);
		kit_note("the clients have begun to send, %d ms ago: %d "
			 "requests have run",
			 BEGIN_MS, run_count - before);
		if (kit.trouble)
			kit_signal(g, SIGCONT, "SIGCONT");
		kit_sleep(300);
		kit_note("300 ms later: %d requests have run",
			 run_count - before);
		kit_sleep_until(work_until + 1000);
		kit_note("round %d: %d requests have run; answers so far: 200: "
			 "%ld, 429: %ld, 503: %ld, none: %ld",
			 i, run_count - before, counts[200], counts[429],
			 counts[503], counts[0] + counts[599]);
	}
	ends = true;
	kit_sleep(500);
	pthread_mutex_lock(&lock);
	most = busiest(&at);
	if (most > limit)
		kit_end(KIT_BROKEN,
			"%d requests were sent and ran within %d ms from "
			"%.3f s, %d are allowed",
			most, WINDOW_MS, (double)at / 1000, limit);
	kit_end(KIT_HELD, "at most %d requests ran within %d ms, %d are allowed",
		most, WINDOW_MS, limit);
}
