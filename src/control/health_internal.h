/* Shared by the health_*.c files. */
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
/* What a server answers for a moment after its warm-up was still begun in it. */
#define WARMUP_MARGIN_MS 2000
#define CALL_TIMEOUT_MS	 800

/* Places of the counters that the request path adds to. */
enum {
	COUNT_FAILED = CG_LATENCY_BUCKETS,
	COUNT_SHED,
	COUNT_SLOTS,
};

struct health_server {
	struct cds_lfht_node node;
	char name[CG_NAME_MAX + 1];
	char service[CG_NAME_MAX + 1];
	uint32_t id;
	/* Request path, without locks. */
	_Atomic uint32_t has_counts; /* Some counter is not zero. */
	_Atomic uint32_t count[COUNT_SLOTS];
	_Atomic uint32_t weight_idempotent;
	_Atomic uint32_t weight_other;
	_Atomic uint32_t fallback_rank;
	_Atomic bool draining;
	/* Under the service's lock. */
	struct cg_sample unsent;
	uint32_t slots;
	bool drain_noticed;
	cg_ms warmup_from;
	cg_ms warmup_until;
	bool in_config; /* Present in the configuration that is being applied. */
};

/* Verdicts of the coordinator that this daemon applies. */
struct held_verdicts {
	uint64_t epoch;
	uint64_t version;
	cg_ms until;
	struct cg_verdict *list;
	size_t n;
};

/* A member that a new coordinator asks for verdicts in force. */
struct survey_member {
	char name[CG_NAME_MAX + 1];
	struct sockaddr_in addr;
	cg_ms request_sent_at; /* Negative before the first time. */
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
	struct cg_ejection_server *local_servers; /* As last given to local. */
	uint64_t local_sequence;
	cg_ms traffic_at;
	/* Digests. */
	uint32_t unsent;
	cg_ms digest_sent_at;
	bool digest_every_tick;
	/* Verdicts. */
	struct held_verdicts held;
	uint64_t min_epoch; /* Older coordinators are not believed. */
	bool fetching;
	/* Set while this daemon is the coordinator. */
	struct cg_ejection *coordinator;
	struct cg_ejection_server *fleet_servers;
	GArray *survey;
	GArray *hints; /* Addresses that are still to be told. */
	uint64_t counted_ejections, counted_floor, counted_evidence,
		counted_reinstatements;
	uint64_t counted_local;
};

struct cg_health {
	const struct cg_settings *settings;
	struct cg_clock *clk;
	struct cg_peer *peer;
	struct cg_members *members;
	struct cg_shards *shards;
	struct cg_docs *docs;
	struct cg_notices *notices;
	struct cds_lfht *servers; /* Key: service and server name. */
	pthread_rwlock_t table; /* Guards the set of services. */
	GHashTable *services;
	uint64_t config_version;
	uint32_t active_services;
	uint64_t sequence;
	pthread_t thread;
	bool running;
	pthread_mutex_t wake_lock;
	pthread_cond_t wake;
	bool stopping;
	unsigned int calls; /* Submitted and not done; under wake_lock. */
};

/* health_table.c */
struct health_server *health_find_server(struct cg_health *h,
					 const struct cg_server *srv);
void health_sync_config(struct cg_health *h, cg_ms now);
void health_free_services(struct cg_health *h);

/* health_digest.c */
struct digest_batches;
struct digest_batches *digest_begin(struct cg_health *h);
/** Takes the service's unsent counts if a digest is due. Service locked. */
void digest_service(struct digest_batches *b, struct health_service *svc,
		    cg_ms now);
/** Adds a service that is half-way to its next digest to a datagram that its
 * owner gets anyway. Service locked. */
void digest_join_batch(struct digest_batches *b, struct health_service *svc,
		       cg_ms now);
void digest_end(struct digest_batches *b);

/* health_verdicts.c */
void verdicts_adopt(struct cg_health *h, struct health_service *svc,
		    uint64_t epoch, uint64_t version,
		    const struct cg_verdict *list, size_t n, cg_ms until);
/** Asks the coordinator for its verdicts, unless already under way. Service
 * locked. */
void verdicts_fetch(struct cg_health *h, struct health_service *svc,
		    const struct sockaddr_in *owner);
/** Publishes weights to the request path. Service locked. */
void health_publish(struct cg_health *h, struct health_service *svc, cg_ms now);
/** Applies a coordinator's answer to a digest sent at @p sent_at while the
 * verdicts of @p epoch and @p version were held. Service locked. */
void verdicts_handle_reply(struct cg_health *h, struct health_service *svc,
			   const cg_x_health_service_reply *a, uint64_t epoch,
			   uint64_t version, cg_ms sent_at,
			   const struct sockaddr_in *owner);

/* health_coordinator.c */
void coordinator_tick(struct cg_health *h, struct health_service *svc,
		      cg_ms now);
void coordinator_stop(struct health_service *svc);
int coordinator_handle_digest(struct cg_health *h, struct health_service *svc,
			      const char *sender, uint64_t incarnation,
			      const char *domain, const cg_x_health_service *d,
			      cg_x_health_service_reply *a, cg_ms now);
/** Fills in the servers as configuration, notices and clock show them. */
void health_describe_servers(struct health_service *svc,
			     struct cg_ejection_server *out, cg_ms now);

/* health.c */
/** Submits a call that cg_health_stop waits for. */
int health_call(struct cg_health *h, const struct sockaddr_in *to,
		enum cg_msg_kind kind, GByteArray *body, cg_peer_done done,
		void *arg);
void health_call_done(struct cg_health *h);

#endif
