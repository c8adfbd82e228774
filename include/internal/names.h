/**
 * @file names.h
 * Names of instances, services, servers, routes, accounts and keys, and the
 * text form of digests.
 */
#ifndef CELERYGLADE_INTERNAL_NAMES_H
#define CELERYGLADE_INTERNAL_NAMES_H

#include <stdbool.h>
#include <stdint.h>

#include "celeryglade/config.h"

/** The rule that cg_name_valid checks, for messages. */
#define CG_NAME_RULE                                                           \
	"a name: 1 to 63 letters, digits, \".\", \"_\" or \"-\", first a "     \
	"letter or digit"

#define CG_DIGEST_HEX_SIZE (2 * CG_DIGEST_SIZE + 1)

/** Whether @p text is a valid name. Valid names need no escape in JSON. */
bool cg_name_valid(const char *text);

/** Writes the digest in lower-case hex with a final zero. */
void cg_digest_format(const uint8_t digest[CG_DIGEST_SIZE],
		      char out[CG_DIGEST_HEX_SIZE]);

/** Parses exactly 64 hex digits at @p text, which may go on. 0 or -1. */
int cg_digest_parse(const char *text, uint8_t out[CG_DIGEST_SIZE]);

#endif
