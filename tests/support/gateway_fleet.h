/**
 * @file gateway_fleet.h
 * Fixture of system tests: gateway processes on loopback addresses with a
 * stand-in store and scripted servers.
 */
#ifndef CELERYGLADE_TESTS_GATEWAY_FLEET_H
#define CELERYGLADE_TESTS_GATEWAY_FLEET_H

#include <glib.h>
#include <sys/types.h>

#include "../../standins/support/object_store.h"
#include "scripted_server.h"

#define GF_DAEMONS 128
#define GF_SERVERS 4

struct gateway_fleet {
	struct objects *store;
	struct scripted_server servers[GF_SERVERS];
	pid_t pids[GF_DAEMONS];
	unsigned int daemons;
	uint16_t ports; /**< First of three: callers, readiness, peers. */
	char dir[64];
	/** Processes that server i has had before; see gf_restart_server(). */
	unsigned int restarts[GF_SERVERS];
	unsigned int version; /**< Of the last configuration written. */
	/** Largest body in the next configuration; 0: 100,000 bytes. */
	unsigned int max_body_bytes;
	/** Idle timeout in the next configuration; 0: 15 s. */
	unsigned int idle_timeout_ms;
	/** Slots in the servers' entries from now on; 0: 3. */
	unsigned int slots;
	/** Settings of the daemons from their next start on; 0: left out. */
	double cpu_share[GF_DAEMONS];
	unsigned int evacuation_bound_ms; /**< Of all daemons. */
	/** Further members of the settings files that are written from now on,
	 * each with a comma after it; NULL: none. */
	const char *settings;
	/** Port of the store in a daemon's settings; 0: its first one. */
	uint16_t store_port[GF_DAEMONS];
	/** Limit of a daemon's descriptors from its next start on; 0: the
	 * test's own. */
	unsigned int descriptors[GF_DAEMONS];
};

/** The response to a caller. */
struct gf_response {
	int status; /**< 0: no complete response. */
	char body[128];
	char seal[32];
	char retry_after[32];
	long ms; /**< Duration of the call. */
};

/** A request by a caller. */
struct gf_request {
	unsigned int daemon;
	const char *method;
	const char *path;
	const char *key;
	const char *id;
	long deadline_ms; /**< 0: no deadline header. */
	long client_timeout_ms; /**< Disconnect after this; 0: 8 s. */
};

/** Starts store, servers (two in each of the domains "a" and "b", service
 * "svc") and @p daemons processes, the first half in "a". */
void gf_start(struct gateway_fleet *f, unsigned int daemons);
/** The first part of gf_start(): everything but the processes, whose settings can
 * then be changed. */
void gf_prepare(struct gateway_fleet *f, unsigned int daemons);
/** Writes the settings of all daemons and starts them. */
void gf_start_daemons(struct gateway_fleet *f);
/** The same, with a configuration without limits, until all are ready. Servers then
 * take @p work_ms for a request. */
void gf_start_serving(struct gateway_fleet *f, unsigned int daemons,
		      int work_ms);
void gf_stop(struct gateway_fleet *f);
/** Writes the settings file of a daemon. */
void gf_write_settings(struct gateway_fleet *f, unsigned int i);
/** Starts or restarts one daemon. */
void gf_start_daemon(struct gateway_fleet *f, unsigned int i);
/** Writes a configuration with the idempotent route /safe/, the non-idempotent
 * route /unsafe/ and the open route /open/, all to service "svc". Account "acc"
 * has this rate and burst (0: no limit), and key "k1" if @p key is set.
 * @p extra contains further rules, or is "". */
void gf_put_config(struct gateway_fleet *f, bool key, int rate, int burst,
		   const char *extra);
/** Writes the store entry of server @p i. */
void gf_put_server(struct gateway_fleet *f, unsigned int i, const char *state);
/** Waits until all daemons are ready. Fails the test after 8 s. */
void gf_wait_ready(struct gateway_fleet *f);
/** Returns the HTTP status of a daemon's readiness check; 0: no response. */
int gf_ready_status(struct gateway_fleet *f, unsigned int i);
/** Writes the entry of a new process of server @p i, at the same address. */
void gf_restart_server(struct gateway_fleet *f, unsigned int i);
/** Sends a request and waits for its response. */
struct gf_response gf_call(struct gateway_fleet *f, const struct gf_request *r);
/** Sends a GET request for /safe/x with key "k1" and a new request id. */
struct gf_response gf_get(struct gateway_fleet *f, unsigned int daemon);
/** Returns the IP address of a daemon's listener for callers; its port is
 * the first of @c ports. The caller frees it. */
char *gf_daemon_ip(unsigned int daemon);
/** Opens a connection to a daemon whose system takes up little of what is not read:
 * about @p receive_buffer bytes. Returns the socket, which the caller closes. */
int gf_connect_slow(struct gateway_fleet *f, unsigned int daemon,
		    int receive_buffer);
/** Opens a connection to a daemon and sends @p text. Returns the socket, which
 * the caller closes. */
int gf_send_raw(struct gateway_fleet *f, unsigned int daemon, const char *text);
/** The same to the port for other daemons. */
int gf_send_raw_peer(struct gateway_fleet *f, unsigned int daemon,
		     const char *text);
/** Appends the message authentication code of a datagram between daemons. */
void gf_sign_datagram(GByteArray *datagram, const char *secret);
/** Reads from a socket until @p count responses have started or @p ms have
 * passed. Returns the text, which the caller frees. */
char *gf_read_responses(int fd, unsigned int count, long ms);
/** Counts the occurrences of a text in the log of a daemon. */
int gf_count_in_log(struct gateway_fleet *f, unsigned int daemon,
		    const char *text);
/** Returns how often all servers together ran a request id. */
int gf_total_runs(struct gateway_fleet *f, const char *id);

#endif
