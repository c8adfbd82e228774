#include "internal/doc_fetch.h"

#include <string.h>

#include "docs_wire.h"

/* Values in the store have at most 1 MB. The list of instances may be slightly
 * larger. */
#define MAX_DOC_BYTES ((1 << 20) + (64 << 10))
/* A fetch starts over if a call fails or the peer adopts another version in the
 * meantime. */
#define MAX_FETCH_ATTEMPTS 3

void cg_content_digest(GBytes *content, uint8_t out[CG_DIGEST_SIZE])
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = CG_DIGEST_SIZE;

	g_checksum_update(sum, g_bytes_get_data(content, NULL),
			  (gssize)g_bytes_get_size(content));
	g_checksum_get_digest(sum, out, &len);
	g_checksum_free(sum);
}

uint32_t cg_content_chunk(GBytes *content, uint32_t offset, uint32_t max,
			  char **chunk, u_int *len)
{
	gsize size;
	const char *data = g_bytes_get_data(content, &size);

	*chunk = NULL;
	*len = 0;
	if (offset < size) {
		*chunk = (char *)data + offset;
		*len = (u_int)MIN(size - offset, max);
	}
	return (uint32_t)size;
}

/* Makes one call and decodes its reply into @p a, which the caller frees. */
static int call_peer(struct cg_peer *p, const struct sockaddr_in *to,
		     enum cg_msg_kind kind, xdrproc_t in, const void *q,
		     xdrproc_t out, void *a, size_t size, cg_ms timeout)
{
	GByteArray *body = g_byte_array_new();
	GByteArray *reply = g_byte_array_new();
	int rc = -1;

	if (!cg_xdr_encode(in, q, body) &&
	    !cg_peer_call(p, to, kind, body->data, body->len, timeout, reply))
		rc = cg_xdr_decode(out, reply->data, reply->len, a, size);
	g_byte_array_unref(body);
	g_byte_array_unref(reply);
	return rc;
}

static int request_doc_chunk(struct cg_peer *p, const struct sockaddr_in *from,
			     const cg_x_doc_request *q, cg_x_doc_chunk *a,
			     cg_ms timeout)
{
	return call_peer(p, from, CG_MSG_GET_DOC,
			 (xdrproc_t)xdr_cg_x_doc_request, q,
			 (xdrproc_t)xdr_cg_x_doc_chunk, a, sizeof(*a), timeout);
}

int cg_fetch_version(struct cg_peer *p, const struct sockaddr_in *from,
		     enum cg_doc doc, cg_ms timeout, uint64_t *version)
{
	/* With an offset past the end the reply carries no content. */
	cg_x_doc_request q = { .doc = doc, .offset = UINT32_MAX };
	cg_x_doc_chunk a;

	if (request_doc_chunk(p, from, &q, &a, timeout))
		return -1;
	*version = a.content_version;
	xdr_free((xdrproc_t)xdr_cg_x_doc_chunk, (char *)&a);
	return 0;
}

/* Fetches the next chunk and appends it to @p out. Version, size and digest of
 * all chunks must equal those of the first one. Returns 1 if more chunks
 * follow, 0 after the last one, -1 on failure. */
static int fetch_next_chunk(struct cg_peer *p, const struct sockaddr_in *from,
			    cg_x_doc_request *q, cg_x_doc_chunk *head,
			    GByteArray *out, cg_ms timeout)
{
	cg_x_doc_chunk a;
	int rc = -1;

	if (request_doc_chunk(p, from, q, &a, timeout))
		return -1;
	if (!q->content_version) {
		*head = a;
		head->chunk.chunk_val = NULL;
	}
	if (!a.content_version || a.total > MAX_DOC_BYTES ||
	    a.total != head->total || !a.chunk.chunk_len ||
	    a.content_version != head->content_version ||
	    out->len + a.chunk.chunk_len > a.total ||
	    memcmp(a.digest, head->digest, sizeof(a.digest)) != 0)
		goto done;
	g_byte_array_append(out, (guint8 *)a.chunk.chunk_val,
			    a.chunk.chunk_len);
	q->content_version = a.content_version;
	q->offset = out->len;
	rc = out->len < a.total;
done:
	xdr_free((xdrproc_t)xdr_cg_x_doc_chunk, (char *)&a);
	return rc;
}

static int fetch_doc_once(struct cg_peer *p, const struct sockaddr_in *from,
			  enum cg_doc doc, cg_ms timeout, GBytes **content,
			  uint64_t *store_version)
{
	cg_x_doc_request q = { .doc = doc };
	cg_x_doc_chunk head = { 0 };
	GByteArray *data = g_byte_array_new();
	uint8_t digest[CG_DIGEST_SIZE];
	GBytes *all;
	int rc;

	do
		rc = fetch_next_chunk(p, from, &q, &head, data, timeout);
	while (rc > 0);
	all = g_byte_array_free_to_bytes(data);
	if (!rc) {
		cg_content_digest(all, digest);
		if (memcmp(digest, head.digest, sizeof(digest)) != 0)
			rc = -1;
	}
	if (rc) {
		g_bytes_unref(all);
		return -1;
	}
	*content = all;
	*store_version = head.store_version;
	return 0;
}

int cg_fetch_doc(struct cg_peer *p, const struct sockaddr_in *from,
		 enum cg_doc doc, cg_ms timeout, GBytes **content,
		 uint64_t *store_version)
{
	for (int i = 0; i < MAX_FETCH_ATTEMPTS; i++)
		if (!fetch_doc_once(p, from, doc, timeout, content,
				    store_version))
			return 0;
	return -1;
}

static enum cg_fetch_result
fetch_next_part_chunk(struct cg_peer *p, const struct sockaddr_in *from,
		      const struct cg_part_ref *ref, cg_ms timeout,
		      GByteArray *out)
{
	cg_x_part_request q = { .offset = out->len };
	cg_x_part_chunk a;
	enum cg_fetch_result rc = CG_FETCH_FAILED;

	memcpy(q.digest, ref->digest, sizeof(q.digest));
	if (call_peer(p, from, CG_MSG_GET_PART,
		      (xdrproc_t)xdr_cg_x_part_request, &q,
		      (xdrproc_t)xdr_cg_x_part_chunk, &a, sizeof(a), timeout))
		return CG_FETCH_FAILED;
	if (!a.total) {
		rc = CG_FETCH_ABSENT;
	} else if (a.total == ref->size && a.chunk.chunk_len &&
		   out->len + a.chunk.chunk_len <= a.total) {
		g_byte_array_append(out, (guint8 *)a.chunk.chunk_val,
				    a.chunk.chunk_len);
		rc = CG_FETCH_OK;
	}
	xdr_free((xdrproc_t)xdr_cg_x_part_chunk, (char *)&a);
	return rc;
}

enum cg_fetch_result cg_fetch_part(struct cg_peer *p,
				   const struct sockaddr_in *from,
				   const struct cg_part_ref *ref, cg_ms timeout,
				   GBytes **part)
{
	GByteArray *data = g_byte_array_new();
	enum cg_fetch_result rc = CG_FETCH_FAILED;
	uint8_t digest[CG_DIGEST_SIZE];
	GBytes *all;

	if (ref->size && ref->size <= CG_PART_MAX_BYTES) {
		do
			rc = fetch_next_part_chunk(p, from, ref, timeout, data);
		while (rc == CG_FETCH_OK && data->len < ref->size);
	}
	all = g_byte_array_free_to_bytes(data);
	if (rc == CG_FETCH_OK) {
		cg_content_digest(all, digest);
		if (memcmp(digest, ref->digest, sizeof(digest)) != 0)
			rc = CG_FETCH_FAILED;
	}
	if (rc == CG_FETCH_OK)
		*part = all;
	else
		g_bytes_unref(all);
	return rc;
}
