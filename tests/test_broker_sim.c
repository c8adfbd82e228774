/* The broker core under generated load, by pattern, beside the baselines. The
 * bounds are those stated for the product, not the measured figures. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <string.h>

#include "../replay/broker_sim.h"

static struct sim_result run(enum sim_policy policy, enum sim_pattern pattern,
			     double load)
{
	struct sim_options o;
	struct sim_result r;

	sim_defaults(&o);
	o.policy = policy;
	o.pattern = pattern;
	o.load = load;
	assert_int_equal(sim_run(&o, &r), 0);
	assert_true(r.requests > 10000);
	assert_true(r.served + r.refused + r.lost + r.expired <= r.requests);
	return r;
}

static double served(const struct sim_result *r)
{
	return (double)r->served / (double)r->requests;
}

static double in_time(const struct sim_result *r)
{
	return (double)r->in_time / (double)r->requests;
}

static void same_options_give_the_same_result(void **state)
{
	struct sim_result a = run(SIM_BROKER, SIM_HANGING, 0.5);
	struct sim_result b = run(SIM_BROKER, SIM_HANGING, 0.5);

	(void)state;
	assert_memory_equal(&a, &b, sizeof(a));
}

static void contradicting_options_are_refused(void **state)
{
	struct sim_options o;
	struct sim_result r;

	(void)state;
	sim_defaults(&o);
	o.servers = o.services - 1;
	assert_int_equal(sim_run(&o, &r), -1);
	sim_defaults(&o);
	o.daemons = o.domains - 1;
	assert_int_equal(sim_run(&o, &r), -1);
}

/* Steady load of half the slots: all is served, nothing refused. */
static void steady_load_is_served(void **state)
{
	struct sim_result r = run(SIM_BROKER, SIM_STEADY, 0.5);

	(void)state;
	assert_int_equal(r.served, r.requests);
}

/* Half the time of five failures in a row. */
static void hanging_servers_are_found_in_half_the_time(void **state)
{
	struct sim_result b = run(SIM_BROKER, SIM_HANGING, 0.5);
	struct sim_result f = run(SIM_FIVE, SIM_HANGING, 0.5);
	struct sim_result o = run(SIM_OWN, SIM_HANGING, 0.5);

	(void)state;
	assert_true(b.spells > 50);
	assert_true(b.detect_ms <= f.detect_ms / 2);
	assert_true(served(&b) >= served(&f));
	assert_true(served(&b) >= served(&o));
	assert_true(b.lost <= f.lost);
}

/* A burst fills sound servers; five failures in a row takes their refusals for
 * faults. */
static void burst_ejects_a_tenth_of_five_failures(void **state)
{
	struct sim_result b = run(SIM_BROKER, SIM_BURST, 0.5);
	struct sim_result f = run(SIM_FIVE, SIM_BURST, 0.5);

	(void)state;
	assert_true(b.false_out <= f.false_out / 10);
	assert_true(in_time(&b) >= in_time(&f));
}

/* Small accounts beside a large one: p99 within a tenth of the run without. */
static void hot_account_leaves_small_ones_alone(void **state)
{
	struct sim_result quiet = run(SIM_BROKER, SIM_STEADY, 0.8);
	struct sim_result hot = run(SIM_BROKER, SIM_HOT_ACCOUNT, 0.8);

	(void)state;
	assert_true(hot.small_p99_ms <= 1.1 * quiet.small_p99_ms);
}

static void slow_servers_lose_nothing(void **state)
{
	struct sim_result b = run(SIM_BROKER, SIM_SLOW, 0.5);
	struct sim_result o = run(SIM_OWN, SIM_SLOW, 0.5);

	(void)state;
	assert_int_equal(b.refused, 0);
	assert_true(in_time(&b) >= in_time(&o));
}

static void flapping_servers_cost_less_than_own_choice(void **state)
{
	struct sim_result b = run(SIM_BROKER, SIM_FLAPPING, 0.5);
	struct sim_result o = run(SIM_OWN, SIM_FLAPPING, 0.5);

	(void)state;
	assert_true(served(&b) >= served(&o));
	assert_true(b.lost <= o.lost);
}

/* A whole service turns all away: others are served in full, and repeats stay
 * within the budget of a fifth. */
static void shedding_service_harms_no_other(void **state)
{
	struct sim_result r = run(SIM_BROKER, SIM_SHEDDING, 0.5);

	(void)state;
	assert_int_equal(r.wrongful, 0);
	assert_int_equal(r.lost, 0);
	/* One service of four, and the noise of the draw. */
	assert_true(r.refused <= r.requests * 27 / 100);
}

static void short_domain_is_served_by_others(void **state)
{
	struct sim_result r = run(SIM_BROKER, SIM_SHORTAGE, 0.5);

	(void)state;
	assert_int_equal(r.refused, 0);
}

static void cut_domain_serves_itself(void **state)
{
	struct sim_result r = run(SIM_BROKER, SIM_CUT, 0.5);

	(void)state;
	assert_int_equal(r.served, r.requests);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(same_options_give_the_same_result),
		cmocka_unit_test(contradicting_options_are_refused),
		cmocka_unit_test(steady_load_is_served),
		cmocka_unit_test(hanging_servers_are_found_in_half_the_time),
		cmocka_unit_test(burst_ejects_a_tenth_of_five_failures),
		cmocka_unit_test(hot_account_leaves_small_ones_alone),
		cmocka_unit_test(slow_servers_lose_nothing),
		cmocka_unit_test(flapping_servers_cost_less_than_own_choice),
		cmocka_unit_test(shedding_service_harms_no_other),
		cmocka_unit_test(short_domain_is_served_by_others),
		cmocka_unit_test(cut_domain_serves_itself),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
