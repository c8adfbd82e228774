#include "celeryglade/fair_queue.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/*
 * A popped request is charged in advance with the account's average server
 * time, and the charge is corrected when the actual time is known. Without the
 * advance charge an account could start many requests before the first one
 * ends. A flow keeps its deficit while it has running requests and is freed
 * when it has neither waiting nor running ones, so an idle account accumulates
 * no credit.
 */

/* Server time that each account receives per round. */
#define QUANTUM_MS 10
/* Initial estimate of a request's server time. */
#define INITIAL_AVERAGE_MS 5
/* Limits the negative deficit: after one very slow request an account waits at
 * most until each other account has received this much server time. */
#define MAX_DEBT_MS 1000

struct cg_fair_queue {
	/* Flows with waiting items, in round-robin order. */
	struct cds_list_head active_flows;
	GHashTable *flows; /* By account name. */
	uint32_t limit;
	uint32_t limit_per_account;
	uint32_t waiting;
};

struct cg_fair_queue *cg_fair_queue_new(uint32_t limit,
					uint32_t limit_per_account)
{
	struct cg_fair_queue *q = g_new0(struct cg_fair_queue, 1);

	CDS_INIT_LIST_HEAD(&q->active_flows);
	q->flows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	cg_fair_queue_set_limits(q, limit, limit_per_account);
	return q;
}

void cg_fair_queue_free(struct cg_fair_queue *q)
{
	if (!q)
		return;
	g_hash_table_destroy(q->flows);
	g_free(q);
}

void cg_fair_queue_set_limits(struct cg_fair_queue *q, uint32_t limit,
			      uint32_t limit_per_account)
{
	q->limit = limit;
	q->limit_per_account = limit_per_account;
}

static struct cg_fair_flow *get_flow(struct cg_fair_queue *q,
				     const char *account)
{
	struct cg_fair_flow *f = g_hash_table_lookup(q->flows, account);

	if (f)
		return f;
	f = g_new0(struct cg_fair_flow, 1);
	CDS_INIT_LIST_HEAD(&f->items);
	g_strlcpy(f->account, account, sizeof(f->account));
	f->average_service_ms = INITIAL_AVERAGE_MS;
	g_hash_table_insert(q->flows, f->account, f);
	return f;
}

static void free_if_idle(struct cg_fair_queue *q, struct cg_fair_flow *f)
{
	if (f->waiting == 0 && f->running == 0)
		g_hash_table_remove(q->flows, f->account);
}

static void add_waiting(struct cg_fair_queue *q, struct cg_fair_flow *f)
{
	if (f->waiting == 0)
		cds_list_add_tail(&f->node, &q->active_flows);
	f->waiting++;
	q->waiting++;
}

static void remove_waiting(struct cg_fair_queue *q, struct cg_fair_item *item)
{
	struct cg_fair_flow *f = item->flow;

	cds_list_del(&item->node);
	item->flow = NULL;
	q->waiting--;
	if (--f->waiting == 0)
		cds_list_del(&f->node);
}

int cg_fair_queue_push(struct cg_fair_queue *q, const char *account,
		       struct cg_fair_item *item)
{
	struct cg_fair_flow *f;

	if (q->waiting >= q->limit)
		return -1;
	f = get_flow(q, account);
	if (f->waiting >= q->limit_per_account) {
		free_if_idle(q, f);
		return -1;
	}
	add_waiting(q, f);
	cds_list_add_tail(&item->node, &f->items);
	item->flow = f;
	return 0;
}

void cg_fair_queue_push_front(struct cg_fair_queue *q, const char *account,
			      struct cg_fair_item *item)
{
	struct cg_fair_flow *f = get_flow(q, account);

	add_waiting(q, f);
	cds_list_add(&item->node, &f->items);
	item->flow = f;
}

void cg_fair_queue_put_back(struct cg_fair_queue *q, const char *account,
			    struct cg_fair_item *item)
{
	struct cg_fair_flow *f = get_flow(q, account);

	if (f->running > 0) {
		f->running--;
		f->deficit_ms += f->average_service_ms;
	}
	cg_fair_queue_push_front(q, account, item);
}

struct cg_fair_item *cg_fair_queue_pop(struct cg_fair_queue *q)
{
	struct cg_fair_flow *f;
	struct cg_fair_item *item;

	if (cds_list_empty(&q->active_flows))
		return NULL;
	for (;;) {
		f = cds_list_first_entry(&q->active_flows, struct cg_fair_flow,
					 node);
		if (f->deficit_ms > 0)
			break;
		f->deficit_ms += QUANTUM_MS;
		cds_list_del(&f->node);
		cds_list_add_tail(&f->node, &q->active_flows);
	}
	item = cds_list_first_entry(&f->items, struct cg_fair_item, node);
	f->running++;
	f->deficit_ms -= f->average_service_ms;
	remove_waiting(q, item);
	return item;
}

bool cg_fair_queue_remove(struct cg_fair_queue *q, struct cg_fair_item *item)
{
	struct cg_fair_flow *f = item->flow;

	if (!f)
		return false;
	remove_waiting(q, item);
	free_if_idle(q, f);
	return true;
}

void cg_fair_queue_charge(struct cg_fair_queue *q, const char *account,
			  int64_t ms)
{
	struct cg_fair_flow *f = g_hash_table_lookup(q->flows, account);

	if (!f || f->running == 0)
		return;
	f->running--;
	f->deficit_ms += f->average_service_ms - ms;
	if (f->deficit_ms < -MAX_DEBT_MS)
		f->deficit_ms = -MAX_DEBT_MS;
	f->average_service_ms =
		(f->average_service_ms * 7 + (ms > 0 ? ms : 1)) / 8;
	if (f->average_service_ms < 1)
		f->average_service_ms = 1;
	free_if_idle(q, f);
}

uint32_t cg_fair_queue_length(const struct cg_fair_queue *q)
{
	return q->waiting;
}
