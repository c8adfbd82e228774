/**
 * @file request_memory.h
 * The daemon's share of memory for callers: the budget under a lock, and the
 * bodies that count in it.
 */
#ifndef CELERYGLADE_INTERNAL_REQUEST_MEMORY_H
#define CELERYGLADE_INTERNAL_REQUEST_MEMORY_H

#include <pthread.h>
#include <stddef.h>

#include "celeryglade/memory_budget.h"

struct cg_proxy;
struct cg_request;

/** Zeroed: not set up, nothing is limited. */
struct cg_request_memory {
	pthread_mutex_t lock;
	struct cg_memory_budget budget;
};

/** The body of a response. */
struct cg_response_memory {
	struct cg_memory_item item;
	struct cg_proxy *proxy;
	int fd; /**< Of its caller, once it is being sent. */
};

/** Sets up the budget; see cg_memory_init(). */
void cg_request_memory_init(struct cg_proxy *p);
/** Counts @p bytes more for connections. Returns false if they do not fit; they
 * count nevertheless. */
bool cg_request_memory_connect(struct cg_proxy *p, int64_t bytes);
void cg_request_memory_disconnect(struct cg_proxy *p, int64_t bytes);

/** Reserves memory for the head of a request and @p body bytes. Returns false if
 * there is none. The body may be evicted until cg_request_memory_keep(). */
bool cg_request_memory_reserve(struct cg_request *r, int64_t body);
/** Adds to the body. If there is no room for it, or it has been evicted, it is
 * dropped, and cg_request_memory_keep() will return false. */
void cg_request_memory_append(struct cg_request *r, const char *data,
			      size_t len);
/** Returns whether the whole body is there; it is not evicted from now on. */
bool cg_request_memory_keep(struct cg_request *r);
/** Frees the body. */
void cg_request_memory_drop(struct cg_request *r);

/** Returns memory for a response of which nothing has been read. */
struct cg_response_memory *cg_response_memory_new(struct cg_proxy *p);
/** Counts @p bytes in all. Returns false if there is no room for them. */
bool cg_response_memory_reserve(struct cg_response_memory *m, int64_t bytes);
/** The response is being sent to @p fd, which is shut down if the caller does
 * not read it and others need the memory. Must be followed by
 * cg_response_memory_free() before the descriptor is closed. */
void cg_response_memory_sending(struct cg_response_memory *m, int fd);
void cg_response_memory_progress(struct cg_response_memory *m, size_t bytes);
/** Frees @p m, which may be NULL. */
void cg_response_memory_free(struct cg_response_memory *m);

#endif
