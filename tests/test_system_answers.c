/* Sends random answers of backend servers to a gateway process: odd values of
 * Server-Leaving and Retry-After, damaged heads, foreign ids, answers that break
 * off. Guards against a process that one answer ends, a caller that gets no
 * answer, an answer taken for another request's, and servers that stay out of use
 * after their restart. ANSWERS_SEED replaces the seed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "support/gateway_fleet.h"

#define SEED		   20261205
#define DAEMONS		   2
#define ROUNDS		   5
#define REQUESTS_PER_ROUND 24
#define DEADLINE_MS	   300
#define RECOVERY_MS	   8000
#define WHOLE		   100000 /* bytes; more than an answer has */

static struct gateway_fleet fleet;

struct answer {
	char *text;
	int sent_bytes;
	/* A caller that gets it with status 200 got what is not its own or not
	 * whole. */
	bool must_not_be_served;
};

static const char *pick(GRand *r, const char *const *of, gint32 n)
{
	return of[g_rand_int_range(r, 0, n)];
}

static bool one_in(GRand *r, gint32 n)
{
	return g_rand_int_range(r, 0, n) == 0;
}

static void damage(GRand *r, GString *s)
{
	gint32 at = g_rand_int_range(r, 0, (gint32)s->len);

	/* The id's place stays, so that the answer can still be recognised. */
	if (s->str[at] != '@')
		s->str[at] = (char)g_rand_int_range(r, 1, 256);
}

static struct answer random_answer(GRand *r)
{
	static const char *const statuses[] = {
		"200 OK", "200 OK", "200 OK",	     "503 Busy",  "503 Busy",
		"500 No", "429 No", "421 Elsewhere", "204 Empty", "099 Odd",
	};
	static const char *const leaving[] = {
		"1", "1", "1", "0", "", "true", "1, 1", "-1", "11111111111111",
	};
	static const char *const rest[] = {
		"1",	"0.2",	   "2", "-5",	"nan",	     "1e308",
		"soon", "1000000", "",	"0x10", "0.0000001", "2 2",
	};
	static const char *const ids[] = { "@", "@", "@", "@", "stranger", "" };
	const char *id = pick(r, ids, G_N_ELEMENTS(ids));
	GString *s = g_string_new(NULL);
	struct answer a = { .sent_bytes = WHOLE };

	g_string_printf(s, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\n",
			pick(r, statuses, G_N_ELEMENTS(statuses)), id);
	if (!one_in(r, 8))
		g_string_append(s, "X-Response-Seal: s\r\n");
	for (int i = g_rand_int_range(r, 0, 3); i > 0; i--)
		g_string_append_printf(s, "Server-Leaving: %s\r\n",
				       pick(r, leaving, G_N_ELEMENTS(leaving)));
	for (int i = g_rand_int_range(r, 0, 3); i > 0; i--)
		g_string_append_printf(s, "Retry-After: %s\r\n",
				       pick(r, rest, G_N_ELEMENTS(rest)));
	if (one_in(r, 3))
		g_string_append(s, "X-Not-Run: 1\r\n");
	g_string_append(s, "Content-Length: 4\r\n\r\nbody");
	a.must_not_be_served = !strcmp(id, "stranger");
	if (one_in(r, 6)) {
		a.sent_bytes = g_rand_int_range(r, 0, (gint32)s->len);
		a.must_not_be_served = true;
	} else if (one_in(r, 3)) {
		/* A damaged answer may be one of another meaning. */
		for (int i = g_rand_int_range(r, 1, 4); i > 0; i--)
			damage(r, s);
		a.must_not_be_served = false;
	}
	a.text = g_string_free(s, FALSE);
	return a;
}

static void set_mode(enum scripted_mode mode, const struct answer *a)
{
	for (int i = 0; i < GF_SERVERS; i++) {
		if (a) {
			fleet.servers[i].cut_text = a->text;
			fleet.servers[i].cut_at = a->sent_bytes;
		}
		fleet.servers[i].mode = mode;
	}
}

static void call_with(const struct answer *a, bool safe, int number)
{
	char *id = g_strdup_printf("answer-%d", number);
	struct gf_request q = {
		.daemon = (unsigned int)number % DAEMONS,
		.method = safe ? "GET" : "POST",
		.path = safe ? "/safe/x" : "/unsafe/x",
		.key = "k1",
		.id = id,
		.deadline_ms = DEADLINE_MS,
	};
	struct gf_response got;

	set_mode(SCRIPTED_CUT, a);
	got = gf_call(&fleet, &q);
	if (!got.status || (a->must_not_be_served && got.status == 200))
		print_message("request %d: status %d for %d bytes of:\n%s\n",
			      number, got.status, a->sent_bytes, a->text);
	assert_int_not_equal(got.status, 0);
	assert_false(a->must_not_be_served && got.status == 200);
	g_free(id);
}

/* The servers are replaced by new processes, of which nothing is known. */
static void expect_recovery(void)
{
	gint64 end = g_get_monotonic_time() + RECOVERY_MS * 1000;
	int served = 0;

	set_mode(SCRIPTED_OK, NULL);
	for (unsigned int i = 0; i < GF_SERVERS; i++)
		gf_restart_server(&fleet, i);
	while (served < DAEMONS && g_get_monotonic_time() < end) {
		served = 0;
		for (unsigned int i = 0; i < DAEMONS; i++)
			served += gf_get(&fleet, i).status == 200;
		g_usleep(50000);
	}
	assert_int_equal(served, DAEMONS);
}

static void gateways_survive_random_answers(void **state)
{
	const char *seed = getenv("ANSWERS_SEED");
	GRand *r = g_rand_new_with_seed(seed ? (guint32)strtoul(seed, NULL, 10)
					     : SEED);
	GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);
	int n = 0;

	(void)state;
	gf_start(&fleet, DAEMONS);
	gf_put_config(&fleet, true, 0, 0, "");
	gf_wait_ready(&fleet);
	for (int i = 0; i < ROUNDS; i++) {
		for (int j = 0; j < REQUESTS_PER_ROUND; j++) {
			struct answer a = random_answer(r);

			g_ptr_array_add(texts, a.text);
			call_with(&a, one_in(r, 2), n++);
		}
		expect_recovery();
		for (int d = 0; d < DAEMONS; d++)
			assert_int_equal(waitpid(fleet.pids[d], NULL, WNOHANG),
					 0);
	}
	gf_stop(&fleet);
	g_ptr_array_unref(texts);
	g_rand_free(r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(gateways_survive_random_answers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
