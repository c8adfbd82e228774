/**
 * @file scripted_server.h
 * Backend server for tests that follows the users' platform: it responds with
 * the id of the request and a seal header, or fails according to its mode.
 */
#ifndef CELERYGLADE_TESTS_SCRIPTED_SERVER_H
#define CELERYGLADE_TESTS_SCRIPTED_SERVER_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

enum scripted_mode {
	SCRIPTED_OK,
	SCRIPTED_HANG, /**< Runs the request, never responds. */
	SCRIPTED_SHED, /**< Responds 503 with X-Not-Run. */
	SCRIPTED_ERROR, /**< Runs the request, responds 500. */
	SCRIPTED_CLOSE, /**< Runs the request, closes the connection. */
	SCRIPTED_TRUNCATE, /**< Sends half of the body, then closes. */
	SCRIPTED_CROSSED, /**< Sends another request's response first. */
	SCRIPTED_EXTRA, /**< Sends the response twice. */
	SCRIPTED_GARBAGE, /**< Sends bytes that are not HTTP, then closes. */
	/** Sends no length; the body ends with the connection. */
	SCRIPTED_UNFRAMED,
	/** Responds 200 without the seal header, which would prove that the
	 * server itself responded. */
	SCRIPTED_UNSEALED,
	/** Responds 421 with another server's id, as if that server had taken
	 * over the address. */
	SCRIPTED_MISPLACED,
	/** Sends a head with a length, but no body, and waits. */
	SCRIPTED_NO_BODY,
	/** Sends the response, and 30 ms later once more. */
	SCRIPTED_LATE_COPY,
	/** Responds 503 with X-Not-Run and no id. The next request on the
	 * connection runs, and a copy of the 503 comes before its response. */
	SCRIPTED_SHED_COPY,
	/** The same, but the first request on the connection is served. */
	SCRIPTED_STRAY_SHED,
	/** Serves the first request on a connection and rejects the others with
	 * X-Not-Run and no id. */
	SCRIPTED_SHED_WITHOUT_ID,
	/** Rejects an id with X-Not-Run and the id. When it comes again on the
	 * connection, it runs, and a copy of the rejection comes before its
	 * response. */
	SCRIPTED_SHED_COPY_WITH_ID,
	/** Sends the first cut_at bytes of cut_text, "@" being the id of the
	 * request, and closes. */
	SCRIPTED_CUT,
	/** Responds 200 with "Server-Leaving: 1". */
	SCRIPTED_LEAVING,
	/** Responds 503 with X-Not-Run and the Retry-After retry_after. */
	SCRIPTED_REST,
	/** Runs the request, responds 503 (429, 408) without X-Not-Run. */
	SCRIPTED_BUSY,
	SCRIPTED_LIMITED,
	SCRIPTED_IMPATIENT,
	/** Responds 200 in chunks, with X-Not-Run in the trailer. */
	SCRIPTED_TRAILER,
	/** Respond without a length before the body of the request is read:
	 * a part, and then reset the connection. */
	SCRIPTED_EARLY_RESET,
	/** The whole response, end it in order, and reset the connection 100 ms
	 * later. */
	SCRIPTED_EARLY_CLOSE,
	/** Send without end until the client closes: */
	SCRIPTED_ENDLESS_GARBAGE, /**< Bytes that are not HTTP. */
	SCRIPTED_ENDLESS_HEAD, /**< Header fields. */
	SCRIPTED_ENDLESS_INTERIM, /**< Responses with status 100. */
	SCRIPTED_ENDLESS_BODY, /**< A body without a length. */
	SCRIPTED_ENDLESS_CHUNKS, /**< Chunks. */
	SCRIPTED_ENDLESS_EXTENSION, /**< The extension of one chunk. */
	SCRIPTED_ENDLESS_TRAILER, /**< Trailer fields. */
	SCRIPTED_ENDLESS_STRANGERS, /**< Responses to other requests. */
};

struct scripted_server {
	uint16_t port;
	_Atomic int mode;
	/** Requests that the mode still applies to; -1: all. */
	_Atomic int mode_remaining;
	_Atomic int delay_ms;
	const char *_Atomic cut_text;
	_Atomic int cut_at;
	const char *_Atomic retry_after;
	_Atomic int connections; /**< Connections accepted so far. */
	_Atomic int requests; /**< Requests read so far. */
	/** Bytes sent without end, at all connections together. */
	_Atomic int64_t endless_bytes;
	/** Clients that disconnected during SCRIPTED_HANG. */
	_Atomic int hang_disconnects;
	int fd;
	GThread *thread;
	GMutex lock;
	GHashTable *runs; /**< Request id to number of runs. */
	/** The last request as received; protected by lock. */
	char *last_head;
	_Atomic int clients; /**< Threads that serve a connection. */
	_Atomic bool own_bodies; /**< Bodies are the id of the request. */
	_Atomic bool drop_idle; /**< Close idle connections. */
	_Atomic bool stopping;
};

/** Starts on a free loopback port. Returns 0, or -1 on failure. */
int scripted_start(struct scripted_server *s);
void scripted_stop(struct scripted_server *s);
int scripted_runs(struct scripted_server *s, const char *id);
int scripted_total_runs(struct scripted_server *s);
/** Returns a copy of the last request as received; the caller frees it. */
char *scripted_last_head(struct scripted_server *s);

#endif
