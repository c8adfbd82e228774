/**
 * @file fleet.h
 * Starts stand-ins, daemons and the load tool for system tests, the demo and
 * measurements. A fault of the set-up itself ends the program with a message;
 * every process started here ends with the program, whatever the reason.
 */
#ifndef BENCH_FLEET_H
#define BENCH_FLEET_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define FLEET_MAX_DAEMONS  48
#define FLEET_MAX_BACKENDS 8
#define FLEET_MAX_SERVERS  64
#define FLEET_MAX_LOADS	   64

/** A daemon; its ports follow from its number. */
struct fleet_daemon {
	pid_t pid; /**< 0 when it does not run. */
	char name[32];
	char failure_domain[8];
	int store; /**< Which of the platform's ports it uses. */
	char *settings; /**< Further members of its settings, or "". */
	int starts;
};

/** A stand-in process for some servers of one service. */
struct fleet_backend {
	pid_t pid;
	char service[32];
	int first_port, count, slots, control;
	char *journal;
};

struct fleet {
	int base; /**< First of 300 ports. */
	int claim; /**< Socket that holds the ports. */
	char dir[64];
	char *build;
	pid_t platform;
	struct fleet_daemon daemons[FLEET_MAX_DAEMONS];
	struct fleet_backend backends[FLEET_MAX_BACKENDS];
	pid_t loads[FLEET_MAX_LOADS];
	int n_daemons, n_backends, n_servers, n_loads;
};

/** Claims ports, creates a temporary folder and starts the platform with @p stores ports. */
struct fleet *fleet_new(int stores);

/** Stops all processes and removes the folder, unless FLEET_KEEP is set. */
void fleet_free(struct fleet *f);

/** Runs a program below the build folder; its output goes to LOG.log. */
pid_t fleet_spawn(struct fleet *f, const char *log, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/** Waits for a process and clears @p pid. Returns its exit status, 128 + signal,
 * or -1 if it still runs after @p ms. */
int fleet_wait_process(pid_t *pid, int64_t ms);

/** Starts @p count servers of a service in one process, each with @p slots, with
 * further options of the stand-in, and lists them as SERVICE-1 and so on.
 * Returns the number of the process. */
int fleet_add_backend(struct fleet *f, const char *service, int count,
		      int slots, const char *options);

/** Adds and starts a daemon. Returns its number. */
int fleet_add_daemon(struct fleet *f, const char *failure_domain, int store,
		     const char *settings);

/** Adds and starts @p count daemons in the failure domains a, b and c in turn.
 * The first @p per_store use the platform's first port, the next ones its
 * second port, and so on. */
void fleet_add_daemons(struct fleet *f, int count, int per_store,
		       const char *settings);

/** Starts a daemon again and lists its new start. */
void fleet_restart_daemon(struct fleet *f, int i);

/** Waits until daemon @p i is ready, or all daemons that run if it is -1.
 * Returns 0, or -1 after @p ms. */
int fleet_wait_ready(struct fleet *f, int i, int64_t ms);

/** Signals a daemon; SIGKILL also collects it. */
void fleet_signal_daemon(struct fleet *f, int i, int sig);

/** Waits for a daemon's end. Returns its exit status, or -1. */
int fleet_wait_exit(struct fleet *f, int i, int64_t ms);

/** Writes a file below the fleet's folder. */
void fleet_write_file(struct fleet *f, const char *name, const char *format,
		      ...) G_GNUC_PRINTF(3, 4);

/** Writes a service with a route "/SERVICE" for GET and one for POST for each
 * stand-in process. */
void fleet_write_services(struct fleet *f);

/** Writes an account with that key, or without one if it is NULL. */
void fleet_write_account(struct fleet *f, const char *name, const char *key,
			 double rate, double burst);

/** Publishes the folder "conf" with celerygladectl. Returns its status. */
int fleet_apply_config(struct fleet *f);

/** Runs celerygladectl with a command line; @p out may be NULL. */
int fleet_ctl(struct fleet *f, const char *args, char **out);

/** Changes the faults of the platform, or of a server; @p server 0: all. */
void fleet_set_platform_faults(struct fleet *f, const char *json);
void fleet_change_instances(struct fleet *f, const char *json);
void fleet_set_server_faults(struct fleet *f, int backend, int server,
			     const char *json);

/** Returns a number that a server reports on its control path. */
int64_t fleet_server_number(struct fleet *f, int backend, int server,
			    const char *member);

/** Starts the load tool with further options, against all daemons unless these
 * name targets. */
int fleet_load_start(struct fleet *f, const char *options);

/** Waits for the load tool; the caller owns the summary. */
struct json_object *fleet_load_wait(struct fleet *f, int load);

/** Starts the load tool and waits. */
struct json_object *fleet_run_load(struct fleet *f, const char *options);

/** Path of a load's log; the caller frees it. */
char *fleet_load_log(struct fleet *f, int load);

/** Returns a number of a summary, 0 if absent; "a.b" names a member of a. */
int64_t fleet_summary_number(struct json_object *o, const char *path);

/** Sum of all counts that must be zero for every summary. */
int64_t fleet_count_violations(struct json_object *summary);

/** Reads a daemon's metric, or -1 if the daemon does not answer. */
int64_t fleet_metric(struct fleet *f, int i, const char *name);

/** Sum over the daemons that answer. */
int64_t fleet_metric_sum(struct fleet *f, const char *name);

/** Calls a URL; returns the status or 0. The caller frees @p out. */
long fleet_http(const char *method, const char *url, const char *header,
		const char *body, char **out);

/** One request with a key through daemon @p i; returns the status or 0. */
long fleet_request(struct fleet *f, int i, const char *method, const char *path,
		   const char *key);

/** Waits until every daemon is ready and has answered a GET. What a daemon does
 * between the two is tested by test_system_start. Returns 0 or -1. */
int fleet_wait_serving(struct fleet *f, const char *path, const char *key,
		       int64_t ms);

/** Prints the warnings and errors in the daemons' logs. */
void fleet_print_logs(struct fleet *f);

int fleet_listen_port(struct fleet *f, int i);
int fleet_admin_port(struct fleet *f, int i);
int fleet_peer_port(struct fleet *f, int i);

/** Milliseconds of the monotonic clock. */
int64_t fleet_now_ms(void);

#endif
