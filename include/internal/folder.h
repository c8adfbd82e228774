/**
 * @file folder.h
 * Reads an operator's folder of configuration files (docs/configuration.md).
 */
#ifndef CELERYGLADE_INTERNAL_FOLDER_H
#define CELERYGLADE_INTERNAL_FOLDER_H

#include "celeryglade/config.h"
#include "internal/jsonc.h"

/**
 * Merges the files *.json and *.jsonc of @p dir in byte order of their names
 * and checks the result. Returns 0, and the caller owns one reference to
 * @p out, or -1 with every fault, its file and its place added to @p f. A fault
 * never repeats the text of a key.
 */
int cg_folder_load(const char *dir, uint64_t version, struct cg_config **out,
		   struct cg_faults *f);

#endif
