#include "gateway_fleet.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../../bench/fleet/ports.h"

#define READY_S		  8
#define SLOTS		  3
#define DATAGRAM_MAC_SIZE 16

static unsigned int domain_index(const struct gateway_fleet *f, unsigned int i)
{
	return i >= (f->daemons + 1) / 2;
}

static void daemon_ip(unsigned int i, char out[32])
{
	g_snprintf(out, 32, "127.0.9.%u", i + 1);
}

static char *settings_path(const struct gateway_fleet *f, unsigned int i)
{
	return g_strdup_printf("%s/d%u.json", f->dir, i);
}

void gf_write_settings(struct gateway_fleet *f, unsigned int i)
{
	char cpu_share[48] = "", evacuation[48] = "";
	char *path = settings_path(f, i);
	char ip[32];
	char *text;

	daemon_ip(i, ip);
	if (f->cpu_share[i] > 0)
		g_snprintf(cpu_share, sizeof(cpu_share), "\"cpu_share\": %g,",
			   f->cpu_share[i]);
	if (f->evacuation_bound_ms)
		g_snprintf(evacuation, sizeof(evacuation),
			   "\"evacuation_bound_ms\": %u,",
			   f->evacuation_bound_ms);
	text = g_strdup_printf(
		"{ %s %s %s \"instance\": \"d%u\", \"domain\": \"%s\","
		" \"address\": \"%s\", \"domains\": [\"a\", \"b\"],"
		" \"listen\": \"%s:%u\", \"ready\": \"%s:%u\","
		" \"peer_port\": %u, \"store\": \"127.0.0.1:%u\","
		" \"retry_slack\": 40, \"key_proof_ms\": 3000,"
		" \"grace_ms\": 6000, /* comments are allowed */"
		" \"log_level\": \"info\" }",
		cpu_share, evacuation, f->settings ? f->settings : "", i,
		domain_index(f, i) ? "b" : "a", ip, ip, f->ports, ip,
		f->ports + 1, f->ports + 2,
		f->store_port[i] ? f->store_port[i] : objects_port(f->store));
	assert_true(g_file_set_contents(path, text, -1, NULL));
	g_free(text);
	g_free(path);
}

void gf_start_daemon(struct gateway_fleet *f, unsigned int i)
{
	const char *build = getenv("BUILD_DIR");
	char *program = g_strdup_printf("%s/celeryglade-gateway",
					build ? build : "build/plain");
	char *path = settings_path(f, i);
	char *log = g_strdup_printf("%s/d%u.log", f->dir, i);

	f->pids[i] = fork();
	assert_true(f->pids[i] >= 0);
	if (!f->pids[i]) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		/* A failing test exits without gf_stop(). */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (f->descriptors[i]) {
			struct rlimit r = { f->descriptors[i],
					    f->descriptors[i] };

			setrlimit(RLIMIT_NOFILE, &r);
		}
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		setenv("CELERYGLADE_SETTINGS", path, 1);
		execl(program, program, NULL);
		_exit(127);
	}
	g_free(log);
	g_free(path);
	g_free(program);
}

char *gf_daemon_ip(unsigned int daemon)
{
	char ip[32];

	daemon_ip(daemon, ip);
	return g_strdup(ip);
}

void gf_put_server(struct gateway_fleet *f, unsigned int i, const char *state)
{
	char *spec = g_strdup_printf(
		"{\"service\":\"svc\",\"addr\":\"127.0.0.1:%u\",\"zone\":\"%s\","
		"\"version\":\"v1\",\"max_concurrency\":%u,\"state\":\"%s\","
		"\"warmup_left_ms\":0,\"seq\":1,\"born\":%u}",
		f->servers[i].port, i < GF_SERVERS / 2 ? "a" : "b",
		f->slots ? f->slots : SLOTS, state, 1000 + f->restarts[i]);
	char name[16];

	g_snprintf(name, sizeof(name), "s%u", i);
	objects_put(f->store, "servers", name, spec);
	g_free(spec);
}

void gf_restart_server(struct gateway_fleet *f, unsigned int i)
{
	f->restarts[i]++;
	gf_put_server(f, i, "ready");
}

void gf_put_config(struct gateway_fleet *f, bool key, int rate, int burst,
		   const char *extra)
{
	static const char rule[] =
		"{\"name\":\"%s\",\"kind\":\"%s\",\"slo_ms\":1000,"
		"\"priority\":1,\"public\":%s,\"match\":{\"path_prefix\":\"%s\"},"
		"\"action\":{\"service\":\"svc\",\"timeout_ms\":2000,"
		"\"attempts\":2}}";
	char *safe = g_strdup_printf(rule, "safe", "safe", "false", "/safe/");
	char *unsafe =
		g_strdup_printf(rule, "unsafe", "unsafe", "false", "/unsafe/");
	char *open_rule =
		g_strdup_printf(rule, "open", "safe", "true", "/open/");
	char *spec;

	f->version += 3;
	spec = g_strdup_printf(
		"{\"version\":\"r%u\",\"limits\":{\"max_header_bytes\":16384,"
		"\"max_body_bytes\":%u,\"header_timeout_ms\":3000,"
		"\"idle_timeout_ms\":%u},\"tenants\":[{\"name\":\"acc\","
		"\"api_keys\":[%s],\"priority\":1,\"rate_per_s\":%d,"
		"\"burst\":%d}],\"listeners\":[{\"host\":\"h.example\","
		"\"rules\":[%s,%s,%s%s]}],\"clusters\":[{\"name\":\"svc\","
		"\"health_path\":\"/health\",\"max_conns\":100}]}",
		f->version, f->max_body_bytes ? f->max_body_bytes : 100000,
		f->idle_timeout_ms ? f->idle_timeout_ms : 15000,
		key ? "\"k1\"" : "", rate, burst, safe, unsafe, open_rule,
		extra);
	objects_put(f->store, "config", "main", spec);
	g_free(spec);
	g_free(safe);
	g_free(unsafe);
	g_free(open_rule);
}

void gf_prepare(struct gateway_fleet *f, unsigned int daemons)
{
	memset(f, 0, sizeof(*f));
	f->daemons = daemons;
	f->ports = claim_test_ports(3);
	g_snprintf(f->dir, sizeof(f->dir), "/tmp/celeryglade-gf-%d-%u",
		   (int)getpid(), f->ports);
	assert_int_equal(g_mkdir_with_parents(f->dir, 0700), 0);
	f->store = objects_start(0, 2);
	assert_non_null(f->store);
	for (unsigned int i = 0; i < GF_SERVERS; i++) {
		assert_int_equal(scripted_start(&f->servers[i]), 0);
		gf_put_server(f, i, "ready");
	}
}

void gf_start_daemons(struct gateway_fleet *f)
{
	for (unsigned int i = 0; i < f->daemons; i++) {
		gf_write_settings(f, i);
		gf_start_daemon(f, i);
	}
}

void gf_start(struct gateway_fleet *f, unsigned int daemons)
{
	gf_prepare(f, daemons);
	gf_start_daemons(f);
}

void gf_stop(struct gateway_fleet *f)
{
	for (unsigned int i = 0; i < f->daemons; i++) {
		if (f->pids[i] > 0)
			kill(f->pids[i], SIGKILL);
		if (f->pids[i] > 0)
			waitpid(f->pids[i], NULL, 0);
	}
	for (unsigned int i = 0; i < GF_SERVERS; i++)
		scripted_stop(&f->servers[i]);
	objects_stop(f->store);
}

static size_t store_body(char *data, size_t size, size_t n, void *arg)
{
	struct gf_response *a = arg;

	g_snprintf(a->body, sizeof(a->body), "%.*s",
		   (int)MIN(size * n, sizeof(a->body) - 1), data);
	return size * n;
}

static void copy_header(const char *line, size_t len, const char *name,
			char *out)
{
	size_t n = strlen(name);

	if (len > n && !g_ascii_strncasecmp(line, name, n))
		g_snprintf(out, 32, "%.*s", (int)(len - n - 2), line + n);
}

static size_t record_header(char *data, size_t size, size_t n, void *arg)
{
	struct gf_response *a = arg;

	copy_header(data, size * n, "X-Response-Seal: ", a->seal);
	copy_header(data, size * n, "Retry-After: ", a->retry_after);
	return size * n;
}

static struct curl_slist *add_header(struct curl_slist *l, const char *name,
				     const char *value)
{
	char *text = g_strdup_printf("%s: %s", name, value);

	l = curl_slist_append(l, text);
	g_free(text);
	return l;
}

struct gf_response gf_call(struct gateway_fleet *f, const struct gf_request *r)
{
	struct gf_response a = { 0 };
	struct curl_slist *headers = NULL;
	CURL *c = curl_easy_init();
	gint64 start_us = g_get_monotonic_time();
	char url[128], ip[32], text[64];
	long status = 0;

	daemon_ip(r->daemon, ip);
	g_snprintf(url, sizeof(url), "http://%s:%u%s", ip, f->ports, r->path);
	headers = add_header(headers, "Host", "h.example");
	headers = add_header(headers, "X-Request-Id", r->id);
	if (r->key) {
		g_snprintf(text, sizeof(text), "Bearer %s", r->key);
		headers = add_header(headers, "Authorization", text);
	}
	if (r->deadline_ms) {
		g_snprintf(text, sizeof(text), "%ld", r->deadline_ms);
		headers = add_header(headers, "X-Deadline-Ms", text);
	}
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, r->method);
	if (!strcmp(r->method, "POST"))
		curl_easy_setopt(c, CURLOPT_POSTFIELDS, "some=body");
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, store_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, &a);
	curl_easy_setopt(c, CURLOPT_HEADERFUNCTION, record_header);
	curl_easy_setopt(c, CURLOPT_HEADERDATA, &a);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS,
			 r->client_timeout_ms ? r->client_timeout_ms : 8000L);
	if (curl_easy_perform(c) == CURLE_OK)
		curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(c);
	a.status = (int)status;
	a.ms = (long)((g_get_monotonic_time() - start_us) / 1000);
	return a;
}

struct gf_response gf_get(struct gateway_fleet *f, unsigned int daemon)
{
	static unsigned int n;
	char id[32];
	struct gf_request r = { .daemon = daemon,
				.method = "GET",
				.path = "/safe/x?q=1",
				.key = "k1",
				.id = id };

	g_snprintf(id, sizeof(id), "get-%d-%u", (int)getpid(), n++);
	return gf_call(f, &r);
}

int gf_ready_status(struct gateway_fleet *f, unsigned int i)
{
	char url[128], ip[32];
	CURL *c = curl_easy_init();
	struct gf_response a = { 0 };
	long status = 0;

	daemon_ip(i, ip);
	g_snprintf(url, sizeof(url), "http://%s:%u/ready", ip, f->ports + 1);
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, 1000L);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, store_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, &a);
	if (curl_easy_perform(c) == CURLE_OK)
		curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(c);
	return (int)status;
}

void gf_wait_ready(struct gateway_fleet *f)
{
	gint64 end = g_get_monotonic_time() + READY_S * G_USEC_PER_SEC;
	unsigned int i = 0;

	while (i < f->daemons && g_get_monotonic_time() < end) {
		if (gf_ready_status(f, i) == 200)
			i++;
		else
			g_usleep(50000);
	}
	assert_int_equal(i, f->daemons);
}

int gf_total_runs(struct gateway_fleet *f, const char *id)
{
	int n = 0;

	for (unsigned int i = 0; i < GF_SERVERS; i++)
		n += scripted_runs(&f->servers[i], id);
	return n;
}

/* @receive_buffer is in bytes; 0: the system's choice. */
static int connect_to(unsigned int daemon, unsigned int port,
		      int receive_buffer)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char ip[32];

	/* Set later, it would be smaller than a segment that the sender may
	 * send, which the kernel then drops each time. */
	if (receive_buffer)
		assert_int_equal(setsockopt(fd, SOL_SOCKET, SO_RCVBUF,
					    &receive_buffer,
					    sizeof(receive_buffer)),
				 0);
	daemon_ip(daemon, ip);
	inet_pton(AF_INET, ip, &a.sin_addr);
	assert_int_equal(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	return fd;
}

static int send_raw(unsigned int daemon, unsigned int port, const char *text)
{
	int fd = connect_to(daemon, port, 0);

	assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL),
			 (ssize_t)strlen(text));
	return fd;
}

void gf_start_serving(struct gateway_fleet *f, unsigned int daemons,
		      int work_ms)
{
	gf_start(f, daemons);
	gf_put_config(f, true, 0, 0, "");
	gf_wait_ready(f);
	for (int i = 0; i < GF_SERVERS; i++)
		f->servers[i].delay_ms = work_ms;
}

int gf_send_raw_peer(struct gateway_fleet *f, unsigned int daemon,
		     const char *text)
{
	return send_raw(daemon, f->ports + 2, text);
}

int gf_connect_slow(struct gateway_fleet *f, unsigned int daemon,
		    int receive_buffer)
{
	return connect_to(daemon, f->ports, receive_buffer);
}

int gf_send_raw(struct gateway_fleet *f, unsigned int daemon, const char *text)
{
	return send_raw(daemon, f->ports, text);
}

static unsigned int count_responses(const char *text)
{
	unsigned int n = 0;

	for (const char *at = text; (at = strstr(at, "HTTP/1.1 ")); at++)
		n++;
	return n;
}

void gf_sign_datagram(GByteArray *datagram, const char *secret)
{
	guint8 mac[32];
	gsize len = sizeof(mac);
	GHmac *h = g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)secret,
			      strlen(secret));

	g_hmac_update(h, datagram->data, (gssize)datagram->len);
	g_hmac_get_digest(h, mac, &len);
	g_hmac_unref(h);
	g_byte_array_append(datagram, mac, DATAGRAM_MAC_SIZE);
}

char *gf_read_responses(int fd, unsigned int count, long ms)
{
	GString *s = g_string_new(NULL);
	gint64 end = g_get_monotonic_time() / 1000 + ms;

	while (count_responses(s->str) < count) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		gint64 remaining_ms = end - g_get_monotonic_time() / 1000;
		char buffer[4096];
		ssize_t n;

		if (remaining_ms <= 0 || poll(&p, 1, (int)remaining_ms) <= 0)
			break;
		n = recv(fd, buffer, sizeof(buffer), 0);
		if (n <= 0)
			break;
		g_string_append_len(s, buffer, n);
	}
	return g_string_free(s, FALSE);
}

int gf_count_in_log(struct gateway_fleet *f, unsigned int daemon,
		    const char *text)
{
	char *path = g_strdup_printf("%s/d%u.log", f->dir, daemon);
	char *log = NULL;
	int n = 0;

	if (g_file_get_contents(path, &log, NULL, NULL))
		for (const char *at = log; (at = strstr(at, text)); at++)
			n++;
	g_free(log);
	g_free(path);
	return n;
}
