/* Builds snapshots for tests from JSON text in the form of a folder. */
#ifndef TESTS_SUPPORT_OBJECTS_H
#define TESTS_SUPPORT_OBJECTS_H

#include "celeryglade/config.h"
#include "internal/jsonc.h"

/* Returns a snapshot that the caller drops, or NULL with faults in @p f. */
struct cg_config *config_from_text(const char *text, uint64_t version,
				   struct cg_faults *f);

/* Whether one of the faults contains @p part. */
bool has_fault(const struct cg_faults *f, const char *part);

/* Fails the test, printing the faults, unless there is none. */
void assert_no_faults(const struct cg_faults *f);

/* Writes @p text to a file; the folder must exist. */
void write_file(const char *dir, const char *name, const char *text);

/* Removes a folder and the files in it. */
void remove_folder(const char *dir);

#endif
