#include "internal/balance.h"

/* Random choice; the adaptive limits follow with the health controller. */

#define TRIES 20

struct cg_balance {
	const struct cg_settings *settings;
};

struct cg_balance *cg_balance_new(const struct cg_settings *s,
				  struct cg_members *members)
{
	struct cg_balance *b = g_new0(struct cg_balance, 1);

	(void)members;
	b->settings = s;
	return b;
}

void cg_balance_free(struct cg_balance *b)
{
	g_free(b);
}

static bool excluded(const struct cg_server *s,
		     const struct cg_server *const *exclude, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (exclude[i] == s)
			return true;
	return false;
}

int cg_balance_pick(struct cg_balance *b, const struct cg_service *svc,
		    struct cg_health *h, const struct cg_server *const *exclude,
		    size_t n_exclude, bool idempotent, cg_ms now,
		    const struct cg_server **out)
{
	(void)b;
	(void)now;
	for (int i = 0; i < TRIES && svc->server_count; i++) {
		const struct cg_server *s = &svc->servers[g_random_int_range(
			0, (gint32)svc->server_count)];

		if (excluded(s, exclude, n_exclude) ||
		    !cg_health_weight(h, s, idempotent))
			continue;
		*out = s;
		return 0;
	}
	return -1;
}

void cg_balance_done(struct cg_balance *b, const struct cg_server *srv,
		     enum cg_observation o, cg_ms latency, cg_ms now)
{
	(void)b;
	(void)srv;
	(void)o;
	(void)latency;
	(void)now;
}

void cg_balance_cancel(struct cg_balance *b, const struct cg_server *srv)
{
	(void)b;
	(void)srv;
}
