#include "random_message.h"

#include <string.h>

#define MESSAGE_MAX 60000

struct source {
	GRand *random;
	const char *const *names;
	unsigned int words; /* left until the message must end */
};

/* Numbers are mostly small, so that lengths and choices are valid ones. */
static bool_t get_long(XDR *x, long *out)
{
	static const int32_t special[] = { -1,	G_MAXINT32, G_MININT32,
					   255, 65535,	    1000000 };
	struct source *s = x->x_private;

	if (!s->words)
		return FALSE;
	s->words--;
	*out = g_rand_int_range(s->random, 0, 8)
		       ? g_rand_int_range(s->random, 0, 10)
		       : special[g_rand_int_range(s->random, 0,
						  G_N_ELEMENTS(special))];
	return TRUE;
}

static bool_t get_bytes(XDR *x, char *out, u_int len)
{
	struct source *s = x->x_private;
	unsigned int n = 0;
	const char *name;

	while (s->names[n])
		n++;
	name = s->names[g_rand_int_range(s->random, 0, (gint32)n)];
	for (u_int i = 0; i < len; i++)
		out[i] = i < strlen(name)
				 ? name[i]
				 : (char)g_rand_int_range(s->random, 0, 256);
	return TRUE;
}

static u_int get_position(XDR *x)
{
	return 0;
}

static bool_t set_position(XDR *x, u_int at)
{
	return FALSE;
}

static int32_t *get_inline(XDR *x, u_int len)
{
	return NULL;
}

static void destroy(XDR *x)
{
}

GByteArray *random_message(GRand *r, xdrproc_t proc, size_t size,
			   const char *const *names)
{
	static const struct xdr_ops ops = {
		.x_getlong = get_long,
		.x_getbytes = get_bytes,
		.x_getpostn = get_position,
		.x_setpostn = set_position,
		.x_inline = get_inline,
		.x_destroy = destroy,
	};
	struct source s = { .random = r, .names = names, .words = 2000 };
	XDR in = { .x_op = XDR_DECODE, .x_ops = &ops, .x_private = &s }, out;
	void *value = g_malloc0(size);
	char *text = g_malloc(MESSAGE_MAX);
	GByteArray *message = NULL;

	if (proc(&in, value)) {
		xdrmem_create(&out, text, MESSAGE_MAX, XDR_ENCODE);
		if (proc(&out, value)) {
			message = g_byte_array_new();
			g_byte_array_append(message, (const guint8 *)text,
					    xdr_getpos(&out));
		}
		xdr_destroy(&out);
	}
	xdr_free(proc, value);
	g_free(value);
	g_free(text);
	return message;
}
