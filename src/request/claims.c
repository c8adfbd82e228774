#define CG_PART "claims"
#include "internal/claims.h"

#include <json-c/json.h>
#include <string.h>

#include "celeryglade/counters.h"
#include "internal/logging.h"
#include "internal/proxy.h"

/*
 * The claim object is created, on the condition that it does not exist, before
 * the first attempt. Only its creator sends the request, so a retry through any
 * daemon cannot run it a second time. The object is deleted only if the request
 * is known not to have run, and only by its creator, with the version that it
 * wrote. If the creator crashes, it leaves a claim without a response; retries
 * are then refused with "claim_unknown", because it is in fact unknown whether
 * the request ran.
 */

#define CLAIM_THREADS		8
#define CLAIM_QUEUE_MAX		1024
#define MAX_RECORDED_BODY_BYTES (16 * 1024)
#define STORE_ATTEMPTS		3
#define STORE_RETRY_MS		200

struct cg_claim {
	char object[96];
	char creator_id[33]; /* Random id of the request that creates it. */
	char request_digest[65];
	uint64_t version;
	bool owned; /* This request created the claim. */
};

enum job_kind {
	JOB_START,
	JOB_FINISH,
	JOB_QUIT,
};

struct claim_job {
	enum job_kind kind;
	struct cg_request *request;
};

struct cg_claims {
	struct cg_store *store;
	GAsyncQueue *jobs;
	pthread_t threads[CLAIM_THREADS];
	int thread_count;
};

static void digest_hex(char out[65], const void *a, size_t a_len, const void *b,
		       size_t b_len)
{
	GChecksum *c = g_checksum_new(G_CHECKSUM_SHA256);

	g_checksum_update(c, a, (gssize)a_len);
	g_checksum_update(c, (const guchar *)"\n", 1);
	g_checksum_update(c, b, (gssize)b_len);
	g_strlcpy(out, g_checksum_get_string(c), 65);
	g_checksum_free(c);
}

static struct cg_claim *claim_new(const struct cg_request *r)
{
	struct cg_claim *c = g_new0(struct cg_claim, 1);
	const char *account = r->account ? r->account->name : "";
	char name[65];

	/* The account name is part of the hash, so that one account cannot read
	 * or block another account's keys. */
	digest_hex(name, account, strlen(account), r->idempotency_key,
		   strlen(r->idempotency_key));
	g_snprintf(c->object, sizeof(c->object), "claims/%s", name);
	digest_hex(c->request_digest, r->target, strlen(r->target),
		   r->body.data, r->body.len);
	for (int i = 0; i < 4; i++)
		g_snprintf(c->creator_id + 8 * i, 9, "%08x", g_random_int());
	return c;
}

void cg_claim_free(struct cg_claim *claim)
{
	g_free(claim);
}

static struct json_object *claim_to_json(const struct cg_claim *c)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "attempt",
			       json_object_new_string(c->creator_id));
	json_object_object_add(o, "request",
			       json_object_new_string(c->request_digest));
	json_object_object_add(
		o, "created_s",
		json_object_new_int64(g_get_real_time() / 1000000));
	return o;
}

static const char *string_member(struct json_object *o, const char *name)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, name, &v) ||
	    !json_object_is_type(v, json_type_string))
		return NULL;
	return json_object_get_string(v);
}

static void respond_from_record(struct cg_request *r, struct json_object *o)
{
	struct cg_response response = { 0 };
	struct json_object *status;
	const char *type = string_member(o, "content_type");
	const char *body = string_member(o, "body");
	gsize len;

	json_object_object_get_ex(o, "status", &status);
	response.status = json_object_get_int(status);
	response.headers = cg_headers_new();
	if (type)
		cg_headers_add(response.headers, "Content-Type", type);
	cg_headers_add(response.headers, "Celeryglade-Replayed", "1");
	if (body) {
		guchar *raw = g_base64_decode(body, &len);

		response.body = g_bytes_new_take(raw, len);
	}
	cg_count(CG_COUNTER_CLAIMS_REPLAYED);
	cg_request_respond(r, &response);
}

static bool record_has_status(struct json_object *o)
{
	struct json_object *v;

	return json_object_object_get_ex(o, "status", &v) &&
	       json_object_is_type(v, json_type_int) &&
	       json_object_get_int(v) >= 200 && json_object_get_int(v) <= 599;
}

/* Handles an existing claim. Returns true if this request created it: the store
 * executed the create call, but the response was lost. Otherwise settles the
 * request: with the recorded response of an equal earlier request, or with a
 * refusal if the earlier request differs or no valid response is recorded. */
static bool handle_existing_claim(struct cg_request *r, GBytes *text,
				  uint64_t version)
{
	struct cg_faults faults = { 0 };
	struct json_object *o = NULL;
	const char *creator_id, *request;
	gsize len;
	const char *data = g_bytes_get_data(text, &len);
	bool is_own = false;

	if (cg_json_parse(data, len, r->claim->object, &o, &faults)) {
		cg_warning("claim object does not parse: %s", r->claim->object);
		cg_request_refuse(r, CG_REASON_CLAIM_UNKNOWN);
		goto out;
	}
	creator_id = string_member(o, "attempt");
	request = string_member(o, "request");
	if (creator_id && !strcmp(creator_id, r->claim->creator_id)) {
		r->claim->version = version;
		is_own = true;
	} else if (!request || strcmp(request, r->claim->request_digest) != 0) {
		cg_request_refuse(r, CG_REASON_CLAIM_MISMATCH);
	} else if (record_has_status(o)) {
		respond_from_record(r, o);
	} else {
		cg_request_refuse(r, CG_REASON_CLAIM_UNKNOWN);
	}
out:
	if (o)
		json_object_put(o);
	cg_faults_clear(&faults);
	return is_own;
}

/* Deletes the claim that a request created, because the request did not run.
 * Best effort: if the claim is left behind, retries of the request are refused
 * with "claim_unknown", but never run twice. */
static void delete_claim(struct cg_claims *c, struct cg_claim *claim)
{
	enum cg_store_result rc = CG_STORE_UNAVAILABLE;

	for (int i = 0; i < STORE_ATTEMPTS; i++) {
		rc = cg_store_delete(c->store, claim->object, claim->version);
		if (rc != CG_STORE_UNAVAILABLE && rc != CG_STORE_UNKNOWN)
			return;
		cg_sleep(STORE_RETRY_MS);
	}
	cg_warning("cannot delete claim %s: %s", claim->object,
		   cg_store_result_name(rc));
}

/* Deletes the claim of a request that was refused because it is unknown whether
 * the create call took effect. Does nothing unless the claim exists and this
 * request created it. */
static void delete_if_own(struct cg_claims *c, struct cg_claim *claim)
{
	struct cg_faults faults = { 0 };
	struct json_object *o = NULL;
	const char *creator_id = NULL;
	const char *data;
	GBytes *text = NULL;
	gsize len;

	cg_sleep(STORE_RETRY_MS);
	if (cg_store_get(c->store, claim->object, &text, &claim->version) !=
	    CG_STORE_OK)
		return;
	data = g_bytes_get_data(text, &len);
	if (!cg_json_parse(data, len, claim->object, &o, &faults))
		creator_id = string_member(o, "attempt");
	cg_faults_clear(&faults);
	if (creator_id && !strcmp(creator_id, claim->creator_id))
		delete_claim(c, claim);
	json_object_put(o);
	g_bytes_unref(text);
}

/* Creates the claim. Returns true if this request owns it and continues;
 * otherwise the request was settled. */
static bool create_claim(struct cg_claims *c, struct cg_request *r)
{
	struct json_object *o = claim_to_json(r->claim);
	const char *text = json_object_to_json_string(o);
	GBytes *found = NULL;
	uint64_t version = 0;
	enum cg_store_result rc;
	bool uncertain;

	rc = cg_store_create(c->store, r->claim->object, text, strlen(text),
			     &r->claim->version);
	json_object_put(o);
	if (rc == CG_STORE_OK)
		return true;
	uncertain = rc == CG_STORE_UNKNOWN;
	if (rc == CG_STORE_CONFLICT || uncertain)
		rc = cg_store_get(c->store, r->claim->object, &found, &version);
	else
		rc = CG_STORE_UNAVAILABLE;
	if (rc == CG_STORE_OK) {
		bool is_own = handle_existing_claim(r, found, version);

		g_bytes_unref(found);
		return is_own;
	}
	cg_request_refuse(r, CG_REASON_CLAIM_UNAVAILABLE);
	if (uncertain)
		delete_if_own(c, r->claim);
	return false;
}

static void run_start(struct cg_claims *c, struct cg_request *r)
{
	bool settled;

	if (!create_claim(c, r))
		return;
	/* The deadline may have passed during the store call.
	 * complete_settlement then saw a claim that was not owned yet, so it is
	 * deleted here. */
	pthread_mutex_lock(&r->lock);
	settled = r->phase == CG_PHASE_SETTLED;
	r->claim->owned = !settled;
	pthread_mutex_unlock(&r->lock);
	if (settled)
		delete_claim(c, r->claim);
	else
		cg_filters_continue(r);
}

static void record_response(struct cg_claims *c, struct cg_request *r)
{
	struct json_object *o = claim_to_json(r->claim);
	gsize len = 0;
	const guchar *body = r->response.body
				     ? g_bytes_get_data(r->response.body, &len)
				     : NULL;
	const char *text;
	char *encoded;

	if (len > MAX_RECORDED_BODY_BYTES) {
		json_object_put(o);
		return;
	}
	json_object_object_add(o, "status",
			       json_object_new_int(r->response.status));
	for (guint i = 0; r->response.headers && i < r->response.headers->len;
	     i++) {
		struct cg_header *h = &g_array_index(r->response.headers,
						     struct cg_header, i);

		if (!g_ascii_strcasecmp(h->name, "Content-Type"))
			json_object_object_add(
				o, "content_type",
				json_object_new_string(h->value));
	}
	encoded = g_base64_encode(body ? body : (const guchar *)"", len);
	json_object_object_add(o, "body", json_object_new_string(encoded));
	g_free(encoded);
	text = json_object_to_json_string(o);
	/* A conflict after a lost response means that the first update
	 * succeeded. */
	for (int i = 0; i < STORE_ATTEMPTS; i++) {
		enum cg_store_result rc = cg_store_update(
			c->store, r->claim->object, r->claim->version, text,
			strlen(text), NULL);

		if (rc != CG_STORE_UNAVAILABLE && rc != CG_STORE_UNKNOWN)
			break;
		cg_sleep(STORE_RETRY_MS);
	}
	json_object_put(o);
}

static void run_finish(struct cg_claims *c, struct cg_request *r)
{
	if (r->reason == CG_OK)
		record_response(c, r);
	else if (r->not_run)
		delete_claim(c, r->claim);
}

static void *claims_thread(void *arg)
{
	struct cg_claims *c = arg;

	for (;;) {
		struct claim_job *j = g_async_queue_pop(c->jobs);
		enum job_kind kind = j->kind;
		struct cg_request *r = j->request;

		g_free(j);
		switch (kind) {
		case JOB_START:
			run_start(c, r);
			break;
		case JOB_FINISH:
			run_finish(c, r);
			break;
		case JOB_QUIT:
			return NULL;
		}
		cg_request_unref(r);
	}
}

static void push_job(struct cg_claims *c, enum job_kind kind,
		     struct cg_request *r)
{
	struct claim_job *j = g_new0(struct claim_job, 1);

	j->kind = kind;
	j->request = r ? cg_request_ref(r) : NULL;
	g_async_queue_push(c->jobs, j);
}

struct cg_claims *cg_claims_new(struct cg_store *store)
{
	struct cg_claims *c = g_new0(struct cg_claims, 1);

	c->store = store;
	c->jobs = g_async_queue_new();
	for (; c->thread_count < CLAIM_THREADS; c->thread_count++)
		if (pthread_create(&c->threads[c->thread_count], NULL,
				   claims_thread, c))
			break;
	if (c->thread_count > 0)
		return c;
	cg_claims_free(c);
	return NULL;
}

void cg_claims_free(struct cg_claims *c)
{
	if (!c)
		return;
	for (int i = 0; i < c->thread_count; i++)
		push_job(c, JOB_QUIT, NULL);
	for (int i = 0; i < c->thread_count; i++)
		pthread_join(c->threads[i], NULL);
	g_async_queue_unref(c->jobs);
	g_free(c);
}

int cg_claim_start(struct cg_claims *c, struct cg_request *r)
{
	if (g_async_queue_length(c->jobs) > CLAIM_QUEUE_MAX)
		return -1;
	r->claim = claim_new(r);
	push_job(c, JOB_START, r);
	return 0;
}

void cg_claim_finish(struct cg_claims *c, struct cg_request *r)
{
	if (r->claim->owned)
		push_job(c, JOB_FINISH, r);
}
