#define CG_PART "feed"
#include "feed_internal.h"

#include <string.h>

/* Delay before something is written again that the list still lacks. */
#define FLEET_LIST_INTERVAL_MS 400

static void fill_own_entry(const struct cgw_feed *f, struct cgw_fleet_entry *e)
{
	const struct cgw_settings *s = f->settings;

	memset(e, 0, sizeof(*e));
	g_strlcpy(e->name, s->instance, sizeof(e->name));
	g_strlcpy(e->domain, s->domain, sizeof(e->domain));
	g_strlcpy(e->ip, s->address, sizeof(e->ip));
	e->capacity = cgw_settings_capacity(s);
}

/* Returns what is to be done after a list of the fleet has been read:
 * STEP_LIST for nothing. */
static enum fleet_step next_fleet_step(const struct reader *r)
{
	enum fleet_step step = STEP_REGISTER;
	struct cgw_fleet_entry own;
	bool has_secret = false;

	fill_own_entry(r->feed, &own);
	for (guint i = 0; i < r->items->len; i++) {
		const struct cgw_fleet_entry *e =
			&g_array_index(r->items, struct cgw_fleet_entry, i);

		if (*e->secret)
			has_secret = true;
		else if (!strcmp(e->name, own.name))
			step = strcmp(e->domain, own.domain) != 0 ||
					       strcmp(e->ip, own.ip) != 0 ||
					       e->capacity != own.capacity
				       ? STEP_UPDATE
				       : STEP_LIST;
	}
	return step == STEP_LIST && !has_secret ? STEP_CREATE_SECRET : step;
}

/* Returns the delay until the next call, or -1 for none. */
cg_ms cgw_feed_apply_fleet(struct reader *r)
{
	struct cgw_feed *f = r->feed;
	enum fleet_step step = next_fleet_step(r);
	cg_ms delay;

	f->events.fleet(f->events.arg,
			(const struct cgw_fleet_entry *)(void *)r->items->data,
			r->items->len);
	g_array_set_size(r->items, 0);
	r->succeeded = step == STEP_LIST;
	if (r->succeeded)
		return -1;
	/* The list that follows a write is not an old one, so that nothing is
	 * written twice. */
	delay = r->wrote && step == r->last_write ? FLEET_LIST_INTERVAL_MS : 0;
	r->step = step;
	return delay;
}

bool cgw_feed_is_write(const struct reader *r)
{
	return r->kind == READER_FLEET && r->step != STEP_LIST;
}

char *cgw_feed_build_fleet_entry(const struct reader *r)
{
	struct cgw_fleet_entry e = { 0 };

	if (r->step != STEP_CREATE_SECRET) {
		fill_own_entry(r->feed, &e);
	} else {
		g_strlcpy(e.name, "secret", sizeof(e.name));
		for (gsize i = 0; i + 1 < sizeof(e.secret); i += 8)
			g_snprintf(e.secret + i, 9, "%08x", g_random_int());
	}
	return r->feed->format->write_fleet(&e);
}
