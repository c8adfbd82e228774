/* Stand-in for the object store of the platform, for manual tests. Serves until
 * SIGTERM or SIGINT; objects are created over the same protocol. */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "support/object_store.h"

static struct {
	int port, page;
} opts = { .port = 8784, .page = 50 };

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 'p':
		opts.port = atoi(arg);
		return 0;
	case 'n':
		opts.page = atoi(arg);
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument \"%s\"", arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{ "port", 'p', "PORT", 0, "Loopback port (8784)", 0 },
	{ "page", 'n', "N", 0, "Objects in one page of a listing (50)", 0 },
	{ 0 },
};

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.doc = "Stand-in for the platform's object store.",
};

int main(int argc, char **argv)
{
	struct objects *o;
	sigset_t set;
	int sig;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	o = objects_start((uint16_t)opts.port, (unsigned int)opts.page);
	if (!o) {
		fprintf(stderr, "cannot listen on port %d\n", opts.port);
		return EXIT_FAILURE;
	}
	sigwait(&set, &sig);
	objects_stop(o);
	return EXIT_SUCCESS;
}
