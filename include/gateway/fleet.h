/**
 * @file fleet.h
 * The daemons of a fleet among themselves: who is there, whom a failure domain
 * follows, and the way of an ask to the broker that decides it.
 */
#ifndef CELERYGLADE_GATEWAY_FLEET_H
#define CELERYGLADE_GATEWAY_FLEET_H

#include <urcu/list.h>

#include "gateway/broker.h"
#include "gateway/feed.h"
#include "gateway/gateway_settings.h"
#include "gateway/loop.h"

struct cgw_fleet;
struct cgw_member;

/** A wish for a slot; embedded in the request. */
struct cgw_slot {
	struct cds_list_head node; /**< In the fleet's list while in use. */
	struct cgw_ask request; /**< Set by the owner, but for daemon and id. */
	/** Runs once with the final verdict, never within cgw_slot_acquire(). */
	void (*decided)(struct cgw_slot *s, const struct cgw_verdict *v);

	struct cgw_fleet *fleet;
	char broker[CGW_NAME_MAX + 1]; /**< Name of whom it asked; "" for the
					* own broker. */
	char foreign_ip[CGW_NAME_MAX + 1]; /**< Broker of another domain. */
	char server[CGW_NAME_MAX + 1]; /**< That was granted. */
	enum {
		CGW_SLOT_IDLE,
		CGW_SLOT_ASKING,
		CGW_SLOT_HELD
	} state;
	cg_ms asked_at;
	cg_ms granted_at;
	cg_ms told_at; /**< When the broker last said that it waits. */
	struct cgw_timer timer;
};

struct cgw_fleet *cgw_fleet_new(struct cgw_loop *l,
				const struct cgw_settings *s,
				uint64_t incarnation, struct cgw_feed **feed);
void cgw_fleet_free(struct cgw_fleet *f);

/** Takes over entries of the store: daemons, and the secret. */
void cgw_fleet_update_entries(struct cgw_fleet *f,
			      const struct cgw_fleet_entry *e, size_t n);
/** The own broker's list of servers has just been read. */
void cgw_fleet_handle_server_list(struct cgw_fleet *f);
/** No daemon follows this one any more. */
void cgw_fleet_leave(struct cgw_fleet *f);

void cgw_slot_acquire(struct cgw_fleet *f, struct cgw_slot *s);
/** Gives a slot back, or withdraws an ask. Does nothing on an idle one. */
void cgw_slot_release(struct cgw_slot *s, enum cgw_result result);

struct cgw_broker *cgw_fleet_broker(struct cgw_fleet *f);
/** Whether this daemon follows some broker, its own included. */
bool cgw_fleet_has_leader(struct cgw_fleet *f);
/** Name of the daemon that is followed; static until the next call. */
const char *cgw_fleet_leader(struct cgw_fleet *f);

#endif
