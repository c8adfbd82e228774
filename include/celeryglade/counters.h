/**
 * @file counters.h
 * Process-wide counters. Threads are spread over several copies (stripes) of
 * the counters, so that they rarely write to a shared cache line. A read sums
 * the stripes.
 */
#ifndef CELERYGLADE_COUNTERS_H
#define CELERYGLADE_COUNTERS_H

#include <stdint.h>

#include "celeryglade/outcome.h"

/** Counters other than refusals and retries: symbol and metric name. */
#define CG_COUNTERS(X)                                                         \
	X(REQUESTS, "requests")                                                \
	X(ANSWERED, "answered")                                                \
	X(REQUESTS_UNANSWERED, "requests_unanswered")                          \
	X(ATTEMPTS, "attempts")                                                \
	X(LATE_RESPONSES, "late_responses_discarded")                          \
	X(STORE_RETURNS, "store_returns_from_copy")                            \
	X(CONNECTIONS_OPENED, "server_connections_opened")                     \
	X(CONNECTIONS_CONDEMNED, "server_connections_condemned")               \
	X(CLAIMS_REPLAYED, "claims_replayed")                                  \
	X(PEER_CALLS_IN, "peer_calls_in")                                      \
	X(PEER_CALLS_OUT, "peer_calls_out")                                    \
	X(PEER_BYTES_IN, "peer_bytes_in")                                      \
	X(PEER_BYTES_OUT, "peer_bytes_out")                                    \
	X(PEER_TIMEOUTS, "peer_timeouts")                                      \
	X(PEER_REFUSED_MAC, "peer_refused_mac")                                \
	X(PEER_REFUSED_FORMAT, "peer_refused_format")                          \
	X(STORE_READS, "store_reads")                                          \
	X(STORE_WRITES, "store_writes")                                        \
	X(STORE_WATCHES, "store_watches")                                      \
	X(STORE_ERRORS, "store_errors")                                        \
	X(CONFIG_ADOPTED, "config_adopted")                                    \
	X(CONFIG_REJECTED, "config_rejected")                                  \
	X(CONFIG_LOWER_IGNORED, "config_lower_version_ignored")                \
	X(CONFIG_FROM_PEER, "config_parts_from_peer")                          \
	X(CONFIG_FROM_STORE, "config_parts_from_store")                        \
	X(CONFIG_FETCHES_REFUSED, "config_fetches_refused")                    \
	X(RATE_ASKS, "rate_asks")                                              \
	X(RATE_GRANTS, "rate_grants")                                          \
	X(RATE_RECLAIMS, "rate_reclaims")                                      \
	X(RATE_SURVEYS, "rate_surveys")                                        \
	X(SHARD_CLAIMS, "shard_claims")                                        \
	X(SHARD_HANDOVERS, "shard_handovers")                                  \
	X(EJECTIONS, "ejections")                                              \
	X(EJECTIONS_DENIED_FLOOR, "ejections_denied_floor")                    \
	X(EJECTIONS_DENIED_EVIDENCE, "ejections_denied_evidence")              \
	X(READMISSIONS, "readmissions")                                        \
	X(LOCAL_AVOIDANCES, "local_avoidances")                                \
	X(SERVERS_SAID_LEAVING, "servers_said_leaving")                        \
	X(SERVERS_WANTED_REST, "servers_wanted_rest")                          \
	X(RETRY_AFTER_IGNORED, "retry_after_ignored")                          \
	X(ADMISSION_EVICTED, "admission_evicted")                              \
	X(ADMISSION_QUEUE_FULL, "admission_queue_full")                        \
	X(ADMISSION_TOO_LATE, "admission_too_late")                            \
	X(ADMISSION_OVERTAKEN, "admission_overtaken")                          \
	X(ADMISSION_STARVED, "admission_starved_first")                        \
	X(BUDGET_DEFERRED, "retry_budget_deferred")                            \
	X(BUDGET_REFUSED, "retry_budget_refused")                              \
	X(EVACUATION_READS, "evacuation_reads")                                \
	X(EVACUATION_REDIRECTS, "evacuation_redirects")                        \
	X(WARMUP_WITHHELD, "warmup_withheld")                                  \
	X(DRAIN_NOTICES, "drain_notices")                                      \
	X(REVOCATION_NOTICES, "revocation_notices")                            \
	X(WORK_SAMPLES, "work_samples")                                        \
	X(WORK_SAMPLES_CLIPPED, "work_samples_clipped")                        \
	X(WORK_KEYS_ADDED, "work_keys_added")                                  \
	X(WORK_KEYS_REPLACED, "work_keys_replaced")                            \
	X(WORK_SUMMARIES_READ, "work_summaries_read")                          \
	X(HEADS_OF_MANY_LINES, "heads_of_many_lines")                          \
	X(BODIES_EVICTED, "bodies_evicted")                                    \
	X(BODIES_STALLED, "bodies_stalled")                                    \
	X(RESPONSES_STALLED, "responses_stalled")

/** The counters of CG_COUNTERS, then one for each reason of a refusal, then one
 * for each retry reason. */
enum cg_counter {
#define X(sym, name) CG_COUNTER_##sym,
	CG_COUNTERS(X)
#undef X
	CG_COUNTER_PLAIN_COUNT,
	CG_COUNTER_FIRST_REFUSAL = CG_COUNTER_PLAIN_COUNT,
	CG_COUNTER_FIRST_RETRY = CG_COUNTER_FIRST_REFUSAL + CG_REASON_COUNT,
	CG_COUNTER_COUNT = CG_COUNTER_FIRST_RETRY + CG_RETRY_COUNT,
};

/** Adds @p n to a counter. */
void cg_count_add(enum cg_counter c, uint64_t n);

/** Adds one to a counter. */
static inline void cg_count(enum cg_counter c)
{
	cg_count_add(c, 1);
}

/** Counts one refusal by its reason. */
static inline void cg_count_refusal(enum cg_reason r)
{
	cg_count_add((enum cg_counter)(CG_COUNTER_FIRST_REFUSAL + (int)r), 1);
}

/** Counts one retry, or one retry that was denied, by its reason. */
static inline void cg_count_retry(enum cg_retry r)
{
	cg_count_add((enum cg_counter)(CG_COUNTER_FIRST_RETRY + (int)r), 1);
}

/** Returns the value of a counter over all threads. */
uint64_t cg_counter_read(enum cg_counter c);

/** Returns the counter's metric name; refusals are named "refused_REASON".
 * The string is static. */
const char *cg_counter_name(enum cg_counter c);

#endif
