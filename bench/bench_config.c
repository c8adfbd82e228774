/* Measures the configuration at the target scale: memory of a snapshot, time to
 * encode and build it, time to apply a change of one account, and time per
 * lookup. Prints a table. */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "internal/objects.h"
#include "internal/parts.h"

#define ACCOUNTS 46000
#define ROUTES	 10000
#define SERVICES 140
#define SERVERS	 7100
#define LOOKUPS	 2000000
#define REPEATS	 5

struct encoded {
	struct cg_root root;
	GPtrArray *parts;
};

static double now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

static double cpu_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

static double heap_mb(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)(m.uordblks + m.hblkhd) / 1e6;
}

static void key_text(int i, char out[32])
{
	g_snprintf(out, 32, "benchmark-key-%d", i);
}

static void add_object(struct cg_builder *b, enum cg_object_kind kind,
		       const char *name, const char *text)
{
	struct json_object *o = json_tokener_parse(text);

	cg_builder_add(b, kind, name, o);
	json_object_put(o);
}

static void add_services(struct cg_builder *b)
{
	for (int i = 0; i < SERVICES; i++) {
		GString *s = g_string_new("{\"servers\":{");
		char *name = g_strdup_printf("service-%d", i);
		const char *sep = "";

		for (int k = i; k < SERVERS; k += SERVICES) {
			g_string_append_printf(
				s,
				"%s\"service-%d-server-%d\":{\"address\":"
				"\"10.%d.%d.%d:8080\",\"slots\":3,"
				"\"connections\":400,\"failure_domain\":"
				"\"r1-%c\"}",
				sep, i, k, k / 40000, k / 200 % 200,
				k % 200 + 1, 'a' + k % 7);
			sep = ",";
		}
		g_string_append(s, "}}");
		add_object(b, CG_OBJECT_SERVICE, name, s->str);
		g_string_free(s, TRUE);
		g_free(name);
	}
}

static void add_routes(struct cg_builder *b)
{
	for (int i = 0; i < ROUTES; i++) {
		char *name = g_strdup_printf("route-%d", i);
		char *text = g_strdup_printf(
			"{\"path\":\"/v1/area-%d/resource-%d\",\"methods\":"
			"[\"GET\",\"HEAD\"],\"service\":\"service-%d\"}",
			i / 100, i, i % SERVICES);

		add_object(b, CG_OBJECT_ROUTE, name, text);
		g_free(name);
		g_free(text);
	}
}

static void add_accounts(struct cg_builder *b, int changed)
{
	uint8_t digest[CG_DIGEST_SIZE];
	char hex[2 * CG_DIGEST_SIZE + 1];
	char key[32];

	for (int i = 0; i < ACCOUNTS; i++) {
		char *name = g_strdup_printf("account-%d", i);
		char *text;

		key_text(i, key);
		cg_key_digest(key, digest);
		for (size_t k = 0; k < sizeof(digest); k++)
			g_snprintf(hex + 2 * k, 3, "%02x", digest[k]);
		text = g_strdup_printf("{\"rate\":%d,\"burst\":%d,\"keys\":"
				       "{\"2026-a\":\"sha256:%s\"}}",
				       i == changed ? 99 : 5, 10, hex);
		add_object(b, CG_OBJECT_ACCOUNT, name, text);
		g_free(name);
		g_free(text);
	}
}

static struct cg_config *make_config(int changed)
{
	struct cg_faults f = { 0 };
	struct cg_builder *b = cg_builder_new(NULL, NULL, &f);
	struct cg_config *c = NULL;

	add_services(b);
	add_routes(b);
	add_accounts(b, changed);
	if (cg_builder_finish(b, 1, &c)) {
		cg_faults_print(&f, stderr);
		abort();
	}
	cg_builder_free(b);
	return c;
}

static void encode(const struct cg_config *c, struct encoded *e)
{
	struct cg_faults f = { 0 };

	if (cg_parts_encode(c, &e->root, &e->parts, &f))
		abort();
	e->root.version = 1;
}

static struct cg_config *build(const struct encoded *e)
{
	struct cg_faults f = { 0 };
	struct cg_config *c;

	if (cg_config_build(&e->root, (GBytes *const *)e->parts->pdata, &c,
			    &f)) {
		cg_faults_print(&f, stderr);
		abort();
	}
	return c;
}

static void clear_encoded(struct encoded *e)
{
	g_ptr_array_unref(e->parts);
	cg_root_clear(&e->root);
}

static void print_row(const char *what, const char *unit, double value)
{
	printf("| %-44s | %10.2f %-5s |\n", what, value, unit);
}

static void report_parts(const struct encoded *e)
{
	double total = 0;
	uint32_t largest = 0;

	for (size_t i = 0; i < e->root.part_count; i++) {
		total += e->root.parts[i].size;
		largest = MAX(largest, e->root.parts[i].size);
	}
	print_row("parts", "", (double)e->root.part_count);
	print_row("all parts", "MB", total / 1e6);
	print_row("largest part", "KB", largest / 1e3);
}

static void report_root(const struct encoded *e)
{
	GBytes *text = cg_root_encode(&e->root);

	print_row("root", "KB", (double)g_bytes_get_size(text) / 1e3);
	g_bytes_unref(text);
}

static size_t changed_parts(const struct encoded *a, const struct encoded *b)
{
	size_t n = 0;

	for (size_t i = 0; i < a->root.part_count; i++)
		n += memcmp(a->root.parts[i].digest, b->root.parts[i].digest,
			    CG_DIGEST_SIZE) != 0;
	return n;
}

static struct cg_config *measure_build(const struct encoded *e,
				       const char *what, const char *what_cpu)
{
	struct cg_config *c = NULL;
	double best = 1e9;
	double best_cpu = 1e9;

	for (int i = 0; i < REPEATS; i++) {
		double cpu = cpu_ms();
		double start = now_ms();

		cg_config_unref(c);
		c = build(e);
		best = MIN(best, now_ms() - start);
		best_cpu = MIN(best_cpu, cpu_ms() - cpu);
	}
	print_row(what, "ms", best);
	print_row(what_cpu, "ms", best_cpu);
	return c;
}

static void measure_routes(const struct cg_config *c)
{
	char **paths = g_new(char *, ROUTES);
	bool refused;
	size_t found = 0;
	double start;

	for (int i = 0; i < ROUTES; i++)
		paths[i] = g_strdup_printf("/v1/area-%d/resource-%d/items/%d",
					   i / 100, i, i);
	start = now_ms();
	for (int i = 0; i < LOOKUPS; i++)
		found += cg_config_find_route(
				 c, CG_METHOD_GET,
				 paths[(uint32_t)i * 7919U % ROUTES],
				 &refused) != NULL;
	print_row("route lookup, 5 segments, found", "ns",
		  (now_ms() - start) * 1e6 / LOOKUPS);
	if (found != LOOKUPS)
		abort();
	for (int i = 0; i < ROUTES; i++)
		g_free(paths[i]);
	g_free(paths);
}

static void measure_keys(const struct cg_config *c)
{
	uint8_t(*digests)[CG_DIGEST_SIZE] =
		g_malloc(ACCOUNTS * (size_t)CG_DIGEST_SIZE);
	size_t found = 0;
	char key[32];
	double start;

	for (int i = 0; i < ACCOUNTS; i++) {
		key_text(i, key);
		cg_key_digest(key, digests[i]);
	}
	start = now_ms();
	for (int i = 0; i < LOOKUPS; i++)
		found += cg_config_find_account_by_key(
				 c, digests[(uint32_t)i * 7919U % ACCOUNTS]) !=
			 NULL;
	print_row("key lookup by digest, found", "ns",
		  (now_ms() - start) * 1e6 / LOOKUPS);
	if (found != LOOKUPS)
		abort();
	g_free(digests);
}

static void measure_digest(void)
{
	uint8_t digest[CG_DIGEST_SIZE];
	double start = now_ms();

	for (int i = 0; i < LOOKUPS / 10; i++)
		cg_key_digest("VGhpcyBpcyBhIGtleSBpbiBjbGVhciBvZiA0MyBieXQ",
			      digest);
	print_row("digest of a key", "ns", (now_ms() - start) * 1e7 / LOOKUPS);
}

int main(void)
{
	struct cg_config *c = make_config(-1);
	struct cg_config *again;
	struct encoded e;
	struct encoded changed;
	double before;
	double start = now_ms();

	printf("%d accounts and keys, %d routes, %d servers, %d services\n",
	       ACCOUNTS, ROUTES, SERVERS, SERVICES);
	encode(c, &e);
	print_row("encode all parts", "ms", now_ms() - start);
	cg_config_unref(c);
	report_parts(&e);
	report_root(&e);
	c = make_config(1234);
	encode(c, &changed);
	cg_config_unref(c);
	print_row("parts changed by one account's rate", "",
		  (double)changed_parts(&e, &changed));
	before = heap_mb();
	c = measure_build(&e, "build from parts, best of 5",
			  "  its processor time");
	print_row("heap of the snapshot", "MB", heap_mb() - before);
	again = measure_build(&changed,
			      "apply a change of one account, best of 5",
			      "  its processor time");
	print_row("heap of two snapshots", "MB", heap_mb() - before);
	measure_routes(c);
	measure_keys(c);
	measure_digest();
	cg_config_unref(c);
	cg_config_unref(again);
	clear_encoded(&e);
	clear_encoded(&changed);
	return 0;
}
