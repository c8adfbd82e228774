/* A minimal object store over HTTP for tests of programs: versioned objects,
 * conditional writes and the list of instances, as docs/platform-api.md
 * specifies them. */
#ifndef TESTS_SUPPORT_HTTP_STORE_H
#define TESTS_SUPPORT_HTTP_STORE_H

#include <stdbool.h>
#include <stdint.h>

struct http_store;

/* Starts on a loopback port. Returns NULL if the port is in use. */
struct http_store *http_store_start(uint16_t port);

/* Stops serving and frees @p s, which may be NULL. */
void http_store_stop(struct http_store *s);

/* Sets the body of GET /v1/instances. */
void http_store_set_instances(struct http_store *s, const char *text);

/* Sets whether every call gets 503. Also cancels
 * http_store_fail_after_update(). */
void http_store_set_outage(struct http_store *s, bool outage);

/* The next update of an object takes effect but gets 500; all later calls get
 * 503. */
void http_store_fail_after_update(struct http_store *s);

/* The next update fails with 412, as if a concurrent writer had updated the
 * object first. */
void http_store_race_next_update(struct http_store *s);

#endif
