/**
 * @file raw_server.h
 * An HTTP server that answers with given bytes, for responses that no correct
 * server sends.
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
	_Atomic int requests; /**< Whole heads that were read. */
	_Atomic int connections; /**< Accepted so far. */
	_Atomic int open;
	_Atomic int answered_per_connection; /**< Then close unanswered. */
	/** Sent for each request; "%s" stands for the attempt's id. */
	const char *_Atomic answer;
	_Atomic int stopping;
};

/** Starts on a free port of the loopback address. Returns 0 or -1. */
int raw_server_start(struct raw_server *s);
void raw_server_stop(struct raw_server *s);

#endif
