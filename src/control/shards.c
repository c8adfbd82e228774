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

#define STEP_PERIOD_MS 1000
/* Rebalancing moves one shard per interval, because with each move the new
 * owner must survey the holders or receive the ledger. */
#define REBALANCE_INTERVAL_MS 2000
#define ELIGIBLE_LAST_SEEN_MS 10000
/* Time for which one step retries a handover with an unknown outcome. */
#define HANDOVER_TIMEOUT_MS 3000
/* Creation of the first map waits this long for instances that are listed but
 * not seen yet, so that in a starting fleet not all shards go to one member. */
#define CREATE_WAIT_MS 5000
#define RETRY_FIRST_MS 100
#define RETRY_MAX_MS   2000
/* Members may disagree for a long time on whether an owner is gone, because
 * each of them must have read two versions of the list. If shards of an owner
 * that is gone are still unclaimed after about this time, a member that has
 * confirmed the owner as gone claims all of them. */
#define ORPHAN_WAIT_MS	   5000
#define READ_BACK_ATTEMPTS 3
#define MAX_MEMBERS	   4096

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
	bool releasing[CG_SHARDS]; /* Being handed over; write not confirmed. */
	char last_error[96];

	/* Serializes changes of the map by this process. */
	pthread_mutex_t write_lock;
	struct proposal *unresolved; /* A handover with an unknown outcome. */
	bool leaving;
	cg_ms started_at;
	cg_ms rebalanced_at;
	cg_ms orphan_claim_at; /* When to claim all orphans; 0: none. */

	pthread_mutex_t wake_lock;
	pthread_cond_t wake;
	bool stopping;
	pthread_t thread;
	bool running;
};

/* A map that this process is about to write. */
struct proposal {
	struct cg_shard_map map;
	uint64_t base_version; /* 0: the object does not exist. */
	uint64_t store_version;
	bool changed[CG_SHARDS];
	bool unresolved; /* An earlier write may still take effect. */
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
	pthread_mutex_init(&s->write_lock, NULL);
	pthread_mutex_init(&s->wake_lock, NULL);
	cg_cond_init(&s->wake);
	return s;
}

void cg_shards_free(struct cg_shards *s)
{
	if (!s)
		return;
	g_free(s->map);
	g_free(s->unresolved);
	pthread_rwlock_destroy(&s->lock);
	pthread_mutex_destroy(&s->write_lock);
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

static bool is_owned_by_self(const struct cg_shards *s,
			     const struct cg_map_entry *e)
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
	out->self = is_owned_by_self(s, e) && !releasing;
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
		n += is_owned_by_self(s, &s->map->shards[i]) &&
		     !s->releasing[i];
	pthread_rwlock_unlock(&s->lock);
	return n;
}

static void install_map(struct cg_shards *s, struct cg_shard_map *map)
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
		install_map(s, map);
	cg_faults_clear(&f);
}

static cg_ms jitter(cg_ms ms)
{
	return ms / 2 + g_random_int_range(0, (gint32)ms + 1);
}

/* Waits for @p ms of real time. Returns false if the controller is stopping. */
static bool wait_or_stop(struct cg_shards *s, cg_ms ms)
{
	struct timespec ts = cg_wait_deadline(ms);
	bool running;

	pthread_mutex_lock(&s->wake_lock);
	while (!s->stopping &&
	       !pthread_cond_timedwait(&s->wake, &s->wake_lock, &ts))
		;
	running = !s->stopping;
	pthread_mutex_unlock(&s->wake_lock);
	return running;
}

/* Returns the members as the rules use them. The caller frees the array. */
static struct cg_map_member *list_map_members(struct cg_shards *s,
					      size_t *count)
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
			      now - a->last_seen_at <= ELIGIBLE_LAST_SEEN_MS;
		if (m->self)
			m->address_confirmed = cg_members_self_listed(
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

static enum cg_store_result send_map(struct cg_shards *s,
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

static void set_error(struct cg_shards *s, const char *operation,
		      enum cg_store_result r)
{
	pthread_rwlock_wrlock(&s->lock);
	g_snprintf(s->last_error, sizeof(s->last_error), "%s: store %s",
		   operation, cg_store_result_name(r));
	pthread_rwlock_unlock(&s->lock);
}

/* Adopts a map that this process wrote or read. Another thread may have adopted
 * it in the replica without having run the listeners yet, so that it is also
 * installed here. */
static void adopt_map(struct cg_shards *s, GBytes *text, uint64_t store_version)
{
	cg_docs_adopt_written(s->docs, CG_DOC_SHARDS, text, store_version);
	cg_shards_on_doc(s, CG_DOC_SHARDS, 0, text);
}

/* Reads the map after a conflict. The store then holds a version above the base
 * of the proposal: either this process's own write, whose response was lost, or
 * that of another writer. A read that returns the base is stale and is retried.
 * Returns 0 once a newer map is in use. */
static int read_newer_map(struct cg_shards *s, const struct proposal *p,
			  int tries)
{
	cg_ms backoff = RETRY_FIRST_MS;

	for (int i = 0; i < tries; i++) {
		uint64_t store_version;
		GBytes *text;

		if (cg_store_get(s->store, CG_SHARDS_OBJECT, &text,
				 &store_version) == CG_STORE_OK) {
			adopt_map(s, text, store_version);
			g_bytes_unref(text);
		}
		if (cg_shards_map_version(s) > p->base_version)
			return 0;
		if (!wait_or_stop(s, jitter(backoff)))
			return -1;
		backoff = MIN(backoff * 2, RETRY_MAX_MS);
	}
	return -1;
}

enum write_result {
	WRITE_RESOLVED, /* A map newer than the base is in use. */
	WRITE_NOT_APPLIED, /* The write can no longer take effect. */
	WRITE_UNRESOLVED, /* The write may still take effect. */
};

/* Writes the proposal if the stored map is still the one that it is based on.
 * While the outcome is unknown, the same conditional write is repeated until
 * @p end; 0 means a single attempt. Repeating it is safe: if an earlier write
 * took effect although its response was lost, the next one causes a conflict,
 * and a write that is still in flight cannot take effect after another one did.
 * After a conflict the newer map is read and used instead. @p operation is for
 * the error text. */
static enum write_result write_map(struct cg_shards *s, struct proposal *p,
				   const char *operation, cg_ms end)
{
	GBytes *text;
	cg_ms backoff = RETRY_FIRST_MS;
	enum write_result result =
		p->unresolved ? WRITE_UNRESOLVED : WRITE_NOT_APPLIED;
	uint64_t store_version;

	p->map.version = p->base_version + 1;
	new_write_id(p->map.write_id);
	text = cg_shard_map_encode(&p->map);
	for (;;) {
		enum cg_store_result r = send_map(s, p, text, &store_version);

		if (r == CG_STORE_OK) {
			adopt_map(s, text, store_version);
			result = WRITE_RESOLVED;
			break;
		}
		set_error(s, operation, r);
		if (r == CG_STORE_CONFLICT) {
			if (!read_newer_map(s, p, READ_BACK_ATTEMPTS))
				result = WRITE_RESOLVED;
			else
				cg_docs_request_refresh(s->docs, CG_DOC_SHARDS);
			break;
		}
		if (r == CG_STORE_UNKNOWN)
			result = WRITE_UNRESOLVED;
		else if (result != WRITE_UNRESOLVED)
			break;
		if (cg_clock_now(s->clk) >= end ||
		    !wait_or_stop(s, jitter(backoff)))
			break;
		backoff = MIN(backoff * 2, RETRY_MAX_MS);
	}
	g_bytes_unref(text);
	return result;
}

/* Initializes a proposal with the current map. */
static int init_proposal(struct cg_shards *s, struct proposal *p)
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

/* Calls the handover callback for each changed shard whose owner in the current
 * map is the one that the proposal assigned. Another writer may have won the
 * race for the map. */
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

/* Hands the changed shards over; takes ownership of the proposal. This process
 * stops acting as their owner before the write, and resumes only if the write
 * can no longer take effect. Until that is known the proposal is kept. */
static void write_handover(struct cg_shards *s, struct proposal *p, cg_ms end)
{
	set_releasing(s, p, true);
	switch (write_map(s, p, "handover", end)) {
	case WRITE_UNRESOLVED:
		p->unresolved = true;
		s->unresolved = p;
		return;
	case WRITE_RESOLVED:
		report_handovers(s, p);
		break;
	case WRITE_NOT_APPLIED:
		break;
	}
	set_releasing(s, p, false);
	g_free(p);
}

static void retry_unresolved(struct cg_shards *s, cg_ms end)
{
	struct proposal *p = s->unresolved;

	s->unresolved = NULL;
	if (p)
		write_handover(s, p, end);
}

static bool all_listed_eligible(const struct cg_map_member *v, size_t n,
				size_t listed)
{
	size_t eligible = 0;

	for (size_t i = 0; i < n; i++)
		eligible += v[i].eligible;
	return eligible >= listed;
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
	if (!all_listed_eligible(v, n, cg_members_listed_count(s->members)) &&
	    cg_clock_now(s->clk) - s->started_at < CREATE_WAIT_MS)
		return;
	p = g_new0(struct proposal, 1);
	if (!cg_shard_map_create(v, n, &p->map)) {
		cg_info("creating the shard map for %zu members", n);
		write_map(s, p, "creation", 0);
	}
	g_free(p);
}

/* Whether shards of owners that are gone have been unclaimed for too long. The
 * random delay keeps members from claiming the same shards at the same time. */
static bool orphan_claim_due(struct cg_shards *s,
			     const struct cg_shard_map *map,
			     const struct cg_map_member *v, size_t n)
{
	cg_ms now = cg_clock_now(s->clk);

	if (!cg_shard_map_count_orphans(map, v, n)) {
		s->orphan_claim_at = 0;
		return false;
	}
	if (!s->orphan_claim_at)
		s->orphan_claim_at = now + jitter(ORPHAN_WAIT_MS);
	return now >= s->orphan_claim_at;
}

static bool try_claim(struct cg_shards *s, const struct cg_map_member *v,
		      size_t n)
{
	struct proposal *p = g_new(struct proposal, 1);
	size_t claimed = 0;

	if (!init_proposal(s, p))
		claimed = cg_shard_map_claim(
			&p->map, v, n, orphan_claim_due(s, &p->map, v, n));
	if (claimed) {
		cg_info("claiming %zu shards", claimed);
		if (write_map(s, p, "claim", 0) == WRITE_RESOLVED)
			cg_count_add(CG_COUNTER_SHARD_CLAIMS, claimed);
	}
	g_free(p);
	return claimed > 0;
}

/* Prepares the handover of all shards, or of one shard to balance the load.
 * Returns NULL if there is none to hand over. */
static struct proposal *plan_handover(struct cg_shards *s, bool leave,
				      const struct cg_map_member *v, size_t n)
{
	struct proposal *p = g_new(struct proposal, 1);
	struct cg_shard_map *before;
	bool any = false;

	if (!init_proposal(s, p)) {
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

	if (now - s->rebalanced_at < REBALANCE_INTERVAL_MS)
		return;
	p = plan_handover(s, false, v, n);
	if (p) {
		s->rebalanced_at = now;
		write_handover(s, p, now + HANDOVER_TIMEOUT_MS);
	}
}

void cg_shards_step(struct cg_shards *s)
{
	struct cg_map_member *v;
	size_t n;

	pthread_mutex_lock(&s->write_lock);
	retry_unresolved(s, cg_clock_now(s->clk) + HANDOVER_TIMEOUT_MS);
	v = list_map_members(s, &n);
	if (s->leaving || s->unresolved)
		;
	else if (!cg_docs_version(s->docs, CG_DOC_SHARDS))
		try_create(s, v, n);
	else if (!try_claim(s, v, n))
		try_rebalance(s, v, n);
	g_free(v);
	pthread_mutex_unlock(&s->write_lock);
}

static void *run_controller(void *arg)
{
	struct cg_shards *s = arg;

	while (wait_or_stop(s, jitter(STEP_PERIOD_MS)))
		cg_shards_step(s);
	return NULL;
}

int cg_shards_start(struct cg_shards *s)
{
	if (pthread_create(&s->thread, NULL, run_controller, s))
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

static size_t count_shards_in_map(struct cg_shards *s)
{
	size_t n = 0;

	pthread_rwlock_rdlock(&s->lock);
	for (int i = 0; s->map && i < CG_SHARDS; i++)
		n += is_owned_by_self(s, &s->map->shards[i]);
	pthread_rwlock_unlock(&s->lock);
	return n;
}

static void try_hand_over_all(struct cg_shards *s, cg_ms end)
{
	struct cg_map_member *v;
	struct proposal *p;
	size_t n;

	retry_unresolved(s, end);
	if (s->unresolved)
		return;
	v = list_map_members(s, &n);
	p = plan_handover(s, true, v, n);
	if (p)
		write_handover(s, p, end);
	g_free(v);
}

int cg_shards_hand_over_all(struct cg_shards *s, cg_ms timeout)
{
	cg_ms end = cg_clock_now(s->clk) + timeout;

	pthread_mutex_lock(&s->write_lock);
	s->leaving = true;
	while (count_shards_in_map(s) && cg_clock_now(s->clk) < end) {
		try_hand_over_all(s, end);
		if (count_shards_in_map(s) &&
		    !wait_or_stop(s, jitter(RETRY_FIRST_MS)))
			break;
	}
	pthread_mutex_unlock(&s->write_lock);
	return count_shards_in_map(s) ? -1 : 0;
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
