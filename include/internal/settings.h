/**
 * @file settings.h
 * The settings of one daemon: a file of JSON with comments that is validated as
 * a whole before the daemon starts anything.
 */
#ifndef CELERYGLADE_INTERNAL_SETTINGS_H
#define CELERYGLADE_INTERNAL_SETTINGS_H

#include <glib.h>
#include <netinet/in.h>

#include "celeryglade/clock.h"
#include "celeryglade/config.h"
#include "internal/address.h"
#include "internal/jsonc.h"

#define CG_MAX_SEEDS 16

/** Settings of a daemon. Durations are in milliseconds. */
struct cg_settings {
	char instance[CG_NAME_MAX + 1];
	char failure_domain[CG_NAME_MAX + 1];
	char region[CG_NAME_MAX + 1];
	struct sockaddr_in listen; /**< HTTP for callers. */
	struct sockaddr_in admin; /**< HTTP for readiness and metrics. */
	struct sockaddr_in peer; /**< UDP for other daemons and the tool. */
	char *store_url; /**< "http://IP:PORT". */
	struct sockaddr_in seeds[CG_MAX_SEEDS];
	size_t seed_count;
	GBytes *fleet_secret; /**< Content of fleet_secret_file. */
	GLogLevelFlags log_level;
	bool log_json;
	uint32_t http_threads;
	uint32_t max_connections; /**< Limit of connections from callers. */
	uint32_t max_body_bytes;
	/** Longest heads of requests, each field counting 64 bytes besides its
	 * text, and of responses. */
	uint32_t request_head_max_bytes;
	uint32_t response_head_max_bytes;
	uint32_t memory_max_mb; /**< Memory of the process in MiB. */
	/** Time without a byte after which a request body, or a response that
	 * its caller does not read, is ended. */
	cg_ms body_stall_ms;
	cg_ms response_stall_ms;
	cg_ms gossip_ms; /**< Average interval of gossip calls. */
	cg_ms poll_ms; /**< Store poll interval of a daemon without a watch. */
	/** Keys are refused if for this time neither the configuration was
	 * confirmed as current nor most members were heard. */
	cg_ms key_isolation_ms;
	/** An instance is gone if it is missing from two lists that were read
	 * at least this far apart, without contact in between. */
	cg_ms gone_confirm_ms;
	cg_ms rate_wait_ms; /**< Longest wait of a request for tokens. */
	/** Lease of a refill right whose holder is not in the instance list. */
	cg_ms unlisted_lease_ms;
	cg_ms verdict_ttl_ms; /**< Validity of a fleet verdict. */
	cg_ms eject_ms; /**< First ejection; repeated ones take longer. */
	/** Time between failing readiness and closing the listener. */
	cg_ms lame_duck_ms;
	cg_ms drain_max_ms; /**< Longest wait for requests on shutdown. */
};

/**
 * Reads and validates a settings file. Returns 0, and the caller releases @p s
 * with cg_settings_clear; or -1 after adding every fault to @p f.
 */
int cg_settings_load(const char *path, struct cg_settings *s,
		     struct cg_faults *f);

/**
 * Reads a fleet secret: the content of a file without trailing line breaks, 16
 * to 4096 bytes. Returns 0, and the caller owns @p out; or -1 after adding a
 * fault, which never contains the secret.
 */
int cg_secret_load(const char *path, GBytes **out, struct cg_faults *f);

/** Frees the members of @p s and sets them to zero. */
void cg_settings_clear(struct cg_settings *s);

#endif
