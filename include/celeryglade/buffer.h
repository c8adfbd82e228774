/**
 * @file buffer.h
 * Bytes of a request body. Above a small size they are kept in pages of their own,
 * which grow without a second copy and are returned to the system at once.
 */
#ifndef CELERYGLADE_BUFFER_H
#define CELERYGLADE_BUFFER_H

#include <stddef.h>

/** Zeroed: empty. */
struct cg_buffer {
	char *data;
	size_t len;
	size_t capacity;
};

/** Adds to the end. The whole has at most @p max bytes, and @p expected if that is
 * not 0. */
void cg_buffer_append(struct cg_buffer *b, const void *data, size_t len,
		      size_t expected, size_t max);
/** Frees the contents and makes the buffer empty. */
void cg_buffer_clear(struct cg_buffer *b);

#endif
