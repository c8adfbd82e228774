#include "internal/shard_map.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "internal/settings.h"

#define PLACE "shards"

/* Owners are stored once, as name, incarnation and address, and shards refer to
 * them by index. This keeps a map with 256 owners at about 20 KB. */
static int read_owner(struct json_object *o, struct cg_map_entry *out)
{
	const char *name;
	const char *addr;

	if (!json_object_is_type(o, json_type_array) ||
	    json_object_array_length(o) != 3)
		return -1;
	name = json_object_get_string(json_object_array_get_idx(o, 0));
	addr = json_object_get_string(json_object_array_get_idx(o, 2));
	if (!name || !*name || strlen(name) > CG_NAME_MAX || !addr ||
	    cg_parse_address(addr, &out->addr))
		return -1;
	g_strlcpy(out->owner, name, sizeof(out->owner));
	out->incarnation =
		json_object_get_uint64(json_object_array_get_idx(o, 1));
	return out->incarnation ? 0 : -1;
}

static int read_shard(struct json_object *o, const struct cg_map_entry *owners,
		      size_t n, struct cg_map_entry *out)
{
	int64_t i;

	if (!json_object_is_type(o, json_type_array) ||
	    json_object_array_length(o) != 2)
		return -1;
	i = json_object_get_int64(json_object_array_get_idx(o, 0));
	if (i < 0 || (size_t)i >= n)
		return -1;
	*out = owners[i];
	out->epoch = json_object_get_uint64(json_object_array_get_idx(o, 1));
	return out->epoch ? 0 : -1;
}

static int read_shards(struct json_object *owners, struct json_object *shards,
		       struct cg_shard_map *out, struct cg_faults *f)
{
	size_t n = json_object_array_length(owners);
	struct cg_map_entry *list = g_new0(struct cg_map_entry, n + 1);
	int rc = -1;

	for (size_t i = 0; i < n; i++) {
		if (read_owner(json_object_array_get_idx(owners, i),
			       &list[i])) {
			cg_faults_add(f, PLACE, "owner %zu is malformed", i);
			goto out;
		}
	}
	for (size_t i = 0; i < CG_SHARDS; i++) {
		if (read_shard(json_object_array_get_idx(shards, i), list, n,
			       &out->shards[i])) {
			cg_faults_add(f, PLACE, "shard %zu is malformed", i);
			goto out;
		}
	}
	rc = 0;
out:
	g_free(list);
	return rc;
}

int cg_shard_map_parse(GBytes *text, struct cg_shard_map *out,
		       struct cg_faults *f)
{
	struct json_object *o = NULL;
	struct json_object *owners;
	struct json_object *shards;
	const char *write_id;
	int64_t version;
	int rc = -1;

	memset(out, 0, sizeof(*out));
	if (cg_json_parse(g_bytes_get_data(text, NULL), g_bytes_get_size(text),
			  PLACE, &o, f))
		return -1;
	if (!json_object_is_type(o, json_type_object) ||
	    cg_json_get_int(o, "version", PLACE, 1, INT64_MAX, &version, f) ||
	    cg_json_get_string(o, "write_id", PLACE, &write_id, f) ||
	    cg_json_get_array(o, "owners", PLACE, &owners, f) ||
	    cg_json_get_array(o, "shards", PLACE, &shards, f) ||
	    json_object_array_length(shards) != CG_SHARDS) {
		cg_faults_add(f, PLACE, "the map is incomplete");
		goto out;
	}
	out->version = (uint64_t)version;
	g_strlcpy(out->write_id, write_id, sizeof(out->write_id));
	rc = read_shards(owners, shards, out, f);
out:
	json_object_put(o);
	return rc;
}

static bool same_owner(const struct cg_map_entry *a,
		       const struct cg_map_entry *b)
{
	return !strcmp(a->owner, b->owner) && a->incarnation == b->incarnation;
}

static struct json_object *owner_json(const struct cg_map_entry *e)
{
	struct json_object *o = json_object_new_array();
	char addr[32];

	cg_format_address(&e->addr, addr, sizeof(addr));
	json_object_array_add(o, json_object_new_string(e->owner));
	json_object_array_add(o, json_object_new_uint64(e->incarnation));
	json_object_array_add(o, json_object_new_string(addr));
	return o;
}

GBytes *cg_shard_map_encode(const struct cg_shard_map *m)
{
	struct json_object *o = json_object_new_object();
	struct json_object *owners = json_object_new_array();
	struct json_object *shards = json_object_new_array();
	size_t first[CG_SHARDS];
	size_t count = 0;
	const char *text;
	size_t len;
	GBytes *out;

	for (size_t i = 0; i < CG_SHARDS; i++) {
		struct json_object *pair = json_object_new_array();
		size_t k = 0;

		while (k < count &&
		       !same_owner(&m->shards[first[k]], &m->shards[i]))
			k++;
		if (k == count) {
			first[count++] = i;
			json_object_array_add(owners,
					      owner_json(&m->shards[i]));
		}
		json_object_array_add(pair, json_object_new_int64((int64_t)k));
		json_object_array_add(
			pair, json_object_new_uint64(m->shards[i].epoch));
		json_object_array_add(shards, pair);
	}
	json_object_object_add(o, "version",
			       json_object_new_uint64(m->version));
	json_object_object_add(o, "write_id",
			       json_object_new_string(m->write_id));
	json_object_object_add(o, "owners", owners);
	json_object_object_add(o, "shards", shards);
	text = json_object_to_json_string_length(o, JSON_C_TO_STRING_PLAIN,
						 &len);
	out = g_bytes_new(text, len);
	json_object_put(o);
	return out;
}

static uint64_t rendezvous_weight(const char *name, size_t shard)
{
	return XXH64(name, strlen(name), shard);
}

static size_t eligible_count(const struct cg_map_member *members, size_t n)
{
	size_t count = 0;

	for (size_t i = 0; i < n; i++)
		if (members[i].eligible)
			count++;
	return count;
}

/* Returns the eligible member with fewer than @p max_load shards that has the
 * highest weight for the shard, or n. */
static size_t pick_by_weight(const struct cg_map_member *members,
			     const size_t *load, size_t n, size_t shard,
			     size_t max_load)
{
	size_t best = n;
	uint64_t best_w = 0;

	for (size_t i = 0; i < n; i++) {
		uint64_t w;

		if (!members[i].eligible || load[i] >= max_load)
			continue;
		w = rendezvous_weight(members[i].name, shard);
		if (best == n || w > best_w) {
			best = i;
			best_w = w;
		}
	}
	return best;
}

static void set_owner(struct cg_map_entry *e, const struct cg_map_member *m)
{
	g_strlcpy(e->owner, m->name, sizeof(e->owner));
	e->incarnation = m->incarnation;
	e->addr = m->addr;
	e->epoch++;
}

int cg_shard_map_create(const struct cg_map_member *members, size_t n,
			struct cg_shard_map *out)
{
	size_t count = eligible_count(members, n);
	size_t *load;
	size_t max_load;

	memset(out, 0, sizeof(*out));
	if (count < 1)
		return -1;
	max_load = (CG_SHARDS + count - 1) / count;
	load = g_new0(size_t, n + 1);
	for (size_t s = 0; s < CG_SHARDS; s++) {
		size_t i = pick_by_weight(members, load, n, s, max_load);

		set_owner(&out->shards[s], &members[i]);
		load[i]++;
	}
	g_free(load);
	return 0;
}

static size_t find_member(const struct cg_map_member *members, size_t n,
			  const char *name)
{
	for (size_t i = 0; i < n; i++)
		if (!strcmp(members[i].name, name))
			return i;
	return n;
}

static void count_load(const struct cg_shard_map *m,
		       const struct cg_map_member *members, size_t n,
		       size_t *load)
{
	for (size_t s = 0; s < CG_SHARDS; s++) {
		size_t i = find_member(members, n, m->shards[s].owner);

		if (i < n)
			load[i]++;
	}
}

static size_t find_self(const struct cg_map_member *members, size_t n)
{
	size_t i = 0;

	while (i < n && !members[i].self)
		i++;
	return i;
}

static bool same_addr(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

/* That this process could bind the address of an earlier incarnation proves
 * that the earlier one ended. At another address only the list can show that
 * the instance was replaced. */
static bool is_owned_by_earlier_incarnation(const struct cg_map_entry *e,
					    const struct cg_map_member *self)
{
	return !strcmp(e->owner, self->name) &&
	       e->incarnation != self->incarnation &&
	       (self->address_confirmed || same_addr(&e->addr, &self->addr));
}

/* Returns the eligible member with the lowest load, or n. Among equal loads the
 * weight decides. */
static size_t pick_by_load(const struct cg_map_member *members,
			   const size_t *load, size_t n, size_t shard)
{
	size_t lowest = SIZE_MAX;

	for (size_t i = 0; i < n; i++)
		if (members[i].eligible && load[i] < lowest)
			lowest = load[i];
	return lowest == SIZE_MAX
		       ? n
		       : pick_by_weight(members, load, n, shard, lowest + 1);
}

size_t cg_shard_map_count_orphans(const struct cg_shard_map *m,
				  const struct cg_map_member *members, size_t n)
{
	size_t count = 0;

	for (size_t s = 0; s < CG_SHARDS; s++) {
		size_t owner = find_member(members, n, m->shards[s].owner);

		if (owner < n && members[owner].gone)
			count++;
	}
	return count;
}

size_t cg_shard_map_claim(struct cg_shard_map *m,
			  const struct cg_map_member *members, size_t n,
			  bool all)
{
	size_t self = find_self(members, n);
	size_t *load;
	size_t changed = 0;

	if (self == n)
		return 0;
	load = g_new0(size_t, n + 1);
	count_load(m, members, n, load);
	for (size_t s = 0; s < CG_SHARDS; s++) {
		struct cg_map_entry *e = &m->shards[s];
		size_t owner = find_member(members, n, e->owner);
		size_t to;

		if (is_owned_by_earlier_incarnation(e, &members[self])) {
			set_owner(e, &members[self]);
			changed++;
			continue;
		}
		if (owner == n || !members[owner].gone)
			continue;
		/* Each member computes the whole assignment and claims only
		 * its own share, so that two members rarely claim the same
		 * shard. */
		to = all && members[self].eligible
			     ? self
			     : pick_by_load(members, load, n, s);
		if (to == n)
			continue;
		load[to]++;
		if (to == self) {
			set_owner(e, &members[self]);
			changed++;
		}
	}
	g_free(load);
	return changed;
}

int cg_shard_map_rebalance(struct cg_shard_map *m,
			   const struct cg_map_member *members, size_t n)
{
	size_t self = find_self(members, n);
	size_t *load;
	int moved = -1;

	if (self == n || !members[self].eligible)
		return -1;
	load = g_new0(size_t, n + 1);
	count_load(m, members, n, load);
	for (size_t s = 0; s < CG_SHARDS && moved < 0; s++) {
		struct cg_map_entry *e = &m->shards[s];
		size_t to;

		if (strcmp(e->owner, members[self].name) != 0 ||
		    e->incarnation != members[self].incarnation)
			continue;
		to = pick_by_load(members, load, n, s);
		/* Moving a shard does not improve a difference of one. */
		if (load[self] < load[to] + 2)
			break;
		set_owner(e, &members[to]);
		moved = (int)s;
	}
	g_free(load);
	return moved;
}

size_t cg_shard_map_hand_over_all(struct cg_shard_map *m,
				  const struct cg_map_member *members, size_t n)
{
	struct cg_map_member *others;
	size_t self = find_self(members, n);
	size_t *load;
	size_t moved = 0;

	if (self == n)
		return 0;
	others = g_memdup2(members, n * sizeof(*members));
	others[self].eligible = false;
	load = g_new0(size_t, n + 1);
	count_load(m, members, n, load);
	for (size_t s = 0; s < CG_SHARDS; s++) {
		struct cg_map_entry *e = &m->shards[s];
		size_t to;

		if (strcmp(e->owner, members[self].name) != 0 ||
		    e->incarnation != members[self].incarnation)
			continue;
		to = pick_by_load(others, load, n, s);
		if (to == n)
			break;
		set_owner(e, &others[to]);
		load[to]++;
		moved++;
	}
	g_free(load);
	g_free(others);
	return moved;
}
