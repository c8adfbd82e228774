/**
 * @file gateway_settings.h
 * Settings of a gateway process: JSON with comments.
 */
#ifndef CELERYGLADE_GATEWAY_SETTINGS_H
#define CELERYGLADE_GATEWAY_SETTINGS_H

#include <glib.h>
#include <stdbool.h>

#include "celeryglade/clock.h"
#include "internal/jsonc.h"

struct cgw_settings {
	char *instance;
	char *domain; /**< Failure domain of this instance. */
	char *address; /**< IP address for the other daemons. */
	GPtrArray *domains; /**< All failure domains. */
	char *listen; /**< IP:port on which callers connect. */
	char *ready; /**< IP:port of the readiness check. */
	int64_t peer_port; /**< UDP port; same on all daemons. */
	int64_t metrics_port; /**< 0: no metrics. */
	char *store; /**< IP:port of the platform's object store. */
	/** IP or IP:port of daemons; may be stale. Not used: the gateway reads
	 * the list of daemons from the store. */
	GPtrArray *seeds;
	/** Retry budget of a service: retry_ratio times the first attempts of
	 * the last retry_window_ms, plus retry_slack for the whole fleet. */
	double retry_ratio;
	int64_t retry_slack;
	cg_ms retry_window_ms;
	/** Longest age of the configuration read that proves a key valid;
	 * 0: no limit. */
	cg_ms key_proof_ms;
	double min_share; /**< Share of a service's servers never ejected. */
	cg_ms grace_ms; /**< Time from SIGTERM to SIGKILL. */
	char *log_level;
};

/** Reads and checks a settings file. Returns 0, or -1 with the faults in @p f.
 * On success the caller frees the contents with cgw_settings_clear(). */
int cgw_settings_load(const char *path, struct cgw_settings *s,
		      struct cg_faults *f);
/** Frees the contents of @p s, not @p s itself. */
void cgw_settings_clear(struct cgw_settings *s);

#endif
