#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#include "ctl.h"
#include "internal/names.h"
#include "internal/settings.h"
#include "status_wire.h"

/* Limit of concurrent calls. A fleet of 470 daemons takes about 15 rounds of
 * calls, and a daemon that does not answer occupies only one call until the
 * timeout. */
#define MAX_PARALLEL_CALLS 32
/* In a fleet of 470 daemons, the target scale, an answer has at most a few
 * hundred kilobytes. */
#define MAX_ANSWER_BYTES (8 << 20)
/* A daemon generates its answer again for each page, so the pages of one query
 * can come from different states and not form a valid document. */
#define MAX_QUERY_ATTEMPTS 3

const char *ctl_daemon_label(const struct ctl_daemon *d)
{
	return d->name[0] ? d->name : d->address;
}

struct cg_store *ctl_open_store(const struct ctl_options *o)
{
	static const char scheme[] = "http://";
	struct sockaddr_in ignored;

	if (!o->store_url) {
		fprintf(stderr, "celerygladectl: --store is missing\n");
		return NULL;
	}
	if (!g_str_has_prefix(o->store_url, scheme) ||
	    cg_parse_address(o->store_url + strlen(scheme), &ignored)) {
		fprintf(stderr, "celerygladectl: --store must be "
				"http://IP:PORT\n");
		return NULL;
	}
	return cg_store_new(o->store_url, CTL_STORE_TIMEOUT_S);
}

static int add_daemon(struct ctl_fleet *f, const char *name,
		      const char *address)
{
	struct ctl_daemon d = { 0 };

	if (cg_parse_address(address, &d.addr))
		return -1;
	if (cg_name_valid(name))
		g_strlcpy(d.name, name, sizeof(d.name));
	cg_format_address(&d.addr, d.address, sizeof(d.address));
	g_array_append_val(f->daemons, d);
	return 0;
}

static enum ctl_exit add_listed_peers(struct ctl_fleet *f, const char *list)
{
	char **words = g_strsplit(list, ",", 0);
	enum ctl_exit rc = CTL_OK;

	for (int i = 0; words[i]; i++)
		if (add_daemon(f, "", g_strstrip(words[i])))
			rc = CTL_ERROR;
	g_strfreev(words);
	if (rc != CTL_OK)
		fprintf(stderr, "celerygladectl: --peers must be a list of "
				"IP:PORT, separated by commas\n");
	return rc;
}

static void add_daemon_instance(struct ctl_fleet *f, struct json_object *o)
{
	const char *state = ctl_member_string(o, "state");

	if (strcmp(ctl_member_string(o, "role"), "entry") != 0)
		return;
	if (!strcmp(state, "live") ||
	    (f->include_leaving && !strcmp(state, "leaving")))
		add_daemon(f, ctl_member_string(o, "name"),
			   ctl_member_string(o, "address"));
}

static enum ctl_exit parse_instances(struct ctl_fleet *f, GBytes *body)
{
	struct cg_faults faults = { 0 };
	struct json_object *o;
	struct json_object *list;
	gsize len;
	const char *text = g_bytes_get_data(body, &len);
	enum ctl_exit rc = CTL_OK;

	if (cg_json_parse(text ? text : "", len, "instances", &o, &faults)) {
		cg_faults_print(&faults, stderr);
		cg_faults_clear(&faults);
		return CTL_STORE_UNAVAILABLE;
	}
	if (json_object_is_type(o, json_type_object) &&
	    json_object_object_get_ex(o, "instances", &list) &&
	    json_object_is_type(list, json_type_array)) {
		for (size_t i = 0; i < json_object_array_length(list); i++)
			add_daemon_instance(f,
					    json_object_array_get_idx(list, i));
	} else {
		fprintf(stderr,
			"celerygladectl: the store's list of instances is not "
			"an object with an \"instances\" array; use --peers\n");
		rc = CTL_STORE_UNAVAILABLE;
	}
	json_object_put(o);
	return rc;
}

static enum ctl_exit add_listed_instances(struct ctl_fleet *f,
					  const struct ctl_options *o)
{
	struct cg_store *store = ctl_open_store(o);
	enum cg_store_result sr;
	enum ctl_exit rc;
	GBytes *body;

	if (!store)
		return CTL_ERROR;
	sr = cg_store_instances(store, &body);
	if (sr == CG_STORE_OK) {
		rc = parse_instances(f, body);
		g_bytes_unref(body);
	} else {
		fprintf(stderr,
			"celerygladectl: cannot read the list of "
			"instances from the store (%s); use --peers\n",
			cg_store_result_name(sr));
		rc = CTL_STORE_UNAVAILABLE;
	}
	cg_store_free(store);
	return rc;
}

static enum ctl_exit find_daemons(struct ctl_fleet *f,
				  const struct ctl_options *o)
{
	enum ctl_exit rc = o->peers ? add_listed_peers(f, o->peers)
				    : add_listed_instances(f, o);

	if (rc == CTL_OK && f->daemons->len == 0) {
		fprintf(stderr,
			"celerygladectl: no daemons found; check --peers or "
			"the store's list of instances\n");
		return CTL_INCOMPLETE;
	}
	return rc;
}

static int open_peer(struct ctl_fleet *f, const struct ctl_options *o)
{
	struct cg_faults faults = { 0 };
	uint64_t incarnation;
	GBytes *secret;

	if (!o->secret_file) {
		fprintf(stderr, "celerygladectl: --secret-file is missing\n");
		return -1;
	}
	if (cg_secret_load(o->secret_file, &secret, &faults)) {
		cg_faults_print(&faults, stderr);
		cg_faults_clear(&faults);
		return -1;
	}
	/* Each run uses a new random incarnation. The sequence numbers of every
	 * run start at 1, so a reply to an earlier run would otherwise have a
	 * MAC that is valid for a call of this one. */
	if (getrandom(&incarnation, sizeof(incarnation), 0) ==
	    (ssize_t)sizeof(incarnation))
		f->peer = cg_peer_new("celerygladectl", incarnation >> 1,
				      secret, NULL);
	g_bytes_unref(secret);
	return f->peer ? 0 : -1;
}

enum ctl_exit ctl_fleet_open(const struct ctl_options *o, bool include_leaving,
			     struct ctl_fleet *f)
{
	enum ctl_exit rc;

	memset(f, 0, sizeof(*f));
	f->include_leaving = include_leaving;
	f->timeout_ms = o->timeout_ms;
	f->daemons = g_array_new(FALSE, TRUE, sizeof(struct ctl_daemon));
	rc = open_peer(f, o) ? CTL_ERROR : find_daemons(f, o);
	if (rc != CTL_OK)
		ctl_fleet_close(f);
	return rc;
}

void ctl_fleet_close(struct ctl_fleet *f)
{
	cg_peer_free(f->peer);
	g_array_unref(f->daemons);
	memset(f, 0, sizeof(*f));
}

static struct ctl_daemon *daemon_at(struct ctl_fleet *f, size_t i)
{
	return &g_array_index(f->daemons, struct ctl_daemon, i);
}

/* Fetches the page of an answer at offset text->len and appends it to @p text.
 * Returns the size of the whole answer in bytes, or -1 on failure, also if the
 * page is empty or the answer exceeds MAX_ANSWER_BYTES. */
static int64_t fetch_page(struct ctl_fleet *f, const struct ctl_daemon *d,
			  const char *topic, const char *object,
			  GByteArray *text)
{
	cg_x_status_request q = { .what = (char *)topic,
				  .name = (char *)object,
				  .offset = text->len };
	GByteArray *body = g_byte_array_new();
	GByteArray *reply = g_byte_array_new();
	cg_x_status_reply a;
	int64_t total = -1;

	if (cg_xdr_encode((xdrproc_t)xdr_cg_x_status_request, &q, body) ||
	    cg_peer_call(f->peer, &d->addr, CG_MSG_STATUS, body->data,
			 body->len, f->timeout_ms, reply) ||
	    cg_xdr_decode((xdrproc_t)xdr_cg_x_status_reply, reply->data,
			  reply->len, &a, sizeof(a)))
		goto out;
	g_byte_array_append(text, (guint8 *)a.page.page_val, a.page.page_len);
	if (a.page.page_len > 0 && a.total <= MAX_ANSWER_BYTES)
		total = a.total;
	xdr_free((xdrproc_t)xdr_cg_x_status_reply, (char *)&a);
out:
	g_byte_array_unref(body);
	g_byte_array_unref(reply);
	return total;
}

static struct json_object *parse_answer(const GByteArray *text)
{
	struct cg_faults faults = { 0 };
	struct json_object *o;

	if (!cg_json_parse((const char *)text->data, text->len, "answer", &o,
			   &faults))
		return o;
	cg_faults_clear(&faults);
	return NULL;
}

/* Fetches all pages of an answer and parses it. Returns NULL if the daemon does
 * not answer or the pages do not form one document. Sets @p retry in the second
 * case only, as the daemon's state may have changed between two pages. */
static struct json_object *fetch_answer(struct ctl_fleet *f,
					const struct ctl_daemon *d,
					const char *topic, const char *object,
					bool *retry)
{
	GByteArray *text = g_byte_array_new();
	struct json_object *o = NULL;
	int64_t total;
	int64_t first_total = -1;

	*retry = false;
	do {
		total = fetch_page(f, d, topic, object, text);
		if (first_total < 0)
			first_total = total;
	} while (total >= 0 && total == first_total && text->len < total);
	if (total >= 0) {
		o = total == first_total && text->len == total
			    ? parse_answer(text)
			    : NULL;
		*retry = !o;
	}
	g_byte_array_unref(text);
	return o;
}

static struct json_object *query_daemon(struct ctl_fleet *f,
					const struct ctl_daemon *d,
					const char *topic, const char *object)
{
	struct json_object *o = NULL;
	bool retry = true;

	for (int i = 0; i < MAX_QUERY_ATTEMPTS && !o && retry; i++)
		o = fetch_answer(f, d, topic, object, &retry);
	return o;
}

int ctl_query_any(struct ctl_fleet *f, const char *topic, const char *object,
		  struct json_object **out,
		  const struct ctl_daemon **answered_by)
{
	for (guint i = 0; i < f->daemons->len; i++) {
		*answered_by = daemon_at(f, i);
		*out = query_daemon(f, *answered_by, topic, object);
		if (*out)
			return 0;
		fprintf(stderr, "celerygladectl: %s did not answer\n",
			ctl_daemon_label(*answered_by));
	}
	return -1;
}

/* One of several concurrent calls of daemons. */
struct daemon_call {
	struct ctl_fleet *f;
	struct ctl_daemon *d;
	const char *topic; /* Of a status request; NULL: send the body. */
	const char *object;
	enum cg_msg_kind kind; /* Of the message with the body. */
	const GByteArray *body;
	struct json_object *answer; /* To the status request, or NULL. */
	bool confirmed; /* Whether the message was confirmed. */
};

static void run_call(gpointer data, gpointer ignored)
{
	struct daemon_call *call = data;

	(void)ignored;
	if (call->topic)
		call->answer = query_daemon(call->f, call->d, call->topic,
					    call->object);
	else
		call->confirmed =
			!cg_peer_call(call->f->peer, &call->d->addr, call->kind,
				      call->body->data, call->body->len,
				      call->f->timeout_ms, NULL);
}

static void run_calls(struct daemon_call *calls, guint n)
{
	GThreadPool *pool;

	/* libtirpc creates its shared credential on first use. If two threads
	 * do so concurrently, one of the two credentials leaks. */
	authnone_create();
	pool = g_thread_pool_new(run_call, NULL, MAX_PARALLEL_CALLS, FALSE,
				 NULL);
	for (guint i = 0; i < n; i++)
		g_thread_pool_push(pool, &calls[i], NULL);
	g_thread_pool_free(pool, FALSE, TRUE);
}

static void release_json(gpointer o)
{
	json_object_put(o);
}

GPtrArray *ctl_query_all(struct ctl_fleet *f, const char *topic,
			 const char *object)
{
	guint n = f->daemons->len;
	struct daemon_call *calls = g_new0(struct daemon_call, n);
	GPtrArray *answers = g_ptr_array_new_with_free_func(release_json);

	for (guint i = 0; i < n; i++)
		calls[i] = (struct daemon_call){ .f = f,
						 .d = daemon_at(f, i),
						 .topic = topic,
						 .object = object };
	run_calls(calls, n);
	for (guint i = 0; i < n; i++) {
		const char *instance =
			ctl_member_string(calls[i].answer, "instance");

		g_ptr_array_add(answers, calls[i].answer);
		if (!calls[i].d->name[0] && cg_name_valid(instance))
			g_strlcpy(calls[i].d->name, instance, CG_NAME_MAX + 1);
	}
	g_free(calls);
	return answers;
}

void ctl_send_all(struct ctl_fleet *f, enum cg_msg_kind kind,
		  const GByteArray *body, bool *confirmed)
{
	guint n = f->daemons->len;
	struct daemon_call *calls = g_new0(struct daemon_call, n);

	for (guint i = 0; i < n; i++)
		calls[i] = (struct daemon_call){
			.f = f, .d = daemon_at(f, i), .kind = kind, .body = body
		};
	run_calls(calls, n);
	for (guint i = 0; i < n; i++)
		confirmed[i] = calls[i].confirmed;
	g_free(calls);
}
