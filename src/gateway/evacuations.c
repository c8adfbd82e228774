#define CG_PART "evacuations"
#include "gateway/evacuations.h"

#include <string.h>

#include "celeryglade/counters.h"
#include "internal/logging.h"

/* As for the other reads of the store; see feed.c. */
#define CALL_TIMEOUT_MS	    700
#define CONNECT_TIMEOUT_MS  300
#define CONNECTION_REUSE_MS 5000

struct cgw_evacuations {
	struct cgw_loop *loop;
	struct cgw_upstream *client;
	const struct cgw_settings *settings;
	const struct cgw_store_format *format;
	void (*changed)(void *arg);
	void *arg;
	struct cgw_evacuation_state state;
	bool reading;
	struct cgw_call call;
	GByteArray *request;
	struct cgw_timer timer;
	cg_ms sent_at;
};

static void record(struct cgw_evacuations *e, bool evacuated, cg_ms read_at)
{
	if (cgw_evacuation_record(&e->state, evacuated, read_at))
		cg_info(evacuated ? "evacuation of failure domain %s begins: "
				    "its servers get no new requests"
				  : "evacuation of failure domain %s ends",
			e->settings->domain);
}

static uint64_t era_of_response(const struct cgw_evacuations *e)
{
	const char *name = e->format->era_header;
	const char *text = name ? cgw_call_header(&e->call, name) : NULL;

	return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

/* Returns 0 and records the state if the response tells it. */
static int handle_response(struct cgw_evacuations *e)
{
	const struct cgw_call *c = &e->call;
	char *reason = NULL;
	bool may_end;

	if (c->outcome != CGW_CALL_RESPONDED ||
	    (c->status != 404 && c->status / 100 != 2))
		return -1;
	may_end = cgw_evacuation_record_era(&e->state, era_of_response(e),
					    cgw_loop_now(e->loop));
	if (c->status == 404 && !may_end)
		return -1;
	if (c->status != 404 &&
	    e->format->read_evacuation((const char *)c->body->data,
				       c->body->len, e->settings->domain,
				       &reason)) {
		cg_warning("cannot parse the evacuation of failure domain "
			   "%s: %s",
			   e->settings->domain, reason);
		g_free(reason);
		return -1;
	}
	record(e, c->status != 404, e->sent_at);
	return 0;
}

static void on_call_done(struct cgw_call *call)
{
	struct cgw_evacuations *e =
		caa_container_of(call, struct cgw_evacuations, call);
	bool ok = !handle_response(e);
	cg_ms next;

	if (!ok && !e->state.failing)
		cg_warning("cannot read the evacuation of failure domain %s: "
			   "call outcome %d, HTTP status %d",
			   e->settings->domain, (int)call->outcome,
			   call->status);
	next = cgw_evacuation_schedule(&e->state, ok, e->sent_at,
				       cgw_loop_now(e->loop));
	cgw_call_clear(call);
	cgw_timer_arm(e->loop, &e->timer, next);
	e->changed(e->arg);
}

static void start_call(struct cgw_timer *t)
{
	struct cgw_evacuations *e =
		caa_container_of(t, struct cgw_evacuations, timer);
	char *target = e->format->evacuation_target(e->settings->domain);
	char *text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
				     target, e->settings->store);

	g_byte_array_set_size(e->request, 0);
	g_byte_array_append(e->request, (const guint8 *)text,
			    (guint)strlen(text));
	g_free(text);
	g_free(target);
	e->sent_at = cgw_loop_now(e->loop);
	memset(&e->call, 0, sizeof(e->call));
	g_strlcpy(e->call.address, e->settings->store, sizeof(e->call.address));
	e->call.request = e->request;
	e->call.connect_ms = CONNECT_TIMEOUT_MS;
	e->call.reuse_ms = CONNECTION_REUSE_MS;
	e->call.deadline = e->sent_at + CALL_TIMEOUT_MS;
	e->call.done = on_call_done;
	cg_count(CG_COUNTER_EVACUATION_READS);
	cgw_call_start(e->client, &e->call);
}

static void stop_reading(struct cgw_evacuations *e)
{
	cgw_timer_cancel(e->loop, &e->timer);
	cgw_call_cancel(&e->call);
	cgw_call_clear(&e->call);
}

struct cgw_evacuations *
cgw_evacuations_new(struct cgw_loop *l, struct cgw_upstream *u,
		    const struct cgw_settings *s,
		    const struct cgw_store_format *format,
		    void (*changed)(void *arg), void *arg)
{
	struct cgw_evacuations *e = g_new0(struct cgw_evacuations, 1);

	e->loop = l;
	e->client = u;
	e->settings = s;
	e->format = format;
	e->changed = changed;
	e->arg = arg;
	e->request = g_byte_array_new();
	e->timer.fire = start_call;
	cgw_evacuation_init(&e->state, s->evacuation_bound_ms);
	return e;
}

void cgw_evacuations_free(struct cgw_evacuations *e)
{
	if (!e)
		return;
	stop_reading(e);
	g_byte_array_unref(e->request);
	g_free(e);
}

void cgw_evacuations_set_reading(struct cgw_evacuations *e, bool reading)
{
	cg_ms now = cgw_loop_now(e->loop);

	if (!e->state.bound_ms || e->reading == reading)
		return;
	e->reading = reading;
	if (!reading) {
		stop_reading(e);
		return;
	}
	cgw_evacuation_begin(&e->state, now);
	cgw_timer_arm(e->loop, &e->timer, now);
}

void cgw_evacuations_record(struct cgw_evacuations *e, bool evacuated,
			    cg_ms read_at)
{
	if (e->state.bound_ms)
		record(e, evacuated, read_at);
}

const struct cgw_evacuation_state *
cgw_evacuations_state(const struct cgw_evacuations *e)
{
	return &e->state;
}
