/**
 * @file explain.h
 * Explains where a request would go now, and why, by the code that places
 * requests. Nothing is sent, granted or charged.
 */
#ifndef CELERYGLADE_GATEWAY_EXPLAIN_H
#define CELERYGLADE_GATEWAY_EXPLAIN_H

#include "gateway/broker.h"
#include "gateway/table.h"

/** The request in question. */
struct cgw_explain_query {
	const char *host;
	const char *target; /**< Path, with or without a query. */
	const char *method;
	const char *account; /**< Name; NULL for none. */
	size_t body_bytes;
};

/** What the explanation is based on. */
struct cgw_explain_state {
	const char *instance;
	const char *domain;
	const struct cgw_table *table; /**< NULL: no configuration yet. */
	struct cgw_broker *broker;
	/** Daemon whose broker decides, and its IP address; "" if it is this
	 * one. */
	const char *broker_name;
	const char *broker_ip;
	bool leads; /**< This daemon's broker decides. */
	cg_ms now;
};

/** Returns the explanation as a JSON object, which the caller frees. A query that
 * names no route or account is answered with the member "error". */
char *cgw_explain(const struct cgw_explain_state *s,
		  const struct cgw_explain_query *q);

#endif
