/**
 * @file options.h
 * Command line of the load tool.
 */
#ifndef BENCH_OPTIONS_H
#define BENCH_OPTIONS_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>

#define MAX_TARGETS  512
#define MAX_ACCOUNTS 64
#define MAX_PATHS    16

/** A client account, its key, and its share of the requests: weight divided by
 * total_weight. */
struct account {
	char *name, *key;
	double weight;
};

/** A daemon, or a backend server if the load is sent to it directly. */
struct target {
	char *base; /**< "http://IP:PORT" */
	char *admin; /**< "IP:PORT", or NULL: assume it is ready. */
	atomic_bool ready;
};

struct load_options {
	struct target targets[MAX_TARGETS];
	int n_targets, n_admins;
	struct account accounts[MAX_ACCOUNTS];
	int n_accounts;
	double total_weight; /**< Sum over the accounts. */
	char *get_paths[MAX_PATHS], *post_paths[MAX_PATHS];
	int n_get, n_post;
	double rate, seconds, post_share, keyed_share;
	int connections, threads, timeout_ms;
	int check_delay_ms; /**< From the last response to the check. */
	int body; /**< Padding of a request, bytes. */
	int max_retries;
	guint32 seed;
	GPtrArray *checks; /**< Sources of executions: URLs or file names. */
	char *json, *log;
};

extern struct load_options opts;

/** Parses the command line into opts; exits on a usage error. */
void load_options_parse(int argc, char **argv);

/** Returns the key of an account, "" if the account is unknown. */
const char *load_account_key(const char *name);

#endif
