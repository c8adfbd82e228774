/*
 * Replays the same arrivals against the queue of one service, on a simulated
 * clock. Reports the latency of the worst-served small client account with a
 * FIFO queue and with the fair queue, and with and without a large account that
 * sends ten times its rate. Without the rate limit, only the queue protects the
 * small accounts; with it, the excess of the large account never reaches the
 * queue.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "celeryglade/fair_queue.h"

#define SMALL_ACCOUNTS		7
#define TRACE_MS		120000
#define QUEUE_LIMIT		400
#define QUEUE_LIMIT_PER_ACCOUNT 100
#define MEAN_SERVICE_MS		40

struct arrival {
	struct cg_fair_item item;
	int64_t arrived_at;
	int64_t service_ms;
	int account; /* 0 is the large account. */
};

struct trace {
	struct arrival *a;
	size_t n;
};

enum policy {
	POLICY_FIFO,
	POLICY_FAIR,
};

struct result {
	double p50[SMALL_ACCOUNTS + 1]; /* Waiting plus service time, in ms. */
	double p99[SMALL_ACCOUNTS + 1];
	double refused[SMALL_ACCOUNTS + 1];
};

static double uniform(unsigned int *seed)
{
	return (rand_r(seed) + 1.0) / ((double)RAND_MAX + 2.0);
}

static int64_t exponential(unsigned int *seed, double mean)
{
	int64_t v = (int64_t)(-log(uniform(seed)) * mean);

	return v < 1 ? 1 : v;
}

static int compare_arrivals(const void *a, const void *b)
{
	const struct arrival *x = a, *y = b;

	return (x->arrived_at > y->arrived_at) -
	       (x->arrived_at < y->arrived_at);
}

enum large_account {
	LARGE_ABSENT,
	LARGE_UNLIMITED,
	LARGE_LIMITED,
};

/* Token bucket whose burst is the rate of one second. */
static bool within_rate(double *tokens, double *last, double arrived_at,
			double rate)
{
	*tokens = fmin(*tokens + (arrived_at - *last) * rate, rate * 1000);
	*last = arrived_at;
	if (*tokens < 1)
		return false;
	*tokens -= 1;
	return true;
}

/* Each small account sends 6 % of the requests that the slots can serve. The
 * large account may send 20 % and sends ten times that. */
static struct trace generate_trace(unsigned int slots,
				   enum large_account large_account)
{
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct arrival));
	double capacity =
		(double)slots / MEAN_SERVICE_MS; /* Requests per ms. */
	struct trace t;

	for (int acc = large_account == LARGE_ABSENT; acc <= SMALL_ACCOUNTS;
	     acc++) {
		double rate = capacity * (acc == 0 ? 0.2 * 10 : 0.06);
		unsigned int seed = 1000 + (unsigned int)acc;
		double arrived_at = 0, tokens = 0, last = 0;

		while (arrived_at < TRACE_MS) {
			struct arrival a = { .account = acc };

			arrived_at += -log(uniform(&seed)) / rate;
			a.arrived_at = (int64_t)arrived_at;
			a.service_ms = exponential(&seed, MEAN_SERVICE_MS);
			if (acc == 0 && large_account == LARGE_LIMITED &&
			    !within_rate(&tokens, &last, arrived_at,
					 capacity * 0.2))
				continue;
			g_array_append_val(out, a);
		}
	}
	t.n = out->len;
	t.a = (struct arrival *)(void *)g_array_free(out, FALSE);
	qsort(t.a, t.n, sizeof(*t.a), compare_arrivals);
	return t;
}

struct queue_run {
	enum policy policy;
	struct cg_fair_queue *fair;
	GQueue *fifo;
	struct arrival **running; /* Per slot. */
	int64_t *ends;
	unsigned int slots;
	GArray *latencies_ms[SMALL_ACCOUNTS + 1];
	unsigned int sent[SMALL_ACCOUNTS + 1];
	unsigned int refused[SMALL_ACCOUNTS + 1];
};

static const char *account_name(int account)
{
	static const char *const names[] = { "large", "s1", "s2", "s3",
					     "s4",    "s5", "s6", "s7" };

	return names[account];
}

static void enqueue(struct queue_run *r, struct arrival *a)
{
	int rc = -1;

	r->sent[a->account]++;
	switch (r->policy) {
	case POLICY_FIFO:
		if (r->fifo->length < QUEUE_LIMIT) {
			g_queue_push_tail(r->fifo, a);
			rc = 0;
		}
		break;
	case POLICY_FAIR:
		rc = cg_fair_queue_push(r->fair, account_name(a->account),
					&a->item);
		break;
	}
	if (rc)
		r->refused[a->account]++;
}

static struct arrival *dequeue(struct queue_run *r)
{
	struct cg_fair_item *it;

	switch (r->policy) {
	case POLICY_FIFO:
		return g_queue_pop_head(r->fifo);
	case POLICY_FAIR:
		it = cg_fair_queue_pop(r->fair);
		return it ? caa_container_of(it, struct arrival, item) : NULL;
	}
	return NULL;
}

static void complete_finished(struct queue_run *r, int64_t now)
{
	for (unsigned int s = 0; s < r->slots; s++) {
		if (!r->running[s] || r->ends[s] > now)
			continue;
		if (r->policy == POLICY_FAIR)
			cg_fair_queue_charge(
				r->fair, account_name(r->running[s]->account),
				r->running[s]->service_ms);
		r->running[s] = NULL;
	}
}

static void start_requests(struct queue_run *r, int64_t now)
{
	for (unsigned int s = 0; s < r->slots; s++) {
		struct arrival *a;
		int64_t latency_ms;

		if (r->running[s])
			continue;
		a = dequeue(r);
		if (!a)
			return;
		latency_ms = now - a->arrived_at + a->service_ms;
		r->running[s] = a;
		r->ends[s] = now + a->service_ms;
		g_array_append_val(r->latencies_ms[a->account], latency_ms);
	}
}

static int compare_values(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static double percentile(GArray *a, double p)
{
	if (a->len == 0)
		return 0;
	qsort(a->data, a->len, sizeof(int64_t), compare_values);
	return (double)g_array_index(a, int64_t, (guint)(p * (a->len - 1)));
}

static struct result replay(const struct trace *t, unsigned int slots,
			    enum policy policy)
{
	struct queue_run r = { .policy = policy, .slots = slots };
	struct result res;
	size_t i = 0;

	r.fair = cg_fair_queue_new(QUEUE_LIMIT, QUEUE_LIMIT_PER_ACCOUNT);
	r.fifo = g_queue_new();
	r.running = g_new0(struct arrival *, slots);
	r.ends = g_new0(int64_t, slots);
	for (int k = 0; k <= SMALL_ACCOUNTS; k++)
		r.latencies_ms[k] = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (int64_t now = 0; now < TRACE_MS; now++) {
		complete_finished(&r, now);
		for (; i < t->n && t->a[i].arrived_at <= now; i++)
			enqueue(&r, &t->a[i]);
		start_requests(&r, now);
	}
	for (int k = 0; k <= SMALL_ACCOUNTS; k++) {
		res.p50[k] = percentile(r.latencies_ms[k], 0.5);
		res.p99[k] = percentile(r.latencies_ms[k], 0.99);
		res.refused[k] =
			r.sent[k] ? 100.0 * r.refused[k] / r.sent[k] : 0;
		g_array_unref(r.latencies_ms[k]);
	}
	while (cg_fair_queue_pop(r.fair))
		;
	cg_fair_queue_free(r.fair);
	g_queue_free(r.fifo);
	g_free(r.running);
	g_free(r.ends);
	return res;
}

static void print_row(const char *what, const struct result *r)
{
	double p50 = 0, p99 = 0, refused = 0;

	for (int k = 1; k <= SMALL_ACCOUNTS; k++) {
		p50 = fmax(p50, r->p50[k]);
		if (r->p99[k] > p99)
			p99 = r->p99[k];
		if (r->refused[k] > refused)
			refused = r->refused[k];
	}
	printf("  %-48s %8.0f %8.0f %8.2f %12.2f\n", what, p50, p99, refused,
	       r->refused[0]);
}

static void measure(const char *name, unsigned int servers,
		    unsigned int per_server)
{
	unsigned int slots = servers * per_server;
	static const struct {
		const char *label;
		enum large_account large_account;
		enum policy policy;
	} rows[] = {
		{ "large account absent, fair queue", LARGE_ABSENT,
		  POLICY_FAIR },
		{ "large at 10x, no limit, first come first served",
		  LARGE_UNLIMITED, POLICY_FIFO },
		{ "large at 10x, no limit, fair queue", LARGE_UNLIMITED,
		  POLICY_FAIR },
		{ "large at 10x, limited, first come first served",
		  LARGE_LIMITED, POLICY_FIFO },
		{ "large at 10x, limited, fair queue", LARGE_LIMITED,
		  POLICY_FAIR },
	};

	printf("%s: %u servers with %u slots, mean %d ms\n", name, servers,
	       per_server, MEAN_SERVICE_MS);
	printf("  %-48s %8s %8s %8s %12s\n", "worst small account", "p50 ms",
	       "p99 ms", "ref. %", "large ref. %");
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct trace t = generate_trace(slots, rows[i].large_account);
		struct result r = replay(&t, slots, rows[i].policy);

		print_row(rows[i].label, &r);
		free(t.a);
	}
}

int main(void)
{
	measure("deployment A", 10, 3);
	measure("deployment B, payments", 10, 6);
	measure("deployment B, rounds", 5, 6);
	return 0;
}
