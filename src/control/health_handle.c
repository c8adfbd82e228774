/* Handles messages from other daemons: digests and requests for verdicts. */
#define CG_PART "health"
#include "health_internal.h"

#include <string.h>

static void handle_service_digest(struct cg_health *h,
				  const struct cg_peer_msg *msg,
				  const cg_x_health_digest *d,
				  const cg_x_health_service *x,
				  cg_x_health_reply *r, cg_ms now)
{
	struct health_service *svc =
		g_hash_table_lookup(h->services, x->service);
	cg_x_health_service_reply *a =
		&r->services.services_val[r->services.services_len];

	if (!svc)
		return;
	pthread_mutex_lock(&svc->lock);
	if (!coordinator_handle_digest(h, svc, msg->sender, msg->incarnation,
				       d->failure_domain, x, a, now)) {
		a->service = x->service;
		r->services.services_len++;
	}
	pthread_mutex_unlock(&svc->lock);
}

static int handle_digest(struct cg_health *h, const struct cg_peer_msg *msg,
			 GByteArray *reply)
{
	cg_ms now = cg_clock_now(h->clk);
	cg_x_health_reply r = { 0 };
	cg_x_health_digest d;
	int rc;

	if (cg_xdr_decode((xdrproc_t)xdr_cg_x_health_digest, msg->body,
			  msg->len, &d, sizeof(d)))
		return -1;
	r.services.services_val =
		g_new0(cg_x_health_service_reply, d.services.services_len + 1);
	pthread_rwlock_rdlock(&h->services_lock);
	for (u_int i = 0; i < d.services.services_len; i++)
		handle_service_digest(h, msg, &d, &d.services.services_val[i],
				      &r, now);
	pthread_rwlock_unlock(&h->services_lock);
	rc = cg_xdr_encode((xdrproc_t)xdr_cg_x_health_reply, &r, reply);
	g_free(r.services.services_val);
	xdr_free((xdrproc_t)xdr_cg_x_health_digest, (char *)&d);
	return rc;
}

static void add_verdict(cg_x_verdicts_reply *r, const struct cg_verdict *v)
{
	if (r->verdicts.verdicts_len == CG_X_HEALTH_SERVERS)
		return;
	r->verdicts.verdicts_val[r->verdicts.verdicts_len++] = (cg_x_verdict){
		.server = v->server,
		.phase = v->phase,
		.share = v->share,
		.consecutive_ejections = v->consecutive_ejections,
		.remaining_ms = (u_int)v->remaining_ms,
		.any_method = v->any_method,
	};
}

static void add_coordinator_verdicts(struct health_service *svc,
				     cg_x_verdicts_reply *r, cg_ms now)
{
	struct cg_verdict list[CG_X_HEALTH_SERVERS];
	size_t n = cg_ejection_verdicts(svc->coordinator, now, list,
					G_N_ELEMENTS(list));

	for (size_t i = 0; i < n; i++)
		add_verdict(r, &list[i]);
}

/* Returns all verdicts in force here to a new coordinator. From then on,
 * verdicts of older coordinators are rejected: otherwise an ejection that the
 * new coordinator does not know of could still be adopted. */
static int handle_survey(struct health_service *svc,
			 const cg_x_verdicts_request *q, cg_x_verdicts_reply *r,
			 cg_ms now)
{
	if (q->epoch < svc->min_epoch)
		return -1;
	svc->min_epoch = q->epoch;
	if (svc->coordinator &&
	    cg_ejection_epoch(svc->coordinator) < q->epoch) {
		add_coordinator_verdicts(svc, r, now);
		coordinator_stop(svc);
	}
	for (size_t i = 0; now < svc->held.until && i < svc->held.n; i++)
		add_verdict(r, &svc->held.list[i]);
	r->epoch = svc->held.epoch;
	r->verdict_version = svc->held.version;
	return 0;
}

static int handle_fetch(struct health_service *svc,
			const struct cg_peer_msg *msg,
			const cg_x_verdicts_request *q, cg_x_verdicts_reply *r,
			cg_ms now)
{
	uint32_t reporter;

	if (!svc->coordinator)
		return -1;
	add_coordinator_verdicts(svc, r, now);
	r->epoch = cg_ejection_epoch(svc->coordinator);
	r->verdict_version = cg_ejection_version(svc->coordinator);
	/* Registers the daemon only. Digests are numbered from 1, so number 0
	 * does not mark one of them as counted. */
	cg_ejection_begin_digest(svc->coordinator, msg->sender,
				 msg->incarnation, q->failure_domain, 0, now,
				 &reporter);
	cg_ejection_record_held(svc->coordinator, reporter, r->verdict_version,
				now);
	return 0;
}

/* Handles a hint by fetching the verdicts. The hint comes from a client socket,
 * so the coordinator's address is taken from the shard map. */
static int handle_hint(struct cg_health *h, struct health_service *svc,
		       const cg_x_verdicts_request *q)
{
	struct cg_shard_owner owner;

	if (q->epoch >= svc->min_epoch &&
	    !cg_shards_owner(h->shards, svc->shard, &owner) && !owner.self)
		verdicts_fetch(h, svc, &owner.addr);
	return 0;
}

static int handle_verdicts_request(struct cg_health *h,
				   struct health_service *svc,
				   const struct cg_peer_msg *msg,
				   const cg_x_verdicts_request *q,
				   cg_x_verdicts_reply *r, cg_ms now)
{
	switch (q->mode) {
	case CG_X_VERDICTS_FETCH:
		return handle_fetch(svc, msg, q, r, now);
	case CG_X_VERDICTS_SURVEY:
		return handle_survey(svc, q, r, now);
	case CG_X_VERDICTS_HINT:
		return handle_hint(h, svc, q);
	}
	return -1;
}

static int handle_get_verdicts(struct cg_health *h,
			       const struct cg_peer_msg *msg, GByteArray *reply)
{
	cg_ms now = cg_clock_now(h->clk);
	cg_x_verdicts_reply r = { 0 };
	cg_x_verdicts_request q;
	struct health_service *svc;
	int rc = -1;

	if (cg_xdr_decode((xdrproc_t)xdr_cg_x_verdicts_request, msg->body,
			  msg->len, &q, sizeof(q)))
		return -1;
	r.verdicts.verdicts_val = g_new0(cg_x_verdict, CG_X_HEALTH_SERVERS);
	pthread_rwlock_rdlock(&h->services_lock);
	svc = g_hash_table_lookup(h->services, q.service);
	if (svc) {
		pthread_mutex_lock(&svc->lock);
		rc = handle_verdicts_request(h, svc, msg, &q, &r, now);
		pthread_mutex_unlock(&svc->lock);
	} else if (q.mode == CG_X_VERDICTS_SURVEY) {
		/* A service that is not configured here has no verdicts; reply
		 * with none. */
		rc = 0;
	}
	pthread_rwlock_unlock(&h->services_lock);
	if (!rc)
		rc = cg_xdr_encode((xdrproc_t)xdr_cg_x_verdicts_reply, &r,
				   reply);
	g_free(r.verdicts.verdicts_val);
	xdr_free((xdrproc_t)xdr_cg_x_verdicts_request, (char *)&q);
	return rc;
}

int cg_health_handle(struct cg_health *h, const struct cg_peer_msg *msg,
		     GByteArray *reply)
{
	switch (msg->kind) {
	case CG_MSG_HEALTH_DIGEST:
		return handle_digest(h, msg, reply);
	case CG_MSG_GET_VERDICTS:
		return handle_get_verdicts(h, msg, reply);
	default:
		return -1;
	}
}
