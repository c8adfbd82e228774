/* Measures the control plane alone, with one process per daemon and real
 * transports on loopback: how fast a changed root reaches all daemons, and the
 * cost per daemon while nothing changes. The object store runs in the parent
 * process, whose cost is not included. Prints a table. */
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../tests/control_node.h"
#include "../tests/support/fake_store.h"
#include "celeryglade/counters.h"
#include "fleet/ports.h"

#define MAX_DAEMONS 60
#define PARTS	    8
#define PART_BYTES  32000
#define IDLE_S	    20
#define CHANGES	    10

struct sample {
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t calls;
	uint64_t store_calls;
	uint64_t cpu_us;
	uint64_t shards;
	cg_ms fresh_age; /* Maximum since the last sample, ms. */
	cg_ms majority_age;
};

/* One message from a child to the parent. */
struct report {
	enum {
		ADOPTED,
		SAMPLE
	} kind;
	int child;
	uint64_t version;
	cg_ms at;
	struct sample s;
};

struct child {
	int index;
	int fd;
	struct control_node node;
	struct cg_clock clk;
	cg_ms fresh_age;
	cg_ms majority_age;
};

static void send_report(const struct child *c, const struct report *r)
{
	if (write(c->fd, r, sizeof(*r)) != sizeof(*r))
		_exit(1);
}

static void on_doc(void *arg, enum cg_doc doc, uint64_t version,
		   GBytes *content)
{
	struct child *c = arg;
	struct report r = { .kind = ADOPTED,
			    .child = c->index,
			    .version = version,
			    .at = cg_clock_now(&c->clk) };

	(void)content;
	if (doc == CG_DOC_ROOT)
		send_report(c, &r);
}

static uint64_t cpu_us(void)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	return (uint64_t)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1000000 +
	       (uint64_t)(u.ru_utime.tv_usec + u.ru_stime.tv_usec);
}

static void observe_ages(struct child *c)
{
	cg_ms now = cg_clock_now(&c->clk);
	cg_ms fresh = cg_docs_fresh_at(c->node.docs);
	cg_ms majority = cg_members_majority_seen_at(c->node.members);

	if (fresh != -CG_MS_NEVER)
		c->fresh_age = MAX(c->fresh_age, now - fresh);
	if (majority != CG_NEVER_SEEN)
		c->majority_age = MAX(c->majority_age, now - majority);
}

static void send_sample(struct child *c)
{
	struct report r = { .kind = SAMPLE, .child = c->index };

	r.at = cg_clock_now(&c->clk);
	r.s.bytes_in = cg_counter_read(CG_COUNTER_PEER_BYTES_IN);
	r.s.bytes_out = cg_counter_read(CG_COUNTER_PEER_BYTES_OUT);
	r.s.calls = cg_counter_read(CG_COUNTER_PEER_CALLS_OUT);
	r.s.store_calls = cg_counter_read(CG_COUNTER_STORE_READS) +
			  cg_counter_read(CG_COUNTER_STORE_WATCHES) +
			  cg_counter_read(CG_COUNTER_STORE_WRITES);
	r.s.cpu_us = cpu_us();
	r.s.shards = cg_shards_owned_count(c->node.shards);
	r.s.fresh_age = c->fresh_age;
	r.s.majority_age = c->majority_age;
	c->fresh_age = 0;
	c->majority_age = 0;
	send_report(c, &r);
}

/* Each byte from the parent requests a sample. The child exits at the end of
 * the stream. */
static void run_child(int index, int fd, uint16_t base, int n)
{
	struct child *c = g_new0(struct child, 1);
	struct pollfd p = { .fd = fd, .events = POLLIN };
	char name[32];
	char domain[8];
	char byte;

	c->index = index;
	c->fd = fd;
	cg_clock_init_boot(&c->clk);
	g_snprintf(name, sizeof(name), "entry-%d", index);
	g_snprintf(domain, sizeof(domain), "d%d", index % 3);
	node_settings(&c->node.set, name, domain, (uint16_t)(base + index),
		      (uint16_t)(base + n));
	c->node.incarnation = 100;
	if (read(fd, &byte, 1) != 1 || node_init(&c->node))
		_exit(1);
	cg_docs_add_listener(c->node.docs, on_doc, c);
	if (node_start(&c->node, true))
		_exit(1);
	for (;;) {
		if (poll(&p, 1, 200) > 0) {
			if (read(fd, &byte, 1) != 1)
				_exit(0);
			send_sample(c);
		}
		observe_ages(c);
	}
}

struct fleet {
	int n;
	uint16_t base;
	pid_t pids[MAX_DAEMONS];
	int fds[MAX_DAEMONS];
	struct fake_store *store;
	cg_ms adopted[MAX_DAEMONS];
	uint64_t version[MAX_DAEMONS];
	struct sample samples[MAX_DAEMONS];
	bool sampled[MAX_DAEMONS];
};

static int compare_ms(const void *a, const void *b)
{
	cg_ms x = *(const cg_ms *)a;
	cg_ms y = *(const cg_ms *)b;

	return (x > y) - (x < y);
}

static int spawn(struct fleet *f)
{
	for (int i = 0; i < f->n; i++) {
		int sv[2];

		if (socketpair(AF_UNIX, SOCK_SEQPACKET, 0, sv))
			return -1;
		f->fds[i] = sv[0];
		f->pids[i] = fork();
		if (f->pids[i] < 0)
			return -1;
		if (!f->pids[i]) {
			for (int k = 0; k <= i; k++)
				close(f->fds[k]);
			run_child(i, sv[1], f->base, f->n);
		}
		close(sv[1]);
	}
	return 0;
}

static void request_samples(struct fleet *f)
{
	for (int i = 0; i < f->n; i++)
		if (write(f->fds[i], "s", 1) != 1)
			exit(1);
}

/* Receives reports, waiting up to @p ms for the first one. */
static void collect(struct fleet *f, cg_ms ms)
{
	struct pollfd p[MAX_DAEMONS];
	struct report r;

	for (int i = 0; i < f->n; i++)
		p[i] = (struct pollfd){ .fd = f->fds[i], .events = POLLIN };
	if (poll(p, (nfds_t)f->n, (int)ms) <= 0)
		return;
	for (int i = 0; i < f->n; i++) {
		if (!p[i].revents)
			continue;
		if (read(f->fds[i], &r, sizeof(r)) != sizeof(r))
			exit(1);
		if (r.kind == ADOPTED) {
			f->version[i] = r.version;
			f->adopted[i] = r.at;
		} else {
			f->samples[i] = r.s;
			f->sampled[i] = true;
		}
	}
}

static bool all_have_version(const struct fleet *f, uint64_t version)
{
	for (int i = 0; i < f->n; i++)
		if (f->version[i] != version)
			return false;
	return true;
}

static bool wait_version(struct fleet *f, struct cg_clock *clk,
			 uint64_t version, cg_ms ms)
{
	cg_ms end = cg_clock_now(clk) + ms;

	while (!all_have_version(f, version) && cg_clock_now(clk) < end)
		collect(f, 100);
	return all_have_version(f, version);
}

static void take_samples(struct fleet *f)
{
	bool all = false;

	memset(f->sampled, 0, sizeof(f->sampled));
	request_samples(f);
	while (!all) {
		collect(f, 100);
		all = true;
		for (int i = 0; i < f->n; i++)
			all = all && f->sampled[i];
	}
}

/* Publishes a version in which one part differs from the previous version. */
static void publish(struct fleet *f, uint64_t version)
{
	GBytes *parts[PARTS];
	GBytes *root;
	gsize len;
	const void *data;

	for (uint64_t i = 0; i < PARTS; i++) {
		uint64_t changed = version - (version + PARTS - i) % PARTS;
		char *text = g_malloc(PART_BYTES);
		uint8_t digest[CG_DIGEST_SIZE];
		char name[CG_PART_NAME_SIZE];

		memset(text, 'x', PART_BYTES);
		g_snprintf(text, 64, "part %d of version %d\n", (int)i,
			   (int)changed);
		parts[i] = g_bytes_new_take(text, PART_BYTES);
		cg_part_digest(parts[i], digest);
		cg_part_name(digest, name);
		fake_store_put(f->store, name, text, PART_BYTES);
	}
	root = fake_root(version, parts, PARTS);
	data = g_bytes_get_data(root, &len);
	fake_store_put(f->store, CG_ROOT_OBJECT, data, len);
	g_bytes_unref(root);
	for (int i = 0; i < PARTS; i++)
		g_bytes_unref(parts[i]);
}

static void publish_list(struct fleet *f)
{
	GString *s = g_string_new("{\"version\":1,\"instances\":[");

	for (int i = 0; i < f->n; i++)
		g_string_append_printf(
			s,
			"%s{\"name\":\"entry-%d\",\"role\":\"entry\","
			"\"address\":\"127.0.0.1:%d\",\"failure_domain\":"
			"\"d%d\",\"region\":\"r1\",\"state\":\"live\","
			"\"started\":1}",
			i ? "," : "", i, f->base + i, i % 3);
	g_string_append(s, "]}");
	fake_store_set_list(f->store, 1, s->str);
	g_string_free(s, TRUE);
}

struct totals {
	double in, out, calls, store, cpu, cpu_max;
	cg_ms fresh, majority;
	uint64_t low, high;
};

static void sum_samples(const struct fleet *f, const struct sample *before,
			double seconds, struct totals *t)
{
	memset(t, 0, sizeof(*t));
	t->low = UINT64_MAX;
	for (int i = 0; i < f->n; i++) {
		const struct sample *a = &before[i];
		const struct sample *b = &f->samples[i];
		double cpu = (double)(b->cpu_us - a->cpu_us) / seconds / 1e4;
		double k = 1 / seconds / f->n;

		t->in += (double)(b->bytes_in - a->bytes_in) * k;
		t->out += (double)(b->bytes_out - a->bytes_out) * k;
		t->calls += (double)(b->calls - a->calls) * k;
		t->store += (double)(b->store_calls - a->store_calls) * k;
		t->cpu += cpu / f->n;
		t->cpu_max = MAX(t->cpu_max, cpu);
		t->fresh = MAX(t->fresh, b->fresh_age);
		t->majority = MAX(t->majority, b->majority_age);
		t->low = MIN(t->low, b->shards);
		t->high = MAX(t->high, b->shards);
	}
}

static void measure_changes(struct fleet *f, struct cg_clock *clk,
			    double *median, double *worst, int *failed)
{
	cg_ms took[CHANGES * MAX_DAEMONS];
	size_t count = 0;
	size_t middle;

	*failed = 0;
	for (uint64_t v = 2; v < 2 + CHANGES; v++) {
		cg_ms start = cg_clock_now(clk);

		publish(f, v);
		if (!wait_version(f, clk, v, 10000)) {
			(*failed)++;
			continue;
		}
		for (int i = 0; i < f->n; i++)
			took[count++] = f->adopted[i] - start;
		cg_sleep(500);
	}
	qsort(took, count, sizeof(*took), compare_ms);
	*median = 0;
	*worst = 0;
	if (!count)
		return;
	middle = count / 2;
	*median = (double)took[middle] / 1e3;
	*worst = (double)took[count - 1] / 1e3;
}

static int measure(int n)
{
	struct fleet *f = g_new0(struct fleet, 1);
	struct sample before[MAX_DAEMONS];
	struct cg_clock clk;
	struct totals t;
	double median;
	double worst;
	cg_ms start;
	int failed;
	int rc = -1;

	cg_clock_init_boot(&clk);
	f->n = n;
	f->base = claim_test_ports(n + 1);
	if (!f->base || spawn(f))
		goto out;
	f->store = fake_store_start((uint16_t)(f->base + n));
	if (!f->store)
		goto out;
	publish_list(f);
	publish(f, 1);
	request_samples(f);
	if (!wait_version(f, &clk, 1, 30000)) {
		fprintf(stderr, "%d daemons did not start\n", n);
		goto out;
	}
	/* Time for the members to create the shard map. */
	cg_sleep(8000);
	take_samples(f);
	memcpy(before, f->samples, sizeof(before));
	start = cg_clock_now(&clk);
	cg_sleep(IDLE_S * 1000);
	take_samples(f);
	sum_samples(f, before, (double)(cg_clock_now(&clk) - start) / 1000, &t);
	measure_changes(f, &clk, &median, &worst, &failed);
	printf("%7d %8.2f %8.2f %6d %8.0f %8.0f %7.1f %7.2f %7.2f %7.2f %7lld "
	       "%8lld %4llu-%llu\n",
	       n, median, worst, failed, t.out, t.in, t.calls, t.cpu, t.cpu_max,
	       t.store, (long long)t.fresh, (long long)t.majority,
	       (unsigned long long)t.low, (unsigned long long)t.high);
	fflush(stdout);
	rc = 0;
out:
	for (int i = 0; i < n && f->pids[i] > 0; i++)
		close(f->fds[i]);
	for (int i = 0; i < n && f->pids[i] > 0; i++)
		waitpid(f->pids[i], NULL, 0);
	if (f->store)
		fake_store_stop(f->store);
	g_free(f);
	return rc;
}

int main(int argc, char **argv)
{
	static const int sizes[] = { 8, 16, 32, 48 };
	int rc = 0;

	signal(SIGPIPE, SIG_IGN);
	printf("%7s %8s %8s %6s %8s %8s %7s %7s %7s %7s %7s %8s %s\n",
	       "daemons", "median_s", "all_s", "failed", "out_B/s", "in_B/s",
	       "calls/s", "cpu_%", "cpumax%", "store/s", "freshms", "majorms",
	       "shards");
	if (argc > 1)
		return measure(MIN(atoi(argv[1]), MAX_DAEMONS)) ? 1 : 0;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes) && !rc; i++)
		rc = measure(sizes[i]);
	return rc ? 1 : 0;
}
