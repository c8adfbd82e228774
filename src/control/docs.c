#define CG_PART "docs"
#include "docs_internal.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <urcu-bp.h>

#include "celeryglade/counters.h"
#include "internal/doc_fetch.h"
#include "internal/logging.h"
#include "internal/shard_map.h"
#include "internal/wait.h"

/* Timeout of a watch call. Watchers confirm freshness at least this often;
 * key_isolation_ms defaults to five times this value. A watcher is a daemon
 * that waits for changes of a document in the store instead of polling it; each
 * failure domain has WATCHERS_PER_DOMAIN of them for each document. */
#define WATCH_MS	    1000
#define WATCHERS_PER_DOMAIN 2
#define BACKOFF_FIRST_MS    250
#define SEED_RETRY_MS	    1000
/* A single call without a reply fails the whole transfer, and the peer may not
 * offer the version again, so that failed offers are retried. */
#define OFFER_ATTEMPTS_MAX 4
/* The shard map and the list of instances change rarely, and gossip announces
 * their versions, so they are polled less often than the root. The root is read
 * more often because the freshness of keys depends on it. */
#define SLOW_POLL_FACTOR 3

const char *cg_doc_name(enum cg_doc doc)
{
	switch (doc) {
	case CG_DOC_ROOT:
		return "root";
	case CG_DOC_SHARDS:
		return "shards";
	case CG_DOC_INSTANCE_LIST:
		return "list";
	case CG_DOC_COUNT:
		break;
	}
	abort();
}

static cg_ms jitter(cg_ms ms)
{
	return ms * 3 / 4 + g_random_int_range(0, (gint32)(ms / 2) + 1);
}

static void set_error(struct docs_replica *r, const char *text)
{
	pthread_mutex_lock(&r->lock);
	g_strlcpy(r->last_error, text, sizeof(r->last_error));
	pthread_mutex_unlock(&r->lock);
}

/* Waits at most @p ms of real time. The caller holds the lock. */
static void wait_locked(struct docs_replica *r, cg_ms ms)
{
	struct timespec ts = cg_wait_deadline(ms);

	pthread_cond_timedwait(&r->wake, &r->lock, &ts);
}

/* Waits until @p ms have passed, a refresh was requested or the replicas are
 * stopping. Returns whether a refresh was requested. */
static bool wait_for_refresh(struct docs_replica *r, cg_ms ms)
{
	struct cg_clock real;
	bool refresh;
	cg_ms end;

	cg_clock_init_boot(&real);
	end = cg_clock_now(&real) + ms;
	pthread_mutex_lock(&r->lock);
	while (!r->refresh_requested && !atomic_load(&r->d->stopping)) {
		cg_ms remaining = end - cg_clock_now(&real);

		if (remaining <= 0)
			break;
		wait_locked(r, remaining);
	}
	refresh = r->refresh_requested;
	r->refresh_requested = false;
	pthread_mutex_unlock(&r->lock);
	return refresh;
}

/* Evidence for a version that is not adopted yet is kept until it is. */
static void add_freshness(struct cg_docs *d, uint64_t version, cg_ms at)
{
	uint64_t own = cg_docs_version(d, CG_DOC_ROOT);

	pthread_mutex_lock(&d->fresh_lock);
	if (version <= own) {
		if (at > d->fresh_at) {
			d->fresh_at = at;
			d->fresh_version = version;
		}
	} else if (version > d->pending_version) {
		d->pending_version = version;
		d->pending_at = at;
	} else if (version == d->pending_version && at > d->pending_at) {
		d->pending_at = at;
	}
	pthread_mutex_unlock(&d->fresh_lock);
}

static void apply_pending_freshness(struct cg_docs *d, uint64_t version)
{
	uint64_t pending;
	cg_ms at;

	pthread_mutex_lock(&d->fresh_lock);
	pending = d->pending_version;
	at = d->pending_at;
	if (pending && pending <= version)
		d->pending_version = 0;
	pthread_mutex_unlock(&d->fresh_lock);
	if (pending && pending <= version)
		add_freshness(d, pending, at);
}

enum validity {
	CANDIDATE_VALID,
	CANDIDATE_INVALID, /* Never adopted, not even later. */
	CANDIDATE_INCOMPLETE, /* A part is missing; may be retried. */
};

static enum validity build_root(struct docs_replica *r,
				struct docs_candidate *c, bool watcher,
				struct cg_faults *f)
{
	GBytes **parts = g_new0(GBytes *, c->root.part_count + 1);
	enum validity v = CANDIDATE_INCOMPLETE;

	if (docs_fetch_parts(r, c, watcher, parts))
		set_error(r, "a part could not be fetched");
	else
		v = cg_config_build(&c->root, parts, &c->config, f)
			    ? CANDIDATE_INVALID
			    : CANDIDATE_VALID;
	for (size_t i = 0; i < c->root.part_count; i++)
		if (parts[i])
			g_bytes_unref(parts[i]);
	g_free(parts);
	return v;
}

static int parse_version(struct docs_replica *r, struct docs_candidate *c,
			 struct cg_faults *f)
{
	struct cg_shard_map *map;
	int rc = -1;

	switch (r->doc) {
	case CG_DOC_ROOT:
		rc = cg_root_parse(c->content, &c->root, f);
		c->version = c->root.version;
		return rc;
	case CG_DOC_SHARDS:
		map = g_new(struct cg_shard_map, 1);
		rc = cg_shard_map_parse(c->content, map, f);
		c->version = map->version;
		g_free(map);
		return rc;
	case CG_DOC_INSTANCE_LIST:
		rc = cg_instance_list_parse(c->content, &c->list, f);
		c->version = c->list.version;
		/* The store serves the list under its own version. */
		c->store_version = c->version;
		return rc;
	case CG_DOC_COUNT:
		break;
	}
	abort();
}

static void candidate_clear(struct docs_candidate *c)
{
	cg_root_clear(&c->root);
	cg_instance_list_clear(&c->list);
	if (c->config)
		cg_config_unref(c->config);
}

static void reject_candidate(struct docs_replica *r,
			     const struct docs_candidate *c,
			     const struct cg_faults *f)
{
	const char *why = f->n ? f->lines[0] : "malformed";
	uint8_t digest[CG_DIGEST_SIZE];
	bool first;

	cg_content_digest(c->content, digest);
	pthread_mutex_lock(&r->lock);
	first = memcmp(r->rejected_digest, digest, sizeof(digest)) != 0;
	r->rejected_version = c->version;
	memcpy(r->rejected_digest, digest, sizeof(digest));
	g_strlcpy(r->last_error, why, sizeof(r->last_error));
	pthread_mutex_unlock(&r->lock);
	if (!first)
		return;
	cg_count(CG_COUNTER_CONFIG_REJECTED);
	cg_warning("%s version %" G_GUINT64_FORMAT
		   " rejected, version %" G_GUINT64_FORMAT
		   " stays in force: %s (%zu faults)",
		   cg_doc_name(r->doc), c->version,
		   cg_docs_version(r->d, r->doc), why, f->n);
}

static void swap_config(struct cg_docs *d, struct docs_candidate *c)
{
	struct cg_config *old = d->config;

	rcu_assign_pointer(d->config, c->config);
	c->config = NULL;
	docs_prune_parts(d, &c->root);
	/* A reader may have loaded the old pointer but not yet taken its
	 * reference. */
	synchronize_rcu();
	if (old)
		cg_config_unref(old);
}

/* Puts a validated candidate into force as the document's current version. */
static void adopt_candidate(struct docs_replica *r, struct docs_candidate *c)
{
	struct cg_docs *d = r->d;
	GBytes *old;
	char from[32] = "store";

	if (c->source_peer)
		cg_format_address(c->source_peer, from, sizeof(from));
	if (r->doc == CG_DOC_ROOT)
		swap_config(d, c);
	if (r->doc == CG_DOC_INSTANCE_LIST)
		cg_members_apply_list(d->members, &c->list);
	pthread_mutex_lock(&r->lock);
	old = r->content;
	r->content = g_bytes_ref(c->content);
	r->version = c->version;
	r->store_version = c->store_version;
	cg_content_digest(c->content, r->digest);
	g_strlcpy(r->source, from, sizeof(r->source));
	r->last_error[0] = '\0';
	r->adopted_at = cg_clock_now(d->clk);
	pthread_mutex_unlock(&r->lock);
	if (old)
		g_bytes_unref(old);
	if (r->doc == CG_DOC_ROOT) {
		cg_count(CG_COUNTER_CONFIG_ADOPTED);
		/* A proof of freshness may have arrived before the version that
		 * it is for. */
		apply_pending_freshness(d, c->version);
	}
	cg_info("%s version %" G_GUINT64_FORMAT " adopted from %s",
		cg_doc_name(r->doc), c->version, from);
}

static void notify_listeners(struct cg_docs *d, enum cg_doc doc,
			     const struct docs_candidate *c)
{
	for (size_t i = 0; i < d->listener_count; i++)
		d->listeners[i].fn(d->listeners[i].arg, doc, c->version,
				   c->content);
}

/* The store may hold the same content under a new store version, for example
 * after it was written again. */
static void update_store_version(struct docs_replica *r,
				 const struct docs_candidate *c)
{
	pthread_mutex_lock(&r->lock);
	if (!c->source_peer && c->version == r->version)
		r->store_version = c->store_version;
	pthread_mutex_unlock(&r->lock);
}

enum adopt_result {
	ADOPT_DONE,
	ADOPT_KNOWN, /* The copy has this version. */
	ADOPT_LOWER, /* A stale read: below the copy's version. */
	ADOPT_FAILED,
};

/* Adopts the candidate if it is valid and newer than the local copy. A lower
 * version is a stale read and is ignored. An invalid candidate is rejected for
 * good; one whose parts could not all be fetched may be tried again. The caller
 * holds adopt_lock. */
static enum adopt_result evaluate_candidate(struct docs_replica *r,
					    struct docs_candidate *c,
					    bool watcher, struct cg_faults *f)
{
	uint64_t own = cg_docs_version(r->d, r->doc);

	if (parse_version(r, c, f)) {
		reject_candidate(r, c, f);
		return ADOPT_FAILED;
	}
	if (c->version < own) {
		cg_count(CG_COUNTER_CONFIG_LOWER_IGNORED);
		return ADOPT_LOWER;
	}
	if (c->version == own) {
		update_store_version(r, c);
		return ADOPT_KNOWN;
	}
	switch (r->doc == CG_DOC_ROOT ? build_root(r, c, watcher, f)
				      : CANDIDATE_VALID) {
	case CANDIDATE_VALID:
		adopt_candidate(r, c);
		return ADOPT_DONE;
	case CANDIDATE_INVALID:
		reject_candidate(r, c, f);
		return ADOPT_FAILED;
	case CANDIDATE_INCOMPLETE:
		return ADOPT_FAILED;
	}
	abort();
}

/* Evaluates the candidate, tells the listeners if it was adopted, and frees
 * it. */
static enum adopt_result adopt_if_newer(struct docs_replica *r,
					struct docs_candidate *c, bool watcher)
{
	struct cg_faults f = { 0 };
	enum adopt_result res;

	pthread_mutex_lock(&r->adopt_lock);
	res = evaluate_candidate(r, c, watcher, &f);
	pthread_mutex_unlock(&r->adopt_lock);
	if (res == ADOPT_DONE)
		notify_listeners(r->d, r->doc, c);
	candidate_clear(c);
	cg_faults_clear(&f);
	return res;
}

static enum cg_store_result read_store(struct docs_replica *r, bool watcher,
				       GBytes **body, uint64_t *store_version)
{
	static const char *const names[CG_DOC_COUNT] = {
		[CG_DOC_ROOT] = CG_ROOT_OBJECT,
		[CG_DOC_SHARDS] = CG_SHARDS_OBJECT,
	};
	struct cg_store *s = r->d->store;
	uint64_t known;

	pthread_mutex_lock(&r->lock);
	known = r->store_version;
	pthread_mutex_unlock(&r->lock);
	*store_version = 0;
	if (r->doc == CG_DOC_INSTANCE_LIST)
		return watcher ? cg_store_watch_instances(s, known, WATCH_MS,
							  body)
			       : cg_store_instances(s, body);
	return watcher ? cg_store_watch(s, names[r->doc], known, WATCH_MS, body,
					store_version)
		       : cg_store_get(s, names[r->doc], body, store_version);
}

static void record_store_read(struct docs_replica *r, uint64_t version,
			      cg_ms sent_at)
{
	if (r->doc == CG_DOC_ROOT && version)
		add_freshness(r->d, version, sent_at);
}

static void report_store_error(struct docs_replica *r, enum cg_store_result res)
{
	char text[64];

	g_snprintf(text, sizeof(text), "store: %s", cg_store_result_name(res));
	set_error(r, text);
}

/* Makes one read or watch call. Returns 0 if the store returned the version of
 * the local copy or a newer one, 1 if it returned an older one or none, -1 on
 * failure. Freshness counts from the start of the call, because the store may
 * have produced the result at any time since then. */
static int read_store_once(struct docs_replica *r, bool watcher)
{
	struct docs_candidate c = { 0 };
	cg_ms sent_at = cg_clock_now(r->d->clk);
	uint64_t own = cg_docs_version(r->d, r->doc);
	enum cg_store_result res;
	enum adopt_result cr;

	res = read_store(r, watcher, &c.content, &c.store_version);
	switch (res) {
	case CG_STORE_OK:
		break;
	case CG_STORE_UNCHANGED:
		record_store_read(r, own, sent_at);
		return 0;
	case CG_STORE_NOT_FOUND:
		return 1;
	default:
		report_store_error(r, res);
		return -1;
	}
	cr = adopt_if_newer(r, &c, watcher);
	g_bytes_unref(c.content);
	switch (cr) {
	case ADOPT_DONE:
	case ADOPT_KNOWN:
		record_store_read(r, c.version, sent_at);
		return 0;
	case ADOPT_LOWER:
		return 1;
	case ADOPT_FAILED:
		return -1;
	}
	abort();
}

bool docs_is_watcher(struct docs_replica *r)
{
	return cg_members_is_among_lowest(r->d->members, (uint64_t)r->doc + 1,
					  WATCHERS_PER_DOMAIN);
}

static cg_ms poll_interval(const struct docs_replica *r)
{
	cg_ms ms = r->d->settings->poll_ms;

	return r->doc == CG_DOC_ROOT ? ms : ms * SLOW_POLL_FACTOR;
}

/* Waits in slices, so that a daemon that becomes a watcher through a change of
 * the list starts to watch without waiting for the next poll. */
static void wait_for_poll(struct docs_replica *r)
{
	cg_ms remaining = jitter(poll_interval(r));

	while (remaining > 0 && !docs_is_watcher(r) &&
	       !atomic_load(&r->d->stopping)) {
		cg_ms slice = MIN(remaining, WATCH_MS);

		if (wait_for_refresh(r, slice))
			return;
		remaining -= slice;
	}
}

static void *run_store_thread(void *arg)
{
	struct docs_replica *r = arg;
	cg_ms backoff = BACKOFF_FIRST_MS;

	while (!atomic_load(&r->d->stopping)) {
		bool watcher = docs_is_watcher(r);
		int rc = read_store_once(r, watcher);

		/* Back off also after a stale read or a missing object, for
		 * which the next watch would return at once. */
		if (rc) {
			wait_for_refresh(r, jitter(backoff));
			backoff = MIN(backoff * 2, DOCS_BACKOFF_MAX_MS);
			continue;
		}
		backoff = BACKOFF_FIRST_MS;
		if (!watcher)
			wait_for_poll(r);
	}
	return NULL;
}

static int fetch_from(struct docs_replica *r, const struct sockaddr_in *peer)
{
	struct docs_candidate c = { .source_peer = peer };
	enum adopt_result res;

	if (cg_fetch_doc(r->d->peer, peer, r->doc, DOCS_FETCH_TIMEOUT_MS,
			 &c.content, &c.store_version))
		return -1;
	res = adopt_if_newer(r, &c, false);
	g_bytes_unref(c.content);
	return res == ADOPT_FAILED ? -1 : 0;
}

struct offer_batch {
	struct sockaddr_in peers[DOCS_MAX_OFFERS];
	size_t n;
	uint64_t version;
	unsigned int attempts;
};

static bool pop_offers(struct docs_replica *r, struct offer_batch *out)
{
	pthread_mutex_lock(&r->lock);
	out->n = r->offered_version > r->version ? r->offer_count : 0;
	out->version = r->offered_version;
	out->attempts = r->offer_attempts;
	memcpy(out->peers, r->offers, sizeof(r->offers));
	r->offer_count = 0;
	r->offered_version = 0;
	r->offer_attempts = 0;
	pthread_mutex_unlock(&r->lock);
	return out->n > 0;
}

/* Puts offers that could not be fetched back, unless new ones have arrived. */
static void requeue_offers(struct docs_replica *r, const struct offer_batch *o)
{
	if (o->attempts + 1 >= OFFER_ATTEMPTS_MAX)
		return;
	pthread_mutex_lock(&r->lock);
	if (!r->offer_count && o->version > r->version &&
	    o->version != r->rejected_version) {
		memcpy(r->offers, o->peers, sizeof(r->offers));
		r->offer_count = o->n;
		r->offered_version = o->version;
		r->offer_attempts = o->attempts + 1;
	}
	pthread_mutex_unlock(&r->lock);
}

/* Requests the version of every seed and records it as an offer, so that the
 * highest one is fetched. */
static void query_seeds(struct docs_replica *r)
{
	const struct cg_settings *s = r->d->settings;

	for (size_t i = 0; i < s->seed_count; i++) {
		uint64_t v;

		if (atomic_load(&r->d->stopping))
			return;
		if (!memcmp(&s->seeds[i].sin_addr, &s->peer.sin_addr,
			    sizeof(s->peer.sin_addr)) &&
		    s->seeds[i].sin_port == s->peer.sin_port)
			continue;
		if (!cg_fetch_version(r->d->peer, &s->seeds[i], r->doc,
				      DOCS_FETCH_TIMEOUT_MS, &v))
			cg_docs_record_offer(r->d, r->doc, v, &s->seeds[i]);
	}
}

static int fetch_offers(struct docs_replica *r)
{
	struct offer_batch o;

	if (!pop_offers(r, &o))
		return 0;
	for (size_t i = 0; i < o.n; i++)
		if (!fetch_from(r, &o.peers[i]))
			return 0;
	requeue_offers(r, &o);
	set_error(r, "no peer could deliver the offered version");
	return -1;
}

static void *run_fetch_thread(void *arg)
{
	struct docs_replica *r = arg;
	cg_ms backoff = BACKOFF_FIRST_MS;

	while (!atomic_load(&r->d->stopping)) {
		bool empty = !cg_docs_version(r->d, r->doc);

		if (empty)
			query_seeds(r);
		if (fetch_offers(r)) {
			cg_docs_request_refresh(r->d, r->doc);
			cg_sleep(jitter(backoff));
			backoff = MIN(backoff * 2, DOCS_BACKOFF_MAX_MS);
			continue;
		}
		backoff = BACKOFF_FIRST_MS;
		pthread_mutex_lock(&r->lock);
		if (!r->offer_count && !atomic_load(&r->d->stopping))
			wait_locked(r, r->version ? DOCS_BACKOFF_MAX_MS
						  : jitter(SEED_RETRY_MS));
		pthread_mutex_unlock(&r->lock);
	}
	return NULL;
}

static void init_replica(struct cg_docs *d, enum cg_doc doc)
{
	struct docs_replica *r = &d->replicas[doc];

	r->d = d;
	r->doc = doc;
	pthread_mutex_init(&r->lock, NULL);
	pthread_mutex_init(&r->adopt_lock, NULL);
	cg_cond_init(&r->wake);
}

struct cg_docs *cg_docs_new(const struct cg_settings *s, struct cg_clock *clk,
			    struct cg_store *store, struct cg_peer *peer,
			    struct cg_members *members)
{
	struct cg_docs *d = g_new0(struct cg_docs, 1);

	d->settings = s;
	d->clk = clk;
	d->store = store;
	d->peer = peer;
	d->members = members;
	d->parts = docs_new_parts();
	d->fresh_at = -CG_MS_NEVER;
	pthread_mutex_init(&d->parts_lock, NULL);
	pthread_mutex_init(&d->fresh_lock, NULL);
	for (int i = 0; i < CG_DOC_COUNT; i++)
		init_replica(d, (enum cg_doc)i);
	return d;
}

void cg_docs_add_listener(struct cg_docs *d, cg_docs_listener fn, void *arg)
{
	if (d->listener_count == DOCS_MAX_LISTENERS)
		abort();
	d->listeners[d->listener_count].fn = fn;
	d->listeners[d->listener_count++].arg = arg;
}

int cg_docs_start(struct cg_docs *d)
{
	for (int i = 0; i < CG_DOC_COUNT; i++) {
		struct docs_replica *r = &d->replicas[i];

		if (pthread_create(&r->store_thread, NULL, run_store_thread, r))
			return -1;
		r->threads = 1;
		if (pthread_create(&r->fetch_thread, NULL, run_fetch_thread, r))
			return -1;
		r->threads = 2;
	}
	return 0;
}

void cg_docs_stop(struct cg_docs *d)
{
	atomic_store(&d->stopping, true);
	for (int i = 0; i < CG_DOC_COUNT; i++) {
		struct docs_replica *r = &d->replicas[i];

		pthread_mutex_lock(&r->lock);
		pthread_cond_broadcast(&r->wake);
		pthread_mutex_unlock(&r->lock);
	}
	for (int i = 0; i < CG_DOC_COUNT; i++) {
		struct docs_replica *r = &d->replicas[i];

		if (r->threads > 0)
			pthread_join(r->store_thread, NULL);
		if (r->threads > 1)
			pthread_join(r->fetch_thread, NULL);
		r->threads = 0;
	}
}

void cg_docs_free(struct cg_docs *d)
{
	if (!d)
		return;
	for (int i = 0; i < CG_DOC_COUNT; i++) {
		struct docs_replica *r = &d->replicas[i];

		if (r->content)
			g_bytes_unref(r->content);
		pthread_mutex_destroy(&r->lock);
		pthread_mutex_destroy(&r->adopt_lock);
		pthread_cond_destroy(&r->wake);
	}
	if (d->config)
		cg_config_unref(d->config);
	g_hash_table_destroy(d->parts);
	g_free(d->refs);
	g_free(d->old_refs);
	pthread_mutex_destroy(&d->parts_lock);
	pthread_mutex_destroy(&d->fresh_lock);
	g_free(d);
}

uint64_t cg_docs_version(struct cg_docs *d, enum cg_doc doc)
{
	struct docs_replica *r = &d->replicas[doc];
	uint64_t v;

	pthread_mutex_lock(&r->lock);
	v = r->version;
	pthread_mutex_unlock(&r->lock);
	return v;
}

struct cg_config *cg_docs_config(struct cg_docs *d)
{
	struct cg_config *c;

	rcu_read_lock();
	c = rcu_dereference(d->config);
	if (c)
		cg_config_ref(c);
	rcu_read_unlock();
	return c;
}

GBytes *cg_docs_content(struct cg_docs *d, enum cg_doc doc, uint64_t *version,
			uint64_t *store_version)
{
	struct docs_replica *r = &d->replicas[doc];
	GBytes *content;

	pthread_mutex_lock(&r->lock);
	content = r->content ? g_bytes_ref(r->content) : NULL;
	if (version)
		*version = r->version;
	if (store_version)
		*store_version = r->store_version;
	pthread_mutex_unlock(&r->lock);
	return content;
}

void cg_docs_record_offer(struct cg_docs *d, enum cg_doc doc, uint64_t version,
			  const struct sockaddr_in *peer)
{
	struct docs_replica *r;

	if ((unsigned int)doc >= CG_DOC_COUNT)
		return;
	r = &d->replicas[doc];
	pthread_mutex_lock(&r->lock);
	if (version <= r->version || version == r->rejected_version ||
	    version < r->offered_version)
		goto out;
	if (version > r->offered_version) {
		r->offered_version = version;
		r->offer_count = 0;
		r->offer_attempts = 0;
	}
	if (r->offer_count < DOCS_MAX_OFFERS) {
		r->offers[r->offer_count++] = *peer;
		pthread_cond_broadcast(&r->wake);
	}
out:
	pthread_mutex_unlock(&r->lock);
}

cg_ms cg_docs_fresh_at(struct cg_docs *d)
{
	cg_ms at;

	pthread_mutex_lock(&d->fresh_lock);
	at = d->fresh_at;
	pthread_mutex_unlock(&d->fresh_lock);
	return at;
}

int cg_docs_freshness_evidence(struct cg_docs *d, uint64_t *version, cg_ms *at)
{
	pthread_mutex_lock(&d->fresh_lock);
	*version = d->fresh_version;
	*at = d->fresh_at;
	pthread_mutex_unlock(&d->fresh_lock);
	return *at == -CG_MS_NEVER ? -1 : 0;
}

void cg_docs_record_freshness(struct cg_docs *d, uint64_t version, cg_ms at)
{
	cg_ms now = cg_clock_now(d->clk);

	if (version)
		add_freshness(d, version, MIN(at, now));
}

int cg_docs_adopt_written(struct cg_docs *d, enum cg_doc doc, GBytes *content,
			  uint64_t store_version)
{
	struct docs_candidate c = { .content = content,
				    .store_version = store_version };

	return adopt_if_newer(&d->replicas[doc], &c, false) == ADOPT_FAILED ? -1
									    : 0;
}

void cg_docs_request_refresh(struct cg_docs *d, enum cg_doc doc)
{
	struct docs_replica *r = &d->replicas[doc];

	pthread_mutex_lock(&r->lock);
	r->refresh_requested = true;
	pthread_cond_broadcast(&r->wake);
	pthread_mutex_unlock(&r->lock);
}
