#include "gateway/compression.h"

#include <string.h>
#include <zlib.h>

/* The output of cgw_decompress() grows in steps of this size. */
#define STEP_BYTES ((size_t)64 * 1024)

GBytes *cgw_compress(const void *data, size_t len)
{
	uLongf n = compressBound((uLong)len);
	Bytef *out = g_malloc(n);
	int rc = compress2(out, &n, data, (uLong)len, Z_BEST_SPEED);

	/* The buffer is large enough, and the level is valid. */
	g_assert(rc == Z_OK);
	return g_bytes_new_take(g_realloc(out, n), n);
}

GByteArray *cgw_decompress(const void *data, size_t len, size_t max)
{
	GByteArray *out = g_byte_array_new();
	z_stream z = { .next_in = (z_const Bytef *)data,
		       .avail_in = (uInt)len };
	int rc = inflateInit(&z);

	/* Room for one byte more shows whether the data is too long. */
	while (rc == Z_OK && z.total_out <= max) {
		size_t room = MIN(STEP_BYTES, max + 1 - z.total_out);

		g_byte_array_set_size(out, (guint)(z.total_out + room));
		z.next_out = out->data + z.total_out;
		z.avail_out = (uInt)room;
		rc = inflate(&z, Z_NO_FLUSH);
	}
	inflateEnd(&z);
	if (rc == Z_STREAM_END && z.total_out <= max) {
		g_byte_array_set_size(out, (guint)z.total_out);
		return out;
	}
	g_byte_array_unref(out);
	return NULL;
}
