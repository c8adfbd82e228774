#define CG_PART "fleet"
#include "fleet_internal.h"

#include <arpa/inet.h>
#include <string.h>

#include "internal/logging.h"

/* Asks that come before the list of servers has been read wait for it: the
 * list from this daemon's start may name servers that have left. */
void cgw_fleet_ask_broker(struct cgw_fleet *f, const struct cgw_ask *a)
{
	cgw_fleet_set_leading(f, true);
	if (f->servers_fresh)
		cgw_broker_ask(f->broker, a, cgw_loop_now(f->loop));
	else
		g_array_append_val(f->early, *a);
}

static void fill_ask(const struct cgw_slot *s, fleet_ask *a, char **avoid,
		     cg_ms now)
{
	const struct cgw_ask *ask = &s->request;

	a->id = ask->id;
	a->service = (char *)ask->service;
	a->route = (char *)ask->route;
	a->account = (char *)ask->account;
	a->flags = (ask->safe ? FLEET_ASK_SAFE : 0) |
		   (ask->repeat ? FLEET_ASK_REPEAT : 0) |
		   (ask->charged ? FLEET_ASK_CHARGED : 0) |
		   (ask->foreign ? FLEET_ASK_FOREIGN : 0) |
		   (ask->stay ? FLEET_ASK_STAY : 0);
	a->priority = (int)ask->priority;
	a->objective_ms = (u_int)ask->objective_ms;
	a->left_ms = (u_int)MAX(0, ask->due - now);
	for (unsigned int i = 0; i < ask->avoid_count; i++)
		avoid[i] = (char *)ask->avoid[i];
	a->avoid.avoid_val = avoid;
	a->avoid.avoid_len = ask->avoid_count;
}

static void send_ask(struct cgw_slot *s, struct in_addr to)
{
	fleet_body b = { .kind = FLEET_ASK };
	char *avoid[CGW_AVOID_MAX];

	fill_ask(s, &b.fleet_body_u.ask, avoid, cgw_loop_now(s->fleet->loop));
	cgw_fleet_send(s->fleet, to, &b);
}

/* Sends the ask to whom it belongs now. */
static void put_ask(struct cgw_slot *s)
{
	struct cgw_fleet *f = s->fleet;
	struct cgw_member *m = cgw_fleet_member(f, f->leader);
	cg_ms now = cgw_loop_now(f->loop);
	struct in_addr ip;

	if (*s->foreign_ip) {
		inet_pton(AF_INET, s->foreign_ip, &ip);
		send_ask(s, ip);
		cgw_timer_arm(f->loop, &s->timer, now + ASK_AGAIN_MS);
	} else if (m) {
		g_strlcpy(s->broker, m->name, sizeof(s->broker));
		send_ask(s, m->ip);
		cgw_timer_arm(f->loop, &s->timer, now + ASK_AGAIN_MS);
	} else if (!*f->leader) {
		/* Nobody is followed yet; the ask goes out when somebody is. */
		cgw_timer_arm(f->loop, &s->timer, now + ASK_STILL_WAIT_MS);
	} else {
		*s->broker = '\0';
		cgw_timer_cancel(f->loop, &s->timer);
		cgw_fleet_ask_broker(f, &s->request);
	}
}

/* The broker of another domain has no room, or does not answer. */
static void come_home(struct cgw_slot *s)
{
	*s->foreign_ip = '\0';
	s->request.foreign = false;
	s->request.stay = true;
	s->asked_at = cgw_loop_now(s->fleet->loop);
	put_ask(s);
}

static void on_ask_timer(struct cgw_timer *t)
{
	struct cgw_slot *s = caa_container_of(t, struct cgw_slot, timer);
	struct cgw_fleet *f = s->fleet;
	cg_ms now = cgw_loop_now(f->loop);
	cg_ms since = now - MAX(s->asked_at, s->told_at);
	struct cgw_member *m;

	if (*s->foreign_ip) {
		if (since >= ASK_FOREIGN_MS)
			come_home(s);
		else
			put_ask(s);
		return;
	}
	m = cgw_fleet_member(f, s->broker);
	if (s->told_at < s->asked_at && since >= ASK_GIVE_UP_MS && m) {
		cg_info("broker %s does not answer, ask %" G_GUINT64_FORMAT
			" goes to the next",
			m->name, s->request.id);
		m->heard_at = now - ALIVE_MS;
		s->asked_at = now;
		cgw_fleet_choose_leader(f);
		if (s->state != CGW_SLOT_ASKING)
			return;
	}
	put_ask(s);
}

/* Asks that the former broker has not decided go to the new one. */
void cgw_fleet_ask_again(struct cgw_fleet *f)
{
	struct cgw_slot *s, *next;
	cg_ms now = cgw_loop_now(f->loop);

	cds_list_for_each_entry_safe(s, next, &f->slots, node) {
		if (s->state != CGW_SLOT_ASKING || *s->foreign_ip)
			continue;
		s->request.charged = s->request.charged || s->told_at;
		s->asked_at = now;
		s->told_at = 0;
		put_ask(s);
	}
}

void cgw_slot_acquire(struct cgw_fleet *f, struct cgw_slot *s)
{
	s->fleet = f;
	s->state = CGW_SLOT_ASKING;
	s->timer.fire = on_ask_timer;
	g_strlcpy(s->request.daemon, f->settings->instance,
		  sizeof(s->request.daemon));
	s->request.id = f->next_id++;
	s->asked_at = cgw_loop_now(f->loop);
	s->told_at = 0;
	*s->foreign_ip = '\0';
	s->request.foreign = false;
	s->request.stay = false;
	cds_list_add_tail(&s->node, &f->slots);
	put_ask(s);
}

static void send_release(struct cgw_slot *s, enum cgw_result result,
			 cg_ms elapsed)
{
	struct cgw_fleet *f = s->fleet;
	struct cgw_member *m = cgw_fleet_member(f, s->broker);
	fleet_body b = { .kind = FLEET_RELEASE };
	struct in_addr ip;

	b.fleet_body_u.release.id = s->request.id;
	b.fleet_body_u.release.result = (int)result;
	b.fleet_body_u.release.elapsed_ms = (u_int)elapsed;
	if (*s->foreign_ip && inet_pton(AF_INET, s->foreign_ip, &ip) == 1)
		cgw_fleet_send(f, ip, &b);
	else if (m)
		cgw_fleet_send(f, m->ip, &b);
	else
		cgw_broker_release(f->broker, s->request.daemon, s->request.id,
				   result, elapsed, cgw_loop_now(f->loop));
}

static void end_slot(struct cgw_slot *s)
{
	cgw_timer_cancel(s->fleet->loop, &s->timer);
	cds_list_del(&s->node);
	s->state = CGW_SLOT_IDLE;
}

void cgw_slot_release(struct cgw_slot *s, enum cgw_result result)
{
	cg_ms elapsed = 0;

	if (s->state == CGW_SLOT_IDLE)
		return;
	if (s->state == CGW_SLOT_HELD)
		elapsed = cgw_loop_now(s->fleet->loop) - s->granted_at;
	end_slot(s);
	send_release(s, result, elapsed);
}

static struct cgw_slot *slot_of(struct cgw_fleet *f, uint64_t id)
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
	cgw_fleet_send(f, to, &b);
}

/* Handles a verdict on an ask of this daemon. */
static void take_verdict(struct cgw_fleet *f, const struct cgw_verdict *v,
			 const char *other_ip, const struct in_addr *from)
{
	struct cgw_slot *s = slot_of(f, v->id);
	struct other_broker *o;

	if (!s || s->state != CGW_SLOT_ASKING) {
		/* Granted to an ask that was withdrawn or that another broker
		 * has decided; a repeated grant of what is held is no news. */
		if (v->kind == CGW_GRANTED && from &&
		    !(s && !strcmp(s->server, v->u.grant.server)))
			return_grant(f, v->id, *from);
		return;
	}
	cgw_timer_cancel(f->loop, &s->timer);
	switch (v->kind) {
	case CGW_GRANTED:
		s->state = CGW_SLOT_HELD;
		s->granted_at = cgw_loop_now(f->loop);
		s->request.charged = true;
		g_strlcpy(s->server, v->u.grant.server, sizeof(s->server));
		s->decided(s, v);
		return;
	case CGW_REFUSED:
		if (*s->foreign_ip) {
			come_home(s);
			return;
		}
		end_slot(s);
		s->decided(s, v);
		return;
	case CGW_ELSEWHERE:
		s->request.charged = true;
		s->asked_at = cgw_loop_now(f->loop);
		o = g_hash_table_lookup(f->other_brokers, v->u.domain);
		if (other_ip && *other_ip)
			g_strlcpy(s->foreign_ip, other_ip,
				  sizeof(s->foreign_ip));
		else if (o)
			inet_ntop(AF_INET, &o->ip, s->foreign_ip,
				  sizeof(s->foreign_ip));
		if (!*s->foreign_ip) {
			come_home(s);
			return;
		}
		s->request.foreign = true;
		put_ask(s);
		return;
	}
}

void cgw_fleet_deliver_own(struct cgw_timer *t)
{
	struct cgw_fleet *f =
		caa_container_of(t, struct cgw_fleet, verdict_timer);
	struct cgw_verdict *v;

	while ((v = g_queue_pop_head(&f->verdicts))) {
		take_verdict(f, v, NULL, NULL);
		g_free(v);
	}
}

static void send_verdict(struct cgw_fleet *f, const struct cgw_verdict *v,
			 struct in_addr to)
{
	fleet_body b = { 0 };
	char ip[INET_ADDRSTRLEN] = "";
	struct other_broker *o;

	switch (v->kind) {
	case CGW_GRANTED:
		b.kind = FLEET_GRANT;
		b.fleet_body_u.grant = (fleet_grant){
			.id = v->id,
			.server = (char *)v->u.grant.server,
			.address = (char *)v->u.grant.address,
			.usual_ms = (u_int)v->u.grant.usual_ms,
			.overdue_ms = (u_int)v->u.grant.overdue_ms,
		};
		break;
	case CGW_REFUSED:
		b.kind = FLEET_REFUSAL;
		b.fleet_body_u.refusal = (fleet_refusal){
			.id = v->id,
			.reason = (int)v->u.refusal.reason,
			.retry_after_ms = (u_int)v->u.refusal.retry_after_ms,
		};
		break;
	case CGW_ELSEWHERE:
		b.kind = FLEET_ELSEWHERE;
		o = g_hash_table_lookup(f->other_brokers, v->u.domain);
		if (o)
			inet_ntop(AF_INET, &o->ip, ip, sizeof(ip));
		b.fleet_body_u.elsewhere = (fleet_elsewhere){
			.id = v->id,
			.domain = (char *)v->u.domain,
			.broker = ip,
		};
		break;
	}
	cgw_fleet_send(f, to, &b);
}

/* The own broker has decided; own slots hear of it from the loop, so that no
 * decision runs within another. */
void cgw_fleet_on_verdict(void *arg, const struct cgw_verdict *v)
{
	struct cgw_fleet *f = arg;
	struct cgw_member *m;

	f->decided = true;
	if (cgw_fleet_is_self(f, v->daemon)) {
		g_queue_push_tail(&f->verdicts, g_memdup2(v, sizeof(*v)));
		cgw_timer_arm(f->loop, &f->verdict_timer,
			      cgw_loop_now(f->loop));
		return;
	}
	m = cgw_fleet_member(f, v->daemon);
	if (m)
		send_verdict(f, v, m->ip);
}

void cgw_fleet_take_ask(struct cgw_fleet *f, struct cgw_member *m,
			const fleet_ask *q)
{
	cg_ms now = cgw_loop_now(f->loop);
	fleet_body b = { .kind = FLEET_WAITING };
	struct cgw_ask a = { .id = q->id };

	g_strlcpy(a.daemon, m->name, sizeof(a.daemon));
	g_strlcpy(a.service, q->service, sizeof(a.service));
	g_strlcpy(a.route, q->route, sizeof(a.route));
	g_strlcpy(a.account, q->account, sizeof(a.account));
	a.safe = q->flags & FLEET_ASK_SAFE;
	a.repeat = q->flags & FLEET_ASK_REPEAT;
	a.charged = q->flags & FLEET_ASK_CHARGED;
	a.foreign = q->flags & FLEET_ASK_FOREIGN;
	a.stay = q->flags & FLEET_ASK_STAY;
	a.priority = q->priority;
	a.objective_ms = q->objective_ms;
	a.due = now + q->left_ms;
	a.avoid_count = MIN(q->avoid.avoid_len, CGW_AVOID_MAX);
	for (unsigned int i = 0; i < a.avoid_count; i++)
		g_strlcpy(a.avoid[i], q->avoid.avoid_val[i],
			  sizeof(a.avoid[i]));
	if (a.foreign && !cgw_fleet_knows_servers(f)) {
		struct cgw_verdict v = { .kind = CGW_REFUSED, .id = a.id };

		v.u.refusal.reason = CG_REASON_NO_SERVER;
		send_verdict(f, &v, m->ip);
		return;
	}
	if (!a.foreign)
		m->follows_at = now;
	f->decided = false;
	cgw_fleet_ask_broker(f, &a);
	if (f->decided)
		return;
	b.fleet_body_u.waiting.id = q->id;
	cgw_fleet_send(f, m->ip, &b);
}

void cgw_fleet_take_waiting(struct cgw_fleet *f, uint64_t id)
{
	struct cgw_slot *s = slot_of(f, id);

	if (!s || s->state != CGW_SLOT_ASKING || *s->foreign_ip)
		return;
	s->told_at = cgw_loop_now(f->loop);
	cgw_timer_arm(f->loop, &s->timer, s->told_at + ASK_STILL_WAIT_MS);
}

void cgw_fleet_take_answer(struct cgw_fleet *f, const fleet_body *b,
			   struct in_addr from)
{
	struct cgw_verdict v = { 0 };
	const char *ip = NULL;

	if (b->kind == FLEET_GRANT) {
		const fleet_grant *g = &b->fleet_body_u.grant;

		v.kind = CGW_GRANTED;
		v.id = g->id;
		g_strlcpy(v.u.grant.server, g->server,
			  sizeof(v.u.grant.server));
		g_strlcpy(v.u.grant.address, g->address,
			  sizeof(v.u.grant.address));
		v.u.grant.usual_ms = g->usual_ms;
		v.u.grant.overdue_ms = g->overdue_ms;
	} else if (b->kind == FLEET_REFUSAL) {
		const fleet_refusal *r = &b->fleet_body_u.refusal;

		v.kind = CGW_REFUSED;
		v.id = r->id;
		v.u.refusal.reason =
			r->reason > CG_OK && r->reason < CG_REASON_COUNT
				? (enum cg_reason)r->reason
				: CG_REASON_NO_SERVER;
		v.u.refusal.retry_after_ms = r->retry_after_ms;
	} else {
		const fleet_elsewhere *e = &b->fleet_body_u.elsewhere;

		v.kind = CGW_ELSEWHERE;
		v.id = e->id;
		g_strlcpy(v.u.domain, e->domain, sizeof(v.u.domain));
		ip = e->broker;
	}
	take_verdict(f, &v, ip, &from);
}

void cgw_fleet_take_release(struct cgw_fleet *f, struct cgw_member *m,
			    const fleet_release *r)
{
	if (r->result < 0 || r->result >= CGW_RESULT_COUNT) {
		cg_warning("release from %s with unknown result %d", m->name,
			   r->result);
		return;
	}
	cgw_broker_release(f->broker, m->name, r->id,
			   (enum cgw_result)r->result, r->elapsed_ms,
			   cgw_loop_now(f->loop));
}
