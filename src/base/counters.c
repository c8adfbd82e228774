#include "celeryglade/counters.h"

#include <stdatomic.h>
#include <stdlib.h>

#define STRIPE_COUNT 16

static struct {
	_Alignas(64) _Atomic uint64_t n[CG_COUNTER_COUNT];
} stripes[STRIPE_COUNT];

static _Atomic unsigned int next_stripe;
static _Thread_local int thread_stripe = -1;

static const char *const counter_names[CG_COUNTER_COUNT] = {
#define X(sym, text) [CG_COUNTER_##sym] = text,
	CG_COUNTERS(X)
#undef X
		[CG_COUNTER_FIRST_REFUSAL] = "refused_none",
#define X(sym, text, status, not_run)                                          \
	[CG_COUNTER_FIRST_REFUSAL + CG_REASON_##sym] = "refused_" text,
	CG_REASONS(X)
#undef X
#define X(sym, text) [CG_COUNTER_FIRST_RETRY + CG_RETRY_##sym] = text,
		CG_RETRIES(X)
#undef X
};

void cg_count_add(enum cg_counter c, uint64_t n)
{
	if ((unsigned int)c >= CG_COUNTER_COUNT)
		abort();
	if (thread_stripe < 0)
		thread_stripe =
			(int)(atomic_fetch_add(&next_stripe, 1) % STRIPE_COUNT);
	atomic_fetch_add_explicit(&stripes[thread_stripe].n[c], n,
				  memory_order_relaxed);
}

uint64_t cg_counter_read(enum cg_counter c)
{
	uint64_t sum = 0;

	if ((unsigned int)c >= CG_COUNTER_COUNT)
		abort();
	for (int i = 0; i < STRIPE_COUNT; i++)
		sum += atomic_load_explicit(&stripes[i].n[c],
					    memory_order_relaxed);
	return sum;
}

const char *cg_counter_name(enum cg_counter c)
{
	if ((unsigned int)c >= CG_COUNTER_COUNT)
		abort();
	return counter_names[c];
}
