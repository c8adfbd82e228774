/**
 * @file rate_trace.c
 * Parses rate traces.
 */
#include "rate_trace.h"

#include <string.h>

static const char *const omission_names[] = {
	[RR_NOTHING_OMITTED] = "nothing",
	[RR_NO_NUMBERS] = "numbers",
	[RR_NO_SURVEY] = "survey",
	[RR_NO_CONFIRM] = "confirm",
	[RR_NO_PROOF] = "proof",
	[RR_NO_LEASE] = "lease",
	[RR_NO_RETRY] = "repeat",
	[RR_NO_MAP] = "map",
	[RR_EQUAL_SPLIT] = "equal",
	[RR_FULL_LOCAL] = "local",
	[RR_SMALL_HOLDINGS] = "hold-small",
};

static int find_account(const struct rr_trace *t, const char *name)
{
	for (guint i = 0; i < t->accounts->len; i++)
		if (!strcmp(g_array_index(t->accounts, struct cg_rate_limits, i)
				    .name,
			    name))
			return (int)i;
	return -1;
}

static void add_account(struct rr_trace *t, const char *name, double rate,
			double burst)
{
	struct cg_rate_limits a = { .name = g_strdup(name),
				    .rate = (int64_t)(rate * 1000),
				    .burst = (int64_t)(burst * 1000) };

	g_array_append_val(t->accounts, a);
}

static int read_traffic(struct rr_trace *t, char **w, guint n)
{
	struct rr_traffic f = { 0 };

	if (n < 7)
		return -1;
	f.from = g_ascii_strtoll(w[1], NULL, 10);
	f.to = g_ascii_strtoll(w[2], NULL, 10);
	f.account = f.last_account = find_account(t, w[3]);
	if (!strcmp(w[3], "all")) {
		f.account = 0;
		f.last_account = (int)t->accounts->len - 1;
	}
	f.per_second = g_ascii_strtod(w[4], NULL);
	f.first = atoi(w[5]);
	f.last = atoi(w[6]);
	f.zipf = n > 7 ? g_ascii_strtod(w[7], NULL) : 0;
	f.move_ms = n > 8 ? g_ascii_strtoll(w[8], NULL, 10) : 0;
	if (f.account < 0 || f.last >= t->daemons || f.first > f.last)
		return -1;
	g_array_append_val(t->traffic, f);
	return 0;
}

static int read_event(struct rr_trace *t, char **w, guint n)
{
	struct rr_event e = { 0 };
	int64_t *arg[] = { &e.a, &e.b, &e.c };

	if (n < 3 || n > 6)
		return -1;
	e.at = g_ascii_strtoll(w[1], NULL, 10);
	g_strlcpy(e.verb, w[2], sizeof(e.verb));
	for (guint i = 3; i < n; i++) {
		int account = find_account(t, w[i]);

		*arg[i - 3] = account >= 0 ? account
					   : g_ascii_strtoll(w[i], NULL, 10);
	}
	g_array_append_val(t->events, e);
	return 0;
}

static int read_expect(struct rr_trace *t, char **w, guint n)
{
	struct rr_expectation e = { 0 };

	if (n != 5)
		return -1;
	g_strlcpy(e.which, w[1], sizeof(e.which));
	g_strlcpy(e.field, w[2], sizeof(e.field));
	g_strlcpy(e.op, w[3], sizeof(e.op));
	e.value = g_ascii_strtod(w[4], NULL);
	g_array_append_val(t->expectations, e);
	return 0;
}

static int read_omission(struct rr_trace *t, const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(omission_names); i++) {
		if (!strcmp(omission_names[i], name)) {
			t->omitted = (enum rr_omission)i;
			return 0;
		}
	}
	return -1;
}

static int read_number(struct rr_trace *t, char **w, guint n)
{
	int64_t v = g_ascii_strtoll(w[1], NULL, 10);

	if (!strcmp(w[0], "daemons") && v <= RR_MAX_DAEMONS)
		t->daemons = (int)v;
	else if (!strcmp(w[0], "seed"))
		t->seed = (uint64_t)v;
	else if (!strcmp(w[0], "end"))
		t->end = v;
	else if (!strcmp(w[0], "unlisted_lease"))
		t->unlisted_lease = v;
	else if (!strcmp(w[0], "wait"))
		t->wait = v;
	else
		return -1;
	return 0;
}

static int read_words(struct rr_trace *t, char **w, guint n)
{
	if (n < 2)
		return -1;
	if (!strcmp(w[0], "account") && n == 4) {
		add_account(t, w[1], g_ascii_strtod(w[2], NULL),
			    g_ascii_strtod(w[3], NULL));
		return 0;
	}
	/* accounts PREFIX COUNT RATE BURST */
	if (!strcmp(w[0], "accounts") && n == 5) {
		for (int i = 0; i < atoi(w[2]); i++) {
			char *name = g_strdup_printf("%s%d", w[1], i);

			add_account(t, name, g_ascii_strtod(w[3], NULL),
				    g_ascii_strtod(w[4], NULL));
			g_free(name);
		}
		return 0;
	}
	if (!strcmp(w[0], "net") && n == 5) {
		t->delay_min = atoi(w[1]);
		t->delay_max = atoi(w[2]);
		t->loss = atoi(w[3]);
		t->dup = atoi(w[4]);
		return 0;
	}
	if (!strcmp(w[0], "traffic"))
		return read_traffic(t, w, n);
	if (!strcmp(w[0], "at"))
		return read_event(t, w, n);
	if (!strcmp(w[0], "expect"))
		return read_expect(t, w, n);
	if (!strcmp(w[0], "break"))
		return read_omission(t, w[1]);
	return read_number(t, w, n);
}

static int read_line(struct rr_trace *t, char *line)
{
	char *comment = strchr(line, '#');
	char **all, *words[16];
	guint n = 0;
	int rc = 0;

	if (comment)
		*comment = 0;
	all = g_strsplit_set(line, " \t\n", -1);
	for (char **w = all; *w; w++)
		if (**w && n < G_N_ELEMENTS(words))
			words[n++] = *w;
	if (n)
		rc = read_words(t, words, n);
	g_strfreev(all);
	return rc;
}

struct rr_trace *rr_read(FILE *in, const char *name)
{
	struct rr_trace *t = g_new0(struct rr_trace, 1);
	char line[512];
	int number = 0;

	g_strlcpy(t->name, name, sizeof(t->name));
	t->seed = 1;
	t->delay_min = 1;
	t->delay_max = 3;
	t->unlisted_lease = 30000;
	t->wait = 20;
	t->accounts = g_array_new(FALSE, FALSE, sizeof(struct cg_rate_limits));
	t->traffic = g_array_new(FALSE, FALSE, sizeof(struct rr_traffic));
	t->events = g_array_new(FALSE, FALSE, sizeof(struct rr_event));
	t->expectations =
		g_array_new(FALSE, FALSE, sizeof(struct rr_expectation));
	while (fgets(line, sizeof(line), in)) {
		number++;
		if (read_line(t, line)) {
			fprintf(stderr, "%s:%d: invalid trace line\n", name,
				number);
			rr_trace_free(t);
			return NULL;
		}
	}
	return t;
}

void rr_trace_free(struct rr_trace *t)
{
	for (guint i = 0; i < t->accounts->len; i++)
		g_free((char *)g_array_index(t->accounts, struct cg_rate_limits,
					     i)
			       .name);
	g_array_free(t->accounts, TRUE);
	g_array_free(t->traffic, TRUE);
	g_array_free(t->events, TRUE);
	g_array_free(t->expectations, TRUE);
	g_free(t);
}

enum rr_omission rr_trace_omission(const struct rr_trace *t)
{
	return t->omitted;
}

cg_ms rr_trace_end(const struct rr_trace *t)
{
	return t->end;
}

int rr_trace_daemons(const struct rr_trace *t)
{
	return t->daemons;
}

static double field_of(const struct rr_result *r, const char *field)
{
	if (!strcmp(field, "over"))
		return r->worst_excess;
	if (!strcmp(field, "violations"))
		return (double)r->violations;
	if (!strcmp(field, "wrongful"))
		return r->wrongful_percent;
	if (!strcmp(field, "worst"))
		return r->worst_percent;
	if (!strcmp(field, "unavailable"))
		return (double)r->unavailable;
	if (!strcmp(field, "admitted"))
		return (double)r->admitted;
	if (!strcmp(field, "messages"))
		return (double)r->messages;
	return -1e99;
}

int rr_check_expectations(const struct rr_trace *t, const char *which,
			  const struct rr_result *r)
{
	int failed = 0;

	for (guint i = 0; i < t->expectations->len; i++) {
		const struct rr_expectation *e = &g_array_index(
			t->expectations, struct rr_expectation, i);
		double v = field_of(r, e->field);
		bool ok = e->op[0] == '<'   ? v < e->value
			  : e->op[0] == '>' ? v > e->value
					    : v == e->value;

		if (strcmp(e->which, which) != 0 || ok)
			continue;
		fprintf(stderr, "%s: %s: %s is %g, expected %s %g\n", t->name,
			which, e->field, v, e->op, e->value);
		failed++;
	}
	return failed;
}
