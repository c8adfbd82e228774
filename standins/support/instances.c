#include "instances.h"

#include <string.h>

#include "http.h"

/* Appends the current state to the history as a new version. */
static void append_version(struct sh_list *l)
{
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array();
	struct sh_list_version *s = g_new0(struct sh_list_version, 1);

	s->created_at = sh_now_ms();
	s->version = l->history->len + 1;
	json_object_object_add(root, "version",
			       json_object_new_uint64(s->version));
	json_object_object_foreach(l->entries, name, entry)
		if (!json_object_object_get_ex(l->missing, name, NULL))
			json_object_array_add(list, json_object_get(entry));
	json_object_object_add(root, "instances", list);
	s->text = g_strdup(json_object_to_json_string(root));
	json_object_put(root);
	g_ptr_array_add(l->history, s);
}

struct sh_list_version *sh_list_read(struct sh_list *l)
{
	int64_t latest = sh_now_ms() - l->lag_ms;
	guint i = l->history->len - 1;

	if (l->stale && g_random_double() < l->stale_share)
		return l->stale;
	while (i > 0 &&
	       ((struct sh_list_version *)l->history->pdata[i])->created_at >
		       latest)
		i--;
	return l->history->pdata[i];
}

static int set_state(struct sh_list *l, const char *name, const char *state,
		     bool restart)
{
	struct json_object *e;
	int64_t started = 0;

	if (!json_object_object_get_ex(l->entries, name, &e))
		return -1;
	sh_get_int(e, "started", &started);
	json_object_object_add(e, "state", json_object_new_string(state));
	if (restart)
		json_object_object_add(e, "started",
				       json_object_new_int64(started + 1));
	return 0;
}

static int add_entry(struct sh_list *l, struct json_object *e)
{
	const char *name = sh_get_string(e, "name");
	struct json_object *copy = NULL;

	if (!name)
		return -1;
	/* The caller frees its tree outside the lock of the list, and json-c
	 * counts references without atomic operations. */
	if (json_object_deep_copy(e, &copy, NULL))
		return -1;
	json_object_object_del(copy, "op");
	if (!json_object_object_get_ex(copy, "state", NULL))
		json_object_object_add(copy, "state",
				       json_object_new_string("live"));
	if (!json_object_object_get_ex(copy, "started", NULL))
		json_object_object_add(copy, "started",
				       json_object_new_int64(1));
	json_object_object_add(l->entries, name, copy);
	return 0;
}

int sh_list_change(struct sh_list *l, struct json_object *in)
{
	const char *op = sh_get_string(in, "op");
	const char *name = sh_get_string(in, "name");
	int rc = -1;

	if (!op || !name)
		return -1;
	if (!strcmp(op, "add")) {
		rc = add_entry(l, in);
	} else if (!strcmp(op, "leave")) {
		rc = set_state(l, name, "leaving", false);
	} else if (!strcmp(op, "restart")) {
		rc = set_state(l, name, "live", true);
	} else if (!strcmp(op, "remove")) {
		json_object_object_del(l->entries, name);
		rc = 0;
	}
	if (!rc)
		append_version(l);
	return rc;
}

static void set_missing(struct sh_list *l, struct json_object *names)
{
	json_object_put(l->missing);
	l->missing = json_object_new_object();
	for (size_t i = 0; i < json_object_array_length(names); i++)
		json_object_object_add(
			l->missing,
			json_object_get_string(
				json_object_array_get_idx(names, i)),
			NULL);
	append_version(l);
}

void sh_list_set_faults(struct sh_list *l, struct json_object *in)
{
	struct json_object *names;

	sh_get_int(in, "list_lag_ms", &l->lag_ms);
	sh_get_double(in, "stale_list", &l->stale_share);
	if (l->stale_share <= 0)
		l->stale = NULL;
	else if (!l->stale)
		l->stale = l->history->pdata[l->history->len - 1];
	if (json_object_object_get_ex(in, "missing", &names))
		set_missing(l, names);
}

static int load_entries(struct sh_list *l, const char *path)
{
	struct json_object *root = json_object_from_file(path), *list;
	int rc = -1;

	if (!root || !json_object_object_get_ex(root, "instances", &list))
		goto out;
	rc = 0;
	for (size_t i = 0; !rc && i < json_object_array_length(list); i++)
		rc = add_entry(l, json_object_array_get_idx(list, i));
out:
	json_object_put(root);
	return rc;
}

int sh_list_init(struct sh_list *l, const char *path)
{
	l->entries = json_object_new_object();
	l->missing = json_object_new_object();
	l->history = g_ptr_array_new();
	if (path && load_entries(l, path))
		return -1;
	append_version(l);
	((struct sh_list_version *)l->history->pdata[0])->created_at = 0;
	return 0;
}
