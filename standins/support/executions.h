/**
 * @file executions.h
 * Counts the executions of each request id. Not thread-safe: the caller locks.
 */
#ifndef STANDINS_EXECUTIONS_H
#define STANDINS_EXECUTIONS_H

#include <glib.h>
#include <microhttpd.h>

/** Starts counting. If @p journal is not NULL, each execution is appended to
 * that file as a JSON line, which survives a SIGKILL of the process. Returns 0,
 * or -1 if the file cannot be opened. */
int sh_executions_init(const char *journal);

/** Counts an execution of the request on @p c. */
void sh_executions_add(struct MHD_Connection *c, const char *id,
		       const char *attempt);

/** Appends a JSON line for each request id to @p out. */
void sh_executions_print(GString *out);

/** Clears all counts; the journal stays. */
void sh_executions_clear(void);

#endif
