/* Guards against admission that serves the wrong requests when there is not
 * room for all: demand of 1.7 times the room, one account with 7.5 times its
 * usual demand, and servers that reject half of their requests while the retry
 * budget runs out. With the order of arrival a full queue refuses urgent
 * newcomers, and retries that could succeed later are refused at once. Each load
 * prints its figures with both orders; the conditions must hold by urgency. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <string.h>

#include "support/gateway_broker_fixture.h"

#define STEP_MS	     5
#define TICK_MS	     50
#define REJECTION_MS 5
#define KINDS_MAX    3
#define ACCOUNTS_MAX 20
#define SEEDS	     10
#define RETRY_RATIO  0.2
#define RETRY_SLACK  20
#define RETRY_WINDOW 10000
#define CALLS_MAX    20000
#define ATTEMPTS_MAX 60000
/* Too few requests of an account show nothing. */
#define ACCOUNT_CALLS_MIN 20

struct kind {
	const char *name;
	int64_t priority;
	double per_s; /* In normal times. */
	cg_ms work, objective, limit;
	bool idempotent;
};

struct load {
	const char *name;
	struct kind kinds[KINDS_MAX];
	unsigned int servers;
	int64_t slots;
	unsigned int accounts;
	cg_ms begin, end, stop; /* Of the overload, and of all arrivals. */
	double demand; /* Factor for all accounts, from begin to end. */
	double first_account; /* Factor for the first one, likewise. */
	double rejected; /* Part of the requests, likewise. */
};

struct call {
	unsigned int kind, account;
	cg_ms arrived;
	bool ended;
	unsigned int sends;
	char last_server[CGW_NAME_MAX + 1];
};

struct attempt {
	unsigned int call;
	cg_ms ends_at; /* 0: waits. */
	cg_ms started_at;
	bool rejected, ended;
};

struct tally {
	unsigned int asked, served, late, refused, expired;
};

struct run {
	struct broker_fixture w;
	const struct load *load;
	GRand *rand;
	struct call *calls;
	struct attempt *attempts; /* By id of the slot request. */
	unsigned int call_count;
	uint64_t first_running; /* Earlier attempts have ended. */
	size_t seen; /* Decisions. */
	GArray *first_sends, *later_sends; /* cg_ms */
	double highest_budget; /* Used part of what is allowed. */
	double due[KINDS_MAX];
	struct tally kinds[KINDS_MAX], accounts[ACCOUNTS_MAX], all;
};

static bool in_overload(const struct run *r, cg_ms at)
{
	return at >= r->load->begin && at < r->load->end;
}

static struct tally *tallies(struct run *r, const struct call *c,
			     struct tally *out[3])
{
	out[0] = &r->kinds[c->kind];
	out[1] = &r->accounts[c->account];
	out[2] = &r->all;
	return in_overload(r, c->arrived) ? out[0] : NULL;
}

enum end {
	SERVED,
	REFUSED,
	EXPIRED
};

static void end_call(struct run *r, struct call *c, enum end end)
{
	struct tally *t[3];
	bool late = r->w.now - c->arrived > r->load->kinds[c->kind].objective;

	c->ended = true;
	if (!tallies(r, c, t))
		return;
	for (int i = 0; i < 3; i++) {
		t[i]->asked++;
		t[i]->served += end == SERVED;
		t[i]->late += end == SERVED && late;
		t[i]->refused += end == REFUSED;
		t[i]->expired += end == EXPIRED;
	}
}

static void submit(struct run *r, unsigned int call)
{
	struct call *c = &r->calls[call];
	const struct kind *k = &r->load->kinds[c->kind];
	struct cgw_slot_request q =
		broker_fixture_new_request(&r->w, "svc", k->idempotent);

	assert_true(q.id < ATTEMPTS_MAX);
	r->attempts[q.id] = (struct attempt){ .call = call };
	g_strlcpy(q.route, k->name, sizeof(q.route));
	g_snprintf(q.account, sizeof(q.account), "a%u", c->account);
	q.priority = k->priority;
	q.objective_ms = k->objective;
	q.deadline = c->arrived + k->limit;
	q.retry = c->sends > 0;
	if (c->sends) {
		g_strlcpy(q.avoid[0], c->last_server, sizeof(q.avoid[0]));
		q.avoid_count = 1;
	}
	cgw_broker_request_slot(r->w.broker, &q, r->w.now);
}

static unsigned int count_since(const GArray *times, cg_ms since)
{
	unsigned int n = 0;

	for (guint i = times->len; i > 0; i--, n++)
		if (g_array_index(times, cg_ms, i - 1) < since)
			break;
	return n;
}

static void check_budget(struct run *r)
{
	cg_ms since = r->w.now - RETRY_WINDOW;
	double allowed =
		RETRY_RATIO * count_since(r->first_sends, since) + RETRY_SLACK;
	double used = count_since(r->later_sends, since) / allowed;

	r->highest_budget = MAX(r->highest_budget, used);
}

static void handle_decision(struct run *r, const struct cgw_slot_decision *d)
{
	struct attempt *a = &r->attempts[d->id];
	struct call *c = &r->calls[a->call];

	if (d->kind == CGW_DECISION_REFUSED) {
		a->ended = true;
		end_call(r, c, REFUSED);
		return;
	}
	assert_int_equal(d->kind, CGW_DECISION_GRANTED);
	g_array_append_val(c->sends ? r->later_sends : r->first_sends,
			   r->w.now);
	c->sends++;
	g_strlcpy(c->last_server, d->u.grant.server, sizeof(c->last_server));
	check_budget(r);
	a->started_at = r->w.now;
	a->rejected = in_overload(r, r->w.now) &&
		      g_rand_double(r->rand) < r->load->rejected;
	a->ends_at =
		r->w.now +
		(a->rejected ? REJECTION_MS
			     : (cg_ms)((double)r->load->kinds[c->kind].work *
				       g_rand_double_range(r->rand, 0.7, 1.3)));
}

/* Decisions may cause further ones. */
static void handle_decisions(struct run *r)
{
	while (r->seen < r->w.decision_count) {
		struct cgw_slot_decision d =
			r->w.decisions[r->seen++ % BROKER_FIXTURE_DECISIONS];

		handle_decision(r, &d);
	}
}

static void end_attempt(struct run *r, uint64_t id)
{
	struct attempt *a = &r->attempts[id];
	struct call *c = &r->calls[a->call];
	cg_ms now = r->w.now, took = now - a->started_at;
	bool in_time = now <= c->arrived + r->load->kinds[c->kind].limit;

	a->ended = true;
	if (a->rejected) {
		broker_fixture_release(&r->w, id, CGW_RESULT_SHED, took);
		if (in_time)
			submit(r, a->call);
		else
			end_call(r, c, EXPIRED);
		return;
	}
	broker_fixture_release(
		&r->w, id, in_time ? CGW_RESULT_SERVED : CGW_RESULT_HUNG, took);
	end_call(r, c, in_time ? SERVED : EXPIRED);
}

static void end_attempts(struct run *r)
{
	while (r->first_running < r->w.next_id &&
	       r->attempts[r->first_running].ended)
		r->first_running++;
	for (uint64_t id = r->first_running; id < r->w.next_id; id++)
		if (!r->attempts[id].ended && r->attempts[id].ends_at &&
		    r->attempts[id].ends_at <= r->w.now) {
			end_attempt(r, id);
			handle_decisions(r);
		}
}

/* The first account has a tenth of the normal demand. */
static unsigned int pick_account(struct run *r, double first_weight)
{
	double rest = 0.9, x;

	if (r->load->accounts == 1)
		return 0;
	x = g_rand_double(r->rand) * (first_weight + rest);
	if (x < first_weight)
		return 0;
	return 1 + (unsigned int)g_rand_int_range(
			   r->rand, 0, (gint32)r->load->accounts - 1);
}

static void add_arrivals(struct run *r)
{
	const struct load *l = r->load;
	bool over = in_overload(r, r->w.now);
	double first = 0.1 * (over ? l->first_account : 1);
	double factor = (over ? l->demand : 1) * (first + 0.9);

	for (unsigned int k = 0; k < KINDS_MAX; k++) {
		r->due[k] += l->kinds[k].per_s * factor * STEP_MS / 1000.0;
		while (r->due[k] >= 1) {
			struct call *c = &r->calls[r->call_count];

			r->due[k]--;
			assert_true(r->call_count < CALLS_MAX);
			c->kind = k;
			c->account = pick_account(r, first);
			c->arrived = r->w.now;
			submit(r, r->call_count++);
			handle_decisions(r);
		}
	}
}

static void print_tally(const char *name, const struct tally *t)
{
	print_message("  %-10s %5u asked %5u served %5u late %5u refused %4u "
		      "expired, %.3f served\n",
		      name, t->asked, t->served, t->late, t->refused,
		      t->expired,
		      t->asked ? (double)t->served / t->asked : 1.0);
}

static void print_run(struct run *r, bool by_urgency)
{
	struct tally least = { 0 };
	double share = 2;

	print_message("%s, by %s: budget used up to %.2f\n", r->load->name,
		      by_urgency ? "urgency" : "arrival", r->highest_budget);
	for (unsigned int k = 0; k < KINDS_MAX; k++)
		if (r->load->kinds[k].name)
			print_tally(r->load->kinds[k].name, &r->kinds[k]);
	print_tally("all", &r->all);
	if (r->load->accounts > 1)
		print_tally("account 0", &r->accounts[0]);
	for (unsigned int i = 1; i < r->load->accounts; i++) {
		const struct tally *t = &r->accounts[i];

		if (t->asked >= ACCOUNT_CALLS_MIN &&
		    (double)t->served / t->asked < share) {
			share = (double)t->served / t->asked;
			least = *t;
		}
	}
	if (least.asked)
		print_tally("least of others", &least);
}

static double served_share(const struct tally *t)
{
	return t->asked ? (double)t->served / t->asked : 1;
}

static void run_load(const struct load *l, bool by_urgency, guint32 seed,
		     struct run *r)
{
	memset(r, 0, sizeof(*r));
	broker_fixture_init(&r->w, 1);
	r->load = l;
	r->first_running = 1;
	r->rand = g_rand_new_with_seed(seed);
	g_random_set_seed(seed);
	r->calls = g_new0(struct call, CALLS_MAX);
	r->attempts = g_new0(struct attempt, ATTEMPTS_MAX);
	r->first_sends = g_array_new(FALSE, FALSE, sizeof(cg_ms));
	r->later_sends = g_array_new(FALSE, FALSE, sizeof(cg_ms));
	cgw_broker_set_admission_by_urgency(r->w.broker, by_urgency, r->w.now);
	broker_fixture_add_servers(&r->w, "svc", l->servers, l->slots);
	while (r->w.now < l->stop || cgw_broker_busy(r->w.broker)) {
		r->w.now += STEP_MS;
		end_attempts(r);
		if (r->w.now < l->stop)
			add_arrivals(r);
		if (r->w.now % TICK_MS == 0)
			cgw_broker_tick(r->w.broker, r->w.now);
		handle_decisions(r);
	}
	for (unsigned int i = 0; i < r->call_count; i++)
		assert_true(r->calls[i].ended);
}

static void clear_run(struct run *r)
{
	broker_fixture_clear(&r->w);
	g_rand_free(r->rand);
	g_array_unref(r->first_sends);
	g_array_unref(r->later_sends);
	g_free(r->calls);
	g_free(r->attempts);
}

static void check_kinds_and_accounts(const struct run *r)
{
	double all = served_share(&r->all);

	for (unsigned int k = 0; k < KINDS_MAX; k++)
		assert_true(served_share(&r->kinds[k]) >= all / 4);
	for (unsigned int i = 0; i < r->load->accounts; i++)
		if (r->accounts[i].asked >= ACCOUNT_CALLS_MIN)
			assert_true(served_share(&r->accounts[i]) >= all / 4);
}

/* Checked on all seeds together: in one run the shares of the smaller kinds
 * vary by more than the bound. */
static void check_order_of_kinds(const struct load *l,
				 const struct tally sums[KINDS_MAX])
{
	for (unsigned int k = 0; k < KINDS_MAX; k++)
		for (unsigned int o = 0; o < KINDS_MAX; o++)
			if (l->kinds[o].priority > l->kinds[k].priority)
				assert_true(served_share(&sums[k]) >=
					    served_share(&sums[o]) - 0.05);
}

static void add_tally(struct tally *sum, const struct tally *t)
{
	sum->asked += t->asked;
	sum->served += t->served;
	sum->late += t->late;
	sum->refused += t->refused;
	sum->expired += t->expired;
}

/* Figures of a load by one order, over all seeds. */
struct summary {
	struct tally all, kinds[KINDS_MAX];
	double highest_budget;
};

/* Runs a load by arrival (0) and by urgency (1), with several seeds. */
static void compare(const struct load *l, struct summary sums[2])
{
	memset(sums, 0, 2 * sizeof(*sums));
	for (int by_urgency = 0; by_urgency < 2; by_urgency++) {
		for (guint32 seed = 1; seed <= SEEDS; seed++) {
			struct run r;

			run_load(l, by_urgency, seed, &r);
			if (seed == 1)
				print_run(&r, by_urgency);
			add_tally(&sums[by_urgency].all, &r.all);
			for (unsigned int k = 0; k < KINDS_MAX; k++)
				add_tally(&sums[by_urgency].kinds[k],
					  &r.kinds[k]);
			assert_true(r.highest_budget <= 1);
			sums[by_urgency].highest_budget =
				MAX(sums[by_urgency].highest_budget,
				    r.highest_budget);
			if (by_urgency)
				check_kinds_and_accounts(&r);
			clear_run(&r);
		}
		print_message("%s, by %s, %d seeds, budget used up to %.3f:\n",
			      l->name, by_urgency ? "urgency" : "arrival",
			      SEEDS, sums[by_urgency].highest_budget);
		for (unsigned int k = 0; k < KINDS_MAX; k++)
			print_tally(l->kinds[k].name,
				    &sums[by_urgency].kinds[k]);
		print_tally("all", &sums[by_urgency].all);
	}
	check_order_of_kinds(l, sums[1].kinds);
}

/* 28 slots, 0.85 of them used in normal times, 1.7 for 3 s. */
static void urgent_kind_is_served_when_demand_exceeds_the_room(void **state)
{
	static const struct load l = {
		.name = "demand 1.7",
		.kinds = { { "partner", 0, 99, 72, 500, 1200, true },
			   { "status", 1, 41, 230, 800, 2000, true },
			   { "download", 2, 51, 140, 2000, 3000, true } },
		.servers = 14,
		.slots = 2,
		.accounts = 1,
		.begin = 6000,
		.end = 9000,
		.stop = 14000,
		.demand = 2,
		.first_account = 1,
	};
	struct summary s[2];

	(void)state;
	compare(&l, s);
	assert_true(served_share(&s[1].kinds[0]) >=
		    served_share(&s[0].kinds[0]));
	assert_true(served_share(&s[1].kinds[0]) >= 0.99);
	assert_true(s[1].kinds[0].late <= s[0].kinds[0].late);
}

/* 28 slots, 0.75 of them used in normal times, 1.24 for 6.5 s. */
static void account_with_high_demand_leaves_room_for_others(void **state)
{
	static const struct load l = {
		.name = "account 7.5",
		.kinds = { { "partner", 0, 88, 72, 500, 1200, true },
			   { "status", 1, 36, 230, 800, 2000, true },
			   { "download", 2, 45, 140, 2000, 3000, true } },
		.servers = 14,
		.slots = 2,
		.accounts = ACCOUNTS_MAX,
		.begin = 6000,
		.end = 12500,
		.stop = 16000,
		.demand = 1,
		.first_account = 7.5,
	};
	struct summary s[2];

	(void)state;
	compare(&l, s);
	assert_true(served_share(&s[1].kinds[0]) >= 0.99);
}

/* 80 slots; half of the requests of each server are rejected for 8 s. */
static void retry_budget_serves_most_when_servers_reject(void **state)
{
	static const struct load l = {
		.name = "rejections",
		.kinds = { { "view", 0, 55, 280, 1500, 8000, true },
			   { "order", 1, 70, 370, 1500, 10000, false },
			   { "stamp", 1, 16, 230, 1000, 6000, false } },
		.servers = 20,
		.slots = 4,
		.accounts = 10,
		.begin = 14000,
		.end = 22000,
		.stop = 36000,
		.demand = 1,
		.first_account = 1,
		.rejected = 0.5,
	};
	struct summary s[2];

	(void)state;
	compare(&l, s);
	assert_true(served_share(&s[1].all) >= served_share(&s[0].all));
	assert_true(served_share(&s[1].kinds[0]) >=
		    served_share(&s[0].kinds[0]));
}

/* As before, all kinds being equally urgent. */
static void retry_budget_is_shared_by_equally_urgent_kinds(void **state)
{
	static const struct load l = {
		.name = "rejections, equal",
		.kinds = { { "view", 0, 55, 280, 1500, 8000, true },
			   { "order", 0, 70, 370, 1500, 10000, false },
			   { "stamp", 0, 16, 230, 1000, 6000, false } },
		.servers = 20,
		.slots = 4,
		.accounts = 10,
		.begin = 14000,
		.end = 22000,
		.stop = 36000,
		.demand = 1,
		.first_account = 1,
		.rejected = 0.5,
	};
	struct summary s[2];

	(void)state;
	compare(&l, s);
	assert_true(served_share(&s[1].all) >= served_share(&s[0].all));
}

/* 28 slots; the callers have too little time to wait for the budget. */
static void retry_budget_is_left_to_urgent_kinds(void **state)
{
	static const struct load l = {
		.name = "rejections, short limits",
		.kinds = { { "partner", 0, 71, 72, 500, 1200, true },
			   { "status", 1, 20, 230, 800, 2000, true },
			   { "download", 2, 26, 140, 2000, 3000, true } },
		.servers = 14,
		.slots = 2,
		.accounts = 10,
		.begin = 14000,
		.end = 22000,
		.stop = 36000,
		.demand = 1,
		.first_account = 1,
		.rejected = 0.5,
	};
	struct summary s[2];

	(void)state;
	compare(&l, s);
	assert_true(served_share(&s[1].all) >= served_share(&s[0].all) - 0.01);
	assert_true(served_share(&s[1].kinds[0]) >=
		    served_share(&s[0].kinds[0]));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			urgent_kind_is_served_when_demand_exceeds_the_room),
		cmocka_unit_test(
			account_with_high_demand_leaves_room_for_others),
		cmocka_unit_test(retry_budget_serves_most_when_servers_reject),
		cmocka_unit_test(
			retry_budget_is_shared_by_equally_urgent_kinds),
		cmocka_unit_test(retry_budget_is_left_to_urgent_kinds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
