/**
 * @file body.h
 * The body of a request, in blocks: it grows without a second copy of what has
 * been received, and each freed block is returned to the system.
 */
#ifndef CELERYGLADE_GATEWAY_BODY_H
#define CELERYGLADE_GATEWAY_BODY_H

#include <glib.h>
#include <sys/uio.h>

/** Zeroed: empty. */
struct cgw_body {
	GPtrArray *blocks; /**< struct cg_buffer. */
	size_t len;
};

/** Adds to the end. @p expected is the length of the whole body; 0: unknown. */
void cgw_body_append(struct cgw_body *b, const char *data, size_t len,
		     size_t expected);
/** Makes the body empty. */
void cgw_body_clear(struct cgw_body *b);
/** Fills @p out with up to @p max parts of the body from @p pos on. Returns their
 * number. */
size_t cgw_body_parts(const struct cgw_body *b, size_t pos, struct iovec *out,
		      size_t max);

#endif
