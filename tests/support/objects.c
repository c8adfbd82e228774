#include "objects.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "internal/objects.h"

struct cg_config *config_from_text(const char *text, uint64_t version,
				   struct cg_faults *f)
{
	struct cg_builder *b = cg_builder_new(NULL, NULL, f);
	struct cg_config *c = NULL;
	struct json_object *o;
	struct json_object *list;

	assert_int_equal(cg_json_parse(text, strlen(text), "t", &o, f), 0);
	for (int k = 0; k < CG_OBJECT_KIND_COUNT; k++) {
		enum cg_object_kind kind = (enum cg_object_kind)k;

		if (!json_object_object_get_ex(o, cg_object_kind_name(kind),
					       &list))
			continue;
		json_object_object_foreach(list, name, v)
			cg_builder_add(b, kind, name, v);
	}
	json_object_put(o);
	if (cg_builder_finish(b, version, &c))
		c = NULL;
	cg_builder_free(b);
	return c;
}

bool has_fault(const struct cg_faults *f, const char *text)
{
	for (size_t i = 0; i < f->n; i++)
		if (strstr(f->lines[i], text))
			return true;
	cg_faults_print(f, stderr);
	return false;
}

void assert_no_faults(const struct cg_faults *f)
{
	cg_faults_print(f, stderr);
	assert_int_equal(f->n, 0);
}

void write_file(const char *dir, const char *name, const char *text)
{
	char *path = g_build_filename(dir, name, NULL);

	assert_true(g_file_set_contents(path, text, -1, NULL));
	g_free(path);
}

void remove_folder(const char *dir)
{
	GDir *d = g_dir_open(dir, 0, NULL);
	const char *name;

	assert_non_null(d);
	while ((name = g_dir_read_name(d))) {
		char *path = g_build_filename(dir, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	g_dir_close(d);
	g_rmdir(dir);
}
