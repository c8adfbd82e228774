#include "internal/folder.h"

#include <glib.h>
#include <string.h>

#include "internal/objects.h"

/* A longer name may be a plaintext key in the wrong place, so messages do not
 * contain it. */
#define LOGGED_NAME_MAX 31

/* State of loading one folder. */
struct folder_load {
	struct cg_faults *f;
	const char *file; /* File that is being merged. */
	GString *path; /* Path of the member that is being merged. */
	GHashTable *origin; /* Maps a path to the last file that set it. */
	struct json_object *merged;
};

static gint compare_text(gconstpointer x, gconstpointer y)
{
	return strcmp(*(const char *const *)x, *(const char *const *)y);
}

static bool is_config_file(const char *name)
{
	return name[0] != '.' && (g_str_has_suffix(name, ".json") ||
				  g_str_has_suffix(name, ".jsonc"));
}

static GPtrArray *list_files(const char *dir, struct cg_faults *f)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GError *err = NULL;
	GDir *d = g_dir_open(dir, 0, &err);
	const char *name;

	if (!d) {
		cg_faults_add(f, dir, "%s", err->message);
		g_error_free(err);
		return names;
	}
	while ((name = g_dir_read_name(d)))
		if (is_config_file(name))
			g_ptr_array_add(names, g_strdup(name));
	g_dir_close(d);
	if (names->len == 0)
		cg_faults_add(f, dir, "has no *.json or *.jsonc file");
	g_ptr_array_sort(names, compare_text);
	return names;
}

static void set_origin(struct folder_load *l)
{
	g_hash_table_replace(l->origin, g_strdup(l->path->str),
			     (void *)l->file);
}

static const char *origin_of(void *arg, const char *path)
{
	const struct folder_load *l = arg;

	return g_hash_table_lookup(l->origin, path);
}

/* Deleting an absent member is a fault: most likely the name is misspelt, and a
 * key that the operator believes to be revoked would stay valid. */
static void delete_member(struct folder_load *l, struct json_object *to,
			  const char *name)
{
	char *place;

	if (json_object_object_get_ex(to, name, NULL)) {
		json_object_object_del(to, name);
		return;
	}
	if (strlen(name) > LOGGED_NAME_MAX)
		name = "(long name)";
	place = g_strdup_printf("%s: %s", l->file, l->path->str);
	cg_faults_add(l->f, place,
		      "%s: null deletes a member that does not exist", name);
	g_free(place);
}

static void merge(struct folder_load *l, struct json_object *to,
		  struct json_object *from);

static void set_member(struct folder_load *l, struct json_object *to,
		       const char *name, struct json_object *v)
{
	struct json_object *old = NULL;

	if (!json_object_is_type(v, json_type_object)) {
		json_object_object_add(to, name, json_object_get(v));
		return;
	}
	json_object_object_get_ex(to, name, &old);
	if (!json_object_is_type(old, json_type_object)) {
		old = json_object_new_object();
		json_object_object_add(to, name, old);
	}
	merge(l, old, v);
}

static void merge(struct folder_load *l, struct json_object *to,
		  struct json_object *from)
{
	json_object_object_foreach(from, name, v) {
		size_t len = l->path->len;

		if (!v) {
			delete_member(l, to, name);
			continue;
		}
		g_string_append_printf(l->path, "%s%s", len ? "/" : "", name);
		set_origin(l);
		set_member(l, to, name, v);
		g_string_truncate(l->path, len);
	}
}

static int check_sections(struct folder_load *l, struct json_object *o)
{
	size_t before = l->f->n;

	json_object_object_foreach(o, name, v) {
		int k = 0;

		while (k < CG_OBJECT_KIND_COUNT &&
		       strcmp(cg_object_kind_name((enum cg_object_kind)k),
			      name) != 0)
			k++;
		if (k == CG_OBJECT_KIND_COUNT)
			cg_faults_add(l->f, l->file,
				      "unknown section; the sections are "
				      "services, routes and accounts");
		else if (!json_object_is_type(v, json_type_object))
			cg_faults_add(l->f, l->file, "%s must be an object",
				      name);
	}
	return l->f->n > before ? -1 : 0;
}

static void merge_file(struct folder_load *l, const char *path)
{
	struct json_object *o;

	if (cg_json_read_file(path, &o, l->f))
		return;
	if (!json_object_is_type(o, json_type_object))
		cg_faults_add(l->f, path, "must be an object");
	else if (!check_sections(l, o))
		merge(l, l->merged, o);
	json_object_put(o);
}

static int build(struct folder_load *l, const char *dir, uint64_t version,
		 struct cg_config **out)
{
	struct cg_builder *b = cg_builder_new(origin_of, l, l->f);
	struct json_object *list;
	size_t n = 0;
	int rc;

	for (int k = 0; k < CG_OBJECT_KIND_COUNT; k++) {
		enum cg_object_kind kind = (enum cg_object_kind)k;

		if (!json_object_object_get_ex(
			    l->merged, cg_object_kind_name(kind), &list))
			continue;
		n += (size_t)json_object_object_length(list);
		json_object_object_foreach(list, name, o)
			cg_builder_add(b, kind, name, o);
	}
	if (n == 0)
		cg_faults_add(l->f, dir, "defines no object");
	rc = cg_builder_finish(b, version, out);
	cg_builder_free(b);
	return rc;
}

int cg_folder_load(const char *dir, uint64_t version, struct cg_config **out,
		   struct cg_faults *f)
{
	size_t before = f->n;
	GPtrArray *names = list_files(dir, f);
	GPtrArray *paths = g_ptr_array_new_with_free_func(g_free);
	struct folder_load l = { .f = f, .path = g_string_new(NULL) };
	int rc = -1;

	l.origin = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	l.merged = json_object_new_object();
	for (guint i = 0; i < names->len; i++) {
		char *path = g_build_filename(dir, names->pdata[i], NULL);

		/* The map of origins refers to the paths. */
		g_ptr_array_add(paths, path);
		l.file = path;
		merge_file(&l, path);
	}
	/* If a file could not be merged, validation would only add misleading
	 * faults, such as dangling references to its objects. */
	if (f->n == before)
		rc = build(&l, dir, version, out);
	json_object_put(l.merged);
	g_hash_table_unref(l.origin);
	g_string_free(l.path, TRUE);
	g_ptr_array_unref(paths);
	g_ptr_array_unref(names);
	return rc;
}
