#define CG_PART "fleet"
#include "fleet_internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "internal/logging.h"

static char buffer[DATAGRAM_MAX];

static void sign(struct cgw_fleet *f, const char *data, size_t len,
		 guint8 out[32])
{
	GHmac *h = g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)f->secret,
			      strlen(f->secret));
	gsize n = 32;

	g_hmac_update(h, (const guchar *)data, (gssize)len);
	g_hmac_get_digest(h, out, &n);
	g_hmac_unref(h);
}

void cgw_fleet_send(struct cgw_fleet *f, struct in_addr to, fleet_body *body)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_addr = to };
	fleet_message m = { 0 };
	guint8 mac[32];
	XDR x;

	if (!*f->secret)
		return;
	m.name = f->settings->instance;
	m.domain = f->settings->domain;
	m.incarnation = f->incarnation;
	m.body = *body;
	xdrmem_create(&x, buffer, sizeof(buffer) - MAC_SIZE, XDR_ENCODE);
	if (xdr_fleet_message(&x, &m)) {
		size_t len = xdr_getpos(&x);

		sign(f, buffer, len, mac);
		memcpy(buffer + len, mac, MAC_SIZE);
		sa.sin_port = htons((uint16_t)f->settings->peer_port);
		/* A lost datagram is asked for again; a full socket counts as
		 * one. */
		if (sendto(f->io.fd, buffer, len + MAC_SIZE, MSG_DONTWAIT,
			   (struct sockaddr *)&sa, sizeof(sa)) < 0)
			cg_debug("datagram not sent: %s", g_strerror(errno));
	} else {
		cg_warning("message of kind %d is too long to send",
			   (int)body->kind);
	}
	xdr_destroy(&x);
}

static void take_message(struct cgw_fleet *f, const fleet_message *m,
			 struct in_addr from)
{
	struct cgw_member *s =
		cgw_fleet_add_member(f, m->name, m->domain, from);
	const fleet_body *b = &m->body;

	if (!s)
		return;
	s->seen_at = cgw_loop_now(f->loop);
	if (s->incarnation != m->incarnation) {
		/* A new process under an old name holds nothing. */
		if (s->incarnation)
			cgw_broker_remove_daemon(f->broker, s->name,
						 cgw_loop_now(f->loop));
		s->incarnation = m->incarnation;
	}
	switch (b->kind) {
	case FLEET_PING:
		cgw_fleet_take_ping(f, s, &b->fleet_body_u.ping);
		return;
	case FLEET_PONG:
		cgw_fleet_take_pong(f, s, &b->fleet_body_u.pong);
		return;
	case FLEET_ASK:
		cgw_fleet_take_ask(f, s, &b->fleet_body_u.ask);
		return;
	case FLEET_GRANT:
	case FLEET_REFUSAL:
	case FLEET_ELSEWHERE:
		cgw_fleet_take_answer(f, b, from);
		return;
	case FLEET_WAITING:
		cgw_fleet_take_waiting(f, b->fleet_body_u.waiting.id);
		return;
	case FLEET_RELEASE:
		cgw_fleet_take_release(f, s, &b->fleet_body_u.release);
		return;
	case FLEET_BEAT:
		cgw_fleet_take_beat(f, s, &b->fleet_body_u.beat);
		return;
	}
}

void cgw_fleet_on_datagram(struct cgw_io *io, uint32_t events)
{
	struct cgw_fleet *f = caa_container_of(io, struct cgw_fleet, io);
	static char in[DATAGRAM_MAX];
	struct sockaddr_in sa = { 0 };
	socklen_t sa_len = sizeof(sa);
	ssize_t n;

	(void)events;
	while ((n = recvfrom(io->fd, in, sizeof(in), MSG_DONTWAIT,
			     (struct sockaddr *)&sa, &sa_len)) >= 0) {
		fleet_message m = { 0 };
		guint8 mac[32];
		size_t len;
		XDR x;

		sa_len = sizeof(sa);
		if (n <= MAC_SIZE || !*f->secret)
			continue;
		len = (size_t)n - MAC_SIZE;
		sign(f, in, len, mac);
		if (memcmp(mac, in + len, MAC_SIZE) != 0) {
			cg_info("datagram with a wrong signature, dropped");
			continue;
		}
		xdrmem_create(&x, in, (u_int)len, XDR_DECODE);
		if (xdr_fleet_message(&x, &m))
			take_message(f, &m, sa.sin_addr);
		else
			cg_warning("datagram cannot be read, dropped");
		xdr_free((xdrproc_t)xdr_fleet_message, &m);
		xdr_destroy(&x);
	}
}
