/**
 * @file explain_serve.h
 * Serves explanations of where a request would go at the metrics address.
 */
#ifndef CELERYGLADE_GATEWAY_EXPLAIN_SERVE_H
#define CELERYGLADE_GATEWAY_EXPLAIN_SERVE_H

#include <microhttpd.h>

#include "gateway/gateway.h"

/** Responds to GET /explain?host=..&path=.. with optional method, account and
 * size. */
enum MHD_Result cgw_explain_respond(struct cgw_gateway *g,
				    struct MHD_Connection *mhd);

#endif
