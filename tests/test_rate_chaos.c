/* Guards against grants above an account's limits under random failures: lost,
 * duplicated and delayed messages, frozen, killed and restarted daemons,
 * one-way partitions, changes of coordinator by survey and by handover, changes
 * of rate, and new unlisted daemons. After every event the sums of refill
 * rights, capacities and tokens must be within the account's rate and burst,
 * and in any time window at most burst + rate * t requests may be admitted. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "../replay/rate_replay.h"

#define DAEMONS 8
#define SHARDS	16

struct script {
	FILE *out;
	uint64_t rng;
	bool up[DAEMONS];
	bool frozen[DAEMONS];
	int owner[SHARDS];
};

static int pick(struct script *s, int below)
{
	s->rng = s->rng * 6364136223846793005U + 1442695040888963407U;
	return (int)((s->rng >> 33) % (uint64_t)below);
}

static int pick_running(struct script *s, int not_this)
{
	for (int i = 0; i < 100; i++) {
		int d = pick(s, DAEMONS);

		if (s->up[d] && !s->frozen[d] && d != not_this)
			return d;
	}
	return -1;
}

/* 12 s later the list proves the daemon gone; after that other daemons own its
 * shards. */
static void kill_daemon(struct script *s, int at, int d, bool restart)
{
	fprintf(s->out, "at %d kill %d\n", at, d);
	if (restart) {
		fprintf(s->out, "at %d restart %d\n", at + 300, d);
	} else {
		s->up[d] = false;
		fprintf(s->out, "at %d gone %d\n", at + 12000, d);
	}
	for (int i = 0; i < SHARDS; i++) {
		int to;

		if (s->owner[i] != d)
			continue;
		to = pick_running(s, d);
		if (to < 0)
			continue;
		s->owner[i] = to;
		fprintf(s->out, "at %d takeover %d %d\n", at + 12500, i, to);
	}
}

static void freeze(struct script *s, int at, int d)
{
	s->frozen[d] = true;
	fprintf(s->out, "at %d freeze %d\n", at, d);
	fprintf(s->out, "at %d thaw %d\n", at + 1000 + pick(s, 9000), d);
}

static void add_random_event(struct script *s, int at)
{
	int d = pick_running(s, -1), other = pick_running(s, d),
	    shard = pick(s, SHARDS);

	for (int i = 0; i < DAEMONS; i++)
		s->frozen[i] = false;
	if (d < 0 || other < 0)
		return;
	switch (pick(s, 7)) {
	case 0:
		freeze(s, at, d);
		break;
	case 1:
		if (d >= DAEMONS / 2)
			kill_daemon(s, at, d, false);
		break;
	case 2:
		kill_daemon(s, at, d, true);
		break;
	case 3:
		fprintf(s->out, "at %d block %d %d\n", at, d, other);
		fprintf(s->out, "at %d unblock %d %d\n", at + 8000, d, other);
		break;
	case 4:
		fprintf(s->out, "at %d handover %d %d\n", at, shard, other);
		s->owner[shard] = other;
		break;
	case 5:
		fprintf(s->out, "at %d rate %s %d %d\n", at,
			pick(s, 2) ? "a0" : "a1", 20 + pick(s, 200),
			20 + pick(s, 200));
		break;
	default:
		break;
	}
}

static struct rr_trace *make_trace(uint64_t seed)
{
	struct script s = { .rng = seed };
	struct rr_trace *t;
	char *text = NULL;
	size_t size = 0;
	FILE *in;

	s.out = open_memstream(&text, &size);
	for (int i = 0; i < DAEMONS; i++)
		s.up[i] = true;
	for (int i = 0; i < SHARDS; i++)
		s.owner[i] = i % DAEMONS;
	fprintf(s.out, "daemons %d\nseed %d\n", DAEMONS, (int)seed);
	fprintf(s.out, "net 1 %d %d %d\nunlisted_lease 5000\n",
		2 + pick(&s, 60), pick(&s, 200), pick(&s, 200));
	fprintf(s.out, "account a0 100 100\naccount a1 60 80\n"
		       "account a2 20 20\naccount a3 5 10\n");
	fprintf(s.out, "traffic 0 120000 a0 %d 0 7 1\n", 40 + pick(&s, 200));
	fprintf(s.out, "traffic 0 120000 a1 %d 0 7 1 9000\n",
		20 + pick(&s, 100));
	fprintf(s.out, "traffic 0 120000 a2 15 0 7\n");
	fprintf(s.out, "traffic 0 120000 a3 8 0 7\n");
	fprintf(s.out, "at 1 absent 7\nat 9000 join 7\nat 30000 listed 7\n");
	for (int at = 10000; at < 100000; at += 14000)
		add_random_event(&s, at + pick(&s, 1500));
	fprintf(s.out, "end 120000\n");
	fclose(s.out);
	in = fmemopen(text, size, "r");
	t = rr_read(in, "random");
	fclose(in);
	free(text);
	assert_non_null(t);
	return t;
}

static void sums_hold_under_random_failures(void **state)
{
	const char *first = getenv("RATE_SEED");
	uint64_t from = first ? strtoull(first, NULL, 10) : 1;
	const char *seeds = getenv("RATE_SEEDS");
	uint64_t count = seeds ? strtoull(seeds, NULL, 10) : first ? 1 : 60;
	uint64_t admitted = 0;
	int failed = 0;

	for (uint64_t seed = from; seed < from + count; seed++) {
		struct rr_trace *t = make_trace(seed);
		struct rr_result r;

		rr_run(t, RR_NOTHING_OMITTED, true, &r);
		admitted += r.admitted;
		if (r.violations || r.worst_excess > 0) {
			fprintf(stderr,
				"RATE_SEED=%" G_GUINT64_FORMAT
				": sums exceeded %" G_GUINT64_FORMAT
				" times, over %g\n",
				seed, r.violations, r.worst_excess);
			failed++;
		}
		rr_result_clear(&r);
		rr_trace_free(t);
	}
	assert_true(admitted > 1000 * count);
	assert_int_equal(failed, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(sums_hold_under_random_failures),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
