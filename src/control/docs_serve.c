#include "docs_internal.h"

#include <json-c/json.h>
#include <string.h>

#include "docs_wire.h"
#include "internal/doc_fetch.h"

static int serve_doc(struct cg_docs *d, const struct cg_peer_msg *msg,
		     GByteArray *reply)
{
	cg_x_doc_request q;
	cg_x_doc_chunk a = { 0 };
	struct docs_replica *r;
	GBytes *content = NULL;
	int rc;

	if (cg_xdr_decode((xdrproc_t)xdr_cg_x_doc_request, msg->body, msg->len,
			  &q, sizeof(q)))
		return -1;
	if (q.doc >= CG_DOC_COUNT)
		return -1;
	r = &d->replicas[q.doc];
	pthread_mutex_lock(&r->lock);
	if (r->content &&
	    (!q.content_version || q.content_version == r->version)) {
		content = g_bytes_ref(r->content);
		a.content_version = r->version;
		a.store_version = r->store_version;
		memcpy(a.digest, r->digest, sizeof(a.digest));
	}
	pthread_mutex_unlock(&r->lock);
	if (content)
		a.total = cg_content_chunk(
			content, q.offset, CG_X_DOC_CHUNK_MAX,
			&a.chunk.chunk_val, &a.chunk.chunk_len);
	rc = cg_xdr_encode((xdrproc_t)xdr_cg_x_doc_chunk, &a, reply);
	if (content)
		g_bytes_unref(content);
	return rc;
}

static int serve_part(struct cg_docs *d, const struct cg_peer_msg *msg,
		      GByteArray *reply)
{
	cg_x_part_request q;
	cg_x_part_chunk a = { 0 };
	GBytes *part;
	int rc;

	if (cg_xdr_decode((xdrproc_t)xdr_cg_x_part_request, msg->body, msg->len,
			  &q, sizeof(q)))
		return -1;
	part = docs_find_part(d, (const uint8_t *)q.digest);
	if (part)
		a.total = cg_content_chunk(part, q.offset, CG_X_DOC_CHUNK_MAX,
					   &a.chunk.chunk_val,
					   &a.chunk.chunk_len);
	rc = cg_xdr_encode((xdrproc_t)xdr_cg_x_part_chunk, &a, reply);
	if (part)
		g_bytes_unref(part);
	return rc;
}

int cg_docs_handle(struct cg_docs *d, const struct cg_peer_msg *msg,
		   GByteArray *reply)
{
	switch (msg->kind) {
	case CG_MSG_GET_DOC:
		return serve_doc(d, msg, reply);
	case CG_MSG_GET_PART:
		return serve_part(d, msg, reply);
	default:
		return -1;
	}
}

static struct json_object *replica_status(struct docs_replica *r, cg_ms now)
{
	struct json_object *o = json_object_new_object();

	pthread_mutex_lock(&r->lock);
	json_object_object_add(o, "version",
			       json_object_new_uint64(r->version));
	json_object_object_add(o, "store_version",
			       json_object_new_uint64(r->store_version));
	json_object_object_add(o, "source", json_object_new_string(r->source));
	json_object_object_add(o, "last_error",
			       json_object_new_string(r->last_error));
	if (r->version)
		json_object_object_add(
			o, "adopted_ms_ago",
			json_object_new_int64(now - r->adopted_at));
	if (r->rejected_version)
		json_object_object_add(
			o, "rejected_version",
			json_object_new_uint64(r->rejected_version));
	pthread_mutex_unlock(&r->lock);
	json_object_object_add(o, "watcher",
			       json_object_new_boolean(docs_is_watcher(r)));
	return o;
}

struct json_object *cg_docs_status(struct cg_docs *d)
{
	struct json_object *o = json_object_new_object();
	cg_ms now = cg_clock_now(d->clk);
	cg_ms at = cg_docs_fresh_at(d);

	for (int i = 0; i < CG_DOC_COUNT; i++)
		json_object_object_add(o, cg_doc_name((enum cg_doc)i),
				       replica_status(&d->replicas[i], now));
	if (at != -CG_MS_NEVER)
		json_object_object_add(o, "fresh_age_ms",
				       json_object_new_int64(now - at));
	return o;
}
