/**
 * @file docs.h
 * Versioned documents that are replicated to every daemon: the configuration
 * root with its parts, the shard map and the platform's list of instances.
 * Copies are read from the store or fetched from peers. The version of a copy
 * never decreases.
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

/** Called without locks held after a higher version was adopted. */
typedef void (*cg_docs_listener)(void *arg, enum cg_doc doc, uint64_t version,
				 GBytes *content);

/** Creates the replicas. The arguments are borrowed and must outlive them. */
struct cg_docs *cg_docs_new(const struct cg_settings *s, struct cg_clock *clk,
			    struct cg_store *store, struct cg_peer *peer,
			    struct cg_members *members);
void cg_docs_add_listener(struct cg_docs *d, cg_docs_listener fn, void *arg);
int cg_docs_start(struct cg_docs *d);
void cg_docs_stop(struct cg_docs *d);
void cg_docs_free(struct cg_docs *d);

/** Handles CG_MSG_GET_DOC and CG_MSG_GET_PART. Returns 0, or -1 to refuse the
 * message. */
int cg_docs_handle(struct cg_docs *d, const struct cg_peer_msg *msg,
		   GByteArray *reply);

/** Returns the version of the local copy, 0 if there is none. */
uint64_t cg_docs_version(struct cg_docs *d, enum cg_doc doc);

/** Returns a new reference to the configuration in force, or NULL before the
 * first one was adopted. Lock-free, for use on the request path. */
struct cg_config *cg_docs_config(struct cg_docs *d);

/** Returns a new reference to the content of the local copy, or NULL. The
 * version pointers may be NULL. */
GBytes *cg_docs_content(struct cg_docs *d, enum cg_doc doc, uint64_t *version,
			uint64_t *store_version);

/** Records that @p peer holds @p version. The version is fetched in the
 * background if it is higher than that of the local copy. */
void cg_docs_record_offer(struct cg_docs *d, enum cg_doc doc, uint64_t version,
			  const struct sockaddr_in *peer);

/** Returns the latest time at which some daemon is known to have read from the
 * store a root whose version is not above that of the local copy, or
 * -CG_MS_NEVER if there is no such evidence. */
cg_ms cg_docs_fresh_at(struct cg_docs *d);

/** Records a peer's evidence that the root had @p version in the store at
 * @p at, a time of this daemon's clock. */
void cg_docs_record_freshness(struct cg_docs *d, uint64_t version, cg_ms at);

/**
 * Gets the evidence behind cg_docs_fresh_at: which version was read, and when.
 * Returns 0, or -1 if there is none.
 */
int cg_docs_freshness_evidence(struct cg_docs *d, uint64_t *version, cg_ms *at);

/**
 * Adopts content that this process has just written to the store or read from
 * it. Returns 0 if the local copy now has at least that version, or -1 if the
 * content is invalid or one of its parts could not be fetched.
 */
int cg_docs_adopt_written(struct cg_docs *d, enum cg_doc doc, GBytes *content,
			  uint64_t store_version);

/** Returns the fixed name of a document; the string is static. */
const char *cg_doc_name(enum cg_doc doc);

/** Returns the state of the copies as JSON for celerygladectl. The caller owns
 * the result. */
struct json_object *cg_docs_status(struct cg_docs *d);

/** Makes the store thread read the document without waiting for the next
 * poll. */
void cg_docs_request_refresh(struct cg_docs *d, enum cg_doc doc);

#endif
