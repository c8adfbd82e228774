/* CG_MSG_GOSSIP, request and reply; at most 1,200 bytes. */
%#include "notice_wire.h"

const CG_X_GOSSIP_NAME_MAX = 63;
const CG_X_GOSSIP_DOC_COUNT = 3;
const CG_X_GOSSIP_NOTICES_MAX = 4;
const CG_X_GOSSIP_AGE_BYTES_MAX = 800;

/* Heartbeat ages of the listed members, sorted by name and starting at index
 * `first`, as 4-bit codes. `set_id` is a hash of the sorted names. */
struct cg_x_heartbeat_ages {
	unsigned hyper set_id;
	unsigned int first;
	unsigned int count;
	opaque codes<CG_X_GOSSIP_AGE_BYTES_MAX>;
};

struct cg_x_gossip {
	string instance<CG_X_GOSSIP_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned int ip;
	unsigned int port;
	string failure_domain<CG_X_GOSSIP_NAME_MAX>;
	string region<CG_X_GOSSIP_NAME_MAX>;
	unsigned hyper versions[CG_X_GOSSIP_DOC_COUNT];
	unsigned hyper fresh_version; /* Root version read fresh_age_ms ago. */
	unsigned int listed_count; /* Size of the list; 0: no list. */
	bool leaving; /* The sender is shutting down and takes no shards. */
	unsigned int fresh_age_ms; /* 0xffffffff: no evidence. */
	cg_x_notice notices<CG_X_GOSSIP_NOTICES_MAX>;
	cg_x_heartbeat_ages ages;
};
