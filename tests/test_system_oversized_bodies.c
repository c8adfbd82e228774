/* Guards against a process that runs out of memory when many callers send
 * bodies far over the limit, declared or just sent in chunks. Neither a key
 * nor a route that asks for none may lead there. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>

#include "../bench/fleet/fleet.h"
#include "support/caller_crowd.h"
#include "support/gateway_fleet.h"

#define GATEWAY_CALLERS	 100
#define DAEMON_CALLERS	 400
#define GATEWAY_BODY_MAX ((size_t)4 * MIB)
#define DAEMON_BODY_MAX	 ((size_t)MIB) /* the most that the settings allow */
#define KEY		 "acme-key-0123456789abcdef"

static const struct {
	enum crowd_body kind;
	const char *name;
} kinds[] = {
	{ CROWD_DECLARED, "declared" },
	{ CROWD_SMALL_CHUNKS, "just sent" },
};

static void gateway_stays_within_its_memory(void **state)
{
	static const struct {
		const char *path, *key;
	} requests[] = {
		{ "/unsafe/p", NULL },
		{ "/unsafe/p", "k1" },
		{ "/open/p", NULL },
	};
	struct gateway_fleet f;
	struct crowd c;

	(void)state;
	gf_start(&f, 1);
	f.max_body_bytes = GATEWAY_BODY_MAX;
	gf_put_config(&f, true, 0, 0, "");
	gf_wait_ready(&f);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(requests); j++) {
			char *ip = gf_daemon_ip(0);
			struct crowd_target t = {
				.ip = ip,
				.port = f.ports,
				.pid = f.pids[0],
				.path = requests[j].path,
				.key = requests[j].key,
			};

			crowd_send(&c, &t, GATEWAY_CALLERS, kinds[i].kind,
				   (size_t)32 * MIB);
			crowd_check_process(&c, kinds[i].name);
			assert_int_equal(gf_get(&f, 0).status, 200);
			crowd_close(&c);
			g_free(ip);
		}
	gf_stop(&f);
}

static void daemon_stays_within_its_memory(void **state)
{
	static const char *const keys[] = { NULL, KEY };
	struct fleet *f = fleet_new(1);
	struct crowd c;

	(void)state;
	fleet_add_backend(f, "visits", 2, 10, "-t 1");
	fleet_write_services(f);
	fleet_write_account(f, "acme", KEY, 1000, 1000);
	assert_int_equal(fleet_apply_config(f), 0);
	fleet_add_daemons(f, 1, 1, NULL);
	assert_int_equal(fleet_wait_serving(f, "/visits", KEY, 20000), 0);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(keys); j++) {
			struct crowd_target t = {
				.ip = "127.0.0.1",
				.port = (uint16_t)fleet_listen_port(f, 0),
				.pid = f->daemons[0].pid,
				.path = "/visits",
				.key = keys[j],
			};

			crowd_send(&c, &t, DAEMON_CALLERS, kinds[i].kind,
				   (size_t)8 * MIB);
			crowd_check_process(&c, kinds[i].name);
			assert_int_equal(
				fleet_request(f, 0, "GET", "/visits", KEY),
				200);
			crowd_close(&c);
		}
	fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(gateway_stays_within_its_memory),
		cmocka_unit_test(daemon_stays_within_its_memory),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
