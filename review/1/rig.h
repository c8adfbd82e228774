/*
 * Rig of the review's scripts: starts the project's gateways and its store
 * stand-in as processes, and has stand-ins for servers and clients and a TCP
 * proxy as threads. All addresses are loopback addresses, all ports are free
 * ones, and all files but record.txt are in a temporary folder.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_HELD 0 /* exit status: the rule held */
#define RIG_BROKEN 1
#define RIG_CANNOT_RUN 2

#define GATEWAYS_MAX 12

/* The disruption takes place; false with TROUBLE=0. */
extern bool rig_trouble;

/* Opens record.txt in the folder argv[1] and reads TROUBLE. */
void rig_init(int argc, char **argv);
/* Writes a line with the time since the start to record.txt. */
void rec(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Ends all processes, removes the temporary folder and exits. */
void rig_exit(int status, const char *format, ...)
	__attribute__((format(printf, 2, 3), noreturn));
long long now_ms(void);
void sleep_ms(long ms);

/* ---- store ---- */
void store_start(void);
uint16_t store_port(void);
/* Creates or replaces an object; returns once the store has answered. */
void store_put(const char *kind, const char *name, const char *spec);
void store_delete(const char *kind, const char *name);
/* A configuration with the routes /safe/ and /unsafe/ to service "svc" (two
 * attempts, 3 s), the tenant "acc" and its key "k1". */
void store_put_config(int version, int rate, int burst);

/* ---- gateways ---- */
struct gateway {
	char name[32], domain[32], ip[32];
	uint16_t store_port; /* where it reaches the store */
	pid_t pid;
};
extern struct gateway gateways[GATEWAYS_MAX];
extern int gateway_count;
/* @domains: the domains of all gateways, such as "a" or "a,b". */
struct gateway *gateway_add(const char *name, const char *domain,
			    const char *domains);
void gateway_start(struct gateway *g);
void gateway_signal(struct gateway *g, int sig);
/* Waits until all answer 200 to GET /ready; exits with 2 after 10 s. */
void gateways_wait_ready(void);
int gateway_ready_status(struct gateway *g);
/* Whether the process has ended by itself; text in @how. */
bool gateway_ended(struct gateway *g, char how[64]);
/* Writes the lines of the gateway's log that contain @word to record.txt. */
void gateway_log_to_record(struct gateway *g, const char *word, int most);

/* ---- servers ---- */
struct call {
	char method[16], path[256], id[80], expect[80], tenant[80];
	size_t body_len;
};
struct server;
/* One connection of a server; the case's handler may keep a note there. */
struct server_conn {
	int fd;
	struct server *server;
	int note;
};
struct server {
	char id[32], zone[32];
	uint16_t port;
	int slots;
	int work_ms;
	int listen_fd;
	/* Answers a call; NULL: server_run(). Returns false to close. */
	bool (*handle)(struct server_conn *c, const struct call *q);
	_Atomic bool ended; /* see server_end() */
	_Atomic int cut; /* calls that were at work then */
	/* More header lines of each answer, each with CRLF; NULL: none. */
	char *more_headers;
};
void server_start(struct server *s, const char *id, const char *zone, int slots,
		  int work_ms);
/* The server's process ends: its calls at work and its connections are cut. */
void server_end(struct server *s);
/* Writes the server's entry in the store. */
void server_register(struct server *s, const char *state);
/* Runs a call: notes it, works, and answers 200 with seal and id. */
bool server_run(struct server_conn *c, const struct call *q);
void server_send(struct server_conn *c, const char *text);

/* Each run of a request at a server. */
struct run {
	char id[80], server[32];
	long long at;
};
int run_count(const char *id);
/* Returns the time of the first run of @id, or 0. */
long long run_at(const char *id);
/* Copies the runs, oldest first; returns their number. */
int runs_copy(struct run *out, int most);

/* ---- clients ---- */
struct answer {
	/* 0: the connection ended without a whole answer; -1: none in time */
	int status;
	char seal[80], id[80], reason[128];
};
/* Returns a connected socket, or -1. */
int client_connect(const char *ip, uint16_t port, int timeout_ms);
/* @more: further header lines, each with CRLF, or "". */
void client_send(int fd, const char *method, const char *path, const char *id,
		 int deadline_ms, const char *more, const char *body);
void client_read(int fd, struct answer *a, int timeout_ms);
/* Connects to the gateway, sends and reads. */
void client_call(struct gateway *g, const char *method, const char *path,
		 const char *id, struct answer *a);
uint16_t front_port(void);

/* ---- proxy ---- */
enum proxy_mode {
	PROXY_PASS,
	PROXY_SILENT, /* passes nothing; connections stay open */
};
struct proxy {
	uint16_t port, target;
	_Atomic int mode;
	int listen_fd;
	pthread_mutex_t lock;
	struct {
		int fd;
		bool watches; /* its last request was a watch */
	} conns[512];
	int conn_count;
};
void proxy_start(struct proxy *p, uint16_t target);
/* Resets the connections on which a watch waits. Returns their number. */
int proxy_reset_watches(struct proxy *p);

#endif
