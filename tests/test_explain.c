/* Guards against an explanation that names another server than the one that a
 * request would get, or that changes what a later request gets. Decisions and
 * explanations come from the same broker here, without a network. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka needs the headers above it. */
#include <cmocka.h>
#include <json-c/json.h>
#include <string.h>

#include "gateway/explain.h"
#include "support/gateway_broker_fixture.h"

static struct cgw_table *new_table(void)
{
	struct cgw_table *t = cgw_table_new(1);
	struct cgw_route *r = cgw_table_add_route(t, "list", "h", "/list/");

	r->idempotent = true;
	r->objective_ms = 1000;
	r->timeout_ms = 5000;
	cgw_route_add_target(r, "svc", 90);
	cgw_route_add_target(r, "new", 10);
	cgw_table_add_account(t, "acc");
	return t;
}

static struct json_object *explain(struct broker_fixture *w,
				   struct cgw_table *t, const char *target,
				   const char *account)
{
	struct cgw_explain_state s = {
		.instance = "d1",
		.domain = "a",
		.table = t,
		.broker = w->broker,
		.broker_name = "",
		.broker_ip = "",
		.leads = true,
		.now = w->now,
	};
	struct cgw_explain_query q = { .host = "h",
				       .target = target,
				       .method = "GET",
				       .account = account };
	char *text = cgw_explain(&s, &q);
	struct json_object *o = json_tokener_parse(text);

	g_free(text);
	assert_non_null(o);
	return o;
}

static const char *text_of(struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v)
		       ? json_object_get_string(v)
		       : "";
}

static struct json_object *target_of(struct json_object *o, size_t i)
{
	struct json_object *list;

	assert_true(json_object_object_get_ex(o, "targets", &list));
	return json_object_array_get_idx(list, i);
}

static void explanation_names_the_server_of_the_next_grant(void **state)
{
	struct cgw_table *t = new_table();
	struct broker_fixture w;

	(void)state;
	broker_fixture_init(&w, 1);
	broker_fixture_add_servers(&w, "svc", 4, 2);
	for (int i = 0; i < 8; i++) {
		struct cgw_slot_request a =
			broker_fixture_new_request(&w, "svc", true);
		struct json_object *o = explain(&w, t, "/list/1", "acc");
		const struct cgw_slot_decision *d;

		strcpy(a.route, "list");
		d = broker_fixture_submit(&w, &a);
		assert_int_equal(d->kind, CGW_DECISION_GRANTED);
		assert_string_equal(text_of(target_of(o, 0), "server"),
				    d->u.grant.server);
		json_object_put(o);
		broker_fixture_advance(&w, 20);
	}
	/* All slots are in use now. */
	{
		struct json_object *o = explain(&w, t, "/list/1", "acc");
		struct json_object *c, *target = target_of(o, 0);

		assert_string_equal(text_of(target, "server"), "");
		assert_true(
			json_object_object_get_ex(target, "candidates", &c));
		assert_int_equal(json_object_array_length(c), 4);
		assert_string_equal(
			text_of(json_object_array_get_idx(c, 0), "not_taken"),
			"no free slot");
		json_object_put(o);
	}
	broker_fixture_clear(&w);
	cgw_table_unref(t);
}

static void unknown_names_are_errors(void **state)
{
	struct cgw_table *t = new_table();
	struct broker_fixture w;
	struct json_object *o;

	(void)state;
	broker_fixture_init(&w, 1);
	o = explain(&w, t, "/none/1", NULL);
	assert_string_equal(text_of(o, "error"),
			    "no route matches this host and path");
	json_object_put(o);
	o = explain(&w, t, "/list/1", "nobody");
	assert_string_equal(text_of(o, "error"),
			    "no client account has this name");
	json_object_put(o);
	o = explain(&w, t, "/list/1", NULL);
	assert_string_equal(text_of(target_of(o, 1), "otherwise"),
			    "no server of the service in this failure domain");
	json_object_put(o);
	o = explain(&w, NULL, "/list/1", NULL);
	assert_string_equal(text_of(o, "error"),
			    "this daemon has no configuration yet");
	json_object_put(o);
	broker_fixture_clear(&w);
	cgw_table_unref(t);
}

static void evacuated_domain_chooses_no_server(void **state)
{
	struct cgw_table *t = new_table();
	struct broker_fixture w;
	struct json_object *o;

	(void)state;
	broker_fixture_init(&w, 2);
	broker_fixture_add_servers(&w, "svc", 2, 2);
	cgw_broker_set_servers_outdated(w.broker, true);
	o = explain(&w, t, "/list/1", NULL);
	assert_string_equal(text_of(target_of(o, 0), "server"), "");
	json_object_put(o);
	cgw_broker_set_servers_outdated(w.broker, false);
	cgw_broker_set_evacuation(w.broker, true, CG_MS_NEVER, w.now);
	o = explain(&w, t, "/list/1", NULL);
	assert_string_equal(text_of(target_of(o, 0), "server"), "");
	json_object_put(o);
	broker_fixture_clear(&w);
	cgw_table_unref(t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			explanation_names_the_server_of_the_next_grant),
		cmocka_unit_test(unknown_names_are_errors),
		cmocka_unit_test(evacuated_domain_chooses_no_server),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
