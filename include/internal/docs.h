/**
 * @file docs.h
 * Versioned documents that every daemon holds a copy of: the configuration's
 * root with its parts, the shard map and the list of instances. Copies come from the store or from
 * peers; a copy's version only rises.
 */
#ifndef CELERYGLADE_INTERNAL_DOCS_H
#define CELERYGLADE_INTERNAL_DOCS_H

#include <glib.h>
#include <netinet/in.h>

#include <json-c/json.h>

#include "internal/peer.h"
#include "internal/settings.h"
#include "internal/store.h"

enum cg_doc {
	CG_DOC_ROOT, /**< Store object "config/root". */
	CG_DOC_SHARDS, /**< Store object "shards/map". */
	CG_DOC_INSTANCE_LIST, /**< The platform's list of instances. */
	CG_DOC_COUNT,
};

struct cg_docs;
struct cg_members;

/** Called after a higher version was adopted, without locks held. */
typedef void (*cg_docs_listener)(void *arg, enum cg_doc doc, uint64_t version,
				 GBytes *content);

/** Creates the replica. References stay with the caller. */
struct cg_docs *cg_docs_new(const struct cg_settings *s, struct cg_clock *clk,
			    struct cg_store *store, struct cg_peer *peer,
			    struct cg_members *members);
void cg_docs_add_listener(struct cg_docs *d, cg_docs_listener fn, void *arg);
int cg_docs_start(struct cg_docs *d);
void cg_docs_stop(struct cg_docs *d);
void cg_docs_free(struct cg_docs *d);

/** Handles GET_DOC and GET_PART. */
int cg_docs_handle(struct cg_docs *d, const struct cg_peer_msg *msg,
		   GByteArray *reply);

/** Returns the version of the copy, 0 if there is none. */
uint64_t cg_docs_version(struct cg_docs *d, enum cg_doc doc);

/** Returns the configuration in force with a reference for the caller, or
 * NULL before the first one. Lock-free; for the request path. */
struct cg_config *cg_docs_config(struct cg_docs *d);

/** Returns a reference to the copy's content, or NULL. */
GBytes *cg_docs_content(struct cg_docs *d, enum cg_doc doc, uint64_t *version,
			uint64_t *store_version);

/** Tells that @p peer holds @p version; fetches it if it is higher. */
void cg_docs_record_offer(struct cg_docs *d, enum cg_doc doc, uint64_t version,
			  const struct sockaddr_in *peer);

/** Time of the youngest evidence that some daemon read the root from the store
 * with a version not above this copy's; CG_MS_NEVER negated if none. */
cg_ms cg_docs_fresh_at(struct cg_docs *d);

/** Adds a peer's evidence for the version @p version, observed at @p at on
 * this daemon's clock. */
void cg_docs_record_freshness(struct cg_docs *d, uint64_t version, cg_ms at);

/**
 * Copies the evidence behind cg_docs_fresh_at: the version that was read and
 * when. Returns 0, or -1 if there is none.
 */
int cg_docs_freshness_evidence(struct cg_docs *d, uint64_t *version, cg_ms *at);

/**
 * Adopts content that this process has just written to the store. Returns 0 if
 * the copy has at least its version now, or -1 if it is invalid.
 */
int cg_docs_adopt_written(struct cg_docs *d, enum cg_doc doc, GBytes *content,
			  uint64_t store_version);

/** Returns the fixed name of a document; the string is static. */
const char *cg_doc_name(enum cg_doc doc);

/** Describes the copies for the operator's tool. The caller owns the result. */
struct json_object *cg_docs_status(struct cg_docs *d);

/** Asks for a read of the document from the store soon. */
void cg_docs_request_refresh(struct cg_docs *d, enum cg_doc doc);

#endif
