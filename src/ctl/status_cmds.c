#include <stdio.h>
#include <string.h>

#include "ctl.h"
#include "internal/names.h"

#define WAIT_POLL_INTERVAL_MS 100

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

/* Returns an array with every daemon and its answer, or "answered": false. */
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

/* Prints the daemons that did not answer and returns their number. */
static size_t report_unanswered(const struct ctl_fleet *f,
				const GPtrArray *answers)
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

/* Returns whether every daemon answered and has the same, highest version in
 * force. */
static bool all_have_highest_version(const GPtrArray *answers)
{
	int64_t highest = highest_version(answers);

	for (guint i = 0; i < answers->len; i++)
		if (ctl_member_int(answers->pdata[i], "config_version", -1) !=
		    highest)
			return false;
	return true;
}

/* Returns the members of a summary that are shown, in a fixed order. */
static struct json_object *summary_row(const struct ctl_daemon *d,
				       struct json_object *a)
{
	static const char *const columns[] = { "config_version",
					       "shard_map_version", "ready",
					       "keys", "write_id" };
	struct json_object *o = daemon_json(d);
	struct json_object *v;

	for (size_t i = 0; i < G_N_ELEMENTS(columns); i++) {
		if (!json_object_object_get_ex(a, columns[i], &v))
			v = json_object_new_string("no answer");
		else
			v = json_object_get(v);
		json_object_object_add(o, columns[i], v);
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
	answers = ctl_query_all(&f, "summary", "");
	if (o->json)
		ctl_print_json(answers_json(&f, answers));
	else
		print_summaries(&f, answers);
	rc = all_have_highest_version(answers) ? CTL_OK : CTL_INCOMPLETE;
	g_ptr_array_unref(answers);
	ctl_fleet_close(&f);
	return rc;
}

/* Returns the array that is shown as a table: the answer itself or its first
 * member that is an array; NULL if there is none. */
static struct json_object *find_table_array(struct json_object *answer)
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

static void print_scalar_members(struct json_object *o)
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
	struct json_object *table = find_table_array(answer);

	if (json_object_is_type(answer, json_type_object))
		print_scalar_members(answer);
	if (table)
		ctl_print_objects(table);
}

/* Prints the answer of the first daemon that answers. */
static enum ctl_exit print_first_answer(const struct ctl_options *o,
					const char *topic, const char *object)
{
	const struct ctl_daemon *answered_by;
	struct json_object *answer;
	struct ctl_fleet f;
	enum ctl_exit rc = ctl_fleet_open(o, false, &f);

	if (rc != CTL_OK)
		return rc;
	if (ctl_query_any(&f, topic, object, &answer, &answered_by)) {
		rc = CTL_INCOMPLETE;
	} else if (o->json) {
		ctl_print_json(answer);
	} else {
		printf("as known by %s\n", ctl_daemon_label(answered_by));
		print_answer(answer);
		json_object_put(answer);
	}
	ctl_fleet_close(&f);
	return rc;
}

enum ctl_exit ctl_members(const struct ctl_options *o)
{
	return print_first_answer(o, "members", "");
}

enum ctl_exit ctl_shards(const struct ctl_options *o)
{
	return print_first_answer(o, "shards", "");
}

static bool check_name_argument(const char *name)
{
	if (cg_name_valid(name))
		return true;
	fprintf(stderr, "celerygladectl: NAME must be " CG_NAME_RULE "\n");
	return false;
}

enum ctl_exit ctl_servers(const struct ctl_options *o)
{
	if (o->service && !check_name_argument(o->service))
		return CTL_ERROR;
	return print_first_answer(o, "servers", o->service ? o->service : "");
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

/* Prints what each daemon answers about the object named on the command
 * line. */
static enum ctl_exit print_all_answers(const struct ctl_options *o,
				       const char *topic)
{
	struct ctl_fleet f;
	GPtrArray *answers;
	enum ctl_exit rc;

	if (!check_name_argument(o->arg))
		return CTL_ERROR;
	rc = ctl_fleet_open(o, false, &f);
	if (rc != CTL_OK)
		return rc;
	answers = ctl_query_all(&f, topic, o->arg);
	if (o->json)
		ctl_print_json(answers_json(&f, answers));
	else
		print_answers(&f, answers);
	if (report_unanswered(&f, answers))
		rc = CTL_INCOMPLETE;
	g_ptr_array_unref(answers);
	ctl_fleet_close(&f);
	return rc;
}

enum ctl_exit ctl_explain_server(const struct ctl_options *o)
{
	return print_all_answers(o, "server");
}

enum ctl_exit ctl_explain_account(const struct ctl_options *o)
{
	return print_all_answers(o, "account");
}

/* Returns why a daemon does not have the newest version in force, or NULL if it
 * has. @p a is its summary, NULL if it did not answer. */
static const char *outdated_reason(struct json_object *a, int64_t newest,
				   const char *write_id)
{
	int64_t version = ctl_member_int(a, "config_version", -1);

	if (!a)
		return "no answer: stopped, unreachable, or uses another secret";
	if (version < 0)
		return "the answer has no config_version";
	if (version == newest)
		return strcmp(ctl_member_string(a, "write_id"), write_id) != 0
			       ? "same version with another write id"
			       : NULL;
	/* The fault that the daemon reports takes precedence over the causes
	 * that can only be inferred here. */
	if (ctl_member_string(a, "config_fault")[0])
		return ctl_member_string(a, "config_fault");
	if (!strcmp(ctl_member_string(a, "keys"), "stale"))
		return "isolated: reaches neither the store nor enough members";
	if (version == 0)
		return "has no configuration yet";
	return "has not received the newest version or lacks parts of it";
}

static const char *find_write_id(const GPtrArray *answers, int64_t version)
{
	for (guint i = 0; i < answers->len; i++)
		if (ctl_member_int(answers->pdata[i], "config_version", -1) ==
		    version)
			return ctl_member_string(answers->pdata[i], "write_id");
	return "";
}

static struct json_object *outdated_daemons_json(const struct ctl_fleet *f,
						 const GPtrArray *answers,
						 int64_t newest)
{
	const char *write_id = find_write_id(answers, newest);
	struct json_object *list = json_object_new_array();

	for (guint i = 0; i < answers->len; i++) {
		struct json_object *a = answers->pdata[i];
		const char *reason = outdated_reason(a, newest, write_id);
		struct json_object *o;

		if (!reason)
			continue;
		o = daemon_json(daemon_at(f, i));
		json_object_object_add(o, "config_version",
				       json_object_new_int64(ctl_member_int(
					       a, "config_version", 0)));
		json_object_object_add(o, "why",
				       json_object_new_string(reason));
		json_object_array_add(list, o);
	}
	return list;
}

static void print_outdated_daemons(const struct ctl_options *o, int64_t newest,
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
	answers = ctl_query_all(&f, "summary", "");
	newest = highest_version(answers);
	list = outdated_daemons_json(&f, answers, newest);
	print_outdated_daemons(o, newest, answers->len, list);
	if (json_object_array_length(list))
		rc = CTL_INCOMPLETE;
	json_object_put(list);
	g_ptr_array_unref(answers);
	ctl_fleet_close(&f);
	return rc;
}

/* Adds the counters of one answer to @p sums. The counters are in the member
 * "counters" or, without one, in the answer itself. */
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
		print_scalar_members(sums);
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
	answers = ctl_query_all(&f, "counters", "");
	print_counters(o, &f, answers);
	if (report_unanswered(&f, answers))
		rc = CTL_INCOMPLETE;
	g_ptr_array_unref(answers);
	ctl_fleet_close(&f);
	return rc;
}

/* Returns whether the daemon with summary @p a has the version in force. A
 * higher version counts, too: a later change of another operator contains or
 * replaces this one. */
static bool has_version(struct json_object *a, int64_t version,
			const char *write_id)
{
	int64_t v = ctl_member_int(a, "config_version", -1);

	return v > version ||
	       (v == version &&
		!strcmp(ctl_member_string(a, "write_id"), write_id));
}

static struct json_object *not_in_force_json(const struct ctl_fleet *f,
					     const GPtrArray *answers,
					     uint64_t version,
					     const char *write_id)
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

/* Polls the daemons until all have the version in force or the deadline has
 * passed. Returns the daemons that do not have it in force. */
static struct json_object *poll_until_in_force(struct ctl_fleet *f,
					       uint64_t version,
					       const char *write_id,
					       gint64 deadline_us)
{
	for (;;) {
		GPtrArray *answers = ctl_query_all(f, "summary", "");
		struct json_object *not_in_force =
			not_in_force_json(f, answers, version, write_id);

		g_ptr_array_unref(answers);
		if (!json_object_array_length(not_in_force) ||
		    g_get_monotonic_time() >= deadline_us)
			return not_in_force;
		json_object_put(not_in_force);
		cg_sleep(WAIT_POLL_INTERVAL_MS);
	}
}

static void print_wait_result(const struct ctl_options *o, uint64_t version,
			      guint daemons, gint64 ms,
			      struct json_object *not_in_force)
{
	size_t n = json_object_array_length(not_in_force);

	if (o->json) {
		struct json_object *out = json_object_new_object();

		json_object_object_add(out, "version",
				       json_object_new_uint64(version));
		json_object_object_add(out, "waited_ms",
				       json_object_new_int64(ms));
		json_object_object_add(out, "daemons",
				       json_object_new_int64(daemons));
		json_object_object_add(out, "not_in_force",
				       json_object_get(not_in_force));
		ctl_print_json(out);
		return;
	}
	printf("version %" G_GUINT64_FORMAT
	       " is in force at %zu of %u daemons after %" G_GINT64_FORMAT
	       " ms\n",
	       version, daemons - n, daemons, ms);
	if (n) {
		printf("not in force at:\n");
		ctl_print_objects(not_in_force);
	}
}

enum ctl_exit ctl_wait_in_force(const struct ctl_options *o, uint64_t version,
				const char *write_id)
{
	gint64 start_us = g_get_monotonic_time();
	struct json_object *not_in_force;
	struct ctl_fleet f;
	enum ctl_exit rc = ctl_fleet_open(o, false, &f);

	if (rc != CTL_OK)
		return rc;
	not_in_force = poll_until_in_force(
		&f, version, write_id, start_us + (gint64)o->wait_s * 1000000);
	print_wait_result(o, version, f.daemons->len,
			  (g_get_monotonic_time() - start_us) / 1000,
			  not_in_force);
	if (json_object_array_length(not_in_force))
		rc = CTL_INCOMPLETE;
	json_object_put(not_in_force);
	ctl_fleet_close(&f);
	return rc;
}
