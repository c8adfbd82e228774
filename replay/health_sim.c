/**
 * @file health_sim.c
 * Simulates requests, servers and daemons over the ejection decision modules.
 */
#include "health_sim.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define STEP_MS	   100
#define TTL_MS	   30000
#define EJECT_MS   10000
#define TIMEOUT_MS 10000
/* Digest interval of the controller with up to four active services. */
#define DIGEST_AGE_MS 1000
/* Size of the envelope, RPC and UDP headers of a digest and of its reply. */
#define DATAGRAM_OVERHEAD 190
#define REPLY_BYTES	  200
#define WARMUP_MARGIN_MS  2000
#define BASELINE_FAILURES 5 /* In a row; the baseline ejects after these. */

double sim_random(struct sim *s)
{
	s->rng ^= s->rng >> 12;
	s->rng ^= s->rng << 25;
	s->rng ^= s->rng >> 27;
	return (double)((s->rng * UINT64_C(2685821657736338717)) >> 11) /
	       9007199254740992.0;
}

static double normal(struct sim *s)
{
	double u = sim_random(s) + 1e-12, v = sim_random(s);

	return sqrt(-2 * log(u)) * cos(6.283185307179586 * v);
}

static void describe_servers(struct sim *s, struct cg_ejection_server *out)
{
	for (size_t i = 0; i < s->servers; i++) {
		memset(&out[i], 0, sizeof(out[i]));
		g_strlcpy(out[i].name, s->server[i].name, sizeof(out[i].name));
		out[i].slots = s->slots;
		out[i].draining =
			!s->no_drain && s->now < s->server[i].draining_until;
		out[i].warming_up =
			!s->no_warmup && s->now < s->server[i].warmup_until;
	}
}

static void fleet_rules(struct sim *s, struct cg_ejection_rules *r)
{
	cg_ejection_rules_fleet(r, TTL_MS, EJECT_MS);
	if (s->no_domains) {
		r->min_daemons = 1;
		r->min_domains = 1;
	}
	if (s->no_doubling)
		r->eject_max_ms = r->eject_ms;
}

static uint32_t floor_in_force(struct sim *s)
{
	return s->no_floor ? 0 : s->floor_percent;
}

void sim_start(struct sim *s)
{
	struct cg_ejection_server list[SIM_SERVERS_MAX];
	struct cg_ejection_rules r;

	s->rng = s->seed * UINT64_C(0x9E3779B97F4A7C15) + 1;
	s->now = 1000000;
	s->epoch = 1;
	if (!s->digest_ms)
		s->digest_ms = DIGEST_AGE_MS;
	s->service_slow = 1;
	s->lowest_available = UINT32_MAX;
	for (size_t i = 0; i < s->servers; i++) {
		g_snprintf(s->server[i].name, 16, "s%zu", i);
		s->server[i].slow = 1;
		s->server[i].fault_from = CG_MS_NEVER;
		s->server[i].fault_until = CG_MS_NEVER;
	}
	describe_servers(s, list);
	fleet_rules(s, &r);
	s->coordinator = cg_ejection_new(&r, s->epoch, false, s->now);
	cg_ejection_set_servers(s->coordinator, list, s->servers,
				floor_in_force(s), s->now);
	s->daemon = g_new0(struct sim_daemon, s->daemons);
	cg_ejection_rules_local(&r, EJECT_MS);
	for (size_t d = 0; d < s->daemons; d++) {
		struct sim_daemon *m = &s->daemon[d];

		g_snprintf(m->name, 16, "d%zu", d);
		g_snprintf(m->domain, 4, "z%zu", d % s->domains);
		m->local = cg_ejection_new(&r, 0, false, s->now);
		cg_ejection_set_servers(m->local, list, s->servers,
					floor_in_force(s), s->now);
		m->digest_sent_at =
			s->now - (cg_ms)(d * 997 % (size_t)s->digest_ms);
		for (size_t i = 0; i < s->servers; i++) {
			m->weight[i] = 1000;
			m->first_out_at[i] = CG_MS_NEVER;
			m->baseline_first_out_at[i] = CG_MS_NEVER;
		}
	}
}

void sim_free(struct sim *s)
{
	for (size_t d = 0; d < s->daemons; d++)
		cg_ejection_free(s->daemon[d].local);
	cg_ejection_free(s->coordinator);
	g_free(s->daemon);
}

/* Adopts the verdicts held by the daemons, as the controller's survey does. */
void sim_replace_coordinator(struct sim *s)
{
	struct cg_ejection_server list[SIM_SERVERS_MAX];
	struct cg_ejection_rules r;
	bool complete = true;

	fleet_rules(s, &r);
	cg_ejection_free(s->coordinator);
	s->coordinator = cg_ejection_new(&r, ++s->epoch, !s->no_survey, s->now);
	describe_servers(s, list);
	cg_ejection_set_servers(s->coordinator, list, s->servers,
				floor_in_force(s), s->now);
	if (s->no_survey)
		return;
	for (size_t d = 0; d < s->daemons; d++) {
		struct sim_daemon *m = &s->daemon[d];

		if (m->cannot_reach_coordinator) {
			complete = false;
			continue;
		}
		for (size_t i = 0; i < m->verdict_n && s->now < m->held_until;
		     i++)
			cg_ejection_adopt_verdict(s->coordinator,
						  &m->verdicts[i], s->now);
	}
	if (complete)
		cg_ejection_end_survey(s->coordinator);
}

static bool faulty(struct sim *s, size_t i)
{
	const struct sim_server *v = &s->server[i];

	return s->now >= v->fault_from && s->now < v->fault_until;
}

static void count_false_ejection(struct sim *s, struct sim_daemon *m, size_t i,
				 uint64_t *count)
{
	if (!faulty(s, i) && !m->partition[i])
		++*count;
}

static void apply_baseline(struct sim *s, struct sim_daemon *m, size_t i,
			   bool failed)
{
	if (!failed) {
		m->failures_in_row[i] = 0;
		return;
	}
	if (++m->failures_in_row[i] < BASELINE_FAILURES ||
	    s->now < m->baseline_until[i])
		return;
	m->failures_in_row[i] = 0;
	m->baseline_until[i] = s->now + EJECT_MS;
	if (m->baseline_first_out_at[i] == CG_MS_NEVER && faulty(s, i))
		m->baseline_first_out_at[i] = s->now;
	count_false_ejection(s, m, i, &s->baseline_false_ejections);
}

static double fail_ratio(struct sim *s, struct sim_daemon *m, size_t i)
{
	struct sim_server *v = &s->server[i];
	double f = fmax(s->fail, v->fail);

	if (v->flap_on_ms > 0 &&
	    fmod((double)(s->now - v->fault_from),
		 v->flap_on_ms + v->flap_off_ms) > v->flap_on_ms)
		f = s->fail;
	if (s->now < v->draining_until)
		f = fmax(f, 0.5);
	if (s->now < v->short_fault_until || m->partition[i])
		f = 1;
	if (s->now < s->service_fault_until)
		f = fmax(f, s->service_fail);
	if (s->now < v->warmup_until)
		f = fmax(f, 0.3);
	return f;
}

static void send_request(struct sim *s, struct sim_daemon *m, size_t i)
{
	struct sim_server *v = &s->server[i];
	struct cg_sample *u = &m->new_counts[i];
	double ms = s->latency_ms * exp(s->sigma * normal(s)) * v->slow;
	bool failed;

	if (s->now < s->service_fault_until)
		ms *= s->service_slow;
	if (s->now < v->warmup_until)
		ms *= 4;
	s->requests++;
	s->faulty_server_requests += faulty(s, i);
	if (sim_random(s) < v->shed) {
		if (s->no_shed)
			u->failed++;
		else
			u->shed++;
		m->new_count_n++;
		return;
	}
	failed = sim_random(s) < fail_ratio(s, m, i) || ms > TIMEOUT_MS;
	s->failed_requests += failed;
	if (failed)
		u->failed++;
	else
		u->answered[cg_latency_bucket((cg_ms)ms)]++;
	m->new_count_n++;
	apply_baseline(s, m, i, failed);
}

static size_t choose_server(struct sim *s, struct sim_daemon *m)
{
	double total = 0, at;
	size_t i;

	if (s->open_loop)
		return (size_t)(sim_random(s) * (double)s->servers);
	for (i = 0; i < s->servers; i++)
		total +=
			s->now < s->server[i].draining_until ? 0 : m->weight[i];
	at = sim_random(s) * total;
	for (i = 0; i + 1 < s->servers; i++) {
		at -= s->now < s->server[i].draining_until ? 0 : m->weight[i];
		if (at < 0)
			break;
	}
	return i;
}

static void send_step_requests(struct sim *s)
{
	double mean = s->rate * (double)s->servers * STEP_MS / 1000;
	double t = -log(sim_random(s) + 1e-12);

	for (; t < mean; t -= log(sim_random(s) + 1e-12)) {
		size_t d = (size_t)(sim_random(s) * (double)s->daemons);

		send_request(s, &s->daemon[d], choose_server(s, &s->daemon[d]));
	}
}

/* Sends the unsent counts, which are lost unless @p delivered. Returns the size
 * of the digest and its reply in bytes. */
static size_t send_digest(struct sim *s, struct sim_daemon *m,
			  uint32_t reporter, bool delivered)
{
	size_t bytes = DATAGRAM_OVERHEAD + REPLY_BYTES;
	uint8_t packed[256];

	for (size_t i = 0; i < s->servers; i++) {
		struct cg_sample *u = &m->unsent[i];
		size_t n = cg_sample_pack(u, packed, sizeof(packed));

		if (!n)
			continue;
		bytes += 8 + (n + 3) / 4 * 4;
		if (delivered && !s->no_pooling)
			cg_ejection_observe(s->coordinator, reporter,
					    cg_server_id(s->server[i].name), u,
					    s->now);
		memset(u, 0, sizeof(*u));
	}
	m->unsent_n = 0;
	m->digest_sent_at = s->now;
	return bytes;
}

static void adopt_verdicts(struct sim *s, struct sim_daemon *m,
			   uint32_t reporter)
{
	uint64_t version = cg_ejection_version(s->coordinator);

	cg_ejection_record_held(s->coordinator, reporter, version, s->now);
	m->held_until = s->no_ttl ? CG_MS_NEVER : s->now + TTL_MS;
	if (m->epoch == s->epoch && m->version == version)
		return;
	m->epoch = s->epoch;
	m->version = version;
	m->verdict_n = cg_ejection_verdicts(s->coordinator, s->now, m->verdicts,
					    SIM_SERVERS_MAX);
}

static uint32_t fleet_weight(struct sim *s, struct sim_daemon *m, uint32_t id)
{
	if (s->now >= m->held_until)
		return 1000;
	for (size_t i = 0; i < m->verdict_n; i++)
		if (m->verdicts[i].server == id)
			return m->verdicts[i].phase == CG_SERVER_EJECTED ? 0
			       : s->no_idempotent_requests &&
					       !m->verdicts[i].any_method
				       ? 0
				       : m->verdicts[i].share;
	return 1000;
}

static void update_weights(struct sim *s, struct sim_daemon *m,
			   const struct cg_ejection_server *list)
{
	uint32_t out = 0, total = 0, floor;

	for (size_t i = 0; i < s->servers; i++) {
		struct cg_ejection_explanation x;
		uint32_t id = cg_server_id(list[i].name);
		uint32_t fleet = fleet_weight(s, m, id), w = fleet;

		cg_ejection_explain(m->local, id, s->now, &x);
		if (!s->no_local && x.share < w)
			w = x.share;
		if (!w && m->weight[i]) {
			if (faulty(s, i) && m->first_out_at[i] == CG_MS_NEVER)
				m->first_out_at[i] = s->now;
			count_false_ejection(
				s, m, i,
				!fleet ? &s->fleet_false_pairs
				       : &s->local_false_ejections);
		}
		m->weight[i] = w;
		total += s->slots;
		if (w < 1000 || list[i].draining || list[i].warming_up)
			out += s->slots;
	}
	floor = (total * s->floor_percent + 99) / 100;
	s->local_ticks_below_floor += total - out < floor;
}

static void update_local_servers(struct sim *s, struct sim_daemon *m,
				 const struct cg_ejection_server *list)
{
	if (!memcmp(m->local_servers, list, s->servers * sizeof(*list)))
		return;
	memcpy(m->local_servers, list, s->servers * sizeof(*list));
	cg_ejection_set_servers(m->local, list, s->servers, floor_in_force(s),
				s->now);
}

static void collect_counts(struct sim *s, struct sim_daemon *m)
{
	uint32_t self;

	if (!m->new_count_n)
		return;
	cg_ejection_begin_digest(m->local, m->name, 1, m->domain,
				 ++m->local_sequence, s->now, &self);
	for (size_t i = 0; i < s->servers; i++) {
		struct sim_server *v = &s->server[i];

		/* Like the controller, the daemon discards observations of a
		 * server that was draining or warming up, since the digest may
		 * arrive after that time. */
		if ((s->no_drain || s->now >= v->draining_until) &&
		    (s->no_warmup ||
		     s->now >= v->warmup_until + WARMUP_MARGIN_MS)) {
			cg_ejection_observe(m->local, self,
					    cg_server_id(v->name),
					    &m->new_counts[i], s->now);
			cg_sample_add(&m->unsent[i], &m->new_counts[i]);
		}
		memset(&m->new_counts[i], 0, sizeof(m->new_counts[i]));
	}
	m->unsent_n += m->new_count_n;
	m->new_count_n = 0;
}

static void report_to_coordinator(struct sim *s, struct sim_daemon *m)
{
	uint32_t reporter;

	cg_ejection_begin_digest(s->coordinator, m->name, 1, m->domain,
				 ++m->sequence, s->now, &reporter);
	s->digest_bytes += send_digest(s, m, reporter,
				       !s->coordinator_unreachable &&
					       !m->cannot_reach_coordinator);
	s->digests++;
	if (s->coordinator_unreachable || m->cannot_reach_coordinator)
		return;
	adopt_verdicts(s, m, reporter);
	m->fetch = cg_ejection_needs_digests(s->coordinator);
	cg_ejection_set_reference_ratio(
		m->local, cg_ejection_reference_ratio(s->coordinator));
}

/* Fetches the verdicts after a hint, without sending a digest. */
static void fetch_verdicts(struct sim *s, struct sim_daemon *m)
{
	uint32_t reporter;

	cg_ejection_begin_digest(s->coordinator, m->name, 1, m->domain, 0,
				 s->now, &reporter);
	adopt_verdicts(s, m, reporter);
}

static void daemon_tick(struct sim *s, struct sim_daemon *m,
			const struct cg_ejection_server *local_servers)
{
	struct cg_ejection_server list[SIM_SERVERS_MAX];
	cg_ms interval =
		m->verdict_n ? MIN(s->digest_ms, TTL_MS / 4) : s->digest_ms;
	bool digest_due = s->now - m->digest_sent_at >= interval || m->fetch;

	memcpy(list, local_servers, s->servers * sizeof(*list));
	collect_counts(s, m);
	if (digest_due)
		report_to_coordinator(s, m);
	else if (m->hint_received && !m->cannot_reach_coordinator &&
		 !s->coordinator_unreachable)
		fetch_verdicts(s, m);
	m->hint_received = false;
	for (size_t i = 0; i < s->servers; i++)
		list[i].has_fleet_verdict =
			fleet_weight(s, m, cg_server_id(list[i].name)) < 1000;
	update_local_servers(s, m, list);
	cg_ejection_tick(m->local, s->now);
	update_weights(s, m, list);
}

/* Checks the floor over the whole fleet: a server counts as out if any daemon
 * keeps it out by a fleet verdict. */
static void check_floor(struct sim *s)
{
	uint32_t total = (uint32_t)s->servers * s->slots, remaining = total;
	uint32_t floor = (total * s->floor_percent + 99) / 100;
	bool any = false;

	for (size_t i = 0; i < s->servers; i++) {
		bool out = s->now < s->server[i].draining_until ||
			   s->now < s->server[i].warmup_until;

		for (size_t d = 0; d < s->daemons && !out; d++) {
			struct sim_daemon *m = &s->daemon[d];

			out = fleet_weight(s, m,
					   cg_server_id(s->server[i].name)) <
			      1000;
			any |= out;
		}
		remaining -= out ? s->slots : 0;
	}
	if (remaining < s->lowest_available)
		s->lowest_available = remaining;
	s->ticks_below_floor += any && remaining < floor;
}

static void coordinator_tick(struct sim *s, struct cg_ejection_server *list)
{
	bool before[SIM_SERVERS_MAX];

	for (size_t i = 0; i < s->servers; i++)
		before[i] = sim_ejected(s, i);
	cg_ejection_set_servers(s->coordinator, list, s->servers,
				floor_in_force(s), s->now);
	cg_ejection_tick(s->coordinator, s->now);
	for (size_t i = 0; i < s->servers; i++) {
		if (before[i] || !sim_ejected(s, i))
			continue;
		s->ejections++;
		for (size_t d = 0; d < s->daemons; d++)
			s->daemon[d].hint_received = true;
		if (!faulty(s, i))
			s->fleet_false_ejections++;
	}
	if (!s->open_loop)
		check_floor(s);
}

void sim_step(struct sim *s)
{
	struct cg_ejection_server list[SIM_SERVERS_MAX];
	size_t phase;

	s->now += STEP_MS;
	send_step_requests(s);
	describe_servers(s, list);
	/* One tenth of the daemons ticks at each step. */
	phase = (size_t)(s->now / STEP_MS) % 10;
	for (size_t d = phase; d < s->daemons; d += 10)
		daemon_tick(s, &s->daemon[d], list);
	if (phase == 9 && !s->coordinator_unreachable)
		coordinator_tick(s, list);
}

bool sim_ejected(struct sim *s, size_t server)
{
	struct cg_ejection_explanation x;

	cg_ejection_explain(s->coordinator,
			    cg_server_id(s->server[server].name), s->now, &x);
	return x.phase == CG_SERVER_EJECTED;
}

size_t sim_daemons_avoiding(struct sim *s, size_t server)
{
	size_t n = 0;

	for (size_t d = 0; d < s->daemons; d++)
		n += s->daemon[d].weight[server] == 0;
	return n;
}
