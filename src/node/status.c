#include "internal/node.h"

#include <json-c/json.h>
#include <string.h>

#include "celeryglade/counters.h"
#include "internal/dispatcher.h"
#include "internal/parts.h"
#include "status_wire.h"

static void add_text(struct json_object *o, const char *name, const char *v)
{
	json_object_object_add(o, name, json_object_new_string(v));
}

static void add_number(struct json_object *o, const char *name, uint64_t v)
{
	json_object_object_add(o, name, json_object_new_uint64(v));
}

static void add_write_id(struct cg_node *n, struct json_object *o)
{
	GBytes *text = cg_docs_content(n->proxy.docs, CG_DOC_ROOT, NULL, NULL);
	struct cg_faults faults = { 0 };
	struct cg_root root;

	if (!text)
		return;
	if (!cg_root_parse(text, &root, &faults)) {
		add_text(o, "write_id", root.write_id);
		cg_root_clear(&root);
	}
	cg_faults_clear(&faults);
	g_bytes_unref(text);
}

/* Adds the reason why a newer configuration was not adopted, for celerygladectl
 * explain-change. */
static void add_config_fault(struct json_object *o)
{
	struct json_object *v = o;

	if (json_object_object_get_ex(v, "documents", &v) &&
	    json_object_object_get_ex(v, "root", &v) &&
	    json_object_object_get_ex(v, "last_error", &v) &&
	    json_object_get_string_len(v) > 0)
		json_object_object_add(o, "config_fault", json_object_get(v));
}

static struct json_object *summary(struct cg_node *n)
{
	struct cg_proxy *p = &n->proxy;
	struct json_object *o = json_object_new_object();
	const char *unready = cg_node_unready_reason(n);
	bool keys =
		cg_trust_accepts_keys(p->settings, p->clk, p->docs, n->members);

	add_text(o, "instance", n->settings.instance);
	add_number(o, "incarnation", n->incarnation);
	add_text(o, "failure_domain", n->settings.failure_domain);
	add_number(o, "config_version", cg_docs_version(p->docs, CG_DOC_ROOT));
	add_write_id(n, o);
	add_number(o, "shard_map_version", cg_shards_map_version(n->shards));
	json_object_object_add(o, "ready",
			       json_object_new_boolean(unready == NULL));
	if (unready)
		add_text(o, "unready_reason", unready);
	add_text(o, "keys", keys ? "accepting" : "stale");
	add_number(o, "running", (uint64_t)atomic_load(&p->running));
	json_object_object_add(o, "documents", cg_docs_status(p->docs));
	add_config_fault(o);
	json_object_object_add(
		o, "trust",
		cg_trust_status(p->settings, p->clk, p->docs, n->members));
	json_object_object_add(o, "notices", cg_notices_status(p->notices));
	json_object_object_add(o, "queues",
			       cg_dispatcher_status(p->dispatcher));
	return o;
}

static struct json_object *counters(void)
{
	struct json_object *o = json_object_new_object();

	for (int c = 0; c < CG_COUNTER_COUNT; c++)
		add_number(o, cg_counter_name((enum cg_counter)c),
			   cg_counter_read((enum cg_counter)c));
	return o;
}

static struct json_object *make_status(struct cg_node *n, const char *what,
				       const char *name)
{
	if (!strcmp(what, "summary"))
		return summary(n);
	if (!strcmp(what, "counters"))
		return counters();
	if (!strcmp(what, "servers"))
		return cg_health_status(n->proxy.health, *name ? name : NULL);
	if (!strcmp(what, "server"))
		return cg_health_explain(n->proxy.health, name);
	if (!strcmp(what, "account"))
		return cg_rates_status(n->proxy.rates, name);
	if (!strcmp(what, "members"))
		return cg_members_status(n->members);
	if (!strcmp(what, "shards"))
		return cg_shards_status(n->shards);
	return NULL;
}

/* Encodes the page of the status text that starts at @offset. The text is
 * generated again for each page, so a client that reads several pages may
 * combine different values of a counter. */
static int encode_page(const char *text, uint32_t offset, GByteArray *reply)
{
	size_t total = strlen(text);
	struct cg_x_status_reply r = { .total = (u_int)total };

	if (offset > total)
		return -1;
	r.page.page_val = (char *)text + offset;
	r.page.page_len = (u_int)MIN(total - offset, CG_X_STATUS_PAGE_MAX);
	return cg_xdr_encode((xdrproc_t)xdr_cg_x_status_reply, &r, reply);
}

int cg_status_handle(struct cg_node *n, const struct cg_peer_msg *msg,
		     GByteArray *reply)
{
	struct cg_x_status_request q;
	struct json_object *o;
	int rc = -1;

	if (cg_xdr_decode((xdrproc_t)xdr_cg_x_status_request, msg->body,
			  msg->len, &q, sizeof(q)))
		return -1;
	o = make_status(n, q.what, q.name);
	if (!o) {
		/* A reply with an error is distinguishable from a daemon that
		 * does not answer. */
		o = json_object_new_object();
		add_text(o, "error", "unknown question or name");
	}
	rc = encode_page(json_object_to_json_string(o), q.offset, reply);
	json_object_put(o);
	xdr_free((xdrproc_t)xdr_cg_x_status_request, (char *)&q);
	return rc;
}
