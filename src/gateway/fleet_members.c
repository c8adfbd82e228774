#define CG_PART "fleet"
#include "fleet_internal.h"

#include <arpa/inet.h>
#include <string.h>

#include "internal/logging.h"

/*
 * Design note. In each failure domain the daemon with the lowest address that
 * is there and fit is followed by the others; it reads the store for them and
 * grants the slots of the domain's servers. Nothing is agreed on: a daemon
 * that hears nothing from it for ALIVE_MS follows the next one, and at last
 * itself. Two brokers at a time cost some fairness, and at most their parts of
 * the rates, but no promise: limits of servers are kept by the servers, and
 * the configuration is proved by the age of a read.
 */

struct cgw_member *cgw_fleet_member(struct cgw_fleet *f, const char *name)
{
	return g_hash_table_lookup(f->members, name);
}

bool cgw_fleet_own_domain(struct cgw_fleet *f, const struct cgw_member *m)
{
	return !strcmp(m->domain, f->settings->domain);
}

struct cgw_member *cgw_fleet_add_member(struct cgw_fleet *f, const char *name,
					const char *domain, struct in_addr ip)
{
	struct cgw_member *m;

	if (!strcmp(name, f->settings->instance))
		return NULL;
	m = cgw_fleet_member(f, name);
	if (!m) {
		m = g_new0(struct cgw_member, 1);
		g_strlcpy(m->name, name, sizeof(m->name));
		m->heard_at = -ALIVE_MS;
		m->pinged_at = -PING_BETTER_MS;
		m->follows_at = -FOLLOWER_MS;
		m->seen_at = -SEEN_MS;
		m->fitness = CGW_BLIND;
		g_hash_table_insert(f->members, m->name, m);
	}
	g_strlcpy(m->domain, domain, sizeof(m->domain));
	m->ip = ip;
	return m;
}

void cgw_fleet_update_entries(struct cgw_fleet *f,
			      const struct cgw_fleet_entry *e, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		struct in_addr ip;

		if (*e[i].secret)
			g_strlcpy(f->secret, e[i].secret, sizeof(f->secret));
		else if (inet_pton(AF_INET, e[i].ip, &ip) == 1)
			cgw_fleet_add_member(f, e[i].name, e[i].domain, ip);
		else
			cg_warning("entry %s of the fleet has no address",
				   e[i].name);
	}
	f->started_at = cgw_loop_now(f->loop);
}

static int own_fitness(struct cgw_fleet *f)
{
	bool failing = !cgw_feed_is_healthy(*f->feed);

	if (f->leaving)
		return CGW_LEAVING;
	if (!cgw_feed_table(*f->feed))
		return failing ? CGW_BLIND : CGW_WAITING;
	return failing ? CGW_FIT_WITHOUT_STORE : CGW_FIT;
}

void cgw_fleet_send_ping(struct cgw_fleet *f, struct cgw_member *m)
{
	fleet_body b = { .kind = FLEET_PING };
	fleet_ping *p = &b.fleet_body_u.ping;
	fleet_hold holds[FLEET_HOLDS_MAX];
	cg_ms now = cgw_loop_now(f->loop);
	struct cgw_slot *s;

	p->sent_ms = (u_quad_t)now;
	p->follows = !strcmp(f->leader, m->name);
	p->holds.holds_val = holds;
	cds_list_for_each_entry(s, &f->slots, node) {
		fleet_hold *h = &holds[p->holds.holds_len];

		if (!p->follows || s->state != CGW_SLOT_HELD ||
		    *s->foreign_ip || p->holds.holds_len == FLEET_HOLDS_MAX)
			continue;
		h->id = s->request.id;
		h->server = s->server;
		h->route = s->request.route;
		h->age_ms = (u_int)(now - s->granted_at);
		h->left_ms = (u_int)MAX(0, s->request.due - now);
		p->holds.holds_len++;
	}
	m->pinged_at = now;
	cgw_fleet_send(f, m->ip, &b);
}

void cgw_fleet_send_pong(struct cgw_fleet *f, struct in_addr to, uint64_t echo)
{
	fleet_body b = { .kind = FLEET_PONG };
	fleet_pong *p = &b.fleet_body_u.pong;
	struct cgw_table *t = cgw_feed_table(*f->feed);
	cg_ms proved = cgw_feed_proved_at(*f->feed);

	p->echo_ms = echo;
	p->fit = own_fitness(f);
	p->config = t ? cgw_table_version(t) : 0;
	p->proof_age_ms = proved < 0 ? -1
				     : (int)MIN(cgw_loop_now(f->loop) - proved,
						(cg_ms)G_MAXINT);
	p->broker = f->leader;
	cgw_fleet_send(f, to, &b);
}

/* Order of those that may be followed: by address. */
static int rank(struct in_addr a, struct in_addr b)
{
	uint32_t x = ntohl(a.s_addr), y = ntohl(b.s_addr);

	return x < y ? -1 : x > y;
}

static bool doubt_is_over(struct cgw_fleet *f)
{
	return f->doubt_at && cgw_loop_now(f->loop) - f->doubt_at >= DOUBT_MS;
}

/* Whether a daemon counts as there. The one that is followed is asked most
 * often; after a doubt, of the others only those who answered count. */
static bool is_alive(struct cgw_fleet *f, const struct cgw_member *m)
{
	cg_ms age = cgw_loop_now(f->loop) - m->heard_at;

	if (!strcmp(m->name, f->leader))
		return age < ALIVE_MS;
	if (doubt_is_over(f))
		return m->heard_at >= f->doubt_at;
	return age < ALIVE_ALTERNATE_MS;
}

static void follow(struct cgw_fleet *f, const char *name)
{
	if (!strcmp(f->leader, name))
		return;
	cg_info("follows %s, before it %s", *name ? name : "nobody",
		*f->leader ? f->leader : "nobody");
	g_strlcpy(f->leader, name, sizeof(f->leader));
	if (!*name)
		return;
	if (cgw_fleet_member(f, name))
		cgw_fleet_send_ping(f, cgw_fleet_member(f, name));
	cgw_fleet_ask_again(f);
}

bool cgw_fleet_is_self(struct cgw_fleet *f, const char *name)
{
	return !strcmp(name, f->settings->instance);
}

/* The fittest daemon of the domain, of those the one of the best rank; NULL
 * for this one. */
static struct cgw_member *best_leader(struct cgw_fleet *f)
{
	struct cgw_member *best = NULL;
	struct in_addr best_ip = f->ip;
	int best_fitness = own_fitness(f);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_member *m = value;

		if (!cgw_fleet_own_domain(f, m) || !is_alive(f, m) ||
		    m->fitness < best_fitness ||
		    (m->fitness == best_fitness && rank(m->ip, best_ip) > 0))
			continue;
		best = m;
		best_ip = m->ip;
		best_fitness = m->fitness;
	}
	return best;
}

static void ping_all(struct cgw_fleet *f);

void cgw_fleet_choose_leader(struct cgw_fleet *f)
{
	cg_ms now = cgw_loop_now(f->loop);
	struct cgw_member *best;

	if (!*f->leader && now - f->started_at < SETTLE_MS)
		return;
	best = best_leader(f);
	if (!strcmp(f->leader, best ? best->name : f->settings->instance)) {
		f->doubt_at = 0;
		return;
	}
	if ((!best || now - best->heard_at > HEARD_LATELY_MS) &&
	    !doubt_is_over(f)) {
		if (!f->doubt_at) {
			f->doubt_at = now;
			ping_all(f);
		}
		return;
	}
	f->doubt_at = 0;
	follow(f, best ? best->name : f->settings->instance);
}

bool cgw_fleet_is_followed(struct cgw_fleet *f)
{
	cg_ms now = cgw_loop_now(f->loop);
	GHashTableIter it;
	gpointer value;

	if (cgw_fleet_is_self(f, f->leader))
		return true;
	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (now - ((struct cgw_member *)value)->follows_at <
		    FOLLOWER_MS)
			return true;
	return false;
}

static void ping_all(struct cgw_fleet *f)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (cgw_fleet_own_domain(f, value))
			cgw_fleet_send_ping(f, value);
}

/* Number of daemons of the domain, but for this one, of better rank. */
static unsigned int better_than(struct cgw_fleet *f, const struct cgw_member *m)
{
	unsigned int n = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_member *o = value;

		n += cgw_fleet_own_domain(f, o) && o != m &&
		     rank(o->ip, m->ip) < 0;
	}
	return n;
}

void cgw_fleet_ping_domain(struct cgw_fleet *f)
{
	cg_ms now = cgw_loop_now(f->loop);
	struct cgw_member *leader = cgw_fleet_member(f, f->leader);
	bool lost =
		!*f->leader ||
		(leader && now - leader->heard_at > PING_MS + TICK_IDLE_MS * 2);
	bool unfit =
		leader ? leader->fitness != CGW_FIT : own_fitness(f) != CGW_FIT;
	struct in_addr top = leader ? leader->ip : f->ip;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_member *m = value;
		cg_ms pause = PING_BETTER_MS;

		if (!cgw_fleet_own_domain(f, m))
			continue;
		if (m == leader || lost)
			pause = PING_MS;
		else if (rank(m->ip, top) > 0 && !unfit &&
			 better_than(f, m) >= ALTERNATES)
			continue;
		if (now - m->pinged_at >= pause)
			cgw_fleet_send_ping(f, m);
	}
}

double cgw_fleet_part(struct cgw_fleet *f)
{
	cg_ms now = cgw_loop_now(f->loop);
	unsigned int followers = 1, members = 1;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_member *m = value;

		if (!cgw_fleet_own_domain(f, m))
			continue;
		followers += now - m->follows_at < FOLLOWER_MS;
		members += now - m->seen_at < SEEN_MS;
	}
	/* After a start of the whole domain the others follow a little later. */
	if (now - f->started_at < FOLLOWER_MS)
		return 1;
	return cgw_quota_part(followers, members);
}

void cgw_fleet_forget_silent(struct cgw_fleet *f)
{
	cg_ms now = cgw_loop_now(f->loop);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_member *m = value;

		if (m->follows_at < 0 || now - m->follows_at < FOLLOWER_MS)
			continue;
		m->follows_at = -FOLLOWER_MS;
		cgw_broker_forget(f->broker, m->name, now);
	}
}

/* A daemon whose leader cannot prove its configuration reads the store
 * itself. */
void cgw_fleet_watch_proof(struct cgw_fleet *f)
{
	cg_ms now = cgw_loop_now(f->loop);
	struct cgw_member *leader = cgw_fleet_member(f, f->leader);

	if (!leader || now - f->read_at < PROOF_READ_MS ||
	    (leader->fitness == CGW_WAITING && is_alive(f, leader)) ||
	    now - cgw_feed_proved_at(*f->feed) <= PROOF_OLD_MS)
		return;
	f->read_at = now;
	cgw_feed_refresh(*f->feed);
}

void cgw_fleet_take_ping(struct cgw_fleet *f, struct cgw_member *m,
			 const fleet_ping *p)
{
	cg_ms now = cgw_loop_now(f->loop);
	struct cgw_hold *holds;

	cgw_fleet_send_pong(f, m->ip, p->sent_ms);
	if (!p->follows)
		return;
	m->follows_at = now;
	holds = g_new0(struct cgw_hold, p->holds.holds_len + 1);
	for (u_int i = 0; i < p->holds.holds_len; i++) {
		const fleet_hold *h = &p->holds.holds_val[i];

		holds[i].id = h->id;
		g_strlcpy(holds[i].server, h->server, sizeof(holds[i].server));
		g_strlcpy(holds[i].route, h->route, sizeof(holds[i].route));
		holds[i].age = h->age_ms;
		holds[i].left = h->left_ms;
	}
	cgw_broker_reconcile(f->broker, m->name, holds, p->holds.holds_len,
			     HOLD_SETTLE_MS, now);
	g_free(holds);
}

void cgw_fleet_take_pong(struct cgw_fleet *f, struct cgw_member *m,
			 const fleet_pong *p)
{
	struct cgw_table *t = cgw_feed_table(*f->feed);
	struct cgw_member *broker = cgw_fleet_member(f, p->broker);

	m->heard_at = cgw_loop_now(f->loop);
	m->fitness = p->fit;
	if (!cgw_fleet_own_domain(f, m)) {
		if (broker && !strcmp(broker->domain, m->domain))
			cgw_fleet_note_other_broker(f, m->domain, broker->name,
						    broker->ip);
		return;
	}
	if (p->config > (t ? cgw_table_version(t) : 0))
		cgw_feed_refresh(*f->feed);
	/* The proof's age is counted from the ping that the answer echoes, so
	 * that a datagram read late never makes a proof look fresh. */
	if (p->proof_age_ms >= 0)
		cgw_feed_record_proof(*f->feed, p->config,
				      (cg_ms)p->echo_ms - p->proof_age_ms);
}
