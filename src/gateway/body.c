#include "gateway/body.h"

#include <string.h>

#include "celeryglade/buffer.h"

#define BLOCK ((size_t)256 * 1024)

static void free_block(void *block)
{
	cg_buffer_clear(block);
	g_free(block);
}

void cgw_body_append(struct cgw_body *b, const char *data, size_t len,
		     size_t expected)
{
	if (!b->blocks)
		b->blocks = g_ptr_array_new_with_free_func(free_block);
	while (len) {
		size_t i = b->len / BLOCK;
		size_t at = b->len % BLOCK;
		size_t n = MIN(len, BLOCK - at);
		size_t whole = i ? BLOCK : 0; /* only the first one grows */

		if (expected > i * BLOCK)
			whole = MIN(expected - i * BLOCK, BLOCK);
		if (i == b->blocks->len)
			g_ptr_array_add(b->blocks, g_new0(struct cg_buffer, 1));
		cg_buffer_append(b->blocks->pdata[i], data, n, whole, BLOCK);
		b->len += n;
		data += n;
		len -= n;
	}
}

void cgw_body_clear(struct cgw_body *b)
{
	if (b->blocks)
		g_ptr_array_unref(b->blocks);
	memset(b, 0, sizeof(*b));
}

size_t cgw_body_parts(const struct cgw_body *b, size_t pos, struct iovec *out,
		      size_t max)
{
	size_t n = 0;

	while (pos < b->len && n < max) {
		const struct cg_buffer *block = b->blocks->pdata[pos / BLOCK];
		size_t at = pos % BLOCK;

		out[n].iov_base = block->data + at;
		out[n].iov_len = block->len - at;
		pos += out[n++].iov_len;
	}
	return n;
}
