#include "fleet_internal.h"

/* Those that lead next try one after the other, so that not all of them take
 * over at once. */
static cg_ms takeover_delay(struct cgw_fleet *f,
			    const struct cgw_member *leader)
{
	GPtrArray *a = cgw_fleet_ranking(f);
	cg_ms delay = 0;

	for (guint i = 0; i < a->len; i++) {
		const struct cgw_member *m = g_ptr_array_index(a, i);

		if (cgw_fleet_ranks_before(f, NULL, m))
			break;
		if (m != leader)
			delay += TAKEOVER_STEP_MS;
	}
	return delay;
}

void cgw_fleet_check_proof(struct cgw_fleet *f)
{
	cg_ms now = cgw_loop_now(f->loop);
	struct cgw_member *leader = cgw_fleet_member(f, f->leader);
	cg_ms interval = PROOF_READ_INTERVAL_MS;

	/* Those that lead next read the configuration at once after the start,
	 * for the whole domain. */
	if (f->listed && !cgw_fleet_config_version(f) &&
	    !f->next_store_read_at &&
	    now - f->started_at >= (cgw_fleet_ranking(f)->len > CANDIDATE_COUNT
					    ? START_READ_DELAY_MS
					    : START_READ_ALONE_MS) &&
	    cgw_fleet_leads_next(f)) {
		f->next_store_read_at = now + interval;
		cgw_feed_refresh(*f->feed);
		return;
	}
	/* A daemon that ranks better than the leader shows that it can read the
	 * store, and leads. */
	if (leader && cgw_fleet_leads_next(f) && now >= f->next_store_read_at &&
	    !f->leaving && cgw_fleet_ranks_before(f, NULL, leader)) {
		f->next_store_read_at = now + TAKEOVER_READ_INTERVAL_MS;
		cgw_feed_refresh(*f->feed);
		return;
	}
	/* The leader cannot read the store: those that lead next try at once. */
	if (leader && cgw_fleet_is_alive(f, leader) &&
	    cgw_fleet_cannot_read_store(leader) && cgw_fleet_leads_next(f) &&
	    now >= f->next_store_read_at && f->leader_degraded_at &&
	    now - f->leader_degraded_at >= takeover_delay(f, leader)) {
		f->next_store_read_at = now + interval;
		cgw_feed_refresh(*f->feed);
		return;
	}
	if (!leader ||
	    (now - cgw_feed_proved_at(*f->feed) <= PROOF_MAX_AGE_MS &&
	     !(f->leader_degraded_at &&
	       now - f->leader_degraded_at >= TAKEOVER_OPEN_MS)) ||
	    (leader->eligibility == CGW_ELIGIBILITY_NO_CONFIG &&
	     cgw_fleet_is_alive(f, leader)))
		return;
	/* The leader has the proof; the configuration is being fetched. */
	if (cgw_fleet_is_alive(f, leader) && !f->leader_degraded_at &&
	    leader->proved_at >= 0 &&
	    now - leader->proved_at <= PROOF_MAX_AGE_MS &&
	    cgw_handoff_failures(f->handoff) < HANDOFF_FAILURES_MAX)
		return;
	if (!cgw_fleet_leads_next(f))
		interval = MAX(interval,
			       PROOF_READ_SHARE_MS * (cg_ms)f->domain_daemons);
	if (now < f->next_store_read_at)
		return;
	/* The first read of a daemon that has many others beside it comes at a
	 * random time, so that they do not all read at once. */
	if (!f->next_store_read_at && interval > PROOF_READ_INTERVAL_MS) {
		f->next_store_read_at =
			now + (cg_ms)(g_random_double() * (double)interval);
		return;
	}
	f->next_store_read_at =
		now + (cg_ms)((0.5 + g_random_double()) * (double)interval);
	cgw_feed_refresh(*f->feed);
}
