#include "internal/rates.h"

#include <json-c/json.h>

/* A fixed equal split over the members; the coordinated split follows. */

struct bucket {
	int64_t milli;
	cg_ms at;
};

struct cg_rates {
	struct cg_clock *clk;
	struct cg_members *members;
	GMutex lock;
	GHashTable *buckets;
};

struct cg_rates *cg_rates_new(const struct cg_settings *s, struct cg_clock *clk,
			      struct cg_peer *peer, struct cg_members *members,
			      struct cg_shards *shards, struct cg_docs *docs)
{
	struct cg_rates *r = g_new0(struct cg_rates, 1);

	(void)s;
	(void)peer;
	(void)shards;
	(void)docs;
	r->clk = clk;
	r->members = members;
	g_mutex_init(&r->lock);
	r->buckets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return r;
}

int cg_rates_start(struct cg_rates *r)
{
	(void)r;
	return 0;
}

void cg_rates_stop(struct cg_rates *r)
{
	(void)r;
}

void cg_rates_free(struct cg_rates *r)
{
	g_hash_table_destroy(r->buckets);
	g_mutex_clear(&r->lock);
	g_free(r);
}

int cg_rates_handle(struct cg_rates *r, const struct cg_peer_msg *msg,
		    GByteArray *reply)
{
	(void)r;
	(void)msg;
	(void)reply;
	return -1;
}

static struct bucket *get_bucket(struct cg_rates *r, const struct cg_account *a,
				 int64_t burst, cg_ms now)
{
	struct bucket *b = g_hash_table_lookup(r->buckets, a->name);

	if (b)
		return b;
	b = g_new0(struct bucket, 1);
	b->milli = burst;
	b->at = now;
	g_hash_table_insert(r->buckets, g_strdup(a->name), b);
	return b;
}

enum cg_rate_result cg_rates_take(struct cg_rates *r,
				  const struct cg_account *a,
				  struct cg_rate_waiter *w)
{
	int64_t n = (int64_t)cg_members_count(r->members);
	int64_t burst = a->burst_milli / n;
	cg_ms now = cg_clock_now(r->clk);
	enum cg_rate_result res = CG_RATE_REFUSED;
	struct bucket *b;

	(void)w;
	g_mutex_lock(&r->lock);
	b = get_bucket(r, a, burst, now);
	b->milli += a->rate_milli / n * MIN(now - b->at, 60000) / 1000;
	b->at = now;
	if (b->milli > burst)
		b->milli = burst;
	if (b->milli >= 1000) {
		b->milli -= 1000;
		res = CG_RATE_ADMITTED;
	}
	g_mutex_unlock(&r->lock);
	return res;
}

struct json_object *cg_rates_status(struct cg_rates *r, const char *account)
{
	(void)r;
	(void)account;
	return json_object_new_object();
}
