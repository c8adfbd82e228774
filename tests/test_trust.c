/* Guards against keys that are accepted without evidence, and against keys that
 * are refused while the fleet or the store is heard. Each trace lists evidence
 * as it arrives and the state that must hold afterwards. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "fake_config.h"
#include "internal/trust.h"

#define NEVER	  (-CG_MS_NEVER)
#define ISOLATION 5000

struct step {
	cg_ms now;
	cg_ms fresh_at;
	cg_ms majority_at;
	enum cg_trust_state want;
};

static void replay(const struct step *s, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		enum cg_trust_state got = cg_trust_decide(
			s[i].fresh_at, s[i].majority_at, ISOLATION, s[i].now);

		if (got != s[i].want)
			fail_msg("step %zu at %lld: %s, not %s", i,
				 (long long)s[i].now, cg_trust_state_name(got),
				 cg_trust_state_name(s[i].want));
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
	replay(t, G_N_ELEMENTS(t));
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
	replay(t, G_N_ELEMENTS(t));
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
	replay(t, G_N_ELEMENTS(t));
}

/* The boot-time clock counts a pause, so that a daemon that wakes up refuses
 * keys until it hears something. */
static void paused_daemon_refuses_on_waking(void **state)
{
	const struct step t[] = {
		{ 1000, 900, 900, CG_TRUST_FRESH },
		{ 61000, 900, 900, CG_TRUST_STALE },
	};

	(void)state;
	replay(t, G_N_ELEMENTS(t));
}

static void no_evidence_at_start_refuses(void **state)
{
	const struct step t[] = {
		{ 0, NEVER, NEVER, CG_TRUST_STALE },
		{ 100, NEVER, 100, CG_TRUST_MAJORITY },
		{ 100, 100, NEVER, CG_TRUST_FRESH },
	};

	(void)state;
	replay(t, G_N_ELEMENTS(t));
}

/* The glue must combine the replica's evidence with that of the members. */
static void glue_uses_docs_and_members(void **state)
{
	struct cg_settings s = { .key_isolation_ms = ISOLATION,
				 .gone_confirm_ms = 10000 };
	struct cg_clock clk;
	struct cg_members *m;
	struct cg_docs *d;
	struct cg_member peer = { .name = "b", .incarnation = 1 };
	struct json_object *o;

	(void)state;
	g_strlcpy(s.instance, "a", sizeof(s.instance));
	cg_clock_init_given(&clk, 100000);
	m = cg_members_new(&s, 1, &clk);
	d = cg_docs_new(&s, &clk, NULL, NULL, m);
	/* Without a list, a peer's count of three makes this one a minority. */
	cg_members_record_peer_list_size(m, 3);
	assert_false(cg_trust_accepts_keys(&s, &clk, d, m));
	cg_members_record_contact(m, &peer, 100000);
	assert_int_equal(cg_trust_state(&s, &clk, d, m), CG_TRUST_MAJORITY);
	cg_clock_set(&clk, 105001);
	assert_false(cg_trust_accepts_keys(&s, &clk, d, m));
	/* Evidence for a version that this copy lacks does not count. */
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
		cmocka_unit_test(paused_daemon_refuses_on_waking),
		cmocka_unit_test(no_evidence_at_start_refuses),
		cmocka_unit_test(glue_uses_docs_and_members),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
