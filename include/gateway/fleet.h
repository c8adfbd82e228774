/**
 * @file fleet.h
 * Communication between the daemons of a fleet: which daemons are alive, which
 * broker the daemons of a failure domain follow, and how a slot request reaches
 * the broker that decides it.
 */
#ifndef CELERYGLADE_GATEWAY_FLEET_H
#define CELERYGLADE_GATEWAY_FLEET_H

#include <netinet/in.h>
#include <urcu/list.h>

#include "gateway/broker.h"
#include "gateway/evacuations.h"
#include "gateway/feed.h"
#include "gateway/gateway_settings.h"
#include "gateway/handoff.h"
#include "gateway/loop.h"

struct cgw_fleet;
struct cgw_member;

/** A slot request and the slot that is granted to it; embedded in the caller's
 * request. */
struct cgw_slot {
	struct cds_list_head node; /**< In the fleet's list while in use. */
	/** Set by the owner, except for daemon and id. */
	struct cgw_slot_request request;
	/** Called once with the final decision, never from within
	 * cgw_slot_acquire(). */
	void (*decided)(struct cgw_slot *s, const struct cgw_slot_decision *d);

	struct cgw_fleet *fleet;
	/** Name of the daemon whose broker got the request; "" for this
	 * daemon's own broker. */
	char broker[CGW_NAME_MAX + 1];
	/** Address of the other domain's broker that the request was redirected
	 * to; "" if it is with the own domain's broker. */
	char other_broker_ip[CGW_NAME_MAX + 1];
	char server[CGW_NAME_MAX + 1]; /**< Server of the granted slot. */
	int64_t server_started_wall_ms;
	enum {
		CGW_SLOT_IDLE,
		CGW_SLOT_WAITING, /**< For a decision. */
		CGW_SLOT_HELD
	} state;
	cg_ms requested_at;
	cg_ms granted_at;
	/** When the broker last reported that the request waits; 0 for
	 * never. */
	cg_ms waiting_reported_at;
	struct cgw_timer timer;
};

/** Creates the fleet and binds its UDP socket; returns NULL if that fails.
 * @p incarnation identifies this process. @p feed points to the owner's
 * pointer, which is read at each use; @p l and @p s must outlive the fleet. */
struct cgw_fleet *cgw_fleet_new(struct cgw_loop *l,
				const struct cgw_settings *s,
				uint64_t incarnation, struct cgw_feed **feed);
void cgw_fleet_free(struct cgw_fleet *f);
/** Sets what fetches the configuration from other daemons; not owned. */
void cgw_fleet_set_handoff(struct cgw_fleet *f, struct cgw_handoff *h);

/** Pings the leader, if it is another daemon: its pong names a daemon that hands on
 * a newer configuration, and the ping names the version of this one. */
void cgw_fleet_ping_leader(struct cgw_fleet *f);

/** Sets what tells whether the own domain is evacuated; not owned. */
void cgw_fleet_set_evacuations(struct cgw_fleet *f, struct cgw_evacuations *e);
/** Must be called after a read of the evacuation has ended. */
void cgw_fleet_handle_evacuation(struct cgw_fleet *f);

/** Size of a message authentication code as hexadecimal text, with its NUL. */
#define CGW_FLEET_MAC_TEXT 65
/** Computes the code of @p data under the fleet's secret. Returns 0, or -1 if
 * the secret is not known yet. */
int cgw_fleet_mac(struct cgw_fleet *f, const void *data, size_t len,
		  char out[CGW_FLEET_MAC_TEXT]);

/** Adds the daemons listed in the store and sets the fleet's secret. */
void cgw_fleet_update_entries(struct cgw_fleet *f,
			      const struct cgw_fleet_entry *e, size_t n);
/** Decides again whether the own broker may grant by its list of servers, and submits
 * the slot requests that waited if it may. Must be called after the list has been
 * updated. */
void cgw_fleet_update_servers_usable(struct cgw_fleet *f);
/** Makes this daemon report that it is leaving, so that the others stop
 * following it. */
void cgw_fleet_leave(struct cgw_fleet *f);

/** Requests a slot as described by @c request. */
void cgw_slot_acquire(struct cgw_fleet *f, struct cgw_slot *s);
/** Releases a held slot or withdraws a request. Does nothing on an idle
 * slot. */
void cgw_slot_release(struct cgw_slot *s, enum cgw_result result,
		      const struct cgw_server_notice *said);

struct cgw_broker *cgw_fleet_broker(struct cgw_fleet *f);
/** Returns whether this daemon follows a broker, possibly its own. */
bool cgw_fleet_has_leader(struct cgw_fleet *f);
/** Returns the name of the daemon that is followed, or ""; owned by the
 * fleet, valid until the leader changes. */
const char *cgw_fleet_leader(struct cgw_fleet *f);
/** Returns whether this daemon leads. */
bool cgw_fleet_leads(const struct cgw_fleet *f);
/** Returns the name of the daemon that is followed and writes its IP address to
 * @p ip, or returns "" if it is this daemon or none. */
const char *cgw_fleet_other_leader(struct cgw_fleet *f,
				   char ip[INET_ADDRSTRLEN]);

#endif
