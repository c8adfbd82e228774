/* Status of the health controller for operators, as JSON. */
#define CG_PART "health"
#include "health_internal.h"

#include <string.h>

#define ADD(o, name, value) json_object_object_add(o, name, value)
#define STR(s)		    json_object_new_string(s)
#define INT(i)		    json_object_new_int64((int64_t)(i))
#define NUM(d)		    json_object_new_double(d)
#define BOOL(b)		    json_object_new_boolean(b)

static const char *state_name(const struct health_server *s,
			      const struct cg_ejection_explanation *fleet,
			      const struct cg_ejection_explanation *local,
			      cg_ms now)
{
	if (s->drain_noticed || atomic_load(&s->draining))
		return "draining";
	if (fleet && fleet->phase != CG_SERVER_IN_SERVICE)
		return cg_server_phase_name(fleet->phase);
	if (now < s->warmup_until)
		return "cold";
	if (local->phase != CG_SERVER_IN_SERVICE)
		return "avoided";
	return "in";
}

static struct json_object *
observers_json(const struct cg_ejection_explanation *x)
{
	struct json_object *list = json_object_new_array();

	for (size_t i = 0; i < x->observer_count; i++) {
		struct json_object *item = json_object_new_object();

		ADD(item, "daemon", STR(x->observers[i].daemon));
		ADD(item, "failure_domain", STR(x->observers[i].domain));
		ADD(item, "bad", NUM(x->observers[i].bad));
		ADD(item, "good", NUM(x->observers[i].good));
		json_object_array_add(list, item);
	}
	return list;
}

static struct json_object *
explanation_json(const struct cg_ejection_explanation *x, cg_ms now)
{
	struct json_object *o = json_object_new_object();

	ADD(o, "phase", STR(cg_server_phase_name(x->phase)));
	ADD(o, "share_thousandths", INT(x->share));
	ADD(o, "since_ms_ago", INT(now - x->since));
	if (x->phase == CG_SERVER_EJECTED)
		ADD(o, "eject_time_left_ms", INT(MAX(x->until - now, 0)));
	ADD(o, "ejections_in_a_row", INT(x->consecutive_ejections));
	ADD(o, "counts_as_out", BOOL(x->counts_as_out));
	ADD(o, "statistic", NUM(x->sum));
	ADD(o, "statistic_at_ejection", NUM(x->sum_at_ejection));
	ADD(o, "threshold", NUM(x->threshold));
	ADD(o, "failure_ratio_of_others", NUM(x->reference));
	ADD(o, "slow_from_ms", INT(x->slow_limit));
	ADD(o, "denied_by", STR(cg_denial_name(x->denial)));
	ADD(o, "daemons", INT(x->daemons));
	ADD(o, "daemons_needed", INT(x->daemons_needed));
	ADD(o, "failure_domains", INT(x->domains));
	ADD(o, "failure_domains_needed", INT(x->domains_needed));
	ADD(o, "evidence", observers_json(x));
	return o;
}

static struct json_object *capacity_json(const struct cg_ejection *e, cg_ms now)
{
	struct json_object *o = json_object_new_object();
	struct cg_ejection_capacity c;

	cg_ejection_capacity(e, now, &c);
	ADD(o, "slots", INT(c.total));
	ADD(o, "available", INT(c.available));
	ADD(o, "floor", INT(c.floor));
	ADD(o, "may_eject_slots",
	    INT(c.available > c.floor ? c.available - c.floor : 0));
	ADD(o, "daemons_with_traffic", INT(c.reporters));
	ADD(o, "ejections", INT(c.ejections));
	ADD(o, "reinstatements", INT(c.reinstatements));
	ADD(o, "denied_by_floor", INT(c.denied_floor));
	ADD(o, "denied_by_evidence", INT(c.denied_evidence));
	return o;
}

static void add_coordinator(struct cg_health *h, struct health_service *svc,
			    struct json_object *o)
{
	struct cg_shard_owner owner;

	if (cg_shards_owner(h->shards, svc->shard, &owner))
		ADD(o, "coordinator", NULL);
	else
		ADD(o, "coordinator", STR(owner.instance));
}

static struct json_object *server_json(struct health_service *svc,
				       struct health_server *s, cg_ms now,
				       bool detailed)
{
	struct json_object *o = json_object_new_object();
	struct cg_ejection_explanation local = { 0 }, fleet = { 0 };
	bool known = svc->coordinator &&
		     !cg_ejection_explain(svc->coordinator, s->id, now, &fleet);
	const struct cg_verdict *v = NULL;

	cg_ejection_explain(svc->local, s->id, now, &local);
	for (size_t i = 0; now < svc->held.until && i < svc->held.n; i++)
		if (svc->held.list[i].server == s->id)
			v = &svc->held.list[i];
	if (!known && v)
		fleet.phase = v->phase;
	ADD(o, "server", STR(s->name));
	ADD(o, "state",
	    STR(state_name(s, known || v ? &fleet : NULL, &local, now)));
	ADD(o, "weight", INT(atomic_load(&s->weight_idempotent)));
	ADD(o, "weight_non_idempotent", INT(atomic_load(&s->weight_other)));
	ADD(o, "slots", INT(s->slots));
	if (!detailed)
		return o;
	ADD(o, "service", STR(svc->name));
	ADD(o, "here", explanation_json(&local, now));
	if (known)
		ADD(o, "fleet", explanation_json(&fleet, now));
	ADD(o, "capacity",
	    capacity_json(svc->coordinator ? svc->coordinator : svc->local,
			  now));
	return o;
}

static struct json_object *service_json(struct cg_health *h,
					struct health_service *svc)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array();
	cg_ms now = cg_clock_now(h->clk);

	pthread_mutex_lock(&svc->lock);
	ADD(o, "service", STR(svc->name));
	add_coordinator(h, svc, o);
	ADD(o, "verdict_epoch", INT(svc->held.epoch));
	ADD(o, "verdict_version", INT(svc->held.version));
	ADD(o, "verdicts_valid_ms", INT(MAX(svc->held.until - now, 0)));
	ADD(o, "here", capacity_json(svc->local, now));
	if (svc->coordinator) {
		ADD(o, "fleet", capacity_json(svc->coordinator, now));
		ADD(o, "surveying",
		    BOOL(cg_ejection_is_surveying(svc->coordinator, now)));
	}
	for (size_t i = 0; i < svc->n; i++)
		json_object_array_add(
			list, server_json(svc, svc->servers[i], now, false));
	ADD(o, "servers", list);
	pthread_mutex_unlock(&svc->lock);
	return o;
}

static int compare_names(const void *a, const void *b)
{
	return strcmp((*(struct health_service *const *)a)->name,
		      (*(struct health_service *const *)b)->name);
}

static struct json_object *all_json(struct cg_health *h)
{
	struct json_object *list = json_object_new_array();
	guint n;
	gpointer *names = g_hash_table_get_keys_as_array(h->services, &n);
	struct health_service **all = g_new(struct health_service *, n + 1);

	for (guint i = 0; i < n; i++)
		all[i] = g_hash_table_lookup(h->services, names[i]);
	qsort(all, n, sizeof(struct health_service *), compare_names);
	for (guint i = 0; i < n; i++)
		json_object_array_add(list, service_json(h, all[i]));
	g_free(all);
	g_free(names);
	return list;
}

struct json_object *cg_health_status(struct cg_health *h, const char *service)
{
	struct json_object *o = NULL;
	struct health_service *svc;

	pthread_rwlock_rdlock(&h->services_lock);
	if (!service) {
		o = all_json(h);
	} else {
		svc = g_hash_table_lookup(h->services, service);
		if (svc)
			o = service_json(h, svc);
	}
	pthread_rwlock_unlock(&h->services_lock);
	return o;
}

static struct json_object *explain_server(struct cg_health *h,
					  struct health_service *svc,
					  const char *server)
{
	struct json_object *o = NULL;

	pthread_mutex_lock(&svc->lock);
	for (size_t i = 0; i < svc->n && !o; i++) {
		if (strcmp(svc->servers[i]->name, server) != 0)
			continue;
		o = server_json(svc, svc->servers[i], cg_clock_now(h->clk),
				true);
		add_coordinator(h, svc, o);
	}
	pthread_mutex_unlock(&svc->lock);
	return o;
}

struct json_object *cg_health_explain(struct cg_health *h, const char *server)
{
	struct json_object *o = NULL;
	GHashTableIter it;
	gpointer v;

	pthread_rwlock_rdlock(&h->services_lock);
	g_hash_table_iter_init(&it, h->services);
	while (!o && g_hash_table_iter_next(&it, NULL, &v))
		o = explain_server(h, v, server);
	pthread_rwlock_unlock(&h->services_lock);
	return o;
}

size_t cg_health_memory(struct cg_health *h)
{
	size_t n = sizeof(*h);
	GHashTableIter it;
	gpointer v;

	pthread_rwlock_rdlock(&h->services_lock);
	g_hash_table_iter_init(&it, h->services);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct health_service *svc = v;

		n += sizeof(*svc) + cg_ejection_memory(svc->local);
		n += svc->n * (sizeof(struct health_server) + sizeof(void *) +
			       2 * sizeof(struct cg_ejection_server));
		n += svc->held.n * sizeof(struct cg_verdict);
		if (svc->coordinator)
			n += cg_ejection_memory(svc->coordinator);
	}
	pthread_rwlock_unlock(&h->services_lock);
	return n;
}
