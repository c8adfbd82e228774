#define CG_PART "gateway"
#include "gateway/gateway.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "gateway/decision_log.h"
#include "gateway/ingress.h"
#include "internal/logging.h"

#define EXIT_SETTINGS 2
#define EXIT_START    3
#define EXIT_LOOP     4
/* Time between failing the readiness check and closing the listening socket.
 * The load balancer checks once a second and removes a daemon after two failed
 * checks. */
#define LAME_DUCK_MS 2600
/* Longest wait of the event loop if no timer is armed. */
#define MAX_WAIT_MS 1000
/* Share of grace_ms after which requests that still run are answered as at
 * their deadlines, and the share for sending these responses. */
#define DRAIN_SHARE 0.93
#define FLUSH_SHARE 0.04
/* Requests that wait for a slot are refused this long before the others are
 * aborted. Covers the broker's tick of 50 ms, up to 200 ms without a message
 * from it, and the time to send the refusal. */
#define SLOT_REFUSAL_MARGIN_MS 400
#define STOP_POLL_MS	       50

static volatile sig_atomic_t stop_requested;
static volatile sig_atomic_t reload_requested;

static void on_signal(int sig)
{
	if (sig == SIGHUP)
		reload_requested = 1;
	else
		stop_requested = 1;
}

static void install_signal_handlers(void)
{
	struct sigaction a = { .sa_handler = on_signal };

	sigaction(SIGTERM, &a, NULL);
	sigaction(SIGINT, &a, NULL);
	sigaction(SIGHUP, &a, NULL);
	signal(SIGPIPE, SIG_IGN);
}

const char *cgw_gateway_unready_reason(struct cgw_gateway *g)
{
	cg_ms bound = g->settings.key_proof_ms;

	if (g->stopping)
		return "stopping";
	if (!cgw_feed_table(g->feed))
		return "no configuration yet";
	if (!cgw_fleet_has_leader(g->fleet))
		return "no broker yet";
	if (bound &&
	    cgw_loop_now(g->loop) - cgw_feed_proved_at(g->feed) > bound)
		return "configuration may be out of date";
	return NULL;
}

static void set_warmup_rate(void *arg, const char *service)
{
	struct cgw_gateway *g = arg;

	cgw_broker_set_warmup_rate(
		cgw_fleet_broker(g->fleet), service,
		cgw_table_warmup_rate(cgw_feed_table(g->feed), service),
		cgw_loop_now(g->loop));
}

static void on_table(void *arg, struct cgw_table *t)
{
	struct cgw_gateway *g = arg;
	struct cgw_broker *b = cgw_fleet_broker(g->fleet);
	bool by_urgency = g->settings.admission == CGW_ADMISSION_URGENCY ||
			  (g->settings.admission == CGW_ADMISSION_AUTO &&
			   cgw_table_has_bulk_route(t));

	cgw_broker_configure(b, t, cgw_loop_now(g->loop));
	cgw_broker_set_admission_by_urgency(b, by_urgency,
					    cgw_loop_now(g->loop));
	cgw_table_each_service(t, set_warmup_rate, g);
}

static void on_evacuation(void *arg)
{
	struct cgw_gateway *g = arg;

	cgw_fleet_handle_evacuation(g->fleet);
}

static void on_servers(void *arg, const struct cgw_server_facts *s, size_t n)
{
	struct cgw_gateway *g = arg;

	cgw_broker_set_servers(cgw_fleet_broker(g->fleet), s, n,
			       cgw_loop_now(g->loop));
	cgw_fleet_update_servers_usable(g->fleet);
}

static void on_fleet(void *arg, const struct cgw_fleet_entry *e, size_t n)
{
	struct cgw_gateway *g = arg;

	cgw_fleet_update_entries(g->fleet, e, n);
}

static int start(struct cgw_gateway *g)
{
	struct cgw_feed_events events = {
		.arg = g,
		.table = on_table,
		.servers = on_servers,
		.fleet = on_fleet,
	};
	uint64_t incarnation = (uint64_t)(g_get_real_time() / 1000) << 20 |
			       (g_random_int() & 0xfffff);

	g->loop = cgw_loop_new(&g->clk);
	if (!g->loop)
		return -1;
	cgw_log_open(g->loop, g->settings.instance);
	g->client = cgw_upstream_new(g->loop);
	cgw_upstream_set_limits(g->client, g->settings.response_max_bytes,
				g->settings.responses_max_bytes);
	g->feed = cgw_feed_new(g->loop, g->client, &g->settings, g->format,
			       &events);
	g->fleet = cgw_fleet_new(g->loop, &g->settings, incarnation, &g->feed);
	if (!g->fleet)
		return -1;
	g->handoff = cgw_handoff_new(g);
	if (!g->handoff)
		return -1;
	cgw_fleet_set_handoff(g->fleet, g->handoff);
	g->evacuations = cgw_evacuations_new(g->loop, g->client, &g->settings,
					     g->format, on_evacuation, g);
	cgw_fleet_set_evacuations(g->fleet, g->evacuations);
	g->ingress = cgw_ingress_new(g);
	if (!g->ingress)
		return -1;
	cgw_feed_start(g->feed);
	cg_info("started, incarnation %" G_GUINT64_FORMAT, incarnation);
	return 0;
}

static void stop(struct cgw_gateway *g)
{
	cgw_ingress_free(g->ingress);
	cgw_handoff_free(g->handoff);
	cgw_fleet_free(g->fleet);
	cgw_evacuations_free(g->evacuations);
	cgw_feed_free(g->feed);
	cgw_upstream_free(g->client);
	cgw_log_close();
	cgw_loop_free(g->loop);
}

static cg_ms drain_deadline(const struct cgw_gateway *g)
{
	return g->stop_began_at +
	       (cg_ms)(DRAIN_SHARE * (double)g->settings.grace_ms);
}

cg_ms cgw_gateway_grace_left(const struct cgw_gateway *g)
{
	return drain_deadline(g) - cgw_loop_now(g->loop);
}

cg_ms cgw_gateway_slot_deadline(const struct cgw_gateway *g, cg_ms deadline)
{
	return g->stopping ? MIN(deadline,
				 drain_deadline(g) - SLOT_REFUSAL_MARGIN_MS)
			   : deadline;
}

/* Returns whether the process may exit now. */
static bool drain(struct cgw_gateway *g)
{
	cg_ms elapsed = cgw_loop_now(g->loop) - g->stop_began_at;

	if (elapsed < MIN(LAME_DUCK_MS, g->settings.grace_ms / 2))
		return false;
	if (!g->refusing_new) {
		g->refusing_new = true;
		cgw_ingress_quiesce(g->ingress);
	}
	cgw_ingress_close_idle(g->ingress);
	if (!g->running_requests && cgw_ingress_is_delivered(g->ingress))
		return true;
	if (cgw_loop_now(g->loop) < drain_deadline(g))
		return false;
	if (g->running_requests && !g->expired_running) {
		g->expired_running = true;
		cg_warning("the grace time ends: responding to %u requests "
			   "that still run",
			   g->running_requests);
		cgw_ingress_expire_running(g->ingress);
		return false;
	}
	if (cgw_loop_now(g->loop) <
	    drain_deadline(g) +
		    (cg_ms)(FLUSH_SHARE * (double)g->settings.grace_ms))
		return false;
	cg_warning("exiting with %u requests still running%s",
		   g->running_requests,
		   cgw_ingress_is_delivered(g->ingress)
			   ? ""
			   : " and responses that callers have not received");
	return true;
}

static void begin_stop(struct cgw_gateway *g)
{
	g->stopping = true;
	g->stop_began_at = cgw_loop_now(g->loop);
	cgw_fleet_leave(g->fleet);
	cg_info("stopping: readiness check fails from now on, %u requests "
		"running",
		g->running_requests);
}

static void reload(const char *path)
{
	struct cgw_settings s;
	struct cg_faults faults = { 0 };

	if (cgw_settings_load(path, &s, &faults)) {
		cg_warning("settings file is invalid; keeping the current "
			   "settings: %s",
			   faults.n ? faults.lines[0] : "");
		cg_faults_clear(&faults);
		return;
	}
	/* Addresses and limits are read only at startup; a platform that
	 * changes them restarts the process. */
	cg_info("settings file is valid; changes take effect at the next "
		"start");
	cgw_settings_clear(&s);
}

/* Returns 0 after a stop, or -1 if the event loop failed. */
static int serve(struct cgw_gateway *g, const char *path)
{
	for (;;) {
		if (stop_requested && !g->stopping)
			begin_stop(g);
		if (reload_requested) {
			reload_requested = 0;
			reload(path);
		}
		if (g->stopping && drain(g))
			return 0;
		if (cgw_loop_step(g->loop,
				  g->stopping ? STOP_POLL_MS : MAX_WAIT_MS)) {
			cg_error("event loop failed; exiting");
			return -1;
		}
	}
}

int cgw_gateway_main(const char *path, const struct cgw_store_format *format)
{
	static struct cgw_gateway g;
	struct cg_faults faults = { 0 };
	GLogLevelFlags level = G_LOG_LEVEL_INFO;
	int rc = EXIT_SUCCESS;

	/* A signal that arrives before its handler is installed terminates the
	 * process, whose supervisor then takes the stop for a crash. */
	install_signal_handlers();
	cg_memory_init_allocator();
	if (cgw_settings_load(path, &g.settings, &faults)) {
		if (stop_requested) {
			cg_faults_clear(&faults);
			return EXIT_SUCCESS;
		}
		cg_faults_print(&faults, stderr);
		cg_faults_clear(&faults);
		return EXIT_SETTINGS;
	}
	cg_log_parse_level(g.settings.log_level, &level);
	cg_log_init(g.settings.instance, level, TRUE);
	g.format = format;
	cg_clock_init_boot(&g.clk);
	if (start(&g)) {
		cg_error("startup failed; exiting");
		rc = EXIT_START;
	} else {
		if (serve(&g, path))
			rc = EXIT_LOOP;
		cg_info("stopped");
	}
	stop(&g);
	cgw_settings_clear(&g.settings);
	return rc;
}
