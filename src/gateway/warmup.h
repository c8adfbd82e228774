/**
 * @file warmup.h
 * How many requests a cold server may get. No I/O, no clock.
 */
#ifndef CELERYGLADE_GATEWAY_WARMUP_H
#define CELERYGLADE_GATEWAY_WARMUP_H

#include <stdint.h>

#include "celeryglade/clock.h"

/** The limit of the servers of a service. */
struct cgw_warmup_limit {
	double per_s; /**< Grants per second; 0: no limit. */
	double burst; /**< Grants at once. */
};

/** The grants of one server: a token bucket that also counts while the server
 * is warm, since it may become cold at any time. */
struct cgw_warmup {
	double tokens;
	cg_ms at; /**< Time up to which tokens are added. */
};

/** Returns the limit of grants that keeps a server below @p per_s *
 * @p burst_factor + @p slack requests in any one second, although grants arrive
 * up to 0.5 s later than others. @p share is the part of the allowance that this
 * broker may use. */
struct cgw_warmup_limit cgw_warmup_limit(double per_s, double burst_factor,
					 double slack, double share);
/** Begins with nothing: a server that is new here, or a broker that takes over. */
void cgw_warmup_start(struct cgw_warmup *w, cg_ms now);
/** Returns how many requests the server may get now, if it is cold. */
int64_t cgw_warmup_available(const struct cgw_warmup_limit *l,
			     const struct cgw_warmup *w, cg_ms now);
/** Counts a grant. */
void cgw_warmup_take(const struct cgw_warmup_limit *l, struct cgw_warmup *w,
		     cg_ms now);
/** Takes back the count of a grant whose request did not count there. */
void cgw_warmup_return(const struct cgw_warmup_limit *l, struct cgw_warmup *w,
		       cg_ms now);

#endif
