#include "internal/wait.h"

void cg_cond_init(pthread_cond_t *c)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(c, &attr);
	pthread_condattr_destroy(&attr);
}

struct timespec cg_wait_deadline(cg_ms ms)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += ms / 1000;
	ts.tv_nsec += ms % 1000 * 1000000;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_sec++;
		ts.tv_nsec -= 1000000000;
	}
	return ts;
}
