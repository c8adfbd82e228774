/* Guards against instances that are declared gone too early, whose shards and
 * rate holdings others would claim while they still use them, against stale
 * lists that take effect, and against heartbeats that appear newer than they
 * are. */
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
	cg_clock_init_manual(&f->clk, 1000000);
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

/* Applies a list of instances named by single letters, which also determine the
 * ports. Lower-case letters are live, upper-case ones leaving. */
static bool apply_list(struct fixture *f, uint64_t version, const char *letters)
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

static struct cg_member make_member(const char *name, uint64_t incarnation)
{
	struct cg_member m = { .incarnation = incarnation };
	char addr[32];

	g_strlcpy(m.name, name, sizeof(m.name));
	g_snprintf(addr, sizeof(addr), "127.0.0.1:80%02d", name[0] - 'a' + 1);
	cg_parse_address(addr, &m.addr);
	return m;
}

static void receive_from(struct fixture *f, const char *name,
			 uint64_t incarnation)
{
	struct cg_member m = make_member(name, incarnation);

	cg_members_record_contact(f->m, &m, cg_clock_now(&f->clk));
}

static enum cg_member_state state_of(struct fixture *f, const char *name)
{
	struct cg_member m;

	assert_int_equal(cg_members_find(f->m, name, &m), 0);
	return m.state;
}

static void gone_requires_two_list_versions_and_no_contact(void **state)
{
	struct fixture *f = *state;

	assert_true(apply_list(f, 1, "abc"));
	receive_from(f, "b", 1);
	advance(f, 1000);
	assert_true(apply_list(f, 2, "ac"));
	assert_int_equal(state_of(f, "b"), CG_MEMBER_LIVE);
	advance(f, 9999);
	assert_true(apply_list(f, 3, "ac"));
	assert_int_equal(state_of(f, "b"), CG_MEMBER_LIVE);
	advance(f, 1);
	assert_true(apply_list(f, 4, "ac"));
	assert_int_equal(state_of(f, "b"), CG_MEMBER_GONE);
	assert_int_equal(cg_members_count(f->m), 2);
}

static void contact_restarts_gone_confirmation(void **state)
{
	struct fixture *f = *state;

	apply_list(f, 1, "ab");
	apply_list(f, 2, "a");
	advance(f, 5000);
	receive_from(f, "b", 1);
	advance(f, 6000);
	apply_list(f, 3, "a");
	assert_int_equal(state_of(f, "b"), CG_MEMBER_LIVE);
	advance(f, 10000);
	apply_list(f, 4, "a");
	assert_int_equal(state_of(f, "b"), CG_MEMBER_GONE);
}

/* A request does not prove when it was sent, but that the process exists. */
static void request_restarts_gone_confirmation(void **state)
{
	struct fixture *f = *state;
	struct cg_member b = make_member("b", 1);

	apply_list(f, 1, "ab");
	apply_list(f, 2, "a");
	advance(f, 5000);
	cg_members_record_contact(f->m, &b, CG_NEVER_SEEN);
	advance(f, 6000);
	apply_list(f, 3, "a");
	assert_int_equal(state_of(f, "b"), CG_MEMBER_LIVE);
}

static void stale_lists_are_ignored(void **state)
{
	struct fixture *f = *state;

	apply_list(f, 5, "abc");
	assert_false(apply_list(f, 4, "a"));
	assert_false(apply_list(f, 5, "a"));
	advance(f, 20000);
	assert_false(apply_list(f, 3, "a"));
	assert_int_equal(state_of(f, "b"), CG_MEMBER_LIVE);
	apply_list(f, 6, "a");
	assert_false(apply_list(f, 2, "abc"));
	advance(f, 10000);
	apply_list(f, 7, "a");
	assert_int_equal(state_of(f, "b"), CG_MEMBER_GONE);
}

static void unlisted_member_never_becomes_gone(void **state)
{
	struct fixture *f = *state;

	apply_list(f, 1, "a");
	receive_from(f, "n", 1);
	assert_int_equal(state_of(f, "n"), CG_MEMBER_UNLISTED);
	advance(f, 11000);
	apply_list(f, 2, "a");
	advance(f, 11000);
	apply_list(f, 3, "a");
	assert_int_equal(state_of(f, "n"), CG_MEMBER_UNLISTED);
}

/* The shard map may name an owner that left before this process started. */
static void unseen_shard_owner_can_become_gone(void **state)
{
	struct fixture *f = *state;
	struct cg_member o = make_member("o", 3);

	cg_members_assume_listed(f->m, o.name, o.incarnation, &o.addr);
	apply_list(f, 1, "a");
	assert_int_equal(state_of(f, "o"), CG_MEMBER_UNLISTED);
	advance(f, 10000);
	apply_list(f, 2, "a");
	assert_int_equal(state_of(f, "o"), CG_MEMBER_GONE);
}

static void new_incarnation_replaces_old_one(void **state)
{
	struct fixture *f = *state;
	struct cg_member old = make_member("b", 5);
	struct cg_member m;

	apply_list(f, 1, "ab");
	receive_from(f, "b", 5);
	receive_from(f, "b", 9);
	cg_members_find(f->m, "b", &m);
	assert_int_equal(m.incarnation, 9);
	/* A late request of the old process is ignored. */
	cg_members_record_contact(f->m, &old, CG_NEVER_SEEN);
	cg_members_find(f->m, "b", &m);
	assert_int_equal(m.incarnation, 9);
	/* A reply is accepted even if the wall clock was set back. */
	receive_from(f, "b", 7);
	cg_members_find(f->m, "b", &m);
	assert_int_equal(m.incarnation, 7);
}

/* A process that is shutting down must not receive shards, while the process
 * that replaces it must. */
static void leaving_mark_ends_with_new_incarnation(void **state)
{
	struct fixture *f = *state;
	struct cg_member b = make_member("b", 5);
	struct cg_member m;

	apply_list(f, 1, "ab");
	b.leaving = true;
	cg_members_record_contact(f->m, &b, CG_NEVER_SEEN);
	receive_from(f, "b", 5);
	cg_members_find(f->m, "b", &m);
	assert_true(m.leaving);
	receive_from(f, "b", 9);
	cg_members_find(f->m, "b", &m);
	assert_false(m.leaving);
}

static void message_from_other_address_is_ignored(void **state)
{
	struct fixture *f = *state;
	struct cg_member m = make_member("b", 5);
	struct cg_member got;

	apply_list(f, 1, "ab");
	cg_parse_address("127.0.0.1:9999", &m.addr);
	cg_members_record_contact(f->m, &m, cg_clock_now(&f->clk));
	cg_members_find(f->m, "b", &got);
	assert_int_equal(got.incarnation, 0);
	assert_true(got.last_seen_at == CG_NEVER_SEEN);
}

static void majority_counts_all_known_members(void **state)
{
	struct fixture *f = *state;

	apply_list(f, 1, "abcd");
	assert_false(cg_members_has_majority(f->m, 1000));
	receive_from(f, "b", 1);
	/* Two of four are not more than half. */
	assert_false(cg_members_has_majority(f->m, 1000));
	receive_from(f, "c", 1);
	assert_true(cg_members_has_majority(f->m, 1000));
	advance(f, 1001);
	assert_false(cg_members_has_majority(f->m, 1000));
}

static void requests_do_not_count_as_heartbeats(void **state)
{
	struct fixture *f = *state;
	struct cg_member b = make_member("b", 1);
	struct cg_member got;

	apply_list(f, 1, "ab");
	cg_members_record_contact(f->m, &b, CG_NEVER_SEEN);
	cg_members_find(f->m, "b", &got);
	assert_true(got.last_seen_at == CG_NEVER_SEEN);
	assert_false(cg_members_has_majority(f->m, 100000));
}

/* Ages that are relayed back and forth must never make a heartbeat appear
 * newer. */
static void relaying_never_makes_heartbeat_newer(void **state)
{
	struct fixture *f = *state;
	struct cg_members *other;
	struct cg_settings set = f->set;
	cg_ms seen_at;
	struct cg_member got;

	g_strlcpy(set.instance, "b", sizeof(set.instance));
	cg_parse_address("127.0.0.1:8002", &set.peer);
	other = cg_members_new(&set, 12, &f->clk);
	apply_list(f, 1, "abc");
	{
		struct cg_members *keep = f->m;

		f->m = other;
		apply_list(f, 1, "abc");
		f->m = keep;
	}
	receive_from(f, "c", 1);
	seen_at = cg_clock_now(&f->clk);
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
	assert_true(got.last_seen_at == seen_at);
	cg_members_find(other, "c", &got);
	assert_true(got.last_seen_at <= seen_at);
	assert_true(got.last_seen_at > seen_at - 500);
	cg_members_free(other);
}

static void ages_of_unknown_list_are_ignored(void **state)
{
	struct fixture *f = *state;
	uint8_t codes[8] = { 0 };
	struct cg_member got;

	apply_list(f, 1, "abc");
	cg_members_merge_ages(f->m, 12345, 0, 3, codes, cg_clock_now(&f->clk));
	cg_members_find(f->m, "b", &got);
	assert_true(got.last_seen_at == CG_NEVER_SEEN);
}

/* Ages from peers that still use an older list are valid. */
static void ages_of_the_previous_list_are_used(void **state)
{
	struct fixture *f = *state;
	uint8_t codes[8];
	uint64_t set_id;
	struct cg_member got;
	size_t n;

	apply_list(f, 1, "abc");
	n = cg_members_encode_ages(f->m, 0, codes, sizeof(codes), &set_id);
	memset(codes, 0, sizeof(codes));
	apply_list(f, 2, "abcd");
	cg_members_merge_ages(f->m, set_id, 0, n, codes, cg_clock_now(&f->clk));
	cg_members_find(f->m, "c", &got);
	assert_true(got.last_seen_at == cg_clock_now(&f->clk));
}

static void watchers_are_lowest_live_members(void **state)
{
	struct fixture *f = *state;
	size_t chosen = 0;

	assert_false(cg_members_is_among_lowest(f->m, 1, 2));
	for (int c = 'a'; c <= 'h'; c++) {
		struct cg_settings set = f->set;
		struct cg_members *keep = f->m;

		g_snprintf(set.instance, sizeof(set.instance), "%c", c);
		f->m = cg_members_new(&set, 1, &f->clk);
		apply_list(f, 1, "abcdefgh");
		chosen += cg_members_is_among_lowest(f->m, 1, 2);
		cg_members_free(f->m);
		f->m = keep;
	}
	assert_int_equal(chosen, 2);
}

static void random_pick_is_uniform_without_duplicates(void **state)
{
	struct fixture *f = *state;
	struct cg_member p[3];
	int seen[32] = { 0 };

	apply_list(f, 1, "abcdefgh");
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
	/* 6,000 picks of 7 members: 857 expected, 4 sigma are about 100. */
	for (int k = 1; k < 8; k++)
		assert_in_range(seen[k], 740, 980);
	assert_int_equal(cg_members_pick_random(f->m, 3, 1000, p), 0);
}

static void leaving_members_are_listed_as_leaving(void **state)
{
	struct fixture *f = *state;
	struct json_object *o;

	apply_list(f, 1, "aBc");
	assert_int_equal(state_of(f, "b"), CG_MEMBER_LEAVING);
	o = cg_members_status(f->m);
	assert_int_equal(
		json_object_array_length(json_object_object_get(o, "members")),
		3);
	json_object_put(o);
}

static int parse_list(const char *text, struct cg_instance_list *l,
		      size_t *faults)
{
	GBytes *bytes = g_bytes_new(text, strlen(text));
	struct cg_faults f = { 0 };
	int rc = cg_instance_list_parse(bytes, l, &f);

	*faults = f.n;
	cg_faults_clear(&f);
	g_bytes_unref(bytes);
	return rc;
}

static void malformed_list_is_rejected(void **state)
{
	static const char *const bad[] = {
		"",
		"{}",
		"{\"version\":0,\"instances\":[]}",
		"{\"version\":1,\"instances\":{}}",
		"{\"version\":1,\"instances\":[",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct cg_instance_list l;
		size_t faults;

		assert_int_equal(parse_list(bad[i], &l, &faults), -1);
		assert_true(faults > 0);
	}
}

/* One entry that another program wrote stopped every daemon from following the
 * list. It names no instance; the others hold. */
static void malformed_entry_loses_only_itself(void **state)
{
	static const char good[] =
		"{\"name\":\"%s\",\"role\":\"entry\",\"address\":"
		"\"127.0.0.1:1\",\"failure_domain\":\"x\",\"region\":\"r\","
		"\"state\":\"live\",\"started\":1}";
	static const char *const bad[] = {
		"{}",
		"3",
		"{\"name\":\"c\",\"role\":\"entry\",\"address\":"
		"\"nowhere\",\"failure_domain\":\"x\",\"region\":\"r\","
		"\"state\":\"live\",\"started\":1}",
		"{\"name\":\"c\",\"role\":\"entry\",\"address\":"
		"\"127.0.0.1:65536\",\"failure_domain\":\"x\",\"region\":"
		"\"r\",\"state\":\"live\",\"started\":1}",
		"{\"name\":\"c\",\"role\":\"entry\",\"address\":"
		"\"127.0.0.1:1\",\"failure_domain\":\"x\",\"region\":\"r\","
		"\"state\":\"odd\",\"started\":1}",
		"{\"name\":\"c\",\"name\":\"d\"}",
		"{\"name\":\"c\",\"x\":[}",
	};
	GString *deep = g_string_new("{\"name\":");

	(void)state;
	for (int i = 0; i < 10000; i++)
		g_string_append_c(deep, '[');
	for (int i = 0; i < 10000; i++)
		g_string_append_c(deep, ']');
	g_string_append_c(deep, '}');
	for (size_t i = 0; i <= G_N_ELEMENTS(bad); i++) {
		char *a = g_strdup_printf(good, "a");
		char *b = g_strdup_printf(good, "b");
		char *text = g_strdup_printf(
			"{\"version\":1,\"instances\":[%s,%s,%s]}", a,
			i < G_N_ELEMENTS(bad) ? bad[i] : deep->str, b);
		struct cg_instance_list l;
		size_t faults;

		assert_int_equal(parse_list(text, &l, &faults), 0);
		assert_int_equal(l.n, 2);
		assert_string_equal(l.items[0].name, "a");
		assert_string_equal(l.items[1].name, "b");
		assert_true(faults > 0);
		cg_instance_list_clear(&l);
		g_free(text);
		g_free(a);
		g_free(b);
	}
	g_string_free(deep, TRUE);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(gone_requires_two_list_versions_and_no_contact),
		T(contact_restarts_gone_confirmation),
		T(request_restarts_gone_confirmation),
		T(stale_lists_are_ignored),
		T(unlisted_member_never_becomes_gone),
		T(unseen_shard_owner_can_become_gone),
		T(new_incarnation_replaces_old_one),
		T(leaving_mark_ends_with_new_incarnation),
		T(message_from_other_address_is_ignored),
		T(majority_counts_all_known_members),
		T(requests_do_not_count_as_heartbeats),
		T(relaying_never_makes_heartbeat_newer),
		T(ages_of_unknown_list_are_ignored),
		T(ages_of_the_previous_list_are_used),
		T(watchers_are_lowest_live_members),
		T(random_pick_is_uniform_without_duplicates),
		T(leaving_members_are_listed_as_leaving),
		T(malformed_list_is_rejected),
		T(malformed_entry_loses_only_itself),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
