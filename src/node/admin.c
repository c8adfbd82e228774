#include "internal/front.h"
#include "internal/node.h"

#include <microhttpd.h>
#include <string.h>

#include "celeryglade/counters.h"
#include "internal/http_text.h"

struct cg_admin {
	struct MHD_Daemon *daemon;
	struct cg_node *node;
};

static enum MHD_Result reply_metrics(struct MHD_Connection *conn)
{
	GString *s = g_string_new(NULL);
	enum MHD_Result rc;

	for (int c = 0; c < CG_COUNTER_COUNT; c++)
		g_string_append_printf(s, "%s %" G_GUINT64_FORMAT "\n",
				       cg_counter_name((enum cg_counter)c),
				       cg_counter_read((enum cg_counter)c));
	rc = cg_http_respond_text(conn, MHD_HTTP_OK, s->str);
	g_string_free(s, TRUE);
	return rc;
}

static enum MHD_Result reply_ready(struct MHD_Connection *conn,
				   const char *unready_reason)
{
	char text[128];

	if (!unready_reason)
		return cg_http_respond_text(conn, MHD_HTTP_OK, "ready\n");
	g_snprintf(text, sizeof(text), "not ready: %s\n", unready_reason);
	return cg_http_respond_text(conn, MHD_HTTP_SERVICE_UNAVAILABLE, text);
}

static enum MHD_Result handle_request(void *cls, struct MHD_Connection *conn,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *data_size, void **state)
{
	struct cg_admin *a = cls;

	(void)version;
	(void)data;
	(void)state;
	*data_size = 0;
	if (strcmp(method, "GET") != 0)
		return cg_http_respond_text(conn, MHD_HTTP_METHOD_NOT_ALLOWED,
					    "GET only\n");
	if (!strcmp(url, "/-/live"))
		return cg_http_respond_text(conn, MHD_HTTP_OK, "live\n");
	if (!strcmp(url, "/-/metrics"))
		return reply_metrics(conn);
	if (strcmp(url, "/-/ready") != 0)
		return cg_http_respond_text(conn, MHD_HTTP_NOT_FOUND,
					    "not found\n");
	return reply_ready(conn, cg_node_unready_reason(a->node));
}

struct cg_admin *cg_admin_new(const struct sockaddr_in *listen,
			      struct cg_node *node)
{
	struct cg_admin *a = g_new0(struct cg_admin, 1);

	a->node = node;
	a->daemon = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, handle_request, a,
		MHD_OPTION_SOCK_ADDR, listen, MHD_OPTION_CONNECTION_TIMEOUT,
		10U, MHD_OPTION_END);
	if (a->daemon)
		return a;
	g_free(a);
	return NULL;
}

void cg_admin_free(struct cg_admin *a)
{
	if (!a)
		return;
	MHD_stop_daemon(a->daemon);
	g_free(a);
}
