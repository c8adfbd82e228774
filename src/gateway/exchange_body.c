#include "celeryglade/counters.h"
#include "gateway/gateway.h"

/* Memory for a body of unknown length is reserved in these steps. */
#define BODY_STEP ((int64_t)64 * 1024)

void cgw_exchange_drop_body(struct cgw_exchange *x)
{
	cgw_body_clear(&x->body);
	cg_memory_release(&x->memory);
}

static void evict_body(struct cg_memory_item *item)
{
	struct cgw_exchange *x =
		caa_container_of(item, struct cgw_exchange, memory);

	cgw_exchange_drop_body(x);
	x->no_room = true;
	cg_count(CG_COUNTER_BODIES_EVICTED);
}

/* Two copies of the head are kept: the fields, and what is sent to a server. */
static int64_t needed_memory(const struct cgw_exchange *x, int64_t body)
{
	return body + 2 * (int64_t)x->head_bytes;
}

bool cgw_exchange_reserve(struct cgw_exchange *x)
{
	if (x->no_room)
		return false;
	if (x->memory.budget)
		return true;
	x->memory.evict = evict_body;
	return cg_memory_reserve(&x->gateway->memory, &x->memory,
				 needed_memory(x, x->content_length),
				 cgw_loop_now(x->gateway->loop));
}

void cgw_exchange_append_body(struct cgw_exchange *x, const char *data,
			      size_t len, int64_t max)
{
	cg_ms now = cgw_loop_now(x->gateway->loop);
	int64_t length = (int64_t)(x->body.len + len);

	x->received += (int64_t)len;
	if (x->done || x->too_large || x->no_room)
		return;
	if (length > max) {
		x->too_large = true;
		cgw_exchange_drop_body(x);
		return;
	}
	if (needed_memory(x, length) > x->memory.bytes &&
	    !cg_memory_reserve(&x->gateway->memory, &x->memory,
			       needed_memory(x, length + BODY_STEP), now)) {
		x->no_room = true;
		cgw_exchange_drop_body(x);
		return;
	}
	cgw_body_append(&x->body, data, len, (size_t)x->content_length);
	cg_memory_progress(&x->memory, (int64_t)len, now);
}
