#define CG_PART "shards"
#include "internal/shards.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "celeryglade/counters.h"
#include "internal/logging.h"
#include "internal/shard_map.h"
#include "internal/wait.h"

#define STEP_MS 1000
/* One shard at a time moves between live owners, because each move makes the
 * new owner survey or receive a ledger. */
#define REBALANCE_MS 2000
#define HEARD_MS     10000
/* Time for which one step goes on with a handover whose outcome is open. */
#define HANDOVER_MS 3000
/* The first map waits this long for instances that are listed but not heard
 * yet, so that a fleet that starts does not give all shards to one member. */
#define CREATE_WAIT_MS 5000
#define RETRY_FIRST_MS 100
#define RETRY_MAX_MS   2000
/* Members may disagree for long on whether an owner is gone, as each must have
 * read two versions of the list. Shards that their planned claimants leave for
 * this time are taken by one that has the proof. */
#define ORPHAN_WAIT_MS 5000
#define CLAIM_ATTEMPTS 3
#define MAX_MEMBERS    4096

struct proposal;

struct cg_shards {
	const struct cg_settings *settings;
	uint64_t incarnation;
	struct cg_clock *clk;
	struct cg_store *store;
	struct cg_docs *docs;
	struct cg_members *members;
	cg_shards_handover handover;
	void *handover_arg;

	pthread_rwlock_t lock;
	struct cg_shard_map *map; /* NULL before the first one. */
	bool releasing[CG_SHARDS]; /* Given up; the update is not confirmed. */
	char last_error[96];

	/* Serialises changes of the map by this process. */
	pthread_mutex_t writing;
	struct proposal *open; /* A handover whose outcome is not known. */
	bool leaving;
	cg_ms started_at;
	cg_ms rebalanced_at;
	cg_ms orphans_until; /* When to take all that are left; 0: none. */

	pthread_mutex_t wake_lock;
	pthread_cond_t wake;
	bool stopping;
	pthread_t thread;
	bool running;
};

/* A map that this process wants to write. */
struct proposal {
	struct cg_shard_map map;
	uint64_t base_version; /* 0: the object does not exist. */
	uint64_t store_version;
	bool changed[CG_SHARDS];
	bool open; /* An earlier write may still take effect. */
};

struct cg_shards *cg_shards_new(const struct cg_settings *set,
				uint64_t incarnation, struct cg_clock *clk,
				struct cg_store *store, struct cg_docs *docs,
				struct cg_members *members)
{
	struct cg_shards *s = g_new0(struct cg_shards, 1);

	s->settings = set;
	s->incarnation = incarnation;
	s->clk = clk;
	s->store = store;
	s->docs = docs;
	s->members = members;
	s->started_at = cg_clock_now(clk);
	pthread_rwlock_init(&s->lock, NULL);
	pthread_mutex_init(&s->writing, NULL);
	pthread_mutex_init(&s->wake_lock, NULL);
	cg_cond_init(&s->wake);
	return s;
}

void cg_shards_free(struct cg_shards *s)
{
	if (!s)
		return;
	g_free(s->map);
	g_free(s->open);
	pthread_rwlock_destroy(&s->lock);
	pthread_mutex_destroy(&s->writing);
	pthread_mutex_destroy(&s->wake_lock);
	pthread_cond_destroy(&s->wake);
	g_free(s);
}

void cg_shards_set_handover(struct cg_shards *s, cg_shards_handover fn,
			    void *arg)
{
	s->handover = fn;
	s->handover_arg = arg;
}

static bool names_self(const struct cg_shards *s, const struct cg_map_entry *e)
{
	return e->incarnation == s->incarnation &&
	       !strcmp(e->owner, s->settings->instance);
}

static void fill_owner(const struct cg_shards *s, const struct cg_map_entry *e,
		       bool releasing, struct cg_shard_owner *out)
{
	g_strlcpy(out->instance, e->owner, sizeof(out->instance));
	out->incarnation = e->incarnation;
	out->epoch = e->epoch;
	out->addr = e->addr;
	out->self = names_self(s, e) && !releasing;
}

int cg_shards_owner(struct cg_shards *s, uint32_t shard,
		    struct cg_shard_owner *out)
{
	int rc = -1;

	if (shard >= CG_SHARDS)
		return -1;
	pthread_rwlock_rdlock(&s->lock);
	if (s->map) {
		fill_owner(s, &s->map->shards[shard], s->releasing[shard], out);
		rc = 0;
	}
	pthread_rwlock_unlock(&s->lock);
	return rc;
}

uint64_t cg_shards_map_version(struct cg_shards *s)
{
	uint64_t v;

	pthread_rwlock_rdlock(&s->lock);
	v = s->map ? s->map->version : 0;
	pthread_rwlock_unlock(&s->lock);
	return v;
}

size_t cg_shards_owned_count(struct cg_shards *s)
{
	size_t n = 0;

	pthread_rwlock_rdlock(&s->lock);
	for (int i = 0; s->map && i < CG_SHARDS; i++)
		n += names_self(s, &s->map->shards[i]) && !s->releasing[i];
	pthread_rwlock_unlock(&s->lock);
	return n;
}

static void use_map(struct cg_shards *s, struct cg_shard_map *map)
{
	struct cg_shard_map *unused = map;

	for (int i = 0; i < CG_SHARDS; i++)
		cg_members_assume_listed(s->members, map->shards[i].owner,
					 map->shards[i].incarnation,
					 &map->shards[i].addr);
	pthread_rwlock_wrlock(&s->lock);
	if (!s->map || map->version > s->map->version) {
		unused = s->map;
		s->map = map;
	}
	pthread_rwlock_unlock(&s->lock);
	g_free(unused);
}

void cg_shards_on_doc(void *arg, enum cg_doc doc, uint64_t version,
		      GBytes *content)
{
	struct cg_shards *s = arg;
	struct cg_shard_map *map;
	struct cg_faults f = { 0 };

	(void)version;
	if (doc != CG_DOC_SHARDS)
		return;
	map = g_new(struct cg_shard_map, 1);
	if (cg_shard_map_parse(content, map, &f))
		g_free(map);
	else
		use_map(s, map);
	cg_faults_clear(&f);
}

static cg_ms jitter(cg_ms ms)
{
	return ms / 2 + g_random_int_range(0, (gint32)ms + 1);
}

/* Waits for @p ms of real time; returns false at the end. */
static bool pause_for(struct cg_shards *s, cg_ms ms)
{
	struct timespec ts = cg_wait_end(ms);
	bool go_on;

	pthread_mutex_lock(&s->wake_lock);
	while (!s->stopping &&
	       !pthread_cond_timedwait(&s->wake, &s->wake_lock, &ts))
		;
	go_on = !s->stopping;
	pthread_mutex_unlock(&s->wake_lock);
	return go_on;
}

/* The rules' view of the members. The caller frees it. */
static struct cg_map_member *view_members(struct cg_shards *s, size_t *count)
{
	struct cg_member *all = g_new(struct cg_member, MAX_MEMBERS);
	size_t n = cg_members_copy_all(s->members, all, MAX_MEMBERS);
	struct cg_map_member *out = g_new0(struct cg_map_member, n + 1);
	cg_ms now = cg_clock_now(s->clk);

	for (size_t i = 0; i < n; i++) {
		struct cg_map_member *m = &out[i];
		const struct cg_member *a = &all[i];

		g_strlcpy(m->name, a->name, sizeof(m->name));
		m->incarnation = a->incarnation;
		m->addr = a->addr;
		m->self = !strcmp(a->name, s->settings->instance);
		m->gone = a->state == CG_MEMBER_GONE;
		m->eligible = a->state == CG_MEMBER_LIVE && a->incarnation &&
			      !a->leaving && a->last_seen_at != CG_NEVER_SEEN &&
			      now - a->last_seen_at <= HEARD_MS;
		if (m->self)
			m->moved = cg_members_self_listed(
				s->members, s->settings->gone_confirm_ms);
	}
	g_free(all);
	*count = n;
	return out;
}

static void new_write_id(char out[CG_MAP_WRITE_ID_SIZE])
{
	for (int i = 0; i < 4; i++)
		g_snprintf(out + (size_t)i * 8, 9, "%08x", g_random_int());
}

static enum cg_store_result put_map(struct cg_shards *s,
				    const struct proposal *p, GBytes *text,
				    uint64_t *store_version)
{
	gsize len;
	const void *data = g_bytes_get_data(text, &len);

	return p->base_version ? cg_store_update(s->store, CG_SHARDS_OBJECT,
						 p->store_version, data, len,
						 store_version)
			       : cg_store_create(s->store, CG_SHARDS_OBJECT,
						 data, len, store_version);
}

static void set_error(struct cg_shards *s, const char *what,
		      enum cg_store_result r)
{
	pthread_rwlock_wrlock(&s->lock);
	g_snprintf(s->last_error, sizeof(s->last_error), "%s: store %s", what,
		   cg_store_result_name(r));
	pthread_rwlock_unlock(&s->lock);
}

/* Adopts a map that this process wrote or read. The replica may have adopted it
 * a moment ago in another thread whose listeners have not run yet, so it is put
 * in use here as well. */
static void take_map(struct cg_shards *s, GBytes *text, uint64_t store_version)
{
	cg_docs_adopt_written(s->docs, CG_DOC_SHARDS, text, store_version);
	cg_shards_on_doc(s, CG_DOC_SHARDS, 0, text);
}

/* After a conflict the store holds a version above the proposal's base, either
 * our own write whose response was lost, or another writer's. A read that shows
 * the base is stale and is repeated. Returns 0 once a newer map is in use. */
static int read_back(struct cg_shards *s, const struct proposal *p, int tries)
{
	cg_ms backoff = RETRY_FIRST_MS;

	for (int i = 0; i < tries; i++) {
		uint64_t store_version;
		GBytes *text;

		if (cg_store_get(s->store, CG_SHARDS_OBJECT, &text,
				 &store_version) == CG_STORE_OK) {
			take_map(s, text, store_version);
			g_bytes_unref(text);
		}
		if (cg_shards_map_version(s) > p->base_version)
			return 0;
		if (!pause_for(s, jitter(backoff)))
			return -1;
		backoff = MIN(backoff * 2, RETRY_MAX_MS);
	}
	return -1;
}

enum write_result {
	WRITE_RESOLVED, /* A map above the base is in use, ours or another. */
	WRITE_NOT_DONE, /* The proposal can no longer take effect. */
	WRITE_OPEN, /* The proposal may still take effect. */
};

/* Writes the proposal. The same conditional write is sent again until its
 * outcome is certain: a lost write that took effect shows up as a conflict, and
 * one that is still under way cannot take effect after another write did. */
static enum write_result write_map(struct cg_shards *s, struct proposal *p,
				   const char *what, cg_ms end)
{
	GBytes *text;
	cg_ms backoff = RETRY_FIRST_MS;
	enum write_result result = p->open ? WRITE_OPEN : WRITE_NOT_DONE;
	uint64_t store_version;

	p->map.version = p->base_version + 1;
	new_write_id(p->map.write_id);
	text = cg_shard_map_encode(&p->map);
	for (;;) {
		enum cg_store_result r = put_map(s, p, text, &store_version);

		if (r == CG_STORE_OK) {
			take_map(s, text, store_version);
			result = WRITE_RESOLVED;
			break;
		}
		set_error(s, what, r);
		if (r == CG_STORE_CONFLICT) {
			if (!read_back(s, p, CLAIM_ATTEMPTS))
				result = WRITE_RESOLVED;
			else
				cg_docs_request_refresh(s->docs, CG_DOC_SHARDS);
			break;
		}
		if (r == CG_STORE_UNKNOWN)
			result = WRITE_OPEN;
		else if (result != WRITE_OPEN)
			break;
		if (cg_clock_now(s->clk) >= end ||
		    !pause_for(s, jitter(backoff)))
			break;
		backoff = MIN(backoff * 2, RETRY_MAX_MS);
	}
	g_bytes_unref(text);
	return result;
}

/* Starts a proposal from the map in use. */
static int begin(struct cg_shards *s, struct proposal *p)
{
	struct cg_faults f = { 0 };
	GBytes *text;
	int rc = -1;

	memset(p, 0, sizeof(*p));
	text = cg_docs_content(s->docs, CG_DOC_SHARDS, &p->base_version,
			       &p->store_version);
	if (!text)
		return -1;
	rc = cg_shard_map_parse(text, &p->map, &f);
	cg_faults_clear(&f);
	g_bytes_unref(text);
	return rc;
}

static void mark_changes(struct proposal *p, const struct cg_shard_map *before)
{
	for (int i = 0; i < CG_SHARDS; i++)
		p->changed[i] =
			p->map.shards[i].epoch != before->shards[i].epoch;
}

static void set_releasing(struct cg_shards *s, const struct proposal *p,
			  bool value)
{
	pthread_rwlock_wrlock(&s->lock);
	for (int i = 0; i < CG_SHARDS; i++)
		if (p->changed[i])
			s->releasing[i] = value;
	pthread_rwlock_unlock(&s->lock);
}

/* Reports the shards that the map in use gives to the owner that the proposal
 * had chosen. */
static void report_handovers(struct cg_shards *s, const struct proposal *p)
{
	for (uint32_t i = 0; i < CG_SHARDS; i++) {
		const struct cg_map_entry *e = &p->map.shards[i];
		struct cg_shard_owner now;

		if (!p->changed[i] || cg_shards_owner(s, i, &now) ||
		    now.epoch != e->epoch ||
		    now.incarnation != e->incarnation ||
		    strcmp(now.instance, e->owner) != 0)
			continue;
		cg_count(CG_COUNTER_SHARD_HANDOVERS);
		if (s->handover)
			s->handover(s->handover_arg, i, &now);
	}
}

/* Gives up the changed shards and takes the proposal over. This process stops
 * acting as their owner before the write and starts again only if the write
 * cannot take effect any more; until that is known the proposal is kept. */
static void hand_over(struct cg_shards *s, struct proposal *p, cg_ms end)
{
	set_releasing(s, p, true);
	switch (write_map(s, p, "handover", end)) {
	case WRITE_OPEN:
		p->open = true;
		s->open = p;
		return;
	case WRITE_RESOLVED:
		report_handovers(s, p);
		break;
	case WRITE_NOT_DONE:
		break;
	}
	set_releasing(s, p, false);
	g_free(p);
}

static void finish_open(struct cg_shards *s, cg_ms end)
{
	struct proposal *p = s->open;

	s->open = NULL;
	if (p)
		hand_over(s, p, end);
}

static bool all_heard(const struct cg_map_member *v, size_t n, size_t listed)
{
	size_t heard = 0;

	for (size_t i = 0; i < n; i++)
		heard += v[i].eligible;
	return heard >= listed;
}

static bool self_eligible(const struct cg_map_member *v, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (v[i].self)
			return v[i].eligible;
	return false;
}

static void try_create(struct cg_shards *s, const struct cg_map_member *v,
		       size_t n)
{
	struct proposal *p;

	if (!self_eligible(v, n))
		return;
	if (!all_heard(v, n, cg_members_listed_count(s->members)) &&
	    cg_clock_now(s->clk) - s->started_at < CREATE_WAIT_MS)
		return;
	p = g_new0(struct proposal, 1);
	if (!cg_shard_map_create(v, n, &p->map)) {
		cg_info("creating the shard map for %zu members", n);
		write_map(s, p, "creation", 0);
	}
	g_free(p);
}

/* Whether shards of dead owners have been left for too long. The random wait
 * keeps members from claiming the same ones at the same time. */
static bool orphans_are_due(struct cg_shards *s, const struct cg_shard_map *map,
			    const struct cg_map_member *v, size_t n)
{
	cg_ms now = cg_clock_now(s->clk);

	if (!cg_shard_map_count_orphans(map, v, n)) {
		s->orphans_until = 0;
		return false;
	}
	if (!s->orphans_until)
		s->orphans_until = now + jitter(ORPHAN_WAIT_MS);
	return now >= s->orphans_until;
}

static bool try_claim(struct cg_shards *s, const struct cg_map_member *v,
		      size_t n)
{
	struct proposal *p = g_new(struct proposal, 1);
	size_t claimed = 0;

	if (!begin(s, p))
		claimed = cg_shard_map_claim(&p->map, v, n,
					     orphans_are_due(s, &p->map, v, n));
	if (claimed) {
		cg_info("claiming %zu shards", claimed);
		if (write_map(s, p, "claim", 0) == WRITE_RESOLVED)
			cg_count_add(CG_COUNTER_SHARD_CLAIMS, claimed);
	}
	g_free(p);
	return claimed > 0;
}

/* Plans to give up all shards or one for balance; NULL if there is none. */
static struct proposal *plan_handover(struct cg_shards *s, bool leave,
				      const struct cg_map_member *v, size_t n)
{
	struct proposal *p = g_new(struct proposal, 1);
	struct cg_shard_map *before;
	bool any = false;

	if (!begin(s, p)) {
		before = g_memdup2(&p->map, sizeof(p->map));
		any = leave ? cg_shard_map_hand_over_all(&p->map, v, n) > 0
			    : cg_shard_map_rebalance(&p->map, v, n) >= 0;
		mark_changes(p, before);
		g_free(before);
	}
	if (!any) {
		g_free(p);
		p = NULL;
	}
	return p;
}

static void try_rebalance(struct cg_shards *s, const struct cg_map_member *v,
			  size_t n)
{
	cg_ms now = cg_clock_now(s->clk);
	struct proposal *p;

	if (now - s->rebalanced_at < REBALANCE_MS)
		return;
	p = plan_handover(s, false, v, n);
	if (p) {
		s->rebalanced_at = now;
		hand_over(s, p, now + HANDOVER_MS);
	}
}

void cg_shards_step(struct cg_shards *s)
{
	struct cg_map_member *v;
	size_t n;

	pthread_mutex_lock(&s->writing);
	finish_open(s, cg_clock_now(s->clk) + HANDOVER_MS);
	v = view_members(s, &n);
	if (s->leaving || s->open)
		;
	else if (!cg_docs_version(s->docs, CG_DOC_SHARDS))
		try_create(s, v, n);
	else if (!try_claim(s, v, n))
		try_rebalance(s, v, n);
	g_free(v);
	pthread_mutex_unlock(&s->writing);
}

static void *run(void *arg)
{
	struct cg_shards *s = arg;

	while (pause_for(s, jitter(STEP_MS)))
		cg_shards_step(s);
	return NULL;
}

int cg_shards_start(struct cg_shards *s)
{
	if (pthread_create(&s->thread, NULL, run, s))
		return -1;
	s->running = true;
	return 0;
}

void cg_shards_stop(struct cg_shards *s)
{
	pthread_mutex_lock(&s->wake_lock);
	s->stopping = true;
	pthread_cond_broadcast(&s->wake);
	pthread_mutex_unlock(&s->wake_lock);
	if (s->running)
		pthread_join(s->thread, NULL);
	s->running = false;
}

static size_t named_in_map(struct cg_shards *s)
{
	size_t n = 0;

	pthread_rwlock_rdlock(&s->lock);
	for (int i = 0; s->map && i < CG_SHARDS; i++)
		n += names_self(s, &s->map->shards[i]);
	pthread_rwlock_unlock(&s->lock);
	return n;
}

static void leave_once(struct cg_shards *s, cg_ms end)
{
	struct cg_map_member *v;
	struct proposal *p;
	size_t n;

	finish_open(s, end);
	if (s->open)
		return;
	v = view_members(s, &n);
	p = plan_handover(s, true, v, n);
	if (p)
		hand_over(s, p, end);
	g_free(v);
}

int cg_shards_hand_over_all(struct cg_shards *s, cg_ms timeout)
{
	cg_ms end = cg_clock_now(s->clk) + timeout;

	pthread_mutex_lock(&s->writing);
	s->leaving = true;
	while (named_in_map(s) && cg_clock_now(s->clk) < end) {
		leave_once(s, end);
		if (named_in_map(s) && !pause_for(s, jitter(RETRY_FIRST_MS)))
			break;
	}
	pthread_mutex_unlock(&s->writing);
	return named_in_map(s) ? -1 : 0;
}

struct json_object *cg_shards_status(struct cg_shards *s)
{
	struct json_object *o = json_object_new_object();
	struct json_object *owners = json_object_new_object();
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	gpointer name;
	gpointer count;
	size_t releasing = 0;

	pthread_rwlock_rdlock(&s->lock);
	for (int i = 0; s->map && i < CG_SHARDS; i++) {
		gpointer c =
			g_hash_table_lookup(counts, s->map->shards[i].owner);

		g_hash_table_insert(counts, s->map->shards[i].owner,
				    GINT_TO_POINTER(GPOINTER_TO_INT(c) + 1));
		releasing += s->releasing[i];
	}
	g_hash_table_iter_init(&it, counts);
	while (g_hash_table_iter_next(&it, &name, &count))
		json_object_object_add(
			owners, name,
			json_object_new_int(GPOINTER_TO_INT(count)));
	json_object_object_add(
		o, "version",
		json_object_new_uint64(s->map ? s->map->version : 0));
	json_object_object_add(o, "last_error",
			       json_object_new_string(s->last_error));
	pthread_rwlock_unlock(&s->lock);
	g_hash_table_destroy(counts);
	json_object_object_add(o, "owners", owners);
	json_object_object_add(o, "releasing",
			       json_object_new_int64((int64_t)releasing));
	json_object_object_add(
		o, "owned",
		json_object_new_int64((int64_t)cg_shards_owned_count(s)));
	return o;
}
