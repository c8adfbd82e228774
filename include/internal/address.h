/**
 * @file address.h
 * IPv4 addresses with a port as text.
 */
#ifndef CELERYGLADE_INTERNAL_ADDRESS_H
#define CELERYGLADE_INTERNAL_ADDRESS_H

#include <netinet/in.h>
#include <stddef.h>

/** Parses "IP:PORT" (IPv4). Returns 0 or -1. */
int cg_parse_address(const char *text, struct sockaddr_in *out);

/** Writes "IP:PORT" into @p out. */
void cg_format_address(const struct sockaddr_in *a, char *out, size_t size);

#endif
