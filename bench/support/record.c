#include "record.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Executions of one request id. */
struct executions {
	uint64_t count;
	bool forbidden_headers;
	bool wrong_account;
};

bool record_answered(const struct record *r)
{
	return r->status == 200 && r->complete && r->own;
}

static GHashTable *read_executions(const char *lines, GHashTable *accounts)
{
	GHashTable *t =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	char **v = g_strsplit(lines, "\n", -1);

	for (char **l = v; *l; l++) {
		struct json_object *o = **l ? json_tokener_parse(*l) : NULL;
		const char *id, *account, *sent;
		struct executions *e;

		if (!o)
			continue;
		id = json_object_get_string(json_object_object_get(o, "id"));
		account = json_object_get_string(
			json_object_object_get(o, "account"));
		e = g_hash_table_lookup(t, id);
		if (!e) {
			e = g_new0(struct executions, 1);
			g_hash_table_insert(t, g_strdup(id), e);
		}
		e->count += json_object_get_uint64(
			json_object_object_get(o, "count"));
		e->forbidden_headers |= json_object_get_boolean(
			json_object_object_get(o, "forbidden"));
		sent = g_hash_table_lookup(accounts, id);
		/* Requests sent directly to a backend server have no
		 * account. */
		e->wrong_account |=
			*account && sent && strcmp(account, sent) != 0;
		json_object_put(o);
	}
	g_strfreev(v);
	return t;
}

static void check_one(const struct record *r, const struct executions *e,
		      struct execution_check *out)
{
	uint64_t n = e ? e->count : 0;

	if (r->status == 200 && !r->complete)
		out->truncated++;
	else if (r->status == 200 && !r->own)
		out->crossed++;
	if (r->status == 200 && !n)
		out->unexecuted++;
	out->executions += n;
	if (!n)
		return;
	if (r->post)
		out->repeated += n - 1;
	out->false_not_run += r->not_run;
	out->executed_unknown += !record_answered(r) && !r->not_run;
	out->forbidden_headers += e->forbidden_headers;
	out->wrong_account += e->wrong_account;
}

void record_check(GPtrArray *all, const char *lines,
		  struct execution_check *out)
{
	GHashTable *accounts = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *t;

	memset(out, 0, sizeof(*out));
	for (guint i = 0; i < all->len; i++) {
		struct record *r = all->pdata[i];

		g_hash_table_insert(accounts, r->id, (void *)r->account);
	}
	t = read_executions(lines, accounts);
	for (guint i = 0; i < all->len; i++) {
		struct record *r = all->pdata[i];

		check_one(r, g_hash_table_lookup(t, r->id), out);
	}
	g_hash_table_destroy(t);
	g_hash_table_destroy(accounts);
}

uint64_t check_violations(const struct execution_check *c)
{
	return c->repeated + c->false_not_run + c->crossed + c->truncated +
	       c->wrong_account + c->forbidden_headers + c->unexecuted;
}

static int compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void add_int(struct json_object *o, const char *name, int64_t n)
{
	json_object_object_add(o, name, json_object_new_int64(n));
}

static void increment(struct json_object *o, const char *name)
{
	struct json_object *v;

	if (json_object_object_get_ex(o, name, &v))
		json_object_int_inc(v, 1);
	else
		add_int(o, name, 1);
}

static struct json_object *percentiles(GArray *latencies_us)
{
	static const struct {
		const char *name;
		double q;
	} rows[] = { { "p50", 0.5 },
		     { "p90", 0.9 },
		     { "p99", 0.99 },
		     { "p999", 0.999 },
		     { "max", 1 } };
	struct json_object *o = json_object_new_object();

	g_array_sort(latencies_us, compare_int64);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		guint k = (guint)(rows[i].q * latencies_us->len);

		if (latencies_us->len)
			add_int(o, rows[i].name,
				g_array_index(latencies_us, int64_t,
					      MIN(k, latencies_us->len - 1)));
	}
	return o;
}

/* Summarizes the records of one account, or of all if @p account is NULL. */
static struct json_object *summarize(GPtrArray *all, const char *account)
{
	struct json_object *o = json_object_new_object();
	struct json_object *refused = json_object_new_object();
	struct json_object *failed = json_object_new_object();
	GArray *latencies_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t sent = 0, retries = 0, server_errors = 0;

	for (guint i = 0; i < all->len; i++) {
		struct record *r = all->pdata[i];
		int64_t took = r->done_us - r->intended_us;

		if (account && strcmp(r->account, account) != 0)
			continue;
		sent++;
		retries += r->attempts - 1;
		if (record_answered(r))
			g_array_append_val(latencies_us, took);
		else if (!r->reason[0])
			server_errors++;
		else
			increment(g_str_has_prefix(r->reason, "caller_")
					  ? failed
					  : refused,
				  r->reason);
	}
	add_int(o, "sent", sent);
	add_int(o, "repeats", retries);
	add_int(o, "answered", latencies_us->len);
	add_int(o, "server_errors", server_errors);
	json_object_object_add(o, "refused", refused);
	json_object_object_add(o, "failed", failed);
	json_object_object_add(o, "latency_us", percentiles(latencies_us));
	g_array_free(latencies_us, TRUE);
	return o;
}

static struct json_object *check_json(const struct execution_check *c)
{
	struct json_object *o = json_object_new_object();

	add_int(o, "repeated_executions", (int64_t)c->repeated);
	add_int(o, "false_not_run", (int64_t)c->false_not_run);
	add_int(o, "foreign_responses", (int64_t)c->crossed);
	add_int(o, "truncated_responses", (int64_t)c->truncated);
	add_int(o, "wrong_account", (int64_t)c->wrong_account);
	add_int(o, "forbidden_headers", (int64_t)c->forbidden_headers);
	add_int(o, "unexecuted_answers", (int64_t)c->unexecuted);
	add_int(o, "executions", (int64_t)c->executions);
	add_int(o, "executed_outcome_unknown", (int64_t)c->executed_unknown);
	return o;
}

struct json_object *record_summary(GPtrArray *all, double seconds,
				   const struct execution_check *c)
{
	struct json_object *o = summarize(all, NULL);
	struct json_object *accounts = json_object_new_object();

	json_object_object_add(o, "seconds", json_object_new_double(seconds));
	for (guint i = 0; i < all->len; i++) {
		const char *a = ((struct record *)all->pdata[i])->account;

		if (!json_object_object_get_ex(accounts, a, NULL))
			json_object_object_add(accounts, a, summarize(all, a));
	}
	json_object_object_add(o, "accounts", accounts);
	if (c)
		json_object_object_add(o, "check", check_json(c));
	return o;
}

void record_print(struct json_object *o)
{
	json_object_object_foreach(o, name, v) {
		if (json_object_is_type(v, json_type_object) &&
		    strcmp(name, "accounts") != 0) {
			printf("%s:\n", name);
			json_object_object_foreach(v, sub, w) {
				printf("  %-26s %s\n", sub,
				       json_object_get_string(w));
			}
		} else if (!json_object_is_type(v, json_type_object)) {
			printf("%-28s %s\n", name, json_object_get_string(v));
		}
	}
	json_object_object_foreach(json_object_object_get(o, "accounts"), a,
				   c) {
		json_object_object_del(c, "server_errors");
		printf("account %-20s %s\n", a,
		       json_object_to_json_string_ext(c, 0));
	}
}

int record_log(GPtrArray *all, const char *path)
{
	FILE *f = fopen(path, "we");

	if (!f)
		return -1;
	for (guint i = 0; i < all->len; i++) {
		struct record *r = all->pdata[i];

		fprintf(f,
			"%s\t%s\t%s\t%" G_GINT64_FORMAT "\t%" G_GINT64_FORMAT
			"\t%d\t%d\t%s\t%s\t%s\t%d\n",
			r->id, r->account,
			!r->post   ? "GET"
			: r->keyed ? "POST-keyed"
				   : "POST",
			r->intended_us / 1000, r->done_us - r->intended_us,
			r->target, r->status, r->reason[0] ? r->reason : "-",
			r->not_run ? "not-run" : "-",
			r->complete && r->own ? "own"
			: r->complete	      ? "foreign"
					      : "cut",
			r->attempts);
	}
	return fclose(f) ? -1 : 0;
}
