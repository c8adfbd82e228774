/* Guards against a tool whose exit code hides a failure, that shows a key in
 * clear, or that passes over a daemon that did not answer. Runs the program
 * against a store and daemons in this process. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <json-c/json.h>
#include <pthread.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include "internal/notices.h"
#include "internal/peer.h"
#include "notice_wire.h"
#include "status_wire.h"
#include "support/http_store.h"
#include "support/objects.h"

#define STORE_PORT  20300
#define DAEMON_PORT 20310
#define SILENT_PORT 20319
#define DAEMONS	    2
#define STORE	    " --store http://127.0.0.1:20300"
#define SECRET	    " --secret-file %s/secret"
#define PEERS	    " --peers 127.0.0.1:20310,127.0.0.1:20311"
#define WITH_SILENT PEERS ",127.0.0.1:20319 --timeout 300"

/* A daemon as the tool sees it. */
struct fake_daemon {
	struct cg_peer *peer;
	pthread_mutex_t lock;
	char *summary;
	char *other; /* Answer to all other questions. */
	char what[CG_X_STATUS_NAME_MAX + 1]; /* Of the last question. */
	char name[CG_X_STATUS_NAME_MAX + 1];
	size_t page; /* Largest page of an answer. */
	bool refuse_notices;
	cg_x_notice notice; /* The last one; its name is in notice_name. */
	char notice_name[CG_NAME_MAX + 1];
	int notices;
};

struct fixture {
	char *dir;
	char *tool;
	char *output;
	struct http_store *store;
	struct fake_daemon d[DAEMONS];
};

static struct fixture fx;

static int answer_status(struct fake_daemon *d, const struct cg_peer_msg *m,
			 GByteArray *reply)
{
	cg_x_status_request q;
	cg_x_status_reply a = { 0 };
	const char *text;
	int rc;

	if (cg_xdr_decode((xdrproc_t)xdr_cg_x_status_request, m->body, m->len,
			  &q, sizeof(q)))
		return -1;
	g_strlcpy(d->what, q.what, sizeof(d->what));
	g_strlcpy(d->name, q.name, sizeof(d->name));
	text = strcmp(q.what, "summary") != 0 ? d->other : d->summary;
	a.total = (u_int)strlen(text);
	if (q.offset < a.total) {
		a.page.page_val = (char *)text + q.offset;
		a.page.page_len =
			(u_int)MIN(d->page, (size_t)(a.total - q.offset));
	}
	rc = cg_xdr_encode((xdrproc_t)xdr_cg_x_status_reply, &a, reply);
	xdr_free((xdrproc_t)xdr_cg_x_status_request, (char *)&q);
	return rc;
}

static int take_notice(struct fake_daemon *d, const struct cg_peer_msg *m)
{
	cg_x_notice x;

	if (d->refuse_notices || cg_xdr_decode((xdrproc_t)xdr_cg_x_notice,
					       m->body, m->len, &x, sizeof(x)))
		return -1;
	d->notices++;
	g_strlcpy(d->notice_name, x.name, sizeof(d->notice_name));
	d->notice = x;
	d->notice.name = NULL;
	xdr_free((xdrproc_t)xdr_cg_x_notice, (char *)&x);
	return 0;
}

static int handle(void *arg, const struct cg_peer_msg *m, GByteArray *reply)
{
	struct fake_daemon *d = arg;
	int rc = -1;

	pthread_mutex_lock(&d->lock);
	if (m->kind == CG_MSG_STATUS)
		rc = answer_status(d, m, reply);
	else if (m->kind == CG_MSG_NOTICE)
		rc = take_notice(d, m);
	pthread_mutex_unlock(&d->lock);
	return rc;
}

static void set_text(struct fake_daemon *d, char **field, char *text)
{
	pthread_mutex_lock(&d->lock);
	g_free(*field);
	*field = text;
	pthread_mutex_unlock(&d->lock);
}

static void set_summary(int i, int version, const char *write_id)
{
	set_text(&fx.d[i], &fx.d[i].summary,
		 g_strdup_printf("{\"instance\":\"entry-%d\",\"incarnation\":1,"
				 "\"config_version\":%d,\"write_id\":\"%s\","
				 "\"shard_map_version\":4,\"ready\":true,"
				 "\"keys\":\"accepting\"}",
				 i + 1, version, write_id));
}

static void set_other(int i, const char *text)
{
	set_text(&fx.d[i], &fx.d[i].other, g_strdup(text));
}

static int start_daemon(int i, GBytes *secret)
{
	struct fake_daemon *d = &fx.d[i];
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port =
					 htons((uint16_t)(DAEMON_PORT + i)) };
	char *name = g_strdup_printf("entry-%d", i + 1);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	pthread_mutex_init(&d->lock, NULL);
	d->page = CG_X_STATUS_PAGE_MAX;
	set_summary(i, 1, "aa");
	set_other(i, "{}");
	d->peer = cg_peer_new(name, 1, secret, &a);
	g_free(name);
	if (!d->peer)
		return -1;
	cg_peer_set_handler(d->peer, handle, d);
	return cg_peer_start(d->peer);
}

static int setup(void **state)
{
	const char *build = g_getenv("BUILD_DIR");
	GBytes *secret = g_bytes_new("0123456789abcdef", 16);
	int rc = 0;

	fx.tool = g_build_filename(build ? build : "build/plain",
				   "celerygladectl", NULL);
	fx.dir = g_dir_make_tmp("cg-ctl-XXXXXX", NULL);
	write_file(fx.dir, "secret", "0123456789abcdef\n");
	fx.store = http_store_start(STORE_PORT);
	for (int i = 0; i < DAEMONS; i++)
		rc |= start_daemon(i, secret);
	g_bytes_unref(secret);
	return fx.store ? rc : -1;
}

static int teardown(void **state)
{
	for (int i = 0; i < DAEMONS; i++) {
		cg_peer_free(fx.d[i].peer);
		g_free(fx.d[i].summary);
		g_free(fx.d[i].other);
	}
	http_store_stop(fx.store);
	remove_folder(fx.dir);
	g_free(fx.dir);
	g_free(fx.tool);
	g_free(fx.output);
	return 0;
}

/* Runs the tool through a shell with the folder of this test for each "%s" in
 * @p args; keeps the output of both streams. Returns the exit code. */
static int run(const char *args)
{
	char **parts = g_strsplit(args, "%s", 0);
	char *filled = g_strjoinv(fx.dir, parts);
	char *line = g_strdup_printf("%s %s 2>&1", fx.tool, filled);
	GString *out = g_string_new(NULL);
	char buf[4096];
	size_t n;
	FILE *p = popen(line, "r");
	int status;

	assert_non_null(p);
	while ((n = fread(buf, 1, sizeof(buf), p)) > 0)
		g_string_append_len(out, buf, (gssize)n);
	status = pclose(p);
	g_free(fx.output);
	fx.output = g_string_free(out, FALSE);
	g_strfreev(parts);
	g_free(filled);
	g_free(line);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static void assert_run(int code, const char *args)
{
	int rc = run(args);

	if (rc != code)
		print_message("%s\n%s", args, fx.output);
	assert_int_equal(rc, code);
}

static void assert_shows(const char *text)
{
	if (!strstr(fx.output, text))
		print_message("%s", fx.output);
	assert_non_null(strstr(fx.output, text));
}

/* Writes a folder with one account of this rate. */
static void write_folder(int rate)
{
	char *dir = g_build_filename(fx.dir, "folder", NULL);
	char *text =
		g_strdup_printf("{\"accounts\":{\"a\":{\"rate\":%d}}}", rate);

	g_mkdir(dir, 0700);
	write_file(dir, "1.json", text);
	g_free(text);
	g_free(dir);
}

static void drop_folder(void)
{
	char *dir = g_build_filename(fx.dir, "folder", NULL);

	remove_folder(dir);
	g_free(dir);
}

static void usage_errors_have_exit_code_1(void **state)
{
	assert_run(1, "");
	assert_run(1, "frobnicate");
	assert_run(1, "check");
	assert_run(1, "check a b");
	assert_run(1, "check --store x a");
	assert_run(1, "show --peers 127.0.0.1:1");
	assert_run(1, "show --peers nonsense" SECRET);
	assert_run(1, "show" SECRET);
	assert_run(1, "show --store ftp://x" SECRET);
	assert_run(1, "drain 'a b'" PEERS SECRET);
	assert_run(1, "apply docs/examples/rounds");
	assert_run(1, "apply docs/examples/rounds" STORE " --wait 1");
	assert_run(1, "apply docs/examples/rounds" STORE " --wait x");
	assert_run(1, "key");
}

static void every_command_has_help_with_exit_codes(void **state)
{
	static const char *const names[] = {
		"check",	  "apply",	    "diff",
		"show",		  "members",	    "shards",
		"servers",	  "explain-server", "explain-account",
		"explain-change", "counters",	    "drain",
		"revoke",	  "key new",	    "key digest",
	};

	assert_run(0, "--help");
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		assert_shows(names[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char *args = g_strconcat(names[i], " --help", NULL);

		assert_run(0, args);
		assert_shows(names[i]);
		assert_shows("Exit codes:");
		g_free(args);
	}
}

static void check_lists_faults_with_exit_code_2(void **state)
{
	assert_run(0, "check docs/examples/booking");
	assert_shows("valid: 3 services");
	assert_run(0, "check --json docs/examples/rounds");
	assert_shows("\"faults\":[],\"services\":3");
	write_folder(0);
	assert_run(2, "check %s/folder");
	assert_shows("1.json: accounts/a: rate must be");
	assert_run(2, "check --json %s/folder");
	assert_shows("{\"faults\":[\"");
	assert_run(2, "apply %s/folder" STORE);
	assert_run(2, "check /nonexistent");
	drop_folder();
}

static void apply_publishes_once(void **state)
{
	write_folder(5);
	assert_run(0, "diff %s/folder" STORE);
	assert_shows("+ accounts/a");
	assert_run(0, "apply %s/folder" STORE);
	assert_shows("written: version 1, 1 of 1 parts");
	assert_run(0, "apply --json %s/folder" STORE);
	assert_shows("\"result\":\"unchanged\",\"version\":1");
	write_folder(6);
	assert_run(0, "diff %s/folder" STORE);
	assert_shows("~ accounts/a/rate: 5 -> 6");
	assert_shows("2 changes against version 1");
	assert_run(0, "diff --json %s/folder" STORE);
	assert_shows("{\"path\":\"accounts/a/rate\",\"old\":5,\"new\":6}");
	assert_run(0, "apply %s/folder" STORE);
	assert_shows("version 2");
	drop_folder();
}

static void lost_race_has_exit_code_3(void **state)
{
	write_folder(7);
	http_store_race_next_update(fx.store);
	assert_run(3, "apply %s/folder" STORE);
	assert_shows("another writer was faster");
	assert_run(0, "apply %s/folder" STORE);
	drop_folder();
}

static void unavailable_store_has_exit_code_4(void **state)
{
	write_folder(8);
	http_store_set_outage(fx.store, true);
	assert_run(4, "apply %s/folder" STORE);
	assert_run(4, "diff %s/folder" STORE);
	assert_run(4, "show" STORE SECRET);
	assert_shows("use --peers");
	http_store_set_outage(fx.store, false);
	drop_folder();
}

static void lost_answer_in_an_outage_has_exit_code_5(void **state)
{
	write_folder(9);
	http_store_fail_after_update(fx.store);
	assert_run(5, "apply %s/folder" STORE);
	http_store_set_outage(fx.store, false);
	assert_run(0, "apply %s/folder" STORE);
	assert_shows("nothing was written");
	drop_folder();
}

/* Returns the string member of the JSON line that was printed last. */
static char *output_member(const char *name)
{
	struct json_object *o = json_tokener_parse(fx.output);
	struct json_object *v;
	char *text;

	assert_true(json_object_object_get_ex(o, name, &v));
	text = g_strdup(json_object_get_string(v));
	json_object_put(o);
	return text;
}

static void apply_waits_for_every_daemon(void **state)
{
	char *version;
	char *write_id;

	write_folder(10);
	assert_run(0, "apply --json %s/folder" STORE);
	version = output_member("version");
	write_id = output_member("write_id");
	set_summary(0, atoi(version), write_id);
	set_summary(1, atoi(version) - 1, "older");
	assert_run(6, "apply %s/folder --wait 1" STORE SECRET PEERS);
	assert_shows("is in force at 1 of 2 daemons");
	assert_shows("not in force at:");
	assert_shows("entry-2");
	/* The same version with another write id is another configuration. */
	set_summary(1, atoi(version), "other");
	assert_run(6, "apply %s/folder --wait 0" STORE SECRET PEERS);
	set_summary(1, atoi(version), write_id);
	assert_run(0, "apply %s/folder --wait 5" STORE SECRET PEERS);
	assert_shows("in force at 2 of 2 daemons after");
	assert_run(6,
		   "apply --json %s/folder --wait 0" STORE SECRET WITH_SILENT);
	assert_shows("\"address\":\"127.0.0.1:20319\",\"answered\":false");
	g_free(version);
	g_free(write_id);
	drop_folder();
}

static void show_tells_versions_and_silent_daemons(void **state)
{
	set_summary(0, 7, "aa");
	set_summary(1, 7, "aa");
	assert_run(0, "show" PEERS SECRET);
	assert_shows("CONFIG_VERSION");
	assert_shows("entry-2");
	set_summary(1, 6, "bb");
	assert_run(6, "show" PEERS SECRET);
	assert_run(6, "show --json" WITH_SILENT SECRET);
	assert_shows("\"answered\":false");
	assert_shows("\"config_version\":7");
}

static void daemons_are_found_in_the_list_of_instances(void **state)
{
	set_summary(0, 7, "aa");
	http_store_set_instances(
		fx.store,
		"{\"version\":1,\"instances\":["
		"{\"name\":\"entry-1\",\"role\":\"entry\",\"state\":\"live\","
		"\"address\":\"127.0.0.1:20310\"},"
		"{\"name\":\"gone\",\"role\":\"entry\",\"state\":\"leaving\","
		"\"address\":\"127.0.0.1:20319\"},"
		"{\"name\":\"s\",\"role\":\"server\",\"state\":\"live\","
		"\"address\":\"127.0.0.1:20319\"}]}");
	assert_run(0, "show --json" STORE SECRET);
	assert_shows("entry-1");
	assert_null(strstr(fx.output, "20319"));
	/* A leaving daemon still accepts keys until it ends. */
	assert_run(6, "drain slots-3 --timeout 300" STORE SECRET);
	assert_shows("not confirmed: gone");
	http_store_set_instances(fx.store, "{\"instances\":[]}");
	assert_run(6, "show" STORE SECRET);
	http_store_set_instances(fx.store, "[[[");
	assert_run(4, "show" STORE SECRET);
}

static void another_secret_gets_no_answer(void **state)
{
	write_file(fx.dir, "other", "fedcba9876543210");
	write_file(fx.dir, "short", "tiny");
	assert_run(6, "show --secret-file %s/other --timeout 500" PEERS);
	assert_run(1, "show --secret-file %s/short" PEERS);
	assert_null(strstr(fx.output, "tiny"));
}

static void long_answers_come_in_pages(void **state)
{
	GString *s = g_string_new("{\"members\":[");

	for (int i = 0; i < 400; i++)
		g_string_append_printf(s,
				       "%s{\"name\":\"entry-%d\",\"state\":"
				       "\"live\"}",
				       i ? "," : "", i);
	g_string_append(s, "]}");
	set_other(0, s->str);
	g_string_free(s, TRUE);
	fx.d[0].page = 500;
	assert_run(0, "members" PEERS SECRET);
	assert_shows("as known by");
	assert_shows("entry-399");
	assert_string_equal(fx.d[0].what, "members");
	fx.d[0].page = CG_X_STATUS_PAGE_MAX;
}

static void listing_goes_on_to_the_next_daemon(void **state)
{
	set_other(1, "{\"shards\":[{\"shard\":0,\"owner\":\"entry-2\"}]}");
	assert_run(0, "shards --timeout 300 --peers "
		      "127.0.0.1:20319,127.0.0.1:20311" SECRET);
	assert_shows("did not answer");
	assert_shows("OWNER");
	assert_string_equal(fx.d[1].what, "shards");
	assert_run(6, "shards --timeout 300 --peers 127.0.0.1:20319" SECRET);
	set_other(1, "not json");
	assert_run(6, "shards --peers 127.0.0.1:20311" SECRET);
}

static void servers_of_one_service_are_asked_for(void **state)
{
	set_other(0, "{\"servers\":[{\"server\":\"s1\",\"state\":\"ejected\","
		     "\"why\":\"30 % failed\\u001b[2J\"}]}");
	assert_run(0, "servers --service slots" PEERS SECRET);
	assert_string_equal(fx.d[0].what, "servers");
	assert_string_equal(fx.d[0].name, "slots");
	assert_shows("ejected");
	/* Answers must not control the terminal. */
	assert_shows("30 % failed?[2J");
	assert_run(0, "servers --json" PEERS SECRET);
	assert_string_equal(fx.d[0].name, "");
}

static void explanations_come_from_every_daemon(void **state)
{
	set_other(0, "{\"server\":\"s1\",\"state\":\"ejected\"}");
	set_other(1, "{\"server\":\"s1\",\"state\":\"avoided\"}");
	assert_run(0, "explain-server s1" PEERS SECRET);
	assert_shows("ejected");
	assert_shows("avoided");
	assert_string_equal(fx.d[1].what, "server");
	assert_string_equal(fx.d[1].name, "s1");
	assert_run(6, "explain-account big --json" WITH_SILENT SECRET);
	assert_string_equal(fx.d[1].what, "account");
	assert_shows("\"answered\":false");
}

static void explain_change_tells_who_is_behind(void **state)
{
	set_summary(0, 9, "aa");
	set_summary(1, 9, "aa");
	assert_run(0, "explain-change" PEERS SECRET);
	assert_shows("version 9 is in force at 2 of 2 daemons");
	set_summary(1, 8, "bb");
	assert_run(6, "explain-change" WITH_SILENT SECRET);
	assert_shows("version 9 is in force at 1 of 3 daemons");
	assert_shows("has not heard of the newest version");
	assert_shows("no answer");
	set_text(&fx.d[1], &fx.d[1].summary,
		 g_strdup("{\"instance\":\"entry-2\",\"config_version\":8,"
			  "\"config_fault\":\"part 3 has another digest\"}"));
	assert_run(6, "explain-change --json" PEERS SECRET);
	assert_shows("part 3 has another digest");
}

static void counters_are_summed(void **state)
{
	set_other(0, "{\"requests\":5,\"attempts\":6}");
	set_other(1, "{\"requests\":7}");
	assert_run(0, "counters" PEERS SECRET);
	assert_shows("requests: 12");
	assert_shows("attempts: 6");
	assert_run(6, "counters --json" WITH_SILENT SECRET);
	assert_shows("\"sums\":{\"requests\":12,\"attempts\":6}");
}

static void drain_names_daemons_that_did_not_confirm(void **state)
{
	int before = fx.d[0].notices;

	assert_run(0, "drain slots-3" PEERS SECRET);
	assert_shows("2 of 2 daemons confirmed");
	assert_int_equal(fx.d[0].notices, before + 1);
	assert_int_equal(fx.d[0].notice.kind, CG_NOTICE_DRAIN);
	assert_string_equal(fx.d[0].notice_name, "slots-3");
	assert_memory_equal(fx.d[0].notice.id, fx.d[1].notice.id, 16);
	fx.d[1].refuse_notices = true;
	assert_run(6, "drain slots-3" WITH_SILENT SECRET);
	assert_shows("1 of 3 daemons confirmed");
	assert_shows("not confirmed: 127.0.0.1:20311");
	assert_shows("not confirmed: 127.0.0.1:20319");
	fx.d[1].refuse_notices = false;
}

#define KEY "VGhpcyBpcyBhIGtleSBpbiBjbGVhcg"

static void assert_revoked(const char *args)
{
	uint8_t digest[CG_DIGEST_SIZE];

	memset(&fx.d[0].notice, 0, sizeof(fx.d[0].notice));
	cg_key_digest(KEY, digest);
	assert_run(0, args);
	assert_int_equal(fx.d[0].notice.kind, CG_NOTICE_REVOKE);
	assert_memory_equal(fx.d[0].notice.digest, digest, sizeof(digest));
	assert_null(strstr(fx.output, KEY));
}

static void revoke_takes_a_file_or_a_digest(void **state)
{
	uint8_t digest[CG_DIGEST_SIZE];
	GString *args = g_string_new("revoke sha256:");

	write_file(fx.dir, "key", KEY "\n");
	assert_revoked("revoke %s/key" PEERS SECRET);
	cg_key_digest(KEY, digest);
	for (size_t i = 0; i < sizeof(digest); i++)
		g_string_append_printf(args, "%02X", digest[i]);
	g_string_append(args, PEERS SECRET);
	assert_revoked(args->str);
	g_string_free(args, TRUE);
}

static void keys_in_clear_are_never_shown(void **state)
{
	static const char *const lines[] = {
		"revoke " KEY PEERS SECRET,
		"revoke a " KEY PEERS SECRET,
		"revoke " KEY,
		"key digest " KEY,
		KEY,
		"key " KEY,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		assert_run(1, lines[i]);
		assert_null(strstr(fx.output, KEY));
	}
	write_file(fx.dir, "empty", "\n");
	assert_run(1, "revoke %s/empty" PEERS SECRET);
}

static void new_key_is_in_a_private_file_only(void **state)
{
	char *path = g_build_filename(fx.dir, "new", NULL);
	char *key;
	struct stat st;
	char *shown;

	assert_run(0, "key new --out %s/new --name web");
	assert_shows("\"web\": \"sha256:");
	shown = g_strdup(fx.output);
	assert_int_equal(g_stat(path, &st), 0);
	assert_int_equal(st.st_mode & 0777, 0600);
	assert_true(g_file_get_contents(path, &key, NULL, NULL));
	g_strchomp(key);
	assert_int_equal(strlen(key), 43);
	assert_null(strstr(fx.output, key));
	/* The printed digest is the one of the file. */
	assert_run(0, "key digest --name web < %s/new");
	assert_string_equal(fx.output, shown);
	/* A file that exists may hold a key that is in use. */
	assert_run(1, "key new --out %s/new");
	assert_run(1, "key new");
	assert_run(1, "key new --out %s/new2 --name 'a b'");
	g_free(shown);
	g_free(key);
	g_free(path);
}

static void weak_keys_get_no_digest(void **state)
{
	assert_run(1, "key digest < /dev/null");
	write_file(fx.dir, "weak", "short-key\n");
	assert_run(1, "key digest < %s/weak");
	assert_null(strstr(fx.output, "short-key"));
	write_file(fx.dir, "weak", "a key of many words with spaces\n");
	assert_run(1, "key digest < %s/weak");
	assert_null(strstr(fx.output, "words"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(usage_errors_have_exit_code_1),
		cmocka_unit_test(every_command_has_help_with_exit_codes),
		cmocka_unit_test(check_lists_faults_with_exit_code_2),
		cmocka_unit_test(apply_publishes_once),
		cmocka_unit_test(lost_race_has_exit_code_3),
		cmocka_unit_test(unavailable_store_has_exit_code_4),
		cmocka_unit_test(lost_answer_in_an_outage_has_exit_code_5),
		cmocka_unit_test(apply_waits_for_every_daemon),
		cmocka_unit_test(show_tells_versions_and_silent_daemons),
		cmocka_unit_test(daemons_are_found_in_the_list_of_instances),
		cmocka_unit_test(another_secret_gets_no_answer),
		cmocka_unit_test(long_answers_come_in_pages),
		cmocka_unit_test(listing_goes_on_to_the_next_daemon),
		cmocka_unit_test(servers_of_one_service_are_asked_for),
		cmocka_unit_test(explanations_come_from_every_daemon),
		cmocka_unit_test(explain_change_tells_who_is_behind),
		cmocka_unit_test(counters_are_summed),
		cmocka_unit_test(drain_names_daemons_that_did_not_confirm),
		cmocka_unit_test(revoke_takes_a_file_or_a_digest),
		cmocka_unit_test(keys_in_clear_are_never_shown),
		cmocka_unit_test(new_key_is_in_a_private_file_only),
		cmocka_unit_test(weak_keys_get_no_digest),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
