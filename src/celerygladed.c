#define CG_PART "daemon"

#include <argp.h>
#include <ne_socket.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "celeryglade/memory_budget.h"
#include "internal/logging.h"
#include "internal/node.h"

#define EXIT_USAGE    1
#define EXIT_SETTINGS 2
#define EXIT_START    3

struct arguments {
	const char *settings;
	bool check_only;
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case 's':
		a->settings = arg;
		return 0;
	case 'c':
		a->check_only = true;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument \"%s\"", arg);
		return 0;
	case ARGP_KEY_END:
		if (!a->settings)
			argp_error(state, "--settings is missing");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{ "settings", 's', "FILE", 0, "Settings of this daemon", 0 },
	{ "check", 'c', NULL, 0, "Check the settings and exit", 0 },
	{ 0 },
};

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.doc = "Proxy daemon of the celeryglade fleet."
	       "\vExit status: 0 after a graceful shutdown, 1 for wrong usage, "
	       "2 for faults in the settings, 3 if the daemon cannot start. "
	       "SIGTERM and SIGINT shut down gracefully.",
};

/* Blocks the signals in every thread, so that only sigwait receives them. */
static void block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	pthread_sigmask(SIG_BLOCK, set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static int run(struct cg_node *n, sigset_t *set)
{
	int rc = EXIT_SUCCESS;
	int sig;

	if (cg_node_start(n)) {
		rc = EXIT_START;
	} else {
		sigwait(set, &sig);
		cg_node_drain(n);
	}
	cg_node_stop(n);
	return rc;
}

int main(int argc, char **argv)
{
	static struct cg_node node;
	struct arguments a = { 0 };
	struct cg_faults faults = { 0 };
	sigset_t set;
	int rc;

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &a);
	/* A signal before sigwait must not terminate the process, whose
	 * supervisor then takes the stop for a crash. */
	block_signals(&set);
	cg_memory_init_allocator();
	if (cg_settings_load(a.settings, &node.settings, &faults)) {
		cg_faults_print(&faults, stderr);
		cg_faults_clear(&faults);
		return EXIT_SETTINGS;
	}
	if (a.check_only) {
		cg_settings_clear(&node.settings);
		return EXIT_SUCCESS;
	}
	cg_log_init(node.settings.instance, node.settings.log_level,
		    node.settings.log_json);
	cg_clock_init_boot(&node.clk);
	if (ne_sock_init()) {
		cg_error("cannot initialise the HTTP client");
		return EXIT_START;
	}
	rc = run(&node, &set);
	ne_sock_exit();
	cg_settings_clear(&node.settings);
	return rc;
}
