/**
 * @file scripted_server.h
 * A backend server of the users' platform for tests: answers with the
 * request's id and a seal, or fails as it is told.
 */
#ifndef CELERYGLADE_TESTS_SCRIPTED_SERVER_H
#define CELERYGLADE_TESTS_SCRIPTED_SERVER_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

enum scripted_mode {
	SCRIPTED_OK,
	SCRIPTED_HANG, /**< Runs it, never answers. */
	SCRIPTED_SHED, /**< 503, not run. */
	SCRIPTED_ERROR, /**< Runs it, 500. */
	SCRIPTED_CLOSE, /**< Runs it, closes without an answer. */
	SCRIPTED_TRUNCATE, /**< Half of the body, then closes. */
	SCRIPTED_CROSSED, /**< Another request's response comes first. */
	SCRIPTED_EXTRA, /**< A second response follows. */
	SCRIPTED_GARBAGE,
	SCRIPTED_UNFRAMED, /**< No length; ends with the connection. */
	SCRIPTED_UNSEALED, /**< A success that no server vouches for. */
	SCRIPTED_MISPLACED, /**< 421: another server has the address. */
};

struct scripted_server {
	uint16_t port;
	_Atomic int mode;
	_Atomic int
		mode_remaining; /**< Requests that the mode counts for; -1: all. */
	_Atomic int delay_ms;
	_Atomic int connections; /**< Accepted so far. */
	_Atomic int requests; /**< Heads read. */
	_Atomic int
		hang_disconnects; /**< Connections that ended during a hang. */
	int fd;
	GThread *thread;
	GMutex lock;
	GHashTable *runs; /**< request id to number of runs */
	char *last_head; /**< Of the last request; under the lock. */
	_Atomic bool drop_idle; /**< Close connections without a request. */
	_Atomic bool stopping;
};

/** Starts on a free loopback port. Returns 0 or -1. */
int scripted_start(struct scripted_server *s);
void scripted_stop(struct scripted_server *s);
int scripted_runs(struct scripted_server *s, const char *id);
int scripted_total_runs(struct scripted_server *s);
/** Copy of the last request's head; the caller frees it. */
char *scripted_last_head(struct scripted_server *s);

#endif
