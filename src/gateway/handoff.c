#define CG_PART "handoff"
#include "gateway/handoff.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <rpc/types.h>
#include <rpc/xdr.h>

#include "celeryglade/counters.h"
#include "fleet_wire.h"
#include "gateway/compression.h"
#include "gateway/gateway.h"
#include "gateway/link_budget.h"
#include "http_server.h"
#include "internal/http_text.h"
#include "internal/logging.h"

#define TARGET_CONFIG  "/config"
#define TARGET_SERVERS "/servers"
#define TARGET_WORK    "/work"
#define HEADER_NONCE   "X-Celeryglade-Nonce"
#define HEADER_MAC     "X-Celeryglade-Mac"
/* Age of the list of servers in milliseconds. */
#define HEADER_AGE "X-Celeryglade-Age"
/* Both daemons are in one domain; a narrow link carries 1 MB in half a
 * second. */
#define CONNECT_MS 200
#define FETCH_MS   1000
/* Share of this machine's link for configurations that it hands on. The rest is
 * for callers, servers and the store. */
#define LINK_SHARE 0.5
/* A fetch that is accepted is sent in this time. Others are refused at once, and
 * find a daemon that has the configuration by then. */
#define SEND_MS 250
/* A fetch that was refused is repeated after this time and a random part of the
 * spread, from the daemon that the leader then names. */
#define REFUSED_RETRY_MS	50
#define REFUSED_RETRY_SPREAD_MS 100
#define NONCE_SIZE		33
/* Size of the fields that were added to the end of the list of servers. */
#define TRAILING_FIELDS_MAX 16

enum resource {
	RESOURCE_CONFIG,
	RESOURCE_SERVERS,
	RESOURCE_WORK,
	RESOURCE_COUNT
};

static const char *const targets[RESOURCE_COUNT] = { TARGET_CONFIG,
						     TARGET_SERVERS,
						     TARGET_WORK };

struct fetch {
	struct cgw_handoff *handoff;
	enum resource resource;
	struct cgw_call call;
	GByteArray *request;
	char nonce[NONCE_SIZE];
	cg_ms sent_at;
	uint64_t version;
	cg_ms proved_at;
};

struct cgw_handoff {
	struct cgw_gateway *gateway;
	struct cgw_http_server server;
	struct fetch fetches[RESOURCE_COUNT];
	unsigned int failures; /* of the configuration, in a row */
	struct cgw_link_budget link;
	struct cgw_timer retry_timer; /* after a fetch that was refused */
};

/* Computes the code of a request, or of a response if @body is not NULL. The
 * nonce binds a response to its request. Returns -1 without a secret. */
static int compute_mac(struct cgw_handoff *h, const char *target,
		       const char *nonce, const char *age, const void *body,
		       size_t len, char out[CGW_FLEET_MAC_TEXT])
{
	GString *s = g_string_new(body ? "response " : "request ");
	int rc;

	g_string_append_printf(s, "%s %s %s\n", target, nonce, age);
	if (body)
		g_string_append_len(s, body, (gssize)len);
	rc = cgw_fleet_mac(h->gateway->fleet, s->str, s->len, out);
	g_string_free(s, TRUE);
	return rc;
}

/* Returns how long a configuration may be, as that of the store. */
static size_t config_bytes_max(const struct cgw_handoff *h)
{
	return (size_t)h->gateway->settings.response_max_bytes;
}

/* ---- serving ---- */

static GArray *departures_to_wire(const GArray *departed)
{
	GArray *out = g_array_new(FALSE, TRUE, sizeof(fleet_departure));

	for (guint i = 0; i < departed->len; i++) {
		struct cgw_departure *d =
			&g_array_index(departed, struct cgw_departure, i);
		fleet_departure w = {
			.id = d->id,
			.started_wall_ms = (u_quad_t)d->started_wall_ms,
			.seq = (u_quad_t)d->seq,
			.store_era = d->era,
			.gone = d->gone,
		};

		g_array_append_val(out, w);
	}
	return out;
}

static bool encode_servers(struct cgw_feed *feed, GByteArray *out)
{
	const GArray *servers = cgw_feed_servers(feed);
	GArray *departed = cgw_feed_departures(feed);
	GArray *departures = departures_to_wire(departed);
	GArray *seqs = g_array_new(FALSE, TRUE, sizeof(u_quad_t));
	GArray *list = g_array_sized_new(FALSE, TRUE, sizeof(fleet_server),
					 servers->len);
	fleet_servers all = { .store_era = cgw_feed_servers_era(feed) };
	bool ok;
	XDR x;

	for (guint i = 0; i < servers->len; i++) {
		struct cgw_server_facts *f =
			&g_array_index(servers, struct cgw_server_facts, i);
		fleet_server s = {
			.id = f->id,
			.service = f->service,
			.address = f->address,
			.domain = f->domain,
			.slots = (u_int)f->slots,
			.started_wall_ms = (u_quad_t)f->started_wall_ms,
			.warmup_remaining_ms = (u_int)f->warmup_remaining_ms,
			.leaving = f->leaving,
		};
		u_quad_t seq = (u_quad_t)f->seq;

		g_array_append_val(list, s);
		g_array_append_val(seqs, seq);
	}
	all.servers.servers_val = (void *)list->data;
	all.servers.servers_len = list->len;
	all.seqs.seqs_val = (void *)seqs->data;
	all.seqs.seqs_len = seqs->len;
	all.departures.departures_val = (void *)departures->data;
	all.departures.departures_len = departures->len;
	g_byte_array_set_size(
		out, (guint)xdr_sizeof((xdrproc_t)xdr_fleet_servers, &all));
	xdrmem_create(&x, (char *)out->data, out->len, XDR_ENCODE);
	ok = xdr_fleet_servers(&x, &all);
	xdr_destroy(&x);
	g_array_unref(list);
	g_array_unref(seqs);
	g_array_unref(departures);
	g_array_unref(departed);
	return ok;
}

/* Returns the configuration, compressed unless the fetcher is of a version that
 * cannot read that; NULL if there is none. */
static GByteArray *config_body(struct cgw_handoff *h, bool compressed)
{
	GBytes *config = cgw_feed_compressed_config(h->gateway->feed);
	GByteArray *b;
	gconstpointer data;
	gsize len;

	if (!config)
		return NULL;
	data = g_bytes_get_data(config, &len);
	if (!compressed)
		return cgw_decompress(data, len, config_bytes_max(h));
	b = g_byte_array_sized_new((guint)len);
	return g_byte_array_append(b, data, (guint)len);
}

/* Returns the body of a resource and its age, or NULL if there is none. */
static GByteArray *resource_body(struct cgw_handoff *h, enum resource r,
				 bool compressed, cg_ms *age)
{
	struct cgw_feed *feed = h->gateway->feed;
	GByteArray *b = g_byte_array_new();

	*age = 0;
	switch (r) {
	case RESOURCE_CONFIG:
		g_byte_array_unref(b);
		return config_body(h, compressed);
	case RESOURCE_SERVERS:
		if (cgw_feed_servers_read_at(feed) < 0 ||
		    !encode_servers(feed, b))
			break;
		*age = cgw_loop_now(h->gateway->loop) -
		       cgw_feed_servers_read_at(feed);
		return b;
	case RESOURCE_WORK:
		if (!cgw_broker_export_work(cgw_fleet_broker(h->gateway->fleet),
					    b, cgw_loop_now(h->gateway->loop)))
			break;
		return b;
	case RESOURCE_COUNT:
		break;
	}
	g_byte_array_unref(b);
	return NULL;
}

static bool accepts_compression(struct MHD_Connection *mhd)
{
	const char *coding = MHD_lookup_connection_value(
		mhd, MHD_HEADER_KIND, MHD_HTTP_HEADER_ACCEPT_ENCODING);

	return coding && !strcmp(coding, CGW_COMPRESSION_CODING);
}

static enum MHD_Result respond_absent(struct MHD_Connection *mhd)
{
	struct MHD_Response *m = MHD_create_response_from_buffer(
		0, (void *)"", MHD_RESPMEM_PERSISTENT);
	enum MHD_Result rc = MHD_queue_response(mhd, 404, m);

	MHD_destroy_response(m);
	return rc;
}

/* Signs and sends the body @b, which it frees. */
static enum MHD_Result respond_signed(struct cgw_handoff *h,
				      struct MHD_Connection *mhd,
				      enum resource r, const char *nonce,
				      GByteArray *b, cg_ms age, bool compressed)
{
	char mac[CGW_FLEET_MAC_TEXT], age_text[24];
	struct MHD_Response *m;
	enum MHD_Result rc;
	gsize len = b->len;

	g_snprintf(age_text, sizeof(age_text), "%d", (int)MIN(age, G_MAXINT));
	if (compute_mac(h, targets[r], nonce, age_text, b->data, len, mac)) {
		g_byte_array_unref(b);
		return respond_absent(mhd);
	}
	m = MHD_create_response_from_buffer_with_free_callback(
		len, g_byte_array_free(b, FALSE), g_free);
	MHD_add_response_header(m, HEADER_MAC, mac);
	MHD_add_response_header(m, HEADER_AGE, age_text);
	if (compressed)
		MHD_add_response_header(m, MHD_HTTP_HEADER_CONTENT_ENCODING,
					CGW_COMPRESSION_CODING);
	MHD_add_response_header(m, "Connection", "close");
	rc = MHD_queue_response(mhd, 200, m);
	MHD_destroy_response(m);
	return rc;
}

static enum MHD_Result respond(struct cgw_handoff *h,
			       struct MHD_Connection *mhd, enum resource r,
			       const char *nonce)
{
	bool compressed = r == RESOURCE_CONFIG && accepts_compression(mhd);
	cg_ms age;
	GByteArray *b = resource_body(h, r, compressed, &age);

	if (!b)
		return respond_absent(mhd);
	if (r == RESOURCE_CONFIG &&
	    !cgw_link_budget_take(&h->link, b->len, SEND_MS,
				  cgw_loop_now(h->gateway->loop))) {
		g_byte_array_unref(b);
		cg_count(CG_COUNTER_CONFIG_FETCHES_REFUSED);
		return cg_http_respond_text(mhd, MHD_HTTP_SERVICE_UNAVAILABLE,
					    "the link is busy");
	}
	return respond_signed(h, mhd, r, nonce, b, age, compressed);
}

static enum MHD_Result handle_request(void *cls, struct MHD_Connection *mhd,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *data_size, void **state)
{
	struct cgw_handoff *h = cls;
	const char *nonce =
		MHD_lookup_connection_value(mhd, MHD_HEADER_KIND, HEADER_NONCE);
	const char *mac =
		MHD_lookup_connection_value(mhd, MHD_HEADER_KIND, HEADER_MAC);
	char expected[CGW_FLEET_MAC_TEXT];

	(void)version;
	(void)data;
	(void)data_size;
	(void)state;
	for (int r = 0; r < RESOURCE_COUNT; r++) {
		if (strcmp(method, "GET") != 0 || strcmp(url, targets[r]) != 0)
			continue;
		if (nonce && mac &&
		    !compute_mac(h, url, nonce, "", NULL, 0, expected) &&
		    !strcmp(mac, expected))
			return respond(h, mhd, (enum resource)r, nonce);
		cg_info("refused %s to a caller without the fleet's secret",
			url);
	}
	return cg_http_respond_text(mhd, 403, "not signed by this fleet");
}

/* ---- fetching ---- */

static void take_departures(struct fetch *f, const fleet_servers *all)
{
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct cgw_departure));

	for (u_int i = 0; i < all->departures.departures_len; i++) {
		const fleet_departure *w = &all->departures.departures_val[i];
		struct cgw_departure d = {
			.started_wall_ms = (int64_t)w->started_wall_ms,
			.seq = (int64_t)w->seq,
			.era = w->store_era,
			.gone = w->gone,
		};

		g_strlcpy(d.id, w->id, sizeof(d.id));
		g_array_append_val(out, d);
	}
	cgw_feed_take_departures(f->handoff->gateway->feed,
				 (const void *)out->data, out->len);
	g_array_unref(out);
}

static void take_servers(struct fetch *f, cg_ms age)
{
	static const guint8 absent[TRAILING_FIELDS_MAX];
	struct cgw_gateway *g = f->handoff->gateway;
	fleet_servers all = { 0 };
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct cgw_server_facts));
	bool ok;
	XDR x;

	/* Fields that an older version does not send read as 0. */
	g_byte_array_append(f->call.body, absent, sizeof(absent));
	xdrmem_create(&x, (char *)f->call.body->data, f->call.body->len,
		      XDR_DECODE);
	ok = xdr_fleet_servers(&x, &all);
	for (u_int i = 0; ok && i < all.servers.servers_len; i++) {
		const fleet_server *s = &all.servers.servers_val[i];
		struct cgw_server_facts facts = {
			.slots = s->slots,
			.started_wall_ms = (int64_t)s->started_wall_ms,
			.warmup_remaining_ms = s->warmup_remaining_ms,
			.leaving = s->leaving,
		};

		if (i < all.seqs.seqs_len)
			facts.seq = (int64_t)all.seqs.seqs_val[i];
		g_strlcpy(facts.id, s->id, sizeof(facts.id));
		g_strlcpy(facts.service, s->service, sizeof(facts.service));
		g_strlcpy(facts.address, s->address, sizeof(facts.address));
		g_strlcpy(facts.domain, s->domain, sizeof(facts.domain));
		g_array_append_val(out, facts);
	}
	if (ok) {
		cgw_feed_take_servers(g->feed, (const void *)out->data,
				      out->len, all.store_era,
				      f->sent_at - age);
		take_departures(f, &all);
	} else {
		cg_warning("cannot parse the servers from %s", f->call.address);
	}
	xdr_free((xdrproc_t)xdr_fleet_servers, &all);
	xdr_destroy(&x);
	g_array_unref(out);
}

/* Puts a configuration into force that was received compressed. Returns its
 * version, or 0 if it is invalid. */
static uint64_t take_compressed_config(struct fetch *f)
{
	struct cgw_handoff *h = f->handoff;
	GByteArray *body = f->call.body;
	GByteArray *text =
		cgw_decompress(body->data, body->len, config_bytes_max(h));
	GBytes *compressed;
	uint64_t version;

	if (!text) {
		cg_warning("cannot decompress the configuration from %s",
			   f->call.address);
		return 0;
	}
	compressed = g_bytes_new(body->data, body->len);
	version = cgw_feed_take_config(h->gateway->feed, text->data, text->len,
				       compressed, f->call.address, f->sent_at);
	g_bytes_unref(compressed);
	g_byte_array_unref(text);
	return version;
}

static void take_config(struct fetch *f)
{
	struct cgw_handoff *h = f->handoff;
	struct cgw_feed *feed = h->gateway->feed;
	const char *coding = cgw_call_header(&f->call, "Content-Encoding");
	uint64_t version =
		coding && !strcmp(coding, CGW_COMPRESSION_CODING)
			? take_compressed_config(f)
			: cgw_feed_take_config(feed, f->call.body->data,
					       f->call.body->len, NULL,
					       f->call.address, f->sent_at);

	if (!version)
		return;
	h->failures = 0;
	/* The leader names this daemon to others from now on. */
	cgw_fleet_ping_leader(h->gateway->fleet);
	if (version == f->version && f->proved_at >= 0)
		cgw_feed_record_proof(feed, version, f->proved_at);
}

static void take_work(struct fetch *f)
{
	struct cgw_gateway *g = f->handoff->gateway;

	if (cgw_broker_import_work(cgw_fleet_broker(g->fleet),
				   f->call.body->data, f->call.body->len,
				   cgw_loop_now(g->loop)))
		cg_warning("cannot parse the estimates of work from %s",
			   f->call.address);
}

/* Returns whether the response comes from a daemon that knows the secret. */
static bool is_authentic(struct fetch *f, const char **age)
{
	const char *mac = cgw_call_header(&f->call, HEADER_MAC);
	char expected[CGW_FLEET_MAC_TEXT];

	*age = cgw_call_header(&f->call, HEADER_AGE);
	return f->call.outcome == CGW_CALL_RESPONDED && f->call.status == 200 &&
	       mac && *age &&
	       !compute_mac(f->handoff, targets[f->resource], f->nonce, *age,
			    f->call.body->data, f->call.body->len, expected) &&
	       !strcmp(mac, expected);
}

/* The leader's pong names the daemon to ask next. */
static void on_retry(struct cgw_timer *t)
{
	struct cgw_handoff *h =
		caa_container_of(t, struct cgw_handoff, retry_timer);

	cgw_fleet_ping_leader(h->gateway->fleet);
}

static void retry_refused(struct cgw_handoff *h)
{
	cg_ms delay = REFUSED_RETRY_MS +
		      g_random_int_range(0, REFUSED_RETRY_SPREAD_MS);

	cgw_timer_arm(h->gateway->loop, &h->retry_timer,
		      cgw_loop_now(h->gateway->loop) + delay);
}

static void on_fetched(struct cgw_call *c)
{
	struct fetch *f = caa_container_of(c, struct fetch, call);
	struct cgw_handoff *h = f->handoff;
	const char *age;

	if (f->resource == RESOURCE_CONFIG &&
	    c->outcome == CGW_CALL_RESPONDED &&
	    c->status == MHD_HTTP_SERVICE_UNAVAILABLE) {
		retry_refused(h);
	} else if (!is_authentic(f, &age)) {
		/* A broker that has learnt nothing, or of an older version, has
		 * no estimates. */
		if (f->resource == RESOURCE_WORK &&
		    c->outcome == CGW_CALL_RESPONDED &&
		    (c->status == 404 || c->status == 403)) {
			cgw_call_clear(c);
			return;
		}
		cg_info("cannot fetch %s from %s: call outcome %d, HTTP status "
			"%d after %d ms",
			targets[f->resource], c->address, (int)c->outcome,
			c->status,
			(int)(cgw_loop_now(h->gateway->loop) - f->sent_at));
		h->failures += f->resource == RESOURCE_CONFIG;
	} else if (f->resource == RESOURCE_CONFIG) {
		h->failures++;
		take_config(f);
	} else if (f->resource == RESOURCE_WORK) {
		take_work(f);
	} else {
		take_servers(f, (cg_ms)strtol(age, NULL, 10));
	}
	cgw_call_clear(c);
}

static void start_fetch(struct fetch *f, struct in_addr from)
{
	struct cgw_gateway *g = f->handoff->gateway;
	const char *target = targets[f->resource];
	char mac[CGW_FLEET_MAC_TEXT], ip[INET_ADDRSTRLEN];
	char *text;

	for (unsigned int i = 0; i + 1 < NONCE_SIZE; i += 8)
		g_snprintf(f->nonce + i, 9, "%08x", g_random_int());
	if (compute_mac(f->handoff, target, f->nonce, "", NULL, 0, mac))
		return;
	memset(&f->call, 0, sizeof(f->call));
	inet_ntop(AF_INET, &from, ip, sizeof(ip));
	g_snprintf(f->call.address, sizeof(f->call.address), "%s:%d", ip,
		   (int)g->settings.peer_port);
	text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: %s\r\n" HEADER_NONCE
			       ": %s\r\n" HEADER_MAC ": %s\r\n"
			       "Accept-Encoding: " CGW_COMPRESSION_CODING
			       "\r\n\r\n",
			       target, f->call.address, f->nonce, mac);
	g_byte_array_set_size(f->request, 0);
	g_byte_array_append(f->request, (const guint8 *)text,
			    (guint)strlen(text));
	g_free(text);
	f->call.request = f->request;
	f->call.connect_ms = CONNECT_MS;
	f->sent_at = cgw_loop_now(g->loop);
	f->call.deadline = f->sent_at + FETCH_MS;
	f->call.done = on_fetched;
	cgw_call_start(g->client, &f->call);
}

void cgw_handoff_fetch_config(struct cgw_handoff *h, struct in_addr from,
			      uint64_t version, cg_ms proved_at)
{
	struct fetch *f = &h->fetches[RESOURCE_CONFIG];

	if (cgw_call_running(&f->call))
		return;
	f->version = version;
	f->proved_at = proved_at;
	start_fetch(f, from);
}

static void fetch_work(struct cgw_handoff *h, struct in_addr from)
{
	struct fetch *f = &h->fetches[RESOURCE_WORK];

	/* Without estimates there is nothing to copy. */
	if (cgw_broker_placement(cgw_fleet_broker(h->gateway->fleet)) !=
	    CGW_PLACEMENT_EXPECTED_FINISH)
		return;
	if (!cgw_call_running(&f->call))
		start_fetch(f, from);
}

void cgw_handoff_fetch_servers(struct cgw_handoff *h, struct in_addr from)
{
	struct fetch *f = &h->fetches[RESOURCE_SERVERS];

	if (!cgw_call_running(&f->call))
		start_fetch(f, from);
	fetch_work(h, from);
}

unsigned int cgw_handoff_failures(const struct cgw_handoff *h)
{
	return h->failures;
}

void cgw_handoff_forget_failures(struct cgw_handoff *h)
{
	h->failures = 0;
}

struct cgw_handoff *cgw_handoff_new(struct cgw_gateway *g)
{
	struct cgw_handoff *h = g_new0(struct cgw_handoff, 1);
	struct sockaddr_in sa = { .sin_family = AF_INET };

	h->gateway = g;
	h->retry_timer.fire = on_retry;
	cgw_link_budget_init(&h->link, g->settings.link_mbps, LINK_SHARE);
	for (int r = 0; r < RESOURCE_COUNT; r++) {
		h->fetches[r].handoff = h;
		h->fetches[r].resource = (enum resource)r;
		h->fetches[r].request = g_byte_array_new();
	}
	sa.sin_port = htons((uint16_t)g->settings.peer_port);
	if (inet_pton(AF_INET, g->settings.address, &sa.sin_addr) == 1 &&
	    !cgw_http_server_start(&h->server, g->loop, &sa, handle_request, h))
		return h;
	cg_error("cannot listen for other daemons on %s:%d (TCP)",
		 g->settings.address, (int)g->settings.peer_port);
	cgw_handoff_free(h);
	return NULL;
}

void cgw_handoff_free(struct cgw_handoff *h)
{
	if (!h)
		return;
	cgw_timer_cancel(h->gateway->loop, &h->retry_timer);
	for (int r = 0; r < RESOURCE_COUNT; r++) {
		cgw_call_cancel(&h->fetches[r].call);
		cgw_call_clear(&h->fetches[r].call);
		g_byte_array_unref(h->fetches[r].request);
	}
	cgw_http_server_stop(&h->server, h->gateway->loop);
	g_free(h);
}
