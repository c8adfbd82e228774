/**
 * @file members.h
 * Membership of the fleet: combines the platform's list of instances, which
 * lags behind, with the heartbeats received through gossip.
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
	CG_MEMBER_UNLISTED, /**< Known from gossip, not in the list. */
	CG_MEMBER_LIVE,
	CG_MEMBER_LEAVING,
	CG_MEMBER_GONE, /**< Absent from the list long enough, no contact. */
};

struct cg_member {
	char name[CG_NAME_MAX + 1];
	uint64_t incarnation; /**< 0 until known. */
	struct sockaddr_in addr;
	char failure_domain[CG_NAME_MAX + 1];
	char region[CG_NAME_MAX + 1];
	enum cg_member_state state;
	bool leaving; /**< This incarnation is shutting down. */
	cg_ms last_seen_at; /**< Last direct or relayed heartbeat. */
};

/** last_seen_at of a member without any heartbeat yet. */
#define CG_NEVER_SEEN (-CG_MS_NEVER)

struct cg_members;

/** Creates the set with this process as its first member, unlisted. */
struct cg_members *cg_members_new(const struct cg_settings *s,
				  uint64_t incarnation, struct cg_clock *clk);
void cg_members_free(struct cg_members *m);

/** Marks this process as shutting down; gossip messages carry the mark. */
void cg_members_mark_leaving(struct cg_members *m);

/** Copies the entry of this process. */
void cg_members_self(struct cg_members *m, struct cg_member *out);

/**
 * Applies a version of the platform's list. A version that is not above the
 * last one is ignored. Returns whether it was applied.
 */
bool cg_members_apply_list(struct cg_members *m,
			   const struct cg_instance_list *l);

/**
 * Marks @p name, which the shard map names as an owner, as listed in the past.
 * A process that started after the owner left the list can then still confirm
 * from later versions of the list that the owner is gone.
 */
void cg_members_assume_listed(struct cg_members *m, const char *name,
			      uint64_t incarnation,
			      const struct sockaddr_in *addr);

/**
 * Records a message from the member @p sender. @p proven_at is a time at which
 * its process is known to have been running: the time at which the call that it
 * replied to was sent. It is CG_NEVER_SEEN for a request, which may have waited
 * in a socket buffer for a long time.
 */
void cg_members_record_contact(struct cg_members *m,
			       const struct cg_member *sender, cg_ms proven_at);

/** Records the number of instances in a peer's list. It is used to compute the
 * majority until this process has a list of its own. */
void cg_members_record_peer_list_size(struct cg_members *m, size_t listed);

/** Returns the number of the fleet's instances in the last list; 0 without a
 * list. */
size_t cg_members_listed_count(struct cg_members *m);

/** Returns the latest time such that more than half of the known members, this
 * daemon included, were seen at or after it; CG_NEVER_SEEN if there is none. */
cg_ms cg_members_majority_seen_at(struct cg_members *m);

/** Whether this process has one of the @p n lowest rendezvous hashes among the
 * live members of its failure domain. False while it is not listed as live.
 * Daemons with the same list select the same @p n of them without messages, and
 * another one takes the place of a daemon that fails. */
bool cg_members_is_among_lowest(struct cg_members *m, uint64_t seed, size_t n);

/** Whether the list has shown this process's name at its address for
 * @p at_least ms. */
bool cg_members_self_listed(struct cg_members *m, cg_ms at_least);

/** Copies up to @p max members, including this daemon and members that are
 * gone. Returns the number copied. */
size_t cg_members_copy_all(struct cg_members *m, struct cg_member *out,
			   size_t max);

/**
 * Encodes the heartbeat ages of the listed members, sorted by name and starting
 * at index @p first, as 4-bit codes of at most @p max bytes in total. Sets
 * @p set to a hash that identifies the set of names. Returns the number of
 * members encoded.
 */
size_t cg_members_encode_ages(struct cg_members *m, size_t first,
			      uint8_t *codes, size_t max, uint64_t *set);

/** Merges the ages in a reply. They count from @p sent_at, the time at which
 * the call was sent. Ages for an unknown set of names are ignored. */
void cg_members_merge_ages(struct cg_members *m, uint64_t set, size_t first,
			   size_t count, const uint8_t *codes, cg_ms sent_at);

/** Returns the members as JSON for celerygladectl. The caller owns the
 * result. */
struct json_object *cg_members_status(struct cg_members *m);

/** Copies up to @p max members that are not gone, without this daemon. Returns
 * the number copied. */
size_t cg_members_copy(struct cg_members *m, struct cg_member *out, size_t max);

/** Copies the member of that name. Returns 0, or -1 if unknown. */
int cg_members_find(struct cg_members *m, const char *name,
		    struct cg_member *out);

/** Picks up to @p n random members, without this daemon, that are not gone and
 * were seen within the last @p within ms; with CG_MS_NEVER also those that were
 * never seen. Returns the number picked. */
size_t cg_members_pick_random(struct cg_members *m, size_t n, cg_ms within,
			      struct cg_member *out);

/** Returns the number of members that are not gone, including this daemon. */
size_t cg_members_count(struct cg_members *m);

/** Whether more than half of the known members, this daemon included, were
 * seen within the last @p within ms. */
bool cg_members_has_majority(struct cg_members *m, cg_ms within);

/** Returns a counter that is incremented by each change of the members or their
 * states. */
uint64_t cg_members_generation(struct cg_members *m);

#endif
