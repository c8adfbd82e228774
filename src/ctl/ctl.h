/**
 * @file ctl.h
 * Declarations shared by the commands of celerygladectl.
 */
#ifndef CELERYGLADE_CTL_H
#define CELERYGLADE_CTL_H

#include <glib.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "internal/peer.h"
#include "internal/store.h"

/** Exit codes. The text of --help lists them, too. */
enum ctl_exit {
	CTL_OK,
	CTL_ERROR, /**< Wrong usage, or a local error. */
	CTL_INVALID_FOLDER, /**< The folder has faults. */
	/** Another writer changed the store first; nothing was changed. */
	CTL_LOST_RACE,
	/** The store did not answer; nothing was changed. */
	CTL_STORE_UNAVAILABLE,
	/** The store did not answer the write, which may have taken effect. */
	CTL_OUTCOME_UNKNOWN,
	/** No daemon was found, or some daemon did not answer, did not confirm
	 * or does not have the newest version in force. */
	CTL_INCOMPLETE,
};

/** The parsed command line. Strings point into argv. */
struct ctl_options {
	const char *store_url;
	const char *peers;
	const char *secret_file;
	const char *service;
	const char *out_file;
	const char *key_name;
	/** Of explain: metrics address of a gateway, and the request. */
	const char *gateway;
	const char *host;
	const char *method;
	const char *account;
	const char *size; /**< Of the body, in bytes. */
	bool json;
	int wait_s; /**< Maximum wait of apply; -1: do not wait. */
	int timeout_ms; /**< For each call of a daemon. */
	const char *arg; /**< Positional argument, or NULL. */
};

/** Delay before the first retry of a store call; later delays are longer. */
#define CTL_STORE_RETRY_DELAY_MS 100
#define CTL_STORE_TIMEOUT_S	 10

/** One daemon of the fleet. */
struct ctl_daemon {
	/** Instance name; empty until the store or the daemon has given it. */
	char name[CG_NAME_MAX + 1];
	struct sockaddr_in addr;
	char address[32]; /**< addr as IP:PORT. */
};

/** The daemons and the peer that calls them. */
struct ctl_fleet {
	struct cg_peer *peer;
	cg_ms timeout_ms; /**< For each call. */
	bool include_leaving; /**< Add leaving instances, too. */
	GArray *daemons; /**< struct ctl_daemon. */
};

/**
 * Finds the daemons from --peers or, without it, from the store's list of
 * instances. With @p include_leaving, leaving instances of that list are
 * included: they still serve requests, so notices must reach them. Other
 * commands leave them out, because a leaving instance may stop at any time and
 * must not be waited for.
 *
 * @return CTL_OK, and the caller releases @p f with ctl_fleet_close(); or
 * another code after printing an error.
 */
enum ctl_exit ctl_fleet_open(const struct ctl_options *o, bool include_leaving,
			     struct ctl_fleet *f);

/** Releases what ctl_fleet_open() allocated, but not @p f itself. */
void ctl_fleet_close(struct ctl_fleet *f);

/**
 * Sends a status request to all daemons concurrently.
 *
 * @param topic Kind of status, such as "summary" or "servers".
 * @param object Name of the object that the request is about, or "".
 * @return Array of json_object pointers in the order of the daemons, NULL for
 * a daemon that did not answer. The array owns its elements; the caller
 * releases the array. Instance names that were unknown are filled in from the
 * answers.
 */
GPtrArray *ctl_query_all(struct ctl_fleet *f, const char *topic,
			 const char *object);

/**
 * Sends a status request to one daemon after the other until one answers.
 * Prints each daemon that does not answer. Parameters as in ctl_query_all().
 *
 * @param out Receives the answer; the caller releases it.
 * @param answered_by Receives the daemon that answered; it belongs to @p f.
 * @return 0, or -1 if no daemon answers.
 */
int ctl_query_any(struct ctl_fleet *f, const char *topic, const char *object,
		  struct json_object **out,
		  const struct ctl_daemon **answered_by);

/**
 * Sends a message to all daemons concurrently.
 *
 * @param confirmed Array with an element for each daemon; set to whether the
 * daemon confirmed the message.
 */
void ctl_send_all(struct ctl_fleet *f, enum cg_msg_kind kind,
		  const GByteArray *body, bool *confirmed);

/** Returns the instance name of a daemon or, if unknown, its address. The
 * string belongs to @p d. */
const char *ctl_daemon_label(const struct ctl_daemon *d);

/** Opens the store that --store names. Returns NULL after printing an error.
 * The caller calls cg_store_free(). */
struct cg_store *ctl_open_store(const struct ctl_options *o);

/** Prints @p rows, arrays of @p columns strings each, as a table. The first row
 * is the header. Control characters are replaced. */
void ctl_print_table(GPtrArray *rows, size_t columns);

/** Prints an array of JSON objects as a table with a column for each member
 * name, in the order in which the names first occur. */
void ctl_print_objects(struct json_object *array);

/** Prints a JSON document on one line and releases it. */
void ctl_print_json(struct json_object *o);

/** Returns the text of a member for a table cell, "-" if it is missing. The
 * caller frees it. */
char *ctl_member_text(struct json_object *o, const char *name);

/** Returns an integer member, or @p fallback if it is missing or not an
 * integer. */
int64_t ctl_member_int(struct json_object *o, const char *name,
		       int64_t fallback);

/** Returns a string member, or "" if it is missing or not a string. The string
 * belongs to @p o. */
const char *ctl_member_string(struct json_object *o, const char *name);

/* Commands. Each prints its result and returns the exit code. */

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
enum ctl_exit ctl_explain(const struct ctl_options *o);
enum ctl_exit ctl_drain(const struct ctl_options *o);
enum ctl_exit ctl_revoke(const struct ctl_options *o);
enum ctl_exit ctl_key_new(const struct ctl_options *o);
enum ctl_exit ctl_key_digest(const struct ctl_options *o);

/**
 * Waits at most --wait seconds until every daemon has @p version, written with
 * @p write_id, or a later version in force. Prints the time waited and the
 * daemons that do not have it in force.
 *
 * @return CTL_OK, CTL_INCOMPLETE if a daemon does not have it in force, or the
 * error of ctl_fleet_open().
 */
enum ctl_exit ctl_wait_in_force(const struct ctl_options *o, uint64_t version,
				const char *write_id);

#endif
