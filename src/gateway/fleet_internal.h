/**
 * @file fleet_internal.h
 * Declarations shared by the files of the fleet: fleet_members.c (liveness of
 * the daemons and choice of the leader), fleet_reads.c (when the configuration is
 * read), fleet_servers.c (use of the list of servers), fleet_era.c (return of the
 * store from an older copy), fleet_heartbeat.c (heartbeats between the brokers of
 * the domains), fleet_evacuation.c (whether the own domain is evacuated),
 * fleet_slots.c (slot requests and decisions), fleet_messages.c (datagrams) and
 * fleet.c.
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

/* Interval of the timer in a daemon that leads or looks for a leader. */
#define TICK_MS 50
/* A daemon that follows another one has less to do; each wake-up costs CPU
 * time. */
#define TICK_FOLLOWER_MS 150
#define PING_INTERVAL_MS 300
/* A better-ranked daemon that has come back is noticed within this time. */
#define PING_CANDIDATE_INTERVAL_MS 1000
/* Two pings without a pong, and a margin for a slow machine. */
#define LEADER_TIMEOUT_MS 750
/* The best-ranked daemons after the leader are pinged too, so that their state
 * is known before one of them is needed. */
#define CANDIDATE_COUNT 3
/* Pinged at once when the leader is lost. All others are pinged only if none of
 * these answers. */
#define BEST_COUNT 8
/* A daemon without a configuration pings more often for some time. */
#define PING_FAST_INTERVAL_MS 100
#define FAST_START_MS	      5000
#define CANDIDATE_TIMEOUT_MS  1300
/* Before a daemon follows itself, or one whose last pong is older than
 * RECENT_PONG_MS, it pings the best daemons of its domain and waits this long
 * for pongs. */
#define RECENT_PONG_MS	      400
#define LEADER_CHANGE_WAIT_MS 120
/* A daemon that has just started waits this long for pongs before it chooses a
 * leader. */
#define STARTUP_GRACE_MS 400
/* A leader that has stood still for this long may have been replaced. */
#define REPLACED_AFTER_MS LEADER_TIMEOUT_MS
/* The requests and held slots of a follower that has been silent for this long
 * end. */
#define FOLLOWER_TIMEOUT_MS 1500
/* A broker sends its free slots and its demand to the other domains' brokers
 * at this interval. */
#define HEARTBEAT_INTERVAL_MS	400
#define OTHER_BROKER_TIMEOUT_MS 1600
/* Daemons of another domain that are pinged to find its broker. */
#define OTHER_DOMAIN_PINGS 3
/* Datagrams can be lost: a slot request is sent again, and after the timeout it
 * goes to another broker. */
#define REQUEST_RETRY_MS	40
#define REQUEST_TIMEOUT_MS	200
#define CROSS_DOMAIN_TIMEOUT_MS 60
/* A request that the broker reported as waiting is sent again after this. */
#define WAITING_RETRY_MS 500
/* Requests of other domains are refused if the list of servers is older than
 * this: 2 s after a server has announced that it leaves, nothing more may be
 * sent to it. */
#define SERVERS_MAX_AGE_MS 1500
/* A daemon whose last message is younger than this counts as one that may be
 * cut off and follow another broker; after that it counts as gone. */
#define MEMBER_TIMEOUT_MS 30000
/* Grants younger than this may be missing from a ping. */
#define HELD_SLOT_GRACE_MS 400
/* If the leader's proof of freshness is older than this, a follower reads the
 * store itself, at most once per interval. */
#define PROOF_MAX_AGE_MS       1300
#define PROOF_READ_INTERVAL_MS 900
/* The daemons that lead next read at this interval. All others of a domain
 * share one read in this time, so that a store that is away is not called by
 * each of them. */
#define PROOF_READ_SHARE_MS 250
/* A daemon that does not lead counts as able to read the store for this time
 * after it has done so. */
#define STORE_READ_RECENT_MS 1500
/* By then the daemons that start at the same time know each other. */
#define START_READ_DELAY_MS 100
/* The same for a daemon that knows few others. */
#define START_READ_ALONE_MS 1000
/* A read of the store and the announcement of a new leader take less. */
#define TAKEOVER_STEP_MS 120
/* By then those that lead next have tried in vain; all others try too. */
#define TAKEOVER_OPEN_MS 600
/* Interval at which a daemon that ranks better than its leader reads the store
 * to take over. */
#define TAKEOVER_READ_INTERVAL_MS 3000
/* Fetches of the configuration from other daemons that may fail in a row before
 * it is read from the store. */
#define HANDOFF_FAILURES_MAX 2
/* The daemons that lead next fetch the list of servers at this interval, so that
 * one of them can lead while the store is away. */
#define SERVERS_COPY_INTERVAL_MS 10000
/* A fetch that failed is repeated after this; a leader without a list that
 * cannot read the store asks other domains. */
#define SERVERS_ASK_INTERVAL_MS 500
#define MAC_SIZE		16
#define DATAGRAM_MAX		60000

/* How eligible a daemon is to lead, from least to most; sent as a number. */
enum cgw_eligibility {
	CGW_ELIGIBILITY_UNREPORTED = -1, /* never sent */
	CGW_ELIGIBILITY_LEAVING,
	CGW_ELIGIBILITY_NO_CONFIG_NO_STORE,
	CGW_ELIGIBILITY_NO_CONFIG, /* the store has no configuration yet */
	CGW_ELIGIBILITY_NO_STORE,
	CGW_ELIGIBILITY_FULL,
};

struct cgw_member {
	char name[CGW_NAME_MAX + 1];
	char domain[CGW_NAME_MAX + 1];
	struct in_addr ip;
	cg_ms last_pong_at; /* received */
	cg_ms last_ping_at; /* sent */
	cg_ms last_message_at; /* received, of any kind */
	/* Last ping or slot request from which this daemon knows that the
	 * member follows it. */
	cg_ms last_follow_at;
	int eligibility; /* enum cgw_eligibility, from its last pong */
	char broker[CGW_NAME_MAX + 1]; /* that it follows, from its last pong */
	uint64_t incarnation;
	unsigned int capacity; /* of its machine */
	uint64_t config_version; /* from its last ping or pong */
	cg_ms proved_at; /* from its last pong; -1 for none */
	cg_ms added_at;
	cg_ms listed_at; /* last list of the fleet with its entry; 0: none */
};

struct cgw_fleet {
	struct cgw_loop *loop;
	const struct cgw_settings *settings;
	struct cgw_feed **feed;
	struct cgw_handoff *handoff; /* not owned */
	struct cgw_evacuations *evacuations; /* not owned; NULL: never */
	unsigned int capacity; /* of this machine */
	unsigned int domain_daemons; /* as the leader last reported */
	cg_ms servers_fetched_at; /* last fetch from another daemon */
	int reported_eligibility; /* as the best daemons of the domain know it */
	/* When this leader reported that it cannot read the store; 0 if it
	 * can. */
	cg_ms degraded_since;
	/* When the leader began to report that it cannot read the store; 0 if
	 * it can. */
	cg_ms leader_degraded_at;
	bool listed; /* the fleet has been listed once */
	/* Last list of the fleet after a return of the store; 0: none */
	cg_ms relisted_at;
	cg_ms config_fetched_at; /* last fetch from another domain */
	uint64_t incarnation;
	struct cgw_io io;
	struct in_addr ip;
	struct cgw_timer tick_timer;
	struct cgw_pause_watch pause_watch;
	GHashTable *members; /* name to struct cgw_member */
	GPtrArray *ranking; /* members of the own domain, see ranking() */
	bool ranking_outdated;
	GHashTable *other_brokers; /* domain to struct other_broker */
	char secret[65]; /* key of the datagrams' MACs; "" until known */
	char leader[CGW_NAME_MAX + 1]; /* "" until one has been chosen */
	bool leading; /* this daemon follows itself or others follow it */
	cg_ms leading_since; /* last change of @leading */
	bool leaving;
	cg_ms started_at;
	cg_ms leader_lost_at; /* 0 while the leader answers */
	cg_ms last_heartbeat_at; /* sent */
	cg_ms pong_wait_since; /* start of a wait for pongs before a change of
				* leader; 0 for none */
	cg_ms next_store_read_at; /* by cgw_fleet_check_proof(); 0: none yet */
	struct cgw_broker *broker;
	struct cgw_server_notices *notices; /* to this daemon */
	bool servers_usable; /* the own broker may grant by the list */
	/* request of another daemon that is being submitted, or NULL */
	const struct cgw_slot_request *submitted;
	bool decision_made; /* the broker decided it during the submission */
	/* struct cgw_slot_request that wait until the broker may decide */
	GArray *pending_requests;
	struct cds_list_head slots; /* struct cgw_slot in use */
	uint64_t next_id;
	GQueue own_decisions; /* of the own broker, for own slots */
	struct cgw_timer decision_timer;
};

/* The broker of another domain. */
struct other_broker {
	char name[CGW_NAME_MAX + 1];
	struct in_addr ip;
	cg_ms last_seen_at;
	unsigned int followers; /* as it reported last */
	cg_ms heartbeat_at; /* 0: none received */
};

/* fleet_messages.c */
/** Signs a message and sends it. A message that cannot be sent is dropped. */
void cgw_fleet_send(struct cgw_fleet *f, struct in_addr to, fleet_body *body);
void cgw_fleet_on_datagram(struct cgw_io *io, uint32_t events);

/* fleet_members.c */
/** Returns the member with this name, or NULL. */
struct cgw_member *cgw_fleet_member(struct cgw_fleet *f, const char *name);
/** Adds a member or updates its domain and address. Returns NULL for this
 * daemon itself. */
struct cgw_member *cgw_fleet_add_member(struct cgw_fleet *f, const char *name,
					const char *domain, struct in_addr ip);
bool cgw_fleet_is_self(struct cgw_fleet *f, const char *name);
bool cgw_fleet_own_domain(struct cgw_fleet *f, const struct cgw_member *m);
void cgw_fleet_send_ping(struct cgw_fleet *f, struct cgw_member *m);
/** @p version is the configuration that the receiver has. */
void cgw_fleet_send_pong(struct cgw_fleet *f, const struct cgw_member *to,
			 uint64_t echo, uint64_t version);
void cgw_fleet_handle_ping(struct cgw_fleet *f, struct cgw_member *m,
			   const fleet_ping *p);
void cgw_fleet_handle_pong(struct cgw_fleet *f, struct cgw_member *m,
			   const fleet_pong *p);
/** Follows the most eligible daemon that is alive. Pings the domain first if
 * the choice is this daemon or one without a recent pong. */
void cgw_fleet_choose_leader(struct cgw_fleet *f);
/** Pings the daemons of the own domain whose ping interval has passed. */
void cgw_fleet_send_due_pings(struct cgw_fleet *f);
/** Returns whether this daemon follows itself or another one follows it. */
bool cgw_fleet_is_followed(struct cgw_fleet *f);
/** Returns the share, from 0 to 1, of the domain's rates that the own broker
 * may admit. It is 1 until FOLLOWER_TIMEOUT_MS after the start. */
double cgw_fleet_rate_share(struct cgw_fleet *f);
/** Returns whether a daemon has sent a message since @p since; if not, pings it.
 * The heard_since function of the broker; @p arg is the fleet. */
bool cgw_fleet_heard_since(void *arg, const char *daemon, cg_ms since);
/** Records that a daemon follows this one. A leader that at most half of its domain
 * followed until then begins to lead again. */
void cgw_fleet_record_follower(struct cgw_fleet *f, struct cgw_member *m);
/** Ends the requests and held slots of followers that have become silent. */
void cgw_fleet_expire_followers(struct cgw_fleet *f);
/** Returns the number of daemons that follow this one. */
unsigned int cgw_fleet_follower_count(struct cgw_fleet *f);
/** Tells those that lead next when this leader can or cannot read the store. */
void cgw_fleet_report_eligibility(struct cgw_fleet *f);
/** Returns the other daemons of the own domain, those that lead first at the
 * beginning; owned by the fleet. */
GPtrArray *cgw_fleet_ranking(struct cgw_fleet *f);
/** Returns whether @p a leads before @p b among equally eligible daemons; NULL is
 * this daemon. */
bool cgw_fleet_ranks_before(struct cgw_fleet *f, const struct cgw_member *a,
			    const struct cgw_member *b);
/** Returns whether this daemon is among those that lead if the leader fails. */
bool cgw_fleet_leads_next(struct cgw_fleet *f);
bool cgw_fleet_is_alive(struct cgw_fleet *f, const struct cgw_member *m);
/** Returns whether a member has last reported that it cannot read the store. */
bool cgw_fleet_cannot_read_store(const struct cgw_member *m);
/** Returns the version of the own configuration; 0 for none. */
uint64_t cgw_fleet_config_version(struct cgw_fleet *f);

/* fleet_servers.c */
/** Fetches the list of servers from another daemon if this one is among those
 * that lead next, or if it leads and cannot read the store. */
void cgw_fleet_check_servers(struct cgw_fleet *f);
/** Returns whether the list of servers is recent enough to serve requests of
 * other domains. */
bool cgw_fleet_servers_are_recent(struct cgw_fleet *f);

/* fleet_reads.c */
/** Reads the store if the leader cannot prove that the configuration is the
 * latest. */
void cgw_fleet_check_proof(struct cgw_fleet *f);

/* fleet_era.c */
/** Records what a list of the fleet, read after the store has returned from an
 * older copy, says of a member. */
void cgw_fleet_record_listed(struct cgw_fleet *f, const char *name,
			     struct in_addr ip);
/** Returns whether the list that this leader has read after the store returned
 * lacks a member of its domain. */
bool cgw_fleet_is_unlisted(struct cgw_fleet *f, const struct cgw_member *m);
/** Records what a pong says of the store. */
void cgw_fleet_record_store(struct cgw_fleet *f, const struct cgw_member *m,
			    const fleet_pong *p);
/** After a change of era, asks the brokers of the other domains what they know and
 * the store does not. */
void cgw_fleet_check_era(struct cgw_fleet *f);

/* fleet_heartbeat.c */
/** Sends a heartbeat to the brokers of the other domains. */
void cgw_fleet_send_heartbeat(struct cgw_fleet *f);
/** Records what the broker of another domain reports: its free slots, its
 * ejected servers and the demand of the client accounts. Ignores heartbeats
 * from the own domain. */
void cgw_fleet_handle_heartbeat(struct cgw_fleet *f, struct cgw_member *m,
				const fleet_heartbeat *b);
/** Returns whether a heartbeat of @p sender describes its domain, whose broker is
 * @p known, or NULL. A daemon that is cut off from the broker that most of its
 * domain follows leads itself; what it reports is not the state of its
 * domain. */
bool cgw_fleet_speaks_for_domain(const struct other_broker *known,
				 const char *sender, unsigned int followers,
				 cg_ms now);
void cgw_fleet_record_other_broker(struct cgw_fleet *f, const char *domain,
				   const char *name, struct in_addr ip);

/* fleet_slots.c */
/** Submits a slot request to the own broker, at once or after the list of
 * servers has been read. */
void cgw_fleet_submit_request(struct cgw_fleet *f,
			      const struct cgw_slot_request *request);
/** After a change of this domain's broker, sends the new broker the slot
 * requests that the former one has not decided. Requests that were redirected
 * to another domain's broker are not affected. */
void cgw_fleet_resend_requests(struct cgw_fleet *f);
void cgw_fleet_handle_slot_request(struct cgw_fleet *f, struct cgw_member *m,
				   const fleet_slot_request *q);
/** Handles the report of broker @p m that a request waits for a decision. */
void cgw_fleet_handle_waiting(struct cgw_fleet *f, struct cgw_member *m,
			      const fleet_waiting *w);
/** Handles a grant, a refusal or a redirect from another broker. */
void cgw_fleet_handle_decision(struct cgw_fleet *f, const fleet_body *b,
			       struct in_addr from);
void cgw_fleet_handle_release(struct cgw_fleet *f, struct cgw_member *m,
			      const fleet_release *r);
/** Passes a decision of the own broker to the daemon that requested the slot.
 * The cgw_slot_decision_fn of the broker; @p arg is the fleet. */
void cgw_fleet_on_broker_decision(void *arg, const struct cgw_slot_decision *d);
/** Timer callback: delivers the own broker's decisions on own requests. */
void cgw_fleet_deliver_own_decisions(struct cgw_timer *t);

/* fleet_evacuation.c */
/** Returns whether the own broker may decide: the list of servers is in use, and
 * whether the domain is evacuated is known. */
bool cgw_fleet_may_decide(struct cgw_fleet *f);
/** Sets what this daemon knows of the evacuation of its domain in a pong. */
void cgw_fleet_fill_evacuation(struct cgw_fleet *f, fleet_pong *p);
/** Records what the pong of a daemon of the own domain tells of it. */
void cgw_fleet_record_evacuation(struct cgw_fleet *f, const fleet_pong *p);

/* fleet.c */
/** Submits the slot requests that waited, if the own broker may decide. */
void cgw_fleet_submit_pending(struct cgw_fleet *f);
/** Starts or ends the work of a leader: only a daemon that leads polls the
 * store and ticks its broker. */
void cgw_fleet_set_leading(struct cgw_fleet *f, bool leading);
/** Makes a leader start like one that takes over: another daemon may have led
 * meanwhile. */
void cgw_fleet_begin_to_lead_again(struct cgw_fleet *f);

#endif
