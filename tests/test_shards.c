/* Guards against two owners of a shard at a time, shards that stay without an
 * owner, and shards that move needlessly. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "../bench/fleet/ports.h"
#include "control_node.h"
#include "internal/shard_map.h"
#include "support/fake_store.h"

/* The rules, without I/O. */

static void fill_members(struct cg_map_member *m, size_t n)
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

static void count_loads(const struct cg_shard_map *map,
			const struct cg_map_member *m, size_t n, size_t *out)
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

		fill_members(m, n);
		assert_int_equal(cg_shard_map_create(m, n, &map), 0);
		count_loads(&map, m, n, load);
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
	fill_members(m, 5);
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
	fill_members(m, 2);
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

/* All members claim their share of the shards of an owner that is gone. Each of
 * these shards gets one live owner, other shards stay, and the load is even. */
static void claims_divide_shards_of_gone_owner(void **state)
{
	struct cg_map_member m[8];
	struct cg_shard_map map;
	struct cg_shard_map before;
	size_t load[8];

	(void)state;
	fill_members(m, 8);
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
	count_loads(&map, m, 8, load);
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

/* Members may disagree on whether an owner is gone. Shards that the others do
 * not claim go to one member for which the owner is gone. */
static void remaining_orphans_go_to_one_claimant(void **state)
{
	struct cg_map_member m[4];
	struct cg_shard_map map;
	size_t load[4];

	(void)state;
	fill_members(m, 4);
	cg_shard_map_create(m, 4, &map);
	m[3].eligible = false;
	m[3].gone = true;
	assert_int_equal(cg_shard_map_count_orphans(&map, m, 4), 64);
	assert_int_equal(cg_shard_map_claim(&map, m, 4, true), 64);
	assert_int_equal(cg_shard_map_count_orphans(&map, m, 4), 0);
	count_loads(&map, m, 4, load);
	assert_int_equal(load[0], 128);
	/* A member that is not listed itself claims none. */
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
	fill_members(m, 4);
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
	m[0].address_confirmed = true;
	assert_int_equal(cg_shard_map_claim(&map, m, 4, false), 64);
}

/* After one member was added, rebalancing must end after few moves. */
static void rebalancing_converges_with_few_moves(void **state)
{
	struct cg_map_member m[9];
	struct cg_shard_map map;
	size_t load[9];
	int moves = 0;
	bool any = true;

	(void)state;
	fill_members(m, 9);
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
	count_loads(&map, m, 9, load);
	assert_in_range(load[8], 28, 29);
	assert_int_equal(moves, load[8]);
}

static void leaving_member_moves_all_shards(void **state)
{
	struct cg_map_member m[5];
	struct cg_shard_map map;
	size_t load[5];

	(void)state;
	fill_members(m, 5);
	cg_shard_map_create(m, 5, &map);
	count_loads(&map, m, 5, load);
	assert_int_equal(cg_shard_map_hand_over_all(&map, m, 5), load[0]);
	count_loads(&map, m, 5, load);
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
	int handover_count;
	/* A handover reported a wrong new owner, or the old owner still owned
	 * the shard. */
	bool bad_handover;
};

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	*state = f;
	f->ports = claim_test_ports(3);
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

/* Applies a list of the instances with the given one-letter names. */
static void apply_list(struct fixture *f, struct control_node *n,
		       uint64_t version, const char *names)
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

static void receive_from(struct control_node *n, struct control_node *other)
{
	struct cg_member m;

	cg_members_self(other->members, &m);
	cg_members_record_contact(n->members, &m, cg_clock_now(&n->clk));
}

static void list_and_connect(struct fixture *f)
{
	apply_list(f, &f->a, 1, "ab");
	apply_list(f, &f->b, 1, "ab");
	receive_from(&f->a, &f->b);
	receive_from(&f->b, &f->a);
}

/* Makes the node read the map from the store. */
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

	list_and_connect(f);
	cg_shards_step(f->a.shards);
	cg_shards_step(f->b.shards);
	assert_int_equal(f->fake->writes, 2);
	assert_int_equal(cg_shards_map_version(f->a.shards), 1);
	assert_int_equal(cg_shards_map_version(f->b.shards), 1);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 128);
	assert_int_equal(cg_shards_owned_count(f->b.shards), 128);
}

static void creation_waits_for_listed_members(void **state)
{
	struct fixture *f = *state;

	apply_list(f, &f->a, 1, "ab");
	cg_shards_step(f->a.shards);
	assert_int_equal(f->fake->writes, 0);
	receive_from(&f->a, &f->b);
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 128);
}

static void creation_with_lost_response_is_read_back(void **state)
{
	struct fixture *f = *state;

	apply_list(f, &f->a, 1, "a");
	f->fake->lose_writes = 1;
	cg_shards_step(f->a.shards);
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_map_version(f->a.shards), 1);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 256);
}

static void owner_not_proved_gone_is_not_replaced(void **state)
{
	struct fixture *f = *state;

	list_and_connect(f);
	cg_shards_step(f->a.shards);
	read_map(f, &f->b);
	apply_list(f, &f->a, 2, "a");
	cg_sleep(150);
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 128);
	receive_from(&f->a, &f->b);
	cg_sleep(5);
	apply_list(f, &f->a, 3, "a");
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 128);
	cg_sleep(150);
	apply_list(f, &f->a, 4, "a");
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 256);
	/* The old owner stops as soon as it reads the new map. */
	assert_int_equal(cg_shards_owned_count(f->b.shards), 128);
	read_map(f, &f->b);
	assert_int_equal(cg_shards_owned_count(f->b.shards), 0);
}

static void store_outage_ends_no_ownership(void **state)
{
	struct fixture *f = *state;
	struct cg_shard_owner o;

	list_and_connect(f);
	cg_shards_step(f->a.shards);
	f->fake->down = true;
	/* A contact in the same millisecond as the list counts as a later one
	 * and restarts the confirmation. */
	cg_sleep(5);
	apply_list(f, &f->a, 2, "a");
	cg_sleep(150);
	apply_list(f, &f->a, 3, "a");
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 128);
	f->fake->down = false;
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 256);
	assert_int_equal(cg_shards_owner(f->a.shards, 0, &o), 0);
	assert_true(o.self);
	assert_int_equal(cg_shards_owner(f->a.shards, CG_SHARDS, &o), -1);
}

static void restart_claims_with_new_epoch(void **state)
{
	struct fixture *f = *state;
	struct cg_shard_owner o;

	apply_list(f, &f->a, 1, "a");
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

	f->handover_count++;
	if (to->self || cg_shards_owner(f->a.shards, shard, &now) || now.self ||
	    strcmp(to->instance, "b") != 0 || to->epoch != 2)
		f->bad_handover = true;
}

static void leaving_member_hands_over(void **state)
{
	struct fixture *f = *state;

	list_and_connect(f);
	cg_shards_set_handover(f->a.shards, count_handover, f);
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_hand_over_all(f->a.shards, 2000), 0);
	assert_int_equal(f->handover_count, 128);
	assert_false(f->bad_handover);
	read_map(f, &f->b);
	assert_int_equal(cg_shards_owned_count(f->b.shards), 256);
	/* A leaving member claims no shards. */
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 0);
}

/* If the response is lost after the write took effect, the handover is valid
 * and reported once. */
static void handover_with_lost_response_is_reported_once(void **state)
{
	struct fixture *f = *state;

	list_and_connect(f);
	cg_shards_set_handover(f->a.shards, count_handover, f);
	cg_shards_step(f->a.shards);
	f->fake->lose_writes = 1;
	assert_int_equal(cg_shards_hand_over_all(f->a.shards, 5000), 0);
	assert_int_equal(f->handover_count, 128);
	assert_false(f->bad_handover);
}

/* The replica adopts a version before its listeners run. A controller whose
 * listener has not run yet must not use the old map after a handover. */
static void map_is_in_use_before_listeners_run(void **state)
{
	struct fixture *f = *state;
	struct cg_shards *own = cg_shards_new(
		&f->a.set, 1, &f->a.clk, f->a.store, f->a.docs, f->a.members);

	list_and_connect(f);
	cg_shards_step(own);
	assert_int_equal(cg_shards_owned_count(own), 128);
	assert_int_equal(cg_shards_hand_over_all(own, 2000), 0);
	assert_int_equal(cg_shards_owned_count(own), 0);
	cg_shards_free(own);
}

/* While the outcome of a handover is unknown, the old owner must not act as
 * owner. */
static void unresolved_handover_stops_owner(void **state)
{
	struct fixture *f = *state;

	list_and_connect(f);
	cg_shards_set_handover(f->a.shards, count_handover, f);
	cg_shards_step(f->a.shards);
	f->fake->drop_writes = 1000;
	assert_int_equal(cg_shards_hand_over_all(f->a.shards, 600), -1);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 0);
	assert_int_equal(f->handover_count, 0);
	f->fake->drop_writes = 0;
	assert_int_equal(cg_shards_hand_over_all(f->a.shards, 3000), 0);
	assert_int_equal(f->handover_count, 128);
	assert_false(f->bad_handover);
}

/* A write that certainly did not take effect leaves the owner unchanged. */
static void handover_that_did_not_run_keeps_owner(void **state)
{
	struct fixture *f = *state;

	list_and_connect(f);
	cg_shards_step(f->a.shards);
	f->fake->down = true;
	assert_int_equal(cg_shards_hand_over_all(f->a.shards, 400), -1);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 128);
}

static void stale_read_after_conflict_is_retried(void **state)
{
	struct fixture *f = *state;

	list_and_connect(f);
	cg_shards_set_handover(f->a.shards, count_handover, f);
	cg_shards_step(f->a.shards);
	f->fake->stale = true;
	f->fake->lose_writes = 1;
	assert_int_equal(cg_shards_hand_over_all(f->a.shards, 1500), -1);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 0);
	f->fake->stale = false;
	assert_int_equal(cg_shards_hand_over_all(f->a.shards, 3000), 0);
	assert_int_equal(f->handover_count, 128);
}

static void new_member_gets_one_shard_at_a_time(void **state)
{
	struct fixture *f = *state;

	apply_list(f, &f->a, 1, "a");
	cg_shards_step(f->a.shards);
	assert_int_equal(cg_shards_owned_count(f->a.shards), 256);
	apply_list(f, &f->a, 2, "ab");
	receive_from(&f->a, &f->b);
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

	list_and_connect(f);
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
		cmocka_unit_test(claims_divide_shards_of_gone_owner),
		cmocka_unit_test(remaining_orphans_go_to_one_claimant),
		cmocka_unit_test(restarted_instance_claims_its_own_shards),
		cmocka_unit_test(rebalancing_converges_with_few_moves),
		cmocka_unit_test(leaving_member_moves_all_shards),
		T(first_map_is_created_once),
		T(creation_waits_for_listed_members),
		T(creation_with_lost_response_is_read_back),
		T(owner_not_proved_gone_is_not_replaced),
		T(store_outage_ends_no_ownership),
		T(restart_claims_with_new_epoch),
		T(leaving_member_hands_over),
		T(handover_with_lost_response_is_reported_once),
		T(map_is_in_use_before_listeners_run),
		T(unresolved_handover_stops_owner),
		T(handover_that_did_not_run_keeps_owner),
		T(stale_read_after_conflict_is_retried),
		T(new_member_gets_one_shard_at_a_time),
		T(status_counts_owners),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
