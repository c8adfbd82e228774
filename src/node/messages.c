#include "internal/node.h"

int cg_node_handle(void *arg, const struct cg_peer_msg *msg, GByteArray *reply)
{
	struct cg_node *n = arg;

	switch (msg->kind) {
	case CG_MSG_GOSSIP:
		return cg_gossip_handle(n->gossip, msg, reply);
	case CG_MSG_GET_DOC:
	case CG_MSG_GET_PART:
		return cg_docs_handle(n->proxy.docs, msg, reply);
	case CG_MSG_RATE_TOKEN_REQUEST:
	case CG_MSG_RATE_RETURN:
	case CG_MSG_RATE_SURVEY:
	case CG_MSG_SHARD_HANDOVER:
		return cg_rates_handle(n->proxy.rates, msg, reply);
	case CG_MSG_HEALTH_DIGEST:
	case CG_MSG_GET_VERDICTS:
		return cg_health_handle(n->proxy.health, msg, reply);
	case CG_MSG_NOTICE:
		return cg_notices_handle(n->proxy.notices, msg, reply);
	case CG_MSG_STATUS:
		return cg_status_handle(n, msg, reply);
	case CG_MSG_KIND_END:
		break;
	}
	return -1;
}
