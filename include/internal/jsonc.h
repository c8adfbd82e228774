/**
 * @file jsonc.h
 * Parses JSON with comments. Faults are collected with their place instead of
 * stopping at the first, so that an operator sees all of them in one run.
 */
#ifndef CELERYGLADE_INTERNAL_JSONC_H
#define CELERYGLADE_INTERNAL_JSONC_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/** A list of faults, each a line "PLACE: MESSAGE". All zero is an empty list;
 * release it with cg_faults_clear. */
struct cg_faults {
	char **lines;
	size_t n;
};

/** Appends a fault. @p place is a file name or a path in a document. */
void cg_faults_add(struct cg_faults *f, const char *place, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** Prints one fault per line. */
void cg_faults_print(const struct cg_faults *f, FILE *out);

/** Frees the lines and empties the list. */
void cg_faults_clear(struct cg_faults *f);

/**
 * Parses @p len bytes of text. Rejects text after the document, more than 32
 * levels of nesting and duplicate names in one object. Returns 0, and the
 * caller releases @p out with json_object_put; or -1 after adding a fault with
 * the line number.
 */
int cg_json_parse(const char *text, size_t len, const char *place,
		  struct json_object **out, struct cg_faults *f);

/**
 * Copies a document that is an object, with each element of its members' arrays
 * that @p is_readable rejects replaced by null. One writer's odd entry then does
 * not make a list of many writers unreadable. The caller frees the result, of
 * @p out_len bytes. @p dropped is the number of elements replaced.
 */
char *cg_json_drop_unreadable(const char *text, size_t len,
			      bool (*is_readable)(const char *text, size_t len),
			      size_t *out_len, unsigned int *dropped);

/** Reads and parses a file of at most 16 MB. Returns what cg_json_parse
 * returns. */
int cg_json_read_file(const char *path, struct json_object **out,
		      struct cg_faults *f);

/**
 * Typed access to members of object @p o; faults refer to it as @p place.
 * Return 0 and the value, 1 if the member is absent, or -1 after adding a
 * fault. Strings and arrays are owned by @p o.
 */
int cg_json_get_string(struct json_object *o, const char *name,
		       const char *place, const char **out,
		       struct cg_faults *f);
int cg_json_get_int(struct json_object *o, const char *name, const char *place,
		    int64_t lowest, int64_t highest, int64_t *out,
		    struct cg_faults *f);
int cg_json_get_bool(struct json_object *o, const char *name, const char *place,
		     bool *out, struct cg_faults *f);
int cg_json_get_array(struct json_object *o, const char *name,
		      const char *place, struct json_object **out,
		      struct cg_faults *f);

/** Adds a fault for each member of @p o that the NULL-terminated list @p known
 * lacks. */
void cg_json_refuse_unknown(struct json_object *o, const char *place,
			    const char *const *known, struct cg_faults *f);

#endif
