#define CG_PART "upstream"
#include "upstream_private.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* Idle connections kept for an address. A daemon rarely has more concurrent
 * calls to one address. */
#define MAX_IDLE_PER_ADDRESS 4
/* Idle connections are closed after this time, before the backend servers close
 * them after 10 s. */
#define IDLE_LIMIT_MS 8000
#define SWEEP_MS      1000
/* After a response without an id, connections to its server are not reused for
 * this time: on a new connection such a response is known to be the own one. */
#define UNIDENTIFIED_MS 30000

struct idle_list {
	struct cds_list_head head;
	unsigned int n;
};

void cgw_conn_free(struct cgw_conn *c)
{
	if (c->io.fd >= 0) {
		cgw_loop_del(c->client->loop, &c->io);
		close(c->io.fd);
	}
	g_string_free(c->name, TRUE);
	g_string_free(c->value, TRUE);
	g_free(c);
}

static struct idle_list *idle_of(struct cgw_upstream *u, const char *address)
{
	struct idle_list *l = g_hash_table_lookup(u->idle, address);

	if (l)
		return l;
	l = g_new0(struct idle_list, 1);
	CDS_INIT_LIST_HEAD(&l->head);
	g_hash_table_insert(u->idle, g_strdup(address), l);
	return l;
}

void cgw_pool_remove(struct cgw_conn *c)
{
	cds_list_del(&c->node);
	idle_of(c->client, c->address)->n--;
}

static void close_idle_list(struct idle_list *l)
{
	struct cgw_conn *c, *next;

	cds_list_for_each_entry_safe(c, next, &l->head, node) {
		cds_list_del(&c->node);
		cgw_conn_free(c);
	}
	l->n = 0;
}

static cg_ms idle_limit_ms(const struct cgw_conn *c)
{
	return c->keep_alive_ms > 0 && c->keep_alive_ms < IDLE_LIMIT_MS
		       ? c->keep_alive_ms
		       : IDLE_LIMIT_MS;
}

static void sweep(struct cgw_timer *t)
{
	struct cgw_upstream *u =
		caa_container_of(t, struct cgw_upstream, sweep);
	cg_ms now = cgw_loop_now(u->loop);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, u->idle);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct idle_list *l = value;
		struct cgw_conn *c, *next;

		cds_list_for_each_entry_safe(c, next, &l->head, node) {
			if (now - c->last_used < idle_limit_ms(c))
				continue;
			cds_list_del(&c->node);
			l->n--;
			cgw_conn_free(c);
		}
		if (!l->n)
			g_hash_table_iter_remove(&it);
	}
	if (g_hash_table_size(u->idle))
		cgw_timer_arm(u->loop, t, now + SWEEP_MS);
}

static void free_idle_list(void *p)
{
	close_idle_list(p);
	g_free(p);
}

void cgw_pool_init(struct cgw_upstream *u)
{
	u->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					free_idle_list);
	u->unidentified =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	u->sweep.fire = sweep;
}

void cgw_pool_clear(struct cgw_upstream *u)
{
	cgw_timer_cancel(u->loop, &u->sweep);
	g_hash_table_unref(u->idle);
	g_hash_table_unref(u->unidentified);
}

void cgw_upstream_close_idle(struct cgw_upstream *u, const char *address)
{
	g_hash_table_remove(u->idle, address);
}

void cgw_pool_put(struct cgw_conn *c)
{
	struct idle_list *l = idle_of(c->client, c->address);

	if (c->no_reuse || l->n >= MAX_IDLE_PER_ADDRESS) {
		cgw_conn_free(c);
		return;
	}
	c->last_used = cgw_loop_now(c->client->loop);
	cds_list_add(&c->node, &l->head);
	l->n++;
	cgw_loop_change(c->client->loop, &c->io, EPOLLIN | EPOLLRDHUP);
	if (!c->client->sweep.heap_index)
		cgw_timer_arm(c->client->loop, &c->client->sweep,
			      c->last_used + SWEEP_MS);
}

/* Returns whether @call's id was recently sent on the connection: a copy of that
 * response could not be told from the response to @call. */
static bool has_sent_id(const struct cgw_conn *c, const struct cgw_call *call)
{
	guint hash;

	if (!call->id_header)
		return false;
	hash = g_str_hash(call->id);
	for (unsigned int i = 0; i < MIN(c->ids_sent, RECENT_IDS); i++)
		if (c->recent_ids[i] == hash)
			return true;
	return false;
}

void cgw_pool_record_id(struct cgw_conn *c, const struct cgw_call *call)
{
	if (call->id_header)
		c->recent_ids[c->ids_sent++ % RECENT_IDS] =
			g_str_hash(call->id);
}

void cgw_pool_record_unidentified(struct cgw_conn *c)
{
	cg_ms until = cgw_loop_now(c->client->loop) + UNIDENTIFIED_MS;

	g_hash_table_replace(c->client->unidentified, g_strdup(c->address),
			     g_memdup2(&until, sizeof(until)));
}

/* Returns whether responses from @address may come without an id. */
static bool omits_ids(struct cgw_upstream *u, const char *address)
{
	const cg_ms *until = g_hash_table_lookup(u->unidentified, address);

	if (until && *until > cgw_loop_now(u->loop))
		return true;
	if (until)
		g_hash_table_remove(u->unidentified, address);
	return false;
}

static bool has_no_input(const struct cgw_conn *c)
{
	char byte;

	return recv(c->io.fd, &byte, 1, MSG_PEEK) < 0 && errno == EAGAIN;
}

struct cgw_conn *cgw_pool_take(struct cgw_upstream *u,
			       const struct cgw_call *call)
{
	struct idle_list *l = g_hash_table_lookup(u->idle, call->address);
	cg_ms now = cgw_loop_now(u->loop);
	struct cgw_conn *c, *next;

	if (!l || (call->id_header && omits_ids(u, call->address)))
		return NULL;
	cds_list_for_each_entry_safe(c, next, &l->head, node) {
		if (now - c->last_used >= MIN(call->reuse_ms, idle_limit_ms(c)))
			return NULL;
		if (has_sent_id(c, call))
			continue;
		cgw_pool_remove(c);
		if (has_no_input(c))
			return c;
		cgw_conn_free(c);
	}
	return NULL;
}
