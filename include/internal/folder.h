/**
 * @file folder.h
 * Reads an operator's folder of configuration files, whose format
 * docs/configuration.md describes.
 */
#ifndef CELERYGLADE_INTERNAL_FOLDER_H
#define CELERYGLADE_INTERNAL_FOLDER_H

#include "celeryglade/config.h"
#include "internal/jsonc.h"

/**
 * Merges the files *.json and *.jsonc of @p dir in byte order of their names
 * and validates the result. Returns 0, and the caller owns one reference to
 * @p out; or -1, after adding every fault with its file and object to @p f. The
 * text of a key never appears in a fault.
 */
int cg_folder_load(const char *dir, uint64_t version, struct cg_config **out,
		   struct cg_faults *f);

#endif
