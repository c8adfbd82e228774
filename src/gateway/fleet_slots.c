#define CG_PART "fleet"
#include "fleet_internal.h"

#include <arpa/inet.h>
#include <string.h>

#include "internal/logging.h"

/* Requests that arrive before the list of servers has been read, or before it is
 * known whether the domain is evacuated, wait for that: the list from this
 * daemon's start may name servers that have left. */
void cgw_fleet_submit_request(struct cgw_fleet *f,
			      const struct cgw_slot_request *request)
{
	cgw_fleet_set_leading(f, true);
	cgw_fleet_handle_evacuation(f);
	if (cgw_fleet_may_decide(f))
		cgw_broker_request_slot(f->broker, request,
					cgw_loop_now(f->loop));
	else
		g_array_append_val(f->pending_requests, *request);
}

static void fill_slot_request(const struct cgw_slot *s, fleet_slot_request *out,
			      char **avoid, cg_ms now)
{
	const struct cgw_slot_request *request = &s->request;

	out->id = request->id;
	out->service = (char *)request->service;
	out->route = (char *)request->route;
	out->account = (char *)request->account;
	out->flags = (request->idempotent ? FLEET_REQUEST_IDEMPOTENT : 0) |
		     (request->retry ? FLEET_REQUEST_RETRY : 0) |
		     (request->charged ? FLEET_REQUEST_CHARGED : 0) |
		     (request->cross_domain ? FLEET_REQUEST_CROSS_DOMAIN : 0) |
		     (request->no_redirect ? FLEET_REQUEST_NO_REDIRECT : 0);
	out->priority = (int)request->priority;
	out->objective_ms = (u_int)request->objective_ms;
	out->remaining_ms = (u_int)MAX(0, request->deadline - now);
	for (unsigned int i = 0; i < request->avoid_count; i++)
		avoid[i] = (char *)request->avoid[i];
	out->avoid.avoid_val = avoid;
	out->avoid.avoid_len = request->avoid_count;
	out->method = request->method;
	out->size_class = request->size_class;
	out->shape = request->shape;
}

static void send_slot_request(struct cgw_slot *s, struct in_addr to)
{
	fleet_body b = { .kind = FLEET_SLOT_REQUEST };
	char *avoid[CGW_AVOID_MAX];

	fill_slot_request(s, &b.fleet_body_u.slot_request, avoid,
			  cgw_loop_now(s->fleet->loop));
	cgw_fleet_send(s->fleet, to, &b);
}

/* Sends the request to the broker that currently has to decide it. */
static void dispatch_slot_request(struct cgw_slot *s)
{
	struct cgw_fleet *f = s->fleet;
	struct cgw_member *m = cgw_fleet_member(f, f->leader);
	cg_ms now = cgw_loop_now(f->loop);
	struct in_addr ip;

	if (*s->other_broker_ip) {
		inet_pton(AF_INET, s->other_broker_ip, &ip);
		send_slot_request(s, ip);
		cgw_timer_arm(f->loop, &s->timer, now + REQUEST_RETRY_MS);
	} else if (m) {
		g_strlcpy(s->broker, m->name, sizeof(s->broker));
		send_slot_request(s, m->ip);
		cgw_timer_arm(f->loop, &s->timer, now + REQUEST_RETRY_MS);
	} else if (!*f->leader) {
		/* Sent as soon as a leader has been chosen. */
		cgw_timer_arm(f->loop, &s->timer, now + WAITING_RETRY_MS);
	} else {
		*s->broker = '\0';
		cgw_timer_cancel(f->loop, &s->timer);
		cgw_fleet_submit_request(f, &s->request);
	}
}

/* The broker of another domain has no free slot, does not answer, or is not
 * known. Sends the request back to the own domain's broker, which must not
 * redirect it again. */
static void return_to_own_domain(struct cgw_slot *s)
{
	*s->other_broker_ip = '\0';
	s->request.cross_domain = false;
	s->request.no_redirect = true;
	s->requested_at = cgw_loop_now(s->fleet->loop);
	dispatch_slot_request(s);
}

/* Repeats a slot request that has not been decided yet. If another domain's
 * broker has not answered in time, the request returns to the own domain; if
 * this domain's broker has not, another leader is chosen, which is the new
 * broker. */
static void on_slot_timer(struct cgw_timer *t)
{
	struct cgw_slot *s = caa_container_of(t, struct cgw_slot, timer);
	struct cgw_fleet *f = s->fleet;
	cg_ms now = cgw_loop_now(f->loop);
	cg_ms since = now - MAX(s->requested_at, s->waiting_reported_at);
	struct cgw_member *m;

	if (*s->other_broker_ip) {
		if (since >= CROSS_DOMAIN_TIMEOUT_MS)
			return_to_own_domain(s);
		else
			dispatch_slot_request(s);
		return;
	}
	m = cgw_fleet_member(f, s->broker);
	if (s->waiting_reported_at < s->requested_at &&
	    since >= REQUEST_TIMEOUT_MS && m) {
		cg_info("broker %s does not answer; sending slot request "
			"%" G_GUINT64_FORMAT " to another one",
			m->name, s->request.id);
		/* Make the broker count as dead, so that another leader is
		 * chosen. */
		m->last_pong_at = now - LEADER_TIMEOUT_MS;
		s->requested_at = now;
		cgw_fleet_choose_leader(f);
		if (s->state != CGW_SLOT_WAITING)
			return;
	}
	dispatch_slot_request(s);
}

/* This daemon led, and another one decides the request from now on. */
static void withdraw_from_own_broker(struct cgw_slot *s)
{
	struct cgw_fleet *f = s->fleet;
	struct cgw_slot_request *q = &s->request;

	q->charged = q->charged ||
		     cgw_broker_has_charged(f->broker, q->daemon, q->id);
	cgw_broker_release(f->broker, q->daemon, q->id, CGW_RESULT_UNUSED, 0,
			   cgw_loop_now(f->loop));
	for (guint i = f->pending_requests->len; i > 0; i--) {
		const struct cgw_slot_request *p = &g_array_index(
			f->pending_requests, struct cgw_slot_request, i - 1);

		if (p->id == q->id && cgw_fleet_is_self(f, p->daemon))
			g_array_remove_index(f->pending_requests, i - 1);
	}
}

void cgw_fleet_resend_requests(struct cgw_fleet *f)
{
	struct cgw_slot *s, *next;
	cg_ms now = cgw_loop_now(f->loop);

	/* What the own broker has decided is no longer open. */
	cgw_fleet_deliver_own_decisions(&f->decision_timer);
	cds_list_for_each_entry_safe(s, next, &f->slots, node) {
		if (s->state != CGW_SLOT_WAITING || *s->other_broker_ip)
			continue;
		/* What the former broker has charged to the client account or
		 * the retry budget must not be charged again. */
		if (!*s->broker)
			withdraw_from_own_broker(s);
		s->requested_at = now;
		s->waiting_reported_at = 0;
		dispatch_slot_request(s);
	}
}

void cgw_slot_acquire(struct cgw_fleet *f, struct cgw_slot *s)
{
	s->fleet = f;
	s->state = CGW_SLOT_WAITING;
	s->timer.fire = on_slot_timer;
	g_strlcpy(s->request.daemon, f->settings->instance,
		  sizeof(s->request.daemon));
	s->request.id = f->next_id++;
	s->requested_at = cgw_loop_now(f->loop);
	s->waiting_reported_at = 0;
	*s->other_broker_ip = '\0';
	s->request.cross_domain = false;
	s->request.no_redirect = false;
	cds_list_add_tail(&s->node, &f->slots);
	dispatch_slot_request(s);
}

static const struct cgw_server_notice no_notice;

static void fill_notice(fleet_release *r, const char *server,
			int64_t started_wall_ms,
			const struct cgw_server_notice *said)
{
	r->server = (char *)server;
	r->started_wall_ms = (u_quad_t)started_wall_ms;
	r->rest_ms = (u_int)said->rest_ms;
	r->leaving = said->leaving;
}

/* The notice comes first, so that the released slot is not granted again. */
static void release_at_own_broker(struct cgw_slot *s, enum cgw_result result,
				  cg_ms elapsed,
				  const struct cgw_server_notice *said)
{
	struct cgw_broker *b = s->fleet->broker;
	cg_ms now = cgw_loop_now(s->fleet->loop);

	cgw_broker_record_notice(b, s->server, s->server_started_wall_ms, said,
				 now);
	cgw_broker_release(b, s->request.daemon, s->request.id, result, elapsed,
			   now);
}

static void send_release(struct cgw_slot *s, enum cgw_result result,
			 cg_ms elapsed, const struct cgw_server_notice *said)
{
	struct cgw_fleet *f = s->fleet;
	struct cgw_member *m = cgw_fleet_member(f, s->broker);
	fleet_body b = { .kind = FLEET_RELEASE };
	struct in_addr ip;

	b.fleet_body_u.release.id = s->request.id;
	b.fleet_body_u.release.result = (int)result;
	b.fleet_body_u.release.elapsed_ms = (u_int)elapsed;
	fill_notice(&b.fleet_body_u.release, s->server,
		    s->server_started_wall_ms, said);
	if (*s->other_broker_ip &&
	    inet_pton(AF_INET, s->other_broker_ip, &ip) == 1)
		cgw_fleet_send(f, ip, &b);
	else if (m)
		cgw_fleet_send(f, m->ip, &b);
	else
		release_at_own_broker(s, result, elapsed, said);
}

static void end_slot(struct cgw_slot *s)
{
	cgw_timer_cancel(s->fleet->loop, &s->timer);
	cds_list_del(&s->node);
	s->state = CGW_SLOT_IDLE;
}

void cgw_slot_release(struct cgw_slot *s, enum cgw_result result,
		      const struct cgw_server_notice *said)
{
	cg_ms elapsed = 0;

	if (!said)
		said = &no_notice;

	if (s->state == CGW_SLOT_IDLE)
		return;
	if (s->state == CGW_SLOT_HELD)
		elapsed = cgw_loop_now(s->fleet->loop) - s->granted_at;
	end_slot(s);
	cgw_server_notices_record(s->fleet->notices, s->server,
				  s->server_started_wall_ms, said,
				  cgw_loop_now(s->fleet->loop));
	send_release(s, result, elapsed, said);
}

static struct cgw_slot *find_slot(struct cgw_fleet *f, uint64_t id)
{
	struct cgw_slot *s;

	cds_list_for_each_entry(s, &f->slots, node)
		if (s->request.id == id)
			return s;
	return NULL;
}

static void return_grant(struct cgw_fleet *f, uint64_t id, struct in_addr to)
{
	fleet_body b = { .kind = FLEET_RELEASE };

	b.fleet_body_u.release.id = id;
	b.fleet_body_u.release.result = CGW_RESULT_UNUSED;
	b.fleet_body_u.release.server = (char *)"";
	cgw_fleet_send(f, to, &b);
}

/* The broker does not know what the server said to this daemon. Returns the slot
 * with that and requests another one. */
static void decline_grant(struct cgw_slot *s,
			  const struct cgw_server_notice *said)
{
	struct cgw_fleet *f = s->fleet;
	struct cgw_slot_request *q = &s->request;

	send_release(s, CGW_RESULT_UNUSED, 0, said);
	if (q->avoid_count < CGW_AVOID_MAX)
		g_strlcpy(q->avoid[q->avoid_count++], s->server,
			  sizeof(q->avoid[0]));
	s->state = CGW_SLOT_WAITING;
	q->id = f->next_id++;
	if (*s->other_broker_ip) {
		return_to_own_domain(s);
		return;
	}
	s->requested_at = cgw_loop_now(f->loop);
	s->waiting_reported_at = 0;
	dispatch_slot_request(s);
}

/* Handles a broker's decision on a slot request of this daemon. @from is the
 * broker that sent it, NULL for the broker in this process. A redirected
 * request is sent to the broker of the other domain. If that broker refuses it
 * or is not known, the request returns to the own domain's broker. */
static void handle_decision(struct cgw_fleet *f,
			    const struct cgw_slot_decision *d,
			    const char *redirect_ip, const struct in_addr *from)
{
	struct cgw_slot *s = find_slot(f, d->id);
	struct cgw_server_notice said;
	struct other_broker *o;

	if (!s || s->state != CGW_SLOT_WAITING) {
		/* A grant for a request that was withdrawn or that another
		 * broker has decided is returned. A duplicate of the grant of
		 * the held slot is ignored. */
		if (d->kind == CGW_DECISION_GRANTED && from &&
		    !(s && !strcmp(s->server, d->u.grant.server)))
			return_grant(f, d->id, *from);
		return;
	}
	cgw_timer_cancel(f->loop, &s->timer);
	switch (d->kind) {
	case CGW_DECISION_GRANTED:
		s->state = CGW_SLOT_HELD;
		s->granted_at = cgw_loop_now(f->loop);
		s->request.charged = true;
		g_strlcpy(s->server, d->u.grant.server, sizeof(s->server));
		s->server_started_wall_ms = d->u.grant.started_wall_ms;
		if (cgw_server_notices_find(f->notices, s->server,
					    s->server_started_wall_ms,
					    s->granted_at, &said)) {
			decline_grant(s, &said);
			return;
		}
		s->decided(s, d);
		return;
	case CGW_DECISION_REFUSED:
		if (*s->other_broker_ip) {
			return_to_own_domain(s);
			return;
		}
		end_slot(s);
		s->decided(s, d);
		return;
	case CGW_DECISION_REDIRECTED:
		s->request.charged = true;
		s->requested_at = cgw_loop_now(f->loop);
		o = g_hash_table_lookup(f->other_brokers, d->u.domain);
		if (redirect_ip && *redirect_ip)
			g_strlcpy(s->other_broker_ip, redirect_ip,
				  sizeof(s->other_broker_ip));
		else if (o)
			inet_ntop(AF_INET, &o->ip, s->other_broker_ip,
				  sizeof(s->other_broker_ip));
		if (!*s->other_broker_ip) {
			return_to_own_domain(s);
			return;
		}
		s->request.cross_domain = true;
		dispatch_slot_request(s);
		return;
	}
}

void cgw_fleet_deliver_own_decisions(struct cgw_timer *t)
{
	struct cgw_fleet *f =
		caa_container_of(t, struct cgw_fleet, decision_timer);
	struct cgw_slot_decision *d;

	while ((d = g_queue_pop_head(&f->own_decisions))) {
		handle_decision(f, d, NULL, NULL);
		g_free(d);
	}
}

static void send_decision(struct cgw_fleet *f,
			  const struct cgw_slot_decision *d, struct in_addr to)
{
	fleet_body b = { 0 };
	char ip[INET_ADDRSTRLEN] = "";
	struct other_broker *o;

	switch (d->kind) {
	case CGW_DECISION_GRANTED:
		b.kind = FLEET_GRANT;
		b.fleet_body_u.grant = (fleet_grant){
			.id = d->id,
			.server = (char *)d->u.grant.server,
			.address = (char *)d->u.grant.address,
			.typical_latency_ms =
				(u_int)d->u.grant.typical_latency_ms,
			.overdue_ms = (u_int)d->u.grant.overdue_ms,
			.started_wall_ms = (u_quad_t)d->u.grant.started_wall_ms,
		};
		break;
	case CGW_DECISION_REFUSED:
		b.kind = FLEET_REFUSAL;
		b.fleet_body_u.refusal = (fleet_refusal){
			.id = d->id,
			.reason = (int)d->u.refusal.reason,
			.retry_after_ms = (u_int)d->u.refusal.retry_after_ms,
		};
		break;
	case CGW_DECISION_REDIRECTED:
		b.kind = FLEET_REDIRECT;
		o = g_hash_table_lookup(f->other_brokers, d->u.domain);
		if (o)
			inet_ntop(AF_INET, &o->ip, ip, sizeof(ip));
		b.fleet_body_u.redirect = (fleet_redirect){
			.id = d->id,
			.domain = (char *)d->u.domain,
			.broker = ip,
		};
		break;
	}
	cgw_fleet_send(f, to, &b);
}

/* Decisions on own requests are delivered from the event loop, so that a
 * decision callback never runs within another. */
void cgw_fleet_on_broker_decision(void *arg, const struct cgw_slot_decision *d)
{
	struct cgw_fleet *f = arg;
	struct cgw_member *m;

	/* A decision on another request, evicted for this one, does not count:
	 * the daemon would take this broker for one that does not answer. */
	if (f->submitted && d->id == f->submitted->id &&
	    !strcmp(d->daemon, f->submitted->daemon))
		f->decision_made = true;
	if (cgw_fleet_is_self(f, d->daemon)) {
		g_queue_push_tail(&f->own_decisions, g_memdup2(d, sizeof(*d)));
		cgw_timer_arm(f->loop, &f->decision_timer,
			      cgw_loop_now(f->loop));
		return;
	}
	m = cgw_fleet_member(f, d->daemon);
	if (m)
		send_decision(f, d, m->ip);
}

void cgw_fleet_handle_slot_request(struct cgw_fleet *f, struct cgw_member *m,
				   const fleet_slot_request *q)
{
	cg_ms now = cgw_loop_now(f->loop);
	fleet_body b = { .kind = FLEET_WAITING };
	struct cgw_slot_request request = { .id = q->id };

	g_strlcpy(request.daemon, m->name, sizeof(request.daemon));
	g_strlcpy(request.service, q->service, sizeof(request.service));
	g_strlcpy(request.route, q->route, sizeof(request.route));
	g_strlcpy(request.account, q->account, sizeof(request.account));
	request.idempotent = q->flags & FLEET_REQUEST_IDEMPOTENT;
	request.retry = q->flags & FLEET_REQUEST_RETRY;
	request.charged = q->flags & FLEET_REQUEST_CHARGED;
	request.cross_domain = q->flags & FLEET_REQUEST_CROSS_DOMAIN;
	request.no_redirect = q->flags & FLEET_REQUEST_NO_REDIRECT;
	request.priority = q->priority;
	request.objective_ms = q->objective_ms;
	request.deadline = now + q->remaining_ms;
	request.method = q->method;
	request.size_class = q->size_class;
	request.shape = q->shape;
	request.avoid_count = MIN(q->avoid.avoid_len, CGW_AVOID_MAX);
	for (unsigned int i = 0; i < request.avoid_count; i++)
		g_strlcpy(request.avoid[i], q->avoid.avoid_val[i],
			  sizeof(request.avoid[i]));
	if (request.cross_domain &&
	    (!cgw_fleet_servers_are_recent(f) || !cgw_fleet_may_decide(f))) {
		struct cgw_slot_decision d = { .kind = CGW_DECISION_REFUSED,
					       .id = request.id };

		d.u.refusal.reason = CG_REASON_NO_SERVER;
		send_decision(f, &d, m->ip);
		return;
	}
	if (!request.cross_domain)
		cgw_fleet_record_follower(f, m);
	f->decision_made = false;
	f->submitted = &request;
	cgw_fleet_submit_request(f, &request);
	f->submitted = NULL;
	if (f->decision_made)
		return;
	b.fleet_body_u.waiting.id = q->id;
	b.fleet_body_u.waiting.charged =
		cgw_broker_has_charged(f->broker, request.daemon, request.id);
	cgw_fleet_send(f, m->ip, &b);
}

void cgw_fleet_handle_waiting(struct cgw_fleet *f, struct cgw_member *m,
			      const fleet_waiting *w)
{
	struct cgw_slot *s = find_slot(f, w->id);

	if (!s || s->state != CGW_SLOT_WAITING || *s->other_broker_ip)
		return;
	/* A late report of a former broker says nothing about the present one,
	 * but what that has charged is charged. */
	s->request.charged = s->request.charged || w->charged;
	if (strcmp(s->broker, m->name) != 0)
		return;
	s->waiting_reported_at = cgw_loop_now(f->loop);
	cgw_timer_arm(f->loop, &s->timer,
		      s->waiting_reported_at + WAITING_RETRY_MS);
}

void cgw_fleet_handle_decision(struct cgw_fleet *f, const fleet_body *b,
			       struct in_addr from)
{
	struct cgw_slot_decision d = { 0 };
	const char *ip = NULL;

	if (b->kind == FLEET_GRANT) {
		const fleet_grant *g = &b->fleet_body_u.grant;

		d.kind = CGW_DECISION_GRANTED;
		d.id = g->id;
		g_strlcpy(d.u.grant.server, g->server,
			  sizeof(d.u.grant.server));
		g_strlcpy(d.u.grant.address, g->address,
			  sizeof(d.u.grant.address));
		d.u.grant.typical_latency_ms = g->typical_latency_ms;
		d.u.grant.overdue_ms = g->overdue_ms;
		d.u.grant.started_wall_ms = (int64_t)g->started_wall_ms;
	} else if (b->kind == FLEET_REFUSAL) {
		const fleet_refusal *r = &b->fleet_body_u.refusal;

		d.kind = CGW_DECISION_REFUSED;
		d.id = r->id;
		d.u.refusal.reason =
			r->reason > CG_OK && r->reason < CG_REASON_COUNT
				? (enum cg_reason)r->reason
				: CG_REASON_NO_SERVER;
		d.u.refusal.retry_after_ms = r->retry_after_ms;
	} else {
		const fleet_redirect *e = &b->fleet_body_u.redirect;

		d.kind = CGW_DECISION_REDIRECTED;
		d.id = e->id;
		g_strlcpy(d.u.domain, e->domain, sizeof(d.u.domain));
		ip = e->broker;
	}
	handle_decision(f, &d, ip, &from);
}

void cgw_fleet_handle_release(struct cgw_fleet *f, struct cgw_member *m,
			      const fleet_release *r)
{
	struct cgw_server_notice said = { .leaving = r->leaving,
					  .rest_ms = r->rest_ms };

	if (r->result < 0 || r->result >= CGW_RESULT_COUNT) {
		cg_warning("release from %s with unknown result %d", m->name,
			   r->result);
		return;
	}
	cgw_broker_record_notice(f->broker, r->server,
				 (int64_t)r->started_wall_ms, &said,
				 cgw_loop_now(f->loop));
	cgw_broker_release(f->broker, m->name, r->id,
			   (enum cgw_result)r->result, r->elapsed_ms,
			   cgw_loop_now(f->loop));
}
