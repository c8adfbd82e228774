#include "ejection_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* A daemon without observations for this time is not counted as active, that
 * is, as one that could support an ejection. */
#define REPORTER_ACTIVE_MS 60000
/* Records of daemons that neither sent observations nor held verdicts for this
 * time are removed. */
#define REPORTER_EXPIRY_MS 600000
/* The first trial share is chosen such that the responses of one step arrive
 * within this time. */
#define FIRST_STEP_MS 60000

static const uint32_t trial_shares[CG_TRIAL_STEPS] = { 10, 100, 500 };

const char *cg_server_phase_name(enum cg_server_phase p)
{
	switch (p) {
	case CG_SERVER_IN_SERVICE:
		return "in";
	case CG_SERVER_EJECTED:
		return "ejected";
	case CG_SERVER_TRIAL:
		return "trial";
	}
	abort();
}

const char *cg_denial_name(enum cg_denial d)
{
	switch (d) {
	case CG_DENIAL_NONE:
		return "none";
	case CG_DENIAL_EVIDENCE:
		return "evidence";
	case CG_DENIAL_FLOOR:
		return "floor";
	case CG_DENIAL_SURVEY:
		return "survey";
	}
	abort();
}

void cg_ejection_rules_fleet(struct cg_ejection_rules *r, cg_ms verdict_ttl_ms,
			     cg_ms eject_ms)
{
	*r = (struct cg_ejection_rules){
		.threshold = 18,
		.trial_threshold = 7.5,
		.min_daemons = 3,
		.min_domains = 2,
		.verdict_ttl_ms = verdict_ttl_ms,
		.eject_ms = eject_ms,
		.eject_max_ms = 300000,
		.step_responses = 20,
		.first_share_max = 100,
	};
}

void cg_ejection_rules_local(struct cg_ejection_rules *r, cg_ms eject_ms)
{
	cg_ejection_rules_fleet(r, 0, eject_ms);
	r->threshold = 14;
	r->trial_threshold = 5;
	r->min_daemons = 1;
	r->min_domains = 1;
	/* A single daemon sees few responses of a trial. */
	r->step_responses = 4;
	r->first_share_max = 500;
	r->local = true;
}

uint32_t cg_server_id(const char *name)
{
	return XXH32(name, strlen(name), 0);
}

struct cg_ejection *cg_ejection_new(const struct cg_ejection_rules *r,
				    uint64_t epoch, bool surveying, cg_ms now)
{
	struct cg_ejection *e = g_new0(struct cg_ejection, 1);

	e->rules = *r;
	e->epoch = epoch;
	e->version = 1;
	e->surveying = surveying;
	e->created_at = now;
	e->last_tick_at = now;
	e->reporters = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	e->pending_verdicts =
		g_array_new(FALSE, FALSE, sizeof(struct cg_verdict));
	return e;
}

void cg_ejection_free(struct cg_ejection *e)
{
	if (!e)
		return;
	g_hash_table_unref(e->reporters);
	g_array_unref(e->pending_verdicts);
	g_free(e->list);
	g_free(e);
}

struct server_entry *cg_ejection_find(const struct cg_ejection *e, uint32_t id)
{
	for (size_t i = 0; i < e->n; i++)
		if (e->list[i].id == id)
			return &e->list[i];
	return NULL;
}

static void adopt_verdict(struct cg_ejection *e, struct server_entry *s,
			  const struct cg_verdict *v, cg_ms now)
{
	/* Members may hold different verdicts of the previous coordinator; the
	 * most severe one takes precedence. */
	if (s->phase == CG_SERVER_EJECTED && s->until - now >= v->remaining_ms)
		return;
	if (s->phase == CG_SERVER_TRIAL && v->phase == CG_SERVER_TRIAL &&
	    s->share <= v->share)
		return;
	s->phase = CG_SERVER_EJECTED;
	s->share = 0;
	s->since = now;
	s->until = now + MAX(v->remaining_ms, 0);
	s->consecutive_ejections =
		MAX(s->consecutive_ejections, v->consecutive_ejections);
	cg_ejection_clear_evidence(s);
	e->version++;
}

/* Records a received sequence number. Returns whether it was recorded before or
 * is too old for this to be known. */
static bool record_sequence(struct reporter *r, uint64_t sequence)
{
	if (sequence > r->sequence) {
		uint64_t ahead = sequence - r->sequence;

		r->sequence_bits = ahead < 64 ? r->sequence_bits << ahead : 0;
		r->sequence_bits |= 1;
		r->sequence = sequence;
		return false;
	}
	if (r->sequence - sequence >= 64)
		return true;
	if (r->sequence_bits >> (r->sequence - sequence) & 1)
		return true;
	r->sequence_bits |= UINT64_C(1) << (r->sequence - sequence);
	return false;
}

int cg_ejection_begin_digest(struct cg_ejection *e, const char *daemon,
			     uint64_t incarnation, const char *domain,
			     uint64_t sequence, cg_ms now, uint32_t *reporter)
{
	uint32_t id = XXH32(daemon, strlen(daemon), 0);
	struct reporter *r =
		g_hash_table_lookup(e->reporters, GUINT_TO_POINTER(id));

	if (!r) {
		r = g_new0(struct reporter, 1);
		r->id = id;
		r->traffic_at = -CG_MS_NEVER;
		g_hash_table_insert(e->reporters, GUINT_TO_POINTER(id), r);
	}
	if (r->incarnation != incarnation) {
		r->incarnation = incarnation;
		r->sequence = 0;
		r->sequence_bits = 0;
	}
	if (strcmp(r->domain, domain) != 0) {
		g_strlcpy(r->domain, domain, sizeof(r->domain));
		r->domain_id = XXH32(domain, strlen(domain), 0);
	}
	g_strlcpy(r->name, daemon, sizeof(r->name));
	*reporter = id;
	return record_sequence(r, sequence) ? -1 : 0;
}

bool cg_ejection_is_reporter(const struct cg_ejection *e, const char *daemon)
{
	uint32_t id = XXH32(daemon, strlen(daemon), 0);
	const struct reporter *r =
		g_hash_table_lookup(e->reporters, GUINT_TO_POINTER(id));

	return r && r->traffic_at >= e->last_tick_at - REPORTER_ACTIVE_MS;
}

void cg_ejection_record_held(struct cg_ejection *e, uint32_t reporter,
			     uint64_t version, cg_ms now)
{
	struct reporter *r =
		g_hash_table_lookup(e->reporters, GUINT_TO_POINTER(reporter));

	if (!r)
		return;
	r->held_version = version;
	r->held_until = now + e->rules.verdict_ttl_ms;
}

/* Counts the daemons with traffic and their failure domains, and removes old
 * records. */
static void count_reporters(struct cg_ejection *e, cg_ms now)
{
	uint32_t domains[8];
	GHashTableIter it;
	gpointer v;

	e->active_daemons = 0;
	e->active_domains = 0;
	g_hash_table_iter_init(&it, e->reporters);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct reporter *r = v;
		unsigned int d = 0;

		if (r->traffic_at < now - REPORTER_EXPIRY_MS &&
		    r->held_until < now - REPORTER_EXPIRY_MS) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		if (r->traffic_at < now - REPORTER_ACTIVE_MS)
			continue;
		e->active_daemons++;
		while (d < e->active_domains && domains[d] != r->domain_id)
			d++;
		if (d == e->active_domains && d < G_N_ELEMENTS(domains))
			domains[e->active_domains++] = r->domain_id;
	}
}

/* Returns whether no daemon can still apply verdicts older than @p version.
 * Daemons that hold verdicts of an earlier coordinator are not recorded here,
 * so the first verdict_ttl_ms must have passed. */
static bool is_confirmed(struct cg_ejection *e, uint64_t version, cg_ms now)
{
	GHashTableIter it;
	gpointer v;

	if (now - e->created_at < e->rules.verdict_ttl_ms)
		return false;
	g_hash_table_iter_init(&it, e->reporters);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct reporter *r = v;

		if (r->held_until > now && r->held_version < version)
			return false;
	}
	return true;
}

static uint32_t available_slots(const struct cg_ejection *e, uint32_t *total)
{
	uint32_t sum = 0;

	*total = 0;
	for (size_t i = 0; i < e->n; i++) {
		*total += e->list[i].cfg.slots;
		if (server_available(&e->list[i]))
			sum += e->list[i].cfg.slots;
	}
	return sum;
}

static uint32_t floor_slots(const struct cg_ejection *e, uint32_t total)
{
	return (uint32_t)(((uint64_t)total * e->floor_percent + 99) / 100);
}

static void eject(struct cg_ejection *e, struct server_entry *s, cg_ms now)
{
	cg_ms duration;

	if (s->phase == CG_SERVER_IN_SERVICE &&
	    s->reinstated_at > -CG_MS_NEVER) {
		/* Each full eject_max_ms in service reduces the count of
		 * consecutive ejections by one. */
		cg_ms forgiven =
			(now - s->reinstated_at) / e->rules.eject_max_ms;

		s->consecutive_ejections =
			forgiven >= s->consecutive_ejections
				? 0
				: s->consecutive_ejections - (uint32_t)forgiven;
	}
	duration = e->rules.eject_ms << MIN(s->consecutive_ejections, 20);
	s->consecutive_ejections++;
	s->phase = CG_SERVER_EJECTED;
	s->share = 0;
	s->any_method = false;
	s->since = now;
	s->until = now + MIN(duration, e->rules.eject_max_ms);
	s->sum_at_ejection = s->cusum.sum;
	s->ejection_observers = s->observers;
	s->denial = CG_DENIAL_NONE;
	cg_ejection_clear_evidence(s);
	e->version++;
	e->ejections++;
}

/* Returns the requests per second of an average server in service, from the
 * decaying counts of the long window. */
static double rate_per_server(const struct cg_ejection *e)
{
	double n = 0;
	size_t in = 0;

	for (size_t i = 0; i < e->n; i++) {
		const struct server_entry *s = &e->list[i];

		if (s->phase != CG_SERVER_IN_SERVICE || !server_testable(s))
			continue;
		n += s->window_bad + s->window_good;
		in++;
	}
	/* Counts with a half-life of 30 s are equivalent to 30 / ln 2 = 43.3
	 * seconds of traffic. */
	return in ? n / (double)in / 43.3 : 0;
}

static uint32_t first_trial_share(const struct cg_ejection *e)
{
	double rate = rate_per_server(e);
	double need = e->rules.step_responses * 1000.0 / FIRST_STEP_MS;
	double share = rate > 0 ? 1000 * need / rate : e->rules.first_share_max;

	if (share >= e->rules.first_share_max)
		return e->rules.first_share_max;
	return MAX((uint32_t)share, trial_shares[0]);
}

static void start_step(struct cg_ejection *e, struct server_entry *s,
		       unsigned int step, cg_ms now)
{
	s->phase = CG_SERVER_TRIAL;
	s->step = step;
	s->share =
		step ? MAX(trial_shares[step], s->share) : first_trial_share(e);
	s->since = now;
	s->trial_responses = 0;
	s->trial_response_at = now;
	s->any_method = false;
	e->version++;
}

static void reinstate(struct cg_ejection *e, struct server_entry *s, cg_ms now)
{
	s->phase = CG_SERVER_IN_SERVICE;
	s->share = 1000;
	s->since = now;
	s->reinstated_at = now;
	s->reinstated_version = ++e->version;
	s->unconfirmed = !e->rules.local;
	cg_ejection_clear_evidence(s);
	e->reinstatements++;
}

/* Ejects a server in trial again if it fails too often. After enough responses
 * in a step it starts the next step or, after the last one, reinstates the
 * server. */
static void advance_trial(struct cg_ejection *e, struct server_entry *s,
			  cg_ms now)
{
	if (!server_testable(s))
		return;
	if (s->cusum.sum >= e->rules.trial_threshold) {
		eject(e, s, now);
		return;
	}
	if (s->trial_responses < e->rules.step_responses) {
		/* A trial starts with idempotent requests only. A service that
		 * has none would never get its server back, so the trial is
		 * opened to all methods if no response arrives for long. */
		if (!s->any_method &&
		    now - s->trial_response_at >= e->rules.eject_max_ms) {
			s->any_method = true;
			e->version++;
		}
		return;
	}
	if (s->step + 1 < CG_TRIAL_STEPS)
		start_step(e, s, s->step + 1, now);
	else
		reinstate(e, s, now);
}

static void advance_phase(struct cg_ejection *e, struct server_entry *s,
			  cg_ms now)
{
	switch (s->phase) {
	case CG_SERVER_IN_SERVICE:
		if (s->unconfirmed &&
		    (now - s->reinstated_at >= e->rules.verdict_ttl_ms ||
		     is_confirmed(e, s->reinstated_version, now)))
			s->unconfirmed = false;
		break;
	case CG_SERVER_EJECTED:
		if (now >= s->until)
			start_step(e, s, 0, now);
		break;
	case CG_SERVER_TRIAL:
		advance_trial(e, s, now);
		break;
	}
}

/* Counts a denial once per suspicion rather than at every tick. */
static void record_denial(struct cg_ejection *e, struct server_entry *s,
			  enum cg_denial why)
{
	if (s->denial == why)
		return;
	s->denial = why;
	if (why == CG_DENIAL_FLOOR)
		e->denied_floor++;
	if (why == CG_DENIAL_EVIDENCE)
		e->denied_evidence++;
}

/* Returns the server that is out by a local decision and had the lowest sum at
 * its ejection, provided that it is below @p sum; NULL if there is none. */
static struct server_entry *find_least_suspect(struct cg_ejection *e,
					       double sum)
{
	struct server_entry *found = NULL;

	for (size_t i = 0; i < e->n; i++) {
		struct server_entry *s = &e->list[i];

		if (s->phase == CG_SERVER_IN_SERVICE || !server_testable(s) ||
		    s->sum_at_ejection >= sum)
			continue;
		if (!found || s->sum_at_ejection < found->sum_at_ejection)
			found = s;
	}
	return found;
}

static bool floor_allows(struct cg_ejection *e, const struct server_entry *s)
{
	uint32_t total, available = available_slots(e, &total);

	if (!server_available(s))
		return true; /* It is counted as out already. */
	return available >= s->cfg.slots + floor_slots(e, total);
}

static void try_eject(struct cg_ejection *e, struct server_entry *s, cg_ms now)
{
	struct server_entry *other;

	if (!cg_ejection_has_support(e, s)) {
		record_denial(e, s, CG_DENIAL_EVIDENCE);
		return;
	}
	if (cg_ejection_is_surveying(e, now)) {
		record_denial(e, s, CG_DENIAL_SURVEY);
		return;
	}
	if (!floor_allows(e, s) && e->rules.local) {
		other = find_least_suspect(e, s->cusum.sum);
		if (other)
			reinstate(e, other, now);
	}
	if (floor_allows(e, s))
		eject(e, s, now);
	else
		record_denial(e, s, CG_DENIAL_FLOOR);
}

/* Fleet verdicts, drains and configuration changes can reduce the capacity
 * after this daemon has ejected servers by its own decision. Reinstates the
 * least suspect of these until the floor is met. */
static void restore_floor(struct cg_ejection *e, cg_ms now)
{
	for (;;) {
		uint32_t total, available = available_slots(e, &total);
		struct server_entry *s;

		if (available >= floor_slots(e, total))
			return;
		s = find_least_suspect(e, INFINITY);
		if (!s)
			return;
		reinstate(e, s, now);
	}
}

void cg_ejection_set_servers(struct cg_ejection *e,
			     const struct cg_ejection_server *list, size_t n,
			     uint32_t floor_percent, cg_ms now)
{
	struct server_entry *next = g_new0(struct server_entry, n);

	for (size_t i = 0; i < n; i++) {
		uint32_t id = cg_server_id(list[i].name);
		struct server_entry *old = cg_ejection_find(e, id);

		if (old) {
			next[i] = *old;
		} else {
			next[i].id = id;
			next[i].since = now;
			next[i].reinstated_at = -CG_MS_NEVER;
			next[i].p0 = CG_CUSUM_P0_MIN;
		}
		next[i].cfg = list[i];
		/* Evidence from before or during a warm-up, a drain or a fleet
		 * verdict says nothing about the time after it. */
		if (!server_testable(&next[i]))
			cg_ejection_clear_evidence(&next[i]);
	}
	g_free(e->list);
	e->list = next;
	e->n = n;
	e->floor_percent = floor_percent;
	for (guint i = 0; i < e->pending_verdicts->len; i++) {
		struct cg_verdict *v = &g_array_index(e->pending_verdicts,
						      struct cg_verdict, i);
		struct server_entry *s = cg_ejection_find(e, v->server);

		if (s)
			adopt_verdict(e, s, v, now);
	}
	g_array_set_size(e->pending_verdicts, 0);
	if (e->rules.local)
		restore_floor(e, now);
}

static int compare_sums(const void *a, const void *b)
{
	const struct server_entry *x = *(struct server_entry *const *)a;
	const struct server_entry *y = *(struct server_entry *const *)b;

	return (x->cusum.sum < y->cusum.sum) - (x->cusum.sum > y->cusum.sum);
}

void cg_ejection_tick(struct cg_ejection *e, cg_ms now)
{
	struct server_entry **over_threshold =
		g_newa(struct server_entry *, e->n + 1);
	size_t n = 0;

	if (now <= e->last_tick_at)
		return;
	count_reporters(e, now);
	cg_ejection_update_sums(e, now, now - e->last_tick_at);
	e->last_tick_at = now;
	for (size_t i = 0; i < e->n; i++) {
		struct server_entry *s = &e->list[i];

		advance_phase(e, s, now);
		if (s->phase != CG_SERVER_IN_SERVICE || !server_testable(s))
			continue;
		if (s->cusum.sum >= e->rules.threshold)
			over_threshold[n++] = s;
		else
			s->denial = CG_DENIAL_NONE;
	}
	qsort(over_threshold, n, sizeof(struct server_entry *), compare_sums);
	for (size_t i = 0; i < n; i++)
		try_eject(e, over_threshold[i], now);
	if (e->rules.local)
		restore_floor(e, now);
}

void cg_ejection_adopt_verdict(struct cg_ejection *e,
			       const struct cg_verdict *v, cg_ms now)
{
	struct server_entry *s = cg_ejection_find(e, v->server);

	if (s)
		adopt_verdict(e, s, v, now);
	else if (!e->n)
		g_array_append_val(e->pending_verdicts, *v);
}

void cg_ejection_end_survey(struct cg_ejection *e)
{
	e->surveying = false;
}

bool cg_ejection_is_surveying(const struct cg_ejection *e, cg_ms now)
{
	return e->surveying && now - e->created_at < e->rules.verdict_ttl_ms;
}
