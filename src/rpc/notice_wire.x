/* CG_MSG_NOTICE, also part of gossip messages. kind is an enum
 * cg_notice_kind. */
struct cg_x_notice {
	opaque id[16];
	unsigned int kind;
	string name<63>;
	opaque digest[32];
	unsigned hyper age_ms;
};
