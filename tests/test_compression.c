/* Guards against data that is not the same after decompression, and against input
 * of another daemon that is cut short, is no compressed data or grows without
 * limit. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>

#include "gateway/compression.h"

#define LEN ((size_t)200000)

static GBytes *compressed(char **plain)
{
	*plain = g_malloc(LEN);
	for (size_t i = 0; i < LEN; i++)
		(*plain)[i] = (char)('a' + i % 1000 % 23);
	return cgw_compress(*plain, LEN);
}

static GByteArray *decompress(GBytes *b, size_t len, size_t max)
{
	return cgw_decompress(g_bytes_get_data(b, NULL), len, max);
}

/* Guards against a configuration that is changed on its way. */
static void data_is_the_same_again(void **state)
{
	char *plain;
	GBytes *b = compressed(&plain);
	GByteArray *out = decompress(b, g_bytes_get_size(b), LEN);

	(void)state;
	assert_true(g_bytes_get_size(b) < LEN / 10);
	assert_non_null(out);
	assert_int_equal(out->len, LEN);
	assert_memory_equal(out->data, plain, LEN);
	g_byte_array_unref(out);
	g_bytes_unref(b);
	g_free(plain);
}

/* Guards against empty data that is taken for invalid. */
static void empty_data_is_the_same_again(void **state)
{
	GBytes *b = cgw_compress("", 0);
	GByteArray *out = decompress(b, g_bytes_get_size(b), LEN);

	(void)state;
	assert_non_null(out);
	assert_int_equal(out->len, 0);
	g_byte_array_unref(out);
	g_bytes_unref(b);
}

/* Guards against a response that is cut short, or is text, and is taken for whole. */
static void invalid_data_is_refused(void **state)
{
	char *plain;
	GBytes *b = compressed(&plain);

	(void)state;
	assert_null(decompress(b, 0, LEN));
	for (size_t n = 1; n < g_bytes_get_size(b); n += 7)
		assert_null(decompress(b, n, LEN));
	assert_null(cgw_decompress(plain, LEN, LEN));
	g_bytes_unref(b);
	g_free(plain);
}

/* Guards against a small response that takes up all memory. */
static void long_data_is_refused(void **state)
{
	char *plain;
	GBytes *b = compressed(&plain);

	(void)state;
	assert_null(decompress(b, g_bytes_get_size(b), LEN - 1));
	assert_null(decompress(b, g_bytes_get_size(b), 0));
	g_bytes_unref(b);
	g_free(plain);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(data_is_the_same_again),
		cmocka_unit_test(empty_data_is_the_same_again),
		cmocka_unit_test(invalid_data_is_refused),
		cmocka_unit_test(long_data_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
