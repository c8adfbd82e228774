/* Guards against verdicts that do not reach a daemon or outlive their
 * coordinator, a floor that is broken by a change of coordinator, state that is
 * lost with a new configuration, and requests to a draining server. A small
 * fleet runs in this process over the real transport; members, shards,
 * documents and notices are fakes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "../bench/fleet/ports.h"
#include "health_wire.h"
#include "internal/health.h"

#define DAEMONS	     4
#define SERVERS	     10
#define MANY_SERVERS 300
#define TTL_MS	     30000

/* Fakes of the controller's dependencies. */
struct cg_config {
	uint64_t version;
	struct cg_service service;
	struct cg_server servers[MANY_SERVERS];
	_Atomic int refs;
};

struct cg_members {
	int self;
};

struct cg_shards {
	int self;
};

struct cg_notices {
	_Atomic bool draining[MANY_SERVERS];
};

struct node {
	struct cg_settings settings;
	struct cg_members members;
	struct cg_shards shards;
	struct cg_peer *peer;
	struct cg_health *health;
	struct sockaddr_in addr;
};

static struct {
	struct node node[DAEMONS];
	struct cg_clock clk;
	struct cg_config *config;
	pthread_mutex_t config_lock;
	struct cg_notices notices;
	_Atomic int owner; /* -1: an address without a listener. */
	_Atomic uint64_t epoch;
	_Atomic size_t largest_digest;
	int gone_member; /* Index of a member that is gone, or -1. */
	uint16_t first_port; /* The first of DAEMONS free ports. */
} fleet = { .config_lock = PTHREAD_MUTEX_INITIALIZER };

struct cg_config *cg_docs_config(struct cg_docs *d)
{
	struct cg_config *c;

	pthread_mutex_lock(&fleet.config_lock);
	c = fleet.config;
	if (c)
		c->refs++;
	pthread_mutex_unlock(&fleet.config_lock);
	return c;
}

void cg_docs_add_listener(struct cg_docs *d, cg_docs_listener fn, void *arg)
{
}

uint64_t cg_config_version(const struct cg_config *c)
{
	return c->version;
}

void cg_config_unref(struct cg_config *c)
{
	if (c && --c->refs == 0)
		g_free(c);
}

const struct cg_service *cg_config_service_at(const struct cg_config *c,
					      size_t i)
{
	return i == 0 ? &c->service : NULL;
}

size_t cg_members_count(struct cg_members *m)
{
	return DAEMONS;
}

static void describe_member(int i, struct cg_member *out)
{
	memset(out, 0, sizeof(*out));
	g_snprintf(out->name, sizeof(out->name), "d%d", i);
	out->addr = fleet.node[i].addr;
	out->state = i == fleet.gone_member ? CG_MEMBER_GONE : CG_MEMBER_LIVE;
}

size_t cg_members_copy(struct cg_members *m, struct cg_member *out, size_t max)
{
	size_t n = 0;

	for (int i = 0; i < DAEMONS && n < max; i++)
		if (i != m->self)
			describe_member(i, &out[n++]);
	return n;
}

int cg_members_find(struct cg_members *m, const char *name,
		    struct cg_member *out)
{
	for (int i = 0; i < DAEMONS; i++) {
		describe_member(i, out);
		if (!strcmp(out->name, name))
			return 0;
	}
	return -1;
}

int cg_shards_owner(struct cg_shards *s, uint32_t shard,
		    struct cg_shard_owner *out)
{
	int owner = fleet.owner;

	memset(out, 0, sizeof(*out));
	out->epoch = fleet.epoch;
	out->self = owner == s->self;
	g_snprintf(out->instance, sizeof(out->instance), "d%d", owner);
	if (owner >= 0)
		out->addr = fleet.node[owner].addr;
	else
		cg_parse_address("127.0.0.1:23999", &out->addr);
	return 0;
}

int cg_parse_address(const char *text, struct sockaddr_in *out)
{
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	out->sin_port =
		htons((uint16_t)strtoul(strchr(text, ':') + 1, NULL, 10));
	return 0;
}

static int server_number(const char *name)
{
	return (int)strtol(name + 1, NULL, 10);
}

void cg_notices_announce_drain(struct cg_notices *n, const char *name)
{
	n->draining[server_number(name)] = true;
}

bool cg_notices_is_draining(struct cg_notices *n, const char *name)
{
	return n->draining[server_number(name)];
}

/* The fleet under test. */
static int handle_message(void *arg, const struct cg_peer_msg *msg,
			  GByteArray *reply)
{
	if (msg->kind == CG_MSG_HEALTH_DIGEST &&
	    msg->len > atomic_load(&fleet.largest_digest))
		atomic_store(&fleet.largest_digest, msg->len);
	return cg_health_handle(((struct node *)arg)->health, msg, reply);
}

static void configure(uint64_t version, size_t servers, uint32_t floor)
{
	struct cg_config *c = g_new0(struct cg_config, 1), *old;

	c->version = version;
	c->refs = 1;
	g_strlcpy(c->service.name, "slots", sizeof(c->service.name));
	c->service.servers = c->servers;
	c->service.server_count = servers;
	c->service.floor_percent = floor;
	c->service.ramp_ms = 10000;
	for (size_t i = 0; i < servers; i++) {
		struct cg_server *s = &c->servers[i];

		g_snprintf(s->name, sizeof(s->name), "s%zu", i);
		s->slots = 3;
		s->connections = 400;
		s->service = &c->service;
	}
	pthread_mutex_lock(&fleet.config_lock);
	old = fleet.config;
	fleet.config = c;
	pthread_mutex_unlock(&fleet.config_lock);
	cg_config_unref(old);
}

static void start_node(int i)
{
	struct node *n = &fleet.node[i];
	GBytes *secret = g_bytes_new_static("secret", 6);
	char text[32];

	memset(n, 0, sizeof(*n));
	g_snprintf(n->settings.instance, 8, "d%d", i);
	g_snprintf(n->settings.failure_domain, 8, "z%d", i % 3);
	n->settings.verdict_ttl_ms = TTL_MS;
	n->settings.eject_ms = 10000;
	n->members.self = i;
	n->shards.self = i;
	g_snprintf(text, sizeof(text), "127.0.0.1:%d", fleet.first_port + i);
	cg_parse_address(text, &n->addr);
	n->peer = cg_peer_new(n->settings.instance, 100 + (uint64_t)i, secret,
			      &n->addr);
	assert_non_null(n->peer);
	n->health =
		cg_health_new(&n->settings, &fleet.clk, n->peer, &n->members,
			      &n->shards, NULL, &fleet.notices);
	cg_peer_set_handler(n->peer, handle_message, n);
	assert_int_equal(cg_peer_start(n->peer), 0);
	g_bytes_unref(secret);
}

static int start_fleet(void **state)
{
	cg_clock_init_manual(&fleet.clk, 1000000);
	memset(&fleet.notices, 0, sizeof(fleet.notices));
	fleet.owner = 0;
	fleet.epoch = 1;
	fleet.gone_member = -1;
	fleet.largest_digest = 0;
	fleet.first_port = claim_test_ports(DAEMONS);
	configure(1, SERVERS, 60);
	for (int i = 0; i < DAEMONS; i++)
		start_node(i);
	return 0;
}

static int stop_fleet(void **state)
{
	for (int i = 0; i < DAEMONS; i++)
		cg_health_stop(fleet.node[i].health);
	for (int i = 0; i < DAEMONS; i++)
		cg_peer_free(fleet.node[i].peer);
	for (int i = 0; i < DAEMONS; i++)
		cg_health_free(fleet.node[i].health);
	cg_config_unref(fleet.config);
	fleet.config = NULL;
	return 0;
}

static void wait_until_idle(void)
{
	for (int i = 0; i < DAEMONS; i++)
		for (int t = 0; !cg_health_idle(fleet.node[i].health); t++) {
			assert_true(t < 5000);
			cg_sleep(1);
		}
}

static const struct cg_server *server(int i)
{
	return &fleet.config->servers[i];
}

/* Runs one second in which every daemon sends @p each requests to each
 * server. All of them fail at servers whose bit is set in @p bad. */
static void run_second(unsigned int bad, int each)
{
	cg_clock_set(&fleet.clk, cg_clock_now(&fleet.clk) + 1000);
	for (int d = 0; d < DAEMONS; d++)
		for (size_t i = 0; i < fleet.config->service.server_count; i++)
			for (int k = 0; k < each; k++)
				cg_health_observe(fleet.node[d].health,
						  server((int)i),
						  i < 32 && bad >> i & 1
							  ? CG_OBSERVED_FAILED
							  : CG_OBSERVED_OK,
						  20 + k);
	for (int d = 0; d < DAEMONS; d++)
		cg_health_tick(fleet.node[d].health);
	wait_until_idle();
}

static unsigned int weight(int daemon, int i)
{
	return cg_health_weight(fleet.node[daemon].health, server(i), true);
}

static bool all_have_weight(int i, unsigned int w)
{
	for (int d = 0; d < DAEMONS; d++)
		if (weight(d, i) != w)
			return false;
	return true;
}

static int seconds_until_out(unsigned int bad, int i, int most)
{
	for (int t = 1; t <= most; t++) {
		run_second(bad, 1);
		if (all_have_weight(i, 0))
			return t;
	}
	return -1;
}

static void fleet_ejects_and_reinstates_a_server(void **state)
{
	struct json_object *o;
	const char *text;
	int t;

	for (int i = 0; i < 20; i++)
		run_second(0, 1);
	t = seconds_until_out(1, 0, 20);
	assert_in_range(t, 2, 12);
	assert_true(all_have_weight(1, 1000));
	o = cg_health_explain(fleet.node[0].health, "s0");
	assert_non_null(o);
	text = json_object_to_json_string(o);
	assert_non_null(strstr(text, "\"state\": \"ejected\""));
	assert_non_null(strstr(text, "\"daemon\": \"d1\""));
	assert_non_null(strstr(text, "\"failure_domain\": \"z1\""));
	json_object_put(o);
	for (t = 0; t < 400 && !all_have_weight(0, 1000); t++) {
		run_second(0, 1);
		/* A recovering server must not be tested with non-idempotent
		 * requests. */
		if (weight(1, 0) > 0 && weight(1, 0) < 1000)
			assert_int_equal(cg_health_weight(fleet.node[1].health,
							  server(0), false),
					 0);
	}
	assert_true(t < 400);
}

static void verdict_expires_without_its_coordinator(void **state)
{
	int t;

	for (int i = 0; i < 20; i++)
		run_second(0, 1);
	assert_true(seconds_until_out(1, 0, 20) > 0);
	fleet.owner = -1;
	fleet.epoch = 2;
	for (t = 1; t < 60; t++) {
		cg_clock_set(&fleet.clk, cg_clock_now(&fleet.clk) + 1000);
		for (int d = 0; d < DAEMONS; d++)
			cg_health_tick(fleet.node[d].health);
		if (weight(1, 0) > 0)
			break;
	}
	assert_in_range(t, 27, 31);
}

/* The floor of 60 % of ten servers allows four ejections. */
static void new_coordinator_adopts_verdicts_in_force(void **state)
{
	for (int i = 0; i < 20; i++)
		run_second(0, 1);
	assert_true(seconds_until_out(0xf, 3, 30) > 0);
	fleet.owner = 2;
	fleet.epoch = 2;
	for (int t = 0; t < 40; t++) {
		int out = 0;

		/* The first four servers have recovered and a fifth one
		 * fails. */
		run_second(0x10, 1);
		for (int i = 0; i < SERVERS; i++)
			out += weight(1, i) < 1000;
		assert_true(out <= 4);
		if (t < 4)
			assert_int_equal(weight(1, 0), 0);
	}
}

/* A daemon whose next digest is not due soon receives a hint of an ejection. */
static void hint_reaches_a_daemon_between_digests(void **state)
{
	for (int i = 0; i < 20; i++)
		run_second(0, 1);
	for (int t = 0; t < 12 && weight(3, 0); t++) {
		cg_clock_set(&fleet.clk, cg_clock_now(&fleet.clk) + 1000);
		/* d3 sends no requests; the other daemons see the server
		 * fail. */
		for (int d = 0; d < 3; d++) {
			cg_health_observe(fleet.node[d].health, server(0),
					  CG_OBSERVED_FAILED, 1);
			for (int i = 1; i < SERVERS; i++)
				cg_health_observe(fleet.node[d].health,
						  server(i), CG_OBSERVED_OK,
						  20);
		}
		for (int d = 0; d < 3; d++)
			cg_health_tick(fleet.node[d].health);
		cg_sleep(50);
		wait_until_idle();
	}
	assert_int_equal(weight(3, 0), 0);
}

/* A member that replied to the survey of epoch 3 must not adopt verdicts of
 * epoch 1. */
static void verdicts_of_older_coordinator_are_rejected(void **state)
{
	cg_x_verdicts_request q = { .service = (char *)"slots",
				    .failure_domain = (char *)"z0",
				    .epoch = 3,
				    .mode = CG_X_VERDICTS_SURVEY };
	GByteArray *body = g_byte_array_new(), *reply = g_byte_array_new();

	for (int i = 0; i < 20; i++)
		run_second(0, 1);
	cg_xdr_encode((xdrproc_t)xdr_cg_x_verdicts_request, &q, body);
	assert_int_equal(cg_peer_call(fleet.node[0].peer, &fleet.node[1].addr,
				      CG_MSG_GET_VERDICTS, body->data,
				      body->len, 2000, reply),
			 0);
	for (int t = 0; t < 6; t++)
		run_second(1, 1);
	assert_int_equal(weight(2, 0), 0);
	assert_int_equal(weight(3, 0), 0);
	for (int t = 0; t < 3 && weight(1, 0) == 0; t++)
		run_second(1, 0);
	/* d1 may avoid the server, but only by its own evidence. */
	struct json_object *o = cg_health_status(fleet.node[1].health, "slots");
	assert_non_null(o);
	assert_non_null(
		strstr(json_object_to_json_string(o), "\"verdict_epoch\": 1"));
	assert_null(strstr(json_object_to_json_string(o),
			   "\"state\": \"ejected\""));
	json_object_put(o);
	g_byte_array_unref(body);
	g_byte_array_unref(reply);
}

static void configuration_change_keeps_state(void **state)
{
	struct cg_server removed;

	for (int i = 0; i < 20; i++)
		run_second(0, 1);
	assert_true(seconds_until_out(1, 0, 20) > 0);
	removed = *server(9);
	configure(2, 9, 60);
	run_second(0, 1);
	assert_true(all_have_weight(0, 0));
	removed.service = &fleet.config->service;
	/* A server that is not configured has full weight, and its observations
	 * are ignored. */
	cg_health_observe(fleet.node[0].health, &removed, CG_OBSERVED_OK, 1);
	assert_int_equal(cg_health_weight(fleet.node[0].health, &removed, true),
			 1000);
	assert_null(cg_health_explain(fleet.node[0].health, "s9"));
	/* A server that is added later warms up. */
	configure(3, 10, 60);
	run_second(0, 1);
	assert_int_equal(weight(0, 9), 100);
	for (int i = 0; i < 10; i++)
		run_second(0, 1);
	assert_int_equal(weight(0, 9), 1000);
}

static void draining_server_gets_no_requests(void **state)
{
	struct cg_health_server_state v;

	for (int i = 0; i < 3; i++)
		run_second(0, 1);
	cg_health_mark_draining(fleet.node[0].health, server(4));
	assert_int_equal(weight(0, 4), 0);
	cg_health_server_state(fleet.node[0].health, server(4), true, &v);
	assert_true(v.draining);
	run_second(0, 1);
	assert_true(all_have_weight(4, 0));
	/* The instance list shows a new start of the server: the notice ends
	 * and the server warms up. */
	fleet.notices.draining[4] = false;
	run_second(0, 1);
	assert_in_range(weight(1, 4), 1, 200);
	for (int i = 0; i < 11; i++)
		run_second(0, 1);
	assert_true(all_have_weight(4, 1000));
}

/* The counts of 300 servers need several datagrams, none of which may exceed
 * the size of one network packet. */
static void digests_fit_in_one_packet(void **state)
{
	configure(2, MANY_SERVERS, 60);
	assert_true(seconds_until_out(1, 0, 15) > 0);
	for (int i = 0; i < 3; i++)
		run_second(1, 12);
	assert_in_range(fleet.largest_digest, 500, 1060);
}

static void malformed_messages_are_rejected(void **state)
{
	static const uint8_t bytes[] = { 0, 0, 0, 9, 'x' };
	struct cg_peer_msg m = { .kind = CG_MSG_HEALTH_DIGEST,
				 .sender = "d1",
				 .body = bytes,
				 .len = sizeof(bytes) };
	GByteArray *reply = g_byte_array_new();

	assert_int_equal(cg_health_handle(fleet.node[0].health, &m, reply), -1);
	m.kind = CG_MSG_GET_VERDICTS;
	assert_int_equal(cg_health_handle(fleet.node[0].health, &m, reply), -1);
	m.kind = CG_MSG_GOSSIP;
	assert_int_equal(cg_health_handle(fleet.node[0].health, &m, reply), -1);
	assert_int_equal(reply->len, 0);
	g_byte_array_unref(reply);
}

static _Atomic bool stop_threads;

static void *run_request_path(void *arg)
{
	struct node *n = arg;

	while (!stop_threads) {
		struct cg_config *c = cg_docs_config(NULL);

		for (int i = 0; i < 8; i++) {
			cg_health_observe(n->health, &c->servers[i],
					  CG_OBSERVED_OK, i);
			cg_health_weight(n->health, &c->servers[i], true);
		}
		cg_config_unref(c);
	}
	return NULL;
}

/* Lets the thread sanitizer check requests, ticks, messages, status queries and
 * new configurations that run concurrently. */
static void concurrent_access_does_not_race(void **state)
{
	pthread_t t[DAEMONS];

	cg_clock_init_boot(&fleet.clk);
	for (int d = 0; d < DAEMONS; d++)
		cg_health_tick(fleet.node[d].health);
	for (int i = 0; i < DAEMONS; i++) {
		assert_int_equal(cg_health_start(fleet.node[i].health), 0);
		pthread_create(&t[i], NULL, run_request_path, &fleet.node[i]);
	}
	for (int k = 0; k < 25; k++) {
		struct json_object *o;

		configure(10 + (uint64_t)k, k % 2 ? SERVERS : SERVERS - 1, 60);
		o = cg_health_status(fleet.node[k % DAEMONS].health, NULL);
		json_object_put(o);
		cg_sleep(100);
	}
	stop_threads = true;
	for (int i = 0; i < DAEMONS; i++)
		pthread_join(t[i], NULL);
	stop_threads = false;
}

#define FLEET_TEST(f)                                                          \
	cmocka_unit_test_setup_teardown(f, start_fleet, stop_fleet)

int main(void)
{
	const struct CMUnitTest tests[] = {
		FLEET_TEST(fleet_ejects_and_reinstates_a_server),
		FLEET_TEST(verdict_expires_without_its_coordinator),
		FLEET_TEST(new_coordinator_adopts_verdicts_in_force),
		FLEET_TEST(hint_reaches_a_daemon_between_digests),
		FLEET_TEST(verdicts_of_older_coordinator_are_rejected),
		FLEET_TEST(configuration_change_keeps_state),
		FLEET_TEST(draining_server_gets_no_requests),
		FLEET_TEST(digests_fit_in_one_packet),
		FLEET_TEST(malformed_messages_are_rejected),
		FLEET_TEST(concurrent_access_does_not_race),
	};

	/* libtirpc creates this object without a lock: if two threads make
	 * their first call at the same time, one of two objects leaks. */
	authnone_create();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
