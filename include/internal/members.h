/**
 * @file members.h
 * Which instances belong to the fleet: the platform's lagging list joined with
 * what gossip hears.
 */
#ifndef CELERYGLADE_INTERNAL_MEMBERS_H
#define CELERYGLADE_INTERNAL_MEMBERS_H

#include <json-c/json.h>
#include <netinet/in.h>

#include "celeryglade/clock.h"
#include "celeryglade/config.h"
#include "internal/instances.h"
#include "internal/settings.h"

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
	bool leaving; /**< This incarnation said that it shuts down. */
	cg_ms last_seen_at; /**< Last direct or relayed heartbeat. */
};

/** last_seen_at of a member that was never heard. */
#define CG_NEVER_SEEN (-CG_MS_NEVER)

struct cg_members;

/** Creates the set with this process as its first member, unlisted. */
struct cg_members *cg_members_new(const struct cg_settings *s,
				  uint64_t incarnation, struct cg_clock *clk);
void cg_members_free(struct cg_members *m);

/** Marks this process as shutting down; gossip tells the others. */
void cg_members_mark_leaving(struct cg_members *m);

/** Copies this process's own entry. */
void cg_members_self(struct cg_members *m, struct cg_member *out);

/**
 * Applies a version of the platform's list. A version that is not above the
 * last one is ignored. Returns whether it was applied.
 */
bool cg_members_apply_list(struct cg_members *m,
			   const struct cg_instance_list *l);

/**
 * Tells that @p name was listed once, as the shard map names it as an owner, so
 * that its absence from later versions of the list can be confirmed even by a
 * process that started afterwards.
 */
void cg_members_assume_listed(struct cg_members *m, const char *name,
			      uint64_t incarnation,
			      const struct sockaddr_in *addr);

/**
 * Records a message of @p who. @p proven_at is a time at which it was surely
 * running: the sending time of the call that it replied to. For a request it is
 * CG_NEVER_SEEN, because a request may have waited in a buffer for long.
 */
void cg_members_record_contact(struct cg_members *m,
			       const struct cg_member *who, cg_ms proven_at);

/** Records how many instances a peer's list has; used until this process has
 * a list of its own. */
void cg_members_record_peer_list_size(struct cg_members *m, size_t listed);

/** Instances of the fleet in the last list; 0 without a list. */
size_t cg_members_listed_count(struct cg_members *m);

/** Time by which more than half of the known members, this daemon included,
 * had been heard; CG_NEVER_SEEN if that was never so. */
cg_ms cg_members_majority_seen_at(struct cg_members *m);

/** Whether this process is among the @p n lowest by rendezvous hash of the
 * live members of its failure domain. False while it is not listed. */
bool cg_members_is_among_lowest(struct cg_members *m, uint64_t seed, size_t n);

/** Whether the list has shown this process's name at its address for
 * @p at_least ms. */
bool cg_members_self_listed(struct cg_members *m, cg_ms at_least);

/** Copies up to @p max members, those that are gone and this one included. */
size_t cg_members_copy_all(struct cg_members *m, struct cg_member *out,
			   size_t max);

/**
 * Encodes heartbeat ages of the listed members in order of names, from number
 * @p first on, as 4-bit codes of at most @p max bytes. Sets @p set to the
 * identity of the list's names. Returns the number of members encoded.
 */
size_t cg_members_encode_ages(struct cg_members *m, size_t first,
			      uint8_t *codes, size_t max, uint64_t *set);

/** Merges ages that a reply carried, counted from @p sent_at, the time at which
 * the call was sent. Ages of an unknown set are ignored. */
void cg_members_merge_ages(struct cg_members *m, uint64_t set, size_t first,
			   size_t count, const uint8_t *codes, cg_ms sent_at);

/** Describes the members for the operator's tool. The caller owns it. */
struct json_object *cg_members_status(struct cg_members *m);

/** Copies up to @p max members that are not gone, this daemon excluded;
 * returns how many. */
size_t cg_members_copy(struct cg_members *m, struct cg_member *out, size_t max);

/** Copies the member of that name. Returns 0, or -1 if unknown. */
int cg_members_find(struct cg_members *m, const char *name,
		    struct cg_member *out);

/** Picks up to @p n random members heard within @p within ms. */
size_t cg_members_pick_random(struct cg_members *m, size_t n, cg_ms within,
			      struct cg_member *out);

/** Members that are not gone, this daemon included. */
size_t cg_members_count(struct cg_members *m);

/** Whether more than half of the known members, this daemon included, were
 * heard within @p within ms. */
bool cg_members_has_majority(struct cg_members *m, cg_ms within);

/** Returns a number that rises with every change of the set. */
uint64_t cg_members_generation(struct cg_members *m);

#endif
