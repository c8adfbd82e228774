/**
 * @file fleet_internal.h
 * What the parts of the fleet share: fleet_members.c (who is there, whom the
 * domain follows), fleet_beat.c (what brokers of other domains are told),
 * fleet_asks.c (the way of an ask), fleet_messages.c (datagrams) and fleet.c.
 */
#ifndef CELERYGLADE_GATEWAY_FLEET_INTERNAL_H
#define CELERYGLADE_GATEWAY_FLEET_INTERNAL_H

#include <netinet/in.h>
#include <stdbool.h>
/* The generated header expects what the XDR headers declare. */
#include <rpc/types.h>
#include <rpc/xdr.h>

#include "fleet_wire.h"
#include "gateway/fleet.h"

#define TICK_MS 50
/* A daemon that follows another has less to do; each wake-up has its price. */
#define TICK_IDLE_MS 150
#define PING_MS	     300
/* A daemon of better rank that came back is noticed within this. */
#define PING_BETTER_MS 1000
/* Two pings without an answer, and some room for a slow machine. */
#define ALIVE_MS 750
/* The daemons next in rank are known before they are needed. */
#define ALTERNATES	   3
#define ALIVE_ALTERNATE_MS 1300
/* Before a daemon follows one that it has not heard of lately, or itself, it
 * asks all of its domain and waits for their answers. */
#define HEARD_LATELY_MS 400
#define DOUBT_MS	120
/* A daemon just started listens this long before it follows itself. */
#define SETTLE_MS 400
/* Followers that are silent for so long hold nothing any more. */
#define FOLLOWER_MS 1500
/* Brokers of other domains are told what is free and asked for. */
#define BEAT_MS		400
#define OTHER_BROKER_MS 1600
#define OTHER_PINGS	3
/* A datagram is lost now and then: asked again, then another broker. */
#define ASK_AGAIN_MS	  40
#define ASK_GIVE_UP_MS	  200
#define ASK_FOREIGN_MS	  60
#define ASK_STILL_WAIT_MS 500
/* Requests of other domains are not sent to servers that were listed longer
 * ago: a server may be sent nothing 2 s after it said that it leaves. */
#define SERVERS_OLD_MS 1500
/* A daemon seen within this counts as one that may be cut off and follow
 * another broker; later as gone. */
#define SEEN_MS 30000
/* Grants younger than this may not be in a ping yet. */
#define HOLD_SETTLE_MS 400
/* The proof of the followed daemon is too old: read the store oneself. */
#define PROOF_OLD_MS  1300
#define PROOF_READ_MS 900
#define MAC_SIZE      16
#define DATAGRAM_MAX  60000

/* How fit a daemon is to be followed. */
enum cgw_fitness {
	CGW_LEAVING,
	CGW_BLIND, /* neither configuration nor store */
	CGW_WAITING, /* the store has no configuration yet */
	CGW_FIT_WITHOUT_STORE,
	CGW_FIT,
};

struct cgw_member {
	char name[CGW_NAME_MAX + 1];
	char domain[CGW_NAME_MAX + 1];
	struct in_addr ip;
	cg_ms heard_at; /* last pong */
	cg_ms pinged_at;
	cg_ms seen_at; /* last message of any kind */
	cg_ms follows_at; /* last ping that said it follows this daemon */
	int fitness;
	uint64_t incarnation;
};

struct cgw_fleet {
	struct cgw_loop *loop;
	const struct cgw_settings *settings;
	struct cgw_feed **feed;
	uint64_t incarnation;
	struct cgw_io io;
	struct in_addr ip;
	struct cgw_timer tick;
	GHashTable *members; /* name to struct cgw_member */
	GHashTable *other_brokers; /* domain to struct other_broker */
	char secret[65];
	char leader[CGW_NAME_MAX + 1]; /* "" for none, or a name */
	bool leading; /* others may follow this daemon's broker */
	bool leaving;
	cg_ms started_at;
	cg_ms beat_at;
	cg_ms doubt_at; /* when a change of leader was first thought of */
	cg_ms read_at; /* last read of the store beside the leader */
	struct cgw_broker *broker;
	bool servers_fresh; /* read since this daemon began to lead */
	bool decided; /* the broker has decided within this call */
	GArray *early; /* struct cgw_slot_request that came before that */
	struct cds_list_head slots; /* struct cgw_slot in use */
	uint64_t next_id;
	GQueue verdicts; /* of the own broker, for own slots */
	struct cgw_timer verdict_timer;
};

struct other_broker {
	char name[CGW_NAME_MAX + 1];
	struct in_addr ip;
	cg_ms at;
};

/* fleet_messages.c */
void cgw_fleet_send(struct cgw_fleet *f, struct in_addr to, fleet_body *body);
void cgw_fleet_on_datagram(struct cgw_io *io, uint32_t events);

/* fleet_members.c */
struct cgw_member *cgw_fleet_member(struct cgw_fleet *f, const char *name);
struct cgw_member *cgw_fleet_add_member(struct cgw_fleet *f, const char *name,
					const char *domain, struct in_addr ip);
bool cgw_fleet_is_self(struct cgw_fleet *f, const char *name);
bool cgw_fleet_own_domain(struct cgw_fleet *f, const struct cgw_member *m);
void cgw_fleet_send_ping(struct cgw_fleet *f, struct cgw_member *m);
void cgw_fleet_send_pong(struct cgw_fleet *f, struct in_addr to, uint64_t echo);
void cgw_fleet_take_ping(struct cgw_fleet *f, struct cgw_member *m,
			 const fleet_ping *p);
void cgw_fleet_take_pong(struct cgw_fleet *f, struct cgw_member *m,
			 const fleet_pong *p);
/** Follows the fittest daemon that is there; asks the domain first if the
 * choice falls on one that was not heard lately. */
void cgw_fleet_choose_leader(struct cgw_fleet *f);
/** Pings whom it is time to ping. */
void cgw_fleet_ping_domain(struct cgw_fleet *f);
bool cgw_fleet_is_followed(struct cgw_fleet *f);
/** The part of the domain's rates and retries that the own broker may use. */
double cgw_fleet_part(struct cgw_fleet *f);
/** Ends what followers that fell silent hold. */
void cgw_fleet_forget_silent(struct cgw_fleet *f);
void cgw_fleet_watch_proof(struct cgw_fleet *f);

/* fleet_beat.c */
/** Whether the list of servers is young enough for other domains' requests. */
bool cgw_fleet_knows_servers(struct cgw_fleet *f);
void cgw_fleet_beat(struct cgw_fleet *f);
void cgw_fleet_take_beat(struct cgw_fleet *f, struct cgw_member *m,
			 const fleet_beat *b);
void cgw_fleet_note_other_broker(struct cgw_fleet *f, const char *domain,
				 const char *name, struct in_addr ip);

/* fleet_asks.c */
/** Puts an ask to the own broker, at once or when the servers are known. */
void cgw_fleet_ask_broker(struct cgw_fleet *f,
			  const struct cgw_slot_request *a);
/** Sends asks that the former broker has not decided to the new one. */
void cgw_fleet_ask_again(struct cgw_fleet *f);
void cgw_fleet_take_ask(struct cgw_fleet *f, struct cgw_member *m,
			const fleet_ask *q);
void cgw_fleet_take_waiting(struct cgw_fleet *f, uint64_t id);
/** Takes a grant, a refusal or a hint from another broker. */
void cgw_fleet_take_answer(struct cgw_fleet *f, const fleet_body *b,
			   struct in_addr from);
void cgw_fleet_take_release(struct cgw_fleet *f, struct cgw_member *m,
			    const fleet_release *r);
/** The own broker has decided. */
void cgw_fleet_on_verdict(void *arg, const struct cgw_slot_decision *v);
void cgw_fleet_deliver_own(struct cgw_timer *t);

/* fleet.c */
void cgw_fleet_set_leading(struct cgw_fleet *f, bool leading);

#endif
