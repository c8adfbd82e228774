#define CG_PART "trust"
#include "broker_internal.h"

#include <math.h>
#include <string.h>

#include "internal/logging.h"

/*
 * Suspicion of a server is a CUSUM of log likelihood ratios between "in a
 * failure episode" and "works like its peers". It is fed by requests alone,
 * because health checks keep passing while a server fails. The steps are learnt
 * per service (broker_evidence.c).
 */
/* Share of doubted servers from which on their failures have a common cause. */
#define COMMON_SHARE 0.6
/* A connection that fails before anything was sent: the path may be cut for
 * this daemon only. */
#define STEP_UNREACHED 1.5
/* Below this a server is used like its peers, since it needs requests to prove
 * that it works. */
#define NEGLIGIBLE_SUSPICION 1.0
/* Probability of a failure episode at a server without suspicion. */
#define PRIOR_FAILING 0.05
/* From here on a server is suspect and used only if no healthy one is free,
 * unless all that speaks against it is one error. */
#define SUSPECT_THRESHOLD 2.6
/* Half-life of suspicion. A server without requests cannot prove that it works,
 * so its suspicion decays. */
#define SUSPICION_HALF_LIFE_MS 1500
/* Reached by two overdue requests, or by one that hangs. */
#define EJECT_THRESHOLD 5.0
#define SUSPICION_MAX	6.5
/* A request hangs from this multiple of the overdue time on. */
#define HUNG_FACTOR 1.6
/* A daemon is asked for a message this long before one of its requests becomes
 * overdue: more than the interval of ticks and a round trip. */
#define TOUCH_MS 60
/* An ejection lasts as long as episodes of the service do, but no longer than
 * this if the service runs short: a working server without requests then counts
 * against the floor after 2 s. */
#define EJECT_SHORT_MS 1800
/* If the service runs short, a doubted server is due for a request when it has
 * had none for this long. */
#define DUE_MS	      1000
#define DUE_UNSAFE_MS 1500
/* Added to min_share: this share of the servers gets requests before none is
 * due any more. The failing ones among them do not count for the floor. */
#define WIDTH_MARGIN	    0.15
#define PROBATION_SUSPICION 2.0
/* Backoff after a server shed a request: if all its slots were granted, and if
 * some were free by this broker's count. */
#define FULL_BACKOFF_MS 150
#define SHED_BACKOFF_MS 25

/* Initial typical latency as a share of the objective, used until the route has
 * LATENCY_SAMPLES_MIN samples. Operators set objectives to two to four times
 * the time of the work. */
#define INITIAL_LATENCY_SHARE 0.4
#define LATENCY_SAMPLES_MIN   3
#define LATENCY_WEIGHT_MIN    0.05
#define OVERDUE_DEVIATIONS    4.0
#define OVERDUE_FACTOR_MIN    2.0
/* Longer than the retransmission timeout after one lost packet. */
#define OVERDUE_MIN_MS 250
/* Bounds of the work of a class of requests as a share of its route's, so that
 * no estimate hides a server that hangs. */
#define CLASS_SHARE_MIN 0.1
#define CLASS_SHARE_MAX 8.0

static int64_t count_servers(const struct cgw_service *s, bool only_ejected,
			     cg_ms now)
{
	int64_t n = 0;

	for (guint i = 0; i < s->servers->len; i++) {
		const struct cgw_server *o = g_ptr_array_index(s->servers, i);

		n += !o->facts.leaving &&
		     (!only_ejected || o->ejected_until > now);
	}
	return n;
}

int64_t cgw_service_ejected(const struct cgw_service *s, cg_ms now)
{
	return count_servers(s, true, now);
}

/* Returns how many of @p servers may be ejected at once. */
static int64_t max_ejected(const struct cgw_broker *b, int64_t servers)
{
	/* The addend makes up for rounding: (1 - 0.9) * 10 is slightly less
	 * than 1. */
	return (int64_t)floor((1 - b->settings.min_share) * (double)servers +
			      1e-9);
}

/* Returns how many more servers of the service may be ejected here; negative
 * below the floor. The floor applies to the servers of all domains. Without
 * recent reports from all others, a domain uses a floor of its own servers. */
static int64_t remaining_ejections(const struct cgw_broker *b,
				   const struct cgw_service *s, cg_ms now)
{
	int64_t own = count_servers(s, true, now);
	int64_t ejected_count = own;
	unsigned int reporting = 1;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->domain_reports);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct cgw_domain_report *n = value;

		if (now - n->received_at > CGW_DOMAIN_REPORT_VALID_MS)
			continue;
		reporting++;
		ejected_count += n->ejected;
	}
	if (b->evacuated)
		return G_MAXINT64;
	if (reporting < b->settings.domains)
		return max_ejected(b, count_servers(s, false, now)) - own;
	return max_ejected(b, cgw_service_floor_servers(b, s, now)) -
	       ejected_count;
}

static void clear_run(struct cgw_server *s)
{
	memset(&s->run, 0, sizeof(s->run));
	s->run_since = 0;
}

/* Adds the run of a server to what is known of working or failing servers. */
static void learn_run(struct cgw_broker *b, struct cgw_server *s, bool failing)
{
	void (*learn)(struct cgw_failure_model *,
		      const struct cgw_evidence_counts *) =
		failing ? cgw_failure_model_learn_failing
			: cgw_failure_model_learn_working;

	learn(&s->service->failures, &s->run);
	learn(&b->failures, &s->run);
	clear_run(s);
}

/* If most servers of a service seem to fail, their results are caused by the
 * requests or by something that they share, and are normal for now. */
static bool most_are_doubted(const struct cgw_service *s, cg_ms now)
{
	int64_t servers = 0, doubted = 0;

	for (guint i = 0; i < s->servers->len; i++) {
		const struct cgw_server *o = g_ptr_array_index(s->servers, i);

		servers += !o->facts.leaving;
		doubted += !o->facts.leaving &&
			   (o->ejected_until > now ||
			    o->suspicion >= SUSPECT_THRESHOLD);
	}
	return (double)doubted > COMMON_SHARE * (double)servers;
}

static cg_ms ejection_ms(const struct cgw_broker *b,
			 const struct cgw_service *s)
{
	cg_ms episode =
		cgw_failure_model_episode_ms(&s->failures, &b->failures);

	return s->is_short ? MIN(episode, EJECT_SHORT_MS) : episode;
}

static void eject(struct cgw_broker *b, struct cgw_server *s, cg_ms now)
{
	/* At the floor the server is not ejected but stays suspect: it is used
	 * when no healthy server is free. */
	if (s->ejected_until <= now &&
	    remaining_ejections(b, s->service, now) < 1) {
		learn_run(b, s, !most_are_doubted(s->service, now));
		return;
	}
	if (s->ejected_until <= now) {
		b->ejections++;
		s->ejected_at = now;
		cg_info("server %s of service %s ejected for %d ms: suspicion "
			"%.1f, errors %.0f, lost %.0f, overdue %.0f, "
			"%d requests in flight, %d of %d servers ejected in "
			"this domain, %d servers in the fleet",
			s->facts.id, s->service->name,
			(int)ejection_ms(b, s->service), s->suspicion,
			s->run.n[CGW_EVIDENCE_ERROR],
			s->run.n[CGW_EVIDENCE_LOST],
			s->run.n[CGW_EVIDENCE_OVERDUE], (int)s->inflight,
			(int)count_servers(s->service, true, now) + 1,
			(int)count_servers(s->service, false, now),
			(int)s->service->fleet_servers);
	}
	if (!s->episode_since)
		s->episode_since = s->run_since;
	learn_run(b, s, true);
	s->ejected_until = now + ejection_ms(b, s->service);
	s->probation = true;
}

static void decay_suspicion(struct cgw_server *s, cg_ms now)
{
	if (now > s->suspicion_at && s->suspicion > 0)
		s->suspicion *= exp2(-(double)(now - s->suspicion_at) /
				     SUSPICION_HALF_LIFE_MS);
	s->suspicion_at = MAX(now, s->suspicion_at);
}

static void add_suspicion(struct cgw_broker *b, struct cgw_server *s,
			  double step, cg_ms now)
{
	decay_suspicion(s, now);
	s->suspicion = CLAMP(s->suspicion + step, 0.0, SUSPICION_MAX);
	if (s->suspicion >= EJECT_THRESHOLD)
		eject(b, s, now);
}

/* Returns the step in suspicion for a result of this server. */
static double evidence_step(const struct cgw_broker *b,
			    const struct cgw_server *s, enum cgw_evidence kind)
{
	return cgw_failure_model_step(&s->service->failures, &b->failures,
				      kind);
}

static void add_to_run(struct cgw_server *s, enum cgw_evidence kind, cg_ms now)
{
	if (!s->run_since)
		s->run_since = now;
	s->run.n[kind]++;
	if (kind != CGW_EVIDENCE_SERVED)
		s->last_failed_at = now;
}

static void add_evidence(struct cgw_broker *b, struct cgw_server *s,
			 enum cgw_evidence kind, cg_ms now)
{
	add_to_run(s, kind, now);
	add_suspicion(b, s, evidence_step(b, s, kind), now);
	if (s->suspicion <= 0)
		learn_run(b, s, false);
}

/* The first success after an ejection ends the episode. When it ended exactly
 * is unknown: halfway between the last failure and now. */
static void end_probation(struct cgw_broker *b, struct cgw_server *s, cg_ms now)
{
	cg_ms length;

	s->probation = false;
	if (!s->episode_since)
		return;
	length = (s->last_failed_at + now) / 2 - s->episode_since;
	s->episode_since = 0;
	cgw_failure_model_learn_episode(&s->service->failures, length);
	cgw_failure_model_learn_episode(&b->failures, length);
}

double cgw_server_failing_share(struct cgw_server *s, cg_ms now)
{
	double odds = PRIOR_FAILING / (1 - PRIOR_FAILING);

	decay_suspicion(s, now);
	if (s->suspicion < NEGLIGIBLE_SUSPICION)
		return 0;
	odds *= exp(s->suspicion);
	return odds / (1 + odds);
}

bool cgw_server_is_due(const struct cgw_server *s, bool may_retry, cg_ms now)
{
	return s->service->is_narrow && s->ejected_until <= now &&
	       now - s->last_granted_at >= (may_retry ? DUE_MS : DUE_UNSAFE_MS);
}

static bool is_narrow(const struct cgw_broker *b, const struct cgw_service *s,
		      cg_ms now)
{
	int64_t servers = 0, used = 0;

	for (guint i = 0; i < s->servers->len; i++) {
		const struct cgw_server *o = g_ptr_array_index(s->servers, i);

		servers += !o->facts.leaving;
		used += !o->facts.leaving && now - o->last_granted_at < DUE_MS;
	}
	return (double)used <
	       fmin(1, b->settings.min_share + WIDTH_MARGIN) * (double)servers;
}

void cgw_service_record_outcome(struct cgw_service *s, bool served, cg_ms now)
{
	cgw_outcome_window_add(&s->outcomes, served, now);
}

void cgw_service_check_shortage(const struct cgw_broker *b,
				struct cgw_service *s, cg_ms now)
{
	unsigned int requests, unserved, own_requests, own_unserved;
	bool was_short = s->is_short;
	GHashTableIter it;
	gpointer value;

	cgw_outcome_window_sum(&s->outcomes, now, &own_requests, &own_unserved);
	requests = own_requests;
	unserved = own_unserved;
	g_hash_table_iter_init(&it, s->domain_reports);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct cgw_domain_report *r = value;

		if (now - r->outcomes_at > CGW_DOMAIN_REPORT_VALID_MS)
			continue;
		requests += r->requests;
		unserved += r->unserved;
	}
	s->is_short = cgw_outcome_is_short(requests, unserved);
	if (s->is_short != was_short)
		cg_info("service %s %s: %u of %u requests not served in 2 s",
			s->name, s->is_short ? "runs short" : "recovers",
			unserved, requests);
	s->is_narrow = s->is_short && is_narrow(b, s, now);
	if (!s->is_short)
		return;
	for (guint i = 0; i < s->servers->len; i++) {
		struct cgw_server *o = g_ptr_array_index(s->servers, i);

		if (o->ejected_until > now)
			o->ejected_until =
				MIN(o->ejected_until,
				    MAX(now, o->ejected_at + EJECT_SHORT_MS));
	}
}

/* Whether one error is all that speaks against the server. Its cause may be the
 * request, so other requests that may be repeated still go there. */
static bool is_single_error(const struct cgw_server *s)
{
	const double *n = s->run.n;

	return n[CGW_EVIDENCE_ERROR] > 0 && n[CGW_EVIDENCE_ERROR] <= 1 &&
	       n[CGW_EVIDENCE_LOST] + n[CGW_EVIDENCE_OVERDUE] <= 0 &&
	       !s->probation;
}

enum cgw_trust cgw_server_trust(struct cgw_server *s, cg_ms now)
{
	if (s->ejected_until > now)
		return CGW_TRUST_EJECTED;
	if (s->ejected_until) {
		s->readmitted_at = s->ejected_until;
		s->ejected_until = 0;
		s->suspicion = MIN(s->suspicion, PROBATION_SUSPICION);
	}
	decay_suspicion(s, now);
	if (s->overdue > 0 ||
	    (s->suspicion >= SUSPECT_THRESHOLD && !is_single_error(s)))
		return CGW_TRUST_SUSPECT;
	return s->probation ? CGW_TRUST_PROBATION : CGW_TRUST_HEALTHY;
}

void cgw_service_enforce_floor(struct cgw_broker *b, struct cgw_service *s,
			       cg_ms now)
{
	struct cgw_server *oldest = NULL;

	/* Only a domain that ejected more than a floor of its own servers would
	 * allow readmits one, so that not all domains do so at once. */
	if (remaining_ejections(b, s, now) >= 0 ||
	    count_servers(s, true, now) <=
		    max_ejected(b, count_servers(s, false, now)))
		return;
	for (guint i = 0; i < s->servers->len; i++) {
		struct cgw_server *o = g_ptr_array_index(s->servers, i);

		if (!o->facts.leaving && o->ejected_until > now &&
		    (!oldest || o->ejected_until < oldest->ejected_until))
			oldest = o;
	}
	if (!oldest)
		return;
	cg_info("server %s of service %s readmitted: too many servers are "
		"ejected in the fleet",
		oldest->facts.id, s->name);
	oldest->ejected_until = now;
}

bool cgw_server_has_room(struct cgw_server *s, cg_ms now)
{
	if (s->facts.leaving || s->full_until > now || s->rest_until > now ||
	    cgw_server_warmup_room(s, now) < 1)
		return false;
	if (cgw_server_trust(s, now) != CGW_TRUST_HEALTHY)
		return s->inflight - s->overdue < 1 &&
		       s->inflight < s->facts.slots;
	return s->inflight < s->facts.slots;
}

/* Returns whether a request is still open at @at by what its daemon says. One
 * that is cut off cannot report that its server has answered. */
static bool is_open_at(struct cgw_broker *b, const struct cgw_grant *g,
		       cg_ms at, cg_ms now)
{
	cg_ms since = at - TOUCH_MS;

	return now >= since &&
	       (!b->settings.heard_since ||
		b->settings.heard_since(b->arg, g->daemon, since)) &&
	       now >= at;
}

void cgw_server_check_age(struct cgw_broker *b, struct cgw_grant *g, cg_ms now)
{
	struct cgw_server *s = g->server;
	cg_ms overdue_after = g->overdue_at - g->started_at;
	cg_ms hung_at = g->started_at + (cg_ms)(HUNG_FACTOR * overdue_after);
	struct cgw_route_latency *latency =
		g_hash_table_lookup(b->latencies, g->route);
	double step = 0;

	/* While few or no requests of the route have been served, an overdue
	 * request is no sign of a failing server: requests of this route may
	 * take longer than its timeout on every server. */
	if (!latency || latency->samples < LATENCY_SAMPLES_MIN)
		return;

	if (g->age_stage < 1 && is_open_at(b, g, g->overdue_at, now)) {
		g->age_stage = 1;
		s->overdue++;
		add_to_run(s, CGW_EVIDENCE_OVERDUE, now);
		step += evidence_step(b, s, CGW_EVIDENCE_OVERDUE);
	}
	if (g->age_stage < 2 && is_open_at(b, g, hung_at, now)) {
		g->age_stage = 2;
		/* A request that takes this long ejects its server, however
		 * much of the suspicion since it was overdue has decayed. */
		decay_suspicion(s, now);
		step = fmax(step, EJECT_THRESHOLD - s->suspicion);
	}
	if (step <= 0)
		return;
	g->added_suspicion += step;
	add_suspicion(b, s, step, now);
}

void cgw_server_record_result(struct cgw_broker *b, struct cgw_grant *g,
			      enum cgw_result result, cg_ms elapsed, cg_ms now)
{
	struct cgw_server *s = g->server;

	if (result == CGW_RESULT_HUNG)
		cgw_server_check_age(b, g, now);
	if (g->age_stage)
		s->overdue--;
	switch (result) {
	case CGW_RESULT_SERVED:
		if (g->age_stage) {
			/* A late response shows that the server works: most of
			 * the suspicion added while it was overdue is taken
			 * back, and an ejection may end. */
			s->suspicion = fmax(
				0, s->suspicion - 0.7 * g->added_suspicion);
			if (s->run.n[CGW_EVIDENCE_OVERDUE] > 0)
				s->run.n[CGW_EVIDENCE_OVERDUE]--;
			if (s->suspicion < EJECT_THRESHOLD &&
			    s->ejected_until > now)
				s->ejected_until = now;
			return;
		}
		if (s->probation)
			end_probation(b, s, now);
		add_evidence(b, s, CGW_EVIDENCE_SERVED, now);
		return;
	case CGW_RESULT_ERROR:
		add_evidence(b, s, CGW_EVIDENCE_ERROR, now);
		return;
	case CGW_RESULT_LOST:
		add_evidence(b, s, CGW_EVIDENCE_LOST, now);
		return;
	case CGW_RESULT_HUNG:
		/* cgw_server_check_age() has added suspicion if it was
		 * overdue. */
		return;
	case CGW_RESULT_UNREACHED:
		add_suspicion(b, s, STEP_UNREACHED, now);
		return;
	case CGW_RESULT_SHED:
		s->full_until =
			now + (s->inflight >= s->facts.slots ? FULL_BACKOFF_MS
							     : SHED_BACKOFF_MS);
		return;
	case CGW_RESULT_MISPLACED:
		/* Another server has the address: do not use this one until
		 * the next list of servers. */
		s->facts.leaving = true;
		return;
	case CGW_RESULT_DROPPED:
	case CGW_RESULT_UNUSED:
	case CGW_RESULT_COUNT:
		return;
	}
}

void cgw_route_latency_estimate(struct cgw_broker *b, const char *route,
				cg_ms objective_ms, cg_ms *typical_ms,
				cg_ms *overdue_ms)
{
	struct cgw_route_latency *u = g_hash_table_lookup(b->latencies, route);
	double mean = INITIAL_LATENCY_SHARE * (double)objective_ms;
	double deviation = mean / 3;

	if (u && u->samples >= LATENCY_SAMPLES_MIN) {
		mean = u->mean_ms;
		deviation = u->deviation_ms;
	}
	*typical_ms = (cg_ms)mean;
	*overdue_ms = MAX((cg_ms)fmax(OVERDUE_FACTOR_MIN * mean,
				      mean + OVERDUE_DEVIATIONS * deviation),
			  OVERDUE_MIN_MS);
}

void cgw_request_latency_estimate(struct cgw_broker *b,
				  const struct cgw_slot_request *request,
				  cg_ms now, cg_ms *typical_ms,
				  cg_ms *overdue_ms)
{
	struct cgw_work_traits t = {
		.route = request->route,
		.account = request->account,
		.method = request->method,
		.size_class = request->size_class,
		.shape = request->shape,
	};
	struct cgw_work_class c;
	double share;

	cgw_route_latency_estimate(b, request->route, request->objective_ms,
				   typical_ms, overdue_ms);
	if (b->placement != CGW_PLACEMENT_EXPECTED_FINISH)
		return;
	cgw_work_classify(&t, &c);
	share = cgw_work_estimate(b->work, &c, request->objective_ms, now) /
		cgw_work_route_estimate(b->work, &c, request->objective_ms,
					now);
	share = CLAMP(share, CLASS_SHARE_MIN, CLASS_SHARE_MAX);
	*typical_ms = MAX(1, (cg_ms)((double)*typical_ms * share));
	if (share > 1)
		*overdue_ms = (cg_ms)((double)*overdue_ms * share);
}

void cgw_route_latency_record(struct cgw_broker *b, const char *route,
			      cg_ms elapsed)
{
	struct cgw_route_latency *u = g_hash_table_lookup(b->latencies, route);
	double weight;

	if (!u) {
		u = g_new0(struct cgw_route_latency, 1);
		g_hash_table_insert(b->latencies, g_strdup(route), u);
	}
	u->samples++;
	weight = fmax(LATENCY_WEIGHT_MIN, 1.0 / u->samples);
	u->deviation_ms +=
		weight * (fabs((double)elapsed - u->mean_ms) - u->deviation_ms);
	if (u->samples == 1)
		u->deviation_ms = (double)elapsed / 3;
	u->mean_ms += weight * ((double)elapsed - u->mean_ms);
}
