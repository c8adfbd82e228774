#define CG_PART "feed"
#include "feed_internal.h"

#include <string.h>

#include "internal/logging.h"

/* Delay before something is written again that the list still lacks. */
#define FLEET_LIST_INTERVAL_MS 400
/* A daemon that starts and finds others but no secret creates one only after this
 * time. After the return of the store, a leader notices it within 1,000 ms and
 * lists the fleet within 400 ms. */
#define SECRET_WAIT_MS 2000
/* Least time between two writes of the own entry that the leader has asked
 * for, and the time in which daemons that it asked at once write theirs. */
#define REGISTER_AGAIN_MS  4000
#define REGISTER_SPREAD_MS 1000

/* Delays of the lists of the fleet by a leader after the first one in an era. */
static const cg_ms LIST_AGAIN_MS[] = { 3000, 7000 };

static void fill_own_entry(const struct cgw_feed *f, struct cgw_fleet_entry *e)
{
	const struct cgw_settings *s = f->settings;

	memset(e, 0, sizeof(*e));
	g_strlcpy(e->name, s->instance, sizeof(e->name));
	g_strlcpy(e->domain, s->domain, sizeof(e->domain));
	g_strlcpy(e->ip, s->address, sizeof(e->ip));
	e->capacity = cgw_settings_capacity(s);
}

/* The secret in use is kept: other daemons that use it too do not read the store
 * and could not learn of a new one. A daemon that has known its secret since an
 * earlier era writes it again, over another one once in an era. After that, and if
 * it has learned its secret in this era, it takes what the store has, so that all
 * end with the same. */
static enum fleet_step check_secret(struct reader *r, const char *stored)
{
	struct cgw_feed *f = r->feed;

	if (!*stored)
		return STEP_CREATE_SECRET;
	if (*f->secret && strcmp(f->secret, stored) != 0 &&
	    f->secret_era < r->era && f->secret_restored_era < r->era) {
		cg_warning("the store has another secret of the fleet; writing "
			   "the one in use again");
		return STEP_RESTORE_SECRET;
	}
	if (strcmp(f->secret, stored) != 0) {
		if (*f->secret)
			cg_warning("takes the secret of the fleet that the "
				   "store has");
		g_strlcpy(f->secret, stored, sizeof(f->secret));
		f->secret_era = r->era;
	}
	return STEP_LIST;
}

/* Returns what is to be done after a list of the fleet has been read:
 * STEP_LIST for nothing. */
static enum fleet_step next_fleet_step(struct reader *r)
{
	struct cgw_feed *f = r->feed;
	enum fleet_step step = STEP_REGISTER, secret_step;
	struct cgw_fleet_entry own;
	const char *secret = "";

	fill_own_entry(f, &own);
	for (guint i = 0; i < r->items->len; i++) {
		const struct cgw_fleet_entry *e =
			&g_array_index(r->items, struct cgw_fleet_entry, i);

		if (*e->secret)
			secret = e->secret;
		else if (!strcmp(e->name, own.name))
			step = strcmp(e->domain, own.domain) != 0 ||
					       strcmp(e->ip, own.ip) != 0 ||
					       e->capacity != own.capacity
				       ? STEP_UPDATE
				       : STEP_LIST;
	}
	secret_step = check_secret(r, secret);
	return step == STEP_LIST || secret_step == STEP_RESTORE_SECRET
		       ? secret_step
		       : step;
}

/* Whether the list names daemons but no secret: one of them knows it and writes
 * it again. Only a daemon that has never known the secret waits for that. */
static bool awaits_secret(struct reader *r)
{
	struct cgw_feed *f = r->feed;
	cg_ms now = cgw_loop_now(f->loop);

	if (*f->secret || r->wrote || !f->era)
		return false;
	for (guint i = 0; i < r->items->len; i++) {
		const struct cgw_fleet_entry *e =
			&g_array_index(r->items, struct cgw_fleet_entry, i);

		if (*e->secret)
			return false;
		if (strcmp(e->name, f->settings->instance) != 0 &&
		    !f->secret_wait_since)
			f->secret_wait_since = now;
	}
	return f->secret_wait_since &&
	       now - f->secret_wait_since < SECRET_WAIT_MS;
}

/* Gives the entries to the fleet, with the secret in use. */
static void report_fleet(struct reader *r)
{
	struct cgw_feed *f = r->feed;

	for (guint i = 0; i < r->items->len; i++) {
		struct cgw_fleet_entry *e =
			&g_array_index(r->items, struct cgw_fleet_entry, i);

		if (*e->secret)
			g_strlcpy(e->secret, f->secret, sizeof(e->secret));
	}
	f->events.fleet(f->events.arg,
			(const struct cgw_fleet_entry *)(void *)r->items->data,
			r->items->len);
}

/* Returns the delay until the next list of the fleet after one that lacked
 * nothing, or -1 for none. After a change of era, daemons that start write what
 * others have to put right; one that has created the secret finds out whether it
 * replaced another one. */
static cg_ms next_list_delay(struct cgw_feed *f)
{
	if (!f->polling || !(f->era_changes || f->created_secret) ||
	    f->fleet_lists >= G_N_ELEMENTS(LIST_AGAIN_MS))
		return -1;
	return LIST_AGAIN_MS[f->fleet_lists++];
}

cg_ms cgw_feed_apply_fleet(struct reader *r)
{
	struct cgw_feed *f = r->feed;
	bool waits = awaits_secret(r);
	enum fleet_step step = next_fleet_step(r);
	cg_ms delay;

	f->fleet_listed_at = cgw_loop_now(f->loop);
	report_fleet(r);
	g_array_set_size(r->items, 0);
	if (waits)
		return FLEET_LIST_INTERVAL_MS;
	r->succeeded = step == STEP_LIST;
	if (r->succeeded)
		return next_list_delay(f);
	/* The list that follows a write is not an old one, so that nothing is
	 * written twice. */
	delay = r->wrote && step == r->last_write ? FLEET_LIST_INTERVAL_MS : 0;
	r->step = step;
	return delay;
}

void cgw_feed_list_fleet_again(struct cgw_feed *f, cg_ms delay)
{
	struct reader *r = &f->readers[READER_FLEET];

	f->fleet_lists = 0;
	if (cgw_call_running(&r->call))
		r->read_again = true;
	else
		cgw_feed_schedule(r, delay);
}

void cgw_feed_register_again(struct cgw_feed *f)
{
	struct reader *r = &f->readers[READER_FLEET];
	cg_ms now = cgw_loop_now(f->loop);

	if (!r->succeeded || cgw_call_running(&r->call) ||
	    r->timer.heap_index || now - f->registered_at < REGISTER_AGAIN_MS)
		return;
	f->registered_at = now;
	cgw_feed_schedule(r, g_random_int_range(0, REGISTER_SPREAD_MS));
}

bool cgw_feed_is_write(const struct reader *r)
{
	return r->kind == READER_FLEET && r->step != STEP_LIST;
}

char *cgw_feed_build_fleet_entry(const struct reader *r)
{
	struct cgw_fleet_entry e = { 0 };

	if (r->step != STEP_CREATE_SECRET && r->step != STEP_RESTORE_SECRET) {
		fill_own_entry(r->feed, &e);
	} else {
		struct cgw_feed *f = r->feed;

		g_strlcpy(e.name, "secret", sizeof(e.name));
		if (*f->secret)
			g_strlcpy(e.secret, f->secret, sizeof(e.secret));
		else
			for (gsize i = 0; i + 1 < sizeof(e.secret); i += 8)
				g_snprintf(e.secret + i, 9, "%08x",
					   g_random_int());
	}
	return r->feed->format->write_fleet(&e);
}
