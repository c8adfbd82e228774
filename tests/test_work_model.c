/*
 * Estimates of the work of requests and of the speed of servers. The tests guard
 * against placement by estimates that follow single samples, absurd samples or
 * work of long ago, that treat a request which has outlived its estimate as if
 * it were about to end, and against memory that grows with the paths that
 * callers invent.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "gateway/work_model.h"

#define OBJECTIVE_MS 1000

static struct cgw_work_class class_of(const char *route, const char *target,
				      const char *account)
{
	struct cgw_work_traits t = { .route = route,
				     .account = account,
				     .method = CGW_WORK_METHOD_GET,
				     .shape =
					     cgw_work_path_shape(target, "/") };
	struct cgw_work_class c;

	cgw_work_classify(&t, &c);
	return c;
}

static void record(struct cgw_work_model *m, const struct cgw_work_class *c,
		   double work, unsigned int n, cg_ms now)
{
	while (n--)
		cgw_work_record(m, c,
				cgw_work_estimate(m, c, OBJECTIVE_MS, now),
				work, now);
}

static double estimate(const struct cgw_work_model *m,
		       const struct cgw_work_class *c, cg_ms now)
{
	return cgw_work_estimate(m, c, OBJECTIVE_MS, now);
}

static double remaining(const struct cgw_work_model *m,
			const struct cgw_work_class *c, double expected,
			double age)
{
	double left, survival;

	cgw_work_progress(m, c, expected, age, &left, &survival);
	assert_true(survival > 0 && survival <= 1);
	return left;
}

static void assert_between(double value, double low, double high)
{
	if (value < low || value > high)
		print_error("%g is not from %g to %g\n", value, low, high);
	assert_true(value >= low && value <= high);
}

static void cold_estimate_is_a_bounded_share_of_the_objective(void **state)
{
	struct cgw_work_model *m = cgw_work_model_new();
	struct cgw_work_class c = class_of("r", "/a", "acc");

	(void)state;
	assert_between(cgw_work_estimate(m, &c, 1000, 0), 399, 401);
	assert_between(cgw_work_estimate(m, &c, 0, 0), 1, 1000);
	assert_between(cgw_work_estimate(m, &c, 1, 0), 1, 100);
	assert_between(cgw_work_estimate(m, &c, G_MAXINT64 / 2, 0), 1, 20000);
	cgw_work_model_free(m);
}

/* Two shapes of one route differ by a factor of 10. */
static void classes_of_a_route_are_told_apart(void **state)
{
	struct cgw_work_model *m = cgw_work_model_new();
	struct cgw_work_class brief = class_of("r", "/list", "acc");
	struct cgw_work_class lengthy = class_of("r", "/report", "acc");

	(void)state;
	for (int i = 0; i < 200; i++) {
		record(m, &brief, 50, 1, i * 10);
		record(m, &lengthy, 500, 1, i * 10);
	}
	assert_between(estimate(m, &brief, 2000), 45, 70);
	assert_between(estimate(m, &lengthy, 2000), 450, 510);
	cgw_work_model_free(m);
}

/* One long sample of a new class must not make the class long. */
static void few_samples_stay_close_to_the_route(void **state)
{
	struct cgw_work_model *m = cgw_work_model_new();
	struct cgw_work_class known = class_of("r", "/list", "acc");
	struct cgw_work_class fresh = class_of("r", "/other", "new");

	(void)state;
	record(m, &known, 100, 100, 0);
	record(m, &fresh, 400, 1, 0);
	assert_between(estimate(m, &fresh, 0), 95, 220);
	record(m, &fresh, 400, 40, 0);
	assert_between(estimate(m, &fresh, 0), 350, 400);
	cgw_work_model_free(m);
}

static void accounts_are_told_apart(void **state)
{
	struct cgw_work_model *m = cgw_work_model_new();
	struct cgw_work_class a = class_of("r", "/list", "a");
	struct cgw_work_class b = class_of("r", "/list", "b");

	(void)state;
	for (int i = 0; i < 100; i++) {
		record(m, &a, 50, 1, i);
		record(m, &b, 300, 1, i);
	}
	assert_true(estimate(m, &b, 100) > 2 * estimate(m, &a, 100));
	cgw_work_model_free(m);
}

static void estimate_follows_drift(void **state)
{
	struct cgw_work_model *m = cgw_work_model_new();
	struct cgw_work_class c = class_of("r", "/a", "acc");

	(void)state;
	record(m, &c, 100, 500, 0);
	record(m, &c, 300, 120, 1000);
	assert_between(estimate(m, &c, 1000), 270, 300);
	cgw_work_model_free(m);
}

/* After ten half-lives a class counts as unknown again. */
static void samples_fade_with_time(void **state)
{
	struct cgw_work_model *m = cgw_work_model_new();
	struct cgw_work_class rare = class_of("r", "/rare", "acc");
	struct cgw_work_class usual = class_of("r", "/usual", "acc");

	(void)state;
	record(m, &rare, 900, 40, 0);
	record(m, &usual, 100, 200, 600000);
	assert_between(estimate(m, &rare, 600000), 90, 200);
	cgw_work_model_free(m);
}

/* A clock that jumps or a request that was forgotten. */
static void absurd_samples_are_clipped(void **state)
{
	struct cgw_work_model *m = cgw_work_model_new();
	struct cgw_work_class c = class_of("r", "/a", "acc");

	(void)state;
	record(m, &c, 100, 100, 0);
	record(m, &c, 1e12, 1, 0);
	assert_between(estimate(m, &c, 0), 100, 140);
	record(m, &c, -5, 1, 0);
	record(m, &c, NAN, 1, 0);
	record(m, &c, INFINITY, 1, 0);
	assert_between(estimate(m, &c, 0), 100, 140);
	record(m, &c, 0, 300, 0);
	assert_between(estimate(m, &c, 0), 1, 10);
	cgw_work_model_free(m);
}

/* A daemon of an older version reports no method: its requests must not share a
 * class by chance, nor take anything from the classes of others. */
static void requests_without_traits_use_their_route(void **state)
{
	struct cgw_work_model *m = cgw_work_model_new();
	struct cgw_work_traits t = { .route = "r", .account = "acc" };
	struct cgw_work_class old, c = class_of("r", "/a", "acc");

	(void)state;
	cgw_work_classify(&t, &old);
	record(m, &old, 200, 50, 0);
	assert_int_equal(cgw_work_key_count(m), 0);
	assert_between(estimate(m, &old, 0), 190, 220);
	assert_between(estimate(m, &c, 0), 190, 220);
	cgw_work_model_free(m);
}

/* A caller invents a path for each request. */
static void memory_is_bounded(void **state)
{
	struct cgw_work_model *m = cgw_work_model_new();
	struct cgw_work_class c = class_of("r", "/known", "acc");
	char target[32];

	(void)state;
	record(m, &c, 500, 100, 0);
	for (unsigned int i = 0; i < 100000; i++) {
		struct cgw_work_class n;

		/* Letters only, so that nothing is folded. */
		g_snprintf(target, sizeof(target), "/%c%c%c%c%c", 'a' + i % 26,
			   'a' + i / 26 % 26, 'a' + i / 676 % 26,
			   'a' + i / 17576 % 26, 'a' + i / 456976 % 26);
		n = class_of("r", target, "acc");
		record(m, &n, 100, 1, 0);
	}
	assert_true(cgw_work_key_count(m) <= CGW_WORK_KEYS_MAX);
	/* What is well known stays. */
	assert_between(estimate(m, &c, 0), 400, 500);
	for (unsigned int i = 0; i < 2 * CGW_WORK_ROUTES_MAX; i++) {
		g_snprintf(target, sizeof(target), "route%u", i);
		c = class_of(target, "/", "");
		record(m, &c, 100, 1, 0);
	}
	assert_true(isfinite(estimate(m, &c, 0)));
	cgw_work_model_free(m);
}

static void identifiers_in_a_path_are_folded(void **state)
{
	uint32_t a = cgw_work_path_shape("/api/orders/81721/items", "/api/");

	(void)state;
	assert_int_equal(a,
			 cgw_work_path_shape("/api/orders/9/items", "/api/"));
	assert_int_equal(
		a, cgw_work_path_shape("/api/orders/6fa459ea-ee8a/items?x=1",
				       "/api/"));
	assert_int_equal(a,
			 cgw_work_path_shape(
				 "/api/orders/qwertyuiopasdfghjklzxcvbnm/items",
				 "/api/"));
	assert_int_not_equal(a, cgw_work_path_shape("/api/orders/9", "/api/"));
	assert_int_not_equal(
		a, cgw_work_path_shape("/api/users/9/items", "/api/"));
	assert_int_not_equal(cgw_work_path_shape("/v1/a", "/"),
			     cgw_work_path_shape("/v2/a", "/"));
	/* Shorter than its prefix, empty, and very deep. */
	assert_int_not_equal(cgw_work_path_shape("/api", "/api/"), 0);
	assert_int_not_equal(cgw_work_path_shape("", ""), 0);
	assert_int_equal(cgw_work_path_shape("/a/b/c/d/e/f/g/h/i", "/"),
			 cgw_work_path_shape("/a/b/c/d/e/f/g/h/j", "/"));
}

static void sizes_and_methods_have_classes(void **state)
{
	(void)state;
	assert_int_equal(cgw_work_size_class(0), 0);
	assert_int_equal(cgw_work_size_class(1), 1);
	assert_int_equal(cgw_work_size_class(1024), 1);
	assert_int_equal(cgw_work_size_class(1025), 2);
	assert_int_equal(cgw_work_size_class(1 << 20), 6);
	assert_int_equal(cgw_work_size_class((size_t)1 << 40), 7);
	assert_int_equal(cgw_work_method("GET"), CGW_WORK_METHOD_GET);
	assert_int_equal(cgw_work_method("PATCH"), CGW_WORK_METHOD_PATCH);
	assert_int_equal(cgw_work_method("X"), CGW_WORK_METHOD_OTHER);
}

/* Four in five requests take 50 ms, the others 800 ms, and nothing tells them
 * apart. One that has run for 150 ms is a long one. */
static void age_reveals_the_long_requests(void **state)
{
	struct cgw_work_model *m = cgw_work_model_new();
	struct cgw_work_class c = class_of("r", "/a", "acc");
	double expected;

	(void)state;
	for (int i = 0; i < 500; i++)
		record(m, &c, i % 5 ? 50 : 800, 1, 0);
	expected = estimate(m, &c, 0);
	assert_between(expected, 120, 330);
	assert_between(remaining(m, &c, expected, 0), expected / 2,
		       expected * 1.5);
	assert_between(remaining(m, &c, expected, 150), 400, 900);
	assert_true(remaining(m, &c, expected, 600) <
		    remaining(m, &c, expected, 150));
	cgw_work_model_free(m);
}

static void outlived_estimate_leaves_work(void **state)
{
	struct cgw_work_model *m = cgw_work_model_new();
	struct cgw_work_class c = class_of("r", "/a", "acc");

	(void)state;
	/* Also without any sample of the route. */
	for (int i = 0; i < 2; i++) {
		assert_true(remaining(m, &c, 100, 99) > 0);
		assert_true(remaining(m, &c, 100, 101) > 1);
		assert_true(remaining(m, &c, 100, 1000) > 100);
		assert_true(remaining(m, &c, 100, 1e9) > 1000);
		record(m, &c, 100, 300, 0);
	}
	cgw_work_model_free(m);
}

static void speed_is_shrunk_and_bounded(void **state)
{
	struct cgw_work_speed service = { 0 }, slow = { 0 }, fast = { 0 };

	(void)state;
	assert_between(cgw_work_slowness(&slow, &service, 0), 1, 1);
	cgw_work_speed_record(&slow, &service, 100, 1e9, 0);
	assert_between(cgw_work_slowness(&slow, &service, 0), 1, 1.3);
	for (int i = 0; i < 60; i++) {
		cgw_work_speed_record(&fast, &service, 100, 70, i);
		cgw_work_speed_record(&slow, &service, 100, 200, i);
	}
	assert_between(cgw_work_slowness(&slow, &service, 60), 1.3, 2);
	assert_between(cgw_work_slowness(&fast, &service, 60), 0.5, 0.8);
	for (int i = 0; i < 1000; i++)
		cgw_work_speed_record(&slow, &service, 1, 1e9, i);
	assert_between(cgw_work_slowness(&slow, &service, 1000), 0.1, 4);
	/* A server that got no requests for long counts as any other. */
	assert_between(cgw_work_slowness(&fast, &service, 1200000), 0.9, 1.1);
}

struct copy {
	struct cgw_work_model *to;
	unsigned int routes, keys;
};

static void copy_entry(void *arg, const struct cgw_work_entry *e, bool is_route)
{
	struct copy *c = arg;

	c->routes += is_route;
	c->keys += !is_route;
	cgw_work_import(c->to, e, is_route, 500);
}

static void summary_keeps_the_estimates(void **state)
{
	struct cgw_work_model *m = cgw_work_model_new();
	struct copy copy = { .to = cgw_work_model_new() };
	struct cgw_work_class a = class_of("r", "/a", "acc");
	struct cgw_work_class b = class_of("r", "/b", "acc");
	struct cgw_work_entry bad = { .key = 1, .mean = NAN, .weight = 1 };
	double expected;

	(void)state;
	for (int i = 0; i < 200; i++) {
		record(m, &a, 50, 1, 0);
		record(m, &b, 700, 1, 0);
	}
	cgw_work_export(m, 10, 100, 0, copy_entry, &copy);
	assert_int_equal(copy.routes, 1);
	assert_int_equal(copy.keys, 6);
	expected = estimate(m, &b, 0);
	assert_between(estimate(copy.to, &b, 500), expected * 0.95,
		       expected * 1.05);
	assert_between(estimate(copy.to, &a, 500), 40, 80);
	assert_between(remaining(copy.to, &b, expected, 100),
		       remaining(m, &b, expected, 100) * 0.99,
		       remaining(m, &b, expected, 100) * 1.01);
	/* Nothing that is known better here is replaced, and nothing absurd is
	 * taken. */
	record(copy.to, &b, 100, 300, 500);
	expected = estimate(copy.to, &b, 500);
	cgw_work_export(m, 10, 100, 60000, copy_entry, &copy);
	assert_between(estimate(copy.to, &b, 500), expected, expected);
	cgw_work_import(copy.to, &bad, false, 500);
	bad.mean = -1;
	cgw_work_import(copy.to, &bad, true, 500);
	bad.mean = 10;
	bad.weight = INFINITY;
	cgw_work_import(copy.to, &bad, true, 500);
	assert_int_equal(cgw_work_key_count(copy.to), 6);
	/* The best known come first. */
	copy.keys = 0;
	cgw_work_export(m, 0, 2, 0, copy_entry, &copy);
	assert_int_equal(copy.keys, 2);
	cgw_work_model_free(copy.to);
	cgw_work_model_free(m);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			cold_estimate_is_a_bounded_share_of_the_objective),
		cmocka_unit_test(classes_of_a_route_are_told_apart),
		cmocka_unit_test(few_samples_stay_close_to_the_route),
		cmocka_unit_test(accounts_are_told_apart),
		cmocka_unit_test(estimate_follows_drift),
		cmocka_unit_test(samples_fade_with_time),
		cmocka_unit_test(absurd_samples_are_clipped),
		cmocka_unit_test(requests_without_traits_use_their_route),
		cmocka_unit_test(memory_is_bounded),
		cmocka_unit_test(identifiers_in_a_path_are_folded),
		cmocka_unit_test(sizes_and_methods_have_classes),
		cmocka_unit_test(age_reveals_the_long_requests),
		cmocka_unit_test(outlived_estimate_leaves_work),
		cmocka_unit_test(speed_is_shrunk_and_bounded),
		cmocka_unit_test(summary_keeps_the_estimates),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
