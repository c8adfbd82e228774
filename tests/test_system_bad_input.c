/* Guards against requests that two parsers interpret differently (request
 * smuggling), duplicate keys and oversized input. Each must be refused before
 * it reaches a server, and the daemon must keep running. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../bench/fleet/fleet.h"

#define REQUEST_HEAD_MAX 30720
#define FIELD_MEMORY	 64
#define KEY		 "acme-key-0123456789abcdef"
#define AUTH		 "Authorization: Bearer " KEY "\r\n"
#define HEAD		 "Host: x\r\n" AUTH

#define DAEMONS	     2
#define SET_HEAD_MAX 60000 /* of the second one, from its settings */

static struct fleet *f;

static int setup(void **state)
{
	f = fleet_new(1);
	fleet_add_backend(f, "visits", 2, 10, "-t 1");
	fleet_write_services(f);
	fleet_write_account(f, "acme", KEY, 1000, 1000);
	if (fleet_apply_config(f))
		return -1;
	fleet_add_daemons(f, 1, 1, "\"max_body_bytes\": 1000");
	fleet_add_daemon(f, "a", 0, "\"request_head_max_bytes\": 60000");
	return fleet_wait_serving(f, "/visits", KEY, 20000);
}

static int teardown(void **state)
{
	fleet_free(f);
	return 0;
}

/* Sends @p data and returns the status of the first response, or 0 if the
 * connection closes without one. */
static int send_and_read_status(int daemon, const char *data, size_t len)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	struct timeval limit = { .tv_sec = 5 };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char buf[512] = "";
	int status = 0;

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	a.sin_port = htons((uint16_t)fleet_listen_port(f, daemon));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	assert_int_equal(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	(void)!write(fd, data, len);
	if (read(fd, buf, sizeof(buf) - 1) > 0)

		sscanf(buf, "HTTP/%*s %d", &status);
	close(fd);
	return status;
}

static int executions(void)
{
	return (int)fleet_server_number(f, 0, 1, "executions") +
	       (int)fleet_server_number(f, 0, 2, "executions");
}

static const struct {
	const char *text;
	int status;
} refused[] = {
	{ "POST /visits HTTP/1.1\r\n" HEAD "Content-Length: 4\r\n"
	  "Content-Length: 5\r\n\r\nbody!",
	  400 },
	{ "POST /visits HTTP/1.1\r\n" HEAD "Content-Length: 4\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	  400 },
	{ "POST /visits HTTP/1.1\r\n" HEAD "Content-Length: 4x\r\n\r\nbody",
	  400 },
	{ "POST /visits HTTP/1.1\r\n" HEAD "Content-Length: 1001\r\n\r\n",
	  413 },
	{ "GET /visits HTTP/1.1\r\n" HEAD "Authorization: Bearer other\r\n\r\n",
	  400 },
	{ "GET /visits HTTP/1.1\r\n" HEAD "Host: y\r\n\r\n", 400 },
	{ "GET http://x/visits HTTP/1.1\r\n" HEAD "\r\n", 400 },
	{ "GET /visits HTTP/1.1\r\nHost: x\r\n\r\n", 401 },
	{ "GET /visits HTTP/1.1\r\nHost: x\r\nAuthorization: Basic " KEY
	  "\r\n\r\n",
	  401 },
	{ "GET /visits/../admin HTTP/1.1\r\n" HEAD "\r\n", 404 },
	{ "GET /visits/%2e%2e/admin HTTP/1.1\r\n" HEAD "\r\n", 404 },
	{ "BREW /visits HTTP/1.1\r\n" HEAD "\r\n", 405 },
};

static void invalid_requests_are_refused(void **state)
{
	int before = executions();

	for (size_t i = 0; i < sizeof(refused) / sizeof(refused[0]); i++) {
		int status = send_and_read_status(0, refused[i].text,
						  strlen(refused[i].text));

		if (status != refused[i].status)
			fprintf(stderr, "request %zu: status %d\n", i, status);
		assert_int_equal(status, refused[i].status);
	}
	assert_int_equal(executions(), before);
}

/* Returns the status of a request whose head needs @needed bytes, each field
 * counting FIELD_MEMORY besides its text. */
static int status_of_head(int daemon, size_t needed)
{
	size_t rest = strlen("/visits"
			     "Hostx"
			     "AuthorizationBearer " KEY "Cookie") +
		      4 * FIELD_MEMORY;
	char *cookie = g_strnfill(needed - rest, 'a');
	char *text = g_strdup_printf(
		"GET /visits HTTP/1.1\r\n" HEAD "Cookie: %s\r\n\r\n", cookie);
	int status = send_and_read_status(daemon, text, strlen(text));

	g_free(text);
	g_free(cookie);
	return status;
}

/* The head of a response had to fit into what the head of its request had left, and
 * a longer head of a request was refused with 413. */
static void long_heads_are_served_or_refused(void **state)
{
	static const size_t most[] = { REQUEST_HEAD_MAX, SET_HEAD_MAX };
	int before;

	for (int i = 0; i < DAEMONS; i++) {
		assert_int_equal(status_of_head(i, most[i]), 200);
		before = executions();
		assert_int_equal(status_of_head(i, most[i] + 1), 431);
		assert_int_equal(executions(), before);
	}
}

static void oversized_and_random_input_does_not_stop_the_daemon(void **state)
{
	char *big = malloc(100000);
	unsigned int seed = 7;

	memset(big, 'a', 100000);
	for (int k = 0; k < 5; k++)
		big[k] = "GET /"[k];
	assert_true(send_and_read_status(0, big, 100000) >= 400 ||
		    !send_and_read_status(0, big, 100000));
	for (int i = 0; i < 100; i++) {
		for (int k = 0; k < 500; k++)
			big[k] = (char)rand_r(&seed);
		big[499] = '\n';
		send_and_read_status(0, big, 500);
	}
	free(big);
	assert_int_equal(fleet_request(f, 0, "GET", "/visits", KEY), 200);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(invalid_requests_are_refused),
		cmocka_unit_test(long_heads_are_served_or_refused),
		cmocka_unit_test(
			oversized_and_random_input_does_not_stop_the_daemon),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
