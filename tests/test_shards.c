/* Guards against two owners of a shard, shards that stay without an owner, and
 * shards that move without need. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "../bench/fleet/ports.h"
#include "control_node.h"
#include "internal/shard_map.h"
#include "support/fake_store.h"

/* The rules, without I/O. */

static void fill(struct cg_map_member *m, size_t n)
{
	memset(m, 0, n * sizeof(*m));
	for (size_t i = 0; i < n; i++) {
		char addr[32];

		g_snprintf(m[i].name, sizeof(m[i].name), "entry-%zu", i);
		g_snprintf(addr, sizeof(addr), "127.0.0.1:%zu", 9000 + i);
		cg_parse_address(addr, &m[i].addr);
		m[i].incarnation = 100 + i;
		m[i].eligible = true;
	}
	m[0].self = true;
}

static void loads(const struct cg_shard_map *map, const struct cg_map_member *m,
		  size_t n, size_t *out)
{
	memset(out, 0, n * sizeof(*out));
	for (int s = 0; s < CG_SHARDS; s++)
		for (size_t i = 0; i < n; i++)
			out[i] += !strcmp(map->shards[s].owner, m[i].name);
}

static void first_map_is_balanced(void **state)
{
	const size_t sizes[] = { 1, 3, 7, 48, 300 };
	struct cg_map_member *m = g_new(struct cg_map_member, 300);
	struct cg_shard_map map;
	size_t load[300];

	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(sizes); k++) {
		size_t n = sizes[k];

		fill(m, n);
		assert_int_equal(cg_shard_map_create(m, n, &map), 0);
		loads(&map, m, n, load);
		for (size_t i = 0; i < n; i++)
			assert_in_range(load[i], 0, (CG_SHARDS + n - 1) / n);
		for (int s = 0; s < CG_SHARDS; s++)
			assert_int_equal(map.shards[s].epoch, 1);
	}
	m[0].eligible = false;
	assert_int_equal(cg_shard_map_create(m, 1, &map), -1);
	g_free(m);
}

static void map_survives_encoding(void **state)
{
	struct cg_map_member m[5];
	struct cg_shard_map map;
	struct cg_shard_map *back = g_new(struct cg_shard_map, 1);
	struct cg_faults f = { 0 };
	GBytes *text;

	(void)state;
	fill(m, 5);
	m[1].incarnation = UINT64_MAX;
	cg_shard_map_create(m, 5, &map);
	map.version = 77;
	g_strlcpy(map.write_id, "id", sizeof(map.write_id));
	text = cg_shard_map_encode(&map);
	assert_int_equal(cg_shard_map_parse(text, back, &f), 0);
	assert_int_equal(back->version, 77);
	for (int s = 0; s < CG_SHARDS; s++) {
		assert_string_equal(back->shards[s].owner, map.shards[s].owner);
		assert_true(back->shards[s].incarnation ==
			    map.shards[s].incarnation);
		assert_int_equal(back->shards[s].addr.sin_port,
				 map.shards[s].addr.sin_port);
	}
	g_bytes_unref(text);
	g_free(back);
}

static void malformed_maps_are_refused(void **state)
{
	struct cg_map_member m[2];
	struct cg_shard_map map;
	struct cg_shard_map *out = g_new(struct cg_shard_map, 1);
	GBytes *text;
	gsize len;
	const char *data;
	char *copy;

	(void)state;
	fill(m, 2);
	cg_shard_map_create(m, 2, &map);
	map.version = 1;
	text = cg_shard_map_encode(&map);
	data = g_bytes_get_data(text, &len);
	copy = g_malloc(len);
	for (gsize cut = 0; cut < len; cut += 13) {
		GBytes *part = g_bytes_new(data, cut);
		struct cg_faults f = { 0 };

		assert_int_equal(cg_shard_map_parse(part, out, &f), -1);
		cg_faults_clear(&f);
		g_bytes_unref(part);
	}
	/* Damaged bytes may leave a valid map; they must not crash. */
	for (gsize i = 0; i < len; i += 3) {
		GBytes *part;
		struct cg_faults f = { 0 };

		memcpy(copy, data, len);
		copy[i] ^= 0x15;
		part = g_bytes_new(copy, len);
		cg_shard_map_parse(part, out, &f);
		cg_faults_clear(&f);
		g_bytes_unref(part);
	}
	g_free(copy);
	g_free(out);
	g_bytes_unref(text);
}

/* All members claim their parts of a dead owner's shards: each shard ends with
 * one live owner, other shards stay, and the load is even. */
static void claims_share_a_dead_owners_shards(void **state)
{
	struct cg_map_member m[8];
	struct cg_shard_map map;
	struct cg_shard_map before;
	size_t load[8];

	(void)state;
	fill(m, 8);
	cg_shard_map_create(m, 8, &map);
	before = map;
	m[5].eligible = false;
	assert_int_equal(cg_shard_map_claim(&map, m, 8, false), 0);
	m[5].gone = true;
	for (int i = 0; i < 8; i++) {
		m[0].self = false;
		if (i > 0)
			m[i - 1].self = false;
		m[i].self = true;
		if (i != 5)
			cg_shard_map_claim(&map, m, 8, false);
	}
	loads(&map, m, 8, load);
	assert_int_equal(load[5], 0);
	for (int i = 0; i < 8; i++)
		if (i != 5)
			assert_in_range(load[i], 36, 37);
	for (int s = 0; s < CG_SHARDS; s++) {
		bool moved = strcmp(map.shards[s].owner,
				    before.shards[s].owner) != 0;

		assert_int_equal(moved,
				 !strcmp(before.shards[s].owner, "entry-5"));
		assert_int_equal(map.shards[s].epoch, moved ? 2 : 1);
	}
}

/* Members may disagree on whether an owner is gone. What the others leave is
 * taken by one that has the proof. */
static void remaining_orphans_can_be_taken_by_one(void **state)
{
	struct cg_map_member m[4];
	struct cg_shard_map map;
	size_t load[4];

	(void)state;
	fill(m, 4);
	cg_shard_map_create(m, 4, &map);
	m[3].eligible = false;
	m[3].gone = true;
	assert_int_equal(cg_shard_map_count_orphans(&map, m, 4), 64);
	assert_int_equal(cg_shard_map_claim(&map, m, 4, true), 64);
	assert_int_equal(cg_shard_map_count_orphans(&map, m, 4), 0);
	loads(&map, m, 4, load);
	assert_int_equal(load[0], 128);
	/* Not by a member that is not listed itself. */
	cg_shard_map_create(m, 4, &map);
	m[0].eligible = false;
	m[0].gone = false;
	m[1].gone = true;
	assert_int_equal(cg_shard_map_claim(&map, m, 4, true), 0);
}

static void restarted_instance_claims_its_own_shards(void **state)
{
	struct cg_map_member m[4];
	struct cg_shard_map map;
	struct cg_shard_map other;

	(void)state;
	fill(m, 4);
	cg_shard_map_create(m, 4, &map);
	m[0].incarnation = 555;
	m[0].eligible = false;
	other = map;
	assert_int_equal(cg_shard_map_claim(&map, m, 4, false), 64);
	for (int s = 0; s < CG_SHARDS; s++)
		if (!strcmp(map.shards[s].owner, "entry-0"))
			assert_int_equal(map.shards[s].incarnation, 555);
	/* At another address the old process may still be running. */
	map = other;
	m[0].addr.sin_port = htons(1234);
	assert_int_equal(cg_shard_map_claim(&map, m, 4, false), 0);
	m[0].moved = true;
	assert_int_equal(cg_shard_map_claim(&map, m, 4, false), 64);
}

/* A fleet that grows by one must converge with few moves, then stop. */
static void rebalancing_ends_and_moves_little(void **state)
{
	struct cg_map_member m[9];
	struct cg_shard_map map;
	size_t load[9];
	int moves = 0;
	bool any = true;

	(void)state;
	fill(m, 9);
	cg_shard_map_create(m, 8, &map);
	while (any) {
		any = false;
		for (int i = 0; i < 9; i++) {
			for (int k = 0; k < 9; k++)
				m[k].self = k == i;
			if (cg_shard_map_rebalance(&map, m, 9) >= 0) {
				any = true;
				moves++;
			}
		}
	}
	loads(&map, m, 9, load);
	assert_in_range(load[8], 28, 29);
	assert_int_equal(moves, load[8]);
}

static void leaver_gives_all_away(void **state)
{
	struct cg_map_member m[5];
	struct cg_shard_map map;
	size_t load[5];

	(void)state;
	fill(m, 5);
	cg_shard_map_create(m, 5, &map);
	loads(&map, m, 5, load);
	assert_int_equal(cg_shard_map_hand_over_all(&map, m, 5), load[0]);
	loads(&map, m, 5, load);
	assert_int_equal(load[0], 0);
	for (int i = 1; i < 5; i++)
		assert_in_range(load[i], 63, 65);
	for (int i = 1; i < 5; i++)
		m[i].eligible = false;
	cg_shard_map_create(m, 1, &map);
	assert_int_equal(cg_shard_map_hand_over_all(&map, m, 5), 0);
}

/* The controller, against a store. */

struct fixture {
	struct fake_store *fake;
	struct control_node a;
	struct control_node b;
	uint16_t ports; /* Of the store, a and b. */
	int handed;
	bool acted; /* The old owner claimed to own what it handed over. */
};

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	*state = f;
	f->ports = test_ports(3);
	f->fake = fake_store_start(f->ports);
	if (!f->fake)
		return -1;
	node_settings(&f->a.set, "a", "x", (uint16_t)(f->ports + 1), f->ports);
	node_settings(&f->b.set, "b", "x", (uint16_t)(f->ports + 2), f->ports);
	f->a.incarnation = 1;
	f->b.incarnation = 2;
	f->a.set.gone_confirm_ms = 100;
	f->b.set.gone_confirm_ms = 100;
	return node_init(&f->a) || node_init(&f->b) ? -1 : 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	node_stop(&f->a);
	node_stop(&f->b);
	fake_store_stop(f->fake);
	g_free(f);
	return 0;
}

/* Gives the node a list of the named instances. */
static void list(struct fixture *f, struct control_node *n, uint64_t version,
		 const char *names)
{
	struct cg_instance_entry items[4] = { 0 };
	struct cg_instance_list l = { .version = version, .items = items };

	for (const char *p = names; *p; p++) {
		struct cg_instance_entry *i = &items[l.n++];
		char addr[32];

		g_snprintf(i->name, sizeof(i->name), "%c", *p);
		g_snprintf(addr, sizeof(addr), "127.0.0.1:%d",
			   f->ports + 1 + *p - 'a');
		cg_parse_address(addr, &i->addr);
	}
	cg_members_apply_list(n->members, &l);
}

static void hear(struct control_node *n, struct control_node *other)
{
	struct cg_member m;

	cg_members_self(other->members, &m);
	cg_members_record_contact(n->members, &m, cg_clock_now(&n->clk));
}

static void meet(struct fixture *f)
{
	list(f, &f->a, 1, "ab");
	list(f, &f->b, 1, "ab");
	hear(&f->a, &f->b);
	hear(&f->b, &f->a);
}

/* Lets the node read the map from the store. */
static void read_map(struct fixture *f, struct control_node *n)
{
	GBytes *text = fake_store_value(f->fake, CG_SHARDS_OBJECT);
	uint64_t v;
	GBytes *body;

	if (!text)
		return;
	g_bytes_unref(text);
	assert_int_equal(cg_store_get(n->store, CG_SHARDS_OBJECT, &body, &v),
			 CG_STORE_OK);
	cg_docs_adopt_written(n->docs, CG_DOC_SHARDS, body, v);
	g_bytes_unref(body);
}

static void first_map_is_created_once(void **state)
{
	struct fixture *f = *state;

	meet(f);
	cg_shards_step(f->a.shards);
	cg_shards_step(f->b.shards);
	assert_int_equal(f->fake->writes, 2);
	assert_int_equal(cg_shards_map_version(f->a.shards), 1);
	assert_int_equal(cg_shards_map_version(f->b.shards), 1);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 128);
	assert_int_equal(cg_shards_owned_count(f->b.shards), 128);
}

static void starting_fleet_waits_for_listed_members(void **state)
{
	struct fixture *f = *state;

	list(f, &f->a, 1, "ab");
	cg_shards_step(f->a.shards);
	assert_int_equal(f->fake->writes, 0);
	hear(&f->a, &f->b);
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 128);
}

static void lost_creation_is_read_back(void **state)
{
	struct fixture *f = *state;

	list(f, &f->a, 1, "a");
	f->fake->lose_writes = 1;
	cg_shards_step(f->a.shards);
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_map_version(f->a.shards), 1);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 256);
}

static void owner_without_proof_is_not_replaced(void **state)
{
	struct fixture *f = *state;

	meet(f);
	cg_shards_step(f->a.shards);
	read_map(f, &f->b);
	list(f, &f->a, 2, "a");
	cg_sleep(150);
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 128);
	hear(&f->a, &f->b);
	cg_sleep(5);
	list(f, &f->a, 3, "a");
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 128);
	cg_sleep(150);
	list(f, &f->a, 4, "a");
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 256);
	/* The old owner stops as soon as it reads the new map. */
	assert_int_equal(cg_shards_owned_count(f->b.shards), 128);
	read_map(f, &f->b);
	assert_int_equal(cg_shards_owned_count(f->b.shards), 0);
}

static void outage_ends_no_ownership(void **state)
{
	struct fixture *f = *state;
	struct cg_shard_owner o;

	meet(f);
	cg_shards_step(f->a.shards);
	f->fake->down = true;
	list(f, &f->a, 2, "a");
	cg_sleep(150);
	list(f, &f->a, 3, "a");
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 128);
	f->fake->down = false;
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 256);
	assert_int_equal(cg_shards_owner(f->a.shards, 0, &o), 0);
	assert_true(o.self);
	assert_int_equal(cg_shards_owner(f->a.shards, CG_SHARDS, &o), -1);
}

static void restart_takes_a_new_epoch(void **state)
{
	struct fixture *f = *state;
	struct cg_shard_owner o;

	list(f, &f->a, 1, "a");
	cg_shards_step(f->a.shards);
	node_stop(&f->a);
	node_settings(&f->a.set, "a", "x", (uint16_t)(f->ports + 1), f->ports);
	f->a.incarnation = 3;
	assert_int_equal(node_init(&f->a), 0);
	read_map(f, &f->a);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 0);
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 256);
	cg_shards_owner(f->a.shards, 9, &o);
	assert_int_equal(o.epoch, 2);
	assert_int_equal(o.incarnation, 3);
}

static void count_handover(void *arg, uint32_t shard,
			   const struct cg_shard_owner *to)
{
	struct fixture *f = arg;
	struct cg_shard_owner now;

	f->handed++;
	if (to->self || cg_shards_owner(f->a.shards, shard, &now) || now.self ||
	    strcmp(to->instance, "b") != 0 || to->epoch != 2)
		f->acted = true;
}

static void leaver_hands_over(void **state)
{
	struct fixture *f = *state;

	meet(f);
	cg_shards_set_handover(f->a.shards, count_handover, f);
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_hand_over_all(f->a.shards, 2000), 0);
	assert_int_equal(f->handed, 128);
	assert_false(f->acted);
	read_map(f, &f->b);
	assert_int_equal(cg_shards_owned_count(f->b.shards), 256);
	/* A leaver claims nothing again. */
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 0);
}

/* The response is lost after the write took effect: the handover stands, and is
 * reported once. */
static void lost_handover_is_read_back(void **state)
{
	struct fixture *f = *state;

	meet(f);
	cg_shards_set_handover(f->a.shards, count_handover, f);
	cg_shards_step(f->a.shards);
	f->fake->lose_writes = 1;
	assert_int_equal(cg_shards_hand_over_all(f->a.shards, 5000), 0);
	assert_int_equal(f->handed, 128);
	assert_false(f->acted);
}

/* The replica raises its version before its listeners run. A controller whose
 * listener has not run must not act on the old map after a handover. */
static void map_is_in_use_before_listeners_run(void **state)
{
	struct fixture *f = *state;
	struct cg_shards *own = cg_shards_new(
		&f->a.set, 1, &f->a.clk, f->a.store, f->a.docs, f->a.members);

	meet(f);
	cg_shards_step(own);
	assert_int_equal(cg_shards_owned_count(own), 128);
	assert_int_equal(cg_shards_hand_over_all(own, 2000), 0);
	assert_int_equal(cg_shards_owned_count(own), 0);
	cg_shards_free(own);
}

/* A handover whose outcome is unknown must not let the old owner act again. */
static void open_handover_stops_the_owner(void **state)
{
	struct fixture *f = *state;

	meet(f);
	cg_shards_set_handover(f->a.shards, count_handover, f);
	cg_shards_step(f->a.shards);
	f->fake->drop_writes = 1000;
	assert_int_equal(cg_shards_hand_over_all(f->a.shards, 600), -1);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 0);
	assert_int_equal(f->handed, 0);
	f->fake->drop_writes = 0;
	assert_int_equal(cg_shards_hand_over_all(f->a.shards, 3000), 0);
	assert_int_equal(f->handed, 128);
	assert_false(f->acted);
}

/* A write that surely did not run leaves the owner in office. */
static void refused_handover_keeps_the_owner(void **state)
{
	struct fixture *f = *state;

	meet(f);
	cg_shards_step(f->a.shards);
	f->fake->down = true;
	assert_int_equal(cg_shards_hand_over_all(f->a.shards, 400), -1);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 128);
}

static void conflict_with_a_stale_read_is_repeated(void **state)
{
	struct fixture *f = *state;

	meet(f);
	cg_shards_set_handover(f->a.shards, count_handover, f);
	cg_shards_step(f->a.shards);
	f->fake->stale = true;
	f->fake->lose_writes = 1;
	assert_int_equal(cg_shards_hand_over_all(f->a.shards, 1500), -1);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 0);
	f->fake->stale = false;
	assert_int_equal(cg_shards_hand_over_all(f->a.shards, 3000), 0);
	assert_int_equal(f->handed, 128);
}

static void new_member_gets_shards_slowly(void **state)
{
	struct fixture *f = *state;

	list(f, &f->a, 1, "a");
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 256);
	list(f, &f->a, 2, "ab");
	hear(&f->a, &f->b);
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 255);
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 255);
	cg_sleep(2050);
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 254);
}

static void status_counts_owners(void **state)
{
	struct fixture *f = *state;
	struct json_object *o;

	meet(f);
	cg_shards_step(f->a.shards);
	o = cg_shards_status(f->a.shards);
	assert_int_equal(json_object_get_int(json_object_object_get(
				 json_object_object_get(o, "owners"), "b")),
			 128);
	assert_int_equal(
		json_object_get_int(json_object_object_get(o, "owned")), 128);
	json_object_put(o);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(first_map_is_balanced),
		cmocka_unit_test(map_survives_encoding),
		cmocka_unit_test(malformed_maps_are_refused),
		cmocka_unit_test(claims_share_a_dead_owners_shards),
		cmocka_unit_test(remaining_orphans_can_be_taken_by_one),
		cmocka_unit_test(restarted_instance_claims_its_own_shards),
		cmocka_unit_test(rebalancing_ends_and_moves_little),
		cmocka_unit_test(leaver_gives_all_away),
		T(first_map_is_created_once),
		T(starting_fleet_waits_for_listed_members),
		T(lost_creation_is_read_back),
		T(owner_without_proof_is_not_replaced),
		T(outage_ends_no_ownership),
		T(restart_takes_a_new_epoch),
		T(leaver_hands_over),
		T(lost_handover_is_read_back),
		T(map_is_in_use_before_listeners_run),
		T(open_handover_stops_the_owner),
		T(refused_handover_keeps_the_owner),
		T(conflict_with_a_stale_read_is_repeated),
		T(new_member_gets_shards_slowly),
		T(status_counts_owners),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
