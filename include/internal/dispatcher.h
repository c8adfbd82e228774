/**
 * @file dispatcher.h
 * Per service: the queue of waiting requests and the bounded pool of workers
 * that make attempts.
 */
#ifndef CELERYGLADE_INTERNAL_DISPATCHER_H
#define CELERYGLADE_INTERNAL_DISPATCHER_H

#include <json-c/json.h>

#include "internal/proxy.h"

struct cg_dispatcher *cg_dispatcher_new(struct cg_proxy *p);

/** Waits for the workers; no request may be waiting. */
void cg_dispatcher_free(struct cg_dispatcher *d);

/** Queues a filtered request for its service. Returns 0, or -1 if the queue is
 * full. */
int cg_dispatcher_enqueue(struct cg_dispatcher *d, struct cg_request *r);

/** Settles a request whose deadline has passed and frees its queue place. */
void cg_dispatcher_expire(struct cg_dispatcher *d, struct cg_request *r);

/** Returns queue lengths and workers per service; the caller owns it. */
struct json_object *cg_dispatcher_status(struct cg_dispatcher *d);

#endif
