#include "explain_serve.h"

#include <stdlib.h>

#include "gateway/explain.h"
#include "gateway/feed.h"
#include "gateway/fleet.h"
#include "internal/http_text.h"

static const char *argument(struct MHD_Connection *mhd, const char *name)
{
	return MHD_lookup_connection_value(mhd, MHD_GET_ARGUMENT_KIND, name);
}

enum MHD_Result cgw_explain_respond(struct cgw_gateway *g,
				    struct MHD_Connection *mhd)
{
	const char *method = argument(mhd, "method");
	const char *size = argument(mhd, "size");
	struct cgw_explain_query q = {
		.host = argument(mhd, "host"),
		.target = argument(mhd, "path"),
		.method = method ? method : "GET",
		.account = argument(mhd, "account"),
		.body_bytes = size ? strtoul(size, NULL, 10) : 0,
	};
	char ip[INET_ADDRSTRLEN] = "";
	struct cgw_explain_state s = {
		.instance = g->settings.instance,
		.domain = g->settings.domain,
		.table = cgw_feed_table(g->feed),
		.broker = cgw_fleet_broker(g->fleet),
		.broker_ip = ip,
		.now = cgw_loop_now(g->loop),
	};
	enum MHD_Result rc;
	char *text;

	if (!q.host || !q.target)
		return cg_http_respond_text(mhd, 400,
					    "host and path are missing");
	s.leads = cgw_fleet_leads(g->fleet);
	s.broker_name = cgw_fleet_other_leader(g->fleet, ip);
	text = cgw_explain(&s, &q);
	rc = cg_http_respond_text(mhd, 200, text);
	g_free(text);
	return rc;
}
