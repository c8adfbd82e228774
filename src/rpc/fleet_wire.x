/* Datagrams between the daemons of a fleet: who is there, which broker a
 * failure domain follows, slots asked and granted. Each is followed by a
 * message authentication code. */

const FLEET_NAME_MAX = 63;
const FLEET_HOLDS_MAX = 256;
const FLEET_AVOID_MAX = 4;
const FLEET_LIST_MAX = 512;

typedef string fleet_name<FLEET_NAME_MAX>;

struct fleet_hold {
	unsigned hyper id;
	fleet_name server;
	fleet_name route;
	unsigned int age_ms;
	unsigned int left_ms;
};

/* Asks whether a daemon is there and fit to be followed. */
struct fleet_ping {
	unsigned hyper sent_ms; /* sender's clock, echoed */
	bool follows; /* the sender follows the receiver */
	fleet_hold holds<FLEET_HOLDS_MAX>; /* if it follows */
};

struct fleet_pong {
	unsigned hyper echo_ms;
	int fit; /* enum cgw_fitness of the sender */
	unsigned hyper config; /* of its configuration; 0 for none */
	int proof_age_ms; /* since a read of the store began that found
			   * this version the latest; -1 for unknown */
	fleet_name broker; /* whom it follows itself */
};

struct fleet_ask {
	unsigned hyper id;
	fleet_name service;
	fleet_name route;
	fleet_name account;
	unsigned int flags;
	int priority;
	unsigned int objective_ms;
	unsigned int left_ms;
	fleet_name avoid<FLEET_AVOID_MAX>;
};

const FLEET_ASK_SAFE = 1;
const FLEET_ASK_REPEAT = 2;
const FLEET_ASK_CHARGED = 4;
const FLEET_ASK_FOREIGN = 8;
const FLEET_ASK_STAY = 16;

struct fleet_grant {
	unsigned hyper id;
	fleet_name server;
	fleet_name address;
	unsigned int usual_ms;
	unsigned int overdue_ms;
};

struct fleet_refusal {
	unsigned hyper id;
	int reason;
	unsigned int retry_after_ms;
};

struct fleet_elsewhere {
	unsigned hyper id;
	fleet_name domain;
	fleet_name broker; /* IP of that domain's broker */
};

/* The ask has arrived and waits. */
struct fleet_waiting {
	unsigned hyper id;
};

struct fleet_release {
	unsigned hyper id;
	int result;
	unsigned int elapsed_ms;
};

struct fleet_amount {
	fleet_name name;
	int amount;
};

struct fleet_service {
	fleet_name name;
	int free_slots; /* of sound servers */
	unsigned int ejected; /* servers */
};

/* One broker to another domain's: the state of the services there and the
 * demand of client accounts in thousandths of a request per second. */
struct fleet_beat {
	fleet_service services<FLEET_LIST_MAX>;
	fleet_amount demand<FLEET_LIST_MAX>;
};

enum fleet_kind {
	FLEET_PING = 1,
	FLEET_PONG = 2,
	FLEET_ASK = 3,
	FLEET_GRANT = 4,
	FLEET_REFUSAL = 5,
	FLEET_ELSEWHERE = 6,
	FLEET_WAITING = 7,
	FLEET_RELEASE = 8,
	FLEET_BEAT = 9
};

union fleet_body switch (fleet_kind kind) {
case FLEET_PING:
	fleet_ping ping;
case FLEET_PONG:
	fleet_pong pong;
case FLEET_ASK:
	fleet_ask ask;
case FLEET_GRANT:
	fleet_grant grant;
case FLEET_REFUSAL:
	fleet_refusal refusal;
case FLEET_ELSEWHERE:
	fleet_elsewhere elsewhere;
case FLEET_WAITING:
	fleet_waiting waiting;
case FLEET_RELEASE:
	fleet_release release;
case FLEET_BEAT:
	fleet_beat beat;
};

struct fleet_message {
	fleet_name name; /* sender */
	fleet_name domain; /* sender's failure domain */
	unsigned hyper incarnation; /* of the sender's process */
	fleet_body body;
};
