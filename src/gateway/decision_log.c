#include "gateway/decision_log.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

/* Further lines are dropped while this many bytes wait to be written. */
#define BUFFER_MAX (64 * 1024)
/* The buffer is written at this size or after this time. One write() for many
 * lines saves processor time. */
#define FLUSH_AT 8192
#define FLUSH_MS 500

static struct {
	struct cgw_loop *loop;
	char instance[64];
	GString *text;
	struct cgw_timer timer;
	uint64_t dropped;
	uint64_t dropped_reported;
} out;

static void on_timer(struct cgw_timer *t)
{
	(void)t;
	cgw_log_flush();
}

void cgw_log_open(struct cgw_loop *l, const char *instance)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	out.loop = l;
	out.text = g_string_new(NULL);
	out.timer.fire = on_timer;
	g_strlcpy(out.instance, instance, sizeof(out.instance));
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void cgw_log_flush(void)
{
	ssize_t n;

	if (!out.text || !out.text->len)
		return;
	n = write(STDOUT_FILENO, out.text->str, out.text->len);
	if (n > 0) {
		g_string_erase(out.text, 0, n);
	} else if (errno != EAGAIN && errno != EINTR) {
		/* No reader is left, for example after EPIPE. */
		out.dropped++;
		g_string_truncate(out.text, 0);
	}
	if (out.text->len)
		cgw_timer_arm(out.loop, &out.timer,
			      cgw_loop_now(out.loop) + FLUSH_MS);
	else
		cgw_timer_cancel(out.loop, &out.timer);
}

static void append_line_va(const char *part, const char *fmt, va_list ap)
	__attribute__((format(printf, 2, 0)));
static void append_line_va(const char *part, const char *fmt, va_list ap)
{
	gint64 us = g_get_real_time();

	g_string_append_printf(out.text,
			       "{\"time_ms\":%" G_GINT64_FORMAT
			       ",\"instance\":\"%s\",\"part\":\"%s\",",
			       us / 1000, out.instance, part);
	g_string_append_vprintf(out.text, fmt, ap);
	g_string_append(out.text, "}\n");
}

static void append_line(const char *part, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
static void append_line(const char *part, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	append_line_va(part, fmt, ap);
	va_end(ap);
}

void cgw_log_line(const char *part, const char *fmt, ...)
{
	va_list ap;

	if (!out.text)
		return;
	if (out.text->len >= BUFFER_MAX) {
		out.dropped++;
		return;
	}
	if (out.dropped != out.dropped_reported) {
		append_line("log", "\"dropped_lines\":%" G_GUINT64_FORMAT,
			    (guint64)out.dropped);
		out.dropped_reported = out.dropped;
	}
	va_start(ap, fmt);
	append_line_va(part, fmt, ap);
	va_end(ap);
	if (out.text->len >= FLUSH_AT)
		cgw_log_flush();
	else if (!out.timer.heap_index)
		cgw_timer_arm(out.loop, &out.timer,
			      cgw_loop_now(out.loop) + FLUSH_MS);
}

void cgw_log_close(void)
{
	if (!out.text)
		return;
	cgw_log_flush();
	cgw_timer_cancel(out.loop, &out.timer);
	g_string_free(out.text, TRUE);
	memset(&out, 0, sizeof(out));
}

uint64_t cgw_log_dropped(void)
{
	return out.dropped;
}
