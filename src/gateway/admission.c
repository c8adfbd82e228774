#include "admission.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

/* Time constant of the decay of the recent decisions. */
#define SHARE_TAU_MS 1000
/* A kind or account must be served at least a quarter as often as all requests;
 * the rest is a margin for the delay of the control. */
#define STARVED_SHARE 0.45
/* A refusal of a waiting request is not taken back, and the expected wait is an
 * estimate: only this part of it counts. */
#define PLANNED_WAIT_PART 0.8
/* Bounds of the Retry-After. */
#define RETRY_AFTER_MIN_MS 300
#define RETRY_AFTER_MAX_MS 2000
/* Part of the time that it has left which a caller waits at most. */
#define RETRY_AFTER_LEFT_PART (1.0 / 3)
#define USAGE_LEVEL_MAX	      8
/* Largest part of the retry budget that is reserved for other kinds. */
#define BUDGET_RESERVE_MAX 0.6
/* Reserved part of the budget for each request of a more urgent kind, as a part
 * of what the budget grows by with each request. */
#define BUDGET_RESERVE_PER_REQUEST 0.05
/* Kinds with more time than this wait for the budget. If a part of it were
 * reserved for them, it would often stay unused. */
#define BUDGET_RESERVE_TIME_MS 5000

void cgw_admission_share_record(struct cgw_admission_share *s, bool granted)
{
	if (granted)
		s->granted++;
	else
		s->refused++;
}

bool cgw_admission_share_decay(struct cgw_admission_share *s, cg_ms elapsed)
{
	double factor = exp(-(double)elapsed / SHARE_TAU_MS);

	s->granted *= factor;
	s->refused *= factor;
	return s->granted + s->refused < 0.1 && !s->users;
}

/* Adds one granted request, so that a few refusals show nothing. */
static double served_share(const struct cgw_admission_share *s)
{
	return (s->granted + 1) / (s->granted + s->refused + s->waiting + 1);
}

bool cgw_admission_is_starved(const struct cgw_admission_share *part,
			      const struct cgw_admission_share *all)
{
	return part && all &&
	       served_share(part) < STARVED_SHARE * served_share(all);
}

unsigned int cgw_admission_usage_level(double usage, double mean)
{
	if (mean <= 0 || usage <= 2 * mean)
		return 0;
	return (unsigned int)fmin(log2(usage / mean), USAGE_LEVEL_MAX);
}

static bool is_starved(const struct cgw_admission_request *a)
{
	return cgw_admission_is_starved(a->kind, a->all) ||
	       cgw_admission_is_starved(a->account, a->all);
}

static bool is_late(const struct cgw_admission_request *a, cg_ms now)
{
	return now + a->work > a->objective_at;
}

/* Latest start: to meet the objective, or the deadline if that is missed. */
static cg_ms latest_start(const struct cgw_admission_request *a, bool late)
{
	return (late ? a->deadline : a->objective_at) - a->work;
}

bool cgw_admission_precedes(const struct cgw_admission_request *a,
			    const struct cgw_admission_request *o, cg_ms now)
{
	bool starved = is_starved(a), late = is_late(a, now);

	if (starved != is_starved(o))
		return starved;
	if (a->priority != o->priority)
		return a->priority < o->priority;
	if (late != is_late(o, now))
		return !late;
	if (a->usage_level != o->usage_level)
		return a->usage_level < o->usage_level;
	if (latest_start(a, late) != latest_start(o, late))
		return latest_start(a, late) < latest_start(o, late);
	if (a->idempotent != o->idempotent)
		return a->idempotent;
	return a->since < o->since;
}

bool cgw_admission_meets_deadline(const struct cgw_admission_request *a,
				  cg_ms wait, cg_ms now)
{
	return now + wait + a->work <= a->deadline;
}

static int compare(gconstpointer x, gconstpointer y, gpointer data)
{
	const struct cgw_admission_request *a =
		*(const struct cgw_admission_request *const *)x;
	const struct cgw_admission_request *o =
		*(const struct cgw_admission_request *const *)y;
	cg_ms now = *(const cg_ms *)data;

	if (cgw_admission_precedes(a, o, now))
		return -1;
	return cgw_admission_precedes(o, a, now);
}

void cgw_admission_plan(const struct cgw_admission_request **waiting,
			bool *refuse, size_t n, double slots, cg_ms now)
{
	double work = 0;

	g_qsort_with_data(waiting, (gint)n, sizeof(gpointer), compare, &now);
	for (size_t i = 0; i < n; i++) {
		double wait = PLANNED_WAIT_PART * work / fmax(slots, 1);

		refuse[i] = !cgw_admission_meets_deadline(waiting[i],
							  (cg_ms)wait, now);
		if (!refuse[i])
			work += (double)waiting[i]->work;
	}
}

cg_ms cgw_admission_retry_after(double room, cg_ms left, double spread)
{
	double highest = RETRY_AFTER_MAX_MS, lowest;

	if (left > 0)
		highest = fmin(highest, (double)left * RETRY_AFTER_LEFT_PART);
	lowest = fmin(fmax(room, RETRY_AFTER_MIN_MS), highest / 2);
	return (cg_ms)(lowest + spread * (highest - lowest));
}

double
cgw_admission_budget_reserve(const struct cgw_admission_share *kind,
			     const struct cgw_admission_share *const *kinds,
			     size_t n, double retry_ratio)
{
	double all = 0, before = 0;

	for (size_t i = 0; i < n; i++) {
		const struct cgw_admission_share *o = kinds[i];
		double requests = o->granted + o->refused;

		all += requests;
		if (o->priority < kind->priority &&
		    o->time_ms < BUDGET_RESERVE_TIME_MS)
			before += requests;
	}
	if (all <= 0 || retry_ratio <= 0)
		return 0;
	return fmin(BUDGET_RESERVE_MAX,
		    BUDGET_RESERVE_PER_REQUEST * before / all / retry_ratio);
}
