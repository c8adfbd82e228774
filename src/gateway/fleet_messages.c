#define CG_PART "fleet"
#include "fleet_internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "internal/logging.h"

/* Size of the fields that were added to the end of a message. */
#define TRAILING_FIELDS_MAX 64

static char send_buffer[DATAGRAM_MAX];

static void compute_mac(struct cgw_fleet *f, const char *data, size_t len,
			guint8 out[32])
{
	GHmac *h = g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)f->secret,
			      strlen(f->secret));
	gsize n = 32;

	g_hmac_update(h, (const guchar *)data, (gssize)len);
	g_hmac_get_digest(h, out, &n);
	g_hmac_unref(h);
}

int cgw_fleet_mac(struct cgw_fleet *f, const void *data, size_t len,
		  char out[CGW_FLEET_MAC_TEXT])
{
	guint8 mac[32];

	if (!*f->secret)
		return -1;
	compute_mac(f, data, len, mac);
	for (size_t i = 0; i < sizeof(mac); i++)
		g_snprintf(out + 2 * i, 3, "%02x", mac[i]);
	return 0;
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
	xdrmem_create(&x, send_buffer, sizeof(send_buffer) - MAC_SIZE,
		      XDR_ENCODE);
	if (xdr_fleet_message(&x, &m)) {
		size_t len = xdr_getpos(&x);

		compute_mac(f, send_buffer, len, mac);
		memcpy(send_buffer + len, mac, MAC_SIZE);
		sa.sin_port = htons((uint16_t)f->settings->peer_port);
		/* A full socket buffer is like a lost datagram: the sender
		 * retries what needs an answer. */
		if (sendto(f->io.fd, send_buffer, len + MAC_SIZE, MSG_DONTWAIT,
			   (struct sockaddr *)&sa, sizeof(sa)) < 0)
			cg_debug("cannot send a datagram: %s",
				 g_strerror(errno));
	} else {
		cg_warning("dropped a message of kind %d: too long to send",
			   (int)body->kind);
	}
	xdr_destroy(&x);
}

static void handle_message(struct cgw_fleet *f, const fleet_message *m,
			   struct in_addr from)
{
	struct cgw_member *s =
		cgw_fleet_add_member(f, m->name, m->domain, from);
	const fleet_body *b = &m->body;

	if (!s)
		return;
	s->last_message_at = cgw_loop_now(f->loop);
	if (s->incarnation != m->incarnation) {
		/* A restarted daemon no longer holds the slots of its former
		 * process. */
		if (s->incarnation)
			cgw_broker_remove_daemon(f->broker, s->name,
						 cgw_loop_now(f->loop));
		s->incarnation = m->incarnation;
	}
	switch (b->kind) {
	case FLEET_PING:
		cgw_fleet_handle_ping(f, s, &b->fleet_body_u.ping);
		return;
	case FLEET_PONG:
		cgw_fleet_handle_pong(f, s, &b->fleet_body_u.pong);
		return;
	case FLEET_SLOT_REQUEST:
		cgw_fleet_handle_slot_request(f, s,
					      &b->fleet_body_u.slot_request);
		return;
	case FLEET_GRANT:
	case FLEET_REFUSAL:
	case FLEET_REDIRECT:
		cgw_fleet_handle_decision(f, b, from);
		return;
	case FLEET_WAITING:
		cgw_fleet_handle_waiting(f, s, &b->fleet_body_u.waiting);
		return;
	case FLEET_RELEASE:
		cgw_fleet_handle_release(f, s, &b->fleet_body_u.release);
		return;
	case FLEET_HEARTBEAT:
		cgw_fleet_handle_heartbeat(f, s, &b->fleet_body_u.heartbeat);
		return;
	}
}

void cgw_fleet_on_datagram(struct cgw_io *io, uint32_t events)
{
	struct cgw_fleet *f = caa_container_of(io, struct cgw_fleet, io);
	static char received[DATAGRAM_MAX + TRAILING_FIELDS_MAX];
	struct sockaddr_in sa = { 0 };
	socklen_t sa_len = sizeof(sa);
	ssize_t n;

	(void)events;
	while ((n = recvfrom(io->fd, received, DATAGRAM_MAX, MSG_DONTWAIT,
			     (struct sockaddr *)&sa, &sa_len)) >= 0) {
		fleet_message m = { 0 };
		guint8 mac[32];
		size_t len;
		XDR x;

		sa_len = sizeof(sa);
		if (n <= MAC_SIZE || !*f->secret)
			continue;
		len = (size_t)n - MAC_SIZE;
		compute_mac(f, received, len, mac);
		if (memcmp(mac, received + len, MAC_SIZE) != 0) {
			cg_info("dropped a datagram with a wrong signature");
			continue;
		}
		/* Fields that an older version does not send read as 0. */
		memset(received + len, 0, TRAILING_FIELDS_MAX);
		xdrmem_create(&x, received, (u_int)len + TRAILING_FIELDS_MAX,
			      XDR_DECODE);
		if (xdr_fleet_message(&x, &m))
			handle_message(f, &m, sa.sin_addr);
		else
			cg_warning("dropped a malformed datagram");
		xdr_free((xdrproc_t)xdr_fleet_message, &m);
		xdr_destroy(&x);
	}
}
