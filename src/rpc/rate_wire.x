/* CG_MSG_RATE_TOKEN_REQUEST, CG_MSG_RATE_RETURN: several accounts of one coordinator.
 * CG_MSG_RATE_SURVEY and CG_MSG_SHARD_HANDOVER: one shard. */
const CG_X_RATE_NAME = 63;
/* Bounds a message below CG_X_BODY_MAX with the longest names. */
const CG_X_RATE_ITEMS = 48;
const CG_X_RATE_PAGE = 18;

struct cg_x_rate_share {
	hyper right;
	hyper cap;
	hyper tokens;
};

struct cg_x_rate_position {
	unsigned hyper session;
	unsigned int number;
	cg_x_rate_share released;
};

union cg_x_rate_where switch (bool in_session) {
case TRUE:
	cg_x_rate_position at;
case FALSE:
	unsigned hyper past_session;
};

struct cg_x_rate_ask {
	string account<CG_X_RATE_NAME>;
	unsigned int demand;
	unsigned int need;
	bool final;
	cg_x_rate_where where;
};

/* The address is the one that the holder's process has bound. */
struct cg_x_rate_asks {
	unsigned int ip;
	unsigned int port;
	cg_x_rate_ask items<CG_X_RATE_ITEMS>;
};

struct cg_x_rate_keep {
	hyper right;
	hyper cap;
};

union cg_x_rate_advice switch (bool lower) {
case TRUE:
	cg_x_rate_keep keep;
case FALSE:
	void;
};

struct cg_x_rate_grant {
	unsigned hyper session;
	unsigned int number;
	cg_x_rate_share granted;
	unsigned int lease_ms;
	cg_x_rate_advice advice;
};

union cg_x_rate_result switch (unsigned int status) {
case 0:
	cg_x_rate_grant grant;
case 3:
	unsigned hyper session;
default:
	void;
};

struct cg_x_rate_answer {
	unsigned int retry_ms;
	cg_x_rate_result result;
};

/* In the order of the asks. */
struct cg_x_rate_answers {
	cg_x_rate_answer items<CG_X_RATE_ITEMS>;
};

struct cg_x_rate_survey {
	unsigned int shard;
	unsigned hyper epoch;
	string after<CG_X_RATE_NAME>;
};

struct cg_x_rate_held {
	string account<CG_X_RATE_NAME>;
	cg_x_rate_share granted;
	cg_x_rate_share released;
};

struct cg_x_rate_surveyed {
	string instance<CG_X_RATE_NAME>;
	unsigned hyper incarnation;
	unsigned int ip;
	unsigned int port;
	bool more;
	cg_x_rate_held items<CG_X_RATE_ITEMS>;
};

struct cg_x_rate_pool {
	string account<CG_X_RATE_NAME>;
	hyper tokens;
};

struct cg_x_rate_record {
	string account<CG_X_RATE_NAME>;
	string instance<CG_X_RATE_NAME>;
	unsigned hyper incarnation;
	unsigned int ip;
	unsigned int port;
	unsigned hyper session;
	unsigned int number;
	cg_x_rate_share granted;
	cg_x_rate_share released;
	hyper withheld;
	hyper lease_left_ms;
	unsigned int demand;
};

struct cg_x_rate_handover {
	unsigned int shard;
	unsigned hyper epoch;
	unsigned int page;
	unsigned int pages;
	hyper active_ms;
	cg_x_rate_pool pools<CG_X_RATE_PAGE>;
	cg_x_rate_record records<CG_X_RATE_PAGE>;
};

struct cg_x_rate_handed {
	bool accepted;
};
