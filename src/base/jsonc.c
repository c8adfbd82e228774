#include "internal/jsonc.h"

#include <errno.h>
#include <glib.h>
#include <limits.h>
#include <string.h>

#define MAX_DEPTH     32
#define MAX_FILE_SIZE (16 << 20)

void cg_faults_add(struct cg_faults *f, const char *place, const char *fmt, ...)
{
	va_list ap;
	char *msg;

	va_start(ap, fmt);
	msg = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	f->lines = g_renew(char *, f->lines, f->n + 1);
	f->lines[f->n++] = g_strdup_printf("%s: %s", place, msg);
	g_free(msg);
}

void cg_faults_print(const struct cg_faults *f, FILE *out)
{
	for (size_t i = 0; i < f->n; i++)
		fprintf(out, "%s\n", f->lines[i]);
}

void cg_faults_clear(struct cg_faults *f)
{
	for (size_t i = 0; i < f->n; i++)
		g_free(f->lines[i]);
	g_free(f->lines);
	f->lines = NULL;
	f->n = 0;
}

static int line_number(const char *text, size_t pos)
{
	int line = 1;

	for (size_t i = 0; i < pos; i++)
		if (text[i] == '\n')
			line++;
	return line;
}

/* A pass over the text that finds duplicate member names. It keeps one set of
 * names for each open object; arrays have none. */
struct name_scan {
	const char *text;
	size_t len;
	size_t pos;
	GHashTable *names[MAX_DEPTH + 1];
	int depth;
};

static void skip_comment(struct name_scan *s)
{
	const char *end;

	if (s->text[s->pos + 1] == '/') {
		end = memchr(s->text + s->pos, '\n', s->len - s->pos);
		s->pos = end ? (size_t)(end - s->text) : s->len;
		return;
	}
	end = g_strstr_len(s->text + s->pos + 2, (gssize)(s->len - s->pos - 2),
			   "*/");
	s->pos = end ? (size_t)(end - s->text) + 2 : s->len;
}

static char *scan_string(struct name_scan *s)
{
	char quote = s->text[s->pos];
	size_t start = ++s->pos;

	while (s->pos < s->len && s->text[s->pos] != quote) {
		if (s->text[s->pos] == '\\')
			s->pos++;
		s->pos++;
	}
	if (s->pos > s->len)
		s->pos = s->len;
	return g_strndup(s->text + start, s->pos++ - start);
}

static bool colon_follows(const struct name_scan *s)
{
	struct name_scan ahead = *s;

	while (ahead.pos < ahead.len) {
		char c = ahead.text[ahead.pos];

		if (c == '/' && ahead.pos + 1 < ahead.len)
			skip_comment(&ahead);
		else if (g_ascii_isspace(c))
			ahead.pos++;
		else
			return c == ':';
	}
	return false;
}

/* Decodes escapes, since the parser treats "a" and "\u0061" as the same name.
 * Takes ownership of the argument. */
static char *decode_name(char *raw)
{
	char *quoted = g_strdup_printf("\"%s\"", raw);
	struct json_object *o = json_tokener_parse(quoted);
	char *out = raw;

	if (o && json_object_is_type(o, json_type_string)) {
		out = g_strdup(json_object_get_string(o));
		g_free(raw);
	}
	json_object_put(o);
	g_free(quoted);
	return out;
}

static void push_container(struct name_scan *s, bool object)
{
	if (s->depth < MAX_DEPTH)
		s->depth++;
	s->names[s->depth] =
		object ? g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       NULL)
		       : NULL;
}

static void pop_container(struct name_scan *s)
{
	if (s->depth == 0)
		return;
	if (s->names[s->depth])
		g_hash_table_destroy(s->names[s->depth]);
	s->names[s->depth--] = NULL;
}

/* json-c silently keeps the last of two members with one name, which would hide
 * an operator's mistake. The text has already been parsed without error. */
static int reject_duplicate_names(const char *text, size_t len,
				  const char *place, struct cg_faults *f)
{
	struct name_scan s = { .text = text, .len = len };
	int rc = 0;

	while (s.pos < s.len) {
		char c = s.text[s.pos];

		if (c == '/' && s.pos + 1 < s.len) {
			skip_comment(&s);
			continue;
		}
		if (c == '"' || c == '\'') {
			char *name = decode_name(scan_string(&s));

			if (!colon_follows(&s) || !s.names[s.depth]) {
				g_free(name);
			} else if (!g_hash_table_add(s.names[s.depth], name)) {
				cg_faults_add(f, place,
					      "line %d: name appears twice in "
					      "one object",
					      line_number(text, s.pos - 1));
				rc = -1;
			}
			continue;
		}
		if (c == '{' || c == '[')
			push_container(&s, c == '{');
		else if (c == '}' || c == ']')
			pop_container(&s);
		s.pos++;
	}
	while (s.depth > 0)
		pop_container(&s);
	return rc;
}

int cg_json_parse(const char *text, size_t len, const char *place,
		  struct json_object **out, struct cg_faults *f)
{
	struct json_tokener *tok;
	struct json_object *o;
	enum json_tokener_error err;
	size_t end;
	int rc = -1;

	if (len > INT_MAX) {
		cg_faults_add(f, place, "text is too long");
		return -1;
	}
	tok = json_tokener_new_ex(MAX_DEPTH);
	if (!tok)
		return -1;
	o = json_tokener_parse_ex(tok, text, (int)len);
	err = json_tokener_get_error(tok);
	end = json_tokener_get_parse_end(tok);
	if (err == json_tokener_continue) {
		cg_faults_add(f, place, "line %d: document ends too early",
			      line_number(text, len));
		goto out;
	}
	if (err != json_tokener_success) {
		cg_faults_add(f, place, "line %d: %s", line_number(text, end),
			      json_tokener_error_desc(err));
		goto out;
	}
	while (end < len && g_ascii_isspace(text[end]))
		end++;
	if (end < len) {
		cg_faults_add(f, place, "line %d: text after the document",
			      line_number(text, end));
		goto out;
	}
	rc = reject_duplicate_names(text, len, place, f);
out:
	if (rc)
		json_object_put(o);
	else
		*out = o;
	json_tokener_free(tok);
	return rc;
}

/* Depth of the elements of an array that is a member of the document. */
#define ELEMENT_DEPTH 2

/* A pass over a document that copies it element by element. */
struct element_scan {
	bool (*is_readable)(const char *text, size_t len);
	GString *out;
	GString *opened; /* the bracket that opened each level */
	bool in_string, escaped;
	unsigned int dropped;
};

static bool in_element(const struct element_scan *s)
{
	return s->opened->len >= ELEMENT_DEPTH && s->opened->str[0] == '{' &&
	       s->opened->str[1] == '[';
}

/* Closes the last level that @bracket opened, and those within it that were not
 * closed. */
static void close_level(struct element_scan *s, char bracket)
{
	for (gsize i = s->opened->len; i > 0; i--)
		if (s->opened->str[i - 1] == bracket) {
			g_string_truncate(s->opened, i - 1);
			return;
		}
}

static void copy_element(struct element_scan *s, const char *text, size_t len)
{
	while (len && g_ascii_isspace(*text)) {
		text++;
		len--;
	}
	if (!len)
		return;
	if (s->is_readable(text, len)) {
		g_string_append_len(s->out, text, (gssize)len);
	} else {
		g_string_append(s->out, "null");
		s->dropped++;
	}
}

static void scan_byte(struct element_scan *s, char c)
{
	if (s->in_string) {
		s->in_string = s->escaped || c != '"';
		s->escaped = !s->escaped && c == '\\';
	} else if (c == '"') {
		s->in_string = true;
	} else if (c == '{' || c == '[') {
		g_string_append_c(s->opened, c);
	} else if (c == '}') {
		close_level(s, '{');
	} else if (c == ']') {
		close_level(s, '[');
	}
}

char *cg_json_drop_unreadable(const char *text, size_t len,
			      bool (*is_readable)(const char *text, size_t len),
			      size_t *out_len, unsigned int *dropped)
{
	struct element_scan s = { .is_readable = is_readable,
				  .out = g_string_sized_new(len),
				  .opened = g_string_new(NULL) };
	size_t start = 0; /* of the element that is being passed */
	bool was_in_element = false;

	for (size_t i = 0; i < len; i++) {
		bool ends;

		scan_byte(&s, text[i]);
		ends = was_in_element &&
		       (!in_element(&s) || (s.opened->len == ELEMENT_DEPTH &&
					    !s.in_string && text[i] == ','));
		if (ends)
			copy_element(&s, text + start, i - start);
		if (ends || !was_in_element)
			g_string_append_c(s.out, text[i]);
		if (ends || !was_in_element)
			start = i + 1;
		was_in_element = in_element(&s);
	}
	g_string_free(s.opened, TRUE);
	*dropped = s.dropped;
	*out_len = s.out->len;
	return g_string_free(s.out, FALSE);
}

int cg_json_read_file(const char *path, struct json_object **out,
		      struct cg_faults *f)
{
	GError *err = NULL;
	char *text;
	gsize len;
	int rc;

	if (!g_file_get_contents(path, &text, &len, &err)) {
		cg_faults_add(f, path, "%s", err->message);
		g_error_free(err);
		return -1;
	}
	if (len > MAX_FILE_SIZE) {
		cg_faults_add(f, path, "file is larger than 16 MB");
		rc = -1;
	} else {
		rc = cg_json_parse(text, len, path, out, f);
	}
	g_free(text);
	return rc;
}

static int get_member(struct json_object *o, const char *name,
		      const char *place, enum json_type type,
		      struct json_object **out, struct cg_faults *f)
{
	if (!json_object_object_get_ex(o, name, out))
		return 1;
	if (json_object_get_type(*out) != type) {
		cg_faults_add(f, place, "%s must be of type %s", name,
			      json_type_to_name(type));
		return -1;
	}
	return 0;
}

int cg_json_get_string(struct json_object *o, const char *name,
		       const char *place, const char **out, struct cg_faults *f)
{
	struct json_object *v;
	int rc = get_member(o, name, place, json_type_string, &v, f);

	if (!rc)
		*out = json_object_get_string(v);
	return rc;
}

int cg_json_get_int(struct json_object *o, const char *name, const char *place,
		    int64_t lowest, int64_t highest, int64_t *out,
		    struct cg_faults *f)
{
	struct json_object *v;
	int rc = get_member(o, name, place, json_type_int, &v, f);
	int64_t n;

	if (rc)
		return rc;
	n = json_object_get_int64(v);
	if (n < lowest || n > highest) {
		cg_faults_add(f, place, "%s must be from %lld to %lld", name,
			      (long long)lowest, (long long)highest);
		return -1;
	}
	*out = n;
	return 0;
}

int cg_json_get_bool(struct json_object *o, const char *name, const char *place,
		     bool *out, struct cg_faults *f)
{
	struct json_object *v;
	int rc = get_member(o, name, place, json_type_boolean, &v, f);

	if (!rc)
		*out = json_object_get_boolean(v);
	return rc;
}

int cg_json_get_array(struct json_object *o, const char *name,
		      const char *place, struct json_object **out,
		      struct cg_faults *f)
{
	return get_member(o, name, place, json_type_array, out, f);
}

void cg_json_refuse_unknown(struct json_object *o, const char *place,
			    const char *const *known, struct cg_faults *f)
{
	json_object_object_foreach(o, name, value) {
		int i = 0;

		(void)value;
		while (known[i] && strcmp(known[i], name) != 0)
			i++;
		if (!known[i])
			cg_faults_add(f, place, "unknown setting \"%s\"", name);
	}
}
