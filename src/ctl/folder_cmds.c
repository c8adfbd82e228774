#include <stdio.h>
#include <string.h>

#include "ctl.h"
#include "internal/folder.h"
#include "internal/publish.h"

static struct json_object *faults_to_json(const struct cg_faults *f)
{
	struct json_object *list = json_object_new_array();

	for (size_t i = 0; i < f->n; i++)
		json_object_array_add(list,
				      json_object_new_string(f->lines[i]));
	return list;
}

static enum ctl_exit load_folder(const struct ctl_options *o,
				 struct cg_config **c)
{
	struct cg_faults f = { 0 };
	int rc = cg_folder_load(o->arg, 0, c, &f);

	if (!rc)
		return CTL_OK;
	if (o->json) {
		struct json_object *out = json_object_new_object();

		json_object_object_add(out, "faults", faults_to_json(&f));
		ctl_print_json(out);
	} else {
		cg_faults_print(&f, stderr);
		fprintf(stderr, "%zu faults\n", f.n);
	}
	cg_faults_clear(&f);
	return CTL_INVALID_FOLDER;
}

static void print_object_counts(const struct ctl_options *o,
				const struct cg_config *c)
{
	struct json_object *out = json_object_new_object();

	json_object_object_add(out, "faults", json_object_new_array());
	for (int k = 0; k < CG_OBJECT_KIND_COUNT; k++) {
		enum cg_object_kind kind = (enum cg_object_kind)k;
		size_t n = cg_object_count(c, kind);

		json_object_object_add(out, cg_object_kind_name(kind),
				       json_object_new_uint64(n));
		if (!o->json)
			printf("%s%zu %s", k ? ", " : "valid: ", n,
			       cg_object_kind_name(kind));
	}
	if (o->json) {
		ctl_print_json(out);
		return;
	}
	printf("\n");
	json_object_put(out);
}

enum ctl_exit ctl_check(const struct ctl_options *o)
{
	struct cg_config *c;
	enum ctl_exit rc = load_folder(o, &c);

	if (rc != CTL_OK)
		return rc;
	print_object_counts(o, c);
	cg_config_unref(c);
	return CTL_OK;
}

static const struct {
	const char *name;
	const char *text;
	enum ctl_exit exit;
} publish_outcomes[] = {
	[CG_PUBLISH_WRITTEN] = { "written", "written", CTL_OK },
	[CG_PUBLISH_UNCHANGED] = { "unchanged",
				   "the folder equals the configuration in "
				   "force; nothing was written",
				   CTL_OK },
	[CG_PUBLISH_LOST_RACE] = { "lost_race",
				   "another writer was faster; nothing was "
				   "changed, check with diff and run again",
				   CTL_LOST_RACE },
	[CG_PUBLISH_UNAVAILABLE] = { "unavailable",
				     "the store is unavailable; the "
				     "configuration in force was not changed",
				     CTL_STORE_UNAVAILABLE },
	[CG_PUBLISH_UNKNOWN] = { "unknown",
				 "the store did not answer the write, which "
				 "may have taken effect; run again",
				 CTL_OUTCOME_UNKNOWN },
	[CG_PUBLISH_INVALID] = { "invalid", "nothing was written", CTL_ERROR },
};

static void print_publication(const struct ctl_options *o,
			      enum cg_publish_result r,
			      const struct cg_publication *p)
{
	struct json_object *out;

	if (!o->json) {
		if (r == CG_PUBLISH_WRITTEN)
			printf("written: version %" G_GUINT64_FORMAT
			       ", %zu of %zu parts written\n",
			       p->version, p->parts_written, p->parts);
		else if (p->in_force)
			printf("%s (version in force: %" G_GUINT64_FORMAT ")\n",
			       publish_outcomes[r].text, p->in_force);
		else
			printf("%s\n", publish_outcomes[r].text);
		return;
	}
	out = json_object_new_object();
	json_object_object_add(
		out, "result",
		json_object_new_string(publish_outcomes[r].name));
	json_object_object_add(out, "version",
			       json_object_new_uint64(p->version));
	json_object_object_add(out, "write_id",
			       json_object_new_string(p->write_id));
	json_object_object_add(out, "in_force",
			       json_object_new_uint64(p->in_force));
	json_object_object_add(out, "parts_written",
			       json_object_new_uint64(p->parts_written));
	ctl_print_json(out);
}

static enum ctl_exit publish_config(const struct ctl_options *o,
				    const struct cg_config *c,
				    struct cg_publication *p)
{
	struct cg_store *store = ctl_open_store(o);
	struct cg_faults f = { 0 };
	enum cg_publish_result r;

	if (!store)
		return CTL_ERROR;
	r = cg_publish(store, c, CTL_STORE_RETRY_DELAY_MS, p, &f);
	cg_faults_print(&f, stderr);
	cg_faults_clear(&f);
	cg_store_free(store);
	print_publication(o, r, p);
	return publish_outcomes[r].exit;
}

enum ctl_exit ctl_apply(const struct ctl_options *o)
{
	struct cg_publication p;
	struct cg_config *c;
	enum ctl_exit rc;

	/* Checked before the write, so that a missing option does not leave a
	 * published change that was not waited for. */
	if (o->wait_s >= 0 && !o->secret_file) {
		fprintf(stderr, "celerygladectl: --wait needs --secret-file\n");
		return CTL_ERROR;
	}
	rc = load_folder(o, &c);
	if (rc != CTL_OK)
		return rc;
	rc = publish_config(o, c, &p);
	cg_config_unref(c);
	if (rc != CTL_OK || o->wait_s < 0)
		return rc;
	/* The change is written. An error from here on only leaves open whether
	 * it is in force. */
	rc = ctl_wait_in_force(o, p.version, p.write_id);
	return rc == CTL_OK ? CTL_OK : CTL_INCOMPLETE;
}

/* Differences are collected in a JSON array of objects with the members path,
 * old and new; null stands for a missing value. */

static void add_change(struct json_object *list, const char *path,
		       struct json_object *old, struct json_object *new)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "path", json_object_new_string(path));
	json_object_object_add(o, "old", json_object_get(old));
	json_object_object_add(o, "new", json_object_get(new));
	json_object_array_add(list, o);
}

static void compare_values(struct json_object *list, const char *path,
			   struct json_object *old, struct json_object *new);

static void compare_member(struct json_object *list, const char *path,
			   const char *name, struct json_object *old,
			   struct json_object *new)
{
	char *member_path = g_strdup_printf("%s/%s", path, name);

	compare_values(list, member_path, old, new);
	g_free(member_path);
}

static void compare_values(struct json_object *list, const char *path,
			   struct json_object *old, struct json_object *new)
{
	struct json_object *new_value;

	if (json_object_equal(old, new))
		return;
	if (!json_object_is_type(old, json_type_object) ||
	    !json_object_is_type(new, json_type_object)) {
		add_change(list, path, old, new);
		return;
	}
	json_object_object_foreach(old, name, v) {
		new_value = NULL;
		json_object_object_get_ex(new, name, &new_value);
		compare_member(list, path, name, v, new_value);
	}
	json_object_object_foreach(new, name2, w) {
		if (!json_object_object_get_ex(old, name2, NULL))
			compare_member(list, path, name2, NULL, w);
	}
}

static struct json_object *object_to_json(const struct cg_config *c,
					  enum cg_object_kind kind, size_t i)
{
	GString *s = g_string_new(NULL);
	struct json_object *o;

	cg_object_encode(c, kind, i, s);
	o = json_tokener_parse(s->str);
	g_string_free(s, TRUE);
	return o;
}

static void compare_object(struct json_object *list, enum cg_object_kind kind,
			   const char *name, struct json_object *old,
			   struct json_object *new)
{
	compare_member(list, cg_object_kind_name(kind), name, old, new);
	json_object_put(old);
	json_object_put(new);
}

/* Merges the objects of both configurations, which are sorted by name. */
static void compare_objects_of_kind(struct json_object *list,
				    enum cg_object_kind kind,
				    const struct cg_config *old,
				    const struct cg_config *new)
{
	size_t n = cg_object_count(old, kind);
	size_t m = cg_object_count(new, kind);
	size_t i = 0;
	size_t k = 0;

	while (i < n || k < m) {
		const char *a = i < n ? cg_object_name(old, kind, i) : NULL;
		const char *b = k < m ? cg_object_name(new, kind, k) : NULL;
		int order = !a ? 1 : !b ? -1 : strcmp(a, b);

		if (order < 0)
			compare_object(list, kind, a,
				       object_to_json(old, kind, i++), NULL);
		else if (order > 0)
			compare_object(list, kind, b, NULL,
				       object_to_json(new, kind, k++));
		else
			compare_object(list, kind, a,
				       object_to_json(old, kind, i++),
				       object_to_json(new, kind, k++));
	}
}

static void print_change(struct json_object *change)
{
	char *old = ctl_member_text(change, "old");
	char *new = ctl_member_text(change, "new");
	const char *path = ctl_member_string(change, "path");

	if (!strcmp(old, "-"))
		printf("+ %s: %s\n", path, new);
	else if (!strcmp(new, "-"))
		printf("- %s: %s\n", path, old);
	else
		printf("~ %s: %s -> %s\n", path, old, new);
	g_free(old);
	g_free(new);
}

static void print_diff(const struct ctl_options *o, uint64_t version,
		       struct json_object *list)
{
	size_t n = json_object_array_length(list);

	if (o->json) {
		struct json_object *out = json_object_new_object();

		json_object_object_add(out, "version",
				       json_object_new_uint64(version));
		json_object_object_add(out, "changes", list);
		ctl_print_json(out);
		return;
	}
	for (size_t i = 0; i < n; i++)
		print_change(json_object_array_get_idx(list, i));
	printf("%zu changes against version %" G_GUINT64_FORMAT "\n", n,
	       version);
	json_object_put(list);
}

/* Loads the configuration in force, an empty one if none was published yet. */
static enum ctl_exit load_config_in_force(const struct ctl_options *o,
					  struct cg_config **c)
{
	struct cg_store *store = ctl_open_store(o);
	struct cg_faults f = { 0 };
	enum cg_store_result rc;

	if (!store)
		return CTL_ERROR;
	rc = cg_published_config_load(store, CTL_STORE_RETRY_DELAY_MS, c, &f);
	cg_store_free(store);
	cg_faults_print(&f, stderr);
	cg_faults_clear(&f);
	if (rc == CG_STORE_OK)
		return CTL_OK;
	if (rc == CG_STORE_NOT_FOUND) {
		struct cg_builder *b = cg_builder_new(NULL, NULL, &f);
		int bad = cg_builder_finish(b, 0, c);

		cg_builder_free(b);
		return bad ? CTL_ERROR : CTL_OK;
	}
	if (rc == CG_STORE_REJECTED)
		return CTL_ERROR;
	fprintf(stderr, "celerygladectl: the store is unavailable\n");
	return CTL_STORE_UNAVAILABLE;
}

enum ctl_exit ctl_diff(const struct ctl_options *o)
{
	struct json_object *list;
	struct cg_config *old;
	struct cg_config *new;
	enum ctl_exit rc = load_folder(o, &new);

	if (rc != CTL_OK)
		return rc;
	rc = load_config_in_force(o, &old);
	if (rc == CTL_OK) {
		list = json_object_new_array();
		for (int k = 0; k < CG_OBJECT_KIND_COUNT; k++)
			compare_objects_of_kind(list, (enum cg_object_kind)k,
						old, new);
		print_diff(o, cg_config_version(old), list);
		cg_config_unref(old);
	}
	cg_config_unref(new);
	return rc;
}
