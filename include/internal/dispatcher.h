/**
 * @file dispatcher.h
 * Dispatcher: for each service, the queue of waiting requests and a bounded
 * pool of worker threads that make the attempts.
 */
#ifndef CELERYGLADE_INTERNAL_DISPATCHER_H
#define CELERYGLADE_INTERNAL_DISPATCHER_H

#include <json-c/json.h>

#include "internal/proxy.h"

struct cg_dispatcher *cg_dispatcher_new(struct cg_proxy *p);

/** Waits for the workers to end, then frees. No request may be queued. */
void cg_dispatcher_free(struct cg_dispatcher *d);

/** Queues a request that passed the filters. Returns 0, also if the request was
 * settled meanwhile, or -1 if the queue is full. */
int cg_dispatcher_enqueue(struct cg_dispatcher *d, struct cg_request *r);

/** Settles a request whose deadline has passed and removes it from the
 * queue. */
void cg_dispatcher_expire(struct cg_dispatcher *d, struct cg_request *r);

/** Returns the queue length and number of workers per service as JSON; the
 * caller owns the result. */
struct json_object *cg_dispatcher_status(struct cg_dispatcher *d);

#endif
