#include <argp.h>
#include <stdlib.h>
#include <string.h>

#define CG_PART "ctl"
#include "internal/logging.h"
#include "ctl.h"

#define EXIT_CODES                                                             \
	"\vExit codes: 0 success; 1 wrong usage or a local fault; 2 the "      \
	"folder has faults; 3 another writer was faster and nothing was "      \
	"changed, run again; 4 the store is unavailable and nothing was "      \
	"changed; 5 the outcome of the write is unknown; 6 some daemon did "   \
	"not answer, did not confirm or is behind."

enum {
	KEY_STORE = 256,
	KEY_PEERS,
	KEY_SECRET,
	KEY_SERVICE,
	KEY_OUT,
	KEY_NAME,
	KEY_JSON,
	KEY_WAIT,
	KEY_TIMEOUT,
};

#define OPT_STORE                                                              \
	{                                                                      \
		.name = "store", .key = KEY_STORE, .arg = "URL",               \
		.doc = "The platform's object store, http://IP:PORT"           \
	}
#define OPT_PEERS                                                                 \
	{                                                                         \
		.name = "peers", .key = KEY_PEERS, .arg = "A,B",                  \
		.doc = "Peer addresses of the daemons, IP:PORT; without it, the " \
		       "store's list of instances is used"                        \
	}
#define OPT_SECRET                                                             \
	{                                                                      \
		.name = "secret-file", .key = KEY_SECRET, .arg = "FILE",       \
		.doc = "File with the fleet's secret"                          \
	}
#define OPT_JSON                                                               \
	{                                                                      \
		.name = "json", .key = KEY_JSON, .doc = "Print JSON"           \
	}
#define OPT_TIMEOUT                                                            \
	{                                                                      \
		.name = "timeout", .key = KEY_TIMEOUT, .arg = "MS",            \
		.doc = "Time that a daemon has for one answer (2000)"          \
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
	  .key = KEY_WAIT,
	  .arg = "SECONDS",
	  .doc = "Wait until every daemon has the version in force" },
	{ 0 },
};
static const struct argp_option servers_options[] = {
	OPT_FLEET,
	OPT_JSON,
	{ .name = "service",
	  .key = KEY_SERVICE,
	  .arg = "NAME",
	  .doc = "Only the servers of this service" },
	{ 0 },
};
static const struct argp_option key_new_options[] = {
	{ .name = "out",
	  .key = KEY_OUT,
	  .arg = "FILE",
	  .doc = "File to create for the key, with mode 0600" },
	{ .name = "name",
	  .key = KEY_NAME,
	  .arg = "NAME",
	  .doc = "Name of the key in the printed line (key)" },
	{ 0 },
};
static const struct argp_option key_digest_options[] = {
	{ .name = "name",
	  .key = KEY_NAME,
	  .arg = "NAME",
	  .doc = "Name of the key in the printed line (key)" },
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
	  "Publish a folder. Writes nothing if it equals what is in force.",
	  apply_options, ctl_apply },
	{ "diff", "FOLDER",
	  "List what a folder would change. Both sides are shown with defaults.",
	  diff_options, ctl_diff },
	{ "show", NULL, "Show what each daemon has in force.", fleet_options,
	  ctl_show },
	{ "members", NULL, "List the members as one daemon knows them.",
	  fleet_options, ctl_members },
	{ "shards", NULL, "List the owners of the shards.", fleet_options,
	  ctl_shards },
	{ "servers", NULL,
	  "List the backend servers, which are ejected, and why.",
	  servers_options, ctl_servers },
	{ "explain-server", "NAME",
	  "Show what each daemon knows about a backend server.", fleet_options,
	  ctl_explain_server },
	{ "explain-account", "NAME",
	  "Show what each daemon holds of an account's rate.", fleet_options,
	  ctl_explain_account },
	{ "explain-change", NULL,
	  "List the daemons behind the newest version, and why.", fleet_options,
	  ctl_explain_change },
	{ "counters", NULL, "Sum the counters of all daemons.", fleet_options,
	  ctl_counters },
	{ "drain", "SERVER", "Tell every daemon that a backend server drains.",
	  fleet_options, ctl_drain },
	{ "revoke", "KEYFILE|DIGEST",
	  "Revoke a key at once, also while the store is unavailable. Remove "
	  "the key from the folder and apply it, too.",
	  fleet_options, ctl_revoke },
	{ "key new", NULL,
	  "Make a key in a file and print its line for the folder.",
	  key_new_options, ctl_key_new },
	{ "key digest", NULL,
	  "Print the folder's line for a key read from standard input.",
	  key_digest_options, ctl_key_digest },
};

/* State of one run of argp. */
struct parse {
	const struct command *command;
	struct ctl_options *o;
};

static int parse_number(struct argp_state *state, const char *text, int highest)
{
	guint64 n;

	if (!g_ascii_string_to_unsigned(text, 10, 0, (guint64)highest, &n,
					NULL))
		argp_error(state, "a number from 0 to %d is expected", highest);
	return (int)n;
}

/* The message does not repeat the argument, which may be a key in clear. */
static void parse_argument(struct argp_state *state, struct parse *p, char *arg)
{
	if (!p->command->arg || p->o->arg)
		argp_error(state, "too many arguments");
	p->o->arg = arg;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct parse *p = state->input;
	struct ctl_options *o = p->o;

	switch (key) {
	case KEY_STORE:
		o->store_url = arg;
		return 0;
	case KEY_PEERS:
		o->peers = arg;
		return 0;
	case KEY_SECRET:
		o->secret_file = arg;
		return 0;
	case KEY_SERVICE:
		o->service = arg;
		return 0;
	case KEY_OUT:
		o->out_file = arg;
		return 0;
	case KEY_NAME:
		o->key_name = arg;
		return 0;
	case KEY_JSON:
		o->json = true;
		return 0;
	case KEY_WAIT:
		o->wait_s = parse_number(state, arg, 3600);
		return 0;
	case KEY_TIMEOUT:
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
	struct parse p = { .command = c, .o = &o };
	char *doc = g_strconcat(c->doc, EXIT_CODES, NULL);
	const struct argp argp = { .options = c->options,
				   .parser = parse_option,
				   .args_doc = c->arg,
				   .doc = doc };
	char *name = g_strconcat("celerygladectl ", c->name, NULL);
	int rc;

	argv[0] = name;
	rc = argp_parse(&argp, argc, argv, 0, NULL, &p) ? CTL_FAULT
							: c->run(&o);
	g_free(name);
	g_free(doc);
	return rc;
}

/* Returns how many words of the command line name the command. */
static int matches(const struct command *c, int argc, char **argv)
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

static int usage(int argc, char **argv)
{
	GString *doc = g_string_new("Operates a celeryglade fleet.\n\n"
				    "Commands (each has --help):\n");
	struct argp argp = { .args_doc = "COMMAND [OPTION...]" };

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		const char *text = commands[i].doc;
		int first = (int)(strchr(text, '.') - text) + 1;

		g_string_append_printf(doc, "  %-16s %.*s\n", commands[i].name,
				       first, text);
	}
	g_string_append(doc, EXIT_CODES);
	argp.doc = doc->str;
	/* Handles --help and --usage and then ends the process. */
	if (argc > 1 && argv[1][0] == '-')
		argp_parse(&argp, argc, argv, 0, NULL, NULL);
	fprintf(stderr, argc > 1 ? "celerygladectl: unknown command\n"
				 : "celerygladectl: a command is missing\n");
	argp_help(&argp, stderr, ARGP_HELP_SEE, "celerygladectl");
	g_string_free(doc, TRUE);
	return CTL_FAULT;
}

int main(int argc, char **argv)
{
	argp_err_exit_status = CTL_FAULT;
	cg_log_init("celerygladectl", G_LOG_LEVEL_WARNING, FALSE);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		int n = matches(&commands[i], argc, argv);

		if (n)
			return run_command(&commands[i], argc - n, argv + n);
	}
	return usage(argc, argv);
}
