/* Guards against a configuration that the reader decodes differently from what
 * was encoded, a change of one object that rewrites many parts, and a damaged
 * or malicious part that crashes a daemon or is accepted. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <glib.h>
#include <string.h>

#include "internal/parts.h"
#include "support/objects.h"

#define FUZZ_SEED   20261204
#define FUZZ_ROUNDS 4000

struct encoded {
	struct cg_root root;
	GPtrArray *parts;
};

static struct encoded encode_and_unref(struct cg_config *c)
{
	struct encoded e;
	struct cg_faults f = { 0 };

	assert_int_equal(cg_parts_encode(c, &e.root, &e.parts, &f), 0);
	assert_no_faults(&f);
	e.root.version = 5;
	memset(e.root.write_id, 'a', CG_WRITE_ID_SIZE - 1);
	cg_config_unref(c);
	return e;
}

static void clear_encoded(struct encoded *e)
{
	g_ptr_array_unref(e->parts);
	cg_root_clear(&e->root);
}

/* Returns a configuration in JSON with @p accounts accounts and a few services
 * and routes. Account number @p changed has a different rate. */
static char *make_config_text(int accounts, int changed)
{
	GString *s = g_string_new("{\"services\":{");
	uint8_t d[CG_DIGEST_SIZE];

	for (int i = 0; i < 6; i++)
		g_string_append_printf(
			s,
			"%s\"svc%d\":{\"servers\":{\"srv%d\":{\"address\":"
			"\"127.0.0.1:%d\"}}}",
			i ? "," : "", i, i, 100 + i);
	g_string_append(s, "},\"routes\":{");
	for (int i = 0; i < 6; i++)
		g_string_append_printf(
			s,
			"%s\"r%d\":{\"path\":\"/p%d\",\"service\":\"svc%d\","
			"\"methods\":[\"GET\"],\"accounts\":[\"acc%d\"]}",
			i ? "," : "", i, i, i, i);
	g_string_append(s, "},\"accounts\":{");
	for (int i = 0; i < accounts; i++) {
		char *key = g_strdup_printf("key-%d", i);

		cg_key_digest(key, d);
		g_string_append_printf(s,
				       "%s\"acc%d\":{\"rate\":%d.5,\"keys\":{"
				       "\"k\":\"sha256:",
				       i ? "," : "", i, i == changed ? 77 : 10);
		for (int k = 0; k < CG_DIGEST_SIZE; k++)
			g_string_append_printf(s, "%02x", d[k]);
		g_string_append(s, "\"}}");
		g_free(key);
	}
	g_string_append(s, "}}");
	return g_string_free(s, FALSE);
}

static struct cg_config *make_config(int accounts, int changed)
{
	struct cg_faults f = { 0 };
	char *text = make_config_text(accounts, changed);
	struct cg_config *c = config_from_text(text, 1, &f);

	assert_no_faults(&f);
	g_free(text);
	return c;
}

static struct cg_config *build(struct encoded *e, struct cg_faults *f)
{
	struct cg_config *c = NULL;

	if (cg_config_build(&e->root, (GBytes *const *)e->parts->pdata, &c, f))
		assert_null(c);
	return c;
}

static void assert_equal_parts(struct encoded *a, struct encoded *b)
{
	assert_int_equal(a->parts->len, b->parts->len);
	for (guint i = 0; i < a->parts->len; i++)
		assert_true(
			g_bytes_equal(a->parts->pdata[i], b->parts->pdata[i]));
}

static void decoded_snapshot_encodes_to_the_same_bytes(void **state)
{
	struct encoded a = encode_and_unref(make_config(2000, -1));
	struct cg_faults f = { 0 };
	struct cg_config *c = build(&a, &f);
	struct encoded b;

	assert_no_faults(&f);
	assert_int_equal(cg_config_version(c), 5);
	assert_int_equal(cg_config_find_account(c, "acc1999")->rate_milli,
			 10500);
	assert_int_equal(cg_config_route_at(c, 0)->account_count, 1);
	b = encode_and_unref(c);
	assert_equal_parts(&a, &b);
	clear_encoded(&a);
	clear_encoded(&b);
}

static void parts_stay_near_their_target_size(void **state)
{
	struct encoded e = encode_and_unref(make_config(5000, -1));

	/* 16 to 64 parts of accounts, and one each of services and routes. */
	assert_in_range(e.parts->len, 18, 66);
	for (guint i = 2; i < e.parts->len; i++)
		assert_in_range(e.root.parts[i].size, 8000, 48 * 1024);
	clear_encoded(&e);
}

static void change_of_one_account_changes_one_part(void **state)
{
	struct encoded a = encode_and_unref(make_config(5000, -1));
	struct encoded b = encode_and_unref(make_config(5000, 1234));
	int differ = 0;

	assert_int_equal(a.parts->len, b.parts->len);
	for (guint i = 0; i < a.parts->len; i++)
		differ += !g_bytes_equal(a.parts->pdata[i], b.parts->pdata[i]);
	assert_int_equal(differ, 1);
	clear_encoded(&a);
	clear_encoded(&b);
}

static void root_round_trip_preserves_all_fields(void **state)
{
	struct encoded e = encode_and_unref(make_config(10, -1));
	struct cg_faults f = { 0 };
	struct cg_root r;
	GBytes *text;

	memset(e.root.earlier[0], 'b', CG_WRITE_ID_SIZE - 1);
	memset(e.root.earlier[1], 'c', CG_WRITE_ID_SIZE - 1);
	text = cg_root_encode(&e.root);
	assert_int_equal(cg_root_parse(text, &r, &f), 0);
	assert_int_equal(r.version, 5);
	assert_string_equal(r.write_id, e.root.write_id);
	assert_memory_equal(r.earlier, e.root.earlier, sizeof(r.earlier));
	assert_int_equal(r.part_count, e.root.part_count);
	assert_memory_equal(r.parts, e.root.parts,
			    r.part_count * sizeof(*r.parts));
	g_bytes_unref(text);
	cg_root_clear(&r);
	clear_encoded(&e);
}

static void malformed_roots_are_refused(void **state)
{
#define ID "0123456789abcdef0123456789abcdef"
	static const char *const bad[] = {
		"",
		"[]",
		"{}",
		"{\"version\":0,\"write_id\":\"" ID "\",\"parts\":[]}",
		"{\"version\":-1,\"write_id\":\"" ID "\",\"parts\":[]}",
		"{\"version\":1,\"write_id\":\"0123\",\"parts\":[]}",
		"{\"version\":1,\"write_id\":\"" ID "00\",\"parts\":[]}",
		"{\"version\":1,\"write_id\":\"" ID "\"}",
		"{\"version\":1,\"write_id\":\"" ID "\",\"parts\":[7]}",
		"{\"version\":1,\"write_id\":\"" ID "\",\"parts\":[\"" ID ID
		"\"]}",
		"{\"version\":1,\"write_id\":\"" ID "\",\"parts\":[\"" ID ID
		" 0\"]}",
		"{\"version\":1,\"write_id\":\"" ID "\",\"parts\":[\"" ID ID
		" 9999999\"]}",
		"{\"version\":1,\"write_id\":\"" ID "\",\"parts\":[],"
		"\"earlier\":[\"x\"]}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct cg_faults f = { 0 };
		struct cg_root r;
		GBytes *text = g_bytes_new(bad[i], strlen(bad[i]));

		assert_int_equal(cg_root_parse(text, &r, &f), -1);
		assert_true(f.n > 0);
		cg_faults_clear(&f);
		g_bytes_unref(text);
	}
}

static void missing_or_altered_parts_are_refused(void **state)
{
	struct encoded e = encode_and_unref(make_config(100, -1));
	struct cg_faults f = { 0 };
	GBytes *kept = e.parts->pdata[2];
	struct cg_part_ref ref = e.root.parts[2];

	e.parts->pdata[2] = NULL;
	assert_null(build(&e, &f));
	assert_true(has_fault(&f, "is missing or has the wrong size"));
	cg_faults_clear(&f);

	e.parts->pdata[2] = kept;
	e.root.parts[2].digest[0] ^= 1;
	assert_null(build(&e, &f));
	assert_true(has_fault(&f, "does not match its digest"));
	cg_faults_clear(&f);

	/* A root that lists one part twice. */
	e.root.parts[2] = ref;
	e.root.parts[0] = ref;
	e.parts->pdata[0] = g_bytes_ref(kept);
	assert_null(build(&e, &f));
	assert_true(has_fault(&f, "does not match the other parts"));
	cg_faults_clear(&f);
	clear_encoded(&e);
}

static void root_that_lacks_a_part_is_refused(void **state)
{
	struct encoded e = encode_and_unref(make_config(1000, -1));
	struct cg_faults f = { 0 };

	e.root.part_count--;
	assert_null(build(&e, &f));
	assert_true(has_fault(&f, "lacks parts of accounts"));
	cg_faults_clear(&f);
	clear_encoded(&e);
}

/* Replaces the part at @p i and updates its digest and size in the root. Takes
 * ownership of @p content. */
static void replace_part(struct encoded *e, guint i, GBytes *content)
{
	g_bytes_unref(e->parts->pdata[i]);
	e->parts->pdata[i] = content;
	e->root.parts[i].size = (uint32_t)g_bytes_get_size(content);
	cg_part_digest(content, e->root.parts[i].digest);
}

static void assert_part_refused(const char *text, const char *fault)
{
	struct encoded e = encode_and_unref(make_config(10, -1));
	struct cg_faults f = { 0 };

	replace_part(&e, 2, g_bytes_new(text, strlen(text)));
	assert_null(build(&e, &f));
	assert_true(has_fault(&f, fault));
	cg_faults_clear(&f);
	clear_encoded(&e);
}

#define ACCOUNTS "{\"kind\":\"accounts\",\"part\":0,\"of\":1,\"objects\":"

static void headers_and_objects_of_parts_are_checked(void **state)
{
	assert_part_refused("{}", "header");
	assert_part_refused("[]", "header");
	assert_part_refused("{\"kind\":\"users\",\"part\":0,\"of\":1,"
			    "\"objects\":{}}",
			    "header");
	assert_part_refused("{\"kind\":\"accounts\",\"part\":1,\"of\":1,"
			    "\"objects\":{}}",
			    "header");
	assert_part_refused("{\"kind\":\"accounts\",\"part\":0,\"of\":3,"
			    "\"objects\":{}}",
			    "header");
	assert_part_refused("{\"kind\":\"accounts\",\"part\":0,\"of\":2,"
			    "\"objects\":{}}",
			    "lacks parts");
	assert_part_refused(ACCOUNTS "{}}", "account acc0 does not exist");
	assert_part_refused(ACCOUNTS "{\"a\":{\"rate\":1},\"a\":{}}}",
			    "appears twice");
	assert_part_refused(ACCOUNTS "{\"a\":null}}", "must be an object");
	assert_part_refused(ACCOUNTS "{\"a\\u0000b\":{\"rate\":1}}}", "acc");
	assert_part_refused(ACCOUNTS "{\"a\":{\"rate\":NaN}}}", "rate must");
	assert_part_refused(ACCOUNTS "{\"a\":{\"rate\":1e999}}}", "rate must");
	assert_part_refused(ACCOUNTS "{\"a\":{\"rate\":0.0001}}}",
			    "rate must be from");
	assert_part_refused(ACCOUNTS "{\"a\":{\"rate\":1.0001}}}",
			    "three decimals");
}

static void duplicate_key_digests_are_refused(void **state)
{
#define D "\"sha256:" ID ID "\""
	assert_part_refused(ACCOUNTS "{\"a\":{\"rate\":1,\"keys\":{\"k\":" D
				     "}},\"b\":{\"rate\":1,\"keys\":{\"k\":" D
				     "}}}}",
			    "digest appears twice");
	assert_part_refused(ACCOUNTS "{\"a\":{\"rate\":1,\"keys\":{\"k\":" D
				     ",\"l\":" D "}}}}",
			    "digest appears twice");
}

static void object_in_the_wrong_part_is_refused(void **state)
{
	struct encoded e = encode_and_unref(make_config(1000, -1));
	struct cg_faults f = { 0 };
	gsize len;
	const char *data = g_bytes_get_data(e.parts->pdata[2], &len);
	char *text = g_strndup(data, len);
	char *name = strstr(text, "\n\"acc");

	/* The changed name hashes to another part. */
	name[2] = 'z';
	replace_part(&e, 2, g_bytes_new_take(text, len));
	assert_null(build(&e, &f));
	assert_true(has_fault(&f, "wrong part"));
	cg_faults_clear(&f);
	clear_encoded(&e);
}

static void oversized_object_is_refused_by_the_writer(void **state)
{
	GString *s = g_string_new("{\"services\":{\"s\":{\"servers\":{");
	struct cg_faults f = { 0 };
	struct cg_config *c;
	struct cg_root root;
	GPtrArray *parts;

	for (int i = 0; i < 4000; i++)
		g_string_append_printf(s,
				       "%s\"server-%d\":{\"address\":"
				       "\"10.0.%d.%d:80\"}",
				       i ? "," : "", i, i / 250, i % 250);
	g_string_append(s, "}}}}");
	c = config_from_text(s->str, 1, &f);
	assert_no_faults(&f);
	assert_int_equal(cg_parts_encode(c, &root, &parts, &f), -1);
	assert_true(has_fault(&f, "services: part "));
	cg_faults_clear(&f);
	cg_config_unref(c);
	g_string_free(s, TRUE);
}

static GBytes *mutate(GBytes *content, GRand *rand)
{
	static const char junk[] = "{}[]\":,\\0-9e.\x01\xff/";
	gsize len;
	const char *data = g_bytes_get_data(content, &len);
	GString *s = g_string_new_len(data, (gssize)len);
	int edits = g_rand_int_range(rand, 1, 4);

	for (int i = 0; i < edits && s->len > 4; i++) {
		gsize at = (gsize)g_rand_int_range(rand, 0, (gint32)s->len - 2);
		gsize n;
		char c = junk[g_rand_int_range(rand, 0, sizeof(junk) - 1)];

		switch (g_rand_int_range(rand, 0, 4)) {
		case 0:
			s->str[at] = c;
			break;
		case 1:
			s->str[at] ^= (char)(1 << g_rand_int_range(rand, 0, 8));
			break;
		case 2:
			n = (gsize)g_rand_int_range(rand, 1, 40);
			g_string_erase(s, (gssize)at,
				       (gssize)MIN(n, s->len - at));
			break;
		default:
			g_string_insert_len(s, (gssize)at, s->str,
					    MIN((gssize)s->len, 30));
			break;
		}
	}
	return g_string_free_to_bytes(s);
}

/* A mutated part that is still valid must encode to parts that can be decoded.
 * Takes ownership of @p c. */
static void check_round_trip(struct cg_config *c)
{
	struct encoded e = encode_and_unref(c);
	struct cg_faults f = { 0 };
	struct cg_config *again = build(&e, &f);

	assert_no_faults(&f);
	cg_config_unref(again);
	clear_encoded(&e);
}

static void mutated_parts_do_not_crash_the_reader(void **state)
{
	struct encoded e = encode_and_unref(make_config(8, -1));
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	int valid = 0;

	assert_int_equal(e.parts->len, 3);
	for (int i = 0; i < FUZZ_ROUNDS; i++) {
		guint at = (guint)g_rand_int_range(rand, 0, 3);
		GBytes *kept = g_bytes_ref(e.parts->pdata[at]);
		struct cg_faults f = { 0 };
		struct cg_config *c;

		replace_part(&e, at, mutate(kept, rand));
		c = build(&e, &f);
		assert_true((c != NULL) == (f.n == 0));
		if (c) {
			valid++;
			check_round_trip(c);
		}
		cg_faults_clear(&f);
		replace_part(&e, at, kept);
	}
	print_message("%d of %d mutations are valid\n", valid, FUZZ_ROUNDS);
	assert_in_range(valid, 1, FUZZ_ROUNDS / 2);
	g_rand_free(rand);
	clear_encoded(&e);
}

static void mutated_roots_do_not_crash_the_reader(void **state)
{
	struct encoded e = encode_and_unref(make_config(8, -1));
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	GBytes *text = cg_root_encode(&e.root);

	for (int i = 0; i < FUZZ_ROUNDS; i++) {
		GBytes *bad = mutate(text, rand);
		struct cg_faults f = { 0 };
		struct cg_root r;

		if (!cg_root_parse(bad, &r, &f))
			cg_root_clear(&r);
		else
			assert_true(f.n > 0);
		cg_faults_clear(&f);
		g_bytes_unref(bad);
	}
	g_bytes_unref(text);
	g_rand_free(rand);
	clear_encoded(&e);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(decoded_snapshot_encodes_to_the_same_bytes),
		cmocka_unit_test(parts_stay_near_their_target_size),
		cmocka_unit_test(change_of_one_account_changes_one_part),
		cmocka_unit_test(root_round_trip_preserves_all_fields),
		cmocka_unit_test(malformed_roots_are_refused),
		cmocka_unit_test(missing_or_altered_parts_are_refused),
		cmocka_unit_test(root_that_lacks_a_part_is_refused),
		cmocka_unit_test(headers_and_objects_of_parts_are_checked),
		cmocka_unit_test(duplicate_key_digests_are_refused),
		cmocka_unit_test(object_in_the_wrong_part_is_refused),
		cmocka_unit_test(oversized_object_is_refused_by_the_writer),
		cmocka_unit_test(mutated_parts_do_not_crash_the_reader),
		cmocka_unit_test(mutated_roots_do_not_crash_the_reader),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
