/* Guards against a stop that arrives while a process reads its settings. The signal
 * terminated the process, and its supervisor took the stop for a crash. The
 * settings are a FIFO, so that the process is known to wait there. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define POLL_US	   10000
#define WAIT_MAX_S 20

struct process {
	char dir[32];
	char *fifo;
	pid_t pid;
};

static char *program_path(const char *name)
{
	const char *build = getenv("BUILD_DIR");

	return g_strdup_printf("%s/%s", build ? build : "build/plain", name);
}

static void start(struct process *p, const char *name)
{
	char *program = program_path(name);

	g_strlcpy(p->dir, "/tmp/early-stop-XXXXXX", sizeof(p->dir));
	assert_non_null(mkdtemp(p->dir));
	p->fifo = g_strdup_printf("%s/settings.json", p->dir);
	assert_int_equal(mkfifo(p->fifo, 0600), 0);
	p->pid = fork();
	assert_true(p->pid >= 0);
	if (!p->pid) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		setenv("CELERYGLADE_SETTINGS", p->fifo, 1);
		execl(program, program, "--settings", p->fifo, NULL);
		_exit(127);
	}
	g_free(program);
}

/* Waits until the process waits for the writer of the FIFO: opening that without
 * waiting succeeds. Returns the writer's end. */
static int open_writer(const struct process *p)
{
	int fd = -1;

	for (int i = 0; fd < 0 && i < WAIT_MAX_S * G_USEC_PER_SEC / POLL_US;
	     i++) {
		fd = open(p->fifo, O_WRONLY | O_NONBLOCK);
		if (fd < 0)
			g_usleep(POLL_US);
	}
	assert_true(fd >= 0);
	return fd;
}

static int wait_end(struct process *p)
{
	int status = -1;

	assert_int_equal(waitpid(p->pid, &status, 0), p->pid);
	unlink(p->fifo);
	rmdir(p->dir);
	g_free(p->fifo);
	return status;
}

static void gateway_stops_while_it_reads_its_settings(void **state)
{
	struct process p;
	int fd, status;

	(void)state;
	start(&p, "celeryglade-gateway");
	fd = open_writer(&p);
	kill(p.pid, SIGTERM);
	close(fd);
	status = wait_end(&p);
	assert_true(WIFEXITED(status));
	assert_int_equal(WEXITSTATUS(status), 0);
}

/* The daemon blocks the signal until it has started, so that a fault in its
 * settings decides how it exits. */
static void daemon_is_not_terminated_while_it_reads_its_settings(void **state)
{
	static const char settings[] = "{}";
	struct process p;
	int fd, status;

	(void)state;
	start(&p, "celerygladed");
	fd = open_writer(&p);
	kill(p.pid, SIGTERM);
	assert_int_equal(write(fd, settings, strlen(settings)),
			 strlen(settings));
	close(fd);
	status = wait_end(&p);
	assert_true(WIFEXITED(status));
	assert_int_equal(WEXITSTATUS(status), 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(gateway_stops_while_it_reads_its_settings),
		cmocka_unit_test(
			daemon_is_not_terminated_while_it_reads_its_settings),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
