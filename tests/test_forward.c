/* Guards against a request that neon sends twice, a failure that is wrongly
 * taken as proof that the request did not run, and responses that are truncated
 * or belong to another request but are accepted. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <ne_socket.h>
#include <stdlib.h>
#include <string.h>

#include "internal/connections.h"
#include "internal/proxy.h"
#include "support/raw_server.h"

#define COMPLETE_RESPONSE                                                      \
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"                             \
	"Celeryglade-Attempt: %s\r\n\r\nok"

#define FILLERS		  8 /* neon takes no line of more than 8 KiB */
#define RESPONSE_HEAD_MAX ((size_t)23 * 1024)

struct fixture {
	struct raw_server server;
	struct cg_clock clk;
	struct cg_connections *connections;
	struct cg_service service;
	struct cg_server srv;
	struct cg_route route;
	struct cg_settings settings;
	struct cg_proxy proxy;
	struct cg_request *request;
};

static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));

	*state = f;
	ne_sock_init();
	if (!f || raw_server_start(&f->server))
		return -1;
	cg_clock_init_boot(&f->clk);
	f->settings.response_head_max_bytes = RESPONSE_HEAD_MAX;
	f->proxy.settings = &f->settings;
	f->proxy.clk = &f->clk;
	f->connections = cg_connections_new(&f->clk);
	strcpy(f->srv.name, "s");
	strcpy(f->srv.host, "127.0.0.1");
	f->srv.port = f->server.port;
	f->srv.connections = 400;
	f->srv.service = &f->service;
	f->route.service = &f->service;
	f->route.idempotent = true;
	f->request = cg_request_new(&f->proxy, "/x");
	f->request->method = CG_METHOD_GET;
	f->request->method_text = g_strdup("GET");
	f->request->route = &f->route;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	cg_request_unref(f->request);
	cg_connections_free(f->connections);
	raw_server_stop(&f->server);
	free(f);
	return 0;
}

static void use_post(struct fixture *f)
{
	f->route.idempotent = false;
	f->request->method = CG_METHOD_POST;
	g_free(f->request->method_text);
	f->request->method_text = g_strdup("POST");
}

static enum cg_attempt_outcome attempt(struct fixture *f, const char *id,
				       cg_ms timeout)
{
	struct cg_connection *c = cg_connections_acquire(
		f->connections, &f->srv, !f->route.idempotent);
	struct cg_attempt_result res;

	cg_forward(c, f->request, id, timeout, timeout, &res);
	if (res.reusable)
		cg_connections_release(f->connections, c);
	else
		cg_connections_close(f->connections, c);
	cg_response_clear(&res.response);
	return res.outcome;
}

static enum cg_attempt_outcome attempt_with_response(struct fixture *f,
						     const char *answer)
{
	atomic_store(&f->server.answer, answer);
	return attempt(f, "id-1", 1000);
}

static void idle_connection_is_reused(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(attempt_with_response(f, COMPLETE_RESPONSE),
			 CG_ATTEMPT_RESPONDED);
	assert_int_equal(attempt_with_response(f, COMPLETE_RESPONSE),
			 CG_ATTEMPT_RESPONDED);
	assert_int_equal(f->server.connections, 1);
}

/* The server reads the second POST on a connection and closes it without a
 * response. By default neon sends such a request again on a new connection. */
static void post_is_sent_once_when_the_server_closes(void **state)
{
	struct fixture *f = *state;

	use_post(f);
	assert_int_equal(attempt_with_response(f, COMPLETE_RESPONSE),
			 CG_ATTEMPT_RESPONDED);
	atomic_store(&f->server.answered_per_connection, 0);
	assert_int_equal(attempt(f, "id-2", 1000), CG_ATTEMPT_CONNECTION_LOST);
	assert_int_equal(f->server.requests, 2);
}

/* The same with neon's default flag: it sends the POST twice, so the test above
 * fails if the flag is not cleared. */
static void neon_default_sends_a_post_twice(void **state)
{
	struct fixture *f = *state;

	use_post(f);
	f->route.idempotent = true; /* Leaves NE_REQFLAG_IDEMPOTENT set. */
	atomic_store(&f->server.answered_per_connection, 1);
	assert_int_equal(attempt_with_response(f, COMPLETE_RESPONSE),
			 CG_ATTEMPT_RESPONDED);
	attempt(f, "id-2", 1000);
	assert_int_equal(f->server.requests, 3);
}

static void refused_connection_is_not_sent(void **state)
{
	struct fixture *f = *state;

	use_post(f);
	f->srv.port = 1;
	assert_int_equal(attempt(f, "id", 1000), CG_ATTEMPT_NOT_SENT);
}

static void close_after_reading_is_connection_lost(void **state)
{
	struct fixture *f = *state;

	use_post(f);
	atomic_store(&f->server.answer, COMPLETE_RESPONSE);
	atomic_store(&f->server.answered_per_connection, 0);
	assert_int_equal(attempt(f, "id", 1000), CG_ATTEMPT_CONNECTION_LOST);
}

static void silent_server_times_out(void **state)
{
	struct fixture *f = *state;

	use_post(f);
	assert_int_equal(attempt_with_response(f, ""), CG_ATTEMPT_TIMED_OUT);
}

static void incomplete_response_is_truncated(void **state)
{
	static const char *const bad[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n"
		"Connection: close\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		"Connection: close\r\n\r\n5\r\nhello\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		"Connection: close\r\n\r\n5\r\nhel",
		/* No explicit length: the end of the connection proves
		 * nothing. */
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello",
	};

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_int_equal(attempt_with_response(*state, bad[i]),
				 CG_ATTEMPT_TRUNCATED);
}

static void response_to_another_attempt_is_mismatched(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(
		attempt_with_response(f, "HTTP/1.1 200 OK\r\nContent-Length: 2"
					 "\r\nCeleryglade-Attempt: other\r\n"
					 "\r\nok"),
		CG_ATTEMPT_MISMATCHED);
	f->service.echo_attempt = true;
	assert_int_equal(
		attempt_with_response(f, "HTTP/1.1 200 OK\r\nContent-Length: 2"
					 "\r\n\r\nok"),
		CG_ATTEMPT_MISMATCHED);
}

/* A head that does not fit into the memory for the response to the caller must not
 * be passed on: the caller would get no response. */
static void longest_response_head_is_passed_on(void **state)
{
	struct fixture *f = *state;
	/* What counts besides the values of the filler fields. */
	const size_t rest = FILLERS * strlen("X-Filler-0: \r\n");
	const size_t each = (RESPONSE_HEAD_MAX - rest) / FILLERS;
	const size_t last = RESPONSE_HEAD_MAX - rest - (FILLERS - 1) * each;

	for (size_t above = 0; above <= 1; above++) {
		GString *answer = g_string_new("HTTP/1.1 200 OK\r\n");

		for (size_t i = 0; i < FILLERS; i++) {
			size_t len = i ? each : last + above;
			char *filler = g_strnfill(len, 'a');

			g_string_append_printf(answer, "X-Filler-%zu: %s\r\n",
					       i, filler);
			g_free(filler);
		}
		g_string_append(answer, "Content-Length: 2\r\n"
					"Celeryglade-Attempt: %s\r\n\r\nok");
		f->server.answer = answer->str;
		assert_int_equal(attempt(f, "a", 2000),
				 above ? CG_ATTEMPT_TOO_LARGE
				       : CG_ATTEMPT_RESPONDED);
		f->server.answer = COMPLETE_RESPONSE;
		g_string_free(answer, TRUE);
	}
}

/* Regression: libmicrohttpd sends no status below 100, so that the caller's
 * connection was closed without a response. */
static void odd_status_is_not_passed_on(void **state)
{
	static const char *const odd[] = {
		"000",	"0",	"099",	"600", "1000", "0200", "2000",
		"+200", "-200", "2 00", "2x0", "abc",  "",     "200x",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		char *text = g_strdup_printf("HTTP/1.1 %s Odd\r\n"
					     "Content-Length: 2\r\n\r\nok",
					     odd[i]);
		enum cg_attempt_outcome outcome =
			attempt_with_response(*state, text);

		if (outcome == CG_ATTEMPT_RESPONDED ||
		    outcome == CG_ATTEMPT_SHED)
			print_message("status \"%s\" was accepted\n", odd[i]);
		assert_int_not_equal(outcome, CG_ATTEMPT_RESPONDED);
		assert_int_not_equal(outcome, CG_ATTEMPT_SHED);
		g_free(text);
	}
	/* Their status is a number, so that the reason is known. */
	assert_int_equal(attempt_with_response(*state,
					       "HTTP/1.1 099 Odd\r\n"
					       "Content-Length: 2\r\n\r\nok"),
			 CG_ATTEMPT_MISMATCHED);
	assert_int_equal(attempt_with_response(*state,
					       "HTTP/1.1 600 Odd\r\n"
					       "Content-Length: 2\r\n\r\nok"),
			 CG_ATTEMPT_MISMATCHED);
}

static void shed_requires_not_run_header(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(
		attempt_with_response(f, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n"
					 "Content-Length: 0\r\n\r\n"),
		CG_ATTEMPT_SHED);
	assert_int_equal(attempt_with_response(f, "HTTP/1.1 503 Busy\r\n"
						  "Content-Length: 0\r\n\r\n"),
			 CG_ATTEMPT_RESPONDED);
}

static void condemned_connection_is_not_reused(void **state)
{
	struct fixture *f = *state;
	struct cg_connection *c;
	cg_ms opened;

	assert_int_equal(attempt_with_response(f, COMPLETE_RESPONSE),
			 CG_ATTEMPT_RESPONDED);
	c = cg_connections_acquire(f->connections, &f->srv, false);
	assert_true(cg_connection_reused(c));
	opened = cg_connection_opened_at(c);
	cg_connections_condemn(f->connections, "s", opened);
	cg_connections_release(f->connections, c);
	c = cg_connections_acquire(f->connections, &f->srv, false);
	assert_false(cg_connection_reused(c));
	cg_connections_close(f->connections, c);
}

/* A server stops after any byte of a response's head, or within a body with a
 * length, and closes: on a new connection and on a reused one. Such a response
 * must not reach the caller as a whole one. */
static void response_cut_at_any_byte_is_no_response(void **state)
{
	static const char *const whole[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nhello, world",
		"HTTP/1.0 200 OK\r\nContent-Length: 12\r\n\r\nhello, world",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	};
	struct fixture *f = *state;

	for (int reused = 0; reused <= 1; reused++)
		for (size_t i = 0; i < sizeof(whole) / sizeof(whole[0]); i++)
			for (size_t n = 1; n < strlen(whole[i]); n++) {
				char *cut = strndup(whole[i], n);
				enum cg_attempt_outcome outcome;

				atomic_store(&f->server.close_after_answer, 0);
				if (reused)
					attempt_with_response(
						f, COMPLETE_RESPONSE);
				atomic_store(&f->server.close_after_answer, 1);
				outcome = attempt_with_response(f, cut);
				assert_true(outcome == CG_ATTEMPT_TRUNCATED ||
					    outcome ==
						    CG_ATTEMPT_CONNECTION_LOST);
				atomic_store(&f->server.answer, "");
				free(cut);
			}
}

#define TEST(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(idle_connection_is_reused),
		TEST(post_is_sent_once_when_the_server_closes),
		TEST(neon_default_sends_a_post_twice),
		TEST(refused_connection_is_not_sent),
		TEST(close_after_reading_is_connection_lost),
		TEST(silent_server_times_out),
		TEST(incomplete_response_is_truncated),
		TEST(response_to_another_attempt_is_mismatched),
		TEST(longest_response_head_is_passed_on),
		TEST(odd_status_is_not_passed_on),
		TEST(shed_requires_not_run_header),
		TEST(condemned_connection_is_not_reused),
		TEST(response_cut_at_any_byte_is_no_response),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
