#define CG_PART "connections"
#include "internal/connections.h"

#include "celeryglade/counters.h"
#include "internal/connection_private.h"
#include "internal/logging.h"

/* Shorter than the idle timeout of common HTTP servers, so that a server rarely
 * closes a connection that is about to be reused. */
#define IDLE_TIMEOUT_MS 4000
/* One daemon keeps at most 1/64 of the connections that a server accepts idle,
 * within the bounds below, so that 48 daemons leave a reserve for new
 * connections. */
#define CONNECTION_SHARE_DIVISOR 64
#define IDLE_CONNECTIONS_MIN	 2
#define IDLE_CONNECTIONS_MAX	 16

/* Idle connections to one server. */
struct server_pool {
	char key[160];
	struct cds_list_head idle; /* Most recently used first. */
	uint32_t idle_count;
	uint32_t idle_max;
	/* Connections opened at or before this time are not used. */
	cg_ms condemned_up_to;
};

struct cg_connections {
	struct cg_clock *clk;
	pthread_mutex_t lock;
	GHashTable *pools;
};

static void free_connection(struct cg_connection *conn)
{
	ne_session_destroy(conn->session);
	g_free(conn);
}

static void free_pool(void *p)
{
	struct server_pool *pool = p;
	struct cg_connection *c, *next;

	cds_list_for_each_entry_safe(c, next, &pool->idle, node)
		free_connection(c);
	g_free(pool);
}

struct cg_connections *cg_connections_new(struct cg_clock *clk)
{
	struct cg_connections *c = g_new0(struct cg_connections, 1);

	c->clk = clk;
	pthread_mutex_init(&c->lock, NULL);
	c->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	return c;
}

void cg_connections_free(struct cg_connections *c)
{
	if (!c)
		return;
	g_hash_table_destroy(c->pools);
	pthread_mutex_destroy(&c->lock);
	g_free(c);
}

static uint32_t idle_limit(const struct cg_server *srv)
{
	uint32_t n = srv->connections / CONNECTION_SHARE_DIVISOR;

	if (n < IDLE_CONNECTIONS_MIN)
		return IDLE_CONNECTIONS_MIN;
	return n > IDLE_CONNECTIONS_MAX ? IDLE_CONNECTIONS_MAX : n;
}

/* The key contains the address, so that a server whose address changes gets a
 * new pool. */
static struct server_pool *get_pool(struct cg_connections *c,
				    const struct cg_server *srv)
{
	char key[160];
	struct server_pool *p;

	g_snprintf(key, sizeof(key), "%s %s:%u", srv->name, srv->host,
		   srv->port);
	p = g_hash_table_lookup(c->pools, key);
	if (!p) {
		p = g_new0(struct server_pool, 1);
		g_strlcpy(p->key, key, sizeof(p->key));
		CDS_INIT_LIST_HEAD(&p->idle);
		p->condemned_up_to = -1;
		g_hash_table_insert(c->pools, p->key, p);
	}
	p->idle_max = idle_limit(srv);
	return p;
}

static void on_session_status(void *arg, ne_session_status status,
			      const ne_session_status_info *info)
{
	struct cg_connection *conn = arg;

	(void)info;
	if (status == ne_status_connected) {
		conn->connect_count++;
		conn->opened_at = cg_clock_now(conn->clk);
		cg_count(CG_COUNTER_CONNECTIONS_OPENED);
	}
}

static struct cg_connection *open_connection(struct cg_connections *c,
					     const struct cg_server *srv,
					     struct server_pool *pool)
{
	struct cg_connection *conn = g_new0(struct cg_connection, 1);

	conn->pool_key = pool->key;
	conn->clk = c->clk;
	conn->opened_at = cg_clock_now(c->clk);
	conn->session = ne_session_create("http", srv->host, srv->port);
	ne_set_notifier(conn->session, on_session_status, conn);
	return conn;
}

static bool is_usable(const struct server_pool *p,
		      const struct cg_connection *c, cg_ms now)
{
	return c->opened_at > p->condemned_up_to &&
	       now - c->idle_since < IDLE_TIMEOUT_MS;
}

/* Removes and returns the most recently used connection that is still usable.
 * Unusable connections before it move to @stale. */
static struct cg_connection *acquire_idle(struct server_pool *p, cg_ms now,
					  struct cds_list_head *stale)
{
	struct cg_connection *c, *next;

	cds_list_for_each_entry_safe(c, next, &p->idle, node) {
		cds_list_del(&c->node);
		p->idle_count--;
		if (is_usable(p, c, now))
			return c;
		cds_list_add(&c->node, stale);
	}
	return NULL;
}

static void free_connections(struct cds_list_head *list)
{
	struct cg_connection *c, *next;

	cds_list_for_each_entry_safe(c, next, list, node)
		free_connection(c);
}

struct cg_connection *cg_connections_acquire(struct cg_connections *c,
					     const struct cg_server *srv,
					     bool force_new)
{
	CDS_LIST_HEAD(stale);
	cg_ms now = cg_clock_now(c->clk);
	struct cg_connection *conn = NULL;
	struct server_pool *pool;

	pthread_mutex_lock(&c->lock);
	pool = get_pool(c, srv);
	if (!force_new)
		conn = acquire_idle(pool, now, &stale);
	pthread_mutex_unlock(&c->lock);
	free_connections(&stale);
	if (!conn)
		conn = open_connection(c, srv, pool);
	return conn;
}

void cg_connections_release(struct cg_connections *c,
			    struct cg_connection *conn)
{
	struct cg_connection *excess = NULL;
	struct server_pool *p;

	conn->idle_since = cg_clock_now(c->clk);
	conn->request_count++;
	pthread_mutex_lock(&c->lock);
	p = g_hash_table_lookup(c->pools, conn->pool_key);
	if (conn->opened_at <= p->condemned_up_to) {
		excess = conn;
	} else {
		cds_list_add(&conn->node, &p->idle);
		p->idle_count++;
		if (p->idle_count > p->idle_max) {
			excess = cds_list_entry(p->idle.prev,
						struct cg_connection, node);
			cds_list_del(&excess->node);
			p->idle_count--;
		}
	}
	pthread_mutex_unlock(&c->lock);
	if (excess)
		free_connection(excess);
}

void cg_connections_close(struct cg_connections *c, struct cg_connection *conn)
{
	(void)c;
	free_connection(conn);
}

bool cg_connection_reused(const struct cg_connection *conn)
{
	return conn->request_count > 0;
}

cg_ms cg_connection_opened_at(const struct cg_connection *conn)
{
	return conn->opened_at;
}

static bool pool_serves(const struct server_pool *p, const char *server)
{
	size_t n = strlen(server);

	return !strncmp(p->key, server, n) && p->key[n] == ' ';
}

void cg_connections_condemn(struct cg_connections *c, const char *server,
			    cg_ms opened_at)
{
	GHashTableIter it;
	gpointer value;

	pthread_mutex_lock(&c->lock);
	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct server_pool *p = value;

		if (pool_serves(p, server) && p->condemned_up_to < opened_at)
			p->condemned_up_to = opened_at;
	}
	pthread_mutex_unlock(&c->lock);
	cg_count(CG_COUNTER_CONNECTIONS_CONDEMNED);
	cg_info("persistent connection to %s timed out; older ones are closed",
		server);
}
