#include <stdio.h>
#include <string.h>

#include "ctl.h"

#define JSON_FLAGS (JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)

/* Returns a copy of @p text with valid UTF-8 and without control characters.
 * Answers come from other machines, and must not control the terminal. */
static char *copy_printable(const char *text)
{
	char *copy = g_utf8_make_valid(text, -1);

	for (char *p = copy; *p; p++)
		if ((unsigned char)*p < 0x20 || *p == 0x7f)
			*p = '?';
	return copy;
}

static size_t column_width(GPtrArray *rows, size_t columns, size_t column)
{
	size_t width = 0;

	for (guint i = 0; i < rows->len; i++) {
		const char *const *row = rows->pdata[i];
		size_t n = (size_t)g_utf8_strlen(row[column], -1);

		width = MAX(width, n);
	}
	/* The last column is not padded. */
	return column + 1 < columns ? width : 0;
}

void ctl_print_table(GPtrArray *rows, size_t columns)
{
	size_t *widths = g_new0(size_t, columns);

	for (size_t k = 0; k < columns; k++)
		widths[k] = column_width(rows, columns, k);
	for (guint i = 0; i < rows->len; i++) {
		const char *const *row = rows->pdata[i];

		for (size_t k = 0; k < columns; k++) {
			char *cell = copy_printable(row[k]);

			printf("%s%-*s", k ? "  " : "", (int)widths[k], cell);
			g_free(cell);
		}
		printf("\n");
	}
	g_free(widths);
}

char *ctl_member_text(struct json_object *o, const char *name)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, name, &v) || !v)
		return g_strdup("-");
	if (json_object_is_type(v, json_type_string))
		return g_strdup(json_object_get_string(v));
	return g_strdup(json_object_to_json_string_ext(v, JSON_FLAGS));
}

int64_t ctl_member_int(struct json_object *o, const char *name,
		       int64_t fallback)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, name, &v) ||
	    !json_object_is_type(v, json_type_int))
		return fallback;
	return json_object_get_int64(v);
}

const char *ctl_member_string(struct json_object *o, const char *name)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, name, &v) ||
	    !json_object_is_type(v, json_type_string))
		return "";
	return json_object_get_string(v);
}

/* Lists the member names of all objects, in the order of first occurrence. */
static GPtrArray *collect_member_names(struct json_object *array)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < json_object_array_length(array); i++) {
		struct json_object *o = json_object_array_get_idx(array, i);

		if (!json_object_is_type(o, json_type_object))
			continue;
		json_object_object_foreach(o, name, v) {
			(void)v;
			if (g_hash_table_add(seen, name))
				g_ptr_array_add(names, name);
		}
	}
	g_hash_table_unref(seen);
	return names;
}

void ctl_print_objects(struct json_object *array)
{
	GPtrArray *names = collect_member_names(array);
	GPtrArray *rows =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_strfreev);
	char **header = g_new0(char *, names->len + 1);

	for (guint k = 0; k < names->len; k++)
		header[k] = g_ascii_strup(names->pdata[k], -1);
	g_ptr_array_add(rows, header);
	for (size_t i = 0; i < json_object_array_length(array); i++) {
		struct json_object *o = json_object_array_get_idx(array, i);
		char **row = g_new0(char *, names->len + 1);

		for (guint k = 0; k < names->len; k++)
			row[k] = ctl_member_text(o, names->pdata[k]);
		g_ptr_array_add(rows, row);
	}
	ctl_print_table(rows, names->len);
	g_ptr_array_unref(rows);
	g_ptr_array_unref(names);
}

void ctl_print_json(struct json_object *o)
{
	printf("%s\n", json_object_to_json_string_ext(o, JSON_FLAGS));
	json_object_put(o);
}
