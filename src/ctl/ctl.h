/**
 * @file ctl.h
 * Shared parts of celerygladectl.
 */
#ifndef CELERYGLADE_CTL_H
#define CELERYGLADE_CTL_H

#include <glib.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "internal/peer.h"
#include "internal/store.h"

/** Exit codes; also in the text of --help. */
enum ctl_exit {
	CTL_OK,
	CTL_FAULT, /**< Wrong usage, or a fault of this machine. */
	CTL_INVALID, /**< The folder has faults. */
	CTL_LOST_RACE, /**< Another writer was faster; nothing was changed. */
	CTL_UNAVAILABLE, /**< The store did not answer; nothing was changed. */
	CTL_UNKNOWN, /**< The write may have taken effect. */
	CTL_NOT_EVERYWHERE, /**< Some daemon did not answer, or is behind. */
};

/** The parsed command line; strings point into it. */
struct ctl_options {
	const char *store_url;
	const char *peers;
	const char *secret_file;
	const char *service;
	const char *out_file;
	const char *key_name;
	bool json;
	int wait_s; /**< -1: do not wait. */
	int timeout_ms;
	const char *arg; /**< Positional argument, or NULL. */
};

/** First delay between repeated calls of the store. */
#define CTL_RETRY_MS	    100
#define CTL_STORE_TIMEOUT_S 10

struct ctl_daemon {
	char name[CG_NAME_MAX + 1]; /**< Empty until known. */
	struct sockaddr_in addr;
	char address[32];
};

/** Access to the daemons. */
struct ctl_fleet {
	struct cg_peer *peer;
	cg_ms timeout;
	bool with_leaving;
	GArray *daemons; /**< struct ctl_daemon. */
};

/**
 * Finds the daemons by --peers or the store's list of instances. A leaving
 * instance still serves requests, so notices go to it, too; but it may end at
 * any time, so it is not waited for. Returns OK, and the caller calls
 * ctl_fleet_close, or another code after a message.
 */
enum ctl_exit ctl_fleet_open(const struct ctl_options *o, bool with_leaving,
			     struct ctl_fleet *f);
void ctl_fleet_close(struct ctl_fleet *f);

/**
 * Asks a STATUS question of every daemon at once. Returns an array of
 * json_object pointers in the order of the daemons, NULL for no answer, that
 * drops its elements. Fills in names of daemons that were not known.
 */
GPtrArray *ctl_ask_all(struct ctl_fleet *f, const char *what, const char *name);

/** Asks one daemon after the other until one answers; -1 if none does. */
int ctl_ask_any(struct ctl_fleet *f, const char *what, const char *name,
		struct json_object **out, const struct ctl_daemon **who);

/** Sends a message to every daemon at once; sets confirmed[i]. */
void ctl_send_all(struct ctl_fleet *f, enum cg_msg_kind kind,
		  const GByteArray *body, bool *confirmed);

/** Name of a daemon for messages: its instance, or its address. */
const char *ctl_daemon_label(const struct ctl_daemon *d);

/** Opens the store of --store, or prints what is missing. */
struct cg_store *ctl_open_store(const struct ctl_options *o);

/** Prints rows of equally many cells as a table; the first row is the head.
 * Control characters are replaced. */
void ctl_print_table(GPtrArray *rows, size_t columns);

/** Prints an array of objects as a table, members in the order of the first
 * object that has them. */
void ctl_print_objects(struct json_object *array);

/** Prints a document on one line and drops it. */
void ctl_print_json(struct json_object *o);

/** Text of a member for a cell of a table; the caller frees it. */
char *ctl_member_text(struct json_object *o, const char *name);

/** Returns an integer member, or @p fallback. */
int64_t ctl_member_int(struct json_object *o, const char *name,
		       int64_t fallback);

/** Returns a string member, or "". It belongs to @p o. */
const char *ctl_member_string(struct json_object *o, const char *name);

enum ctl_exit ctl_check(const struct ctl_options *o);
enum ctl_exit ctl_apply(const struct ctl_options *o);
enum ctl_exit ctl_diff(const struct ctl_options *o);
enum ctl_exit ctl_show(const struct ctl_options *o);
enum ctl_exit ctl_members(const struct ctl_options *o);
enum ctl_exit ctl_shards(const struct ctl_options *o);
enum ctl_exit ctl_servers(const struct ctl_options *o);
enum ctl_exit ctl_explain_server(const struct ctl_options *o);
enum ctl_exit ctl_explain_account(const struct ctl_options *o);
enum ctl_exit ctl_explain_change(const struct ctl_options *o);
enum ctl_exit ctl_counters(const struct ctl_options *o);
enum ctl_exit ctl_drain(const struct ctl_options *o);
enum ctl_exit ctl_revoke(const struct ctl_options *o);
enum ctl_exit ctl_key_new(const struct ctl_options *o);
enum ctl_exit ctl_key_digest(const struct ctl_options *o);

/** Waits up to --wait until every daemon has @p version in force, and prints
 * the time and the daemons that have not. */
enum ctl_exit ctl_wait_in_force(const struct ctl_options *o, uint64_t version,
				const char *write_id);

#endif
