/**
 * @file logging.h
 * Structured logging through GLib. Each source file defines CG_PART, the value
 * of "part" in its log lines, before it includes this header.
 */
#ifndef CELERYGLADE_INTERNAL_LOGGING_H
#define CELERYGLADE_INTERNAL_LOGGING_H

#include <glib.h>

#ifndef CG_PART
#error "define CG_PART before including logging.h"
#endif

/**
 * Sets the least severe level that is logged and the instance name that every
 * line carries (copied). Messages go to standard error, one line each:
 * "SECONDS LEVEL INSTANCE PART: MESSAGE", with SECONDS since 1970. With @p json
 * each line is a JSON object.
 */
void cg_log_init(const char *instance, GLogLevelFlags min_level, gboolean json);

/** Parses "error", "warning", "info" or "debug". Returns 0, or -1 for any other
 * text. */
int cg_log_parse_level(const char *text, GLogLevelFlags *level);

#define cg_log(level, ...)                                                     \
	g_log_structured("celeryglade", level, "CG_PART", CG_PART, "MESSAGE",  \
			 __VA_ARGS__)
#define cg_error(...)	cg_log(G_LOG_LEVEL_CRITICAL, __VA_ARGS__)
#define cg_warning(...) cg_log(G_LOG_LEVEL_WARNING, __VA_ARGS__)
#define cg_info(...)	cg_log(G_LOG_LEVEL_INFO, __VA_ARGS__)
#define cg_debug(...)	cg_log(G_LOG_LEVEL_DEBUG, __VA_ARGS__)

#endif
