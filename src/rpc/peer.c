#define CG_PART "peer"
#include "internal/peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "celeryglade/counters.h"
#include "internal/logging.h"
#include "peer_wire.h"

/* Large enough for the largest body, the RPC and envelope headers and the
 * MAC. */
#define DATAGRAM_SIZE	     8192
#define SUBMIT_THREADS	     4
#define SUBMIT_QUEUE_MAX     4096
#define RESEND_AFTER_MS	     250
#define SERVER_POLL_MS	     200
#define REPLY_STATUS_OK	     0
#define REPLY_STATUS_REFUSED 1
/* Bytes that the counters add to the body of a message: the RPC header, the
 * fixed fields of the envelope or reply, and the MAC. The sender's name is not
 * counted. */
#define CALL_OVERHEAD_BYTES  100
#define REPLY_OVERHEAD_BYTES 64

struct peer_job {
	struct sockaddr_in to;
	enum cg_msg_kind kind;
	GByteArray *body;
	cg_ms timeout;
	cg_peer_done done;
	void *arg;
};

struct cg_peer {
	char instance[CG_NAME_MAX + 1];
	uint64_t incarnation;
	GBytes *secret;
	_Atomic uint64_t sequence;
	cg_peer_handler handler;
	void *handler_arg;
	int fd;
	SVCXPRT *xprt;
	pthread_t server;
	bool server_running;
	_Atomic bool stopping;
	GAsyncQueue *jobs;
	pthread_t workers[SUBMIT_THREADS];
	int worker_count;
};

/* libtirpc passes no user argument to a dispatch function, so the transport is
 * looked up by its SVCXPRT. A daemon has one transport, tests have a few. */
#define MAX_TRANSPORTS 64
static pthread_mutex_t transports_lock = PTHREAD_MUTEX_INITIALIZER;
static struct cg_peer *transports[MAX_TRANSPORTS];

static struct cg_peer *find_transport(const SVCXPRT *xprt)
{
	struct cg_peer *found = NULL;

	pthread_mutex_lock(&transports_lock);
	for (int i = 0; i < MAX_TRANSPORTS && !found; i++)
		if (transports[i] && transports[i]->xprt == xprt)
			found = transports[i];
	pthread_mutex_unlock(&transports_lock);
	return found;
}

static int replace_transport(struct cg_peer *from, struct cg_peer *to)
{
	int rc = -1;

	pthread_mutex_lock(&transports_lock);
	for (int i = 0; i < MAX_TRANSPORTS && rc; i++) {
		if (transports[i] == from) {
			transports[i] = to;
			rc = 0;
		}
	}
	pthread_mutex_unlock(&transports_lock);
	return rc;
}

int cg_xdr_encode(xdrproc_t proc, const void *obj, GByteArray *out)
{
	char buf[DATAGRAM_SIZE];
	XDR x;
	int rc = -1;

	xdrmem_create(&x, buf, sizeof(buf), XDR_ENCODE);
	if (proc(&x, (void *)obj)) {
		g_byte_array_append(out, (guint8 *)buf, xdr_getpos(&x));
		rc = 0;
	}
	xdr_destroy(&x);
	return rc;
}

int cg_xdr_decode(xdrproc_t proc, const void *data, size_t len, void *obj,
		  size_t size)
{
	XDR x;
	int rc = 0;

	memset(obj, 0, size);
	xdrmem_create(&x, (char *)data, (u_int)len, XDR_DECODE);
	if (!proc(&x, obj) || xdr_getpos(&x) != len) {
		xdr_free(proc, obj);
		memset(obj, 0, size);
		rc = -1;
	}
	xdr_destroy(&x);
	return rc;
}

static GHmac *mac_begin(struct cg_peer *p)
{
	gsize len;
	const guint8 *key = g_bytes_get_data(p->secret, &len);

	return g_hmac_new(G_CHECKSUM_SHA256, key, len);
}

static void mac_add_u64(GHmac *h, uint64_t v)
{
	uint64_t be = GUINT64_TO_BE(v);

	g_hmac_update(h, (guint8 *)&be, sizeof(be));
}

static void mac_end(GHmac *h, char out[CG_X_MAC_SIZE])
{
	gsize len = CG_X_MAC_SIZE;

	g_hmac_get_digest(h, (guint8 *)out, &len);
	g_hmac_unref(h);
}

/* Each variable-length field is preceded by its length, so that two different
 * messages never result in the same MAC input. The first byte distinguishes
 * requests from replies. */
static void mac_request(struct cg_peer *p, const cg_x_envelope *e,
			char out[CG_X_MAC_SIZE])
{
	GHmac *h = mac_begin(p);
	size_t n = strlen(e->sender);

	g_hmac_update(h, (const guint8 *)"Q", 1);
	mac_add_u64(h, n);
	g_hmac_update(h, (guint8 *)e->sender, (gssize)n);
	mac_add_u64(h, e->incarnation);
	mac_add_u64(h, e->sequence);
	mac_add_u64(h, e->kind);
	mac_add_u64(h, e->body.body_len);
	g_hmac_update(h, (guint8 *)e->body.body_val, e->body.body_len);
	mac_end(h, out);
}

/* The MAC of a reply covers the sender and the sequence number of the request,
 * so that a reply cannot be replayed as the reply to another call. */
static void mac_reply(struct cg_peer *p, const char *sender,
		      uint64_t incarnation, uint64_t sequence,
		      const cg_x_reply *r, char out[CG_X_MAC_SIZE])
{
	GHmac *h = mac_begin(p);
	size_t n = strlen(sender);

	g_hmac_update(h, (const guint8 *)"R", 1);
	mac_add_u64(h, n);
	g_hmac_update(h, (const guint8 *)sender, (gssize)n);
	mac_add_u64(h, incarnation);
	mac_add_u64(h, sequence);
	mac_add_u64(h, r->status);
	mac_add_u64(h, r->body.body_len);
	g_hmac_update(h, (guint8 *)r->body.body_val, r->body.body_len);
	mac_end(h, out);
}

/* Compares in constant time, so that the duration does not reveal how many
 * bytes of a forged MAC are right. */
static bool mac_equal(const char a[CG_X_MAC_SIZE], const char b[CG_X_MAC_SIZE])
{
	unsigned char diff = 0;

	for (int i = 0; i < CG_X_MAC_SIZE; i++)
		diff |= (unsigned char)(a[i] ^ b[i]);
	return diff == 0;
}

static void handle_envelope(struct cg_peer *p, const struct sockaddr_in *from,
			    const cg_x_envelope *e, cg_x_reply *r)
{
	struct cg_peer_msg msg = {
		.kind = (enum cg_msg_kind)e->kind,
		.sender = e->sender,
		.incarnation = e->incarnation,
		.from = *from,
		.body = (const uint8_t *)e->body.body_val,
		.len = e->body.body_len,
	};
	GByteArray *out = g_byte_array_new();

	r->status = REPLY_STATUS_REFUSED;
	if (!p->handler(p->handler_arg, &msg, out)) {
		if (out->len > CG_X_BODY_MAX)
			abort();
		r->status = REPLY_STATUS_OK;
		r->body.body_len = out->len;
		r->body.body_val = g_memdup2(out->data, out->len);
	} else {
		cg_count(CG_COUNTER_PEER_REFUSED_FORMAT);
	}
	g_byte_array_unref(out);
	mac_reply(p, e->sender, e->incarnation, e->sequence, r, r->mac);
}

static void handle_call(struct cg_peer *p, SVCXPRT *xprt)
{
	cg_x_envelope e = { 0 };
	cg_x_reply r = { 0 };
	char mac[CG_X_MAC_SIZE];
	struct sockaddr_in from = { 0 };

	if (!svc_getargs(xprt, (xdrproc_t)xdr_cg_x_envelope, (caddr_t)&e)) {
		cg_count(CG_COUNTER_PEER_REFUSED_FORMAT);
		svcerr_decode(xprt);
		return;
	}
	cg_count(CG_COUNTER_PEER_CALLS_IN);
	cg_count_add(CG_COUNTER_PEER_BYTES_IN,
		     e.body.body_len + CALL_OVERHEAD_BYTES);
	if (svc_getrpccaller(xprt)->len == sizeof(from))
		memcpy(&from, svc_getrpccaller(xprt)->buf, sizeof(from));
	mac_request(p, &e, mac);
	if (!mac_equal(mac, e.mac)) {
		cg_count(CG_COUNTER_PEER_REFUSED_MAC);
		svcerr_weakauth(xprt);
		goto out;
	}
	if (e.kind == 0 || e.kind >= CG_MSG_KIND_END) {
		cg_count(CG_COUNTER_PEER_REFUSED_FORMAT);
		svcerr_noproc(xprt);
		goto out;
	}
	handle_envelope(p, &from, &e, &r);
	cg_count_add(CG_COUNTER_PEER_BYTES_OUT,
		     r.body.body_len + REPLY_OVERHEAD_BYTES);
	svc_sendreply(xprt, (xdrproc_t)xdr_cg_x_reply, (caddr_t)&r);
	g_free(r.body.body_val);
out:
	svc_freeargs(xprt, (xdrproc_t)xdr_cg_x_envelope, (caddr_t)&e);
}

/* Replaces xdr_void of libtirpc, whose type differs from xdrproc_t. */
static bool_t encode_void(XDR *x, ...)
{
	(void)x;
	return TRUE;
}

static void dispatch(struct svc_req *req, SVCXPRT *xprt)
{
	struct cg_peer *p = find_transport(xprt);

	if (!p || req->rq_proc == NULLPROC)
		svc_sendreply(xprt, encode_void, NULL);
	else if (req->rq_proc == CG_X_CALL)
		handle_call(p, xprt);
	else
		svcerr_noproc(xprt);
}

static void *run_server(void *arg)
{
	struct cg_peer *p = arg;
	struct pollfd pfd = { .fd = p->fd, .events = POLLIN };

	while (!atomic_load(&p->stopping))
		if (poll(&pfd, 1, SERVER_POLL_MS) > 0)
			svc_getreq_common(p->fd);
	return NULL;
}

static void *run_jobs(void *arg)
{
	struct cg_peer *p = arg;

	for (;;) {
		struct peer_job *j = g_async_queue_pop(p->jobs);
		GByteArray *reply;
		int rc;

		/* A job without a callback makes the thread exit. */
		if (!j->done) {
			g_free(j);
			return NULL;
		}
		reply = g_byte_array_new();
		rc = atomic_load(&p->stopping)
			     ? -1
			     : cg_peer_call(p, &j->to, j->kind, j->body->data,
					    j->body->len, j->timeout, reply);
		j->done(j->arg, rc, rc ? NULL : reply);
		g_byte_array_unref(reply);
		g_byte_array_unref(j->body);
		g_free(j);
	}
}

static int bind_socket(const struct sockaddr_in *a)
{
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	/* No SO_REUSEADDR: a second process must not bind the address of one
	 * that is running, because a new incarnation at the same address counts
	 * as proof that the old one has ended. */
	if (bind(fd, (const struct sockaddr *)a, sizeof(*a))) {
		close(fd);
		return -1;
	}
	return fd;
}

struct cg_peer *cg_peer_new(const char *instance, uint64_t incarnation,
			    GBytes *secret, const struct sockaddr_in *bind_to)
{
	struct cg_peer *p = g_new0(struct cg_peer, 1);

	/* The first call of this function allocates libtirpc's shared
	 * credential. If two threads make it at the same time, one of the two
	 * credentials leaks. */
	authnone_create();
	g_strlcpy(p->instance, instance, sizeof(p->instance));
	p->incarnation = incarnation;
	p->secret = g_bytes_ref(secret);
	p->jobs = g_async_queue_new();
	p->fd = -1;
	if (!bind_to)
		return p;
	p->fd = bind_socket(bind_to);
	if (p->fd < 0)
		goto fail;
	p->xprt = svc_dg_create(p->fd, DATAGRAM_SIZE, DATAGRAM_SIZE);
	if (!p->xprt)
		goto fail;
	if (!svc_reg(p->xprt, CG_X_PROGRAM, CG_X_VERSION, dispatch, NULL))
		goto fail;
	return p;
fail:
	cg_peer_free(p);
	return NULL;
}

uint64_t cg_peer_incarnation(const struct cg_peer *p)
{
	return p->incarnation;
}

void cg_peer_set_handler(struct cg_peer *p, cg_peer_handler fn, void *arg)
{
	p->handler = fn;
	p->handler_arg = arg;
}

int cg_peer_start(struct cg_peer *p)
{
	for (; p->worker_count < SUBMIT_THREADS; p->worker_count++)
		if (pthread_create(&p->workers[p->worker_count], NULL, run_jobs,
				   p))
			return -1;
	if (!p->xprt)
		return 0;
	if (replace_transport(NULL, p))
		return -1;
	if (pthread_create(&p->server, NULL, run_server, p))
		return -1;
	p->server_running = true;
	return 0;
}

/* Fails calls that were submitted before the threads started or after they
 * ended. */
static void fail_queued_jobs(struct cg_peer *p)
{
	struct peer_job *j;

	while ((j = g_async_queue_try_pop(p->jobs))) {
		if (j->done) {
			j->done(j->arg, -1, NULL);
			g_byte_array_unref(j->body);
		}
		g_free(j);
	}
}

void cg_peer_free(struct cg_peer *p)
{
	if (!p)
		return;
	atomic_store(&p->stopping, true);
	if (p->server_running)
		pthread_join(p->server, NULL);
	for (int i = 0; i < p->worker_count; i++)
		g_async_queue_push(p->jobs, g_new0(struct peer_job, 1));
	for (int i = 0; i < p->worker_count; i++)
		pthread_join(p->workers[i], NULL);
	fail_queued_jobs(p);
	if (p->xprt) {
		replace_transport(p, NULL);
		svc_destroy(p->xprt);
	} else if (p->fd >= 0) {
		close(p->fd);
	}
	g_async_queue_unref(p->jobs);
	g_bytes_unref(p->secret);
	g_free(p);
}

static CLIENT *new_client(const struct sockaddr_in *to)
{
	struct timeval resend = { .tv_usec = RESEND_AFTER_MS * 1000 };
	struct sockaddr_in addr = *to;
	struct netbuf nb = { .maxlen = sizeof(addr),
			     .len = sizeof(addr),
			     .buf = &addr };
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	CLIENT *c;

	if (fd < 0)
		return NULL;
	c = clnt_dg_create(fd, &nb, CG_X_PROGRAM, CG_X_VERSION, DATAGRAM_SIZE,
			   DATAGRAM_SIZE);
	if (!c) {
		close(fd);
		return NULL;
	}
	clnt_control(c, CLSET_FD_CLOSE, NULL);
	clnt_control(c, CLSET_RETRY_TIMEOUT, (char *)&resend);
	return c;
}

static void fill_envelope(struct cg_peer *p, cg_x_envelope *e,
			  enum cg_msg_kind kind, const void *body, size_t len)
{
	e->sender = p->instance;
	e->incarnation = p->incarnation;
	e->sequence = atomic_fetch_add(&p->sequence, 1) + 1;
	e->kind = kind;
	e->body.body_len = (u_int)len;
	e->body.body_val = (char *)body;
	mac_request(p, e, e->mac);
	cg_count(CG_COUNTER_PEER_CALLS_OUT);
	cg_count_add(CG_COUNTER_PEER_BYTES_OUT, len + CALL_OVERHEAD_BYTES);
}

int cg_peer_call(struct cg_peer *p, const struct sockaddr_in *to,
		 enum cg_msg_kind kind, const void *body, size_t len,
		 cg_ms timeout, GByteArray *reply)
{
	struct timeval tv = { .tv_sec = timeout / 1000,
			      .tv_usec = timeout % 1000 * 1000 };
	cg_x_envelope e;
	cg_x_reply r = { 0 };
	char mac[CG_X_MAC_SIZE];
	enum clnt_stat st;
	CLIENT *c;
	int rc = -1;

	if (len > CG_X_BODY_MAX || timeout <= 0)
		return -1;
	c = new_client(to);
	if (!c)
		return -1;
	fill_envelope(p, &e, kind, body, len);
	st = clnt_call(c, CG_X_CALL, (xdrproc_t)xdr_cg_x_envelope, (caddr_t)&e,
		       (xdrproc_t)xdr_cg_x_reply, (caddr_t)&r, tv);
	if (st != RPC_SUCCESS) {
		if (st == RPC_TIMEDOUT)
			cg_count(CG_COUNTER_PEER_TIMEOUTS);
		goto out;
	}
	mac_reply(p, p->instance, p->incarnation, e.sequence, &r, mac);
	if (!mac_equal(mac, r.mac)) {
		cg_count(CG_COUNTER_PEER_REFUSED_MAC);
		goto out;
	}
	cg_count_add(CG_COUNTER_PEER_BYTES_IN,
		     r.body.body_len + REPLY_OVERHEAD_BYTES);
	if (r.status != REPLY_STATUS_OK)
		goto out;
	if (reply)
		g_byte_array_append(reply, (guint8 *)r.body.body_val,
				    r.body.body_len);
	rc = 0;
out:
	xdr_free((xdrproc_t)xdr_cg_x_reply, (char *)&r);
	clnt_destroy(c);
	return rc;
}

int cg_peer_submit(struct cg_peer *p, const struct sockaddr_in *to,
		   enum cg_msg_kind kind, const void *body, size_t len,
		   cg_ms timeout, cg_peer_done done, void *arg)
{
	struct peer_job *j;

	if (g_async_queue_length(p->jobs) > SUBMIT_QUEUE_MAX)
		return -1;
	j = g_new0(struct peer_job, 1);
	j->to = *to;
	j->kind = kind;
	j->body = g_byte_array_new();
	g_byte_array_append(j->body, body, (guint)len);
	j->timeout = timeout;
	j->done = done;
	j->arg = arg;
	g_async_queue_push(p->jobs, j);
	return 0;
}

static void ignore_reply(void *arg, int rc, const GByteArray *reply)
{
	(void)arg;
	(void)rc;
	(void)reply;
}

/* Waits for a reply that is ignored: with a zero timeout libtirpc would return
 * without sending the message. */
int cg_peer_send(struct cg_peer *p, const struct sockaddr_in *to,
		 enum cg_msg_kind kind, const void *body, size_t len)
{
	return cg_peer_submit(p, to, kind, body, len, RESEND_AFTER_MS,
			      ignore_reply, NULL);
}
