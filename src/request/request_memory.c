#include "internal/request_memory.h"

#include <sys/socket.h>

#include "celeryglade/counters.h"
#include "internal/proxy.h"

/* Memory for a body of unknown length is reserved in these steps. */
#define BODY_STEP ((int64_t)64 * 1024)
/* Larger steps would refuse small responses in the reserved part. */
#define RESPONSE_STEP ((int64_t)16 * 1024)

/* A body belongs to a request, which one HTTP thread reads, and may be evicted by
 * another one. All changes are made under the budget's lock. */

void cg_request_memory_init(struct cg_proxy *p)
{
	pthread_mutex_init(&p->memory.lock, NULL);
	cg_memory_init(&p->memory.budget, p->settings->memory_max_mb);
}

bool cg_request_memory_connect(struct cg_proxy *p, int64_t bytes)
{
	bool fits;

	pthread_mutex_lock(&p->memory.lock);
	fits = cg_memory_connect(&p->memory.budget, bytes,
				 cg_clock_now(p->clk));
	pthread_mutex_unlock(&p->memory.lock);
	return fits;
}

void cg_request_memory_disconnect(struct cg_proxy *p, int64_t bytes)
{
	pthread_mutex_lock(&p->memory.lock);
	cg_memory_disconnect(&p->memory.budget, bytes);
	pthread_mutex_unlock(&p->memory.lock);
}

/* The lock is held. */
static void drop_body(struct cg_request *r)
{
	cg_buffer_clear(&r->body);
	cg_memory_release(&r->memory);
}

static void evict_body(struct cg_memory_item *item)
{
	struct cg_request *r =
		caa_container_of(item, struct cg_request, memory);

	drop_body(r);
	r->no_room = true;
	cg_count(CG_COUNTER_BODIES_EVICTED);
}

/* Two copies of the head are kept: the fields, and what is sent to a server. */
static bool reserve(struct cg_request *r, int64_t body)
{
	struct cg_proxy *p = r->proxy;

	if (!p->memory.budget.total)
		return true;
	r->memory.evict = evict_body;
	return cg_memory_reserve(&p->memory.budget, &r->memory,
				 body + 2 * (int64_t)r->head_bytes,
				 cg_clock_now(p->clk));
}

bool cg_request_memory_reserve(struct cg_request *r, int64_t body)
{
	bool ok;

	pthread_mutex_lock(&r->proxy->memory.lock);
	ok = reserve(r, body);
	if (ok)
		r->body_length = (size_t)body;
	pthread_mutex_unlock(&r->proxy->memory.lock);
	return ok;
}

void cg_request_memory_append(struct cg_request *r, const char *data,
			      size_t len)
{
	struct cg_proxy *p = r->proxy;
	int64_t length;

	pthread_mutex_lock(&p->memory.lock);
	length = (int64_t)(r->body.len + len);
	if (!r->no_room &&
	    length + 2 * (int64_t)r->head_bytes > r->memory.bytes &&
	    !reserve(r, length + BODY_STEP)) {
		r->no_room = true;
		drop_body(r);
	}
	if (!r->no_room) {
		cg_buffer_append(&r->body, data, len, r->body_length,
				 p->settings->max_body_bytes);
		cg_memory_progress(&r->memory, (int64_t)len,
				   cg_clock_now(p->clk));
	}
	pthread_mutex_unlock(&p->memory.lock);
}

bool cg_request_memory_keep(struct cg_request *r)
{
	bool whole;

	pthread_mutex_lock(&r->proxy->memory.lock);
	r->memory.evict = NULL;
	whole = !r->no_room;
	pthread_mutex_unlock(&r->proxy->memory.lock);
	return whole;
}

void cg_request_memory_drop(struct cg_request *r)
{
	pthread_mutex_lock(&r->proxy->memory.lock);
	drop_body(r);
	pthread_mutex_unlock(&r->proxy->memory.lock);
}

struct cg_response_memory *cg_response_memory_new(struct cg_proxy *p)
{
	struct cg_response_memory *m = g_new0(struct cg_response_memory, 1);

	m->proxy = p;
	m->fd = -1;
	return m;
}

bool cg_response_memory_reserve(struct cg_response_memory *m, int64_t bytes)
{
	struct cg_proxy *p = m->proxy;
	bool ok;

	if (!p->memory.budget.total || bytes <= m->item.bytes)
		return true;
	pthread_mutex_lock(&p->memory.lock);
	ok = cg_memory_reserve(&p->memory.budget, &m->item,
			       (bytes + RESPONSE_STEP - 1) / RESPONSE_STEP *
				       RESPONSE_STEP,
			       cg_clock_now(p->clk));
	pthread_mutex_unlock(&p->memory.lock);
	return ok;
}

/* The caller has not read its response while others need the memory. A closed
 * connection shows it that the response is not complete. */
static void evict_response(struct cg_memory_item *item)
{
	struct cg_response_memory *m =
		caa_container_of(item, struct cg_response_memory, item);

	cg_memory_release(item);
	cg_count(CG_COUNTER_RESPONSES_STALLED);
	shutdown(m->fd, SHUT_RDWR);
}

void cg_response_memory_sending(struct cg_response_memory *m, int fd)
{
	struct cg_proxy *p = m->proxy;

	pthread_mutex_lock(&p->memory.lock);
	m->fd = fd;
	m->item.evict = evict_response;
	cg_memory_progress(&m->item, CG_MEMORY_PROGRESS_BYTES,
			   cg_clock_now(p->clk));
	pthread_mutex_unlock(&p->memory.lock);
}

void cg_response_memory_progress(struct cg_response_memory *m, size_t bytes)
{
	struct cg_proxy *p = m->proxy;

	pthread_mutex_lock(&p->memory.lock);
	cg_memory_progress(&m->item, (int64_t)bytes, cg_clock_now(p->clk));
	pthread_mutex_unlock(&p->memory.lock);
}

void cg_response_memory_free(struct cg_response_memory *m)
{
	if (!m)
		return;
	pthread_mutex_lock(&m->proxy->memory.lock);
	cg_memory_release(&m->item);
	pthread_mutex_unlock(&m->proxy->memory.lock);
	g_free(m);
}
