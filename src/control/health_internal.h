/* Declarations shared by the health_*.c files. */
#ifndef CG_HEALTH_INTERNAL_H
#define CG_HEALTH_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>
#include <urcu/urcu-bp.h>
#include <urcu/rculfhash.h>

#include "celeryglade/ejection.h"
#include "health_wire.h"
#include "internal/health.h"

#define HEALTH_TICK_MS 1000
/* A response that arrives this soon after the end of a server's warm-up may
 * belong to a request from the warm-up. */
#define WARMUP_MARGIN_MS 2000
#define CALL_TIMEOUT_MS	 800

/* Indexes of the counters that the request path increments; lower ones are
 * latency buckets. */
enum {
	COUNT_FAILED = CG_LATENCY_BUCKETS,
	COUNT_SHED,
	COUNTERS_PER_SERVER,
};

struct health_server {
	struct cds_lfht_node node;
	char name[CG_NAME_MAX + 1];
	char service[CG_NAME_MAX + 1];
	uint32_t id;
	/* Accessed by the request path without locks. */
	_Atomic uint32_t has_counts; /* Some counter is nonzero. */
	_Atomic uint32_t count[COUNTERS_PER_SERVER];
	_Atomic uint32_t weight_idempotent;
	_Atomic uint32_t weight_other;
	_Atomic uint32_t fallback_rank;
	_Atomic bool draining;
	/* Protected by the service's lock. */
	struct cg_sample unsent;
	uint32_t slots;
	bool drain_noticed;
	cg_ms warmup_from;
	cg_ms warmup_until;
	bool in_config; /* Present in the configuration being applied. */
};

/* Verdicts of the coordinator that this daemon applies. */
struct held_verdicts {
	uint64_t epoch;
	uint64_t version;
	cg_ms until;
	struct cg_verdict *list;
	size_t n;
};

/* A member from which a new coordinator requests the verdicts in force. */
struct survey_member {
	char name[CG_NAME_MAX + 1];
	struct sockaddr_in addr;
	cg_ms request_sent_at; /* Negative before the first request. */
	bool replied;
};

struct health_service {
	char name[CG_NAME_MAX + 1];
	pthread_mutex_t lock;
	uint32_t shard;
	uint32_t floor_percent;
	cg_ms ramp_ms;
	struct health_server **servers;
	size_t n;
	bool in_config;
	struct cg_ejection *local;
	/* Last list passed to local. */
	struct cg_ejection_server *local_servers;
	uint64_t local_sequence;
	cg_ms traffic_at;
	/* Digests. */
	uint32_t unsent_count; /* Observations since the last digest. */
	cg_ms digest_sent_at;
	bool digest_every_tick;
	/* Verdicts. */
	struct held_verdicts held;
	uint64_t min_epoch; /* Verdicts of lower epochs are rejected. */
	bool fetching;
	/* Set only while this daemon is the coordinator. */
	struct cg_ejection *coordinator;
	struct cg_ejection_server *fleet_servers;
	GArray *survey;
	GArray *hints; /* Addresses of daemons to send a hint to. */
	uint64_t counted_ejections, counted_floor, counted_evidence,
		counted_reinstatements;
	uint64_t counted_avoidances;
};

struct cg_health {
	const struct cg_settings *settings;
	struct cg_clock *clk;
	struct cg_peer *peer;
	struct cg_members *members;
	struct cg_shards *shards;
	struct cg_docs *docs;
	struct cg_notices *notices;
	struct cds_lfht *servers; /* Keyed by service and server name. */
	pthread_rwlock_t services_lock; /* Protects the set of services. */
	GHashTable *services;
	uint64_t config_version;
	uint32_t active_services;
	uint64_t sequence;
	pthread_t thread;
	bool running;
	pthread_mutex_t wake_lock;
	pthread_cond_t wake;
	bool stopping;
	/* Submitted but not completed; protected by wake_lock. */
	unsigned int calls;
};

/* health_table.c */
struct health_server *health_find_server(struct cg_health *h,
					 const struct cg_server *srv);
void health_sync_config(struct cg_health *h, cg_ms now);
void health_free_services(struct cg_health *h);

/* health_digest.c */
struct digest_batches;
struct digest_batches *digest_begin(struct cg_health *h);
/**
 * Moves the service's unsent counts to a batch if a digest is due. The caller
 * holds the service's lock.
 */
void digest_service(struct digest_batches *b, struct health_service *svc,
		    cg_ms now);
/**
 * Adds a service whose digest interval is half over to a datagram that is
 * sent to its coordinator anyway. The caller holds the service's lock.
 */
void digest_join_batch(struct digest_batches *b, struct health_service *svc,
		       cg_ms now);
void digest_end(struct digest_batches *b);

/* health_verdicts.c */
/**
 * Replaces the held verdicts by those of @p epoch and @p version. If these are
 * held already, only extends their validity to @p until. Older ones are
 * ignored. The caller holds the service's lock.
 */
void verdicts_adopt(struct cg_health *h, struct health_service *svc,
		    uint64_t epoch, uint64_t version,
		    const struct cg_verdict *list, size_t n, cg_ms until);
/**
 * Requests the verdicts from the coordinator, unless a request is in progress.
 * The caller holds the service's lock.
 */
void verdicts_fetch(struct cg_health *h, struct health_service *svc,
		    const struct sockaddr_in *owner);
/**
 * Publishes the servers' weights to the request path. The caller holds the
 * service's lock.
 */
void health_publish(struct cg_health *h, struct health_service *svc, cg_ms now);
/**
 * Handles a coordinator's reply to a digest that was sent at @p sent_at while
 * the verdicts of @p epoch and @p version were held. The caller holds the
 * service's lock.
 */
void verdicts_handle_reply(struct cg_health *h, struct health_service *svc,
			   const cg_x_health_service_reply *a, uint64_t epoch,
			   uint64_t version, cg_ms sent_at,
			   const struct sockaddr_in *owner);

/* health_coordinator.c */
void coordinator_tick(struct cg_health *h, struct health_service *svc,
		      cg_ms now);
void coordinator_stop(struct health_service *svc);
/**
 * Counts a digest of @p sender and fills in the reply @p a. Returns 0, or -1 if
 * this daemon is not the coordinator. The caller holds the service's lock.
 */
int coordinator_handle_digest(struct cg_health *h, struct health_service *svc,
			      const char *sender, uint64_t incarnation,
			      const char *domain, const cg_x_health_service *d,
			      cg_x_health_service_reply *a, cg_ms now);
/** Describes the servers by configuration, drain notices and warm-up. */
void health_describe_servers(struct health_service *svc,
			     struct cg_ejection_server *out, cg_ms now);

/* health.c */
/**
 * Submits a call to another daemon. cg_health_stop() waits for its completion.
 */
int health_call(struct cg_health *h, const struct sockaddr_in *to,
		enum cg_msg_kind kind, GByteArray *body, cg_peer_done done,
		void *arg);
void health_call_done(struct cg_health *h);

#endif
