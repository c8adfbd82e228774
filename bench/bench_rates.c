/*
 * Measures admission by rate: requests refused although they were within their
 * account's rate, grants above the rate, control traffic, the time of one
 * admission, and memory. The fleet runs are replays on a simulated clock, so
 * their figures are the same on every machine. For comparison, each trace also
 * runs with a fixed equal split.
 */
#include <malloc.h>
#include <string.h>
#include <time.h>

#include "../replay/rate_replay.h"
#include "internal/rates.h"

#define SMALL_ACCOUNTS 46000
#define ADMISSIONS     2000000

static void print_header(const char *title)
{
	printf("\n%s\n%-34s %9s %9s %9s %10s %8s %8s %8s\n", title, "",
	       "requests", "wrongful", "worst", "above", "msg/s", "B/s", "B/s");
	printf("%-34s %9s %9s %9s %10s %8s %8s %8s\n", "", "", "%", "account %",
	       "limit", "/daemon", "/daemon", "most");
}

static void print_row(const char *name, const struct rr_trace *t,
		      const struct rr_result *r)
{
	double seconds = (double)rr_trace_end(t) / 1000;
	double n = rr_trace_daemons(t);

	printf("%-34s %9" G_GUINT64_FORMAT
	       " %9.4f %9.4f %10.1f %8.2f %8.0f %8.0f\n",
	       name, r->arrived, r->wrongful_percent, r->worst_percent,
	       r->worst_excess, (double)r->messages / seconds / n,
	       (double)r->bytes / seconds / n, (double)r->most_bytes / seconds);
	fflush(stdout);
}

static struct rr_trace *parse(const char *text)
{
	FILE *in = fmemopen((void *)text, strlen(text), "r");
	struct rr_trace *t = rr_read(in, "bench");

	fclose(in);
	if (!t)
		abort();
	return t;
}

static void run_one(const char *name, const char *text,
		    enum rr_omission omitted)
{
	struct rr_trace *t = parse(text);
	struct rr_result r;

	rr_run(t, omitted, false, &r);
	print_row(name, t, &r);
	rr_result_clear(&r);
	rr_trace_free(t);
}

static void run_pair(const char *name, const char *text)
{
	char *equal = g_strdup_printf("%s, equal split", name);

	run_one(name, text, RR_NOTHING_OMITTED);
	run_one(equal, text, RR_EQUAL_SPLIT);
	g_free(equal);
}

static char *eight_accounts(int daemons, const char *extra)
{
	int last = daemons - 1;
	GString *s = g_string_new(NULL);
	static const struct {
		const char *name;
		int rate, burst, load;
		double zipf;
	} a[] = {
		{ "a1", 2000, 1000, 1400, 0.8 }, { "a2", 800, 400, 560, 0.8 },
		{ "a3", 300, 300, 210, 0.8 },	 { "a4", 100, 100, 60, 0.8 },
		{ "a5", 100, 100, 60, 0 },	 { "a6", 50, 100, 25, 0 },
		{ "a7", 50, 100, 25, 0.8 },	 { "a8", 20, 60, 10, 0 },
	};

	g_string_printf(s, "daemons %d\nend 120000\n", daemons);
	for (size_t i = 0; i < G_N_ELEMENTS(a); i++)
		g_string_append_printf(s, "account %s %d %d\n", a[i].name,
				       a[i].rate, a[i].burst);
	for (size_t i = 0; i < G_N_ELEMENTS(a); i++)
		g_string_append_printf(s, "traffic 0 120000 %s %d 0 %d %g\n",
				       a[i].name, a[i].load, last, a[i].zipf);
	g_string_append(s, extra);
	return g_string_free(s, FALSE);
}

static void run_eight(const char *name, int daemons, const char *extra)
{
	char *text = eight_accounts(daemons, extra);

	run_pair(name, text);
	g_free(text);
}

static void bench_uneven(void)
{
	print_header("Eight accounts, uneven traffic, store healthy, 120 s");
	run_eight("32 daemons", 32, "");
	run_eight("48 daemons", 48, "");
	run_pair("48 daemons, load moves at 20 s",
		 "daemons 48\naccount big 2000 1000\naccount mid 300 200\n"
		 "account small 20 20\nend 60000\n"
		 "traffic 0 60000 big 1500 0 47 1.0 20000\n"
		 "traffic 0 60000 mid 220 0 47 1.0 20000\n"
		 "traffic 0 60000 small 10 0 47\n");
	run_pair("48 daemons, one at 10 times",
		 "daemons 48\naccount large 200 200\naccount calm 300 200\n"
		 "end 60000\ntraffic 0 60000 large 2000 0 47 0.5\n"
		 "traffic 0 60000 calm 150 0 47 0.5\n");
}

static void bench_failures(void)
{
	print_header("Eight accounts, 48 daemons, failures, 120 s");
	run_eight("holder 9 killed, gone after 15 s", 48,
		  "at 30000 kill 9\nat 45000 gone 9\n");
	run_eight("holder 9 frozen for 40 s", 48,
		  "at 30000 freeze 9\nat 70000 thaw 9\n");
	run_eight("coordinator of a1 killed", 48,
		  "at 30000 kill 0\nat 42000 gone 0\nat 43000 takeover 0 9\n"
		  "at 43000 takeover 48 9\n");
	run_eight("coordinator of a1 frozen for 40 s", 48,
		  "at 30000 freeze 0\nat 70000 thaw 0\n");
	run_eight("coordinator of a1 hands over", 48,
		  "at 30000 handover 0 9\n");
	run_eight("2 % lost, 2 % duplicated", 48, "net 1 3 20 20\n");
	run_eight("0 cannot reach holder 9", 48,
		  "at 30000 block 0 9\nat 70000 unblock 0 9\n");
}

static void bench_small(void)
{
	static const char text[] =
		"daemons 470\naccounts account- 46000 4 20\nend 20000\n"
		"traffic 0 20000 all 81000 0 469\n";

	print_header("46,000 accounts, 470 daemons, 81,000 requests/s, 20 s");
	run_one("tokens from the pool per request", text, RR_NOTHING_OMITTED);
	run_one("holdings for small accounts", text, RR_SMALL_HOLDINGS);
	run_one("equal split", text, RR_EQUAL_SPLIT);
}

/* Fakes of what the controller depends on. This process coordinates every
 * shard. */
struct cg_config {
	struct cg_account *accounts;
	size_t n;
	GHashTable *by_name;
};

struct cg_docs {
	struct cg_config *config;
};

size_t cg_members_copy(struct cg_members *m, struct cg_member *out, size_t max)
{
	return 0;
}

int cg_members_find(struct cg_members *m, const char *name,
		    struct cg_member *out)
{
	return -1;
}

uint64_t cg_members_generation(struct cg_members *m)
{
	return 1;
}

uint64_t cg_shards_map_version(struct cg_shards *s)
{
	(void)s;
	return 1;
}

int cg_shards_owner(struct cg_shards *s, uint32_t shard,
		    struct cg_shard_owner *out)
{
	memset(out, 0, sizeof(*out));
	g_strlcpy(out->instance, "entry-1", sizeof(out->instance));
	out->epoch = 1;
	out->self = true;
	return 0;
}

uint64_t cg_docs_version(struct cg_docs *d, enum cg_doc doc)
{
	return 1;
}

struct cg_config *cg_docs_config(struct cg_docs *d)
{
	return d->config;
}

void cg_config_unref(struct cg_config *c)
{
}

const struct cg_account *cg_config_find_account(const struct cg_config *c,
						const char *name)
{
	return g_hash_table_lookup(c->by_name, name);
}

uint32_t cg_shard_of(const char *name)
{
	return g_str_hash(name) % CG_SHARDS;
}

static void fill_config(struct cg_config *c)
{
	c->n = SMALL_ACCOUNTS;
	c->accounts = g_new0(struct cg_account, c->n);
	c->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < c->n; i++) {
		struct cg_account *a = &c->accounts[i];

		g_snprintf(a->name, sizeof(a->name), "account-%zu", i);
		a->shard = cg_shard_of(a->name);
		/* The first account is large enough for the timed loop. */
		a->rate_milli = i ? 4000 : INT64_C(4000000000);
		a->burst_milli = i ? 20000 : INT64_C(4000000000);
		g_hash_table_insert(c->by_name, a->name, a);
	}
}

static double now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * 1e9 + (double)ts.tv_nsec;
}

static void ignore_result(struct cg_rate_waiter *w, enum cg_rate_result result)
{
}

static void time_admissions(struct cg_rates *r, const struct cg_account *a)
{
	struct cg_rate_waiter w = { .done = ignore_result };
	double start, spent;
	size_t admitted = 0;

	/* Two seconds of load, so that a holding is granted. */
	for (int i = 0; i < 2000; i++) {
		cg_rates_admit(r, a, &w);
		cg_sleep(1);
	}
	start = now_ns();
	for (int i = 0; i < ADMISSIONS; i++)
		admitted += cg_rates_admit(r, a, &w) == CG_RATE_ADMITTED;
	spent = now_ns() - start;
	printf("one admission: %.0f ns (%zu of %d admitted, one thread)\n",
	       spent / ADMISSIONS, admitted, ADMISSIONS);
}

static void bench_controller(void)
{
	struct cg_settings s = { .rate_wait_ms = 20,
				 .unlisted_lease_ms = 30000 };
	GBytes *secret = g_bytes_new("secret", 6);
	struct cg_config config;
	struct cg_docs docs = { &config };
	struct cg_rate_waiter w = { .done = ignore_result };
	struct cg_clock clk;
	struct cg_peer *peer;
	struct cg_rates *r;
	size_t heap_before;

	fill_config(&config);
	cg_clock_init_boot(&clk);
	g_strlcpy(s.instance, "entry-1", sizeof(s.instance));
	peer = cg_peer_new(s.instance, 1, secret, NULL);
	heap_before = mallinfo2().uordblks;
	r = cg_rates_new(&s, &clk, peer, NULL, NULL, &docs);
	if (cg_rates_start(r))
		abort();
	printf("\nController\n");
	for (size_t i = 1; i < config.n; i++)
		cg_rates_admit(r, &config.accounts[i], &w);
	printf("memory after one request of each of %d accounts, all "
	       "coordinated here: %.1f MB\n",
	       SMALL_ACCOUNTS,
	       (double)(mallinfo2().uordblks - heap_before) / 1e6);
	time_admissions(r, &config.accounts[0]);
	cg_rates_free(r);
	cg_peer_free(peer);
	g_bytes_unref(secret);
	g_hash_table_destroy(config.by_name);
	g_free(config.accounts);
}

int main(void)
{
	bench_uneven();
	bench_failures();
	bench_small();
	bench_controller();
	return 0;
}
