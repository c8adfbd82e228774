/**
 * @file fleet.h
 * Starts stand-ins, daemons and the load tool for system tests, the demo and
 * benchmarks. If the set-up fails, the program exits with a message. All
 * processes started here are killed when the program ends, even by a crash.
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

/** A daemon; its ports are computed from its number. */
struct fleet_daemon {
	pid_t pid; /**< 0 if it is not running. */
	char name[32];
	char failure_domain[8];
	int store; /**< Index of the platform port that it uses. */
	char *settings; /**< Additional JSON members of its settings, or "". */
	int starts; /**< How often it was started. */
};

/** A stand-in process that serves the servers of one service. */
struct fleet_backend {
	pid_t pid;
	char service[32];
	int first_port, count, slots, control;
	char *journal; /**< File of executions; see sh_executions_init(). */
};

struct fleet {
	int base; /**< First of 300 ports. */
	int claim_fd; /**< Socket that claims the ports. */
	char dir[64];
	char *build;
	pid_t platform;
	struct fleet_daemon daemons[FLEET_MAX_DAEMONS];
	struct fleet_backend backends[FLEET_MAX_BACKENDS];
	pid_t loads[FLEET_MAX_LOADS];
	int n_daemons, n_backends, n_servers, n_loads;
};

/** Claims ports, creates a temporary folder and starts the platform stand-in
 * with @p stores ports. Free with fleet_free(). */
struct fleet *fleet_new(int stores);

/** Stops all processes and removes the folder, unless the environment variable
 * FLEET_KEEP is set. */
void fleet_free(struct fleet *f);

/** Starts a program of the build folder with arguments; its output is appended
 * to LOG.log in the fleet's folder. Returns its process id. */
pid_t fleet_spawn(struct fleet *f, const char *log, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/** Waits for a process to end and then sets @p pid to 0. Returns its exit
 * status, 128 + signal number, or -1 if it is still running after @p ms. */
int fleet_wait_process(pid_t *pid, int64_t ms);

/** Starts one stand-in process with @p count servers of a service, each with
 * @p slots, and lists them as SERVICE-1, SERVICE-2 and so on. @p options are
 * additional arguments of the stand-in. Returns the index of the process. */
int fleet_add_backend(struct fleet *f, const char *service, int count,
		      int slots, const char *options);

/** Lists and starts a daemon. @p settings are additional JSON members of its
 * settings, or NULL. Returns its index. */
int fleet_add_daemon(struct fleet *f, const char *failure_domain, int store,
		     const char *settings);

/** Adds @p count daemons, in the failure domains a, b and c in turn. The
 * first @p per_store use the platform's first port, the next ones its second
 * port, and so on. */
void fleet_add_daemons(struct fleet *f, int count, int per_store,
		       const char *settings);

/** Starts a stopped daemon again and updates its start in the list. */
void fleet_restart_daemon(struct fleet *f, int i);

/** Waits until daemon @p i is ready, or all running daemons if it is -1.
 * Returns 0, or -1 after @p ms or if a daemon ends. */
int fleet_wait_ready(struct fleet *f, int i, int64_t ms);

/** Sends a signal to a daemon; after SIGKILL, also waits for its end. */
void fleet_signal_daemon(struct fleet *f, int i, int sig);

/** Waits for a daemon to end; returns as fleet_wait_process(). */
int fleet_wait_exit(struct fleet *f, int i, int64_t ms);

/** Writes a file to a path relative to the fleet's folder. */
void fleet_write_file(struct fleet *f, const char *name, const char *format,
		      ...) G_GNUC_PRINTF(3, 4);

/** Writes the configuration of a service for each stand-in process, with a
 * route "/SERVICE" for GET and one for POST. */
void fleet_write_services(struct fleet *f);

/** Writes the configuration of a client account; @p key NULL: without a key. */
void fleet_write_account(struct fleet *f, const char *name, const char *key,
			 double rate, double burst);

/** Publishes the folder "conf" with celerygladectl. Returns its exit status. */
int fleet_apply_config(struct fleet *f);

/** Runs celerygladectl with arguments. Returns its exit status. If @p out is
 * not NULL, it gets the standard output, which the caller frees. */
int fleet_ctl(struct fleet *f, const char *args, char **out);

/** Sets faults of the platform stand-in. */
void fleet_set_platform_faults(struct fleet *f, const char *json);

/** Changes the platform's list of instances; see sh_list_change(). */
void fleet_change_instances(struct fleet *f, const char *json);

/** Sets faults of a server, numbered from 1, or of all in the process if
 * @p server is 0. */
void fleet_set_server_faults(struct fleet *f, int backend, int server,
			     const char *json);

/** Returns a number that the stand-in reports for a server, numbered from 1, or
 * -1 if it is absent. */
int64_t fleet_server_number(struct fleet *f, int backend, int server,
			    const char *member);

/** Starts the load tool with additional options. The targets are all daemons
 * unless @p options contain targets. Returns the index of the load. */
int fleet_load_start(struct fleet *f, const char *options);

/** Waits for a load to end. Returns its summary, which the caller owns. */
struct json_object *fleet_load_wait(struct fleet *f, int load);

/** Runs fleet_load_start() and fleet_load_wait(). */
struct json_object *fleet_run_load(struct fleet *f, const char *options);

/** Returns the path of a load's log, which the caller frees. */
char *fleet_load_log(struct fleet *f, int load);

/** Returns a number in a summary, 0 if it is absent. @p path "a.b" means the
 * member b of the object a. */
int64_t fleet_summary_number(struct json_object *o, const char *path);

/** Returns the sum of the counts in a summary that must be zero, and prints
 * those that are not. */
int64_t fleet_count_violations(struct json_object *summary);

/** Returns a metric of a daemon, 0 if it is absent, or -1 if the daemon does
 * not respond. */
int64_t fleet_metric(struct fleet *f, int i, const char *name);

/** Returns the sum of a metric over the daemons that respond. */
int64_t fleet_metric_sum(struct fleet *f, const char *name);

/** Sends an HTTP request. @p header, @p body and @p out may be NULL. Returns
 * the status, or 0 without a complete response. The caller frees @p out. */
long fleet_http(const char *method, const char *url, const char *header,
		const char *body, char **out);

/** Sends a request with a client key to daemon @p i. Returns the status or
 * 0. */
long fleet_request(struct fleet *f, int i, const char *method, const char *path,
		   const char *key);

/** Waits until each daemon is ready and has answered a GET of @p path with 200.
 * test_system_start tests requests between the two. Returns 0, or -1 after
 * @p ms. */
int fleet_wait_serving(struct fleet *f, const char *path, const char *key,
		       int64_t ms);

/** Prints the warnings and errors in the daemons' logs. */
void fleet_print_logs(struct fleet *f);

int fleet_listen_port(struct fleet *f, int i);
int fleet_admin_port(struct fleet *f, int i);
int fleet_peer_port(struct fleet *f, int i);

/** Returns the time of the monotonic clock in ms. */
int64_t fleet_now_ms(void);

#endif
