#include "warmup.h"

#include <glib.h>
#include <math.h>

/* Grants arrive up to this much later than others: a lost datagram is repeated
 * after 40 ms, a connection is opened and a loaded machine is slow. */
#define LATE_MS 500
/* Part of the slack that a burst may use. The rest is for later arrivals than
 * LATE_MS. */
#define SLACK_SHARE 0.5
/* Time for which a server that got too much while it was warm gets nothing. */
#define DEBT_MAX_MS 1000

struct cgw_warmup_limit cgw_warmup_limit(double per_s, double burst_factor,
					 double slack, double share)
{
	struct cgw_warmup_limit l = { 0 };
	double allowed = per_s * burst_factor + slack;

	if (per_s <= 0 || burst_factor <= 0)
		return l;
	l.burst = fmax(1, SLACK_SHARE * slack);
	l.per_s = fmin(per_s, (allowed - l.burst) / (1 + LATE_MS / 1000.0));
	/* A server must get some requests to warm up at all. */
	l.per_s = fmax(l.per_s, per_s / 10) * share;
	l.burst = fmax(1, l.burst * share);
	return l;
}

static double tokens_at(const struct cgw_warmup_limit *l,
			const struct cgw_warmup *w, cg_ms now)
{
	return fmin(l->burst,
		    w->tokens + l->per_s * (double)MAX(0, now - w->at) / 1000);
}

void cgw_warmup_start(struct cgw_warmup *w, cg_ms now)
{
	w->tokens = 0;
	w->at = now;
}

int64_t cgw_warmup_available(const struct cgw_warmup_limit *l,
			     const struct cgw_warmup *w, cg_ms now)
{
	/* The addend makes up for rounding. */
	return l->per_s > 0 ? (int64_t)floor(tokens_at(l, w, now) + 1e-9)
			    : INT64_MAX;
}

static void add(const struct cgw_warmup_limit *l, struct cgw_warmup *w,
		double n, cg_ms now)
{
	double lowest = -l->per_s * DEBT_MAX_MS / 1000;

	if (l->per_s <= 0)
		return;
	w->tokens = CLAMP(tokens_at(l, w, now) + n, lowest, l->burst);
	w->at = MAX(w->at, now);
}

void cgw_warmup_take(const struct cgw_warmup_limit *l, struct cgw_warmup *w,
		     cg_ms now)
{
	add(l, w, -1, now);
}

void cgw_warmup_return(const struct cgw_warmup_limit *l, struct cgw_warmup *w,
		       cg_ms now)
{
	add(l, w, 1, now);
}
