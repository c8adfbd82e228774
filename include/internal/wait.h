/**
 * @file wait.h
 * Condition variables with waits in milliseconds of real time.
 */
#ifndef CELERYGLADE_INTERNAL_WAIT_H
#define CELERYGLADE_INTERNAL_WAIT_H

#include <pthread.h>
#include <time.h>

#include "celeryglade/clock.h"

/** Initialises a condition variable whose timed waits use CLOCK_MONOTONIC, so
 * that a change of the wall clock does not stretch them. */
void cg_cond_init(pthread_cond_t *c);

/** Returns the end of a wait that begins now and lasts @p ms. */
struct timespec cg_wait_deadline(cg_ms ms);

#endif
