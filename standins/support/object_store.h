/**
 * @file object_store.h
 * Stand-in for the object store of the platform: paged lists, conditional
 * writes, watches and injected faults. It serves from its own threads; all
 * functions are thread-safe.
 */
#ifndef CELERYGLADE_STANDINS_OBJECT_STORE_H
#define CELERYGLADE_STANDINS_OBJECT_STORE_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

enum objects_fault {
	OBJECTS_FAULT_NONE,
	OBJECTS_FAULT_503, /**< The call is not executed. */
	OBJECTS_FAULT_429, /**< The call is not executed. */
	/** The call is not executed; the connection closes after a delay. */
	OBJECTS_FAULT_NO_RESPONSE,
	/** Writes are executed, but get no response. Reads are not affected. */
	OBJECTS_FAULT_LOST_RESPONSE,
	OBJECTS_FAULT_SLOW, /**< Executed, answered after 300 ms. */
};

struct objects;

/** Starts on a loopback port, 0 for any free one. @p page is the number of
 * objects in a page of a list, 0 for 500. Returns NULL if the port is in
 * use. */
struct objects *objects_start(uint16_t port, unsigned int page);

/** Stops serving and frees @p o. */
void objects_stop(struct objects *o);

/** Returns the port that the store listens on. */
uint16_t objects_port(struct objects *o);

/** Starts a second port, which objects_cut_second_port() can cut off, and returns
 * it; 0 if that fails. */
uint16_t objects_second_port(struct objects *o);

/** Calls to the second port get no response while @p cut is set. */
void objects_cut_second_port(struct objects *o, bool cut);

/** Injects a fault into all calls until it is replaced. */
void objects_set_fault(struct objects *o, enum objects_fault fault);

/** Drops the history: watches from an earlier revision get 410. */
void objects_compact(struct objects *o);

/** The next write takes effect and is answered, and then the store returns from the
 * saved copy at once. */
void objects_lose_next_write(struct objects *o);

/** Creates or replaces an object; @p spec is JSON text. */
void objects_put(struct objects *o, const char *kind, const char *name,
		 const char *spec);

/** Removes an object if it exists. */
void objects_remove(struct objects *o, const char *kind, const char *name);

/** Saves a copy of all objects and the revision, in place of any earlier one. */
void objects_save_copy(struct objects *o);

/** Returns from the saved copy: what was written since is lost, the revision goes
 * back to that of the copy, and the era rises by one. Other objects may then get
 * the same revisions again. */
void objects_restore_copy(struct objects *o);

/** Sets the header Store-Era of all responses; 0: no such header. It is 1 at the
 * start. */
void objects_set_era(struct objects *o, uint64_t era);

/** Returns the spec of an object as JSON, which the caller frees, or NULL. */
char *objects_get(struct objects *o, const char *kind, const char *name);

/** Returns the number of objects of a kind. */
unsigned int objects_count(struct objects *o, const char *kind);

/** Returns the number of calls received. */
uint64_t objects_call_count(struct objects *o);

#endif
