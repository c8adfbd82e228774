/**
 * @file http_text.h
 * Plain-text responses of libmicrohttpd servers.
 */
#ifndef CELERYGLADE_INTERNAL_HTTP_TEXT_H
#define CELERYGLADE_INTERNAL_HTTP_TEXT_H

#include <microhttpd.h>

/** Queues a text/plain response with a copy of @p text. Returns MHD_NO if out
 * of memory. */
enum MHD_Result cg_http_respond_text(struct MHD_Connection *mhd,
				     unsigned int status, const char *text);

#endif
