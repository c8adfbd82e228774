#define CG_PART "log"
#include "internal/logging.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

static char log_instance[64] = "-";
static GLogLevelFlags log_min_level = G_LOG_LEVEL_INFO;
static gboolean log_json;

static const char *level_name(GLogLevelFlags level)
{
	switch (level & G_LOG_LEVEL_MASK) {
	case G_LOG_LEVEL_ERROR:
	case G_LOG_LEVEL_CRITICAL:
		return "error";
	case G_LOG_LEVEL_WARNING:
		return "warning";
	case G_LOG_LEVEL_DEBUG:
		return "debug";
	default:
		return "info";
	}
}

static const char *field_text(const GLogField *fields, gsize n, const char *key)
{
	for (gsize i = 0; i < n; i++)
		if (!strcmp(fields[i].key, key))
			return fields[i].value;
	return "";
}

static void write_json(const char *level, const char *part, const char *msg,
		       gint64 wall_us)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "time_ms",
			       json_object_new_int64(wall_us / 1000));
	json_object_object_add(o, "level", json_object_new_string(level));
	json_object_object_add(o, "instance",
			       json_object_new_string(log_instance));
	json_object_object_add(o, "part", json_object_new_string(part));
	json_object_object_add(o, "message", json_object_new_string(msg));
	fprintf(stderr, "%s\n", json_object_to_json_string(o));
	json_object_put(o);
}

static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize n,
				   gpointer data)
{
	const char *part = field_text(fields, n, "CG_PART");
	const char *msg = field_text(fields, n, "MESSAGE");
	gint64 wall_us = g_get_real_time();

	(void)data;
	/* In GLib a less severe level has a larger value. */
	if ((level & G_LOG_LEVEL_MASK) > log_min_level)
		return G_LOG_WRITER_HANDLED;
	if (log_json)
		write_json(level_name(level), part, msg, wall_us);
	else
		fprintf(stderr, "%" G_GINT64_FORMAT ".%03d %s %s %s: %s\n",
			wall_us / 1000000, (int)(wall_us / 1000 % 1000),
			level_name(level), log_instance, part, msg);
	return G_LOG_WRITER_HANDLED;
}

void cg_log_init(const char *instance, GLogLevelFlags min_level, gboolean json)
{
	g_strlcpy(log_instance, instance, sizeof(log_instance));
	log_min_level = min_level;
	log_json = json;
	g_log_set_writer_func(write_line, NULL, NULL);
}

int cg_log_parse_level(const char *text, GLogLevelFlags *level)
{
	if (!strcmp(text, "error"))
		*level = G_LOG_LEVEL_CRITICAL;
	else if (!strcmp(text, "warning"))
		*level = G_LOG_LEVEL_WARNING;
	else if (!strcmp(text, "info"))
		*level = G_LOG_LEVEL_INFO;
	else if (!strcmp(text, "debug"))
		*level = G_LOG_LEVEL_DEBUG;
	else
		return -1;
	return 0;
}
