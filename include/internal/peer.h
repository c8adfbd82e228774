/**
 * @file peer.h
 * Authenticated calls between the processes of the fleet: ONC RPC over UDP with
 * one envelope for all kinds of messages and an HMAC-SHA256 with the fleet's
 * secret. The transport resends lost datagrams, so a call may be executed twice
 * and the handlers of all kinds must be idempotent.
 */
#ifndef CELERYGLADE_INTERNAL_PEER_H
#define CELERYGLADE_INTERNAL_PEER_H

#include <glib.h>
#include <netinet/in.h>
#include <rpc/rpc.h>

#include "celeryglade/clock.h"
#include "celeryglade/config.h"

/** Largest body of a request or reply in bytes; datagrams hold about 8 KB. */
#define CG_PEER_MAX_BODY 7168

enum cg_msg_kind {
	CG_MSG_GOSSIP = 1,
	CG_MSG_GET_DOC,
	CG_MSG_GET_PART,
	CG_MSG_RATE_TOKEN_REQUEST,
	CG_MSG_RATE_RETURN,
	CG_MSG_RATE_SURVEY,
	CG_MSG_SHARD_HANDOVER,
	CG_MSG_HEALTH_DIGEST,
	CG_MSG_GET_VERDICTS,
	CG_MSG_NOTICE,
	CG_MSG_STATUS,
	CG_MSG_KIND_END,
};

/** An authenticated message as passed to a handler. */
struct cg_peer_msg {
	enum cg_msg_kind kind;
	const char *sender; /**< Instance name of the sender. */
	uint64_t incarnation; /**< Of the sending process. */
	struct sockaddr_in from;
	const uint8_t *body;
	size_t len;
};

/**
 * Handles one message in the RPC server thread; must not block. Appends the
 * reply's body to @p reply. Returns 0, or -1 to refuse the message.
 */
typedef int (*cg_peer_handler)(void *arg, const struct cg_peer_msg *msg,
			       GByteArray *reply);

/** Receives the result of a submitted call: 0 or -1 in @p rc. @p reply is NULL
 * on failure and belongs to the transport. */
typedef void (*cg_peer_done)(void *arg, int rc, const GByteArray *reply);

struct cg_peer;

/**
 * Creates a transport for @p instance. With @p bind_to it serves calls on that
 * address once started; with NULL it only makes calls. Returns NULL if the
 * address cannot be bound. The caller owns the result; the secret is
 * referenced.
 */
struct cg_peer *cg_peer_new(const char *instance, uint64_t incarnation,
			    GBytes *secret, const struct sockaddr_in *bind_to);

/** Returns the incarnation that the transport sends with each message. */
uint64_t cg_peer_incarnation(const struct cg_peer *p);

/** Sets the handler for all kinds of messages. Call before cg_peer_start. */
void cg_peer_set_handler(struct cg_peer *p, cg_peer_handler fn, void *arg);

/** Starts the server thread and the threads for submitted calls. Returns 0 or
 * -1. */
int cg_peer_start(struct cg_peer *p);

/** Stops the threads and frees the transport. */
void cg_peer_free(struct cg_peer *p);

/**
 * Calls @p to and waits for the reply for at most @p timeout ms. Returns 0 with
 * the body of the reply appended to @p reply, which may be NULL; or -1 on any
 * failure, including a refusal by the peer and a reply whose MAC does not match
 * this call.
 */
int cg_peer_call(struct cg_peer *p, const struct sockaddr_in *to,
		 enum cg_msg_kind kind, const void *body, size_t len,
		 cg_ms timeout, GByteArray *reply);

/** Queues a message to be sent once by the transport's threads; the reply is
 * ignored. Returns 0, or -1 if the queue is full. */
int cg_peer_send(struct cg_peer *p, const struct sockaddr_in *to,
		 enum cg_msg_kind kind, const void *body, size_t len);

/**
 * Queues a call for the transport's threads, where @p done runs exactly once.
 * cg_peer_free fails the calls that are still queued; their @p done runs in
 * those threads or in the thread that calls cg_peer_free. Copies the body.
 * Returns -1, without running @p done, if the queue is full.
 */
int cg_peer_submit(struct cg_peer *p, const struct sockaddr_in *to,
		   enum cg_msg_kind kind, const void *body, size_t len,
		   cg_ms timeout, cg_peer_done done, void *arg);

/** Appends the XDR encoding of @p obj to @p out. Returns 0 or -1. */
int cg_xdr_encode(xdrproc_t proc, const void *obj, GByteArray *out);

/**
 * Decodes @p len bytes into @p obj of @p size bytes, which is zeroed first.
 * Fails unless all bytes are used. Returns 0, and the caller frees the contents
 * with xdr_free, or -1 with nothing to free.
 */
int cg_xdr_decode(xdrproc_t proc, const void *data, size_t len, void *obj,
		  size_t size);

#endif
