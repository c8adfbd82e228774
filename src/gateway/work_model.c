#define CG_PART "work"
#include "gateway/work_model.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "celeryglade/counters.h"

/* Estimate of a route without samples, as a share of its objective; the same as
 * for its typical latency. Operators set objectives to two to four times the
 * time of the work. */
#define COLD_SHARE		  0.4
#define COLD_MIN_MS		  10.0
#define COLD_MAX_MS		  10000.0
#define COLD_WITHOUT_OBJECTIVE_MS 200.0
/* Samples that the estimate of the level above counts for. */
#define ROUTE_PRIOR_WEIGHT 3.0
#define LEVEL_PRIOR_WEIGHT 8.0
/* Beyond this many samples the old ones fade. */
#define ROUTE_WEIGHT_MAX  200.0
#define LEVEL_WEIGHT_MAX  40.0
#define RATIOS_WEIGHT_MAX 400.0
/* Samples also fade with time: a class that is rarely requested returns to the
 * mean of its route. */
#define HALF_LIFE_MS 60000.0
/* One request in 100 takes 3 to 5 times as long as the others, and a class may
 * consist of short and long ones. More than this is a fault. */
#define SAMPLE_FACTOR_MAX 10.0
#define SAMPLE_MAX_MS	  600000.0
/* Keys with the same place in the table; one of them is replaced. */
#define WAYS 8
/* Segments of a path that are distinguished. */
#define SEGMENTS_MAX	  8
#define SEGMENT_PLAIN_MAX 24
#define VERSION_MAX	  3
/* Ratios of work to estimate are counted in quarters of an octave, from 1/16
 * to 16. */
#define RATIO_OCTAVES	 4.0
#define RATIO_PER_OCTAVE 4.0
/* Initial spread: as measured, lognormal with one in 100 four times as long. */
#define RATIO_PRIOR_WEIGHT 15.0
#define RATIO_SIGMA	   0.55
#define RATIO_TAIL_SHARE   0.01
#define RATIO_TAIL	   4.0
/* Beyond all samples, a request needs this share of its age once more; that
 * counts for so many samples. */
#define AGE_SHARE	0.5
#define AGE_WEIGHT	0.5
#define REMAINING_SHARE 0.02
/* Longer requests are too rare to be counted. */
#define SURVIVAL_MIN 0.01
/* Samples for which the service's speed counts. */
#define SPEED_PRIOR_WEIGHT 12.0
#define SLOWNESS_MIN	   0.4
#define SLOWNESS_MAX	   4.0

struct key {
	uint64_t hash; /* 0: free */
	double mean, weight;
	cg_ms at; /* time up to which the weight has faded */
};

struct route {
	struct key key;
	double ratios[CGW_WORK_RATIOS];
	/* Sums over this and all higher ratios: weight, and weight times
	 * ratio. */
	double tail_weight[CGW_WORK_RATIOS + 1];
	double tail_sum[CGW_WORK_RATIOS + 1];
};

struct cgw_work_model {
	struct key *keys; /* CGW_WORK_KEYS_MAX, in sets of WAYS */
	size_t key_count;
	GHashTable *routes; /* key.hash to struct route */
};

enum cgw_work_method cgw_work_method(const char *name)
{
	static const char *const names[] = {
		[CGW_WORK_METHOD_GET] = "GET",
		[CGW_WORK_METHOD_HEAD] = "HEAD",
		[CGW_WORK_METHOD_POST] = "POST",
		[CGW_WORK_METHOD_PUT] = "PUT",
		[CGW_WORK_METHOD_DELETE] = "DELETE",
		[CGW_WORK_METHOD_PATCH] = "PATCH",
	};

	for (size_t i = CGW_WORK_METHOD_GET; i < G_N_ELEMENTS(names); i++)
		if (!strcmp(name, names[i]))
			return (enum cgw_work_method)i;
	return CGW_WORK_METHOD_OTHER;
}

unsigned int cgw_work_size_class(size_t bytes)
{
	unsigned int class = 0;

	/* 1 to 1 KiB, 4 KiB, 16 KiB, 64 KiB, 256 KiB, 1 MiB, more. */
	for (size_t limit = 0; class < 7 && bytes > limit;
	     limit = limit ? 4 * limit : 1024)
		class ++;
	return class;
}

static bool is_identifier(const char *s, size_t len)
{
	bool has_digit = false;

	for (size_t i = 0; i < len; i++)
		has_digit |= g_ascii_isdigit(s[i]) || s[i] == '%';
	/* Versions of an interface, as in "v2", are no identifiers. */
	if (has_digit && len <= VERSION_MAX && s[0] == 'v')
		return false;
	return has_digit || len > SEGMENT_PLAIN_MAX;
}

uint32_t cgw_work_path_shape(const char *target, const char *prefix)
{
	size_t end = strcspn(target, "?#"), skipped = strlen(prefix);
	uint64_t h = 1;
	unsigned int n = 0;

	for (size_t i = MIN(end, skipped); i < end && n < SEGMENTS_MAX; n++) {
		size_t len = strcspn(target + i, "/?#");
		bool folded = is_identifier(target + i, len);

		h = XXH64(folded ? "*" : target + i, folded ? 1 : len, h);
		i += len + 1;
	}
	return (uint32_t)h | 1;
}

static uint64_t hash_text(const char *text, uint64_t seed)
{
	return XXH64(text, strlen(text), seed) | 1;
}

static uint64_t hash_number(uint32_t number, uint64_t seed)
{
	unsigned char b[4];

	/* The same on all machines: hashes are sent to other daemons. */
	for (int i = 0; i < 4; i++)
		b[i] = (unsigned char)(number >> (8 * i));
	return XXH64(b, sizeof(b), seed) | 1;
}

void cgw_work_classify(const struct cgw_work_traits *t,
		       struct cgw_work_class *out)
{
	memset(out, 0, sizeof(*out));
	out->route = hash_text(t->route, 0);
	if (t->method == CGW_WORK_METHOD_UNKNOWN)
		return;
	out->levels[0] = hash_number(t->method, out->route);
	out->levels[1] = hash_number(t->size_class, out->levels[0]);
	out->levels[2] = hash_number(t->shape, out->levels[1]);
	out->levels[3] = hash_text(t->account, out->levels[2]);
}

static double faded(double weight, cg_ms at, cg_ms now)
{
	return now > at ? weight * exp2(-(double)(now - at) / HALF_LIFE_MS)
			: weight;
}

/* ---- speed of servers ---- */

static double shrunk_log_ratio(const struct cgw_work_speed *s, cg_ms now)
{
	double weight = faded(s->weight, s->at, now);

	return s->log_ratio * weight / (weight + SPEED_PRIOR_WEIGHT);
}

static void add_log_ratio(struct cgw_work_speed *s, double value, cg_ms now)
{
	s->weight = fmin(faded(s->weight, s->at, now),
			 CGW_WORK_SPEED_WEIGHT_MAX - 1);
	s->weight++;
	s->at = MAX(s->at, now);
	s->log_ratio += (value - s->log_ratio) / s->weight;
}

void cgw_work_speed_record(struct cgw_work_speed *server,
			   struct cgw_work_speed *service, double expected,
			   double elapsed, cg_ms now)
{
	double value;

	if (expected <= 0 || elapsed < 0)
		return;
	value = CLAMP(log(fmax(elapsed, 1) / expected), -CGW_WORK_LOG_RATIO_MAX,
		      CGW_WORK_LOG_RATIO_MAX);
	add_log_ratio(server, value, now);
	add_log_ratio(service, value, now);
}

double cgw_work_slowness(const struct cgw_work_speed *server,
			 const struct cgw_work_speed *service, cg_ms now)
{
	double weight = faded(server->weight, server->at, now);
	double difference = server->log_ratio - shrunk_log_ratio(service, now);

	difference *= weight / (weight + SPEED_PRIOR_WEIGHT);
	return CLAMP(exp(difference), SLOWNESS_MIN, SLOWNESS_MAX);
}

/* ---- work of requests ---- */

static double ratio_of(int i)
{
	return exp2(((double)i + 0.5) / RATIO_PER_OCTAVE - RATIO_OCTAVES);
}

static int ratio_index(double ratio)
{
	double i = floor((log2(fmax(ratio, 1e-9)) + RATIO_OCTAVES) *
			 RATIO_PER_OCTAVE);

	return (int)CLAMP(i, 0.0, CGW_WORK_RATIOS - 1.0);
}

static void update_tails(struct route *r)
{
	for (int i = CGW_WORK_RATIOS - 1; i >= 0; i--) {
		r->tail_weight[i] = r->tail_weight[i + 1] + r->ratios[i];
		r->tail_sum[i] =
			r->tail_sum[i + 1] + r->ratios[i] * ratio_of(i);
	}
}

static void init_ratios(struct route *r)
{
	double total = 0;

	for (int i = 0; i < CGW_WORK_RATIOS; i++) {
		double x = (log(ratio_of(i)) + RATIO_SIGMA * RATIO_SIGMA / 2) /
			   RATIO_SIGMA;

		r->ratios[i] = exp(-x * x / 2);
		total += r->ratios[i];
	}
	for (int i = 0; i < CGW_WORK_RATIOS; i++)
		r->ratios[i] *=
			RATIO_PRIOR_WEIGHT * (1 - RATIO_TAIL_SHARE) / total;
	r->ratios[ratio_index(RATIO_TAIL)] +=
		RATIO_PRIOR_WEIGHT * RATIO_TAIL_SHARE;
	update_tails(r);
}

struct cgw_work_model *cgw_work_model_new(void)
{
	struct cgw_work_model *m = g_new0(struct cgw_work_model, 1);

	m->keys = g_new0(struct key, CGW_WORK_KEYS_MAX);
	m->routes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  g_free);
	return m;
}

void cgw_work_model_free(struct cgw_work_model *m)
{
	if (!m)
		return;
	g_hash_table_unref(m->routes);
	g_free(m->keys);
	g_free(m);
}

size_t cgw_work_key_count(const struct cgw_work_model *m)
{
	return m->key_count;
}

static struct key *key_set(const struct cgw_work_model *m, uint64_t hash)
{
	return &m->keys[(hash >> 8) % (CGW_WORK_KEYS_MAX / WAYS) * WAYS];
}

static struct key *find_key(const struct cgw_work_model *m, uint64_t hash)
{
	struct key *set = key_set(m, hash);

	for (int i = 0; i < WAYS; i++)
		if (set[i].hash == hash)
			return &set[i];
	return NULL;
}

/* Returns the key; adds it in the place of the least known one of its set. */
static struct key *get_key(struct cgw_work_model *m, uint64_t hash, cg_ms now)
{
	struct key *set = key_set(m, hash), *least = set;

	for (int i = 0; i < WAYS; i++) {
		if (set[i].hash == hash)
			return &set[i];
		if (faded(set[i].weight, set[i].at, now) <
		    faded(least->weight, least->at, now))
			least = &set[i];
	}
	if (least->hash)
		cg_count(CG_COUNTER_WORK_KEYS_REPLACED);
	else
		m->key_count++;
	cg_count(CG_COUNTER_WORK_KEYS_ADDED);
	memset(least, 0, sizeof(*least));
	least->hash = hash;
	least->at = now;
	return least;
}

static struct route *get_route(struct cgw_work_model *m, uint64_t hash)
{
	struct route *r = g_hash_table_lookup(m->routes, &hash);

	if (r || g_hash_table_size(m->routes) >= CGW_WORK_ROUTES_MAX)
		return r;
	r = g_new0(struct route, 1);
	r->key.hash = hash;
	init_ratios(r);
	g_hash_table_insert(m->routes, &r->key.hash, r);
	return r;
}

static double shrink(const struct key *k, double above, double prior, cg_ms now)
{
	double weight;

	if (!k)
		return above;
	weight = faded(k->weight, k->at, now);
	return (k->mean * weight + above * prior) / (weight + prior);
}

double cgw_work_route_estimate(const struct cgw_work_model *m,
			       const struct cgw_work_class *c,
			       cg_ms objective_ms, cg_ms now)
{
	const struct route *r = g_hash_table_lookup(m->routes, &c->route);
	double cold = objective_ms > 0 ? COLD_SHARE * (double)objective_ms
				       : COLD_WITHOUT_OBJECTIVE_MS;

	return shrink(r ? &r->key : NULL, CLAMP(cold, COLD_MIN_MS, COLD_MAX_MS),
		      ROUTE_PRIOR_WEIGHT, now);
}

double cgw_work_estimate(const struct cgw_work_model *m,
			 const struct cgw_work_class *c, cg_ms objective_ms,
			 cg_ms now)
{
	double estimate = cgw_work_route_estimate(m, c, objective_ms, now);

	for (int i = 0; i < CGW_WORK_LEVELS && c->levels[i]; i++)
		estimate = shrink(find_key(m, c->levels[i]), estimate,
				  LEVEL_PRIOR_WEIGHT, now);
	return estimate;
}

void cgw_work_progress(const struct cgw_work_model *m,
		       const struct cgw_work_class *c, double expected,
		       double age, double *remaining, double *survival)
{
	const struct route *r = g_hash_table_lookup(m->routes, &c->route);
	double ratio = fmax(0, age / fmax(expected, 1));
	double left;
	int i;

	if (!r) {
		/* Decreases to 0, but to no less than a share of the age. */
		left = fmax(1 - ratio, AGE_SHARE * ratio);
		*remaining = expected * fmax(left, REMAINING_SHARE);
		*survival = ratio < 1 ? 1 : fmax(SURVIVAL_MIN, exp(1 - ratio));
		return;
	}
	i = ratio_index(ratio);
	if (ratio_of(i) <= ratio)
		i++;
	left = r->tail_sum[i] - ratio * r->tail_weight[i];
	left = (left + AGE_WEIGHT * AGE_SHARE * ratio) /
	       (r->tail_weight[i] + AGE_WEIGHT);
	*remaining = expected * fmax(left, REMAINING_SHARE);
	*survival =
		CLAMP(r->tail_weight[i] / r->tail_weight[0], SURVIVAL_MIN, 1.0);
}

static void add_sample(struct key *k, double work, double weight_max, cg_ms now)
{
	k->weight = fmin(faded(k->weight, k->at, now), weight_max - 1);
	k->weight++;
	k->at = MAX(k->at, now);
	k->mean += (work - k->mean) / k->weight;
}

void cgw_work_record(struct cgw_work_model *m, const struct cgw_work_class *c,
		     double expected, double work, cg_ms now)
{
	struct route *r = get_route(m, c->route);
	double limit = fmin(SAMPLE_FACTOR_MAX * fmax(expected, COLD_MIN_MS),
			    SAMPLE_MAX_MS);

	if (work < 0 || !isfinite(work) || expected <= 0)
		return;
	cg_count(CG_COUNTER_WORK_SAMPLES);
	if (work > limit) {
		cg_count(CG_COUNTER_WORK_SAMPLES_CLIPPED);
		work = limit;
	}
	work = fmax(work, 1);
	if (r) {
		add_sample(&r->key, work, ROUTE_WEIGHT_MAX, now);
		if (r->tail_weight[0] > RATIOS_WEIGHT_MAX)
			for (int i = 0; i < CGW_WORK_RATIOS; i++)
				r->ratios[i] *=
					RATIOS_WEIGHT_MAX / r->tail_weight[0];
		r->ratios[ratio_index(work / expected)]++;
		update_tails(r);
	}
	for (int i = 0; i < CGW_WORK_LEVELS && c->levels[i]; i++)
		add_sample(get_key(m, c->levels[i], now), work,
			   LEVEL_WEIGHT_MAX, now);
}

/* ---- summaries ---- */

static gint compare_weights(gconstpointer a, gconstpointer b)
{
	const struct cgw_work_entry *x = a, *y = b;

	return x->weight < y->weight ? 1 : x->weight > y->weight ? -1 : 0;
}

static void add_entry(GArray *to, const struct key *k, const double *ratios,
		      cg_ms now)
{
	struct cgw_work_entry e = { .key = k->hash,
				    .mean = k->mean,
				    .weight = faded(k->weight, k->at, now) };

	if (ratios)
		memcpy(e.ratios, ratios, sizeof(e.ratios));
	if (e.weight >= 1)
		g_array_append_val(to, e);
}

void cgw_work_export(const struct cgw_work_model *m, size_t routes, size_t keys,
		     cg_ms now,
		     void (*visit)(void *arg, const struct cgw_work_entry *e,
				   bool is_route),
		     void *arg)
{
	GArray *a = g_array_new(FALSE, FALSE, sizeof(struct cgw_work_entry));
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, m->routes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct route *r = value;

		add_entry(a, &r->key, r->ratios, now);
	}
	g_array_sort(a, compare_weights);
	for (guint i = 0; i < a->len && i < routes; i++)
		visit(arg, &g_array_index(a, struct cgw_work_entry, i), true);
	g_array_set_size(a, 0);
	for (size_t i = 0; i < CGW_WORK_KEYS_MAX; i++)
		if (m->keys[i].hash)
			add_entry(a, &m->keys[i], NULL, now);
	g_array_sort(a, compare_weights);
	for (guint i = 0; i < a->len && i < keys; i++)
		visit(arg, &g_array_index(a, struct cgw_work_entry, i), false);
	g_array_unref(a);
}

static bool is_valid(const struct cgw_work_entry *e)
{
	return e->key && e->mean >= 1 && e->mean <= SAMPLE_MAX_MS &&
	       e->weight > 0 && e->weight <= ROUTE_WEIGHT_MAX;
}

static bool replace(struct key *k, const struct cgw_work_entry *e, cg_ms now)
{
	if (faded(k->weight, k->at, now) >= e->weight)
		return false;
	k->mean = e->mean;
	k->weight = e->weight;
	k->at = now;
	return true;
}

void cgw_work_import(struct cgw_work_model *m, const struct cgw_work_entry *e,
		     bool is_route, cg_ms now)
{
	struct route *r;
	double total = 0;

	if (!is_valid(e))
		return;
	if (!is_route) {
		replace(get_key(m, e->key, now), e, now);
		return;
	}
	r = get_route(m, e->key);
	if (!r || !replace(&r->key, e, now))
		return;
	for (int i = 0; i < CGW_WORK_RATIOS; i++) {
		if (!(e->ratios[i] >= 0 && e->ratios[i] <= RATIOS_WEIGHT_MAX))
			return;
		total += e->ratios[i];
	}
	if (total <= 0)
		return;
	memcpy(r->ratios, e->ratios, sizeof(r->ratios));
	update_tails(r);
}
