#include "celeryglade/clock.h"

#include <errno.h>
#include <stdlib.h>
#include <time.h>

void cg_clock_init_boot(struct cg_clock *c)
{
	c->kind = CG_CLOCK_BOOT;
}

void cg_clock_init_manual(struct cg_clock *c, cg_ms now)
{
	c->kind = CG_CLOCK_MANUAL;
	atomic_store(&c->u.manual_ms, now);
}

void cg_clock_set(struct cg_clock *c, cg_ms now)
{
	if (c->kind != CG_CLOCK_MANUAL)
		abort();
	atomic_store(&c->u.manual_ms, now);
}

cg_ms cg_clock_now(struct cg_clock *c)
{
	struct timespec ts;

	switch (c->kind) {
	case CG_CLOCK_BOOT:
		clock_gettime(CLOCK_BOOTTIME, &ts);
		return (cg_ms)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
	case CG_CLOCK_MANUAL:
		return atomic_load(&c->u.manual_ms);
	}
	abort();
}

void cg_sleep(cg_ms ms)
{
	struct timespec ts = { .tv_sec = ms / 1000,
			       .tv_nsec = (ms % 1000) * 1000000 };

	while (nanosleep(&ts, &ts) && errno == EINTR)
		;
}
