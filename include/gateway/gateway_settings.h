/**
 * @file gateway_settings.h
 * Settings of a gateway process: JSON with comments.
 */
#ifndef CELERYGLADE_GATEWAY_SETTINGS_H
#define CELERYGLADE_GATEWAY_SETTINGS_H

#include <glib.h>
#include <stdbool.h>

#include "celeryglade/clock.h"
#include "gateway/broker.h"
#include "internal/jsonc.h"

/** In which order waiting requests get slots, and which are refused. */
enum cgw_admission {
	CGW_ADMISSION_AUTO, /**< By urgency while the configuration has a bulk
			     * route, by arrival otherwise. */
	CGW_ADMISSION_ARRIVAL, /**< A full queue refuses the newcomer. */
	CGW_ADMISSION_URGENCY, /**< docs/design/admission.md */
};

struct cgw_settings {
	char *instance;
	char *domain; /**< Failure domain of this instance. */
	char *address; /**< IP address for the other daemons. */
	GPtrArray *domains; /**< All failure domains. */
	char *listen; /**< IP:port on which callers connect. */
	char *ready; /**< IP:port of the readiness check. */
	/** Same on all daemons: UDP for messages, TCP for what is handed on. */
	int64_t peer_port;
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
	/** Time within which a change of the configuration must be in force. */
	cg_ms config_bound_ms;
	/** Interval at which servers renew their entries in the store. */
	cg_ms server_heartbeat_ms;
	/** Descriptors that the process may use, if its own limit allows. */
	int64_t descriptors_max;
	double cpu_share; /**< Cores that this process may use; 0: unknown. */
	double link_mbps; /**< Bandwidth of this machine; 0: unknown. */
	/** Longest body of a backend server's response, and of all that are
	 * being read together, in bytes. */
	int64_t response_max_bytes;
	int64_t responses_max_bytes;
	/** Longest heads of a caller's request and of a response to it, in
	 * bytes. Each connection has memory for both. */
	int64_t request_head_max_bytes;
	int64_t response_head_max_bytes;
	/** Time within which an evacuation must be in force; 0: the store is
	 * not asked. */
	cg_ms evacuation_bound_ms;
	/** A cold server gets at most the rate of its service * warmup_burst
	 * + warmup_slack requests in one second; warmup_burst 0: no limit. */
	double warmup_burst;
	double warmup_slack;
	/** Memory of the process in MiB. */
	int64_t memory_max_mb;
	/** Time without a byte after which a request body, or a response that
	 * its caller does not read, is ended; 0: the idle timeout of the
	 * configuration. */
	cg_ms body_stall_ms;
	cg_ms response_stall_ms;
	double min_share; /**< Share of a service's servers never ejected. */
	enum cgw_placement placement;
	enum cgw_admission admission;
	cg_ms grace_ms; /**< Time from SIGTERM to SIGKILL. */
	char *log_level;
};

/** Reads and checks a settings file. Returns 0, or -1 with the faults in @p f.
 * On success the caller frees the contents with cgw_settings_clear(). */
int cgw_settings_load(const char *path, struct cgw_settings *s,
		      struct cg_faults *f);
/** Returns how well this machine can lead its domain: the processor share in
 * thousandths of a core, less if the link is the narrower limit. */
unsigned int cgw_settings_capacity(const struct cgw_settings *s);
/** Frees the contents of @p s, not @p s itself. */
void cgw_settings_clear(struct cgw_settings *s);

#endif
