/* Open-loop HTTP load at a fixed rate. Latency is measured from the intended
 * start of a request: a target that stalls delays the start of later requests,
 * and that delay must count (coordinated omission). */
#include <curl/curl.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "support/options.h"
#include "support/record.h"

#define READY_POLL_US	100000
#define RETRY_DELAY_US	150000
#define EXIT_VIOLATIONS 2

static atomic_bool stop_requested;
static atomic_int next_target;
static guint32 run_id;

struct worker;

/* A libcurl easy handle with the state of its current request. */
struct transfer {
	struct worker *w;
	CURL *easy;
	struct curl_slist *headers;
	struct record *request;
	GString *response;
	char *body;
	size_t body_pos;
	bool not_run;
};

struct worker {
	GThread *thread;
	CURLM *multi;
	GRand *rand;
	GPtrArray *records;
	GQueue idle; /* struct transfer */
	GQueue pending; /* struct record, waiting for an idle transfer */
	GQueue retries; /* struct record, oldest first */
	int64_t start_us;
	double interval_us;
	uint64_t sent;
	int number, running;
};

static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct transfer *s = arg;

	g_string_append_len(s->response, data, (gssize)(size * n));
	return size * n;
}

static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	struct transfer *s = arg;

	if (size * n >= 10 && !g_ascii_strncasecmp(data, "Not-Run: 1", 10))
		s->not_run = true;
	return size * n;
}

/* No seek function is set, so that libcurl cannot resend a body by itself when
 * a reused connection turns out to be closed. */
static size_t on_send(char *buf, size_t size, size_t n, void *arg)
{
	struct transfer *s = arg;
	size_t len = MIN(size * n, strlen(s->body + s->body_pos));

	memcpy(buf, s->body + s->body_pos, len);
	s->body_pos += len;
	return len;
}

static struct transfer *transfer_new(struct worker *w)
{
	struct transfer *s = g_new0(struct transfer, 1);

	s->w = w;
	s->easy = curl_easy_init();
	s->response = g_string_new(NULL);
	return s;
}

static void transfer_free(struct transfer *s)
{
	curl_easy_cleanup(s->easy);
	curl_slist_free_all(s->headers);
	g_string_free(s->response, TRUE);
	g_free(s->body);
	g_free(s);
}

/* Selects targets in turn, as a load balancer does, skipping those that are not
 * ready. Returns the first target if none is ready. */
static int pick_target(void)
{
	for (int i = 0; i < opts.n_targets; i++) {
		int t = (int)((unsigned int)atomic_fetch_add(&next_target, 1) %
			      (unsigned int)opts.n_targets);

		if (opts.targets[t].ready)
			return t;
	}
	return 0;
}

static void add_header(struct transfer *s, const char *name, const char *value)
{
	char *line = g_strdup_printf("%s: %s", name, value);

	s->headers = curl_slist_append(s->headers, line);
	g_free(line);
}

static void set_headers(struct transfer *s, struct record *r)
{
	const char *key = load_account_key(r->account);
	char *bearer = g_strdup_printf("Bearer %s", key);

	curl_slist_free_all(s->headers);
	s->headers = NULL;
	add_header(s, "X-Request-Id", r->id);
	if (*key)
		add_header(s, "Authorization", bearer);
	if (r->keyed)
		add_header(s, "Idempotency-Key", r->id);
	if (r->post)
		add_header(s, "Content-Type", "application/json");
	g_free(bearer);
}

static void start_transfer(struct transfer *s, struct record *r)
{
	unsigned int hash = g_str_hash(r->id);
	const char *path =
		r->post ? opts.post_paths[hash % (unsigned int)opts.n_post]
			: opts.get_paths[hash % (unsigned int)opts.n_get];
	char *url;

	r->target = pick_target();
	r->attempts++;
	r->reason[0] = '\0';
	s->request = r;
	s->not_run = false;
	s->body_pos = 0;
	g_string_truncate(s->response, 0);
	curl_easy_reset(s->easy);
	set_headers(s, r);
	url = g_strconcat(opts.targets[r->target].base, path, NULL);
	curl_easy_setopt(s->easy, CURLOPT_URL, url);
	g_free(url);
	curl_easy_setopt(s->easy, CURLOPT_HTTPHEADER, s->headers);
	curl_easy_setopt(s->easy, CURLOPT_PRIVATE, s);
	curl_easy_setopt(s->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(s->easy, CURLOPT_WRITEDATA, s);
	curl_easy_setopt(s->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(s->easy, CURLOPT_HEADERDATA, s);
	curl_easy_setopt(s->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(s->easy, CURLOPT_TIMEOUT_MS, (long)opts.timeout_ms);
	if (r->post) {
		g_free(s->body);
		s->body =
			g_strdup_printf("{\"request\":\"%s\",\"note\":\"%*s\"}",
					r->id, opts.body, "");
		curl_easy_setopt(s->easy, CURLOPT_POST, 1L);
		curl_easy_setopt(s->easy, CURLOPT_READFUNCTION, on_send);
		curl_easy_setopt(s->easy, CURLOPT_READDATA, s);
		curl_easy_setopt(s->easy, CURLOPT_POSTFIELDSIZE,
				 (long)strlen(s->body));
	}
	curl_multi_add_handle(s->w->multi, s->easy);
	s->w->running++;
}

static void read_refusal(struct transfer *s, struct record *r)
{
	struct json_object *o = json_tokener_parse(s->response->str), *v;

	r->not_run = s->not_run;
	if (json_object_object_get_ex(o, "reason", &v))
		g_strlcpy(r->reason, json_object_get_string(v),
			  sizeof(r->reason));
	else if (s->not_run)
		g_strlcpy(r->reason, "shed", sizeof(r->reason));
	if (json_object_object_get_ex(o, "not_run", &v))
		r->not_run = json_object_get_boolean(v);
	json_object_put(o);
}

static void read_response(struct transfer *s, struct record *r, CURLcode rc)
{
	char *own = g_strdup_printf("\"request_id\":\"%s\"", r->id);
	long status = 0;

	curl_easy_getinfo(s->easy, CURLINFO_RESPONSE_CODE, &status);
	r->status = rc == CURLE_OK || status == 200 ? (int)status : 0;
	r->complete = rc == CURLE_OK &&
		      (status != 200 ||
		       g_str_has_suffix(s->response->str, "\"end\":true}\n"));
	r->own = strstr(s->response->str, own) != NULL;
	r->not_run = false;
	if (rc != CURLE_OK)
		snprintf(r->reason, sizeof(r->reason), "caller_%d_%.28s", rc,
			 curl_easy_strerror(rc));
	else if (status != 200)
		read_refusal(s, r);
	r->maybe_run |= !r->not_run;
	r->not_run &= !r->maybe_run;
	g_free(own);
}

/* A client retries a POST with Idempotency-Key if its outcome is unknown. */
static bool should_retry(const struct record *r)
{
	return r->keyed && r->attempts <= opts.max_retries && !stop_requested &&
	       !r->not_run && !record_answered(r);
}

static void finish_transfer(struct worker *w, struct transfer *s, CURLcode rc)
{
	struct record *r = s->request;

	r->done_us = g_get_monotonic_time();
	read_response(s, r, rc);
	curl_multi_remove_handle(w->multi, s->easy);
	w->running--;
	s->request = NULL;
	g_queue_push_head(&w->idle, s);
	if (should_retry(r))
		g_queue_push_tail(&w->retries, r);
	else
		g_ptr_array_add(w->records, r);
}

static const char *pick_account(struct worker *w)
{
	double x = g_rand_double_range(w->rand, 0, opts.total_weight);
	int i = 0;

	while (i < opts.n_accounts - 1 && x >= opts.accounts[i].weight)
		x -= opts.accounts[i++].weight;
	return opts.accounts[i].name;
}

static void make_request(struct worker *w, int64_t intended)
{
	struct record *r = g_new0(struct record, 1);

	snprintf(r->id, sizeof(r->id), "%08x-%d-%" G_GUINT64_FORMAT, run_id,
		 w->number, w->sent++);
	r->intended_us = intended;
	r->account = pick_account(w);
	r->post = g_rand_double(w->rand) < opts.post_share;
	r->keyed = r->post && g_rand_double(w->rand) < opts.keyed_share;
	g_queue_push_tail(&w->pending, r);
}

static int64_t next_intended(struct worker *w)
{
	return w->start_us + (int64_t)((double)w->sent * w->interval_us);
}

static void start_due_requests(struct worker *w, int64_t now, int64_t end)
{
	struct record *r;
	int64_t t;

	while (!stop_requested && (t = next_intended(w)) <= now && t < end)
		make_request(w, t);
	while ((r = g_queue_peek_head(&w->retries)) != NULL &&
	       r->done_us + RETRY_DELAY_US <= now)
		g_queue_push_tail(&w->pending, g_queue_pop_head(&w->retries));
	while (!g_queue_is_empty(&w->pending) && !g_queue_is_empty(&w->idle))
		start_transfer(g_queue_pop_head(&w->idle),
			       g_queue_pop_head(&w->pending));
}

/* Waits for sockets or the next intended start. A timer is used because the
 * timeout of curl_multi_poll() has a resolution of 1 ms, too coarse here. */
static void wait_for_work(struct worker *w, int timer)
{
	struct curl_waitfd fd = { .fd = timer, .events = CURL_WAIT_POLLIN };
	int64_t at = next_intended(w);
	struct itimerspec it = { .it_value = { at / 1000000,
					       at % 1000000 * 1000 } };

	timerfd_settime(timer, TFD_TIMER_ABSTIME, &it, NULL);
	curl_multi_poll(w->multi, &fd, 1, 50, NULL);
}

static void *run_worker(void *arg)
{
	struct worker *w = arg;
	int64_t end = w->start_us + (int64_t)(opts.seconds * 1e6);
	int timer = timerfd_create(CLOCK_MONOTONIC, TFD_CLOEXEC), running,
	    remaining;
	CURLMsg *m;

	for (;;) {
		int64_t now = g_get_monotonic_time();

		start_due_requests(w, now, end);
		curl_multi_perform(w->multi, &running);
		while ((m = curl_multi_info_read(w->multi, &remaining))) {
			struct transfer *s;

			curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &s);
			finish_transfer(w, s, m->data.result);
		}
		if ((stop_requested || next_intended(w) >= end) &&
		    !w->running && g_queue_is_empty(&w->pending) &&
		    g_queue_is_empty(&w->retries))
			break;
		wait_for_work(w, timer);
	}
	close(timer);
	return NULL;
}

static void worker_init(struct worker *w, int number)
{
	w->number = number;
	w->multi = curl_multi_init();
	curl_multi_setopt(w->multi, CURLMOPT_MAXCONNECTS,
			  (long)opts.connections * opts.n_targets);
	w->rand = g_rand_new_with_seed(opts.seed + (guint32)number);
	w->records = g_ptr_array_new();
	w->interval_us = 1e6 * opts.threads / opts.rate;
	w->start_us = g_get_monotonic_time() +
		      (int64_t)(w->interval_us * number / opts.threads);
	for (int i = 0; i < MAX(1, opts.connections / opts.threads); i++)
		g_queue_push_tail(&w->idle, transfer_new(w));
}

static void worker_clear(struct worker *w, GPtrArray *all)
{
	for (guint i = 0; i < w->records->len; i++)
		g_ptr_array_add(all, w->records->pdata[i]);
	g_ptr_array_free(w->records, TRUE);
	while (!g_queue_is_empty(&w->idle))
		transfer_free(g_queue_pop_head(&w->idle));
	curl_multi_cleanup(w->multi);
	g_rand_free(w->rand);
}

static size_t discard_body(char *data, size_t size, size_t n, void *arg)
{
	return size * n;
}

static void poll_ready(CURL *c)
{
	for (int i = 0; i < opts.n_targets; i++) {
		struct target *t = &opts.targets[i];
		long status = 0;
		char *url;

		if (!t->admin)
			continue;
		url = g_strdup_printf("http://%s/-/ready", t->admin);
		curl_easy_setopt(c, CURLOPT_URL, url);
		if (curl_easy_perform(c) == CURLE_OK)
			curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
		t->ready = status == 200;
		g_free(url);
	}
}

static CURL *new_ready_handle(void)
{
	CURL *c = curl_easy_init();

	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, 300L);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, discard_body);
	return c;
}

static void *watch_ready(void *arg)
{
	atomic_bool *done = arg;
	CURL *c = new_ready_handle();

	while (!*done) {
		poll_ready(c);
		g_usleep(READY_POLL_US);
	}
	curl_easy_cleanup(c);
	return NULL;
}

static size_t append_body(char *data, size_t size, size_t n, void *arg)
{
	g_string_append_len(arg, data, (gssize)(size * n));
	return size * n;
}

/* Reads execution lines from a URL or a journal file. */
static int read_source(const char *source, GString *out)
{
	CURLcode rc;
	gchar *text;
	CURL *c;

	if (!g_str_has_prefix(source, "http://")) {
		if (!g_file_get_contents(source, &text, NULL, NULL))
			return -1;
		g_string_append(out, text);
		g_free(text);
		return 0;
	}
	c = curl_easy_init();
	curl_easy_setopt(c, CURLOPT_URL, source);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, out);
	rc = curl_easy_perform(c);
	curl_easy_cleanup(c);
	return rc == CURLE_OK ? 0 : -1;
}

static int run_check(GPtrArray *all, struct execution_check *c)
{
	GString *lines = g_string_new(NULL);
	int rc = 0;

	g_usleep((gulong)opts.check_delay_ms * 1000);
	for (guint i = 0; !rc && i < opts.checks->len; i++) {
		rc = read_source(opts.checks->pdata[i], lines);
		if (rc)
			fprintf(stderr,
				"load: cannot read executions from %s\n",
				(char *)opts.checks->pdata[i]);
	}
	record_check(all, lines->str, c);
	g_string_free(lines, TRUE);
	return rc;
}

static int report(GPtrArray *all, double seconds)
{
	bool checked = opts.checks->len > 0;
	struct execution_check c = { 0 };
	struct json_object *sum;
	int rc = EXIT_SUCCESS;

	if (checked && run_check(all, &c))
		rc = EXIT_FAILURE;
	else if (check_violations(&c))
		rc = EXIT_VIOLATIONS;
	sum = record_summary(all, seconds, checked ? &c : NULL);
	if (opts.json && json_object_to_file(opts.json, sum))
		rc = EXIT_FAILURE;
	if (opts.log && record_log(all, opts.log))
		rc = EXIT_FAILURE;
	if (!opts.json)
		record_print(sum);
	json_object_put(sum);
	return rc;
}

static void on_signal(int sig)
{
	stop_requested = true;
}

static void run_load(GPtrArray *all)
{
	struct worker *w = calloc((size_t)opts.threads, sizeof(*w));
	atomic_bool done = false;
	GThread *ready = NULL;

	if (opts.n_admins) {
		CURL *c = new_ready_handle();

		poll_ready(c);
		curl_easy_cleanup(c);
		ready = g_thread_new("ready", watch_ready, &done);
	}
	for (int i = 0; i < opts.threads; i++) {
		worker_init(&w[i], i);
		w[i].thread = g_thread_new("load", run_worker, &w[i]);
	}
	for (int i = 0; i < opts.threads; i++) {
		g_thread_join(w[i].thread);
		worker_clear(&w[i], all);
	}
	done = true;
	if (ready)
		g_thread_join(ready);
	free(w);
}

int main(int argc, char **argv)
{
	GPtrArray *all = g_ptr_array_new_with_free_func(g_free);
	int64_t begin;
	int rc;

	load_options_parse(argc, argv);
	run_id = g_random_int();
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_ALL);
	begin = g_get_monotonic_time();
	run_load(all);
	rc = report(all, (double)(g_get_monotonic_time() - begin) / 1e6);
	g_ptr_array_free(all, TRUE);
	g_ptr_array_free(opts.checks, TRUE);
	curl_global_cleanup();
	return rc;
}
