#define CG_PART "docs"
#include "docs_internal.h"

#include <string.h>

#include "celeryglade/counters.h"
#include "internal/doc_fetch.h"
#include "internal/logging.h"

/* Number of random peers that parts are requested from, in addition to the peer
 * that offered the version. */
#define PART_PEERS 3

GBytes *docs_find_part(struct cg_docs *d, const uint8_t *digest)
{
	GBytes *key = g_bytes_new_static(digest, CG_DIGEST_SIZE);
	GBytes *found;

	pthread_mutex_lock(&d->parts_lock);
	found = g_hash_table_lookup(d->parts, key);
	if (found)
		g_bytes_ref(found);
	pthread_mutex_unlock(&d->parts_lock);
	g_bytes_unref(key);
	return found;
}

/* Parts are cached as they arrive, so that other members can fetch them from
 * this daemon before it has all parts of the version. */
static void cache_part(struct cg_docs *d, const uint8_t *digest, GBytes *part)
{
	pthread_mutex_lock(&d->parts_lock);
	g_hash_table_replace(d->parts, g_bytes_new(digest, CG_DIGEST_SIZE),
			     g_bytes_ref(part));
	pthread_mutex_unlock(&d->parts_lock);
}

GHashTable *docs_new_parts(void)
{
	return g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
				     (GDestroyNotify)g_bytes_unref,
				     (GDestroyNotify)g_bytes_unref);
}

static void copy_parts(struct cg_docs *d, GHashTable *to,
		       const struct cg_part_ref *refs, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		GBytes *key = g_bytes_new(refs[i].digest, CG_DIGEST_SIZE);
		GBytes *part = g_hash_table_lookup(d->parts, key);

		if (part)
			g_hash_table_replace(to, g_bytes_ref(key),
					     g_bytes_ref(part));
		g_bytes_unref(key);
	}
}

/* The parts of the previous root stay in the cache because other members may
 * still be fetching them. */
void docs_prune_parts(struct cg_docs *d, const struct cg_root *root)
{
	GHashTable *kept = docs_new_parts();

	pthread_mutex_lock(&d->parts_lock);
	g_free(d->old_refs);
	d->old_refs = d->refs;
	d->old_ref_count = d->ref_count;
	d->refs =
		g_memdup2(root->parts, root->part_count * sizeof(*root->parts));
	d->ref_count = root->part_count;
	copy_parts(d, kept, d->old_refs, d->old_ref_count);
	copy_parts(d, kept, d->refs, d->ref_count);
	g_hash_table_destroy(d->parts);
	d->parts = kept;
	pthread_mutex_unlock(&d->parts_lock);
}

/* Peers that missing parts are requested from, in this order. A peer whose call
 * failed gets no further requests for this version. */
struct part_sources {
	struct sockaddr_in peers[PART_PEERS + 1];
	bool failed[PART_PEERS + 1];
	size_t n;
};

static void choose_sources(struct cg_docs *d, const struct docs_candidate *c,
			   bool watcher, struct part_sources *s)
{
	struct cg_member picked[PART_PEERS];
	size_t n;

	memset(s, 0, sizeof(*s));
	if (c->source_peer)
		s->peers[s->n++] = *c->source_peer;
	/* A watcher is among the first daemons to see a new version in the
	 * store, so its peers cannot have the parts yet. */
	if (watcher && !c->source_peer)
		return;
	n = cg_members_pick_random(d->members, PART_PEERS, DOCS_BACKOFF_MAX_MS,
				   picked);
	for (size_t i = 0; i < n; i++)
		s->peers[s->n++] = picked[i].addr;
}

static GBytes *fetch_part_from_peers(struct cg_docs *d, struct part_sources *s,
				     const struct cg_part_ref *ref)
{
	for (size_t i = 0; i < s->n; i++) {
		GBytes *part = NULL;

		if (s->failed[i] || atomic_load(&d->stopping))
			continue;
		switch (cg_fetch_part(d->peer, &s->peers[i], ref,
				      DOCS_FETCH_TIMEOUT_MS, &part)) {
		case CG_FETCH_OK:
			cg_count(CG_COUNTER_CONFIG_FROM_PEER);
			return part;
		case CG_FETCH_ABSENT:
			break;
		case CG_FETCH_FAILED:
			s->failed[i] = true;
			break;
		}
	}
	return NULL;
}

static GBytes *fetch_part_from_store(struct cg_docs *d,
				     const struct cg_part_ref *ref)
{
	char name[CG_PART_NAME_SIZE];
	uint8_t digest[CG_DIGEST_SIZE];
	GBytes *part;
	uint64_t v;

	cg_part_name(ref->digest, name);
	if (cg_store_get(d->store, name, &part, &v) != CG_STORE_OK)
		return NULL;
	cg_part_digest(part, digest);
	if (memcmp(digest, ref->digest, sizeof(digest)) != 0) {
		cg_warning("part %s in the store has another digest", name);
		g_bytes_unref(part);
		return NULL;
	}
	cg_count(CG_COUNTER_CONFIG_FROM_STORE);
	return part;
}

int docs_fetch_parts(struct docs_replica *r, const struct docs_candidate *c,
		     bool watcher, GBytes **out)
{
	struct cg_docs *d = r->d;
	struct part_sources s;

	choose_sources(d, c, watcher, &s);
	for (size_t i = 0; i < c->root.part_count; i++) {
		const struct cg_part_ref *ref = &c->root.parts[i];

		if (atomic_load(&d->stopping))
			return -1;
		out[i] = docs_find_part(d, ref->digest);
		if (!out[i])
			out[i] = fetch_part_from_peers(d, &s, ref);
		if (!out[i])
			out[i] = fetch_part_from_store(d, ref);
		if (!out[i])
			return -1;
		cache_part(d, ref->digest, out[i]);
	}
	return 0;
}
