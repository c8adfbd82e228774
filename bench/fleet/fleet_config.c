/**
 * @file fleet_config.c
 * Writes the configuration of a fleet's services and client accounts.
 */
#include "fleet.h"

/* Deadline of all routes; the faults "late" and "freeze" last longer. */
#define DEADLINE_MS 2000

static void add_servers(GString *s, const struct fleet_backend *b)
{
	for (int i = 0; i < b->count; i++)
		g_string_append_printf(
			s,
			"%s\"%s-%d\": { \"address\": \"127.0.0.1:%d\", "
			"\"slots\": %d, \"failure_domain\": \"%c\" }",
			i ? ",\n      " : "", b->service, i + 1,
			b->first_port + i, b->slots, 'a' + i % 3);
}

void fleet_write_services(struct fleet *f)
{
	GString *s = g_string_new("{ \"services\": {\n");
	GString *r = g_string_new("{ \"routes\": {\n");

	for (int i = 0; i < f->n_backends; i++) {
		const struct fleet_backend *b = &f->backends[i];

		g_string_append_printf(s,
				       "%s  \"%s\": { \"workers\": 64, "
				       "\"queue\": 400, \"ramp_ms\": 0,\n"
				       "    \"queue_per_account\": 200, "
				       "\"attempt_timeout_ms\": 800, "
				       "\"echo_attempt\": true,\n"
				       "    \"servers\": { ",
				       i ? ",\n" : "", b->service);
		add_servers(s, b);
		g_string_append(s, " } }");
		g_string_append_printf(
			r,
			"%s  \"%s-read\": { \"path\": \"/%s\", "
			"\"service\": \"%s\", \"deadline_ms\": %d },\n"
			"  \"%s-write\": { \"path\": \"/%s\", "
			"\"service\": \"%s\", \"methods\": [\"POST\"], "
			"\"deadline_ms\": %d }",
			i ? ",\n" : "", b->service, b->service, b->service,
			DEADLINE_MS, b->service, b->service, b->service,
			DEADLINE_MS);
	}
	fleet_write_file(f, "conf/10-services.json", "%s\n} }\n", s->str);
	fleet_write_file(f, "conf/20-routes.json", "%s\n} }\n", r->str);
	g_string_free(s, TRUE);
	g_string_free(r, TRUE);
}

void fleet_write_account(struct fleet *f, const char *name, const char *key,
			 double rate, double burst)
{
	char *file = g_strdup_printf("conf/30-%s.json", name);
	char *hex =
		key ? g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1)
		    : NULL;

	fleet_write_file(f, file,
			 "{ \"accounts\": { \"%s\": { \"rate\": %.3f, "
			 "\"burst\": %.3f, \"keys\": { %s%s%s } } } }\n",
			 name, rate, burst, key ? "\"first\": \"sha256:" : "",
			 key ? hex : "", key ? "\"" : "");
	g_free(hex);
	g_free(file);
}
