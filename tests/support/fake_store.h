/**
 * @file fake_store.h
 * An object store in the process of the test that implements the platform's
 * HTTP API and can inject faults.
 */
#ifndef CELERYGLADE_TESTS_FAKE_STORE_H
#define CELERYGLADE_TESTS_FAKE_STORE_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

struct fake_store {
	/** Responds to each call with status 503. */
	_Atomic bool down;
	/** Responds to each call with status 500 without executing it. */
	_Atomic bool broken;
	/** Delay of each call in ms. */
	_Atomic int slow_ms;
	/** Number of writes to execute without sending a response. */
	_Atomic int lose_writes;
	/** Number of writes to drop: not executed, no response. */
	_Atomic int drop_writes;
	/** Reads return the value from before the last write. */
	_Atomic bool stale;
	_Atomic int reads;
	_Atomic int writes;
	_Atomic int watches;
	struct fake_store_priv *p;
};

/** Starts a server on 127.0.0.1:@p port. Returns NULL on failure. */
struct fake_store *fake_store_start(uint16_t port);
void fake_store_stop(struct fake_store *s);

/** Writes an object unconditionally; returns its new version. */
uint64_t fake_store_put(struct fake_store *s, const char *name,
			const void *data, size_t len);

/** Returns a new reference to the value of an object, or NULL. */
GBytes *fake_store_value(struct fake_store *s, const char *name);

/** Sets the JSON text of the list of instances; @p version must equal the one
 * in the text. */
void fake_store_set_list(struct fake_store *s, uint64_t version,
			 const char *json);

#endif
