/**
 * @file health_trace.c
 * Parses a health trace, runs it and checks its expectations.
 */
#include "health_trace.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "health_sim.h"

#define LINES_MAX 64
#define START_MS  1000000

struct line {
	int number;
	char *word[8];
	size_t n;
};

struct trace {
	const char *path;
	struct line line[LINES_MAX];
	size_t n;
	double end;
};

/* Results of one run. */
struct run {
	struct sim sim;
	double first_ejected[SIM_SERVERS_MAX]; /**< -1 if never. */
	size_t max_avoiding[SIM_SERVERS_MAX];
	/** Has full weight at every daemon. */
	bool in_service_at_end[SIM_SERVERS_MAX];
	uint64_t fingerprint;
};

/* Returns the word at index @p i, or an empty string. */
static const char *word(const struct line *l, size_t i)
{
	return i < l->n && l->word[i] ? l->word[i] : "";
}

static double number(const struct line *l, size_t i)
{
	return atof(word(l, i));
}

/* Returns the number in a name such as "s3" or "d0". */
static int index_of(const struct line *l, size_t i)
{
	return *word(l, i) ? atoi(word(l, i) + 1) : 0;
}

static void set_key(struct sim *s, const char *key, const char *value)
{
	double v = atof(value);

	if (!g_strcmp0(key, "servers"))
		s->servers = (size_t)v;
	else if (!g_strcmp0(key, "daemons"))
		s->daemons = (size_t)v;
	else if (!g_strcmp0(key, "domains"))
		s->domains = (size_t)v;
	else if (!g_strcmp0(key, "slots"))
		s->slots = (uint32_t)v;
	else if (!g_strcmp0(key, "floor"))
		s->floor_percent = (uint32_t)v;
	else if (!g_strcmp0(key, "rate"))
		s->rate = v;
	else if (!g_strcmp0(key, "seed"))
		s->seed = (uint64_t)v;
	else if (!g_strcmp0(key, "idempotent"))
		s->no_idempotent_requests = v <= 0;
	else
		g_error("unknown trace setting %s", key);
}

static void disable_mechanism(struct sim *s, const char *mechanism)
{
	const struct {
		const char *name;
		bool *flag;
	} known[] = {
		{ "floor", &s->no_floor },
		{ "domains", &s->no_domains },
		{ "survey", &s->no_survey },
		{ "local", &s->no_local },
		{ "pooling", &s->no_pooling },
		{ "shed", &s->no_shed },
		{ "cold", &s->no_warmup },
		{ "drain", &s->no_drain },
		{ "ttl", &s->no_ttl },
		{ "doubling", &s->no_doubling },
		{ "ownership", &s->ownership_needs_store },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(known); i++) {
		if (!g_strcmp0(known[i].name, mechanism)) {
			*known[i].flag = true;
			return;
		}
	}
	g_error("unknown mechanism %s", mechanism);
}

/* Disables a comma-separated list of mechanisms. */
static void disable_mechanisms(struct sim *s, const char *mechanisms)
{
	char **list = g_strsplit(mechanisms, ",", -1);

	for (char **p = list; *p; p++)
		disable_mechanism(s, *p);
	g_strfreev(list);
}

static void run_server_action(struct sim *s, const struct line *l)
{
	struct sim_server *v = &s->server[index_of(l, 3)];
	double a = number(l, 4);
	const char *what = word(l, 2);

	if (!g_strcmp0(what, "fail")) {
		v->fail = a;
		v->fault_from = s->now;
	} else if (!g_strcmp0(what, "slow")) {
		v->slow = a;
		v->fault_from = s->now;
	} else if (!g_strcmp0(what, "flap")) {
		v->fail = a;
		v->flap_on_ms = number(l, 5) * 1000;
		v->flap_off_ms = number(l, 6) * 1000;
		v->fault_from = s->now;
	} else if (!g_strcmp0(what, "heal")) {
		v->fail = 0;
		v->slow = 1;
		v->flap_on_ms = 0;
		v->fault_until = s->now + 15000;
	} else if (!g_strcmp0(what, "shed")) {
		v->shed = a;
	} else if (!g_strcmp0(what, "drain")) {
		v->draining_until = s->now + (cg_ms)(a * 1000);
	} else if (!g_strcmp0(what, "cold")) {
		v->warmup_until = s->now + (cg_ms)(a * 1000);
	} else {
		g_error("unknown trace action %s", what);
	}
}

static void run_action(struct sim *s, const struct line *l)
{
	const char *what = word(l, 2);

	if (!g_strcmp0(what, "service")) {
		s->service_fail = number(l, 3);
		s->service_slow = number(l, 4);
		s->service_fault_until = s->now + (cg_ms)(number(l, 5) * 1000);
	} else if (!g_strcmp0(what, "coordinator")) {
		sim_replace_coordinator(s);
	} else if (!g_strcmp0(what, "silent")) {
		s->coordinator_unreachable = true;
	} else if (!g_strcmp0(what, "store_down")) {
		s->coordinator_unreachable = s->ownership_needs_store;
	} else if (!g_strcmp0(what, "deaf")) {
		s->daemon[index_of(l, 3)].cannot_reach_coordinator = true;
	} else if (!g_strcmp0(what, "partition")) {
		s->daemon[index_of(l, 3)].partition[index_of(l, 4)] = true;
	} else {
		run_server_action(s, l);
	}
}

static void mix_fingerprint(struct run *r, uint64_t v)
{
	r->fingerprint = (r->fingerprint ^ v) * UINT64_C(0x100000001B3);
}

static void record_step(struct run *r)
{
	struct sim *s = &r->sim;

	for (size_t i = 0; i < s->servers; i++) {
		size_t n = sim_daemons_avoiding(s, i);

		if (n > r->max_avoiding[i])
			r->max_avoiding[i] = n;
		if (r->first_ejected[i] < 0 && sim_ejected(s, i))
			r->first_ejected[i] =
				(double)(s->now - START_MS) / 1000;
		mix_fingerprint(r, n);
	}
	mix_fingerprint(r, s->requests);
	mix_fingerprint(r, s->failed_requests);
}

static void replay(const struct trace *t, const char *without, struct run *r)
{
	struct sim *s = &r->sim;

	memset(r, 0, sizeof(*r));
	s->seed = 1;
	s->servers = 5;
	s->daemons = 12;
	s->domains = 3;
	s->slots = 6;
	s->floor_percent = 50;
	s->rate = 10;
	s->fail = 0.005;
	s->latency_ms = 100;
	s->sigma = 0.4;
	for (size_t i = 0; i < t->n; i++)
		if (!g_strcmp0(word(&t->line[i], 0), "set"))
			set_key(s, word(&t->line[i], 1), word(&t->line[i], 2));
	if (without)
		disable_mechanisms(s, without);
	sim_start(s);
	for (size_t i = 0; i < s->servers; i++)
		r->first_ejected[i] = -1;
	while (s->now < START_MS + (cg_ms)(t->end * 1000)) {
		for (size_t i = 0; i < t->n; i++) {
			const struct line *l = &t->line[i];

			if (!g_strcmp0(word(l, 0), "at") &&
			    (cg_ms)(number(l, 1) * 1000) == s->now - START_MS)
				run_action(s, l);
		}
		sim_step(s);
		record_step(r);
	}
	for (size_t i = 0; i < s->servers; i++) {
		r->in_service_at_end[i] = true;
		for (size_t d = 0; d < s->daemons; d++)
			r->in_service_at_end[i] &=
				s->daemon[d].weight[i] == 1000;
	}
	sim_free(s);
}

/* Runs a check of one server. The check's name is the word at index
 * @p at_word. */
static bool check_server(struct run *r, const struct line *l, size_t at_word)
{
	struct sim *s = &r->sim;
	const char *what = word(l, at_word);
	int i = index_of(l, at_word + 1);
	double a = number(l, at_word + 2), b = number(l, at_word + 3);
	double at = r->first_ejected[i];

	if (!g_strcmp0(what, "ejected"))
		return at >= a && at <= b;
	if (!g_strcmp0(what, "never"))
		return at < 0;
	if (!g_strcmp0(what, "out_at_end"))
		return !r->in_service_at_end[i];
	if (!g_strcmp0(what, "in_at_end"))
		return r->in_service_at_end[i];
	if (!g_strcmp0(what, "avoided_by"))
		return r->max_avoiding[i] >= (size_t)a &&
		       r->max_avoiding[i] <= (size_t)b;
	if (!g_strcmp0(what, "sick_share_under"))
		return (double)s->faulty_server_requests <
		       (double)s->requests * a / 100;
	g_error("unknown trace check %s", what);
}

static bool check(struct run *r, const struct line *l, size_t at_word)
{
	struct sim *s = &r->sim;
	const char *what = word(l, at_word);
	double a = number(l, at_word + 1), b = number(l, at_word + 2);

	if (!g_strcmp0(what, "floor_held"))
		return !s->ticks_below_floor && !s->local_ticks_below_floor;
	if (!g_strcmp0(what, "floor_broken"))
		return s->ticks_below_floor || s->local_ticks_below_floor;
	if (!g_strcmp0(what, "ejections"))
		return (double)s->ejections >= a && (double)s->ejections <= b;
	if (!g_strcmp0(what, "false_ejections"))
		return (double)(s->fleet_false_ejections +
				s->local_false_ejections) >= a &&
		       (double)(s->fleet_false_ejections +
				s->local_false_ejections) <= b;
	if (!g_strcmp0(what, "baseline_false"))
		return (double)s->baseline_false_ejections >= a &&
		       (double)s->baseline_false_ejections <= b;
	if (!g_strcmp0(what, "failed_percent")) {
		double f = 100.0 * (double)s->failed_requests /
			   (double)s->requests;

		return f >= a && f <= b;
	}
	return check_server(r, l, at_word);
}

static void print_run_summary(const struct run *r)
{
	const struct sim *s = &r->sim;

	printf("  ejections %llu; false ejections %llu by the fleet, %llu local, %llu by the baseline; failed requests %.2f %%; ticks below the floor %llu fleet, %llu local; requests to faulty servers %.2f %%\n",
	       (unsigned long long)s->ejections,
	       (unsigned long long)s->fleet_false_ejections,
	       (unsigned long long)s->local_false_ejections,
	       (unsigned long long)s->baseline_false_ejections,
	       100.0 * (double)s->failed_requests / (double)s->requests,
	       (unsigned long long)s->ticks_below_floor,
	       (unsigned long long)s->local_ticks_below_floor,
	       100.0 * (double)s->faulty_server_requests / (double)s->requests);
	for (size_t i = 0; i < s->servers; i++)
		printf("  s%zu first ejected at %.1f s, avoided by at most %zu daemons\n",
		       i, r->first_ejected[i], r->max_avoiding[i]);
}

static int check_line(const struct trace *t, const struct line *l,
		      const char *without, struct run *r)
{
	size_t from = without ? 2 : 1;

	if (check(r, l, from))
		return 0;
	printf("%s:%d: check %s failed %s\n", t->path, l->number, word(l, from),
	       without ? "without the mechanism" : "");
	print_run_summary(r);
	return -1;
}

static int run_twice(const struct trace *t, const char *without, struct run *r)
{
	struct run *again = g_new(struct run, 1);
	int rc = 0;

	replay(t, without, r);
	replay(t, without, again);
	if (r->fingerprint != again->fingerprint) {
		printf("%s: two runs with the same seed differ\n", t->path);
		rc = -1;
	}
	g_free(again);
	return rc;
}

static void read_lines(struct trace *t, char *text)
{
	char *save, *line;
	int count = 0;

	for (char *p = text; (line = strsep(&p, "\n"));) {
		struct line *l = &t->line[t->n];
		char *w;

		count++;
		line[strcspn(line, "#")] = 0;
		l->number = count;
		l->n = 0;
		for (w = strtok_r(line, " \t", &save); w && l->n < 8;
		     w = strtok_r(NULL, " \t", &save))
			l->word[l->n++] = w;
		if (!l->n)
			continue;
		if (!g_strcmp0(word(l, 0), "end"))
			t->end = number(l, 1);
		if (++t->n == LINES_MAX)
			g_error("trace %s has too many lines", t->path);
	}
}

int health_trace_run(const char *path)
{
	struct trace t = { .path = path };
	struct run *r = g_new(struct run, 1);
	char *text;
	int rc;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		g_error("cannot read trace %s", path);
	read_lines(&t, text);
	rc = run_twice(&t, NULL, r);
	for (size_t i = 0; i < t.n; i++)
		if (!g_strcmp0(word(&t.line[i], 0), "expect"))
			rc |= check_line(&t, &t.line[i], NULL, r);
	for (size_t i = 0; i < t.n; i++) {
		if (g_strcmp0(word(&t.line[i], 0), "without") != 0)
			continue;
		rc |= run_twice(&t, word(&t.line[i], 1), r);
		rc |= check_line(&t, &t.line[i], word(&t.line[i], 1), r);
	}
	g_free(r);
	g_free(text);
	return rc;
}
