#include "internal/health.h"

/* Drain notices only; ejection follows. */

struct cg_health {
	struct cg_notices *notices;
};

struct cg_health *cg_health_new(const struct cg_settings *s,
				struct cg_clock *clk, struct cg_peer *peer,
				struct cg_members *members,
				struct cg_shards *shards, struct cg_docs *docs,
				struct cg_notices *notices)
{
	struct cg_health *h = g_new0(struct cg_health, 1);

	(void)s;
	(void)clk;
	(void)peer;
	(void)members;
	(void)shards;
	(void)docs;
	h->notices = notices;
	return h;
}

int cg_health_start(struct cg_health *h)
{
	(void)h;
	return 0;
}

void cg_health_stop(struct cg_health *h)
{
	(void)h;
}

void cg_health_free(struct cg_health *h)
{
	g_free(h);
}

int cg_health_handle(struct cg_health *h, const struct cg_peer_msg *msg,
		     GByteArray *reply)
{
	(void)h;
	(void)msg;
	(void)reply;
	return -1;
}

void cg_health_observe(struct cg_health *h, const struct cg_server *srv,
		       enum cg_observation o, cg_ms latency)
{
	(void)h;
	(void)srv;
	(void)o;
	(void)latency;
}

void cg_health_draining(struct cg_health *h, const struct cg_server *srv)
{
	cg_notices_drain(h->notices, srv->name);
}

unsigned int cg_health_weight(struct cg_health *h, const struct cg_server *srv,
			      bool idempotent)
{
	(void)idempotent;
	return cg_notices_is_draining(h->notices, srv->name) ? 0 : 1000;
}
