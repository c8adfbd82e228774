#include "celeryglade/outcome.h"

#include <stdlib.h>

static const struct {
	const char *name;
	int status;
	bool not_run;
} reasons[CG_REASON_COUNT] = { [CG_OK] = { "ok", 200, false },
#define X(sym, text, http_status, proves_not_run)                              \
	[CG_REASON_##sym] = { text, http_status, proves_not_run },
			       CG_REASONS(X)
#undef X
};

static const char *const retries[CG_RETRY_COUNT] = {
#define X(sym, text) [CG_RETRY_##sym] = text,
	CG_RETRIES(X)
#undef X
};

const char *cg_reason_name(enum cg_reason r)
{
	if ((unsigned int)r >= CG_REASON_COUNT)
		abort();
	return reasons[r].name;
}

int cg_reason_status(enum cg_reason r)
{
	if ((unsigned int)r >= CG_REASON_COUNT)
		abort();
	return reasons[r].status;
}

bool cg_reason_proves_not_run(enum cg_reason r)
{
	if ((unsigned int)r >= CG_REASON_COUNT)
		abort();
	return reasons[r].not_run;
}

const char *cg_retry_name(enum cg_retry r)
{
	if ((unsigned int)r >= CG_RETRY_COUNT)
		abort();
	return retries[r];
}
