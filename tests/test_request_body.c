/* Guards against a body whose bytes are lost, repeated or moved where one block
 * ends and the next begins, or where it leaves the heap. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <string.h>

#include "celeryglade/buffer.h"
#include "gateway/body.h"

#define LENGTH_MAX ((size_t)700 * 1024) /* more than two blocks */
#define PARTS	   3

static char expected_byte(size_t i)
{
	return (char)(i * 31 + i / 251);
}

static void fill(char *piece, size_t from, size_t n)
{
	for (size_t i = 0; i < n; i++)
		piece[i] = expected_byte(from + i);
}

/* Reads the body in calls of a few parts, from @step bytes on each time. */
static void check_body(const struct cgw_body *b, size_t step)
{
	for (size_t pos = 0; pos < b->len; pos += step) {
		struct iovec parts[PARTS];
		size_t n = cgw_body_parts(b, pos, parts, PARTS);
		size_t at = pos;

		assert_true(n > 0);
		for (size_t i = 0; i < n; i++) {
			const char *data = parts[i].iov_base;

			for (size_t k = 0; k < parts[i].iov_len; k++)
				assert_true(data[k] == expected_byte(at++));
		}
		assert_true(at == b->len || n == PARTS);
	}
}

static void body_keeps_its_bytes(void **state)
{
	static const size_t pieces[] = { 64, 1000, 32768, 300000 };
	static const size_t lengths[] = { 1,	  4096,	  65536,  65537,
					  262144, 262145, 524288, LENGTH_MAX };
	static char piece[300000];

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(pieces); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(lengths); j++)
			for (int declared = 0; declared <= 1; declared++) {
				struct cgw_body b = { 0 };

				while (b.len < lengths[j]) {
					size_t n = MIN(pieces[i],
						       lengths[j] - b.len);

					fill(piece, b.len, n);
					cgw_body_append(&b, piece, n,
							declared ? lengths[j]
								 : 0);
				}
				check_body(&b, 100003);
				cgw_body_clear(&b);
				assert_int_equal(b.len, 0);
			}
}

static void buffer_keeps_its_bytes(void **state)
{
	struct cg_buffer b = { 0 };
	char piece[777];

	(void)state;
	while (b.len + sizeof(piece) <= LENGTH_MAX) {
		fill(piece, b.len, sizeof(piece));
		cg_buffer_append(&b, piece, sizeof(piece), 0, LENGTH_MAX);
	}
	for (size_t i = 0; i < b.len; i++)
		assert_true(b.data[i] == expected_byte(i));
	cg_buffer_clear(&b);
	assert_null(b.data);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(body_keeps_its_bytes),
		cmocka_unit_test(buffer_keeps_its_bytes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
