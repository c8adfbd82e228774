/**
 * @file members.h
 * Which instances belong to the fleet: the platform's lagging list joined with
 * what gossip hears.
 */
#ifndef CELERYGLADE_INTERNAL_MEMBERS_H
#define CELERYGLADE_INTERNAL_MEMBERS_H

#include <netinet/in.h>

#include "celeryglade/clock.h"
#include "celeryglade/config.h"

enum cg_member_state {
	CG_MEMBER_UNLISTED, /**< Heard by gossip, not in the list yet. */
	CG_MEMBER_LIVE,
	CG_MEMBER_LEAVING,
	CG_MEMBER_GONE, /**< Proved gone by the list; see docs/design.md 6. */
};

struct cg_member {
	char name[CG_NAME_MAX + 1];
	uint64_t incarnation; /**< 0 until heard by gossip. */
	struct sockaddr_in addr;
	char failure_domain[CG_NAME_MAX + 1];
	char region[CG_NAME_MAX + 1];
	enum cg_member_state state;
	cg_ms heard_at; /**< Last direct or relayed heartbeat. */
};

struct cg_members;

/** Copies up to @p max members that are not gone, this daemon excluded;
 * returns how many. */
size_t cg_members_copy(struct cg_members *m, struct cg_member *out, size_t max);

/** Copies the member of that name. Returns 0, or -1 if unknown. */
int cg_members_find(struct cg_members *m, const char *name,
		    struct cg_member *out);

/** Picks up to @p n random members heard within @p within ms. */
size_t cg_members_pick(struct cg_members *m, size_t n, cg_ms within,
		       struct cg_member *out);

/** Members that are not gone, this daemon included. */
size_t cg_members_count(struct cg_members *m);

/** Whether more than half of the known members, this daemon included, were
 * heard within @p within ms. */
bool cg_members_majority(struct cg_members *m, cg_ms within);

/** Returns a number that rises with every change of the set. */
uint64_t cg_members_generation(struct cg_members *m);

#endif
