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

/* A watch ends after this time, so that watchers confirm freshness at least
 * that often; key_isolation_ms defaults to five times as much. */
#define WATCH_MS	 1000
#define WATCHERS_PER_FD	 2
#define BACKOFF_FIRST_MS 250
#define EMPTY_RETRY_MS	 1000
/* One call without an answer fails a whole transfer, and who offered need not
 * offer again. */
#define OFFER_TRIES 4
/* Map and list change rarely and gossip tells their versions, so that most
 * polls go to the root, on which the freshness of keys rests. */
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

/* Waits in real time; called with the lock held. */
static void wait_locked(struct docs_replica *r, cg_ms ms)
{
	struct timespec ts = cg_wait_end(ms);

	pthread_cond_timedwait(&r->wake, &r->lock, &ts);
}

/* Sleeps until @p ms have passed, a refresh is asked for or the end. Returns
 * whether a refresh was asked for. */
static bool sleep_store(struct docs_replica *r, cg_ms ms)
{
	struct cg_clock real;
	bool refresh;
	cg_ms end;

	cg_clock_init_boot(&real);
	end = cg_clock_now(&real) + ms;
	pthread_mutex_lock(&r->lock);
	while (!r->refresh && !atomic_load(&r->d->stopping)) {
		cg_ms left = end - cg_clock_now(&real);

		if (left <= 0)
			break;
		wait_locked(r, left);
	}
	refresh = r->refresh;
	r->refresh = false;
	pthread_mutex_unlock(&r->lock);
	return refresh;
}

static void add_fresh(struct cg_docs *d, uint64_t version, cg_ms at)
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

static void apply_pending(struct cg_docs *d, uint64_t version)
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
		add_fresh(d, pending, at);
}

enum verdict {
	VALID,
	INVALID, /* This version will never be adopted. */
	INCOMPLETE, /* Worth another attempt. */
};

static enum verdict build_root(struct docs_replica *r, struct docs_candidate *c,
			       bool watcher, struct cg_faults *f)
{
	GBytes **parts = g_new0(GBytes *, c->root.part_count + 1);
	enum verdict v = INCOMPLETE;

	if (docs_gather_parts(r, c, watcher, parts))
		set_error(r, "a part could not be fetched");
	else
		v = cg_config_build(&c->root, parts, &c->config, f) ? INVALID
								    : VALID;
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
		/* The list has no other version than its own. */
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

static void reject(struct docs_replica *r, const struct docs_candidate *c,
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
	/* A reader may have loaded the old pointer without a reference yet. */
	synchronize_rcu();
	if (old)
		cg_config_unref(old);
}

static void install(struct docs_replica *r, struct docs_candidate *c)
{
	struct cg_docs *d = r->d;
	GBytes *old;
	char from[32] = "store";

	if (c->teller)
		cg_format_address(c->teller, from, sizeof(from));
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
		apply_pending(d, c->version);
	}
	cg_info("%s version %" G_GUINT64_FORMAT " adopted from %s",
		cg_doc_name(r->doc), c->version, from);
}

static void tell_listeners(struct cg_docs *d, enum cg_doc doc,
			   const struct docs_candidate *c)
{
	for (size_t i = 0; i < d->listener_count; i++)
		d->listeners[i].fn(d->listeners[i].arg, doc, c->version,
				   c->content);
}

/* A read of the store that shows the present version also shows under which
 * store version it is kept now. */
static void note_same(struct docs_replica *r, const struct docs_candidate *c)
{
	pthread_mutex_lock(&r->lock);
	if (!c->teller && c->version == r->version)
		r->store_version = c->store_version;
	pthread_mutex_unlock(&r->lock);
}

enum consider_result {
	CONSIDER_ADOPTED,
	CONSIDER_KNOWN, /* The copy has this version. */
	CONSIDER_LOWER, /* Stale: below the copy's version. */
	CONSIDER_FAILED,
};

static enum consider_result judge(struct docs_replica *r,
				  struct docs_candidate *c, bool watcher,
				  struct cg_faults *f)
{
	uint64_t own = cg_docs_version(r->d, r->doc);

	if (parse_version(r, c, f)) {
		reject(r, c, f);
		return CONSIDER_FAILED;
	}
	if (c->version < own) {
		cg_count(CG_COUNTER_CONFIG_LOWER_IGNORED);
		return CONSIDER_LOWER;
	}
	if (c->version == own) {
		note_same(r, c);
		return CONSIDER_KNOWN;
	}
	switch (r->doc == CG_DOC_ROOT ? build_root(r, c, watcher, f) : VALID) {
	case VALID:
		install(r, c);
		return CONSIDER_ADOPTED;
	case INVALID:
		reject(r, c, f);
		return CONSIDER_FAILED;
	case INCOMPLETE:
		return CONSIDER_FAILED;
	}
	abort();
}

/* Adopts the candidate if it is valid and its version is higher. */
static enum consider_result consider(struct docs_replica *r,
				     struct docs_candidate *c, bool watcher)
{
	struct cg_faults f = { 0 };
	enum consider_result res;

	pthread_mutex_lock(&r->adopting);
	res = judge(r, c, watcher, &f);
	pthread_mutex_unlock(&r->adopting);
	if (res == CONSIDER_ADOPTED)
		tell_listeners(r->d, r->doc, c);
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

static void note_read(struct docs_replica *r, uint64_t version, cg_ms sent_at)
{
	if (r->doc == CG_DOC_ROOT && version)
		add_fresh(r->d, version, sent_at);
}

static void report_store_error(struct docs_replica *r, enum cg_store_result res)
{
	char text[64];

	g_snprintf(text, sizeof(text), "store: %s", cg_store_result_name(res));
	set_error(r, text);
}

/* Reads or watches once. Returns 0 if the store showed the present version or
 * a new one, 1 if it showed nothing useful, -1 if it failed. The time of the
 * evidence is that of the call's start, as the store may have produced its
 * result at any moment since. */
static int read_once(struct docs_replica *r, bool watcher)
{
	struct docs_candidate c = { 0 };
	cg_ms sent_at = cg_clock_now(r->d->clk);
	uint64_t own = cg_docs_version(r->d, r->doc);
	enum cg_store_result res;
	enum consider_result cr;

	res = read_store(r, watcher, &c.content, &c.store_version);
	switch (res) {
	case CG_STORE_OK:
		break;
	case CG_STORE_UNCHANGED:
		note_read(r, own, sent_at);
		return 0;
	case CG_STORE_NOT_FOUND:
		return 1;
	default:
		report_store_error(r, res);
		return -1;
	}
	cr = consider(r, &c, watcher);
	g_bytes_unref(c.content);
	switch (cr) {
	case CONSIDER_ADOPTED:
	case CONSIDER_KNOWN:
		note_read(r, c.version, sent_at);
		return 0;
	case CONSIDER_LOWER:
		return 1;
	case CONSIDER_FAILED:
		return -1;
	}
	abort();
}

bool docs_is_watcher(struct docs_replica *r)
{
	return cg_members_is_among_lowest(r->d->members, (uint64_t)r->doc + 1,
					  WATCHERS_PER_FD);
}

static cg_ms poll_interval(const struct docs_replica *r)
{
	cg_ms ms = r->d->settings->poll_ms;

	return r->doc == CG_DOC_ROOT ? ms : ms * SLOW_POLL_FACTOR;
}

/* The sleep is cut into slices, so that a daemon that becomes a watcher by a
 * change of the list starts its watch soon. */
static void sleep_poll(struct docs_replica *r)
{
	cg_ms left = jitter(poll_interval(r));

	while (left > 0 && !docs_is_watcher(r) &&
	       !atomic_load(&r->d->stopping)) {
		cg_ms slice = MIN(left, WATCH_MS);

		if (sleep_store(r, slice))
			return;
		left -= slice;
	}
}

static void *run_store(void *arg)
{
	struct docs_replica *r = arg;
	cg_ms backoff = BACKOFF_FIRST_MS;

	while (!atomic_load(&r->d->stopping)) {
		bool watcher = docs_is_watcher(r);
		int rc = read_once(r, watcher);

		/* Also after a stale or missing object: a watch on it would
		 * return at once again. */
		if (rc) {
			sleep_store(r, jitter(backoff));
			backoff = MIN(backoff * 2, DOCS_BACKOFF_MAX_MS);
			continue;
		}
		backoff = BACKOFF_FIRST_MS;
		if (!watcher)
			sleep_poll(r);
	}
	return NULL;
}

static int fetch_from(struct docs_replica *r, const struct sockaddr_in *peer)
{
	struct docs_candidate c = { .teller = peer };
	enum consider_result res;

	if (cg_fetch_doc(r->d->peer, peer, r->doc, DOCS_FETCH_TIMEOUT_MS,
			 &c.content, &c.store_version))
		return -1;
	res = consider(r, &c, false);
	g_bytes_unref(c.content);
	return res == CONSIDER_FAILED ? -1 : 0;
}

struct taken_offers {
	struct sockaddr_in peers[DOCS_MAX_OFFERS];
	size_t n;
	uint64_t version;
	unsigned int tries;
};

static bool take_offers(struct docs_replica *r, struct taken_offers *out)
{
	pthread_mutex_lock(&r->lock);
	out->n = r->offered > r->version ? r->offer_count : 0;
	out->version = r->offered;
	out->tries = r->offer_tries;
	memcpy(out->peers, r->offers, sizeof(r->offers));
	r->offer_count = 0;
	r->offered = 0;
	r->offer_tries = 0;
	pthread_mutex_unlock(&r->lock);
	return out->n > 0;
}

/* Keeps offers that could not be fetched, unless others have come. */
static void keep_offers(struct docs_replica *r, const struct taken_offers *o)
{
	if (o->tries + 1 >= OFFER_TRIES)
		return;
	pthread_mutex_lock(&r->lock);
	if (!r->offer_count && o->version > r->version &&
	    o->version != r->rejected_version) {
		memcpy(r->offers, o->peers, sizeof(r->offers));
		r->offer_count = o->n;
		r->offered = o->version;
		r->offer_tries = o->tries + 1;
	}
	pthread_mutex_unlock(&r->lock);
}

/* Asks every seed for its version and fetches the highest. */
static void ask_seeds(struct docs_replica *r)
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

static int try_offers(struct docs_replica *r)
{
	struct taken_offers o;

	if (!take_offers(r, &o))
		return 0;
	for (size_t i = 0; i < o.n; i++)
		if (!fetch_from(r, &o.peers[i]))
			return 0;
	keep_offers(r, &o);
	set_error(r, "no peer could deliver the offered version");
	return -1;
}

static void *run_fetch(void *arg)
{
	struct docs_replica *r = arg;
	cg_ms backoff = BACKOFF_FIRST_MS;

	while (!atomic_load(&r->d->stopping)) {
		bool empty = !cg_docs_version(r->d, r->doc);

		if (empty)
			ask_seeds(r);
		if (try_offers(r)) {
			cg_docs_request_refresh(r->d, r->doc);
			cg_sleep(jitter(backoff));
			backoff = MIN(backoff * 2, DOCS_BACKOFF_MAX_MS);
			continue;
		}
		backoff = BACKOFF_FIRST_MS;
		pthread_mutex_lock(&r->lock);
		if (!r->offer_count && !atomic_load(&r->d->stopping))
			wait_locked(r, r->version ? DOCS_BACKOFF_MAX_MS
						  : jitter(EMPTY_RETRY_MS));
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
	pthread_mutex_init(&r->adopting, NULL);
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

		if (pthread_create(&r->store_thread, NULL, run_store, r))
			return -1;
		r->threads = 1;
		if (pthread_create(&r->fetch_thread, NULL, run_fetch, r))
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
		pthread_mutex_destroy(&r->adopting);
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
	    version < r->offered)
		goto out;
	if (version > r->offered) {
		r->offered = version;
		r->offer_count = 0;
		r->offer_tries = 0;
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
		add_fresh(d, version, MIN(at, now));
}

int cg_docs_adopt_written(struct cg_docs *d, enum cg_doc doc, GBytes *content,
			  uint64_t store_version)
{
	struct docs_candidate c = { .content = content,
				    .store_version = store_version };

	return consider(&d->replicas[doc], &c, false) == CONSIDER_FAILED ? -1
									 : 0;
}

void cg_docs_request_refresh(struct cg_docs *d, enum cg_doc doc)
{
	struct docs_replica *r = &d->replicas[doc];

	pthread_mutex_lock(&r->lock);
	r->refresh = true;
	pthread_cond_broadcast(&r->wake);
	pthread_mutex_unlock(&r->lock);
}
