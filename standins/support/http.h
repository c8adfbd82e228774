/**
 * @file http.h
 * HTTP functions that the stand-ins share: reading complete requests, sending
 * responses, and a control path on a separate port, which stays reachable while
 * the stand-in simulates an outage.
 */
#ifndef STANDINS_HTTP_H
#define STANDINS_HTTP_H

#include <glib.h>
#include <json-c/json.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * Handles one control call. @p in is the parsed body or NULL. Returns the body
 * of the response, which the caller frees, or NULL for a malformed call (400).
 */
typedef GString *(*sh_control_fn)(struct MHD_Connection *c, const char *method,
				  const char *path, struct json_object *in);

/**
 * Starts an HTTP server on 127.0.0.1 with one thread per connection, so that a
 * handler may block. Port 0 stands for any free port. Returns NULL if the port
 * cannot be bound. @p accept and @p connected may be NULL.
 */
struct MHD_Daemon *sh_listen(uint16_t port, MHD_AcceptPolicyCallback accept,
			     MHD_NotifyConnectionCallback connected,
			     MHD_AccessHandlerCallback handle, void *arg);

/** Starts the control path on 127.0.0.1:@p port. Returns NULL if the port
 * cannot be bound. */
struct MHD_Daemon *sh_control_start(uint16_t port, sh_control_fn fn);

/**
 * Appends received data to the request's body in @p ctx, which the server frees
 * at the end of the request. Returns whether the request is complete.
 */
bool sh_collect_body(void **ctx, const char *data, size_t *size);

/** Returns the body that sh_collect_body() has collected. */
GString *sh_body(void **ctx);

/** Creates a response from a copy of @p text. */
struct MHD_Response *sh_response(const char *text, size_t len);

/** Queues @p r with @p status and releases the reference to it. */
enum MHD_Result sh_send(struct MHD_Connection *c, unsigned int status,
			struct MHD_Response *r);

/** Returns the value of a request's header or query parameter, or NULL. */
const char *sh_header(struct MHD_Connection *c, const char *name);
const char *sh_query(struct MHD_Connection *c, const char *name);

/** Reads an optional member of a control call. @p out is unchanged if the
 * member is absent. */
void sh_get_int(struct json_object *in, const char *name, int64_t *out);
void sh_get_double(struct json_object *in, const char *name, double *out);
void sh_get_bool(struct json_object *in, const char *name, bool *out);

/** Returns the text of a member, or NULL if it is absent. */
const char *sh_get_string(struct json_object *in, const char *name);

/** Waits up to @p ms milliseconds for the caller to close the connection.
 * Returns whether it has. */
bool sh_wait_for_close(struct MHD_Connection *c, int ms);

/** Returns the time of the monotonic clock in ms. */
int64_t sh_now_ms(void);

/** Waits for SIGTERM or SIGINT. sh_block_signals() must have been called before
 * any thread was started. */
void sh_wait_for_signal(void);

/** Blocks SIGTERM and SIGINT in the calling thread and its later children. */
void sh_block_signals(void);

#endif
