/* A small object store over HTTP for tests of programs: objects with versions,
 * conditional writes and the list of instances, as in docs/platform-api.md. */
#ifndef TESTS_SUPPORT_HTTP_STORE_H
#define TESTS_SUPPORT_HTTP_STORE_H

#include <stdbool.h>
#include <stdint.h>

struct http_store;

/* Starts on a loopback port; NULL if it is taken. */
struct http_store *http_store_start(uint16_t port);
void http_store_stop(struct http_store *s);

/* Sets the body of GET /v1/instances. */
void http_store_set_instances(struct http_store *s, const char *text);

/* While set, every call gets 503. */
void http_store_set_outage(struct http_store *s, bool outage);

/* The next update of an object takes effect, but gets 500, and so do all later
 * calls. */
void http_store_fail_after_update(struct http_store *s);

/* The next update finds that another writer was faster. */
void http_store_race_next_update(struct http_store *s);

#endif
