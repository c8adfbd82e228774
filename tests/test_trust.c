/* Guards against keys that are accepted without evidence that no revocation was
 * missed, and against keys that are refused despite contact with the store or a
 * majority of the fleet. Each step of a trace gives the evidence at a point in
 * time and the state that must result. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "fake_config.h"
#include "internal/trust.h"

#define NO_EVIDENCE  (-CG_MS_NEVER)
#define ISOLATION_MS 5000

struct step {
	cg_ms now;
	cg_ms fresh_at;
	cg_ms majority_at;
	enum cg_trust_state expected;
};

static void check_trace(const struct step *s, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		enum cg_trust_state got =
			cg_trust_decide(s[i].fresh_at, s[i].majority_at,
					ISOLATION_MS, s[i].now);

		if (got != s[i].expected)
			fail_msg("step %zu at %lld: %s, not %s", i,
				 (long long)s[i].now, cg_trust_state_name(got),
				 cg_trust_state_name(s[i].expected));
	}
}

static void healthy_fleet_is_fresh(void **state)
{
	const struct step t[] = {
		{ 1000, 900, 800, CG_TRUST_FRESH },
		{ 2000, 1500, 1900, CG_TRUST_FRESH },
		{ 9000, 8000, 8900, CG_TRUST_FRESH },
	};

	(void)state;
	check_trace(t, G_N_ELEMENTS(t));
}

static void store_outage_lasts_without_limit(void **state)
{
	const struct step t[] = {
		{ 1000, 1000, 900, CG_TRUST_FRESH },
		{ 6000, 1000, 5500, CG_TRUST_FRESH },
		{ 6001, 1000, 5500, CG_TRUST_MAJORITY },
		{ 4 * 3600 * 1000, 1000, 4 * 3600 * 1000 - 400,
		  CG_TRUST_MAJORITY },
	};

	(void)state;
	check_trace(t, G_N_ELEMENTS(t));
}

static void isolated_daemon_refuses_after_the_limit(void **state)
{
	const struct step t[] = {
		{ 10000, 9000, 9500, CG_TRUST_FRESH },
		{ 14000, 9000, 9500, CG_TRUST_FRESH },
		{ 14500, 9000, 9500, CG_TRUST_MAJORITY },
		{ 14501, 9000, 9500, CG_TRUST_STALE },
		{ 20000, 9000, 9500, CG_TRUST_STALE },
		{ 20100, 9000, 20050, CG_TRUST_MAJORITY },
		{ 20200, 20150, 20050, CG_TRUST_FRESH },
	};

	(void)state;
	check_trace(t, G_N_ELEMENTS(t));
}

/* The boot-time clock includes the time of a suspension, so that a resumed
 * daemon refuses keys until it has new evidence. */
static void resumed_daemon_refuses_keys(void **state)
{
	const struct step t[] = {
		{ 1000, 900, 900, CG_TRUST_FRESH },
		{ 61000, 900, 900, CG_TRUST_STALE },
	};

	(void)state;
	check_trace(t, G_N_ELEMENTS(t));
}

static void no_evidence_at_start_refuses(void **state)
{
	const struct step t[] = {
		{ 0, NO_EVIDENCE, NO_EVIDENCE, CG_TRUST_STALE },
		{ 100, NO_EVIDENCE, 100, CG_TRUST_MAJORITY },
		{ 100, 100, NO_EVIDENCE, CG_TRUST_FRESH },
	};

	(void)state;
	check_trace(t, G_N_ELEMENTS(t));
}

/* cg_trust_state must combine the evidence of the replica with that of the
 * members. */
static void state_combines_docs_and_members(void **state)
{
	struct cg_settings s = { .key_isolation_ms = ISOLATION_MS,
				 .gone_confirm_ms = 10000 };
	struct cg_clock clk;
	struct cg_members *m;
	struct cg_docs *d;
	struct cg_member peer = { .name = "b", .incarnation = 1 };
	struct json_object *o;

	(void)state;
	g_strlcpy(s.instance, "a", sizeof(s.instance));
	cg_clock_init_manual(&clk, 100000);
	m = cg_members_new(&s, 1, &clk);
	d = cg_docs_new(&s, &clk, NULL, NULL, m);
	/* Without a list, the size 3 of a peer's list counts: one is no
	 * majority. */
	cg_members_record_peer_list_size(m, 3);
	assert_false(cg_trust_accepts_keys(&s, &clk, d, m));
	cg_members_record_contact(m, &peer, 100000);
	assert_int_equal(cg_trust_state(&s, &clk, d, m), CG_TRUST_MAJORITY);
	cg_clock_set(&clk, 105001);
	assert_false(cg_trust_accepts_keys(&s, &clk, d, m));
	/* Evidence for a version that was not adopted yet does not count. */
	cg_docs_record_freshness(d, 7, 105000);
	assert_false(cg_trust_accepts_keys(&s, &clk, d, m));
	o = cg_trust_status(&s, &clk, d, m);
	assert_string_equal(
		json_object_get_string(json_object_object_get(o, "state")),
		"stale");
	json_object_put(o);
	cg_docs_free(d);
	cg_members_free(m);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(healthy_fleet_is_fresh),
		cmocka_unit_test(store_outage_lasts_without_limit),
		cmocka_unit_test(isolated_daemon_refuses_after_the_limit),
		cmocka_unit_test(resumed_daemon_refuses_keys),
		cmocka_unit_test(no_evidence_at_start_refuses),
		cmocka_unit_test(state_combines_docs_and_members),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
