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
/* The balancer asks once a second and needs two misses. */
#define LAME_DUCK_MS 2600
/* Longest wait of the loop without any timer. */
#define STEP_MS 1000
/* Part of the grace time after which what still runs is cut. */
#define GRACE_PART 0.93
/* Before that, for the broker's step of 50 ms, 200 ms without word from it, and
 * the way of the refusal. */
#define REFUSE_BEFORE_MS 400
#define STOP_POLL_MS	 50

static volatile sig_atomic_t stop_wanted;
static volatile sig_atomic_t reload_wanted;

static void on_signal(int sig)
{
	if (sig == SIGHUP)
		reload_wanted = 1;
	else
		stop_wanted = 1;
}

static void catch_signals(void)
{
	struct sigaction a = { .sa_handler = on_signal };

	sigaction(SIGTERM, &a, NULL);
	sigaction(SIGINT, &a, NULL);
	sigaction(SIGHUP, &a, NULL);
	signal(SIGPIPE, SIG_IGN);
}

const char *cgw_gateway_unready(struct cgw_gateway *g)
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

static void on_table(void *arg, struct cgw_table *t)
{
	struct cgw_gateway *g = arg;

	cgw_quota_configure(cgw_broker_quota(cgw_fleet_broker(g->fleet)), t,
			    cgw_loop_now(g->loop));
}

static void on_servers(void *arg, const struct cgw_server_facts *s, size_t n)
{
	struct cgw_gateway *g = arg;

	cgw_broker_set_servers(cgw_fleet_broker(g->fleet), s, n,
			       cgw_loop_now(g->loop));
	cgw_fleet_handle_server_list(g->fleet);
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
	g->feed = cgw_feed_new(g->loop, g->client, &g->settings, g->form,
			       &events);
	g->fleet = cgw_fleet_new(g->loop, &g->settings, incarnation, &g->feed);
	if (!g->fleet)
		return -1;
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
	cgw_fleet_free(g->fleet);
	cgw_feed_free(g->feed);
	cgw_upstream_free(g->client);
	cgw_log_close();
	cgw_loop_free(g->loop);
}

static cg_ms cut_at(const struct cgw_gateway *g)
{
	return g->stop_at + (cg_ms)(GRACE_PART * (double)g->settings.grace_ms);
}

cg_ms cgw_gateway_wait_due(const struct cgw_gateway *g, cg_ms due)
{
	return g->stopping ? MIN(due, cut_at(g) - REFUSE_BEFORE_MS) : due;
}

/* Returns whether the process may end now. */
static bool drain(struct cgw_gateway *g, bool *quiet)
{
	cg_ms since = cgw_loop_now(g->loop) - g->stop_at;

	if (since < MIN(LAME_DUCK_MS, g->settings.grace_ms / 2))
		return false;
	if (!*quiet) {
		*quiet = true;
		cgw_ingress_quiesce(g->ingress);
	}
	cgw_ingress_close_idle(g->ingress);
	if (!g->running)
		return true;
	if (cgw_loop_now(g->loop) < cut_at(g))
		return false;
	cg_warning("stops with %u requests running", g->running);
	return true;
}

static void begin_stop(struct cgw_gateway *g)
{
	g->stopping = true;
	g->stop_at = cgw_loop_now(g->loop);
	cgw_fleet_leave(g->fleet);
	cg_info("stopping: not ready any more, %u requests running",
		g->running);
}

static void reload(const char *path)
{
	struct cgw_settings s;
	struct cg_faults faults = { 0 };

	if (cgw_settings_load(path, &s, &faults)) {
		cg_warning("settings reloaded with faults, the old ones stay: "
			   "%s",
			   faults.n ? faults.lines[0] : "");
		cg_faults_clear(&faults);
		return;
	}
	/* Addresses and bounds are taken at start; a platform that moves them
	 * starts the process anew. */
	cg_info("settings read again and found good; they count from the next "
		"start");
	cgw_settings_clear(&s);
}

static void serve(struct cgw_gateway *g, const char *path)
{
	bool quiet = false;

	for (;;) {
		if (stop_wanted && !g->stopping)
			begin_stop(g);
		if (reload_wanted) {
			reload_wanted = 0;
			reload(path);
		}
		if (g->stopping && drain(g, &quiet))
			return;
		if (cgw_loop_step(g->loop,
				  g->stopping ? STOP_POLL_MS : STEP_MS)) {
			cg_error("the event loop fails");
			return;
		}
	}
}

int cgw_gateway_main(const char *path, const struct cgw_store_form *form)
{
	static struct cgw_gateway g;
	struct cg_faults faults = { 0 };
	GLogLevelFlags level = G_LOG_LEVEL_INFO;
	int rc = EXIT_SUCCESS;

	if (cgw_settings_load(path, &g.settings, &faults)) {
		cg_faults_print(&faults, stderr);
		cg_faults_clear(&faults);
		return EXIT_SETTINGS;
	}
	cg_log_parse_level(g.settings.log_level, &level);
	cg_log_init(g.settings.instance, level, TRUE);
	g.form = form;
	cg_clock_init_boot(&g.clk);
	catch_signals();
	if (start(&g)) {
		cg_error("cannot start");
		rc = EXIT_START;
	} else {
		serve(&g, path);
		cg_info("stopped");
	}
	stop(&g);
	cgw_settings_clear(&g.settings);
	return rc;
}
