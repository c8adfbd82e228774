/* Verdicts held by this daemon and the server weights derived from them. */
#define CG_PART "health"
#include "health_internal.h"

#include <string.h>

#include "internal/logging.h"

/* Fallback ranks of servers without weight. If no other server is left, one
 * that only this daemon avoids is used first, then one in trial, then an
 * ejected one. */
#define FALLBACK_AVOIDED 1000
#define FALLBACK_TRIAL	 2000
#define FALLBACK_EJECTED 3000

struct fetch {
	struct cg_health *h;
	char service[CG_NAME_MAX + 1];
	cg_ms sent_at;
};

static const struct cg_verdict *
find_held_verdict(const struct health_service *svc, uint32_t id, cg_ms now)
{
	if (now >= svc->held.until)
		return NULL;
	for (size_t i = 0; i < svc->held.n; i++)
		if (svc->held.list[i].server == id)
			return &svc->held.list[i];
	return NULL;
}

/* Returns the weight of a server by its warm-up: it rises from a tenth to the
 * full load. */
static uint32_t warmup_weight(const struct health_server *s, cg_ms now)
{
	cg_ms ramp = s->warmup_until - s->warmup_from;

	if (now >= s->warmup_until || ramp <= 0)
		return 1000;
	return (uint32_t)MAX(100, 1000 * (now - s->warmup_from) / ramp);
}

static void publish_server(struct health_service *svc, struct health_server *s,
			   cg_ms now)
{
	const struct cg_verdict *v = find_held_verdict(svc, s->id, now);
	struct cg_ejection_explanation x = { .share = 1000 };
	uint32_t w = warmup_weight(s, now), other, fallback_rank = 0;

	cg_ejection_explain(svc->local, s->id, now, &x);
	w = MIN(w, x.share);
	if (v)
		w = MIN(w, v->share);
	/* A recovering server is tested with idempotent requests only. */
	other = (v && !v->any_method) ||
				(x.phase == CG_SERVER_TRIAL && x.share < 1000)
			? 0
			: w;
	if (v)
		fallback_rank = v->phase == CG_SERVER_EJECTED ? FALLBACK_EJECTED
							      : FALLBACK_TRIAL;
	else if (x.phase != CG_SERVER_IN_SERVICE)
		fallback_rank = FALLBACK_AVOIDED;
	fallback_rank += (uint32_t)MIN(x.sum * 10, 900);
	atomic_store_explicit(&s->weight_idempotent, s->drain_noticed ? 0 : w,
			      memory_order_relaxed);
	atomic_store_explicit(&s->weight_other, s->drain_noticed ? 0 : other,
			      memory_order_relaxed);
	atomic_store_explicit(&s->fallback_rank, fallback_rank,
			      memory_order_relaxed);
}

static void update_local_servers(struct health_service *svc, cg_ms now)
{
	struct cg_ejection_server *list =
		g_new0(struct cg_ejection_server, svc->n + 1);
	size_t size = svc->n * sizeof(*list);

	health_describe_servers(svc, list, now);
	for (size_t i = 0; i < svc->n; i++)
		list[i].has_fleet_verdict =
			find_held_verdict(svc, svc->servers[i]->id, now) !=
			NULL;
	if (svc->local_servers && !memcmp(svc->local_servers, list, size)) {
		g_free(list);
		return;
	}
	cg_ejection_set_servers(svc->local, list, svc->n, svc->floor_percent,
				now);
	g_free(svc->local_servers);
	svc->local_servers = list;
}

void health_publish(struct cg_health *h, struct health_service *svc, cg_ms now)
{
	update_local_servers(svc, now);
	for (size_t i = 0; i < svc->n; i++)
		publish_server(svc, svc->servers[i], now);
}

static const char *server_name(const struct health_service *svc, uint32_t id)
{
	for (size_t i = 0; i < svc->n; i++)
		if (svc->servers[i]->id == id)
			return svc->servers[i]->name;
	return "unknown";
}

static void log_changes(const struct health_service *svc,
			const struct cg_verdict *list, size_t n, cg_ms now)
{
	for (size_t i = 0; i < n; i++) {
		const struct cg_verdict *old =
			find_held_verdict(svc, list[i].server, now);

		if (!old || old->phase != list[i].phase ||
		    old->share != list[i].share)
			cg_info("server %s of service %s: phase %s, share %u/1000",
				server_name(svc, list[i].server), svc->name,
				cg_server_phase_name(list[i].phase),
				list[i].share);
	}
}

void verdicts_adopt(struct cg_health *h, struct health_service *svc,
		    uint64_t epoch, uint64_t version,
		    const struct cg_verdict *list, size_t n, cg_ms until)
{
	struct held_verdicts *v = &svc->held;
	cg_ms now = cg_clock_now(h->clk);

	if (epoch < svc->min_epoch || epoch < v->epoch ||
	    (epoch == v->epoch && version < v->version))
		return;
	if (epoch == v->epoch && version == v->version) {
		v->until = MAX(v->until, until);
		return;
	}
	log_changes(svc, list, n, now);
	g_free(v->list);
	v->list = g_memdup2(list, n * sizeof(*list));
	v->n = n;
	v->epoch = epoch;
	v->version = version;
	v->until = until;
	svc->min_epoch = MAX(svc->min_epoch, epoch);
	health_publish(h, svc, now);
}

static bool valid_phase(unsigned int p)
{
	return p == CG_SERVER_EJECTED || p == CG_SERVER_TRIAL;
}

/* Adopts the verdicts of a coordinator's reply, except those with an unknown
 * phase. Their validity counts from the time when the request was sent. */
static void handle_fetched_verdicts(struct fetch *f, struct health_service *svc,
				    const cg_x_verdicts_reply *r)
{
	size_t n = r->verdicts.verdicts_len, k = 0;
	struct cg_verdict *list = g_new0(struct cg_verdict, n + 1);

	for (size_t i = 0; i < n; i++) {
		const cg_x_verdict *v = &r->verdicts.verdicts_val[i];

		if (!valid_phase(v->phase))
			continue;
		list[k++] = (struct cg_verdict){
			.server = v->server,
			.phase = (enum cg_server_phase)v->phase,
			.share = MIN(v->share, 1000),
			.consecutive_ejections = v->consecutive_ejections,
			.remaining_ms = v->remaining_ms,
			.any_method = v->any_method,
		};
	}
	verdicts_adopt(f->h, svc, r->epoch, r->verdict_version, list, k,
		       f->sent_at + f->h->settings->verdict_ttl_ms);
	g_free(list);
}

static void fetch_done(void *arg, int rc, const GByteArray *reply)
{
	struct fetch *f = arg;
	struct cg_health *h = f->h;
	struct health_service *svc;
	cg_x_verdicts_reply r;
	bool ok = !rc && !cg_xdr_decode((xdrproc_t)xdr_cg_x_verdicts_reply,
					reply->data, reply->len, &r, sizeof(r));

	pthread_rwlock_rdlock(&h->services_lock);
	svc = g_hash_table_lookup(h->services, f->service);
	if (svc) {
		pthread_mutex_lock(&svc->lock);
		svc->fetching = false;
		if (ok)
			handle_fetched_verdicts(f, svc, &r);
		pthread_mutex_unlock(&svc->lock);
	}
	pthread_rwlock_unlock(&h->services_lock);
	if (ok)
		xdr_free((xdrproc_t)xdr_cg_x_verdicts_reply, (char *)&r);
	g_free(f);
	health_call_done(h);
}

void verdicts_fetch(struct cg_health *h, struct health_service *svc,
		    const struct sockaddr_in *owner)
{
	cg_x_verdicts_request q = {
		.service = svc->name,
		.failure_domain = (char *)h->settings->failure_domain,
	};
	struct fetch *f;
	GByteArray *body;

	if (svc->fetching)
		return;
	f = g_new0(struct fetch, 1);
	body = g_byte_array_new();
	f->h = h;
	g_strlcpy(f->service, svc->name, sizeof(f->service));
	f->sent_at = cg_clock_now(h->clk);
	cg_xdr_encode((xdrproc_t)xdr_cg_x_verdicts_request, &q, body);
	svc->fetching = true;
	if (health_call(h, owner, CG_MSG_GET_VERDICTS, body, fetch_done, f)) {
		svc->fetching = false;
		g_free(f);
	}
	g_byte_array_unref(body);
}

void verdicts_handle_reply(struct cg_health *h, struct health_service *svc,
			   const cg_x_health_service_reply *a, uint64_t epoch,
			   uint64_t version, cg_ms sent_at,
			   const struct sockaddr_in *owner)
{
	struct held_verdicts *v = &svc->held;

	if (a->epoch < svc->min_epoch)
		return;
	svc->digest_every_tick = a->digest_every_tick;
	cg_ejection_set_reference_ratio(svc->local,
					a->reference_millionths / 1e6);
	if (a->epoch == v->epoch && a->verdict_version == v->version) {
		/* Only verdicts that were held when the digest was sent are
		 * renewed, since the coordinator recorded exactly these as
		 * held. */
		if (epoch == v->epoch && version == v->version)
			v->until = MAX(v->until,
				       sent_at + h->settings->verdict_ttl_ms);
		return;
	}
	if (owner)
		verdicts_fetch(h, svc, owner);
}
