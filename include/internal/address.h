/**
 * @file address.h
 * Text form of IPv4 addresses with a port.
 */
#ifndef CELERYGLADE_INTERNAL_ADDRESS_H
#define CELERYGLADE_INTERNAL_ADDRESS_H

#include <netinet/in.h>
#include <stddef.h>

/** Parses "IP:PORT" (IPv4, port from 1 to 65535). Returns 0, or -1 if @p text
 * is not valid; @p out is then unspecified. */
int cg_parse_address(const char *text, struct sockaddr_in *out);

/** Writes "IP:PORT" into the @p size bytes at @p out. */
void cg_format_address(const struct sockaddr_in *a, char *out, size_t size);

#endif
