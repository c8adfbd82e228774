/**
 * @file instances.h
 * The platform's list of instances: what is true, and what a lagging reader is
 * shown. Callers hold their own lock.
 */
#ifndef STANDINS_INSTANCES_H
#define STANDINS_INSTANCES_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

/** What the list showed from a point in time on. */
struct sh_shown {
	int64_t at;
	uint64_t version;
	char *text;
};

struct sh_list {
	struct json_object *entries; /**< By name. */
	struct json_object *missing; /**< Names that the list leaves out. */
	GPtrArray *history; /**< struct sh_shown, oldest first. */
	struct sh_shown *stale; /**< Shown by stale reads; NULL: none. */
	int64_t lag_ms;
	double stale_share; /**< Of reads. */
};

/** Creates the list from a file, or an empty one if @p path is NULL. Its first
 * state is shown at once, whatever the lag. Returns 0 or -1. */
int sh_list_init(struct sh_list *l, const char *path);

/** Returns what a read is shown now; it belongs to the list. */
struct sh_shown *sh_list_shown(struct sh_list *l);

/** Executes {"op": "add" (with an entry's members), "leave", "remove" or
 * "restart", "name": ...}. Returns 0 or -1. */
int sh_list_change(struct sh_list *l, struct json_object *in);

/** Takes the members list_lag_ms, stale_list and missing. */
void sh_list_faults(struct sh_list *l, struct json_object *in);

#endif
