#include "internal/publish.h"

#include <string.h>
#include <sys/random.h>

/* With an initial delay of 100 ms, as the tool uses, the delays between the
 * tries add up to about 3 s. */
#define MAX_ATTEMPTS 6
/* Number of reads that must all show the new configuration before it counts as
 * already in force, because a single read may be stale. */
#define CONFIRMATION_READS 3

/* One run of cg_publish or cg_published_config_load against the store. */
struct publish_session {
	struct cg_store *store;
	cg_ms retry_ms;
	struct cg_faults *f;
	uint64_t highest_version; /* Of the roots that were read. */
};

/* The root that was read from the store, if it exists. */
struct stored_root {
	bool exists;
	struct cg_root root;
	uint64_t store_version;
};

static void clear_stored_root(struct stored_root *c)
{
	cg_root_clear(&c->root);
	memset(c, 0, sizeof(*c));
}

static void sleep_before_retry(const struct publish_session *s, int try)
{
	if (try > 0)
		cg_sleep(s->retry_ms << (try - 1));
}

static enum cg_store_result read_root_once(struct publish_session *s,
					   struct stored_root *out)
{
	GBytes *body;
	enum cg_store_result rc = cg_store_get(s->store, CG_ROOT_OBJECT, &body,
					       &out->store_version);

	if (rc != CG_STORE_OK)
		return rc;
	if (cg_root_parse(body, &out->root, s->f))
		rc = CG_STORE_REJECTED;
	else
		out->exists = true;
	g_bytes_unref(body);
	return rc;
}

/* Returns whether the result of a read is older than an earlier one of this
 * run. The store may serve stale reads. */
static bool is_stale(const struct publish_session *s, enum cg_store_result rc,
		     const struct stored_root *c)
{
	if (rc == CG_STORE_NOT_FOUND)
		return s->highest_version > 0;
	return rc == CG_STORE_OK && c->root.version < s->highest_version;
}

/* Reads the root, and retries stale and failed reads. Returns CG_STORE_OK, also
 * if there is no root; CG_STORE_REJECTED if it is not valid; or
 * CG_STORE_UNAVAILABLE. */
static enum cg_store_result read_root(struct publish_session *s,
				      struct stored_root *out)
{
	size_t before = s->f->n;

	for (int try = 0; try < MAX_ATTEMPTS; try++) {
		enum cg_store_result rc;

		sleep_before_retry(s, try);
		memset(out, 0, sizeof(*out));
		rc = read_root_once(s, out);
		if (is_stale(s, rc, out)) {
			clear_stored_root(out);
			continue;
		}
		if (rc == CG_STORE_OK)
			s->highest_version = out->root.version;
		if (rc == CG_STORE_OK || rc == CG_STORE_NOT_FOUND)
			return CG_STORE_OK;
		if (s->f->n > before)
			return CG_STORE_REJECTED;
	}
	memset(out, 0, sizeof(*out));
	return CG_STORE_UNAVAILABLE;
}

static bool same_parts(const struct cg_root *a, const struct cg_root *b)
{
	if (a->part_count != b->part_count)
		return false;
	for (size_t i = 0; i < a->part_count; i++)
		if (memcmp(a->parts[i].digest, b->parts[i].digest,
			   CG_DIGEST_SIZE) != 0)
			return false;
	return true;
}

/* Reads the root, and reads it again while it equals the new one: a stale read
 * that happens to be equal would hide that another root is in force. */
static enum cg_store_result read_in_force(struct publish_session *s,
					  const struct cg_root *wanted,
					  struct stored_root *out)
{
	enum cg_store_result rc = read_root(s, out);

	for (int i = 1; i < CONFIRMATION_READS; i++) {
		if (rc != CG_STORE_OK || !out->exists ||
		    !same_parts(&out->root, wanted))
			return rc;
		clear_stored_root(out);
		cg_sleep(s->retry_ms);
		rc = read_root(s, out);
	}
	return rc;
}

static bool has_part(const struct cg_root *r, const struct cg_part_ref *p)
{
	for (size_t i = 0; i < r->part_count; i++)
		if (!memcmp(r->parts[i].digest, p->digest, CG_DIGEST_SIZE))
			return true;
	return false;
}

static int write_part(struct publish_session *s, const struct cg_part_ref *ref,
		      GBytes *content)
{
	char name[CG_PART_NAME_SIZE];
	gsize len;
	const void *data = g_bytes_get_data(content, &len);

	cg_part_name(ref->digest, name);
	for (int try = 0; try < MAX_ATTEMPTS; try++) {
		enum cg_store_result rc;

		sleep_before_retry(s, try);
		rc = cg_store_create(s->store, name, data, len, NULL);
		/* The name is the digest of the content, so an existing object
		 * of this name has the same content. */
		if (rc == CG_STORE_OK || rc == CG_STORE_CONFLICT)
			return 0;
	}
	return -1;
}

static int write_parts(struct publish_session *s, const struct cg_root *old,
		       const struct cg_root *new, GPtrArray *parts,
		       struct cg_publication *out)
{
	out->parts = new->part_count;
	for (size_t i = 0; i < new->part_count; i++) {
		if (has_part(old, &new->parts[i]))
			continue;
		if (write_part(s, &new->parts[i], parts->pdata[i]))
			return -1;
		out->parts_written++;
	}
	return 0;
}

static int make_write_id(char out[CG_WRITE_ID_SIZE])
{
	uint8_t id[(CG_WRITE_ID_SIZE - 1) / 2];

	if (getrandom(id, sizeof(id), 0) != (ssize_t)sizeof(id))
		return -1;
	for (size_t i = 0; i < sizeof(id); i++)
		g_snprintf(out + 2 * i, 3, "%02x", id[i]);
	return 0;
}

/* Sets the version and the earlier write ids of the successor of a root. */
static void set_version_and_history(struct cg_root *new,
				    const struct cg_root *old)
{
	new->version = old->version + 1;
	if (!old->version)
		return;
	g_strlcpy(new->earlier[0], old->write_id, CG_WRITE_ID_SIZE);
	memcpy(new->earlier[1], old->earlier[0],
	       sizeof(new->earlier) - sizeof(new->earlier[0]));
}

static bool contains_write_id(const struct cg_root *r, const char *write_id)
{
	if (!strcmp(r->write_id, write_id))
		return true;
	for (size_t i = 0; i < CG_ROOT_EARLIER_IDS; i++)
		if (!strcmp(r->earlier[i], write_id))
			return true;
	return false;
}

/* The conditional write of the root. */
struct root_write {
	struct publish_session *s;
	const struct cg_root *root;
	GBytes *text;
	bool exists; /* The root to be replaced exists. */
	uint64_t expected; /* Its version in the store. */
	bool outcome_unknown; /* An earlier call may have taken effect. */
};

static enum cg_store_result write_root_once(struct root_write *w)
{
	gsize len;
	const void *data = g_bytes_get_data(w->text, &len);

	if (w->exists)
		return cg_store_update(w->s->store, CG_ROOT_OBJECT, w->expected,
				       data, len, NULL);
	return cg_store_create(w->s->store, CG_ROOT_OBJECT, data, len, NULL);
}

/*
 * Reads the root after a write with an unknown outcome, or after a conflict, to
 * determine the result. Returns true and the result; or false if it is still
 * open, because the read failed or shows the version that was to be replaced,
 * which may be a stale read.
 */
static bool check_outcome(struct root_write *w, struct cg_publication *out,
			  enum cg_publish_result *result)
{
	struct stored_root c;
	bool decided = false;

	if (read_root(w->s, &c) != CG_STORE_OK)
		return false;
	if (c.exists && (!w->exists || c.store_version != w->expected)) {
		decided = true;
		out->in_force = c.root.version;
		if (contains_write_id(&c.root, w->root->write_id))
			*result = CG_PUBLISH_WRITTEN;
		else if (w->outcome_unknown &&
			 c.root.version >
				 w->root->version + CG_ROOT_EARLIER_IDS)
			*result = CG_PUBLISH_UNKNOWN;
		else
			*result = CG_PUBLISH_LOST_RACE;
	}
	clear_stored_root(&c);
	return decided;
}

/* Every try writes the same bytes on the same condition, so that a retried call
 * takes effect at most once. */
static enum cg_publish_result write_root(struct root_write *w,
					 struct cg_publication *out)
{
	enum cg_publish_result result;
	bool conflict = false;

	for (int try = 0; try < MAX_ATTEMPTS; try++) {
		enum cg_store_result rc;

		sleep_before_retry(w->s, try);
		rc = write_root_once(w);
		if (rc == CG_STORE_OK) {
			out->in_force = w->root->version;
			return CG_PUBLISH_WRITTEN;
		}
		w->outcome_unknown |= rc == CG_STORE_UNKNOWN;
		conflict |= rc == CG_STORE_CONFLICT;
		if (rc != CG_STORE_UNKNOWN && rc != CG_STORE_CONFLICT)
			continue;
		if (check_outcome(w, out, &result))
			return result;
	}
	/* The root that was read first may have been replaced. */
	if (w->outcome_unknown || conflict)
		out->in_force = 0;
	if (w->outcome_unknown)
		return CG_PUBLISH_UNKNOWN;
	return conflict ? CG_PUBLISH_LOST_RACE : CG_PUBLISH_UNAVAILABLE;
}

/* Publishes @p new as the successor of @p old, unless both have the same parts.
 * The root is written after its parts, so that readers find every part that it
 * names. Its write id shows later whether a write without a response took
 * effect. */
static enum cg_publish_result
publish_after(struct publish_session *s, const struct stored_root *old,
	      struct cg_root *new, GPtrArray *parts, struct cg_publication *out)
{
	struct root_write w = { .s = s,
				.root = new,
				.exists = old->exists,
				.expected = old->store_version };
	enum cg_publish_result result;

	out->version = old->root.version;
	out->in_force = old->root.version;
	if (old->exists && same_parts(&old->root, new)) {
		g_strlcpy(out->write_id, old->root.write_id, CG_WRITE_ID_SIZE);
		return CG_PUBLISH_UNCHANGED;
	}
	if (make_write_id(new->write_id)) {
		cg_faults_add(s->f, CG_ROOT_OBJECT,
			      "cannot get random bytes for a write id");
		return CG_PUBLISH_INVALID;
	}
	if (write_parts(s, &old->root, new, parts, out))
		return CG_PUBLISH_UNAVAILABLE;
	set_version_and_history(new, &old->root);
	out->version = new->version;
	g_strlcpy(out->write_id, new->write_id, CG_WRITE_ID_SIZE);
	w.text = cg_root_encode(new);
	result = write_root(&w, out);
	g_bytes_unref(w.text);
	return result;
}

/* Checks that a reader will accept what is about to be written. */
static int check_readable(const struct cg_root *root, GPtrArray *parts,
			  struct cg_faults *f)
{
	struct cg_config *c;

	if (cg_config_build(root, (GBytes *const *)parts->pdata, &c, f))
		return -1;
	cg_config_unref(c);
	return 0;
}

enum cg_publish_result cg_publish(struct cg_store *store,
				  const struct cg_config *c, cg_ms retry_ms,
				  struct cg_publication *out,
				  struct cg_faults *f)
{
	struct publish_session s = { .store = store,
				     .retry_ms = retry_ms,
				     .f = f };
	enum cg_publish_result result = CG_PUBLISH_INVALID;
	struct stored_root old = { 0 };
	struct cg_root new = { 0 };
	GPtrArray *parts = NULL;

	memset(out, 0, sizeof(*out));
	if (cg_parts_encode(c, &new, &parts, f) ||
	    check_readable(&new, parts, f))
		goto out;
	switch (read_in_force(&s, &new, &old)) {
	case CG_STORE_OK:
		result = publish_after(&s, &old, &new, parts, out);
		break;
	case CG_STORE_REJECTED:
		result = CG_PUBLISH_INVALID;
		break;
	default:
		result = CG_PUBLISH_UNAVAILABLE;
		break;
	}
out:
	clear_stored_root(&old);
	cg_root_clear(&new);
	if (parts)
		g_ptr_array_unref(parts);
	return result;
}

static void unref_bytes(void *p)
{
	g_bytes_unref(p);
}

static enum cg_store_result read_part(struct publish_session *s,
				      const struct cg_part_ref *ref,
				      GBytes **out)
{
	enum cg_store_result rc = CG_STORE_UNAVAILABLE;
	char name[CG_PART_NAME_SIZE];
	uint64_t version;

	cg_part_name(ref->digest, name);
	for (int try = 0; try < MAX_ATTEMPTS && rc != CG_STORE_OK; try++) {
		sleep_before_retry(s, try);
		rc = cg_store_get(s->store, name, out, &version);
	}
	return rc;
}

static enum cg_store_result read_config(struct publish_session *s,
					const struct cg_root *root,
					struct cg_config **out)
{
	GPtrArray *parts = g_ptr_array_new_with_free_func(unref_bytes);
	enum cg_store_result rc = CG_STORE_OK;

	for (size_t i = 0; i < root->part_count && rc == CG_STORE_OK; i++) {
		GBytes *content;

		rc = read_part(s, &root->parts[i], &content);
		if (rc == CG_STORE_OK)
			g_ptr_array_add(parts, content);
	}
	if (rc == CG_STORE_OK &&
	    cg_config_build(root, (GBytes *const *)parts->pdata, out, s->f))
		rc = CG_STORE_REJECTED;
	else if (rc != CG_STORE_OK)
		rc = CG_STORE_UNAVAILABLE;
	g_ptr_array_unref(parts);
	return rc;
}

enum cg_store_result cg_published_config_load(struct cg_store *store,
					      cg_ms retry_ms,
					      struct cg_config **out,
					      struct cg_faults *f)
{
	struct publish_session s = { .store = store,
				     .retry_ms = retry_ms,
				     .f = f };
	struct stored_root c;
	enum cg_store_result rc = read_root(&s, &c);

	if (rc == CG_STORE_OK)
		rc = c.exists ? read_config(&s, &c.root, out)
			      : CG_STORE_NOT_FOUND;
	clear_stored_root(&c);
	return rc;
}
