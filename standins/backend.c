/* Stand-in for backend servers: slots, load shedding, warm-up after a start,
 * drain, and injected gray failures. One process serves several ports and
 * counts the executions of each request id. */
#include <argp.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/executions.h"
#include "support/http.h"

#define POLL_MS	    20
#define MAX_SERVERS 64

/* Faults that a server can apply to a request: X(symbol, name). "Executes"
 * means that the execution is counted; older connections are those that were
 * opened before the fault was set. */
#define FAULTS(X)                                                              \
	X(NONE, "none")                                                        \
	X(FAIL, "fail") /* executes, then sends 500 */                         \
	X(FREEZE, "freeze") /* accepts, never executes or responds */          \
	X(SILENT_OLD, "silent_old") /* FREEZE on older connections only */     \
	X(TRUNCATE, "truncate") /* executes, sends half of the body */         \
	X(TRUNCATE_CHUNKED, "truncate_chunked") /* executes, no last chunk */  \
	X(CLOSE_AFTER_READ, "close_after_read") /* does not execute */         \
	X(LOSE, "lose_response") /* executes, then closes */                   \
	X(CLOSE_BEFORE_READ, "close_before_read") /* does not execute */       \
	X(LATE, "late") /* executes, then waits late_ms */                     \
	X(CROSSED, "crossed") /* executes, sends another request's response */

enum fault {
#define X(sym, name) FAULT_##sym,
	FAULTS(X)
#undef X
	FAULT_COUNT,
};

static const char *const fault_names[] = {
#define X(sym, name) name,
	FAULTS(X)
#undef X
};

enum health {
	HEALTH_ACTUAL,
	HEALTH_OK, /* Reports healthy whatever the state. */
	HEALTH_BAD, /* Reports unhealthy whatever the state. */
};

struct server {
	int port;
	struct MHD_Daemon *http;
	enum fault fault;
	double fault_share, slow_factor;
	int64_t late_ms, silent_before, started_at;
	bool refuse, draining, echo, stopping;
	enum health health;
	int64_t health_lag_ms, reported_at;
	bool reported_draining;
	int reported_running;
	int running, waiting;
	char *last_id, *last_attempt;
	uint64_t connections, requests, executed, shed, cancelled;
	int64_t last_started_at; /* Start of the last execution, ms. */
};

static struct {
	GMutex lock;
	GCond slot_free;
	struct server servers[MAX_SERVERS];
	int n;
} be;

static struct {
	int port, count, control, slots, queue, size;
	double service_ms, warmup_factor;
	int warmup_ms;
	enum {
		FIXED,
		EXPONENTIAL,
		LOGNORMAL
	} distribution;
	char *journal;
	bool no_echo;
} opts = { .port = 9001,
	   .count = 1,
	   .control = 9000,
	   .slots = 3,
	   .queue = 0,
	   .size = 200,
	   .service_ms = 5,
	   .warmup_factor = 4 };

static double service_time(struct server *s)
{
	double u = g_random_double_range(1e-9, 1), ms = opts.service_ms;

	if (opts.distribution == EXPONENTIAL)
		ms *= -log(u);
	else if (opts.distribution == LOGNORMAL)
		/* The median is service_ms, sigma is 0.5. */
		ms *= exp(0.5 * sqrt(-2 * log(u)) *
			  cos(2 * G_PI * g_random_double()));
	ms *= s->slow_factor;
	if (sh_now_ms() < s->started_at + opts.warmup_ms)
		ms *= opts.warmup_factor;
	return ms;
}

/* Blocks until the fault is removed, the caller disconnects or the server
 * stops. */
static void wait_while_fault(struct MHD_Connection *c, struct server *s,
			     enum fault f)
{
	while (!s->stopping && s->fault == f)
		if (sh_wait_for_close(c, POLL_MS))
			return;
}

/* Simulates an execution of @p ms milliseconds. Returns false if the caller
 * disconnected or the server stopped before its end. */
static bool run_for(struct MHD_Connection *c, struct server *s, double ms)
{
	int64_t end = g_get_monotonic_time() + (int64_t)(ms * 1000),
		remaining_us;

	while ((remaining_us = end - g_get_monotonic_time()) > 0) {
		if (s->stopping)
			return false;
		/* poll() has a resolution of 1 ms. */
		if (remaining_us < 1500)
			g_usleep((gulong)remaining_us);
		else if (sh_wait_for_close(
				 c, (int)MIN(POLL_MS, remaining_us / 1000)))
			return false;
	}
	return true;
}

enum admission {
	ADMITTED,
	SHED,
	/* The caller disconnected, its deadline passed or the server stopped. */
	ABANDONED,
};

static enum admission acquire_slot(struct MHD_Connection *c, struct server *s,
				   int64_t deadline)
{
	enum admission a = ADMITTED;

	g_mutex_lock(&be.lock);
	if (s->running >= opts.slots && s->waiting >= opts.queue) {
		s->shed++;
		a = SHED;
	} else {
		s->waiting++;
		while (s->running >= opts.slots && a == ADMITTED) {
			g_cond_wait_until(&be.slot_free, &be.lock,
					  g_get_monotonic_time() +
						  POLL_MS * 1000);
			if (s->stopping || sh_now_ms() >= deadline ||
			    sh_wait_for_close(c, 0))
				a = ABANDONED;
		}
		s->waiting--;
	}
	if (a == ADMITTED)
		s->running++;
	if (a == ABANDONED)
		s->cancelled++;
	g_mutex_unlock(&be.lock);
	return a;
}

static void release_slot(struct server *s)
{
	g_mutex_lock(&be.lock);
	s->running--;
	g_cond_broadcast(&be.slot_free);
	g_mutex_unlock(&be.lock);
}

/* Updates the reported health and load if they are health_lag_ms old. Called
 * with the lock held. */
static void update_reported_state(struct server *s)
{
	int64_t now = sh_now_ms();

	if (s->reported_at && now - s->reported_at < s->health_lag_ms)
		return;
	s->reported_at = now;
	s->reported_draining = s->draining;
	s->reported_running = s->running;
}

static enum MHD_Result send_response(struct MHD_Connection *c, struct server *s,
				     unsigned int status,
				     struct MHD_Response *r)
{
	char load[32];
	bool draining;

	g_mutex_lock(&be.lock);
	update_reported_state(s);
	draining = s->draining;
	snprintf(load, sizeof(load), "%d/%d",
		 s->health == HEALTH_OK ? 0 : s->reported_running, opts.slots);
	g_mutex_unlock(&be.lock);
	MHD_add_response_header(r, "Load", load);
	if (draining)
		MHD_add_response_header(r, "Draining", "1");
	return sh_send(c, status, r);
}

static enum MHD_Result get_health(struct MHD_Connection *c, struct server *s)
{
	bool ok;

	g_mutex_lock(&be.lock);
	update_reported_state(s);
	ok = s->health == HEALTH_ACTUAL ? !s->reported_draining
					: s->health == HEALTH_OK;
	g_mutex_unlock(&be.lock);
	return send_response(c, s,
			     ok ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
			     sh_response(ok ? "ok" : "bad", ok ? 2 : 3));
}

/* A body that ends before its declared length or before the last chunk. */
struct truncated_body {
	size_t len;
	char text[];
};

static ssize_t read_truncated_body(void *arg, uint64_t pos, char *buf,
				   size_t max)
{
	struct truncated_body *t = arg;
	size_t n;

	if (pos >= t->len)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	n = MIN(max, t->len - pos);
	memcpy(buf, t->text + pos, n);
	return (ssize_t)n;
}

static struct MHD_Response *truncated_response(const char *text, bool chunked)
{
	size_t len = strlen(text);
	struct truncated_body *t = g_malloc(sizeof(*t) + len);

	t->len = len / 2;
	memcpy(t->text, text, len);
	return MHD_create_response_from_callback(
		chunked ? MHD_SIZE_UNKNOWN : len, 4096, read_truncated_body, t,
		g_free);
}

static char *make_body(struct server *s, const char *id)
{
	return g_strdup_printf("{\"request_id\":\"%s\",\"server\":%d,"
			       "\"padding\":\"%*s\",\"end\":true}\n",
			       id, s->port, opts.size, "");
}

static enum MHD_Result respond(struct MHD_Connection *c, struct server *s,
			       enum fault f, const char *id,
			       const char *attempt)
{
	unsigned int status =
		f == FAULT_FAIL ? MHD_HTTP_INTERNAL_SERVER_ERROR : MHD_HTTP_OK;
	bool cut = f == FAULT_TRUNCATE || f == FAULT_TRUNCATE_CHUNKED;
	char *body = make_body(s, id);
	struct MHD_Response *r;

	r = cut ? truncated_response(body, f == FAULT_TRUNCATE_CHUNKED)
		: sh_response(body, strlen(body));
	g_free(body);
	if (s->echo && *attempt)
		MHD_add_response_header(r, "Celeryglade-Attempt", attempt);
	return send_response(c, s, status, r);
}

/* Stores the ids of this request and returns those of the one before it, which
 * the caller frees. */
static void swap_last_ids(struct server *s, const char *id, const char *attempt,
			  char **other_id, char **other_attempt)
{
	g_mutex_lock(&be.lock);
	*other_id = s->last_id ? s->last_id : g_strdup("another-request");
	*other_attempt =
		s->last_attempt ? s->last_attempt : g_strdup("another-attempt");
	s->last_id = g_strdup(id);
	s->last_attempt = g_strdup(attempt);
	g_mutex_unlock(&be.lock);
}

static enum MHD_Result execute(struct MHD_Connection *c, struct server *s,
			       enum fault f, const char *id,
			       const char *attempt)
{
	char *other_id = NULL, *other_attempt = NULL;
	enum MHD_Result rc;
	double ms;
	bool done;

	g_mutex_lock(&be.lock);
	sh_executions_add(c, id, attempt);
	s->executed++;
	s->last_started_at = sh_now_ms();
	ms = service_time(s);
	g_mutex_unlock(&be.lock);
	done = run_for(c, s, ms);
	release_slot(s);
	if (done && f == FAULT_LATE)
		done = run_for(c, s, (double)s->late_ms);
	if (!done || f == FAULT_LOSE) {
		g_mutex_lock(&be.lock);
		s->cancelled += !done;
		g_mutex_unlock(&be.lock);
		return MHD_NO;
	}
	swap_last_ids(s, id, attempt, &other_id, &other_attempt);
	if (f == FAULT_CROSSED)
		rc = respond(c, s, f, other_id, other_attempt);
	else
		rc = respond(c, s, f, id, attempt);
	g_free(other_id);
	g_free(other_attempt);
	return rc;
}

static bool is_older_connection(struct MHD_Connection *c, struct server *s)
{
	const union MHD_ConnectionInfo *i =
		MHD_get_connection_info(c, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return (int64_t)(intptr_t)i->socket_context < s->silent_before;
}

/* Returns the fault to apply to this request. */
static enum fault pick_fault(struct MHD_Connection *c, struct server *s)
{
	enum fault f = s->fault;

	if (f == FAULT_SILENT_OLD)
		return is_older_connection(c, s) ? f : FAULT_NONE;
	return g_random_double() < s->fault_share ? f : FAULT_NONE;
}

static enum MHD_Result handle_request(struct MHD_Connection *c,
				      struct server *s)
{
	const char *id = sh_header(c, "X-Request-Id");
	const char *attempt = sh_header(c, "Celeryglade-Attempt");
	const char *limit = sh_header(c, "Celeryglade-Deadline-Ms");
	enum fault f = pick_fault(c, s);
	struct MHD_Response *r;

	g_mutex_lock(&be.lock);
	s->requests++;
	g_mutex_unlock(&be.lock);
	if (f == FAULT_FREEZE || f == FAULT_SILENT_OLD) {
		wait_while_fault(c, s, f);
		return MHD_NO;
	}
	if (f == FAULT_CLOSE_AFTER_READ)
		return MHD_NO;
	switch (acquire_slot(c, s,
			     limit ? sh_now_ms() + atoll(limit) : INT64_MAX)) {
	case ADMITTED:
		return execute(c, s, f, id ? id : "", attempt ? attempt : "");
	case SHED:
		r = sh_response("shed\n", 5);
		MHD_add_response_header(r, "Not-Run", "1");
		if (s->echo && attempt)
			MHD_add_response_header(r, "Celeryglade-Attempt",
						attempt);
		return send_response(c, s, MHD_HTTP_SERVICE_UNAVAILABLE, r);
	case ABANDONED:
		break;
	}
	return MHD_NO;
}

static enum MHD_Result serve(void *arg, struct MHD_Connection *c,
			     const char *path, const char *method,
			     const char *version, const char *data,
			     size_t *size, void **ctx)
{
	struct server *s = arg;
	bool first = !*ctx;

	if (first && s->fault == FAULT_CLOSE_BEFORE_READ &&
	    pick_fault(c, s) == FAULT_CLOSE_BEFORE_READ)
		return MHD_NO;
	if (!sh_collect_body(ctx, data, size))
		return MHD_YES;
	if (!strcmp(path, "/health"))
		return get_health(c, s);
	return handle_request(c, s);
}

static void count_connection(void *arg, struct MHD_Connection *c,
			     void **socket_ctx,
			     enum MHD_ConnectionNotificationCode code)
{
	struct server *s = arg;

	if (code != MHD_CONNECTION_NOTIFY_STARTED)
		return;
	*socket_ctx = (void *)(intptr_t)sh_now_ms();
	g_mutex_lock(&be.lock);
	s->connections++;
	g_mutex_unlock(&be.lock);
}

/* Stops or starts listening, so that connections are refused or accepted.
 * Returns 0, or -1 if the port cannot be bound. */
static int set_refuse_connections(struct server *s, bool refuse)
{
	if (refuse == !s->http)
		return 0;
	if (refuse) {
		s->stopping = true;
		MHD_stop_daemon(s->http);
		s->http = NULL;
		return 0;
	}
	s->stopping = false;
	s->started_at = sh_now_ms();
	s->http =
		sh_listen((uint16_t)s->port, NULL, count_connection, serve, s);
	return s->http ? 0 : -1;
}

static int set_faults(struct server *s, struct json_object *in)
{
	const char *fault = sh_get_string(in, "fault");
	const char *health = sh_get_string(in, "health");
	bool refuse = !s->http, draining = s->draining, restart_warmup = false;

	g_mutex_lock(&be.lock);
	sh_get_double(in, "share", &s->fault_share);
	sh_get_double(in, "slow_factor", &s->slow_factor);
	sh_get_int(in, "late_ms", &s->late_ms);
	sh_get_int(in, "health_lag_ms", &s->health_lag_ms);
	sh_get_bool(in, "echo", &s->echo);
	sh_get_bool(in, "refuse", &refuse);
	sh_get_bool(in, "draining", &draining);
	sh_get_bool(in, "cold", &restart_warmup);
	for (int i = 0; fault && i < FAULT_COUNT; i++)
		if (!strcmp(fault, fault_names[i]))
			s->fault = (enum fault)i;
	if (fault)
		s->silent_before = sh_now_ms() + 1;
	if (health)
		s->health = !strcmp(health, "ok")    ? HEALTH_OK
			    : !strcmp(health, "bad") ? HEALTH_BAD
						     : HEALTH_ACTUAL;
	s->draining = draining;
	if (restart_warmup)
		s->started_at = sh_now_ms();
	g_mutex_unlock(&be.lock);
	return set_refuse_connections(s, refuse);
}

static void print_server(GString *out, struct server *s)
{
	g_string_append_printf(out,
			       "{\"port\":%d,\"fault\":\"%s\",\"running\":%d,"
			       "\"connections\":%" G_GUINT64_FORMAT
			       ",\"requests\":%" G_GUINT64_FORMAT
			       ",\"executed\":%" G_GUINT64_FORMAT
			       ",\"shed\":%" G_GUINT64_FORMAT
			       ",\"cancelled\":%" G_GUINT64_FORMAT
			       ",\"last_start_ms\":%" G_GINT64_FORMAT "}",
			       s->port, fault_names[s->fault], s->running,
			       s->connections, s->requests, s->executed,
			       s->shed, s->cancelled, s->last_started_at);
}

static GString *print_state(const char *path)
{
	GString *out = g_string_new(NULL);

	g_mutex_lock(&be.lock);
	if (!strcmp(path, "/control/executions")) {
		sh_executions_print(out);
	} else {
		g_string_append(out, "{\"servers\":[");
		for (int i = 0; i < be.n; i++) {
			if (i)
				g_string_append_c(out, ',');
			print_server(out, &be.servers[i]);
		}
		g_string_append(out, "]}\n");
	}
	g_mutex_unlock(&be.lock);
	return out;
}

/* PUT /control[?port=N] sets the faults of one server or of all. DELETE
 * /control/executions clears the counted executions. */
static GString *control(struct MHD_Connection *c, const char *method,
			const char *path, struct json_object *in)
{
	const char *port = sh_query(c, "port");
	int rc = 0;

	if (!strcmp(method, "GET"))
		return print_state(path);
	if (!strcmp(method, "DELETE")) {
		g_mutex_lock(&be.lock);
		sh_executions_clear();
		g_mutex_unlock(&be.lock);
		return g_string_new("{}\n");
	}
	if (!in)
		return NULL;
	for (int i = 0; i < be.n && !rc; i++)
		if (!port || be.servers[i].port == atoi(port))
			rc = set_faults(&be.servers[i], in);
	return rc ? NULL : g_string_new("{}\n");
}

static error_t parse_opt(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 'p':
		opts.port = atoi(arg);
		return 0;
	case 'n':
		opts.count = atoi(arg);
		if (opts.count < 1 || opts.count > MAX_SERVERS)
			argp_error(state, "1 to %d servers", MAX_SERVERS);
		return 0;
	case 'c':
		opts.control = atoi(arg);
		return 0;
	case 's':
		opts.slots = atoi(arg);
		return 0;
	case 'q':
		opts.queue = atoi(arg);
		return 0;
	case 'b':
		opts.size = atoi(arg);
		return 0;
	case 't':
		opts.service_ms = atof(arg);
		return 0;
	case 'd':
		opts.distribution = !strcmp(arg, "exponential") ? EXPONENTIAL
				    : !strcmp(arg, "lognormal") ? LOGNORMAL
								: FIXED;
		return 0;
	case 'w':
		opts.warmup_ms = atoi(arg);
		return 0;
	case 'f':
		opts.warmup_factor = atof(arg);
		return 0;
	case 'j':
		opts.journal = arg;
		return 0;
	case 'e':
		opts.no_echo = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{ "port", 'p', "N", 0, "First port", 0 },
	{ "count", 'n', "N", 0, "Servers, on consecutive ports", 0 },
	{ "control", 'c', "N", 0, "Port of the control path", 0 },
	{ "slots", 's', "N", 0, "Requests that a server runs at once", 0 },
	{ "queue", 'q', "N", 0, "Requests that wait before others are shed",
	  0 },
	{ "body", 'b', "BYTES", 0, "Padding in a response", 0 },
	{ "service-ms", 't', "MS", 0, "Mean or median service time", 0 },
	{ "distribution", 'd', "NAME", 0, "fixed, exponential or lognormal",
	  0 },
	{ "cold-ms", 'w', "MS", 0, "Duration of the warm-up after a start", 0 },
	{ "cold-factor", 'f', "X", 0, "Slowdown during the warm-up", 0 },
	{ "journal", 'j', "FILE", 0, "Append each execution to a file", 0 },
	{ "no-echo", 'e', NULL, 0, "Do not echo Celeryglade-Attempt", 0 },
	{ 0 }
};

static int start_servers(void)
{
	be.n = opts.count;
	for (int i = 0; i < be.n; i++) {
		struct server *s = &be.servers[i];

		s->port = opts.port + i;
		s->slow_factor = 1;
		s->fault_share = 1;
		s->echo = !opts.no_echo;
		if (set_refuse_connections(s, false)) {
			fprintf(stderr, "backend: cannot listen on port %d\n",
				s->port);
			return -1;
		}
	}
	return 0;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		options,
		parse_opt,
		NULL,
		"Stand-in for backend servers (docs/platform-api.md)."
		"\vPUT /control[?port=N] takes fault, share, slow_factor, "
		"late_ms, refuse, draining, cold, echo, health (\"true\", "
		"\"ok\", \"bad\") and health_lag_ms.",
		NULL,
		NULL,
		NULL
	};
	struct MHD_Daemon *ctl;
	int rc = EXIT_FAILURE;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	sh_block_signals();
	if (sh_executions_init(opts.journal)) {
		fprintf(stderr, "backend: cannot open %s\n", opts.journal);
		return EXIT_FAILURE;
	}
	ctl = sh_control_start((uint16_t)opts.control, control);
	if (!ctl)
		fprintf(stderr, "backend: cannot listen on port %d\n",
			opts.control);
	else if (!start_servers())
		rc = EXIT_SUCCESS;
	if (!rc)
		sh_wait_for_signal();
	for (int i = 0; i < be.n; i++)
		set_refuse_connections(&be.servers[i], true);
	if (ctl)
		MHD_stop_daemon(ctl);
	return rc;
}
