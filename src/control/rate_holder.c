#include "celeryglade/rate_holder.h"

#include <string.h>

#include "celeryglade/rate_policy.h"

/* Arrivals are smoothed over about 2 s (INTERVAL_MS * SMOOTHING). That is long
 * enough to filter Poisson noise at a few requests per second, and short
 * against the 5 s (IDLE_MS) after which an idle holding is returned. */
#define INTERVAL_MS 500
#define SMOOTHING   4
/* Fewer arrivals in an interval never count as a significant change. */
#define SIGNIFICANT_ARRIVALS 16
/* A holding without arrivals for this time is returned. */
#define IDLE_MS 5000
/* Interval between reports: REPORT_MS after a change of demand; while nothing
 * changes, it doubles from KEEPALIVE_MIN_MS to KEEPALIVE_MAX_MS. */
#define KEEPALIVE_MIN_MS 1000
#define KEEPALIVE_MAX_MS 8000
#define REPORT_MS	 500
/* An unanswered request is sent again after RETRY_MS; the delay doubles up to
 * RETRY_MAX_MS. */
#define RETRY_MS     1000
#define RETRY_MAX_MS 8000
/* A holding that has no session can be freed after this time without
 * arrivals. */
#define UNUSED_MS 30000

void cg_rate_holding_init(struct cg_rate_holding *h, cg_ms now,
			  uint64_t refused_up_to, int64_t rate, int64_t burst)
{
	memset(h, 0, sizeof(*h));
	cg_rate_bucket_init(&h->bucket, now);
	h->refused_up_to = refused_up_to;
	h->rate = rate;
	h->burst = burst;
	h->lease_until = CG_MS_NEVER;
	h->keepalive_ms = KEEPALIVE_MIN_MS;
	h->interval_started_at = now;
	h->last_arrival_at = now;
	h->requested_at = -CG_MS_NEVER;
	h->reported_at = now;
	h->answered_at = -CG_MS_NEVER;
}

/* Returns whether two numbers of arrivals in an interval differ by more than
 * random variation. Smoothing would then only delay the change. */
static bool differ_significantly(int64_t a, int64_t b)
{
	return a > b ? a >= SIGNIFICANT_ARRIVALS && a > 2 * b
		     : b >= SIGNIFICANT_ARRIVALS && b > 2 * a;
}

static void count_interval(struct cg_rate_holding *h, cg_ms now)
{
	cg_ms elapsed = (now - h->interval_started_at) / INTERVAL_MS;

	if (elapsed <= 0)
		return;
	/* After 64 intervals without arrivals (32 s) the smoothed demand is
	 * practically 0. */
	for (cg_ms i = 0; i < elapsed && i < 64; i++) {
		int64_t arrivals = i ? 0 : h->arrivals;
		int64_t expected = h->demand * INTERVAL_MS / 1000 / 1000;
		int64_t per_second = arrivals * 1000 * 1000 / INTERVAL_MS;

		if (differ_significantly(arrivals, expected))
			h->demand = per_second;
		else
			h->demand += (per_second - h->demand) / SMOOTHING;
	}
	if (elapsed >= 64)
		h->demand = 0;
	h->arrivals = 0;
	h->interval_started_at += elapsed * INTERVAL_MS;
}

/* The arrivals of the current interval count in full if they are significantly
 * above the smoothed demand, so that a new load takes effect at once. */
static int64_t current_demand(const struct cg_rate_holding *h)
{
	int64_t expected = h->demand * INTERVAL_MS / 1000 / 1000;
	int64_t partial = h->arrivals * 1000 * 1000 / INTERVAL_MS;

	if (h->arrivals < expected ||
	    !differ_significantly(h->arrivals, expected))
		partial /= SMOOTHING;
	return h->demand > partial ? h->demand : partial;
}

static void end_session(struct cg_rate_holding *h, cg_ms now)
{
	if (h->session > h->refused_up_to)
		h->refused_up_to = h->session;
	h->session = 0;
	h->number = 0;
	h->granted = (struct cg_rate_share){ 0 };
	h->released = (struct cg_rate_share){ 0 };
	h->lease_until = CG_MS_NEVER;
	h->closing = false;
	h->report_pending = false;
	h->unanswered = 0;
	cg_rate_bucket_init(&h->bucket, now);
}

static void release(struct cg_rate_holding *h, cg_ms now,
		    const struct cg_rate_share *amount)
{
	struct cg_rate_share out;

	cg_rate_bucket_split(&h->bucket, now, amount, &out);
	h->released.refill_right += out.refill_right;
	h->released.capacity += out.capacity;
	h->released.tokens += out.tokens;
	if (out.refill_right || out.capacity)
		h->report_pending = true;
}

/* Releases down to the given refill right and capacity, with a proportional
 * share of the tokens. */
static void release_to(struct cg_rate_holding *h, cg_ms now, int64_t right,
		       int64_t cap)
{
	struct cg_rate_share amount = { 0 };

	cg_rate_bucket_refill(&h->bucket, now);
	if (h->bucket.share.refill_right > right)
		amount.refill_right = h->bucket.share.refill_right - right;
	if (h->bucket.share.capacity > cap)
		amount.capacity = h->bucket.share.capacity - cap;
	amount.tokens =
		cg_rate_fraction(h->bucket.share.tokens, amount.capacity,
				 h->bucket.share.capacity);
	release(h, now, &amount);
}

void cg_rate_holding_release_all(struct cg_rate_holding *h, cg_ms now)
{
	cg_rate_holding_expire(h, now);
	if (!h->session)
		return;
	release_to(h, now, 0, 0);
	h->closing = true;
}

void cg_rate_holding_expire(struct cg_rate_holding *h, cg_ms now)
{
	if (!h->session || h->lease_until == CG_MS_NEVER ||
	    now < h->lease_until)
		return;
	/* If a request is unanswered, the coordinator may have removed the time
	 * limit in a lost answer, so the release must be reported. */
	if (h->closing || h->unanswered) {
		release_to(h, now, 0, 0);
		h->closing = true;
	} else {
		end_session(h, now);
	}
}

bool cg_rate_holding_admit_waiting(struct cg_rate_holding *h, cg_ms now)
{
	cg_rate_holding_expire(h, now);
	return cg_rate_bucket_take(&h->bucket, now, CG_RATE_REQUEST_COST);
}

enum cg_rate_holding_result cg_rate_holding_admit(struct cg_rate_holding *h,
						  cg_ms now)
{
	count_interval(h, now);
	h->arrivals++;
	h->last_arrival_at = now;
	if (cg_rate_holding_admit_waiting(h, now))
		return CG_RATE_HOLDING_ADMIT;
	if (now < h->refuse_until) {
		h->refused++;
		return CG_RATE_HOLDING_REFUSE;
	}
	return CG_RATE_HOLDING_REQUEST;
}

static cg_ms retry_after(const struct cg_rate_holding *h)
{
	cg_ms ms = RETRY_MS;

	for (uint32_t i = 1; i < h->unanswered && ms < RETRY_MAX_MS; i++)
		ms *= 2;
	return ms;
}

bool cg_rate_holding_report_due(struct cg_rate_holding *h, cg_ms now)
{
	cg_ms since;
	int64_t change;

	count_interval(h, now);
	cg_rate_holding_expire(h, now);
	if (!h->session)
		return false;
	if (!h->closing && h->lease_until == CG_MS_NEVER &&
	    now - h->last_arrival_at >= IDLE_MS)
		cg_rate_holding_release_all(h, now);
	since = h->requested_at == -CG_MS_NEVER ? CG_MS_NEVER
						: now - h->requested_at;
	if (h->unanswered)
		return since >= retry_after(h);
	if (h->closing)
		return since >= RETRY_MS || h->report_pending;
	if (h->lease_until != CG_MS_NEVER)
		return h->bucket.share.refill_right > 0 &&
		       now - h->last_arrival_at < IDLE_MS &&
		       h->lease_until - now < h->lease_ms * 2 / 3;
	if (h->report_pending || now - h->reported_at >= h->keepalive_ms)
		return true;
	if (now - h->reported_at < REPORT_MS)
		return false;
	change = h->demand - h->reported_demand;
	if (change < 0)
		change = -change;
	return change > h->reported_demand / 4 + 4 * CG_RATE_HOLDING_MIN_DEMAND;
}

/* Releases what the next answer of the coordinator would request back
 * anyway. */
static void release_excess(struct cg_rate_holding *h, cg_ms now)
{
	int64_t max_right = CG_RATE_MAX_RIGHT_FACTOR * current_demand(h);
	const struct cg_rate_share *have = &h->bucket.share;

	if (h->closing || !h->session ||
	    !cg_rate_policy_should_lower(have->refill_right, max_right, false))
		return;
	release_to(h, now, max_right,
		   cg_rate_fraction(have->capacity, max_right,
				    have->refill_right));
}

void cg_rate_holding_fill_request(struct cg_rate_holding *h, cg_ms now,
				  int64_t need,
				  struct cg_rate_token_request *out)
{
	count_interval(h, now);
	cg_rate_holding_expire(h, now);
	if (!need)
		release_excess(h, now);
	*out = (struct cg_rate_token_request){
		.session = h->session,
		.refused_up_to = h->refused_up_to,
		.number = h->number,
		.released = h->released,
		.demand = current_demand(h),
		.need = need,
		.final = h->closing && !need,
	};
	h->requested_at = now;
	if (!need)
		h->reported_at = now;
	h->reported_demand = out->demand;
	h->report_pending = false;
	h->unanswered++;
}

static int begin_session(struct cg_rate_holding *h, cg_ms now, cg_ms sent,
			 const struct cg_rate_answer *a)
{
	if (a->session <= h->refused_up_to)
		return -1;
	/* A new session never replaces one that still has a share. */
	if (h->bucket.share.refill_right || h->bucket.share.capacity)
		return -1;
	if (a->lease_ms && sent + a->lease_ms <= now)
		return -1;
	end_session(h, now);
	h->session = a->session;
	h->refused_up_to = a->session - 1;
	h->lease_until = a->lease_ms ? sent + a->lease_ms : CG_MS_NEVER;
	return 0;
}

static void apply_grant(struct cg_rate_holding *h, cg_ms now,
			const struct cg_rate_answer *a)
{
	struct cg_rate_share in = {
		.refill_right =
			a->granted.refill_right - h->granted.refill_right,
		.capacity = a->granted.capacity - h->granted.capacity,
		.tokens = a->granted.tokens - h->granted.tokens,
	};

	/* A newer grant may have arrived before this one. */
	if (a->number <= h->number)
		return;
	cg_rate_bucket_join(&h->bucket, now, &in);
	h->granted = a->granted;
	h->number = a->number;
}

static void apply_lease(struct cg_rate_holding *h, cg_ms sent,
			const struct cg_rate_answer *a)
{
	h->lease_ms = a->lease_ms;
	if (!a->lease_ms)
		h->lease_until = CG_MS_NEVER;
	else if (h->lease_until != CG_MS_NEVER &&
		 h->lease_until < sent + a->lease_ms)
		h->lease_until = sent + a->lease_ms;
}

int cg_rate_holding_apply_answer(struct cg_rate_holding *h, cg_ms now,
				 cg_ms sent, const struct cg_rate_answer *a)
{
	bool latest = sent == h->requested_at;

	cg_rate_holding_expire(h, now);
	h->answered_at = now;
	if (latest)
		h->refuse_until = a->retry_ms ? now + a->retry_ms : 0;
	switch (a->status) {
	case CG_RATE_STATUS_NOT_READY:
	case CG_RATE_STATUS_NOT_OWNER:
		return 0;
	case CG_RATE_STATUS_CLOSED:
		if (!h->session || a->session != h->session)
			return -1;
		end_session(h, now);
		return 0;
	case CG_RATE_STATUS_OK:
		break;
	}
	if (!a->session)
		return 0;
	if (a->session != h->session && begin_session(h, now, sent, a))
		return -1;
	if (a->granted.refill_right > h->granted.refill_right ||
	    a->target_right >= 0)
		h->keepalive_ms = KEEPALIVE_MIN_MS;
	else if (latest && h->keepalive_ms < KEEPALIVE_MAX_MS)
		h->keepalive_ms *= 2;
	apply_grant(h, now, a);
	apply_lease(h, sent, a);
	if (latest)
		h->unanswered = 0;
	if (h->closing) {
		/* The coordinator kept the session open; if requests arrive
		 * again, it continues. */
		if (now - h->last_arrival_at < IDLE_MS && latest)
			h->closing = false;
		else
			release_to(h, now, 0, 0);
	} else if (latest && a->target_right >= 0) {
		release_to(h, now, a->target_right, a->target_capacity);
	}
	return 0;
}

void cg_rate_holding_set_limits(struct cg_rate_holding *h, cg_ms now,
				int64_t rate, int64_t burst)
{
	cg_rate_holding_expire(h, now);
	cg_rate_bucket_refill(&h->bucket, now);
	if (h->session && (rate < h->rate || burst < h->burst))
		release_to(h, now,
			   cg_rate_fraction(h->bucket.share.refill_right, rate,
					    h->rate),
			   cg_rate_fraction(h->bucket.share.capacity, burst,
					    h->burst));
	h->rate = rate;
	h->burst = burst;
}

bool cg_rate_holding_move_to_epoch(struct cg_rate_holding *h, cg_ms now,
				   uint64_t epoch)
{
	uint64_t survey_session = cg_rate_survey_session(epoch);
	struct cg_rate_bucket saved;

	cg_rate_holding_expire(h, now);
	if (h->session && h->session < survey_session) {
		saved = h->bucket;
		if (h->lease_until != CG_MS_NEVER || h->closing)
			end_session(h, now);
		if (h->session) {
			end_session(h, now);
			h->bucket = saved;
			h->session = survey_session;
			h->granted = saved.share;
		}
	}
	if (h->refused_up_to < survey_session && h->session != survey_session)
		h->refused_up_to = survey_session;
	return h->session == survey_session;
}

bool cg_rate_holding_unused(const struct cg_rate_holding *h, cg_ms now)
{
	return !h->session && now - h->last_arrival_at >= UNUSED_MS;
}
