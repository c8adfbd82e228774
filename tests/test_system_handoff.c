/* Tests how whole gateway processes hand a configuration on. Guards against a
 * configuration that is in force late because all daemons of a failure domain
 * fetch it from one narrow link at the same time, so that none gets it, or
 * because it takes too long there, and against final answers by one that is known
 * to be outdated. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <arpa/inet.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <poll.h>
#include <rpc/types.h>
#include <rpc/xdr.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fleet_wire.h"
#include "support/gateway_fleet.h"

#define LINK_MBPS	 10
#define SETTINGS	 "\"link_mbps\": 10,"
#define BYTES_PER_MS	 (LINK_MBPS * 1000 / 8)
#define ROUTES		 1400
#define FETCHERS	 40
#define FETCH_TIMEOUT_MS 1000 /* of a daemon's fetch */
#define ANSWER_MS	 500
/* config_bound_ms, the time in which a change is to be in force. */
#define IN_FORCE_MS    2000
#define DOMAIN_DAEMONS 20
#define POLL_MS	       20
#define KNOWN_MS       2500
#define NONCE	       "0123456789abcdef0123456789abcdef"

/* Returns further rules for gf_put_config(); the caller frees them. */
static char *many_routes(void)
{
	GString *s = g_string_new(NULL);

	for (int i = 0; i < ROUTES; i++)
		g_string_append_printf(
			s,
			",{\"name\":\"r%d\",\"kind\":\"safe\",\"slo_ms\":1000,"
			"\"priority\":1,\"public\":true,\"match\":"
			"{\"path_prefix\":\"/r%d/\"},\"action\":{\"service\":"
			"\"svc\",\"timeout_ms\":2000,\"attempts\":2}}",
			i, i);
	return g_string_free(s, FALSE);
}

static char *fleet_secret(struct gateway_fleet *f)
{
	char *spec = objects_get(f->store, "celeryglade-fleet", "secret");
	struct json_object *o = json_tokener_parse(spec), *v;
	char *secret;

	assert_true(json_object_object_get_ex(o, "secret", &v));
	secret = g_strdup(json_object_get_string(v));
	json_object_put(o);
	g_free(spec);
	return secret;
}

/* Returns a signed request for the configuration; the caller frees it. */
static char *fetch_request(struct gateway_fleet *f)
{
	static const char signed_text[] = "request /config " NONCE " \n";
	char *secret = fleet_secret(f);
	char *mac = g_compute_hmac_for_string(G_CHECKSUM_SHA256,
					      (const guchar *)secret,
					      strlen(secret), signed_text, -1);
	char *text = g_strdup_printf("GET /config HTTP/1.1\r\nHost: x\r\n"
				     "X-Celeryglade-Nonce: " NONCE "\r\n"
				     "X-Celeryglade-Mac: %s\r\n\r\n",
				     mac);

	g_free(mac);
	g_free(secret);
	return text;
}

struct answer {
	int status; /* 0: none in time */
	size_t bytes; /* of the body, as its head states */
};

/* Reads the head of a response. */
static struct answer read_head(int fd)
{
	static const char length[] = "Content-Length: ";
	struct pollfd p = { .fd = fd, .events = POLLIN };
	struct answer a = { 0 };
	char text[2048];
	const char *at;
	ssize_t n;

	if (poll(&p, 1, ANSWER_MS) <= 0)
		return a;
	n = recv(fd, text, sizeof(text) - 1, MSG_PEEK);
	if (n <= 0)
		return a;
	text[n] = '\0';
	if (!g_str_has_prefix(text, "HTTP/1.1 "))
		return a;
	a.status = atoi(text + strlen("HTTP/1.1 "));
	at = strstr(text, length);
	a.bytes = at ? strtoul(at + strlen(length), NULL, 10) : 0;
	return a;
}

static void start_with_many_routes(struct gateway_fleet *f,
				   unsigned int daemons)
{
	char *routes = many_routes();

	gf_prepare(f, daemons);
	f->settings = SETTINGS;
	gf_start_daemons(f);
	gf_put_config(f, true, 0, 0, routes);
	gf_wait_ready(f);
	g_free(routes);
}

/* Each fetch that a daemon accepts must pass its link before the fetcher gives up;
 * the others must be refused at once, so that they can go elsewhere. */
static void accepted_config_fetches_fit_the_link(void **state)
{
	struct gateway_fleet f;
	struct answer answers[FETCHERS];
	unsigned int accepted = 0, refused = 0;
	int fds[FETCHERS];
	size_t bytes = 0;
	char *request;

	(void)state;
	start_with_many_routes(&f, 2);
	request = fetch_request(&f);
	for (unsigned int i = 0; i < FETCHERS; i++)
		fds[i] = gf_send_raw_peer(&f, 0, request);
	for (unsigned int i = 0; i < FETCHERS; i++) {
		answers[i] = read_head(fds[i]);
		accepted += answers[i].status == 200;
		refused += answers[i].status == 503;
		bytes += answers[i].status == 200 ? answers[i].bytes : 0;
	}
	for (unsigned int i = 0; i < FETCHERS; i++)
		close(fds[i]);
	print_message("%u fetches accepted with %zu bytes, %u refused\n",
		      accepted, bytes, refused);
	assert_int_equal(accepted + refused, FETCHERS);
	assert_in_range(accepted, 1, FETCHERS - 1);
	assert_in_range(bytes, 1, FETCH_TIMEOUT_MS * BYTES_PER_MS);
	g_free(request);
	gf_stop(&f);
}

static bool has_version(struct gateway_fleet *f, unsigned int daemon)
{
	char *text =
		g_strdup_printf("configuration version %u from", f->version);
	bool has = gf_count_in_log(f, daemon, text) > 0;

	g_free(text);
	return has;
}

/* Guards against a version that reaches the last daemons of a domain too late.
 * Each daemon paces what it hands on by the link in its settings, so that this
 * shows the time also where the links of the test are faster. */
static void large_config_is_in_force_in_time_at_narrow_links(void **state)
{
	struct gateway_fleet f;
	char *routes = many_routes();
	gint64 began_ms, took_ms;

	(void)state;
	gf_prepare(&f, 2 * DOMAIN_DAEMONS);
	f.settings = SETTINGS;
	gf_start_daemons(&f);
	gf_put_config(&f, true, 0, 0, "");
	gf_wait_ready(&f);
	gf_put_config(&f, true, 0, 0, routes);
	began_ms = g_get_monotonic_time() / 1000;
	for (unsigned int i = 0; i < f.daemons; i++)
		while (!has_version(&f, i) &&
		       g_get_monotonic_time() / 1000 - began_ms <
			       2 * IN_FORCE_MS)
			g_usleep((gulong)POLL_MS * 1000);
	took_ms = g_get_monotonic_time() / 1000 - began_ms;
	print_message("in force at all daemons after %d ms\n", (int)took_ms);
	assert_in_range(took_ms, 0, IN_FORCE_MS);
	g_free(routes);
	gf_stop(&f);
}

/* Sends a ping as of a daemon that has this version of the configuration. */
static void send_ping(struct gateway_fleet *f, unsigned int daemon,
		      unsigned int version)
{
	fleet_message m = {
		.name = (char *)"other",
		.domain = (char *)"a",
		.incarnation = 1,
		.body = { .kind = FLEET_PING,
			  .fleet_body_u.ping.config_version = version },
	};
	char *ip = gf_daemon_ip(daemon), *secret = fleet_secret(f);
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)(f->ports + 2)),
		.sin_addr.s_addr = inet_addr(ip),
	};
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	GByteArray *datagram = g_byte_array_new();
	XDR x;

	g_byte_array_set_size(
		datagram, (guint)xdr_sizeof((xdrproc_t)xdr_fleet_message, &m));
	xdrmem_create(&x, (char *)datagram->data, datagram->len, XDR_ENCODE);
	assert_true(xdr_fleet_message(&x, &m));
	xdr_destroy(&x);
	gf_sign_datagram(datagram, secret);
	assert_int_equal(sendto(fd, datagram->data, datagram->len, 0,
				(struct sockaddr *)&to, sizeof(to)),
			 datagram->len);
	g_byte_array_unref(datagram);
	close(fd);
	g_free(secret);
	g_free(ip);
}

static struct gf_response get(struct gateway_fleet *f, const char *path,
			      const char *key)
{
	struct gf_request r = { .daemon = 0,
				.method = "GET",
				.path = path,
				.key = key,
				.id = "id" };

	return gf_call(f, &r);
}

/* A newer configuration may contain the route or the key. A caller does not repeat
 * a request after 404 or 401. */
static void
unknown_route_may_be_repeated_at_a_daemon_that_is_behind(void **state)
{
	struct gateway_fleet f;
	struct gf_response a;

	(void)state;
	gf_start_serving(&f, 2, 0);
	assert_int_equal(get(&f, "/new/x", "k1").status, 404);
	assert_int_equal(get(&f, "/safe/x", "k2").status, 401);
	send_ping(&f, 0, f.version + 1);
	g_usleep((gulong)POLL_MS * 1000);
	a = get(&f, "/new/x", "k1");
	assert_int_equal(a.status, 503);
	assert_string_equal(a.body, "config_behind");
	assert_string_equal(a.retry_after, "0.500");
	a = get(&f, "/safe/x", "k2");
	assert_int_equal(a.status, 503);
	assert_string_equal(a.body, "config_behind");
	assert_int_equal(get(&f, "/safe/x", "k1").status, 200);
	/* What another daemon has said counts for two seconds. */
	g_usleep((gulong)KNOWN_MS * 1000);
	assert_int_equal(get(&f, "/new/x", "k1").status, 404);
	assert_int_equal(get(&f, "/safe/x", "k2").status, 401);
	gf_stop(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(accepted_config_fetches_fit_the_link),
		cmocka_unit_test(
			large_config_is_in_force_in_time_at_narrow_links),
		cmocka_unit_test(
			unknown_route_may_be_repeated_at_a_daemon_that_is_behind),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
