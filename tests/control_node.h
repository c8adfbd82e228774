/**
 * @file control_node.h
 * Runs the control plane of one daemon with real transports. For tests and
 * benchmarks that run several of them on the loopback interface.
 */
#ifndef CELERYGLADE_TESTS_CONTROL_NODE_H
#define CELERYGLADE_TESTS_CONTROL_NODE_H

#include "fake_config.h"
#include "internal/gossip.h"
#include "internal/notices.h"
#include "internal/shards.h"
#include "internal/trust.h"

struct control_node {
	struct cg_settings set;
	uint64_t incarnation;
	struct cg_clock clk;
	struct cg_store *store;
	struct cg_peer *peer;
	struct cg_members *members;
	struct cg_docs *docs;
	struct cg_notices *notices;
	struct cg_shards *shards;
	struct cg_gossip *gossip;
	/** Refuses all messages, as if the network lost them. */
	_Atomic bool refuse_all;
	/** Refuses messages from the instance with this name. */
	const char *_Atomic refused_sender;
	_Atomic bool running;
};

static inline void node_settings(struct cg_settings *s, const char *name,
				 const char *domain, uint16_t port,
				 uint16_t store_port)
{
	memset(s, 0, sizeof(*s));
	g_strlcpy(s->instance, name, sizeof(s->instance));
	g_strlcpy(s->failure_domain, domain, sizeof(s->failure_domain));
	g_strlcpy(s->region, "r1", sizeof(s->region));
	s->peer.sin_family = AF_INET;
	s->peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->peer.sin_port = htons(port);
	s->store_url = g_strdup_printf("http://127.0.0.1:%u", store_port);
	s->fleet_secret = g_bytes_new("secret", 6);
	s->gossip_ms = 500;
	s->poll_ms = 10000;
	s->key_isolation_ms = 5000;
	s->gone_confirm_ms = 10000;
}

static inline int node_handle(void *arg, const struct cg_peer_msg *msg,
			      GByteArray *reply)
{
	struct control_node *n = arg;
	const char *refused = n->refused_sender;

	if (n->refuse_all || (refused && !strcmp(refused, msg->sender)))
		return -1;
	switch (msg->kind) {
	case CG_MSG_GOSSIP:
		return cg_gossip_handle(n->gossip, msg, reply);
	case CG_MSG_GET_DOC:
	case CG_MSG_GET_PART:
		return cg_docs_handle(n->docs, msg, reply);
	case CG_MSG_NOTICE:
		return cg_notices_handle(n->notices, msg, reply);
	default:
		return -1;
	}
}

/** Creates the modules; n->set and n->incarnation must be set. Returns 0 or
 * -1. */
static inline int node_init(struct control_node *n)
{
	cg_clock_init_boot(&n->clk);
	n->store = cg_store_new(n->set.store_url, 2);
	n->peer = cg_peer_new(n->set.instance, n->incarnation,
			      n->set.fleet_secret, &n->set.peer);
	if (!n->store || !n->peer)
		return -1;
	n->members = cg_members_new(&n->set, n->incarnation, &n->clk);
	n->docs = cg_docs_new(&n->set, &n->clk, n->store, n->peer, n->members);
	n->notices = cg_notices_new(&n->clk, n->peer, n->members, n->docs);
	n->shards = cg_shards_new(&n->set, n->incarnation, &n->clk, n->store,
				  n->docs, n->members);
	n->gossip = cg_gossip_new(&n->set, &n->clk, n->peer, n->members,
				  n->docs, n->notices);
	cg_docs_add_listener(n->docs, cg_shards_on_doc, n->shards);
	cg_docs_add_listener(n->docs, cg_notices_on_doc, n->notices);
	cg_docs_add_listener(n->docs, cg_gossip_on_doc, n->gossip);
	cg_peer_set_handler(n->peer, node_handle, n);
	return 0;
}

static inline int node_start(struct control_node *n, bool with_shards)
{
	if (cg_peer_start(n->peer) || cg_docs_start(n->docs) ||
	    cg_gossip_start(n->gossip))
		return -1;
	if (with_shards && cg_shards_start(n->shards))
		return -1;
	n->running = true;
	return 0;
}

/** Stops the threads and frees the modules and settings. */
static inline void node_stop(struct control_node *n)
{
	if (n->gossip)
		cg_gossip_stop(n->gossip);
	if (n->shards)
		cg_shards_stop(n->shards);
	if (n->docs)
		cg_docs_stop(n->docs);
	cg_peer_free(n->peer);
	cg_gossip_free(n->gossip);
	cg_shards_free(n->shards);
	cg_notices_free(n->notices);
	cg_docs_free(n->docs);
	cg_members_free(n->members);
	cg_store_free(n->store);
	g_free(n->set.store_url);
	if (n->set.fleet_secret)
		g_bytes_unref(n->set.fleet_secret);
	memset(n, 0, sizeof(*n));
}

/** Waits up to @p ms until @p test is true; returns its last value. */
#define node_wait(test, ms)                                                    \
	({                                                                     \
		cg_ms left_ = (ms);                                            \
		while (!(test) && left_ > 0) {                                 \
			cg_sleep(20);                                          \
			left_ -= 20;                                           \
		}                                                              \
		(test);                                                        \
	})

#endif
