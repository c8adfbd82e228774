/* CG_MSG_RATE_TOKEN_REQUEST and CG_MSG_RATE_RETURN are about several accounts
 * of one coordinator, CG_MSG_RATE_SURVEY and CG_MSG_SHARD_HANDOVER about one
 * shard. */
const CG_X_RATE_NAME_MAX = 63;
/* With the longest names, a message stays below CG_X_BODY_MAX. */
const CG_X_RATE_ITEMS = 48;
const CG_X_RATE_PAGE_ITEMS = 18;

struct cg_x_rate_share {
	hyper refill_right;
	hyper capacity;
	hyper tokens;
};

struct cg_x_rate_session_state {
	unsigned hyper session;
	unsigned int number;
	cg_x_rate_share released;
};

union cg_x_rate_holding_state switch (bool in_session) {
case TRUE:
	cg_x_rate_session_state state;
case FALSE:
	unsigned hyper refused_up_to;
};

struct cg_x_rate_token_request {
	string account<CG_X_RATE_NAME_MAX>;
	unsigned int demand;
	unsigned int need;
	bool final;
	cg_x_rate_holding_state holding;
};

/* The address that the holder's process has bound. */
struct cg_x_rate_token_requests {
	unsigned int ip;
	unsigned int port;
	cg_x_rate_token_request items<CG_X_RATE_ITEMS>;
};

struct cg_x_rate_target {
	hyper refill_right;
	hyper capacity;
};

union cg_x_rate_decrease switch (bool requested) {
case TRUE:
	cg_x_rate_target target;
case FALSE:
	void;
};

struct cg_x_rate_grant {
	unsigned hyper session;
	unsigned int number;
	cg_x_rate_share granted;
	unsigned int lease_ms;
	cg_x_rate_decrease decrease;
};

/* status is an enum cg_rate_status: 0 is CG_RATE_STATUS_OK, 3 is
 * CG_RATE_STATUS_CLOSED. */
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

/* In the order of the token requests. */
struct cg_x_rate_answers {
	cg_x_rate_answer items<CG_X_RATE_ITEMS>;
};

struct cg_x_rate_survey {
	unsigned int shard;
	unsigned hyper epoch;
	string after<CG_X_RATE_NAME_MAX>; /* Only accounts after this name. */
};

struct cg_x_rate_survey_item {
	string account<CG_X_RATE_NAME_MAX>;
	cg_x_rate_share granted;
	cg_x_rate_share released;
};

struct cg_x_rate_survey_answer {
	string instance<CG_X_RATE_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned int ip;
	unsigned int port;
	bool more;
	cg_x_rate_survey_item items<CG_X_RATE_ITEMS>;
};

struct cg_x_rate_pool {
	string account<CG_X_RATE_NAME_MAX>;
	hyper tokens;
};

struct cg_x_rate_record {
	string account<CG_X_RATE_NAME_MAX>;
	string instance<CG_X_RATE_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned int ip;
	unsigned int port;
	unsigned hyper session;
	unsigned int number;
	cg_x_rate_share granted;
	cg_x_rate_share released;
	hyper withheld;
	hyper lease_remaining_ms; /* -1: no time limit. */
	unsigned int demand;
};

struct cg_x_rate_handover {
	unsigned int shard;
	unsigned hyper epoch;
	unsigned int page;
	unsigned int pages;
	hyper active_ms; /* Age of the ledger; -1: its pools start full. */
	cg_x_rate_pool pools<CG_X_RATE_PAGE_ITEMS>;
	cg_x_rate_record records<CG_X_RATE_PAGE_ITEMS>;
};

struct cg_x_rate_handover_answer {
	bool accepted;
};
