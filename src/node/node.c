#define CG_PART "daemon"
#include "internal/node.h"

#include <string.h>

#include "internal/claims.h"
#include "internal/connections.h"
#include "internal/dispatcher.h"
#include "internal/logging.h"

#define STORE_TIMEOUT_S	    2
#define HANDOVER_TIMEOUT_MS 5000
#define DRAIN_POLL_MS	    20
#define HOUSEKEEPING_MS	    500
/* Longer than the 0.56 s that a new document version needed at worst to reach
 * all of 48 daemons, so that the shard coordinators know the first map as
 * well. */
#define SHARD_MAP_GRACE_MS 1500

const char *cg_node_unready_reason(struct cg_node *n)
{
	struct cg_proxy *p = &n->proxy;
	cg_ms map_known_at = atomic_load(&n->shard_map_known_at);

	if (atomic_load(&p->stopping))
		return "shutting down";
	if (cg_docs_version(p->docs, CG_DOC_ROOT) == 0)
		return "no configuration yet";
	/* Without a shard map no coordinator is known, and the first request of
	 * every account would be refused. The coordinators also need some time
	 * to learn the first map. */
	if (!map_known_at ||
	    cg_clock_now(&n->clk) - map_known_at < SHARD_MAP_GRACE_MS)
		return "no shard map yet, or only since a moment";
	if (!cg_trust_accepts_keys(p->settings, p->clk, p->docs, n->members))
		return "keys are stale: neither the store nor most members are "
		       "heard";
	return NULL;
}

static void init_incarnation(struct cg_node *n)
{
	/* Increases with each start unless the wall clock is set back by more
	 * than the lifetime of the previous process. The random bits
	 * distinguish two starts within one millisecond. */
	n->incarnation = (uint64_t)(g_get_real_time() / 1000) << 16 |
			 (g_random_int() & 0xffff);
}

static int create_controllers(struct cg_node *n)
{
	struct cg_settings *s = &n->settings;
	struct cg_proxy *p = &n->proxy;

	n->peer = cg_peer_new(s->instance, n->incarnation, s->fleet_secret,
			      &s->peer);
	if (!n->peer) {
		cg_error("cannot bind the peer address");
		return -1;
	}
	p->store = cg_store_new(s->store_url, STORE_TIMEOUT_S);
	n->members = cg_members_new(s, n->incarnation, &n->clk);
	p->members = n->members;
	p->docs = cg_docs_new(s, &n->clk, p->store, n->peer, n->members);
	p->notices = cg_notices_new(&n->clk, n->peer, n->members, p->docs);
	n->gossip = cg_gossip_new(s, &n->clk, n->peer, n->members, p->docs,
				  p->notices);
	n->shards = cg_shards_new(s, n->incarnation, &n->clk, p->store, p->docs,
				  n->members);
	p->rates = cg_rates_new(s, &n->clk, n->peer, n->members, n->shards,
				p->docs);
	p->health = cg_health_new(s, &n->clk, n->peer, n->members, n->shards,
				  p->docs, p->notices);
	cg_docs_add_listener(p->docs, cg_shards_on_doc, n->shards);
	cg_docs_add_listener(p->docs, cg_notices_on_doc, p->notices);
	cg_docs_add_listener(p->docs, cg_gossip_on_doc, n->gossip);
	cg_peer_set_handler(n->peer, cg_node_handle, n);
	return 0;
}

/* Removes the balancer's state of services that are not in a new
 * configuration. */
static void prune_balance(void *arg, enum cg_doc doc, uint64_t version,
			  GBytes *content)
{
	struct cg_node *n = arg;
	struct cg_config *c;

	(void)version;
	(void)content;
	if (doc != CG_DOC_ROOT)
		return;
	c = cg_docs_config(n->proxy.docs);
	if (!c)
		return;
	cg_balance_prune(n->proxy.balance, c);
	cg_config_unref(c);
}

/* Records when the first shard map arrived and updates the number of daemons,
 * which determines the subset of servers that each one uses. */
static void housekeeping(struct cg_timer *t)
{
	struct cg_node *n = caa_container_of(t, struct cg_node, housekeeping);

	if (!atomic_load(&n->shard_map_known_at) &&
	    cg_shards_map_version(n->shards) > 0)
		atomic_store(&n->shard_map_known_at, cg_clock_now(&n->clk));
	cg_balance_set_daemons(n->proxy.balance, cg_members_count(n->members));
	cg_timers_arm(n->proxy.timers, t,
		      cg_clock_now(&n->clk) + HOUSEKEEPING_MS);
}

static int create_request_path(struct cg_node *n)
{
	struct cg_proxy *p = &n->proxy;

	p->timers = cg_timers_new(&n->clk);
	p->connections = cg_connections_new(&n->clk);
	p->balance = cg_balance_new(n->settings.instance, n->incarnation);
	cg_docs_add_listener(p->docs, prune_balance, n);
	p->dispatcher = cg_dispatcher_new(p);
	p->claims = cg_claims_new(p->store);
	if (p->timers && p->claims) {
		n->housekeeping.fire = housekeeping;
		housekeeping(&n->housekeeping);
		return 0;
	}
	cg_error("cannot start the threads of the request path");
	return -1;
}

static int start_controllers(struct cg_node *n)
{
	struct cg_proxy *p = &n->proxy;

	if (cg_peer_start(n->peer) || cg_docs_start(p->docs) ||
	    cg_gossip_start(n->gossip) || cg_shards_start(n->shards) ||
	    cg_rates_start(p->rates) || cg_health_start(p->health)) {
		cg_error("cannot start the controllers");
		return -1;
	}
	return 0;
}

static int start_listeners(struct cg_node *n)
{
	n->admin = cg_admin_new(&n->settings.admin, n);
	if (!n->admin) {
		cg_error("cannot listen on the admin address");
		return -1;
	}
	n->proxy.front = cg_front_new(&n->proxy);
	if (!n->proxy.front) {
		cg_error("cannot listen for callers");
		return -1;
	}
	return 0;
}

int cg_node_start(struct cg_node *n)
{
	init_incarnation(n);
	n->proxy.settings = &n->settings;
	n->proxy.clk = &n->clk;
	if (create_controllers(n) || create_request_path(n) ||
	    start_controllers(n) || start_listeners(n))
		return -1;
	cg_info("started, incarnation %" G_GUINT64_FORMAT, n->incarnation);
	return 0;
}

/* Waits until no request runs and no connection is open, or until the timeout.
 * Returns the number of requests that still run. */
static int wait_until_idle(struct cg_node *n, cg_ms timeout)
{
	cg_ms end = cg_clock_now(&n->clk) + timeout;

	while (cg_clock_now(&n->clk) < end) {
		if (atomic_load(&n->proxy.running) == 0 &&
		    cg_front_connections(n->proxy.front) == 0)
			return 0;
		cg_sleep(DRAIN_POLL_MS);
	}
	return atomic_load(&n->proxy.running);
}

void cg_node_drain(struct cg_node *n)
{
	struct cg_proxy *p = &n->proxy;
	int remaining;

	cg_info("shutting down: reporting not ready");
	atomic_store(&p->stopping, true);
	cg_gossip_leave(n->gossip);
	/* Load balancers need this time to see that readiness fails. Meanwhile
	 * every response closes its connection. */
	cg_sleep(n->settings.lame_duck_ms);
	cg_front_quiesce(p->front);
	/* The second wait happens only if a request still runs after the first
	 * one: connections that merely stay open do not prolong the
	 * shutdown. */
	remaining = wait_until_idle(n, n->settings.lame_duck_ms);
	if (remaining > 0)
		remaining = wait_until_idle(n, n->settings.drain_max_ms);
	if (remaining > 0)
		cg_warning("shutting down while %d requests are running",
			   remaining);
	/* The shard map changes first: ledgers are sent to the owners that it
	 * names, which saves those a survey of all members. */
	if (cg_shards_hand_over_all(n->shards, HANDOVER_TIMEOUT_MS))
		cg_warning("could not hand over all shards");
	cg_rates_stop(p->rates);
	cg_info("shutdown complete");
}

void cg_node_stop(struct cg_node *n)
{
	struct cg_proxy *p = &n->proxy;

	cg_front_free(p->front);
	cg_admin_free(n->admin);
	if (p->dispatcher)
		cg_dispatcher_free(p->dispatcher);
	cg_claims_free(p->claims);
	/* Timer functions use the controllers, so the timers are stopped
	 * first. */
	cg_timers_free(p->timers);
	if (n->peer) {
		cg_health_stop(p->health);
		cg_rates_stop(p->rates);
		cg_shards_stop(n->shards);
		cg_gossip_stop(n->gossip);
		cg_docs_stop(p->docs);
		cg_peer_free(n->peer);
		cg_health_free(p->health);
		cg_rates_free(p->rates);
		cg_shards_free(n->shards);
		cg_gossip_free(n->gossip);
		cg_notices_free(p->notices);
		cg_docs_free(p->docs);
		cg_members_free(n->members);
		cg_store_free(p->store);
	}
	if (p->balance)
		cg_balance_free(p->balance);
	cg_connections_free(p->connections);
}
