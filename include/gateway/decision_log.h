/**
 * @file decision_log.h
 * Decision log: one JSON object per line on standard output. Writing never
 * blocks; lines that do not fit into the buffer are dropped and counted.
 */
#ifndef CELERYGLADE_GATEWAY_DECISION_LOG_H
#define CELERYGLADE_GATEWAY_DECISION_LOG_H

#include "gateway/loop.h"

/** Allocates the buffer and makes standard output non-blocking. Adds
 * @p instance to each line. Timers run on @p l, which must outlive the log. */
void cgw_log_open(struct cgw_loop *l, const char *instance);
/** Appends a line to the buffer. @p part names the component that writes it;
 * @p fmt formats the JSON members without the enclosing braces. Does nothing
 * if the log is not open. */
void cgw_log_line(const char *part, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/** Writes as much of the buffer as standard output accepts. */
void cgw_log_flush(void);
/** Flushes once and frees the buffer. */
void cgw_log_close(void);
/** Returns the number of lines dropped since the log was opened. All lines that
 * are lost with one failed write count as one. */
uint64_t cgw_log_dropped(void);

#endif
