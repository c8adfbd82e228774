#define CG_PART "fleet"
#include "fleet_internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "internal/logging.h"

void cgw_fleet_set_leading(struct cgw_fleet *f, bool leading)
{
	if (leading == f->leading)
		return;
	f->leading = leading;
	f->leading_since = cgw_loop_now(f->loop);
	f->servers_usable = false;
	f->reported_eligibility = CGW_ELIGIBILITY_UNREPORTED;
	f->degraded_since = 0;
	cgw_broker_set_servers_outdated(f->broker, true);
	if (leading)
		cgw_quota_begin_to_lead(cgw_broker_quota(f->broker),
					cgw_loop_now(f->loop));
	if (leading)
		cgw_broker_begin_to_lead(f->broker, cgw_loop_now(f->loop));
	cgw_feed_set_polling(*f->feed, leading);
	if (f->evacuations)
		cgw_evacuations_set_reading(f->evacuations, leading);
}

/* While another daemon led, servers may have left, and client accounts may have used
 * their bursts there. */
void cgw_fleet_begin_to_lead_again(struct cgw_fleet *f)
{
	cgw_fleet_set_leading(f, false);
	cgw_fleet_set_leading(f, cgw_fleet_is_followed(f));
}

static void on_pause(struct cgw_pause_watch *w, cg_ms ms)
{
	struct cgw_fleet *f =
		caa_container_of(w, struct cgw_fleet, pause_watch);

	if (!f->leading)
		return;
	cg_info("stood still for %d ms; begins to lead again", (int)ms);
	cgw_fleet_begin_to_lead_again(f);
}

void cgw_fleet_submit_pending(struct cgw_fleet *f)
{
	GArray *pending = f->pending_requests;

	if (!pending->len || !cgw_fleet_may_decide(f))
		return;
	f->pending_requests =
		g_array_new(FALSE, FALSE, sizeof(struct cgw_slot_request));
	for (guint i = 0; i < pending->len; i++)
		cgw_broker_request_slot(
			f->broker,
			&g_array_index(pending, struct cgw_slot_request, i),
			cgw_loop_now(f->loop));
	g_array_unref(pending);
}

static void on_tick(struct cgw_timer *t)
{
	struct cgw_fleet *f = caa_container_of(t, struct cgw_fleet, tick_timer);
	cg_ms now = cgw_loop_now(f->loop);

	cgw_fleet_report_eligibility(f);
	cgw_fleet_choose_leader(f);
	cgw_fleet_send_due_pings(f);
	cgw_fleet_set_leading(f, cgw_fleet_is_followed(f));
	cgw_fleet_check_proof(f);
	cgw_fleet_check_servers(f);
	cgw_fleet_check_era(f);
	cgw_fleet_update_servers_usable(f);
	cgw_fleet_handle_evacuation(f);
	if (f->leading) {
		cgw_fleet_expire_followers(f);
		cgw_broker_set_share(f->broker, cgw_fleet_rate_share(f));
		if (now - f->last_heartbeat_at >= HEARTBEAT_INTERVAL_MS)
			cgw_fleet_send_heartbeat(f);
		if (cgw_broker_busy(f->broker))
			cgw_broker_tick(f->broker, now);
	}
	cgw_timer_arm(f->loop, t,
		      now + (f->leading || !*f->leader || f->pong_wait_since
				     ? TICK_MS
				     : TICK_FOLLOWER_MS));
}

static int open_socket(struct cgw_fleet *f)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_addr = f->ip };

	sa.sin_port = htons((uint16_t)f->settings->peer_port);
	f->io.fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	if (f->io.fd < 0)
		return -1;
	if (bind(f->io.fd, (struct sockaddr *)&sa, sizeof(sa)))
		return -1;
	return cgw_loop_add(f->loop, &f->io, EPOLLIN);
}

struct cgw_fleet *cgw_fleet_new(struct cgw_loop *l,
				const struct cgw_settings *s,
				uint64_t incarnation, struct cgw_feed **feed)
{
	struct cgw_fleet *f = g_new0(struct cgw_fleet, 1);
	struct cgw_broker_settings bs = {
		.domain = s->domain,
		.domains = s->domains->len,
		.retry_ratio = s->retry_ratio,
		.retry_slack = s->retry_slack,
		.retry_window_ms = s->retry_window_ms,
		.min_share = s->min_share,
		.placement = s->placement,
		.warmup_burst = s->warmup_burst,
		.warmup_slack = s->warmup_slack,
		.heard_since = cgw_fleet_heard_since,
	};

	f->loop = l;
	f->settings = s;
	f->incarnation = incarnation;
	f->capacity = cgw_settings_capacity(s);
	f->feed = feed;
	f->io.fd = -1;
	f->io.ready = cgw_fleet_on_datagram;
	f->members =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	f->ranking = g_ptr_array_new();
	f->other_brokers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->broker = cgw_broker_new(&bs, cgw_fleet_on_broker_decision, f);
	f->notices = cgw_server_notices_new();
	CDS_INIT_LIST_HEAD(&f->slots);
	f->pending_requests =
		g_array_new(FALSE, FALSE, sizeof(struct cgw_slot_request));
	g_queue_init(&f->own_decisions);
	f->decision_timer.fire = cgw_fleet_deliver_own_decisions;
	f->next_id = incarnation;
	f->started_at = cgw_loop_now(l);
	f->tick_timer.fire = on_tick;
	f->pause_watch.min_ms = REPLACED_AFTER_MS;
	f->pause_watch.paused = on_pause;
	cgw_loop_watch_pauses(l, &f->pause_watch);
	if (inet_pton(AF_INET, s->address, &f->ip) == 1 && !open_socket(f)) {
		cgw_timer_arm(l, &f->tick_timer, f->started_at + TICK_MS);
		return f;
	}
	cg_error("cannot listen for other daemons on %s:%d: %s", s->address,
		 (int)s->peer_port, g_strerror(errno));
	cgw_fleet_free(f);
	return NULL;
}

void cgw_fleet_free(struct cgw_fleet *f)
{
	if (!f)
		return;
	cgw_loop_watch_pauses(f->loop, NULL);
	cgw_timer_cancel(f->loop, &f->tick_timer);
	cgw_timer_cancel(f->loop, &f->decision_timer);
	g_queue_clear_full(&f->own_decisions, g_free);
	g_array_unref(f->pending_requests);
	if (f->io.fd >= 0) {
		cgw_loop_del(f->loop, &f->io);
		close(f->io.fd);
	}
	cgw_broker_free(f->broker);
	cgw_server_notices_free(f->notices);
	g_ptr_array_unref(f->ranking);
	g_hash_table_unref(f->members);
	g_hash_table_unref(f->other_brokers);
	g_free(f);
}

void cgw_fleet_set_handoff(struct cgw_fleet *f, struct cgw_handoff *h)
{
	f->handoff = h;
}

void cgw_fleet_ping_leader(struct cgw_fleet *f)
{
	struct cgw_member *leader = cgw_fleet_member(f, f->leader);

	if (leader)
		cgw_fleet_send_ping(f, leader);
}

void cgw_fleet_leave(struct cgw_fleet *f)
{
	f->leaving = true;
}

struct cgw_broker *cgw_fleet_broker(struct cgw_fleet *f)
{
	return f->broker;
}

bool cgw_fleet_has_leader(struct cgw_fleet *f)
{
	return *f->leader != '\0';
}

bool cgw_fleet_leads(const struct cgw_fleet *f)
{
	return f->leading;
}

const char *cgw_fleet_other_leader(struct cgw_fleet *f,
				   char ip[INET_ADDRSTRLEN])
{
	const struct cgw_member *m = cgw_fleet_member(f, f->leader);

	*ip = '\0';
	if (!m)
		return "";
	inet_ntop(AF_INET, &m->ip, ip, INET_ADDRSTRLEN);
	return m->name;
}

const char *cgw_fleet_leader(struct cgw_fleet *f)
{
	return f->leader;
}
