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

/** The rule that cg_name_valid checks, as a text for messages. */
#define CG_NAME_RULE                                                           \
	"a name: 1 to 63 letters, digits, \".\", \"_\" or \"-\", first a "     \
	"letter or digit"

/** Size of a digest in hex with its terminating zero. */
#define CG_DIGEST_HEX_SIZE (2 * CG_DIGEST_SIZE + 1)

/** Returns whether @p text is a valid name. Valid names need no escaping in
 * JSON. */
bool cg_name_valid(const char *text);

/** Writes the digest in lower-case hex with a terminating zero. */
void cg_digest_format(const uint8_t digest[CG_DIGEST_SIZE],
		      char out[CG_DIGEST_HEX_SIZE]);

/** Parses the first 64 characters of @p text as hex digits and ignores what
 * follows. Returns 0, or -1 if one of them is not a hex digit. */
int cg_digest_parse(const char *text, uint8_t out[CG_DIGEST_SIZE]);

#endif
