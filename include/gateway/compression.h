/**
 * @file compression.h
 * The content coding "deflate" of HTTP, by zlib.
 */
#ifndef CELERYGLADE_GATEWAY_COMPRESSION_H
#define CELERYGLADE_GATEWAY_COMPRESSION_H

#include <glib.h>

/** Name of the coding in Accept-Encoding and Content-Encoding. */
#define CGW_COMPRESSION_CODING "deflate"

/** Returns the compressed data, which the caller frees. */
GBytes *cgw_compress(const void *data, size_t len);
/** Returns the data that was compressed, which the caller frees; NULL if it is
 * invalid, incomplete or longer than @p max bytes. */
GByteArray *cgw_decompress(const void *data, size_t len, size_t max);

#endif
