/* Fault soak: signals, restarts, changes of the store and faults of servers come
 * in series and overlap, drawn from a seed, while callers send requests on
 * connections that they keep open until the process is gone. Afterwards each
 * request is checked: its caller got its own whole response or none, a request
 * that must not run twice did not, and one that was rejected did not run at all.
 *
 * SOAK_SEED, SOAK_SEEDS, SOAK_MS and SOAK_DAEMONS replace the first seed, the
 * number of seeds, the length of each and the number of daemons. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "celeryglade/clock.h"
#include "support/gateway_fleet.h"

#define FIRST_SEED	1
#define SEEDS		2
#define LENGTH_MS	15000
#define DAEMONS		6
#define CALLERS		16
#define CALL_GAP_MAX_MS 60
#define CALL_TIMEOUT_MS 4000 /* twice the timeout of the routes */
#define RECORDS_MAX	200000
/* Longest time between two events. */
#define EVENT_GAP_MAX_MS 250
/* Longest stop, kill or pause of a daemon. */
#define DAEMON_FAULT_MAX_MS 3000
#define SERVER_FAULT_MAX_MS 1500
#define STORE_FAULT_MAX_MS  1500
/* Time that a daemon may take to end after SIGTERM: its grace_ms and the time to
 * write the last responses. */
#define STOP_MAX_MS 9000
/* Without faults, all daemons must serve again after this. */
#define CALM_MS	     5000
#define CALM_CHECKS  40
#define FINDINGS_MAX 20

enum fate {
	FATE_ANSWERED,
	FATE_NOT_SENT, /* no connection */
	FATE_CLOSED, /* sent, and closed without a byte of a response */
	FATE_BROKEN, /* closed within the response */
	FATE_TIMED_OUT,
};

struct record {
	char id[24];
	bool idempotent;
	enum fate fate;
	int status;
	bool own_body;
	bool last; /* the response says that the connection ends */
	bool killed; /* the daemon, since the connection was opened */
	bool stopping; /* the daemon, when the request ended */
	bool sent_before_stop;
	unsigned int daemon;
	cg_ms sent_at;
};

enum daemon_state {
	DAEMON_RUNS,
	DAEMON_STOPS, /* got SIGTERM */
	DAEMON_DOWN,
	DAEMON_PAUSED,
};

struct daemon {
	enum daemon_state state;
	cg_ms until; /* end of the state, but of DAEMON_STOPS */
	cg_ms restart_after; /* the end of the process, in ms */
	/* When a process of it was last told to end, or was killed;
	 * G_MAXINT64 while that goes on. */
	_Atomic cg_ms term_at, killed_at;
	bool told_to_end; /* the present process */
	/* It had installed its handler when it was first told to end. Until
	 * then no program can act on the signal: it has not begun to run. */
	bool could_handle_term;
	bool paused_since_term;
	_Atomic cg_ms started_at;
};

/* Static, since threads outlive a failed test. */
static struct gateway_fleet fleet;
static struct daemon daemons[GF_DAEMONS];
static unsigned int daemon_count;
static struct record *records;
static _Atomic int record_count;
static _Atomic bool stopping;
static unsigned int seed;
static unsigned int findings;

static cg_ms now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static unsigned int setting(const char *name, unsigned int value)
{
	const char *text = getenv(name);

	return text ? (unsigned int)strtoul(text, NULL, 10) : value;
}

static void report(const char *format, ...)
{
	char text[256];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	if (findings++ < FINDINGS_MAX)
		print_message("seed %u: %s\n", seed, text);
}

/* One caller: a connection that is used until the daemon closes it. */
struct caller {
	unsigned int number;
	unsigned int daemon;
	int fd; /* -1 if none */
	cg_ms opened_at;
	GRand *random;
};

static int connect_to(unsigned int daemon)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons(fleet.ports) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;
	char ip[32];

	g_snprintf(ip, sizeof(ip), "127.0.9.%u", daemon + 1);
	inet_pton(AF_INET, ip, &a.sin_addr);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a))) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

/* Returns whether @text holds a whole response; sets its status and whether the
 * body is @id. */
static bool parse_response(const GString *text, struct record *r)
{
	const char *end = strstr(text->str, "\r\n\r\n");
	const char *length;
	unsigned long n;

	if (!end)
		return false;
	length = strcasestr(text->str, "\r\nContent-Length:");
	n = length && length < end ? strtoul(length + 17, NULL, 10) : 0;
	if (text->len < (gsize)(end + 4 - text->str) + n)
		return false;
	r->status = atoi(text->str + strlen("HTTP/1.1 "));
	length = strcasestr(text->str, "\r\nConnection: close");
	r->last = length && length < end;
	r->own_body = n == strlen(r->id) && !strncmp(end + 4, r->id, n);
	return true;
}

static enum fate read_response(struct caller *c, struct record *r)
{
	GString *text = g_string_new(NULL);
	cg_ms end = r->sent_at + CALL_TIMEOUT_MS;
	enum fate fate = FATE_TIMED_OUT;

	while (now_ms() < end) {
		struct pollfd p = { .fd = c->fd, .events = POLLIN };
		char buffer[4096];
		ssize_t n;

		if (poll(&p, 1, (int)(end - now_ms())) <= 0)
			continue;
		n = recv(c->fd, buffer, sizeof(buffer), 0);
		if (n <= 0) {
			fate = text->len ? FATE_BROKEN : FATE_CLOSED;
			break;
		}
		g_string_append_len(text, buffer, n);
		if (parse_response(text, r)) {
			fate = FATE_ANSWERED;
			break;
		}
	}
	g_string_free(text, TRUE);
	return fate;
}

static void send_request(struct caller *c, struct record *r)
{
	char *text = g_strdup_printf(
		"%s /%s/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\n"
		"Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n",
		r->idempotent ? "GET" : "POST",
		r->idempotent ? "safe" : "unsafe", r->id);
	const struct daemon *d = &daemons[r->daemon];

	if (c->fd < 0) {
		c->opened_at = now_ms();
		c->fd = connect_to(c->daemon);
	}
	r->sent_at = now_ms();
	r->fate = FATE_NOT_SENT;
	if (c->fd >= 0 && send(c->fd, text, strlen(text), MSG_NOSIGNAL) ==
				  (ssize_t)strlen(text))
		r->fate = read_response(c, r);
	g_free(text);
	r->killed = d->killed_at >= c->opened_at;
	r->stopping = d->term_at >= d->started_at;
	r->sent_before_stop = r->stopping && r->sent_at < d->term_at;
	if ((r->fate == FATE_ANSWERED && !r->last) || c->fd < 0)
		return;
	close(c->fd);
	c->fd = -1;
}

static gpointer call_until_stopped(gpointer arg)
{
	struct caller *c = arg;

	for (unsigned int i = 0; !stopping; i++) {
		int at = record_count++;
		struct record *r = &records[at];

		if (at >= RECORDS_MAX)
			break;
		g_snprintf(r->id, sizeof(r->id), "%u-%u-%u", seed, c->number,
			   i);
		r->idempotent = g_rand_boolean(c->random);
		r->daemon = c->daemon;
		send_request(c, r);
		/* Callers go elsewhere when the process is gone. */
		if (r->fate == FATE_NOT_SENT)
			c->daemon = (c->daemon + 1) % daemon_count;
		g_usleep((gulong)g_rand_int_range(c->random, 0,
						  CALL_GAP_MAX_MS) *
			 1000);
	}
	if (c->fd >= 0)
		close(c->fd);
	return NULL;
}

static void start_daemon(unsigned int i)
{
	struct daemon *d = &daemons[i];

	gf_start_daemon(&fleet, i);
	d->state = DAEMON_RUNS;
	d->told_to_end = false;
	d->could_handle_term = true;
	d->started_at = now_ms();
}

/* The process has ended. */
static void set_down(unsigned int i, cg_ms ms)
{
	fleet.pids[i] = 0;
	daemons[i].state = DAEMON_DOWN;
	daemons[i].until = now_ms() + ms;
}

/* Whether the process has a handler for @signal. */
static bool handles(pid_t pid, int signal)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	char *text = NULL;
	const char *caught;
	bool found = false;

	if (g_file_get_contents(path, &text, NULL, NULL) &&
	    (caught = strstr(text, "SigCgt:")))
		found = g_ascii_strtoull(caught + strlen("SigCgt:"), NULL,
					 16) >>
				(signal - 1) &
			1;
	g_free(text);
	g_free(path);
	return found;
}

static bool ended_before_it_ran(const struct daemon *d, int status)
{
	return d->told_to_end && !d->could_handle_term && WIFSIGNALED(status) &&
	       WTERMSIG(status) == SIGTERM;
}

/* Notices processes that have ended, and those that should have. */
static void check_process(unsigned int i)
{
	struct daemon *d = &daemons[i];
	int status;

	if (d->state == DAEMON_DOWN || d->state == DAEMON_PAUSED)
		return;
	if (waitpid(fleet.pids[i], &status, WNOHANG) == fleet.pids[i]) {
		if (d->state == DAEMON_RUNS ||
		    ((!WIFEXITED(status) || WEXITSTATUS(status)) &&
		     !ended_before_it_ran(d, status)))
			report("daemon %u ended by itself, status 0x%x, state "
			       "%d",
			       i, (unsigned int)status, (int)d->state);
		set_down(i, d->restart_after);
		return;
	}
	if (d->state != DAEMON_STOPS ||
	    now_ms() - d->term_at <
		    STOP_MAX_MS +
			    (d->paused_since_term ? DAEMON_FAULT_MAX_MS : 0))
		return;
	report("daemon %u has not ended %d ms after SIGTERM", i,
	       (int)(now_ms() - d->term_at));
	kill(fleet.pids[i], SIGKILL);
	waitpid(fleet.pids[i], NULL, 0);
	set_down(i, 0);
}

static void update_daemon(unsigned int i)
{
	struct daemon *d = &daemons[i];

	check_process(i);
	if (now_ms() < d->until)
		return;
	if (d->state == DAEMON_DOWN) {
		start_daemon(i);
	} else if (d->state == DAEMON_PAUSED) {
		kill(fleet.pids[i], SIGCONT);
		d->state = d->told_to_end ? DAEMON_STOPS : DAEMON_RUNS;
	}
}

static void kill_daemon(unsigned int i, cg_ms ms)
{
	/* The process takes connections until it is gone. */
	daemons[i].killed_at = G_MAXINT64;
	kill(fleet.pids[i], SIGKILL);
	waitpid(fleet.pids[i], NULL, 0);
	daemons[i].killed_at = now_ms();
	set_down(i, ms);
}

static void disturb_daemon(GRand *r)
{
	unsigned int i =
		(unsigned int)g_rand_int_range(r, 0, (gint32)daemon_count);
	cg_ms ms = g_rand_int_range(r, 0, DAEMON_FAULT_MAX_MS);
	struct daemon *d = &daemons[i];

	if (d->state == DAEMON_DOWN || d->state == DAEMON_PAUSED)
		return;
	switch (g_rand_int_range(r, 0, 3)) {
	case 0:
		/* A second SIGTERM must change nothing. */
		if (d->state == DAEMON_RUNS)
			d->term_at = now_ms();
		if (!d->told_to_end)
			d->could_handle_term = handles(fleet.pids[i], SIGTERM);
		kill(fleet.pids[i], SIGTERM);
		d->told_to_end = true;
		d->state = DAEMON_STOPS;
		d->restart_after = ms;
		d->paused_since_term = false;
		return;
	case 1:
		kill_daemon(i, ms);
		return;
	default:
		kill(fleet.pids[i], SIGSTOP);
		d->state = DAEMON_PAUSED;
		d->paused_since_term = true;
		d->until = now_ms() + ms;
		return;
	}
}

static cg_ms server_until[GF_SERVERS];

static void disturb_server(GRand *r)
{
	static const enum scripted_mode modes[] = {
		SCRIPTED_SHED,	     SCRIPTED_ERROR,	SCRIPTED_CLOSE,
		SCRIPTED_HANG,	     SCRIPTED_TRUNCATE, SCRIPTED_LATE_COPY,
		SCRIPTED_SHED_COPY,  SCRIPTED_CROSSED,	SCRIPTED_REST,
		SCRIPTED_MISPLACED,  SCRIPTED_BUSY,	SCRIPTED_NO_BODY,
		SCRIPTED_STRAY_SHED, SCRIPTED_LEAVING,
	};
	static const char *const rests[] = { "0.7", "0.2", "0",
					     "-1",  "nan", "soon" };
	int i = g_rand_int_range(r, 0, GF_SERVERS);
	struct scripted_server *s = &fleet.servers[i];

	s->retry_after = rests[g_rand_int_range(r, 0, G_N_ELEMENTS(rests))];
	s->mode = (int)modes[g_rand_int_range(r, 0, G_N_ELEMENTS(modes))];
	s->delay_ms = g_rand_int_range(r, 0, 4) ? 0 : 200;
	server_until[i] =
		now_ms() + g_rand_int_range(r, 0, SERVER_FAULT_MAX_MS);
}

static void mend_servers(bool all)
{
	for (int i = 0; i < GF_SERVERS; i++) {
		struct scripted_server *s = &fleet.servers[i];

		if (!all && now_ms() < server_until[i])
			continue;
		/* One that said that it leaves comes back as a new process. */
		if (s->mode == SCRIPTED_LEAVING || all)
			gf_restart_server(&fleet, (unsigned int)i);
		s->mode = SCRIPTED_OK;
		s->delay_ms = 0;
	}
}

static cg_ms store_until;

static void disturb_store(GRand *r)
{
	static const enum objects_fault faults[] = {
		OBJECTS_FAULT_503,
		OBJECTS_FAULT_429,
		OBJECTS_FAULT_NO_RESPONSE,
		OBJECTS_FAULT_SLOW,
	};
	int server = g_rand_int_range(r, 0, GF_SERVERS);
	char name[16];

	switch (g_rand_int_range(r, 0, 4)) {
	case 0:
		gf_put_config(&fleet, true, 0, 0, "");
		return;
	case 1:
		gf_put_server(&fleet, (unsigned int)server,
			      g_rand_boolean(r) ? "ready" : "draining");
		return;
	case 2:
		g_snprintf(name, sizeof(name), "s%d", server);
		objects_remove(fleet.store, "servers", name);
		gf_put_server(&fleet, (unsigned int)server, "ready");
		return;
	default:
		objects_set_fault(
			fleet.store,
			faults[g_rand_int_range(r, 0, G_N_ELEMENTS(faults))]);
		store_until =
			now_ms() + g_rand_int_range(r, 0, STORE_FAULT_MAX_MS);
	}
}

static void disturb(unsigned int length_ms)
{
	GRand *r = g_rand_new_with_seed(seed);
	cg_ms end = now_ms() + length_ms, next = 0;

	while (now_ms() < end) {
		for (unsigned int i = 0; i < daemon_count; i++)
			update_daemon(i);
		mend_servers(false);
		if (now_ms() >= store_until)
			objects_set_fault(fleet.store, OBJECTS_FAULT_NONE);
		if (now_ms() >= next) {
			next = now_ms() +
			       g_rand_int_range(r, 0, EVENT_GAP_MAX_MS);
			switch (g_rand_int_range(r, 0, 3)) {
			case 0:
				disturb_daemon(r);
				break;
			case 1:
				disturb_server(r);
				break;
			default:
				disturb_store(r);
			}
		}
		g_usleep(5000);
	}
	g_rand_free(r);
}

/* Ends all faults. */
static void calm_down(void)
{
	cg_ms end = now_ms() + STOP_MAX_MS + DAEMON_FAULT_MAX_MS + CALM_MS;
	bool all_run = false;

	mend_servers(true);
	for (unsigned int i = 0; i < GF_SERVERS; i++)
		gf_put_server(&fleet, i, "ready");
	objects_set_fault(fleet.store, OBJECTS_FAULT_NONE);
	for (unsigned int i = 0; i < daemon_count; i++)
		if (daemons[i].state != DAEMON_RUNS)
			daemons[i].until = 0;
	while (!all_run && now_ms() < end) {
		all_run = true;
		for (unsigned int i = 0; i < daemon_count; i++) {
			daemons[i].restart_after = 0;
			update_daemon(i);
			all_run &= daemons[i].state == DAEMON_RUNS;
		}
		g_usleep(5000);
	}
	g_usleep(CALM_MS * 1000);
}

static void check_record(const struct record *r)
{
	int runs = gf_total_runs(&fleet, r->id);
	bool cut = r->fate == FATE_CLOSED || r->fate == FATE_BROKEN;

	if (!r->idempotent && runs > 1)
		report("%s ran %d times; status %d", r->id, runs, r->status);
	if (cut && !r->killed &&
	    (!r->stopping || r->sent_before_stop || r->fate == FATE_BROKEN))
		report("%s got no whole response from daemon %u, which was "
		       "not killed and %s",
		       r->id, r->daemon,
		       r->stopping ? "got SIGTERM later" : "not stopped");
	/* To its caller, a request that a stopping daemon does not read has not
	 * run. */
	if (cut && !r->killed && !r->idempotent && runs)
		report("%s ran at a server and its connection was closed "
		       "without a response",
		       r->id);
	if (r->fate != FATE_ANSWERED)
		return;
	if (r->status == 200 && (!r->own_body || !runs))
		report("%s got 200 with %s body after %d runs", r->id,
		       r->own_body ? "its" : "another", runs);
	if (!r->idempotent && runs &&
	    (r->status == 503 || r->status == 429 || r->status == 408 ||
	     r->status == 421))
		report("%s ran and got %d", r->id, r->status);
}

static void check_recovery(void)
{
	int failed = 0;

	for (unsigned int i = 0; i < CALM_CHECKS; i++)
		failed += gf_get(&fleet, i % daemon_count).status != 200;
	if (failed)
		report("%d of %d requests fail %d ms after the last fault",
		       failed, CALM_CHECKS, CALM_MS);
}

static void count_fates(void)
{
	int n = MIN(record_count, RECORDS_MAX),
	    fates[FATE_TIMED_OUT + 1] = { 0 };
	int served = 0;

	for (int i = 0; i < n; i++) {
		fates[records[i].fate]++;
		served += records[i].status == 200;
	}
	print_message("seed %u: %d requests, %d served, %d answered, %d not "
		      "sent, %d closed, %d broken, %d timed out; findings: "
		      "%u\n",
		      seed, n, served, fates[FATE_ANSWERED],
		      fates[FATE_NOT_SENT], fates[FATE_CLOSED],
		      fates[FATE_BROKEN], fates[FATE_TIMED_OUT], findings);
}

static void soak(unsigned int length_ms)
{
	static struct caller callers[CALLERS];
	GThread *threads[CALLERS];

	memset(daemons, 0, sizeof(daemons));
	memset(server_until, 0, sizeof(server_until));
	memset(records, 0, RECORDS_MAX * sizeof(*records));
	record_count = 0;
	stopping = false;
	gf_start(&fleet, daemon_count);
	for (int i = 0; i < GF_SERVERS; i++) {
		fleet.servers[i].own_bodies = true;
		fleet.servers[i].retry_after = "0.7";
	}
	gf_put_config(&fleet, true, 0, 0, "");
	gf_wait_ready(&fleet);
	for (unsigned int i = 0; i < daemon_count; i++) {
		daemons[i].term_at = daemons[i].killed_at = -G_MAXINT32;
		daemons[i].started_at = now_ms();
	}
	for (unsigned int i = 0; i < CALLERS; i++) {
		callers[i] = (struct caller){
			.number = i,
			.daemon = i % daemon_count,
			.fd = -1,
			.random = g_rand_new_with_seed(seed * CALLERS + i),
		};
		threads[i] =
			g_thread_new("caller", call_until_stopped, &callers[i]);
	}
	disturb(length_ms);
	calm_down();
	stopping = true;
	for (int i = 0; i < CALLERS; i++) {
		g_thread_join(threads[i]);
		g_rand_free(callers[i].random);
	}
	check_recovery();
	for (int i = 0; i < MIN(record_count, RECORDS_MAX); i++)
		check_record(&records[i]);
	count_fates();
	gf_stop(&fleet);
}

static void requests_survive_overlapping_faults(void **state)
{
	unsigned int first = setting("SOAK_SEED", FIRST_SEED);
	unsigned int n = setting("SOAK_SEEDS", SEEDS);

	(void)state;
	daemon_count = MIN(setting("SOAK_DAEMONS", DAEMONS), GF_DAEMONS);
	records = g_new0(struct record, RECORDS_MAX);
	for (seed = first; seed < first + n; seed++)
		soak(setting("SOAK_MS", LENGTH_MS));
	assert_int_equal(findings, 0);
	g_free(records);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(requests_survive_overlapping_faults),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
