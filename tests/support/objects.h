/* Helpers for tests of the configuration: build snapshots from JSON text in the
 * format of the files in a configuration folder, check the faults found, and
 * write files. */
#ifndef TESTS_SUPPORT_OBJECTS_H
#define TESTS_SUPPORT_OBJECTS_H

#include "celeryglade/config.h"
#include "internal/jsonc.h"

/* Returns a snapshot, whose reference the caller releases, or NULL with the
 * faults in @p f. */
struct cg_config *config_from_text(const char *text, uint64_t version,
				   struct cg_faults *f);

/* Returns whether one of the faults contains @p text; otherwise prints them. */
bool has_fault(const struct cg_faults *f, const char *text);

/* Prints the faults and fails the test if there are any. */
void assert_no_faults(const struct cg_faults *f);

/* Writes @p text to a file in an existing folder. */
void write_file(const char *dir, const char *name, const char *text);

/* Removes a folder and its files; it must not contain folders. */
void remove_folder(const char *dir);

#endif
