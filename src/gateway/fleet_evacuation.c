#define CG_PART "fleet"
#include "fleet_internal.h"

void cgw_fleet_set_evacuations(struct cgw_fleet *f, struct cgw_evacuations *e)
{
	f->evacuations = e;
}

static cg_ms evacuation_known_until(struct cgw_fleet *f)
{
	return f->evacuations ? cgw_evacuation_known_until(
					cgw_evacuations_state(f->evacuations),
					cgw_loop_now(f->loop))
			      : CG_MS_NEVER;
}

bool cgw_fleet_may_decide(struct cgw_fleet *f)
{
	return f->servers_usable &&
	       evacuation_known_until(f) >= cgw_loop_now(f->loop);
}

void cgw_fleet_handle_evacuation(struct cgw_fleet *f)
{
	if (!f->evacuations)
		return;
	cgw_broker_set_evacuation(
		f->broker, cgw_evacuations_state(f->evacuations)->evacuated,
		evacuation_known_until(f), cgw_loop_now(f->loop));
	if (f->leading)
		cgw_fleet_submit_pending(f);
}

void cgw_fleet_fill_evacuation(struct cgw_fleet *f, fleet_pong *p)
{
	const struct cgw_evacuation_state *s =
		f->evacuations ? cgw_evacuations_state(f->evacuations) : NULL;

	if (!s || s->read_at < 0)
		return;
	p->evacuation =
		s->evacuated ? FLEET_EVACUATION_ASKED : FLEET_EVACUATION_NONE;
	p->evacuation_age_ms =
		(u_int)MIN(cgw_loop_now(f->loop) - s->read_at, G_MAXINT);
}

/* The age is counted from the ping that the pong echoes, like that of a proof. A
 * pong that answers no ping tells nothing. */
void cgw_fleet_record_evacuation(struct cgw_fleet *f, const fleet_pong *p)
{
	if (!f->evacuations || !p->echo_ms ||
	    p->evacuation == FLEET_EVACUATION_UNKNOWN)
		return;
	cgw_evacuations_record(f->evacuations,
			       p->evacuation == FLEET_EVACUATION_ASKED,
			       (cg_ms)p->echo_ms - p->evacuation_age_ms);
}
