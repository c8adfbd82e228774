#define CG_PART "trust"
#include "broker_internal.h"

#include <math.h>

#include "internal/logging.h"

/*
 * Design note. Suspicion is a CUSUM of log likelihood ratios between "fails
 * three requests in four" and "as its peers", from requests alone: health
 * answers stay good while servers hang. The steps below are logarithms of
 * the shares of such ends at a sick and at a sound server, as the sites state
 * them: served 0.25 / 0.98, overdue 0.75 / 0.02, lost the same; an error weighs
 * less, since requests themselves can be at fault.
 */
#define STEP_SERVED    -1.4
#define STEP_ERROR     2.2
#define STEP_LOST      3.0
#define STEP_OVERDUE   3.0
#define STEP_HUNG      2.5
#define STEP_UNREACHED 1.5
/* A suspect is used only if no sound server is free. One error, which one
 * request in eighty gets from a sound server, does not make one. */
#define SUSPECT_AT 2.6
/* A server that gets nothing can prove nothing: suspicion halves in this time,
 * so that a sound one is back within the 2 s after which its absence counts
 * against the floor. */
#define HALF_LIFE_MS 1500
/* Ejected: two requests that hang, or one that hangs for long. */
#define EJECT_AT 5.0
#define CEILING	 7.0
/* A request that hangs for this many times the overdue time. */
#define HUNG_X 1.6
/* Below the 2 s after which a sound server without requests counts against the
 * floor. Spells last up to twelve seconds on the sites at hand; the first request
 * afterwards, one that may run again elsewhere, shows whether this one is over.
 * 2,000, 3,000 and 5,000 ms scored the same within noise. */
#define EJECT_MS	1800
#define PROBATION_START 2.0
/* A server that turned a request away is not asked again at once: full by the
 * books of this broker, or shedding for a reason of its own. */
#define FULL_MS	    150
#define SHEDDING_MS 25

/* Guess of the usual time as a part of the objective, before any sample: the
 * operators' objectives are two to four times the work. */
#define GUESS_PART	0.4
#define GUESS_SAMPLES	3
#define USUAL_WEIGHT	0.05
#define DEVIATIONS	4.0
#define LEAST_OVERDUE_X 2.0
/* Above the pause after one lost packet. */
#define LEAST_OVERDUE_MS 250

static int64_t count(const struct cgw_service *s, bool ejected, cg_ms now)
{
	int64_t n = 0;

	for (guint i = 0; i < s->servers->len; i++) {
		const struct cgw_server *o = g_ptr_array_index(s->servers, i);

		n += !o->facts.leaving && (!ejected || o->ejected_until > now);
	}
	return n;
}

int64_t cgw_service_ejected(const struct cgw_service *s, cg_ms now)
{
	return count(s, true, now);
}

/* How many of @p servers may be ejected at once. */
static int64_t may_eject(const struct cgw_broker *b, int64_t servers)
{
	/* 1 - 0.9 of ten servers is one, though the product is a little less. */
	return (int64_t)floor((1 - b->settings.min_share) * (double)servers +
			      1e-9);
}

/* How many more servers of the service may be ejected here; negative below the
 * floor. The floor is that of the fleet. A domain that has not heard of all
 * others uses no more than its own part. */
static int64_t floor_room(const struct cgw_broker *b,
			  const struct cgw_service *s, cg_ms now)
{
	int64_t own = count(s, true, now);
	int64_t out = own;
	unsigned int heard = 1;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->elsewhere);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct cgw_note *n = value;

		if (now - n->at > CGW_NOTE_MS)
			continue;
		heard++;
		out += n->ejected;
	}
	if (heard < b->settings.domains)
		return may_eject(b, count(s, false, now)) - own;
	return may_eject(b, s->fleet_servers) - out;
}

static void eject(struct cgw_broker *b, struct cgw_server *s, cg_ms now)
{
	/* Ejection stops at the floor; what is below it stays suspect and is
	 * used when nothing better is free. */
	if (s->ejected_until <= now && floor_room(b, s->service, now) < 1)
		return;
	if (s->ejected_until <= now) {
		b->ejections++;
		cg_info("server %s of %s ejected, suspicion %.1f, %d in flight, "
			"%d of %d out here, %d in the fleet",
			s->facts.id, s->service->name, s->suspicion,
			(int)s->inflight, (int)count(s->service, true, now) + 1,
			(int)count(s->service, false, now),
			(int)s->service->fleet_servers);
	}
	s->ejected_until = now + EJECT_MS;
	s->probation = true;
}

static void fade(struct cgw_server *s, cg_ms now)
{
	if (now > s->suspicion_at && s->suspicion > 0)
		s->suspicion *=
			exp2(-(double)(now - s->suspicion_at) / HALF_LIFE_MS);
	s->suspicion_at = MAX(now, s->suspicion_at);
}

static void add(struct cgw_broker *b, struct cgw_server *s, double step,
		cg_ms now)
{
	fade(s, now);
	s->suspicion = CLAMP(s->suspicion + step, 0.0, CEILING);
	if (s->suspicion >= EJECT_AT)
		eject(b, s, now);
}

enum cgw_trust cgw_server_trust(struct cgw_server *s, cg_ms now)
{
	if (s->ejected_until > now)
		return CGW_TRUST_EJECTED;
	if (s->ejected_until) {
		s->returned_at = s->ejected_until;
		s->ejected_until = 0;
		s->suspicion = MIN(s->suspicion, PROBATION_START);
	}
	fade(s, now);
	if (s->overdue > 0 || s->suspicion >= SUSPECT_AT)
		return CGW_TRUST_SUSPECT;
	return s->probation ? CGW_TRUST_PROBATION : CGW_TRUST_HEALTHY;
}

void cgw_service_keep_floor(struct cgw_broker *b, struct cgw_service *s,
			    cg_ms now)
{
	struct cgw_server *oldest = NULL;

	/* Of the domains that ejected at the same moment, those beyond their
	 * own part give way. */
	if (floor_room(b, s, now) >= 0 ||
	    count(s, true, now) <= may_eject(b, count(s, false, now)))
		return;
	for (guint i = 0; i < s->servers->len; i++) {
		struct cgw_server *o = g_ptr_array_index(s->servers, i);

		if (!o->facts.leaving && o->ejected_until > now &&
		    (!oldest || o->ejected_until < oldest->ejected_until))
			oldest = o;
	}
	if (!oldest)
		return;
	cg_info("server %s of %s back, since the fleet is below the floor",
		oldest->facts.id, s->name);
	oldest->ejected_until = now;
}

bool cgw_server_has_room(struct cgw_server *s, cg_ms now)
{
	if (s->facts.leaving || s->full_until > now)
		return false;
	if (cgw_server_trust(s, now) != CGW_TRUST_HEALTHY)
		return s->inflight - s->overdue < 1 &&
		       s->inflight < s->facts.slots;
	return s->inflight < s->facts.slots;
}

void cgw_server_age(struct cgw_broker *b, struct cgw_grant *g, cg_ms now)
{
	struct cgw_server *s = g->server;
	cg_ms overdue = g->overdue_at - g->started;
	struct cgw_usual *u = g_hash_table_lookup(b->usual, g->route);
	double step = 0;

	/* A route that no server has served yet tells nothing of one of them:
	 * its requests may take longer than its time-out everywhere. */
	if (!u || u->samples < GUESS_SAMPLES)
		return;

	if (g->stage < 1 && now >= g->overdue_at) {
		g->stage = 1;
		s->overdue++;
		step += STEP_OVERDUE;
	}
	if (g->stage < 2 && now - g->started >= (cg_ms)(HUNG_X * overdue)) {
		g->stage = 2;
		step += STEP_HUNG;
	}
	if (step <= 0)
		return;
	g->added += step;
	add(b, s, step, now);
}

void cgw_server_note(struct cgw_broker *b, struct cgw_grant *g,
		     enum cgw_result result, cg_ms elapsed, cg_ms now)
{
	struct cgw_server *s = g->server;

	if (g->stage)
		s->overdue--;
	switch (result) {
	case CGW_RESULT_SERVED:
		if (g->stage) {
			/* Slow, but it came: not a server that hangs. */
			s->suspicion = fmax(0, s->suspicion - 0.7 * g->added);
			if (s->suspicion < EJECT_AT && s->ejected_until > now)
				s->ejected_until = now;
			return;
		}
		s->probation = false;
		add(b, s, STEP_SERVED, now);
		return;
	case CGW_RESULT_ERROR:
		add(b, s, STEP_ERROR, now);
		return;
	case CGW_RESULT_LOST:
		add(b, s, STEP_LOST, now);
		return;
	case CGW_RESULT_HUNG:
		/* Its age has told already, if it was overdue. */
		return;
	case CGW_RESULT_UNREACHED:
		add(b, s, STEP_UNREACHED, now);
		return;
	case CGW_RESULT_SHED:
		s->full_until =
			now +
			(s->inflight >= s->facts.slots ? FULL_MS : SHEDDING_MS);
		return;
	case CGW_RESULT_MISPLACED:
		/* The address belongs to another server: until the list says
		 * more, it is gone. */
		s->facts.leaving = true;
		return;
	case CGW_RESULT_DROPPED:
	case CGW_RESULT_UNUSED:
	case CGW_RESULT_COUNT:
		return;
	}
}

void cgw_usual_times(struct cgw_broker *b, const char *route,
		     cg_ms objective_ms, cg_ms *usual_ms, cg_ms *overdue_ms)
{
	struct cgw_usual *u = g_hash_table_lookup(b->usual, route);
	double mean = GUESS_PART * (double)objective_ms;
	double deviation = mean / 3;

	if (u && u->samples >= GUESS_SAMPLES) {
		mean = u->mean_ms;
		deviation = u->deviation_ms;
	}
	*usual_ms = (cg_ms)mean;
	*overdue_ms = MAX((cg_ms)fmax(LEAST_OVERDUE_X * mean,
				      mean + DEVIATIONS * deviation),
			  LEAST_OVERDUE_MS);
}

void cgw_usual_note(struct cgw_broker *b, const char *route, cg_ms elapsed)
{
	struct cgw_usual *u = g_hash_table_lookup(b->usual, route);
	double weight;

	if (!u) {
		u = g_new0(struct cgw_usual, 1);
		g_hash_table_insert(b->usual, g_strdup(route), u);
	}
	u->samples++;
	weight = fmax(USUAL_WEIGHT, 1.0 / u->samples);
	u->deviation_ms +=
		weight * (fabs((double)elapsed - u->mean_ms) - u->deviation_ms);
	if (u->samples == 1)
		u->deviation_ms = (double)elapsed / 3;
	u->mean_ms += weight * ((double)elapsed - u->mean_ms);
}
