#include "internal/publish.h"

#include <string.h>
#include <sys/random.h>

/* With the tool's first delay of 100 ms, calls are repeated for about 6 s. */
#define TRIES 6
/* Reads that must agree before a folder counts as equal to what is in force; a
 * single read may be stale. */
#define CONFIRMING_READS 3

/* One run of the tool against the store. */
struct session {
	struct cg_store *store;
	cg_ms retry_ms;
	struct cg_faults *f;
	uint64_t seen; /* Highest version of the root that was read. */
};

/* A root that was read, or none. */
struct current {
	bool exists;
	struct cg_root root;
	uint64_t store_version;
};

static void clear_current(struct current *c)
{
	cg_root_clear(&c->root);
	memset(c, 0, sizeof(*c));
}

static void pause_before(const struct session *s, int try)
{
	if (try > 0)
		cg_sleep(s->retry_ms << (try - 1));
}

static enum cg_store_result read_root_once(struct session *s,
					   struct current *out)
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

/* Whether an answer of the store is older than one seen before in this run. */
static bool is_stale(const struct session *s, enum cg_store_result rc,
		     const struct current *c)
{
	if (rc == CG_STORE_NOT_FOUND)
		return s->seen > 0;
	return rc == CG_STORE_OK && c->root.version < s->seen;
}

/* Reads the root; stale and failed reads are repeated. Returns OK, also if
 * there is no root, REJECTED for one that is not valid, or UNAVAILABLE. */
static enum cg_store_result read_root(struct session *s, struct current *out)
{
	size_t before = s->f->n;

	for (int try = 0; try < TRIES; try++) {
		enum cg_store_result rc;

		pause_before(s, try);
		memset(out, 0, sizeof(*out));
		rc = read_root_once(s, out);
		if (is_stale(s, rc, out)) {
			clear_current(out);
			continue;
		}
		if (rc == CG_STORE_OK)
			s->seen = out->root.version;
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

/* Reads the root, and again if it equals the new one, since an older read
 * that happens to be equal would hide that another configuration is in force.
 */
static enum cg_store_result read_in_force(struct session *s,
					  const struct cg_root *wanted,
					  struct current *out)
{
	enum cg_store_result rc = read_root(s, out);

	for (int i = 1; i < CONFIRMING_READS; i++) {
		if (rc != CG_STORE_OK || !out->exists ||
		    !same_parts(&out->root, wanted))
			return rc;
		clear_current(out);
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

static int write_part(struct session *s, const struct cg_part_ref *ref,
		      GBytes *content)
{
	char name[CG_PART_NAME_SIZE];
	gsize len;
	const void *data = g_bytes_get_data(content, &len);

	cg_part_name(ref->digest, name);
	for (int try = 0; try < TRIES; try++) {
		enum cg_store_result rc;

		pause_before(s, try);
		rc = cg_store_create(s->store, name, data, len, NULL);
		/* The name is the digest, so an object that exists has this
		 * content. */
		if (rc == CG_STORE_OK || rc == CG_STORE_CONFLICT)
			return 0;
	}
	return -1;
}

static int write_parts(struct session *s, const struct cg_root *old,
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

/* Continues the history of write ids. */
static void follow(struct cg_root *new, const struct cg_root *old)
{
	new->version = old->version + 1;
	if (!old->version)
		return;
	g_strlcpy(new->earlier[0], old->write_id, CG_WRITE_ID_SIZE);
	memcpy(new->earlier[1], old->earlier[0],
	       sizeof(new->earlier) - sizeof(new->earlier[0]));
}

static bool knows_write(const struct cg_root *r, const char *write_id)
{
	if (!strcmp(r->write_id, write_id))
		return true;
	for (size_t i = 0; i < CG_ROOT_EARLIER_IDS; i++)
		if (!strcmp(r->earlier[i], write_id))
			return true;
	return false;
}

/* State of the conditional write of the root. */
struct attempt {
	struct session *s;
	const struct cg_root *root;
	GBytes *text;
	bool exists;
	uint64_t expected;
	bool unknown; /* Some call may have taken effect. */
};

static enum cg_store_result write_root_once(struct attempt *a)
{
	gsize len;
	const void *data = g_bytes_get_data(a->text, &len);

	if (a->exists)
		return cg_store_update(a->s->store, CG_ROOT_OBJECT, a->expected,
				       data, len, NULL);
	return cg_store_create(a->s->store, CG_ROOT_OBJECT, data, len, NULL);
}

/*
 * Judges what is stored after a call whose effect is not known, or after a
 * conflict. Returns true with the result if that is settled; false if the root
 * still has the expected version, or an old read says so.
 */
static bool settle(struct attempt *a, struct cg_publication *out,
		   enum cg_publish_result *result)
{
	struct current c;
	bool settled = false;

	if (read_root(a->s, &c) != CG_STORE_OK)
		return false;
	if (c.exists && (!a->exists || c.store_version != a->expected)) {
		settled = true;
		out->in_force = c.root.version;
		if (knows_write(&c.root, a->root->write_id))
			*result = CG_PUBLISH_WRITTEN;
		else if (a->unknown &&
			 c.root.version >
				 a->root->version + CG_ROOT_EARLIER_IDS)
			*result = CG_PUBLISH_UNKNOWN;
		else
			*result = CG_PUBLISH_LOST_RACE;
	}
	clear_current(&c);
	return settled;
}

/* The same bytes are written on the same condition each time, so that a repeated
 * call takes effect at most once. */
static enum cg_publish_result write_root(struct attempt *a,
					 struct cg_publication *out)
{
	enum cg_publish_result result;
	bool conflict = false;

	for (int try = 0; try < TRIES; try++) {
		enum cg_store_result rc;

		pause_before(a->s, try);
		rc = write_root_once(a);
		if (rc == CG_STORE_OK) {
			out->in_force = a->root->version;
			return CG_PUBLISH_WRITTEN;
		}
		a->unknown |= rc == CG_STORE_UNKNOWN;
		conflict |= rc == CG_STORE_CONFLICT;
		if (rc != CG_STORE_UNKNOWN && rc != CG_STORE_CONFLICT)
			continue;
		if (settle(a, out, &result))
			return result;
	}
	/* What was read at first is not in force, or may not be. */
	if (a->unknown || conflict)
		out->in_force = 0;
	if (a->unknown)
		return CG_PUBLISH_UNKNOWN;
	return conflict ? CG_PUBLISH_LOST_RACE : CG_PUBLISH_UNAVAILABLE;
}

static enum cg_publish_result
publish_over(struct session *s, const struct current *old, struct cg_root *new,
	     GPtrArray *parts, struct cg_publication *out)
{
	struct attempt a = { .s = s,
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
		cg_faults_add(s->f, CG_ROOT_OBJECT, "no random bytes");
		return CG_PUBLISH_INVALID;
	}
	if (write_parts(s, &old->root, new, parts, out))
		return CG_PUBLISH_UNAVAILABLE;
	follow(new, &old->root);
	out->version = new->version;
	g_strlcpy(out->write_id, new->write_id, CG_WRITE_ID_SIZE);
	a.text = cg_root_encode(new);
	result = write_root(&a, out);
	g_bytes_unref(a.text);
	return result;
}

/* A reader must accept what is about to be written. */
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
	struct session s = { .store = store, .retry_ms = retry_ms, .f = f };
	enum cg_publish_result result = CG_PUBLISH_INVALID;
	struct current old = { 0 };
	struct cg_root new = { 0 };
	GPtrArray *parts = NULL;

	memset(out, 0, sizeof(*out));
	if (cg_parts_encode(c, &new, &parts, f) ||
	    check_readable(&new, parts, f))
		goto out;
	switch (read_in_force(&s, &new, &old)) {
	case CG_STORE_OK:
		result = publish_over(&s, &old, &new, parts, out);
		break;
	case CG_STORE_REJECTED:
		result = CG_PUBLISH_INVALID;
		break;
	default:
		result = CG_PUBLISH_UNAVAILABLE;
		break;
	}
out:
	clear_current(&old);
	cg_root_clear(&new);
	if (parts)
		g_ptr_array_unref(parts);
	return result;
}

static void unref_bytes(void *p)
{
	g_bytes_unref(p);
}

static enum cg_store_result
read_part(struct session *s, const struct cg_part_ref *ref, GBytes **out)
{
	enum cg_store_result rc = CG_STORE_UNAVAILABLE;
	char name[CG_PART_NAME_SIZE];
	uint64_t version;

	cg_part_name(ref->digest, name);
	for (int try = 0; try < TRIES && rc != CG_STORE_OK; try++) {
		pause_before(s, try);
		rc = cg_store_get(s->store, name, out, &version);
	}
	return rc;
}

static enum cg_store_result read_config(struct session *s,
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
	struct session s = { .store = store, .retry_ms = retry_ms, .f = f };
	struct current c;
	enum cg_store_result rc = read_root(&s, &c);

	if (rc == CG_STORE_OK)
		rc = c.exists ? read_config(&s, &c.root, out)
			      : CG_STORE_NOT_FOUND;
	clear_current(&c);
	return rc;
}
