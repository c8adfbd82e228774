/**
 * @file executions.h
 * Executions of requests, counted by request id. Callers hold their own lock.
 */
#ifndef STANDINS_EXECUTIONS_H
#define STANDINS_EXECUTIONS_H

#include <glib.h>
#include <microhttpd.h>

/** Starts counting; a journal, if not NULL, gets a line per execution and
 * outlives SIGKILL. Returns 0 or -1. */
int sh_executions_init(const char *journal);

/** Counts the execution of the request on @p c. */
void sh_executions_add(struct MHD_Connection *c, const char *id,
		       const char *attempt);

/** Appends a JSON line for each request id. */
void sh_executions_print(GString *out);

/** Forgets all executions; the journal stays. */
void sh_executions_clear(void);

#endif
