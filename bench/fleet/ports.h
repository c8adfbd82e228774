/**
 * @file ports.h
 * Loopback ports for tests and measurements, so that several runs on one machine
 * don't collide.
 */
#ifndef BENCH_PORTS_H
#define BENCH_PORTS_H

#include <stdint.h>

/** Returns the first of @p n consecutive ports from 21000 to 21999 that are
 * free for TCP and UDP on 127.0.0.1, or 0. */
uint16_t claim_test_ports(int n);

#endif
