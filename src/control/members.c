#define CG_PART "members"
#include "internal/members.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "internal/logging.h"

/* Sorted names of the fleet's instances in one version of the list. Heartbeat
 * ages in gossip messages are indexed by these positions. */
struct name_set {
	uint64_t id;
	char (*names)[CG_NAME_MAX + 1];
	size_t n;
};

/* Number of recent name sets that are kept, because peers may use a list that
 * is a few versions older for some seconds. */
#define NAME_SETS_MAX 4
/* A member that is gone is removed after this time, so that the entries of
 * replaced instances do not accumulate. */
#define GONE_RETENTION_MS (24 * 3600 * 1000LL)
/* A member that was never listed is removed after this time without contact. */
#define UNLISTED_RETENTION_MS (60 * 1000LL)
#define AGE_CODE_NONE	      15

/* Upper bounds of the age codes in ms. The steps are finer for low ages,
 * because each relay rounds an age up and an age passes about log2(members)
 * relays. */
static const cg_ms age_bounds[AGE_CODE_NONE] = {
	0,    100,  200,  300,	400,  600,  800,  1000,
	1300, 1700, 2200, 3000, 4000, 6000, 10000
};

struct entry {
	struct cg_member m;
	bool self;
	bool listed; /* In the last applied list. */
	bool was_listed;
	cg_ms listed_since; /* With the present address. */
	/* Last direct or relayed message, including requests, which do not
	 * count for last_seen_at. Used only to confirm that a member is gone
	 * and to expire members that were never listed. */
	cg_ms contact_at;
	bool is_absent; /* Missing from the list after having been listed. */
	cg_ms absent_at; /* When the first version without it was read. */
	cg_ms changed_at;
};

struct cg_members {
	struct cg_clock *clk;
	cg_ms gone_confirm_ms;
	pthread_mutex_t lock;
	GHashTable *by_name;
	struct entry *self;
	uint64_t generation;
	uint64_t list_version;
	size_t listed;
	size_t peer_listed;
	struct name_set sets[NAME_SETS_MAX]; /* The first is the current one. */
};

static void set_clear(struct name_set *s)
{
	g_free(s->names);
	memset(s, 0, sizeof(*s));
}

static struct entry *add_entry(struct cg_members *m, const char *name)
{
	struct entry *e = g_new0(struct entry, 1);

	g_strlcpy(e->m.name, name, sizeof(e->m.name));
	e->m.last_seen_at = CG_NEVER_SEEN;
	e->contact_at = CG_NEVER_SEEN;
	e->changed_at = cg_clock_now(m->clk);
	g_hash_table_insert(m->by_name, e->m.name, e);
	m->generation++;
	return e;
}

struct cg_members *cg_members_new(const struct cg_settings *s,
				  uint64_t incarnation, struct cg_clock *clk)
{
	struct cg_members *m = g_new0(struct cg_members, 1);

	m->clk = clk;
	m->gone_confirm_ms = s->gone_confirm_ms;
	pthread_mutex_init(&m->lock, NULL);
	m->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	m->self = add_entry(m, s->instance);
	m->self->self = true;
	m->self->m.incarnation = incarnation;
	m->self->m.addr = s->peer;
	g_strlcpy(m->self->m.failure_domain, s->failure_domain,
		  sizeof(m->self->m.failure_domain));
	g_strlcpy(m->self->m.region, s->region, sizeof(m->self->m.region));
	return m;
}

void cg_members_free(struct cg_members *m)
{
	if (!m)
		return;
	for (int i = 0; i < NAME_SETS_MAX; i++)
		set_clear(&m->sets[i]);
	g_hash_table_destroy(m->by_name);
	pthread_mutex_destroy(&m->lock);
	g_free(m);
}

static cg_ms last_seen(const struct cg_members *m, const struct entry *e)
{
	return e->self ? cg_clock_now(m->clk) : e->m.last_seen_at;
}

void cg_members_mark_leaving(struct cg_members *m)
{
	pthread_mutex_lock(&m->lock);
	m->self->m.leaving = true;
	pthread_mutex_unlock(&m->lock);
}

void cg_members_self(struct cg_members *m, struct cg_member *out)
{
	pthread_mutex_lock(&m->lock);
	*out = m->self->m;
	out->last_seen_at = cg_clock_now(m->clk);
	pthread_mutex_unlock(&m->lock);
}

static void set_state(struct cg_members *m, struct entry *e,
		      enum cg_member_state state)
{
	if (e->m.state == state)
		return;
	e->m.state = state;
	e->changed_at = cg_clock_now(m->clk);
	m->generation++;
}

static bool same_addr(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

static void apply_list_entry(struct cg_members *m,
			     const struct cg_instance_entry *l, cg_ms now)
{
	struct entry *e = g_hash_table_lookup(m->by_name, l->name);

	if (!e)
		e = add_entry(m, l->name);
	if (!e->listed || !same_addr(&e->m.addr, &l->addr))
		e->listed_since = now;
	e->listed = true;
	e->was_listed = true;
	e->is_absent = false;
	if (!e->self) {
		/* A process at another address is not the one seen so far. */
		if (!same_addr(&e->m.addr, &l->addr) && e->m.incarnation) {
			e->m.incarnation = 0;
			e->m.last_seen_at = CG_NEVER_SEEN;
		}
		e->m.addr = l->addr;
		g_strlcpy(e->m.failure_domain, l->failure_domain,
			  sizeof(e->m.failure_domain));
		g_strlcpy(e->m.region, l->region, sizeof(e->m.region));
	} else if (!same_addr(&e->m.addr, &l->addr)) {
		/* The list still shows the instance that this process
		 * replaces. */
		e->listed_since = now;
	}
	set_state(m, e, l->leaving ? CG_MEMBER_LEAVING : CG_MEMBER_LIVE);
}

/* An instance is gone if it is missing from two versions of the list that were
 * read at least gone_confirm_ms apart and there was no contact with it since
 * the first of them was read. Contact in between restarts the confirmation. */
static void handle_missing_entry(struct cg_members *m, struct entry *e,
				 cg_ms now)
{
	e->listed = false;
	if (e->self) {
		set_state(m, e, CG_MEMBER_UNLISTED);
		return;
	}
	if (!e->was_listed || e->m.state == CG_MEMBER_GONE)
		return;
	if (!e->is_absent || e->contact_at >= e->absent_at) {
		e->is_absent = true;
		e->absent_at = now;
		return;
	}
	if (now - e->absent_at < m->gone_confirm_ms)
		return;
	cg_info("member %s is gone: not listed and no contact", e->m.name);
	set_state(m, e, CG_MEMBER_GONE);
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(a, b);
}

static void rebuild_set(struct cg_members *m, const struct cg_instance_list *l)
{
	struct name_set s = { .id = 0 };
	XXH64_state_t *h = XXH64_createState();

	s.names = g_malloc0((l->n + 1) * sizeof(*s.names));
	for (size_t i = 0; i < l->n; i++)
		if (!l->items[i].server)
			g_strlcpy(s.names[s.n++], l->items[i].name,
				  sizeof(*s.names));
	qsort(s.names, s.n, sizeof(*s.names), compare_names);
	XXH64_reset(h, 0);
	for (size_t i = 0; i < s.n; i++)
		XXH64_update(h, s.names[i], strlen(s.names[i]) + 1);
	s.id = XXH64_digest(h);
	XXH64_freeState(h);
	m->listed = s.n;
	if (m->sets[0].names && m->sets[0].id == s.id) {
		set_clear(&s);
		return;
	}
	set_clear(&m->sets[NAME_SETS_MAX - 1]);
	memmove(&m->sets[1], &m->sets[0], sizeof(s) * (NAME_SETS_MAX - 1));
	m->sets[0] = s;
}

static bool is_expired(const struct cg_members *m, const struct entry *e,
		       cg_ms now)
{
	if (e->self)
		return false;
	if (e->m.state == CG_MEMBER_GONE)
		return now - e->changed_at > GONE_RETENTION_MS;
	return !e->was_listed && e->m.state == CG_MEMBER_UNLISTED &&
	       now - MAX(e->contact_at, e->changed_at) > UNLISTED_RETENTION_MS;
}

static void remove_expired(struct cg_members *m, cg_ms now)
{
	GHashTableIter it;
	gpointer e;

	g_hash_table_iter_init(&it, m->by_name);
	while (g_hash_table_iter_next(&it, NULL, &e)) {
		if (!is_expired(m, e, now))
			continue;
		g_hash_table_iter_remove(&it);
		m->generation++;
	}
}

static void apply_locked(struct cg_members *m, const struct cg_instance_list *l)
{
	cg_ms now = cg_clock_now(m->clk);
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	gpointer name;
	gpointer e;

	m->list_version = l->version;
	for (size_t i = 0; i < l->n; i++) {
		if (l->items[i].server)
			continue;
		g_hash_table_add(names, l->items[i].name);
		apply_list_entry(m, &l->items[i], now);
	}
	g_hash_table_iter_init(&it, m->by_name);
	while (g_hash_table_iter_next(&it, &name, &e))
		if (!g_hash_table_contains(names, name))
			handle_missing_entry(m, e, now);
	g_hash_table_destroy(names);
	rebuild_set(m, l);
	remove_expired(m, now);
}

bool cg_members_apply_list(struct cg_members *m,
			   const struct cg_instance_list *l)
{
	bool applied;

	pthread_mutex_lock(&m->lock);
	applied = l->version > m->list_version;
	if (applied)
		apply_locked(m, l);
	pthread_mutex_unlock(&m->lock);
	return applied;
}

void cg_members_assume_listed(struct cg_members *m, const char *name,
			      uint64_t incarnation,
			      const struct sockaddr_in *addr)
{
	struct entry *e;

	pthread_mutex_lock(&m->lock);
	e = g_hash_table_lookup(m->by_name, name);
	if (!e) {
		e = add_entry(m, name);
		e->m.incarnation = incarnation;
		e->m.addr = *addr;
	}
	if (!e->self)
		e->was_listed = true;
	pthread_mutex_unlock(&m->lock);
}

/* A reply proves which process is running now. A request may be old, so it can
 * only introduce a higher incarnation. Incarnations are taken from the wall
 * clock. */
static bool accept_identity(struct entry *e, const struct cg_member *sender,
			    cg_ms proven_at)
{
	if (e->m.incarnation == sender->incarnation)
		return true;
	if (proven_at == CG_NEVER_SEEN &&
	    sender->incarnation < e->m.incarnation)
		return false;
	e->m.incarnation = sender->incarnation;
	e->m.leaving = false;
	e->m.last_seen_at = CG_NEVER_SEEN;
	return true;
}

void cg_members_record_contact(struct cg_members *m,
			       const struct cg_member *sender, cg_ms proven_at)
{
	cg_ms now = cg_clock_now(m->clk);
	struct entry *e;

	pthread_mutex_lock(&m->lock);
	e = g_hash_table_lookup(m->by_name, sender->name);
	if (!e)
		e = add_entry(m, sender->name);
	if (e->self)
		goto out;
	if (!e->listed) {
		e->m.addr = sender->addr;
		g_strlcpy(e->m.failure_domain, sender->failure_domain,
			  sizeof(e->m.failure_domain));
		g_strlcpy(e->m.region, sender->region, sizeof(e->m.region));
	}
	/* While the list names another address, the sender may be the old
	 * process, which is not the listed member. */
	if (!same_addr(&e->m.addr, &sender->addr) ||
	    !accept_identity(e, sender, proven_at))
		goto out;
	e->contact_at = now;
	e->m.leaving |= sender->leaving;
	if (e->m.state == CG_MEMBER_GONE) {
		cg_info("member %s was gone but is sending again",
			sender->name);
		set_state(m, e, CG_MEMBER_UNLISTED);
		e->is_absent = false;
	}
	if (proven_at != CG_NEVER_SEEN && proven_at > e->m.last_seen_at)
		e->m.last_seen_at = MIN(proven_at, now);
out:
	pthread_mutex_unlock(&m->lock);
}

void cg_members_record_peer_list_size(struct cg_members *m, size_t listed)
{
	pthread_mutex_lock(&m->lock);
	m->peer_listed = MAX(m->peer_listed, listed);
	pthread_mutex_unlock(&m->lock);
}

size_t cg_members_listed_count(struct cg_members *m)
{
	size_t n;

	pthread_mutex_lock(&m->lock);
	n = m->listed;
	pthread_mutex_unlock(&m->lock);
	return n;
}

static size_t copy_members(struct cg_members *m, struct cg_member *out,
			   size_t max, bool all)
{
	GHashTableIter it;
	gpointer p;
	size_t n = 0;

	pthread_mutex_lock(&m->lock);
	g_hash_table_iter_init(&it, m->by_name);
	while (n < max && g_hash_table_iter_next(&it, NULL, &p)) {
		struct entry *e = p;

		if (!all && (e->self || e->m.state == CG_MEMBER_GONE))
			continue;
		out[n] = e->m;
		out[n++].last_seen_at = last_seen(m, e);
	}
	pthread_mutex_unlock(&m->lock);
	return n;
}

size_t cg_members_copy(struct cg_members *m, struct cg_member *out, size_t max)
{
	return copy_members(m, out, max, false);
}

size_t cg_members_copy_all(struct cg_members *m, struct cg_member *out,
			   size_t max)
{
	return copy_members(m, out, max, true);
}

int cg_members_find(struct cg_members *m, const char *name,
		    struct cg_member *out)
{
	struct entry *e;

	pthread_mutex_lock(&m->lock);
	e = g_hash_table_lookup(m->by_name, name);
	if (e) {
		*out = e->m;
		out->last_seen_at = last_seen(m, e);
	}
	pthread_mutex_unlock(&m->lock);
	return e ? 0 : -1;
}

/* Reservoir sampling: one pass over the members, equal probabilities. */
size_t cg_members_pick_random(struct cg_members *m, size_t n, cg_ms within,
			      struct cg_member *out)
{
	cg_ms now = cg_clock_now(m->clk);
	GHashTableIter it;
	gpointer p;
	size_t seen = 0;

	if (!n)
		return 0;
	pthread_mutex_lock(&m->lock);
	g_hash_table_iter_init(&it, m->by_name);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct entry *e = p;
		size_t at = seen;

		if (e->self || e->m.state == CG_MEMBER_GONE ||
		    (within < CG_MS_NEVER &&
		     (e->m.last_seen_at == CG_NEVER_SEEN ||
		      now - e->m.last_seen_at > within)))
			continue;
		if (seen++ >= n)
			at = (size_t)g_random_int_range(0, (gint32)seen);
		if (at < n)
			out[at] = e->m;
	}
	pthread_mutex_unlock(&m->lock);
	return MIN(seen, n);
}

static size_t count_locked(struct cg_members *m)
{
	GHashTableIter it;
	gpointer p;
	size_t n = 0;

	g_hash_table_iter_init(&it, m->by_name);
	while (g_hash_table_iter_next(&it, NULL, &p))
		n += ((struct entry *)p)->m.state != CG_MEMBER_GONE;
	return n;
}

size_t cg_members_count(struct cg_members *m)
{
	size_t n;

	pthread_mutex_lock(&m->lock);
	n = count_locked(m);
	pthread_mutex_unlock(&m->lock);
	return n;
}

static int compare_latest_first(const void *a, const void *b)
{
	cg_ms x = *(const cg_ms *)a;
	cg_ms y = *(const cg_ms *)b;

	return (x < y) - (x > y);
}

cg_ms cg_members_majority_seen_at(struct cg_members *m)
{
	GHashTableIter it;
	gpointer p;
	cg_ms *times;
	cg_ms at = CG_NEVER_SEEN;
	size_t n = 0;
	size_t all;

	pthread_mutex_lock(&m->lock);
	times = g_new(cg_ms, g_hash_table_size(m->by_name));
	g_hash_table_iter_init(&it, m->by_name);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct entry *e = p;

		if (e->m.state != CG_MEMBER_GONE)
			times[n++] = last_seen(m, e);
	}
	/* Without a list of its own this process knows only the members that it
	 * has seen, and all of those would always be a majority. */
	all = m->listed ? n : MAX(n, m->peer_listed);
	pthread_mutex_unlock(&m->lock);
	qsort(times, n, sizeof(*times), compare_latest_first);
	if (all / 2 < n)
		at = times[all / 2];
	g_free(times);
	return at;
}

bool cg_members_has_majority(struct cg_members *m, cg_ms within)
{
	cg_ms at = cg_members_majority_seen_at(m);

	return at != CG_NEVER_SEEN && cg_clock_now(m->clk) - at <= within;
}

uint64_t cg_members_generation(struct cg_members *m)
{
	uint64_t g;

	pthread_mutex_lock(&m->lock);
	g = m->generation;
	pthread_mutex_unlock(&m->lock);
	return g;
}

bool cg_members_is_among_lowest(struct cg_members *m, uint64_t seed, size_t n)
{
	const struct entry *self = m->self;
	GHashTableIter it;
	gpointer p;
	uint64_t own;
	size_t lower = 0;
	bool lowest;

	pthread_mutex_lock(&m->lock);
	own = XXH64(self->m.name, strlen(self->m.name), seed);
	g_hash_table_iter_init(&it, m->by_name);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct entry *e = p;

		if (e->self || e->m.state != CG_MEMBER_LIVE ||
		    strcmp(e->m.failure_domain, self->m.failure_domain) != 0)
			continue;
		lower += XXH64(e->m.name, strlen(e->m.name), seed) < own;
	}
	lowest = self->m.state == CG_MEMBER_LIVE && lower < n;
	pthread_mutex_unlock(&m->lock);
	return lowest;
}

bool cg_members_self_listed(struct cg_members *m, cg_ms at_least)
{
	bool yes;

	pthread_mutex_lock(&m->lock);
	yes = m->self->listed &&
	      cg_clock_now(m->clk) - m->self->listed_since >= at_least;
	pthread_mutex_unlock(&m->lock);
	return yes;
}

static uint8_t age_code(cg_ms age)
{
	uint8_t c = 0;

	while (c < AGE_CODE_NONE && age > age_bounds[c])
		c++;
	return c;
}

size_t cg_members_encode_ages(struct cg_members *m, size_t first,
			      uint8_t *codes, size_t max, uint64_t *set)
{
	cg_ms now = cg_clock_now(m->clk);
	const struct name_set *s = &m->sets[0];
	size_t count = 0;

	memset(codes, 0, max);
	pthread_mutex_lock(&m->lock);
	*set = s->id;
	while (first + count < s->n && count < max * 2) {
		struct entry *e = g_hash_table_lookup(m->by_name,
						      s->names[first + count]);
		cg_ms at = e ? last_seen(m, e) : CG_NEVER_SEEN;
		uint8_t c = at == CG_NEVER_SEEN ? AGE_CODE_NONE
						: age_code(now - at);

		codes[count / 2] |= (uint8_t)(count % 2 ? c << 4 : c);
		count++;
	}
	pthread_mutex_unlock(&m->lock);
	return count;
}

static void merge_age(struct cg_members *m, const char *name, uint8_t code,
		      cg_ms sent_at)
{
	struct entry *e = g_hash_table_lookup(m->by_name, name);
	cg_ms at;

	if (!e || e->self || code >= AGE_CODE_NONE)
		return;
	at = sent_at - age_bounds[code];
	if (at > e->m.last_seen_at)
		e->m.last_seen_at = at;
	if (at > e->contact_at)
		e->contact_at = at;
}

void cg_members_merge_ages(struct cg_members *m, uint64_t set, size_t first,
			   size_t count, const uint8_t *codes, cg_ms sent_at)
{
	const struct name_set *s = NULL;

	pthread_mutex_lock(&m->lock);
	for (int i = 0; i < NAME_SETS_MAX && !s; i++)
		if (m->sets[i].names && m->sets[i].id == set)
			s = &m->sets[i];
	for (size_t i = 0; s && i < count && first + i < s->n; i++)
		merge_age(m, s->names[first + i],
			  i % 2 ? codes[i / 2] >> 4 : codes[i / 2] & 15,
			  sent_at);
	pthread_mutex_unlock(&m->lock);
}

static const char *state_name(enum cg_member_state s)
{
	switch (s) {
	case CG_MEMBER_UNLISTED:
		return "unlisted";
	case CG_MEMBER_LIVE:
		return "live";
	case CG_MEMBER_LEAVING:
		return "leaving";
	case CG_MEMBER_GONE:
		return "gone";
	}
	abort();
}

static struct json_object *entry_status(const struct cg_members *m,
					const struct entry *e, cg_ms now)
{
	struct json_object *o = json_object_new_object();
	cg_ms at = last_seen(m, e);
	char addr[32];

	cg_format_address(&e->m.addr, addr, sizeof(addr));
	json_object_object_add(o, "name", json_object_new_string(e->m.name));
	json_object_object_add(o, "state",
			       json_object_new_string(state_name(e->m.state)));
	json_object_object_add(o, "incarnation",
			       json_object_new_uint64(e->m.incarnation));
	json_object_object_add(o, "address", json_object_new_string(addr));
	json_object_object_add(o, "failure_domain",
			       json_object_new_string(e->m.failure_domain));
	if (at != CG_NEVER_SEEN)
		json_object_object_add(o, "heard_ms_ago",
				       json_object_new_int64(now - at));
	return o;
}

struct json_object *cg_members_status(struct cg_members *m)
{
	struct json_object *o = json_object_new_object();
	struct json_object *a = json_object_new_array();
	cg_ms now = cg_clock_now(m->clk);
	cg_ms majority = cg_members_majority_seen_at(m);
	GHashTableIter it;
	gpointer e;

	pthread_mutex_lock(&m->lock);
	json_object_object_add(o, "list_version",
			       json_object_new_uint64(m->list_version));
	json_object_object_add(o, "listed",
			       json_object_new_int64((int64_t)m->listed));
	g_hash_table_iter_init(&it, m->by_name);
	while (g_hash_table_iter_next(&it, NULL, &e))
		json_object_array_add(a, entry_status(m, e, now));
	pthread_mutex_unlock(&m->lock);
	if (majority != CG_NEVER_SEEN)
		json_object_object_add(o, "majority_heard_ms_ago",
				       json_object_new_int64(now - majority));
	json_object_object_add(o, "members", a);
	return o;
}
