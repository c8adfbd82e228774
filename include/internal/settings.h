/**
 * @file settings.h
 * The settings of one daemon: JSON with comments, checked as a whole before
 * anything starts.
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

struct cg_settings {
	char instance[CG_NAME_MAX + 1];
	char failure_domain[CG_NAME_MAX + 1];
	char region[CG_NAME_MAX + 1];
	struct sockaddr_in listen; /**< Callers, HTTP. */
	struct sockaddr_in admin; /**< Readiness and metrics, HTTP. */
	struct sockaddr_in peer; /**< Other daemons and the tool, UDP. */
	char *store_url; /**< "http://IP:PORT". */
	struct sockaddr_in seeds[CG_MAX_SEEDS];
	size_t seed_count;
	GBytes *fleet_secret; /**< From the file fleet_secret_file. */
	GLogLevelFlags log_level;
	bool log_json;
	uint32_t http_threads;
	uint32_t max_connections; /**< Connections from callers. */
	uint32_t max_body_bytes;
	cg_ms gossip_ms;
	cg_ms poll_ms; /**< Store poll of a daemon that holds no watch. */
	cg_ms key_isolation_ms;
	cg_ms gone_confirm_ms;
	cg_ms rate_wait_ms;
	cg_ms unlisted_lease_ms;
	cg_ms verdict_ttl_ms;
	cg_ms eject_ms;
	cg_ms lame_duck_ms;
	cg_ms drain_max_ms;
};

/**
 * Reads and checks a settings file. Returns 0, or -1 with every fault added to
 * @p f. The caller owns the result's pointers (cg_settings_clear).
 */
int cg_settings_load(const char *path, struct cg_settings *s,
		     struct cg_faults *f);

/**
 * Reads a fleet secret: the content of a file without trailing line ends, at
 * least 16 bytes. Returns 0, and the caller owns @p out, or -1 after adding a
 * fault.
 */
int cg_secret_load(const char *path, GBytes **out, struct cg_faults *f);

/** Frees what the settings own. */
void cg_settings_clear(struct cg_settings *s);

#endif
