/**
 * @file handoff.h
 * What one daemon has read from the store is handed on to the others of its
 * failure domain, so that calls to the store grow with domains and changes and
 * not with daemons: the configuration as it was read, and the list of servers.
 * So are the broker's estimates of work, for the daemons that lead next.
 * Requests and responses carry a message authentication code under the fleet's
 * secret; the configuration contains API keys.
 */
#ifndef CELERYGLADE_GATEWAY_HANDOFF_H
#define CELERYGLADE_GATEWAY_HANDOFF_H

#include <netinet/in.h>
#include <stdint.h>

#include "celeryglade/clock.h"

struct cgw_gateway;
struct cgw_handoff;

/** Starts to serve other daemons. @p g must outlive it. Returns NULL if it
 * cannot listen. */
struct cgw_handoff *cgw_handoff_new(struct cgw_gateway *g);
void cgw_handoff_free(struct cgw_handoff *h);

/**
 * Fetches the configuration from another daemon, unless a fetch is running.
 *
 * @param version   Version that the daemon announced.
 * @param proved_at When this version was known to be the latest, on this
 *                  daemon's clock; -1 if unknown.
 */
void cgw_handoff_fetch_config(struct cgw_handoff *h, struct in_addr from,
			      uint64_t version, cg_ms proved_at);
/** Fetches the list of servers, unless a fetch is running, and with it what the
 * broker there has learnt of the work of requests, if placement uses it. */
void cgw_handoff_fetch_servers(struct cgw_handoff *h, struct in_addr from);
/** Returns how many fetches of the configuration have failed since the last
 * one that succeeded. */
unsigned int cgw_handoff_failures(const struct cgw_handoff *h);
/** Sets the number of failed fetches to 0. */
void cgw_handoff_forget_failures(struct cgw_handoff *h);

#endif
