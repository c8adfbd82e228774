/* Tests that callers who use one connection for several requests get what a
 * caller with one connection a request gets. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/gateway_fleet.h"

#define CALLERS	  6
#define TIMEOUT	  2000 /* of the routes, ms */
#define WORK_MS	  1200 /* over half of it */
#define ANSWER_MS 6000

static void start(struct gateway_fleet *f, int work_ms)
{
	gf_start(f, 2);
	gf_put_config(f, true, 0, 0, "");
	gf_wait_ready(f);
	for (int i = 0; i < GF_SERVERS; i++)
		f->servers[i].delay_ms = work_ms;
}

static char *format_request(const char *method, const char *path,
			    unsigned int i, char part)
{
	return g_strdup_printf("%s %s HTTP/1.1\r\nHost: h.example\r\n"
			       "X-Request-Id: r%u%c\r\n"
			       "Authorization: Bearer k1\r\n"
			       "Content-Length: 0\r\n\r\n",
			       method, path, i, part);
}

static void send_text(int fd, const char *text)
{
	assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL),
			 strlen(text));
}

/* Returns the least time that a server was given for any of the requests. */
static int least_time_given(struct gateway_fleet *f)
{
	int least = G_MAXINT;

	for (int i = 0; i < GF_SERVERS; i++) {
		char *head = scripted_last_head(&f->servers[i]);
		const char *at = head ? strstr(head, "X-Deadline-Ms: ") : NULL;

		if (at)
			least = MIN(least,
				    atoi(at + strlen("X-Deadline-Ms: ")));
		g_free(head);
	}
	return least;
}

/* A request that follows a response at once was taken for one that had been sent
 * before the response. It got the time that its predecessor had left. */
static void request_after_a_response_has_its_own_timeout(void **state)
{
	struct gateway_fleet f;
	int fds[CALLERS];

	(void)state;
	start(&f, WORK_MS);
	for (unsigned int i = 0; i < CALLERS; i++) {
		char *text = format_request("POST", "/unsafe/x", i, 'a');

		fds[i] = gf_send_raw(&f, 0, text);
		g_free(text);
	}
	for (unsigned int i = 0; i < CALLERS; i++) {
		char *text = gf_read_responses(fds[i], 1, ANSWER_MS);

		assert_non_null(strstr(text, "HTTP/1.1 200 "));
		g_free(text);
		text = format_request("POST", "/unsafe/x", i, 'b');
		send_text(fds[i], text);
		g_free(text);
	}
	for (unsigned int i = 0; i < CALLERS; i++) {
		char *text = gf_read_responses(fds[i], 1, ANSWER_MS);

		assert_non_null(strstr(text, "HTTP/1.1 200 "));
		g_free(text);
		close(fds[i]);
	}
	assert_true(least_time_given(&f) > TIMEOUT - WORK_MS / 2);
	gf_stop(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(request_after_a_response_has_its_own_timeout),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
