#include "broker_sim.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "gateway/broker.h"

#define WARM_UP_MS     5000 /* Brokers know latencies and accounts by then. */
#define TICK_MS	       50 /* As in the gateway. */
#define HEARTBEAT_MS   400 /* As in the gateway. */
#define SAMPLE_MS      100
#define FLAP_MS	       1000
#define FAILING_IN_TEN 3
#define SLOW_FACTOR    5
#define HOT_FACTOR     7
#define BURST_FACTOR   3
#define EXCLUSION_MS   5000
#define FAILURES_MAX   5
#define ATTEMPTS_MAX   3
/* Of the requests at a server with SIM_ERRORS or SIM_RESETS. */
#define QUICK_FAILURE_SHARE 0.75
#define QUICK_FAILURE_MS    20

enum event_kind {
	EVENT_ARRIVAL,
	EVENT_RESPONSE,
	EVENT_SHED,
	EVENT_FAILURE,
	EVENT_OVERDUE,
	EVENT_TIMEOUT,
	EVENT_TICK,
	EVENT_HEARTBEAT,
	EVENT_SAMPLE,
};

struct event {
	cg_ms at;
	uint64_t order;
	enum event_kind kind;
	uint64_t id; /* of the attempt or call */
};

struct server {
	char id[16], address[32];
	unsigned int index, service, domain;
	int64_t inflight;
	bool failing; /* affected by the pattern */
	cg_ms hung_since; /* 0 if it does not hang */
	bool detected;
};

struct attempt {
	uint64_t call;
	unsigned int server;
	cg_ms started_at;
	unsigned int broker; /* domain of the broker that granted it */
	bool granted, ended;
	bool uses_slot; /* of the server */
	bool cross_domain, no_redirect;
};

struct call {
	unsigned int daemon, account, service;
	bool idempotent, done;
	cg_ms arrived_at;
	unsigned int attempts;
	uint64_t attempt[ATTEMPTS_MAX];
};

/* State of a server as one daemon sees it, for the baselines. */
struct view {
	int32_t inflight, failures;
	cg_ms excluded_until;
};

struct sim;

struct domain {
	struct sim *sim;
	unsigned int index;
	char name[8];
	struct cgw_broker *broker;
};

struct sim {
	struct sim_options o;
	struct sim_result *result;
	GRand *rand;
	cg_ms now, end;
	GArray *heap; /* struct event */
	uint64_t order, messages, samples, false_samples;
	struct server *servers;
	struct domain *domains;
	struct view *views; /* daemon x server, baselines only */
	GArray *attempts, *calls;
	uint64_t *requested, *served; /* by account */
	GArray *small_latencies; /* cg_ms, without the first account */
	double detect_sum;
	bool burst, pattern_active;
};

void sim_defaults(struct sim_options *o)
{
	*o = (struct sim_options){
		.daemons = 48,
		.domains = 3,
		.services = 4,
		.servers = 120,
		.accounts = 20,
		.slots = 3,
		.load = 0.5,
		.idempotent_share = 0.6,
		.work_ms = 200,
		.objective_ms = 800,
		.timeout_ms = 3000,
		.duration_ms = 30000,
		.episode_ms = 6000, /* 1 to 12 s in production. */
		.seed = 1,
	};
}

const char *sim_policy_name(enum sim_policy p)
{
	static const char *const names[SIM_POLICY_COUNT] = { "broker", "own",
							     "five", "split" };

	return (unsigned int)p < SIM_POLICY_COUNT ? names[p] : "?";
}

const char *sim_pattern_name(enum sim_pattern p)
{
	static const char *const names[SIM_PATTERN_COUNT] = {
		"steady",   "burst",	"hot-account", "hanging",
		"errors",   "resets",	"slow",	       "flapping",
		"shedding", "shortage", "cut"
	};

	return (unsigned int)p < SIM_PATTERN_COUNT ? names[p] : "?";
}

static bool precedes(const struct event *a, const struct event *b)
{
	return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void push(struct sim *s, cg_ms at, enum event_kind kind, uint64_t id)
{
	struct event e = {
		.at = at, .order = s->order++, .kind = kind, .id = id
	};
	struct event *h;
	guint i = s->heap->len;

	g_array_append_val(s->heap, e);
	h = (struct event *)(void *)s->heap->data;
	for (; i && precedes(&e, &h[(i - 1) / 2]); i = (i - 1) / 2)
		h[i] = h[(i - 1) / 2];
	h[i] = e;
}

static struct event pop(struct sim *s)
{
	struct event *h = (struct event *)(void *)s->heap->data;
	guint n = s->heap->len - 1, i = 0;
	struct event top = h[0], last = h[n];

	for (;;) {
		guint k = 2 * i + 1;

		if (k >= n)
			break;
		if (k + 1 < n && precedes(&h[k + 1], &h[k]))
			k++;
		if (!precedes(&h[k], &last))
			break;
		h[i] = h[k];
		i = k;
	}
	h[i] = last;
	g_array_set_size(s->heap, n);
	return top;
}

static struct attempt *attempt_of(struct sim *s, uint64_t id)
{
	return &g_array_index(s->attempts, struct attempt, id);
}

static struct call *call_of(struct sim *s, uint64_t id)
{
	return &g_array_index(s->calls, struct call, id);
}

static unsigned int domain_of(const struct sim *s, unsigned int daemon)
{
	return daemon % s->o.domains;
}

static struct view *view_of(struct sim *s, unsigned int daemon,
			    unsigned int server)
{
	return &s->views[(size_t)daemon * s->o.servers + server];
}

static double exponential(struct sim *s, double mean)
{
	return -log(1 - g_rand_double(s->rand)) * mean;
}

static bool is_counted(const struct sim *s, const struct call *c)
{
	/* Requests close to the end may not get their response in time. */
	return c->arrived_at >= WARM_UP_MS &&
	       c->arrived_at < s->end - s->o.timeout_ms;
}

static cg_ms overdue_ms(const struct sim *s)
{
	return s->o.objective_ms;
}

/* Ends an attempt at its server and at the broker or daemon that granted it. */
static void end_attempt(struct sim *s, uint64_t id, enum cgw_result result)
{
	struct attempt *a = attempt_of(s, id);
	struct call *c = call_of(s, a->call);
	bool failed =
		result != CGW_RESULT_SERVED && result != CGW_RESULT_DROPPED;
	char daemon[16];
	struct view *v;

	if (a->ended)
		return;
	a->ended = true;
	if (a->uses_slot)
		s->servers[a->server].inflight--;
	if (s->o.policy == SIM_BROKER) {
		g_snprintf(daemon, sizeof(daemon), "d%u", c->daemon);
		s->messages++;
		cgw_broker_release(s->domains[a->broker].broker, daemon, id,
				   result, s->now - a->started_at, s->now);
		return;
	}
	if (!a->granted)
		return;
	v = view_of(s, c->daemon, a->server);
	v->inflight--;
	v->failures = failed ? v->failures + 1 : 0;
	if (s->o.policy == SIM_FIVE_FAILURES && v->failures >= FAILURES_MAX) {
		v->failures = 0;
		v->excluded_until = s->now + EXCLUSION_MS;
	}
}

static void finish_call(struct sim *s, struct call *c, bool served,
			bool refused)
{
	cg_ms latency = s->now - c->arrived_at;

	c->done = true;
	for (unsigned int i = 0; i < c->attempts; i++)
		end_attempt(s, c->attempt[i], CGW_RESULT_HUNG);
	if (!is_counted(s, c))
		return;
	s->result->served += served;
	s->result->in_time += served && latency <= s->o.objective_ms;
	s->result->refused += refused;
	if (!served && !refused && !c->idempotent)
		s->result->lost++;
	else if (!served && !refused)
		s->result->expired++;
	if (served)
		s->served[c->account]++;
	if (served && c->account)
		g_array_append_val(s->small_latencies, latency);
}

static void start_attempt(struct sim *s, uint64_t call);

/* Whether the next request at the server fails at once. */
static bool fails_quickly(struct sim *s, const struct server *v)
{
	return v->hung_since &&
	       (s->o.pattern == SIM_ERRORS || s->o.pattern == SIM_RESETS) &&
	       g_rand_double(s->rand) < QUICK_FAILURE_SHARE;
}

/* Sends an attempt to the server it was granted. */
static void send_attempt(struct sim *s, uint64_t id, unsigned int server,
			 cg_ms overdue)
{
	struct attempt *a = attempt_of(s, id);
	struct call *c = call_of(s, a->call);
	struct server *v = &s->servers[server];
	bool shedding = s->pattern_active && s->o.pattern == SIM_SHEDDING &&
			!v->service;
	double work =
		s->o.work_ms * 0.5 + exponential(s, (double)s->o.work_ms * 0.5);

	a->granted = true;
	a->server = server;
	a->started_at = s->now;
	if (s->o.policy != SIM_BROKER)
		view_of(s, c->daemon, server)->inflight++;
	if (shedding || v->inflight >= s->o.slots) {
		push(s, s->now + 1, EVENT_SHED, id);
		return;
	}
	a->uses_slot = true;
	v->inflight++;
	if (s->pattern_active && v->failing && s->o.pattern == SIM_SLOW)
		work *= SLOW_FACTOR;
	if (fails_quickly(s, v))
		push(s, s->now + QUICK_FAILURE_MS, EVENT_FAILURE, id);
	else if (!v->hung_since || s->o.pattern == SIM_ERRORS ||
		 s->o.pattern == SIM_RESETS)
		push(s, s->now + MAX(1, (cg_ms)work), EVENT_RESPONSE, id);
	if (c->idempotent)
		push(s, s->now + overdue, EVENT_OVERDUE, id);
}

static bool reaches(const struct sim *s, unsigned int daemon,
		    unsigned int domain)
{
	bool cut_off = s->pattern_active && s->o.pattern == SIM_CUT;

	return !cut_off || domain_of(s, daemon) == domain ||
	       (domain_of(s, daemon) && domain);
}

static bool healthy_slot_is_free(struct sim *s, const struct call *c)
{
	for (unsigned int i = 0; i < s->o.servers; i++) {
		const struct server *v = &s->servers[i];

		if (v->service == c->service && !v->hung_since &&
		    v->inflight < s->o.slots &&
		    !(s->pattern_active && v->failing &&
		      s->o.pattern == SIM_SLOW) &&
		    reaches(s, c->daemon, v->domain))
			return !(s->pattern_active &&
				 s->o.pattern == SIM_SHEDDING && !v->service);
	}
	return false;
}

static void refuse(struct sim *s, struct call *c)
{
	if (is_counted(s, c) && healthy_slot_is_free(s, c))
		s->result->wrongly_refused++;
	finish_call(s, c, false, true);
}

/* Whether a server is in the fixed share of a daemon: two of each service. */
static bool in_fixed_share(const struct sim *s, unsigned int daemon,
			   unsigned int server)
{
	unsigned int shares = MAX(1, s->o.servers / s->o.services / 2);

	return s->o.policy != SIM_FIXED_SPLIT ||
	       server / s->o.services % shares == daemon % shares;
}

/* Returns the server that a daemon chooses by its own counts, or -1. */
static int choose_server(struct sim *s, const struct call *c)
{
	unsigned int best_count = 0;
	int best = -1;

	for (int own_domain = 1; own_domain >= 0 && best < 0; own_domain--) {
		int32_t least = G_MAXINT32;

		for (unsigned int i = 0; i < s->o.servers; i++) {
			const struct server *v = &s->servers[i];
			const struct view *w = view_of(s, c->daemon, i);
			bool avoid = false;

			if (v->service != c->service ||
			    (own_domain && s->o.policy != SIM_FIXED_SPLIT &&
			     v->domain != domain_of(s, c->daemon)) ||
			    !reaches(s, c->daemon, v->domain) ||
			    w->excluded_until > s->now ||
			    w->inflight >= s->o.slots)
				continue;
			if (!in_fixed_share(s, c->daemon, i))
				continue;
			for (unsigned int k = 0; k + 1 < c->attempts; k++)
				avoid |= attempt_of(s, c->attempt[k])->server ==
					 i;
			if (avoid || w->inflight > least)
				continue;
			if (w->inflight < least)
				best_count = 0;
			least = w->inflight;
			/* Choose uniformly among the least loaded. */
			if (!g_rand_int_range(s->rand, 0, (int)++best_count))
				best = (int)i;
		}
	}
	return best;
}

static void request_slot(struct sim *s, unsigned int domain, uint64_t id)
{
	struct attempt *a = attempt_of(s, id);
	const struct call *c = call_of(s, a->call);
	struct cgw_slot_request q = {
		.id = id,
		.idempotent = c->idempotent,
		.retry = c->attempts > 1,
		.charged = a->cross_domain || a->no_redirect,
		.cross_domain = a->cross_domain,
		.no_redirect = a->no_redirect,
		.objective_ms = s->o.objective_ms,
		.deadline = c->arrived_at + s->o.timeout_ms,
	};

	a->broker = domain;
	g_snprintf(q.daemon, sizeof(q.daemon), "d%u", c->daemon);
	g_snprintf(q.service, sizeof(q.service), "s%u", c->service);
	g_snprintf(q.route, sizeof(q.route), "r%u", c->service);
	g_snprintf(q.account, sizeof(q.account), "a%u", c->account);
	for (unsigned int k = 0; k + 1 < c->attempts; k++) {
		const struct attempt *p = attempt_of(s, c->attempt[k]);

		if (p->granted)
			g_strlcpy(q.avoid[q.avoid_count++],
				  s->servers[p->server].id, sizeof(q.avoid[0]));
	}
	s->messages += 2; /* The slot request and its decision. */
	cgw_broker_request_slot(s->domains[domain].broker, &q, s->now);
}

/* Starts the first attempt of a call or a retry. With a broker, the attempt
 * waits for its decision; otherwise the daemon chooses a server itself. If it
 * finds none, the call is refused on its first attempt; on a retry it stays
 * open, as an earlier attempt may still get a response. */
static void start_attempt(struct sim *s, uint64_t call)
{
	struct call *c = call_of(s, call);
	struct attempt a = { .call = call };
	uint64_t id = s->attempts->len;
	int server;

	if (c->done)
		return;
	if (c->attempts >= ATTEMPTS_MAX) {
		refuse(s, c);
		return;
	}
	s->result->retries += c->attempts && is_counted(s, c);
	g_array_append_val(s->attempts, a);
	c->attempt[c->attempts++] = id;
	if (s->o.policy == SIM_BROKER) {
		request_slot(s, domain_of(s, c->daemon), id);
		return;
	}
	server = choose_server(s, c);
	if (server >= 0) {
		send_attempt(s, id, (unsigned int)server, overdue_ms(s));
		return;
	}
	attempt_of(s, id)->ended = true;
	if (c->attempts == 1)
		refuse(s, c);
}

static void on_refusal(struct sim *s, uint64_t id)
{
	struct attempt *a = attempt_of(s, id);
	struct call *c = call_of(s, a->call);
	bool others_running = false;

	if (a->cross_domain) {
		a->cross_domain = false;
		a->no_redirect = true;
		request_slot(s, domain_of(s, c->daemon), id);
		return;
	}
	a->ended = true;
	/* An earlier attempt may still get a response. */
	for (unsigned int k = 0; k < c->attempts; k++)
		others_running |= !attempt_of(s, c->attempt[k])->ended;
	if (!others_running)
		refuse(s, c);
}

static void on_decision(void *arg, const struct cgw_slot_decision *v)
{
	struct domain *d = arg;
	struct sim *s = d->sim;
	struct attempt *a = attempt_of(s, v->id);
	struct call *c = call_of(s, a->call);
	unsigned int other = 0;

	if (a->ended || c->done)
		return;
	switch (v->kind) {
	case CGW_DECISION_GRANTED:
		send_attempt(s, v->id,
			     (unsigned int)g_ascii_strtoull(
				     v->u.grant.server + 1, NULL, 10),
			     v->u.grant.overdue_ms);
		return;
	case CGW_DECISION_REFUSED:
		on_refusal(s, v->id);
		return;
	case CGW_DECISION_REDIRECTED:
		while (strcmp(s->domains[other].name, v->u.domain) != 0)
			other++;
		a->cross_domain = true;
		if (reaches(s, c->daemon, other))
			request_slot(s, other, v->id);
		else
			on_refusal(s, v->id);
		return;
	}
}

static double current_load(struct sim *s)
{
	double x = s->o.load;

	if (s->pattern_active && s->o.pattern == SIM_BURST && s->burst)
		x *= BURST_FACTOR;
	if (s->pattern_active && s->o.pattern == SIM_HOT_ACCOUNT)
		x *= 1 + (HOT_FACTOR - 1.0) / s->o.accounts;
	return x;
}

static unsigned int draw_account(struct sim *s)
{
	double extra = HOT_FACTOR - 1;

	if (s->pattern_active && s->o.pattern == SIM_HOT_ACCOUNT &&
	    g_rand_double(s->rand) < extra / (s->o.accounts + extra))
		return 0;
	return (unsigned int)g_rand_int_range(s->rand, 0, (int)s->o.accounts);
}

static void start_call(struct sim *s)
{
	struct call c = {
		.daemon = (unsigned int)g_rand_int_range(s->rand, 0,
							 (int)s->o.daemons),
		.account = draw_account(s),
		.service = (unsigned int)g_rand_int_range(s->rand, 0,
							  (int)s->o.services),
		.idempotent = g_rand_double(s->rand) < s->o.idempotent_share,
		.arrived_at = s->now,
	};
	uint64_t id = s->calls->len;

	g_array_append_val(s->calls, c);
	if (is_counted(s, &c)) {
		s->result->requests++;
		s->requested[c.account]++;
	}
	push(s, s->now + s->o.timeout_ms, EVENT_TIMEOUT, id);
	start_attempt(s, id);
}

/* Starts the calls that arrive in this millisecond (Poisson process). */
static void handle_arrivals(struct sim *s)
{
	double rate = current_load(s) * s->o.servers * (double)s->o.slots /
		      (double)s->o.work_ms;
	double next = exponential(s, 1);

	while (next < rate) {
		start_call(s);
		next += exponential(s, 1);
	}
	push(s, s->now + 1, EVENT_ARRIVAL, 0);
}

static bool is_excluded(struct sim *s, unsigned int daemon,
			const struct server *v)
{
	if (s->o.policy != SIM_BROKER)
		return view_of(s, daemon, v->index)->excluded_until > s->now;
	return cgw_broker_trust(s->domains[v->domain].broker, v->id, s->now) ==
	       CGW_TRUST_EJECTED;
}

/* Returns how many daemons exclude the server now. */
static unsigned int count_excluding(struct sim *s, const struct server *v)
{
	unsigned int n = 0;

	if (s->o.policy == SIM_BROKER)
		return is_excluded(s, 0, v) ? s->o.daemons : 0;
	for (unsigned int d = 0; d < s->o.daemons; d++)
		n += is_excluded(s, d, v);
	return n;
}

static void end_episode(struct sim *s, struct server *v)
{
	if (!v->detected)
		s->detect_sum += (double)(s->now - v->hung_since);
	v->hung_since = 0;
}

static void begin_episode(struct sim *s, struct server *v)
{
	v->hung_since = s->now;
	v->detected = false;
	s->result->episodes++;
}

/* Starts and ends failure episodes, shifted by a third of an episode between
 * three groups of servers. */
static void update_episodes(struct sim *s)
{
	cg_ms length = s->o.pattern == SIM_FLAPPING ? FLAP_MS : s->o.episode_ms;
	cg_ms t = s->now - WARM_UP_MS;

	for (unsigned int i = 0; i < s->o.servers; i++) {
		struct server *v = &s->servers[i];
		bool hangs = ((t + (cg_ms)(i % 3) * length / 3) / length) % 2;

		if (!v->failing)
			continue;
		if (hangs && !v->hung_since)
			begin_episode(s, v);
		else if (!hangs && v->hung_since)
			end_episode(s, v);
	}
}

static void take_sample(struct sim *s)
{
	s->pattern_active = s->now >= WARM_UP_MS;
	s->burst = s->now / 1000 % 5 == 0;
	if (s->pattern_active &&
	    (s->o.pattern == SIM_HANGING || s->o.pattern == SIM_ERRORS ||
	     s->o.pattern == SIM_RESETS || s->o.pattern == SIM_FLAPPING))
		update_episodes(s);
	for (unsigned int i = 0; s->pattern_active && i < s->o.servers; i++) {
		struct server *v = &s->servers[i];
		bool slow = v->failing && s->o.pattern == SIM_SLOW;
		unsigned int excluding = count_excluding(s, v);

		if (v->hung_since && !v->detected &&
		    excluding * 2 >= s->o.daemons) {
			v->detected = true;
			s->result->detected++;
			s->detect_sum += (double)(s->now - v->hung_since);
		}
		if (v->hung_since || slow)
			continue;
		s->samples += s->o.daemons;
		s->false_samples += excluding;
	}
	push(s, s->now + SAMPLE_MS, EVENT_SAMPLE, 0);
}

struct report_context {
	struct sim *sim;
	const struct domain *from;
};

static void send_report(void *arg, const struct cgw_service_state *state)
{
	const struct report_context *t = arg;
	struct sim *s = t->sim;

	for (unsigned int i = 0; i < s->o.domains; i++)
		if (i != t->from->index && reaches(s, t->from->index, i))
			cgw_broker_record_domain_state(s->domains[i].broker,
						       t->from->name, state,
						       s->now);
}

static void send_heartbeats(struct sim *s)
{
	for (unsigned int i = 0; i < s->o.domains; i++) {
		struct report_context t = { s, &s->domains[i] };

		s->messages += s->o.domains - 1;
		cgw_broker_each_service(s->domains[i].broker, s->now,
					send_report, &t);
	}
	push(s, s->now + HEARTBEAT_MS, EVENT_HEARTBEAT, 0);
}

static void handle_response(struct sim *s, uint64_t id)
{
	struct attempt *a = attempt_of(s, id);
	struct call *c = call_of(s, a->call);

	if (a->ended)
		return;
	end_attempt(s, id, CGW_RESULT_SERVED);
	if (!c->done)
		finish_call(s, c, true, false);
}

static void handle_shed(struct sim *s, uint64_t id)
{
	uint64_t call = attempt_of(s, id)->call;

	if (attempt_of(s, id)->ended)
		return;
	end_attempt(s, id, CGW_RESULT_SHED);
	start_attempt(s, call);
}

/* A failed request is sent again if it may be; any other one is lost. */
static void handle_failure(struct sim *s, uint64_t id)
{
	uint64_t call = attempt_of(s, id)->call;
	struct call *c = call_of(s, call);

	if (attempt_of(s, id)->ended)
		return;
	end_attempt(s, id,
		    s->o.pattern == SIM_ERRORS ? CGW_RESULT_ERROR
					       : CGW_RESULT_LOST);
	if (c->idempotent && c->attempts < ATTEMPTS_MAX)
		start_attempt(s, call);
	else if (!c->done)
		finish_call(s, c, false, false);
}

static void handle_event(struct sim *s, const struct event *e)
{
	switch (e->kind) {
	case EVENT_ARRIVAL:
		handle_arrivals(s);
		return;
	case EVENT_RESPONSE:
		handle_response(s, e->id);
		return;
	case EVENT_SHED:
		handle_shed(s, e->id);
		return;
	case EVENT_FAILURE:
		handle_failure(s, e->id);
		return;
	case EVENT_OVERDUE:
		if (!attempt_of(s, e->id)->ended &&
		    call_of(s, attempt_of(s, e->id)->call)->attempts <
			    ATTEMPTS_MAX)
			start_attempt(s, attempt_of(s, e->id)->call);
		return;
	case EVENT_TIMEOUT:
		if (!call_of(s, e->id)->done)
			finish_call(s, call_of(s, e->id), false, false);
		return;
	case EVENT_TICK:
		for (unsigned int i = 0; i < s->o.domains; i++)
			cgw_broker_tick(s->domains[i].broker, s->now);
		push(s, s->now + TICK_MS, EVENT_TICK, 0);
		return;
	case EVENT_HEARTBEAT:
		send_heartbeats(s);
		return;
	case EVENT_SAMPLE:
		take_sample(s);
		return;
	}
}

static void add_servers(struct sim *s)
{
	s->servers = g_new0(struct server, s->o.servers);
	for (unsigned int i = 0; i < s->o.servers; i++) {
		struct server *v = &s->servers[i];

		v->index = i;
		v->service = i % s->o.services;
		v->domain = i / s->o.services % s->o.domains;
		/* The second domain gets two thirds of the first's servers. */
		if (s->o.pattern == SIM_SHORTAGE && !v->domain &&
		    i / s->o.services / s->o.domains % 3)
			v->domain = 1;
		v->failing = i / s->o.services % 10 < FAILING_IN_TEN;
		g_snprintf(v->id, sizeof(v->id), "v%u", i);
		g_snprintf(v->address, sizeof(v->address), "10.0.%u.%u:80",
			   i / 250, i % 250 + 1);
	}
}

static void add_brokers(struct sim *s)
{
	struct cgw_server_facts *f =
		g_new0(struct cgw_server_facts, s->o.servers);
	struct cgw_table *t = cgw_table_new(1);
	char name[16];

	for (unsigned int i = 0; i < s->o.servers; i++) {
		const struct server *v = &s->servers[i];

		g_strlcpy(f[i].id, v->id, sizeof(f[i].id));
		g_snprintf(f[i].service, sizeof(f[i].service), "s%u",
			   v->service);
		g_strlcpy(f[i].address, v->address, sizeof(f[i].address));
		g_snprintf(f[i].domain, sizeof(f[i].domain), "z%u", v->domain);
		f[i].slots = s->o.slots;
	}
	for (unsigned int i = 0; i < s->o.accounts; i++) {
		g_snprintf(name, sizeof(name), "a%u", i);
		cgw_table_add_account(t, name);
	}
	s->domains = g_new0(struct domain, s->o.domains);
	for (unsigned int i = 0; i < s->o.domains; i++) {
		struct domain *d = &s->domains[i];
		struct cgw_broker_settings set = {
			.domain = d->name,
			.domains = s->o.domains,
			.retry_ratio = 0.2,
			.retry_slack = 60,
			.retry_window_ms = 10000,
			.min_share = 0.7,
		};

		d->sim = s;
		d->index = i;
		g_snprintf(d->name, sizeof(d->name), "z%u", i);
		d->broker = cgw_broker_new(&set, on_decision, d);
		cgw_quota_configure(cgw_broker_quota(d->broker), t, 0);
		cgw_broker_set_servers(d->broker, f, s->o.servers, 0);
	}
	cgw_table_unref(t);
	g_free(f);
}

static int compare_ms(const void *a, const void *b)
{
	cg_ms x = *(const cg_ms *)a, y = *(const cg_ms *)b;

	return x < y ? -1 : x > y;
}

static void compute_result(struct sim *s)
{
	struct sim_result *r = s->result;

	r->worst_account_share = 1;
	for (unsigned int i = 0; i < s->o.accounts; i++)
		if (s->requested[i])
			r->worst_account_share = MIN(
				r->worst_account_share,
				(double)s->served[i] / (double)s->requested[i]);
	g_array_sort(s->small_latencies, compare_ms);
	if (s->small_latencies->len)
		r->small_p99_ms = (double)g_array_index(
			s->small_latencies, cg_ms,
			(guint)(s->small_latencies->len * 0.99));
	for (unsigned int i = 0; i < s->o.servers; i++)
		if (s->servers[i].hung_since)
			end_episode(s, &s->servers[i]);
	if (r->episodes)
		r->detect_ms = s->detect_sum / r->episodes;
	if (s->samples)
		r->false_ejection_share =
			(double)s->false_samples / (double)s->samples;
	r->messages_per_s =
		(double)s->messages * 1000.0 / (double)s->end / s->o.daemons;
}

int sim_run(const struct sim_options *o, struct sim_result *result)
{
	struct sim s = { .o = *o, .result = result };

	memset(result, 0, sizeof(*result));
	if (!o->daemons || !o->domains || !o->services || !o->accounts ||
	    o->servers < o->services || o->slots < 1 || o->work_ms < 1 ||
	    o->daemons < o->domains || o->load <= 0 || o->episode_ms < 1)
		return -1;
	/* The broker uses this generator for the jitter of Retry-After. */
	g_random_set_seed((guint32)o->seed);
	s.rand = g_rand_new_with_seed((guint32)o->seed);
	s.end = WARM_UP_MS + o->duration_ms;
	s.heap = g_array_new(FALSE, FALSE, sizeof(struct event));
	s.attempts = g_array_new(FALSE, TRUE, sizeof(struct attempt));
	s.calls = g_array_new(FALSE, TRUE, sizeof(struct call));
	s.small_latencies = g_array_new(FALSE, FALSE, sizeof(cg_ms));
	s.requested = g_new0(uint64_t, o->accounts);
	s.served = g_new0(uint64_t, o->accounts);
	add_servers(&s);
	add_brokers(&s);
	if (o->policy != SIM_BROKER)
		s.views = g_new0(struct view, (size_t)o->daemons * o->servers);
	push(&s, 0, EVENT_SAMPLE, 0);
	push(&s, 1, EVENT_ARRIVAL, 0);
	if (o->policy == SIM_BROKER) {
		push(&s, 0, EVENT_HEARTBEAT, 0);
		push(&s, TICK_MS, EVENT_TICK, 0);
	}
	for (;;) {
		struct event e = pop(&s);

		if (e.at >= s.end)
			break;
		s.now = e.at;
		handle_event(&s, &e);
	}
	compute_result(&s);
	for (unsigned int i = 0; i < o->domains; i++)
		cgw_broker_free(s.domains[i].broker);
	g_free(s.domains);
	g_free(s.servers);
	g_free(s.views);
	g_free(s.requested);
	g_free(s.served);
	g_array_unref(s.heap);
	g_array_unref(s.attempts);
	g_array_unref(s.calls);
	g_array_unref(s.small_latencies);
	g_rand_free(s.rand);
	return 0;
}
