#include "internal/names.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

bool cg_name_valid(const char *text)
{
	size_t n = strlen(text);

	if (n == 0 || n > CG_NAME_MAX || !g_ascii_isalnum(text[0]))
		return false;
	for (size_t i = 0; i < n; i++)
		if (!g_ascii_isalnum(text[i]) && !strchr("._-", text[i]))
			return false;
	return true;
}

void cg_digest_format(const uint8_t digest[CG_DIGEST_SIZE],
		      char out[CG_DIGEST_HEX_SIZE])
{
	static const char hex[] = "0123456789abcdef";

	for (size_t i = 0; i < CG_DIGEST_SIZE; i++) {
		out[2 * i] = hex[digest[i] >> 4];
		out[2 * i + 1] = hex[digest[i] & 15];
	}
	out[2 * CG_DIGEST_SIZE] = '\0';
}

int cg_digest_parse(const char *text, uint8_t out[CG_DIGEST_SIZE])
{
	for (size_t i = 0; i < CG_DIGEST_SIZE; i++) {
		int high = g_ascii_xdigit_value(text[2 * i]);
		int low = high < 0 ? -1 : g_ascii_xdigit_value(text[2 * i + 1]);

		if (low < 0)
			return -1;
		out[i] = (uint8_t)(high << 4 | low);
	}
	return 0;
}

uint32_t cg_shard_of(const char *name)
{
	return (uint32_t)(XXH64(name, strlen(name), 0) % CG_SHARDS);
}

void cg_key_digest(const char *key, uint8_t out[CG_DIGEST_SIZE])
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = CG_DIGEST_SIZE;

	g_checksum_update(sum, (const guchar *)key, (gssize)strlen(key));
	g_checksum_get_digest(sum, out, &len);
	g_checksum_free(sum);
}
