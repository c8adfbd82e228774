/* Guards against writes that are executed twice, writes with an unknown outcome
 * that are reported as not executed or the reverse, and calls that hang. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include "../bench/fleet/ports.h"
#include "celeryglade/counters.h"
#include "internal/store.h"
#include "support/fake_store.h"

struct fixture {
	struct fake_store *fake;
	struct cg_store *store;
	uint16_t ports; /* The second port has no listener. */
};

static struct cg_store *client_for(uint16_t port)
{
	char url[64];

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u", port);
	return cg_store_new(url, 1);
}

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	*state = f;
	f->ports = claim_test_ports(2);
	f->fake = fake_store_start(f->ports);
	f->store = client_for(f->ports);
	return f->fake && f->store ? 0 : -1;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	cg_store_free(f->store);
	fake_store_stop(f->fake);
	g_free(f);
	return 0;
}

static void malformed_urls_are_refused(void **state)
{
	(void)state;
	assert_null(cg_store_new("ftp://127.0.0.1:1", 1));
	assert_null(cg_store_new("http://127.0.0.1", 1));
	assert_null(cg_store_new("http://127.0.0.1:99999", 1));
}

static void conditional_writes_are_enforced(void **state)
{
	struct fixture *f = *state;
	uint64_t v1;
	uint64_t v2;
	uint64_t v;
	GBytes *body;

	assert_int_equal(cg_store_get(f->store, "a", &body, &v),
			 CG_STORE_NOT_FOUND);
	assert_int_equal(cg_store_create(f->store, "a", "one", 3, &v1),
			 CG_STORE_OK);
	assert_int_equal(cg_store_create(f->store, "a", "two", 3, NULL),
			 CG_STORE_CONFLICT);
	assert_int_equal(cg_store_update(f->store, "a", v1, "two", 3, &v2),
			 CG_STORE_OK);
	assert_int_equal(cg_store_update(f->store, "a", v1, "bad", 3, NULL),
			 CG_STORE_CONFLICT);
	assert_int_equal(cg_store_get(f->store, "a", &body, &v), CG_STORE_OK);
	assert_int_equal(v, v2);
	assert_int_equal(g_bytes_get_size(body), 3);
	assert_memory_equal(g_bytes_get_data(body, NULL), "two", 3);
	g_bytes_unref(body);
	assert_int_equal(cg_store_delete(f->store, "a", v1), CG_STORE_CONFLICT);
	assert_int_equal(cg_store_delete(f->store, "a", v2), CG_STORE_OK);
}

static void largest_value_is_accepted(void **state)
{
	struct fixture *f = *state;
	size_t len = 1 << 20;
	char *big = g_malloc(len);
	GBytes *body;
	uint64_t v;

	memset(big, 'x', len);
	assert_int_equal(cg_store_create(f->store, "big", big, len, &v),
			 CG_STORE_OK);
	assert_int_equal(cg_store_get(f->store, "big", &body, &v), CG_STORE_OK);
	assert_int_equal(g_bytes_get_size(body), len);
	assert_memory_equal(g_bytes_get_data(body, NULL), big, len);
	g_bytes_unref(body);
	g_free(big);
}

static void oversized_response_fails(void **state)
{
	struct fixture *f = *state;
	size_t len = 2 << 20;
	char *big = g_malloc0(len);
	GBytes *body;
	uint64_t v;

	fake_store_put(f->fake, "huge", big, len);
	assert_int_equal(cg_store_get(f->store, "huge", &body, &v),
			 CG_STORE_UNAVAILABLE);
	g_free(big);
}

/* A write whose response is lost may have been executed. It must be sent only
 * once, also on a session with a persistent connection. */
static void write_with_lost_response_is_unknown_and_sent_once(void **state)
{
	struct fixture *f = *state;
	int writes;
	uint64_t v;
	GBytes *body;

	assert_int_equal(cg_store_create(f->store, "warm", "x", 1, NULL),
			 CG_STORE_OK);
	writes = f->fake->writes;
	f->fake->lose_writes = 1;
	assert_int_equal(cg_store_create(f->store, "lost", "y", 1, NULL),
			 CG_STORE_UNKNOWN);
	assert_int_equal(f->fake->writes, writes + 1);
	assert_int_equal(cg_store_get(f->store, "lost", &body, &v),
			 CG_STORE_OK);
	g_bytes_unref(body);
}

static void refused_connection_is_unavailable(void **state)
{
	struct fixture *f = *state;
	struct cg_store *s = client_for(f->ports + 1);
	GBytes *body;
	uint64_t v;

	assert_int_equal(cg_store_create(s, "a", "x", 1, NULL),
			 CG_STORE_UNAVAILABLE);
	assert_int_equal(cg_store_get(s, "a", &body, &v), CG_STORE_UNAVAILABLE);
	cg_store_free(s);
}

static void status_503_is_unavailable_and_500_unknown(void **state)
{
	struct fixture *f = *state;
	uint64_t errors = cg_counter_read(CG_COUNTER_STORE_ERRORS);

	f->fake->down = true;
	assert_int_equal(cg_store_create(f->store, "d", "x", 1, NULL),
			 CG_STORE_UNAVAILABLE);
	f->fake->down = false;
	f->fake->broken = true;
	assert_int_equal(cg_store_create(f->store, "d", "x", 1, NULL),
			 CG_STORE_UNKNOWN);
	f->fake->broken = false;
	assert_int_equal(cg_counter_read(CG_COUNTER_STORE_ERRORS), errors + 2);
}

static void slow_store_times_out(void **state)
{
	struct fixture *f = *state;
	struct cg_clock clk;
	GBytes *body;
	uint64_t v;
	cg_ms start;

	cg_clock_init_boot(&clk);
	start = cg_clock_now(&clk);
	f->fake->slow_ms = 2500;
	assert_int_equal(cg_store_create(f->store, "slow", "x", 1, NULL),
			 CG_STORE_UNKNOWN);
	assert_int_equal(cg_store_get(f->store, "slow", &body, &v),
			 CG_STORE_UNAVAILABLE);
	f->fake->slow_ms = 0;
	assert_in_range(cg_clock_now(&clk) - start, 1500, 4500);
}

static void *change_later(void *arg)
{
	cg_sleep(300);
	fake_store_put(arg, "w", "new", 3);
	return NULL;
}

static void watch_ends_with_the_change(void **state)
{
	struct fixture *f = *state;
	uint64_t known = fake_store_put(f->fake, "w", "old", 3);
	uint64_t v;
	pthread_t t;
	GBytes *body;

	assert_int_equal(cg_store_watch(f->store, "w", known, 200, &body, &v),
			 CG_STORE_UNCHANGED);
	assert_int_equal(pthread_create(&t, NULL, change_later, f->fake), 0);
	assert_int_equal(cg_store_watch(f->store, "w", known, 5000, &body, &v),
			 CG_STORE_OK);
	assert_true(v != known);
	assert_memory_equal(g_bytes_get_data(body, NULL), "new", 3);
	g_bytes_unref(body);
	pthread_join(t, NULL);
}

static void unsafe_names_are_rejected(void **state)
{
	struct fixture *f = *state;
	GBytes *body;
	uint64_t v;

	assert_int_equal(cg_store_get(f->store, "a b", &body, &v),
			 CG_STORE_REJECTED);
	assert_int_equal(cg_store_get(f->store, "a?watch=1", &body, &v),
			 CG_STORE_REJECTED);
	assert_int_equal(cg_store_create(f->store, "", "x", 1, NULL),
			 CG_STORE_REJECTED);
}

static void *read_repeatedly(void *arg)
{
	struct cg_store *s = arg;

	for (int i = 0; i < 50; i++) {
		char name[32];
		GBytes *body;
		uint64_t v;
		uint64_t got;

		g_snprintf(name, sizeof(name), "t%p/%d", (void *)&body, i);
		if (cg_store_create(s, name, name, strlen(name), &v) !=
			    CG_STORE_OK ||
		    cg_store_get(s, name, &body, &got) != CG_STORE_OK)
			return (void *)1;
		if (got != v || memcmp(g_bytes_get_data(body, NULL), name,
				       strlen(name)) != 0)
			return (void *)1;
		g_bytes_unref(body);
	}
	return NULL;
}

static void concurrent_threads_get_own_responses(void **state)
{
	struct fixture *f = *state;
	pthread_t t[6];
	void *rc;

	for (int i = 0; i < 6; i++)
		assert_int_equal(
			pthread_create(&t[i], NULL, read_repeatedly, f->store),
			0);
	for (int i = 0; i < 6; i++) {
		pthread_join(t[i], &rc);
		assert_null(rc);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(malformed_urls_are_refused),
		cmocka_unit_test(conditional_writes_are_enforced),
		cmocka_unit_test(largest_value_is_accepted),
		cmocka_unit_test(oversized_response_fails),
		cmocka_unit_test(
			write_with_lost_response_is_unknown_and_sent_once),
		cmocka_unit_test(refused_connection_is_unavailable),
		cmocka_unit_test(status_503_is_unavailable_and_500_unknown),
		cmocka_unit_test(slow_store_times_out),
		cmocka_unit_test(watch_ends_with_the_change),
		cmocka_unit_test(unsafe_names_are_rejected),
		cmocka_unit_test(concurrent_threads_get_own_responses),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
