#define CG_PART "broker"
#include "broker_internal.h"

#include <math.h>
#include <rpc/types.h>
#include <rpc/xdr.h>

#include "celeryglade/counters.h"
#include "fleet_wire.h"
#include "internal/logging.h"

/* Entries of a summary: 30 kB of routes and classes, and about 30 bytes for each
 * server. It is sent to three daemons every 10 s. */
#define ROUTES_SENT_MAX 256
#define KEYS_SENT_MAX	1024
#define SPEEDS_SENT_MAX FLEET_WORK_MAX
#define MILLI		1000.0
/* Weight of what another broker has learnt: work may have changed since. */
#define IMPORTED_SHARE 0.8

struct summary {
	GArray *routes; /* fleet_work_route */
	GArray *entries; /* fleet_work_entry */
	GArray *speeds; /* fleet_work_speed */
};

static fleet_work_entry encode_entry(const struct cgw_work_entry *e)
{
	return (fleet_work_entry){
		.key = e->key,
		.mean_us = (u_int)(e->mean * MILLI),
		.weight_milli = (u_int)(e->weight * MILLI),
	};
}

static void add_entry(void *arg, const struct cgw_work_entry *e, bool is_route)
{
	struct summary *s = arg;
	fleet_work_route r = { .entry = encode_entry(e) };
	double largest = 0, total = 0;

	if (!is_route) {
		g_array_append_val(s->entries, r.entry);
		return;
	}
	for (int i = 0; i < CGW_WORK_RATIOS; i++) {
		largest = fmax(largest, e->ratios[i]);
		total += e->ratios[i];
	}
	r.ratios.ratios_len = CGW_WORK_RATIOS;
	r.ratios.ratios_val = g_malloc0(CGW_WORK_RATIOS);
	for (int i = 0; i < CGW_WORK_RATIOS && largest > 0; i++)
		r.ratios.ratios_val[i] =
			(char)(unsigned char)(255 * e->ratios[i] / largest);
	r.ratios_milli = (u_int)(total * MILLI);
	g_array_append_val(s->routes, r);
}

static void add_speed(struct summary *s, char *name, bool is_service,
		      const struct cgw_work_speed *speed)
{
	fleet_work_speed e = {
		.name = name,
		.is_service = is_service,
		.log_ratio_milli = (int)lround(speed->log_ratio * MILLI),
		.weight_milli = (u_int)(speed->weight * MILLI),
	};

	if (speed->weight >= 1 && s->speeds->len < SPEEDS_SENT_MAX)
		g_array_append_val(s->speeds, e);
}

bool cgw_broker_export_work(struct cgw_broker *b, GByteArray *out, cg_ms now)
{
	struct summary s = {
		.routes = g_array_new(FALSE, FALSE, sizeof(fleet_work_route)),
		.entries = g_array_new(FALSE, FALSE, sizeof(fleet_work_entry)),
		.speeds = g_array_new(FALSE, FALSE, sizeof(fleet_work_speed)),
	};
	fleet_work all = { 0 };
	GHashTableIter it;
	gpointer value;
	bool ok = false;
	XDR x;

	cgw_work_export(b->work, ROUTES_SENT_MAX, KEYS_SENT_MAX, now, add_entry,
			&s);
	g_hash_table_iter_init(&it, b->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_service *o = value;

		add_speed(&s, o->name, true, &o->speed);
	}
	g_hash_table_iter_init(&it, b->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_server *o = value;

		add_speed(&s, o->facts.id, false, &o->speed);
	}
	all.routes.routes_val = (void *)s.routes->data;
	all.routes.routes_len = s.routes->len;
	all.entries.entries_val = (void *)s.entries->data;
	all.entries.entries_len = s.entries->len;
	all.speeds.speeds_val = (void *)s.speeds->data;
	all.speeds.speeds_len = s.speeds->len;
	if (s.routes->len) {
		g_byte_array_set_size(
			out,
			(guint)xdr_sizeof((xdrproc_t)xdr_fleet_work, &all));
		xdrmem_create(&x, (char *)out->data, out->len, XDR_ENCODE);
		ok = xdr_fleet_work(&x, &all);
		xdr_destroy(&x);
	}
	for (guint i = 0; i < s.routes->len; i++)
		g_free(g_array_index(s.routes, fleet_work_route, i)
			       .ratios.ratios_val);
	g_array_unref(s.routes);
	g_array_unref(s.entries);
	g_array_unref(s.speeds);
	return ok;
}

static struct cgw_work_entry decode_entry(const fleet_work_entry *e)
{
	return (struct cgw_work_entry){
		.key = e->key,
		.mean = e->mean_us / MILLI,
		.weight = IMPORTED_SHARE * e->weight_milli / MILLI,
	};
}

static void import_route(struct cgw_broker *b, const fleet_work_route *r,
			 cg_ms now)
{
	struct cgw_work_entry e = decode_entry(&r->entry);
	double total = 0, scale;

	if (r->ratios.ratios_len != CGW_WORK_RATIOS)
		return;
	for (int i = 0; i < CGW_WORK_RATIOS; i++)
		total += (unsigned char)r->ratios.ratios_val[i];
	scale = total > 0 ? r->ratios_milli / MILLI / total : 0;
	for (int i = 0; i < CGW_WORK_RATIOS; i++)
		e.ratios[i] = (unsigned char)r->ratios.ratios_val[i] * scale;
	cgw_work_import(b->work, &e, true, now);
}

static void import_speed(struct cgw_broker *b, const fleet_work_speed *e,
			 cg_ms now)
{
	struct cgw_work_speed speed = {
		.log_ratio =
			CLAMP(e->log_ratio_milli / MILLI,
			      -CGW_WORK_LOG_RATIO_MAX, CGW_WORK_LOG_RATIO_MAX),
		.weight = fmin(IMPORTED_SHARE * e->weight_milli / MILLI,
			       CGW_WORK_SPEED_WEIGHT_MAX),
		.at = now,
	};
	struct cgw_server *s = g_hash_table_lookup(b->servers, e->name);
	struct cgw_service *service = g_hash_table_lookup(b->services, e->name);

	if (e->is_service && !service)
		service = cgw_broker_get_service(b, e->name);
	if (e->is_service) {
		if (service->speed.weight < speed.weight)
			service->speed = speed;
	} else if (s) {
		if (s->speed.weight < speed.weight)
			s->speed = speed;
	} else {
		g_hash_table_insert(b->former_speeds, g_strdup(e->name),
				    g_memdup2(&speed, sizeof(speed)));
	}
}

int cgw_broker_import_work(struct cgw_broker *b, const void *data, size_t len,
			   cg_ms now)
{
	fleet_work all = { 0 };
	int rc = -1;
	XDR x;

	xdrmem_create(&x, (char *)data, (u_int)len, XDR_DECODE);
	if (xdr_fleet_work(&x, &all)) {
		rc = 0;
		/* Only the last summary is kept, so this stays bounded. */
		g_hash_table_remove_all(b->former_speeds);
		for (u_int i = 0; i < all.routes.routes_len; i++)
			import_route(b, &all.routes.routes_val[i], now);
		for (u_int i = 0; i < all.entries.entries_len; i++) {
			struct cgw_work_entry e =
				decode_entry(&all.entries.entries_val[i]);

			cgw_work_import(b->work, &e, false, now);
		}
		for (u_int i = 0; i < all.speeds.speeds_len; i++)
			import_speed(b, &all.speeds.speeds_val[i], now);
		cg_count(CG_COUNTER_WORK_SUMMARIES_READ);
		if (!b->work_read && all.routes.routes_len)
			cg_info("read estimates of work of another broker: %u "
				"routes, %u classes, %u speeds",
				all.routes.routes_len, all.entries.entries_len,
				all.speeds.speeds_len);
		b->work_read = true;
	}
	xdr_free((xdrproc_t)xdr_fleet_work, &all);
	xdr_destroy(&x);
	return rc;
}
