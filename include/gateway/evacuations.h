/**
 * @file evacuations.h
 * Whether the operators have evacuated this failure domain: no more requests may
 * be sent to its servers. The daemon that leads the domain reads that from the
 * store; the others learn it from the pongs of their domain.
 */
#ifndef CELERYGLADE_GATEWAY_EVACUATIONS_H
#define CELERYGLADE_GATEWAY_EVACUATIONS_H

#include "gateway/gateway_settings.h"
#include "gateway/store_format.h"
#include "gateway/upstream.h"

/** What a daemon knows of the evacuation of its domain. No I/O, no clock. */
struct cgw_evacuation_state {
	cg_ms bound_ms; /**< Setting evacuation_bound_ms; 0: never read. */
	bool evacuated; /**< By the latest read. */
	cg_ms read_at; /**< Start of that read; -1: none known. */
	cg_ms reading_since; /**< When this daemon began to read. */
	bool failing; /**< The last read by this daemon failed. */
	cg_ms retry_delay; /**< 0 unless the last read failed. */
	uint64_t era; /**< Of the store, as its last response says; 0: none. */
	cg_ms era_began_at; /**< When a later era was first seen; -1: never. */
};

void cgw_evacuation_init(struct cgw_evacuation_state *s, cg_ms bound_ms);
/** Records that this daemon begins to read the store. */
void cgw_evacuation_begin(struct cgw_evacuation_state *s, cg_ms now);
/** Records a read that began at @p read_at, here or at another daemon. An older
 * one than the latest is ignored. Returns whether the state changed. */
bool cgw_evacuation_record(struct cgw_evacuation_state *s, bool evacuated,
			   cg_ms read_at);
/** Records the era of a response of the store. Returns whether a response that
 * shows no evacuation may be believed: a store that has returned from an older copy
 * lacks an evacuation until the operators have written it again. */
bool cgw_evacuation_record_era(struct cgw_evacuation_state *s, uint64_t era,
			       cg_ms now);
/** Records that a read by this daemon succeeded or failed. Returns the time of
 * the next read, which began at @p sent_at. */
cg_ms cgw_evacuation_schedule(struct cgw_evacuation_state *s, bool ok,
			      cg_ms sent_at, cg_ms now);
/** Returns the time until which the state may be relied on; before @p now if it
 * is unknown or too old. */
cg_ms cgw_evacuation_known_until(const struct cgw_evacuation_state *s,
				 cg_ms now);

/** Reads the state from the store. */
struct cgw_evacuations;

/** @p changed is called with @p arg after each read that ended. */
struct cgw_evacuations *
cgw_evacuations_new(struct cgw_loop *l, struct cgw_upstream *u,
		    const struct cgw_settings *s,
		    const struct cgw_store_format *format,
		    void (*changed)(void *arg), void *arg);
void cgw_evacuations_free(struct cgw_evacuations *e);
/** Begins or ends reading; does nothing where the bound is not set. */
void cgw_evacuations_set_reading(struct cgw_evacuations *e, bool reading);
/** Records what another daemon of the domain has read. */
void cgw_evacuations_record(struct cgw_evacuations *e, bool evacuated,
			    cg_ms read_at);
const struct cgw_evacuation_state *
cgw_evacuations_state(const struct cgw_evacuations *e);

#endif
