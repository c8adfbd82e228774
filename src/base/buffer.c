#include "celeryglade/buffer.h"

#include <glib.h>
#include <string.h>
#include <sys/mman.h>

/* Up to this capacity a buffer is in the heap. */
#define HEAP_MAX   ((size_t)64 * 1024)
#define HEAP_FIRST ((size_t)1024)

/* Moves the contents to pages of their own. Pages that are not written take no
 * memory, so the capacity is that of the whole. */
static void move_to_pages(struct cg_buffer *b, size_t capacity)
{
	char *pages = mmap(NULL, capacity, PROT_READ | PROT_WRITE,
			   MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);

	if (pages == MAP_FAILED)
		g_error("cannot allocate %zu bytes", capacity);
	if (b->len)
		memcpy(pages, b->data, b->len);
	g_free(b->data);
	b->data = pages;
	b->capacity = capacity;
}

void cg_buffer_append(struct cg_buffer *b, const void *data, size_t len,
		      size_t expected, size_t max)
{
	size_t need = b->len + len;

	if (need > b->capacity) {
		if (MAX(need, expected) > HEAP_MAX) {
			move_to_pages(b, expected ? expected : max);
		} else {
			b->capacity = CLAMP(MAX(need, b->capacity * 2),
					    HEAP_FIRST, HEAP_MAX);
			b->data = g_realloc(b->data, b->capacity);
		}
	}
	memcpy(b->data + b->len, data, len);
	b->len = need;
}

void cg_buffer_clear(struct cg_buffer *b)
{
	if (b->capacity > HEAP_MAX)
		munmap(b->data, b->capacity);
	else
		g_free(b->data);
	memset(b, 0, sizeof(*b));
}
