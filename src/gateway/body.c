#include "gateway/body.h"

#include <string.h>

/* Larger than glibc's threshold for blocks of their own. */
#define BLOCK	    ((size_t)256 * 1024)
#define FIRST_BLOCK ((size_t)4 * 1024)

/* Makes the first block hold at least @need bytes, which is at most a block. */
static void grow_first(struct cgw_body *b, size_t need, size_t expected)
{
	size_t capacity = MAX(b->capacity * 2, MAX(need, expected));

	if (need <= b->capacity)
		return;
	b->capacity = CLAMP(capacity, FIRST_BLOCK, BLOCK);
	b->blocks->pdata[0] = g_realloc(b->blocks->pdata[0], b->capacity);
}

void cgw_body_append(struct cgw_body *b, const char *data, size_t len,
		     size_t expected)
{
	if (!b->blocks)
		b->blocks = g_ptr_array_new_with_free_func(g_free);
	while (len) {
		size_t i = b->len / BLOCK;
		size_t at = b->len % BLOCK;
		size_t n = MIN(len, BLOCK - at);

		if (i == b->blocks->len)
			g_ptr_array_add(b->blocks, i ? g_malloc(BLOCK) : NULL);
		if (!i)
			grow_first(b, at + n, expected);
		memcpy((char *)b->blocks->pdata[i] + at, data, n);
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
		size_t at = pos % BLOCK;

		out[n].iov_base = (char *)b->blocks->pdata[pos / BLOCK] + at;
		out[n].iov_len = MIN(BLOCK - at, b->len - pos);
		pos += out[n++].iov_len;
	}
	return n;
}
