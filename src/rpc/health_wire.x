/* CG_MSG_HEALTH_DIGEST and CG_MSG_GET_VERDICTS. Servers are identified by
 * cg_server_id(). Counts are entries of cg_counts_encode(): as XDR structures,
 * 5 of 12 bytes of a typical entry would be padding. */
const CG_X_HEALTH_NAME = 63;
const CG_X_HEALTH_COUNTS = 6144;
const CG_X_HEALTH_SERVERS = 512;
const CG_X_HEALTH_SERVICES = 64;

struct cg_x_health_service {
	string service<CG_X_HEALTH_NAME>;
	unsigned hyper sequence;
	unsigned hyper epoch;
	unsigned hyper verdict_version;
	opaque counts<CG_X_HEALTH_COUNTS>;
};

struct cg_x_health_digest {
	string failure_domain<CG_X_HEALTH_NAME>;
	cg_x_health_service services<CG_X_HEALTH_SERVICES>;
};

struct cg_x_health_service_reply {
	string service<CG_X_HEALTH_NAME>;
	unsigned hyper epoch;
	unsigned hyper verdict_version;
	unsigned int reference_millionths;
	bool digest_every_tick;
};

struct cg_x_health_reply {
	cg_x_health_service_reply services<CG_X_HEALTH_SERVICES>;
};

/* FETCH requests the verdicts from the coordinator. With SURVEY a new
 * coordinator, whose epoch is in the request, requests the verdicts that the
 * receiver holds. With HINT the coordinator reports that a server was ejected,
 * and the receiver fetches the verdicts. */
enum cg_x_verdicts_mode {
	CG_X_VERDICTS_FETCH = 0,
	CG_X_VERDICTS_SURVEY = 1,
	CG_X_VERDICTS_HINT = 2
};

struct cg_x_verdicts_request {
	string service<CG_X_HEALTH_NAME>;
	string failure_domain<CG_X_HEALTH_NAME>;
	unsigned hyper epoch;
	cg_x_verdicts_mode mode;
};

/* phase is an enum cg_server_phase; share is in thousandths. */
struct cg_x_verdict {
	unsigned int server;
	unsigned int phase;
	unsigned int share;
	unsigned int consecutive_ejections;
	unsigned int remaining_ms;
	bool any_method;
};

struct cg_x_verdicts_reply {
	unsigned hyper epoch;
	unsigned hyper verdict_version;
	cg_x_verdict verdicts<CG_X_HEALTH_SERVERS>;
};
