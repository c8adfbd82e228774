/* Coordinator of the services whose shard this daemon owns. */
#define CG_PART "health"
#include "health_internal.h"

#include <string.h>

#include "celeryglade/counters.h"
#include "internal/logging.h"

/* Delay before the survey request is sent again to a member that did not
 * reply. */
#define SURVEY_RETRY_MS 2000
/* Survey requests per service and tick; the transport has few threads. */
#define SURVEY_PER_TICK 64
/* Hints sent per service and tick. */
#define HINTS_PER_TICK 256

struct survey_call {
	struct cg_health *h;
	char service[CG_NAME_MAX + 1];
	char member[CG_NAME_MAX + 1];
	uint64_t epoch;
};

void health_describe_servers(struct health_service *svc,
			     struct cg_ejection_server *out, cg_ms now)
{
	for (size_t i = 0; i < svc->n; i++) {
		const struct health_server *s = svc->servers[i];

		g_strlcpy(out[i].name, s->name, sizeof(out[i].name));
		out[i].slots = s->slots;
		out[i].draining = s->drain_noticed;
		out[i].warming_up = now < s->warmup_until;
	}
}

void coordinator_stop(struct health_service *svc)
{
	if (svc->coordinator)
		cg_info("no longer health coordinator of service %s",
			svc->name);
	cg_ejection_free(svc->coordinator);
	svc->coordinator = NULL;
	g_free(svc->fleet_servers);
	svc->fleet_servers = NULL;
	if (svc->survey)
		g_array_unref(svc->survey);
	svc->survey = NULL;
	if (svc->hints)
		g_array_unref(svc->hints);
	svc->hints = NULL;
}

static void start_survey(struct cg_health *h, struct health_service *svc)
{
	size_t max = cg_members_count(h->members) + 16;
	struct cg_member *m = g_new(struct cg_member, max);
	size_t n = cg_members_copy(h->members, m, max);

	svc->survey = g_array_new(FALSE, TRUE, sizeof(struct survey_member));
	for (size_t i = 0; i < n; i++) {
		struct survey_member s = { .addr = m[i].addr,
					   .request_sent_at = -1 };

		g_strlcpy(s.name, m[i].name, sizeof(s.name));
		g_array_append_val(svc->survey, s);
	}
	g_free(m);
}

static void adopt_own_verdicts(struct health_service *svc, cg_ms now)
{
	if (now >= svc->held.until)
		return;
	for (size_t i = 0; i < svc->held.n; i++)
		cg_ejection_adopt_verdict(svc->coordinator, &svc->held.list[i],
					  now);
}

static void coordinator_start(struct cg_health *h, struct health_service *svc,
			      uint64_t epoch, cg_ms now)
{
	struct cg_ejection_rules r;

	coordinator_stop(svc);
	cg_info("became health coordinator of service %s, epoch %" G_GUINT64_FORMAT,
		svc->name, epoch);
	cg_ejection_rules_fleet(&r, h->settings->verdict_ttl_ms,
				h->settings->eject_ms);
	svc->coordinator = cg_ejection_new(&r, epoch, true, now);
	svc->min_epoch = MAX(svc->min_epoch, epoch);
	svc->counted_ejections = 0;
	svc->counted_floor = 0;
	svc->counted_evidence = 0;
	svc->counted_reinstatements = 0;
	adopt_own_verdicts(svc, now);
	start_survey(h, svc);
}

static struct survey_member *find_survey_member(struct health_service *svc,
						const char *name)
{
	for (guint i = 0; svc->survey && i < svc->survey->len; i++) {
		struct survey_member *m =
			&g_array_index(svc->survey, struct survey_member, i);

		if (!strcmp(m->name, name))
			return m;
	}
	return NULL;
}

static void adopt_survey_reply(struct health_service *svc,
			       const cg_x_verdicts_reply *r, cg_ms now)
{
	for (u_int i = 0; i < r->verdicts.verdicts_len; i++) {
		const cg_x_verdict *x = &r->verdicts.verdicts_val[i];
		struct cg_verdict v = { .server = x->server,
					.phase = CG_SERVER_EJECTED,
					.share = x->share,
					.consecutive_ejections =
						x->consecutive_ejections,
					.remaining_ms = x->remaining_ms };

		if (x->phase == CG_SERVER_TRIAL)
			v.phase = CG_SERVER_TRIAL;
		cg_ejection_adopt_verdict(svc->coordinator, &v, now);
	}
}

static void survey_done(void *arg, int rc, const GByteArray *reply)
{
	struct survey_call *q = arg;
	struct cg_health *h = q->h;
	struct health_service *svc;
	struct survey_member *m;
	cg_x_verdicts_reply r;

	if (rc || cg_xdr_decode((xdrproc_t)xdr_cg_x_verdicts_reply, reply->data,
				reply->len, &r, sizeof(r)))
		goto out;
	pthread_rwlock_rdlock(&h->services_lock);
	svc = g_hash_table_lookup(h->services, q->service);
	if (svc) {
		pthread_mutex_lock(&svc->lock);
		m = find_survey_member(svc, q->member);
		if (svc->coordinator && m &&
		    cg_ejection_epoch(svc->coordinator) == q->epoch) {
			adopt_survey_reply(svc, &r, cg_clock_now(h->clk));
			m->replied = true;
		}
		pthread_mutex_unlock(&svc->lock);
	}
	pthread_rwlock_unlock(&h->services_lock);
	xdr_free((xdrproc_t)xdr_cg_x_verdicts_reply, (char *)&r);
out:
	g_free(q);
	health_call_done(h);
}

static void send_survey_request(struct cg_health *h, struct health_service *svc,
				const struct survey_member *m)
{
	cg_x_verdicts_request x = {
		.service = svc->name,
		.failure_domain = (char *)h->settings->failure_domain,
		.epoch = cg_ejection_epoch(svc->coordinator),
		.mode = CG_X_VERDICTS_SURVEY,
	};
	struct survey_call *q = g_new0(struct survey_call, 1);
	GByteArray *body = g_byte_array_new();

	q->h = h;
	q->epoch = x.epoch;
	g_strlcpy(q->service, svc->name, sizeof(q->service));
	g_strlcpy(q->member, m->name, sizeof(q->member));
	cg_xdr_encode((xdrproc_t)xdr_cg_x_verdicts_request, &x, body);
	if (health_call(h, &m->addr, CG_MSG_GET_VERDICTS, body, survey_done, q))
		g_free(q);
	g_byte_array_unref(body);
}

/* Continues the survey of a new coordinator, which requests the verdicts in
 * force from the members. It ends when each member has replied or is gone, or
 * when verdicts from before the survey have expired. */
static void survey_tick(struct cg_health *h, struct health_service *svc,
			cg_ms now)
{
	unsigned int sent = 0, open = 0;

	if (!svc->survey)
		return;
	for (guint i = 0; i < svc->survey->len; i++) {
		struct survey_member *m =
			&g_array_index(svc->survey, struct survey_member, i);
		struct cg_member known;

		if (m->replied)
			continue;
		/* A member that is gone applies no verdicts. */
		if (cg_members_find(h->members, m->name, &known) ||
		    known.state == CG_MEMBER_GONE) {
			m->replied = true;
			continue;
		}
		open++;
		if (sent >= SURVEY_PER_TICK ||
		    (m->request_sent_at >= 0 &&
		     now - m->request_sent_at < SURVEY_RETRY_MS))
			continue;
		m->addr = known.addr;
		m->request_sent_at = now;
		sent++;
		send_survey_request(h, svc, m);
	}
	if (open && cg_ejection_is_surveying(svc->coordinator, now))
		return;
	cg_info("service %s: survey of verdicts ended, %u members did not reply",
		svc->name, open);
	cg_ejection_end_survey(svc->coordinator);
	g_array_unref(svc->survey);
	svc->survey = NULL;
}

static void count_increase(enum cg_counter c, uint64_t value, uint64_t *counted)
{
	if (value > *counted)
		cg_count_add(c, value - *counted);
	*counted = value;
}

static void count_decisions(struct health_service *svc, cg_ms now)
{
	struct cg_ejection_capacity c;

	cg_ejection_capacity(svc->coordinator, now, &c);
	count_increase(CG_COUNTER_EJECTIONS, c.ejections,
		       &svc->counted_ejections);
	count_increase(CG_COUNTER_EJECTIONS_DENIED_FLOOR, c.denied_floor,
		       &svc->counted_floor);
	count_increase(CG_COUNTER_EJECTIONS_DENIED_EVIDENCE, c.denied_evidence,
		       &svc->counted_evidence);
	count_increase(CG_COUNTER_READMISSIONS, c.reinstatements,
		       &svc->counted_reinstatements);
}

static void start_hints(struct cg_health *h, struct health_service *svc)
{
	size_t max = cg_members_count(h->members) + 16;
	struct cg_member *m = g_new(struct cg_member, max);
	size_t n = cg_members_copy(h->members, m, max);

	if (svc->hints)
		g_array_unref(svc->hints);
	svc->hints = g_array_new(FALSE, FALSE, sizeof(struct sockaddr_in));
	for (size_t i = 0; i < n; i++)
		if (cg_ejection_is_reporter(svc->coordinator, m[i].name))
			g_array_append_val(svc->hints, m[i].addr);
	g_free(m);
}

static void hint_done(void *arg, int rc, const GByteArray *reply)
{
	health_call_done(arg);
}

/* Sends the next hints after an ejection. A daemon that receives a hint fetches
 * the verdicts at once. Without it, a daemon with few requests would learn of
 * the verdict only from the reply to its next digest, which can be 20 s away.
 * If a hint is lost, that reply still announces the verdict. */
static void hint_tick(struct cg_health *h, struct health_service *svc)
{
	cg_x_verdicts_request x = {
		.service = svc->name,
		.failure_domain = (char *)h->settings->failure_domain,
		.epoch = cg_ejection_epoch(svc->coordinator),
		.mode = CG_X_VERDICTS_HINT,
	};
	GByteArray *body;

	if (!svc->hints)
		return;
	body = g_byte_array_new();
	cg_xdr_encode((xdrproc_t)xdr_cg_x_verdicts_request, &x, body);
	for (int i = 0; i < HINTS_PER_TICK && svc->hints->len; i++) {
		guint last = svc->hints->len - 1;

		health_call(
			h, &g_array_index(svc->hints, struct sockaddr_in, last),
			CG_MSG_GET_VERDICTS, body, hint_done, h);
		g_array_set_size(svc->hints, last);
	}
	g_byte_array_unref(body);
	if (svc->hints->len)
		return;
	g_array_unref(svc->hints);
	svc->hints = NULL;
}

static void update_fleet_servers(struct health_service *svc, cg_ms now)
{
	struct cg_ejection_server *list =
		g_new0(struct cg_ejection_server, svc->n + 1);

	health_describe_servers(svc, list, now);
	if (svc->fleet_servers &&
	    !memcmp(svc->fleet_servers, list, svc->n * sizeof(*list))) {
		g_free(list);
		return;
	}
	cg_ejection_set_servers(svc->coordinator, list, svc->n,
				svc->floor_percent, now);
	g_free(svc->fleet_servers);
	svc->fleet_servers = list;
}

void coordinator_tick(struct cg_health *h, struct health_service *svc,
		      cg_ms now)
{
	struct cg_shard_owner owner;
	uint64_t ejections;

	if (cg_shards_owner(h->shards, svc->shard, &owner) || !owner.self) {
		coordinator_stop(svc);
		return;
	}
	if (!svc->coordinator ||
	    cg_ejection_epoch(svc->coordinator) != owner.epoch)
		coordinator_start(h, svc, owner.epoch, now);
	update_fleet_servers(svc, now);
	survey_tick(h, svc, now);
	cg_ejection_tick(svc->coordinator, now);
	ejections = svc->counted_ejections;
	count_decisions(svc, now);
	if (svc->counted_ejections > ejections)
		start_hints(h, svc);
	hint_tick(h, svc);
}

int coordinator_handle_digest(struct cg_health *h, struct health_service *svc,
			      const char *sender, uint64_t incarnation,
			      const char *domain, const cg_x_health_service *d,
			      cg_x_health_service_reply *a, cg_ms now)
{
	struct cg_ejection *e = svc->coordinator;
	struct cg_sample sample;
	uint32_t reporter, server;
	size_t at = 0;
	bool duplicate;

	if (!e)
		return -1;
	duplicate = cg_ejection_begin_digest(e, sender, incarnation, domain,
					     d->sequence, now, &reporter) != 0;
	while (!duplicate &&
	       !cg_counts_decode((const uint8_t *)d->counts.counts_val,
				 d->counts.counts_len, &at, &server, &sample))
		cg_ejection_observe(e, reporter, server, &sample, now);
	a->epoch = cg_ejection_epoch(e);
	a->verdict_version = cg_ejection_version(e);
	a->reference_millionths = (u_int)(cg_ejection_reference_ratio(e) * 1e6);
	a->digest_every_tick = cg_ejection_needs_digests(e);
	/* The daemon renews exactly these verdicts when it receives the
	 * reply. */
	if (d->epoch == a->epoch && d->verdict_version == a->verdict_version)
		cg_ejection_record_held(e, reporter, a->verdict_version, now);
	return 0;
}
