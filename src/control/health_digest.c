/* Digests: what this daemon saw, sent to the coordinators. */
#define CG_PART "health"
#include "health_internal.h"

#include <string.h>

#include "internal/logging.h"

/* With the envelope and the RPC header the datagram stays under 1,200 bytes. */
#define DIGEST_BODY_MAX 1040
/* A digest and its reply cost about 400 bytes, of which a daemon spends 1,600
 * a second: with up to four active services a digest goes every second, and
 * the interval grows with their number. It does not depend on what was seen:
 * digests sent early because they hold failures would bias the pooled ratio. */
#define INTERVAL_PER_SERVICE_MS 250
#define INTERVAL_MIN_MS		1000
#define INTERVAL_MAX_MS		15000
/* Verdicts are renewed so often within their time to live, so that lost
 * datagrams do not end them. */
#define RENEWALS 4

/* A service in a digest, as remembered until its reply. */
struct piece {
	char service[CG_NAME_MAX + 1];
	uint64_t epoch;
	uint64_t version;
};

struct batch {
	struct cg_health *h;
	struct sockaddr_in to;
	size_t bytes;
	GArray *services; /* cg_x_health_service */
	GArray *pieces; /* struct piece, in the same order */
	cg_ms sent_at;
};

struct digest_batches {
	struct cg_health *h;
	GHashTable *open; /* Address and port -> struct batch. */
	cg_ms interval;
};

static void clear_service(gpointer p)
{
	cg_x_health_service *s = p;

	for (u_int i = 0; i < s->servers.servers_len; i++)
		g_free(s->servers.servers_val[i].cells.cells_val);
	g_free(s->servers.servers_val);
	g_free(s->service);
}

static void batch_free(gpointer p)
{
	struct batch *b = p;

	g_array_unref(b->services);
	g_array_unref(b->pieces);
	g_free(b);
}

static struct batch *batch_new(struct cg_health *h,
			       const struct sockaddr_in *to)
{
	struct batch *b = g_new0(struct batch, 1);

	b->h = h;
	b->to = *to;
	b->services = g_array_new(FALSE, TRUE, sizeof(cg_x_health_service));
	g_array_set_clear_func(b->services, clear_service);
	b->pieces = g_array_new(FALSE, TRUE, sizeof(struct piece));
	b->bytes = 8 + sizeof(h->settings->failure_domain) / 4;
	return b;
}

static void answer_piece(struct batch *b, const cg_x_health_answer *a)
{
	struct cg_health *h = b->h;
	struct health_service *svc = NULL;
	const struct piece *p = NULL;

	for (guint i = 0; i < b->pieces->len && !p; i++) {
		p = &g_array_index(b->pieces, struct piece, i);
		if (strcmp(p->service, a->service) != 0)
			p = NULL;
	}
	if (p)
		svc = g_hash_table_lookup(h->services, p->service);
	if (!svc)
		return;
	pthread_mutex_lock(&svc->lock);
	verdicts_answer(h, svc, a, p->epoch, p->version, b->sent_at, &b->to);
	pthread_mutex_unlock(&svc->lock);
}

static void digest_done(void *arg, int rc, const GByteArray *reply)
{
	struct batch *b = arg;
	struct cg_health *h = b->h;
	cg_x_health_reply r;

	if (!rc && !cg_xdr_decode((xdrproc_t)xdr_cg_x_health_reply, reply->data,
				  reply->len, &r, sizeof(r))) {
		pthread_rwlock_rdlock(&h->table);
		for (u_int i = 0; i < r.services.services_len; i++)
			answer_piece(b, &r.services.services_val[i]);
		pthread_rwlock_unlock(&h->table);
		xdr_free((xdrproc_t)xdr_cg_x_health_reply, (char *)&r);
	}
	batch_free(b);
	health_call_done(h);
}

static void batch_send(struct batch *b)
{
	struct cg_health *h = b->h;
	cg_x_health_digest d = {
		.failure_domain = (char *)h->settings->failure_domain,
		.services.services_len = b->services->len,
		.services.services_val =
			(cg_x_health_service *)b->services->data,
	};
	GByteArray *body = g_byte_array_new();

	b->sent_at = cg_clock_now(h->clk);
	if (cg_xdr_encode((xdrproc_t)xdr_cg_x_health_digest, &d, body) ||
	    health_call(h, &b->to, CG_MSG_HEALTH_DIGEST, body, digest_done, b))
		batch_free(b);
	g_byte_array_unref(body);
}

struct digest_batches *digest_begin(struct cg_health *h)
{
	struct digest_batches *b = g_new0(struct digest_batches, 1);

	b->h = h;
	b->open = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					NULL);
	b->interval = CLAMP((cg_ms)h->active_services * INTERVAL_PER_SERVICE_MS,
			    INTERVAL_MIN_MS, INTERVAL_MAX_MS);
	return b;
}

void digest_end(struct digest_batches *b)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, b->open);
	while (g_hash_table_iter_next(&it, NULL, &v))
		batch_send(v);
	g_hash_table_unref(b->open);
	g_free(b);
}

/* Returns the owner's open batch with room for @p bytes. */
static struct batch *batch_for(struct digest_batches *b,
			       const struct sockaddr_in *to, size_t bytes)
{
	gint64 key = (gint64)to->sin_addr.s_addr << 16 | to->sin_port;
	struct batch *open = g_hash_table_lookup(b->open, &key);
	gint64 *stored;

	if (open && (open->bytes + bytes > DIGEST_BODY_MAX ||
		     open->services->len == CG_X_HEALTH_SERVICES)) {
		batch_send(open);
		open = NULL;
	}
	if (!open) {
		open = batch_new(b->h, to);
		stored = g_new(gint64, 1);
		*stored = key;
		g_hash_table_replace(b->open, stored, open);
	}
	return open;
}

static size_t service_bytes(const struct health_service *svc)
{
	return 4 + (strlen(svc->name) + 3) / 4 * 4 + 8 + 8 + 8 + 4;
}

static void start_piece(struct digest_batches *b, struct health_service *svc,
			cg_x_health_service *d)
{
	memset(d, 0, sizeof(*d));
	d->service = g_strdup(svc->name);
	d->sequence = ++b->h->sequence;
	d->epoch = svc->held.epoch;
	d->verdict_version = svc->held.version;
	d->servers.servers_val = g_new0(cg_x_health_server, svc->n + 1);
}

static void finish_piece(struct digest_batches *b, struct health_service *svc,
			 const struct sockaddr_in *to, cg_x_health_service *d,
			 size_t bytes)
{
	struct batch *batch = batch_for(b, to, bytes);
	struct piece p = { .epoch = d->epoch, .version = d->verdict_version };

	g_strlcpy(p.service, svc->name, sizeof(p.service));
	g_array_append_val(batch->services, *d);
	g_array_append_val(batch->pieces, p);
	batch->bytes += bytes;
}

/* Takes the unsent counts of one server; returns their encoded size. */
static size_t take_server(struct health_server *s, cg_x_health_server *x)
{
	uint8_t buf[CG_X_HEALTH_CELLS];
	size_t n = cg_sample_pack(&s->unsent, buf, sizeof(buf));

	if (!n)
		return 0;
	memset(&s->unsent, 0, sizeof(s->unsent));
	x->server = s->id;
	x->cells.cells_len = (u_int)n;
	x->cells.cells_val = g_memdup2(buf, n);
	return 8 + (n + 3) / 4 * 4;
}

static void send_to_owner(struct digest_batches *b, struct health_service *svc,
			  const struct sockaddr_in *to)
{
	cg_x_health_service d;
	size_t bytes = service_bytes(svc);

	start_piece(b, svc, &d);
	for (size_t i = 0; i < svc->n; i++) {
		cg_x_health_server x;
		size_t n = take_server(svc->servers[i], &x);

		if (!n)
			continue;
		if (bytes + n > DIGEST_BODY_MAX - 32) {
			finish_piece(b, svc, to, &d, bytes);
			start_piece(b, svc, &d);
			bytes = service_bytes(svc);
		}
		d.servers.servers_val[d.servers.servers_len++] = x;
		bytes += n;
	}
	finish_piece(b, svc, to, &d, bytes);
}

/* The owner's own counts and verdicts take no datagram. */
static void give_to_self(struct cg_health *h, struct health_service *svc,
			 cg_ms now)
{
	struct cg_verdict list[CG_X_HEALTH_SERVERS];
	cg_x_health_service d = { .sequence = ++h->sequence,
				  .epoch = svc->held.epoch,
				  .verdict_version = svc->held.version };
	cg_x_health_answer a = { 0 };
	size_t n;

	if (!svc->coordinator)
		return;
	d.servers.servers_val = g_new0(cg_x_health_server, svc->n + 1);
	for (size_t i = 0; i < svc->n; i++) {
		cg_x_health_server *x =
			&d.servers.servers_val[d.servers.servers_len];

		if (take_server(svc->servers[i], x))
			d.servers.servers_len++;
	}
	coordinator_digest(h, svc, h->settings->instance, 1,
			   h->settings->failure_domain, &d, &a, now);
	verdicts_answer(h, svc, &a, d.epoch, d.verdict_version, now, NULL);
	clear_service(&d);
	n = cg_ejection_verdicts(svc->coordinator, now, list,
				 G_N_ELEMENTS(list));
	verdicts_adopt(h, svc, a.epoch, a.verdict_version, list, n,
		       now + h->settings->verdict_ttl_ms);
}

void digest_service(struct digest_batches *b, struct health_service *svc,
		    cg_ms now)
{
	struct cg_health *h = b->h;
	struct cg_shard_owner owner;
	bool holds = svc->held.n && now < svc->held.until;
	cg_ms interval = b->interval;

	if (!svc->unsent && !holds && !svc->coordinator)
		return;
	if (holds)
		interval =
			MIN(interval, h->settings->verdict_ttl_ms / RENEWALS);
	if (!svc->watch && !svc->coordinator &&
	    now - interval < svc->contact_at)
		return;
	svc->contact_at = now;
	svc->unsent = 0;
	if (cg_shards_owner(h->shards, svc->shard, &owner)) {
		/* Nobody to tell: old counts must not pile up. */
		for (size_t i = 0; i < svc->n; i++)
			memset(&svc->servers[i]->unsent, 0,
			       sizeof(svc->servers[i]->unsent));
		return;
	}
	if (owner.self)
		give_to_self(h, svc, now);
	else
		send_to_owner(b, svc, &owner.addr);
}
