/* Guards against a daemon that blocks because no process reads its decision
 * log. Lines that do not fit into the buffer and the pipe must be dropped and
 * counted. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "gateway/decision_log.h"

/* Far more than fit into the buffer and a pipe. */
#define LINES 20000

static void log_drops_lines_instead_of_blocking(void **state)
{
	struct cg_clock clk;
	struct cgw_loop *l;
	int saved = dup(STDOUT_FILENO);
	int fds[2];
	gint64 start_us, elapsed_us;
	uint64_t dropped;
	char buffer[65536];
	ssize_t n;

	(void)state;
	assert_int_equal(pipe(fds), 0);
	fflush(stdout);
	dup2(fds[1], STDOUT_FILENO);
	cg_clock_init_boot(&clk);
	l = cgw_loop_new(&clk);
	cgw_log_open(l, "d1");
	start_us = g_get_monotonic_time();
	for (int i = 0; i < LINES; i++)
		cgw_log_line("request", "\"id\":\"%d\",\"status\":%d", i, 200);
	elapsed_us = g_get_monotonic_time() - start_us;
	dropped = cgw_log_dropped();
	n = read(fds[0], buffer, sizeof(buffer) - 1);
	cgw_log_line("request", "\"id\":\"last\"");
	cgw_log_close();
	cgw_loop_free(l);
	dup2(saved, STDOUT_FILENO);
	assert_true(dropped > LINES / 2);
	assert_true(elapsed_us < 2 * G_USEC_PER_SEC);
	assert_true(n > 0);
	buffer[n] = '\0';
	assert_non_null(strstr(buffer, "\"part\":\"request\",\"id\":\"0\""));
	close(fds[0]);
	close(fds[1]);
	close(saved);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(log_drops_lines_instead_of_blocking),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
