#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#include "ctl.h"
#include "internal/names.h"
#include "internal/settings.h"
#include "status_wire.h"

/* Questions in flight; a fleet of 470 is asked in a few rounds, and a daemon
 * that does not answer holds up only one of them. */
#define PARALLEL 32
/* Answers are a few hundred kilobytes at most at the target scale. */
#define MAX_ANSWER (8 << 20)
/* An answer is made anew for each page, so the pages may not fit together. */
#define ANSWER_TRIES 3

const char *ctl_daemon_label(const struct ctl_daemon *d)
{
	return d->name[0] ? d->name : d->address;
}

struct cg_store *ctl_open_store(const struct ctl_options *o)
{
	static const char scheme[] = "http://";
	struct sockaddr_in unused;

	if (!o->store_url) {
		fprintf(stderr, "celerygladectl: --store is missing\n");
		return NULL;
	}
	if (!g_str_has_prefix(o->store_url, scheme) ||
	    cg_parse_address(o->store_url + strlen(scheme), &unused)) {
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

static enum ctl_exit add_peers(struct ctl_fleet *f, const char *list)
{
	char **words = g_strsplit(list, ",", 0);
	enum ctl_exit rc = CTL_OK;

	for (int i = 0; words[i]; i++)
		if (add_daemon(f, "", g_strstrip(words[i])))
			rc = CTL_FAULT;
	g_strfreev(words);
	if (rc != CTL_OK)
		fprintf(stderr, "celerygladectl: --peers must be a list of "
				"IP:PORT\n");
	return rc;
}

static void add_entry(struct ctl_fleet *f, struct json_object *o)
{
	const char *state = ctl_member_string(o, "state");

	if (strcmp(ctl_member_string(o, "role"), "entry") != 0)
		return;
	if (!strcmp(state, "live") ||
	    (f->with_leaving && !strcmp(state, "leaving")))
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
		return CTL_UNAVAILABLE;
	}
	if (json_object_is_type(o, json_type_object) &&
	    json_object_object_get_ex(o, "instances", &list) &&
	    json_object_is_type(list, json_type_array)) {
		for (size_t i = 0; i < json_object_array_length(list); i++)
			add_entry(f, json_object_array_get_idx(list, i));
	} else {
		fprintf(stderr, "instances: is not a list of instances\n");
		rc = CTL_UNAVAILABLE;
	}
	json_object_put(o);
	return rc;
}

static enum ctl_exit add_instances(struct ctl_fleet *f,
				   const struct ctl_options *o)
{
	struct cg_store *store = ctl_open_store(o);
	enum cg_store_result sr;
	enum ctl_exit rc;
	GBytes *body;

	if (!store)
		return CTL_FAULT;
	sr = cg_store_instances(store, &body);
	if (sr == CG_STORE_OK) {
		rc = parse_instances(f, body);
		g_bytes_unref(body);
	} else {
		fprintf(stderr,
			"celerygladectl: the store did not give the "
			"list of instances (%s); use --peers\n",
			cg_store_result_name(sr));
		rc = CTL_UNAVAILABLE;
	}
	cg_store_free(store);
	return rc;
}

static enum ctl_exit find_daemons(struct ctl_fleet *f,
				  const struct ctl_options *o)
{
	enum ctl_exit rc =
		o->peers ? add_peers(f, o->peers) : add_instances(f, o);

	if (rc == CTL_OK && f->daemons->len == 0) {
		fprintf(stderr, "celerygladectl: no daemon is listed\n");
		return CTL_NOT_EVERYWHERE;
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
	/* Each run is another sender, so that its sequence numbers are not
	 * taken for those of an earlier run. */
	if (getrandom(&incarnation, sizeof(incarnation), 0) ==
	    (ssize_t)sizeof(incarnation))
		f->peer = cg_peer_new("celerygladectl", incarnation >> 1,
				      secret, NULL);
	g_bytes_unref(secret);
	return f->peer ? 0 : -1;
}

enum ctl_exit ctl_fleet_open(const struct ctl_options *o, bool with_leaving,
			     struct ctl_fleet *f)
{
	enum ctl_exit rc;

	memset(f, 0, sizeof(*f));
	f->with_leaving = with_leaving;
	f->timeout = o->timeout_ms;
	f->daemons = g_array_new(FALSE, TRUE, sizeof(struct ctl_daemon));
	rc = open_peer(f, o) ? CTL_FAULT : find_daemons(f, o);
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

/* Fetches the page at the end of @p text. Returns the total size or -1. */
static int64_t fetch_page(struct ctl_fleet *f, const struct ctl_daemon *d,
			  const char *what, const char *name, GByteArray *text)
{
	cg_x_status_request q = { .what = (char *)what,
				  .name = (char *)name,
				  .offset = text->len };
	GByteArray *body = g_byte_array_new();
	GByteArray *reply = g_byte_array_new();
	cg_x_status_reply a;
	int64_t total = -1;

	if (cg_xdr_encode((xdrproc_t)xdr_cg_x_status_request, &q, body) ||
	    cg_peer_call(f->peer, &d->addr, CG_MSG_STATUS, body->data,
			 body->len, f->timeout, reply) ||
	    cg_xdr_decode((xdrproc_t)xdr_cg_x_status_reply, reply->data,
			  reply->len, &a, sizeof(a)))
		goto out;
	g_byte_array_append(text, (guint8 *)a.page.page_val, a.page.page_len);
	if (a.page.page_len > 0 && a.total <= MAX_ANSWER)
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

/* Fetches all pages; NULL if the daemon does not answer or the pages do not
 * make up one document. Sets @p again in the second case. */
static struct json_object *fetch_answer(struct ctl_fleet *f,
					const struct ctl_daemon *d,
					const char *what, const char *name,
					bool *again)
{
	GByteArray *text = g_byte_array_new();
	struct json_object *o = NULL;
	int64_t total;
	int64_t first = -1;

	*again = false;
	do {
		total = fetch_page(f, d, what, name, text);
		if (first < 0)
			first = total;
	} while (total >= 0 && total == first && text->len < total);
	if (total >= 0) {
		o = total == first && text->len == total ? parse_answer(text)
							 : NULL;
		*again = !o;
	}
	g_byte_array_unref(text);
	return o;
}

static struct json_object *ask(struct ctl_fleet *f, const struct ctl_daemon *d,
			       const char *what, const char *name)
{
	struct json_object *o = NULL;
	bool again = true;

	for (int i = 0; i < ANSWER_TRIES && !o && again; i++)
		o = fetch_answer(f, d, what, name, &again);
	return o;
}

int ctl_ask_any(struct ctl_fleet *f, const char *what, const char *name,
		struct json_object **out, const struct ctl_daemon **who)
{
	for (guint i = 0; i < f->daemons->len; i++) {
		*who = daemon_at(f, i);
		*out = ask(f, *who, what, name);
		if (*out)
			return 0;
		fprintf(stderr, "celerygladectl: %s did not answer\n",
			ctl_daemon_label(*who));
	}
	return -1;
}

/* One of many calls that run at once. */
struct task {
	struct ctl_fleet *f;
	struct ctl_daemon *d;
	const char *what; /* NULL: send the body. */
	const char *name;
	enum cg_msg_kind kind;
	const GByteArray *body;
	struct json_object *answer;
	bool confirmed;
};

static void run_task(gpointer data, gpointer unused)
{
	struct task *t = data;

	(void)unused;
	if (t->what)
		t->answer = ask(t->f, t->d, t->what, t->name);
	else
		t->confirmed = !cg_peer_call(t->f->peer, &t->d->addr, t->kind,
					     t->body->data, t->body->len,
					     t->f->timeout, NULL);
}

static void run_tasks(struct task *tasks, guint n)
{
	GThreadPool *pool;

	/* libtirpc makes its shared credential on first use, and two threads
	 * that do so at once leak one of them. */
	authnone_create();
	pool = g_thread_pool_new(run_task, NULL, PARALLEL, FALSE, NULL);
	for (guint i = 0; i < n; i++)
		g_thread_pool_push(pool, &tasks[i], NULL);
	g_thread_pool_free(pool, FALSE, TRUE);
}

static void put_json(gpointer o)
{
	json_object_put(o);
}

GPtrArray *ctl_ask_all(struct ctl_fleet *f, const char *what, const char *name)
{
	guint n = f->daemons->len;
	struct task *tasks = g_new0(struct task, n);
	GPtrArray *answers = g_ptr_array_new_with_free_func(put_json);

	for (guint i = 0; i < n; i++)
		tasks[i] = (struct task){
			.f = f, .d = daemon_at(f, i), .what = what, .name = name
		};
	run_tasks(tasks, n);
	for (guint i = 0; i < n; i++) {
		const char *instance =
			ctl_member_string(tasks[i].answer, "instance");

		g_ptr_array_add(answers, tasks[i].answer);
		if (!tasks[i].d->name[0] && cg_name_valid(instance))
			g_strlcpy(tasks[i].d->name, instance, CG_NAME_MAX + 1);
	}
	g_free(tasks);
	return answers;
}

void ctl_send_all(struct ctl_fleet *f, enum cg_msg_kind kind,
		  const GByteArray *body, bool *confirmed)
{
	guint n = f->daemons->len;
	struct task *tasks = g_new0(struct task, n);

	for (guint i = 0; i < n; i++)
		tasks[i] = (struct task){
			.f = f, .d = daemon_at(f, i), .kind = kind, .body = body
		};
	run_tasks(tasks, n);
	for (guint i = 0; i < n; i++)
		confirmed[i] = tasks[i].confirmed;
	g_free(tasks);
}
