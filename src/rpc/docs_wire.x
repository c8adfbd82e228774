/* CG_MSG_GET_DOC and CG_MSG_GET_PART: content in chunks of at most 6 KB. Sizes
 * are in bytes. */
const CG_X_DOC_CHUNK_MAX = 6144;
const CG_X_DOC_DIGEST_SIZE = 32;

struct cg_x_doc_request {
	unsigned int doc;
	unsigned hyper content_version; /* 0: the current version. */
	unsigned int offset;
};

/* Version 0 means that the peer has no copy of that version. */
struct cg_x_doc_chunk {
	unsigned hyper content_version;
	unsigned hyper store_version;
	unsigned int total;
	opaque digest[CG_X_DOC_DIGEST_SIZE]; /* SHA-256 of the whole content. */
	opaque chunk<CG_X_DOC_CHUNK_MAX>;
};

struct cg_x_part_request {
	opaque digest[CG_X_DOC_DIGEST_SIZE];
	unsigned int offset;
};

/* A total of 0 means that the peer does not have the part. */
struct cg_x_part_chunk {
	unsigned int total;
	opaque chunk<CG_X_DOC_CHUNK_MAX>;
};
