/* Adds the observations of one tick to each server's test statistic. */
#include "ejection_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Half-life of the counts of the other servers in the long window: long enough
 * to cover some hundred requests of a small service, short enough to follow the
 * failure of a dependency of all servers. */
#define WINDOW_HALF_LIFE_MS 30000
/* Half-life of the recent counts. One daemon of 48 sees a few requests a
 * second; their failure ratio over some seconds shows the start of a failure of
 * the whole service. */
#define RECENT_HALF_LIFE_MS  4000
#define LATENCY_HALF_LIFE_MS 60000
/* Half-life of a sum without new evidence: short compared with a day of
 * background failures, long compared with the detection time of a service with
 * 1 request/s. */
#define SUM_HALF_LIFE_MS 300000
/* Number of assumed requests with the failure ratio CG_CUSUM_P0_MIN that are
 * added to the counts of the other servers. Kept low: with 50 and 20, a failure
 * of all servers of a service with one or two other reference servers appeared
 * as a ratio below CG_CUSUM_P0_MAX, and servers were ejected. An overestimated
 * ratio only delays a detection by a tick. */
#define WINDOW_PRIOR 15.0
#define TICK_PRIOR   4.0
/* Multiple of the other servers' p95 latency above which a response is slow. */
#define SLOW_FACTOR 3
/* Responses of a server needed before its p95 is used as a reference. */
#define P95_RESPONSES_MIN 20.0F
/* Reference servers needed to use the median of their p95 rather than the p95
 * of their pooled responses. */
#define MEDIAN_SERVERS_MIN   3
#define POOLED_RESPONSES_MIN 50.0F
/* Latency differences below this limit are scheduling noise. */
#define SLOW_LIMIT_MIN_MS 10
/* Ratio of failed requests at a daemon that supports an ejection: half the
 * lowest ratio assumed for an unhealthy server. */
#define OBSERVER_RATIO_MIN (CG_CUSUM_P1_MIN / 2)
/* Share of the threshold from which a server is suspect and excluded from the
 * reference of the others. */
#define SUSPECT_SUM_SHARE 0.25
/* Greatest increase of a sum per tick, as a share of the threshold, such that
 * three ticks do not reach the threshold. Failures that last only one second,
 * for example while the server's process restarts, are over before an ejection
 * would take effect, and their digests arrive in up to three ticks. In a
 * simulated day of five servers, 0.5 ejected a server three times for such a
 * second, 0.4 once. */
#define TICK_SUM_SHARE 0.3
#define MAX_SUM_SHARE  1.25

/* Digests of all daemons with traffic arrive within 20 s. Until this time has
 * passed, a new coordinator cannot know whether fewer daemons than the rules
 * require exist. */
#define REPORTERS_KNOWN_MS 25000

struct reference_totals {
	double tick_bad, tick_good;
	double recent_bad, recent_good;
	double window_bad, window_good;
	size_t servers;
	struct cg_histogram latency;
};

static bool is_suspect(const struct cg_ejection *e,
		       const struct server_entry *s)
{
	return s->cusum.sum >= SUSPECT_SUM_SHARE * e->rules.threshold;
}

static bool in_reference(const struct cg_ejection *e,
			 const struct server_entry *s, bool with_suspects)
{
	return server_testable(s) && s->phase == CG_SERVER_IN_SERVICE &&
	       (with_suspects || !is_suspect(e, s));
}

/* Suspects are left out of the reference, so that two failing servers do not
 * hide each other. If most servers are suspect, the whole service is failing
 * and they are included. */
static bool must_include_suspects(const struct cg_ejection *e)
{
	size_t in = 0, clear = 0;

	for (size_t i = 0; i < e->n; i++) {
		in += in_reference(e, &e->list[i], true);
		clear += in_reference(e, &e->list[i], false);
	}
	return clear * 2 < in;
}

static void totals_add(struct reference_totals *t, const struct server_entry *s,
		       double sign)
{
	t->tick_bad += sign * s->tick_bad;
	t->tick_good += sign * s->tick_good;
	t->recent_bad += sign * (s->recent_bad + s->tick_bad);
	t->recent_good += sign * (s->recent_good + s->tick_good);
	t->window_bad += sign * s->window_bad;
	t->window_good += sign * s->window_good;
	cg_histogram_merge(&t->latency, &s->latency, (float)sign);
	t->servers += sign > 0 ? 1 : (size_t)-1;
}

static double failure_ratio(double bad, double good, double prior)
{
	return (fmax(bad, 0) + prior * CG_CUSUM_P0_MIN) /
	       (fmax(bad, 0) + fmax(good, 0) + prior);
}

/* Returns the highest of the failure ratios of this tick, the last seconds and
 * the long window. The short ones show the start of a failure of the whole
 * service before the long window does. */
static double reference_ratio(const struct reference_totals *t)
{
	double now = failure_ratio(t->tick_bad, t->tick_good, TICK_PRIOR);
	double recent =
		failure_ratio(t->recent_bad, t->recent_good, TICK_PRIOR);

	return fmax(fmax(now, recent),
		    failure_ratio(t->window_bad, t->window_good, WINDOW_PRIOR));
}

static int compare_ms(const void *a, const void *b)
{
	cg_ms x = *(const cg_ms *)a, y = *(const cg_ms *)b;

	return (x > y) - (x < y);
}

/* Returns the latency limit for @p self, or 0 if there are too few responses.
 * Uses the median of the other servers' p95 rather than the p95 of their pooled
 * responses: among five servers, a single other slow one would raise the pooled
 * p95 to its own latency and hide the second slow server. Services with fewer
 * servers use the pooled p95. */
static cg_ms slow_limit(const struct cg_ejection *e,
			const struct server_entry *self,
			const struct reference_totals *others, cg_ms *p95s)
{
	size_t n = 0;
	cg_ms limit;

	for (size_t i = 0; i < e->n; i++) {
		const struct server_entry *s = &e->list[i];

		if (s != self && in_reference(e, s, true) && s->p95 > 0)
			p95s[n++] = s->p95;
	}
	if (n >= MEDIAN_SERVERS_MIN) {
		qsort(p95s, n, sizeof(*p95s), compare_ms);
		limit = p95s[(n - 1) / 2];
	} else if (others->latency.total >= POOLED_RESPONSES_MIN) {
		limit = cg_histogram_quantile(&others->latency, 0.95);
	} else {
		return 0;
	}
	limit *= SLOW_FACTOR;
	return limit < SLOW_LIMIT_MIN_MS ? SLOW_LIMIT_MIN_MS : limit;
}

static void update_sum(struct cg_ejection *e, struct server_entry *s,
		       const struct reference_totals *others)
{
	struct cg_cusum_test t;
	double h = s->phase == CG_SERVER_TRIAL ? e->rules.trial_threshold
					       : e->rules.threshold;
	double step = s->phase == CG_SERVER_TRIAL ? h : TICK_SUM_SHARE * h;

	s->p0 = fmax(reference_ratio(others), e->fleet_reference);
	if (s->tick_bad + s->tick_good <= 0)
		return;
	if (others->servers == 0 || !cg_cusum_test_init(&t, s->p0))
		return;
	cg_cusum_add(&s->cusum, &t, s->tick_bad, s->tick_good, step,
		     MAX_SUM_SHARE * h);
	if (s->cusum.sum <= 0)
		s->observers.n = 0;
}

static void decay_entry(struct server_entry *s, cg_ms now, cg_ms elapsed)
{
	double w = exp2(-(double)elapsed / WINDOW_HALF_LIFE_MS);
	double r = exp2(-(double)elapsed / RECENT_HALF_LIFE_MS);

	s->recent_bad = (s->recent_bad + s->tick_bad) * r;
	s->recent_good = (s->recent_good + s->tick_good) * r;
	s->window_bad = s->window_bad * w + s->tick_bad;
	s->window_good = s->window_good * w + s->tick_good;
	s->tick_bad = 0;
	s->tick_good = 0;
	cg_histogram_decay(&s->latency,
			   exp2(-(double)elapsed / LATENCY_HALF_LIFE_MS));
	s->p95 = s->latency.total >= P95_RESPONSES_MIN
			 ? cg_histogram_quantile(&s->latency, 0.95)
			 : 0;
	cg_cusum_decay(&s->cusum, elapsed, SUM_HALF_LIFE_MS);
	cg_observers_expire(&s->observers, now - SUM_HALF_LIFE_MS);
}

void cg_ejection_update_sums(struct cg_ejection *e, cg_ms now, cg_ms elapsed)
{
	struct reference_totals all = { 0 };
	bool suspects = must_include_suspects(e);
	cg_ms *p95s = g_newa(cg_ms, e->n + 1);

	for (size_t i = 0; i < e->n; i++)
		if (in_reference(e, &e->list[i], suspects))
			totals_add(&all, &e->list[i], 1);
	e->reference = reference_ratio(&all);
	for (size_t i = 0; i < e->n; i++) {
		struct server_entry *s = &e->list[i];
		bool member = in_reference(e, s, suspects);

		if (!server_testable(s) || s->phase == CG_SERVER_EJECTED)
			continue;
		/* The server is compared with the others only. */
		if (member)
			totals_add(&all, s, -1);
		update_sum(e, s, &all);
		s->slow_limit = slow_limit(e, s, &all, p95s);
		if (member)
			totals_add(&all, s, 1);
	}
	for (size_t i = 0; i < e->n; i++)
		decay_entry(&e->list[i], now, elapsed);
}

void cg_ejection_required_support(const struct cg_ejection *e,
				  unsigned int *daemons, unsigned int *domains)
{
	*daemons = e->rules.min_daemons;
	*domains = e->rules.min_domains;
	if (e->last_tick_at - e->created_at < REPORTERS_KNOWN_MS)
		return;
	*daemons = MIN(*daemons, e->active_daemons);
	*domains = MIN(*domains, e->active_domains);
}

bool cg_ejection_has_support(const struct cg_ejection *e,
			     const struct server_entry *s)
{
	unsigned int daemons, domains, need_daemons, need_domains;

	cg_observers_count(&s->observers, OBSERVER_RATIO_MIN, &daemons,
			   &domains);
	cg_ejection_required_support(e, &need_daemons, &need_domains);
	return daemons >= need_daemons && domains >= need_domains &&
	       daemons > 0;
}

void cg_ejection_clear_evidence(struct server_entry *s)
{
	s->cusum.sum = 0;
	s->observers.n = 0;
	s->tick_bad = 0;
	s->tick_good = 0;
}

void cg_ejection_observe(struct cg_ejection *e, uint32_t reporter,
			 uint32_t server, const struct cg_sample *sample,
			 cg_ms now)
{
	struct server_entry *s = cg_ejection_find(e, server);
	struct reporter *r =
		g_hash_table_lookup(e->reporters, GUINT_TO_POINTER(reporter));
	double answered, slow, bad;

	if (!s || !r)
		return;
	r->traffic_at = now;
	if (!server_testable(s) || s->phase == CG_SERVER_EJECTED)
		return;
	answered = cg_sample_count_answered(sample);
	slow = s->slow_limit > 0 ? cg_sample_count_slow(sample, s->slow_limit)
				 : 0;
	bad = sample->failed + slow;
	if (s->phase == CG_SERVER_IN_SERVICE)
		cg_histogram_add(&s->latency, sample);
	s->tick_bad += bad;
	s->tick_good += answered - slow;
	if (s->phase == CG_SERVER_TRIAL && answered + sample->failed > 0) {
		s->trial_responses += answered + sample->failed;
		s->trial_response_at = now;
	}
	cg_observers_add(&s->observers, r->id, r->domain_id, bad,
			 answered - slow, now);
}
