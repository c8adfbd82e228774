#define CG_PART "fleet"
#include "fleet_internal.h"

#include <arpa/inet.h>
#include <string.h>

#include "internal/logging.h"

/*
 * In each failure domain the daemons follow one leader: the most eligible
 * daemon that is alive, among equals the one on the machine that carries most,
 * then the one with the lowest address. The
 * leader reads the store for its followers, and its broker grants the slots of
 * the domain's servers. There is no agreement protocol: a daemon that receives
 * no pong from its leader for LEADER_TIMEOUT_MS follows the next daemon, and
 * itself if no other is left. Two brokers at the same time are less fair, but
 * break no guarantee: cgw_quota_broker_share() divides the rates between them, the
 * servers enforce their own limits, and the age of a read of the store proves that
 * the configuration is the latest.
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
		m->proved_at = -1;
		m->added_at = cgw_loop_now(f->loop);
		g_hash_table_insert(f->members, m->name, m);
		f->ranking_outdated = true;
	}
	if (m->ip.s_addr != ip.s_addr || strcmp(m->domain, domain) != 0)
		f->ranking_outdated = true;
	g_strlcpy(m->domain, domain, sizeof(m->domain));
	m->ip = ip;
	return m;
}

static void set_capacity(struct cgw_fleet *f, struct cgw_member *m,
			 unsigned int capacity)
{
	/* 0 comes from an older daemon, which does not state it. */
	if (!capacity || m->capacity == capacity)
		return;
	m->capacity = capacity;
	f->ranking_outdated = true;
}

/* Adds a member that the store lists. What the member has said itself since is
 * newer than the list. */
static void add_listed_member(struct cgw_fleet *f,
			      const struct cgw_fleet_entry *e,
			      struct in_addr ip)
{
	struct cgw_member *m = cgw_fleet_member(f, e->name);

	if (m && m->incarnation)
		return;
	m = cgw_fleet_add_member(f, e->name, e->domain, ip);
	if (m)
		set_capacity(f, m, e->capacity);
}

void cgw_fleet_update_entries(struct cgw_fleet *f,
			      const struct cgw_fleet_entry *e, size_t n)
{
	if (cgw_feed_era_changes(*f->feed))
		f->relisted_at = cgw_loop_now(f->loop);
	for (size_t i = 0; i < n; i++) {
		struct in_addr ip;

		if (*e[i].secret)
			g_strlcpy(f->secret, e[i].secret, sizeof(f->secret));
		else if (inet_pton(AF_INET, e[i].ip, &ip) == 1) {
			add_listed_member(f, &e[i], ip);
			cgw_fleet_record_listed(f, e[i].name, ip);
		} else
			cg_warning(
				"ignored fleet entry %s: no valid IP address",
				e[i].name);
	}
	if (f->listed || !*f->secret)
		return;
	f->listed = true;
	f->started_at = cgw_loop_now(f->loop);
}

/* A candidate for leader. */
struct rank {
	unsigned int capacity;
	struct in_addr ip;
};

/* Compares two candidates: more capacity ranks better, then the lower address.
 * Returns a negative number if @a ranks better. */
static int compare_rank(struct rank a, struct rank b)
{
	uint32_t x = ntohl(a.ip.s_addr), y = ntohl(b.ip.s_addr);

	if (a.capacity != b.capacity)
		return a.capacity > b.capacity ? -1 : 1;
	return x < y ? -1 : x > y;
}

static struct rank rank_of(struct cgw_fleet *f, const struct cgw_member *m)
{
	return m ? (struct rank){ m->capacity, m->ip }
		 : (struct rank){ f->capacity, f->ip };
}

bool cgw_fleet_ranks_before(struct cgw_fleet *f, const struct cgw_member *a,
			    const struct cgw_member *b)
{
	return compare_rank(rank_of(f, a), rank_of(f, b)) < 0;
}

static gint compare_members(gconstpointer a, gconstpointer b)
{
	const struct cgw_member *x = *(struct cgw_member *const *)a;
	const struct cgw_member *y = *(struct cgw_member *const *)b;

	return compare_rank((struct rank){ x->capacity, x->ip },
			    (struct rank){ y->capacity, y->ip });
}

/* Returns the other daemons of the own domain, those that lead first at the
 * beginning. */
GPtrArray *cgw_fleet_ranking(struct cgw_fleet *f)
{
	GHashTableIter it;
	gpointer value;

	if (!f->ranking_outdated)
		return f->ranking;
	f->ranking_outdated = false;
	g_ptr_array_set_size(f->ranking, 0);
	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (cgw_fleet_own_domain(f, value))
			g_ptr_array_add(f->ranking, value);
	g_ptr_array_sort(f->ranking, compare_members);
	return f->ranking;
}

/* Whether this daemon is among those that lead if the leader fails. */
bool cgw_fleet_leads_next(struct cgw_fleet *f)
{
	GPtrArray *a = cgw_fleet_ranking(f);

	return a->len <= CANDIDATE_COUNT ||
	       compare_rank(rank_of(f, NULL),
			    rank_of(f, g_ptr_array_index(a, CANDIDATE_COUNT))) <
		       0;
}

/* A leader reads the store all the time. Whether any other daemon could is known
 * only if it has just done so. So a leader that cannot read the store keeps its
 * followers until one of them has shown that it can, and while no daemon can, the
 * domain keeps its broker. */
static int own_eligibility(struct cgw_fleet *f)
{
	cg_ms last_read = cgw_feed_last_config_read(*f->feed);
	bool reads =
		cgw_feed_is_healthy(*f->feed) &&
		(f->leading ||
		 (last_read && last_read >= f->leader_degraded_at &&
		  cgw_loop_now(f->loop) - last_read <= STORE_READ_RECENT_MS));

	if (f->leaving)
		return CGW_ELIGIBILITY_LEAVING;
	if (!cgw_feed_table(*f->feed))
		return reads ? CGW_ELIGIBILITY_NO_CONFIG
			     : CGW_ELIGIBILITY_NO_CONFIG_NO_STORE;
	return reads ? CGW_ELIGIBILITY_FULL : CGW_ELIGIBILITY_NO_STORE;
}

uint64_t cgw_fleet_config_version(struct cgw_fleet *f)
{
	return cgw_feed_version(*f->feed);
}

/* Chooses at random a daemon of the domain that has the configuration in force:
 * this one or a follower. So a new version spreads like a rumour, and a leader
 * with a narrow link does not send it to all. */
static struct in_addr choose_config_source(struct cgw_fleet *f)
{
	cg_ms now = cgw_loop_now(f->loop);
	uint64_t version = cgw_fleet_config_version(f);
	struct in_addr chosen = f->ip;
	guint n = 1;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_member *m = value;

		if (cgw_fleet_own_domain(f, m) &&
		    m->config_version == version &&
		    now - m->last_follow_at < LEADER_TIMEOUT_MS &&
		    g_random_int() % ++n == 0)
			chosen = m->ip;
	}
	return chosen;
}

static bool follows_this(struct cgw_fleet *f, const struct cgw_member *m)
{
	return cgw_loop_now(f->loop) - m->last_follow_at < FOLLOWER_TIMEOUT_MS;
}

unsigned int cgw_fleet_follower_count(struct cgw_fleet *f)
{
	unsigned int n = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value))
		n += follows_this(f, value);
	return n;
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
	p->config_version = cgw_fleet_config_version(f);
	p->capacity = f->capacity;
	m->last_ping_at = now;
	cgw_fleet_send(f, m->ip, &b);
}

/* @version is the configuration that the receiver has. */
void cgw_fleet_send_pong(struct cgw_fleet *f, const struct cgw_member *to,
			 uint64_t echo, uint64_t version)
{
	fleet_body b = { .kind = FLEET_PONG };
	fleet_pong *p = &b.fleet_body_u.pong;
	struct cgw_member *leader = cgw_fleet_member(f, f->leader);
	cg_ms proved = cgw_feed_proved_at(*f->feed);

	p->echo_ms = echo;
	p->eligibility = own_eligibility(f);
	p->config_version = cgw_fleet_config_version(f);
	p->proof_age_ms = proved < 0 ? -1
				     : (int)MIN(cgw_loop_now(f->loop) - proved,
						(cg_ms)G_MAXINT);
	p->broker = f->leader;
	p->capacity = f->capacity;
	if (*f->leader)
		p->broker_ip = ntohl(leader ? leader->ip.s_addr : f->ip.s_addr);
	if (p->config_version > version)
		p->config_source_ip = ntohl(choose_config_source(f).s_addr);
	p->domain_daemons = f->leading ? cgw_fleet_follower_count(f) + 1
				       : f->domain_daemons;
	cgw_fleet_fill_evacuation(f, p);
	p->store_era = cgw_feed_era(*f->feed);
	p->unlisted = cgw_fleet_is_unlisted(f, to);
	cgw_fleet_send(f, to->ip, &b);
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
bool cgw_fleet_is_alive(struct cgw_fleet *f, const struct cgw_member *m)
{
	cg_ms age = cgw_loop_now(f->loop) - m->last_pong_at;

	if (!strcmp(m->name, f->leader))
		return age < LEADER_TIMEOUT_MS;
	if (leader_change_wait_is_over(f))
		return m->last_pong_at >= f->pong_wait_since;
	return age < CANDIDATE_TIMEOUT_MS;
}

/* Tells the daemons of the domain that this one can lead, so that they need not
 * find out by pings. */
static void announce_leadership(struct cgw_fleet *f)
{
	GPtrArray *a = cgw_fleet_ranking(f);

	for (guint i = 0; i < a->len; i++) {
		struct cgw_member *m = g_ptr_array_index(a, i);

		cgw_fleet_send_pong(f, m, 0, m->config_version);
	}
}

static void follow(struct cgw_fleet *f, const char *name)
{
	struct cgw_member *former = cgw_fleet_member(f, f->leader);

	if (!strcmp(f->leader, name))
		return;
	cg_info("follows %s; previous leader: %s", *name ? name : "none",
		*f->leader ? f->leader : "none");
	g_strlcpy(f->leader, name, sizeof(f->leader));
	if (!*name)
		return;
	/* The former leader must not count this daemon as a follower: the rates
	 * that a broker may admit depend on their number. */
	if (former)
		cgw_fleet_send_ping(f, former);
	if (cgw_fleet_member(f, name))
		cgw_fleet_send_ping(f, cgw_fleet_member(f, name));
	else
		announce_leadership(f);
	cgw_fleet_resend_requests(f);
}

bool cgw_fleet_is_self(struct cgw_fleet *f, const char *name)
{
	return !strcmp(name, f->settings->instance);
}

/* No daemon can read the store. Returns the broker that the domain has, so that
 * it does not change: the list of servers of any other one is older and may name
 * some that have left. @best is the choice without that; NULL is this daemon. */
static struct cgw_member *present_broker(struct cgw_fleet *f,
					 struct cgw_member *best)
{
	const char *name = *f->leader ? f->leader : best ? best->broker : "";
	struct cgw_member *m = cgw_fleet_member(f, name);

	if (cgw_fleet_is_self(f, name))
		return f->leaving ? best : NULL;
	return m && cgw_fleet_is_alive(f, m) && cgw_fleet_own_domain(f, m) &&
			       m->eligibility == CGW_ELIGIBILITY_NO_STORE
		       ? m
		       : best;
}

/* Returns the live daemon of the own domain with the highest eligibility, among
 * equals the best rank; NULL if it is this daemon. */
static struct cgw_member *best_leader(struct cgw_fleet *f)
{
	struct cgw_member *best = NULL;
	struct rank best_rank = rank_of(f, NULL);
	int best_eligibility = own_eligibility(f);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_member *m = value;

		if (!cgw_fleet_own_domain(f, m) || !cgw_fleet_is_alive(f, m) ||
		    m->eligibility < best_eligibility ||
		    (m->eligibility == best_eligibility &&
		     compare_rank(rank_of(f, m), best_rank) > 0))
			continue;
		best = m;
		best_rank = rank_of(f, m);
		best_eligibility = m->eligibility;
	}
	return best_eligibility == CGW_ELIGIBILITY_NO_STORE
		       ? present_broker(f, best)
		       : best;
}

static void ping_best(struct cgw_fleet *f);

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
			ping_best(f);
		}
		return;
	}
	f->pong_wait_since = 0;
	follow(f, best ? best->name : f->settings->instance);
}

bool cgw_fleet_is_followed(struct cgw_fleet *f)
{
	GHashTableIter it;
	gpointer value;

	if (cgw_fleet_is_self(f, f->leader))
		return true;
	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (follows_this(f, value))
			return true;
	return false;
}

static void ping_best(struct cgw_fleet *f)
{
	GPtrArray *a = cgw_fleet_ranking(f);

	for (guint i = 0; i < a->len && i < BEST_COUNT; i++)
		cgw_fleet_send_ping(f, g_ptr_array_index(a, i));
}

/* Returns the interval at which the daemon at @position of the ranking is
 * pinged, or 0 for not at all. If all daemons of a large domain pinged all
 * others, the domain would be busy with that. */
static cg_ms ping_interval(struct cgw_fleet *f, const struct cgw_member *m,
			   guint position, bool leader_lost,
			   bool leader_degraded)
{
	const struct cgw_member *leader = cgw_fleet_member(f, f->leader);
	cg_ms now = cgw_loop_now(f->loop);
	bool is_best = position < BEST_COUNT;

	if (!cgw_fleet_config_version(f) && (m == leader || is_best) &&
	    now - f->started_at < FAST_START_MS)
		return PING_FAST_INTERVAL_MS;
	if (m == leader)
		return PING_INTERVAL_MS;
	if (leader_lost)
		return is_best || now - f->leader_lost_at >= PING_INTERVAL_MS
			       ? PING_INTERVAL_MS
			       : 0;
	if (position < CANDIDATE_COUNT || (leader_degraded && is_best) ||
	    compare_rank(rank_of(f, m), rank_of(f, leader)) < 0)
		return PING_CANDIDATE_INTERVAL_MS;
	return 0;
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
	GPtrArray *a = cgw_fleet_ranking(f);

	if (!leader_lost)
		f->leader_lost_at = 0;
	else if (!f->leader_lost_at)
		f->leader_lost_at = now;
	for (guint i = 0; i < a->len; i++) {
		struct cgw_member *m = g_ptr_array_index(a, i);
		cg_ms interval =
			ping_interval(f, m, i, leader_lost, leader_degraded);

		if (interval && now - m->last_ping_at >= interval)
			cgw_fleet_send_ping(f, m);
	}
}

/* Returns whether a daemon that does not follow this one may be admitting requests
 * by itself, or by another broker. One that was about to exit does not. */
static bool may_lead_elsewhere(struct cgw_fleet *f, const struct cgw_member *m)
{
	return cgw_loop_now(f->loop) - m->last_message_at < MEMBER_TIMEOUT_MS &&
	       m->eligibility != CGW_ELIGIBILITY_LEAVING;
}

/* Counts the daemons of the own domain that follow this one, and all that count as
 * its members; both include this one. */
static void count_domain(struct cgw_fleet *f, unsigned int *followers,
			 unsigned int *members)
{
	GHashTableIter it;
	gpointer value;

	*followers = *members = 1;
	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_member *m = value;
		bool follows = follows_this(f, m);

		if (!cgw_fleet_own_domain(f, m))
			continue;
		*followers += follows;
		*members += follows || may_lead_elsewhere(f, m);
	}
}

/* Returns whether another daemon may have led the domain: this one has led for a
 * while, and no more than half of the domain has followed it. */
static bool may_have_been_replaced(struct cgw_fleet *f)
{
	unsigned int followers, members;

	if (!f->leading ||
	    cgw_loop_now(f->loop) - f->leading_since < FOLLOWER_TIMEOUT_MS)
		return false;
	count_domain(f, &followers, &members);
	return members > 1 && followers * 2 <= members;
}

void cgw_fleet_record_follower(struct cgw_fleet *f, struct cgw_member *m)
{
	if (!follows_this(f, m) && may_have_been_replaced(f)) {
		cg_info("%s follows this daemon, which at most half of its domain "
			"followed; begins to lead again",
			m->name);
		cgw_fleet_begin_to_lead_again(f);
	}
	m->last_follow_at = cgw_loop_now(f->loop);
}

double cgw_fleet_rate_share(struct cgw_fleet *f)
{
	cg_ms now = cgw_loop_now(f->loop);
	unsigned int followers, members;

	/* When the whole domain has just started, the others have not had time
	 * to follow this daemon. */
	if (now - f->started_at < FOLLOWER_TIMEOUT_MS)
		return 1;
	count_domain(f, &followers, &members);
	return cgw_quota_broker_share(followers, members);
}

bool cgw_fleet_heard_since(void *arg, const char *daemon, cg_ms since)
{
	struct cgw_fleet *f = arg;
	struct cgw_member *m = cgw_fleet_member(f, daemon);

	if (!m || m->last_message_at >= since)
		return true;
	if (m->last_ping_at < since)
		cgw_fleet_send_ping(f, m);
	return false;
}

static void end_following(struct cgw_fleet *f, struct cgw_member *m)
{
	if (m->last_follow_at < 0)
		return;
	m->last_follow_at = -FOLLOWER_TIMEOUT_MS;
	cgw_broker_remove_daemon(f->broker, m->name, cgw_loop_now(f->loop));
}

void cgw_fleet_expire_followers(struct cgw_fleet *f)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cgw_member *m = value;

		if (!follows_this(f, m))
			end_following(f, m);
	}
}

void cgw_fleet_report_eligibility(struct cgw_fleet *f)
{
	int eligibility = own_eligibility(f);
	GPtrArray *a = cgw_fleet_ranking(f);

	if (!f->leading || eligibility == f->reported_eligibility)
		return;
	f->reported_eligibility = eligibility;
	f->degraded_since =
		eligibility == CGW_ELIGIBILITY_FULL ||
				eligibility == CGW_ELIGIBILITY_NO_CONFIG
			? 0
			: cgw_loop_now(f->loop);
	for (guint i = 0; i < a->len; i++) {
		struct cgw_member *m = g_ptr_array_index(a, i);

		/* What the others have reported before this daemon failed to
		 * read the store says nothing about now. */
		m->eligibility = MIN(m->eligibility, CGW_ELIGIBILITY_NO_STORE);
		if (i < BEST_COUNT)
			cgw_fleet_send_pong(f, m, 0, m->config_version);
	}
}

bool cgw_fleet_cannot_read_store(const struct cgw_member *m)
{
	return m->eligibility == CGW_ELIGIBILITY_NO_STORE ||
	       m->eligibility == CGW_ELIGIBILITY_NO_CONFIG_NO_STORE;
}

void cgw_fleet_handle_ping(struct cgw_fleet *f, struct cgw_member *m,
			   const fleet_ping *p)
{
	cg_ms now = cgw_loop_now(f->loop);
	struct cgw_held_slot *held;

	m->config_version = p->config_version;
	cgw_feed_record_known_version(*f->feed, p->config_version);
	set_capacity(f, m, p->capacity);
	cgw_fleet_send_pong(f, m, p->sent_ms, p->config_version);
	if (!p->follows) {
		end_following(f, m);
		return;
	}
	cgw_fleet_record_follower(f, m);
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

/* The daemons that have a newer configuration do not hand it on. Later versions
 * are fetched from them again. */
static void read_version_from_store(struct cgw_fleet *f)
{
	cgw_feed_refresh(*f->feed);
	cgw_handoff_forget_failures(f->handoff);
}

/* The broker of another domain names the one that has taken over from it. */
static void handle_succession(struct cgw_fleet *f, const struct cgw_member *m,
			      const char *broker)
{
	struct other_broker *o =
		g_hash_table_lookup(f->other_brokers, m->domain);

	if (o && *broker && !strcmp(o->name, m->name) &&
	    strcmp(broker, m->name) != 0)
		o->heartbeat_at = 0;
}

/* Whether the broker of another domain has sent a heartbeat recently. */
static bool hears_broker_of(struct cgw_fleet *f, const char *domain)
{
	const struct other_broker *o =
		g_hash_table_lookup(f->other_brokers, domain);

	return o && o->heartbeat_at &&
	       cgw_loop_now(f->loop) - o->heartbeat_at <
		       OTHER_BROKER_TIMEOUT_MS;
}

/* Those that lead next try to read the store at once: until one of them leads,
 * the requests of the domain may have to wait. */
static void record_degraded_leader(struct cgw_fleet *f)
{
	f->leader_degraded_at = cgw_loop_now(f->loop);
	if (cgw_fleet_leads_next(f))
		f->next_store_read_at = f->leader_degraded_at;
}

void cgw_fleet_handle_pong(struct cgw_fleet *f, struct cgw_member *m,
			   const fleet_pong *p)
{
	struct in_addr broker_ip = { .s_addr = htonl(p->broker_ip) };
	struct in_addr source = { .s_addr = htonl(p->config_source_ip) };
	struct cgw_member *broker = cgw_fleet_member(f, p->broker);

	m->last_pong_at = cgw_loop_now(f->loop);
	m->eligibility = p->eligibility;
	set_capacity(f, m, p->capacity);
	m->config_version = p->config_version;
	cgw_fleet_record_store(f, m, p);
	g_strlcpy(m->broker, p->broker, sizeof(m->broker));
	if (p->proof_age_ms >= 0)
		m->proved_at =
			MAX(m->proved_at, (cg_ms)p->echo_ms - p->proof_age_ms);
	/* The list of the fleet that this daemon has read may lack the broker. */
	if (!broker && *p->broker && p->broker_ip)
		broker = cgw_fleet_add_member(f, p->broker, m->domain,
					      broker_ip);
	if (!cgw_fleet_own_domain(f, m)) {
		handle_succession(f, m, p->broker);
		/* A daemon that is cut off from its broker names itself. */
		if (broker && !strcmp(broker->domain, m->domain) &&
		    !hears_broker_of(f, m->domain))
			cgw_fleet_record_other_broker(f, m->domain,
						      broker->name, broker->ip);
		return;
	}
	cgw_fleet_record_evacuation(f, p);
	if (!strcmp(m->name, f->leader)) {
		if (p->domain_daemons)
			f->domain_daemons = p->domain_daemons;
		if (!cgw_fleet_cannot_read_store(m))
			f->leader_degraded_at = 0;
		else if (!f->leader_degraded_at)
			record_degraded_leader(f);
	}
	if (p->config_version > cgw_fleet_config_version(f)) {
		if (p->config_source_ip &&
		    cgw_handoff_failures(f->handoff) < HANDOFF_FAILURES_MAX)
			cgw_handoff_fetch_config(f->handoff, source,
						 p->config_version,
						 m->proved_at);
		else
			read_version_from_store(f);
	}
	/* The proof's age is counted from the time of the ping that the pong
	 * echoes, so that a delayed datagram never makes a proof look
	 * fresher than it is. */
	if (p->proof_age_ms >= 0)
		cgw_feed_record_proof(*f->feed, p->config_version,
				      (cg_ms)p->echo_ms - p->proof_age_ms);
}
