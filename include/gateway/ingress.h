/**
 * @file ingress.h
 * HTTP servers of the gateway: callers, readiness check and metrics.
 */
#ifndef CELERYGLADE_GATEWAY_INGRESS_H
#define CELERYGLADE_GATEWAY_INGRESS_H

#include "gateway/gateway.h"

/** Starts the servers. Returns NULL if one for callers or for the readiness
 * check cannot listen; continues without metrics if that port fails. */
struct cgw_ingress *cgw_ingress_new(struct cgw_gateway *g);
/** Stops the servers and aborts the requests that are being handled. */
void cgw_ingress_free(struct cgw_ingress *i);
/** Stops accepting connections from callers. */
void cgw_ingress_quiesce(struct cgw_ingress *i);
/** Responds to all requests that are being handled, as at their deadlines. */
void cgw_ingress_expire_running(struct cgw_ingress *i);
/** Ends connections on which no request is being handled or waits to be read.
 * Responses that have been sent still reach their callers. */
void cgw_ingress_close_idle(struct cgw_ingress *i);
/** Returns whether all callers have received what has been sent to them, and no
 * request waits to be read. */
bool cgw_ingress_is_delivered(const struct cgw_ingress *i);

#endif
