/* Tests what the gateway takes from the store, with the stand-in for it. Guards
 * against servers that stay in use after their entries were removed, and against
 * servers that are given up because their entries expired in an outage. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <string.h>

#include "../platform/format.h"
#include "../standins/support/object_store.h"
#include "gateway/feed.h"

#define SERVERS	     3
#define HEARTBEAT_MS 1500
/* Removal until the servers in force must show it: two watches and a failed
 * call. */
#define FOLLOW_MS	2000
#define GRACE_MS	2200
#define WAIT_MS		6000
#define SHORT_OUTAGE_MS 300
/* The next read of the configuration, its timeout and a margin. */
#define NOTICED_MS     (500 + 700 + 100)
#define DEEP_LEVELS    100
#define LONG_OUTAGE_MS (2 * HEARTBEAT_MS + 400)

struct fixture {
	struct cg_clock clk;
	struct cgw_settings settings;
	struct cgw_loop *loop;
	struct cgw_upstream *client;
	struct objects *store;
	struct cgw_feed *feed;
	char address[32];
};

static void on_table(void *arg, struct cgw_table *t)
{
	(void)arg;
	(void)t;
}

static void on_servers(void *arg, const struct cgw_server_facts *s, size_t n)
{
	(void)arg;
	(void)s;
	(void)n;
}

static void on_fleet(void *arg, const struct cgw_fleet_entry *e, size_t n)
{
	(void)arg;
	(void)e;
	(void)n;
}

static void put_server(struct fixture *f, const char *name)
{
	objects_put(f->store, "servers", name,
		    "{\"service\":\"svc\",\"addr\":\"127.0.0.1:9\","
		    "\"zone\":\"a\",\"version\":\"v1\",\"max_concurrency\":3,"
		    "\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":1,"
		    "\"born\":1000}");
}

static void run(struct fixture *f, cg_ms ms)
{
	cg_ms end = cg_clock_now(&f->clk) + ms;

	while (cg_clock_now(&f->clk) < end)
		cgw_loop_step(f->loop, 10);
}

static bool in_force(struct fixture *f, const char *id)
{
	GArray *servers = cgw_feed_servers(f->feed);

	for (guint i = 0; i < servers->len; i++)
		if (!strcmp(g_array_index(servers, struct cgw_server_facts, i)
				    .id,
			    id))
			return true;
	return false;
}

/* Runs until the server is or is no longer in force. Returns how long that
 * took, or WAIT_MS. */
static cg_ms run_until(struct fixture *f, const char *id, bool wanted)
{
	cg_ms start = cg_clock_now(&f->clk);

	while (in_force(f, id) != wanted &&
	       cg_clock_now(&f->clk) - start < WAIT_MS)
		cgw_loop_step(f->loop, 10);
	return cg_clock_now(&f->clk) - start;
}

static void setup(struct fixture *f)
{
	static const struct cgw_feed_events events = {
		.table = on_table,
		.servers = on_servers,
		.fleet = on_fleet,
	};
	char name[8];

	memset(f, 0, sizeof(*f));
	cg_clock_init_boot(&f->clk);
	f->loop = cgw_loop_new(&f->clk);
	f->client = cgw_upstream_new(f->loop);
	f->store = objects_start(0, 0);
	assert_non_null(f->store);
	g_snprintf(f->address, sizeof(f->address), "127.0.0.1:%u",
		   objects_port(f->store));
	f->settings.store = f->address;
	f->settings.instance = "d0";
	f->settings.domain = "a";
	f->settings.address = "127.0.0.1";
	f->settings.config_bound_ms = 2000;
	f->settings.server_heartbeat_ms = HEARTBEAT_MS;
	for (int i = 0; i < SERVERS; i++) {
		g_snprintf(name, sizeof(name), "s%d", i);
		put_server(f, name);
	}
	f->feed = cgw_feed_new(f->loop, f->client, &f->settings,
			       &platform_format, &events);
	cgw_feed_set_polling(f->feed, true);
	assert_true(run_until(f, "s2", true) < WAIT_MS);
}

static void teardown(struct fixture *f)
{
	cgw_feed_free(f->feed);
	cgw_upstream_free(f->client);
	objects_stop(f->store);
	cgw_loop_free(f->loop);
}

static void outage(struct fixture *f, cg_ms ms)
{
	objects_set_fault(f->store, OBJECTS_FAULT_503);
	run(f, ms);
	objects_set_fault(f->store, OBJECTS_FAULT_NONE);
}

/* A call that fails once, such as a watch that is cut, is no outage. It kept
 * every removed server in use for 2.2 s and more. */
static void one_failed_call_keeps_no_removed_server(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	for (int i = 0; i < SERVERS; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "s%d", i);
		outage(&f, SHORT_OUTAGE_MS);
		objects_remove(f.store, "servers", name);
		assert_true(run_until(&f, name, false) < FOLLOW_MS);
	}
	teardown(&f);
}

/* A server whose entry expired in an outage stays in use until it has had the
 * time to write it again, and not longer. */
static void entries_that_expired_in_an_outage_are_kept_for_a_while(void **state)
{
	struct fixture f;
	cg_ms since;

	(void)state;
	setup(&f);
	objects_set_fault(f.store, OBJECTS_FAULT_503);
	run(&f, LONG_OUTAGE_MS);
	objects_remove(f.store, "servers", "s0");
	objects_remove(f.store, "servers", "s1");
	objects_set_fault(f.store, OBJECTS_FAULT_NONE);
	since = cg_clock_now(&f.clk);
	run(&f, GRACE_MS - 200);
	assert_true(in_force(&f, "s0"));
	assert_true(in_force(&f, "s1"));
	put_server(&f, "s1");
	run_until(&f, "s0", false);
	/* The first call after the outage comes up to a second later. */
	assert_true(cg_clock_now(&f.clk) - since < GRACE_MS + 1200);
	run(&f, GRACE_MS);
	assert_true(in_force(&f, "s1"));
	teardown(&f);
}

/* A daemon that reads the store for its domain must notice within two seconds
 * that it has lost its path there, and hand over: by then nothing may be sent to a
 * server that says meanwhile that it leaves. */
static void silent_store_is_noticed_with_the_first_timeout(void **state)
{
	struct fixture f;
	cg_ms since;

	(void)state;
	setup(&f);
	/* The longest wait for the next read begins with the end of one. */
	since = cgw_feed_last_config_read(f.feed);
	while (cgw_feed_last_config_read(f.feed) == since)
		cgw_loop_step(f.loop, 10);
	assert_true(cgw_feed_is_healthy(f.feed));
	objects_set_fault(f.store, OBJECTS_FAULT_NO_RESPONSE);
	since = cg_clock_now(&f.clk);
	while (cgw_feed_is_healthy(f.feed) &&
	       cg_clock_now(&f.clk) - since < WAIT_MS)
		cgw_loop_step(f.loop, 10);
	assert_in_range(cg_clock_now(&f.clk) - since, 0, NOTICED_MS);
	teardown(&f);
}

/* A call that is still running when the daemon stops polling tells it nothing
 * when it fails. Regression: no call followed that could succeed, so that the
 * daemon never led again. */
static void left_over_call_marks_no_failure(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	objects_set_fault(f.store, OBJECTS_FAULT_NO_RESPONSE);
	run(&f, 300);
	cgw_feed_set_polling(f.feed, false);
	run(&f, 2000);
	objects_set_fault(f.store, OBJECTS_FAULT_NONE);
	cgw_feed_refresh(f.feed);
	run(&f, 1500);
	assert_true(cgw_feed_is_healthy(f.feed));
	teardown(&f);
}

/* Another writer replaces an entry by one that no parser takes. That server is no
 * longer used, and the list is still followed. */
static void unreadable_entry_does_not_stop_the_feed(void **state)
{
	GString *deep = g_string_new("0");
	struct fixture f;

	(void)state;
	for (int i = 0; i < DEEP_LEVELS; i++) {
		g_string_prepend(deep, "{\"a\":[");
		g_string_append(deep, "]}");
	}
	setup(&f);
	objects_put(f.store, "servers", "s1", deep->str);
	assert_true(run_until(&f, "s1", false) < FOLLOW_MS);
	put_server(&f, "t0");
	assert_true(run_until(&f, "t0", true) < FOLLOW_MS);
	objects_remove(f.store, "servers", "s0");
	assert_true(run_until(&f, "s0", false) < FOLLOW_MS);
	assert_true(in_force(&f, "s2"));
	teardown(&f);
	g_string_free(deep, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(one_failed_call_keeps_no_removed_server),
		cmocka_unit_test(
			entries_that_expired_in_an_outage_are_kept_for_a_while),
		cmocka_unit_test(
			silent_store_is_noticed_with_the_first_timeout),
		cmocka_unit_test(left_over_call_marks_no_failure),
		cmocka_unit_test(unreadable_entry_does_not_stop_the_feed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
