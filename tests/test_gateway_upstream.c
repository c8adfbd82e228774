/* The client: one send for one call, own responses only, ended at once. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <string.h>

#include "gateway/upstream.h"
#include "support/scripted_server.h"

struct fixture {
	struct cg_clock clk;
	struct cgw_loop *loop;
	struct cgw_upstream *client;
	struct scripted_server server;
	struct cgw_call call;
	GByteArray *request;
	bool done;
};

static void on_done(struct cgw_call *c)
{
	caa_container_of(c, struct fixture, call)->done = true;
}

static void setup(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	cg_clock_init_boot(&f->clk);
	f->loop = cgw_loop_new(&f->clk);
	f->client = cgw_upstream_new(f->loop);
	f->request = g_byte_array_new();
	assert_int_equal(scripted_start(&f->server), 0);
}

static void teardown(struct fixture *f)
{
	cgw_call_clear(&f->call);
	g_byte_array_unref(f->request);
	cgw_upstream_free(f->client);
	cgw_loop_free(f->loop);
	scripted_stop(&f->server);
}

static void start(struct fixture *f, const char *id, cg_ms reuse, cg_ms time)
{
	char *text = g_strdup_printf("POST / HTTP/1.1\r\nHost: h\r\n"
				     "X-Request-Id: %s\r\n"
				     "Content-Length: 2\r\n\r\nhi",
				     id);

	cgw_loop_step(f->loop, 0);
	g_byte_array_set_size(f->request, 0);
	g_byte_array_append(f->request, (const guint8 *)text,
			    (guint)strlen(text));
	g_free(text);
	g_snprintf(f->call.address, sizeof(f->call.address), "127.0.0.1:%u",
		   f->server.port);
	f->call.request = f->request;
	f->call.id_header = "X-Request-Id";
	f->call.id = id;
	f->call.connect_ms = 500;
	f->call.reuse_ms = reuse;
	f->call.due = cgw_loop_now(f->loop) + time;
	f->call.done = on_done;
	f->done = false;
	cgw_call_start(f->client, &f->call);
}

static void run(struct fixture *f)
{
	for (int i = 0; i < 400 && !f->done; i++)
		cgw_loop_step(f->loop, 20);
	assert_true(f->done);
}

static void call(struct fixture *f, const char *id)
{
	start(f, id, 5000, 2000);
	run(f);
}

static void takes_a_whole_response(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	call(&f, "a1");
	assert_int_equal(f.call.end, CGW_CALL_RESPONDED);
	assert_int_equal(f.call.status, 200);
	assert_memory_equal(f.call.body->data, "the whole body", 14);
	assert_string_equal(cgw_call_header(&f.call, "x-response-seal"), "s");
	teardown(&f);
}

static void keeps_connections(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	call(&f, "a1");
	call(&f, "a2");
	call(&f, "a3");
	assert_int_equal(f.server.connections, 1);
	start(&f, "a4", 0, 2000);
	run(&f);
	assert_int_equal(f.server.connections, 2);
	teardown(&f);
}

/* A server that reads a second request on a kept connection and closes gets it
 * once; libraries that send again by themselves double it. */
static void never_sends_twice(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	call(&f, "a1");
	f.server.mode = SCRIPTED_CLOSE;
	call(&f, "a2");
	assert_int_equal(f.call.end, CGW_CALL_LOST);
	assert_true(f.call.sent);
	assert_int_equal(scripted_runs(&f.server, "a2"), 1);
	assert_int_equal(f.server.requests, 2);
	teardown(&f);
}

static void tells_truncated_from_whole(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	f.server.mode = SCRIPTED_TRUNCATE;
	call(&f, "a1");
	assert_int_equal(f.call.end, CGW_CALL_TRUNCATED);
	f.server.mode = SCRIPTED_UNFRAMED;
	call(&f, "a2");
	assert_int_equal(f.call.end, CGW_CALL_RESPONDED);
	assert_int_equal(f.call.body->len, 14);
	f.server.mode = SCRIPTED_GARBAGE;
	call(&f, "a3");
	assert_int_equal(f.call.end, CGW_CALL_GARBLED);
	teardown(&f);
}

/* A response of another request is skipped, the own one behind it is taken,
 * and the connection is not used again. */
static void skips_responses_of_others(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	f.server.mode = SCRIPTED_CROSSED;
	call(&f, "a1");
	assert_int_equal(f.call.end, CGW_CALL_RESPONDED);
	assert_string_equal(cgw_call_header(&f.call, "X-Request-Id"), "a1");
	f.server.mode = SCRIPTED_OK;
	call(&f, "a2");
	assert_int_equal(f.server.connections, 2);
	teardown(&f);
}

static void extra_bytes_end_a_connection(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	f.server.mode = SCRIPTED_EXTRA;
	call(&f, "a1");
	assert_int_equal(f.call.end, CGW_CALL_RESPONDED);
	f.server.mode = SCRIPTED_OK;
	g_usleep(50000);
	call(&f, "a2");
	assert_int_equal(f.call.end, CGW_CALL_RESPONDED);
	assert_string_equal(cgw_call_header(&f.call, "X-Request-Id"), "a2");
	assert_int_equal(f.server.connections, 2);
	teardown(&f);
}

static void times_out_and_cancels_at_once(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	f.server.mode = SCRIPTED_HANG;
	start(&f, "a1", 0, 200);
	run(&f);
	assert_int_equal(f.call.end, CGW_CALL_TIMED_OUT);
	start(&f, "a2", 0, 5000);
	for (int i = 0; i < 200 && f.server.requests < 2; i++)
		cgw_loop_step(f.loop, 10);
	cgw_call_cancel(&f.call);
	assert_false(cgw_call_running(&f.call));
	g_usleep(100000);
	assert_int_equal(f.server.hang_disconnects, 2);
	assert_false(f.done && f.call.end != CGW_CALL_TIMED_OUT);
	teardown(&f);
}

static void refused_connection_is_not_sent(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	start(&f, "a1", 0, 2000);
	run(&f);
	strcpy(f.call.address, "127.0.0.1:1");
	f.done = false;
	f.call.due = cgw_loop_now(f.loop) + 2000;
	cgw_call_start(f.client, &f.call);
	assert_false(f.done);
	run(&f);
	assert_int_equal(f.call.end, CGW_CALL_NOT_SENT);
	assert_false(f.call.sent);
	teardown(&f);
}

/* A connection that the server closed while it was idle is not used. */
static void closed_idle_connection_is_left(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	call(&f, "a1");
	f.server.drop_idle = true;
	g_usleep(200000);
	f.server.drop_idle = false;
	cgw_loop_step(f.loop, 0);
	call(&f, "a2");
	assert_int_equal(f.call.end, CGW_CALL_RESPONDED);
	assert_false(f.call.reused);
	teardown(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(takes_a_whole_response),
		cmocka_unit_test(keeps_connections),
		cmocka_unit_test(never_sends_twice),
		cmocka_unit_test(tells_truncated_from_whole),
		cmocka_unit_test(skips_responses_of_others),
		cmocka_unit_test(extra_bytes_end_a_connection),
		cmocka_unit_test(times_out_and_cancels_at_once),
		cmocka_unit_test(refused_connection_is_not_sent),
		cmocka_unit_test(closed_idle_connection_is_left),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
