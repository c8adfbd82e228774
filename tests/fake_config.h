/**
 * @file fake_config.h
 * A fake of src/config with a trivial format, for tests of the replication of
 * the configuration without its real content. A root is
 * {"version":N,"parts":[["HEX",SIZE],...]}. A part lists key digests in hex,
 * one per line; a part with the line "invalid" fails to build. The definitions
 * are weak symbols; include this file in one source file of a program.
 */
#ifndef CELERYGLADE_TESTS_FAKE_CONFIG_H
#define CELERYGLADE_TESTS_FAKE_CONFIG_H

#include <arpa/inet.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal/parts.h"
#include "internal/settings.h"

#define FAKE __attribute__((weak))

struct cg_config {
	_Atomic int refs;
	uint64_t version;
	char *text;
};

FAKE int cg_parse_address(const char *text, struct sockaddr_in *out)
{
	char ip[32];
	unsigned int port;
	char rest;

	memset(out, 0, sizeof(*out));
	if (sscanf(text, "%31[0-9.]:%u%c", ip, &port, &rest) != 2 ||
	    port == 0 || port > 65535 ||
	    inet_pton(AF_INET, ip, &out->sin_addr) != 1)
		return -1;
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return 0;
}

FAKE void cg_format_address(const struct sockaddr_in *a, char *out, size_t size)
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &a->sin_addr, ip, sizeof(ip));
	snprintf(out, size, "%s:%u", ip, ntohs(a->sin_port));
}

static void fake_hex(const uint8_t *d, char out[CG_DIGEST_SIZE * 2 + 1])
{
	for (int i = 0; i < CG_DIGEST_SIZE; i++)
		snprintf(out + (size_t)i * 2, 3, "%02x", d[i]);
}

FAKE void cg_part_name(const uint8_t digest[CG_DIGEST_SIZE],
		       char out[CG_PART_NAME_SIZE])
{
	char hex[CG_DIGEST_SIZE * 2 + 1];

	fake_hex(digest, hex);
	snprintf(out, CG_PART_NAME_SIZE, "config/parts/%.64s", hex);
}

FAKE void cg_part_digest(GBytes *content, uint8_t out[CG_DIGEST_SIZE])
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = CG_DIGEST_SIZE;

	g_checksum_update(sum, g_bytes_get_data(content, NULL),
			  (gssize)g_bytes_get_size(content));
	g_checksum_get_digest(sum, out, &len);
	g_checksum_free(sum);
}

static void fake_parse_hex(const char *hex, uint8_t out[CG_DIGEST_SIZE])
{
	for (int i = 0; i < CG_DIGEST_SIZE; i++) {
		char pair[3] = { hex[i * 2], hex[i * 2 + 1], 0 };

		out[i] = (uint8_t)strtoul(pair, NULL, 16);
	}
}

FAKE int cg_root_parse(GBytes *text, struct cg_root *out, struct cg_faults *f)
{
	struct json_object *o = NULL;
	struct json_object *a;
	int64_t v;
	int rc = -1;

	memset(out, 0, sizeof(*out));
	if (cg_json_parse(g_bytes_get_data(text, NULL), g_bytes_get_size(text),
			  "root", &o, f))
		return -1;
	if (cg_json_get_int(o, "version", "root", 1, INT64_MAX, &v, f) ||
	    cg_json_get_array(o, "parts", "root", &a, f))
		goto out;
	out->version = (uint64_t)v;
	out->part_count = json_object_array_length(a);
	out->parts = g_new0(struct cg_part_ref, out->part_count + 1);
	for (size_t i = 0; i < out->part_count; i++) {
		struct json_object *p = json_object_array_get_idx(a, i);

		fake_parse_hex(
			json_object_get_string(json_object_array_get_idx(p, 0)),
			out->parts[i].digest);
		out->parts[i].size = (uint32_t)json_object_get_int(
			json_object_array_get_idx(p, 1));
	}
	rc = 0;
out:
	json_object_put(o);
	return rc;
}

FAKE void cg_root_clear(struct cg_root *r)
{
	g_free(r->parts);
	memset(r, 0, sizeof(*r));
}

FAKE int cg_config_build(const struct cg_root *root, GBytes *const *parts,
			 struct cg_config **out, struct cg_faults *f)
{
	GString *all = g_string_new("\n");

	for (size_t i = 0; i < root->part_count; i++)
		g_string_append_len(all, g_bytes_get_data(parts[i], NULL),
				    (gssize)g_bytes_get_size(parts[i]));
	if (strstr(all->str, "\ninvalid\n")) {
		cg_faults_add(f, "part", "it is invalid");
		g_string_free(all, TRUE);
		return -1;
	}
	*out = g_new0(struct cg_config, 1);
	(*out)->refs = 1;
	(*out)->version = root->version;
	(*out)->text = g_string_free(all, FALSE);
	return 0;
}

FAKE uint64_t cg_config_version(const struct cg_config *c)
{
	return c->version;
}

FAKE struct cg_config *cg_config_ref(struct cg_config *c)
{
	atomic_fetch_add(&c->refs, 1);
	return c;
}

FAKE void cg_config_unref(struct cg_config *c)
{
	if (!c || atomic_fetch_sub(&c->refs, 1) != 1)
		return;
	g_free(c->text);
	g_free(c);
}

FAKE const struct cg_account *
cg_config_find_account_by_key(const struct cg_config *c,
			      const uint8_t digest[CG_DIGEST_SIZE])
{
	char hex[CG_DIGEST_SIZE * 2 + 1];

	fake_hex(digest, hex);
	/* The callers only test the result for NULL. */
	return strstr(c->text, hex) ? (const struct cg_account *)c : NULL;
}

/** Builds the text of a root with @p n parts. The caller owns the result. */
static inline GBytes *fake_root(uint64_t version, GBytes *const *parts,
				size_t n)
{
	GString *s = g_string_new(NULL);

	g_string_printf(s, "{\"version\":%llu,\"parts\":[",
			(unsigned long long)version);
	for (size_t i = 0; i < n; i++) {
		uint8_t digest[CG_DIGEST_SIZE];
		char hex[CG_DIGEST_SIZE * 2 + 1];

		cg_part_digest(parts[i], digest);
		fake_hex(digest, hex);
		g_string_append_printf(s, "%s[\"%s\",%zu]", i ? "," : "", hex,
				       g_bytes_get_size(parts[i]));
	}
	g_string_append(s, "]}");
	return g_string_free_to_bytes(s);
}

#endif
