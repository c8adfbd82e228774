/* Digests: this daemon's observations, sent to the coordinators. */
#define CG_PART "health"
#include "health_internal.h"

#include <string.h>

#include "internal/logging.h"

/* Maximum size of a digest's body in bytes. With the envelope and the RPC
 * header the datagram stays below 1,200 bytes. */
#define DIGEST_BODY_MAX 1040
/* Digest interval per active service. A digest and its reply cost about 400
 * bytes, and a daemon spends 1,600 bytes per second on them: with up to four
 * active services it sends a digest every second, and the interval grows with
 * the number of services. The interval does not depend on the observations: if
 * digests that contain failures were sent early, they would bias the pooled
 * failure ratio. */
#define INTERVAL_PER_SERVICE_MS 250
#define INTERVAL_MIN_MS		1000
#define INTERVAL_MAX_MS		20000
/* Number of renewals of verdicts within their time to live, so that they do not
 * expire because datagrams are lost. */
#define RENEWALS 4

/* A service's entry in a digest, kept until the reply arrives. */
struct digest_entry {
	char service[CG_NAME_MAX + 1];
	uint64_t epoch;
	uint64_t version;
};

struct batch {
	struct cg_health *h;
	struct sockaddr_in to;
	size_t bytes;
	GArray *services; /* cg_x_health_service */
	GArray *entries; /* struct digest_entry, in the same order */
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

	g_free(s->counts.counts_val);
	g_free(s->service);
}

static void batch_free(gpointer p)
{
	struct batch *b = p;

	g_array_unref(b->services);
	g_array_unref(b->entries);
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
	b->entries = g_array_new(FALSE, TRUE, sizeof(struct digest_entry));
	b->bytes = 8 + sizeof(h->settings->failure_domain) / 4;
	return b;
}

static void handle_service_reply(struct batch *b,
				 const cg_x_health_service_reply *a)
{
	struct cg_health *h = b->h;
	struct health_service *svc = NULL;
	const struct digest_entry *p = NULL;

	for (guint i = 0; i < b->entries->len && !p; i++) {
		p = &g_array_index(b->entries, struct digest_entry, i);
		if (strcmp(p->service, a->service) != 0)
			p = NULL;
	}
	if (p)
		svc = g_hash_table_lookup(h->services, p->service);
	if (!svc)
		return;
	pthread_mutex_lock(&svc->lock);
	verdicts_handle_reply(h, svc, a, p->epoch, p->version, b->sent_at,
			      &b->to);
	pthread_mutex_unlock(&svc->lock);
}

static void digest_done(void *arg, int rc, const GByteArray *reply)
{
	struct batch *b = arg;
	struct cg_health *h = b->h;
	cg_x_health_reply r;

	if (!rc && !cg_xdr_decode((xdrproc_t)xdr_cg_x_health_reply, reply->data,
				  reply->len, &r, sizeof(r))) {
		pthread_rwlock_rdlock(&h->services_lock);
		for (u_int i = 0; i < r.services.services_len; i++)
			handle_service_reply(b, &r.services.services_val[i]);
		pthread_rwlock_unlock(&h->services_lock);
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

static gint64 address_key(const struct sockaddr_in *a)
{
	return (gint64)a->sin_addr.s_addr << 16 | a->sin_port;
}

/* Returns a batch for the owner with room for @p bytes. A full one is sent
 * first. */
static struct batch *get_batch(struct digest_batches *b,
			       const struct sockaddr_in *to, size_t bytes)
{
	gint64 key = address_key(to);
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

static void start_entry(struct digest_batches *b, struct health_service *svc,
			cg_x_health_service *d)
{
	memset(d, 0, sizeof(*d));
	d->service = g_strdup(svc->name);
	d->sequence = ++b->h->sequence;
	d->epoch = svc->held.epoch;
	d->verdict_version = svc->held.version;
	d->counts.counts_val = g_malloc(CG_X_HEALTH_COUNTS);
}

static void finish_entry(struct digest_batches *b, struct health_service *svc,
			 const struct sockaddr_in *to, cg_x_health_service *d,
			 size_t bytes)
{
	struct batch *batch = get_batch(b, to, bytes);
	struct digest_entry p = { .epoch = d->epoch,
				  .version = d->verdict_version };

	g_strlcpy(p.service, svc->name, sizeof(p.service));
	g_array_append_val(batch->services, *d);
	g_array_append_val(batch->entries, p);
	batch->bytes += bytes;
}

/* Encodes and clears the unsent counts of one server. Returns the encoded
 * size. */
static size_t encode_server_counts(struct health_server *s,
				   uint8_t out[CG_COUNTS_ENTRY_MAX])
{
	size_t n = cg_counts_encode(s->id, &s->unsent, out);

	if (n)
		memset(&s->unsent, 0, sizeof(s->unsent));
	return n;
}

static void append_counts(cg_x_health_service *d, const uint8_t *entry,
			  size_t n)
{
	memcpy(d->counts.counts_val + d->counts.counts_len, entry, n);
	d->counts.counts_len += (u_int)n;
}

static void send_to_owner(struct digest_batches *b, struct health_service *svc,
			  const struct sockaddr_in *to, cg_ms now)
{
	uint8_t entry[CG_COUNTS_ENTRY_MAX];
	cg_x_health_service d;
	size_t bytes = service_bytes(svc);

	svc->digest_sent_at = now;
	svc->unsent_count = 0;
	start_entry(b, svc, &d);
	for (size_t i = 0; i < svc->n; i++) {
		size_t n = encode_server_counts(svc->servers[i], entry);

		if (bytes + n > DIGEST_BODY_MAX - 32) {
			finish_entry(b, svc, to, &d, bytes);
			start_entry(b, svc, &d);
			bytes = service_bytes(svc);
		}
		append_counts(&d, entry, n);
		bytes += n;
	}
	finish_entry(b, svc, to, &d, bytes);
}

/* Handles the digest of a service that this daemon coordinates, without a
 * datagram. */
static void report_to_self(struct cg_health *h, struct health_service *svc,
			   cg_ms now)
{
	struct cg_verdict list[CG_X_HEALTH_SERVERS];
	uint8_t entry[CG_COUNTS_ENTRY_MAX];
	cg_x_health_service d = { .sequence = ++h->sequence,
				  .epoch = svc->held.epoch,
				  .verdict_version = svc->held.version };
	cg_x_health_service_reply a = { 0 };
	size_t n;

	if (!svc->coordinator)
		return;
	/* Counts of servers that do not fit are left for the next tick. */
	d.counts.counts_val = g_malloc(CG_X_HEALTH_COUNTS);
	for (size_t i = 0;
	     i < svc->n &&
	     d.counts.counts_len < CG_X_HEALTH_COUNTS - CG_COUNTS_ENTRY_MAX;
	     i++)
		append_counts(&d, entry,
			      encode_server_counts(svc->servers[i], entry));
	coordinator_handle_digest(h, svc, h->settings->instance, 1,
				  h->settings->failure_domain, &d, &a, now);
	verdicts_handle_reply(h, svc, &a, d.epoch, d.verdict_version, now,
			      NULL);
	clear_service(&d);
	n = cg_ejection_verdicts(svc->coordinator, now, list,
				 G_N_ELEMENTS(list));
	verdicts_adopt(h, svc, a.epoch, a.verdict_version, list, n,
		       now + h->settings->verdict_ttl_ms);
}

static bool has_verdicts(const struct health_service *svc, cg_ms now)
{
	return svc->held.n && now < svc->held.until;
}

static cg_ms digest_interval(const struct digest_batches *b,
			     const struct health_service *svc, cg_ms now)
{
	if (svc->digest_every_tick || svc->coordinator)
		return 0;
	if (has_verdicts(svc, now))
		return MIN(b->interval,
			   b->h->settings->verdict_ttl_ms / RENEWALS);
	return b->interval;
}

void digest_service(struct digest_batches *b, struct health_service *svc,
		    cg_ms now)
{
	struct cg_health *h = b->h;
	struct cg_shard_owner owner;

	if (!svc->unsent_count && !has_verdicts(svc, now) && !svc->coordinator)
		return;
	if (now - digest_interval(b, svc, now) < svc->digest_sent_at)
		return;
	if (cg_shards_owner(h->shards, svc->shard, &owner)) {
		/* Without an owner the counts are dropped, so that old ones do
		 * not accumulate. */
		for (size_t i = 0; i < svc->n; i++)
			memset(&svc->servers[i]->unsent, 0,
			       sizeof(svc->servers[i]->unsent));
		svc->unsent_count = 0;
		svc->digest_sent_at = now;
	} else if (owner.self) {
		svc->unsent_count = 0;
		svc->digest_sent_at = now;
		report_to_self(h, svc, now);
	} else {
		send_to_owner(b, svc, &owner.addr, now);
	}
}

void digest_join_batch(struct digest_batches *b, struct health_service *svc,
		       cg_ms now)
{
	struct cg_shard_owner owner;
	gint64 key;

	if (!svc->unsent_count || now - b->interval / 2 < svc->digest_sent_at ||
	    cg_shards_owner(b->h->shards, svc->shard, &owner) || owner.self)
		return;
	key = address_key(&owner.addr);
	if (g_hash_table_contains(b->open, &key))
		send_to_owner(b, svc, &owner.addr, now);
}
