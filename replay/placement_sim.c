#include "placement_sim.h"

#include <math.h>
#include <string.h>

#include "gateway/work_model.h"

#define TICK_MS	   50
#define WARM_UP_MS 5000
/* Time between the beginnings of a server's failure episodes. */
#define HANG_PERIOD_MS 15000
#define HANG_SHARE     0.75

struct request {
	uint64_t id;
	unsigned int kind;
	cg_ms arrived_at, granted_at;
	int server; /* -1 while it waits */
	double left; /* work in ms */
	bool hangs;
};

struct sim {
	const struct placement_trace *t;
	struct cgw_broker *broker;
	GRand *rand;
	GPtrArray *open; /* struct request */
	GArray *latencies[PLACEMENT_KINDS_MAX + 1]; /* cg_ms */
	struct placement_figures *out;
	cg_ms now;
	uint64_t next_id;
};

static double normal(GRand *r)
{
	return sqrt(-2 * log(1 - g_rand_double(r))) *
	       cos(2 * G_PI * g_rand_double(r));
}

static bool is_counted(const struct sim *s, const struct request *q)
{
	return q->arrived_at >= WARM_UP_MS && q->arrived_at < s->t->duration_ms;
}

static void add_up(struct sim *s, const struct request *q, bool refused,
		   bool served)
{
	cg_ms latency = s->now - q->arrived_at;
	unsigned int rows[2] = { q->kind, s->t->kind_count };

	if (!is_counted(s, q))
		return;
	for (int i = 0; i < 2; i++) {
		struct placement_figures *f = &s->out[rows[i]];

		f->requests++;
		f->refused += refused;
		f->served += served;
		f->late += !refused &&
			   (!served ||
			    latency > s->t->kinds[q->kind].objective_ms);
		if (served)
			g_array_append_val(s->latencies[rows[i]], latency);
	}
}

static void on_decision(void *arg, const struct cgw_slot_decision *d)
{
	struct sim *s = arg;

	for (guint i = s->open->len; i > 0; i--) {
		struct request *q = g_ptr_array_index(s->open, i - 1);

		if (q->id != d->id)
			continue;
		if (d->kind == CGW_DECISION_GRANTED) {
			q->server = (int)g_ascii_strtoll(d->u.grant.server + 1,
							 NULL, 10);
			q->granted_at = s->now;
		} else {
			add_up(s, q, true, false);
			g_ptr_array_remove_index(s->open, i - 1);
		}
		return;
	}
}

static double speed_of(const struct placement_trace *t, int server)
{
	return t->servers < 2 ? t->fastest
			      : t->slowest + (t->fastest - t->slowest) *
						     server / (t->servers - 1);
}

/* Episodes of the servers are spread evenly over the period. */
static bool is_hanging(const struct sim *s, int server)
{
	const struct placement_trace *t = s->t;
	cg_ms offset = HANG_PERIOD_MS * server / t->servers;

	return server < t->hanging_share * t->servers &&
	       (s->now + offset) % HANG_PERIOD_MS < t->hang_ms;
}

static void end_request(struct sim *s, guint i, enum cgw_result result)
{
	struct request *q = g_ptr_array_index(s->open, i);
	uint64_t id = q->id;
	cg_ms elapsed = s->now - q->granted_at;

	add_up(s, q, false, result == CGW_RESULT_SERVED);
	g_ptr_array_remove_index(s->open, i);
	cgw_broker_release(s->broker, "d", id, result, elapsed, s->now);
}

/* Advances the requests in flight by 1 ms. */
static void work(struct sim *s)
{
	const struct placement_trace *t = s->t;
	unsigned int *running = g_newa(unsigned int, t->servers);

	memset(running, 0, t->servers * sizeof(*running));
	for (guint i = 0; i < s->open->len; i++) {
		const struct request *q = g_ptr_array_index(s->open, i);

		if (q->server >= 0 && !q->hangs)
			running[q->server]++;
	}
	for (guint i = s->open->len; i > 0; i--) {
		struct request *q = g_ptr_array_index(s->open, i - 1);

		if (q->server < 0)
			continue;
		if (q->granted_at == s->now && is_hanging(s, q->server))
			q->hangs = g_rand_double(s->rand) < HANG_SHARE;
		if (!q->hangs)
			q->left -= speed_of(t, q->server) *
				   fmin(1, t->processors / running[q->server]);
	}
	/* Ends change the list: a new pass for each. */
	for (guint i = 0; i < s->open->len;) {
		struct request *q = g_ptr_array_index(s->open, i);
		const struct placement_kind *k = &t->kinds[q->kind];

		if (q->server >= 0 && q->left <= 0)
			end_request(s, i, CGW_RESULT_SERVED);
		else if (q->server >= 0 &&
			 s->now >= q->arrived_at + k->timeout_ms)
			end_request(s, i, CGW_RESULT_HUNG);
		else {
			i++;
			continue;
		}
		i = 0;
	}
}

static void arrive(struct sim *s, unsigned int kind)
{
	const struct placement_kind *k = &s->t->kinds[kind];
	struct request *q = g_new0(struct request, 1);
	struct cgw_slot_request r = { .idempotent = k->idempotent,
				      .priority = k->priority,
				      .objective_ms = k->objective_ms,
				      .deadline = s->now + k->timeout_ms,
				      .method = CGW_WORK_METHOD_GET };

	q->id = s->next_id++;
	q->kind = kind;
	q->arrived_at = s->now;
	q->server = -1;
	q->left = k->work_ms *
		  exp(k->sigma * normal(s->rand) - k->sigma * k->sigma / 2);
	if (g_rand_double(s->rand) < k->long_share)
		q->left *= k->long_factor;
	if (s->now >= s->t->duration_ms / 2 && k->drift > 0)
		q->left *= k->drift;
	r.id = q->id;
	g_strlcpy(r.daemon, "d", sizeof(r.daemon));
	g_strlcpy(r.service, "svc", sizeof(r.service));
	g_strlcpy(r.route, k->route, sizeof(r.route));
	r.shape = cgw_work_path_shape(k->target, "/");
	g_ptr_array_add(s->open, q);
	cgw_broker_request_slot(s->broker, &r, s->now);
}

static gint compare_ms(gconstpointer a, gconstpointer b)
{
	cg_ms x = *(const cg_ms *)a, y = *(const cg_ms *)b;

	return x < y ? -1 : x > y;
}

static void add_servers(struct sim *s)
{
	struct cgw_server_facts *f =
		g_new0(struct cgw_server_facts, s->t->servers);

	for (unsigned int i = 0; i < s->t->servers; i++) {
		g_snprintf(f[i].id, sizeof(f[i].id), "v%u", i);
		g_snprintf(f[i].address, sizeof(f[i].address), "10.0.0.%u:80",
			   i);
		g_strlcpy(f[i].service, "svc", sizeof(f[i].service));
		g_strlcpy(f[i].domain, "a", sizeof(f[i].domain));
		f[i].slots = s->t->slots;
	}
	cgw_broker_set_servers(s->broker, f, s->t->servers, 0);
	g_free(f);
}

void placement_run(const struct placement_trace *t, enum cgw_placement p,
		   struct placement_figures *out)
{
	struct cgw_broker_settings set = { .domain = "a",
					   .domains = 1,
					   .retry_ratio = 0.2,
					   .retry_slack = 20,
					   .retry_window_ms = 10000,
					   .min_share = 0.7,
					   .placement = p };
	struct sim s = { .t = t, .out = out, .next_id = 1 };
	GRand *arrivals = g_rand_new_with_seed(t->seed);

	memset(out, 0, (t->kind_count + 1) * sizeof(*out));
	g_random_set_seed(t->seed);
	s.rand = g_rand_new_with_seed(t->seed + 1);
	s.broker = cgw_broker_new(&set, on_decision, &s);
	s.open = g_ptr_array_new_with_free_func(g_free);
	for (unsigned int i = 0; i <= t->kind_count; i++)
		s.latencies[i] = g_array_new(FALSE, FALSE, sizeof(cg_ms));
	add_servers(&s);
	for (s.now = 1; s.now < t->duration_ms + 5000; s.now++) {
		for (unsigned int k = 0; k < t->kind_count; k++)
			if (g_rand_double(arrivals) < t->kinds[k].rate / 1000)
				arrive(&s, k);
		work(&s);
		if (s.now % TICK_MS == 0)
			cgw_broker_tick(s.broker, s.now);
	}
	for (unsigned int i = 0; i <= t->kind_count; i++) {
		GArray *a = s.latencies[i];
		guint middle = a->len / 2;

		g_array_sort(a, compare_ms);
		if (a->len) {
			out[i].median_ms =
				(double)g_array_index(a, cg_ms, middle);
			out[i].p99_ms = (double)g_array_index(
				a, cg_ms, (guint)(a->len * 0.99));
		}
		g_array_unref(a);
	}
	cgw_broker_free(s.broker);
	g_ptr_array_unref(s.open);
	g_rand_free(arrivals);
	g_rand_free(s.rand);
}
