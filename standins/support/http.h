/**
 * @file http.h
 * What the stand-ins share: reading whole requests, answering, and a control
 * path on a port of its own that stays reachable while the stand-in is "down".
 */
#ifndef STANDINS_HTTP_H
#define STANDINS_HTTP_H

#include <glib.h>
#include <json-c/json.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * Handles one control call. @p in is the parsed body or NULL. Returns the
 * reply's text, which the caller frees, or NULL for a malformed call (400).
 */
typedef GString *(*sh_control_fn)(struct MHD_Connection *c, const char *method,
				  const char *path, struct json_object *in);

/**
 * Starts an HTTP server on 127.0.0.1 with one thread per connection, so that a
 * handler may block. Returns NULL if the port cannot be bound. @p connected
 * may be NULL.
 */
struct MHD_Daemon *sh_listen(uint16_t port, MHD_AcceptPolicyCallback accept,
			     MHD_NotifyConnectionCallback connected,
			     MHD_AccessHandlerCallback handle, void *arg);

/** Starts the control path on 127.0.0.1:@p port. */
struct MHD_Daemon *sh_control_start(uint16_t port, sh_control_fn fn);

/**
 * Collects a request's body in @p ctx, which the server frees at the end of
 * the request. Returns whether the request is complete.
 */
bool sh_collect(void **ctx, const char *data, size_t *size);

/** Returns the body that sh_collect gathered. */
GString *sh_body(void **ctx);

/** Creates a response from a copy of @p text. */
struct MHD_Response *sh_response(const char *text, size_t len);

/** Sends @p r with @p status and drops the reference. */
enum MHD_Result sh_send(struct MHD_Connection *c, unsigned int status,
			struct MHD_Response *r);

/** Returns a request's header or query value, or NULL. */
const char *sh_header(struct MHD_Connection *c, const char *name);
const char *sh_query(struct MHD_Connection *c, const char *name);

/** Reads optional members of a control call; absent ones leave @p out. */
void sh_get_int(struct json_object *in, const char *name, int64_t *out);
void sh_get_double(struct json_object *in, const char *name, double *out);
void sh_get_bool(struct json_object *in, const char *name, bool *out);

/** Returns the member's text or NULL. */
const char *sh_get_string(struct json_object *in, const char *name);

/** Whether the caller has closed the connection. Waits up to @p ms for it. */
bool sh_closed_within(struct MHD_Connection *c, int ms);

/** Milliseconds of the monotonic clock. */
int64_t sh_now(void);

/** Waits for SIGTERM or SIGINT, which must have been blocked by sh_block. */
void sh_wait_for_signal(void);
void sh_block_signals(void);

#endif
