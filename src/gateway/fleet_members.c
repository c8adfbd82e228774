#define CG_PART "fleet"
#include "fleet_internal.h"

#include <arpa/inet.h>
#include <string.h>

#include "internal/logging.h"

/*
 * In each failure domain the daemons follow one leader: the most eligible
 * daemon that is alive, and among equals the one with the lowest address. The
 * leader reads the store for its followers, and its broker grants the slots of
 * the domain's servers. There is no agreement protocol: a daemon that receives
 * no pong from its leader for LEADER_TIMEOUT_MS follows the next daemon, and
 * itself if no other is left. Two brokers at the same time are less fair and
 * can exceed the rates within the bound of cgw_quota_broker_share(), but break
 * no guarantee: the servers enforce their own limits, and the age of a read of
 * the store proves that the configuration is the latest.
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
		m->last_pong_at = -LEADER_TIMEOUT_MS;
		m->last_ping_at = -PING_CANDIDATE_INTERVAL_MS;
		m->last_follow_at = -FOLLOWER_TIMEOUT_MS;
		m->last_message_at = -MEMBER_TIMEOUT_MS;
		m->eligibility = CGW_ELIGIBILITY_NO_CONFIG_NO_STORE;
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
			cg_warning(
				"ignored fleet entry %s: no valid IP address",
				e[i].name);
	}
	f->started_at = cgw_loop_now(f->loop);
}

static int own_eligibility(struct cgw_fleet *f)
{
	bool failing = !cgw_feed_is_healthy(*f->feed);

	if (f->leaving)
		return CGW_ELIGIBILITY_LEAVING;
	if (!cgw_feed_table(*f->feed))
		return failing ? CGW_ELIGIBILITY_NO_CONFIG_NO_STORE
			       : CGW_ELIGIBILITY_NO_CONFIG;
	return failing ? CGW_ELIGIBILITY_NO_STORE : CGW_ELIGIBILITY_FULL;
}

void cgw_fleet_send_ping(struct cgw_fleet *f, struct cgw_member *m)
{
	fleet_body b = { .kind = FLEET_PING };
	fleet_ping *p = &b.fleet_body_u.ping;
	fleet_held_slot held[FLEET_HELD_SLOTS_MAX];
	cg_ms now = cgw_loop_now(f->loop);
	struct cgw_slot *s;

	p->sent_ms = (u_quad_t)now;
	p->follows = !strcmp(f->leader, m->name);
	p->held_slots.held_slots_val = held;
	cds_list_for_each_entry(s, &f->slots, node) {
		fleet_held_slot *h = &held[p->held_slots.held_slots_len];

		if (!p->follows || s->state != CGW_SLOT_HELD ||
		    *s->other_broker_ip ||
		    p->held_slots.held_slots_len == FLEET_HELD_SLOTS_MAX)
			continue;
		h->id = s->request.id;
		h->server = s->server;
		h->route = s->request.route;
		h->age_ms = (u_int)(now - s->granted_at);
		h->remaining_ms = (u_int)MAX(0, s->request.deadline - now);
		p->held_slots.held_slots_len++;
	}
	m->last_ping_at = now;
	cgw_fleet_send(f, m->ip, &b);
}

void cgw_fleet_send_pong(struct cgw_fleet *f, struct in_addr to, uint64_t echo)
{
	fleet_body b = { .kind = FLEET_PONG };
	fleet_pong *p = &b.fleet_body_u.pong;
	struct cgw_table *t = cgw_feed_table(*f->feed);
	cg_ms proved = cgw_feed_proved_at(*f->feed);

	p->echo_ms = echo;
	p->eligibility = own_eligibility(f);
	p->config_version = t ? cgw_table_version(t) : 0;
	p->proof_age_ms = proved < 0 ? -1
				     : (int)MIN(cgw_loop_now(f->loop) - proved,
						(cg_ms)G_MAXINT);
	p->broker = f->leader;
	cgw_fleet_send(f, to, &b);
}

/* Compares two candidates for leader: the lower address ranks better. */
static int compare_rank(struct in_addr a, struct in_addr b)
{
	uint32_t x = ntohl(a.s_addr), y = ntohl(b.s_addr);

	return x < y ? -1 : x > y;
}

static bool leader_change_wait_is_over(struct cgw_fleet *f)
{
	return f->pong_wait_since &&
	       cgw_loop_now(f->loop) - f->pong_wait_since >=
		       LEADER_CHANGE_WAIT_MS;
}

/* Returns whether a daemon counts as alive. The leader is pinged most often, so
 * its timeout is the shortest. After a wait before a change of leader, only
 * daemons that have answered since its start count. */
static bool is_alive(struct cgw_fleet *f, const struct cgw_member *m)
{
	cg_ms age = cgw_loop_now(f->loop) - m->last_pong_at;

	if (!strcmp(m->name, f->leader))
		return age < LEADER_TIMEOUT_MS;
	if (leader_change_wait_is_over(f))
		return m->last_pong_at >= f->pong_wait_since;
	return age < CANDIDATE_TIMEOUT_MS;
}

static void follow(struct cgw_fleet *f, const char *name)
{
	if (!strcmp(f->leader, name))
		return;
	cg_info("follows %s; previous leader: %s", *name ? name : "none",
		*f->leader ? f->leader : "none");
	g_strlcpy(f->leader, name, sizeof(f->leader));
	if (!*name)
		return;
	if (cgw_fleet_member(f, name))
		cgw_fleet_send_ping(f, cgw_fleet_member(f, name));
	cgw_fleet_resend_requests(f);
}

bool cgw_fleet_is_self(struct cgw_fleet *f, const char *name)
{
	return !strcmp(name, f->settings->instance);
}

/* Returns the live daemon of the own domain with the highest eligibility, among
 * equals the one with the lowest address; NULL if it is this daemon. */
static struct cgw_member *best_leader(struct cgw_fleet *f)
{
	struct cgw_member *best = NULL;
	struct in_addr best_ip = f->ip;
	int best_eligibility = own_eligibility(f);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_member *m = value;

		if (!cgw_fleet_own_domain(f, m) || !is_alive(f, m) ||
		    m->eligibility < best_eligibility ||
		    (m->eligibility == best_eligibility &&
		     compare_rank(m->ip, best_ip) > 0))
			continue;
		best = m;
		best_ip = m->ip;
		best_eligibility = m->eligibility;
	}
	return best;
}

static void ping_whole_domain(struct cgw_fleet *f);

void cgw_fleet_choose_leader(struct cgw_fleet *f)
{
	cg_ms now = cgw_loop_now(f->loop);
	struct cgw_member *best;

	if (!*f->leader && now - f->started_at < STARTUP_GRACE_MS)
		return;
	best = best_leader(f);
	if (!strcmp(f->leader, best ? best->name : f->settings->instance)) {
		f->pong_wait_since = 0;
		return;
	}
	if ((!best || now - best->last_pong_at > RECENT_PONG_MS) &&
	    !leader_change_wait_is_over(f)) {
		if (!f->pong_wait_since) {
			f->pong_wait_since = now;
			ping_whole_domain(f);
		}
		return;
	}
	f->pong_wait_since = 0;
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
		if (now - ((struct cgw_member *)value)->last_follow_at <
		    FOLLOWER_TIMEOUT_MS)
			return true;
	return false;
}

static void ping_whole_domain(struct cgw_fleet *f)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (cgw_fleet_own_domain(f, value))
			cgw_fleet_send_ping(f, value);
}

/* Returns how many daemons of the domain rank better than @m; this daemon is
 * not counted. */
static unsigned int count_better_ranked(struct cgw_fleet *f,
					const struct cgw_member *m)
{
	unsigned int n = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_member *o = value;

		n += cgw_fleet_own_domain(f, o) && o != m &&
		     compare_rank(o->ip, m->ip) < 0;
	}
	return n;
}

void cgw_fleet_send_due_pings(struct cgw_fleet *f)
{
	cg_ms now = cgw_loop_now(f->loop);
	struct cgw_member *leader = cgw_fleet_member(f, f->leader);
	bool leader_lost =
		!*f->leader ||
		(leader && now - leader->last_pong_at >
				   PING_INTERVAL_MS + TICK_FOLLOWER_MS * 2);
	bool leader_degraded =
		leader ? leader->eligibility != CGW_ELIGIBILITY_FULL
		       : own_eligibility(f) != CGW_ELIGIBILITY_FULL;
	struct in_addr leader_ip = leader ? leader->ip : f->ip;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_member *m = value;
		cg_ms interval = PING_CANDIDATE_INTERVAL_MS;

		if (!cgw_fleet_own_domain(f, m))
			continue;
		if (m == leader || leader_lost)
			interval = PING_INTERVAL_MS;
		else if (compare_rank(m->ip, leader_ip) > 0 &&
			 !leader_degraded &&
			 count_better_ranked(f, m) >= CANDIDATE_COUNT)
			continue;
		if (now - m->last_ping_at >= interval)
			cgw_fleet_send_ping(f, m);
	}
}

double cgw_fleet_rate_share(struct cgw_fleet *f)
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
		followers += now - m->last_follow_at < FOLLOWER_TIMEOUT_MS;
		members += now - m->last_message_at < MEMBER_TIMEOUT_MS;
	}
	/* When the whole domain has just started, the others have not had time
	 * to follow this daemon. */
	if (now - f->started_at < FOLLOWER_TIMEOUT_MS)
		return 1;
	return cgw_quota_broker_share(followers, members);
}

void cgw_fleet_expire_followers(struct cgw_fleet *f)
{
	cg_ms now = cgw_loop_now(f->loop);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_member *m = value;

		if (m->last_follow_at < 0 ||
		    now - m->last_follow_at < FOLLOWER_TIMEOUT_MS)
			continue;
		m->last_follow_at = -FOLLOWER_TIMEOUT_MS;
		cgw_broker_remove_daemon(f->broker, m->name, now);
	}
}

void cgw_fleet_check_proof(struct cgw_fleet *f)
{
	cg_ms now = cgw_loop_now(f->loop);
	struct cgw_member *leader = cgw_fleet_member(f, f->leader);

	if (!leader || now - f->last_store_read_at < PROOF_READ_INTERVAL_MS ||
	    (leader->eligibility == CGW_ELIGIBILITY_NO_CONFIG &&
	     is_alive(f, leader)) ||
	    now - cgw_feed_proved_at(*f->feed) <= PROOF_MAX_AGE_MS)
		return;
	f->last_store_read_at = now;
	cgw_feed_refresh(*f->feed);
}

void cgw_fleet_handle_ping(struct cgw_fleet *f, struct cgw_member *m,
			   const fleet_ping *p)
{
	cg_ms now = cgw_loop_now(f->loop);
	struct cgw_held_slot *held;

	cgw_fleet_send_pong(f, m->ip, p->sent_ms);
	if (!p->follows)
		return;
	m->last_follow_at = now;
	held = g_new0(struct cgw_held_slot, p->held_slots.held_slots_len + 1);
	for (u_int i = 0; i < p->held_slots.held_slots_len; i++) {
		const fleet_held_slot *h = &p->held_slots.held_slots_val[i];

		held[i].id = h->id;
		g_strlcpy(held[i].server, h->server, sizeof(held[i].server));
		g_strlcpy(held[i].route, h->route, sizeof(held[i].route));
		held[i].age = h->age_ms;
		held[i].remaining = h->remaining_ms;
	}
	cgw_broker_reconcile(f->broker, m->name, held,
			     p->held_slots.held_slots_len, HELD_SLOT_GRACE_MS,
			     now);
	g_free(held);
}

void cgw_fleet_handle_pong(struct cgw_fleet *f, struct cgw_member *m,
			   const fleet_pong *p)
{
	struct cgw_table *t = cgw_feed_table(*f->feed);
	struct cgw_member *broker = cgw_fleet_member(f, p->broker);

	m->last_pong_at = cgw_loop_now(f->loop);
	m->eligibility = p->eligibility;
	if (!cgw_fleet_own_domain(f, m)) {
		if (broker && !strcmp(broker->domain, m->domain))
			cgw_fleet_record_other_broker(f, m->domain,
						      broker->name, broker->ip);
		return;
	}
	if (p->config_version > (t ? cgw_table_version(t) : 0))
		cgw_feed_refresh(*f->feed);
	/* The proof's age is counted from the time of the ping that the pong
	 * echoes, so that a delayed datagram never makes a proof look
	 * fresher than it is. */
	if (p->proof_age_ms >= 0)
		cgw_feed_record_proof(*f->feed, p->config_version,
				      (cg_ms)p->echo_ms - p->proof_age_ms);
}
