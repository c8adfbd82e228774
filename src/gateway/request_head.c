#include "ingress_private.h"

#include <stdlib.h>
#include <string.h>

/* libmicrohttpd keeps a record of this size for each field of a head. */
#define FIELD_MEMORY 64
#define BEARER	     "Bearer "

struct head_state {
	struct cgw_exchange *exchange;
	const char *connection; /* value of the Connection header, or NULL */
	const char *length;
	/* How often these headers occur. */
	unsigned int lengths; /* Content-Length */
	unsigned int codings; /* Transfer-Encoding */
	unsigned int hosts;
	unsigned int ids; /* request id */
	unsigned int keys; /* Authorization */
	size_t memory; /* that libmicrohttpd uses for the head */
	bool bad_coding; /* a transfer coding other than "chunked" */
};

static bool names_equal(const char *a, const char *b)
{
	return !g_ascii_strcasecmp(a, b);
}

/* Handles a header that is meant for the gateway or must not be forwarded.
 * Returns false for a header that is to be forwarded. */
static bool handle_header(struct head_state *head, const char *name,
			  const char *value)
{
	struct cgw_exchange *x = head->exchange;
	const struct cgw_header_names *n = &x->gateway->format->headers;

	if (names_equal(name, "Host")) {
		if (!head->hosts++)
			x->host = g_strdup(value);
	} else if (names_equal(name, n->request_id)) {
		if (!head->ids++)
			x->id = g_strdup(value);
	} else if (names_equal(name, n->deadline)) {
		x->caller_timeout_ms = (cg_ms)strtoll(value, NULL, 10);
	} else if (names_equal(name, "Authorization")) {
		if (!head->keys++ &&
		    !g_ascii_strncasecmp(value, BEARER, strlen(BEARER)))
			x->bearer = g_strdup(value + strlen(BEARER));
	} else if (names_equal(name, "Content-Length")) {
		head->lengths++;
		head->length = value;
	} else if (names_equal(name, "Transfer-Encoding")) {
		head->codings++;
		head->bad_coding |= !names_equal(value, "chunked");
	} else if (names_equal(name, "Connection")) {
		head->connection = value;
	} else if (!names_equal(name, n->account) &&
		   !names_equal(name, n->expected_server) &&
		   !names_equal(name, "Keep-Alive") &&
		   !names_equal(name, "Proxy-Connection") &&
		   !names_equal(name, "Proxy-Authorization") &&
		   !names_equal(name, "TE") && !names_equal(name, "Trailer") &&
		   !names_equal(name, "Upgrade") &&
		   !names_equal(name, "Expect")) {
		return false;
	}
	return true;
}

static enum MHD_Result on_header(void *cls, enum MHD_ValueKind kind,
				 const char *name, const char *value)
{
	struct head_state *head = cls;

	(void)kind;
	if (!value)
		value = "";
	head->memory += strlen(name) + strlen(value) + FIELD_MEMORY;
	if (!handle_header(head, name, value)) {
		g_ptr_array_add(head->exchange->headers, g_strdup(name));
		g_ptr_array_add(head->exchange->headers, g_strdup(value));
	}
	return MHD_YES;
}

/* Removes the headers that the caller's Connection header lists. */
static void remove_connection_headers(struct cgw_exchange *x,
				      const char *connection)
{
	char **names;

	if (!connection)
		return;
	names = g_strsplit(connection, ",", 16);
	for (char **n = names; *n; n++) {
		g_strstrip(*n);
		for (guint i = x->headers->len; i >= 2; i -= 2)
			if (names_equal(g_ptr_array_index(x->headers, i - 2),
					*n))
				g_ptr_array_remove_range(x->headers, i - 2, 2);
	}
	g_strfreev(names);
}

static bool is_zero(const char *length)
{
	return strspn(length, "0") == strlen(length);
}

/* libmicrohttpd has rejected what is not a number. */
static int64_t read_length(const char *text)
{
	guint64 n = g_ascii_strtoull(text, NULL, 10);

	return n > G_MAXINT64 ? G_MAXINT64 : (int64_t)n;
}

int64_t cgw_head_memory(size_t bytes, size_t lines)
{
	return (int64_t)(bytes + lines * FIELD_MEMORY);
}

void cgw_read_head(struct cgw_exchange *x, struct MHD_Connection *mhd,
		   const char *method, int64_t memory_max)
{
	struct head_state head = { .exchange = x,
				   .memory = strlen(x->target) + FIELD_MEMORY };

	x->method = g_strdup(method);
	MHD_get_connection_values(mhd, MHD_HEADER_KIND, on_header, &head);
	remove_connection_headers(x, head.connection);
	x->head_bytes = head.memory;
	x->has_body = head.codings || (head.lengths && !is_zero(head.length));
	if (!head.codings && head.lengths)
		x->content_length = read_length(head.length);
	x->too_large = x->content_length > cgw_ingress_max_body(x->gateway);
	x->head_too_large = (int64_t)head.memory > memory_max;
	/* With two lengths, or a length and a transfer coding, two parsers can
	 * disagree on where the request ends (request smuggling). */
	x->malformed = head.bad_coding || head.lengths + head.codings > 1 ||
		       head.hosts != 1 || head.ids > 1 || head.keys > 1 ||
		       x->target[0] != '/';
}
