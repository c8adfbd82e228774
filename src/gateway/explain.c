#include "gateway/explain.h"

#include <json-c/json.h>
#include <math.h>
#include <string.h>

#include "gateway/work_model.h"

/* Servers of one service in one failure domain that are listed. */
#define CANDIDATES_MAX 512

static void add_text(struct json_object *o, const char *name, const char *text)
{
	json_object_object_add(o, name, json_object_new_string(text));
}

static void add_number(struct json_object *o, const char *name, double value)
{
	json_object_object_add(o, name,
			       json_object_new_int64((int64_t)llround(value)));
}

static void add_share(struct json_object *o, const char *name, double value)
{
	char text[32];

	g_ascii_formatd(text, sizeof(text), "%.3f", value);
	json_object_object_add(o, name, json_object_new_double_s(value, text));
}

static const char *trust_name(enum cgw_trust t)
{
	switch (t) {
	case CGW_TRUST_HEALTHY:
		return "healthy";
	case CGW_TRUST_PROBATION:
		return "on probation";
	case CGW_TRUST_SUSPECT:
		return "suspect";
	case CGW_TRUST_EJECTED:
		return "ejected";
	}
	return "";
}

/* Returns why the candidate is not taken. */
static const char *reason_text(const struct cgw_placement_candidate *c,
			       const struct cgw_placement_candidate *chosen)
{
	switch (c->reason) {
	case CGW_ELIGIBLE:
		break;
	case CGW_INELIGIBLE_LEAVING:
		return "leaves";
	case CGW_INELIGIBLE_RESTS:
		return "wants no requests for a while";
	case CGW_INELIGIBLE_SHED:
		return "has just rejected a request";
	case CGW_INELIGIBLE_EJECTED:
		return "ejected";
	case CGW_INELIGIBLE_EXCLUDED:
		return "excluded by the request";
	case CGW_INELIGIBLE_NO_SLOT:
		return "no free slot";
	}
	if (!chosen || c->chosen)
		return "";
	if (c->rank_trust > chosen->rank_trust)
		return "less trusted";
	return c->score > chosen->score ? "later expected finish"
					: "equal; served more recently";
}

static struct json_object *
candidate_json(const struct cgw_placement_candidate *c,
	       const struct cgw_placement_candidate *chosen)
{
	struct json_object *o = json_object_new_object();

	add_text(o, "server", c->server);
	add_text(o, "trust", trust_name(c->trust));
	add_number(o, "finish_ms", c->finish_ms);
	add_number(o, "outstanding_ms", c->outstanding_ms);
	add_share(o, "slowness", c->slowness);
	add_share(o, "failing", c->failing_share);
	json_object_object_add(o, "chosen", json_object_new_boolean(c->chosen));
	add_text(o, "not_taken", reason_text(c, chosen));
	return o;
}

static int compare_candidates(const void *a, const void *b)
{
	const struct cgw_placement_candidate *x = a, *y = b;

	if (x->chosen != y->chosen)
		return x->chosen ? -1 : 1;
	if (!x->reason != !y->reason)
		return !x->reason ? -1 : 1;
	return (x->score > y->score) - (x->score < y->score);
}

/* Explains the part of the route's requests that goes to @target. */
static struct json_object *explain_target(const struct cgw_explain_state *s,
					  const struct cgw_route *r,
					  const struct cgw_target *target,
					  struct cgw_slot_request *request)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array();
	struct cgw_placement_candidate *c =
		g_new0(struct cgw_placement_candidate, CANDIDATES_MAX);
	const struct cgw_placement_candidate *chosen;
	size_t n;

	g_strlcpy(request->service, target->service, sizeof(request->service));
	n = cgw_broker_explain(s->broker, request, c, CANDIDATES_MAX, s->now);
	qsort(c, n, sizeof(*c), compare_candidates);
	chosen = n && c[0].chosen && !cgw_broker_is_closed(s->broker, s->now)
			 ? &c[0]
			 : NULL;
	add_text(o, "service", target->service);
	add_share(o, "part",
		  r->weight_sum > 0
			  ? (double)target->weight / (double)r->weight_sum
			  : 0);
	add_text(o, "server", chosen ? chosen->server : "");
	if (chosen && chosen->rank_trust == CGW_TRUST_SUSPECT)
		add_text(o, "note",
			 "a free server of another failure domain comes "
			 "first");
	if (!chosen)
		add_text(
			o, "otherwise",
			cgw_broker_is_closed(s->broker, s->now)
				? "goes to another failure domain: this one "
				  "is evacuated, or its servers are not "
				  "known yet"
			: n ? "waits, goes to another failure domain, or is "
			      "refused"
			    : "no server of the service in this failure domain");
	for (size_t i = 0; i < n; i++)
		json_object_array_add(list, candidate_json(&c[i], chosen));
	json_object_object_add(o, "candidates", list);
	g_free(c);
	return o;
}

static const struct cgw_account *find_account(const struct cgw_table *t,
					      const char *name)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, cgw_table_accounts(t));
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (!strcmp(((struct cgw_account *)value)->name, name))
			return value;
	return NULL;
}

static void fill_request(const struct cgw_explain_state *s,
			 const struct cgw_explain_query *q,
			 const struct cgw_route *r, const struct cgw_account *a,
			 struct cgw_slot_request *out)
{
	memset(out, 0, sizeof(*out));
	g_strlcpy(out->daemon, s->instance, sizeof(out->daemon));
	g_strlcpy(out->route, r->name, sizeof(out->route));
	g_strlcpy(out->account, a ? a->key : "", sizeof(out->account));
	out->idempotent = r->idempotent;
	out->priority = a && a->priority >= 0 ? a->priority : r->priority;
	out->objective_ms = r->objective_ms;
	out->deadline = s->now + r->timeout_ms;
	out->method = cgw_work_method(q->method);
	out->size_class = cgw_work_size_class(q->body_bytes);
	out->shape = cgw_work_path_shape(q->target, r->prefix);
}

static void explain_route(const struct cgw_explain_state *s,
			  const struct cgw_explain_query *q,
			  struct json_object *o)
{
	char *path = g_strndup(q->target, strcspn(q->target, "?#"));
	const struct cgw_route *r =
		cgw_table_find_route(s->table, q->host, path);
	const struct cgw_account *a =
		q->account ? find_account(s->table, q->account) : NULL;
	struct json_object *list;
	struct cgw_slot_request request;

	g_free(path);
	if (!r) {
		add_text(o, "error", "no route matches this host and path");
		return;
	}
	add_text(o, "route", r->name);
	if (q->account && !a) {
		add_text(o, "error", "no client account has this name");
		return;
	}
	fill_request(s, q, r, a, &request);
	list = json_object_new_array();
	for (guint i = 0; i < r->targets->len; i++)
		json_object_array_add(
			list,
			explain_target(s, r,
				       &g_array_index(r->targets,
						      struct cgw_target, i),
				       &request));
	add_text(o, "placement",
		 cgw_broker_placement(s->broker) ==
				 CGW_PLACEMENT_EXPECTED_FINISH
			 ? "expected_finish"
			 : "least_loaded");
	json_object_object_add(o, "targets", list);
}

char *cgw_explain(const struct cgw_explain_state *s,
		  const struct cgw_explain_query *q)
{
	struct json_object *o = json_object_new_object();
	char *text;

	add_text(o, "instance", s->instance);
	add_text(o, "domain", s->domain);
	if (*s->broker_name) {
		add_text(o, "broker", s->broker_name);
		add_text(o, "broker_ip", s->broker_ip);
	} else if (!s->leads) {
		add_text(o, "error", "this daemon knows no broker yet");
	} else if (!s->table) {
		add_text(o, "error", "this daemon has no configuration yet");
	} else {
		explain_route(s, q, o);
	}
	text = g_strdup(json_object_to_json_string(o));
	json_object_put(o);
	return text;
}
