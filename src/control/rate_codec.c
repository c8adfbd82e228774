#include "rate_codec.h"

#include <arpa/inet.h>
#include <string.h>

static u_int to_u32(int64_t v)
{
	return v < 0 ? 0 : v > UINT32_MAX ? UINT32_MAX : (u_int)v;
}

void cg_rate_share_to_xdr(const struct cg_rate_share *s, cg_x_rate_share *out)
{
	out->refill_right = s->refill_right;
	out->capacity = s->capacity;
	out->tokens = s->tokens;
}

void cg_rate_share_from_xdr(const cg_x_rate_share *x, struct cg_rate_share *out)
{
	out->refill_right = x->refill_right;
	out->capacity = x->capacity;
	out->tokens = x->tokens;
}

void cg_rate_token_request_to_xdr(const char *account,
				  const struct cg_rate_token_request *request,
				  cg_x_rate_token_request *out)
{
	memset(out, 0, sizeof(*out));
	out->account = (char *)account;
	out->demand = to_u32(request->demand);
	out->need = to_u32(request->need);
	out->final = request->final;
	out->holding.in_session = request->session != 0;
	if (request->session) {
		cg_x_rate_session_state *p =
			&out->holding.cg_x_rate_holding_state_u.state;

		p->session = request->session;
		p->number = request->number;
		cg_rate_share_to_xdr(&request->released, &p->released);
	} else {
		out->holding.cg_x_rate_holding_state_u.refused_up_to =
			request->refused_up_to;
	}
}

void cg_rate_token_request_from_xdr(const cg_x_rate_token_request *x,
				    struct cg_rate_token_request *out)
{
	*out = (struct cg_rate_token_request){ .demand = x->demand,
					       .need = x->need,
					       .final = x->final };
	if (x->holding.in_session) {
		const cg_x_rate_session_state *p =
			&x->holding.cg_x_rate_holding_state_u.state;

		out->session = p->session;
		out->number = p->number;
		cg_rate_share_from_xdr(&p->released, &out->released);
	} else {
		out->refused_up_to =
			x->holding.cg_x_rate_holding_state_u.refused_up_to;
	}
}

void cg_rate_answer_to_xdr(const struct cg_rate_answer *a,
			   cg_x_rate_answer *out)
{
	cg_x_rate_grant *g = &out->result.cg_x_rate_result_u.grant;

	memset(out, 0, sizeof(*out));
	out->retry_ms = to_u32(a->retry_ms);
	out->result.status = a->status;
	if (a->status == CG_RATE_STATUS_CLOSED) {
		out->result.cg_x_rate_result_u.session = a->session;
		return;
	}
	if (a->status != CG_RATE_STATUS_OK)
		return;
	g->session = a->session;
	g->number = a->number;
	cg_rate_share_to_xdr(&a->granted, &g->granted);
	g->lease_ms = to_u32(a->lease_ms);
	g->decrease.requested = a->target_right >= 0;
	if (g->decrease.requested) {
		g->decrease.cg_x_rate_decrease_u.target.refill_right =
			a->target_right;
		g->decrease.cg_x_rate_decrease_u.target.capacity =
			a->target_capacity;
	}
}

void cg_rate_answer_from_xdr(const cg_x_rate_answer *x,
			     struct cg_rate_answer *out)
{
	const cg_x_rate_grant *g = &x->result.cg_x_rate_result_u.grant;

	*out = (struct cg_rate_answer){ .retry_ms = x->retry_ms,
					.target_right = -1,
					.target_capacity = -1 };
	switch (x->result.status) {
	case CG_RATE_STATUS_OK:
		out->status = CG_RATE_STATUS_OK;
		break;
	case CG_RATE_STATUS_CLOSED:
		out->status = CG_RATE_STATUS_CLOSED;
		out->session = x->result.cg_x_rate_result_u.session;
		return;
	case CG_RATE_STATUS_NOT_OWNER:
		out->status = CG_RATE_STATUS_NOT_OWNER;
		return;
	default:
		out->status = CG_RATE_STATUS_NOT_READY;
		return;
	}
	out->session = g->session;
	out->number = g->number;
	cg_rate_share_from_xdr(&g->granted, &out->granted);
	out->lease_ms = g->lease_ms;
	if (g->decrease.requested) {
		out->target_right =
			g->decrease.cg_x_rate_decrease_u.target.refill_right;
		out->target_capacity =
			g->decrease.cg_x_rate_decrease_u.target.capacity;
	}
}

void cg_rate_record_to_xdr(const char *account, const struct cg_rate_record *r,
			   cg_ms now, cg_x_rate_record *out)
{
	memset(out, 0, sizeof(*out));
	out->account = (char *)account;
	out->instance = (char *)r->holder.name;
	out->incarnation = r->holder.incarnation;
	out->ip = ntohl(r->holder.addr.sin_addr.s_addr);
	out->port = ntohs(r->holder.addr.sin_port);
	out->session = r->session;
	out->number = r->number;
	cg_rate_share_to_xdr(&r->granted, &out->granted);
	cg_rate_share_to_xdr(&r->released, &out->released);
	out->withheld = r->withheld;
	out->lease_remaining_ms = -1;
	if (r->lease_until != CG_MS_NEVER)
		out->lease_remaining_ms =
			r->lease_until > now ? r->lease_until - now : 0;
	out->demand = to_u32(r->demand);
}

void cg_rate_record_from_xdr(const cg_x_rate_record *x, cg_ms now,
			     struct cg_rate_record *out)
{
	memset(out, 0, sizeof(*out));
	g_strlcpy(out->holder.name, x->instance, sizeof(out->holder.name));
	out->holder.incarnation = x->incarnation;
	out->holder.addr.sin_family = AF_INET;
	out->holder.addr.sin_addr.s_addr = htonl(x->ip);
	out->holder.addr.sin_port = htons((uint16_t)x->port);
	out->session = x->session;
	out->number = x->number;
	cg_rate_share_from_xdr(&x->granted, &out->granted);
	cg_rate_share_from_xdr(&x->released, &out->released);
	out->withheld = x->withheld;
	out->lease_until = CG_MS_NEVER;
	if (x->lease_remaining_ms >= 0) {
		/* The lease restarts on arrival, so it never expires too
		 * early. */
		out->lease_until = now + x->lease_remaining_ms;
		out->lease_ms = CG_RATE_TOKEN_LEASE_MS;
	}
	out->demand = x->demand;
	out->last_seen_at = now;
}
