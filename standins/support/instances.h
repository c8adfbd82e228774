/**
 * @file instances.h
 * The platform's list of instances: the current state, and the earlier versions
 * that reads return while the list lags. Not thread-safe: the caller locks.
 */
#ifndef STANDINS_INSTANCES_H
#define STANDINS_INSTANCES_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

/** One version of the list. */
struct sh_list_version {
	int64_t created_at; /**< ms, sh_now_ms(). */
	uint64_t version;
	char *text;
};

struct sh_list {
	struct json_object *entries; /**< By name. */
	struct json_object *missing; /**< Names that the list leaves out. */
	GPtrArray *history; /**< struct sh_list_version, oldest first. */
	struct sh_list_version *stale; /**< For stale reads, or NULL. */
	int64_t lag_ms;
	double stale_share; /**< Share of reads that are stale, 0 to 1. */
};

/** Creates the list from a file, or an empty one if @p path is NULL. The lag
 * does not delay the first version. Returns 0, or -1 if the file is invalid. */
int sh_list_init(struct sh_list *l, const char *path);

/** Returns the version that a read gets now; it belongs to the list. */
struct sh_list_version *sh_list_read(struct sh_list *l);

/** Applies {"op": OP, "name": ...}, where OP is "add" (with the members of the
 * entry), "leave", "remove" or "restart". Returns 0, or -1 if the operation is
 * unknown, or if "leave" or "restart" has the name of no entry. */
int sh_list_change(struct sh_list *l, struct json_object *in);

/** Sets the faults that the members list_lag_ms, stale_list and missing of
 * @p in describe. */
void sh_list_set_faults(struct sh_list *l, struct json_object *in);

#endif
