/* Tests what the gateway takes from the store, with the stand-in for it. Guards
 * against servers that stay in use after their entries were removed, against
 * servers that are given up because their entries expired in an outage, and
 * against a store that returns from an older copy: its revisions are given out
 * again, servers that left and configurations that were replaced are back, and
 * what daemons wrote is lost. */
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
/* The entries of a leader that were lost with a copy are back by then. */
#define WRITTEN_AGAIN_MS 3000
/* Return of the store until its reads prove freshness again. */
#define PROVED_AGAIN_MS 4000

static unsigned int parsed_configs;

static struct cgw_table *count_config(const char *text, size_t len, char **why)
{
	parsed_configs++;
	return platform_format.read_config(text, len, why);
}

struct fixture {
	struct cg_clock clk;
	struct cgw_store_format format;
	struct cgw_settings settings;
	struct cgw_loop *loop;
	struct cgw_upstream *client;
	struct objects *store;
	struct cgw_feed *feed;
	char address[32];
	char secret[65]; /* as last reported */
	uint64_t other_version; /* that another daemon has */
	uint64_t other_era; /* that another daemon has seen */
	cg_ms started_at;
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
	struct fixture *f = arg;

	for (size_t i = 0; i < n; i++)
		if (*e[i].secret)
			g_strlcpy(f->secret, e[i].secret, sizeof(f->secret));
}

static void put_entry(struct fixture *f, const char *name, const char *state,
		      int seq, int born)
{
	char *spec = g_strdup_printf(
		"{\"service\":\"svc\",\"addr\":\"127.0.0.1:9\","
		"\"zone\":\"a\",\"version\":\"v1\",\"max_concurrency\":3,"
		"\"state\":\"%s\",\"warmup_left_ms\":0,\"seq\":%d,"
		"\"born\":%d}",
		state, seq, born);

	objects_put(f->store, "servers", name, spec);
	g_free(spec);
}

static void put_server(struct fixture *f, const char *name)
{
	put_entry(f, name, "ready", 1, 1000);
}

static void put_config(struct fixture *f, int version, bool key)
{
	char *spec = g_strdup_printf(
		"{\"version\":\"r%d\",\"limits\":{\"max_header_bytes\":16384,"
		"\"max_body_bytes\":1000,\"header_timeout_ms\":3000,"
		"\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"acc\","
		"\"api_keys\":[%s],\"priority\":1,\"rate_per_s\":0,"
		"\"burst\":0}],\"listeners\":[],\"clusters\":[]}",
		version, key ? "\"k1\"" : "");

	objects_put(f->store, "config", "main", spec);
	g_free(spec);
}

static void run(struct fixture *f, cg_ms ms)
{
	cg_ms end = cg_clock_now(&f->clk) + ms;

	while (cg_clock_now(&f->clk) < end)
		cgw_loop_step(f->loop, 10);
}

static bool is_used(struct fixture *f, const char *id)
{
	GArray *servers = cgw_feed_servers(f->feed);

	for (guint i = 0; i < servers->len; i++) {
		struct cgw_server_facts *s =
			&g_array_index(servers, struct cgw_server_facts, i);

		if (!strcmp(s->id, id) && !s->leaving)
			return true;
	}
	return false;
}

/* Runs for a time and returns whether the server was used at the end of any
 * step. */
static bool used_within(struct fixture *f, const char *id, cg_ms ms)
{
	cg_ms end = cg_clock_now(&f->clk) + ms;
	bool used = false;

	while (cg_clock_now(&f->clk) < end) {
		cgw_loop_step(f->loop, 10);
		used |= is_used(f, id);
	}
	return used;
}

static uint64_t version_in_force(struct fixture *f)
{
	struct cgw_table *t = cgw_feed_table(f->feed);

	return t ? cgw_table_version(t) : 0;
}

/* Whether a read that starts after this moment proves the configuration. */
static bool proved_within(struct fixture *f, cg_ms ms)
{
	cg_ms start = cg_clock_now(&f->clk) + 1;

	while (cgw_feed_proved_at(f->feed) < start &&
	       cg_clock_now(&f->clk) < start + ms) {
		/* Other daemons say so with each pong. */
		cgw_feed_record_known_version(f->feed, f->other_version);
		cgw_feed_record_era(f->feed, f->other_era);
		cgw_loop_step(f->loop, 10);
	}
	return cgw_feed_proved_at(f->feed) >= start;
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
	const struct cgw_feed_events events = {
		.arg = f,
		.table = on_table,
		.servers = on_servers,
		.fleet = on_fleet,
	};
	char name[8];

	memset(f, 0, sizeof(*f));
	cg_clock_init_boot(&f->clk);
	f->started_at = cg_clock_now(&f->clk);
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
	f->format = platform_format;
	f->format.read_config = count_config;
	parsed_configs = 0;
	f->feed = cgw_feed_new(f->loop, f->client, &f->settings, &f->format,
			       &events);
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

/* The store is away for a moment and returns from its copy; @meanwhile writes
 * what is written before the daemon reads it again. */
static void return_from_copy(struct fixture *f,
			     void (*meanwhile)(struct fixture *f))
{
	objects_set_fault(f->store, OBJECTS_FAULT_503);
	run(f, SHORT_OUTAGE_MS);
	objects_restore_copy(f->store);
	if (meanwhile)
		meanwhile(f);
	objects_set_fault(f->store, OBJECTS_FAULT_NONE);
}

static void put_three_servers(struct fixture *f)
{
	put_server(f, "u0");
	put_server(f, "u1");
	put_server(f, "u2");
}

/* The watch goes on from a revision that the store has given out again: the
 * changes up to it are missed until the whole list is read, up to 15 s later. */
static void reissued_revision_hides_no_change(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	objects_save_copy(f.store);
	put_server(&f, "t0");
	put_server(&f, "t1");
	assert_true(run_until(&f, "t1", true) < FOLLOW_MS);
	run(&f, WAIT_MS / 6);
	return_from_copy(&f, put_three_servers);
	assert_true(run_until(&f, "u0", true) < FOLLOW_MS);
	assert_true(in_force(&f, "u1"));
	assert_true(in_force(&f, "u2"));
	teardown(&f);
}

/* A server whose entry was written after the copy is not given up before it has
 * had the time to write it again. */
static void servers_that_the_copy_lacks_are_kept_for_a_while(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	objects_save_copy(f.store);
	put_server(&f, "t0");
	put_server(&f, "t1");
	assert_true(run_until(&f, "t1", true) < FOLLOW_MS);
	return_from_copy(&f, NULL);
	run(&f, GRACE_MS - 500);
	assert_true(in_force(&f, "t0"));
	put_entry(&f, "t0", "ready", 2, 1000);
	run_until(&f, "t1", false);
	run(&f, GRACE_MS);
	assert_true(in_force(&f, "t0"));
	assert_false(in_force(&f, "t1"));
	teardown(&f);
}

/* The copy shows servers as ready that have reported since that they drain, or
 * that have removed their entries. They would get requests again. */
static void departed_servers_stay_out_of_use(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	put_entry(&f, "s0", "ready", 5, 1000);
	put_entry(&f, "s1", "ready", 5, 1000);
	put_entry(&f, "s2", "ready", 5, 1000);
	run(&f, 1000);
	objects_save_copy(f.store);
	put_entry(&f, "s0", "draining", 8, 1000);
	objects_remove(f.store, "servers", "s1");
	objects_remove(f.store, "servers", "s2");
	run(&f, 1500);
	assert_false(is_used(&f, "s0"));
	assert_false(in_force(&f, "s1"));
	return_from_copy(&f, NULL);
	assert_false(used_within(&f, "s0", GRACE_MS));
	assert_false(used_within(&f, "s1", 300));
	/* Written before the server reported that it drains. */
	put_entry(&f, "s0", "ready", 7, 1000);
	assert_false(used_within(&f, "s0", 1000));
	put_entry(&f, "s0", "ready", 9, 1000);
	put_entry(&f, "s1", "ready", 6, 1000);
	put_entry(&f, "s2", "ready", 1, 2000);
	run(&f, FOLLOW_MS);
	assert_true(is_used(&f, "s0"));
	assert_true(is_used(&f, "s1"));
	assert_true(is_used(&f, "s2"));
	teardown(&f);
}

/* The copy holds the configuration before a key was withdrawn. It must not come
 * into force, and reading it does not prove that the one in force is the latest;
 * after the operator has written that again, reading it does. */
static void replaced_configuration_does_not_come_back(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	put_config(&f, 3, true);
	assert_true(proved_within(&f, WAIT_MS));
	objects_save_copy(f.store);
	put_config(&f, 6, false);
	while (version_in_force(&f) != 6)
		cgw_loop_step(f.loop, 10);
	return_from_copy(&f, NULL);
	assert_false(proved_within(&f, PROVED_AGAIN_MS));
	assert_int_equal(version_in_force(&f), 6);
	put_config(&f, 6, false);
	assert_true(proved_within(&f, PROVED_AGAIN_MS));
	teardown(&f);
}

/* This daemon has not seen the version that the store has lost, but another one
 * has: reading the version in force from the copy proves nothing until the
 * others have had the time to say so. */
static void version_that_another_daemon_knows_forbids_proofs(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	put_config(&f, 3, true);
	assert_true(proved_within(&f, WAIT_MS));
	objects_save_copy(f.store);
	return_from_copy(&f, NULL);
	assert_false(proved_within(&f, 1000));
	f.other_version = 6;
	assert_false(proved_within(&f, PROVED_AGAIN_MS));
	assert_true(cgw_feed_is_behind(f.feed));
	put_config(&f, 6, false);
	assert_true(proved_within(&f, PROVED_AGAIN_MS));
	assert_int_equal(version_in_force(&f), 6);
	assert_false(cgw_feed_is_behind(f.feed));
	teardown(&f);
}

/* A change of era with nothing lost must not keep the daemon from proving that
 * its configuration is the latest. */
static void unchanged_configuration_is_proved_again(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	put_config(&f, 3, true);
	assert_true(proved_within(&f, WAIT_MS));
	objects_save_copy(f.store);
	return_from_copy(&f, NULL);
	assert_true(proved_within(&f, PROVED_AGAIN_MS));
	teardown(&f);
}

/* One faulty message of another daemon must not keep this one from proving its
 * configuration for good: all requests with keys would be refused. */
static void reports_that_are_not_repeated_end(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	put_config(&f, 3, true);
	assert_true(proved_within(&f, WAIT_MS));
	cgw_feed_record_era(f.feed, G_MAXUINT64);
	cgw_feed_record_known_version(f.feed, G_MAXUINT64);
	assert_true(proved_within(&f, PROVED_AGAIN_MS));
	teardown(&f);
}

/* A response of an earlier era that arrives late shows a state that the store has
 * lost. */
static void response_of_an_earlier_era_proves_nothing(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	put_config(&f, 3, true);
	assert_true(proved_within(&f, WAIT_MS));
	f.other_era = 2;
	proved_within(&f, 1000);
	put_server(&f, "t0");
	assert_false(proved_within(&f, PROVED_AGAIN_MS));
	assert_false(proved_within(&f, 1500));
	assert_false(in_force(&f, "t0"));
	objects_set_era(f.store, 2);
	assert_true(proved_within(&f, PROVED_AGAIN_MS));
	assert_true(run_until(&f, "t0", true) < FOLLOW_MS);
	teardown(&f);
}

static bool is_stored_within(struct fixture *f, const char *name, cg_ms ms)
{
	cg_ms end = cg_clock_now(&f->clk) + ms;
	char *text = NULL;

	while (!(text = objects_get(f->store, "celeryglade-fleet", name)) &&
	       cg_clock_now(&f->clk) < end)
		cgw_loop_step(f->loop, 10);
	g_free(text);
	return text != NULL;
}

/* Without the entry, daemons that start do not find this one; with another
 * secret, they do not understand it. */
static void lost_entries_of_the_fleet_are_written_again(void **state)
{
	struct fixture f;
	char *secret, *again;

	(void)state;
	setup(&f);
	objects_save_copy(f.store);
	cgw_feed_start(f.feed);
	assert_true(is_stored_within(&f, "secret", WAIT_MS));
	assert_true(is_stored_within(&f, "d0", WAIT_MS));
	run(&f, 500);
	secret = objects_get(f.store, "celeryglade-fleet", "secret");
	return_from_copy(&f, NULL);
	assert_true(is_stored_within(&f, "d0", WRITTEN_AGAIN_MS));
	assert_true(is_stored_within(&f, "secret", WRITTEN_AGAIN_MS));
	again = objects_get(f.store, "celeryglade-fleet", "secret");
	assert_string_equal(again, secret);
	g_free(secret);
	g_free(again);
	teardown(&f);
}

/* A daemon that started meanwhile has created another secret. The one that the
 * fleet uses is kept: those that do not read the store could not learn of
 * another. */
static void secret_in_use_replaces_a_new_one(void **state)
{
	struct fixture f;
	char *secret, *again = NULL;

	(void)state;
	setup(&f);
	objects_save_copy(f.store);
	cgw_feed_start(f.feed);
	assert_true(is_stored_within(&f, "secret", WAIT_MS));
	run(&f, 500);
	secret = objects_get(f.store, "celeryglade-fleet", "secret");
	objects_restore_copy(f.store);
	objects_put(f.store, "celeryglade-fleet", "secret",
		    "{\"secret\":\"00112233\"}");
	run(&f, WRITTEN_AGAIN_MS);
	again = objects_get(f.store, "celeryglade-fleet", "secret");
	assert_string_equal(again, secret);
	g_free(secret);
	g_free(again);
	teardown(&f);
}

/* This daemon starts when the store has lost the secret and all entries, and
 * creates a secret; a leader replaces that by the one in use. Without learning of
 * it, the daemon would stay cut off from the fleet. */
static void created_secret_gives_way_to_the_one_in_use(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	cgw_feed_start(f.feed);
	assert_true(is_stored_within(&f, "secret", WAIT_MS));
	run(&f, 500);
	objects_put(f.store, "celeryglade-fleet", "secret",
		    "{\"secret\":\"00112233\"}");
	while (strcmp(f.secret, "00112233") != 0 &&
	       cg_clock_now(&f.clk) < f.started_at + 2 * WAIT_MS)
		cgw_loop_step(f.loop, 10);
	assert_string_equal(f.secret, "00112233");
	teardown(&f);
}

/* The write of the own entry or of the secret is answered and then lost. */
static void acknowledged_writes_that_are_lost_are_repeated(void **state)
{
	(void)state;
	for (int written = 0; written < 2; written++) {
		struct fixture f;

		setup(&f);
		objects_save_copy(f.store);
		if (!written)
			objects_lose_next_write(f.store);
		cgw_feed_start(f.feed);
		assert_true(is_stored_within(&f, "d0", WAIT_MS));
		if (written)
			objects_lose_next_write(f.store);
		run(&f, WRITTEN_AGAIN_MS);
		assert_true(is_stored_within(&f, "d0", 0));
		assert_true(is_stored_within(&f, "secret", 0));
		teardown(&f);
	}
}

/* Regression: a leader parsed the configuration at each read, a tenth of a second
 * of a small machine for 1,400 routes. */
static void unchanged_configuration_is_parsed_once(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	put_config(&f, 5, true);
	assert_true(proved_within(&f, WAIT_MS));
	assert_true(proved_within(&f, WAIT_MS));
	assert_int_equal(parsed_configs, 1);
	put_config(&f, 5, false);
	assert_true(proved_within(&f, WAIT_MS));
	assert_int_equal(parsed_configs, 2);
	put_config(&f, 6, false);
	assert_true(proved_within(&f, WAIT_MS));
	assert_int_equal(parsed_configs, 3);
	assert_int_equal(version_in_force(&f), 6);
	teardown(&f);
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
		cmocka_unit_test(reissued_revision_hides_no_change),
		cmocka_unit_test(
			servers_that_the_copy_lacks_are_kept_for_a_while),
		cmocka_unit_test(departed_servers_stay_out_of_use),
		cmocka_unit_test(replaced_configuration_does_not_come_back),
		cmocka_unit_test(
			version_that_another_daemon_knows_forbids_proofs),
		cmocka_unit_test(unchanged_configuration_is_proved_again),
		cmocka_unit_test(unchanged_configuration_is_parsed_once),
		cmocka_unit_test(response_of_an_earlier_era_proves_nothing),
		cmocka_unit_test(reports_that_are_not_repeated_end),
		cmocka_unit_test(lost_entries_of_the_fleet_are_written_again),
		cmocka_unit_test(secret_in_use_replaces_a_new_one),
		cmocka_unit_test(created_secret_gives_way_to_the_one_in_use),
		cmocka_unit_test(
			acknowledged_writes_that_are_lost_are_repeated),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
