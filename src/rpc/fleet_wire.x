/* Fields marked "since version" end their message. An older daemon ignores
 * them, and a message of one is read as if they were 0 or empty. */

/* Datagrams between the daemons of a fleet: liveness and choice of the broker
 * of a failure domain, slot requests and their decisions, and the state that
 * the brokers of the domains send each other. Each datagram is followed by a
 * message authentication code. */

const FLEET_NAME_MAX = 63;
const FLEET_HELD_SLOTS_MAX = 256;
const FLEET_AVOID_MAX = 4;
const FLEET_LIST_MAX = 512;
const FLEET_SERVERS_MAX = 100000;

typedef string fleet_name<FLEET_NAME_MAX>;

struct fleet_held_slot {
	unsigned hyper id;
	fleet_name server;
	fleet_name route;
	unsigned int age_ms;
	unsigned int remaining_ms; /* until the caller's deadline */
};

/* Checks whether a daemon is alive and how eligible it is to lead. */
struct fleet_ping {
	unsigned hyper sent_ms; /* sender's clock, echoed in the pong */
	bool follows; /* the sender follows the receiver */
	fleet_held_slot held_slots<FLEET_HELD_SLOTS_MAX>; /* if it follows */
	/* Since version 2: */
	unsigned hyper config_version; /* of the sender; 0 for none */
	unsigned int capacity; /* of the sender's machine */
};

const FLEET_EVACUATION_UNKNOWN = 0;
const FLEET_EVACUATION_NONE = 1;
const FLEET_EVACUATION_ASKED = 2;

struct fleet_pong {
	unsigned hyper echo_ms; /* sent_ms of the ping */
	int eligibility; /* enum cgw_eligibility of the sender */
	unsigned hyper config_version; /* of the sender; 0 for none */
	int proof_age_ms; /* time since the start of a read of the store that
			   * found this version to be the latest; -1 if
			   * unknown */
	fleet_name broker; /* that the sender follows */
	/* Since version 2: */
	unsigned int capacity; /* of the sender's machine; more leads first */
	unsigned int broker_ip; /* 0 if unknown */
	/* Daemon of the domain that hands on this configuration; 0 if the
	 * receiver must read it from the store. */
	unsigned int config_source_ip;
	unsigned int domain_daemons; /* that follow the sender, and itself */
	/* Since version 5: whether the sender's domain is evacuated. */
	int evacuation; /* FLEET_EVACUATION_* */
	unsigned int evacuation_age_ms; /* since the start of that read */
	unsigned hyper store_era; /* highest known to the sender; 0 for none */
	/* The sender leads, and its last list of the fleet lacks the
	 * receiver. */
	bool unlisted;
};

struct fleet_slot_request {
	unsigned hyper id;
	fleet_name service;
	fleet_name route;
	fleet_name account;
	unsigned int flags; /* FLEET_REQUEST_* */
	int priority;
	unsigned int objective_ms;
	unsigned int remaining_ms; /* until the caller's deadline */
	fleet_name avoid<FLEET_AVOID_MAX>; /* servers */
	/* Since version 5, for the estimate of the work: */
	unsigned int method; /* enum cgw_work_method; 0 if unknown */
	unsigned int size_class; /* of the body */
	unsigned int shape; /* hash of the path's form */
};

const FLEET_REQUEST_IDEMPOTENT = 1;
const FLEET_REQUEST_RETRY = 2;
/* Already charged to the account's rate, or to the retry budget. */
const FLEET_REQUEST_CHARGED = 4;
/* From another domain: grant or refuse at once. */
const FLEET_REQUEST_CROSS_DOMAIN = 8;
/* No other domain had a free slot. */
const FLEET_REQUEST_NO_REDIRECT = 16;

struct fleet_grant {
	unsigned hyper id;
	fleet_name server;
	fleet_name address;
	unsigned int typical_latency_ms;
	unsigned int overdue_ms;
	/* Since version 3: */
	unsigned hyper started_wall_ms; /* of the server */
};

struct fleet_refusal {
	unsigned hyper id;
	int reason; /* enum cg_reason */
	unsigned int retry_after_ms;
};

/* The sender of the request must send it to the broker of another domain. */
struct fleet_redirect {
	unsigned hyper id;
	fleet_name domain;
	fleet_name broker; /* IP address of that domain's broker */
};

/* The slot request has arrived and waits for a decision. */
struct fleet_waiting {
	unsigned hyper id;
	/* Since version 4: the account's rate or the retry budget is charged. */
	bool charged;
};

struct fleet_release {
	unsigned hyper id;
	int result; /* enum cgw_result */
	unsigned int elapsed_ms;
	/* Since version 3: what the server said of itself. */
	fleet_name server;
	unsigned hyper started_wall_ms; /* of the server */
	unsigned int rest_ms; /* time for which it wants no requests */
	bool leaving;
};

struct fleet_account_demand {
	fleet_name account;
	int demand_milli; /* thousandths of a request per second */
};

struct fleet_service {
	fleet_name name;
	int free_slots; /* of healthy servers, less waiting requests */
	unsigned int ejected; /* servers */
};

/* What became of the requests for a service in the last two seconds. */
struct fleet_outcome {
	fleet_name name;
	unsigned int requests;
	unsigned int unserved;
};

/* A backend server in a list that is handed on. */
struct fleet_server {
	fleet_name id;
	fleet_name service;
	fleet_name address;
	fleet_name domain;
	unsigned int slots;
	unsigned hyper started_wall_ms;
	unsigned int warmup_remaining_ms;
	bool leaving;
};

/* A server that drains or has left, as its last entry in the store said. */
struct fleet_departure {
	fleet_name id;
	unsigned hyper started_wall_ms;
	unsigned hyper seq;
	unsigned hyper store_era; /* of that entry */
	bool gone; /* the entry was removed */
};

struct fleet_servers {
	fleet_server servers<FLEET_SERVERS_MAX>;
	unsigned hyper store_era; /* of the list; 0 if unknown */
	unsigned hyper seqs<FLEET_SERVERS_MAX>; /* of the servers' entries */
	fleet_departure departures<FLEET_SERVERS_MAX>;
};

/* What a broker has learnt of the work of requests. */
const FLEET_WORK_MAX = 1024;
const FLEET_WORK_RATIOS_MAX = 64;

struct fleet_work_entry {
	unsigned hyper key; /* hash of the class of requests */
	unsigned int mean_us;
	unsigned int weight_milli; /* thousandths of a sample */
};

struct fleet_work_route {
	fleet_work_entry entry;
	/* Spread of work over its estimate, in parts of the largest. */
	opaque ratios<FLEET_WORK_RATIOS_MAX>;
	unsigned int ratios_milli; /* samples, in thousandths */
};

/* Mean logarithm of a server's or service's time over its estimate. */
struct fleet_work_speed {
	fleet_name name;
	bool is_service;
	int log_ratio_milli;
	unsigned int weight_milli;
};

struct fleet_work {
	fleet_work_route routes<FLEET_WORK_MAX>;
	fleet_work_entry entries<FLEET_WORK_MAX>;
	fleet_work_speed speeds<FLEET_WORK_MAX>;
};

/* The share of a client account's rate that the sender's domain holds, in
 * millionths, what the receiver's domain reported last of its own, and the totals
 * that the sender's domain has given to the receiver's and received from it. */
struct fleet_account_share {
	fleet_name account;
	int share;
	int receiver_share;
	unsigned hyper given;
	unsigned hyper received;
};

/* When the sender last received a heartbeat of a domain. */
struct fleet_contact {
	fleet_name domain;
	unsigned int age_ms;
};

/* Sent by a broker to the broker of another domain: the state of the services
 * in the sender's domain and its demand per client account. */
struct fleet_heartbeat {
	fleet_service services<FLEET_LIST_MAX>;
	fleet_account_demand demand<FLEET_LIST_MAX>;
	fleet_outcome outcomes<FLEET_LIST_MAX>; /* since version 2 */
	/* Since version 5: */
	fleet_account_share shares<FLEET_LIST_MAX>;
	fleet_contact contacts<FLEET_LIST_MAX>;
	/* The sender knows the totals between the two domains. */
	bool has_totals;
	/* Daemons that follow the sender, itself included; 0 if unknown. */
	unsigned int followers;
	/* The sender's domain is evacuated. */
	bool evacuated;
};

enum fleet_kind {
	FLEET_PING = 1,
	FLEET_PONG = 2,
	FLEET_SLOT_REQUEST = 3,
	FLEET_GRANT = 4,
	FLEET_REFUSAL = 5,
	FLEET_REDIRECT = 6,
	FLEET_WAITING = 7,
	FLEET_RELEASE = 8,
	FLEET_HEARTBEAT = 9
};

union fleet_body switch (fleet_kind kind) {
case FLEET_PING:
	fleet_ping ping;
case FLEET_PONG:
	fleet_pong pong;
case FLEET_SLOT_REQUEST:
	fleet_slot_request slot_request;
case FLEET_GRANT:
	fleet_grant grant;
case FLEET_REFUSAL:
	fleet_refusal refusal;
case FLEET_REDIRECT:
	fleet_redirect redirect;
case FLEET_WAITING:
	fleet_waiting waiting;
case FLEET_RELEASE:
	fleet_release release;
case FLEET_HEARTBEAT:
	fleet_heartbeat heartbeat;
};

struct fleet_message {
	fleet_name name; /* sender */
	fleet_name domain; /* sender's failure domain */
	unsigned hyper incarnation; /* of the sender's process */
	fleet_body body;
};
