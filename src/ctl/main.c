#include <argp.h>
#include <stdlib.h>
#include <string.h>

#define CG_PART "ctl"
#include "internal/logging.h"
#include "ctl.h"

#define EXIT_CODES_HELP                                                        \
	"\vExit codes: 0 success; 1 wrong usage or a local error; 2 the "      \
	"folder has faults; 3 another writer was faster and nothing was "      \
	"changed, run again; 4 the store is unavailable and nothing was "      \
	"changed; 5 the outcome of the write is unknown; 6 no daemon was "     \
	"found, or some daemon did not answer, did not confirm or lacks the "  \
	"newest version."

enum {
	OPTION_STORE = 256,
	OPTION_PEERS,
	OPTION_SECRET,
	OPTION_SERVICE,
	OPTION_OUT,
	OPTION_NAME,
	OPTION_JSON,
	OPTION_WAIT,
	OPTION_TIMEOUT,
	OPTION_GATEWAY,
	OPTION_HOST,
	OPTION_METHOD,
	OPTION_ACCOUNT,
	OPTION_SIZE,
};

#define OPT_STORE                                                              \
	{                                                                      \
		.name = "store", .key = OPTION_STORE, .arg = "URL",            \
		.doc = "The platform's object store, http://IP:PORT"           \
	}
#define OPT_PEERS                                                              \
	{                                                                      \
		.name = "peers", .key = OPTION_PEERS, .arg = "A,B",            \
		.doc = "Peer addresses of the daemons, IP:PORT; without this " \
		       "option, the store's list of instances is used"         \
	}
#define OPT_SECRET                                                             \
	{                                                                      \
		.name = "secret-file", .key = OPTION_SECRET, .arg = "FILE",    \
		.doc = "File with the fleet's secret"                          \
	}
#define OPT_JSON                                                               \
	{                                                                      \
		.name = "json", .key = OPTION_JSON, .doc = "Print JSON"        \
	}
#define OPT_TIMEOUT                                                            \
	{                                                                      \
		.name = "timeout", .key = OPTION_TIMEOUT, .arg = "MS",         \
		.doc = "Timeout of each call of a daemon (default 2000)"       \
	}
#define OPT_FLEET OPT_STORE, OPT_PEERS, OPT_SECRET, OPT_TIMEOUT

static const struct argp_option json_options[] = { OPT_JSON, { 0 } };
static const struct argp_option diff_options[] = { OPT_STORE, OPT_JSON, { 0 } };
static const struct argp_option fleet_options[] = { OPT_FLEET,
						    OPT_JSON,
						    { 0 } };
static const struct argp_option apply_options[] = {
	OPT_FLEET,
	OPT_JSON,
	{ .name = "wait",
	  .key = OPTION_WAIT,
	  .arg = "SECONDS",
	  .doc = "Wait until every daemon has the version in force" },
	{ 0 },
};
static const struct argp_option servers_options[] = {
	OPT_FLEET,
	OPT_JSON,
	{ .name = "service",
	  .key = OPTION_SERVICE,
	  .arg = "NAME",
	  .doc = "Only the servers of this service" },
	{ 0 },
};
static const struct argp_option explain_options[] = {
	{ .name = "gateway",
	  .key = OPTION_GATEWAY,
	  .arg = "IP:PORT",
	  .doc = "Metrics address of a gateway of the callers' failure domain" },
	{ .name = "host",
	  .key = OPTION_HOST,
	  .arg = "NAME",
	  .doc = "Host of the request" },
	{ .name = "method",
	  .key = OPTION_METHOD,
	  .arg = "NAME",
	  .doc = "Method of the request (default GET)" },
	{ .name = "account",
	  .key = OPTION_ACCOUNT,
	  .arg = "NAME",
	  .doc = "Client account of the request" },
	{ .name = "size",
	  .key = OPTION_SIZE,
	  .arg = "BYTES",
	  .doc = "Length of the request's body (default 0)" },
	OPT_TIMEOUT,
	OPT_JSON,
	{ 0 },
};
static const struct argp_option key_new_options[] = {
	{ .name = "out",
	  .key = OPTION_OUT,
	  .arg = "FILE",
	  .doc = "File to create for the key, with mode 0600" },
	{ .name = "name",
	  .key = OPTION_NAME,
	  .arg = "NAME",
	  .doc = "Name of the key in the printed line (default \"key\")" },
	{ 0 },
};
static const struct argp_option key_digest_options[] = {
	{ .name = "name",
	  .key = OPTION_NAME,
	  .arg = "NAME",
	  .doc = "Name of the key in the printed line (default \"key\")" },
	{ 0 },
};

struct command {
	const char *name;
	const char *arg; /* Positional argument, or NULL. */
	const char *doc;
	const struct argp_option *options;
	enum ctl_exit (*run)(const struct ctl_options *o);
};

static const struct command commands[] = {
	{ "check", "FOLDER", "Check a folder and list every fault.",
	  json_options, ctl_check },
	{ "apply", "FOLDER",
	  "Publish a folder. Writes nothing if it equals the configuration "
	  "in force.",
	  apply_options, ctl_apply },
	{ "diff", "FOLDER",
	  "List what a folder would change. Both sides are shown with defaults.",
	  diff_options, ctl_diff },
	{ "show", NULL, "Show the version that each daemon has in force.",
	  fleet_options, ctl_show },
	{ "members", NULL, "List the fleet members known to one daemon.",
	  fleet_options, ctl_members },
	{ "shards", NULL, "List the owners of the shards.", fleet_options,
	  ctl_shards },
	{ "servers", NULL,
	  "List the backend servers, which are ejected, and why.",
	  servers_options, ctl_servers },
	{ "explain", "PATH",
	  "Show where a request would go now, and why, without sending it.",
	  explain_options, ctl_explain },
	{ "explain-server", "NAME",
	  "Show the state of a backend server at each daemon.", fleet_options,
	  ctl_explain_server },
	{ "explain-account", "NAME",
	  "Show the share of an account's rate that each daemon holds.",
	  fleet_options, ctl_explain_account },
	{ "explain-change", NULL,
	  "List the daemons that lack the newest version, and why.",
	  fleet_options, ctl_explain_change },
	{ "counters", NULL, "Sum the counters of all daemons.", fleet_options,
	  ctl_counters },
	{ "drain", "SERVER",
	  "Notify every daemon that a backend server is draining.",
	  fleet_options, ctl_drain },
	{ "revoke", "KEYFILE|DIGEST",
	  "Revoke a key at once, also while the store is unavailable. Remove "
	  "the key from the folder and apply it, too.",
	  fleet_options, ctl_revoke },
	{ "key new", NULL,
	  "Generate a key file and print the folder's line for the key.",
	  key_new_options, ctl_key_new },
	{ "key digest", NULL,
	  "Print the folder's line for a key read from standard input.",
	  key_digest_options, ctl_key_digest },
};

/* Input of the argp parser. */
struct parse_state {
	const struct command *command;
	struct ctl_options *o;
};

static int parse_number(struct argp_state *state, const char *text, int max)
{
	guint64 n;

	if (!g_ascii_string_to_unsigned(text, 10, 0, (guint64)max, &n, NULL))
		argp_error(state, "a number from 0 to %d is expected", max);
	return (int)n;
}

/* The error does not repeat the argument, which may be a plaintext key. */
static void parse_argument(struct argp_state *state, struct parse_state *p,
			   char *arg)
{
	if (!p->command->arg || p->o->arg)
		argp_error(state, "too many arguments");
	p->o->arg = arg;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct parse_state *p = state->input;
	struct ctl_options *o = p->o;

	switch (key) {
	case OPTION_STORE:
		o->store_url = arg;
		return 0;
	case OPTION_PEERS:
		o->peers = arg;
		return 0;
	case OPTION_SECRET:
		o->secret_file = arg;
		return 0;
	case OPTION_SERVICE:
		o->service = arg;
		return 0;
	case OPTION_GATEWAY:
		o->gateway = arg;
		return 0;
	case OPTION_HOST:
		o->host = arg;
		return 0;
	case OPTION_METHOD:
		o->method = arg;
		return 0;
	case OPTION_ACCOUNT:
		o->account = arg;
		return 0;
	case OPTION_SIZE:
		parse_number(state, arg, G_MAXINT);
		o->size = arg;
		return 0;
	case OPTION_OUT:
		o->out_file = arg;
		return 0;
	case OPTION_NAME:
		o->key_name = arg;
		return 0;
	case OPTION_JSON:
		o->json = true;
		return 0;
	case OPTION_WAIT:
		o->wait_s = parse_number(state, arg, 3600);
		return 0;
	case OPTION_TIMEOUT:
		o->timeout_ms = MAX(1, parse_number(state, arg, 60000));
		return 0;
	case ARGP_KEY_ARG:
		parse_argument(state, p, arg);
		return 0;
	case ARGP_KEY_END:
		if (p->command->arg && !o->arg)
			argp_error(state, "%s is missing", p->command->arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int run_command(const struct command *c, int argc, char **argv)
{
	struct ctl_options o = { .wait_s = -1, .timeout_ms = 2000 };
	struct parse_state p = { .command = c, .o = &o };
	char *doc = g_strconcat(c->doc, EXIT_CODES_HELP, NULL);
	const struct argp argp = { .options = c->options,
				   .parser = parse_option,
				   .args_doc = c->arg,
				   .doc = doc };
	char *name = g_strconcat("celerygladectl ", c->name, NULL);
	int rc;

	argv[0] = name;
	rc = argp_parse(&argp, argc, argv, 0, NULL, &p) ? CTL_ERROR
							: c->run(&o);
	g_free(name);
	g_free(doc);
	return rc;
}

/* Returns the number of words in the name of the command if the command line
 * starts with them, or 0. */
static int match_command(const struct command *c, int argc, char **argv)
{
	char **words = g_strsplit(c->name, " ", 0);
	int n = 0;

	while (words[n] && n + 1 < argc && !strcmp(words[n], argv[n + 1]))
		n++;
	if (words[n])
		n = 0;
	g_strfreev(words);
	return n;
}

static int print_usage(int argc, char **argv)
{
	GString *doc = g_string_new("Operates a celeryglade fleet.\n\n"
				    "Commands (each has --help):\n");
	struct argp argp = { .args_doc = "COMMAND [OPTION...]" };

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		const char *text = commands[i].doc;
		int length = (int)(strchr(text, '.') - text) + 1;

		g_string_append_printf(doc, "  %-16s %.*s\n", commands[i].name,
				       length, text);
	}
	g_string_append(doc, EXIT_CODES_HELP);
	argp.doc = doc->str;
	/* Exits after printing the text of --help or --usage. */
	if (argc > 1 && argv[1][0] == '-')
		argp_parse(&argp, argc, argv, 0, NULL, NULL);
	fprintf(stderr, argc > 1 ? "celerygladectl: unknown command\n"
				 : "celerygladectl: a command is missing\n");
	argp_help(&argp, stderr, ARGP_HELP_SEE, "celerygladectl");
	g_string_free(doc, TRUE);
	return CTL_ERROR;
}

int main(int argc, char **argv)
{
	argp_err_exit_status = CTL_ERROR;
	cg_log_init("celerygladectl", G_LOG_LEVEL_WARNING, FALSE);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		int n = match_command(&commands[i], argc, argv);

		if (n)
			return run_command(&commands[i], argc - n, argv + n);
	}
	return print_usage(argc, argv);
}
