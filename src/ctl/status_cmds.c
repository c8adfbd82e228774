#include <stdio.h>
#include <string.h>

#include "ctl.h"
#include "internal/names.h"

#define WAIT_POLL_MS 100

static const struct ctl_daemon *daemon_at(const struct ctl_fleet *f, size_t i)
{
	return &g_array_index(f->daemons, struct ctl_daemon, i);
}

static struct json_object *daemon_json(const struct ctl_daemon *d)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "instance",
			       json_object_new_string(ctl_daemon_label(d)));
	json_object_object_add(o, "address",
			       json_object_new_string(d->address));
	return o;
}

/* Lists every daemon with its answer, or with "answered": false. */
static struct json_object *answers_json(const struct ctl_fleet *f,
					const GPtrArray *answers)
{
	struct json_object *list = json_object_new_array();

	for (guint i = 0; i < answers->len; i++) {
		struct json_object *o = daemon_json(daemon_at(f, i));
		struct json_object *a = answers->pdata[i];

		json_object_object_add(o, "answered",
				       json_object_new_boolean(a != NULL));
		if (a)
			json_object_object_add(o, "reply", json_object_get(a));
		json_object_array_add(list, o);
	}
	return list;
}

static size_t report_silent(const struct ctl_fleet *f, const GPtrArray *answers)
{
	size_t n = 0;

	for (guint i = 0; i < answers->len; i++) {
		if (answers->pdata[i])
			continue;
		fprintf(stderr, "celerygladectl: %s did not answer\n",
			ctl_daemon_label(daemon_at(f, i)));
		n++;
	}
	return n;
}

static int64_t highest_version(const GPtrArray *answers)
{
	int64_t highest = 0;

	for (guint i = 0; i < answers->len; i++)
		highest = MAX(highest, ctl_member_int(answers->pdata[i],
						      "config_version", 0));
	return highest;
}

/* Whether every daemon answered and has the highest version in force. */
static bool all_equal(const GPtrArray *answers)
{
	int64_t highest = highest_version(answers);

	for (guint i = 0; i < answers->len; i++)
		if (ctl_member_int(answers->pdata[i], "config_version", -1) !=
		    highest)
			return false;
	return true;
}

/* Copies some members of a summary in a fixed order. */
static struct json_object *summary_row(const struct ctl_daemon *d,
				       struct json_object *a)
{
	static const char *const shown[] = { "config_version",
					     "shard_map_version", "ready",
					     "keys", "write_id" };
	struct json_object *o = daemon_json(d);
	struct json_object *v;

	for (size_t i = 0; i < G_N_ELEMENTS(shown); i++) {
		if (!json_object_object_get_ex(a, shown[i], &v))
			v = json_object_new_string("no answer");
		else
			v = json_object_get(v);
		json_object_object_add(o, shown[i], v);
	}
	return o;
}

static void print_summaries(const struct ctl_fleet *f, const GPtrArray *answers)
{
	struct json_object *list = json_object_new_array();

	for (guint i = 0; i < answers->len; i++)
		json_object_array_add(
			list, summary_row(daemon_at(f, i), answers->pdata[i]));
	ctl_print_objects(list);
	json_object_put(list);
}

enum ctl_exit ctl_show(const struct ctl_options *o)
{
	struct ctl_fleet f;
	GPtrArray *answers;
	enum ctl_exit rc = ctl_fleet_open(o, false, &f);

	if (rc != CTL_OK)
		return rc;
	answers = ctl_ask_all(&f, "summary", "");
	if (o->json)
		ctl_print_json(answers_json(&f, answers));
	else
		print_summaries(&f, answers);
	rc = all_equal(answers) ? CTL_OK : CTL_NOT_EVERYWHERE;
	g_ptr_array_unref(answers);
	ctl_fleet_close(&f);
	return rc;
}

/* The table is the answer, or its first member that is an array. */
static struct json_object *find_table(struct json_object *answer)
{
	if (json_object_is_type(answer, json_type_array))
		return answer;
	if (!json_object_is_type(answer, json_type_object))
		return NULL;
	json_object_object_foreach(answer, name, v) {
		(void)name;
		if (json_object_is_type(v, json_type_array))
			return v;
	}
	return NULL;
}

static void print_members(struct json_object *o)
{
	json_object_object_foreach(o, name, v) {
		char *text;

		if (json_object_is_type(v, json_type_array))
			continue;
		text = ctl_member_text(o, name);
		printf("%s: %s\n", name, text);
		g_free(text);
	}
}

static void print_answer(struct json_object *answer)
{
	struct json_object *table = find_table(answer);

	if (json_object_is_type(answer, json_type_object))
		print_members(answer);
	if (table)
		ctl_print_objects(table);
}

/* Shows the answer of one daemon. */
static enum ctl_exit list_any(const struct ctl_options *o, const char *what,
			      const char *name)
{
	const struct ctl_daemon *who;
	struct json_object *answer;
	struct ctl_fleet f;
	enum ctl_exit rc = ctl_fleet_open(o, false, &f);

	if (rc != CTL_OK)
		return rc;
	if (ctl_ask_any(&f, what, name, &answer, &who)) {
		rc = CTL_NOT_EVERYWHERE;
	} else if (o->json) {
		ctl_print_json(answer);
	} else {
		printf("as known by %s\n", ctl_daemon_label(who));
		print_answer(answer);
		json_object_put(answer);
	}
	ctl_fleet_close(&f);
	return rc;
}

enum ctl_exit ctl_members(const struct ctl_options *o)
{
	return list_any(o, "members", "");
}

enum ctl_exit ctl_shards(const struct ctl_options *o)
{
	return list_any(o, "shards", "");
}

static bool check_name(const char *name)
{
	if (cg_name_valid(name))
		return true;
	fprintf(stderr, "celerygladectl: NAME must be " CG_NAME_RULE "\n");
	return false;
}

enum ctl_exit ctl_servers(const struct ctl_options *o)
{
	if (o->service && !check_name(o->service))
		return CTL_FAULT;
	return list_any(o, "servers", o->service ? o->service : "");
}

static void print_answers(const struct ctl_fleet *f, const GPtrArray *answers)
{
	for (guint i = 0; i < answers->len; i++) {
		if (!answers->pdata[i])
			continue;
		printf("%s:\n", ctl_daemon_label(daemon_at(f, i)));
		print_answer(answers->pdata[i]);
	}
}

/* Shows the answers of all daemons. */
static enum ctl_exit explain(const struct ctl_options *o, const char *what)
{
	struct ctl_fleet f;
	GPtrArray *answers;
	enum ctl_exit rc;

	if (!check_name(o->arg))
		return CTL_FAULT;
	rc = ctl_fleet_open(o, false, &f);
	if (rc != CTL_OK)
		return rc;
	answers = ctl_ask_all(&f, what, o->arg);
	if (o->json)
		ctl_print_json(answers_json(&f, answers));
	else
		print_answers(&f, answers);
	if (report_silent(&f, answers))
		rc = CTL_NOT_EVERYWHERE;
	g_ptr_array_unref(answers);
	ctl_fleet_close(&f);
	return rc;
}

enum ctl_exit ctl_explain_server(const struct ctl_options *o)
{
	return explain(o, "server");
}

enum ctl_exit ctl_explain_account(const struct ctl_options *o)
{
	return explain(o, "account");
}

/* Why a daemon does not have the newest version; NULL if it has. */
static const char *why_behind(struct json_object *a, int64_t newest,
			      const char *write_id)
{
	int64_t version = ctl_member_int(a, "config_version", -1);

	if (!a)
		return "no answer: ended, unreachable, or another secret";
	if (version < 0)
		return "its answer has no config_version";
	if (version == newest)
		return strcmp(ctl_member_string(a, "write_id"), write_id) != 0
			       ? "same version with another write id"
			       : NULL;
	/* The daemon's own account goes before what can be guessed here. */
	if (ctl_member_string(a, "config_fault")[0])
		return ctl_member_string(a, "config_fault");
	if (!strcmp(ctl_member_string(a, "keys"), "stale"))
		return "isolated: hears neither the store nor enough members";
	if (version == 0)
		return "has no configuration yet";
	return "has not heard of the newest version or lacks parts of it";
}

static const char *write_id_of(const GPtrArray *answers, int64_t version)
{
	for (guint i = 0; i < answers->len; i++)
		if (ctl_member_int(answers->pdata[i], "config_version", -1) ==
		    version)
			return ctl_member_string(answers->pdata[i], "write_id");
	return "";
}

static struct json_object *behind_json(const struct ctl_fleet *f,
				       const GPtrArray *answers, int64_t newest)
{
	const char *write_id = write_id_of(answers, newest);
	struct json_object *list = json_object_new_array();

	for (guint i = 0; i < answers->len; i++) {
		struct json_object *a = answers->pdata[i];
		const char *why = why_behind(a, newest, write_id);
		struct json_object *o;

		if (!why)
			continue;
		o = daemon_json(daemon_at(f, i));
		json_object_object_add(o, "config_version",
				       json_object_new_int64(ctl_member_int(
					       a, "config_version", 0)));
		json_object_object_add(o, "why", json_object_new_string(why));
		json_object_array_add(list, o);
	}
	return list;
}

static void print_behind(const struct ctl_options *o, int64_t newest,
			 guint daemons, struct json_object *list)
{
	size_t n = json_object_array_length(list);

	if (o->json) {
		struct json_object *out = json_object_new_object();

		json_object_object_add(out, "newest",
				       json_object_new_int64(newest));
		json_object_object_add(out, "daemons",
				       json_object_new_int64(daemons));
		json_object_object_add(out, "behind", json_object_get(list));
		ctl_print_json(out);
		return;
	}
	printf("version %" G_GINT64_FORMAT
	       " is in force at %zu of %u daemons\n",
	       newest, daemons - n, daemons);
	if (n)
		ctl_print_objects(list);
}

enum ctl_exit ctl_explain_change(const struct ctl_options *o)
{
	struct json_object *list;
	struct ctl_fleet f;
	GPtrArray *answers;
	int64_t newest;
	enum ctl_exit rc = ctl_fleet_open(o, false, &f);

	if (rc != CTL_OK)
		return rc;
	answers = ctl_ask_all(&f, "summary", "");
	newest = highest_version(answers);
	list = behind_json(&f, answers, newest);
	print_behind(o, newest, answers->len, list);
	if (json_object_array_length(list))
		rc = CTL_NOT_EVERYWHERE;
	json_object_put(list);
	g_ptr_array_unref(answers);
	ctl_fleet_close(&f);
	return rc;
}

/* Adds the integer members of one answer to the sums. */
static void add_counters(struct json_object *sums, struct json_object *answer)
{
	struct json_object *o;

	if (!json_object_is_type(answer, json_type_object))
		return;
	if (!json_object_object_get_ex(answer, "counters", &o) ||
	    !json_object_is_type(o, json_type_object))
		o = answer;
	json_object_object_foreach(o, name, v) {
		int64_t sum;

		if (!json_object_is_type(v, json_type_int))
			continue;
		sum = ctl_member_int(sums, name, 0) + json_object_get_int64(v);
		json_object_object_add(sums, name, json_object_new_int64(sum));
	}
}

static void print_counters(const struct ctl_options *o,
			   const struct ctl_fleet *f, const GPtrArray *answers)
{
	struct json_object *sums = json_object_new_object();
	struct json_object *out = json_object_new_object();

	for (guint i = 0; i < answers->len; i++)
		add_counters(sums, answers->pdata[i]);
	if (!o->json) {
		print_members(sums);
		json_object_put(sums);
		json_object_put(out);
		return;
	}
	json_object_object_add(out, "sums", sums);
	json_object_object_add(out, "daemons", answers_json(f, answers));
	ctl_print_json(out);
}

enum ctl_exit ctl_counters(const struct ctl_options *o)
{
	struct ctl_fleet f;
	GPtrArray *answers;
	enum ctl_exit rc = ctl_fleet_open(o, false, &f);

	if (rc != CTL_OK)
		return rc;
	answers = ctl_ask_all(&f, "counters", "");
	print_counters(o, &f, answers);
	if (report_silent(&f, answers))
		rc = CTL_NOT_EVERYWHERE;
	g_ptr_array_unref(answers);
	ctl_fleet_close(&f);
	return rc;
}

/* A higher version counts: another operator's later change contains this one or
 * replaced it. */
static bool has_version(struct json_object *a, int64_t version,
			const char *write_id)
{
	int64_t v = ctl_member_int(a, "config_version", -1);

	return v > version ||
	       (v == version &&
		!strcmp(ctl_member_string(a, "write_id"), write_id));
}

static struct json_object *lacking_json(const struct ctl_fleet *f,
					const GPtrArray *answers,
					uint64_t version, const char *write_id)
{
	struct json_object *list = json_object_new_array();

	for (guint i = 0; i < answers->len; i++) {
		struct json_object *a = answers->pdata[i];
		struct json_object *o;

		if (has_version(a, (int64_t)version, write_id))
			continue;
		o = daemon_json(daemon_at(f, i));
		json_object_object_add(o, "answered",
				       json_object_new_boolean(a != NULL));
		json_object_object_add(o, "config_version",
				       json_object_new_int64(ctl_member_int(
					       a, "config_version", 0)));
		json_object_array_add(list, o);
	}
	return list;
}

/* Asks until none lacks the version or the time is over. */
static struct json_object *poll_versions(struct ctl_fleet *f, uint64_t version,
					 const char *write_id, gint64 end_us)
{
	for (;;) {
		GPtrArray *answers = ctl_ask_all(f, "summary", "");
		struct json_object *lacking =
			lacking_json(f, answers, version, write_id);

		g_ptr_array_unref(answers);
		if (!json_object_array_length(lacking) ||
		    g_get_monotonic_time() >= end_us)
			return lacking;
		json_object_put(lacking);
		cg_sleep(WAIT_POLL_MS);
	}
}

static void print_wait(const struct ctl_options *o, uint64_t version,
		       guint daemons, gint64 ms, struct json_object *lacking)
{
	size_t n = json_object_array_length(lacking);

	if (o->json) {
		struct json_object *out = json_object_new_object();

		json_object_object_add(out, "version",
				       json_object_new_uint64(version));
		json_object_object_add(out, "waited_ms",
				       json_object_new_int64(ms));
		json_object_object_add(out, "daemons",
				       json_object_new_int64(daemons));
		json_object_object_add(out, "not_in_force",
				       json_object_get(lacking));
		ctl_print_json(out);
		return;
	}
	printf("version %" G_GUINT64_FORMAT
	       " is in force at %zu of %u daemons after %" G_GINT64_FORMAT
	       " ms\n",
	       version, daemons - n, daemons, ms);
	if (n) {
		printf("not in force at:\n");
		ctl_print_objects(lacking);
	}
}

enum ctl_exit ctl_wait_in_force(const struct ctl_options *o, uint64_t version,
				const char *write_id)
{
	gint64 start_us = g_get_monotonic_time();
	struct json_object *lacking;
	struct ctl_fleet f;
	enum ctl_exit rc = ctl_fleet_open(o, false, &f);

	if (rc != CTL_OK)
		return rc;
	lacking = poll_versions(&f, version, write_id,
				start_us + (gint64)o->wait_s * 1000000);
	print_wait(o, version, f.daemons->len,
		   (g_get_monotonic_time() - start_us) / 1000, lacking);
	if (json_object_array_length(lacking))
		rc = CTL_NOT_EVERYWHERE;
	json_object_put(lacking);
	ctl_fleet_close(&f);
	return rc;
}
