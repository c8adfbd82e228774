#include "celeryglade/subset.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* The number of daemons that select a server follows nearly a Poisson
 * distribution. With four standard deviations between mean and limit, about one
 * server in ten thousand exceeds the limit. */
#define STANDARD_DEVIATIONS 4
/* With fewer servers there is no choice when one is ejected and another is at
 * its limit. */
#define SUBSET_MIN 3

size_t cg_subset_size(size_t daemons, size_t servers, uint32_t connections)
{
	double max_daemons = (double)connections / CG_SUBSET_CONNECTIONS;
	double root, mean;
	size_t k;

	if ((double)daemons <= max_daemons || servers <= SUBSET_MIN)
		return servers;
	/* The largest mean for which mean + STANDARD_DEVIATIONS * sqrt(mean) is
	 * at most max_daemons. */
	root = (sqrt(STANDARD_DEVIATIONS * STANDARD_DEVIATIONS +
		     4 * max_daemons) -
		STANDARD_DEVIATIONS) /
	       2;
	mean = root * root;
	k = (size_t)(mean * (double)servers / (double)daemons);
	if (k < SUBSET_MIN)
		return SUBSET_MIN;
	return k < servers ? k : servers;
}

uint64_t cg_subset_rank(const char *daemon, const char *server)
{
	return XXH3_64bits_withSeed(server, strlen(server),
				    XXH3_64bits(daemon, strlen(daemon)));
}
