#include "gateway/evacuations.h"

/* Parts of the bound that pass between two reads. The rest is for a read that
 * times out, one retry, and a grant on its way. */
#define READS_PER_BOUND	     2
#define READ_INTERVAL_MIN_MS 100
/* The delay after a failed read doubles from the minimum to the maximum. */
#define RETRY_DELAY_MIN_MS 250
#define RETRY_DELAY_MAX_MS 1000
/* A leader that cannot read the store and has heard of no state from another
 * daemon waits this long before it uses its servers: two reads and the pongs of
 * its domain. Callers wait at least 1.2 s. */
#define UNKNOWN_WAIT_MS 1000
/* While reads fail the last known state is valid; a daemon that was suspended
 * for longer than this reads the store again first. */
#define FAILING_VALID_MS 1000
/* Time that the operators have to write again what an older copy of the store
 * lacks. */
#define REWRITE_MS 3000

void cgw_evacuation_init(struct cgw_evacuation_state *s, cg_ms bound_ms)
{
	*s = (struct cgw_evacuation_state){ .bound_ms = bound_ms,
					    .read_at = -1,
					    .era_began_at = -1 };
}

void cgw_evacuation_begin(struct cgw_evacuation_state *s, cg_ms now)
{
	s->reading_since = now;
	s->failing = false;
	s->retry_delay = 0;
}

bool cgw_evacuation_record(struct cgw_evacuation_state *s, bool evacuated,
			   cg_ms read_at)
{
	bool changed = s->evacuated != evacuated;

	if (read_at < 0 || read_at <= s->read_at)
		return false;
	s->read_at = read_at;
	s->evacuated = evacuated;
	return changed;
}

bool cgw_evacuation_record_era(struct cgw_evacuation_state *s, uint64_t era,
			       cg_ms now)
{
	if (era && era < s->era)
		return false;
	if (s->era && era > s->era)
		s->era_began_at = now;
	if (era)
		s->era = era;
	return !s->evacuated || s->era_began_at < 0 ||
	       now - s->era_began_at >= REWRITE_MS;
}

cg_ms cgw_evacuation_schedule(struct cgw_evacuation_state *s, bool ok,
			      cg_ms sent_at, cg_ms now)
{
	s->failing = !ok;
	if (ok) {
		s->retry_delay = 0;
		return MAX(now, sent_at + MAX(s->bound_ms / READS_PER_BOUND,
					      READ_INTERVAL_MIN_MS));
	}
	s->retry_delay = CLAMP(s->retry_delay * 2, RETRY_DELAY_MIN_MS,
			       RETRY_DELAY_MAX_MS);
	return now + s->retry_delay;
}

cg_ms cgw_evacuation_known_until(const struct cgw_evacuation_state *s,
				 cg_ms now)
{
	if (!s->bound_ms)
		return CG_MS_NEVER;
	if (s->failing &&
	    (s->read_at >= 0 || now - s->reading_since >= UNKNOWN_WAIT_MS))
		return MAX(s->read_at + s->bound_ms, now + FAILING_VALID_MS);
	return s->read_at < 0 ? -1 : s->read_at + s->bound_ms;
}
