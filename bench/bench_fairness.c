/*
 * Replays one trace of arrivals against the queue of one service, on a given
 * clock: wait of the worst-served small client account, first come first
 * served beside the fair queue, with and without a large account at ten times
 * its rate. With the rate limit off, the queue alone has to protect the small
 * accounts; with it on, the large account's excess never reaches the queue.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "celeryglade/fair_queue.h"

#define SMALL_ACCOUNTS 7
#define TRACE_MS       120000
#define QUEUE_LIMIT    400
#define QUEUE_SHARE    100
#define MEAN_MS	       40

struct arrival {
	struct cg_fair_item item;
	int64_t at;
	int64_t took;
	int account; /* 0 is the large one. */
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
	double p50[SMALL_ACCOUNTS + 1]; /* Of wait and service, ms. */
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

static int by_time(const void *a, const void *b)
{
	const struct arrival *x = a, *y = b;

	return (x->at > y->at) - (x->at < y->at);
}

enum large {
	LARGE_ABSENT,
	LARGE_UNLIMITED,
	LARGE_LIMITED,
};

/* A token bucket with a burst of one second's rate. */
static bool within_rate(double *tokens, double *last, double at, double rate)
{
	*tokens = fmin(*tokens + (at - *last) * rate, rate * 1000);
	*last = at;
	if (*tokens < 1)
		return false;
	*tokens -= 1;
	return true;
}

/* Each small account sends 6 % of what the slots can serve; the large one may
 * send 20 % and sends ten times that. */
static struct trace make_trace(unsigned int slots, enum large large)
{
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct arrival));
	double capacity = (double)slots / MEAN_MS; /* Requests per ms. */
	struct trace t;

	for (int acc = large == LARGE_ABSENT; acc <= SMALL_ACCOUNTS; acc++) {
		double rate = capacity * (acc == 0 ? 0.2 * 10 : 0.06);
		unsigned int seed = 1000 + (unsigned int)acc;
		double at = 0, tokens = 0, last = 0;

		while (at < TRACE_MS) {
			struct arrival a = { .account = acc };

			at += -log(uniform(&seed)) / rate;
			a.at = (int64_t)at;
			a.took = exponential(&seed, MEAN_MS);
			if (acc == 0 && large == LARGE_LIMITED &&
			    !within_rate(&tokens, &last, at, capacity * 0.2))
				continue;
			g_array_append_val(out, a);
		}
	}
	t.n = out->len;
	t.a = (struct arrival *)(void *)g_array_free(out, FALSE);
	qsort(t.a, t.n, sizeof(*t.a), by_time);
	return t;
}

struct run {
	enum policy policy;
	struct cg_fair_queue *fair;
	GQueue *fifo;
	struct arrival **busy; /* Per slot. */
	int64_t *ends;
	unsigned int slots;
	GArray *waits[SMALL_ACCOUNTS + 1];
	unsigned int sent[SMALL_ACCOUNTS + 1];
	unsigned int refused[SMALL_ACCOUNTS + 1];
};

static const char *account_name(int account)
{
	static const char *const names[] = { "large", "s1", "s2", "s3",
					     "s4",    "s5", "s6", "s7" };

	return names[account];
}

static void arrive(struct run *r, struct arrival *a)
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

static struct arrival *next(struct run *r)
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

static void finish_due(struct run *r, int64_t now)
{
	for (unsigned int s = 0; s < r->slots; s++) {
		if (!r->busy[s] || r->ends[s] > now)
			continue;
		if (r->policy == POLICY_FAIR)
			cg_fair_queue_charge(r->fair,
					     account_name(r->busy[s]->account),
					     r->busy[s]->took);
		r->busy[s] = NULL;
	}
}

static void start_waiting(struct run *r, int64_t now)
{
	for (unsigned int s = 0; s < r->slots; s++) {
		struct arrival *a;
		int64_t wait;

		if (r->busy[s])
			continue;
		a = next(r);
		if (!a)
			return;
		wait = now - a->at + a->took;
		r->busy[s] = a;
		r->ends[s] = now + a->took;
		g_array_append_val(r->waits[a->account], wait);
	}
}

static int by_value(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static double percentile(GArray *a, double p)
{
	if (a->len == 0)
		return 0;
	qsort(a->data, a->len, sizeof(int64_t), by_value);
	return (double)g_array_index(a, int64_t, (guint)(p * (a->len - 1)));
}

static struct result replay(const struct trace *t, unsigned int slots,
			    enum policy policy)
{
	struct run r = { .policy = policy, .slots = slots };
	struct result res;
	size_t i = 0;

	r.fair = cg_fair_queue_new(QUEUE_LIMIT, QUEUE_SHARE);
	r.fifo = g_queue_new();
	r.busy = g_new0(struct arrival *, slots);
	r.ends = g_new0(int64_t, slots);
	for (int k = 0; k <= SMALL_ACCOUNTS; k++)
		r.waits[k] = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (int64_t now = 0; now < TRACE_MS; now++) {
		finish_due(&r, now);
		for (; i < t->n && t->a[i].at <= now; i++)
			arrive(&r, &t->a[i]);
		start_waiting(&r, now);
	}
	for (int k = 0; k <= SMALL_ACCOUNTS; k++) {
		res.p50[k] = percentile(r.waits[k], 0.5);
		res.p99[k] = percentile(r.waits[k], 0.99);
		res.refused[k] =
			r.sent[k] ? 100.0 * r.refused[k] / r.sent[k] : 0;
		g_array_unref(r.waits[k]);
	}
	while (cg_fair_queue_pop(r.fair))
		;
	cg_fair_queue_free(r.fair);
	g_queue_free(r.fifo);
	g_free(r.busy);
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
		enum large large;
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
	       per_server, MEAN_MS);
	printf("  %-48s %8s %8s %8s %12s\n", "worst small account", "p50 ms",
	       "p99 ms", "ref. %", "large ref. %");
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct trace t = make_trace(slots, rows[i].large);
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
