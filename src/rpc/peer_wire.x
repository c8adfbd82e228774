/* Envelope of every message between the fleet's processes. */
const CG_X_NAME = 63;
const CG_X_BODY = 7168;
const CG_X_MAC = 32;

struct cg_x_envelope {
	string sender<CG_X_NAME>;
	unsigned hyper incarnation;
	unsigned hyper sequence;
	unsigned int kind;
	opaque body<CG_X_BODY>;
	opaque mac[CG_X_MAC];
};

struct cg_x_reply {
	unsigned int status;
	opaque body<CG_X_BODY>;
	opaque mac[CG_X_MAC];
};

program CG_X_PROGRAM {
	version CG_X_VERSION {
		cg_x_reply CG_X_CALL(cg_x_envelope) = 1;
	} = 1;
} = 0x20c61ade;
