/* Envelope of all messages between the processes of the fleet. */
const CG_X_SENDER_MAX = 63;
const CG_X_BODY_MAX = 7168;
const CG_X_MAC_SIZE = 32;

struct cg_x_envelope {
	string sender<CG_X_SENDER_MAX>;
	unsigned hyper incarnation;
	unsigned hyper sequence;
	unsigned int kind;
	opaque body<CG_X_BODY_MAX>;
	opaque mac[CG_X_MAC_SIZE];
};

struct cg_x_reply {
	unsigned int status;
	opaque body<CG_X_BODY_MAX>;
	opaque mac[CG_X_MAC_SIZE];
};

program CG_X_PROGRAM {
	version CG_X_VERSION {
		cg_x_reply CG_X_CALL(cg_x_envelope) = 1;
	} = 1;
} = 0x20c61ade;
