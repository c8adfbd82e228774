/**
 * @file wait.h
 * Timed waits on condition variables, in milliseconds of real time.
 */
#ifndef CELERYGLADE_INTERNAL_WAIT_H
#define CELERYGLADE_INTERNAL_WAIT_H

#include <pthread.h>
#include <time.h>

#include "celeryglade/clock.h"

/** Initialises a condition variable whose timed waits use CLOCK_MONOTONIC, so
 * that setting the wall clock does not lengthen or shorten them. */
void cg_cond_init(pthread_cond_t *c);

/** Returns the deadline, @p ms from now, for pthread_cond_timedwait on a
 * condition variable of cg_cond_init. */
struct timespec cg_wait_deadline(cg_ms ms);

#endif
