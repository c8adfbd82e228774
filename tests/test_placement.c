/*
 * Compares placement by expected finish with placement by requests in flight on
 * generated traces, and checks the explanation of a placement and the handover
 * of estimates. The tests guard against short requests that are sent beside long
 * ones or to slow servers while others are nearly idle, against a placement that
 * follows wrong estimates, and against a new broker that begins without any.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <rpc/types.h>
#include <rpc/xdr.h>
#include <stdio.h>
#include <string.h>

#include "../replay/placement_sim.h"
#include "fleet_wire.h"
#include "gateway/work_model.h"
#include "support/gateway_broker_fixture.h"

/* Runs of each trace. */
#define SEEDS 8u

#define SHORT_KIND(r)                                                          \
	{                                                                      \
		.route = "status", .target = "/status/17", .rate = (r),        \
		.work_ms = 70, .sigma = 0.3, .long_share = 0.01,               \
		.long_factor = 4, .objective_ms = 300, .timeout_ms = 1200,     \
		.idempotent = true                                             \
	}
#define LONG_KIND(r)                                                           \
	{                                                                      \
		.route = "download", .target = "/files/17", .rate = (r),       \
		.work_ms = 600, .sigma = 0.5, .long_share = 0.01,              \
		.long_factor = 4, .objective_ms = 1500, .timeout_ms = 6000,    \
		.priority = 1, .idempotent = true                              \
	}

#define SERVERS                                                                \
	.servers = 12, .slots = 4, .processors = 2, .slowest = 1,              \
	.fastest = 1, .duration_ms = 65000, .seed = 7

static const struct placement_trace traces[] = {
	{ .name = "two-humped work of one route",
	  .better = true,
	  .kinds = { { .route = "report",
		       .target = "/brief",
		       .rate = 110,
		       .work_ms = 60,
		       .sigma = 0.3,
		       .objective_ms = 150,
		       .timeout_ms = 6000,
		       .idempotent = true },
		     { .route = "report",
		       .target = "/full",
		       .rate = 18,
		       .work_ms = 700,
		       .sigma = 0.3,
		       .objective_ms = 1500,
		       .timeout_ms = 6000,
		       .idempotent = true } },
	  .kind_count = 2,
	  SERVERS },
	{ .name = "two-humped work that nothing tells apart",
	  .kinds = { { .route = "report",
		       .target = "/any",
		       .rate = 80,
		       .work_ms = 60,
		       .sigma = 0.3,
		       .long_share = 0.12,
		       .long_factor = 12,
		       .objective_ms = 800,
		       .timeout_ms = 6000,
		       .idempotent = true } },
	  .kind_count = 1,
	  SERVERS },
	{ .name = "heavy-tailed work",
	  .better = true,
	  .kinds = { { .route = "search",
		       .target = "/any",
		       .rate = 110,
		       .work_ms = 160,
		       .sigma = 1.2,
		       .objective_ms = 700,
		       .timeout_ms = 8000,
		       .idempotent = true } },
	  .kind_count = 1,
	  SERVERS },
	{ .name = "servers of uneven speed",
	  .better = true,
	  .kinds = { { .route = "order",
		       .target = "/orders",
		       .rate = 75,
		       .work_ms = 200,
		       .sigma = 0.4,
		       .long_share = 0.01,
		       .long_factor = 4,
		       .objective_ms = 500,
		       .timeout_ms = 6000 } },
	  .kind_count = 1,
	  .servers = 12,
	  .slots = 4,
	  .processors = 2,
	  .slowest = 0.5,
	  .fastest = 1.5,
	  .duration_ms = 65000,
	  .seed = 7 },
	{ .name = "short urgent and long requests",
	  .better = true,
	  .kinds = { SHORT_KIND(120), LONG_KIND(20) },
	  .kind_count = 2,
	  SERVERS },
	{ .name = "the same, slots do not slow each other down",
	  .better = true,
	  .kinds = { SHORT_KIND(180), LONG_KIND(40) },
	  .kind_count = 2,
	  .servers = 12,
	  .slots = 4,
	  .processors = 4,
	  .slowest = 0.6,
	  .fastest = 1.4,
	  .duration_ms = 65000,
	  .seed = 7 },
	{ .name = "drift in the middle",
	  .better = true,
	  .kinds = { { .route = "report",
		       .target = "/one",
		       .rate = 54,
		       .work_ms = 60,
		       .sigma = 0.3,
		       .drift = 5,
		       .objective_ms = 600,
		       .timeout_ms = 6000,
		       .idempotent = true },
		     { .route = "report",
		       .target = "/other",
		       .rate = 27,
		       .work_ms = 600,
		       .sigma = 0.3,
		       .drift = 0.2,
		       .objective_ms = 1200,
		       .timeout_ms = 6000,
		       .idempotent = true } },
	  .kind_count = 2,
	  SERVERS },
	{ .name = "three in ten servers hang at times",
	  .kinds = { SHORT_KIND(70), LONG_KIND(10) },
	  .kind_count = 2,
	  .servers = 12,
	  .slots = 4,
	  .processors = 2,
	  .slowest = 1,
	  .fastest = 1,
	  .hanging_share = 0.3,
	  .hang_ms = 4000,
	  .duration_ms = 65000,
	  .seed = 7 },
	{ .name = "more work than the servers can do",
	  .kinds = { SHORT_KIND(150), LONG_KIND(32) },
	  .kind_count = 2,
	  SERVERS },
	{ .name = "equal work",
	  .kinds = { { .route = "view",
		       .target = "/",
		       .rate = 80,
		       .work_ms = 200,
		       .sigma = 0.3,
		       .objective_ms = 500,
		       .timeout_ms = 6000,
		       .idempotent = true } },
	  .kind_count = 1,
	  SERVERS },
};

static void print_figures(const char *placement, const char *kind,
			  const struct placement_figures *f)
{
	printf("  %-15s %-10s %5u requests, median %4.0f ms, p99 %5.0f ms, "
	       "late %4u, refused %4u\n",
	       placement, kind, f->requests, f->median_ms, f->p99_ms, f->late,
	       f->refused);
}

/* Adds up several seeds, since the figures of one vary by chance. */
static void run(const struct placement_trace *t, enum cgw_placement p,
		struct placement_figures *out)
{
	struct placement_figures one[PLACEMENT_KINDS_MAX + 1];

	memset(out, 0, (t->kind_count + 1) * sizeof(*out));
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct placement_trace seeded = *t;

		seeded.seed = 100 * seed;
		placement_run(&seeded, p, one);
		for (unsigned int i = 0; i <= t->kind_count; i++) {
			out[i].requests += one[i].requests;
			out[i].served += one[i].served;
			out[i].refused += one[i].refused;
			out[i].late += one[i].late;
			out[i].median_ms += one[i].median_ms / SEEDS;
			out[i].p99_ms += one[i].p99_ms / SEEDS;
		}
	}
}

static void compare(size_t trace, struct placement_figures *now,
		    struct placement_figures *then)
{
	const struct placement_trace *t = &traces[trace];

	run(t, CGW_PLACEMENT_LEAST_LOADED, then);
	run(t, CGW_PLACEMENT_EXPECTED_FINISH, now);
	printf("%s\n", t->name);
	for (unsigned int i = 0; i <= t->kind_count; i++) {
		const char *kind =
			i < t->kind_count ? t->kinds[i].target : "all";

		print_figures("least_loaded", kind, &then[i]);
		print_figures("expected_finish", kind, &now[i]);
	}
}

/* A placement may be worse by chance: the figures vary by some percent with the
 * seed. */
static void assert_not_worse(const struct placement_figures *now,
			     const struct placement_figures *then)
{
	assert_true(now->median_ms <= 1.05 * then->median_ms + 1);
	assert_true(now->late <= 1.1 * then->late + 15);
	assert_true(now->refused <= 1.1 * then->refused + 5);
}

static void expected_finish_is_better_where_work_differs(void **state)
{
	struct placement_figures now[PLACEMENT_KINDS_MAX + 1];
	struct placement_figures then[PLACEMENT_KINDS_MAX + 1];

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(traces); i++) {
		unsigned int all = traces[i].kind_count;

		compare(i, now, then);
		for (unsigned int k = 0; k <= all; k++)
			assert_not_worse(&now[k], &then[k]);
		if (traces[i].better)
			assert_true(now[all].late < then[all].late);
	}
}

static void same_seed_gives_the_same_figures(void **state)
{
	struct placement_figures a[PLACEMENT_KINDS_MAX + 1];
	struct placement_figures b[PLACEMENT_KINDS_MAX + 1];

	(void)state;
	placement_run(&traces[0], CGW_PLACEMENT_EXPECTED_FINISH, a);
	placement_run(&traces[0], CGW_PLACEMENT_EXPECTED_FINISH, b);
	assert_memory_equal(a, b, 3 * sizeof(a[0]));
}

/* ---- decisions ---- */

static void use_expected_finish(struct broker_fixture *w, bool bulk)
{
	struct cgw_table *t = cgw_table_new(1);
	struct cgw_route *r = cgw_table_add_route(t, "r", "h", "/");

	r->bulk = bulk;
	cgw_broker_configure(w->broker, t, w->now);
	cgw_table_unref(t);
}

static struct cgw_slot_request new_request(struct broker_fixture *w,
					   const char *target, bool idempotent)
{
	struct cgw_slot_request q =
		broker_fixture_new_request(w, "svc", idempotent);

	q.method = CGW_WORK_METHOD_GET;
	q.shape = cgw_work_path_shape(target, "/");
	return q;
}

/* Returns the server that got the request, or "". */
static const char *place(struct broker_fixture *w,
			 const struct cgw_slot_request *q)
{
	const struct cgw_slot_decision *d = broker_fixture_submit(w, q);

	return d && d->kind == CGW_DECISION_GRANTED ? d->u.grant.server : "";
}

/* Teaches the broker that "/full" takes 600 ms and "/brief" 50 ms. */
static void learn(struct broker_fixture *w)
{
	for (int i = 0; i < 100; i++) {
		struct cgw_slot_request q =
			new_request(w, i % 4 ? "/brief" : "/full", true);
		cg_ms work = i % 4 ? 50 : 600;

		assert_true(*place(w, &q) != '\0');
		broker_fixture_advance(w, work);
		broker_fixture_release(w, q.id, CGW_RESULT_SERVED, work);
	}
}

/* One server has a long request and the other one two short ones. */
static void outstanding_work_counts_and_not_requests(void **state)
{
	struct broker_fixture w;
	struct cgw_slot_request q, avoiding;
	char busy[CGW_NAME_MAX + 1], other[CGW_NAME_MAX + 1];

	(void)state;
	for (int bulk = 0; bulk < 2; bulk++) {
		broker_fixture_init(&w, 1);
		broker_fixture_add_servers(&w, "svc", 2, 8);
		use_expected_finish(&w, bulk);
		assert_int_equal(cgw_broker_placement(w.broker),
				 bulk ? CGW_PLACEMENT_EXPECTED_FINISH
				      : CGW_PLACEMENT_LEAST_LOADED);
		learn(&w);
		q = new_request(&w, "/full", true);
		g_strlcpy(busy, place(&w, &q), sizeof(busy));
		for (int i = 0; i < 2; i++) {
			avoiding = new_request(&w, "/brief", true);
			avoiding.avoid_count = 1;
			g_strlcpy(avoiding.avoid[0], busy,
				  sizeof(avoiding.avoid[0]));
			g_strlcpy(other, place(&w, &avoiding), sizeof(other));
		}
		q = new_request(&w, "/full", true);
		assert_string_equal(place(&w, &q), bulk ? other : busy);
		broker_fixture_clear(&w);
	}
}

static void slow_server_gets_fewer_requests(void **state)
{
	struct broker_fixture w;
	unsigned int hits[2] = { 0 };

	(void)state;
	broker_fixture_init(&w, 1);
	broker_fixture_add_servers(&w, "svc", 2, 2);
	use_expected_finish(&w, true);
	for (int i = 0; i < 200; i++) {
		struct cgw_slot_request q = new_request(&w, "/", false);
		const char *server = place(&w, &q);
		cg_ms work = !strcmp(server, "s1") ? 160 : 100;

		hits[server[1] - '1'] += i >= 100;
		broker_fixture_advance(&w, work);
		broker_fixture_release(&w, q.id, CGW_RESULT_SERVED, work);
	}
	assert_true(hits[1] > 80);
	broker_fixture_clear(&w);
}

static void equal_servers_are_used_in_turn(void **state)
{
	struct broker_fixture w;
	unsigned int hits[4] = { 0 };

	(void)state;
	broker_fixture_init(&w, 1);
	broker_fixture_add_servers(&w, "svc", 4, 3);
	use_expected_finish(&w, true);
	for (int i = 0; i < 200; i++) {
		/* A few percent of difference is no reason to prefer one. */
		cg_ms work = 100 + i * 7 % 5;
		struct cgw_slot_request q = new_request(&w, "/", false);

		hits[place(&w, &q)[1] - '1']++;
		broker_fixture_advance(&w, work);
		broker_fixture_release(&w, q.id, CGW_RESULT_SERVED, work);
	}
	for (int i = 0; i < 4; i++)
		assert_int_equal(hits[i], 50);
	broker_fixture_clear(&w);
}

/* A request that must not be repeated avoids a server that has just lost one,
 * although that server is faster. */
static void unsafe_requests_avoid_doubted_servers(void **state)
{
	struct broker_fixture w;
	struct cgw_slot_request q;
	char doubted[CGW_NAME_MAX + 1];

	(void)state;
	broker_fixture_init(&w, 1);
	broker_fixture_add_servers(&w, "svc", 2, 4);
	use_expected_finish(&w, true);
	learn(&w);
	q = new_request(&w, "/brief", true);
	g_strlcpy(doubted, place(&w, &q), sizeof(doubted));
	broker_fixture_advance(&w, 20);
	broker_fixture_release(&w, q.id, CGW_RESULT_LOST, 20);
	for (int i = 0; i < 3; i++) {
		q = new_request(&w, "/brief", false);
		assert_string_not_equal(place(&w, &q), doubted);
	}
	broker_fixture_clear(&w);
}

/* By the mean of the route a long request would be overdue before it ends, its
 * server suspect, and its caller's request sent a second time. */
static void long_class_is_not_overdue_by_the_mean_of_its_route(void **state)
{
	struct broker_fixture w;
	struct cgw_slot_request brief, full;
	cg_ms overdue_brief, overdue_full;

	(void)state;
	broker_fixture_init(&w, 1);
	broker_fixture_add_servers(&w, "svc", 2, 8);
	use_expected_finish(&w, true);
	for (int i = 0; i < 400; i++) {
		struct cgw_slot_request q =
			new_request(&w, i % 20 ? "/brief" : "/full", true);
		cg_ms work = i % 20 ? 50 : 1200;

		place(&w, &q);
		broker_fixture_advance(&w, work);
		broker_fixture_release(&w, q.id, CGW_RESULT_SERVED, work);
	}
	brief = new_request(&w, "/brief", true);
	full = new_request(&w, "/full", true);
	broker_fixture_submit(&w, &brief);
	broker_fixture_submit(&w, &full);
	overdue_brief =
		broker_fixture_decision(&w, brief.id)->u.grant.overdue_ms;
	overdue_full = broker_fixture_decision(&w, full.id)->u.grant.overdue_ms;
	assert_true(overdue_full > 1300);
	assert_true(overdue_brief < 1200);
	broker_fixture_clear(&w);
}

/* The former broker is dead; the new one has only the copy. */
static void new_broker_places_by_the_copy(void **state)
{
	struct broker_fixture former, next;
	struct cgw_slot_request q;
	GByteArray *copy = g_byte_array_new();
	char busy[CGW_NAME_MAX + 1];

	(void)state;
	broker_fixture_init(&former, 1);
	broker_fixture_add_servers(&former, "svc", 2, 8);
	use_expected_finish(&former, true);
	assert_false(cgw_broker_export_work(former.broker, copy, former.now));
	for (int i = 0; i < 60; i++) {
		cg_ms work;

		q = new_request(&former, i % 2 ? "/brief" : "/full", true);
		work = i % 2 ? 50 : 600;
		/* The first server is slow. */
		work = !strcmp(place(&former, &q), "s1") ? 2 * work : work;
		broker_fixture_advance(&former, work);
		broker_fixture_release(&former, q.id, CGW_RESULT_SERVED, work);
	}
	assert_true(cgw_broker_export_work(former.broker, copy, former.now));
	broker_fixture_clear(&former);
	broker_fixture_init(&next, 1);
	use_expected_finish(&next, true);
	assert_int_equal(cgw_broker_import_work(next.broker, copy->data,
						copy->len, next.now),
			 0);
	/* Its list of servers may arrive later. */
	broker_fixture_add_servers(&next, "svc", 2, 8);
	for (int i = 0; i < 4; i++) {
		q = new_request(&next, "/full", true);
		g_strlcpy(busy, place(&next, &q), sizeof(busy));
		broker_fixture_release(&next, q.id, CGW_RESULT_UNUSED, 0);
		assert_string_equal(busy, "s2");
	}
	/* Damaged copies are refused as a whole or without harm. */
	for (guint n = 0; n < copy->len; n += 7)
		cgw_broker_import_work(next.broker, copy->data, n, next.now);
	g_byte_array_unref(copy);
	broker_fixture_clear(&next);
}

/* A daemon of an older version ends the message before the traits; the receiver
 * appends zeros. */
static void older_daemon_reports_no_traits(void **state)
{
	char data[512] = "";
	fleet_slot_request q = { .id = 7,
				 .service = (char *)"svc",
				 .route = (char *)"r",
				 .account = (char *)"acc",
				 .method = 1,
				 .size_class = 2,
				 .shape = 3 };
	fleet_slot_request read = { 0 };
	u_int len;
	XDR x;

	(void)state;
	xdrmem_create(&x, data, sizeof(data), XDR_ENCODE);
	assert_true(xdr_fleet_slot_request(&x, &q));
	len = xdr_getpos(&x);
	xdr_destroy(&x);
	memset(data + len - 12, 0, 12);
	xdrmem_create(&x, data, len, XDR_DECODE);
	assert_true(xdr_fleet_slot_request(&x, &read));
	xdr_destroy(&x);
	assert_string_equal(read.account, "acc");
	assert_int_equal(read.method, CGW_WORK_METHOD_UNKNOWN);
	assert_int_equal(read.size_class, 0);
	assert_int_equal(read.shape, 0);
	xdr_free((xdrproc_t)xdr_fleet_slot_request, &read);
}

static const struct cgw_placement_candidate *
candidate(const struct cgw_placement_candidate *c, size_t n, const char *id)
{
	for (size_t i = 0; i < n; i++)
		if (!strcmp(c[i].server, id))
			return &c[i];
	return NULL;
}

/* The explanation must come from the code that decides. */
static void explanation_matches_the_decision(void **state)
{
	struct cgw_placement_candidate c[8];
	struct broker_fixture w;
	struct cgw_slot_request q;
	struct cgw_server_notice rest = { .rest_ms = 5000 };
	struct cgw_server_notice leaving = { .leaving = true };
	size_t n;

	(void)state;
	for (int bulk = 0; bulk < 2; bulk++) {
		broker_fixture_init(&w, 1);
		broker_fixture_add_servers(&w, "svc", 6, 1);
		use_expected_finish(&w, bulk);
		learn(&w);
		q = new_request(&w, "/full", true);
		place(&w, &q);
		cgw_broker_record_notice(w.broker, "s2", 0, &rest, w.now);
		cgw_broker_record_notice(w.broker, "s3", 0, &leaving, w.now);
		q = new_request(&w, "/brief", true);
		q.avoid_count = 1;
		strcpy(q.avoid[0], "s4");
		n = cgw_broker_explain(w.broker, &q, c, 8, w.now);
		assert_int_equal(n, 6);
		assert_int_equal(candidate(c, n, "s2")->reason,
				 CGW_INELIGIBLE_RESTS);
		assert_int_equal(candidate(c, n, "s3")->reason,
				 CGW_INELIGIBLE_LEAVING);
		assert_true(candidate(c, n, "s4")->reason ==
				    CGW_INELIGIBLE_EXCLUDED ||
			    candidate(c, n, "s4")->reason ==
				    CGW_INELIGIBLE_NO_SLOT);
		assert_int_equal(cgw_broker_explain(w.broker, &q, c, 2, w.now),
				 2);
		n = cgw_broker_explain(w.broker, &q, c, 8, w.now);
		assert_true(candidate(c, n, place(&w, &q))->chosen);
		strcpy(q.service, "unknown");
		assert_int_equal(cgw_broker_explain(w.broker, &q, c, 8, w.now),
				 0);
		broker_fixture_clear(&w);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(expected_finish_is_better_where_work_differs),
		cmocka_unit_test(same_seed_gives_the_same_figures),
		cmocka_unit_test(outstanding_work_counts_and_not_requests),
		cmocka_unit_test(slow_server_gets_fewer_requests),
		cmocka_unit_test(equal_servers_are_used_in_turn),
		cmocka_unit_test(unsafe_requests_avoid_doubted_servers),
		cmocka_unit_test(
			long_class_is_not_overdue_by_the_mean_of_its_route),
		cmocka_unit_test(new_broker_places_by_the_copy),
		cmocka_unit_test(older_daemon_reports_no_traits),
		cmocka_unit_test(explanation_matches_the_decision),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
