#include "internal/instances.h"

#include <string.h>

#include "internal/settings.h"

#define PLACE "instances"

static int copy_name(struct json_object *o, const char *member, char *out,
		     struct cg_faults *f)
{
	const char *text;
	int rc = cg_json_get_string(o, member, PLACE, &text, f);

	if (rc > 0)
		cg_faults_add(f, PLACE, "an entry has no %s", member);
	if (rc)
		return -1;
	if (!*text || strlen(text) > CG_NAME_MAX) {
		cg_faults_add(f, PLACE, "%s must have 1 to %d bytes", member,
			      CG_NAME_MAX);
		return -1;
	}
	g_strlcpy(out, text, CG_NAME_MAX + 1);
	return 0;
}

/* Reads a string member; @p no sets @p out to false, @p yes to true, and any
 * other value is a fault. */
static int read_choice(struct json_object *o, const char *member,
		       const char *no, const char *yes, bool *out,
		       struct cg_faults *f)
{
	const char *text;
	int rc = cg_json_get_string(o, member, PLACE, &text, f);

	if (!rc && !strcmp(text, no)) {
		*out = false;
		return 0;
	}
	if (!rc && !strcmp(text, yes)) {
		*out = true;
		return 0;
	}
	cg_faults_add(f, PLACE, "%s must be \"%s\" or \"%s\"", member, no, yes);
	return -1;
}

static int read_entry(struct json_object *o, struct cg_instance_entry *out,
		      struct cg_faults *f)
{
	const char *addr;

	if (!json_object_is_type(o, json_type_object)) {
		cg_faults_add(f, PLACE, "an entry is not an object");
		return -1;
	}
	if (copy_name(o, "name", out->name, f) ||
	    copy_name(o, "failure_domain", out->failure_domain, f) ||
	    copy_name(o, "region", out->region, f) ||
	    read_choice(o, "role", "entry", "server", &out->server, f) ||
	    read_choice(o, "state", "live", "leaving", &out->leaving, f))
		return -1;
	if (cg_json_get_int(o, "started", PLACE, 0, INT64_MAX, &out->started,
			    f) < 0)
		return -1;
	if (out->server)
		return 0;
	if (cg_json_get_string(o, "address", PLACE, &addr, f) ||
	    cg_parse_address(addr, &out->addr)) {
		cg_faults_add(f, PLACE, "%s has no valid address", out->name);
		return -1;
	}
	return 0;
}

/* Skips entries that cannot be read: another program may have written one, and
 * the others hold. Their faults are kept. */
static void read_entries(struct json_object *a, struct cg_instance_list *out,
			 struct cg_faults *f)
{
	size_t n = json_object_array_length(a);

	out->items = g_new0(struct cg_instance_entry, n + 1);
	for (size_t i = 0; i < n; i++) {
		struct cg_instance_entry *e = &out->items[out->n];

		if (read_entry(json_object_array_get_idx(a, i), e, f))
			memset(e, 0, sizeof(*e));
		else
			out->n++;
	}
}

static bool is_readable(const char *text, size_t len)
{
	struct cg_faults unused = { 0 };
	struct json_object *o = NULL;
	int rc = cg_json_parse(text, len, PLACE, &o, &unused);

	cg_faults_clear(&unused);
	json_object_put(o);
	return rc == 0;
}

/* Parses the document without the entries that cannot be parsed. */
static int parse(GBytes *content, struct json_object **out, struct cg_faults *f)
{
	struct cg_faults first = { 0 };
	size_t len, readable_len;
	const char *text = g_bytes_get_data(content, &len);
	unsigned int dropped;
	char *readable;
	int rc;

	rc = cg_json_parse(text, len, PLACE, out, &first);
	cg_faults_clear(&first);
	if (!rc)
		return 0;
	readable = cg_json_drop_unreadable(text, len, is_readable,
					   &readable_len, &dropped);
	rc = cg_json_parse(readable, readable_len, PLACE, out, f);
	g_free(readable);
	return rc;
}

int cg_instance_list_parse(GBytes *text, struct cg_instance_list *out,
			   struct cg_faults *f)
{
	struct json_object *o = NULL;
	struct json_object *a;
	int64_t version;
	int rc = -1;

	memset(out, 0, sizeof(*out));
	if (parse(text, &o, f))
		return -1;
	if (!json_object_is_type(o, json_type_object) ||
	    cg_json_get_int(o, "version", PLACE, 1, INT64_MAX, &version, f) ||
	    cg_json_get_array(o, "instances", PLACE, &a, f)) {
		cg_faults_add(f, PLACE, "version or instances missing");
		goto out;
	}
	out->version = (uint64_t)version;
	read_entries(a, out, f);
	rc = 0;
out:
	json_object_put(o);
	return rc;
}

void cg_instance_list_clear(struct cg_instance_list *l)
{
	g_free(l->items);
	memset(l, 0, sizeof(*l));
}
