/* Sends random, well-formed messages with valid signatures to running processes.
 * Guards against a process that one message of a faulty daemon ends, and against a
 * fleet that does not recover from it. MESSAGES_SEED replaces the seed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../bench/fleet/fleet.h"
#include "fleet_wire.h"
#include "gossip_wire.h"
#include "health_wire.h"
#include "docs_wire.h"
#include "internal/peer.h"
#include "notice_wire.h"
#include "rate_wire.h"
#include "status_wire.h"
#include "support/gateway_fleet.h"
#include "support/random_message.h"

#define SEED		 20261205
#define GATEWAY_MESSAGES 20000
#define GATEWAY_SECRET	 "0123456789abcdef0123456789abcdef"
#define BATCH		 100 /* messages between two pauses */
#define BATCH_PAUSE_US	 5000
#define DAEMON_MESSAGES	 6000
#define CALL_TIMEOUT_MS	 200
#define RECOVERY_MS	 6000
#define KEY		 "acme-key-0123456789abcdef"

static GRand *new_random(void)
{
	const char *text = getenv("MESSAGES_SEED");

	return g_rand_new_with_seed(text ? (guint32)strtoul(text, NULL, 10)
					 : SEED);
}

static void gateways_survive_random_messages(void **state)
{
	static const char *const names[] = { "d0",  "d1", "d2",	 "x1",
					     "a",   "b",  "svc", "safe",
					     "acc", "s0", "s3",	 "127.0.0.1:1",
					     "",    NULL };
	static struct gateway_fleet f;
	GRand *r = new_random();
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	int sent = 0;

	(void)state;
	gf_start(&f, 4);
	objects_put(f.store, "celeryglade-fleet", "secret",
		    "{\"secret\":\"" GATEWAY_SECRET "\"}");
	gf_put_config(&f, true, 0, 0, "");
	gf_wait_ready(&f);
	for (int i = 0; i < GATEWAY_MESSAGES; i++) {
		GByteArray *m = random_message(r, (xdrproc_t)xdr_fleet_message,
					       sizeof(fleet_message), names);
		struct sockaddr_in to = {
			.sin_family = AF_INET,
			.sin_port = htons((uint16_t)(f.ports + 2)),
		};

		if (!m)
			continue;
		gf_sign_datagram(m, GATEWAY_SECRET);
		to.sin_addr.s_addr =
			htonl(0x7f000901 + (uint32_t)g_rand_int_range(r, 0, 4));
		sent += sendto(fd, m->data, m->len, 0, (struct sockaddr *)&to,
			       sizeof(to)) > 0;
		g_byte_array_unref(m);
		if (i % BATCH == 0)
			g_usleep(BATCH_PAUSE_US);
	}
	print_message("%d messages sent\n", sent);
	assert_true(sent > GATEWAY_MESSAGES / 10);
	for (unsigned int i = 0; i < f.daemons; i++)
		assert_int_equal(waitpid(f.pids[i], NULL, WNOHANG), 0);
	g_usleep(RECOVERY_MS * 1000);
	for (unsigned int i = 0; i < f.daemons; i++) {
		assert_int_equal(waitpid(f.pids[i], NULL, WNOHANG), 0);
		assert_int_equal(gf_get(&f, i).status, 200);
	}
	close(fd);
	g_rand_free(r);
	gf_stop(&f);
}

static const struct {
	enum cg_msg_kind kind;
	xdrproc_t proc;
	size_t size;
} kinds[] = {
#define KIND(kind, type)                                                       \
	{                                                                      \
		kind, (xdrproc_t)xdr_##type, sizeof(type)                      \
	}
	KIND(CG_MSG_GOSSIP, cg_x_gossip),
	KIND(CG_MSG_GET_DOC, cg_x_doc_request),
	KIND(CG_MSG_GET_PART, cg_x_part_request),
	KIND(CG_MSG_RATE_TOKEN_REQUEST, cg_x_rate_token_requests),
	KIND(CG_MSG_RATE_RETURN, cg_x_rate_token_requests),
	KIND(CG_MSG_RATE_SURVEY, cg_x_rate_survey),
	KIND(CG_MSG_SHARD_HANDOVER, cg_x_rate_handover),
	KIND(CG_MSG_HEALTH_DIGEST, cg_x_health_digest),
	KIND(CG_MSG_GET_VERDICTS, cg_x_verdicts_request),
	KIND(CG_MSG_NOTICE, cg_x_notice),
	KIND(CG_MSG_STATUS, cg_x_status_request),
#undef KIND
};

static void daemons_survive_random_messages(void **state)
{
	static const char *const names[] = { "visits", "acme", "a", "visits-1",
					     "root",   "",     NULL };
	struct fleet *f = fleet_new(1);
	GBytes *secret = g_bytes_new_static("0f1e2d3c4b5a69788796a5b4c3d2e1f0"
					    "0f1e2d3c4b5a69788796a5b4c3d2e1f0",
					    64);
	struct cg_peer *p = cg_peer_new("daemon-1", 1, secret, NULL);
	struct sockaddr_in to = { .sin_family = AF_INET };
	GRand *r = new_random();
	int answered = 0;

	(void)state;
	fleet_add_backend(f, "visits", 2, 10, "-t 1");
	fleet_write_services(f);
	fleet_write_account(f, "acme", KEY, 1000, 1000);
	assert_int_equal(fleet_apply_config(f), 0);
	fleet_add_daemons(f, 2, 1, NULL);
	assert_int_equal(fleet_wait_serving(f, "/visits", KEY, 20000), 0);
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (int i = 0; i < DAEMON_MESSAGES; i++) {
		size_t k = (size_t)i % G_N_ELEMENTS(kinds);
		GByteArray *m =
			random_message(r, kinds[k].proc, kinds[k].size, names);

		to.sin_port = htons((uint16_t)fleet_peer_port(f, i % 2));
		if (m && m->len <= CG_PEER_MAX_BODY)
			answered +=
				!cg_peer_call(p, &to, kinds[k].kind, m->data,
					      m->len, CALL_TIMEOUT_MS, NULL);
		if (m)
			g_byte_array_unref(m);
	}
	print_message("%d messages answered\n", answered);
	assert_true(answered > DAEMON_MESSAGES / 20);
	for (int i = 0; i < 2; i++)
		assert_int_equal(fleet_wait_exit(f, i, 0), -1);
	assert_int_equal(fleet_request(f, 0, "GET", "/visits", KEY), 200);
	cg_peer_free(p);
	g_bytes_unref(secret);
	g_rand_free(r);
	fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(gateways_survive_random_messages),
		cmocka_unit_test(daemons_survive_random_messages),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
