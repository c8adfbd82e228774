/* Guards against shares that are counted twice after lost, duplicated, late or
 * crossing messages and after a change of coordinator. Each test passes the
 * messages between ledger and holders one by one. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include "celeryglade/rate_ledger.h"

#define LEASE 30000

static const struct cg_rate_limits limits = { "acme", 100000, 100000 };

static struct cg_rate_process make_process(const char *name,
					   uint64_t incarnation)
{
	struct cg_rate_process p = { .incarnation = incarnation };

	g_strlcpy(p.name, name, sizeof(p.name));
	p.addr.sin_port = 1 + (in_port_t)name[0];
	return p;
}

static struct cg_rate_answer answer(struct cg_rate_ledger *l, cg_ms now,
				    const char *name, bool listed,
				    const struct cg_rate_token_request *request)
{
	struct cg_rate_process p = make_process(name, 1);
	struct cg_rate_answer a;

	cg_rate_ledger_handle_request(l, now, &limits, &p, listed, request, &a);
	return a;
}

static struct cg_rate_token_request
make_request(struct cg_rate_holding *h, cg_ms now, int64_t demand, int64_t need)
{
	struct cg_rate_token_request request;

	h->demand = demand;
	h->interval_started_at = now;
	h->arrivals = 0;
	h->last_arrival_at = now;
	cg_rate_holding_fill_request(h, now, need, &request);
	return request;
}

/* One request and its answer, without faults. */
static void exchange(struct cg_rate_ledger *l, struct cg_rate_holding *h,
		     cg_ms now, const char *name, bool listed, int64_t demand,
		     int64_t need)
{
	struct cg_rate_token_request request =
		make_request(h, now, demand, need);
	struct cg_rate_answer a = answer(l, now, name, listed, &request);

	cg_rate_holding_apply_answer(h, now, now, &a);
}

static void assert_sums(struct cg_rate_ledger *l, cg_ms now,
			struct cg_rate_holding **h, size_t n)
{
	struct cg_rate_ledger_account *a = cg_rate_ledger_find(l, "acme");
	int64_t right = 0, cap = 0, tokens = 0;

	if (a) {
		cg_rate_bucket_refill(&a->pool, now);
		right = a->pool.share.refill_right;
		cap = a->pool.share.capacity;
		tokens = a->pool.share.tokens;
	}
	for (size_t i = 0; i < n; i++) {
		cg_rate_holding_expire(h[i], now);
		cg_rate_bucket_refill(&h[i]->bucket, now);
		right += h[i]->bucket.share.refill_right;
		cap += h[i]->bucket.share.capacity;
		tokens += h[i]->bucket.share.tokens;
	}
	assert_true(right <= limits.rate);
	assert_true(cap <= limits.burst);
	assert_true(tokens <= limits.burst);
}

static struct cg_rate_ledger *first_ledger(void)
{
	return cg_rate_ledger_new(1, 1, true, LEASE, 0);
}

static void idle_account_is_admitted_by_any_holder(void **state)
{
	struct cg_rate_ledger *l = first_ledger();
	struct cg_rate_holding h;

	cg_rate_holding_init(&h, 0, 0, limits.rate, limits.burst);
	assert_int_equal(cg_rate_holding_admit(&h, 5), CG_RATE_HOLDING_REQUEST);
	exchange(l, &h, 5, "a", true, 500, CG_RATE_REQUEST_COST);
	assert_true(cg_rate_holding_admit_waiting(&h, 6));
	/* Tokens for a single request return to the pool without a message. */
	cg_rate_holding_expire(&h, 300);
	assert_int_equal(h.bucket.share.capacity, 0);
	cg_rate_ledger_tick(l, 300);
	assert_int_equal(cg_rate_ledger_find(l, "acme")->held_capacity, 0);
	cg_rate_ledger_free(l);
}

static void duplicate_answer_is_applied_once(void **state)
{
	struct cg_rate_ledger *l = first_ledger();
	struct cg_rate_holding h;
	struct cg_rate_token_request request;
	struct cg_rate_answer a;
	struct cg_rate_share once;

	cg_rate_holding_init(&h, 0, 0, limits.rate, limits.burst);
	request = make_request(&h, 0, 20000, 0);
	a = answer(l, 0, "a", true, &request);
	assert_int_equal(cg_rate_holding_apply_answer(&h, 1, 0, &a), 0);
	once = h.bucket.share;
	assert_true(once.refill_right > 0);
	cg_rate_holding_apply_answer(&h, 1, 0, &a);
	assert_memory_equal(&once, &h.bucket.share, sizeof(once));
	cg_rate_ledger_free(l);
}

static void lost_answer_is_sent_again(void **state)
{
	struct cg_rate_ledger *l = first_ledger();
	struct cg_rate_holding h;
	struct cg_rate_token_request request;
	struct cg_rate_answer a, b;

	cg_rate_holding_init(&h, 0, 0, limits.rate, limits.burst);
	request = make_request(&h, 0, 20000, 0);
	a = answer(l, 0, "a", true, &request);
	request = make_request(&h, 1000, 20000, 0);
	b = answer(l, 1000, "a", true, &request);
	assert_int_equal(a.session, b.session);
	assert_int_equal(a.number, b.number);
	assert_memory_equal(&a.granted, &b.granted, sizeof(a.granted));
	cg_rate_ledger_free(l);
}

/* The first answer arrives after its lease has expired and the ledger has
 * reclaimed the share. */
static void late_first_answer_is_refused(void **state)
{
	struct cg_rate_ledger *l = first_ledger();
	struct cg_rate_holding h;
	struct cg_rate_token_request request;
	struct cg_rate_answer a;

	cg_rate_holding_init(&h, 0, 0, limits.rate, limits.burst);
	request = make_request(&h, 0, 20000, 0);
	a = answer(l, 0, "a", true, &request);
	cg_rate_ledger_tick(l, 4000);
	assert_int_equal(cg_rate_ledger_find(l, "acme")
				 ? cg_rate_ledger_find(l, "acme")->held_right
				 : 0,
			 0);
	assert_int_equal(cg_rate_holding_apply_answer(&h, 4000, 0, &a), -1);
	assert_int_equal(h.bucket.share.refill_right, 0);
	cg_rate_ledger_free(l);
}

/* Gives a and b holdings without a time limit by time 2000. */
static void make_two_holdings(struct cg_rate_ledger *l,
			      struct cg_rate_holding *a,
			      struct cg_rate_holding *b)
{
	cg_rate_holding_init(a, 0, 0, limits.rate, limits.burst);
	cg_rate_holding_init(b, 0, 0, limits.rate, limits.burst);
	exchange(l, a, 0, "a", true, 40000, 0);
	exchange(l, b, 0, "b", true, 20000, 0);
	for (cg_ms t = 1000; t <= 2000; t += 250) {
		exchange(l, a, t, "a", true, 40000, 0);
		exchange(l, b, t, "b", true, 20000, 0);
	}
	assert_true(a->lease_until == CG_MS_NEVER);
	assert_true(b->lease_until == CG_MS_NEVER);
	assert_true(a->bucket.share.refill_right > 30000);
}

/* The holder releases while a grant is in flight; both take effect. */
static void sums_hold_when_a_release_crosses_a_grant(void **state)
{
	struct cg_rate_ledger *l = first_ledger();
	struct cg_rate_holding a, b, *all[] = { &a, &b };
	struct cg_rate_token_request request, late;
	struct cg_rate_answer up;

	make_two_holdings(l, &a, &b);
	exchange(l, &a, 2500, "a", true, 4000, 0);
	exchange(l, &a, 3000, "a", true, 4000, 0);
	request = make_request(&b, 3500, 60000, 0);
	up = answer(l, 3500, "b", true, &request);
	assert_true(up.granted.refill_right > b.granted.refill_right);
	/* The rate is halved before the grant arrives: a local release. */
	cg_rate_holding_set_limits(&b, 3501, limits.rate / 2, limits.burst / 2);
	late = make_request(&b, 3502, 60000, 0);
	cg_rate_holding_apply_answer(&b, 3503, 3500, &up);
	assert_sums(l, 3503, all, 2);
	answer(l, 3504, "b", true, &late);
	assert_sums(l, 3504, all, 2);
	/* The first request arrives again after the second. */
	answer(l, 3505, "b", true, &request);
	assert_sums(l, 3505, all, 2);
	exchange(l, &b, 3600, "b", true, 60000, 0);
	assert_sums(l, 3600, all, 2);
	cg_rate_ledger_free(l);
}

static void release_counts_only_once_reported(void **state)
{
	struct cg_rate_ledger *l = first_ledger();
	struct cg_rate_holding a, b;
	struct cg_rate_ledger_account *acc;
	struct cg_rate_token_request request;
	struct cg_rate_answer down;
	int64_t before;

	make_two_holdings(l, &a, &b);
	acc = cg_rate_ledger_find(l, "acme");
	exchange(l, &b, 2500, "b", true, 80000, 0);
	request = make_request(&a, 3000, 26000, 0);
	before = acc->held_right;
	down = answer(l, 3000, "a", true, &request);
	assert_true(down.target_right >= 0);
	assert_true(down.target_right < a.bucket.share.refill_right);
	assert_int_equal(acc->held_right, before);
	cg_rate_holding_apply_answer(&a, 3001, 3000, &down);
	assert_int_equal(a.bucket.share.refill_right, down.target_right);
	assert_int_equal(acc->held_right, before);
	request = make_request(&a, 3100, 26000, 0);
	answer(l, 3100, "a", true, &request);
	assert_true(acc->held_right < before);
	cg_rate_ledger_free(l);
}

static void frozen_holder_keeps_its_holding(void **state)
{
	struct cg_rate_ledger *l = first_ledger();
	struct cg_rate_holding a, b, *all[] = { &a, &b };
	cg_ms t;

	make_two_holdings(l, &a, &b);
	for (t = 2250; t < 120000; t += 250) {
		exchange(l, &b, t, "b", true, 90000, 0);
		cg_rate_ledger_tick(l, t);
		assert_sums(l, t, all, 2);
	}
	assert_true(a.bucket.share.refill_right > 0);
	/* When it resumes, its bucket is full, but no more than that. */
	cg_rate_bucket_refill(&a.bucket, t);
	assert_int_equal(a.bucket.share.tokens, a.bucket.share.capacity);
	exchange(l, &a, t, "a", true, 40000, 0);
	assert_sums(l, t, all, 2);
	cg_rate_ledger_free(l);
}

/* The platform proves a holder gone that was only paused for very long. The
 * answer to its first message ends its holding. */
static void reclaimed_holder_ends_its_session_on_contact(void **state)
{
	struct cg_rate_ledger *l = first_ledger();
	struct cg_rate_holding a, b, *all[] = { &a, &b };

	make_two_holdings(l, &a, &b);
	cg_rate_ledger_reclaim(l, 60000, "a", 0);
	exchange(l, &b, 60000, "b", true, 90000, 0);
	exchange(l, &a, 90000, "a", true, 40000, 0);
	assert_int_equal(a.session, 0);
	assert_int_equal(a.bucket.share.refill_right, 0);
	assert_sums(l, 90000, all, 2);
	cg_rate_ledger_free(l);
}

static void new_incarnation_at_same_address_reclaims_the_old_one(void **state)
{
	struct cg_rate_ledger *l = first_ledger();
	struct cg_rate_holding a, b;
	struct cg_rate_process restarted = make_process("a", 2),
			       other_address = make_process("b", 2);
	struct cg_rate_token_request request = { .need = CG_RATE_REQUEST_COST };
	struct cg_rate_answer out;
	int64_t before;

	make_two_holdings(l, &a, &b);
	before = cg_rate_ledger_find(l, "acme")->held_right;
	/* Another address proves nothing about the old process. */
	other_address.addr.sin_port++;
	cg_rate_ledger_handle_request(l, 2100, &limits, &other_address, true,
				      &request, &out);
	assert_int_equal(cg_rate_ledger_find(l, "acme")->held_right, before);
	cg_rate_ledger_handle_request(l, 2100, &limits, &restarted, true,
				      &request, &out);
	assert_true(cg_rate_ledger_find(l, "acme")->held_right <
		    before - 30000);
	/* A late message of the old process opens no session. */
	request = (struct cg_rate_token_request){ .session = a.session,
						  .number = a.number };
	out = answer(l, 2200, "a", true, &request);
	assert_int_equal(out.status, CG_RATE_STATUS_CLOSED);
	cg_rate_ledger_free(l);
}

static void unlisted_holding_expires_by_the_holders_clock(void **state)
{
	struct cg_rate_ledger *l = first_ledger();
	struct cg_rate_holding h, *all[] = { &h };
	struct cg_rate_token_request request;
	struct cg_rate_answer a;

	cg_rate_holding_init(&h, 0, 0, limits.rate, limits.burst);
	exchange(l, &h, 0, "a", false, 40000, 0);
	exchange(l, &h, 1000, "a", false, 40000, 0);
	assert_true(h.lease_until == 1000 + LEASE);
	/* The renewal is requested at 20000 and arrives at 26000. */
	request = make_request(&h, 20000, 40000, 0);
	a = answer(l, 25000, "a", false, &request);
	cg_rate_holding_apply_answer(&h, 26000, 20000, &a);
	assert_true(h.lease_until == 20000 + LEASE);
	assert_int_equal(cg_rate_holding_admit(&h, 49999),
			 CG_RATE_HOLDING_ADMIT);
	assert_int_equal(cg_rate_holding_admit(&h, 50000),
			 CG_RATE_HOLDING_REQUEST);
	assert_int_equal(h.bucket.share.capacity, 0);
	assert_sums(l, 50000, all, 1);
	cg_rate_ledger_tick(l, 56000);
	assert_true(!cg_rate_ledger_find(l, "acme") ||
		    !cg_rate_ledger_find(l, "acme")->held_right);
	cg_rate_ledger_free(l);
}

/* The survey for epoch 2 runs while a grant of epoch 1 is in flight. */
static void late_grant_of_the_old_coordinator_is_refused(void **state)
{
	struct cg_rate_ledger *old = first_ledger(), *l;
	struct cg_rate_holding a, b, *all[] = { &a, &b };
	struct cg_rate_process pa = make_process("a", 1),
			       pb = make_process("b", 1);
	struct cg_rate_token_request request;
	struct cg_rate_answer late, first;
	struct cg_rate_holding fresh;

	make_two_holdings(old, &a, &b);
	exchange(old, &a, 2500, "a", true, 4000, 0);
	exchange(old, &a, 3000, "a", true, 4000, 0);
	request = make_request(&b, 3500, 70000, 0);
	late = answer(old, 3500, "b", true, &request);
	assert_true(late.granted.refill_right > b.granted.refill_right);
	/* Also a first grant to a daemon without a holding. */
	cg_rate_holding_init(&fresh, 0, 0, limits.rate, limits.burst);
	request = make_request(&fresh, 3500, 9000, 0);
	first = answer(old, 3500, "c", true, &request);

	l = cg_rate_ledger_new(1, 2, false, LEASE, 4000);
	assert_true(cg_rate_holding_move_to_epoch(&a, 4000, 2));
	cg_rate_ledger_survey_add(l, 4000, &limits, &pa, &a.granted,
				  &a.released);
	assert_true(cg_rate_holding_move_to_epoch(&b, 4000, 2));
	cg_rate_ledger_survey_add(l, 4000, &limits, &pb, &b.granted,
				  &b.released);
	assert_false(cg_rate_holding_move_to_epoch(&fresh, 4000, 2));
	assert_int_equal(cg_rate_holding_apply_answer(&b, 4100, 3500, &late),
			 -1);
	assert_int_equal(
		cg_rate_holding_apply_answer(&fresh, 4100, 3500, &first), -1);
	assert_int_equal(fresh.bucket.share.capacity, 0);
	cg_rate_ledger_survey_check(l, 4200, true);
	cg_rate_ledger_survey_check(l, 4200 + LEASE + 1000, true);
	assert_int_equal(l->state, CG_RATE_LEDGER_ACTIVE);
	for (cg_ms t = 36000; t < 40000; t += 500) {
		exchange(l, &b, t, "b", true, 90000, 0);
		exchange(l, &a, t, "a", true, 4000, 0);
		assert_sums(l, t, all, 2);
	}
	assert_true(b.bucket.share.refill_right > 50000);
	cg_rate_ledger_free(old);
	cg_rate_ledger_free(l);
}

static void survey_grants_nothing_before_all_answered(void **state)
{
	struct cg_rate_ledger *l = cg_rate_ledger_new(1, 2, false, LEASE, 0);
	struct cg_rate_token_request request = { .need = CG_RATE_REQUEST_COST };
	struct cg_rate_answer a;

	/* One member is frozen for an hour. */
	for (cg_ms t = 0; t < 3600000; t += 10000) {
		cg_rate_ledger_survey_check(l, t, false);
		a = answer(l, t, "a", true, &request);
		assert_int_equal(a.status, CG_RATE_STATUS_NOT_READY);
	}
	cg_rate_ledger_survey_check(l, 3600000, true);
	a = answer(l, 3600000 + LEASE - 1, "a", true, &request);
	assert_int_equal(a.status, CG_RATE_STATUS_NOT_READY);
	cg_rate_ledger_survey_check(l, 3600000 + LEASE + 1000, true);
	a = answer(l, 3600000 + LEASE + 2000, "a", true, &request);
	assert_int_equal(a.status, CG_RATE_STATUS_OK);
	cg_rate_ledger_free(l);
}

/* If an answer to the survey is duplicated, only the first one counts. */
static void duplicate_survey_answer_counts_once(void **state)
{
	struct cg_rate_ledger *l = cg_rate_ledger_new(1, 2, false, LEASE, 0);
	struct cg_rate_process p = make_process("a", 1);
	struct cg_rate_share g = { 60000, 60000, 0 }, none = { 0 };

	cg_rate_ledger_survey_add(l, 0, &limits, &p, &g, &none);
	cg_rate_ledger_survey_add(l, 0, &limits, &p, &g, &none);
	cg_rate_ledger_survey_done(l, &p);
	cg_rate_ledger_survey_add(l, 1, &limits, &p, &g, &none);
	assert_int_equal(cg_rate_ledger_find(l, "acme")->held_right, 60000);
	assert_int_equal(cg_rate_ledger_find(l, "acme")->record_count, 1);
	cg_rate_ledger_free(l);
}

static void handed_over_ledger_continues_the_sessions(void **state)
{
	struct cg_rate_ledger *old = first_ledger(), *l;
	struct cg_rate_holding a, b, *all[] = { &a, &b };
	struct cg_rate_ledger_account *acc;
	struct cg_rate_record *r;
	struct cg_rate_token_request request;
	struct cg_rate_answer late;

	make_two_holdings(old, &a, &b);
	request = make_request(&b, 2500, 25000, 5000);
	late = answer(old, 2500, "b", true, &request);
	acc = cg_rate_ledger_find(old, "acme");
	old->state = CG_RATE_LEDGER_CLOSED;
	l = cg_rate_ledger_new(1, 2, false, LEASE, 2600);
	cg_rate_ledger_import_pool(l, 2600, &limits, acc->pool.share.tokens);
	cds_list_for_each_entry(r, &acc->records, node)
		cg_rate_ledger_import(l, 2600, &limits, r);
	cg_rate_ledger_import_done(l, 2600);
	assert_sums(l, 2600, all, 2);
	/* The old coordinator's last grant is in the ledger. It may arrive
	 * before or after the new coordinator sends it again. */
	exchange(l, &b, 2700, "b", true, 25000, 0);
	assert_sums(l, 2700, all, 2);
	cg_rate_holding_apply_answer(&b, 2800, 2500, &late);
	assert_sums(l, 2800, all, 2);
	exchange(l, &a, 2900, "a", true, 40000, 0);
	assert_true(a.bucket.share.refill_right > 0);
	assert_sums(l, 2900, all, 2);
	cg_rate_ledger_free(old);
	cg_rate_ledger_free(l);
}

static void lower_rate_shrinks_the_pool_then_the_holders(void **state)
{
	const struct cg_rate_limits half = { "acme", 50000, 50000 };
	struct cg_rate_ledger *l = first_ledger();
	struct cg_rate_holding a, b;
	struct cg_rate_ledger_account *acc;

	make_two_holdings(l, &a, &b);
	acc = cg_rate_ledger_find(l, "acme");
	cg_rate_ledger_set_limits(l, 3000, &half);
	assert_int_equal(acc->pool.share.refill_right, 0);
	cg_rate_holding_set_limits(&a, 3000, half.rate, half.burst);
	cg_rate_holding_set_limits(&b, 3000, half.rate, half.burst);
	assert_true(a.bucket.share.refill_right + b.bucket.share.refill_right <=
		    half.rate);
	for (int i = 0; i < 2; i++) {
		struct cg_rate_process p = make_process(i ? "b" : "a", 1);
		struct cg_rate_holding *h = i ? &b : &a;
		struct cg_rate_token_request request =
			make_request(h, 3500, 40000, 0);
		struct cg_rate_answer out;

		cg_rate_ledger_handle_request(l, 3500, &half, &p, true,
					      &request, &out);
		cg_rate_holding_apply_answer(h, 3500, 3500, &out);
	}
	assert_true(a.bucket.share.refill_right + b.bucket.share.refill_right +
			    acc->pool.share.refill_right <=
		    half.rate);
	assert_true(a.bucket.share.capacity + b.bucket.share.capacity +
			    acc->pool.share.capacity <=
		    half.burst);
	cg_rate_ledger_free(l);
}

static void idle_holding_returns_after_some_seconds(void **state)
{
	struct cg_rate_ledger *l = first_ledger();
	struct cg_rate_holding a, b;
	struct cg_rate_token_request request;
	struct cg_rate_answer out;

	make_two_holdings(l, &a, &b);
	assert_false(cg_rate_holding_report_due(&a, 2100));
	assert_true(cg_rate_holding_report_due(&a, 8000));
	assert_int_equal(a.bucket.share.capacity, 0);
	cg_rate_holding_fill_request(&a, 8000, 0, &request);
	assert_true(request.final);
	out = answer(l, 8000, "a", true, &request);
	/* The answer is lost; the report is retried until answered. */
	assert_false(cg_rate_holding_report_due(&a, 8500));
	assert_true(cg_rate_holding_report_due(&a, 9000));
	cg_rate_holding_fill_request(&a, 9000, 0, &request);
	out = answer(l, 9000, "a", true, &request);
	assert_int_equal(out.status, CG_RATE_STATUS_CLOSED);
	cg_rate_holding_apply_answer(&a, 9000, 9000, &out);
	assert_int_equal(a.session, 0);
	assert_true(cg_rate_holding_unused(&a, 40000));
	cg_rate_ledger_free(l);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(idle_account_is_admitted_by_any_holder),
		cmocka_unit_test(duplicate_answer_is_applied_once),
		cmocka_unit_test(lost_answer_is_sent_again),
		cmocka_unit_test(late_first_answer_is_refused),
		cmocka_unit_test(sums_hold_when_a_release_crosses_a_grant),
		cmocka_unit_test(release_counts_only_once_reported),
		cmocka_unit_test(frozen_holder_keeps_its_holding),
		cmocka_unit_test(reclaimed_holder_ends_its_session_on_contact),
		cmocka_unit_test(
			new_incarnation_at_same_address_reclaims_the_old_one),
		cmocka_unit_test(unlisted_holding_expires_by_the_holders_clock),
		cmocka_unit_test(late_grant_of_the_old_coordinator_is_refused),
		cmocka_unit_test(survey_grants_nothing_before_all_answered),
		cmocka_unit_test(duplicate_survey_answer_counts_once),
		cmocka_unit_test(handed_over_ledger_continues_the_sessions),
		cmocka_unit_test(lower_rate_shrinks_the_pool_then_the_holders),
		cmocka_unit_test(idle_holding_returns_after_some_seconds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
