/**
 * @file raw_server.h
 * An HTTP server that responds with given bytes, for tests of responses that no
 * correct server sends.
 */
#ifndef CELERYGLADE_TESTS_RAW_SERVER_H
#define CELERYGLADE_TESTS_RAW_SERVER_H

#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>

struct raw_server {
	int fd;
	uint16_t port;
	pthread_t thread;
	_Atomic int requests; /**< Complete request heads received. */
	_Atomic int connections; /**< Accepted so far. */
	_Atomic int open; /**< Connections not yet closed. */
	/** Responses per connection; the next request closes it unanswered. */
	_Atomic int answered_per_connection;
	/** Format of the response; "%s" is replaced by the attempt's id. If it
	 * contains "close", the connection is closed after it. */
	const char *_Atomic answer;
	_Atomic int close_after_answer; /**< Whatever the answer contains. */
	_Atomic int stopping;
};

/** Starts on a free port of the loopback address. Returns 0 or -1. */
int raw_server_start(struct raw_server *s);

/** Stops the server and waits for its connections to end. */
void raw_server_stop(struct raw_server *s);

#endif
