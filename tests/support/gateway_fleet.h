/**
 * @file gateway_fleet.h
 * Gateway processes on loopback addresses, with a stand-in store and scripted
 * servers, for system tests.
 */
#ifndef CELERYGLADE_TESTS_GATEWAY_FLEET_H
#define CELERYGLADE_TESTS_GATEWAY_FLEET_H

#include <sys/types.h>

#include "../../standins/support/object_store.h"
#include "scripted_server.h"

#define GF_DAEMONS 4
#define GF_SERVERS 4

struct gateway_fleet {
	struct objects *store;
	struct scripted_server servers[GF_SERVERS];
	pid_t pids[GF_DAEMONS];
	unsigned int daemons;
	uint16_t ports; /**< front, ready, peers */
	char dir[64];
	unsigned int version;
};

/** What a caller got. */
struct gf_response {
	int status; /**< 0: no whole response. */
	char body[128];
	char seal[32];
	char retry_after[32];
	long ms;
};

/** A call by a caller. */
struct gf_request {
	unsigned int daemon;
	const char *method;
	const char *path;
	const char *key;
	const char *id;
	long deadline_ms; /**< 0: none said. */
	long client_timeout_ms; /**< The caller leaves after this long; 0: never. */
};

/** Starts store, servers (two in each of the domains "a" and "b", service
 * "svc") and @p daemons processes, the first half in "a". */
void gf_start(struct gateway_fleet *f, unsigned int daemons);
void gf_stop(struct gateway_fleet *f);
/** Starts one daemon (again). */
void gf_start_daemon(struct gateway_fleet *f, unsigned int i);
/** Writes a configuration: safe route /safe/ and unsafe route /unsafe/ to
 * "svc", an open one /open/, key "k1" of account "acc" unless @p key is false,
 * with this rate and burst (0: no limit). @p extra adds rules, or is "". */
void gf_put_config(struct gateway_fleet *f, bool key, int rate, int burst,
		   const char *extra);
/** Writes the entry of server @p i. */
void gf_put_server(struct gateway_fleet *f, unsigned int i, const char *state);
/** Waits until all daemons are ready. Fails the test after 8 s. */
void gf_wait_ready(struct gateway_fleet *f);
int gf_ready_status(struct gateway_fleet *f, unsigned int i);
struct gf_response gf_call(struct gateway_fleet *f, const struct gf_request *r);
/** A GET of /safe/x with key k1 and a fresh id. */
struct gf_response gf_get(struct gateway_fleet *f, unsigned int daemon);
/** Opens a caller's connection to a daemon and sends @p text. */
int gf_send_raw(struct gateway_fleet *f, unsigned int daemon, const char *text);
/** Reads from it until @p count responses have begun or @p ms are over.
 * Returns the text, which the caller frees. */
char *gf_read_responses(int fd, unsigned int count, long ms);
/** How often a text stands in the log of a daemon. */
int gf_count_in_log(struct gateway_fleet *f, unsigned int daemon,
		    const char *text);
int gf_total_runs(struct gateway_fleet *f, const char *id);

#endif
