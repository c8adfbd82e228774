/**
 * @file instances.h
 * Decodes the platform's list of instances and backend servers.
 */
#ifndef CELERYGLADE_INTERNAL_INSTANCES_H
#define CELERYGLADE_INTERNAL_INSTANCES_H

#include <glib.h>
#include <netinet/in.h>

#include "celeryglade/config.h"
#include "internal/jsonc.h"

/** One entry of the list. */
struct cg_instance_entry {
	char name[CG_NAME_MAX + 1];
	bool server; /**< A backend server, not an instance of the fleet. */
	struct sockaddr_in addr; /**< Peer address; unset for servers. */
	char failure_domain[CG_NAME_MAX + 1];
	char region[CG_NAME_MAX + 1];
	bool leaving;
	int64_t started; /**< Start time as the platform reports it. */
};

struct cg_instance_list {
	uint64_t version;
	struct cg_instance_entry *items;
	size_t n;
};

/**
 * Decodes the list. One malformed entry makes the whole list invalid, because
 * an instance whose entry was skipped would appear to be gone. Returns 0, and
 * the caller frees the list with cg_instance_list_clear, or -1 with the faults
 * added to @p f.
 */
int cg_instance_list_parse(GBytes *text, struct cg_instance_list *out,
			   struct cg_faults *f);
void cg_instance_list_clear(struct cg_instance_list *l);

#endif
