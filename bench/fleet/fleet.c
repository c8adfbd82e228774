/**
 * @file fleet.c
 * Processes, ports and control paths of a fleet.
 */
#include "fleet.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

/* Offsets of the ports in a fleet's range of 300. */
#define PLATFORM_CONTROL 0
#define PLATFORM_PORT	 1
#define BACKEND_CONTROL	 20
#define SERVER_PORT	 30
#define LISTEN_PORT	 100
#define ADMIN_PORT	 150
#define PEER_PORT	 200

/* Ranges of ports that fleets can claim, and how long a program waits for
 * one. */
#define FIRST_PORT	 30000
#define RANGE_PORTS	 300
#define RANGE_COUNT	 6
#define CLAIM_TIMEOUT_MS 200000

/* Long enough for a process to start on a busy machine. */
#define START_TIMEOUT_MS 20000

static G_NORETURN G_GNUC_PRINTF(1, 2) void die(const char *format, ...)
{
	va_list ap;

	va_start(ap, format);
	fprintf(stderr, "fleet: ");
	vfprintf(stderr, format, ap);
	fprintf(stderr, "\n");
	va_end(ap);
	exit(EXIT_FAILURE);
}

int64_t fleet_now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

int fleet_listen_port(struct fleet *f, int i)
{
	return f->base + LISTEN_PORT + i;
}

int fleet_admin_port(struct fleet *f, int i)
{
	return f->base + ADMIN_PORT + i;
}

int fleet_peer_port(struct fleet *f, int i)
{
	return f->base + PEER_PORT + i;
}

static size_t append_body(char *data, size_t size, size_t n, void *arg)
{
	g_string_append_len(arg, data, (gssize)(size * n));
	return size * n;
}

long fleet_http(const char *method, const char *url, const char *header,
		const char *body, char **out)
{
	struct curl_slist *h = header ? curl_slist_append(NULL, header) : NULL;
	GString *s = g_string_new(NULL);
	CURL *c = curl_easy_init();
	long status = 0;

	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, h);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, 5000L);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, s);
	if (body)
		curl_easy_setopt(c, CURLOPT_POSTFIELDS, body);
	if (curl_easy_perform(c) == CURLE_OK)
		curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(c);
	curl_slist_free_all(h);
	if (out)
		*out = g_string_free(s, FALSE);
	else
		g_string_free(s, TRUE);
	return status;
}

/* Starts a process whose standard output and error are appended to LOG.log. The
 * kernel kills it when this program ends. */
static pid_t spawn(struct fleet *f, const char *log, char **argv)
{
	char *path = g_strdup_printf("%s/%s.log", f->dir, log);
	pid_t parent = getpid(), pid = fork();
	int fd;

	if (pid < 0)
		die("cannot fork: %s", strerror(errno));
	if (!pid) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0600);
		if (getppid() != parent || fd < 0 || dup2(fd, 1) < 0 ||
		    dup2(fd, 2) < 0)
			_exit(126);
		close(fd);
		execv(argv[0], argv);
		_exit(127);
	}
	g_free(path);
	return pid;
}

pid_t fleet_spawn(struct fleet *f, const char *log, const char *format, ...)
{
	char *args, *line, **argv;
	va_list ap;
	pid_t pid;

	va_start(ap, format);
	args = g_strdup_vprintf(format, ap);
	va_end(ap);
	line = g_strdup_printf("%s/%s", f->build, args);
	if (!g_shell_parse_argv(line, NULL, &argv, NULL))
		die("invalid command line: %s", line);
	pid = spawn(f, log, argv);
	g_strfreev(argv);
	g_free(line);
	g_free(args);
	return pid;
}

int fleet_wait_process(pid_t *pid, int64_t ms)
{
	int64_t end = fleet_now_ms() + ms;
	int status;
	pid_t rc;

	if (*pid <= 0)
		return -1;
	while ((rc = waitpid(*pid, &status, WNOHANG)) == 0) {
		if (fleet_now_ms() >= end)
			return -1;
		g_usleep(5000);
	}
	*pid = 0;
	if (rc < 0)
		return -1;
	return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

static void stop_process(pid_t *pid)
{
	if (*pid <= 0)
		return;
	kill(*pid, SIGKILL);
	fleet_wait_process(pid, START_TIMEOUT_MS);
}

/* Waits until a GET returns @p status. Returns 0, or -1 after @p ms or if the
 * process @p pid ends. */
static int wait_for_status(const char *url, long status, int64_t ms, pid_t *pid)
{
	int64_t end = fleet_now_ms() + ms;

	while (fleet_http("GET", url, NULL, NULL, NULL) != status) {
		if (fleet_now_ms() >= end ||
		    (pid && fleet_wait_process(pid, 0) >= 0))
			return -1;
		g_usleep(20000);
	}
	return 0;
}

static void wait_for_control_port(struct fleet *f, int port, pid_t *pid)
{
	char *url = g_strdup_printf("http://127.0.0.1:%d/control", port);

	if (wait_for_status(url, 200, START_TIMEOUT_MS, pid))
		die("no response from %s; see the logs in %s", url, f->dir);
	g_free(url);
}

void fleet_write_file(struct fleet *f, const char *name, const char *format,
		      ...)
{
	char *path = g_build_filename(f->dir, name, NULL);
	char *folder = g_path_get_dirname(path), *text;
	va_list ap;

	va_start(ap, format);
	text = g_strdup_vprintf(format, ap);
	va_end(ap);
	if (g_mkdir_with_parents(folder, 0700) ||
	    !g_file_set_contents_full(
		    path, text, -1, G_FILE_SET_CONTENTS_CONSISTENT, 0600, NULL))
		die("cannot write %s", path);
	g_free(text);
	g_free(folder);
	g_free(path);
}

static bool is_free(int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
	bool ok;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ok = !bind(fd, (struct sockaddr *)&a, sizeof(a));
	close(fd);
	return ok;
}

/* Claims a range of ports by binding an abstract socket, so that several
 * programs can run fleets at the same time. The kernel closes it when the
 * process ends. Returns the socket, or -1 if the range is in use. */
static int claim_range(int first)
{
	struct sockaddr_un a = { .sun_family = AF_UNIX };
	int fd = socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	g_snprintf(a.sun_path + 1, sizeof(a.sun_path) - 1,
		   "celeryglade-fleet-%d", first);
	if (fd >= 0 &&
	    (!is_free(first) || bind(fd, (struct sockaddr *)&a, sizeof(a)))) {
		close(fd);
		fd = -1;
	}
	return fd;
}

static void claim_ports(struct fleet *f)
{
	int64_t end = fleet_now_ms() + CLAIM_TIMEOUT_MS;

	for (int i = 0; fleet_now_ms() < end; i = (i + 1) % RANGE_COUNT) {
		f->base = FIRST_PORT + i * RANGE_PORTS;
		f->claim_fd = claim_range(f->base);
		if (f->claim_fd >= 0)
			return;
		g_usleep(20000);
	}
	die("all port ranges are in use");
}

struct fleet *fleet_new(int stores)
{
	struct fleet *f = g_new0(struct fleet, 1);
	int base;

	claim_ports(f);
	base = f->base;
	f->build = g_strdup(g_getenv("BUILD_DIR"));
	if (!f->build)
		f->build = g_strdup("build/plain");
	g_strlcpy(f->dir, "/tmp/celeryglade-XXXXXX", sizeof(f->dir));
	if (!mkdtemp(f->dir))
		die("cannot create a folder: %s", strerror(errno));
	fleet_write_file(f, "secret", "%s",
			 "0f1e2d3c4b5a69788796a5b4c3d2e1f0"
			 "0f1e2d3c4b5a69788796a5b4c3d2e1f0\n");
	f->platform = fleet_spawn(
		f, "platform", "standins/platform -p %d -n %d -c %d",
		base + PLATFORM_PORT, stores, base + PLATFORM_CONTROL);
	wait_for_control_port(f, base + PLATFORM_CONTROL, &f->platform);
	return f;
}

static void remove_folder(const char *path)
{
	GDir *d = g_dir_open(path, 0, NULL);
	const char *name;

	while (d && (name = g_dir_read_name(d))) {
		char *sub = g_build_filename(path, name, NULL);

		if (g_file_test(sub, G_FILE_TEST_IS_DIR))
			remove_folder(sub);
		else
			unlink(sub);
		g_free(sub);
	}
	if (d)
		g_dir_close(d);
	rmdir(path);
}

void fleet_free(struct fleet *f)
{
	for (int i = 0; i < f->n_daemons; i++) {
		stop_process(&f->daemons[i].pid);
		g_free(f->daemons[i].settings);
	}
	for (int i = 0; i < f->n_backends; i++) {
		stop_process(&f->backends[i].pid);
		g_free(f->backends[i].journal);
	}
	for (int i = 0; i < f->n_loads; i++)
		stop_process(&f->loads[i]);
	stop_process(&f->platform);
	if (!g_getenv("FLEET_KEEP"))
		remove_folder(f->dir);
	close(f->claim_fd);
	g_free(f->build);
	g_free(f);
}

static void send_put(int port, const char *path, const char *json)
{
	char *url = g_strdup_printf("http://127.0.0.1:%d%s", port, path);

	if (fleet_http("PUT", url, NULL, json, NULL) != 200)
		die("PUT %s %s failed", url, json);
	g_free(url);
}

void fleet_set_platform_faults(struct fleet *f, const char *json)
{
	send_put(f->base + PLATFORM_CONTROL, "/control", json);
}

void fleet_change_instances(struct fleet *f, const char *json)
{
	send_put(f->base + PLATFORM_CONTROL, "/control/instances", json);
}

void fleet_set_server_faults(struct fleet *f, int backend, int server,
			     const char *json)
{
	struct fleet_backend *b = &f->backends[backend];
	char *path = server ? g_strdup_printf("/control?port=%d",
					      b->first_port + server - 1)
			    : g_strdup("/control");

	send_put(b->control, path, json);
	g_free(path);
}

static void add_instance(struct fleet *f, const char *name, const char *role,
			 int port, const char *domain)
{
	char *json = g_strdup_printf(
		"{\"op\":\"add\",\"name\":\"%s\",\"role\":\"%s\","
		"\"address\":\"127.0.0.1:%d\",\"failure_domain\":\"%s\","
		"\"region\":\"r1\"}",
		name, role, port, domain);

	fleet_change_instances(f, json);
	g_free(json);
}

int fleet_add_backend(struct fleet *f, const char *service, int count,
		      int slots, const char *options)
{
	int n = f->n_backends++;
	struct fleet_backend *b = &f->backends[n];
	char *log = g_strdup_printf("backend-%d", n), name[64];

	if (n >= FLEET_MAX_BACKENDS || f->n_servers + count > FLEET_MAX_SERVERS)
		die("too many backend processes or servers");
	g_strlcpy(b->service, service, sizeof(b->service));
	b->count = count;
	b->slots = slots;
	b->first_port = f->base + SERVER_PORT + f->n_servers;
	b->control = f->base + BACKEND_CONTROL + n;
	b->journal = g_strdup_printf("%s/journal-%d", f->dir, n);
	f->n_servers += count;
	b->pid = fleet_spawn(
		f, log, "standins/backend -p %d -n %d -c %d -j %s -s %d %s",
		b->first_port, count, b->control, b->journal, slots, options);
	wait_for_control_port(f, b->control, &b->pid);
	for (int i = 0; i < count; i++) {
		char domain[2] = { (char)('a' + i % 3), '\0' };

		snprintf(name, sizeof(name), "%s-%d", service, i + 1);
		add_instance(f, name, "server", b->first_port + i, domain);
	}
	g_free(log);
	return n;
}

static void start_daemon(struct fleet *f, int i)
{
	struct fleet_daemon *d = &f->daemons[i];
	char *file = g_strdup_printf("%s.json", d->name);
	GString *seeds = g_string_new(NULL);

	for (int k = 0; k < MIN(f->n_daemons, 3); k++)
		if (k != i)
			g_string_append_printf(seeds, "%s\"127.0.0.1:%d\"",
					       seeds->len ? ", " : "",
					       fleet_peer_port(f, k));
	fleet_write_file(f, file,
			 "{ \"instance\": \"%s\", \"failure_domain\": \"%s\",\n"
			 "  \"region\": \"r1\", \"listen\": \"127.0.0.1:%d\",\n"
			 "  \"admin\": \"127.0.0.1:%d\", "
			 "\"peer\": \"127.0.0.1:%d\",\n"
			 "  \"store\": \"http://127.0.0.1:%d\",\n"
			 "  \"seeds\": [%s],\n"
			 "  \"fleet_secret_file\": \"%s/secret\"%s%s }\n",
			 d->name, d->failure_domain, fleet_listen_port(f, i),
			 fleet_admin_port(f, i), fleet_peer_port(f, i),
			 f->base + PLATFORM_PORT + d->store, seeds->str, f->dir,
			 *d->settings ? ", " : "", d->settings);
	d->starts++;
	d->pid = fleet_spawn(f, d->name, "celerygladed --settings %s/%s",
			     f->dir, file);
	g_string_free(seeds, TRUE);
	g_free(file);
}

int fleet_add_daemon(struct fleet *f, const char *failure_domain, int store,
		     const char *settings)
{
	int i = f->n_daemons++;
	struct fleet_daemon *d = &f->daemons[i];

	if (i >= FLEET_MAX_DAEMONS)
		die("too many daemons");
	snprintf(d->name, sizeof(d->name), "entry-%d", i + 1);
	g_strlcpy(d->failure_domain, failure_domain, sizeof(d->failure_domain));
	d->store = store;
	d->settings = g_strdup(settings ? settings : "");
	add_instance(f, d->name, "entry", fleet_peer_port(f, i),
		     failure_domain);
	start_daemon(f, i);
	return i;
}

void fleet_add_daemons(struct fleet *f, int count, int per_store,
		       const char *settings)
{
	static const char *const domains[] = { "a", "b", "c" };

	for (int i = 0; i < count; i++)
		fleet_add_daemon(f, domains[i % 3], i / per_store, settings);
}

void fleet_restart_daemon(struct fleet *f, int i)
{
	char *json = g_strdup_printf("{\"op\":\"restart\",\"name\":\"%s\"}",
				     f->daemons[i].name);

	fleet_change_instances(f, json);
	g_free(json);
	start_daemon(f, i);
}

int fleet_wait_ready(struct fleet *f, int i, int64_t ms)
{
	int64_t end = fleet_now_ms() + ms;

	for (int k = 0; k < f->n_daemons; k++) {
		struct fleet_daemon *d = &f->daemons[k];
		char *url;
		int rc;

		if (!d->pid || (i >= 0 && k != i))
			continue;
		url = g_strdup_printf("http://127.0.0.1:%d/-/ready",
				      fleet_admin_port(f, k));
		rc = wait_for_status(url, 200, end - fleet_now_ms(), &d->pid);
		g_free(url);
		if (rc)
			return -1;
	}
	return 0;
}

void fleet_signal_daemon(struct fleet *f, int i, int sig)
{
	kill(f->daemons[i].pid, sig);
	if (sig == SIGKILL)
		fleet_wait_process(&f->daemons[i].pid, START_TIMEOUT_MS);
}

int fleet_wait_exit(struct fleet *f, int i, int64_t ms)
{
	return fleet_wait_process(&f->daemons[i].pid, ms);
}

int fleet_ctl(struct fleet *f, const char *args, char **out)
{
	char *line = g_strdup_printf("%s/celerygladectl %s", f->build, args);
	char *err = NULL, *text = NULL;
	int status = -1;

	if (!g_spawn_command_line_sync(line, &text, &err, &status, NULL))
		die("cannot run %s", line);
	status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
	if (status && err)
		fprintf(stderr, "%s: status %d: %s", line, status, err);
	if (out)
		*out = text;
	else
		g_free(text);
	g_free(err);
	g_free(line);
	return status;
}

int fleet_apply_config(struct fleet *f)
{
	char *args = g_strdup_printf("apply %s/conf --store "
				     "http://127.0.0.1:%d",
				     f->dir, f->base + PLATFORM_PORT);
	int rc = fleet_ctl(f, args, NULL);

	g_free(args);
	return rc;
}

static int64_t find_metric(const char *text, const char *name)
{
	char *line = g_strdup_printf("\n%s ", name);
	const char *at = strstr(text, line);
	int64_t n = at ? atoll(at + strlen(line)) : 0;

	if (!at && !strncmp(text, line + 1, strlen(line) - 1))
		n = atoll(text + strlen(line) - 1);
	g_free(line);
	return n;
}

int64_t fleet_metric(struct fleet *f, int i, const char *name)
{
	char *url = g_strdup_printf("http://127.0.0.1:%d/-/metrics",
				    fleet_admin_port(f, i));
	char *text = NULL;
	int64_t n = -1;

	if (fleet_http("GET", url, NULL, NULL, &text) == 200)
		n = find_metric(text, name);
	g_free(text);
	g_free(url);
	return n;
}

int64_t fleet_metric_sum(struct fleet *f, const char *name)
{
	int64_t sum = 0;

	for (int i = 0; i < f->n_daemons; i++)
		if (f->daemons[i].pid)
			sum += MAX(0, fleet_metric(f, i, name));
	return sum;
}

int64_t fleet_server_number(struct fleet *f, int backend, int server,
			    const char *member)
{
	char *url = g_strdup_printf("http://127.0.0.1:%d/control",
				    f->backends[backend].control);
	struct json_object *o, *list, *s, *v;
	char *text = NULL;
	int64_t n = -1;

	if (fleet_http("GET", url, NULL, NULL, &text) != 200)
		die("GET %s failed", url);
	o = json_tokener_parse(text);
	if (json_object_object_get_ex(o, "servers", &list)) {
		s = json_object_array_get_idx(list, (size_t)server - 1);
		if (json_object_object_get_ex(s, member, &v))
			n = json_object_get_int64(v);
	}
	json_object_put(o);
	g_free(text);
	g_free(url);
	return n;
}

long fleet_request(struct fleet *f, int i, const char *method, const char *path,
		   const char *key)
{
	char *url = g_strdup_printf("http://127.0.0.1:%d%s",
				    fleet_listen_port(f, i), path);
	char *auth = g_strdup_printf("Authorization: Bearer %s", key);
	long status = fleet_http(method, url, auth, NULL, NULL);

	g_free(auth);
	g_free(url);
	return status;
}

void fleet_print_logs(struct fleet *f)
{
	for (int i = 0; i < f->n_daemons; i++) {
		char *path = g_strdup_printf("%s/%s.log", f->dir,
					     f->daemons[i].name);
		char *text = NULL, **lines;

		g_file_get_contents(path, &text, NULL, NULL);
		lines = g_strsplit(text ? text : "", "\n", -1);
		for (char **l = lines; *l; l++)
			if (strstr(*l, " error ") || strstr(*l, " warning ") ||
			    strstr(*l, "ERROR"))
				fprintf(stderr, "%s\n", *l);
		g_strfreev(lines);
		g_free(text);
		g_free(path);
	}
}
