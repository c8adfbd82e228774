#define CG_PART "notices"
#include "internal/notices.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "celeryglade/counters.h"
#include "internal/instances.h"
#include "internal/logging.h"
#include "internal/members.h"
#include "notice_wire.h"

#define MAX_NOTICES	  1024
#define PUSH_MEMBERS	  4
#define PUSH_LAST_SEEN_MS 10000
/* A drain notice expires after this time if the list has not ended it: the
 * server may never be listed again. An ended one is kept as long. */
#define DRAIN_MAX_MS (6 * 3600 * 1000LL)
/* A revocation whose key is not in the configuration is kept this long, so that
 * it is not merged again from members that have not ended it yet. */
#define REVOKE_RETENTION_MS (600 * 1000LL)
/* The age of a notice does not include its time in transit, so that a notice
 * may appear newer than it is by up to this time. */
#define AGE_SLACK_MS	   2000
#define EXPIRE_INTERVAL_MS 1000
#define KEY_SIZE	   (CG_DIGEST_SIZE * 2 + 3)

struct notice {
	char key[KEY_SIZE + CG_NAME_MAX];
	enum cg_notice_kind kind;
	uint8_t id[16];
	char name[CG_NAME_MAX + 1];
	uint8_t digest[CG_DIGEST_SIZE];
	cg_ms created_at;
	int64_t started; /* Server's start time on arrival; -1 if unknown. */
	bool ended; /* Kept for a while to reject older copies. */
	cg_ms ended_at;
};

struct server_state {
	int64_t started;
	bool leaving;
};

struct cg_notices {
	struct cg_clock *clk;
	struct cg_peer *peer;
	struct cg_members *members;
	struct cg_docs *docs;
	pthread_rwlock_t lock;
	GHashTable *by_key;
	GHashTable *servers; /* Name to struct server_state. */
	_Atomic size_t drains; /* In force, including leaving servers. */
	_Atomic size_t revocations;
	uint64_t list_version;
	cg_ms last_expiry_at;
};

static void make_key(enum cg_notice_kind kind, const char *name,
		     const uint8_t *digest, char *out, size_t size)
{
	size_t at = 2;

	if (kind == CG_NOTICE_DRAIN) {
		g_snprintf(out, size, "d:%s", name);
		return;
	}
	g_strlcpy(out, "r:", size);
	for (int i = 0; i < CG_DIGEST_SIZE; i++, at += 2)
		g_snprintf(out + at, size - at, "%02x", digest[i]);
}

struct cg_notices *cg_notices_new(struct cg_clock *clk, struct cg_peer *peer,
				  struct cg_members *members,
				  struct cg_docs *docs)
{
	struct cg_notices *n = g_new0(struct cg_notices, 1);

	n->clk = clk;
	n->peer = peer;
	n->members = members;
	n->docs = docs;
	n->by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	n->servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pthread_rwlock_init(&n->lock, NULL);
	return n;
}

void cg_notices_free(struct cg_notices *n)
{
	if (!n)
		return;
	g_hash_table_destroy(n->by_key);
	g_hash_table_destroy(n->servers);
	pthread_rwlock_destroy(&n->lock);
	g_free(n);
}

/* Counts the notices in force, so that the request path can skip the lookup
 * when there are none. */
static void recount_active(struct cg_notices *n)
{
	size_t drains = 0;
	size_t revocations = 0;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, n->by_key);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct notice *e = p;

		if (e->ended)
			continue;
		if (e->kind == CG_NOTICE_DRAIN)
			drains++;
		else
			revocations++;
	}
	g_hash_table_iter_init(&it, n->servers);
	while (g_hash_table_iter_next(&it, NULL, &p))
		drains += ((struct server_state *)p)->leaving;
	atomic_store(&n->drains, drains);
	atomic_store(&n->revocations, revocations);
}

static bool in_config(struct cg_notices *n, const uint8_t *digest)
{
	struct cg_config *c = n->docs ? cg_docs_config(n->docs) : NULL;
	bool found;

	/* Without a configuration the key may be a known one. */
	if (!c)
		return true;
	found = cg_config_find_account_by_key(c, digest) != NULL;
	cg_config_unref(c);
	return found;
}

static bool is_expired(struct cg_notices *n, enum cg_notice_kind kind,
		       const uint8_t *digest, cg_ms age)
{
	if (kind == CG_NOTICE_DRAIN)
		return age > DRAIN_MAX_MS;
	return age > REVOKE_RETENTION_MS && !in_config(n, digest);
}

static bool is_removable(struct cg_notices *n, const struct notice *e,
			 cg_ms now)
{
	if (!e->ended)
		return is_expired(n, e->kind, e->digest, now - e->created_at);
	return now - e->ended_at > (e->kind == CG_NOTICE_DRAIN
					    ? DRAIN_MAX_MS
					    : REVOKE_RETENTION_MS);
}

static void expire_notices(struct cg_notices *n)
{
	cg_ms now = cg_clock_now(n->clk);
	GHashTableIter it;
	gpointer e;

	if (now - n->last_expiry_at < EXPIRE_INTERVAL_MS)
		return;
	n->last_expiry_at = now;
	g_hash_table_iter_init(&it, n->by_key);
	while (g_hash_table_iter_next(&it, NULL, &e))
		if (is_removable(n, e, now))
			g_hash_table_iter_remove(&it);
	recount_active(n);
}

/* Removes an ended notice or else the oldest drain if the table is full. A
 * drain can be announced again, while a revocation must not be lost. */
static bool make_space(struct cg_notices *n)
{
	struct notice *candidate = NULL;
	GHashTableIter it;
	gpointer p;

	if (g_hash_table_size(n->by_key) < MAX_NOTICES)
		return true;
	g_hash_table_iter_init(&it, n->by_key);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct notice *e = p;

		if (!e->ended && e->kind != CG_NOTICE_DRAIN)
			continue;
		if (!candidate || e->ended > candidate->ended ||
		    (e->ended == candidate->ended &&
		     e->created_at < candidate->created_at))
			candidate = e;
	}
	if (!candidate)
		return false;
	g_hash_table_remove(n->by_key, candidate->key);
	return true;
}

static int64_t server_started(struct cg_notices *n, const char *name)
{
	struct server_state *s = g_hash_table_lookup(n->servers, name);

	return s ? s->started : -1;
}

static void fill_notice(struct cg_notices *n, struct notice *e,
			const cg_x_notice *x, cg_ms created_at)
{
	e->kind = (enum cg_notice_kind)x->kind;
	memcpy(e->id, x->id, sizeof(e->id));
	g_strlcpy(e->name, x->name ? x->name : "", sizeof(e->name));
	memcpy(e->digest, x->digest, sizeof(e->digest));
	e->created_at = created_at;
	e->started = server_started(n, e->name);
	e->ended = false;
}

/* Merges a notice. Returns whether it was added, as a new one or in place of an
 * ended one. One that has expired, or is not clearly newer than the end of the
 * known one, is ignored: members that have not ended it yet still send it. The
 * caller holds the lock. */
static bool merge_locked(struct cg_notices *n, const cg_x_notice *x)
{
	cg_ms now = cg_clock_now(n->clk);
	cg_ms age = (cg_ms)MIN(x->age_ms, (uint64_t)DRAIN_MAX_MS * 100);
	char key[KEY_SIZE + CG_NAME_MAX];
	struct notice *e;

	make_key((enum cg_notice_kind)x->kind, x->name ? x->name : "",
		 (const uint8_t *)x->digest, key, sizeof(key));
	e = g_hash_table_lookup(n->by_key, key);
	if (e && !e->ended) {
		e->created_at = MIN(e->created_at, now - age);
		return false;
	}
	if (e && now - age <= e->ended_at + AGE_SLACK_MS)
		return false;
	if (is_expired(n, (enum cg_notice_kind)x->kind,
		       (const uint8_t *)x->digest, age))
		return false;
	if (!e) {
		if (!make_space(n)) {
			cg_warning("notice table is full; notice dropped");
			return false;
		}
		e = g_new0(struct notice, 1);
		g_strlcpy(e->key, key, sizeof(e->key));
		g_hash_table_insert(n->by_key, e->key, e);
	}
	fill_notice(n, e, x, now - age);
	recount_active(n);
	return true;
}

bool cg_notices_merge(struct cg_notices *n, const cg_x_notice *x)
{
	bool is_new;

	if (x->kind != CG_NOTICE_DRAIN && x->kind != CG_NOTICE_REVOKE)
		return false;
	if (x->kind == CG_NOTICE_DRAIN && (!x->name || !*x->name))
		return false;
	pthread_rwlock_wrlock(&n->lock);
	is_new = merge_locked(n, x);
	pthread_rwlock_unlock(&n->lock);
	if (!is_new)
		return false;
	if (x->kind == CG_NOTICE_DRAIN) {
		cg_count(CG_COUNTER_DRAIN_NOTICES);
		cg_info("server %s is draining", x->name);
	} else {
		cg_count(CG_COUNTER_REVOCATION_NOTICES);
		cg_info("key revoked by a notice");
	}
	return true;
}

static void send_to_random_members(struct cg_notices *n, const cg_x_notice *x)
{
	struct cg_member to[PUSH_MEMBERS];
	GByteArray *body;
	size_t count;

	if (!n->peer || !n->members)
		return;
	body = g_byte_array_new();
	if (!cg_xdr_encode((xdrproc_t)xdr_cg_x_notice, x, body)) {
		count = cg_members_pick_random(n->members, PUSH_MEMBERS,
					       PUSH_LAST_SEEN_MS, to);
		for (size_t i = 0; i < count; i++)
			cg_peer_send(n->peer, &to[i].addr, CG_MSG_NOTICE,
				     body->data, body->len);
	}
	g_byte_array_unref(body);
}

static void announce(struct cg_notices *n, cg_x_notice *x)
{
	for (size_t i = 0; i < sizeof(x->id); i += 4) {
		guint32 r = g_random_int();

		memcpy(x->id + i, &r, sizeof(r));
	}
	if (cg_notices_merge(n, x))
		send_to_random_members(n, x);
}

void cg_notices_announce_drain(struct cg_notices *n, const char *name)
{
	char text[CG_NAME_MAX + 1];
	cg_x_notice x = { .kind = CG_NOTICE_DRAIN, .name = text };

	if (cg_notices_is_draining(n, name))
		return;
	g_strlcpy(text, name, sizeof(text));
	announce(n, &x);
}

void cg_notices_announce_revocation(struct cg_notices *n,
				    const uint8_t digest[CG_DIGEST_SIZE])
{
	char empty[1] = "";
	cg_x_notice x = { .kind = CG_NOTICE_REVOKE, .name = empty };

	memcpy(x.digest, digest, sizeof(x.digest));
	announce(n, &x);
}

bool cg_notices_is_draining(struct cg_notices *n, const char *name)
{
	char key[KEY_SIZE + CG_NAME_MAX];
	struct server_state *s;
	struct notice *e;
	bool yes;

	if (!atomic_load_explicit(&n->drains, memory_order_relaxed))
		return false;
	make_key(CG_NOTICE_DRAIN, name, NULL, key, sizeof(key));
	pthread_rwlock_rdlock(&n->lock);
	e = g_hash_table_lookup(n->by_key, key);
	s = g_hash_table_lookup(n->servers, name);
	yes = (e && !e->ended) || (s && s->leaving);
	pthread_rwlock_unlock(&n->lock);
	return yes;
}

bool cg_notices_is_revoked(struct cg_notices *n,
			   const uint8_t digest[CG_DIGEST_SIZE])
{
	char key[KEY_SIZE + CG_NAME_MAX];
	struct notice *e;
	bool yes;

	if (!atomic_load_explicit(&n->revocations, memory_order_relaxed))
		return false;
	make_key(CG_NOTICE_REVOKE, NULL, digest, key, sizeof(key));
	pthread_rwlock_rdlock(&n->lock);
	e = g_hash_table_lookup(n->by_key, key);
	yes = e && !e->ended;
	pthread_rwlock_unlock(&n->lock);
	return yes;
}

static void end_notice(struct cg_notices *n, struct notice *e)
{
	e->ended = true;
	e->ended_at = cg_clock_now(n->clk);
}

/* A drain ends when the server has been restarted, or is listed as live after
 * having been listed as leaving. */
static void apply_server(struct cg_notices *n,
			 const struct cg_instance_entry *l)
{
	char key[KEY_SIZE + CG_NAME_MAX];
	struct server_state *s = g_hash_table_lookup(n->servers, l->name);
	bool returned = s && s->leaving && !l->leaving;
	struct notice *e;

	make_key(CG_NOTICE_DRAIN, l->name, NULL, key, sizeof(key));
	e = g_hash_table_lookup(n->by_key, key);
	if (!s) {
		s = g_new0(struct server_state, 1);
		g_hash_table_insert(n->servers, g_strdup(l->name), s);
	}
	if (e && !e->ended && e->started < 0)
		e->started = l->started;
	else if (e && !e->ended && (returned || l->started > e->started))
		end_notice(n, e);
	s->started = l->started;
	s->leaving = l->leaving;
}

void cg_notices_apply_list(struct cg_notices *n,
			   const struct cg_instance_list *l)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	gpointer name;

	pthread_rwlock_wrlock(&n->lock);
	if (l->version <= n->list_version)
		goto out;
	n->list_version = l->version;
	for (size_t i = 0; i < l->n; i++) {
		if (!l->items[i].server)
			continue;
		g_hash_table_add(names, l->items[i].name);
		apply_server(n, &l->items[i]);
	}
	g_hash_table_iter_init(&it, n->servers);
	while (g_hash_table_iter_next(&it, &name, NULL))
		if (!g_hash_table_contains(names, name))
			g_hash_table_iter_remove(&it);
	recount_active(n);
out:
	pthread_rwlock_unlock(&n->lock);
	g_hash_table_destroy(names);
}

void cg_notices_apply_config(struct cg_notices *n, const struct cg_config *c)
{
	GHashTableIter it;
	gpointer p;

	pthread_rwlock_wrlock(&n->lock);
	g_hash_table_iter_init(&it, n->by_key);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct notice *e = p;

		if (e->kind == CG_NOTICE_REVOKE && !e->ended &&
		    !cg_config_find_account_by_key(c, e->digest))
			end_notice(n, e);
	}
	recount_active(n);
	pthread_rwlock_unlock(&n->lock);
}

void cg_notices_on_doc(void *arg, enum cg_doc doc, uint64_t version,
		       GBytes *content)
{
	struct cg_notices *n = arg;
	struct cg_instance_list l;
	struct cg_faults f = { 0 };
	struct cg_config *c;

	(void)version;
	switch (doc) {
	case CG_DOC_ROOT:
		c = cg_docs_config(n->docs);
		if (c) {
			cg_notices_apply_config(n, c);
			cg_config_unref(c);
		}
		break;
	case CG_DOC_INSTANCE_LIST:
		if (!cg_instance_list_parse(content, &l, &f)) {
			cg_notices_apply_list(n, &l);
			cg_instance_list_clear(&l);
		}
		cg_faults_clear(&f);
		break;
	case CG_DOC_SHARDS:
	case CG_DOC_COUNT:
		break;
	}
}

int cg_notices_handle(struct cg_notices *n, const struct cg_peer_msg *msg,
		      GByteArray *reply)
{
	cg_x_notice x;

	(void)reply;
	if (msg->kind != CG_MSG_NOTICE ||
	    cg_xdr_decode((xdrproc_t)xdr_cg_x_notice, msg->body, msg->len, &x,
			  sizeof(x)))
		return -1;
	if (cg_notices_merge(n, &x))
		send_to_random_members(n, &x);
	xdr_free((xdrproc_t)xdr_cg_x_notice, (char *)&x);
	return 0;
}

static int compare_newest_first(const void *a, const void *b)
{
	const struct notice *x = *(const struct notice *const *)a;
	const struct notice *y = *(const struct notice *const *)b;

	return (x->created_at < y->created_at) -
	       (x->created_at > y->created_at);
}

static void to_xdr(const struct notice *e, cg_ms now, cg_x_notice *x)
{
	memset(x, 0, sizeof(*x));
	memcpy(x->id, e->id, sizeof(x->id));
	x->kind = e->kind;
	/* Allocated with strdup because xdr_free calls free(). */
	x->name = strdup(e->name);
	if (!x->name)
		abort();
	memcpy(x->digest, e->digest, sizeof(x->digest));
	x->age_ms = (uint64_t)(now - e->created_at);
}

size_t cg_notices_collect(struct cg_notices *n, cg_x_notice *out, size_t max)
{
	cg_ms now = cg_clock_now(n->clk);
	struct notice **all;
	GHashTableIter it;
	gpointer p;
	size_t count = 0;
	size_t i;

	pthread_rwlock_wrlock(&n->lock);
	expire_notices(n);
	all = g_new(struct notice *, g_hash_table_size(n->by_key) + 1);
	g_hash_table_iter_init(&it, n->by_key);
	while (g_hash_table_iter_next(&it, NULL, &p))
		if (!((struct notice *)p)->ended)
			all[count++] = p;
	qsort(all, count, sizeof(struct notice *), compare_newest_first);
	for (i = 0; i < count && i < max; i++) {
		size_t k = i;

		if (i >= max / 2)
			k = (size_t)g_random_int_range((gint32)i,
						       (gint32)count);
		to_xdr(all[k], now, &out[i]);
		all[k] = all[i];
	}
	g_free(all);
	pthread_rwlock_unlock(&n->lock);
	return i;
}

static struct json_object *notice_status(const struct notice *e, cg_ms now)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "notice", json_object_new_string(e->key));
	json_object_object_add(o, "age_ms",
			       json_object_new_int64(now - e->created_at));
	json_object_object_add(o, "in_force",
			       json_object_new_boolean(!e->ended));
	return o;
}

struct json_object *cg_notices_status(struct cg_notices *n)
{
	struct json_object *o = json_object_new_object();
	struct json_object *a = json_object_new_array();
	struct json_object *leaving = json_object_new_array();
	cg_ms now = cg_clock_now(n->clk);
	GHashTableIter it;
	gpointer name;
	gpointer p;

	pthread_rwlock_rdlock(&n->lock);
	g_hash_table_iter_init(&it, n->by_key);
	while (g_hash_table_iter_next(&it, NULL, &p))
		json_object_array_add(a, notice_status(p, now));
	g_hash_table_iter_init(&it, n->servers);
	while (g_hash_table_iter_next(&it, &name, &p))
		if (((struct server_state *)p)->leaving)
			json_object_array_add(leaving,
					      json_object_new_string(name));
	pthread_rwlock_unlock(&n->lock);
	json_object_object_add(o, "notices", a);
	json_object_object_add(o, "leaving_servers", leaving);
	return o;
}
