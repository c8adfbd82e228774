#define CG_PART "notice"
#include "gateway/server_notice.h"

#include <math.h>

#include "celeryglade/counters.h"
#include "internal/logging.h"

/* Longest rest that is granted: a faulty value must not take a server out of use
 * for good. */
#define REST_MAX_MS 300000
/* A server that leaves has ended long before its statement is forgotten. */
#define FORGET_MS 3600000
/* Statements kept; above it those that are out of force are removed. */
#define NOTICES_PURGE_AT 256

struct notice {
	int64_t started_wall_ms;
	bool leaving;
	cg_ms rest_until;
	cg_ms recorded_at;
};

struct cgw_server_notices {
	GHashTable *by_server; /* id to struct notice */
};

int cgw_retry_after_parse(const char *text, cg_ms *out)
{
	char *end;
	double seconds = g_ascii_strtod(text, &end);

	while (g_ascii_isspace(*end))
		end++;
	if (end == text || *end || !isfinite(seconds) || seconds < 0)
		return -1;
	*out = (cg_ms)fmin(seconds * 1000, REST_MAX_MS);
	return 0;
}

struct cgw_server_notices *cgw_server_notices_new(void)
{
	struct cgw_server_notices *n = g_new0(struct cgw_server_notices, 1);

	n->by_server =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return n;
}

void cgw_server_notices_free(struct cgw_server_notices *n)
{
	if (!n)
		return;
	g_hash_table_unref(n->by_server);
	g_free(n);
}

static bool is_out_of_force(const struct notice *x, cg_ms now)
{
	return now - x->recorded_at > FORGET_MS ||
	       (!x->leaving && x->rest_until <= now);
}

static void purge(struct cgw_server_notices *n, cg_ms now)
{
	GHashTableIter it;
	gpointer value;

	if (g_hash_table_size(n->by_server) < NOTICES_PURGE_AT)
		return;
	g_hash_table_iter_init(&it, n->by_server);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (is_out_of_force(value, now))
			g_hash_table_iter_remove(&it);
}

void cgw_server_notices_record(struct cgw_server_notices *n, const char *server,
			       int64_t started_wall_ms,
			       const struct cgw_server_notice *said, cg_ms now)
{
	struct notice *x;

	if (!said->leaving && said->rest_ms <= 0)
		return;
	x = g_hash_table_lookup(n->by_server, server);
	if (!x) {
		purge(n, now);
		x = g_new0(struct notice, 1);
		g_hash_table_insert(n->by_server, g_strdup(server), x);
	}
	if (x->started_wall_ms != started_wall_ms) {
		x->started_wall_ms = started_wall_ms;
		x->leaving = false;
		x->rest_until = 0;
	}
	if (said->leaving && !x->leaving) {
		cg_count(CG_COUNTER_SERVERS_SAID_LEAVING);
		cg_info("server %s says that it leaves: it gets no new "
			"requests from here",
			server);
	}
	if (said->rest_ms > 0 && x->rest_until <= now) {
		cg_count(CG_COUNTER_SERVERS_WANTED_REST);
		cg_info("server %s wants no requests for %d ms", server,
			(int)said->rest_ms);
	}
	x->leaving |= said->leaving;
	x->rest_until = MAX(x->rest_until, now + said->rest_ms);
	x->recorded_at = now;
}

bool cgw_server_notices_find(struct cgw_server_notices *n, const char *server,
			     int64_t started_wall_ms, cg_ms now,
			     struct cgw_server_notice *out)
{
	const struct notice *x = g_hash_table_lookup(n->by_server, server);

	if (!x || x->started_wall_ms != started_wall_ms ||
	    is_out_of_force(x, now))
		return false;
	out->leaving = x->leaving;
	out->rest_ms = MAX(0, x->rest_until - now);
	return true;
}

unsigned int cgw_server_notices_count(const struct cgw_server_notices *n)
{
	return g_hash_table_size(n->by_server);
}
