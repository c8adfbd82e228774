#include <arpa/inet.h>
#include <ne_basic.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_uri.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"
#include "internal/address.h"

/* A gateway that does not lead its failure domain names the one that does. That
 * one may change while the command asks. */
#define REDIRECTS_MAX	 2
#define MAX_ANSWER_BYTES (4 << 20)
#define READ_BLOCK_BYTES 8192
#define MS_PER_S	 1000

static int read_answer(ne_request *req, GString *out)
{
	char block[READ_BLOCK_BYTES];
	ssize_t n;

	while ((n = ne_read_response_block(req, block, sizeof(block))) > 0) {
		g_string_append_len(out, block, n);
		if (out->len > MAX_ANSWER_BYTES)
			return -1;
	}
	return n < 0 ? -1 : 0;
}

/* Sends a GET request. Returns the body, which the caller frees, or NULL after
 * printing an error. */
static char *get(const struct sockaddr_in *sa, const char *target,
		 int timeout_ms)
{
	char ip[INET_ADDRSTRLEN];
	int port = ntohs(sa->sin_port);
	GString *body = g_string_new(NULL);
	ne_session *session;
	ne_request *req;
	int rc, status;

	inet_ntop(AF_INET, &sa->sin_addr, ip, sizeof(ip));
	session = ne_session_create("http", ip, (unsigned int)port);
	ne_set_read_timeout(session, (timeout_ms + MS_PER_S - 1) / MS_PER_S);
	ne_set_connect_timeout(session, (timeout_ms + MS_PER_S - 1) / MS_PER_S);
	req = ne_request_create(session, "GET", target);
	rc = ne_begin_request(req);
	if (rc == NE_OK)
		rc = read_answer(req, body) ? NE_ERROR : ne_end_request(req);
	status = rc == NE_OK ? ne_get_status(req)->code : 0;
	if (rc != NE_OK)
		fprintf(stderr,
			"celerygladectl: gateway %s:%d does not answer: %s\n",
			ip, port, ne_get_error(session));
	else if (status != 200)
		fprintf(stderr,
			"celerygladectl: gateway %s:%d answers with status "
			"%d\n",
			ip, port, status);
	ne_request_destroy(req);
	ne_session_destroy(session);
	return g_string_free(body, status != 200);
}

static void append_argument(GString *s, const char *name, const char *value)
{
	char *escaped;

	if (!value)
		return;
	escaped = g_uri_escape_string(value, NULL, FALSE);
	g_string_append_printf(s, "%c%s=%s", strchr(s->str, '?') ? '&' : '?',
			       name, escaped);
	g_free(escaped);
}

/* Returns the answer of the gateway whose broker decides, or NULL after printing
 * an error. */
static struct json_object *query(const struct ctl_options *o,
				 struct sockaddr_in sa)
{
	GString *target = g_string_new("/explain");
	struct json_object *answer = NULL;

	append_argument(target, "host", o->host);
	append_argument(target, "path", o->arg);
	append_argument(target, "method", o->method);
	append_argument(target, "account", o->account);
	append_argument(target, "size", o->size);
	for (int i = 0; i <= REDIRECTS_MAX; i++) {
		char *text = get(&sa, target->str, o->timeout_ms);
		const char *ip;

		json_object_put(answer);
		answer = text ? json_tokener_parse(text) : NULL;
		if (text && !answer)
			fprintf(stderr, "celerygladectl: the answer of the "
					"gateway is not JSON\n");
		g_free(text);
		ip = answer ? ctl_member_string(answer, "broker_ip") : "";
		if (!*ip || inet_pton(AF_INET, ip, &sa.sin_addr) != 1)
			break;
	}
	g_string_free(target, TRUE);
	return answer;
}

static void print_target(struct json_object *t)
{
	struct json_object *list = NULL;
	char *part = ctl_member_text(t, "part");
	const char *server = ctl_member_string(t, "server");

	printf("\nservice %s, part %s of the requests: %s\n",
	       ctl_member_string(t, "service"), part,
	       *server ? server : ctl_member_string(t, "otherwise"));
	g_free(part);
	if (json_object_object_get_ex(t, "candidates", &list) &&
	    json_object_is_type(list, json_type_array) &&
	    json_object_array_length(list))
		ctl_print_objects(list);
}

static void print_explanation(struct json_object *answer)
{
	struct json_object *targets = NULL;

	printf("route %s, decided by %s in failure domain %s, placement %s\n",
	       ctl_member_string(answer, "route"),
	       ctl_member_string(answer, "instance"),
	       ctl_member_string(answer, "domain"),
	       ctl_member_string(answer, "placement"));
	if (!json_object_object_get_ex(answer, "targets", &targets) ||
	    !json_object_is_type(targets, json_type_array))
		return;
	for (size_t i = 0; i < json_object_array_length(targets); i++)
		print_target(json_object_array_get_idx(targets, i));
}

enum ctl_exit ctl_explain(const struct ctl_options *o)
{
	struct json_object *answer;
	struct sockaddr_in sa;
	const char *error;

	if (!o->gateway || cg_parse_address(o->gateway, &sa)) {
		fprintf(stderr, "celerygladectl: --gateway IP:PORT names the "
				"metrics address of a gateway\n");
		return CTL_ERROR;
	}
	if (!o->host) {
		fprintf(stderr, "celerygladectl: --host is missing\n");
		return CTL_ERROR;
	}
	answer = query(o, sa);
	if (!answer)
		return CTL_INCOMPLETE;
	error = ctl_member_string(answer, "error");
	if (*ctl_member_string(answer, "broker_ip"))
		error = "the gateways do not agree on the broker; run again";
	if (*error) {
		fprintf(stderr, "celerygladectl: %s\n", error);
		json_object_put(answer);
		return CTL_ERROR;
	}
	if (o->json) {
		ctl_print_json(answer);
		return CTL_OK;
	}
	print_explanation(answer);
	json_object_put(answer);
	return CTL_OK;
}
