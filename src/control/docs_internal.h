/* Private structures of the document replicas, for docs.c, docs_parts.c and
 * docs_serve.c only. */
#ifndef CELERYGLADE_CONTROL_DOCS_INTERNAL_H
#define CELERYGLADE_CONTROL_DOCS_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>

#include "internal/docs.h"
#include "internal/instances.h"
#include "internal/members.h"
#include "internal/parts.h"

#define DOCS_MAX_OFFERS	   4
#define DOCS_MAX_LISTENERS 16
/* Longest delay between two attempts to read from the store. Parts are
 * requested only from peers that were seen within this time. */
#define DOCS_BACKOFF_MAX_MS   5000
#define DOCS_FETCH_TIMEOUT_MS 600

struct docs_replica {
	struct cg_docs *d;
	enum cg_doc doc;

	pthread_mutex_t lock;
	pthread_cond_t wake;
	GBytes *content;
	uint8_t digest[CG_DIGEST_SIZE];
	uint64_t version;
	uint64_t store_version;
	uint64_t rejected_version;
	uint8_t rejected_digest[CG_DIGEST_SIZE]; /* To log and count it once. */
	bool refresh_requested;
	uint64_t offered_version;
	struct sockaddr_in offers[DOCS_MAX_OFFERS];
	size_t offer_count;
	unsigned int offer_attempts; /* Failed fetches of the offer. */
	char source[32];
	char last_error[160];
	cg_ms adopted_at;

	/* Held while a version is completed and adopted, but never while
	 * waiting for the condition variable. */
	pthread_mutex_t adopt_lock;
	pthread_t store_thread;
	pthread_t fetch_thread;
	int threads;
};

struct cg_docs {
	const struct cg_settings *settings;
	struct cg_clock *clk;
	struct cg_store *store;
	struct cg_peer *peer;
	struct cg_members *members;
	struct docs_replica replicas[CG_DOC_COUNT];
	_Atomic bool stopping;

	struct {
		cg_docs_listener fn;
		void *arg;
	} listeners[DOCS_MAX_LISTENERS];
	size_t listener_count;

	struct cg_config *config; /* Read under RCU. */

	pthread_mutex_t parts_lock;
	GHashTable *parts; /* Digest to content. */
	struct cg_part_ref *old_refs; /* Of the previous root. */
	size_t old_ref_count;
	struct cg_part_ref *refs;
	size_t ref_count;

	pthread_mutex_t fresh_lock;
	cg_ms fresh_at;
	uint64_t fresh_version;
	cg_ms pending_at; /* Evidence for a version that is not adopted yet. */
	uint64_t pending_version;
};

/* A version that may be adopted. */
struct docs_candidate {
	GBytes *content;
	uint64_t version;
	uint64_t store_version;
	const struct sockaddr_in *source_peer; /* NULL: the store. */
	struct cg_config *config;
	struct cg_root root;
	struct cg_instance_list list;
};

/* Returns a new reference to a part in the local cache, or NULL. */
GBytes *docs_find_part(struct cg_docs *d, const uint8_t *digest);

/* Creates an empty hash table from digests to contents. */
GHashTable *docs_new_parts(void);

/* Removes all parts except those of @p root and of the previous root. */
void docs_prune_parts(struct cg_docs *d, const struct cg_root *root);

/* Fetches the parts of a root into @p out. The references in @p out belong to
 * the caller, also on failure. Returns 0 or -1. */
int docs_fetch_parts(struct docs_replica *r, const struct docs_candidate *c,
		     bool watcher, GBytes **out);

/* Whether this daemon watches the document in the store. */
bool docs_is_watcher(struct docs_replica *r);

#endif
