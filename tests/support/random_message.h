/**
 * @file random_message.h
 * Random messages that are well-formed XDR, for tests that a process survives
 * whatever another one sends.
 */
#ifndef CELERYGLADE_TESTS_RANDOM_MESSAGE_H
#define CELERYGLADE_TESTS_RANDOM_MESSAGE_H

#include <glib.h>
#include <rpc/types.h>
#include <rpc/xdr.h>

/** Returns the encoding of a random value of the type that @p proc codes, @p size
 * bytes in memory; the caller releases it. Strings are often one of @p names,
 * which ends with NULL. Returns NULL if the random value was not valid. */
GByteArray *random_message(GRand *r, xdrproc_t proc, size_t size,
			   const char *const *names);

#endif
