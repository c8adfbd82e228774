#define CG_PART "ingress"
#include "ingress_private.h"

#include <arpa/inet.h>
#include <string.h>

#include "celeryglade/counters.h"
#include "gateway/decision_log.h"
#include "explain_serve.h"
#include "internal/address.h"
#include "internal/http_text.h"
#include "internal/logging.h"

/* Counts the connections that cannot be closed for new ones. */
static unsigned int count_busy(const struct cgw_ingress *in)
{
	const struct connection *c;
	unsigned int n = 0;

	if (in->connection_count <= cgw_ingress_margin(in, 2))
		return in->connection_count;
	cds_list_for_each_entry(c, &in->connections, node)
		n += !cgw_connection_is_idle(c);
	return n;
}

static enum MHD_Result handle_ready(void *cls, struct MHD_Connection *mhd,
				    const char *url, const char *method,
				    const char *version, const char *data,
				    size_t *data_size, void **state)
{
	struct cgw_ingress *in = cls;
	const char *why = cgw_gateway_unready_reason(in->gateway);

	if (!why && count_busy(in) > cgw_ingress_margin(in, 2))
		why = "too many connections";

	(void)url;
	(void)method;
	(void)version;
	(void)data;
	(void)data_size;
	(void)state;
	return cg_http_respond_text(mhd, why ? 503 : 200, why ? why : "ready");
}

static void add_metric(GString *s, const char *name, uint64_t value)
{
	g_string_append_printf(s, "celeryglade_%s %" G_GUINT64_FORMAT "\n",
			       name, (guint64)value);
}

static enum MHD_Result handle_metrics(void *cls, struct MHD_Connection *mhd,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *data_size, void **state)
{
	struct cgw_ingress *in = cls;
	struct cgw_gateway *g = in->gateway;
	GString *s;
	struct cgw_table *t = cgw_feed_table(g->feed);
	enum MHD_Result rc;

	(void)method;
	(void)version;
	(void)data;
	(void)data_size;
	(void)state;
	if (!strcmp(url, "/explain"))
		return cgw_explain_respond(g, mhd);
	s = g_string_new(NULL);
	for (int i = 0; i < CG_COUNTER_COUNT; i++)
		if (cg_counter_read((enum cg_counter)i))
			add_metric(s, cg_counter_name((enum cg_counter)i),
				   cg_counter_read((enum cg_counter)i));
	add_metric(s, "config_version", t ? cgw_table_version(t) : 0);
	add_metric(s, "store_calls", cgw_feed_call_count(g->feed));
	add_metric(s, "connections_opened",
		   cgw_upstream_connections_opened(g->client));
	add_metric(s, "ejections",
		   cgw_broker_ejections(cgw_fleet_broker(g->fleet)));
	add_metric(s, "log_lines_dropped", cgw_log_dropped());
	add_metric(s, "requests_running", g->running_requests);
	add_metric(s, "caller_connections", in->connection_count);
	add_metric(s, "lingering_connections", in->linger.count);
	add_metric(s, "caller_connection_limit", in->connection_limit);
	add_metric(s, "memory_used_bytes",
		   (uint64_t)cg_memory_used(&g->memory));
	add_metric(s, "memory_budget_bytes", (uint64_t)g->memory.total);
	rc = cg_http_respond_text(mhd, 200, s->str);
	g_string_free(s, TRUE);
	return rc;
}

int cgw_ingress_start_status(struct cgw_ingress *in)
{
	struct cgw_gateway *g = in->gateway;
	struct sockaddr_in sa;

	if (cg_parse_address(g->settings.ready, &sa) ||
	    cgw_http_server_start(&in->ready, g->loop, &sa, handle_ready, in)) {
		cg_error("cannot listen for readiness checks on %s",
			 g->settings.ready);
		return -1;
	}
	if (!g->settings.metrics_port)
		return 0;
	sa.sin_addr.s_addr = INADDR_ANY;
	sa.sin_port = htons((uint16_t)g->settings.metrics_port);
	if (cgw_http_server_start(&in->metrics, g->loop, &sa, handle_metrics,
				  in))
		cg_warning("cannot listen for metrics on port %d; metrics are "
			   "not available",
			   (int)g->settings.metrics_port);
	return 0;
}
