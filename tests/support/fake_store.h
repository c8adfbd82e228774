/**
 * @file fake_store.h
 * A small object store in the test's process (docs/platform-api.md) whose
 * faults can be switched on and off.
 */
#ifndef CELERYGLADE_TESTS_FAKE_STORE_H
#define CELERYGLADE_TESTS_FAKE_STORE_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

struct fake_store {
	/** 503 on every call. */
	_Atomic bool down;
	/** 500 on every call, without executing it. */
	_Atomic bool broken;
	/** Delay of every call. */
	_Atomic int slow_ms;
	/** So many writes are executed and get no response. */
	_Atomic int lose_writes;
	/** So many writes are neither executed nor answered. */
	_Atomic int drop_writes;
	/** Reads return the value before the last write. */
	_Atomic bool stale;
	_Atomic int reads;
	_Atomic int writes;
	_Atomic int watches;
	struct fake_store_priv *p;
};

/** Serves on 127.0.0.1:@p port. Returns NULL if that fails. */
struct fake_store *fake_store_start(uint16_t port);
void fake_store_stop(struct fake_store *s);

/** Sets an object without a condition; returns its new version. */
uint64_t fake_store_put(struct fake_store *s, const char *name,
			const void *data, size_t len);

/** Returns a reference to the object's value, or NULL. */
GBytes *fake_store_value(struct fake_store *s, const char *name);

/** Sets the list's JSON text; @p version must equal that in the text. */
void fake_store_set_list(struct fake_store *s, uint64_t version,
			 const char *json);

#endif
