#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>

#define MAX_CONNECTIONS	  4000
#define THREAD_STACK_SIZE ((size_t)256 * 1024)
#define CONNECTION_MEMORY ((size_t)128 * 1024)

static void free_body(void *arg, struct MHD_Connection *c, void **ctx,
		      enum MHD_RequestTerminationCode code)
{
	if (*ctx)
		g_string_free(*ctx, TRUE);
	*ctx = NULL;
}

struct MHD_Daemon *sh_listen(uint16_t port, MHD_AcceptPolicyCallback accept,
			     MHD_NotifyConnectionCallback connected,
			     MHD_AccessHandlerCallback handle, void *arg)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons(port),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };

	return MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
			MHD_USE_THREAD_PER_CONNECTION | MHD_USE_ITC,
		port, accept, arg, handle, arg, MHD_OPTION_SOCK_ADDR, &a,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)MAX_CONNECTIONS,
		MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U,
		MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_SIZE,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY,
		MHD_OPTION_NOTIFY_COMPLETED, free_body, NULL,
		MHD_OPTION_NOTIFY_CONNECTION, connected, arg, MHD_OPTION_END);
}

static enum MHD_Result handle_control(void *arg, struct MHD_Connection *c,
				      const char *path, const char *method,
				      const char *version, const char *data,
				      size_t *size, void **ctx)
{
	sh_control_fn fn = (sh_control_fn)arg;
	struct json_object *in = NULL;
	enum MHD_Result rc;
	GString *out;

	if (!sh_collect_body(ctx, data, size))
		return MHD_YES;
	if (sh_body(ctx)->len)
		in = json_tokener_parse(sh_body(ctx)->str);
	out = fn(c, method, path, in);
	if (out) {
		rc = sh_send(c, MHD_HTTP_OK, sh_response(out->str, out->len));
		g_string_free(out, TRUE);
	} else {
		rc = sh_send(c, MHD_HTTP_BAD_REQUEST, sh_response("", 0));
	}
	json_object_put(in);
	return rc;
}

struct MHD_Daemon *sh_control_start(uint16_t port, sh_control_fn fn)
{
	return sh_listen(port, NULL, NULL, handle_control, (void *)fn);
}

bool sh_collect_body(void **ctx, const char *data, size_t *size)
{
	if (!*ctx) {
		*ctx = g_string_new(NULL);
		return false;
	}
	if (!*size)
		return true;
	g_string_append_len(*ctx, data, (gssize)*size);
	*size = 0;
	return false;
}

GString *sh_body(void **ctx)
{
	return *ctx;
}

struct MHD_Response *sh_response(const char *text, size_t len)
{
	return MHD_create_response_from_buffer(len, (void *)text,
					       MHD_RESPMEM_MUST_COPY);
}

enum MHD_Result sh_send(struct MHD_Connection *c, unsigned int status,
			struct MHD_Response *r)
{
	enum MHD_Result rc = MHD_queue_response(c, status, r);

	MHD_destroy_response(r);
	return rc;
}

const char *sh_header(struct MHD_Connection *c, const char *name)
{
	return MHD_lookup_connection_value(c, MHD_HEADER_KIND, name);
}

const char *sh_query(struct MHD_Connection *c, const char *name)
{
	return MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, name);
}

void sh_get_int(struct json_object *in, const char *name, int64_t *out)
{
	struct json_object *v;

	if (json_object_object_get_ex(in, name, &v))
		*out = json_object_get_int64(v);
}

void sh_get_double(struct json_object *in, const char *name, double *out)
{
	struct json_object *v;

	if (json_object_object_get_ex(in, name, &v))
		*out = json_object_get_double(v);
}

void sh_get_bool(struct json_object *in, const char *name, bool *out)
{
	struct json_object *v;

	if (json_object_object_get_ex(in, name, &v))
		*out = json_object_get_boolean(v);
}

const char *sh_get_string(struct json_object *in, const char *name)
{
	struct json_object *v;

	if (!json_object_object_get_ex(in, name, &v))
		return NULL;
	return json_object_get_string(v);
}

bool sh_wait_for_close(struct MHD_Connection *c, int ms)
{
	const union MHD_ConnectionInfo *i =
		MHD_get_connection_info(c, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct pollfd p = { .fd = i->connect_fd, .events = POLLRDHUP };

	return poll(&p, 1, ms) > 0;
}

int64_t sh_now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static void stop_signals(sigset_t *s)
{
	sigemptyset(s);
	sigaddset(s, SIGTERM);
	sigaddset(s, SIGINT);
}

void sh_block_signals(void)
{
	sigset_t s;

	stop_signals(&s);
	pthread_sigmask(SIG_BLOCK, &s, NULL);
}

void sh_wait_for_signal(void)
{
	sigset_t s;
	int sig;

	stop_signals(&s);
	sigwait(&s, &sig);
}
