#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#include "ctl.h"
#include "internal/names.h"
#include "internal/notices.h"
#include "notice_wire.h"

static void print_confirmations(const struct ctl_options *o,
				const struct ctl_fleet *f,
				const bool *confirmed, size_t n_confirmed)
{
	struct json_object *out = json_object_new_object();
	struct json_object *not_confirmed = json_object_new_array();

	for (guint i = 0; i < f->daemons->len; i++)
		if (!confirmed[i])
			json_object_array_add(
				not_confirmed,
				json_object_new_string(ctl_daemon_label(
					&g_array_index(f->daemons,
						       struct ctl_daemon, i))));
	if (o->json) {
		json_object_object_add(out, "daemons",
				       json_object_new_int64(f->daemons->len));
		json_object_object_add(out, "confirmed",
				       json_object_new_uint64(n_confirmed));
		json_object_object_add(out, "not_confirmed", not_confirmed);
		ctl_print_json(out);
		return;
	}
	printf("%zu of %u daemons confirmed\n", n_confirmed, f->daemons->len);
	for (size_t i = 0; i < json_object_array_length(not_confirmed); i++)
		printf("not confirmed: %s\n",
		       json_object_get_string(
			       json_object_array_get_idx(not_confirmed, i)));
	json_object_put(not_confirmed);
	json_object_put(out);
}

/* Sends the notice to all daemons under a new random id. Returns CTL_INCOMPLETE
 * if a daemon did not confirm it. */
static enum ctl_exit send_notice(const struct ctl_options *o, cg_x_notice *x)
{
	struct ctl_fleet f;
	GByteArray *body;
	bool *confirmed;
	size_t n_confirmed = 0;
	enum ctl_exit rc;

	if (getrandom(x->id, sizeof(x->id), 0) != (ssize_t)sizeof(x->id))
		return CTL_ERROR;
	rc = ctl_fleet_open(o, true, &f);
	if (rc != CTL_OK)
		return rc;
	body = g_byte_array_new();
	confirmed = g_new0(bool, f.daemons->len);
	if (cg_xdr_encode((xdrproc_t)xdr_cg_x_notice, x, body)) {
		rc = CTL_ERROR;
		goto out;
	}
	ctl_send_all(&f, CG_MSG_NOTICE, body, confirmed);
	for (guint i = 0; i < f.daemons->len; i++)
		n_confirmed += confirmed[i];
	print_confirmations(o, &f, confirmed, n_confirmed);
	if (n_confirmed < f.daemons->len)
		rc = CTL_INCOMPLETE;
out:
	g_free(confirmed);
	g_byte_array_unref(body);
	ctl_fleet_close(&f);
	return rc;
}

enum ctl_exit ctl_drain(const struct ctl_options *o)
{
	cg_x_notice x = { .kind = CG_NOTICE_DRAIN, .name = (char *)o->arg };

	if (!cg_name_valid(o->arg)) {
		fprintf(stderr,
			"celerygladectl: SERVER must be " CG_NAME_RULE "\n");
		return CTL_ERROR;
	}
	return send_notice(o, &x);
}

static int parse_digest(const char *text, uint8_t out[CG_DIGEST_SIZE])
{
	static const char scheme[] = "sha256:";

	if (g_str_has_prefix(text, scheme))
		text += strlen(scheme);
	if (strlen(text) != 2 * (size_t)CG_DIGEST_SIZE)
		return -1;
	return cg_digest_parse(text, out);
}

/* Errors do not repeat the argument, which may be the key itself by mistake. */
static int read_key_file(const char *path, uint8_t out[CG_DIGEST_SIZE])
{
	char *text;
	int rc = -1;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		fprintf(stderr,
			"celerygladectl: the argument is neither a digest "
			"nor a readable file\n");
		return -1;
	}
	g_strchomp(text);
	if (text[0]) {
		cg_key_digest(text, out);
		rc = 0;
	} else {
		fprintf(stderr, "celerygladectl: the key file is empty\n");
	}
	explicit_bzero(text, strlen(text));
	g_free(text);
	return rc;
}

enum ctl_exit ctl_revoke(const struct ctl_options *o)
{
	cg_x_notice x = { .kind = CG_NOTICE_REVOKE, .name = (char *)"" };
	uint8_t digest[CG_DIGEST_SIZE];
	enum ctl_exit rc;

	if (parse_digest(o->arg, digest) && read_key_file(o->arg, digest))
		return CTL_ERROR;
	memcpy(x.digest, digest, sizeof(x.digest));
	rc = send_notice(o, &x);
	if (rc != CTL_ERROR)
		fprintf(stderr, "remove the key from the folder and apply it: "
				"the revocation notice ends when a version "
				"without the key is in force\n");
	return rc;
}
