#include "options.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

struct load_options opts = { .rate = 100,
			     .seconds = 5,
			     .connections = 64,
			     .threads = 1,
			     .timeout_ms = 10000,
			     .check_delay_ms = 300,
			     .body = 100 };

static void add_account(char *text, struct argp_state *state)
{
	char **v = g_strsplit(text, ":", 3);
	struct account *a = &opts.accounts[opts.n_accounts];

	if (!v[0] || !v[1] || opts.n_accounts == MAX_ACCOUNTS)
		argp_error(state, "expected an account NAME:KEY[:WEIGHT]");
	a->name = g_strdup(v[0]);
	a->key = g_strdup(v[1]);
	a->weight = v[2] ? atof(v[2]) : 1;
	opts.total_weight += a->weight;
	opts.n_accounts++;
	g_strfreev(v);
}

static error_t parse_target(int key, char *arg, struct argp_state *state)
{
	if (opts.n_targets == MAX_TARGETS || opts.n_admins == MAX_TARGETS)
		argp_error(state, "too many targets");
	if (key == 't') {
		opts.targets[opts.n_targets].ready = true;
		opts.targets[opts.n_targets++].base =
			g_strdup_printf("http://%s", arg);
	} else {
		opts.targets[opts.n_admins++].admin = arg;
	}
	return 0;
}

static error_t parse_path(int key, char *arg, struct argp_state *state)
{
	if (opts.n_get == MAX_PATHS || opts.n_post == MAX_PATHS)
		argp_error(state, "too many paths");
	if (key == 'g')
		opts.get_paths[opts.n_get++] = arg;
	else
		opts.post_paths[opts.n_post++] = arg;
	return 0;
}

static error_t parse_number(int key, char *arg)
{
	switch (key) {
	case 'r':
		opts.rate = atof(arg);
		return 0;
	case 'd':
		opts.seconds = atof(arg);
		return 0;
	case 'c':
		opts.connections = atoi(arg);
		return 0;
	case 'T':
		opts.threads = atoi(arg);
		return 0;
	case 'P':
		opts.post_share = atof(arg);
		return 0;
	case 'K':
		opts.keyed_share = atof(arg);
		return 0;
	case 'R':
		opts.max_retries = atoi(arg);
		return 0;
	case 'm':
		opts.timeout_ms = atoi(arg);
		return 0;
	case 'b':
		opts.body = atoi(arg);
		return 0;
	case 's':
		opts.seed = (guint32)strtoul(arg, NULL, 10);
		return 0;
	case 'e':
		opts.check_delay_ms = atoi(arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t parse_opt(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 't':
	case 'A':
		return parse_target(key, arg, state);
	case 'g':
	case 'p':
		return parse_path(key, arg, state);
	case 'a':
		add_account(arg, state);
		return 0;
	case 'C':
		g_ptr_array_add(opts.checks, arg);
		return 0;
	case 'j':
		opts.json = arg;
		return 0;
	case 'l':
		opts.log = arg;
		return 0;
	case ARGP_KEY_END:
		if (!opts.n_targets || opts.rate <= 0 || opts.threads < 1)
			argp_error(
				state,
				"a target, a rate and a thread are required");
		return 0;
	default:
		return parse_number(key, arg);
	}
}

static const struct argp_option options[] = {
	{ "target", 't', "IP:PORT", 0, "Daemon or backend server; repeatable",
	  0 },
	{ "admin", 'A', "IP:PORT", 0,
	  "Admin address of the daemons, in the order of targets", 0 },
	{ "account", 'a', "NAME:KEY[:WEIGHT]", 0, "Client account; repeatable",
	  0 },
	{ "get", 'g', "PATH", 0, "Path of GET requests; repeatable", 0 },
	{ "post", 'p', "PATH", 0, "Path of POST requests; repeatable", 0 },
	{ "rate", 'r', "N", 0, "Requests per second", 1 },
	{ "duration", 'd', "S", 0, "Seconds", 1 },
	{ "connections", 'c', "N", 0, "Maximum number of requests in progress",
	  1 },
	{ "threads", 'T', "N", 0, "Threads", 1 },
	{ "post-share", 'P', "X", 0, "Share of POSTs", 1 },
	{ "keyed-share", 'K', "X", 0, "Share of POSTs with Idempotency-Key",
	  1 },
	{ "repeat", 'R', "N", 0,
	  "Retries of a POST with Idempotency-Key whose outcome "
	  "is unknown",
	  1 },
	{ "timeout", 'm', "MS", 0, "Timeout of a request", 1 },
	{ "body", 'b', "BYTES", 0, "Padding in a request", 1 },
	{ "seed", 's', "N", 0, "Seed of the random mix of requests", 1 },
	{ "check", 'C', "SOURCE", 0,
	  "Executions to check: URL or journal; repeatable", 2 },
	{ "settle", 'e', "MS", 0, "Delay before the check", 2 },
	{ "json", 'j', "FILE", 0, "Write the summary as JSON", 2 },
	{ "log", 'l', "FILE", 0,
	  "Write a line per request: id, account, kind, start in ms, "
	  "microseconds, target, status, reason, not-run, body, tries",
	  2 },
	{ 0 }
};

static const struct argp argp = {
	options,
	parse_opt,
	NULL,
	"Sends HTTP requests at a fixed rate and reports the "
	"responses.\vExit status 2: the check found a violation, such as a "
	"request that was executed twice, falsely reported as not run, or "
	"answered with another's or a truncated response.",
	NULL,
	NULL,
	NULL
};

static void use_defaults(void)
{
	if (!opts.n_get)
		opts.get_paths[opts.n_get++] = "/";
	if (!opts.n_post)
		opts.post_paths[opts.n_post++] = "/";
	if (!opts.n_accounts) {
		opts.accounts[opts.n_accounts++] =
			(struct account){ "none", "", 1 };
		opts.total_weight = 1;
	}
}

void load_options_parse(int argc, char **argv)
{
	opts.checks = g_ptr_array_new();
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	use_defaults();
}

const char *load_account_key(const char *name)
{
	for (int i = 0; i < opts.n_accounts; i++)
		if (!strcmp(opts.accounts[i].name, name))
			return opts.accounts[i].key;
	return "";
}
