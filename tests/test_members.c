/* Guards against instances that are counted as gone too early (their shards and
 * rate holdings would be given to others while they still use them), stale
 * lists that take effect, and heartbeats that look younger than they are. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "fake_config.h"
#include "internal/members.h"

struct fixture {
	struct cg_settings set;
	struct cg_clock clk;
	struct cg_members *m;
	uint64_t version;
};

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	*state = f;
	g_strlcpy(f->set.instance, "a", sizeof(f->set.instance));
	g_strlcpy(f->set.failure_domain, "x", sizeof(f->set.failure_domain));
	cg_parse_address("127.0.0.1:8001", &f->set.peer);
	f->set.gone_confirm_ms = 10000;
	cg_clock_init_given(&f->clk, 1000000);
	f->m = cg_members_new(&f->set, 11, &f->clk);
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	cg_members_free(f->m);
	g_free(f);
	return 0;
}

static void advance(struct fixture *f, cg_ms ms)
{
	cg_clock_set(&f->clk, cg_clock_now(&f->clk) + ms);
}

/* Applies a list of live instances named by single letters; an upper-case
 * letter is leaving. Ports follow from the letters. */
static bool list(struct fixture *f, uint64_t version, const char *letters)
{
	struct cg_instance_entry items[32] = { 0 };
	struct cg_instance_list l = { .version = version, .items = items };

	for (const char *p = letters; *p; p++) {
		struct cg_instance_entry *i = &items[l.n++];
		char addr[32];

		g_snprintf(i->name, sizeof(i->name), "%c", g_ascii_tolower(*p));
		g_snprintf(addr, sizeof(addr), "127.0.0.1:80%02d",
			   i->name[0] - 'a' + 1);
		cg_parse_address(addr, &i->addr);
		g_strlcpy(i->failure_domain, "x", sizeof(i->failure_domain));
		i->leaving = g_ascii_isupper(*p);
	}
	return cg_members_apply_list(f->m, &l);
}

static struct cg_member who(const char *name, uint64_t incarnation)
{
	struct cg_member m = { .incarnation = incarnation };
	char addr[32];

	g_strlcpy(m.name, name, sizeof(m.name));
	g_snprintf(addr, sizeof(addr), "127.0.0.1:80%02d", name[0] - 'a' + 1);
	cg_parse_address(addr, &m.addr);
	return m;
}

static void hear(struct fixture *f, const char *name, uint64_t incarnation)
{
	struct cg_member m = who(name, incarnation);

	cg_members_record_contact(f->m, &m, cg_clock_now(&f->clk));
}

static enum cg_member_state state_of(struct fixture *f, const char *name)
{
	struct cg_member m;

	assert_int_equal(cg_members_find(f->m, name, &m), 0);
	return m.state;
}

static void gone_needs_two_versions_and_silence(void **state)
{
	struct fixture *f = *state;

	assert_true(list(f, 1, "abc"));
	hear(f, "b", 1);
	advance(f, 1000);
	assert_true(list(f, 2, "ac"));
	assert_int_equal(state_of(f, "b"), CG_MEMBER_LIVE);
	advance(f, 9999);
	assert_true(list(f, 3, "ac"));
	assert_int_equal(state_of(f, "b"), CG_MEMBER_LIVE);
	advance(f, 1);
	assert_true(list(f, 4, "ac"));
	assert_int_equal(state_of(f, "b"), CG_MEMBER_GONE);
	assert_int_equal(cg_members_count(f->m), 2);
}

static void contact_in_between_starts_anew(void **state)
{
	struct fixture *f = *state;

	list(f, 1, "ab");
	list(f, 2, "a");
	advance(f, 5000);
	hear(f, "b", 1);
	advance(f, 6000);
	list(f, 3, "a");
	assert_int_equal(state_of(f, "b"), CG_MEMBER_LIVE);
	advance(f, 10000);
	list(f, 4, "a");
	assert_int_equal(state_of(f, "b"), CG_MEMBER_GONE);
}

/* A request proves nothing about freshness, but it is a sign of life. */
static void request_in_between_starts_anew(void **state)
{
	struct fixture *f = *state;
	struct cg_member b = who("b", 1);

	list(f, 1, "ab");
	list(f, 2, "a");
	advance(f, 5000);
	cg_members_record_contact(f->m, &b, CG_NEVER_SEEN);
	advance(f, 6000);
	list(f, 3, "a");
	assert_int_equal(state_of(f, "b"), CG_MEMBER_LIVE);
}

static void stale_lists_are_ignored(void **state)
{
	struct fixture *f = *state;

	list(f, 5, "abc");
	assert_false(list(f, 4, "a"));
	assert_false(list(f, 5, "a"));
	advance(f, 20000);
	assert_false(list(f, 3, "a"));
	assert_int_equal(state_of(f, "b"), CG_MEMBER_LIVE);
	list(f, 6, "a");
	assert_false(list(f, 2, "abc"));
	advance(f, 10000);
	list(f, 7, "a");
	assert_int_equal(state_of(f, "b"), CG_MEMBER_GONE);
}

static void unlisted_is_never_gone(void **state)
{
	struct fixture *f = *state;

	list(f, 1, "a");
	hear(f, "n", 1);
	assert_int_equal(state_of(f, "n"), CG_MEMBER_UNLISTED);
	advance(f, 11000);
	list(f, 2, "a");
	advance(f, 11000);
	list(f, 3, "a");
	assert_int_equal(state_of(f, "n"), CG_MEMBER_UNLISTED);
}

/* The shard map may name an owner that left before this process started. */
static void owner_of_the_map_can_be_gone(void **state)
{
	struct fixture *f = *state;
	struct cg_member o = who("o", 3);

	cg_members_assume_listed(f->m, o.name, o.incarnation, &o.addr);
	list(f, 1, "a");
	assert_int_equal(state_of(f, "o"), CG_MEMBER_UNLISTED);
	advance(f, 10000);
	list(f, 2, "a");
	assert_int_equal(state_of(f, "o"), CG_MEMBER_GONE);
}

static void new_incarnation_supersedes(void **state)
{
	struct fixture *f = *state;
	struct cg_member old = who("b", 5);
	struct cg_member m;

	list(f, 1, "ab");
	hear(f, "b", 5);
	hear(f, "b", 9);
	cg_members_find(f->m, "b", &m);
	assert_int_equal(m.incarnation, 9);
	/* A late request of the old process changes nothing. */
	cg_members_record_contact(f->m, &old, CG_NEVER_SEEN);
	cg_members_find(f->m, "b", &m);
	assert_int_equal(m.incarnation, 9);
	/* A reply is certain, even if a wall clock was set back. */
	hear(f, "b", 7);
	cg_members_find(f->m, "b", &m);
	assert_int_equal(m.incarnation, 7);
}

/* A process that shuts down must not be given shards, its successor must. */
static void leaving_belongs_to_one_incarnation(void **state)
{
	struct fixture *f = *state;
	struct cg_member b = who("b", 5);
	struct cg_member m;

	list(f, 1, "ab");
	b.leaving = true;
	cg_members_record_contact(f->m, &b, CG_NEVER_SEEN);
	hear(f, "b", 5);
	cg_members_find(f->m, "b", &m);
	assert_true(m.leaving);
	hear(f, "b", 9);
	cg_members_find(f->m, "b", &m);
	assert_false(m.leaving);
}

static void other_address_is_another_process(void **state)
{
	struct fixture *f = *state;
	struct cg_member m = who("b", 5);
	struct cg_member got;

	list(f, 1, "ab");
	cg_parse_address("127.0.0.1:9999", &m.addr);
	cg_members_record_contact(f->m, &m, cg_clock_now(&f->clk));
	cg_members_find(f->m, "b", &got);
	assert_int_equal(got.incarnation, 0);
	assert_true(got.last_seen_at == CG_NEVER_SEEN);
}

static void majority_counts_all_known_members(void **state)
{
	struct fixture *f = *state;

	list(f, 1, "abcd");
	assert_false(cg_members_has_majority(f->m, 1000));
	hear(f, "b", 1);
	/* Two of four are not more than half. */
	assert_false(cg_members_has_majority(f->m, 1000));
	hear(f, "c", 1);
	assert_true(cg_members_has_majority(f->m, 1000));
	advance(f, 1001);
	assert_false(cg_members_has_majority(f->m, 1000));
}

static void requests_are_no_heartbeats(void **state)
{
	struct fixture *f = *state;
	struct cg_member b = who("b", 1);
	struct cg_member got;

	list(f, 1, "ab");
	cg_members_record_contact(f->m, &b, CG_NEVER_SEEN);
	cg_members_find(f->m, "b", &got);
	assert_true(got.last_seen_at == CG_NEVER_SEEN);
	assert_false(cg_members_has_majority(f->m, 100000));
}

/* Passing ages back and forth must never make a heartbeat younger. */
static void relayed_ages_do_not_get_younger(void **state)
{
	struct fixture *f = *state;
	struct cg_members *other;
	struct cg_settings set = f->set;
	cg_ms heard;
	struct cg_member got;

	g_strlcpy(set.instance, "b", sizeof(set.instance));
	cg_parse_address("127.0.0.1:8002", &set.peer);
	other = cg_members_new(&set, 12, &f->clk);
	list(f, 1, "abc");
	{
		struct cg_members *keep = f->m;

		f->m = other;
		list(f, 1, "abc");
		f->m = keep;
	}
	hear(f, "c", 1);
	heard = cg_clock_now(&f->clk);
	for (int i = 0; i < 20; i++) {
		uint8_t codes[8];
		uint64_t set_id;
		cg_ms sent = cg_clock_now(&f->clk);
		size_t n;

		advance(f, 37);
		n = cg_members_encode_ages(f->m, 0, codes, sizeof(codes),
					   &set_id);
		assert_int_equal(n, 3);
		cg_members_merge_ages(other, set_id, 0, n, codes, sent);
		n = cg_members_encode_ages(other, 0, codes, sizeof(codes),
					   &set_id);
		cg_members_merge_ages(f->m, set_id, 0, n, codes, sent);
	}
	cg_members_find(f->m, "c", &got);
	assert_true(got.last_seen_at == heard);
	cg_members_find(other, "c", &got);
	assert_true(got.last_seen_at <= heard);
	assert_true(got.last_seen_at > heard - 500);
	cg_members_free(other);
}

static void ages_of_another_list_are_ignored(void **state)
{
	struct fixture *f = *state;
	uint8_t codes[8] = { 0 };
	struct cg_member got;

	list(f, 1, "abc");
	cg_members_merge_ages(f->m, 12345, 0, 3, codes, cg_clock_now(&f->clk));
	cg_members_find(f->m, "b", &got);
	assert_true(got.last_seen_at == CG_NEVER_SEEN);
}

/* Peers that use a slightly older list still count. */
static void ages_of_the_previous_list_are_used(void **state)
{
	struct fixture *f = *state;
	uint8_t codes[8];
	uint64_t set_id;
	struct cg_member got;
	size_t n;

	list(f, 1, "abc");
	n = cg_members_encode_ages(f->m, 0, codes, sizeof(codes), &set_id);
	memset(codes, 0, sizeof(codes));
	list(f, 2, "abcd");
	cg_members_merge_ages(f->m, set_id, 0, n, codes, cg_clock_now(&f->clk));
	cg_members_find(f->m, "c", &got);
	assert_true(got.last_seen_at == cg_clock_now(&f->clk));
}

static void watchers_are_the_lowest_live_ones(void **state)
{
	struct fixture *f = *state;
	size_t chosen = 0;

	assert_false(cg_members_is_among_lowest(f->m, 1, 2));
	for (int c = 'a'; c <= 'h'; c++) {
		struct cg_settings set = f->set;
		struct cg_members *keep = f->m;

		g_snprintf(set.instance, sizeof(set.instance), "%c", c);
		f->m = cg_members_new(&set, 1, &f->clk);
		list(f, 1, "abcdefgh");
		chosen += cg_members_is_among_lowest(f->m, 1, 2);
		cg_members_free(f->m);
		f->m = keep;
	}
	assert_int_equal(chosen, 2);
}

static void pick_is_random_and_without_repeats(void **state)
{
	struct fixture *f = *state;
	struct cg_member p[3];
	int seen[32] = { 0 };

	list(f, 1, "abcdefgh");
	for (int i = 0; i < 2000; i++) {
		assert_int_equal(
			cg_members_pick_random(f->m, 3, CG_MS_NEVER, p), 3);
		assert_string_not_equal(p[0].name, p[1].name);
		assert_string_not_equal(p[0].name, p[2].name);
		assert_string_not_equal(p[1].name, p[2].name);
		for (int k = 0; k < 3; k++)
			seen[p[k].name[0] - 'a']++;
	}
	assert_int_equal(seen[0], 0);
	/* 6,000 picks over 7 members: 857 expected, 4 sigma is about 100. */
	for (int k = 1; k < 8; k++)
		assert_in_range(seen[k], 740, 980);
	assert_int_equal(cg_members_pick_random(f->m, 3, 1000, p), 0);
}

static void leaving_members_are_shown(void **state)
{
	struct fixture *f = *state;
	struct json_object *o;

	list(f, 1, "aBc");
	assert_int_equal(state_of(f, "b"), CG_MEMBER_LEAVING);
	o = cg_members_status(f->m);
	assert_int_equal(
		json_object_array_length(json_object_object_get(o, "members")),
		3);
	json_object_put(o);
}

static void malformed_entry_invalidates_the_list(void **state)
{
	static const char *const bad[] = {
		"{}",
		"{\"version\":1,\"instances\":[{}]}",
		"{\"version\":1,\"instances\":[3]}",
		"{\"version\":0,\"instances\":[]}",
		"{\"version\":1,\"instances\":[{\"name\":\"a\",\"role\":"
		"\"entry\",\"address\":\"nowhere\",\"failure_domain\":\"x\","
		"\"region\":\"r\",\"state\":\"live\",\"started\":1}]}",
		"{\"version\":1,\"instances\":[{\"name\":\"a\",\"role\":"
		"\"entry\",\"address\":\"127.0.0.1:1\",\"failure_domain\":"
		"\"x\",\"region\":\"r\",\"state\":\"odd\",\"started\":1}]}",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		GBytes *text = g_bytes_new_static(bad[i], strlen(bad[i]));
		struct cg_instance_list l;
		struct cg_faults f = { 0 };

		assert_int_equal(cg_instance_list_parse(text, &l, &f), -1);
		assert_true(f.n > 0);
		cg_faults_clear(&f);
		g_bytes_unref(text);
	}
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(gone_needs_two_versions_and_silence),
		T(contact_in_between_starts_anew),
		T(request_in_between_starts_anew),
		T(stale_lists_are_ignored),
		T(unlisted_is_never_gone),
		T(owner_of_the_map_can_be_gone),
		T(new_incarnation_supersedes),
		T(leaving_belongs_to_one_incarnation),
		T(other_address_is_another_process),
		T(majority_counts_all_known_members),
		T(requests_are_no_heartbeats),
		T(relayed_ages_do_not_get_younger),
		T(ages_of_another_list_are_ignored),
		T(ages_of_the_previous_list_are_used),
		T(watchers_are_the_lowest_live_ones),
		T(pick_is_random_and_without_repeats),
		T(leaving_members_are_shown),
		T(malformed_entry_invalidates_the_list),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
