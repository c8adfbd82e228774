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
	f->servers_fresh = false;
	cgw_feed_set_polling(*f->feed, leading);
}

void cgw_fleet_handle_server_list(struct cgw_fleet *f)
{
	GArray *early = f->early;

	if (!f->leading)
		return;
	f->servers_fresh = true;
	f->early = g_array_new(FALSE, FALSE, sizeof(struct cgw_ask));
	for (guint i = 0; i < early->len; i++)
		cgw_broker_ask(f->broker,
			       &g_array_index(early, struct cgw_ask, i),
			       cgw_loop_now(f->loop));
	g_array_unref(early);
}

static void on_tick(struct cgw_timer *t)
{
	struct cgw_fleet *f = caa_container_of(t, struct cgw_fleet, tick);
	cg_ms now = cgw_loop_now(f->loop);

	cgw_fleet_choose_leader(f);
	cgw_fleet_ping_domain(f);
	cgw_fleet_set_leading(f, cgw_fleet_is_followed(f));
	cgw_fleet_watch_proof(f);
	/* Without the store, the servers last known are better than none. */
	if (!f->servers_fresh && !cgw_feed_is_healthy(*f->feed))
		cgw_fleet_handle_server_list(f);
	if (f->leading) {
		cgw_fleet_forget_silent(f);
		cgw_broker_set_part(f->broker, cgw_fleet_part(f));
		if (now - f->beat_at >= BEAT_MS)
			cgw_fleet_beat(f);
		if (cgw_broker_busy(f->broker))
			cgw_broker_tick(f->broker, now);
	}
	cgw_timer_arm(f->loop, t,
		      now + (f->leading || !*f->leader || f->doubt_at
				     ? TICK_MS
				     : TICK_IDLE_MS));
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
	};

	f->loop = l;
	f->settings = s;
	f->incarnation = incarnation;
	f->feed = feed;
	f->io.fd = -1;
	f->io.ready = cgw_fleet_on_datagram;
	f->members =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	f->other_brokers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->broker = cgw_broker_new(&bs, cgw_fleet_on_verdict, f);
	CDS_INIT_LIST_HEAD(&f->slots);
	f->early = g_array_new(FALSE, FALSE, sizeof(struct cgw_ask));
	g_queue_init(&f->verdicts);
	f->verdict_timer.fire = cgw_fleet_deliver_own;
	f->next_id = incarnation;
	f->started_at = cgw_loop_now(l);
	f->tick.fire = on_tick;
	if (inet_pton(AF_INET, s->address, &f->ip) == 1 && !open_socket(f)) {
		cgw_timer_arm(l, &f->tick, f->started_at + TICK_MS);
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
	cgw_timer_cancel(f->loop, &f->tick);
	cgw_timer_cancel(f->loop, &f->verdict_timer);
	g_queue_clear_full(&f->verdicts, g_free);
	g_array_unref(f->early);
	if (f->io.fd >= 0) {
		cgw_loop_del(f->loop, &f->io);
		close(f->io.fd);
	}
	cgw_broker_free(f->broker);
	g_hash_table_unref(f->members);
	g_hash_table_unref(f->other_brokers);
	g_free(f);
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

const char *cgw_fleet_leader(struct cgw_fleet *f)
{
	return f->leader;
}
