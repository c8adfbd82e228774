#define CG_PART "broker"
#include "broker_internal.h"

#include <string.h>

#include "celeryglade/counters.h"

/* A waiting request of an evacuated domain is redirected again after this. */
#define REDIRECT_AGAIN_MS 100
/* Waiting requests of a service that are redirected per tick although the other
 * domains reported no free slot: slots are released more often than reports are
 * sent, and each attempt costs two messages. */
#define UNREPORTED_REDIRECTS 4
/* The entry of a server may be this old. When an evacuation ends, a server may
 * be cold although its entry does not say so yet. */
#define ENTRY_AGE_MAX_MS 1500
/* Half of the longest Retry-After of a request that no domain can serve. */
#define RETRY_AFTER_MS 1000

bool cgw_broker_is_closed(const struct cgw_broker *b, cg_ms now)
{
	return b->servers_outdated || b->evacuated ||
	       now > b->evacuation_known_until;
}

void cgw_broker_set_servers_outdated(struct cgw_broker *b, bool outdated)
{
	b->servers_outdated = outdated;
}

bool cgw_broker_is_evacuated(const struct cgw_broker *b)
{
	return b->evacuated;
}

void cgw_broker_set_evacuation(struct cgw_broker *b, bool evacuated,
			       cg_ms known_until, cg_ms now)
{
	bool ends = b->evacuated && !evacuated;
	bool was_closed = cgw_broker_is_closed(b, now);
	GHashTableIter it;
	gpointer value;

	b->evacuated = evacuated;
	b->evacuation_known_until = known_until;
	if (ends) {
		g_hash_table_iter_init(&it, b->servers);
		while (g_hash_table_iter_next(&it, NULL, &value))
			((struct cgw_server *)value)->assumed_cold_until =
				now + ENTRY_AGE_MAX_MS;
	}
	if (!was_closed || cgw_broker_is_closed(b, now))
		return;
	g_hash_table_iter_init(&it, b->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		cgw_broker_grant_waiting(b, value, now);
}

void cgw_broker_record_domain_evacuation(struct cgw_broker *b,
					 const char *domain, bool evacuated,
					 cg_ms now)
{
	cg_ms *at;

	if (!evacuated) {
		g_hash_table_remove(b->evacuated_domains, domain);
		return;
	}
	at = g_new(cg_ms, 1);
	*at = now;
	g_hash_table_replace(b->evacuated_domains, g_strdup(domain), at);
}

bool cgw_broker_other_is_evacuated(const struct cgw_broker *b,
				   const char *domain, cg_ms now)
{
	const cg_ms *at = g_hash_table_lookup(b->evacuated_domains, domain);

	return at && now - *at <= CGW_DOMAIN_REPORT_VALID_MS;
}

int64_t cgw_service_floor_servers(const struct cgw_broker *b,
				  const struct cgw_service *s, cg_ms now)
{
	int64_t n = s->fleet_servers;
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, s->domain_servers);
	while (g_hash_table_iter_next(&it, &key, &value))
		if (cgw_broker_other_is_evacuated(b, key, now))
			n -= GPOINTER_TO_INT(value);
	return n;
}

/* Returns whether a domain that is not evacuated has recently reported at least
 * this many free slots. */
static bool other_domain_has(const struct cgw_broker *b,
			     const struct cgw_service *s, int64_t slots,
			     cg_ms now)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, s->domain_reports);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct cgw_domain_report *r = value;

		if (now - r->received_at <= CGW_DOMAIN_REPORT_VALID_MS &&
		    r->free_slots >= slots &&
		    !cgw_broker_other_is_evacuated(b, key, now))
			return true;
	}
	return false;
}

/* Returns the most urgent request that has waited for long enough to be
 * redirected again; among equals the oldest. */
static struct cgw_waiter *next_to_redirect(struct cgw_service *s, cg_ms now)
{
	struct cgw_waiter *best = NULL, *w;

	cds_list_for_each_entry(w, &s->waiting, node)
		if (now - w->since >= REDIRECT_AGAIN_MS &&
		    (!best || w->request.priority < best->request.priority))
			best = w;
	return best;
}

/* No other domain can serve the requests. A broker that has just taken over hears
 * of the others within the time that their reports are valid. */
static void refuse_stranded(struct cgw_broker *b, struct cgw_service *s,
			    cg_ms now)
{
	struct cgw_waiter *w, *next;

	cds_list_for_each_entry_safe(w, next, &s->waiting, node) {
		struct cgw_slot_request request = w->request;

		if (now - w->since < CGW_DOMAIN_REPORT_VALID_MS)
			continue;
		cgw_waiter_end(b, w);
		cgw_broker_refuse(b, &request, CG_REASON_NO_SERVER,
				  RETRY_AFTER_MS +
					  g_random_int_range(0, RETRY_AFTER_MS),
				  now);
	}
}

void cgw_broker_redirect_waiting(struct cgw_broker *b, struct cgw_service *s,
				 cg_ms now)
{
	unsigned int unreported = 0;
	struct cgw_waiter *w;

	if (!b->evacuated)
		return;
	if (!other_domain_has(b, s, INT64_MIN, now)) {
		refuse_stranded(b, s, now);
		return;
	}
	while ((w = next_to_redirect(s, now))) {
		struct cgw_slot_request request = w->request;

		if (!other_domain_has(b, s, 1, now) &&
		    ++unreported > UNREPORTED_REDIRECTS)
			return;
		request.no_redirect = false;
		if (!cgw_broker_redirect(b, s, &request, now))
			return;
		cg_count(CG_COUNTER_EVACUATION_REDIRECTS);
		cgw_waiter_end(b, w);
	}
}
