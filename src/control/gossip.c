#define CG_PART "gossip"
#include "internal/gossip.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "gossip_wire.h"
#include "internal/logging.h"
#include "internal/wait.h"

/* Each thread calls one random member per period and waits for its reply, so
 * that an unreachable member delays neither the other threads nor the calls of
 * other modules. */
#define GOSSIP_THREADS	  3
#define LEAVE_MEMBERS_MAX 1024
#define PUSH_MEMBERS	  4
#define PUSH_LAST_SEEN_MS 10000
#define FRESH_AGE_NONE	  UINT32_MAX

struct cg_gossip {
	const struct cg_settings *settings;
	struct cg_clock *clk;
	struct cg_peer *peer;
	struct cg_members *members;
	struct cg_docs *docs;
	struct cg_notices *notices;
	_Atomic size_t next_age; /* Index of the first age in the next reply. */
	pthread_mutex_t lock;
	pthread_cond_t wake;
	bool stopping;
	pthread_t threads[GOSSIP_THREADS];
	int thread_count;
};

struct cg_gossip *cg_gossip_new(const struct cg_settings *s,
				struct cg_clock *clk, struct cg_peer *peer,
				struct cg_members *members,
				struct cg_docs *docs,
				struct cg_notices *notices)
{
	struct cg_gossip *g = g_new0(struct cg_gossip, 1);

	g->settings = s;
	g->clk = clk;
	g->peer = peer;
	g->members = members;
	g->docs = docs;
	g->notices = notices;
	pthread_mutex_init(&g->lock, NULL);
	cg_cond_init(&g->wake);
	return g;
}

void cg_gossip_free(struct cg_gossip *g)
{
	if (!g)
		return;
	pthread_cond_destroy(&g->wake);
	pthread_mutex_destroy(&g->lock);
	g_free(g);
}

/* Adds the evidence of freshness, which only replies carry: the age in a
 * request would be too low if the request waited in a socket buffer. */
static void add_freshness(struct cg_gossip *g, cg_x_gossip *x)
{
	uint64_t version;
	cg_ms at;
	cg_ms age;

	x->fresh_age_ms = FRESH_AGE_NONE;
	if (cg_docs_freshness_evidence(g->docs, &version, &at))
		return;
	age = MAX(cg_clock_now(g->clk) - at, 0);
	if (age >= FRESH_AGE_NONE)
		return;
	x->fresh_version = version;
	x->fresh_age_ms = (uint32_t)age;
}

/* Fills the rest of the message with heartbeat ages. If the ages of the whole
 * fleet do not fit, successive replies carry successive ranges of it. */
static void add_ages(struct cg_gossip *g, cg_x_gossip *x, size_t space,
		     uint8_t *codes)
{
	size_t listed = cg_members_listed_count(g->members);
	size_t max = MIN(space, CG_X_GOSSIP_AGE_BYTES_MAX);
	size_t first = 0;
	size_t count;
	uint64_t set = 0;

	if (!listed || !max)
		return;
	if (listed > max * 2)
		first = atomic_fetch_add(&g->next_age, max * 2) % listed;
	count = cg_members_encode_ages(g->members, first, codes, max, &set);
	x->ages.set_id = set;
	x->ages.first = (u_int)first;
	x->ages.count = (u_int)count;
	x->ages.codes.codes_len = (u_int)((count + 1) / 2);
	x->ages.codes.codes_val = (char *)codes;
}

static int build_message(struct cg_gossip *g, bool reply, GByteArray *out)
{
	uint8_t codes[CG_X_GOSSIP_AGE_BYTES_MAX];
	cg_x_notice notices[CG_X_GOSSIP_NOTICES_MAX];
	struct cg_member self;
	cg_x_gossip x = { 0 };
	size_t count;
	int rc;

	cg_members_self(g->members, &self);
	x.instance = self.name;
	x.incarnation = self.incarnation;
	x.ip = ntohl(self.addr.sin_addr.s_addr);
	x.port = ntohs(self.addr.sin_port);
	x.failure_domain = self.failure_domain;
	x.region = self.region;
	for (int i = 0; i < CG_DOC_COUNT; i++)
		x.versions[i] = cg_docs_version(g->docs, (enum cg_doc)i);
	x.leaving = self.leaving;
	x.listed_count = (u_int)cg_members_listed_count(g->members);
	x.fresh_age_ms = FRESH_AGE_NONE;
	count = cg_notices_collect(g->notices, notices,
				   CG_X_GOSSIP_NOTICES_MAX);
	x.notices.notices_val = notices;
	x.notices.notices_len = (u_int)count;
	if (reply) {
		size_t encoded = xdr_sizeof((xdrproc_t)xdr_cg_x_gossip, &x);

		add_freshness(g, &x);
		if (encoded + 4 < CG_GOSSIP_MAX_BODY)
			add_ages(g, &x, CG_GOSSIP_MAX_BODY - encoded - 4,
				 codes);
	}
	rc = cg_xdr_encode((xdrproc_t)xdr_cg_x_gossip, &x, out);
	for (size_t i = 0; i < count; i++)
		xdr_free((xdrproc_t)xdr_cg_x_notice, (char *)&notices[i]);
	return rc;
}

static void sender_to_member(const cg_x_gossip *x, struct cg_member *sender)
{
	memset(sender, 0, sizeof(*sender));
	g_strlcpy(sender->name, x->instance, sizeof(sender->name));
	sender->incarnation = x->incarnation;
	sender->leaving = x->leaving;
	sender->addr.sin_family = AF_INET;
	sender->addr.sin_addr.s_addr = htonl(x->ip);
	sender->addr.sin_port = htons((uint16_t)x->port);
	g_strlcpy(sender->failure_domain, x->failure_domain,
		  sizeof(sender->failure_domain));
	g_strlcpy(sender->region, x->region, sizeof(sender->region));
}

/* Applies the contents that are valid regardless of the message's age. */
static void apply_states(struct cg_gossip *g, const cg_x_gossip *x,
			 cg_ms proven_at)
{
	struct cg_member sender;

	sender_to_member(x, &sender);
	cg_members_record_contact(g->members, &sender, proven_at);
	cg_members_record_peer_list_size(g->members, x->listed_count);
	for (int i = 0; i < CG_DOC_COUNT; i++)
		cg_docs_record_offer(g->docs, (enum cg_doc)i, x->versions[i],
				     &sender.addr);
	for (u_int i = 0; i < x->notices.notices_len; i++)
		cg_notices_merge(g->notices, &x->notices.notices_val[i]);
}

static void apply_reply_ages(struct cg_gossip *g, const cg_x_gossip *x,
			     cg_ms sent_at)
{
	if (x->fresh_age_ms != FRESH_AGE_NONE)
		cg_docs_record_freshness(g->docs, x->fresh_version,
					 sent_at - x->fresh_age_ms);
	if (x->ages.codes.codes_len >= (x->ages.count + 1) / 2)
		cg_members_merge_ages(g->members, x->ages.set_id, x->ages.first,
				      x->ages.count,
				      (uint8_t *)x->ages.codes.codes_val,
				      sent_at);
}

static bool is_self(struct cg_gossip *g, const cg_x_gossip *x)
{
	return !strcmp(x->instance, g->settings->instance);
}

int cg_gossip_handle(struct cg_gossip *g, const struct cg_peer_msg *msg,
		     GByteArray *reply)
{
	cg_x_gossip x;
	int rc = -1;

	if (msg->kind != CG_MSG_GOSSIP ||
	    cg_xdr_decode((xdrproc_t)xdr_cg_x_gossip, msg->body, msg->len, &x,
			  sizeof(x)))
		return -1;
	if (strcmp(x.instance, msg->sender) != 0 ||
	    x.incarnation != msg->incarnation || is_self(g, &x))
		goto out;
	apply_states(g, &x, CG_NEVER_SEEN);
	rc = build_message(g, true, reply);
out:
	xdr_free((xdrproc_t)xdr_cg_x_gossip, (char *)&x);
	return rc;
}

static void call_member(struct cg_gossip *g, const struct sockaddr_in *to)
{
	GByteArray *body = g_byte_array_new();
	GByteArray *reply = g_byte_array_new();
	cg_ms sent_at = cg_clock_now(g->clk);
	cg_x_gossip x;

	if (build_message(g, false, body) ||
	    cg_peer_call(g->peer, to, CG_MSG_GOSSIP, body->data, body->len,
			 g->settings->gossip_ms, reply) ||
	    cg_xdr_decode((xdrproc_t)xdr_cg_x_gossip, reply->data, reply->len,
			  &x, sizeof(x)))
		goto out;
	if (!is_self(g, &x)) {
		apply_states(g, &x, sent_at);
		apply_reply_ages(g, &x, sent_at);
	}
	xdr_free((xdrproc_t)xdr_cg_x_gossip, (char *)&x);
out:
	g_byte_array_unref(body);
	g_byte_array_unref(reply);
}

/* Chooses a random member, or a random seed while no member is known. Returns
 * false if there is neither. */
static bool choose_target(struct cg_gossip *g, struct sockaddr_in *to)
{
	const struct cg_settings *s = g->settings;
	struct cg_member m;

	if (cg_members_pick_random(g->members, 1, CG_MS_NEVER, &m)) {
		*to = m.addr;
		return true;
	}
	if (!s->seed_count)
		return false;
	*to = s->seeds[g_random_int_range(0, (gint32)s->seed_count)];
	return true;
}

/* Waits for @p ms of real time. Returns false if gossip is stopping. */
static bool wait_or_stop(struct cg_gossip *g, cg_ms ms)
{
	struct timespec ts = cg_wait_deadline(ms);
	bool running;

	pthread_mutex_lock(&g->lock);
	while (!g->stopping && !pthread_cond_timedwait(&g->wake, &g->lock, &ts))
		;
	running = !g->stopping;
	pthread_mutex_unlock(&g->lock);
	return running;
}

static void *run_gossip_thread(void *arg)
{
	struct cg_gossip *g = arg;
	cg_ms period = g->settings->gossip_ms;
	struct cg_clock real;

	cg_clock_init_boot(&real);
	while (wait_or_stop(g, g_random_int_range(0, (gint32)period) / 4 +
				       period / 8)) {
		cg_ms start = cg_clock_now(&real);
		struct sockaddr_in to;
		cg_ms took;

		if (choose_target(g, &to))
			call_member(g, &to);
		took = cg_clock_now(&real) - start;
		if (!wait_or_stop(g, MAX(period * 3 / 4 - took, 0)))
			break;
	}
	return NULL;
}

int cg_gossip_start(struct cg_gossip *g)
{
	for (; g->thread_count < GOSSIP_THREADS; g->thread_count++)
		if (pthread_create(&g->threads[g->thread_count], NULL,
				   run_gossip_thread, g))
			return -1;
	return 0;
}

void cg_gossip_stop(struct cg_gossip *g)
{
	pthread_mutex_lock(&g->lock);
	g->stopping = true;
	pthread_cond_broadcast(&g->wake);
	pthread_mutex_unlock(&g->lock);
	while (g->thread_count > 0)
		pthread_join(g->threads[--g->thread_count], NULL);
}

void cg_gossip_on_doc(void *arg, enum cg_doc doc, uint64_t version,
		      GBytes *content)
{
	struct cg_gossip *g = arg;
	struct cg_member to[PUSH_MEMBERS];
	GByteArray *body = g_byte_array_new();
	size_t n = 0;

	(void)doc;
	(void)version;
	(void)content;
	if (!build_message(g, false, body))
		n = cg_members_pick_random(g->members, PUSH_MEMBERS,
					   PUSH_LAST_SEEN_MS, to);
	for (size_t i = 0; i < n; i++)
		cg_peer_send(g->peer, &to[i].addr, CG_MSG_GOSSIP, body->data,
			     body->len);
	g_byte_array_unref(body);
}

/* The leaving flag is sent to all members at once and is part of each later
 * message. A member that missed it could assign shards to a process that is
 * ending. */
void cg_gossip_leave(struct cg_gossip *g)
{
	struct cg_member *to = g_new(struct cg_member, LEAVE_MEMBERS_MAX);
	GByteArray *body = g_byte_array_new();
	size_t n = 0;

	cg_members_mark_leaving(g->members);
	if (!build_message(g, false, body))
		n = cg_members_copy(g->members, to, LEAVE_MEMBERS_MAX);
	for (size_t i = 0; i < n; i++)
		cg_peer_send(g->peer, &to[i].addr, CG_MSG_GOSSIP, body->data,
			     body->len);
	g_byte_array_unref(body);
	g_free(to);
}
