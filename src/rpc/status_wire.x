/* CG_MSG_STATUS: a status query by celerygladectl. The reply is JSON text in
 * pages; `total` is its size in bytes. */
const CG_X_STATUS_NAME_MAX = 63;
const CG_X_STATUS_PAGE_MAX = 6144;

struct cg_x_status_request {
	string what<CG_X_STATUS_NAME_MAX>;
	string name<CG_X_STATUS_NAME_MAX>;
	unsigned int offset;
};

struct cg_x_status_reply {
	unsigned int total;
	opaque page<CG_X_STATUS_PAGE_MAX>;
};
